#include "turmerichead/sched_admission.h"

namespace turmerichead::sched {

bool circuit_breaker::allows(time_point Now) const {
  if (!Tripped)
    return true;
  return Now >= OpenUntil && !ProbeInFlight;
}

void circuit_breaker::started(time_point Now) {
  if (Tripped && Now >= OpenUntil)
    ProbeInFlight = true;
}

void circuit_breaker::succeeded() {
  ErrorsInRow = 0;
  // A call that was sent before the breaker opened says nothing about the
  // upstream now; only a probe closes the breaker.
  if (ProbeInFlight) {
    Tripped = false;
    ProbeInFlight = false;
  }
}

void circuit_breaker::failed(time_point Now) {
  ++ErrorsInRow;
  if (ProbeInFlight || ErrorsInRow >= MaxErrors)
    trip(Now);
}

void circuit_breaker::trip(time_point Now) {
  Tripped = true;
  ProbeInFlight = false;
  OpenUntil = Now + OpenFor;
}

void circuit_breaker::cancelled() { ProbeInFlight = false; }

} // namespace turmerichead::sched
