/// \file
/// Counting the replies to an open. No I/O and no clock.
#pragma once

#include "turmerichead/turns_records.h"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// Whether a reservation stands, from what the disk hosts have replied.
///
/// One round is enough if every member has it: each orders all reservations
/// the same way as its log. With fewer, two reservations might each miss the
/// other, so the sums are read again once a majority has this one on disk.
class reservation_quorum {
public:
  enum class decision : std::uint8_t {
    Pending,         ///< Too few replies.
    AwaitStragglers, ///< A majority has it; wait a little for the rest.
    SecondRound,     ///< A majority has it; the sums are to be read once more.
    Granted,
    OverBudget
  };

  reservation_quorum(disk_set Set, std::uint64_t Tokens, std::uint64_t Budget)
      : Set(std::move(Set)), Tokens(Tokens), Budget(Budget) {}

  /// A reply to the reservation.
  void onReply(std::string_view Address, const open_reply &Reply);
  /// A reply to the second reading.
  void onSecondReply(std::string_view Address, const open_reply &Reply);

  /// \p StragglersTimedOut: the last replies are not waited for any more.
  decision decide(bool StragglersTimedOut) const;

  /// Whether a host has replied to the reservation.
  bool hasReplied(std::string_view Address) const {
    return Replied.contains(Address);
  }

  /// What other attempts have spent or reserved, as far as seen.
  std::uint64_t spent() const;

private:
  void mergeRows(const open_reply &Reply);

  disk_set Set;
  std::uint64_t Tokens;
  std::uint64_t Budget;
  std::set<std::string, std::less<>> Replied;
  std::set<std::string, std::less<>> Persisted;     ///< Have it on disk.
  std::set<std::string, std::less<>> CaughtUpHosts; ///< Whose sums count.
  std::set<std::string, std::less<>> SecondReplies; ///< Second reading, counts.
  std::map<std::string, std::uint64_t> Rows;
};

/// Whether a turn exists, from the hosts that were asked for its chain.
class chain_search {
public:
  chain_search() = default;
  explicit chain_search(std::string Wanted)
      : Requested(Wanted), Wanted(std::move(Wanted)) {}

  /// The turn that is still looked for; empty: the chain is whole.
  const std::string &wanted() const { return Wanted; }
  bool isWhole() const { return Wanted.empty(); }
  std::string takeBytes() { return std::move(Bytes); }
  /// The runner of the newest turn; empty if that is not known.
  const std::string &upstream() const { return Upstream; }

  /// A host's answer for the turn \p Asked. Returns true if it has brought
  /// the search on.
  bool onReply(std::string_view Address, std::string_view Asked, bool CaughtUp,
               const chain_part &Part);

  bool wasAsked(std::string_view Address) const {
    return Asked.contains(Address);
  }
  void markAsked(std::string_view Address) { Asked.emplace(Address); }
  void resetAsked() { Asked.clear(); }

  /// Certain that the turn asked for does not exist.
  bool isAbsent(const disk_set &Set) const;
  /// Certain that a turn in the middle of the chain is lost.
  bool isBroken(const disk_set &Set) const;

private:
  std::string Requested;
  std::string Wanted;
  std::string Bytes;
  std::string Upstream;
  std::set<std::string, std::less<>> Asked; ///< For Wanted.
  std::set<std::string, std::less<>>
      ReportedMissing; ///< Wanted, and that counts.
};

} // namespace turmerichead::turns
