/// \file
/// How hosts tell each other of requests that end their upstreams.
///
/// Every end is told to the disk hosts, which all entry hosts talk to anyway;
/// a request with more than one end, to all hosts. A disk host passes on what
/// it has put together from several hosts. Whoever tells something tells it
/// again until it has been heard, so that a host that was away hears of it
/// when it is back; a host that starts asks the disk hosts once. Nothing is
/// sent while nothing changes.
///
///     crash_gossip Gossip(Relay->crashTracker(), Links, {.Self = Address});
///     Relay->onCrashRecordsChanged([&](auto Changed) {
///     Gossip.propagate(Changed); });
#pragma once

#include "turmerichead/net_loop.h"
#include "turmerichead/net_peer.h"
#include "turmerichead/relay_crash_tracker.h"

#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace turmerichead::relay {

/// Ends on record, for logs.
nlohmann::json describeCrashes(std::span<const sched::known_crash> Ends);

struct crash_gossip_settings {
  std::string Self;        ///< This host's peer address.
  bool IsDiskHost = false; ///< A disk host: it passes news on.
  /// Between attempts to tell a host that did not hear.
  milliseconds RetryInterval{500};
};

class crash_gossip {
public:
  /// Where a host takes requests of this module.
  static constexpr std::string_view ReportPath = "/relay/suspects";
  static constexpr std::string_view SyncPath = "/relay/suspects/all";

  /// \p Table and \p Links must outlive it.
  crash_gossip(crash_tracker &Table, peer_links &Links,
               crash_gossip_settings Settings);

  /// Peer addresses of the other hosts.
  void setPeers(std::vector<std::string> DiskHosts,
                std::vector<std::string> EntryHosts);

  /// Something about these fingerprints was seen here.
  void propagate(std::span<const std::uint64_t> Fingerprints);

  /// Whether a request of another host is this module's.
  static bool handles(std::string_view Path);
  /// Answers such a request.
  void serve(peer_server &Server, const peer_request_view &Request);

  /// Called when a record worth keeping has changed.
  void onChanged(std::function<void()> Action);

  /// The records that are worth keeping over a restart, and back. load()
  /// fails with Corrupt.
  std::string save(time_point Now) const;
  bool load(std::string_view Bytes, time_point Now);

private:
  struct peer {
    std::set<std::uint64_t> Pending; ///< Not heard yet.
    bool InFlight = false;
  };
  void enqueue(std::span<const std::uint64_t> Fingerprints,
               std::string_view Except);
  bool concernsAllHosts(std::uint64_t Fingerprint, time_point Now) const;
  void flush();
  void send(const std::string &Address, peer &Peer);
  void requestAllRecords();
  bool mergeRecords(std::string_view Bytes, std::string_view From);
  void schedule();
  void addUnlistedPeer(std::string_view Address);

  crash_tracker &Table;
  peer_links &Links;
  crash_gossip_settings Settings;
  std::vector<std::string> DiskHosts;
  std::vector<std::string> EntryHosts;
  /// Hosts that have asked or told something and are not listed.
  std::set<std::string, std::less<>> UnlistedPeers;
  std::map<std::string, peer, std::less<>> Peers;
  bool Synced = false; ///< A disk host has told all it knows.
  bool SyncInFlight = false;
  std::size_t NextSyncSource = 0;
  std::function<void()> OnChanged;
  loop_source Retry;
};

} // namespace turmerichead::relay
