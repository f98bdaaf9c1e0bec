/// \file
/// The checks of sound traffic that the tests of a fleet have in common.
#pragma once

#include "callers.h"

#include <doctest/doctest.h>

namespace turmerichead::fleet_harness {

/// Checks that no answer was wrong, that no sound request was quarantined, and
/// that most were answered.
inline void judgeSound(const sound_traffic &Traffic) {
  const sound_counts &Counts = Traffic.counts();
  MESSAGE("sound: " << Counts.Turns << " requests, " << Counts.Answered
                    << " answered, " << Counts.Refused << " refused, "
                    << Counts.Broken << " broken");
  CHECK(Counts.Condemned == 0);
  CHECK(Counts.Wrong == 0);
  CHECK(Counts.Answered > Counts.Turns / 2);
}

} // namespace turmerichead::fleet_harness
