/// \file
/// A queue ordered by virtual arrival time, and a moving event rate, used for
/// the rate at which new programs are started.
#pragma once

#include "turmerichead/sched_types.h"

#include <compare>
#include <set>

namespace turmerichead::sched::pvt {

/// Sort key of a request in its queue; the smallest is granted first.
struct queue_key {
  std::int64_t ArrivalMs = 0;
  std::uint64_t Sequence = 0; ///< Breaks ties by order of arrival.
  request_id Request;

  friend auto operator<=>(const queue_key &, const queue_key &) = default;
};

using request_queue = std::set<queue_key>;

/// Exponentially decaying rate of events, with a time constant of 30 s.
class event_rate {
public:
  /// Counts one event.
  void count(time_point Now);
  /// Returns the rate in events per second; 0 before the first event.
  double perSecond(time_point Now) const;

private:
  double decayedAt(time_point Now) const;

  double Weight = 0;
  time_point Last;
  time_point First;
  bool Any = false;
};

} // namespace turmerichead::sched::pvt
