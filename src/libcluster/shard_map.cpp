#include "turmerichead/cluster_map.h"

#include "assignment_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"

#include <algorithm>

namespace turmerichead {

std::string_view nameOf(host_state State) {
  switch (State) {
  case host_state::Joining:
    return "joining";
  case host_state::Live:
    return "live";
  case host_state::Leaving:
    return "leaving";
  }
  return "";
}

namespace {

auto lowerBound(auto &Hosts, std::string_view Id) {
  return std::lower_bound(Hosts.begin(), Hosts.end(), Id,
                          [](const host_record &Row, std::string_view Key) {
                            return Row.Id.compare(Key) < 0;
                          });
}

std::nullopt_t noSuchHost(std::string_view Host) {
  return fail(error_code::NotFound,
              "host " + std::string(Host) + " is not in the shard map");
}

/// The next version of the map, and the index of \p Host in it.
struct next_map {
  shard_map Map;
  std::vector<host_record>::iterator Host;
};

std::optional<next_map> nextWith(const shard_map &Map, std::string_view Host) {
  next_map Next{Map, {}};
  ++Next.Map.Version;
  Next.Host = lowerBound(Next.Map.Hosts, Host);
  if (Next.Host == Next.Map.Hosts.end() || Next.Host->Id != Host)
    return noSuchHost(Host);
  return Next;
}

std::optional<shard_map> withState(const shard_map &Map, std::string_view Host,
                                   host_state State) {
  auto Next = nextWith(Map, Host);
  if (!Next)
    return std::nullopt;
  Next->Host->State = State;
  pvt::assignShards(Next->Map);
  return std::move(Next->Map);
}

std::optional<shard_map> without(const shard_map &Map, std::string_view Host) {
  auto Next = nextWith(Map, Host);
  if (!Next)
    return std::nullopt;
  Next->Map.Hosts.erase(Next->Host);
  pvt::assignShards(Next->Map);
  return std::move(Next->Map);
}

} // namespace

const host_record *shard_map::find(std::string_view Host) const {
  auto Found = lowerBound(Hosts, Host);
  return Found != Hosts.end() && Found->Id == Host ? &*Found : nullptr;
}

const shard_placement *shard_map::placement(std::uint32_t Shard) const {
  return Shard < Shards.size() ? &Shards[Shard] : nullptr;
}

std::vector<std::uint32_t> shard_map::heldBy(std::string_view Host) const {
  std::vector<std::uint32_t> Result;
  for (std::size_t I = 0; I < Shards.size(); ++I)
    if (Shards[I].Holder == Host)
      Result.push_back(static_cast<std::uint32_t>(I));
  return Result;
}

namespace cluster {

std::optional<shard_map> emptyMap(std::uint32_t Shards) {
  if (Shards == 0 || Shards > MaxShards)
    return fail(error_code::InvalidInput,
                "a cluster has 1 to " + std::to_string(MaxShards) + " shards");
  shard_map Map;
  Map.Shards.resize(Shards);
  return Map;
}

std::uint32_t shardOf(std::string_view RootProgram, std::uint32_t Shards) {
  return static_cast<std::uint32_t>(hash64(RootProgram) % Shards);
}

std::optional<shard_map> join(const shard_map &Map, host_record Host) {
  if (Host.Id.empty())
    return fail(error_code::InvalidInput, "a host needs an id");
  shard_map Next = Map;
  ++Next.Version;
  auto Found = lowerBound(Next.Hosts, Host.Id);
  if (Found == Next.Hosts.end() || Found->Id != Host.Id) {
    Next.Hosts.insert(Found, std::move(Host));
    pvt::assignShards(Next);
    return Next;
  }
  if (Host.Incarnation <= Found->Incarnation)
    return fail(error_code::Conflict, "host " + Host.Id +
                                          " is in the map with incarnation " +
                                          std::to_string(Found->Incarnation));
  bool HoldsShards = false;
  for (shard_placement &Shard : Next.Shards)
    if (Shard.Holder == Host.Id) {
      Shard.HeldSince = Next.Version;
      HoldsShards = true;
    }
  if (HoldsShards && Host.State == host_state::Joining)
    Host.State = host_state::Live;
  *Found = std::move(Host);
  pvt::assignShards(Next);
  return Next;
}

std::optional<shard_map> markLive(const shard_map &Map, std::string_view Host) {
  return withState(Map, Host, host_state::Live);
}

std::optional<shard_map> markLeaving(const shard_map &Map,
                                     std::string_view Host) {
  return withState(Map, Host, host_state::Leaving);
}

std::optional<shard_map> remove(const shard_map &Map, std::string_view Host) {
  bool OtherLive = std::any_of(
      Map.Hosts.begin(), Map.Hosts.end(), [Host](const host_record &Row) {
        return Row.Id != Host && Row.State == host_state::Live;
      });
  if (OtherLive && !Map.heldBy(Host).empty())
    return fail(error_code::Conflict,
                "host " + std::string(Host) + " still holds shards");
  return without(Map, Host);
}

std::optional<shard_map> replaceDead(const shard_map &Map,
                                     std::string_view Host) {
  return without(Map, Host);
}

std::vector<shard_move> movesBetween(const shard_map &Before,
                                     const shard_map &After) {
  std::vector<shard_move> Result;
  for (std::size_t I = 0; I < After.Shards.size(); ++I) {
    const shard_placement &New = After.Shards[I];
    shard_placement Old;
    if (I < Before.Shards.size())
      Old = Before.Shards[I];
    if (Old.Holder != New.Holder || Old.HeldSince < New.HeldSince)
      Result.push_back({static_cast<std::uint32_t>(I), Old.Holder, New.Holder});
  }
  return Result;
}

} // namespace cluster
} // namespace turmerichead
