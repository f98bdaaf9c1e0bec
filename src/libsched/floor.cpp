#include "floor_pvt.h"

#include <algorithm>

namespace turmerichead::sched::pvt {

namespace {
/// Upper bound of the credit of either rank, so that a long overload by one
/// rank does not block the other for a long time afterwards.
constexpr double MaxCreditMs = 30'000;
} // namespace

void floor_tracker::add(rank Rank, double Work) {
  WorkMs[indexOf(Rank)] += Work;
  CreditMs += Rank == rank::Urgent ? Floor * Work : -(1 - Floor) * Work;
  CreditMs = std::clamp(CreditMs, -MaxCreditMs, MaxCreditMs);
}

void floor_tracker::charge(rank Rank, double Work, bool OtherRankWaits) {
  if (OtherRankWaits)
    add(Rank, Work);
}

void floor_tracker::correct(rank Rank, double DifferenceMs) {
  add(Rank, DifferenceMs);
}

double floor_tracker::ordinaryShare() const {
  double All = WorkMs[0] + WorkMs[1];
  return All > 0 ? WorkMs[indexOf(rank::Ordinary)] / All : 0;
}

} // namespace turmerichead::sched::pvt
