/// \file
/// The internal state of the book besides its committed rows: open calls, and
/// the pending effects of records that are not committed yet.
#pragma once

#include "turmerichead/state_book.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace turmerichead {

/// State of an open call.
enum class call_phase : std::uint8_t {
  Queued, ///< Waits for an earlier call, or for budget that other calls hold.
  AwaitStartCommit, ///< Waits for the commit of its start, reservation or
                    ///< intent record.
  Dispatched,
  AwaitEndCommit ///< Waits for the commit of its result.
};

/// A call that has not ended.
struct open_call {
  call_request Request;
  std::uint32_t Number = 0;
  std::uint64_t Fingerprint = 0;
  call_phase Phase = call_phase::Queued;
  commit_ticket WaitFor = 0; ///< Set in AwaitStartCommit and AwaitEndCommit.
  std::vector<waiter_id> Waiters;
  /// Upper limit of the tokens that it may still use.
  std::uint64_t Charge = 0;
  std::uint32_t MaxOutputTokens = 0;
  std::uint32_t Attempt = 0; ///< Dispatches so far.
  std::uint32_t Crashes = 0;
  /// Its call_accepted_record or intent_record was written.
  bool RecordWritten = false;
  bool Keyed = false; ///< Has no number from its caller; identified by its key.
};

/// A refusal or failure to be sent to a waiter.
struct error_reply {
  call_outcome Outcome = call_outcome::NotRun;
  std::uint16_t HttpStatus = 503;
  std::string Code;
  std::string Text;
  std::int64_t RetryAfterMs = 0;
  bool Moved = false;
};

/// A refusal that is held back until a commit proves that this host is still
/// the holder.
struct deferred_release {
  commit_ticket Ticket = 0;
  release_waiter Release;
};

/// A program with calls that are open or records that are not committed.
struct active_program {
  /// Of its program_started_record; 0 if this book has not written one.
  commit_ticket StartTicket = 0;
  std::map<std::uint32_t, call_id> Open; ///< By number.
};

/// Tokens whose charge is not committed yet.
struct pending_tokens {
  commit_ticket Ticket = 0;
  std::uint64_t Tokens = 0;
};

/// A root program that has an active program.
struct active_root {
  std::string Entry;
  std::string Owner;
  std::uint8_t Rank = 0;
  std::uint32_t Shard = 0;
  std::int64_t WallStartMs = 0;
  end_reason EndReason = end_reason::None; ///< Set when the end is decided; its
                                           ///< record may not be committed yet.
  std::uint32_t PendingRetries = 0;
  std::deque<pending_tokens> PendingSpent;
  std::map<std::string, active_program> Programs; ///< By path.
};

/// The book's state and its logic. The definitions are in book.cpp (admission
/// and identity), book_run.cpp (order, budget, dispatch), book_end.cpp (ends
/// and commits) and book_tick.cpp (shards, timers, availability of the
/// journal).
struct program_book::impl {
  impl(book_settings Settings, shard_of_root ShardOf)
      : Settings(Settings), ShardOf(std::move(ShardOf)) {}

  book_settings Settings;
  shard_of_root ShardOf;
  state_rows Rows;
  commit_ticket Committed = 0;
  commit_ticket LastTicket = 0;
  std::deque<commit_record> Pending; ///< Issued as commands, not yet committed.
  std::vector<book_command> Commands;
  std::deque<deferred_release> Deferred; ///< Ordered by ticket.
  bool LastRecordQueued = false; ///< The last record is still in Commands.
  table<open_call> Calls;
  std::map<std::string, active_root, std::less<>> Active;
  std::multimap<commit_ticket, call_id> Awaiting;
  std::unordered_map<waiter_id, call_id> Waiters;
  /// The limits received last, by entry.
  std::map<std::string, granted_limits, std::less<>> Entries;
  std::set<std::uint32_t> Shards;
  std::set<std::uint32_t> Draining;
  bool Fenced = false;
  bool JournalAvailable = true;

  // -- Admission and identity (book.cpp) --
  submit_decision submit(const call_request &Request, waiter_id Waiter,
                         moment Now);
  std::uint32_t numberOf(const call_request &Request,
                         const program_row *Program,
                         const active_program *Open) const;
  std::optional<submit_decision> resolveKnownCall(const call_request &Request,
                                                  waiter_id Waiter,
                                                  std::uint32_t Number,
                                                  std::uint64_t Fingerprint);
  void replay(const call_row &Call, const root_row &Root, waiter_id Waiter,
              std::uint32_t Number);
  std::optional<error_reply> checkAdmission(const call_request &Request,
                                            std::uint32_t Number) const;
  active_root &activateRoot(const call_request &Request, moment Now);
  bool mayHaveRunUnrecorded(std::string_view Program, std::uint32_t Number,
                            bool Keyed) const;

  // -- Order, budget and dispatch (book_run.cpp) --
  enum class budget_fit : std::uint8_t { Fits, Wait, Spent };
  void startNextCall(const std::string &Program, moment Now);
  void startNextCalls(std::string_view Root, moment Now);
  void startCall(call_id Id, moment Now);
  void recordAndDispatch(call_id Id, moment Now);
  bool tooManySubAgents(const active_root &Root, const open_call &Call) const;
  end_reason limitReached(const open_call &Call) const;
  std::uint32_t countActiveCalls(std::string_view Root, call_kind Kind) const;
  commit_ticket startProgram(const open_call &Call);
  commit_ticket reserveBudget(const open_call &Call);
  budget_fit chargeCall(open_call &Call) const;
  std::uint64_t maxPromptTokens(const open_call &Call) const;
  std::uint64_t chargedTokens(std::string_view Root) const;
  std::uint64_t spentTokens(std::string_view Root) const;
  granted_limits limitsOf(std::string_view Program) const;
  call_body bodyOf(const open_call &Call) const;
  void dispatch(call_id Id);

  // -- Ends and commits (book_end.cpp) --
  commit_ticket appendRecord(record Record);
  void awaitCommit(call_id Id, call_phase Phase, commit_ticket Ticket);
  void answered(call_id Id, upstream_answer Answer);
  std::uint64_t reserveAhead(const open_call &Call, std::uint64_t Used) const;
  void closeCall(call_id Id, call_outcome Outcome, std::string Code);
  void upstreamCrashed(call_id Id, std::string Upstream, moment Now);
  void dropCall(call_id Id, error_reply Reply);
  void release(waiter_id Waiter, std::uint32_t Number,
               const error_reply &Reply);
  commit_ticket barrier();
  void releaseDeferred();
  void resolveDeferred(call_outcome Outcome, bool Moved);
  void releaseAll(open_call &Call, const error_reply &Reply);
  void endRoot(const std::string &Root, end_reason Reason, moment Now);
  bool started(std::string_view Program) const;
  void committedUpTo(commit_ticket Ticket, moment Now);
  void applyCommitted(const commit_record &Commit);
  void finishCall(call_id Id, moment Now);
  void eraseCall(call_id Id);
  std::vector<call_id> callsOf(std::string_view Root) const;

  // -- Shards, timers, availability of the journal (book_tick.cpp) --
  void setJournalAvailable(bool Available, moment Now);
  void fenced();
  void loseShard(std::uint32_t Shard);
  void tick(moment Now);
  void expireCalls(moment Now);
  void endOverdueRoots(moment Now);
  void expireEndedRoots(moment Now);
  void removeIdleRoots();
  bool drainShard(std::uint32_t Shard, moment Now);
  void callerDisconnected(waiter_id Waiter, moment Now);

  active_root *findActiveRoot(std::string_view Program);
  const active_root *findActiveRoot(std::string_view Program) const;
  const active_program *findActiveProgram(std::string_view Program) const;
  call_id openCall(std::string_view Program, std::uint32_t Number) const;
};

/// The reply to a caller whose program was ended for \p Reason.
error_reply errorReplyOf(end_reason Reason);

/// Hash of a call's content; repeated requests are recognised by it.
std::uint64_t fingerprintOf(const call_request &Request);

} // namespace turmerichead
