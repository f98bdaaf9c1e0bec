/// \file
/// A disk host: serves the turns and budgets on its disk to other hosts, and
/// keeps its place in the set of disk hosts.
///
/// It answers requests by the rules of turns_set.h, syncs the changes of many
/// requests at once, copies what it lacks after it has lost its disk or when
/// it joins the set, and proposes changes of the set. Proposals go to the
/// platform, which its owner talks to.
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

struct replica_settings {
  disk_host Self;
  std::uint32_t Faults = 1; ///< Disks that may be lost at the same time.
  record_store_settings Store;
  std::string SharedKey;
  /// A host that has not answered for so long is silent.
  milliseconds UnresponsiveAfter{1500};
};

struct replica_events {
  /// Asks the owner to put this set on the platform in place of the set with
  /// the epoch before it. Repeated until updateSet() brings a newer set.
  std::function<void(const disk_set &Proposal)> OnPropose;
  /// A request that is none of the replica's own.
  std::function<void(const peer_request_view &Request)> OnUnhandledRequest;
};

/// What a replica counts since its start, for the metrics.
struct replica_counters {
  std::uint64_t Opens = 0;
  std::uint64_t Closes = 0;
  std::uint64_t Syncs = 0;
  std::uint64_t SyncFailures = 0;
  std::uint64_t RefusedOldSet = 0;
  std::uint64_t CopiedRecords = 0;
};

class replica {
public:
  /// Opens the disk and listens. Fails with Unavailable or InvalidInput.
  static std::optional<replica> create(replica_settings Settings,
                                       replica_events Events);

  /// Tells of a set that stands on the platform. Older ones are passed over.
  void updateSet(const disk_set &Set);

  /// Tells of all disk hosts, and the names of those that are to retire.
  void setHosts(std::vector<disk_host> Registered,
                std::vector<std::string> Retiring);

  const disk_set &set() const;
  bool caughtUp() const;
  replica_counters counters() const;
  const turn_index &index() const;

  /// To answer requests that OnUnhandledRequest was given.
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
