#include "membership_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr std::string_view MapPlural = "shardmaps";
constexpr std::string_view MapName = "main";
constexpr milliseconds JoinRetry{200};
constexpr milliseconds AskPeersInterval{1000};
/// Heartbeats with different catalogues after which digests are sent.
constexpr int BeatsBeforeDigest = 8;

json mapObject(const shard_map &Map, std::uint64_t Revision) {
  json Object = {{"metadata", {{"name", MapName}}}, {"spec", toJson(Map)}};
  if (Revision != 0)
    Object["metadata"]["resourceVersion"] = std::to_string(Revision);
  return Object;
}

std::optional<shard_map> parseMap(const json &Object) {
  findings Findings;
  if (!Object.is_object() || !Object.contains("spec"))
    return fail(error_code::Corrupt, "shard map object without a spec");
  auto Map =
      shardMapFromJson(Object["spec"], "platform:shardmaps/main", Findings);
  if (!Map)
    log::error("shard map does not check", {{"findings", Findings.toText()}});
  return Map;
}

config_row rowOf(const config_item &Item) {
  return {Item.Name, Item.Version,   Item.Deleted,
          Item.Spec, Item.ChangedBy, Item.ChangedAtMs};
}

} // namespace

membership::membership(host_context &Context, membership_events Events)
    : Context(Context), Events(std::move(Events)) {
  AskTimer = timer::every(AskPeersInterval, [this] { askPeers(); });
}

// -- Joining ----------------------------------------------------------------

void membership::join() {
  Joined = false;
  tryJoin();
}

void membership::tryJoin() {
  if (Joined || Joining)
    return;
  Joining = true;
  Context.Platform->get(MapPlural, MapName,
                        [this](const platform_reply &Reply) {
                          Joining = false;
                          onMapRead(Reply);
                        });
}

void membership::onMapRead(const platform_reply &Reply) {
  if (Reply.Outcome == platform_outcome::Ok) {
    writeJoined(Reply.Object);
    return;
  }
  if (Reply.Outcome == platform_outcome::NotFound) {
    writeJoined(std::nullopt);
    return;
  }
  after(JoinRetry, [this] { tryJoin(); });
}

void membership::writeJoined(std::optional<json> Current) {
  auto Again = [this] { after(JoinRetry, [this] { tryJoin(); }); };
  std::optional<shard_map> Map;
  std::uint64_t Revision = 0;
  if (Current) {
    Map = parseMap(*Current);
    Revision = versionOf(*Current);
  } else {
    Map = cluster::emptyMap(
        static_cast<std::uint32_t>(Context.Settings.Cluster.Shards));
  }
  if (!Map) {
    Again();
    return;
  }
  host_record Self;
  Self.Id = Context.self();
  Self.Http = Context.Settings.Host.Listen;
  Self.Peer = Context.Settings.Host.PeerListen;
  Self.DataCentre = Context.Settings.Host.DataCentre;
  Self.Region = Context.Settings.Host.Region;
  // The wall clock prevents that an incarnation is reused after the host was
  // removed from the map. If the clock is wrong, the journal names detect it.
  Self.Incarnation = static_cast<std::uint64_t>(wallNowMs());
  if (const host_record *Known = Map->find(Self.Id))
    Self.Incarnation = std::max(Self.Incarnation, Known->Incarnation + 1);
  Self.Incarnation = std::max(Self.Incarnation, Context.Incarnation + 1);
  auto Next = cluster::join(*Map, Self);
  if (Next)
    if (auto Live = cluster::markLive(*Next, Self.Id))
      Next = std::move(Live);
  if (!Next) {
    log::error("cannot join the map", {{"reason", lastError().Text}});
    Again();
    return;
  }
  Joining = true;
  auto Done = [this, Again, Incarnation = Self.Incarnation,
               Map = *Next](const platform_reply &Reply) {
    Joining = false;
    if (Reply.Outcome != platform_outcome::Ok) {
      // If the answer was lost, the next attempt joins again with a higher
      // incarnation.
      Again();
      return;
    }
    Joined = true;
    Context.Incarnation = Incarnation;
    detector_options Options;
    Options.Heartbeat = Context.Settings.Cluster.Heartbeat;
    Options.Suspect = Context.Settings.Cluster.Suspect;
    Context.Detector =
        failure_detector::create(Context.self(), Incarnation, Options);
    log::info("joined the map", {{"incarnation", Incarnation},
                                 {"version", Map.Version},
                                 {"hosts", Map.Hosts.size()}});
    Context.Map = {};
    useMap(Map, versionOf(Reply.Object));
    Events.OnJoined();
    watchMap();
    BeatTimer =
        timer::every(Context.Settings.Cluster.Heartbeat, [this] { beat(); });
  };
  if (Revision == 0)
    Context.Platform->create(MapPlural, mapObject(*Next, 0), Done);
  else
    Context.Platform->update(MapPlural, mapObject(*Next, Revision), Done);
}

// -- The map ----------------------------------------------------------------

void membership::watchMap() {
  if (Watching)
    return;
  Watching = true;
  platform_watch_events Handlers;
  Handlers.OnChange = [this](platform_change Change, const json &Object) {
    if (Change != platform_change::Deleted && nameOfObject(Object) == MapName)
      takeMap(Object);
  };
  Context.Platform->watch(MapPlural, std::move(Handlers));
}

bool membership::takeMap(const json &Object) {
  auto Map = parseMap(Object);
  if (!Map || Map->Version <= Context.Map.Version)
    return false;
  useMap(std::move(*Map), versionOf(Object));
  return true;
}

void membership::useMap(shard_map Map, std::uint64_t Revision) {
  Context.Map = std::move(Map);
  if (Revision != 0)
    Context.MapRevision = Revision;
  for (const host_record &Host : Context.Map.Hosts)
    Context.Links->setAddress(Host.Id, Host.Peer.toText());
  if (!Joined)
    return;
  const host_record *Self = Context.Map.find(Context.self());
  bool Replaced = !Self || Self->Incarnation != Context.Incarnation;
  if (Replaced && !Context.Draining) {
    log::warn("this host was replaced", {{"map", Context.Map.Version}});
    Context.Metrics.add("replaced_total");
    BeatTimer.stop();
    Events.OnReplaced();
    join();
    return;
  }
  if (Context.Detector)
    Context.Detector->setMembers(Context.Map, steadyNow());
  Events.OnMap();
}

void membership::changeMap(map_change Change, std::function<void()> Done) {
  if (Changing)
    return;
  Changing = true;
  Context.Platform->get(MapPlural, MapName,
                        [this, Change = std::move(Change),
                         Done = std::move(Done)](const platform_reply &Reply) {
                          Changing = false;
                          if (Reply.Outcome != platform_outcome::Ok)
                            return;
                          takeMap(Reply.Object);
                          auto Map = parseMap(Reply.Object);
                          auto Next = Map ? Change(*Map) : std::nullopt;
                          if (!Next)
                            return;
                          Changing = true;
                          Context.Platform->update(
                              MapPlural,
                              mapObject(*Next, versionOf(Reply.Object)),
                              [this, Done](const platform_reply &Written) {
                                Changing = false;
                                if (Written.Outcome != platform_outcome::Ok)
                                  return;
                                takeMap(Written.Object);
                                if (Done)
                                  Done();
                              });
                        });
}

void membership::leave() {
  if (!Joined)
    return;
  changeMap(
      [this](const shard_map &Map) -> std::optional<shard_map> {
        const host_record *Self = Map.find(Context.self());
        if (!Self || Self->State == host_state::Leaving)
          return std::nullopt;
        return cluster::markLeaving(Map, Context.self());
      },
      {});
}

void membership::remove(std::function<void()> Done) {
  if (!Joined) {
    Done();
    return;
  }
  changeMap(
      [this](const shard_map &Map) {
        return cluster::remove(Map, Context.self());
      },
      std::move(Done));
}

// -- Heartbeats -------------------------------------------------------------

void membership::beat() {
  time_point Now = steadyNow();
  Context.Detector->tick(Now);
  for (const std::string &Dead : Context.Detector->proposals(Now)) {
    log::warn("host is dead, its shards move", {{"dead", Dead}});
    changeMap(
        [Dead](const shard_map &Map) -> std::optional<shard_map> {
          if (!Map.find(Dead))
            return std::nullopt;
          return cluster::replaceDead(Map, Dead);
        },
        {});
  }
  beat_message Message;
  Message.Beat = encode(Context.Detector->compose(Now, Context.Map.Version,
                                                  Context.Config.summary()));
  Message.Groups = Events.Loads();
  std::string Plain = pack(Message);
  for (const std::string &Target : Context.Detector->targets(Now)) {
    std::string Body = Plain;
    if (Differing[Target] >= BeatsBeforeDigest) {
      Differing[Target] = 0;
      beat_message Whole = Message;
      Whole.Digest = encode(Context.Config.digest());
      Body = pack(Whole);
    }
    Context.Metrics.add("control_bytes_total", "kind=\"beat\"",
                        static_cast<double>(Body.size()));
    Context.Links->send(
        Target, {.Path = std::string(BeatPath), .Headers = {}, .Body = Body},
        {.OnMessage = [this](std::string_view Bytes) { takeState(Bytes); },
         .OnEnd = {}});
  }
}

state_message membership::receive(std::string_view From,
                                  const beat_message &Message) {
  state_message Reply;
  auto Beat = decodeHeartbeat(Message.Beat);
  if (!Beat || Beat->From != From || !Context.Detector)
    return Reply;
  Context.Detector->receive(*Beat, steadyNow());
  Context.Force.heard(Beat->From, Beat->Config.Root,
                      Context.Config.summary().Root);
  for (const group_load &Load : Message.Groups)
    Context.GroupLoads[Load.Group] = Load;
  // Versions identify newer items; a digest identifies items that a watch has
  // missed.
  bool Differs = Beat->Config.Root != Context.Config.summary().Root;
  Differing[Beat->From] = Differs ? Differing[Beat->From] + 1 : 0;
  std::vector<config_item> Lacking = Context.Config.deltaSince(Beat->Config);
  if (!Message.Digest.empty())
    if (auto Digest = decodeDigest(Message.Digest))
      Lacking = Context.Config.deltaFor(*Digest);
  for (const config_item &Item : Lacking)
    Reply.Config.push_back(rowOf(Item));
  if (Beat->MapVersion < Context.Map.Version) {
    Reply.Map = toJson(Context.Map).dump();
    Reply.MapRevision = Context.MapRevision;
  }
  return Reply;
}

void membership::takeState(std::string_view Bytes) {
  auto State = unpack<state_message>(Bytes);
  if (!State)
    return;
  if (!State->Config.empty())
    Events.OnConfig(State->Config);
  if (!State->Upstreams.empty())
    Events.OnUpstreams(State->Upstreams);
  if (State->Map.empty())
    return;
  findings Findings;
  json Spec = json::parse(State->Map, nullptr, false);
  auto Map = shardMapFromJson(Spec, "peer", Findings);
  if (Map && Map->Version > Context.Map.Version)
    useMap(std::move(*Map), State->MapRevision);
}

state_message membership::everything() const {
  state_message State;
  for (const config_item &Item : Context.Config.deltaSince({}))
    State.Config.push_back(rowOf(Item));
  if (Context.Map.Version > 0) {
    State.Map = toJson(Context.Map).dump();
    State.MapRevision = Context.MapRevision;
  }
  return State;
}

void membership::askPeers() {
  // During an outage of the platform, a starting host gets the map and the
  // catalogue from the peers in its settings, so that it can forward calls.
  if (Joined)
    return;
  std::vector<std::string> Peers;
  for (const peer_route &Route : Context.Settings.PeerRoutes)
    Peers.push_back(Route.Host);
  for (const std::string &Seed : Context.Settings.Cluster.SeedPeers) {
    // "host=ip:port": links verify the name of the peer.
    std::string Host = Seed.substr(0, Seed.find('='));
    Context.Links->setAddress(
        Host, Seed.substr(std::min(Host.size() + 1, Seed.size())));
    Peers.push_back(std::move(Host));
  }
  for (const std::string &Peer : Peers)
    Context.Links->send(
        Peer, {.Path = std::string(StatePath), .Headers = {}, .Body = {}},
        {.OnMessage = [this](std::string_view Bytes) { takeState(Bytes); },
         .OnEnd =
             [Peer](const peer_result &Result) {
               if (Result.Code != error_code::None)
                 log::info("a peer does not tell its state",
                           {{"peer", Peer}, {"reason", Result.Text}});
             }});
}

} // namespace turmerichead::host_pvt
