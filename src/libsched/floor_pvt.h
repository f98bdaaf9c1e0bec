/// \file
/// The part of the work that ordinary requests keep.
#pragma once

#include "turmerichead/sched_types.h"

namespace turmerichead::sched::pvt {

/// Counts engine time granted to each rank while both wait, and says when the
/// next grant is due to the ordinary one.
class floor_tracker {
public:
  /// Aims somewhat above \p Share, because the work is estimated and
  /// ordinary requests do not wait at every moment.
  explicit floor_tracker(double Share) : Floor(Share * Margin) {}

  /// Changes the floor; what is owed so far stays.
  void setFloor(double Changed) { Floor = Changed; }

  /// True when ordinary requests have had less than their floor.
  bool isOrdinaryDue() const { return Floor > 0 && CreditMs > 0; }

  /// Charges a grant of \p WorkMs of engine time. \p OtherRankWaits tells
  /// whether the other rank had requests that waited: only then does a grant
  /// count.
  void charge(rank Rank, double WorkMs, bool OtherRankWaits);

  /// Corrects the charge of a request that is finished by the difference
  /// between its true and its estimated work.
  void correct(rank Rank, double DifferenceMs);

  /// Part of the work granted to ordinary requests while both ranks waited.
  double ordinaryShare() const;

private:
  static constexpr double Margin = 1.08;

  void add(rank Rank, double WorkMs);

  double Floor;
  double CreditMs = 0; ///< Work that is owed to ordinary requests.
  per_rank<double> WorkMs{};
};

} // namespace turmerichead::sched::pvt
