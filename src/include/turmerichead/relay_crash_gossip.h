/// \file
/// Propagates crash records (relay_crash_tracker.h) between hosts.
///
/// Every new crash is sent to the disk hosts, to which all entry hosts are
/// connected anyway. A record with more than one crash is sent to all hosts. A
/// disk host forwards records that it has merged from several hosts. A record
/// is sent again until the receiver acknowledges it, so that a host that was
/// unreachable gets it later. A host that starts fetches all records from one
/// disk host. Nothing is sent while no record changes.
///
///     crash_gossip Gossip(Relay->crashTracker(), Links, {.Self = Address});
///     Relay->onCrashRecordsChanged(
///         [&](auto Changed) { Gossip.propagate(Changed); });
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

/// Describes crash records for log lines.
nlohmann::json describeCrashes(std::span<const sched::known_crash> Crashes);

struct crash_gossip_settings {
  std::string Self;        ///< Peer address of this host.
  bool IsDiskHost = false; ///< Whether it forwards records of other hosts.
  /// Time between attempts to send to a host that did not acknowledge.
  milliseconds RetryInterval{500};
};

/// Sends and receives crash records. Used in the loop thread of its host.
class crash_gossip {
public:
  /// Paths of peer requests: records for the receiver, and a request for all
  /// its records.
  static constexpr std::string_view ReportPath = "/relay/suspects";
  static constexpr std::string_view SyncPath = "/relay/suspects/all";

  /// \p Table and \p Links must outlive the object.
  crash_gossip(crash_tracker &Table, peer_links &Links,
               crash_gossip_settings Settings);

  /// Sets the peer addresses of the hosts. This host may be among them.
  void setPeers(std::vector<std::string> DiskHosts,
                std::vector<std::string> EntryHosts);

  /// Sends the records of these fingerprints, which this host has changed.
  void propagate(std::span<const std::uint64_t> Fingerprints);

  /// Returns whether serve() answers peer requests for \p Path.
  static bool handles(std::string_view Path);
  /// Answers such a request. Records that do not decode are answered with
  /// Corrupt.
  void serve(peer_server &Server, const peer_request_view &Request);

  /// Sets the function that is called when records that save() returns may have
  /// changed.
  void onChanged(std::function<void()> Action);

  /// Returns the encoded records that are kept over a restart: those with more
  /// than one crash.
  std::string save(time_point Now) const;
  /// Merges records that save() returned. Fails with Corrupt.
  bool load(std::string_view Bytes, time_point Now);

private:
  struct peer {
    std::set<std::uint64_t> Pending; ///< Fingerprints not acknowledged yet.
    bool InFlight = false;
  };
  /// Queues the records for all hosts that need them but \p Except.
  void enqueue(std::span<const std::uint64_t> Fingerprints,
               std::string_view Except);
  bool concernsAllHosts(std::uint64_t Fingerprint, time_point Now) const;
  void flush();
  void send(const std::string &Address, peer &Peer);
  void requestAllRecords();
  bool mergeRecords(std::string_view Bytes, std::string_view From);
  void scheduleRetry();
  void addUnlistedPeer(std::string_view Address);

  crash_tracker &Table;
  peer_links &Links;
  crash_gossip_settings Settings;
  std::vector<std::string> DiskHosts;
  std::vector<std::string> EntryHosts;
  /// Hosts that have sent a request and are not in the lists above.
  std::set<std::string, std::less<>> UnlistedPeers;
  std::map<std::string, peer, std::less<>> Peers;
  bool Synced = false; ///< A disk host has sent all its records.
  bool SyncInFlight = false;
  std::size_t NextSyncSource = 0;
  std::function<void()> OnChanged;
  loop_source RetryTimer;
};

} // namespace turmerichead::relay
