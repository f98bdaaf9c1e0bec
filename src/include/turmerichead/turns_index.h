/// \file
/// The in-memory index of the turns and budgets on a disk host. It holds the
/// positions of the records in the log, not their bytes, and does no I/O.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/turns_log.h"
#include "turmerichead/turns_records.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmerichead::turns {

/// The result of following a chain from a turn back to its first turn.
struct chain_lookup {
  bool Found = false;  ///< Whether the turn itself is indexed.
  std::string Missing; ///< First missing turn; empty if there is none.
  std::vector<log_position> Positions; ///< Oldest first.
};

/// A record that has not expired: a turn, or the spending of an attempt.
struct live_record {
  log_position Position;
  std::string Turn; ///< Empty for an attempt.
  std::string Program;
  std::string Attempt;
};

/// Holds turns by id and spending by program. Adding records is idempotent and
/// commutative: duplicates and any order give the same index.
///
/// A turn is retained for its retention time after its own end and after the
/// end of each turn that continues its chain. A turn that is not indexed, but
/// that an indexed turn continues, is a missing turn. The spending of a program
/// is retained for its retention time after its last change. Retention times
/// restart when the host starts: no wall-clock times are stored, since the wall
/// clock may jump.
class turn_index {
public:
  /// Indexes a record that is stored at \p Position. Returns false if the
  /// record adds no information, so that its copy in the log is not needed.
  bool addTurn(const turn_record &Turn, const log_position &Position,
               time_point Now);
  bool addSpend(const spend_record &Spend, const log_position &Position,
                time_point Now);

  /// Follows the chain of turn \p Id back to its first turn.
  chain_lookup findChain(std::string_view Id) const;
  bool hasTurn(std::string_view Id) const;
  /// Returns the ids of the chain of turn \p Id that are indexed without a
  /// missing turn after them, newest first.
  std::vector<std::string> listChain(std::string_view Id) const;
  /// Returns the newest turn that the chain of turn \p Id lacks; empty if the
  /// chain is complete.
  std::string_view firstMissing(std::string_view Id) const;
  /// Returns the missing turns, in no order.
  std::vector<std::string> missingTurns() const;
  /// Returns where a turn is stored; nullopt if it is not.
  std::optional<log_position> turnPosition(std::string_view Id) const;
  /// Whether addSpend() of the record would return false.
  bool hasSpend(const spend_record &Spend) const;
  /// Whether the record at \p Position is the newest of its attempt.
  bool isNewest(const spend_record &Spend, const log_position &Position) const;

  /// Returns the tokens that the other attempts of \p Program have reserved or
  /// spent.
  std::vector<spend_row> listOtherAttempts(std::string_view Program,
                                           std::string_view Attempt) const;

  /// Removes expired turns and programs. Call it about once a second.
  void expire(time_point Now);

  /// Returns the size of the indexed records of each segment that has any.
  std::map<std::uint64_t, std::uint64_t> liveBytes() const;
  /// Returns the indexed records of a segment.
  std::vector<live_record> findLiveRecords(std::uint64_t Segment) const;

  /// Removes the turns at \p Position and after it, which the disk has failed
  /// to write. The spending of attempts stays, as not stored: counting too much
  /// of a budget is safer than counting too little.
  void removeTurnsFrom(const log_position &Position);

  /// Updates the position of a record that was copied to another segment.
  void relocate(const live_record &Record, const log_position &Position);

  /// The longest retention time of all records that were added, expired ones
  /// included.
  milliseconds longestRetention() const { return LongestRetention; }

  std::size_t missingCount() const { return Missing.size(); }
  std::size_t turnCount() const { return Turns.size(); }
  std::size_t programCount() const { return Programs.size(); }

private:
  struct turn_row {
    log_position Position;
    std::string Previous;
    milliseconds Retention{0};
    time_point RetainUntil;
  };
  struct spend_entry {
    log_position Position; ///< Segment 0: the record is not stored.
    std::uint64_t Tokens = 0;
    bool Settled = false;
    bool isStored() const { return Position.Segment != 0; }
  };
  struct program_row {
    std::map<std::string, spend_entry, std::less<>> Attempts;
    time_point RetainUntil;
  };
  struct text_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  template <typename Row>
  using text_map =
      std::unordered_map<std::string, Row, text_hash, std::equal_to<>>;

  /// Calls \p Visit(id, row) for the turns from \p Id back to the first one or
  /// to a missing one. Returns the missing turn; empty if there is none.
  template <typename Visitor>
  std::string_view walkChain(std::string_view Id, Visitor Visit) const;
  /// Retains the turns from \p Id back to the first one until \p Until. Notes
  /// the first of them that is not indexed as missing.
  void retainChain(std::string_view Id, time_point Until);
  void findMissingTurns();
  /// Returns the entry of the record's attempt; nullptr if there is none.
  const spend_entry *findSpend(const spend_record &Spend) const;

  milliseconds LongestRetention{0};
  text_map<turn_row> Turns;
  /// Until when the missing turns are needed.
  text_map<time_point> Missing;
  text_map<program_row> Programs;
};

} // namespace turmerichead::turns
