/// \file
/// Watches the catalogue, the upstreams and the list of hosts on the platform.
#pragma once

#include "context_pvt.h"
#include "loop_pvt.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmerichead::host_pvt {

/// Callbacks of the watcher.
struct watcher_events {
  /// An entry came into force or was deleted.
  std::function<void(std::string_view Name)> OnEntry;
  std::function<void()> OnUpstreams;
};

class watcher {
public:
  watcher(host_context &Context, watcher_events Events);

  /// Reads the copy on disk, if there is one, and starts the watches.
  void start();

  /// Applies catalogue items from a peer.
  void takeFromPeer(const std::vector<config_row> &Rows);
  /// Applies upstreams from a peer, while none from the platform are known.
  void takeUpstreams(const std::string &Upstreams);
  std::string upstreamsAsJson() const;

  /// Tracks which changes are in force on all hosts. Must be called about once
  /// a second.
  void tick();

private:
  void watchEntries();
  void watchUpstreams();
  void watchHosts();
  void onEntry(platform_change Change, const nlohmann::json &Object);
  void onUpstream(platform_change Change, const nlohmann::json &Object);
  void onHost(platform_change Change, const nlohmann::json &Object);
  void hintGone();
  void apply(const config_item &Item, config_source Source);
  void announce();
  void saveToDisk();
  std::string diskFile() const;

  host_context &Context;
  watcher_events Events;
  bool PlatformTold = false;
  /// Deletions found by a new list, whose version applies to all of them.
  std::vector<config_item> Deletions;
  std::map<std::string, nlohmann::json, std::less<>> UpstreamObjects;
  std::map<std::string, std::string, std::less<>> HostPhases;
  timer SaveTimer;
};

} // namespace turmerichead::host_pvt
