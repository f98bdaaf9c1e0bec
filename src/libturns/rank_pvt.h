/// \file
/// The order in which disk hosts are used, and sorting by a rank that may
/// change during the sort.
#pragma once

#include "turmerichead/hash.h"
#include "turmerichead/turns_set.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
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

/// Returns the order in which an entry host in \p DataCentre uses disk hosts
/// for the turns of \p Program: those of its data centre first, and those for
/// which \p IsUnresponsive(address) is true last. Hosts of the same rank are
/// ordered by a hash of the program, so that each stores about as many turns,
/// and all turns of a program are on the same ones.
template <typename Predicate>
std::vector<disk_host>
hostsForProgram(std::vector<disk_host> Hosts, std::string_view DataCentre,
                std::string_view Program, Predicate IsUnresponsive) {
  std::uint64_t Seed = hash64(Program);
  std::sort(Hosts.begin(), Hosts.end(),
            [Seed](const disk_host &Left, const disk_host &Right) {
              return hash64(Left.Address, Seed) < hash64(Right.Address, Seed);
            });
  return sortedByRank(std::move(Hosts), [&](const disk_host &Host) {
    return (IsUnresponsive(Host.Address) ? 2 : 0) +
           (Host.DataCentre == DataCentre ? 0 : 1);
  });
}

} // namespace turmerichead::turns
