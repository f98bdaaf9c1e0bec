/// \file
/// The messages between hosts, encoded with msgpack.
#pragma once

#include "turmerichead/codec.h"
#include "turmerichead/state_journal.h"

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::host_pvt {

// -- Paths of requests between hosts ----------------------------------------

inline constexpr std::string_view CallPath = "/call";
inline constexpr std::string_view HistoryPath = "/history";
inline constexpr std::string_view EndPath = "/end";
inline constexpr std::string_view AskPath = "/ask";
inline constexpr std::string_view DonePath = "/done";
inline constexpr std::string_view EndedPath = "/ended";
inline constexpr std::string_view LivingPath = "/living";
inline constexpr std::string_view BeatPath = "/beat";
inline constexpr std::string_view StatePath = "/state";
inline constexpr std::string_view ReportPath = "/report";
inline constexpr std::string_view PoisonPath = "/poison";
inline constexpr std::string_view KeepPath = "/keep";
inline constexpr std::string_view TrimPath = "/trim";
inline constexpr std::string_view ClosePath = "/close";
inline constexpr std::string_view SealedPath = "/sealed";

// -- Calls ------------------------------------------------------------------

/// A call from an entry host to the holder.
struct call_message {
  std::string Program; ///< Path from the root.
  std::uint32_t Number = 0;
  std::uint8_t Kind = 0; ///< call_kind
  bool NonIdempotent = false;
  bool WantStream = false;
  std::string IdempotencyKey;
  std::string Target; ///< Model, or "service/path".
  std::string Body;
  std::string Entry;
  std::string Owner;
  std::int64_t DeadlineMs = 0; ///< From now; clocks of hosts differ.
  MSGPACK_DEFINE(Program, Number, Kind, NonIdempotent, WantStream,
                 IdempotencyKey, Target, Body, Entry, Owner, DeadlineMs)
};

/// The outcome of a call for its caller.
struct call_end {
  std::uint8_t Outcome = 0; ///< call_outcome
  std::uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body;
  std::string Code;
  std::string Text;
  std::uint32_t Number = 0;
  std::int64_t RetryAfterMs = 0;
  bool Replayed = false;
  bool Moved = false;
  /// Bytes of content that were already sent to this caller; -1 if none were,
  /// so that the complete answer must be sent.
  std::int64_t StreamedBytes = -1;
  /// The streamed content differs from the answer of a later attempt. The
  /// stream is aborted, and a retry of the call gets the complete answer.
  bool StreamBroken = false;
  MSGPACK_DEFINE(Outcome, HttpStatus, ContentType, Body, Code, Text, Number,
                 RetryAfterMs, Replayed, Moved, StreamedBytes, StreamBroken)
};

/// A message of the answer to a call: events to forward, or the end.
struct answer_frame {
  bool IsEnd = false;
  std::string Bytes; ///< Server-sent events, or a packed call_end.
  MSGPACK_DEFINE(IsEnd, Bytes)
};

/// Requests the history of a program from the holder, or its end.
struct program_message {
  std::string Program;
  std::string Owner;
  MSGPACK_DEFINE(Program, Owner)
};

/// The answer of the holder, in the form for the caller.
struct program_reply {
  std::uint16_t HttpStatus = 200;
  std::string Body;
  bool Moved = false;
  MSGPACK_DEFINE(HttpStatus, Body, Moved)
};

// -- Gates ------------------------------------------------------------------

/// Requests a runner from the gate of a group.
struct ask_message {
  std::string Group;
  std::string Root;
  std::string Program;
  std::string Owner;
  std::string Entry;
  std::uint8_t Rank = 0;
  std::int64_t PromptTokens = 0;
  std::int64_t CachedTokens = 0;
  std::int64_t MaxOutputTokens = 0;
  std::int64_t AttainedService = 0;
  bool Started = false;
  std::int64_t ProgramAgeMs = 0;
  std::int64_t DeadlineMs = 0; ///< From now.
  std::uint64_t Fingerprint = 0;
  bool ParentWaiting = false;
  bool MayRepeat = true;
  std::string AvoidRunner;
  MSGPACK_DEFINE(Group, Root, Program, Owner, Entry, Rank, PromptTokens,
                 CachedTokens, MaxOutputTokens, AttainedService, Started,
                 ProgramAgeMs, DeadlineMs, Fingerprint, ParentWaiting,
                 MayRepeat, AvoidRunner)
};

/// The answer of the gate: a runner, or a final refusal.
struct ask_reply {
  bool Granted = false;
  std::string Runner;
  std::string MoveCacheFrom;
  std::string Reason; ///< Of a refusal; a stable code.
  std::int64_t RetryAfterMs = 0;
  std::uint32_t AskIndex = 0; ///< Identifies the ask in done_message.
  std::uint32_t AskGeneration = 0;
  MSGPACK_DEFINE(Granted, Runner, MoveCacheFrom, Reason, RetryAfterMs, AskIndex,
                 AskGeneration)
};

/// Reports the outcome of a granted call to the gate.
struct done_message {
  std::string Group;
  std::uint32_t AskIndex = 0;
  std::uint32_t AskGeneration = 0;
  std::uint8_t Outcome = 0; ///< sched::outcome
  std::int64_t PromptTokens = 0;
  std::int64_t CachedTokens = 0;
  std::int64_t OutputTokens = 0;
  std::string Program;
  std::int64_t ExpectedPauseMs = 0; ///< Until the next call; 0: unknown.
  MSGPACK_DEFINE(Group, AskIndex, AskGeneration, Outcome, PromptTokens,
                 CachedTokens, OutputTokens, Program, ExpectedPauseMs)
};

/// Notifies the gates that a program has ended.
struct ended_message {
  std::string Program;
  MSGPACK_DEFINE(Program)
};

/// Asks a holder which of these programs are live.
struct living_message {
  std::vector<std::string> Programs;
  MSGPACK_DEFINE(Programs)
};

// -- Membership -------------------------------------------------------------

/// Load of a group, as measured by its gate.
struct group_load {
  std::string Group;
  std::int64_t Slots = 0;
  std::int64_t InFlight = 0;
  std::int64_t Queued = 0;
  MSGPACK_DEFINE(Group, Slots, InFlight, Queued)
};

/// A heartbeat with additional data.
struct beat_message {
  std::string Beat; ///< An encoded heartbeat of libcluster.
  std::vector<group_load> Groups;
  /// Names and versions that the sender knows, as encoded by libcluster. Only
  /// set while the catalogues of the two hosts differ.
  std::string Digest;
  MSGPACK_DEFINE(Beat, Groups, Digest)
};

/// A catalogue item in a message.
struct config_row {
  std::string Name;
  std::uint64_t Version = 0;
  bool Deleted = false;
  std::string Spec;
  std::string ChangedBy;
  std::int64_t ChangedAtMs = 0;
  MSGPACK_DEFINE(Name, Version, Deleted, Spec, ChangedBy, ChangedAtMs)
};

/// Answer to a heartbeat or a state request: data that the peer lacks.
struct state_message {
  std::vector<config_row> Config;
  std::string Map; ///< JSON of the shard map; empty if not newer.
  std::uint64_t MapRevision = 0;
  std::string Upstreams; ///< JSON list of upstream objects; often empty.
  MSGPACK_DEFINE(Config, Map, MapRevision, Upstreams)
};

// -- Journal ----------------------------------------------------------------

/// Records that a standby stores for their writer.
struct keep_message {
  host_incarnation Origin;
  host_incarnation Standby;     ///< The incarnation that is addressed.
  std::uint64_t OnPlatform = 0; ///< Entries up to here need no standby.
  std::vector<journal_entry> Entries;
  MSGPACK_DEFINE(Origin, Standby, OnPlatform, Entries)
};
struct keep_reply {
  std::uint64_t UpTo = 0;
  MSGPACK_DEFINE(UpTo)
};
struct trim_message {
  host_incarnation Origin;
  std::uint64_t UpTo = 0;
  MSGPACK_DEFINE(Origin, UpTo)
};
/// Requests the tail of a journal from a standby (close), or notifies it that
/// the journal is sealed.
struct close_message {
  host_incarnation Standby;
  host_incarnation Journal;
  MSGPACK_DEFINE(Standby, Journal)
};
struct close_reply {
  std::vector<journal_entry> Entries;
  MSGPACK_DEFINE(Entries)
};

} // namespace turmerichead::host_pvt
