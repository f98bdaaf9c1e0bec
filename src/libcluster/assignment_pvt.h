/// \file
/// Assignment of shards to live hosts.
#pragma once

#include "turmerichead/cluster_map.h"

namespace turmerichead::pvt {

/// Assigns a live holder and standbys to every shard. It moves as few shards as
/// an even load allows. HeldSince of shards with a new holder is set to the
/// version of \p Map.
void assignShards(shard_map &Map);

/// Returns the rendezvous hash weight of \p Host for \p Key.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Host);

} // namespace turmerichead::pvt
