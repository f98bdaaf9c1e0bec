/// \file
/// The parts of a replica: answering requests, copying, and watching the set.
#pragma once

#include "turmerichead/net_loop.h"
#include "turmerichead/turns_replica.h"
#include "turmerichead/turns_replica_core.h"

#include <map>

namespace turmerichead::turns {

struct replica::impl {
  replica_settings Settings;
  replica_events Events;
  std::optional<replica_core> Core;
  std::optional<peer_server> Server;
  std::optional<peer_links> Links;
  replica_counters Counters;

  // -- Answering (replica.cpp) --
  struct pending_reply {
    peer_reply_id Reply;
    std::string Bytes;        ///< Sent once the disk has synced.
    std::string FailureBytes; ///< Sent if the disk does not take it.
  };
  std::vector<pending_reply> Pending;
  loop_source ScheduledSync;
  loop_source CompactionTimer;
  std::uint64_t LoggedEpoch = 0; ///< The epoch that was logged last.

  void onRequest(const peer_request_view &Request);
  /// Decodes a request and answers with what \p Handle returns.
  template <typename Message, typename Handler>
  void serve(const peer_request_view &Request, Handler Handle);
  void sendReply(peer_reply_id Reply, std::string_view Bytes);
  template <typename Reply>
  void sendReply(peer_reply_id Id, const core_reply<Reply> &Value);
  /// Notes a set that has come into force.
  void handleSetChange();
  void scheduleSync();
  /// Syncs the disk and answers all that waits for it. Every sync goes
  /// through here: after a failure nothing that waited may be acknowledged.
  bool syncNow();

  // -- The set (replica_set.cpp) --
  std::vector<disk_host> Registered;
  std::vector<std::string> Retiring;
  std::map<std::string, time_point> LastReplyAt; ///< By address.
  time_point MonitoringSince;
  loop_source TickTimer;

  void onTick();
  void pingMembers();
  void propose();
  std::vector<std::string> findUnresponsiveHosts() const;
  void requestCopies();
};

} // namespace turmerichead::turns
