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

/// Callbacks of the membership.
struct membership_events {
  /// This host has joined the map with a new incarnation.
  std::function<void()> OnJoined;
  /// This host was replaced by another one; it will join again.
  std::function<void()> OnReplaced;
  /// The map has changed, but not the incarnation of this host.
  std::function<void()> OnMap;
  /// A heartbeat or its answer contained catalogue items.
  std::function<void(const std::vector<config_row> &Rows)> OnConfig;
  /// A peer has sent its upstreams, because this host knew none.
  std::function<void(const std::string &Upstreams)> OnUpstreams;
  /// Returns the loads of the gates of this host, for the next heartbeat.
  std::function<std::vector<group_load>()> Loads;
};

class membership {
public:
  membership(host_context &Context, membership_events Events);

  /// Joins the map, and retries until it succeeds. Also called to rejoin after
  /// this host was replaced.
  void join();
  bool joined() const { return Joined; }

  /// Changes the map so that the shards of this host move to others.
  void leave();
  /// Removes this host from the map, then calls \p Done.
  void remove(std::function<void()> Done);

  /// Handles a heartbeat. Returns the items that its sender lacks.
  state_message receive(std::string_view From, const beat_message &Message);
  /// Returns the state for a starting host.
  state_message everything() const;

private:
  /// Returns the next map; nullopt if there is no change.
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
  /// Number of consecutive heartbeats of a host with a different catalogue.
  std::map<std::string, int, std::less<>> Differing;
  timer BeatTimer;
  timer AskTimer;
};

} // namespace turmerichead::host_pvt
