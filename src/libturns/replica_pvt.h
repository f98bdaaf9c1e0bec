/// \file
/// The implementation of a replica: serving requests, monitoring the set,
/// copying records, and completing chains.
#pragma once

#include "chain_repair_pvt.h"
#include "monitor_pvt.h"
#include "set_restore_pvt.h"
#include "turmerichead/log_limiter.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/turns_replica.h"
#include "turmerichead/turns_replica_core.h"

#include <map>
#include <span>
#include <vector>

namespace turmerichead::turns {

/// The replica; its functions run on the event loop.
struct replica::impl {
  replica_settings Settings;
  replica_events Events;
  std::optional<replica_core> Core;
  std::optional<peer_server> Server;
  std::optional<peer_links> Links;
  replica_counters Counters;

  // -- Serving requests (replica.cpp) --
  struct pending_reply {
    peer_reply_id Reply;
    std::string Bytes;        ///< Sent once the disk has synced.
    std::string FailureBytes; ///< Sent if the sync has failed.
  };
  std::vector<pending_reply> Pending;
  loop_source ScheduledSync;
  loop_source CompactionTimer;
  std::uint64_t LoggedEpoch = 0; ///< Epoch of the set that was last logged.
  bool LoggedFull = false;       ///< Whether the log was last reported as full.

  void onRequest(const peer_request_view &Request);
  /// Decodes a request and passes it to \p Handle, which has to reply. Replies
  /// with Corrupt if the request can't be decoded.
  template <typename Message, typename Handler>
  void serve(const peer_request_view &Request, Handler Handle);
  void sendReply(peer_reply_id Reply, std::string_view Bytes);
  template <typename Reply>
  void sendReply(peer_reply_id Id, const core_reply<Reply> &Value);
  void closeNow(peer_reply_id Reply, const close_request &Request);
  /// Logs a newly adopted set and schedules a sync.
  void handleSetChange();
  bool AwaitsFirstStart = false; ///< Whether it has yet to be confirmed.

  /// Logs and stores the end of the wait for a confirmed first start.
  void handleFirstStart();
  void compact();
  void logIfFull();
  /// Schedules one sync for all requests that are handled until then.
  void scheduleSync();
  /// Syncs the disk and sends all pending replies. Every sync has to go through
  /// this function: after a failed sync no pending write may be acknowledged.
  bool syncNow();

  // -- Membership (replica_set.cpp) --
  std::vector<disk_host> Registered;
  time_point RegisteredAt; ///< When Registered changed last.
  std::vector<std::string> Retiring;
  host_monitor Monitor{{}};
  loop_source TickTimer;

  void onTick();
  void pingMembers();
  /// Pings the disk hosts that may confirm the first start of all.
  void pingForFirstStart();
  void ping(const std::string &Address);
  void propose();
  std::vector<std::string> findUnresponsiveHosts();

  std::optional<platform_set> PlatformSet;
  set_restore Restore{{}};

  /// Writes the set to the platform again if it is lost there.
  void restoreSet();

  // -- Copying records (replica_copy.cpp) --
  /// A request to one member, whose turns are divided among several links.
  struct pending_copy {
    std::uint64_t Epoch = 0;
    std::uint64_t Log = 0; ///< copy_request::Log
    std::size_t Parts = 0;
    std::size_t PendingParts = 0;
    std::vector<copy_reply> Replies;
  };
  /// By address.
  std::map<std::string, pending_copy, std::less<>> PendingCopies;
  std::vector<peer_links> CopyLinks; ///< Empty until records are copied.
  time_point CopyLoggedAt;
  time_point SentLoggedAt;

  bool openCopyLinks();
  /// Sends the next requests. \p RetriesFailed: see
  /// replica_core::copyRequests().
  void requestCopies(bool RetriesFailed);
  void sendCopyRequest(const std::string &Address, const copy_request &Request);
  void onCopyPartEnded(const std::string &Address);
  void logCopyProgress();
  /// Logs at most once a second what was sent to hosts that copy.
  void logSentRecords();

  // -- Completing chains (replica_repair.cpp) --
  /// A request to store a turn whose chain is being completed.
  struct delayed_close {
    peer_reply_id Reply;
    close_request Request;
    time_point DueAt; ///< When the turn is stored without its chain.
  };
  chain_repair Repairs{{}};
  std::vector<delayed_close> DelayedCloses;
  loop_source DelayedCloseTimer;
  log_limiter IncompleteChainLog;

  /// Stores a turn, after the turns of its chain that this host lacks.
  void close(peer_reply_id Reply, const close_request &Request);
  /// Stores the delayed turns whose chains are complete or can't be completed.
  void storeDelayedTurns();
  /// Whether a turn has to wait for the repair of its chain, which is started.
  /// \p DueAt: see delayed_close.
  bool awaitsRepair(const close_request &Request, time_point DueAt);
  void logIncompleteChain(const turn_record &Turn, std::string_view Missing);
  /// Starts the repair of missing turns of chains that are stored.
  void repairStoredChains();
  void sendRepairRequests(std::span<const chain_repair::request> Requests);
  void onRepairReply(const std::string &Turn, const std::string &Address,
                     const copy_reply &Reply);
};

} // namespace turmerichead::turns
