/// \file
/// Which records a disk host that catches up requests next, and from which
/// member. No I/O and no clock.
///
/// A committed turn is on f+1 members or more, so that a copy of all logs would
/// receive it several times. Instead each member lists the turns in its log and
/// sends all other records; a turn that this host lacks is then requested from
/// one of the members that have listed it.
#pragma once

#include "turmerichead/turns_index.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmerichead::turns {

/// What a reply means for the copy.
enum class copy_step : std::uint8_t {
  Ignored, ///< Its records must not be stored.
  Accepted ///< Its records are to be stored.
};

/// The progress of copying the logs of the other members. At most one request
/// to each member is in progress.
class copy_plan {
public:
  /// Starts a new epoch if \p Epoch is one: the copies continue where they
  /// were, but are finished only once the end of the log is reached again, as
  /// a member that has adopted its set refuses writes of older epochs. The copy
  /// of a log that its host does not identify restarts.
  void beginEpoch(std::uint64_t Epoch);

  /// Returns the next request to each member but \p Self, with its address.
  /// Members that are finished get none, and without \p RetriesFailed also
  /// those whose last request had no usable reply.
  std::vector<std::pair<std::string, copy_request>>
  requests(const disk_set &Set, std::string_view Self, bool RetriesFailed,
           const turn_index &Index);

  /// Takes a reply from \p Address to a request of \p Epoch. The caller stores
  /// the records of an accepted reply.
  copy_step onReply(std::string_view Address, std::uint64_t Epoch,
                    const copy_reply &Reply);
  /// Notes that a member has refused a request and sent a newer set.
  void onNewerSet(std::string_view Address);
  /// Notes that the request to \p Address has ended, with or without a reply.
  void onEnded(std::string_view Address);

  /// Whether the end of the log of \p Address was reached in this epoch and all
  /// turns listed there are stored.
  bool isDone(std::string_view Address, const turn_index &Index);

  /// Starts all copies again, as copied records may be lost or expired.
  void restart();

  std::uint64_t epoch() const { return Epoch; }

private:
  struct source {
    log_position Next;     ///< In the log of the other host.
    std::uint64_t Log = 0; ///< copy_reply::Log; 0 if unknown.
    bool RequestPending = false;
    /// Whether the copy was restarted after the pending request was sent, so
    /// that its reply does not continue the copy.
    bool IgnoresReply = false;
    bool Failed = false; ///< Whether the last request had no usable reply.
    bool AtEnd = false;  ///< Whether the end was reached in this epoch.
    std::deque<listed_turn> Listed; ///< Turns that may have to be requested.
    std::vector<listed_turn> Requested; ///< In the pending request.
  };

  static void restart(source &Source);
  static void dropStoredTurns(source &Source, const turn_index &Index);
  /// Moves turns that are neither stored nor requested from another member to
  /// source::Requested, up to the size of a reply.
  void chooseTurns(source &Source, const turn_index &Index);
  copy_request nextRequest(source &Source, const disk_set &Set,
                           const turn_index &Index);

  std::map<std::string, source, std::less<>> Sources; ///< By address.
  std::set<std::string, std::less<>> InProgress; ///< Ids of requested turns.
  std::uint64_t Epoch = 0;
};

} // namespace turmerichead::turns
