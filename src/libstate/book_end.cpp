#include "book_pvt.h"

#include "turmerichead/error.h"

#include <algorithm>
#include <utility>

namespace turmerichead {

commit_ticket program_book::impl::appendRecord(record Record) {
  commit_record Out{++LastTicket, std::move(Record)};
  Pending.push_back(Out);
  Commands.emplace_back(std::move(Out));
  LastRecordQueued = true;
  return LastTicket;
}

void program_book::impl::awaitCommit(call_id Id, call_phase Phase,
                                     commit_ticket Ticket) {
  open_call &Call = *Calls.find(Id);
  Call.Phase = Phase;
  Call.WaitFor = Ticket;
  Awaiting.emplace(Ticket, Id);
}

// -- Results from upstreams --

void program_book::impl::answered(call_id Id, upstream_answer Answer) {
  open_call *Call = Calls.find(Id);
  if (!Call || Call->Phase != call_phase::Dispatched)
    return;
  bool IsModel = Call->Request.Kind == call_kind::Model;
  std::uint64_t Used = IsModel ? Answer.Tokens.value_or(Call->Charge) : 0;
  Call->Charge = 0;
  active_root &Root = *findActiveRoot(Call->Request.Program);
  Root.PendingSpent.push_back({LastTicket + 1, Used});
  answer_record Record;
  Record.Program = Call->Request.Program;
  Record.Number = Call->Number;
  Record.HttpStatus = Answer.HttpStatus;
  Record.ContentType = std::move(Answer.ContentType);
  Record.Body = std::move(Answer.Body);
  Record.Tokens = Used;
  Record.ReserveUpTo = IsModel ? reserveAhead(*Call, Used) : 0;
  awaitCommit(Id, call_phase::AwaitEndCommit, appendRecord(std::move(Record)));
}

// Reserves the tokens that the next call of the conversation may use, so that
// its dispatch need not wait for a commit.
std::uint64_t program_book::impl::reserveAhead(const open_call &Call,
                                               std::uint64_t Used) const {
  const active_root &Active = *findActiveRoot(Call.Request.Program);
  if (Active.EndReason != end_reason::None)
    return 0;
  std::string_view Root = rootOf(Call.Request.Program);
  granted_limits Limits = limitsOf(Root);
  std::uint64_t Next =
      Used + Settings.ReserveSlackTokens + Limits.MaxOutputTokens;
  std::uint64_t UpTo = std::min(spentTokens(Root) + chargedTokens(Root) + Next,
                                Limits.BudgetTokens);
  const root_row *Row = Rows.findRoot(Root);
  return Row && UpTo <= Row->ReservedUpTo ? 0 : UpTo;
}

void program_book::impl::closeCall(call_id Id, call_outcome Outcome,
                                   std::string Code) {
  open_call *Call = Calls.find(Id);
  if (!Call || Call->Phase == call_phase::AwaitEndCommit)
    return;
  std::uint64_t Used = std::exchange(Call->Charge, 0);
  active_root &Root = *findActiveRoot(Call->Request.Program);
  Root.PendingSpent.push_back({LastTicket + 1, Used});
  call_closed_record Record{Call->Request.Program, Call->Number, Outcome,
                            std::move(Code), Used};
  awaitCommit(Id, call_phase::AwaitEndCommit, appendRecord(std::move(Record)));
}

void program_book::impl::upstreamCrashed(call_id Id, std::string Upstream,
                                         moment Now) {
  open_call *Call = Calls.find(Id);
  if (!Call || Call->Phase != call_phase::Dispatched)
    return;
  if (Call->Request.NonIdempotent)
    return closeCall(Id, call_outcome::Unknown, "upstream_died");
  ++Call->Crashes;
  if (Call->Crashes >= Settings.CrashesBeforeRefusal)
    return closeCall(Id, call_outcome::Failed, "poison_request");
  active_root &Root = *findActiveRoot(Call->Request.Program);
  const root_row *Row = Rows.findRoot(Call->Request.Program);
  std::uint32_t Retries = Root.PendingRetries + (Row ? Row->RetriesUsed : 0);
  bool MayRetry = Retries < limitsOf(Call->Request.Program).Retries &&
                  Root.EndReason == end_reason::None && JournalAvailable;
  if (!MayRetry)
    return closeCall(Id, call_outcome::Failed, "upstream_died");
  std::uint64_t Used = std::exchange(Call->Charge, 0);
  Root.PendingSpent.push_back({LastTicket + 1, Used});
  ++Root.PendingRetries;
  appendRecord(upstream_crash_record{Call->Request.Program, Call->Number,
                                     std::move(Upstream), Used});
  Call->Phase = call_phase::Queued;
  startCall(Id, Now);
}

void program_book::notSent(call_id Call, std::string Code,
                           std::int64_t RetryAfterMs, moment Now) {
  open_call *Row = State->Calls.find(Call);
  if (!Row || Row->Phase != call_phase::Dispatched)
    return;
  std::string Root(rootOf(Row->Request.Program));
  State->dropCall(Call, {call_outcome::NotRun, 503, std::move(Code),
                         "no upstream took the call", RetryAfterMs, false});
  State->startNextCalls(Root, Now);
}

// -- Release of waiters --

// Ends a call that is not at an upstream. Its number can be used again, unless
// an earlier attempt of the call ran.
void program_book::impl::dropCall(call_id Id, error_reply Reply) {
  open_call &Call = *Calls.find(Id);
  if (Call.Crashes > 0)
    return closeCall(Id, call_outcome::Failed, std::move(Reply.Code));
  if (Call.RecordWritten)
    appendRecord(call_closed_record{Call.Request.Program, Call.Number,
                                    call_outcome::NotRun, Reply.Code, 0});
  if (mayHaveRunUnrecorded(Call.Request.Program, Call.Number, Call.Keyed))
    Reply.Outcome = call_outcome::Unknown;
  releaseAll(Call, Reply);
  eraseCall(Id);
}

void program_book::impl::release(waiter_id Waiter, std::uint32_t Number,
                                 const error_reply &Reply) {
  release_waiter Out;
  Out.Waiter = Waiter;
  Out.Outcome = Reply.Outcome;
  Out.HttpStatus = Reply.HttpStatus;
  Out.Code = Reply.Code;
  Out.Text = Reply.Text;
  Out.Number = Number;
  Out.RetryAfterMs = Reply.RetryAfterMs;
  Out.Moved = Reply.Moved;
  bool Defer = Out.Outcome == call_outcome::NotRun && !Out.Moved;
  if (Defer && JournalAvailable) {
    Deferred.push_back({barrier(), std::move(Out)});
    return;
  }
  if (Defer)
    Out.Outcome = call_outcome::Unknown;
  Commands.emplace_back(std::move(Out));
}

// Returns the ticket of a record that no journal write contains yet.
commit_ticket program_book::impl::barrier() {
  return LastRecordQueued ? LastTicket : appendRecord(barrier_record{});
}

void program_book::impl::releaseDeferred() {
  while (!Deferred.empty() && Deferred.front().Ticket <= Committed) {
    Commands.emplace_back(std::move(Deferred.front().Release));
    Deferred.pop_front();
  }
}

// Releases all deferred refusals with the given outcome, since the commits that
// they wait for will not happen, or not soon.
void program_book::impl::resolveDeferred(call_outcome Outcome, bool Moved) {
  for (deferred_release &Row : std::exchange(Deferred, {})) {
    Row.Release.Outcome = Outcome;
    Row.Release.Moved = Moved;
    Commands.emplace_back(std::move(Row.Release));
  }
}

void program_book::impl::releaseAll(open_call &Call, const error_reply &Reply) {
  for (waiter_id Waiter : std::exchange(Call.Waiters, {})) {
    Waiters.erase(Waiter);
    release(Waiter, Call.Number, Reply);
  }
}

void program_book::impl::eraseCall(call_id Id) {
  const open_call &Call = *Calls.find(Id);
  if (active_root *Root = findActiveRoot(Call.Request.Program))
    Root->Programs[Call.Request.Program].Open.erase(Call.Number);
  Calls.erase(Id);
}

std::vector<call_id> program_book::impl::callsOf(std::string_view Root) const {
  std::vector<call_id> Out;
  if (const active_root *Row = findActiveRoot(Root))
    for (const auto &[Path, Program] : Row->Programs)
      for (auto [Number, Id] : Program.Open)
        Out.push_back(Id);
  return Out;
}

// -- End of programs --

bool program_book::endProgram(std::string_view Program, end_reason Reason,
                              moment Now) {
  std::string Root(rootOf(Program));
  std::uint32_t Shard = State->ShardOf(Root);
  // The last snapshot of a shard that is being handed over may be written
  // already. Then the next holder would not see the end of the program.
  if (!State->Shards.contains(Shard) || State->Draining.contains(Shard)) {
    fail(error_code::Unavailable, "the program has moved");
    return false;
  }
  const root_row *Row = State->Rows.findRoot(Root);
  if (!Row && !State->findActiveRoot(Root)) {
    fail(error_code::NotFound, "no such program");
    return false;
  }
  if (!Row || !Row->ended())
    State->endRoot(Root, Reason, Now);
  return true;
}

// Dispatched calls run to their end, because their effects must be recorded.
// Dispatched model calls are cancelled if the program was ended on request or
// by its wall time limit, since their answers are not needed then.
void program_book::impl::endRoot(const std::string &Root, end_reason Reason,
                                 moment Now) {
  const root_row *Row = Rows.findRoot(Root);
  active_root &Ended = Active[Root];
  if (Row && Ended.Entry.empty()) {
    Ended.Entry = Row->Entry;
    Ended.Owner = Row->Owner;
    Ended.Shard = Row->Shard;
    Ended.WallStartMs = Row->WallStartMs;
  }
  if (Ended.EndReason != end_reason::None)
    return;
  Ended.EndReason = Reason;
  if (started(Root))
    appendRecord(program_ended_record{Root, Reason, Now.WallMs});
  bool CancelModelCalls =
      Reason == end_reason::Asked || Reason == end_reason::WallTimeLimit;
  for (call_id Id : callsOf(Root)) {
    const open_call &Call = *Calls.find(Id);
    bool NotSent = Call.Phase == call_phase::Queued ||
                   Call.Phase == call_phase::AwaitStartCommit;
    if (NotSent)
      dropCall(Id, errorReplyOf(Reason));
    else if (CancelModelCalls && Call.Phase == call_phase::Dispatched &&
             Call.Request.Kind == call_kind::Model)
      Commands.emplace_back(cancel_dispatch{Id});
  }
  if (!started(Root))
    Active.erase(Root);
}

// -- Commits --

void program_book::impl::applyCommitted(const commit_record &Commit) {
  Committed = Commit.Ticket;
  bool WasEnded = false;
  std::string_view Path = programOf(Commit.Record);
  if (const root_row *Root = Rows.findRoot(Path))
    WasEnded = Root->ended();
  Rows.apply(Commit.Record, ShardOf);
  if (active_root *Active = Path.empty() ? nullptr : findActiveRoot(Path)) {
    while (!Active->PendingSpent.empty() &&
           Active->PendingSpent.front().Ticket <= Committed)
      Active->PendingSpent.pop_front();
    if (std::holds_alternative<upstream_crash_record>(Commit.Record))
      --Active->PendingRetries;
  }
  const auto *Ended = std::get_if<program_ended_record>(&Commit.Record);
  if (Ended && !WasEnded)
    Commands.emplace_back(program_ended{Ended->Program, Ended->Reason});
}

void program_book::impl::committedUpTo(commit_ticket Ticket, moment Now) {
  if (Fenced)
    return;
  while (!Pending.empty() && Pending.front().Ticket <= Ticket) {
    applyCommitted(Pending.front());
    Pending.pop_front();
  }
  releaseDeferred();
  while (!Awaiting.empty() && Awaiting.begin()->first <= Committed) {
    auto [WaitFor, Id] = *Awaiting.begin();
    Awaiting.erase(Awaiting.begin());
    const open_call *Call = Calls.find(Id);
    if (!Call || Call->WaitFor != WaitFor)
      continue;
    if (Call->Phase == call_phase::AwaitStartCommit)
      dispatch(Id);
    else if (Call->Phase == call_phase::AwaitEndCommit)
      finishCall(Id, Now);
  }
}

// Releases the waiters of a call, whose result is committed now, and starts the
// calls that waited for it.
void program_book::impl::finishCall(call_id Id, moment Now) {
  open_call &Call = *Calls.find(Id);
  std::string Path = Call.Request.Program;
  const program_row *Program = Rows.findProgram(Path);
  const root_row *Root = Rows.findRoot(Path);
  if (Program && Call.Number <= Program->Calls.size()) {
    const call_row &Row = Program->Calls[Call.Number - 1];
    for (waiter_id Waiter : std::exchange(Call.Waiters, {})) {
      Waiters.erase(Waiter);
      replay(Row, *Root, Waiter, Call.Number);
      std::get<release_waiter>(Commands.back()).Replayed = false;
    }
  }
  eraseCall(Id);
  startNextCall(Path, Now);
  startNextCalls(rootOf(Path), Now);
}

} // namespace turmerichead
