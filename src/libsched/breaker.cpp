#include "turmerichead/sched_admission.h"

namespace turmerichead::sched {

bool circuit_breaker::allows(time_point Now) const {
  if (!Tripped)
    return true;
  return Now >= OpenUntil && !Trying;
}

void circuit_breaker::started(time_point Now) {
  if (Tripped && Now >= OpenUntil)
    Trying = true;
}

void circuit_breaker::succeeded() {
  ErrorsInRow = 0;
  // A call from before the trip tells nothing; only the trial closes it.
  if (Trying) {
    Tripped = false;
    Trying = false;
  }
}

void circuit_breaker::failed(time_point Now) {
  ++ErrorsInRow;
  if (Trying || ErrorsInRow >= MaxErrors)
    trip(Now);
}

void circuit_breaker::trip(time_point Now) {
  Tripped = true;
  Trying = false;
  OpenUntil = Now + OpenFor;
}

void circuit_breaker::abandoned() { Trying = false; }

} // namespace turmerichead::sched
