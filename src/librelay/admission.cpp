#include "turmerichead/relay_admission.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// Weight of a new sample in each exponentially weighted mean.
constexpr double FirstEventWeight = 0.1;
constexpr double GapWeight = 0.02;
constexpr double EventsWeight = 0.1;
// Samples after which a mean is used for the minimum.
constexpr std::uint64_t FirstEventsNeeded = 20;
constexpr std::uint64_t GapsNeeded = 100;

// A program that is slowed down more than this is unlikely to end in time. Less
// urgent programs have a lower limit, which reserves some capacity for urgent
// ones without starving the others.
constexpr double MaxSlowdown = 1.75;
constexpr double MaxSlowdownLessUrgent = 1.6;
// For a program that returns. While the runners are overloaded, programs on
// their first attempt take all capacity.
constexpr double MaxSlowdownRetry = 1.45;
// For a program of an organisation that uses more than its share, which yields
// to those of all others.
constexpr double MaxSlowdownOverShare = 1.3;
// If a host uses less than this part of its share of the slots, a slowdown is
// not caused by load.
constexpr double BusyShare = 0.5;

constexpr milliseconds MinRetryAfter{200};
constexpr milliseconds MaxRetryAfter{3000};

double maxSlowdown(const start_request &Request) {
  if (Request.IsOverShare)
    return MaxSlowdownOverShare;
  if (Request.IsRetry)
    return MaxSlowdownRetry;
  return Request.Rank == 0 ? MaxSlowdown : MaxSlowdownLessUrgent;
}

} // namespace

void slowdown_estimator::running_mean::add(double Value, double Weight,
                                           std::uint64_t MinSamples) {
  ++Count;
  // The plain mean until there are enough samples for the weighted one.
  double Share = std::max(Weight, 1.0 / static_cast<double>(Count));
  Mean += Share * (Value - Mean);
  if (Count >= MinSamples)
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
  InFlightMean.add(static_cast<double>(InFlight), FirstEventWeight,
                   FirstEventsNeeded);
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
  // Turns that still wait are counted as if their first event arrived now. The
  // first events themselves arrive too late to detect a burst.
  auto Count = static_cast<double>(Waiting);
  double WaitingMs =
      Count * static_cast<double>(Now.Ms) - static_cast<double>(WaitingSinceMs);
  constexpr double SamplesInMean = 1 / FirstEventWeight;
  double WithWaiting =
      (SamplesInMean * FirstEventMs.Mean + WaitingMs) / (SamplesInMean + Count);
  double TimeToFirstEvent = std::max(FirstEventMs.Mean, WithWaiting);
  double GapsPerTurn = std::max(0.0, EventsPerTurn - 1);
  // Times are whole milliseconds, so that short ones may be rounded to 0.
  double BaselineMs =
      std::max(*FirstEventMs.Minimum + GapsPerTurn * *EventGapMs.Minimum, 1.0);
  double Measured =
      (TimeToFirstEvent + GapsPerTurn * EventGapMs.Mean) / BaselineMs;
  double Growth = std::max(
      static_cast<double>(InFlight) / std::max(InFlightMean.Mean, 1.0), 1.0);
  return 1 + std::max(Measured - 1, 0.0) * Growth;
}

std::optional<start_refusal>
admission::wouldRefuse(const slowdown_estimator &Estimator,
                       const service_capacity &Capacity,
                       const start_request &Request, time_point Now) const {
  bool IsBusy = static_cast<double>(Estimator.inFlight()) >=
                BusyShare * Capacity.slotsPerHost();
  double Slowdown = Estimator.slowdown(Now);
  if (!IsBusy || Slowdown <= maxSlowdown(Request))
    return std::nullopt;
  time_point OverloadStart =
      OverloadedSince[Request.Rank == 0 ? 0 : 1].value_or(Now);
  // The best estimate of the remaining overload is its duration so far.
  milliseconds RetryAfter =
      std::clamp(Now - OverloadStart, MinRetryAfter, MaxRetryAfter);
  return start_refusal{RetryAfter, Slowdown};
}

std::optional<start_refusal>
admission::refusal(const slowdown_estimator &Estimator,
                   const service_capacity &Capacity,
                   const start_request &Request, time_point Now) {
  std::optional<time_point> &OverloadStart =
      OverloadedSince[Request.Rank == 0 ? 0 : 1];
  auto Refusal = wouldRefuse(Estimator, Capacity, Request, Now);
  if (!Refusal)
    OverloadStart.reset();
  else if (!OverloadStart)
    OverloadStart = Now;
  return Refusal;
}

} // namespace turmerichead::relay
