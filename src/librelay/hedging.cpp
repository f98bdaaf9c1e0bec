#include "turmerichead/relay_hedging.h"

#include <algorithm>
#include <cmath>

namespace turmerichead::relay {

namespace {

constexpr double Quantile = 0.95;
// With fewer samples, less than two of them are above the percentile.
constexpr double MinWeight = 40;
// The weight of samples is halved after this time, and when it exceeds the
// maximum.
constexpr milliseconds HalfLife{30'000};
constexpr double MaxWeight = 4096;
// Halvings after which the weight of all samples is negligible.
constexpr int MaxHalvings = 16;

constexpr std::uint32_t CostOfHedge = 100; // In hundredths.
// The budget saves up five hedges at most, so that an hour without slow calls
// allows no burst. One upstream that pauses delays about as many calls of a
// host.
constexpr std::uint32_t MaxBudget = 5 * CostOfHedge;
// Time for which a refusal counts as a shortage.
constexpr milliseconds ShortageTime{2000};
// Part of the host's share of the slots above which the pool counts as short.
// A hedge occupies a second slot, and other hosts may use more than their
// share.
constexpr double BusyShare = 0.6;
// Weight of a new sample in the mean number of attempts in flight.
constexpr double InFlightWeight = 0.02;

} // namespace

void answer_times::decay(time_point Now) {
  if (!DecayedAt)
    DecayedAt = Now;
  auto Due = (Now - *DecayedAt) / HalfLife;
  int Halvings = static_cast<int>(
      std::min<std::int64_t>(Due, static_cast<std::int64_t>(MaxHalvings)));
  *DecayedAt = *DecayedAt + HalfLife * Due;
  Halvings += Total >= MaxWeight ? 1 : 0;
  if (Halvings == 0)
    return;
  Total = 0;
  for (float &Weight : Buckets) {
    Weight = std::ldexp(Weight, -Halvings);
    Total += Weight;
  }
}

void answer_times::record(milliseconds Time, time_point Now) {
  decay(Now);
  double Ms = std::max(1.0, static_cast<double>(Time.count()));
  auto Bucket = static_cast<std::size_t>(
      std::log2(Ms) * static_cast<double>(BucketsPerDoubling));
  Buckets[std::min(Bucket, BucketCount - 1)] += 1;
  Total += 1;
}

std::optional<milliseconds> answer_times::percentile95() const {
  if (Total < MinWeight)
    return std::nullopt;
  double Below = 0;
  std::size_t Bucket = 0;
  while (Bucket + 1 < BucketCount && Below + Buckets[Bucket] < Quantile * Total)
    Below += Buckets[Bucket++];
  double UpperMs = std::exp2(static_cast<double>(Bucket + 1) /
                             static_cast<double>(BucketsPerDoubling));
  return milliseconds(static_cast<std::int64_t>(std::ceil(UpperMs)));
}

std::optional<milliseconds> hedging::recordFirst(std::size_t InFlight) {
  Budget = std::min(Budget + Percent, MaxBudget);
  MeanInFlight +=
      InFlightWeight * (static_cast<double>(InFlight) - MeanInFlight);
  return Times.percentile95();
}

void hedging::recordAnswer(milliseconds Time, time_point Now) {
  Times.record(Time, Now);
}

void hedging::recordCancelled(milliseconds Time, time_point Now) {
  // A shorter time says nothing: the answer might have come before or after
  // the percentile.
  auto Percentile = Times.percentile95();
  if (Percentile && Time >= *Percentile)
    Times.record(Time, Now);
}

void hedging::recordShortage(time_point Now) {
  ShortUntil = Now + ShortageTime;
}

bool hedging::isShort(const service_capacity &Capacity, time_point Now) const {
  return (ShortUntil && Now < *ShortUntil) ||
         MeanInFlight >= BusyShare * Capacity.slotsPerHost();
}

bool hedging::takeHedge(const service_capacity &Capacity, time_point Now) {
  if (Budget < CostOfHedge || isShort(Capacity, Now))
    return false;
  Budget -= CostOfHedge;
  return true;
}

} // namespace turmerichead::relay
