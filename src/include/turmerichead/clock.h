/// \file
/// Times in milliseconds: of the steady clock for decisions, and of the wall
/// clock for operators and for the platform.
#pragma once

#include <chrono>
#include <cstdint>

namespace turmerichead {

using milliseconds = std::chrono::milliseconds;

/// A point in time of the steady clock. The decision core reads no clock; it is
/// passed values of this type.
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

/// Reads the steady clock. Not for the decision core.
time_point steadyNow();

/// Reads a steady clock that also counts the time for which the machine was
/// suspended. Used for the age of data from other hosts.
time_point bootNow();

/// Reads the wall clock, in milliseconds since 1970. Not for the decision core.
std::int64_t wallNowMs();

} // namespace turmerichead
