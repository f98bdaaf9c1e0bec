/// \file
/// A queue ordered by virtual arrival time, and the rate at which new
/// programs leave it.
#pragma once

#include "turmerichead/sched_types.h"

#include <compare>
#include <set>

namespace turmerichead::sched::pvt {

/// Placement of a request in its queue; the smallest goes first.
struct queue_key {
  std::int64_t ArrivalMs = 0;
  std::uint64_t Sequence = 0; ///< Order of arrival among equals.
  request_id Request;

  friend auto operator<=>(const queue_key &, const queue_key &) = default;
};

using request_queue = std::set<queue_key>;

/// Events a second over the last half minute or so.
class event_rate {
public:
  void count(time_point Now);
  double perSecond(time_point Now) const;

private:
  double decayedAt(time_point Now) const;

  double Weight = 0;
  time_point Last;
  time_point First;
  bool Any = false;
};

} // namespace turmerichead::sched::pvt
