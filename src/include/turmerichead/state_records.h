/// \file
/// The records of a holder's write-ahead journal, and their encoding.
///
/// A record describes one step of a program. Everything that must survive the
/// exit of a host is a record; the rows of state_rows.h are built from
/// committed records alone.
///
///     std::string Bytes = encodeRecord(answer_record{...});
///     std::optional<record> Back = decodeRecord(Bytes);
///     if (!Back)
///       log::error("record", {{"reason", lastError().Text}});
#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmerichead {

/// Largest encoded record that decodeRecord() accepts, in bytes.
inline constexpr std::size_t MaxRecordBytes = std::size_t{16} << 20;

/// The kind of upstream that a call is sent to.
enum class call_kind : std::uint8_t { Model, Service };

/// What is known about a call that has ended.
enum class call_outcome : std::uint8_t {
  Answered, ///< The upstream's answer is committed.
  NotRun,   ///< The call was never sent to an upstream.
  Failed,   ///< The call ran and ended without an answer.
  Unknown   ///< The call may have run; its result is not known.
};

/// Why a program has ended.
enum class end_reason : std::uint8_t {
  None,
  Asked,         ///< Ended by its caller or by an operator.
  BudgetSpent,   ///< The next call exceeds the rest of the budget.
  TurnLimit,     ///< Too many model calls.
  ToolLimit,     ///< Too many service calls.
  SubAgentLimit, ///< Too many sub-agents under one root.
  WallTimeLimit  ///< Too much time since its start.
};

/// The names of the enumerators as written in JSON; they must not change.
/// Values outside the enumeration give "invalid", except for call_kind, which
/// gives "service".
std::string_view nameOf(call_kind Kind);
std::string_view nameOf(call_outcome Outcome);
std::string_view nameOf(end_reason Reason);

} // namespace turmerichead

MSGPACK_ADD_ENUM(turmerichead::call_kind)
MSGPACK_ADD_ENUM(turmerichead::call_outcome)
MSGPACK_ADD_ENUM(turmerichead::end_reason)

namespace turmerichead {

/// The limits that a catalogue entry grants to one root program and its
/// sub-agents together. 0 means no limit for counts and times, but not for the
/// budget: with a budget of 0 no model call is allowed.
struct granted_limits {
  std::uint64_t BudgetTokens = 0;
  std::uint32_t Turns = 0;
  std::uint32_t ToolCalls = 0;
  std::uint32_t SubAgents = 0;
  std::int64_t WallTimeMs = 0;
  std::uint32_t Retries = 0; ///< Repeats after a crash of an upstream.
  std::uint32_t MaxOutputTokens = 4096; ///< Upper limit for one answer.
  MSGPACK_DEFINE(BudgetTokens, Turns, ToolCalls, SubAgents, WallTimeMs, Retries,
                 MaxOutputTokens)
};

/// The first call of a program (root or sub-agent) has arrived.
struct program_started_record {
  std::string Program; ///< Path from the root, for example "week-12/track-3".
  std::string Entry;
  std::string Owner;
  std::uint8_t Rank = 0;
  granted_limits Limits;
  std::int64_t WallStartMs = 0;
  MSGPACK_DEFINE(Program, Entry, Owner, Rank, Limits, WallStartMs)
};

/// The request of a call, without the messages that the program's history
/// already holds.
struct call_body {
  call_kind Kind = call_kind::Model;
  std::string Target;         ///< Model, or service and path.
  std::string IdempotencyKey; ///< Empty if the caller gave none.
  std::uint64_t Fingerprint = 0;
  bool NonIdempotent = false;
  /// Number of leading messages that are left out of Delta.
  std::uint32_t OmittedMessages = 0;
  std::uint64_t RestHash = 0; ///< chat_digest::RestHash of a model call.
  /// The body; without the omitted messages for a model call.
  std::string Delta;
  MSGPACK_DEFINE(Kind, Target, IdempotencyKey, Fingerprint, NonIdempotent,
                 OmittedMessages, RestHash, Delta)
};

/// An idempotent call is being dispatched. The dispatch does not wait for the
/// commit of this record.
struct call_accepted_record {
  std::string Program;
  std::uint32_t Number = 0;
  call_body Call;
  MSGPACK_DEFINE(Program, Number, Call)
};

/// A non-idempotent call is dispatched once this record is committed. No other
/// holder dispatches the call after that.
struct intent_record {
  std::string Program;
  std::uint32_t Number = 0;
  call_body Call;
  MSGPACK_DEFINE(Program, Number, Call)
};

/// The program tree of \c Root may spend up to \c UpTo tokens in total.
struct budget_reserved_record {
  std::string Root;
  std::uint64_t UpTo = 0;
  MSGPACK_DEFINE(Root, UpTo)
};

/// A call was answered by its upstream.
struct answer_record {
  std::string Program;
  std::uint32_t Number = 0;
  std::uint16_t HttpStatus = 200;
  std::string ContentType;
  std::string Body;
  std::uint64_t Tokens = 0; ///< Prompt and completion, charged to the budget.
  /// As budget_reserved_record::UpTo; 0 if none.
  std::uint64_t ReserveUpTo = 0;
  MSGPACK_DEFINE(Program, Number, HttpStatus, ContentType, Body, Tokens,
                 ReserveUpTo)
};

/// A call ended without an answer. With the outcome NotRun its number can be
/// used again.
struct call_closed_record {
  std::string Program;
  std::uint32_t Number = 0;
  call_outcome Outcome = call_outcome::NotRun;
  std::string Code;
  std::uint64_t Tokens = 0; ///< Charged to the budget: the worst case.
  MSGPACK_DEFINE(Program, Number, Outcome, Code, Tokens)
};

/// An upstream crashed while it executed a call. The call is repeated or closed
/// next.
struct upstream_crash_record {
  std::string Program;
  std::uint32_t Number = 0;
  std::string Upstream;
  std::uint64_t Tokens = 0; ///< Charged for the failed attempt.
  MSGPACK_DEFINE(Program, Number, Upstream, Tokens)
};

/// A program ended. The end of a root ends all of its sub-agents.
struct program_ended_record {
  std::string Program;
  end_reason Reason = end_reason::None;
  std::int64_t WallMs = 0;
  MSGPACK_DEFINE(Program, Reason, WallMs)
};

/// The writer starts or stops serving a shard.
struct shard_record {
  std::uint32_t Shard = 0;
  std::uint64_t Fence = 0; ///< Version of the shard map, used as fencing token.
  bool Acquired = false;
  MSGPACK_DEFINE(Shard, Fence, Acquired)
};

/// One run of the daemon on a host. The incarnation distinguishes the runs.
struct host_incarnation {
  std::string Host;
  std::uint64_t Incarnation = 0;
  friend auto operator<=>(const host_incarnation &,
                          const host_incarnation &) = default;
  MSGPACK_DEFINE(Host, Incarnation)
};

/// Changes nothing. Its commit proves that the writer was not replaced before
/// the record was written.
struct barrier_record {
  std::uint8_t Version = 1;
  MSGPACK_DEFINE(Version)
};

using record =
    std::variant<program_started_record, call_accepted_record, intent_record,
                 budget_reserved_record, answer_record, call_closed_record,
                 upstream_crash_record, program_ended_record, shard_record,
                 barrier_record>;

/// Encodes \p Record.
std::string encodeRecord(const record &Record);

/// Decodes a record. Returns std::nullopt with error Corrupt if \p Bytes are
/// longer than MaxRecordBytes, nested too deeply, of an unknown kind, or not a
/// record.
std::optional<record> decodeRecord(std::string_view Bytes);

/// The program that \p Record belongs to; empty for records that concern no
/// program (shard_record, barrier_record).
std::string_view programOf(const record &Record);

/// The root of \p Program: the part before the first slash.
std::string_view rootOf(std::string_view Program);

} // namespace turmerichead
