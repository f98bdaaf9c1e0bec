/// \file
/// What tests of limits measure: requests in a window of time.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

namespace turmerichead::pvt {

inline constexpr std::int64_t LimitWindowMs = 4000;

/// Returns the most of \p Times, in milliseconds and not before \p FromMs, that
/// lie within \p WindowMs.
inline std::size_t mostInWindow(std::vector<std::int64_t> Times,
                                std::int64_t FromMs,
                                std::int64_t WindowMs = LimitWindowMs) {
  std::erase_if(Times, [&](std::int64_t Time) { return Time < FromMs; });
  std::sort(Times.begin(), Times.end());
  std::size_t Most = 0;
  std::size_t Begin = 0;
  for (std::size_t I = 0; I < Times.size(); ++I) {
    while (Times[I] - Times[Begin] >= WindowMs)
      ++Begin;
    Most = std::max(Most, I - Begin + 1);
  }
  return Most;
}

/// Returns what an upstream may get in LimitWindowMs: one and a half times its
/// limit, and 5.
inline double allowedInWindow(double PerSecond) {
  constexpr double Factor = 1.5;
  constexpr double Extra = 5;
  constexpr double MsPerSecond = 1000;
  return Factor * PerSecond * static_cast<double>(LimitWindowMs) / MsPerSecond +
         Extra;
}

} // namespace turmerichead::pvt
