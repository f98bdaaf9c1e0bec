#include "book_pvt.h"

#include <algorithm>
#include <utility>

namespace turmerichead {

namespace {

bool notYetSent(const open_call &Call) {
  return Call.Phase == call_phase::Queued ||
         Call.Phase == call_phase::AwaitStartCommit;
}

} // namespace

// -- Availability of the journal --

// Refuses all calls that are not dispatched yet. Dispatched calls continue.
void program_book::impl::setJournalAvailable(bool Available, moment Now) {
  JournalAvailable = Available;
  if (Available)
    return;
  (void)Now;
  std::vector<call_id> Waiting;
  Calls.forEach([&](call_id Id, const open_call &Call) {
    if (notYetSent(Call))
      Waiting.push_back(Id);
  });
  for (call_id Id : Waiting)
    dropCall(Id, {call_outcome::NotRun, 503, "not_kept",
                  "records can't be kept at present",
                  Settings.RefusedRetryAfterMs, false});
  resolveDeferred(call_outcome::Unknown, false);
}

// The successor decides about every open call, and may run it. So no call is
// reported as finally not run; the callers are redirected to the successor.
void program_book::impl::fenced() {
  Fenced = true;
  for (std::uint32_t Shard : std::set<std::uint32_t>(Shards))
    loseShard(Shard);
  resolveDeferred(call_outcome::NotRun, true);
  Pending.clear();
  Awaiting.clear();
}

void program_book::impl::loseShard(std::uint32_t Shard) {
  std::vector<call_id> Open;
  Calls.forEach([&](call_id Id, const open_call &Call) {
    if (ShardOf(rootOf(Call.Request.Program)) == Shard)
      Open.push_back(Id);
  });
  for (call_id Id : Open) {
    open_call &Call = *Calls.find(Id);
    bool MayHaveRun =
        Call.Attempt > 0 ||
        mayHaveRunUnrecorded(Call.Request.Program, Call.Number, Call.Keyed);
    releaseAll(Call, {MayHaveRun ? call_outcome::Unknown : call_outcome::NotRun,
                      503, "moved", "the program has moved",
                      Settings.RefusedRetryAfterMs, true});
    if (Call.Phase == call_phase::Dispatched &&
        Call.Request.Kind == call_kind::Model)
      Commands.emplace_back(cancel_dispatch{Id});
    eraseCall(Id);
  }
  Rows.takeShard(Shard);
  std::erase_if(Active,
                [&](const auto &Row) { return Row.second.Shard == Shard; });
  Shards.erase(Shard);
  Draining.erase(Shard);
}

// -- Shards --

bool program_book::impl::drainShard(std::uint32_t Shard, moment Now) {
  (void)Now;
  Draining.insert(Shard);
  bool Busy = false;
  std::vector<call_id> Waiting;
  Calls.forEach([&](call_id Id, const open_call &Call) {
    if (ShardOf(rootOf(Call.Request.Program)) != Shard)
      return;
    if (notYetSent(Call) && Call.Crashes == 0)
      Waiting.push_back(Id);
    else
      Busy = true;
  });
  for (call_id Id : Waiting)
    dropCall(Id, {call_outcome::NotRun, 503, "moved", "the program is moving",
                  Settings.RefusedRetryAfterMs, true});
  for (const commit_record &Commit : Pending) {
    std::string_view Path = programOf(Commit.Record);
    if (!Path.empty() && ShardOf(rootOf(Path)) == Shard)
      Busy = true;
  }
  return !Busy;
}

// -- Callers and timers --

void program_book::impl::callerDisconnected(waiter_id Waiter, moment Now) {
  std::erase_if(Deferred, [&](const deferred_release &Row) {
    return Row.Release.Waiter == Waiter;
  });
  auto Found = Waiters.find(Waiter);
  if (Found == Waiters.end())
    return;
  call_id Id = Found->second;
  Waiters.erase(Found);
  open_call &Call = *Calls.find(Id);
  std::erase(Call.Waiters, Waiter);
  if (!Call.Waiters.empty() || !notYetSent(Call))
    return;
  std::string Root(rootOf(Call.Request.Program));
  dropCall(Id, {call_outcome::NotRun, 499, "caller_gone", "", 0, false});
  startNextCalls(Root, Now);
}

void program_book::impl::tick(moment Now) {
  if (Fenced)
    return;
  expireCalls(Now);
  endOverdueRoots(Now);
  expireEndedRoots(Now);
  removeIdleRoots();
}

void program_book::impl::expireCalls(moment Now) {
  std::vector<call_id> Expired;
  Calls.forEach([&](call_id Id, const open_call &Call) {
    if (Call.Request.Deadline <= Now.Now && !Call.Waiters.empty())
      Expired.push_back(Id);
  });
  for (call_id Id : Expired) {
    open_call *Call = Calls.find(Id);
    if (!Call)
      continue;
    error_reply Reply{call_outcome::NotRun,
                      504,
                      "deadline",
                      "the deadline passed before the call's turn",
                      Settings.RefusedRetryAfterMs,
                      false};
    if (!notYetSent(*Call) || Call->Crashes > 0) {
      Reply.Outcome = call_outcome::Unknown;
      Reply.Text = "the deadline passed while the call ran";
      releaseAll(*Call, Reply);
      continue;
    }
    std::string Root(rootOf(Call->Request.Program));
    dropCall(Id, Reply);
    startNextCalls(Root, Now);
  }
}

void program_book::impl::endOverdueRoots(moment Now) {
  std::vector<std::string> Overdue;
  for (const auto &[Name, Root] : Rows.roots()) {
    std::int64_t Limit = limitsOf(Name).WallTimeMs;
    if (!Root.ended() && !Draining.contains(Root.Shard) && Limit != 0 &&
        Now.WallMs - Root.WallStartMs > Limit)
      Overdue.push_back(Name);
  }
  for (const std::string &Name : Overdue)
    endRoot(Name, end_reason::WallTimeLimit, Now);
}

void program_book::impl::expireEndedRoots(moment Now) {
  std::vector<std::string> RootsExpired;
  std::vector<std::string> BodiesExpired;
  for (const auto &[Name, Root] : Rows.roots()) {
    if (!Root.ended() || !callsOf(Name).empty())
      continue;
    std::int64_t Age = Now.WallMs - Root.WallEndMs;
    if (Age > Settings.EndedRootRetentionMs)
      RootsExpired.push_back(Name);
    else if (Age > Settings.BodyRetentionMs && !Root.BodiesDropped)
      BodiesExpired.push_back(Name);
  }
  for (const std::string &Name : BodiesExpired)
    Rows.dropBodies(Name);
  for (const std::string &Name : RootsExpired)
    Rows.removeRoot(Name);
}

// A root without open calls and without uncommitted records needs no
// active_root.
void program_book::impl::removeIdleRoots() {
  auto Idle = [&](const auto &Row) {
    const active_root &Root = Row.second;
    if (!Root.PendingSpent.empty() || Root.PendingRetries != 0)
      return false;
    const root_row *Recorded = Rows.findRoot(Row.first);
    if (Root.EndReason != end_reason::None && Recorded && !Recorded->ended())
      return false;
    for (const auto &[Path, Program] : Root.Programs)
      if (!Program.Open.empty() || Program.StartTicket > Committed)
        return false;
    return true;
  };
  std::erase_if(Active, Idle);
}

void program_book::entryChanged(std::string_view Entry,
                                const granted_limits &Limits, moment Now) {
  State->Entries[std::string(Entry)] = Limits;
  std::vector<std::string> Roots;
  for (const auto &[Name, Root] : State->Active)
    if (Root.Entry == Entry)
      Roots.push_back(Name);
  for (const std::string &Name : Roots)
    State->startNextCalls(Name, Now);
}

} // namespace turmerichead
