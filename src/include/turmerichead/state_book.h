/// \file
/// The holder's state machine over programs and calls. It decides order,
/// identity, budget and limits; the daemon carries out its commands.
///
///     program_book Book(Settings, ShardOf);
///     Book.submit(Request, Waiter, Now);
///     for (book_command &Command : Book.takeCommands())
///       ...                          // commit, dispatch, release, cancel
///     Book.committedUpTo(Ticket, Now);       // from the journal
///     Book.answered(Call, Answer, Now);      // from the upstream
///
/// Each waiter that is submitted gets exactly one release_waiter, unless it
/// is withdrawn by callerDisconnected(). The book has no I/O, clock or
/// randomness.
///
/// "Not run" is told only after a commit that was begun later than the
/// refusal was decided: a holder that was replaced without its knowledge
/// does not know what its successor ran. Where nothing can be committed, the
/// refusal is told at once as Unknown, with a time to come back. For the same
/// reason nobody but the book may tell a caller of a numbered or keyed call
/// that it was not run.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/state_rows.h"
#include "turmerichead/table.h"

#include <memory>
#include <optional>

namespace turmerichead {

/// Now, by both clocks.
struct moment {
  time_point Now;          ///< Deadlines and delays.
  std::int64_t WallMs = 0; ///< A program's wall time survives its holder.
};

/// One caller that waits for an answer; chosen by the daemon, never reused.
using waiter_id = std::uint64_t;

/// Order of a record in the journal; rises by one a record, from 1.
using commit_ticket = std::uint64_t;

/// A call as it arrived.
struct call_request {
  std::string Program;      ///< Path from the root.
  std::uint32_t Number = 0; ///< From 1; 0 takes the next in arrival order.
  call_kind Kind = call_kind::Model;
  bool NonIdempotent = false;
  std::string IdempotencyKey;
  std::string Target; ///< Model, or service and path.
  std::string Body;
  chat_digest Digest; ///< Of a model call.
  time_point Deadline{INT64_MAX};
  // What the catalogue grants at present.
  std::string Entry;
  std::string Owner; ///< Already authenticated.
  std::uint8_t Rank = 0;
  granted_limits Limits;
};

/// What submit() decided, for metrics; the waiter is told by commands.
enum class submit_decision : std::uint8_t {
  Waiting,  ///< For its turn or for a commit.
  Running,  ///< Dispatched.
  Joined,   ///< The same call is under way; both get its answer.
  Replayed, ///< Answered before; released with the kept answer.
  Refused,  ///< Final; not run, or told as unknown where that isn't sure.
  Conflict  ///< Number or key used with another body, or another owner's.
};

struct open_call; // in book_pvt.h
using call_id = typed_id<open_call>;

/// Keep \p Record in the journal, in this order.
struct commit_record {
  commit_ticket Ticket = 0;
  record Record;
};

/// Send a call to an upstream now. Answer with answered(), notSent(),
/// failed() or upstreamCrashed().
struct dispatch_call {
  call_id Call;
  std::string Program;
  std::uint32_t Number = 0;
  call_kind Kind = call_kind::Model;
  bool NonIdempotent = false;
  std::string IdempotencyKey;
  std::string Target;
  std::string Body;
  std::uint32_t MaxOutputTokens = 0; ///< To be sent with a model call.
  std::uint32_t Attempt = 1;
  std::uint8_t Rank = 0;
  std::string Entry;
  time_point Deadline;
  waiter_id FirstWaiter = 0; ///< Gets the stream; others only the end.
};

/// Tell a caller the end of its call.
struct release_waiter {
  waiter_id Waiter = 0;
  call_outcome Outcome = call_outcome::Answered;
  std::uint16_t HttpStatus = 0;
  std::string ContentType;  ///< Of an answer.
  std::string Body;         ///< Of an answer.
  std::string Code;         ///< Of a refusal or failure, e.g. "budget_spent".
  std::string Text;         ///< For people.
  std::uint32_t Number = 0; ///< The call's number; 0 if it got none.
  std::int64_t RetryAfterMs = 0; ///< 0: a repeat won't help.
  bool Replayed = false;
  /// This host no longer holds the program: forward the same call to its new
  /// holder if it is numbered, keyed or its outcome here is NotRun. Where that
  /// fails, tell the caller Unknown.
  bool Moved = false;
};

/// Stop a dispatched call; nobody waits for it or its program has ended.
struct cancel_dispatch {
  call_id Call;
};

/// A root has ended: release its engine memory.
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
  std::optional<std::uint64_t> Tokens; ///< Unknown counts as the worst case.
};

/// Numbers that shape the book; from the host's settings.
struct book_settings {
  std::uint32_t MaxOpenCalls = 20000;      ///< Beyond that calls are refused.
  std::uint32_t MaxQueuedPerProgram = 16;  ///< Calls ahead of their turn.
  std::uint32_t MaxPrograms = 20000;       ///< Roots kept, ended ones too.
  std::uint32_t ReserveSlackTokens = 2048; ///< Ahead, for new messages.
  std::uint32_t CrashesBeforeRefusal = 2;  ///< Upstreams one call may take.
  std::int64_t RefusedRetryAfterMs = 1000;
  std::int64_t BodyRetentionMs = 600000; ///< Of ended roots, for repeats.
  std::int64_t EndedRootRetentionMs = 86400000; ///< No call of an ended root
                                                ///< runs again for so long.
};

class program_book {
public:
  program_book(book_settings Settings, shard_of_root ShardOf);
  ~program_book();
  program_book(const program_book &) = delete;
  program_book &operator=(const program_book &) = delete;

  // -- Shards --

  /// Serves \p Shard from now on, with the rows that were taken over. The
  /// rows must be kept in a snapshot of this holder beforehand.
  void acquireShard(std::uint32_t Shard, state_rows Rows);
  bool holdsShard(std::uint32_t Shard) const;
  /// Takes no new calls of \p Shard (they are told Moved); true once none of
  /// its calls is under way, and its rows may be handed over.
  bool drainShard(std::uint32_t Shard, moment Now);
  /// Another host holds \p Shard: all its waiters are released with Moved,
  /// and its rows are dropped.
  void loseShard(std::uint32_t Shard, moment Now);
  /// Gives the rows of a drained shard up.
  state_rows releaseShard(std::uint32_t Shard);

  // -- Calls --

  submit_decision submit(const call_request &Request, waiter_id Waiter,
                         moment Now);
  /// The upstream's complete answer, whatever its HTTP status.
  void answered(call_id Call, upstream_answer Answer, moment Now);
  /// Nothing was sent to an upstream: the call is refused as not run.
  void notSent(call_id Call, std::string Code, std::int64_t RetryAfterMs,
               moment Now);
  /// Sent, and ended without an answer. \p MayHaveRun false is a failure that
  /// the upstream reported; true leaves the outcome unknown.
  void failed(call_id Call, std::string Code, bool MayHaveRun, moment Now);
  /// The upstream died under the call. It is dispatched again if it may be
  /// repeated and the entry's retries allow it.
  void upstreamCrashed(call_id Call, std::string Upstream, moment Now);
  /// A waiter left. A call that was not dispatched and has no other waiter is
  /// dropped; a dispatched one runs on, so that a repeat can join it.
  void callerDisconnected(waiter_id Waiter, moment Now);

  // -- Programs and entries --

  /// Ends the root of \p Program; false with error NotFound if unknown, or
  /// Unavailable if this host does not hold it or hands it over.
  bool endProgram(std::string_view Program, end_reason Reason, moment Now);
  /// New limits of an entry, in force for its living programs at once.
  void entryChanged(std::string_view Entry, const granted_limits &Limits,
                    moment Now);

  // -- Journal --

  /// All records up to \p Ticket are kept.
  void committedUpTo(commit_ticket Ticket, moment Now);
  /// This host has been replaced: nothing it has open will be committed. All
  /// waiters are released with Moved.
  void fenced(moment Now);
  /// Records can't be kept for now (false), or can again (true). While not,
  /// calls that would need a commit before dispatch are refused as not run.
  void setJournalAvailable(bool Available, moment Now);

  /// Limits that depend on time. Call about once a second.
  void tick(moment Now);

  // -- Results --

  /// The commands since the last take, to be carried out in this order.
  std::vector<book_command> takeCommands();
  /// Committed rows; what snapshots and histories are made of.
  const state_rows &rows() const;
  /// The ticket of the latest record that rows() holds.
  commit_ticket rowsTicket() const;
  std::size_t openCalls() const;
  /// Records of the journal's own, in order with the book's.
  commit_ticket appendRecord(record Record);

private:
  struct impl;
  std::unique_ptr<impl> State;
};

} // namespace turmerichead
