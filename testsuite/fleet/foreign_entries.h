/// \file
/// Writes entries of another writer into the store of a fleet.
#pragma once

#include "fleet.h"

#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace turmerichead::fleet_harness {

/// Keeps odd entries in all kinds of the store while it lives: some always, the
/// others written, changed and removed in turn. The store's lists have a few
/// rows a page from then on, so that each entry ends a page at times, and what
/// the store makes of a list after an odd name changes every few seconds.
class foreign_entries {
public:
  foreign_entries(fleet &Fleet, std::uint64_t Seed);

  /// From now on also overwrites or deletes the disk set at times, unless it is
  /// joint: a joint set is not restored.
  void loseDiskSets();

  /// The kinds of the store that hosts read.
  static const std::vector<std::string> &kinds();

private:
  void change();
  void changeContinuation();
  void loseDiskSet();
  void put(const std::string &Kind, const std::string &Name);

  fleet &Fleet;
  std::mt19937_64 Random;
  std::set<std::pair<std::string, std::string>> Present; ///< Kind and name.
  loop_source Changes;
  loop_source Losses; ///< Of the disk set.
};

} // namespace turmerichead::fleet_harness
