/// \file
/// The holder's state machine for programs and calls. It decides about order,
/// identity, budget and limits; the daemon executes its commands.
///
///     program_book Book(Settings, ShardOf);
///     Book.submit(Request, Waiter, Now);
///     for (book_command &Command : Book.takeCommands())
///       ...                          // commit, dispatch, release, cancel
///     Book.committedUpTo(Ticket, Now);       // from the journal
///     Book.answered(Call, Answer, Now);      // from the upstream
///
/// Each submitted waiter gets exactly one release_waiter, unless it is
/// withdrawn by callerDisconnected(). The book does no I/O, reads no clock and
/// uses no randomness.
///
/// The outcome NotRun is reported only after the commit of a record that was
/// written after the refusal was decided. Without this proof, a holder that was
/// replaced without noticing could report NotRun for a call that its successor
/// ran. If nothing can be committed, the refusal is reported at once as
/// Unknown, with a time after which to retry. For the same reason no other
/// component may report a numbered or keyed call as not run.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/state_rows.h"
#include "turmerichead/table.h"

#include <memory>
#include <optional>

namespace turmerichead {

/// The current time by the monotonic and by the wall clock.
struct moment {
  time_point Now; ///< Monotonic; for deadlines and delays.
  /// Milliseconds since the Unix epoch; for the wall time of programs, which
  /// continues after a takeover.
  std::int64_t WallMs = 0;
};

/// Identifies a caller that waits for an answer. Chosen by the daemon and never
/// reused.
using waiter_id = std::uint64_t;

/// Position of a record in the journal; increases by one for each record,
/// starting at 1.
using commit_ticket = std::uint64_t;

/// A call as received from a caller.
struct call_request {
  std::string Program; ///< Path from the root.
  /// From 1; 0 assigns the next number in order of arrival.
  std::uint32_t Number = 0;
  call_kind Kind = call_kind::Model;
  bool NonIdempotent = false;
  std::string IdempotencyKey;
  std::string Target; ///< Model, or service and path.
  std::string Body;
  chat_digest Digest; ///< Set for a model call.
  time_point Deadline{INT64_MAX};
  // Taken from the catalogue entry when the call arrived.
  std::string Entry;
  std::string Owner; ///< Authenticated by the entry host.
  std::uint8_t Rank = 0;
  granted_limits Limits;
};

/// The decision of submit(), for metrics. The waiter itself is informed by
/// commands.
enum class submit_decision : std::uint8_t {
  Waiting,  ///< Waits for an earlier call, for budget or for a commit.
  Running,  ///< Dispatched.
  Joined,   ///< The same call is already open; both waiters get its answer.
  Replayed, ///< The call has ended before; released with the recorded result.
  Refused,  ///< Refused: not run, or Unknown if that can't be proved.
  Conflict  ///< The number or key belongs to a call with another body, or the
            ///< program to another owner or entry.
};

struct open_call; // in book_pvt.h
using call_id = typed_id<open_call>;

/// Append \c Record to the journal, in this order. Confirmed with
/// committedUpTo().
struct commit_record {
  commit_ticket Ticket = 0;
  record Record;
};

/// Send a call to an upstream. Answer with answered(), notSent(), failed() or
/// upstreamCrashed().
struct dispatch_call {
  call_id Call;
  std::string Program;
  std::uint32_t Number = 0;
  call_kind Kind = call_kind::Model;
  bool NonIdempotent = false;
  std::string IdempotencyKey;
  std::string Target;
  std::string Body;
  /// Output limit to set in the request of a model call.
  std::uint32_t MaxOutputTokens = 0;
  std::uint32_t Attempt = 1;
  std::uint8_t Rank = 0;
  std::string Entry;
  time_point Deadline;
  /// Receives the stream; other waiters receive only the result.
  waiter_id FirstWaiter = 0;
};

/// Send a caller the result of its call.
struct release_waiter {
  waiter_id Waiter = 0;
  call_outcome Outcome = call_outcome::Answered;
  std::uint16_t HttpStatus = 0;
  std::string ContentType; ///< Set for an answer.
  std::string Body;        ///< Set for an answer.
  std::string Code; ///< Set for a refusal or failure, e.g. "budget_spent".
  std::string Text; ///< Message for humans.
  std::uint32_t Number = 0;      ///< The call's number; 0 if none was assigned.
  std::int64_t RetryAfterMs = 0; ///< 0 if a retry can't succeed.
  bool Replayed = false;
  /// This host no longer holds the program. The daemon forwards the same call
  /// to the new holder if the call is numbered or keyed, or if its outcome here
  /// is NotRun. If that fails, it reports Unknown to the caller.
  bool Moved = false;
};

/// Cancel a dispatched call, because its program has ended or its shard was
/// lost.
struct cancel_dispatch {
  call_id Call;
};

/// A root has ended. Its memory in the engines can be released.
struct program_ended {
  std::string Root;
  end_reason Reason = end_reason::None;
};

using book_command = std::variant<commit_record, dispatch_call, release_waiter,
                                  cancel_dispatch, program_ended>;

/// An upstream's complete answer.
struct upstream_answer {
  std::uint16_t HttpStatus = 200;
  std::string ContentType;
  std::string Body;
  /// If missing, the worst case is charged.
  std::optional<std::uint64_t> Tokens;
};

/// Settings of the book.
struct book_settings {
  std::uint32_t MaxOpenCalls = 20000; ///< Further calls are refused.
  /// How far a call's number may be ahead of the ended calls.
  std::uint32_t MaxQueuedPerProgram = 16;
  std::uint32_t MaxPrograms = 20000; ///< Roots in memory, including ended ones.
  /// Reserved ahead for the new messages of the next call.
  std::uint32_t ReserveSlackTokens = 2048;
  /// Crashes of upstreams after which a call is refused.
  std::uint32_t CrashesBeforeRefusal = 2;
  std::int64_t RefusedRetryAfterMs = 1000;
  /// How long the bodies of an ended root stay available for repeated requests.
  std::int64_t BodyRetentionMs = 600000;
  /// How long the row of an ended root is kept, so that none of its calls is
  /// executed again.
  std::int64_t EndedRootRetentionMs = 86400000;
};

/// The programs and calls of the shards that this host holds. Not thread-safe.
class program_book {
public:
  program_book(book_settings Settings, shard_of_root ShardOf);
  ~program_book();
  program_book(const program_book &) = delete;
  program_book &operator=(const program_book &) = delete;

  // -- Shards --

  /// Starts serving \p Shard with the rows that were taken over. The caller
  /// must have committed the rows in a snapshot of this holder before.
  void acquireShard(std::uint32_t Shard, state_rows Rows);
  bool holdsShard(std::uint32_t Shard) const;
  /// Stops accepting calls of \p Shard; they are released with Moved. Returns
  /// true once no call of the shard is in progress, so that its rows can be
  /// handed over. Call it again until then.
  bool drainShard(std::uint32_t Shard, moment Now);
  /// Another host holds \p Shard. Releases all of its waiters with Moved and
  /// removes its rows.
  void loseShard(std::uint32_t Shard, moment Now);
  /// Stops serving a drained shard and returns its rows.
  state_rows releaseShard(std::uint32_t Shard);

  // -- Calls --

  submit_decision submit(const call_request &Request, waiter_id Waiter,
                         moment Now);
  /// Reports the upstream's complete answer, with any HTTP status.
  void answered(call_id Call, upstream_answer Answer, moment Now);
  /// Reports that nothing was sent to an upstream. The call is refused as not
  /// run.
  void notSent(call_id Call, std::string Code, std::int64_t RetryAfterMs,
               moment Now);
  /// Reports that the call was sent and ended without an answer. With \p
  /// MayHaveRun false the upstream reported a failure; with true the outcome is
  /// Unknown.
  void failed(call_id Call, std::string Code, bool MayHaveRun, moment Now);
  /// Reports that the upstream crashed during the call. The call is dispatched
  /// again if it is idempotent and the entry's retries allow it.
  void upstreamCrashed(call_id Call, std::string Upstream, moment Now);
  /// Reports that a caller has disconnected. A call that was not dispatched and
  /// has no other waiter is dropped. A dispatched call continues, so that a
  /// repeated request can join it.
  void callerDisconnected(waiter_id Waiter, moment Now);

  // -- Programs and entries --

  /// Ends the root of \p Program. Returns false with error NotFound if it is
  /// unknown, or Unavailable if this host does not hold it or is handing it
  /// over.
  bool endProgram(std::string_view Program, end_reason Reason, moment Now);
  /// Sets new limits of an entry. They apply to its running programs at once.
  void entryChanged(std::string_view Entry, const granted_limits &Limits,
                    moment Now);

  // -- Journal --

  /// Reports that all records up to \p Ticket are committed.
  void committedUpTo(commit_ticket Ticket, moment Now);
  /// Reports that this host has been replaced and that its uncommitted records
  /// will never be committed. All waiters are released with Moved.
  void fenced(moment Now);
  /// Sets whether the journal can commit records at present. While it can't,
  /// new calls and calls that are not dispatched yet are refused; dispatched
  /// calls continue.
  void setJournalAvailable(bool Available, moment Now);

  /// Applies deadlines, wall time limits and retention times. Call it about
  /// once per second.
  void tick(moment Now);

  // -- Results --

  /// Returns the commands since the previous call. Execute them in this order.
  std::vector<book_command> takeCommands();
  /// The committed state. Snapshots and histories are made from it.
  const state_rows &rows() const;
  /// The ticket of the latest record that is applied to rows().
  commit_ticket rowsTicket() const;
  std::size_t openCalls() const;
  /// Appends a record from outside the book, such as a shard_record, in order
  /// with the book's records. Returns its ticket.
  commit_ticket appendRecord(record Record);

private:
  struct impl;
  std::unique_ptr<impl> State;
};

} // namespace turmerichead
