/// \file
/// The shard map: which host holds which shard, and who stands by.
///
/// The map is one object of the platform, changed by conditional updates
/// only. Every function here is pure: it takes a map and returns the next
/// one, whose version is higher by one.
///
///     auto Next = cluster::replaceDead(Map, "yard-a-2");
///     if (Next && platform.put("shardmaps", toJson(*Next), Revision))
///       ...
#pragma once

#include "turmerichead/endpoint.h"
#include "turmerichead/findings.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// What the map says of a host.
enum class host_state : std::uint8_t {
  Joining, ///< Registered; may stand by, holds nothing yet.
  Live,
  Leaving ///< Hands its shards over; gets nothing new.
};
std::string_view nameOf(host_state State);

/// One host of the map.
struct host_record {
  std::string Id;
  std::uint64_t Incarnation = 0; ///< Rises with each start of the process.
  ip_endpoint Http;
  ip_endpoint Peer;
  std::string DataCentre;
  std::string Region;
  host_state State = host_state::Live;

  friend bool operator==(const host_record &, const host_record &) = default;
};

/// Who has a shard.
struct shard_placement {
  std::string Holder; ///< Host id; empty while there is no live host.
  /// Hosts that keep records during an outage of the platform, in other data
  /// centres where there are enough. Empty: none could be found.
  std::array<std::string, 2> Standbys;
  /// The map version at which Holder (or its incarnation) got the shard. The
  /// fencing number of everything the holder does for this shard.
  std::uint64_t HeldSince = 0;

  friend bool operator==(const shard_placement &,
                         const shard_placement &) = default;
};

/// The whole map. Hosts are sorted by id; a shard's number is its index.
struct shard_map {
  std::uint64_t Version = 0; ///< Fencing number; rises by one a change.
  std::vector<host_record> Hosts;
  std::vector<shard_placement> Shards;

  const host_record *find(std::string_view Host) const;
  const shard_placement *placement(std::uint32_t Shard) const;
  /// Shards that \p Host holds.
  std::vector<std::uint32_t> heldBy(std::string_view Host) const;

  friend bool operator==(const shard_map &, const shard_map &) = default;
};

/// The `spec` of the map's object, and back. A spec that breaks a rule of
/// checkMap() is refused with findings.
nlohmann::json toJson(const shard_map &Map);
std::optional<shard_map> shardMapFromJson(const nlohmann::json &Spec,
                                          std::string_view Source,
                                          findings &Findings);

/// A shard that has a new holder.
struct shard_move {
  std::uint32_t Shard = 0;
  std::string From; ///< Empty: it had none.
  std::string To;

  friend bool operator==(const shard_move &, const shard_move &) = default;
};

/// A group of runners of one model that share a gate.
struct runner_group {
  std::string Id; ///< "model#3"
  std::vector<std::string> Runners;
};

namespace cluster {

/// The map of a new cluster: no hosts, \p Shards shards without holder.
/// Fails for 0 shards or more than MaxShards.
std::optional<shard_map> emptyMap(std::uint32_t Shards);
inline constexpr std::uint32_t MaxShards = 16'384;

/// The shard of a root program.
std::uint32_t shardOf(std::string_view RootProgram, std::uint32_t Shards);

/// Adds a host, or brings back one under a new incarnation (its shards stay
/// and their HeldSince rises, so that the old process is fenced). Fails with
/// Conflict for the same or an older incarnation.
std::optional<shard_map> join(const shard_map &Map, host_record Host);

/// A joining host has caught up and takes its part of the shards.
std::optional<shard_map> markLive(const shard_map &Map, std::string_view Host);

/// A host is about to stop: its shards go to others; it stays in the map
/// until remove(), so that callers' streams still find it.
std::optional<shard_map> markLeaving(const shard_map &Map,
                                     std::string_view Host);

/// Takes out a host that holds no shard any more. Fails with Conflict if it
/// holds one and another live host could.
std::optional<shard_map> remove(const shard_map &Map, std::string_view Host);

/// Takes out a dead host; its shards go to their standbys first.
std::optional<shard_map> replaceDead(const shard_map &Map,
                                     std::string_view Host);

/// Every rule the map must keep: each shard held by one live host if there is
/// any, standbys distinct and not the holder, ids known and unique, the load
/// within the balance bound.
bool checkMap(const shard_map &Map, std::string_view Source,
              findings &Findings);

/// Shards with another holder or a newer HeldSince.
std::vector<shard_move> movesBetween(const shard_map &Before,
                                     const shard_map &After);

/// Divides the runners of a model into groups of at most \p GroupSize, evenly
/// and so that few runners change group when one comes or goes.
std::vector<runner_group> groupRunners(std::string_view Model,
                                       std::span<const std::string> Runners,
                                       std::size_t GroupSize);

/// The gate host of a group: rendezvous over the live hosts of the map that
/// are not in \p Suspected. Empty if there is none.
std::string gateHost(const shard_map &Map, std::string_view Group,
                     std::span<const std::string> Suspected = {});

} // namespace cluster
} // namespace turmerichead
