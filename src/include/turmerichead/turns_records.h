/// \file
/// What is kept of turns and budgets, and the messages about it between
/// hosts.
#pragma once

#include "turmerichead/codec.h"
#include "turmerichead/turns_set.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmerichead::turns {

// -- Records -----------------------------------------------------------------

/// One turn, whole and immutable. Its id is unique for all time.
struct turn_record {
  std::string Id;
  std::string Previous; ///< The turn that it continues; empty at the start.
  std::string Program;
  std::uint64_t RetentionMs = 0; ///< From its end, and from that of successors.
  std::string Input;             ///< What the caller sent in this turn alone.
  std::string Output;            ///< The data of each event and a line feed.
  std::string Upstream;          ///< Id of the runner that ran it.
  MSGPACK_DEFINE(Id, Previous, Program, RetentionMs, Input, Output, Upstream)
};

/// What one attempt takes of its program's budget. First reserved at the most
/// that the attempt may generate, then settled at what it has generated. A
/// settled row stands against any reservation that arrives later.
struct spend_record {
  std::string Program;
  std::string Attempt;
  std::uint64_t Tokens = 0;
  bool Settled = false;
  std::uint64_t RetentionMs = 0;
  MSGPACK_DEFINE(Program, Attempt, Tokens, Settled, RetentionMs)
};

/// What a disk host keeps of itself.
struct state_record {
  disk_set Set; ///< The newest that it knows; requests under older are refused.
  bool CaughtUp = false; ///< Whether it has all that it ever acknowledged.
  MSGPACK_DEFINE(Set, CaughtUp)
};

enum class record_kind : std::uint8_t { Turn = 1, Spend = 2, State = 3 };

// -- Messages ----------------------------------------------------------------

inline constexpr std::string_view OpenPath = "/turns/open";
inline constexpr std::string_view ChainPath = "/turns/chain";
inline constexpr std::string_view SpentPath = "/turns/spent";
inline constexpr std::string_view ClosePath = "/turns/close";
inline constexpr std::string_view CopyPath = "/turns/copy";
inline constexpr std::string_view PingPath = "/turns/ping";

/// One attempt's share of a budget.
struct spend_row {
  std::string Attempt;
  std::uint64_t Tokens = 0;
  MSGPACK_DEFINE(Attempt, Tokens)
};

/// Reserves a turn's tokens and asks for the chain before it.
struct open_request {
  disk_set Set;
  spend_record Spend;
  std::uint64_t Budget = 0; ///< Tokens; 0: the turn has none.
  std::string Previous;     ///< The chain to send back; empty: none.
  MSGPACK_DEFINE(Set, Spend, Budget, Previous)
};

/// The chain that ends with a turn, as far as the host has it.
struct chain_part {
  bool Found = false;   ///< Whether the turn asked for is there.
  std::string Missing;  ///< Where the walk back ended; empty: at the start.
  std::string Bytes;    ///< Inputs and outputs, oldest first.
  std::string Upstream; ///< The runner of the turn asked for.
  MSGPACK_DEFINE(Found, Missing, Bytes, Upstream)
};

enum class reply_status : std::uint8_t {
  Ok,
  OverBudget, ///< Not reserved: by this host's sum alone there is no room.
  OldSet,     ///< Refused; the reply holds a newer set.
  Failed      ///< The disk does not take writes.
};

struct open_reply {
  std::uint8_t Status = 0; ///< reply_status
  disk_set Set;            ///< Only with OldSet.
  bool CaughtUp = false;   ///< Whether its sum and its "not found" count.
  std::vector<spend_row> OtherAttempts; ///< Other attempts of the program.
  chain_part Chain;
  MSGPACK_DEFINE(Status, Set, CaughtUp, OtherAttempts, Chain)
};

/// Asks for a chain alone, or for the attempts of a program alone.
struct lookup_request {
  disk_set Set;
  std::string Program;
  std::string Attempt; ///< Left out of the reply's rows.
  std::string Previous;
  MSGPACK_DEFINE(Set, Program, Attempt, Previous)
};

/// Settles an attempt and keeps its turn, if it has ended whole.
struct close_request {
  disk_set Set;
  spend_record Spend; ///< Program empty: the attempt had no budget.
  bool HasTurn = false;
  turn_record Turn;
  MSGPACK_DEFINE(Set, Spend, HasTurn, Turn)
};

struct close_reply {
  std::uint8_t Status = 0; ///< reply_status
  disk_set Set;            ///< Only with OldSet.
  MSGPACK_DEFINE(Status, Set)
};

/// Asks for the records after a place in the host's log.
struct copy_request {
  disk_set Set;
  std::uint64_t Segment = 0;
  std::uint64_t Offset = 0;
  MSGPACK_DEFINE(Set, Segment, Offset)
};

struct copy_reply {
  std::uint8_t Status = 0;
  disk_set Set;
  bool CaughtUp = false;
  std::uint64_t Segment = 0; ///< Where to go on.
  std::uint64_t Offset = 0;
  bool AtEnd = false;
  std::vector<std::string> Records; ///< As in the log.
  MSGPACK_DEFINE(Status, Set, CaughtUp, Segment, Offset, AtEnd, Records)
};

struct ping_request {
  disk_set Set;
  MSGPACK_DEFINE(Set)
};

struct ping_reply {
  disk_set Set;
  bool CaughtUp = false;
  MSGPACK_DEFINE(Set, CaughtUp)
};

/// The bytes of a record in the log: its kind, then msgpack.
template <typename Record>
std::string packRecord(record_kind Kind, const Record &Value) {
  std::string Bytes(1, static_cast<char>(Kind));
  return Bytes + pack(Value);
}

/// The kind of a record's bytes; nullopt if they have none.
std::optional<record_kind> kindOf(std::string_view Bytes);

/// The record in \p Bytes. Fails with Corrupt.
template <typename Record>
std::optional<Record> unpackRecord(std::string_view Bytes) {
  if (Bytes.empty())
    return fail(error_code::Corrupt, "an empty record");
  return unpack<Record>(Bytes.substr(1));
}

} // namespace turmerichead::turns
