#include "book_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"

#include <algorithm>
#include <utility>

namespace turmerichead {

std::uint64_t fingerprintOf(const call_request &Request) {
  std::uint64_t Kind = Request.Kind == call_kind::Model ? 1 : 2;
  std::uint64_t Target = hash64(Request.Target, Kind);
  return hash64(Request.Body, Target + (Request.NonIdempotent ? 1 : 0));
}

error_reply errorReplyOf(end_reason Reason) {
  error_reply Out;
  Out.HttpStatus = Reason == end_reason::Asked ? 410 : 429;
  Out.Code = Reason == end_reason::Asked ? "program_ended"
                                         : std::string(nameOf(Reason));
  Out.Text = "the program has ended: " + std::string(nameOf(Reason));
  return Out;
}

// -- Shards --

void program_book::acquireShard(std::uint32_t Shard, state_rows Rows) {
  State->Rows.merge(std::move(Rows));
  State->Shards.insert(Shard);
  State->Draining.erase(Shard);
}

bool program_book::holdsShard(std::uint32_t Shard) const {
  return State->Shards.contains(Shard);
}

state_rows program_book::releaseShard(std::uint32_t Shard) {
  State->Shards.erase(Shard);
  State->Draining.erase(Shard);
  std::erase_if(State->Active,
                [&](const auto &Row) { return Row.second.Shard == Shard; });
  return State->Rows.takeShard(Shard);
}

// -- Admission and identity --

// A call without a number gets the first number that is neither recorded nor
// open. A call with a known key gets the number of that key.
std::uint32_t program_book::impl::numberOf(const call_request &Request,
                                           const program_row *Program,
                                           const active_program *Open) const {
  if (!Request.IdempotencyKey.empty()) {
    if (Program)
      for (std::size_t I = 0; I < Program->Calls.size(); ++I)
        if (Program->Calls[I].Call.IdempotencyKey == Request.IdempotencyKey)
          return static_cast<std::uint32_t>(I) + 1;
    if (Open)
      for (auto [Number, Id] : Open->Open)
        if (Calls.find(Id)->Request.IdempotencyKey == Request.IdempotencyKey)
          return Number;
  }
  if (Request.Number != 0)
    return Request.Number;
  std::uint32_t Number = Program ? Program->EndedCalls + 1 : 1;
  auto Taken = [&](std::uint32_t Candidate) {
    bool Recorded = Program && Candidate <= Program->Calls.size() &&
                    Program->Calls[Candidate - 1].State != call_state::Open;
    return Recorded || (Open && Open->Open.contains(Candidate));
  };
  while (Taken(Number))
    ++Number;
  return Number;
}

bool program_book::impl::mayHaveRunUnrecorded(std::string_view Program,
                                              std::uint32_t Number,
                                              bool Keyed) const {
  const program_row *Row = Rows.findProgram(Program);
  if (!Row || Row->UncertainNumber == 0)
    return false;
  return Number == Row->UncertainNumber ||
         (Keyed && Number > Row->UncertainNumber);
}

call_id program_book::impl::openCall(std::string_view Program,
                                     std::uint32_t Number) const {
  const active_program *Open = findActiveProgram(Program);
  if (!Open)
    return {};
  auto Found = Open->Open.find(Number);
  return Found == Open->Open.end() ? call_id() : Found->second;
}

// Handles a call that is open or recorded already: joins it, replays its result
// or reports a conflict. Returns std::nullopt for a call that is to be
// executed.
std::optional<submit_decision>
program_book::impl::resolveKnownCall(const call_request &Request,
                                     waiter_id Waiter, std::uint32_t Number,
                                     std::uint64_t Fingerprint) {
  error_reply Conflict{call_outcome::NotRun,
                       409,
                       "call_reused",
                       "the number or key was used with another body",
                       0,
                       false};
  if (Request.Number != 0 && Request.Number != Number) {
    release(Waiter, Number, Conflict);
    return submit_decision::Conflict;
  }
  if (call_id Id = openCall(Request.Program, Number)) {
    open_call &Call = *Calls.find(Id);
    if (Call.Fingerprint != Fingerprint) {
      release(Waiter, Number, Conflict);
      return submit_decision::Conflict;
    }
    Call.Waiters.push_back(Waiter);
    Waiters[Waiter] = Id;
    return submit_decision::Joined;
  }
  const program_row *Program = Rows.findProgram(Request.Program);
  if (!Program || Number > Program->Calls.size())
    return std::nullopt;
  const call_row &Call = Program->Calls[Number - 1];
  if (Call.State == call_state::Open)
    return std::nullopt;
  if (Call.Call.Fingerprint != Fingerprint) {
    release(Waiter, Number, Conflict);
    return submit_decision::Conflict;
  }
  if (Call.State != call_state::Ended)
    return std::nullopt;
  replay(Call, *Rows.findRoot(Request.Program), Waiter, Number);
  return submit_decision::Replayed;
}

void program_book::impl::replay(const call_row &Call, const root_row &Root,
                                waiter_id Waiter, std::uint32_t Number) {
  release_waiter Out;
  Out.Waiter = Waiter;
  Out.Number = Number;
  Out.Replayed = true;
  Out.Outcome = Call.Outcome;
  Out.HttpStatus = Call.HttpStatus;
  Out.ContentType = Call.ContentType;
  Out.Body = Call.Body;
  Out.Code = Call.Code;
  if (Call.Outcome != call_outcome::Answered) {
    Out.HttpStatus = 502;
    Out.Text = "the call ended without an answer";
  } else if (Root.BodiesDropped) {
    Out.HttpStatus = 410;
    Out.Code = "answer_expired";
    Out.Text = "the call was answered; the program ended long ago";
  }
  Commands.emplace_back(std::move(Out));
}

// Returns the refusal of a new call, or std::nullopt if it is admitted.
std::optional<error_reply>
program_book::impl::checkAdmission(const call_request &Request,
                                   std::uint32_t Number) const {
  std::int64_t Later = Settings.RefusedRetryAfterMs;
  const root_row *Root = Rows.findRoot(Request.Program);
  const active_root *Open = findActiveRoot(Request.Program);
  if (Root && Root->ended())
    return errorReplyOf(Root->EndReason);
  if (Open && Open->EndReason != end_reason::None)
    return errorReplyOf(Open->EndReason);
  bool IsRoot = rootOf(Request.Program) == Request.Program;
  if (!IsRoot && !started(rootOf(Request.Program)))
    return error_reply{call_outcome::NotRun,
                       404,
                       "parent_unknown",
                       "the root program has not started",
                       Later,
                       false};
  if (!Root && !Open &&
      std::max(Rows.roots().size(), Active.size()) >= Settings.MaxPrograms)
    return error_reply{call_outcome::NotRun,
                       503,
                       "too_many_programs",
                       "this host holds as many programs as it may",
                       Later,
                       false};
  if (Calls.size() >= Settings.MaxOpenCalls)
    return error_reply{call_outcome::NotRun,
                       503,
                       "too_many_calls",
                       "this host has as many open calls as it may",
                       Later,
                       false};
  if (!JournalAvailable)
    return error_reply{call_outcome::NotRun,
                       503,
                       "not_kept",
                       "records can't be kept at present",
                       Later,
                       false};
  const program_row *Program = Rows.findProgram(Request.Program);
  std::uint32_t Ended = Program ? Program->EndedCalls : 0;
  if (Number > Ended + Settings.MaxQueuedPerProgram)
    return error_reply{call_outcome::NotRun,
                       429,
                       "too_far_ahead",
                       "too many earlier calls have not been made",
                       Later,
                       false};
  return std::nullopt;
}

active_root *program_book::impl::findActiveRoot(std::string_view Program) {
  auto Found = Active.find(rootOf(Program));
  return Found == Active.end() ? nullptr : &Found->second;
}

const active_root *
program_book::impl::findActiveRoot(std::string_view Program) const {
  auto Found = Active.find(rootOf(Program));
  return Found == Active.end() ? nullptr : &Found->second;
}

const active_program *
program_book::impl::findActiveProgram(std::string_view Program) const {
  const active_root *Root = findActiveRoot(Program);
  if (!Root)
    return nullptr;
  auto Found = Root->Programs.find(std::string(Program));
  return Found == Root->Programs.end() ? nullptr : &Found->second;
}

active_root &program_book::impl::activateRoot(const call_request &Request,
                                              moment Now) {
  std::string Name(rootOf(Request.Program));
  auto [Found, Inserted] = Active.try_emplace(Name);
  active_root &Root = Found->second;
  if (Inserted) {
    Root.Shard = ShardOf(Name);
    Root.WallStartMs = Now.WallMs;
    Root.Entry = Request.Entry;
    Root.Owner = Request.Owner;
    Root.Rank = Request.Rank;
    if (const root_row *Row = Rows.findRoot(Name)) {
      Root.WallStartMs = Row->WallStartMs;
      Root.Entry = Row->Entry;
      Root.Owner = Row->Owner;
    }
  }
  Entries[Request.Entry] = Request.Limits;
  return Root;
}

submit_decision program_book::impl::submit(const call_request &Request,
                                           waiter_id Waiter, moment Now) {
  std::uint32_t Shard = ShardOf(rootOf(Request.Program));
  if (Fenced || !Shards.contains(Shard) || Draining.contains(Shard)) {
    release(Waiter, 0,
            {call_outcome::NotRun, 503, "moved", "the program has moved",
             Settings.RefusedRetryAfterMs, true});
    return submit_decision::Refused;
  }
  const root_row *Root = Rows.findRoot(Request.Program);
  const active_root *Open = findActiveRoot(Request.Program);
  bool OtherOwner = (Root && Root->Owner != Request.Owner) ||
                    (Open && Open->Owner != Request.Owner);
  bool OtherEntry = (Root && Root->Entry != Request.Entry) ||
                    (Open && Open->Entry != Request.Entry);
  if (OtherOwner || OtherEntry) {
    release(Waiter, 0,
            {call_outcome::NotRun, 403, "wrong_owner",
             "the program belongs to another owner or entry", 0, false});
    return submit_decision::Conflict;
  }
  const program_row *Program = Rows.findProgram(Request.Program);
  std::uint32_t Number =
      numberOf(Request, Program, findActiveProgram(Request.Program));
  std::uint64_t Fingerprint = fingerprintOf(Request);
  if (auto Decision = resolveKnownCall(Request, Waiter, Number, Fingerprint))
    return *Decision;

  bool Keyed = Request.Number == 0 && !Request.IdempotencyKey.empty();
  if (auto Refusal = checkAdmission(Request, Number)) {
    if (mayHaveRunUnrecorded(Request.Program, Number, Keyed))
      Refusal->Outcome = call_outcome::Unknown;
    release(Waiter, Number, *Refusal);
    return submit_decision::Refused;
  }
  active_root &Active = activateRoot(Request, Now);
  open_call Call;
  Call.Request = Request;
  Call.Number = Number;
  Call.Fingerprint = Fingerprint;
  Call.Waiters.push_back(Waiter);
  Call.Keyed = Keyed;
  call_id Id = Calls.insert(std::move(Call));
  Active.Programs[Request.Program].Open[Number] = Id;
  Waiters[Waiter] = Id;
  startNextCall(Request.Program, Now);
  const open_call *After = Calls.find(Id);
  if (!After)
    return submit_decision::Refused;
  return After->Phase == call_phase::Dispatched ? submit_decision::Running
                                                : submit_decision::Waiting;
}

// -- Public interface --

program_book::program_book(book_settings Settings, shard_of_root ShardOf)
    : State(std::make_unique<impl>(Settings, std::move(ShardOf))) {}
program_book::~program_book() = default;

submit_decision program_book::submit(const call_request &Request,
                                     waiter_id Waiter, moment Now) {
  return State->submit(Request, Waiter, Now);
}
void program_book::answered(call_id Call, upstream_answer Answer, moment) {
  State->answered(Call, std::move(Answer));
}
void program_book::failed(call_id Call, std::string Code, bool MayHaveRun,
                          moment) {
  State->closeCall(Call,
                   MayHaveRun ? call_outcome::Unknown : call_outcome::Failed,
                   std::move(Code));
}
void program_book::callerDisconnected(waiter_id Waiter, moment Now) {
  State->callerDisconnected(Waiter, Now);
}
void program_book::upstreamCrashed(call_id Call, std::string Upstream,
                                   moment Now) {
  State->upstreamCrashed(Call, std::move(Upstream), Now);
}
void program_book::committedUpTo(commit_ticket Ticket, moment Now) {
  State->committedUpTo(Ticket, Now);
}
void program_book::fenced(moment) { State->fenced(); }
void program_book::loseShard(std::uint32_t Shard, moment) {
  State->loseShard(Shard);
}
void program_book::setJournalAvailable(bool Available, moment Now) {
  State->setJournalAvailable(Available, Now);
}
void program_book::tick(moment Now) { State->tick(Now); }
bool program_book::drainShard(std::uint32_t Shard, moment Now) {
  return State->drainShard(Shard, Now);
}
std::vector<book_command> program_book::takeCommands() {
  State->LastRecordQueued = false;
  return std::exchange(State->Commands, {});
}
const state_rows &program_book::rows() const { return State->Rows; }
commit_ticket program_book::rowsTicket() const { return State->Committed; }
std::size_t program_book::openCalls() const { return State->Calls.size(); }
commit_ticket program_book::appendRecord(record Record) {
  return State->appendRecord(std::move(Record));
}

} // namespace turmerichead
