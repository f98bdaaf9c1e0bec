/// \file
/// State shared by all parts of a host.
#pragma once

#include "turmerichead/cluster_config.h"
#include "turmerichead/cluster_detector.h"
#include "turmerichead/cluster_map.h"
#include "turmerichead/metrics.h"
#include "turmerichead/net_http.h"
#include "turmerichead/net_peer.h"
#include "turmerichead/net_platform.h"
#include "turmerichead/report.h"
#include "turmerichead/settings.h"
#include "wire_pvt.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace turmerichead::host_pvt {

/// State that several parts read. The comments name the part that writes it.
struct host_context {
  host_settings Settings;
  std::string SharedKey;
  /// Incremented by each start of the process, and by each rejoin after the
  /// host was replaced (written by the host).
  std::uint64_t Incarnation = 0;
  std::mt19937_64 Random;

  metrics Metrics;
  std::optional<report_recorder> Recorder;
  std::optional<http_client> Http;
  std::optional<peer_links> Links;
  std::optional<platform_client> Platform;

  config_store Config; ///< Written by the watcher and by membership.
  force_tracker Force; ///< Written by the watcher and by membership.
  std::map<std::string, upstream_object, std::less<>> Upstreams; ///< Watcher.

  shard_map Map; ///< Written by membership.
  std::uint64_t MapRevision = 0;
  std::optional<failure_detector> Detector; ///< Written by membership.
  /// Loads of groups from the last heartbeats (written by membership).
  std::map<std::string, group_load, std::less<>> GroupLoads;

  bool Draining = false;
  /// Time of the last answer of the platform, by the steady clock.
  time_point PlatformSeen;

  const std::string &self() const { return Settings.Host.Id; }
  host_incarnation life() const { return {self(), Incarnation}; }

  /// Returns the holder of the shard of \p Program; empty if there is none.
  std::string_view holderOf(std::string_view Program) const;
  std::uint32_t shardOf(std::string_view Root) const;
};

/// Returns the URL of \p Path at an upstream.
std::string urlOf(const upstream_object &Upstream, std::string_view Path);

} // namespace turmerichead::host_pvt
