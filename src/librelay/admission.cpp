#include "turmerichead/relay_admission.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// Weights of the newest value in the smoothed ones.
constexpr double FirstEventWeight = 0.1;
constexpr double GapWeight = 0.02;
constexpr double EventsWeight = 0.1;
// Values after which a smoothed mean may count as the least.
constexpr std::uint64_t FirstEventsNeeded = 20;
constexpr std::uint64_t GapsNeeded = 100;

// A program that is slowed by more has little chance to end in time. Less
// urgent ones stop to begin a little sooner, and so leave room for urgent ones
// without giving way to them altogether.
constexpr double MaxSlowdown = 1.5;
constexpr double MaxSlowdownLessUrgent = 1.35;
// Below this part of a host's share of the slots, slowness is not load.
constexpr double BusyShare = 0.5;

constexpr milliseconds MinRetryAfter{200};
constexpr milliseconds MaxRetryAfter{3000};

} // namespace

void slowdown_estimator::running_mean::add(double Value, double Weight,
                                           std::uint64_t Needed) {
  ++Count;
  // A plain mean until there are enough values for a smoothed one.
  double Share = std::max(Weight, 1.0 / static_cast<double>(Count));
  Mean += Share * (Value - Mean);
  if (Count >= Needed)
    Minimum = std::min(Minimum.value_or(Mean), Mean);
}

void slowdown_estimator::recordSend(time_point Now) {
  ++InFlight;
  ++Waiting;
  WaitingSinceMs += Now.Ms;
}

void slowdown_estimator::recordFirstEvent(time_point SentAt, time_point Now) {
  --Waiting;
  WaitingSinceMs -= SentAt.Ms;
  FirstEventMs.add(static_cast<double>((Now - SentAt).count()),
                   FirstEventWeight, FirstEventsNeeded);
}

void slowdown_estimator::recordEventGap(milliseconds Gap) {
  EventGapMs.add(static_cast<double>(Gap.count()), GapWeight, GapsNeeded);
}

void slowdown_estimator::recordEnd(time_point SentAt, std::uint64_t Events) {
  --InFlight;
  if (Events == 0) {
    --Waiting;
    WaitingSinceMs -= SentAt.Ms;
    return;
  }
  EventsPerTurn += EventsWeight * (static_cast<double>(Events) - EventsPerTurn);
}

double slowdown_estimator::slowdown(time_point Now) const {
  if (!FirstEventMs.Minimum || !EventGapMs.Minimum)
    return 1;
  // Turns that still wait count as if their first events came now: those come
  // too late to tell of a flood.
  auto Count = static_cast<double>(Waiting);
  double Ages =
      Count * static_cast<double>(Now.Ms) - static_cast<double>(WaitingSinceMs);
  constexpr double MeanOf = 1 / FirstEventWeight;
  double WithAges = (MeanOf * FirstEventMs.Mean + Ages) / (MeanOf + Count);
  double Wait = std::max(FirstEventMs.Mean, WithAges);
  double Gaps = std::max(0.0, EventsPerTurn - 1);
  // Times are whole milliseconds, so that short ones may come out as nothing.
  double CalmMs =
      std::max(*FirstEventMs.Minimum + Gaps * *EventGapMs.Minimum, 1.0);
  return std::max(Wait + Gaps * EventGapMs.Mean, CalmMs) / CalmMs;
}

std::optional<start_refusal>
admission::refusal(const slowdown_estimator &Estimator,
                   const service_capacity &Capacity, std::uint32_t Rank,
                   time_point Now) {
  bool Urgent = Rank == 0;
  std::optional<time_point> &Since = OverloadedSince[Urgent ? 0 : 1];
  double Share = static_cast<double>(Capacity.Slots) /
                 static_cast<double>(std::max<std::size_t>(Capacity.Hosts, 1));
  bool Busy = static_cast<double>(Estimator.inFlight()) >= BusyShare * Share;
  double Slowdown = Estimator.slowdown(Now);
  if (!Busy || Slowdown <= (Urgent ? MaxSlowdown : MaxSlowdownLessUrgent)) {
    Since.reset();
    return std::nullopt;
  }
  if (!Since)
    Since = Now;
  // As long as it has lasted so far is the best guess for how long it will.
  milliseconds RetryAfter =
      std::clamp(Now - *Since, MinRetryAfter, MaxRetryAfter);
  return start_refusal{RetryAfter, Slowdown};
}

} // namespace turmerichead::relay
