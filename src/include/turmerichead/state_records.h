/// \file
/// The records a holder keeps in its journal, and their encoding.
///
/// A record tells of one step in the life of a program. Everything that must
/// outlive a host is a record; the rows of state_rows.h are nothing but the
/// fold of the records that were committed.
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

/// Largest encoded record that decodeRecord() accepts.
inline constexpr std::size_t MaxRecordBytes = std::size_t{16} << 20;

/// What a call is sent to.
enum class call_kind : std::uint8_t { Model, Service };

/// What is known of a call that has ended.
enum class call_outcome : std::uint8_t {
  Answered, ///< The upstream's answer was kept.
  NotRun,   ///< The call was never handed to an upstream.
  Failed,   ///< It ran and ended without an answer.
  Unknown   ///< It may have run; nothing is known of its end.
};

/// Why a program has ended.
enum class end_reason : std::uint8_t {
  None,
  Asked,         ///< Its caller or an operator ended it.
  BudgetSpent,   ///< The next call does not fit the entry's budget.
  TurnLimit,     ///< Model calls.
  ToolLimit,     ///< Service calls.
  SubAgentLimit, ///< Programs under one root.
  WallTimeLimit  ///< Time since its start.
};

/// The stable names of the enumerators, as used in JSON.
std::string_view nameOf(call_kind Kind);
std::string_view nameOf(call_outcome Outcome);
std::string_view nameOf(end_reason Reason);

} // namespace turmerichead

MSGPACK_ADD_ENUM(turmerichead::call_kind)
MSGPACK_ADD_ENUM(turmerichead::call_outcome)
MSGPACK_ADD_ENUM(turmerichead::end_reason)

namespace turmerichead {

/// The limits that a catalogue entry grants to one root program and its
/// sub-agents together. 0 is "no limit" for counts and times, but not for the
/// budget: a budget of 0 grants no model call.
struct granted_limits {
  std::uint64_t BudgetTokens = 0;
  std::uint32_t Turns = 0;
  std::uint32_t ToolCalls = 0;
  std::uint32_t SubAgents = 0;
  std::int64_t WallTimeMs = 0;
  std::uint32_t Retries = 0;            ///< Repeats after an upstream's death.
  std::uint32_t MaxOutputTokens = 4096; ///< Cap of one answer.
  MSGPACK_DEFINE(BudgetTokens, Turns, ToolCalls, SubAgents, WallTimeMs, Retries,
                 MaxOutputTokens)
};

/// A program (root or sub-agent) was seen for the first time.
struct program_started_record {
  std::string Program; ///< Path from the root, for example "week-12/track-3".
  std::string Entry;
  std::string Owner;
  std::uint8_t Rank = 0;
  granted_limits Limits;
  std::int64_t WallStartMs = 0;
  MSGPACK_DEFINE(Program, Entry, Owner, Rank, Limits, WallStartMs)
};

/// What a call asks, without the messages that its history already holds.
struct call_body {
  call_kind Kind = call_kind::Model;
  std::string Target;         ///< Model, or service and path.
  std::string IdempotencyKey; ///< Empty if the caller gave none.
  std::uint64_t Fingerprint = 0;
  bool NonIdempotent = false;
  std::uint32_t OmittedMessages = 0; ///< Leading messages left out of Delta.
  std::uint64_t RestHash = 0;        ///< chat_digest::RestHash of a model call.
  std::string Delta; ///< Body; of a model call without its kept messages.
  MSGPACK_DEFINE(Kind, Target, IdempotencyKey, Fingerprint, NonIdempotent,
                 OmittedMessages, RestHash, Delta)
};

/// A call that may be repeated is being dispatched. Not waited for.
struct call_accepted_record {
  std::string Program;
  std::uint32_t Number = 0;
  call_body Call;
  MSGPACK_DEFINE(Program, Number, Call)
};

/// A non-idempotent call will be dispatched once this is committed, and never
/// by another holder.
struct intent_record {
  std::string Program;
  std::uint32_t Number = 0;
  call_body Call;
  MSGPACK_DEFINE(Program, Number, Call)
};

/// The tree of \c Root may spend up to \c UpTo tokens in all.
struct budget_reserved_record {
  std::string Root;
  std::uint64_t UpTo = 0;
  MSGPACK_DEFINE(Root, UpTo)
};

/// A call was answered.
struct answer_record {
  std::string Program;
  std::uint32_t Number = 0;
  std::uint16_t HttpStatus = 200;
  std::string ContentType;
  std::string Body;
  std::uint64_t Tokens = 0; ///< Prompt and completion, charged to the budget.
  std::uint64_t ReserveUpTo = 0; ///< As budget_reserved_record; 0 is none.
  MSGPACK_DEFINE(Program, Number, HttpStatus, ContentType, Body, Tokens,
                 ReserveUpTo)
};

/// A call ended without an answer. \c Outcome NotRun opens the number again.
struct call_closed_record {
  std::string Program;
  std::uint32_t Number = 0;
  call_outcome Outcome = call_outcome::NotRun;
  std::string Code;
  std::uint64_t Tokens = 0; ///< Charged to the budget; the worst case.
  MSGPACK_DEFINE(Program, Number, Outcome, Code, Tokens)
};

/// An upstream died under a call, which is going to be repeated or closed.
struct upstream_crash_record {
  std::string Program;
  std::uint32_t Number = 0;
  std::string Upstream;
  std::uint64_t Tokens = 0; ///< Charged for the lost attempt.
  MSGPACK_DEFINE(Program, Number, Upstream, Tokens)
};

/// A program ended, and with a root all of its sub-agents.
struct program_ended_record {
  std::string Program;
  end_reason Reason = end_reason::None;
  std::int64_t WallMs = 0;
  MSGPACK_DEFINE(Program, Reason, WallMs)
};

/// The writer serves a shard from here on, or no longer does.
struct shard_record {
  std::uint32_t Shard = 0;
  std::uint64_t Fence = 0; ///< The shard map's version.
  bool Acquired = false;
  MSGPACK_DEFINE(Shard, Fence, Acquired)
};

/// A host in one of its lives.
struct host_incarnation {
  std::string Host;
  std::uint64_t Incarnation = 0;
  friend auto operator<=>(const host_incarnation &,
                          const host_incarnation &) = default;
  MSGPACK_DEFINE(Host, Incarnation)
};

/// Changes nothing; its commit shows that the writer has not been replaced.
struct barrier_record {
  std::uint8_t Version = 1;
  MSGPACK_DEFINE(Version)
};

using record =
    std::variant<program_started_record, call_accepted_record, intent_record,
                 budget_reserved_record, answer_record, call_closed_record,
                 upstream_crash_record, program_ended_record, shard_record,
                 barrier_record>;

/// The bytes of \p Record.
std::string encodeRecord(const record &Record);

/// Reads a record back. std::nullopt with error Corrupt where \p Bytes are
/// longer than MaxRecordBytes, nested too deeply, of an unknown kind, or not
/// a record at all.
std::optional<record> decodeRecord(std::string_view Bytes);

/// The program that \p Record is about; empty for records of the journal.
std::string_view programOf(const record &Record);

/// The root of \p Program: the part before the first slash.
std::string_view rootOf(std::string_view Program);

} // namespace turmerichead
