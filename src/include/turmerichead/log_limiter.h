/// \file
/// Bounds the number of log lines of one kind. Reads no clock.
#pragma once

#include "turmerichead/clock.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace turmerichead {

/// Allows one log line a second, for events that clients can cause at any rate.
class log_limiter {
public:
  /// Whether a line may be logged at \p Now. It then counts as logged.
  bool allows(time_point Now) {
    constexpr milliseconds Interval{1000};
    if (LoggedAt && Now - *LoggedAt < Interval) {
      ++Omitted;
      return false;
    }
    LoggedAt = Now;
    return true;
  }

  /// Returns the number of events that were not logged since the last call.
  std::uint64_t takeOmitted() { return std::exchange(Omitted, 0); }

private:
  std::uint64_t Omitted = 0;
  std::optional<time_point> LoggedAt;
};

} // namespace turmerichead
