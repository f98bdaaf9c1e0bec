/// \file
/// The request handling of a disk host without network I/O. It reads and writes
/// the record store; requests and replies are values.
///
/// A reply that acknowledges a write may be sent only after a later sync() has
/// succeeded; core_reply::NeedsSync says which replies those are.
#pragma once

#include "turmerichead/turns_copy_plan.h"
#include "turmerichead/turns_record_store.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// A reply, and whether it must wait for a successful sync().
template <typename Reply> struct core_reply {
  Reply Value;
  bool NeedsSync = false;
};

/// The state of a disk host. Not synchronized: use it in one thread.
class replica_core {
public:
  /// \p LogId: a number that differs from that of any other log and of any
  /// earlier start with this log; 0 if there is none.
  replica_core(disk_host Self, record_store Store, std::uint64_t LogId = 0)
      : Self(std::move(Self)), Store(std::move(Store)), LogId(LogId) {}

  const disk_set &set() const { return Store.state().Set; }
  bool caughtUp() const { return Store.state().CaughtUp; }
  const turn_index &index() const { return Store.index(); }

  /// Whether this host is an old or new member of the set.
  bool isMember() const;

  /// Adopts a set if it is newer than the current one, and returns whether it
  /// was stored. After true, call sync(), so that requests with older sets are
  /// refused after a restart too.
  bool adoptSet(const disk_set &Set);

  /// Reserves tokens and reads a chain. \p Now is the current time.
  core_reply<open_reply> open(const open_request &Request, time_point Now);
  /// Settles an attempt and stores its turn.
  core_reply<close_reply> close(const close_request &Request, time_point Now);
  /// Returns the newest turn that this host lacks of the chain of a request's
  /// turn; empty if it has the whole chain or refuses the request. Fetch it
  /// before close(): see chain_repair. A host that catches up stores turns at
  /// once, and completes their chains afterwards.
  std::string missingBefore(const close_request &Request);
  /// Stores encoded records of other members that complete a chain. Returns
  /// false, with the reason, if they can't be stored.
  bool addRecords(std::span<const std::string> Records, time_point Now);
  /// Reads a chain.
  open_reply chain(const lookup_request &Request);
  /// Reads the spending of the other attempts of a program.
  open_reply spent(const lookup_request &Request);
  /// Reads records for a host that catches up; none if this host is itself
  /// catching up. Fails with Corrupt if the log can't be read.
  std::optional<core_reply<copy_reply>> copy(const copy_request &Request);

  // -- The first start of all --
  //
  // The settings may name the first start of all again after a disk was lost.
  // So a host with an empty disk counts as caught up only once a read quorum,
  // with itself, is at its first start too. Any member that is not, and does
  // not know the disk from its own first start, makes it copy instead.

  /// Whether the first start of all has yet to be confirmed.
  bool isFirstStart() const { return Store.state().IsFirstStart; }
  ping_request pingRequest() const;
  /// Adopts the set of a ping from \p Address and replies to it.
  ping_reply ping(std::string_view Address, const ping_request &Request);
  void onPingReply(std::string_view Address, const ping_reply &Reply);

  // -- Catching up with the other members --

  /// Whether the host must copy records from other members before its replies
  /// count in a read quorum.
  bool needsCopy() const { return isMember() && !caughtUp(); }

  /// Returns the next request to each member, with its address. Members with a
  /// request in progress and those that are finished get none, and without
  /// \p RetriesFailed also those whose last request had no usable reply: such
  /// a request is to be repeated after a pause.
  ///
  /// In a new epoch the copies continue where they were, but are finished only
  /// once the end of the log is reached in that epoch: a member that has
  /// adopted its set no longer accepts writes of older epochs. A copy restarts
  /// if the other host does not identify its log, or if copied records have
  /// expired here: the other host may retain them longer.
  std::vector<std::pair<std::string, copy_request>>
  copyRequests(bool RetriesFailed = true);

  /// Stores the records of a reply from \p Address to a request of \p Epoch.
  /// Returns false, with the reason, if they can't be stored.
  bool onCopyReply(std::string_view Address, std::uint64_t Epoch,
                   const copy_reply &Reply, time_point Now);
  /// Notes that the request to \p Address has ended, with or without a reply.
  void onCopyEnded(std::string_view Address);

  /// The old members that this host waits for.
  copy_plan::waiting_for waitingFor() {
    return Copies.waitingFor(Self.Address, index());
  }
  /// Whether nothing is left to wait for: a read quorum of hosts that have
  /// caught up was copied completely, or the logs of all other old members
  /// were. Then all that any member still has is here, and more cannot come.
  bool isCopyComplete();
  /// Sets CaughtUp once isCopyComplete(). Without a read quorum, records may be
  /// lost for good, and MayLackRecords is set until the longest retention time
  /// has passed. Call it after a successful sync(). Returns whether CaughtUp
  /// was set now; then call sync() again.
  bool finishCopy();
  bool mayLackRecords() const { return Store.state().MayLackRecords; }

  /// See record_store::sync(). If it fails, all copies restart, since copied
  /// records may be lost.
  bool sync();
  /// Size of the records that wait for a sync.
  std::uint64_t unsyncedBytes() const { return Store.unsyncedBytes(); }
  /// Removes expired records; see record_store::compact(). Ends MayLackRecords
  /// once all records that may be lost have expired.
  bool compact(time_point Now);
  std::uint64_t copiedRecords() const { return Copied; }
  /// Replies to copy requests that had records, and the size of these, also of
  /// those that were known.
  std::uint64_t copyReplies() const { return CopyReplies; }
  std::uint64_t copiedBytes() const { return CopiedBytes; }
  /// Size of the records that were sent to hosts that copy.
  std::uint64_t sentBytes() const { return SentBytes; }
  /// Size of the log and its maximum.
  std::uint64_t logBytes() const { return Store.bytes(); }
  std::uint64_t maxLogBytes() const { return Store.maxBytes(); }
  /// Whether the log has no room for new turns.
  bool isFull() const { return Store.isFull(); }

private:
  /// Reads the turns that a host that catches up has chosen.
  std::optional<core_reply<copy_reply>> copyTurns(const copy_request &Request);
  /// Adopts the set of a request if it is newer. Returns false if the request
  /// has to be refused.
  bool acceptSet(const disk_set &Set);
  /// Notes that the host at \p Address is at its first start too.
  void addFirstDisk(std::string_view Address, std::uint64_t DiskId);
  void confirmFirstStart();
  void restartCopies();
  /// Whether a read quorum of hosts that have caught up was copied.
  bool hasReadQuorum();
  bool hasReadAllMembers();
  /// Adds what a host that copies has to know of this one.
  void describeSelf(copy_reply &Reply) const;
  void expireLostRecords(time_point Now);

  disk_host Self;
  record_store Store;
  std::uint64_t LogId;
  /// Addresses of other hosts at their first start.
  std::set<std::string, std::less<>> AtFirstStart;
  copy_plan Copies;
  /// Whether records have expired since the copies began.
  bool HasExpiredRecords = false;
  /// When MayLackRecords ends; set at the first check after a start.
  std::optional<time_point> LostRecordsExpireAt;
  std::uint64_t Copied = 0; ///< Records copied since the start.
  std::uint64_t CopyReplies = 0;
  std::uint64_t CopiedBytes = 0;
  std::uint64_t SentBytes = 0;
};

} // namespace turmerichead::turns
