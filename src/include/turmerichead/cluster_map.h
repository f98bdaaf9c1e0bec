/// \file
/// The shard map: holder and standbys of each shard.
///
/// The map is one object of the platform, changed only by conditional updates.
/// All functions in this file are pure: they take a map and return the next
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

/// State of a host in the map.
enum class host_state : std::uint8_t {
  Joining, ///< Registered; may be a standby, holds no shards yet.
  Live,
  Leaving ///< Hands its shards over and gets no new ones.
};
std::string_view nameOf(host_state State);

/// A host in the map.
struct host_record {
  std::string Id;
  std::uint64_t Incarnation = 0; ///< Incremented by each process start.
  ip_endpoint Http;
  ip_endpoint Peer;
  std::string DataCentre;
  std::string Region;
  host_state State = host_state::Live;

  friend bool operator==(const host_record &, const host_record &) = default;
};

/// Holder and standbys of a shard.
struct shard_placement {
  std::string Holder; ///< Host id; empty while there is no live host.
  /// Hosts that store records during an outage of the platform, in other data
  /// centres if there are enough. Empty if there is no candidate.
  std::array<std::string, 2> Standbys;
  /// The map version at which Holder (or its incarnation) got the shard: the
  /// fencing token of all operations of the holder for this shard.
  std::uint64_t HeldSince = 0;

  friend bool operator==(const shard_placement &,
                         const shard_placement &) = default;
};

/// The shard map. Hosts are sorted by id; the number of a shard is its index.
struct shard_map {
  std::uint64_t Version = 0; ///< Fencing token; incremented by each change.
  std::vector<host_record> Hosts;
  std::vector<shard_placement> Shards;

  const host_record *find(std::string_view Host) const;
  const shard_placement *placement(std::uint32_t Shard) const;
  /// Returns the shards of \p Host.
  std::vector<std::uint32_t> heldBy(std::string_view Host) const;

  friend bool operator==(const shard_map &, const shard_map &) = default;
};

/// Encodes and decodes the `spec` of the map object. Decoding fails with
/// findings if checkMap() does.
nlohmann::json toJson(const shard_map &Map);
std::optional<shard_map> shardMapFromJson(const nlohmann::json &Spec,
                                          std::string_view Source,
                                          findings &Findings);

/// A shard that has a new holder.
struct shard_move {
  std::uint32_t Shard = 0;
  std::string From; ///< Empty if there was none.
  std::string To;

  friend bool operator==(const shard_move &, const shard_move &) = default;
};

/// A group of runners of one model that share a gate.
struct runner_group {
  std::string Id; ///< "model#3"
  std::vector<std::string> Runners;
};

namespace cluster {

/// Returns the map of a new cluster: no hosts, and \p Shards shards without a
/// holder. Fails for 0 shards or more than MaxShards.
std::optional<shard_map> emptyMap(std::uint32_t Shards);
inline constexpr std::uint32_t MaxShards = 16'384;

/// Returns the shard of a root program.
std::uint32_t shardOf(std::string_view RootProgram, std::uint32_t Shards);

/// Adds a host, or updates one with a new incarnation: its shards stay and
/// their HeldSince increases, which fences the old process. Fails with Conflict
/// for the same or an older incarnation.
std::optional<shard_map> join(const shard_map &Map, host_record Host);

/// Assigns shards to a joining host that has caught up.
std::optional<shard_map> markLive(const shard_map &Map, std::string_view Host);

/// Moves the shards of a host that is about to stop to other hosts. It stays in
/// the map until remove(), so that streams of callers still find it.
std::optional<shard_map> markLeaving(const shard_map &Map,
                                     std::string_view Host);

/// Removes a host without shards. Fails with Conflict if it holds one that
/// another live host could hold.
std::optional<shard_map> remove(const shard_map &Map, std::string_view Host);

/// Removes a dead host. Its shards go to their standbys if possible.
std::optional<shard_map> replaceDead(const shard_map &Map,
                                     std::string_view Host);

/// Checks the invariants of the map: each shard is held by one live host if
/// there is any, standbys are distinct and not the holder, ids are known and
/// unique, and the load is within the balance bound.
bool checkMap(const shard_map &Map, std::string_view Source,
              findings &Findings);

/// Returns the shards with another holder or a newer HeldSince.
std::vector<shard_move> movesBetween(const shard_map &Before,
                                     const shard_map &After);

/// Divides the runners of a model into groups of at most \p GroupSize. Groups
/// are even, and few runners change their group when one is added or removed.
std::vector<runner_group> groupRunners(std::string_view Model,
                                       std::span<const std::string> Runners,
                                       std::size_t GroupSize);

/// Returns the gate host of a group, by rendezvous hashing over the live hosts
/// that are not in \p Suspected. Empty if there is none.
std::string gateHost(const shard_map &Map, std::string_view Group,
                     std::span<const std::string> Suspected = {});

} // namespace cluster
} // namespace turmerichead
