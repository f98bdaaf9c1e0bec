/// \file
/// The stored records of turns and budgets, and the messages between entry
/// hosts and disk hosts that read, write and copy them.
#pragma once

#include "turmerichead/codec.h"
#include "turmerichead/turns_set.h"

#include <cstdint>
#include <string>
#include <vector>

namespace turmerichead::turns {

// -- Records -----------------------------------------------------------------

/// A complete turn. It is immutable, and its id is never used again.
struct turn_record {
  std::string Id;
  std::string
      Previous; ///< Id of the turn that it continues; empty if it is the first.
  std::string Program;
  std::uint64_t RetentionMs =
      0;                ///< After its end and the end of each turn after it.
  std::string Input;    ///< What the caller sent in this turn only.
  std::string Output;   ///< The data of each event, followed by a line feed.
  std::string Upstream; ///< Id of the runner that ran it.
  MSGPACK_DEFINE(Id, Previous, Program, RetentionMs, Input, Output, Upstream)
};

/// The tokens that one attempt takes from the budget of its program. The
/// maximum that the attempt may generate is reserved first; at its end the
/// record is settled with the tokens that it has generated. A reservation that
/// arrives after the settlement has no effect.
struct spend_record {
  std::string Program;
  std::string Attempt;
  std::uint64_t Tokens = 0;
  bool Settled = false;          ///< False: Tokens are reserved.
  std::uint64_t RetentionMs = 0; ///< After the last change of the program.
  MSGPACK_DEFINE(Program, Attempt, Tokens, Settled, RetentionMs)
};

/// The persistent state of a disk host.
struct state_record {
  disk_set Set; ///< Newest known set; requests with an older one are refused.
  bool CaughtUp =
      false; ///< Whether it has all writes that it ever acknowledged.
  /// Whether this is the first start of all, according to the settings only:
  /// the other members have not confirmed it.
  bool IsFirstStart = false;
  std::uint64_t DiskId = 0; ///< Chosen when the disk was empty; 0: unknown.
  /// Ids of the other disks that were empty at the first start of all.
  std::vector<std::uint64_t> FirstDisks;
  /// Whether it has caught up although records may be lost on all members; see
  /// replica_core::finishCopy().
  bool MayLackRecords = false;
  MSGPACK_DEFINE(Set, CaughtUp, IsFirstStart, DiskId, FirstDisks,
                 MayLackRecords)
};

enum class record_kind : std::uint8_t { Turn = 1, Spend = 2, State = 3 };

// -- Messages ----------------------------------------------------------------

inline constexpr std::string_view OpenPath = "/turns/open";
inline constexpr std::string_view ChainPath = "/turns/chain";
inline constexpr std::string_view SpentPath = "/turns/spent";
inline constexpr std::string_view ClosePath = "/turns/close";
inline constexpr std::string_view CopyPath = "/turns/copy";
inline constexpr std::string_view PingPath = "/turns/ping";

/// The tokens of one attempt, reserved or settled.
struct spend_row {
  std::string Attempt;
  std::uint64_t Tokens = 0;
  MSGPACK_DEFINE(Attempt, Tokens)
};

/// Reserves the tokens of a turn and requests the chain that it continues.
struct open_request {
  disk_set Set;
  spend_record Spend;
  std::uint64_t Budget = 0; ///< In tokens; 0: no budget, nothing is reserved.
  std::string Previous;     ///< Last turn of the requested chain; empty: none.
  MSGPACK_DEFINE(Set, Spend, Budget, Previous)
};

/// The part of a chain that a host has, back from its last turn.
struct chain_part {
  bool Found = false;   ///< Whether the host has the last turn of the chain.
  std::string Missing;  ///< First missing turn, going back; empty: complete.
  std::string Bytes;    ///< Inputs and outputs, oldest first.
  std::string Upstream; ///< The runner of the last turn of the chain.
  MSGPACK_DEFINE(Found, Missing, Bytes, Upstream)
};

/// The result of a request to a disk host.
enum class reply_status : std::uint8_t {
  Ok,
  OverBudget, ///< Not reserved: this host's sum alone exceeds the budget.
  OldSet,     ///< Refused; the reply contains the host's set.
  Failed,     ///< The log can't be read or written.
  Full        ///< Not stored: the log has no room for it.
};

/// The reply to an open_request or a lookup_request.
struct open_reply {
  std::uint8_t Status = 0; ///< reply_status
  disk_set Set;            ///< Only with OldSet.
  bool CaughtUp = false;   ///< Whether OtherAttempts and Chain are complete.
  std::vector<spend_row> OtherAttempts; ///< Of the program.
  chain_part Chain;
  /// Whether a turn that is not found may have existed; see
  /// state_record::MayLackRecords.
  bool MayLackTurns = false;
  MSGPACK_DEFINE(Status, Set, CaughtUp, OtherAttempts, Chain, MayLackTurns)
};

/// Requests only a chain (ChainPath) or only the attempts of a program
/// (SpentPath), and reserves nothing.
struct lookup_request {
  disk_set Set;
  std::string Program;
  std::string Attempt;  ///< Excluded from the reply.
  std::string Previous; ///< Last turn of the requested chain.
  MSGPACK_DEFINE(Set, Program, Attempt, Previous)
};

/// Settles an attempt and stores its turn, if the turn is complete.
struct close_request {
  disk_set Set;
  spend_record Spend; ///< Program is empty if the attempt has no budget.
  bool HasTurn = false;
  turn_record Turn;
  MSGPACK_DEFINE(Set, Spend, HasTurn, Turn)
};

/// The reply to a close_request.
struct close_reply {
  std::uint8_t Status = 0; ///< reply_status
  disk_set Set;            ///< Only with OldSet.
  MSGPACK_DEFINE(Status, Set)
};

/// A turn in the log of a disk host.
struct listed_turn {
  std::string Id;
  std::uint64_t Bytes = 0; ///< Size of its encoded record.
  MSGPACK_DEFINE(Id, Bytes)
};

/// Requests the records from a position in the host's log on, or single turns.
struct copy_request {
  disk_set Set;
  std::uint64_t Segment = 0;
  std::uint64_t Offset = 0;
  /// copy_reply::Log of the reply that gave the position; 0 if unknown. The
  /// host starts from the beginning if it has another log by now.
  std::uint64_t Log = 0;
  /// Whether to list turns in place of sending them: several hosts have each
  /// turn, and one of them is enough to send it. A host that does not know this
  /// field sends them.
  bool ListsTurns = false;
  /// Ids of turns to send; the position is then not used. With ListsTurns, the
  /// reply also lists the chain of the first of them, newest turn first; a host
  /// of an earlier version lists none.
  std::vector<std::string> Turns;
  /// Whether a host that has not caught up itself should send what it has.
  bool FromIncomplete = false;
  MSGPACK_DEFINE(Set, Segment, Offset, Log, ListsTurns, Turns, FromIncomplete)
};

/// The reply to a copy_request.
struct copy_reply {
  std::uint8_t Status = 0; ///< reply_status
  disk_set Set;            ///< Only with OldSet.
  bool CaughtUp = false;
  std::uint64_t Segment = 0; ///< Position of the next request, with Offset.
  std::uint64_t Offset = 0;
  bool AtEnd = false;               ///< Whether the end of the log is reached.
  std::vector<std::string> Records; ///< Encoded as in the log.
  /// Identifies the log and the start of the process that has it open;
  /// positions hold for this log only. 0 from hosts that do not send it, and
  /// from a host that has not caught up and sends no records.
  std::uint64_t Log = 0;
  std::vector<listed_turn> Turns; ///< If copy_request::ListsTurns is true.
  bool IsAtFirstStart = false;    ///< See state_record::IsFirstStart.
  bool MayLackRecords = false;    ///< See state_record::MayLackRecords.
  MSGPACK_DEFINE(Status, Set, CaughtUp, Segment, Offset, AtEnd, Records, Log,
                 Turns, IsAtFirstStart, MayLackRecords)
};

/// Checks that a host replies, and exchanges the newest sets.
struct ping_request {
  disk_set Set;
  std::uint64_t DiskId = 0; ///< 0 from hosts that do not send it.
  /// Whether the host asks for a confirmation of the first start of all.
  bool IsFirstStart = false;
  MSGPACK_DEFINE(Set, DiskId, IsFirstStart)
};

/// The reply to a ping_request.
struct ping_reply {
  disk_set Set;
  bool CaughtUp = false;
  std::uint64_t DiskId = 0;  ///< 0 from hosts that do not send it.
  bool IsFirstStart = false; ///< Whether it confirms that of the request.
  MSGPACK_DEFINE(Set, CaughtUp, DiskId, IsFirstStart)
};

/// Encodes a record for the log: one byte for its kind, then msgpack.
template <typename Record>
std::string packRecord(record_kind Kind, const Record &Value) {
  std::string Bytes(1, static_cast<char>(Kind));
  return Bytes + pack(Value);
}

/// Returns the kind of an encoded record. Fails with Corrupt if the bytes are
/// empty or the kind is unknown.
std::optional<record_kind> kindOf(std::string_view Bytes);

/// Decodes a record. Fails with Corrupt.
template <typename Record>
std::optional<Record> unpackRecord(std::string_view Bytes) {
  if (Bytes.empty())
    return fail(error_code::Corrupt, "empty record");
  return unpack<Record>(Bytes.substr(1));
}

} // namespace turmerichead::turns
