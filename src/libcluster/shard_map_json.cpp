#include "turmerichead/cluster_map.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace turmerichead {
namespace {

// A shard is encoded as [holder, standby, standby, held since] with indices of
// hosts, so that a map of thousands of shards stays far below a megabyte.
constexpr int NoHost = -1;
constexpr std::size_t ShardFields = 4;

std::optional<host_state> stateFromName(std::string_view Name) {
  for (host_state State :
       {host_state::Joining, host_state::Live, host_state::Leaving})
    if (nameOf(State) == Name)
      return State;
  return std::nullopt;
}

/// Decodes one host. Throws on a wrong type.
std::optional<host_record> hostFromJson(const nlohmann::json &Value) {
  host_record Host;
  Value.at("id").get_to(Host.Id);
  Value.at("incarnation").get_to(Host.Incarnation);
  Value.at("data_centre").get_to(Host.DataCentre);
  Value.at("region").get_to(Host.Region);
  auto Http = ip_endpoint::parse(Value.at("http").get<std::string>());
  auto Peer = ip_endpoint::parse(Value.at("peer").get<std::string>());
  auto State = stateFromName(Value.at("state").get<std::string>());
  if (!Http || !Peer || !State)
    return std::nullopt;
  Host.Http = *Http;
  Host.Peer = *Peer;
  Host.State = *State;
  return Host;
}

/// Decodes the map without checking its invariants.
std::optional<shard_map> readMap(const nlohmann::json &Spec) {
  shard_map Map;
  Spec.at("version").get_to(Map.Version);
  for (const nlohmann::json &Value : Spec.at("hosts")) {
    auto Host = hostFromJson(Value);
    if (!Host)
      return std::nullopt;
    Map.Hosts.push_back(std::move(*Host));
  }
  const auto HostAt = [&Map](const nlohmann::json &Value) -> std::string {
    auto Index = Value.get<std::int64_t>();
    if (Index == NoHost)
      return "";
    return Map.Hosts.at(static_cast<std::size_t>(Index)).Id;
  };
  for (const nlohmann::json &Row : Spec.at("shards")) {
    if (!Row.is_array() || Row.size() != ShardFields)
      return std::nullopt;
    shard_placement Shard;
    Shard.Holder = HostAt(Row[0]);
    Shard.Standbys = {HostAt(Row[1]), HostAt(Row[2])};
    Row[3].get_to(Shard.HeldSince);
    Map.Shards.push_back(std::move(Shard));
  }
  return Map;
}

class map_check {
public:
  map_check(const shard_map &Map, std::string_view Source, findings &Findings)
      : Map(Map), Source(Source), Findings(Findings) {}

  void run() {
    checkHosts();
    for (std::size_t I = 0; I < Map.Shards.size(); ++I)
      checkShard(I, Map.Shards[I]);
    checkLoad();
  }

private:
  void add(std::string Key, std::string Text) {
    Findings.add({std::string(Source), 0, 0, std::move(Key)}, std::move(Text));
  }

  void checkHosts() {
    for (std::size_t I = 0; I < Map.Hosts.size(); ++I) {
      const host_record &Host = Map.Hosts[I];
      if (Host.Id.empty() || (I > 0 && Map.Hosts[I - 1].Id >= Host.Id))
        add("hosts[" + std::to_string(I) + ']',
            "hosts must be sorted by id, each once");
      if (Host.State == host_state::Live)
        Load[Host.Id] = 0;
    }
    if (Map.Shards.empty() || Map.Shards.size() > cluster::MaxShards)
      add("shards", "their number is out of range");
  }

  void checkShard(std::size_t Index, const shard_placement &Shard) {
    std::string Key = "shards[" + std::to_string(Index) + ']';
    auto Holder = Load.find(Shard.Holder);
    if (Holder != Load.end())
      ++Holder->second;
    else if (!Load.empty() || !Shard.Holder.empty())
      add(Key, "its holder is not a live host");
    if (Shard.HeldSince > Map.Version)
      add(Key, "is held since a later version than the map's");
    const auto &[First, Second] = Shard.Standbys;
    bool Distinct =
        First != Shard.Holder && Second != Shard.Holder && First != Second;
    if (!Distinct && !(First.empty() && Second.empty()))
      add(Key, "holder and standbys are not distinct");
    for (const std::string &Standby : Shard.Standbys)
      if (!Standby.empty() && !Map.find(Standby))
        add(Key, "a standby is not a host of the map");
  }

  void checkLoad() {
    if (Load.empty())
      return;
    auto [Least, Most] = std::minmax_element(
        Load.begin(), Load.end(), [](const auto &Left, const auto &Right) {
          return Left.second < Right.second;
        });
    if (Most->second - Least->second > 1)
      add("shards", "are not spread evenly over the live hosts");
  }

  const shard_map &Map;
  std::string_view Source;
  findings &Findings;
  std::map<std::string, std::size_t, std::less<>> Load;
};

} // namespace

nlohmann::json toJson(const shard_map &Map) {
  nlohmann::json Hosts = nlohmann::json::array();
  std::map<std::string_view, int> Index = {{"", NoHost}};
  for (const host_record &Host : Map.Hosts) {
    Index[Host.Id] = static_cast<int>(Hosts.size());
    Hosts.push_back({{"id", Host.Id},
                     {"incarnation", Host.Incarnation},
                     {"http", Host.Http.toText()},
                     {"peer", Host.Peer.toText()},
                     {"data_centre", Host.DataCentre},
                     {"region", Host.Region},
                     {"state", nameOf(Host.State)}});
  }
  nlohmann::json Shards = nlohmann::json::array();
  for (const shard_placement &Shard : Map.Shards)
    Shards.push_back(
        nlohmann::json::array({Index[Shard.Holder], Index[Shard.Standbys[0]],
                               Index[Shard.Standbys[1]], Shard.HeldSince}));
  return {{"version", Map.Version},
          {"hosts", std::move(Hosts)},
          {"shards", std::move(Shards)}};
}

std::optional<shard_map> shardMapFromJson(const nlohmann::json &Spec,
                                          std::string_view Source,
                                          findings &Findings) {
  std::optional<shard_map> Map;
  // Exceptions for wrong types and indices out of range are caught here.
  try {
    Map = readMap(Spec);
  } catch (const std::exception &) {
    Map.reset();
  }
  if (!Map) {
    Findings.add({std::string(Source), 0, 0, ""}, "is not a shard map");
    return std::nullopt;
  }
  if (!cluster::checkMap(*Map, Source, Findings))
    return std::nullopt;
  return Map;
}

bool cluster::checkMap(const shard_map &Map, std::string_view Source,
                       findings &Findings) {
  findings Own;
  map_check(Map, Source, Own).run();
  for (const finding &Row : Own.rows())
    Findings.add(Row.Place, Row.Text);
  return Own.empty();
}

} // namespace turmerichead
