/// \file
/// Membership: joining and leaving the shard map, heartbeats, and replacing
/// hosts that died.
#pragma once

#include "context_pvt.h"
#include "loop_pvt.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace turmerichead::host_pvt {

/// What membership tells the host.
struct membership_events {
  /// This host is in the map under a new incarnation.
  std::function<void()> OnJoined;
  /// Another host has taken this one's place; it joins again next.
  std::function<void()> OnReplaced;
  /// The map has changed, and this host is in it as before.
  std::function<void()> OnMap;
  /// A heartbeat or an answer to one brought catalogue items.
  std::function<void(const std::vector<config_row> &Rows)> OnConfig;
  /// A peer told its upstreams, because this host knew none.
  std::function<void(const std::string &Upstreams)> OnUpstreams;
  /// Loads of this host's gates, for the next heartbeat.
  std::function<std::vector<group_load>()> Loads;
};

class membership {
public:
  membership(host_context &Context, membership_events Events);

  /// Joins the map, and goes on trying until it has succeeded. Also called to
  /// begin another life after this host was replaced.
  void join();
  bool joined() const { return Joined; }

  /// Asks the map to move this host's shards to others.
  void leave();
  /// Takes this host out of the map; \p Done is called when it is out.
  void remove(std::function<void()> Done);

  /// A heartbeat came in; returns what its sender lacks.
  state_message receive(std::string_view From, const beat_message &Message);
  /// All that a starting host needs to know.
  state_message everything() const;

private:
  /// Makes the next map; nullopt if there is nothing to change.
  using map_change = std::function<std::optional<shard_map>(const shard_map &)>;

  void tryJoin();
  void onMapRead(const platform_reply &Reply);
  void writeJoined(std::optional<nlohmann::json> Current);
  void changeMap(map_change Change, std::function<void()> Done);
  void watchMap();
  bool takeMap(const nlohmann::json &Object);
  void useMap(shard_map Map, std::uint64_t Revision);
  void beat();
  void takeState(std::string_view Bytes);
  void askPeers();

  host_context &Context;
  membership_events Events;
  bool Joined = false;
  bool Joining = false;
  bool Watching = false;
  bool Changing = false;
  /// Heartbeats in a row from a host whose catalogue differs from ours.
  std::map<std::string, int, std::less<>> Differing;
  timer BeatTimer;
  timer AskTimer;
};

} // namespace turmerichead::host_pvt
