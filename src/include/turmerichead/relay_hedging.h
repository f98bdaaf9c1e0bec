/// \file
/// Decides when a slow call gets a second attempt at another upstream. Nothing
/// here does I/O or reads a clock.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/relay_admission.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace turmerichead::relay {

/// The distribution of the times that answers of a service take until their
/// head, as a histogram with logarithmic buckets. Old samples lose weight, so
/// that it follows a service that becomes slower or faster. Its size is fixed.
class answer_times {
public:
  void record(milliseconds Time, time_point Now);

  /// Returns the time within which 95 % of the answers arrive, at most a tenth
  /// too high. Unset until there are enough samples.
  std::optional<milliseconds> percentile95() const;

private:
  /// Halves the weight of the samples when it is due.
  void decay(time_point Now);

  // Eight buckets for each doubling: from 1 ms to 65 s.
  static constexpr std::size_t BucketsPerDoubling = 8;
  static constexpr std::size_t BucketCount = 16 * BucketsPerDoubling;
  std::array<float, BucketCount> Buckets{};
  double Total = 0;
  std::optional<time_point> DecayedAt; ///< Unset before the first sample.
};

/// Hedging for one service, used in the loop thread. Expected load: the pool
/// has room, but some of its upstreams pause for part of a second. Without a
/// budget, a pool that becomes slow as a whole gets a second attempt for every
/// call, which makes it slower still.
class hedging {
public:
  /// \p Percent: the attempts that may be added, for 100 first attempts.
  explicit hedging(std::uint32_t Percent) : Percent(Percent) {}

  /// Records that the first attempt of a call was sent while \p InFlight
  /// other attempts of this host were in flight at the service. Returns the
  /// time without a head after which takeHedge() may be asked; unset if there
  /// are too few samples.
  std::optional<milliseconds> recordFirst(std::size_t InFlight);

  /// Records the time until the head of an answer to a first attempt.
  void recordAnswer(milliseconds Time, time_point Now);
  /// Records that a first attempt ended without a head after \p Time because
  /// it was cancelled. Without these samples, the percentile would fall with
  /// each slow attempt that a hedge replaces.
  void recordCancelled(milliseconds Time, time_point Now);
  /// Records that the service is short of capacity: a call was refused, shed or
  /// limited.
  void recordShortage(time_point Now);

  /// Returns whether a hedge may be sent, and takes it from the budget.
  bool takeHedge(const service_capacity &Capacity, time_point Now);

private:
  bool isShort(const service_capacity &Capacity, time_point Now) const;

  std::uint32_t Percent;
  std::uint32_t Budget = 0; ///< In hundredths of a hedge.
  answer_times Times;
  double MeanInFlight = 0;
  std::optional<time_point> ShortUntil;
};

} // namespace turmerichead::relay
