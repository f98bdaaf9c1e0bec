/// \file
/// Time as the project counts it: milliseconds of a steady clock for
/// decisions, and of the wall clock for people and for the platform.
#pragma once

#include <chrono>
#include <cstdint>

namespace turmerichead {

using milliseconds = std::chrono::milliseconds;

/// A moment of the steady clock that a caller passes in. The decision core
/// has no clock of its own; it sees only values of this type.
struct time_point {
  std::int64_t Ms = 0;

  friend auto operator<=>(const time_point &, const time_point &) = default;
  friend time_point operator+(time_point Left, milliseconds Right) {
    return {Left.Ms + Right.count()};
  }
  friend time_point operator-(time_point Left, milliseconds Right) {
    return {Left.Ms - Right.count()};
  }
  friend milliseconds operator-(time_point Left, time_point Right) {
    return milliseconds(Left.Ms - Right.Ms);
  }
};

/// The steady clock now. For the daemon's outer layer only.
time_point steadyNow();

/// A steady clock that also counts the time for which the machine was
/// suspended. For the age of what others have said.
time_point bootNow();

/// Milliseconds since 1970 by the wall clock. For the daemon's outer layer
/// only.
std::int64_t wallNowMs();

} // namespace turmerichead
