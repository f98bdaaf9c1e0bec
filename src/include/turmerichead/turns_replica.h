/// \file
/// The replica of turns and budgets on a disk host: serves the records on its
/// disk to other hosts and maintains its membership in the set of disk hosts.
///
/// It handles requests by the quorum rules of turns_set.h, groups the changes
/// of many requests into one sync (group commit), copies missing records from
/// other members when it joins the set or has lost its disk, and proposes
/// changes of the set. The process that owns the replica writes the proposals
/// to the platform.
///
///     auto Replica = turns::replica::create(Settings, {.OnPropose = ...});
///     Replica->updateSet(SetFromPlatform);
///     Replica->setHosts(Registered, Retiring);
#pragma once

#include "turmerichead/net_peer.h"
#include "turmerichead/turns_record_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmerichead::turns {

/// Settings of a replica.
struct replica_settings {
  disk_host Self;
  std::uint32_t Faults = 1; ///< f: disks that may be lost at the same time.
  record_store_settings Store;
  std::string SharedKey; ///< Authenticates the links between hosts.
  /// A set that the platform lacks for this time is written there again.
  milliseconds RestoreDelay{2000};
  /// A host that has not replied for this time counts as unresponsive.
  milliseconds UnresponsiveAfter{1500};
  /// The first set is chosen once no disk host has registered for this time.
  milliseconds RegisterTime{1000};
};

/// Callbacks of a replica, on the event loop.
struct replica_events {
  /// Requests that the owner replaces the set of the previous epoch on the
  /// platform by this one. Called repeatedly until updateSet() brings a newer
  /// set.
  std::function<void(const disk_set &Proposal)> OnPropose;
  /// Receives the requests for paths that the replica does not serve.
  std::function<void(const peer_request_view &Request)> OnUnhandledRequest;
  /// Requests that the owner writes this set to the platform, which no longer
  /// holds the set of the members, in place of the object of \p Revision.
  /// Called repeatedly until setPlatformSet() brings another object. May be
  /// unset where setPlatformSet() is not called.
  std::function<void(const disk_set &Set, std::uint64_t Revision)> OnRestore =
      nullptr;
};

/// Counters since the start, for the metrics.
struct replica_counters {
  std::uint64_t Opens = 0;
  std::uint64_t Closes = 0;
  std::uint64_t Syncs = 0;
  std::uint64_t SyncFailures = 0;
  milliseconds SyncTime{0}; ///< For which the thread has waited for syncs.
  std::uint64_t RefusedOldSet = 0;
  std::uint64_t CopiedRecords = 0;
  /// Turns that were fetched from other members to complete a chain.
  std::uint64_t RepairedTurns = 0;
  std::uint64_t RepairedBytes = 0;
  /// Turns that were stored although turns of their chain were not found.
  std::uint64_t IncompleteChains = 0;
  /// Missing turns of stored chains, at present.
  std::size_t MissingTurns = 0;
  std::uint64_t LogBytes = 0;
  std::uint64_t MaxLogBytes = 0; ///< 0: no maximum.
  bool IsLogFull = false;        ///< Whether new turns are refused.
};

/// Runs on the event loop of its thread.
class replica {
public:
  /// Opens the record store and listens. Fails with Unavailable or
  /// InvalidInput.
  static std::optional<replica> create(replica_settings Settings,
                                       replica_events Events);

  /// Adopts a set from the platform if it is newer than the current one.
  void updateSet(const disk_set &Set);

  /// Sets what the platform holds; nullopt if that is not known at present.
  void setPlatformSet(const std::optional<platform_set> &Stored);

  /// Sets the list of all disk hosts and the names of those that are to retire.
  void setHosts(std::vector<disk_host> Registered,
                std::vector<std::string> Retiring);

  const disk_set &set() const;
  /// Whether the replica has all writes that it ever acknowledged.
  bool caughtUp() const;
  replica_counters counters() const;
  const turn_index &index() const;

  /// The server, to reply to the requests that OnUnhandledRequest receives.
  peer_server &server();

  replica(replica &&Other) noexcept;
  replica &operator=(replica &&Other) noexcept;
  ~replica();

  /// Private to the implementation.
  struct impl;

private:
  explicit replica(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace turmerichead::turns
