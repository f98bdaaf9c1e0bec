/// \file
/// The minimum share of the work that is granted to ordinary requests.
#pragma once

#include "turmerichead/sched_types.h"

namespace turmerichead::sched::pvt {

/// Counts the engine time granted to each rank while both have queued
/// requests, and decides when the next grant is due to the ordinary rank.
class floor_tracker {
public:
  /// Creates a tracker for the minimum share \p Share, 0 to 1. Its target is
  /// slightly higher, because work is estimated and ordinary requests are not
  /// queued at every moment.
  explicit floor_tracker(double Share) : Floor(Share * Margin) {}

  /// Changes the floor and keeps the accumulated credit.
  void setFloor(double Changed) { Floor = Changed; }

  /// Returns whether ordinary requests have been granted less than the floor.
  bool isOrdinaryDue() const { return Floor > 0 && CreditMs > 0; }

  /// Counts a grant of \p WorkMs of engine time, but only if the other rank had
  /// queued requests (\p OtherRankWaits).
  void charge(rank Rank, double WorkMs, bool OtherRankWaits);

  /// Corrects the count for a finished request. \p DifferenceMs is its actual
  /// less its estimated work.
  void correct(rank Rank, double DifferenceMs);

  /// Returns the fraction of the work granted to ordinary requests while both
  /// ranks had queued requests.
  double ordinaryShare() const;

private:
  static constexpr double Margin = 1.08;

  void add(rank Rank, double WorkMs);

  double Floor;
  double CreditMs = 0; ///< Work due to ordinary requests.
  per_rank<double> WorkMs{};
};

} // namespace turmerichead::sched::pvt
