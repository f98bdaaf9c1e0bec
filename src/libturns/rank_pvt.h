/// \file
/// Sorting by a rank that may change during the sort.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace turmerichead::turns {

/// Returns the values in ascending order of rank; the sort is stable.
/// \p RankOf(value) is called once for each value: a rank that depends on the
/// time may change during a sort, and std::sort with an inconsistent order
/// reads and writes out of bounds.
template <typename Value, typename Ranker>
std::vector<Value> sortedByRank(std::vector<Value> Values, Ranker RankOf) {
  std::vector<std::pair<int, std::size_t>> Ranked;
  Ranked.reserve(Values.size());
  for (std::size_t I = 0; I < Values.size(); ++I)
    Ranked.emplace_back(RankOf(Values[I]), I);
  std::sort(Ranked.begin(), Ranked.end());
  std::vector<Value> Sorted;
  Sorted.reserve(Values.size());
  for (const auto &[Rank, Index] : Ranked)
    Sorted.push_back(std::move(Values[Index]));
  return Sorted;
}

} // namespace turmerichead::turns
