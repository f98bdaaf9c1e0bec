#include "queue_pvt.h"

#include <algorithm>
#include <cmath>

namespace turmerichead::sched::pvt {

namespace {
/// Time constant of the decay.
constexpr double WindowMs = 30'000;
/// Lower bound of the time since the first event, so that the first events do
/// not yield a very high rate.
constexpr double MinSpanMs = 2'000;
} // namespace

double event_rate::decayedAt(time_point Now) const {
  auto Passed = static_cast<double>((Now - Last).count());
  return Weight * std::exp(-std::max(0.0, Passed) / WindowMs);
}

void event_rate::count(time_point Now) {
  if (!Any)
    First = Now;
  Any = true;
  Weight = decayedAt(Now) + 1;
  Last = Now;
}

double event_rate::perSecond(time_point Now) const {
  if (!Any)
    return 0;
  // Soon after the first event, events have been counted for less than the
  // whole window.
  auto Passed = static_cast<double>((Now - First).count());
  double Span =
      WindowMs * (1 - std::exp(-std::max(Passed, MinSpanMs) / WindowMs));
  return decayedAt(Now) / Span * 1000;
}

} // namespace turmerichead::sched::pvt
