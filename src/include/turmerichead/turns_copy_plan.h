/// \file
/// Which records a disk host that catches up requests next, and from which
/// member. No I/O and no clock.
///
/// A committed turn is on a quorum of members or more, so that a copy of all
/// logs would receive it several times, and would not end while turns are
/// stored faster than they are copied. So each member lists the turns in its
/// log up to its end, and sends all other records. Then the turns that this
/// host lacks are requested, each from one member that has listed it. Turns
/// that a quorum of other members has listed are left there.
///
/// A member that has not caught up sends what it has only if fewer members than
/// a quorum have caught up: no other one has more then.
#pragma once

#include "turmerichead/turns_index.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmerichead::turns {

/// What is to be done with the records of a reply.
enum class copy_step : std::uint8_t { Ignore, Store };

/// The progress of copying the records of the other members. At most one
/// request to each member is in progress.
class copy_plan {
public:
  static constexpr int SlowAfterPauses = 8;

  /// Sets the current set. In a new epoch the copies continue where they were,
  /// but are finished only once the ends of the logs are reached again: a
  /// member that has adopted its set refuses writes of older epochs. The copy
  /// of a log that its host does not identify restarts.
  void updateSet(const disk_set &Set);

  /// Returns the next request to each old member but \p Self, with its address.
  /// Members that are finished get none, and without \p RetriesFailed also
  /// those whose last request had no usable reply. RetriesFailed is true after
  /// each pause of the caller; the turns of a request that has been in progress
  /// for SlowAfterPauses of them are requested from other members too.
  std::vector<std::pair<std::string, copy_request>>
  requests(std::string_view Self, bool RetriesFailed, const turn_index &Index);

  /// Takes a reply from \p Address to a request of \p Epoch.
  copy_step onReply(std::string_view Address, std::uint64_t Epoch,
                    const copy_reply &Reply);
  /// Notes that the reply could not be used, so that the next request waits
  /// for a pause.
  void onUnusableReply(std::string_view Address);
  /// Notes that a member has refused a request and sent a newer set.
  void onNewerSet(std::string_view Address);
  /// Notes that the request to \p Address has ended, with or without a reply.
  void onEnded(std::string_view Address);

  /// Whether the end of the log of \p Address was reached in this epoch, and
  /// none of its turns has to be copied any more. Its host need not have caught
  /// up.
  bool isRead(std::string_view Address, const turn_index &Index);
  /// Whether isRead() holds and the host has all that it ever acknowledged.
  bool isDone(std::string_view Address, const turn_index &Index);
  /// Whether the log of a host that has caught up may lack records.
  bool mayLackRecords(std::string_view Address) const;
  /// Number of the old members that are at the first start of all.
  std::uint32_t countAtFirstStart() const;

  /// Addresses of the old members whose logs have yet to be copied, and of
  /// those that have not caught up themselves.
  struct waiting_for {
    std::vector<std::string> Unread;
    std::vector<std::string> Incomplete;
  };
  waiting_for waitingFor(std::string_view Self, const turn_index &Index);

  /// Starts all copies again, as copied records may be lost or expired.
  void restart();

  std::uint64_t epoch() const { return Set.Epoch; }

private:
  /// Index in Turns.
  using turn_number = std::uint32_t;
  /// One bit for each source.
  using source_mask = std::uint64_t;

  /// A turn that a member has listed.
  struct turn_row {
    std::string Id;
    std::uint64_t Bytes = 0;
    source_mask Holders = 0; ///< The members that have listed it.
    bool IsRequested = false;
  };

  struct source {
    source_mask Bit = 0;
    log_position Next;     ///< In the log of the other host.
    std::uint64_t Log = 0; ///< copy_reply::Log; 0 if unknown.
    bool RequestPending = false;
    /// Whether the copy was restarted after the pending request was sent, so
    /// that its reply does not continue the copy.
    bool IgnoresReply = false;
    bool Failed = false; ///< Whether the last request had no usable reply.
    bool AtEnd = false;  ///< Whether the end was reached in this epoch.
    // What the host has last said of itself.
    bool IsIncomplete = false; ///< It has not caught up.
    bool IsAtFirstStart = false;
    bool MayLackRecords = false;
    std::deque<turn_number> Listed; ///< Turns that may have to be requested.
    std::vector<turn_number> Requested; ///< In the pending request.
    int Pauses = 0; ///< Of the caller, since the request was sent.
  };

  /// Restarts the copy of one member. What it has listed no longer counts.
  void restart(source &Source);
  /// Forgets what hosts have listed that are no longer old members.
  void removeFormerMembers();
  /// Returns the row of a member; a new one gets a bit of its own.
  source &sourceOf(const std::string &Address);
  /// The members whose copies of a turn remain after a change of the set that
  /// is in progress.
  source_mask lastingMembers() const;
  /// Whether too few members have caught up for a read quorum.
  bool needsIncomplete(std::string_view Self) const;
  /// Whether a turn needs not be copied.
  bool isResolved(const turn_row &Turn, const turn_index &Index) const;
  void addListed(source &Source, const std::vector<listed_turn> &Listed);
  /// Counts a pause, and releases the turns of requests that are slow.
  void releaseSlowRequests();
  /// Marks turns that no other member was asked for as requested, up to the
  /// size of a reply.
  void chooseTurns(source &Source, const turn_index &Index);

  disk_set Set;
  source_mask Lasting = 0; ///< lastingMembers() of the set.
  std::map<std::string, source, std::less<>> Sources; ///< By address.
  std::deque<turn_row> Turns;
  std::unordered_map<std::string_view, turn_number> TurnNumbers; ///< By id.
};

} // namespace turmerichead::turns
