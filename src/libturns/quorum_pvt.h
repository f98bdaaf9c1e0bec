/// \file
/// Evaluates the replies of disk hosts to an open: the reservation of tokens
/// and the search for the chain. No I/O and no clock.
#pragma once

#include "turmerichead/turns_records.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// Decides whether a reservation is granted, from the replies of the disk
/// hosts.
///
/// One round is enough if every member has the reservation on disk: each member
/// orders all reservations as in its log, so of two concurrent reservations at
/// least one sees the other. With fewer members, two reservations may miss each
/// other. The reservations are then read a second time once a majority has this
/// one on disk.
class reservation_quorum {
public:
  /// An attempt that a host which has caught up did not know of.
  struct unknown_attempt {
    std::string Address;
    spend_record Record; ///< A reservation, to be stored there.
  };

  enum class decision : std::uint8_t {
    Pending,         ///< Too few replies so far.
    AwaitStragglers, ///< A majority has it; wait briefly for the others.
    SecondRound,     ///< A majority has it; read the reservations again.
    Granted,
    OverBudget,
    DisksFull ///< Too many members have no room for it.
  };

  reservation_quorum(disk_set Set, std::uint64_t Tokens, std::uint64_t Budget)
      : Set(std::move(Set)), Tokens(Tokens), Budget(Budget) {}

  /// Adds a reply to the reservation.
  void onReply(std::string_view Address, const open_reply &Reply);
  /// Adds a reply to the second read.
  void onSecondReply(std::string_view Address, const open_reply &Reply);

  /// Evaluates the replies so far. \p StragglersTimedOut: the wait for the
  /// remaining replies is over.
  decision decide(bool StragglersTimedOut) const;

  /// Whether a host has replied to the reservation.
  bool hasReplied(std::string_view Address) const {
    return Replied.contains(Address);
  }

  /// Tokens that other attempts have spent or reserved, according to the
  /// replies so far.
  std::uint64_t spent() const;

  /// Number of other attempts in the replies so far.
  std::size_t otherAttempts() const { return Rows.size(); }

  /// Returns the attempts that hosts lack, but that are known from the reply of
  /// another one. \p Own: the reservation of this attempt.
  std::vector<unknown_attempt> unknownAttempts(const spend_record &Own) const;

private:
  using text_set = std::set<std::string, std::less<>>;
  void mergeRows(const open_reply &Reply);

  disk_set Set;
  std::uint64_t Tokens;
  std::uint64_t Budget;
  std::set<std::string, std::less<>> Replied;
  std::set<std::string, std::less<>> Persisted; ///< Hosts that have it on disk.
  std::set<std::string, std::less<>> FullHosts;
  std::set<std::string, std::less<>> CaughtUpHosts; ///< Replied as caught up.
  /// The other attempts that these hosts know, by address.
  std::map<std::string, text_set, std::less<>> KnownAttempts;
  /// Hosts that replied to the second read as caught up.
  std::set<std::string, std::less<>> SecondReplies;
  std::map<std::string, std::uint64_t> Rows; ///< Tokens by other attempt.
};

/// Assembles a chain from the replies of disk hosts, and decides whether a turn
/// does not exist.
class chain_search {
public:
  chain_search() = default;
  explicit chain_search(std::string Wanted)
      : Requested(Wanted), Wanted(std::move(Wanted)) {}

  /// The turn to request next; empty if the chain is complete.
  const std::string &wanted() const { return Wanted; }
  bool isComplete() const { return Wanted.empty(); }
  /// Moves out the inputs and outputs that were found, oldest first.
  std::string takeBytes() { return std::move(Bytes); }
  /// The runner of the newest turn; empty if unknown.
  const std::string &upstream() const { return Upstream; }

  /// Adds the reply of a host to a request for turn \p Asked. Returns true if
  /// it contains a part of the chain that was missing. \p MayLackTurns: see
  /// open_reply.
  bool onReply(std::string_view Address, std::string_view Asked, bool CaughtUp,
               const chain_part &Part, bool MayLackTurns = false);

  /// Whether the wanted turn was requested from a host.
  bool wasAsked(std::string_view Address) const {
    return Asked.contains(Address);
  }
  void markAsked(std::string_view Address) { Asked.emplace(Address); }
  void resetAsked() { Asked.clear(); }

  /// Whether a read quorum confirms that the requested turn does not exist.
  bool isAbsent(const disk_set &Set) const;
  /// Whether no old member has the requested turn, but it may be lost.
  bool mayBeLost(const disk_set &Set) const;
  /// Whether a read quorum confirms that an earlier turn of the chain is lost.
  bool isBroken(const disk_set &Set) const;

private:
  std::string Requested;
  std::string Wanted;
  std::string Bytes;
  std::string Upstream;
  std::set<std::string, std::less<>> Asked; ///< Hosts asked for Wanted.
  /// Hosts that have caught up and do not have Wanted.
  std::set<std::string, std::less<>> ReportedMissing;
  /// Hosts that do not have Wanted, but may have lost it.
  std::set<std::string, std::less<>> MayHaveLost;
};

} // namespace turmerichead::turns
