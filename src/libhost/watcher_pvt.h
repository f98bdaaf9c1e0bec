/// \file
/// Watches the platform's catalogue, upstreams and list of hosts.
#pragma once

#include "context_pvt.h"
#include "loop_pvt.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmerichead::host_pvt {

/// What the watcher tells the host.
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

  /// Takes catalogue items that a peer knew.
  void takeFromPeer(const std::vector<config_row> &Rows);
  /// Takes a peer's upstreams while the platform has told none.
  void takeUpstreams(const std::string &Upstreams);
  std::string upstreamsAsJson() const;

  /// Follows how far changes are in force; call about once a second.
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
  /// Deletions found by a new list, which has a version for all of them.
  std::vector<config_item> Deletions;
  std::map<std::string, nlohmann::json, std::less<>> UpstreamObjects;
  std::map<std::string, std::string, std::less<>> HostPhases;
  timer SaveTimer;
};

} // namespace turmerichead::host_pvt
