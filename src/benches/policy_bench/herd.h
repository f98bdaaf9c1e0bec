/// \file
/// Several holders that choose groups at once from the same old summaries.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

/// How evenly one way of choosing loads the groups.
struct herd_figures {
  std::string Way;
  /// The fullest group's work in flight, of the mean of all groups; the 95th
  /// percentile over time.
  double Unevenness = 0;
  /// Part of the calls that met a group with more work than slots.
  double QueuedPart = 0;
};

/// Runs each way once with the programs of \p Seed.
std::vector<herd_figures> measureHerd(std::uint64_t Seed);

} // namespace bench
