/// \file
/// The parts of a replica: answering requests, copying, and watching the set.
#pragma once

#include "turmerichead/net_loop.h"
#include "turmerichead/turns_replica.h"

#include <map>

namespace turmerichead::turns {

/// How far a copy from one other host has come.
struct copy_progress {
  log_place Next;
  bool Asked = false;
  bool Done = false;
};

struct replica::impl {
  replica_settings Settings;
  replica_events Events;
  std::optional<shelf> Shelf;
  std::optional<peer_server> Server;
  std::optional<peer_links> Links;
  replica_counters Counters;

  // -- Answering (replica.cpp) --
  struct pending_reply {
    peer_reply_id Reply;
    std::string Bytes;  ///< Sent once the disk has synced.
    std::string Failed; ///< Sent if the disk does not take it.
  };
  std::vector<pending_reply> Pending;
  loop_source SyncSoon;
  loop_source Cleaning;

  void onRequest(const peer_request_view &Request);
  void onOpen(const peer_request_view &Request);
  void onClose(const peer_request_view &Request);
  void onLookup(const peer_request_view &Request, bool Chain);
  void onCopy(const peer_request_view &Request);
  void onPing(const peer_request_view &Request);
  /// Whether a request's set is in force; adopts one that is newer.
  bool accepts(const disk_set &Set);
  void adopt(const disk_set &Set);
  void answer(peer_reply_id Reply, std::string_view Bytes);
  void answerAfterSync(peer_reply_id Reply, std::string Bytes,
                       std::string Failed);
  void syncLater();
  /// Syncs the disk and answers all that waits for it. Every sync goes
  /// through here: after a failure nothing that waited may be acknowledged.
  bool syncNow();

  // -- The set (replica_set.cpp) --
  std::vector<disk_host> Registered;
  std::vector<std::string> Retiring;
  std::map<std::string, time_point> LastHeard; ///< By address.
  time_point WatchingSince;
  std::map<std::string, copy_progress> Copies; ///< By address.
  std::uint64_t CopyEpoch = 0;
  loop_source Tick;
  bool ProposedFirst = false;

  void onTick();
  void pingOthers();
  void propose();
  std::vector<std::string> silentHosts() const;
  bool isMember() const;
  bool needsCopy() const;
  void copyStep();
  void askCopy(const std::string &Address);
  void onCopied(const std::string &Address, const copy_reply &Reply);
  void finishCopyIfComplete();
};

} // namespace turmerichead::turns
