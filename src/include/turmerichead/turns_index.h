/// \file
/// The index of the turns and budgets that a disk host keeps. No I/O: it
/// knows where the bytes of a turn lie, not the bytes.
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

/// The way back from a turn to the start of its chain.
struct chain_lookup {
  bool Found = false;
  std::string Missing;                 ///< Empty if the start was reached.
  std::vector<log_position> Positions; ///< Oldest first.
};

/// A record that is still needed: a turn, or an attempt of a program.
struct live_record {
  log_position Position;
  std::string Turn; ///< Empty for an attempt.
  std::string Program;
  std::string Attempt;
};

/// Turns by id and budgets by program. Records may come twice and in any
/// order; the result is the same.
///
/// A turn is kept for its time after its end and after that of each turn that
/// continues it. A program's spending is kept for its time after its last
/// change. Times run anew when a host starts, since clocks of day may jump.
class turn_index {
public:
  /// Takes a record that lies at \p Position. Returns false if it says nothing
  /// new, so that its copy in the log is not needed.
  bool addTurn(const turn_record &Turn, const log_position &Position,
               time_point Now);
  bool addSpend(const spend_record &Spend, const log_position &Position,
                time_point Now);

  chain_lookup findChain(std::string_view Id) const;
  bool hasTurn(std::string_view Id) const;

  /// What other attempts of a program have reserved or spent.
  std::vector<spend_row> listOtherAttempts(std::string_view Program,
                                           std::string_view Attempt) const;

  /// Forgets what is past its time. To be called every second or so.
  void expire(time_point Now);

  /// The records of a segment that are still needed.
  std::vector<live_record> findLiveRecords(std::uint64_t Segment) const;

  /// Forgets the turns that lie at \p Position or after it: the disk did not
  /// take them. Attempts stay, since a budget is better counted too high.
  void removeTurnsFrom(const log_position &Position);

  /// Notes that a record lies elsewhere now.
  void relocate(const live_record &Record, const log_position &Position);

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
    log_position Position;
    std::uint64_t Tokens = 0;
    bool Settled = false;
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

  text_map<turn_row> Turns;
  text_map<program_row> Programs;
};

} // namespace turmerichead::turns
