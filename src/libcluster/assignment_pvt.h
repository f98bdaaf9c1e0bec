/// \file
/// Which host holds which shard, given who is alive.
#pragma once

#include "turmerichead/cluster_map.h"

namespace turmerichead::pvt {

/// Gives every shard a live holder and standbys, moving as few shards as an
/// even load allows. Shards whose holder changes get \p Map's version as
/// HeldSince.
void assignShards(shard_map &Map);

/// Weight of \p Host for \p Key in rendezvous hashing.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Host);

} // namespace turmerichead::pvt
