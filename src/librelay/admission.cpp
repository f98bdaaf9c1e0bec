#include "turmerichead/relay_admission.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// Weights of the newest value in the smoothed ones.
constexpr double FirstWaitWeight = 0.1;
constexpr double GapWeight = 0.02;
constexpr double EventsWeight = 0.1;
// Values after which a smoothed mean may count as the least.
constexpr std::uint64_t FirstWaitsNeeded = 20;
constexpr std::uint64_t GapsNeeded = 100;

// A program that is slowed by more has little chance to end in time. Less
// urgent ones stop to begin a little sooner, and so leave room for urgent ones
// without giving way to them altogether.
constexpr double MaxStretch = 1.5;
constexpr double MaxStretchLessUrgent = 1.35;
// Below this part of a host's share of the slots, slowness is not load.
constexpr double BusyShare = 0.5;

constexpr milliseconds LeastRetryAfter{200};
constexpr milliseconds MostRetryAfter{3000};

} // namespace

void load_gauge::series::add(double Value, double Weight,
                             std::uint64_t Needed) {
  ++Count;
  // A plain mean until there are enough values for a smoothed one.
  double Share = std::max(Weight, 1.0 / static_cast<double>(Count));
  Mean += Share * (Value - Mean);
  if (Count >= Needed)
    Least = std::min(Least.value_or(Mean), Mean);
}

void load_gauge::sent(time_point Now) {
  ++InFlight;
  ++Waiting;
  WaitingSinceMs += Now.Ms;
}

void load_gauge::firstEvent(time_point SentAt, time_point Now) {
  --Waiting;
  WaitingSinceMs -= SentAt.Ms;
  FirstWaitMs.add(static_cast<double>((Now - SentAt).count()), FirstWaitWeight,
                  FirstWaitsNeeded);
}

void load_gauge::eventGap(milliseconds Gap) {
  GapMs.add(static_cast<double>(Gap.count()), GapWeight, GapsNeeded);
}

void load_gauge::ended(time_point SentAt, std::uint64_t Events) {
  --InFlight;
  if (Events == 0) {
    --Waiting;
    WaitingSinceMs -= SentAt.Ms;
    return;
  }
  EventsOfTurn += EventsWeight * (static_cast<double>(Events) - EventsOfTurn);
}

double load_gauge::stretch(time_point Now) const {
  if (!FirstWaitMs.Least || !GapMs.Least)
    return 1;
  // Turns that still wait count as if their first events came now: those come
  // too late to tell of a flood.
  auto Count = static_cast<double>(Waiting);
  double Ages =
      Count * static_cast<double>(Now.Ms) - static_cast<double>(WaitingSinceMs);
  constexpr double MeanOf = 1 / FirstWaitWeight;
  double WithAges = (MeanOf * FirstWaitMs.Mean + Ages) / (MeanOf + Count);
  double Wait = std::max(FirstWaitMs.Mean, WithAges);
  double Gaps = std::max(0.0, EventsOfTurn - 1);
  // Times are whole milliseconds, so that short ones may come out as nothing.
  double CalmMs = std::max(*FirstWaitMs.Least + Gaps * *GapMs.Least, 1.0);
  return std::max(Wait + Gaps * GapMs.Mean, CalmMs) / CalmMs;
}

std::optional<start_refusal> admission::refusal(const load_gauge &Gauge,
                                                const service_room &Room,
                                                std::uint32_t Rank,
                                                time_point Now) {
  bool Urgent = Rank == 0;
  std::optional<time_point> &Since = FullSince[Urgent ? 0 : 1];
  double Share = static_cast<double>(Room.Slots) /
                 static_cast<double>(std::max<std::size_t>(Room.Hosts, 1));
  bool Busy = static_cast<double>(Gauge.inFlight()) >= BusyShare * Share;
  double Stretch = Gauge.stretch(Now);
  if (!Busy || Stretch <= (Urgent ? MaxStretch : MaxStretchLessUrgent)) {
    Since.reset();
    return std::nullopt;
  }
  if (!Since)
    Since = Now;
  // As long as it has lasted so far is the best guess for how long it will.
  milliseconds RetryAfter =
      std::clamp(Now - *Since, LeastRetryAfter, MostRetryAfter);
  return start_refusal{RetryAfter, Stretch};
}

} // namespace turmerichead::relay
