#include "book_pvt.h"

#include <algorithm>

namespace turmerichead {

namespace {

// A shorter answer is not worth the cost of its prompt.
constexpr std::uint64_t MinOutputTokens = 16;

std::uint64_t saturatingSubtract(std::uint64_t Left, std::uint64_t Right) {
  return Left > Right ? Left - Right : 0;
}

} // namespace

// -- Order of calls --

// Starts the program's next call in order, if it has arrived.
void program_book::impl::startNextCall(const std::string &Program, moment Now) {
  const program_row *Row = Rows.findProgram(Program);
  call_id Id = openCall(Program, Row ? Row->EndedCalls + 1 : 1);
  if (!Id || Calls.find(Id)->Phase != call_phase::Queued)
    return;
  startCall(Id, Now);
}

void program_book::impl::startNextCalls(std::string_view Root, moment Now) {
  std::vector<std::string> Paths;
  if (const active_root *Row = findActiveRoot(Root))
    for (const auto &[Path, Program] : Row->Programs)
      if (!Program.Open.empty())
        Paths.push_back(Path);
  for (const std::string &Path : Paths)
    startNextCall(Path, Now);
}

void program_book::impl::startCall(call_id Id, moment Now) {
  open_call &Call = *Calls.find(Id);
  std::string Root(rootOf(Call.Request.Program));
  const active_root &Active = *findActiveRoot(Root);
  if (Active.EndReason != end_reason::None)
    return dropCall(Id, errorReplyOf(Active.EndReason));
  if (!JournalAvailable)
    return dropCall(Id, {call_outcome::NotRun, 503, "not_kept",
                         "records can't be kept at present",
                         Settings.RefusedRetryAfterMs, false});
  if (Call.Attempt == 0) {
    if (tooManySubAgents(Active, Call))
      return dropCall(Id, errorReplyOf(end_reason::SubAgentLimit));
    end_reason Reason = limitReached(Call);
    if (Reason != end_reason::None)
      return endRoot(Root, Reason, Now);
  }
  if (Call.Request.Kind == call_kind::Model) {
    budget_fit Fit = chargeCall(Call);
    if (Fit == budget_fit::Wait)
      return;
    if (Fit == budget_fit::Spent)
      return endRoot(Root, end_reason::BudgetSpent, Now);
  }
  recordAndDispatch(Id, Now);
}

// Writes the records that a dispatch depends on: the program's first record, a
// reservation that covers the worst case, and the intent of a non-idempotent
// call. Dispatches the call if they are committed already; otherwise the call
// waits for their commit.
void program_book::impl::recordAndDispatch(call_id Id, moment Now) {
  open_call &Call = *Calls.find(Id);
  commit_ticket Ticket = startProgram(Call);
  if (Call.Request.Kind == call_kind::Model)
    Ticket = std::max(Ticket, reserveBudget(Call));
  if (Call.Request.NonIdempotent) {
    Ticket = appendRecord(
        intent_record{Call.Request.Program, Call.Number, bodyOf(Call)});
    Call.RecordWritten = true;
  }
  (void)Now;
  if (Ticket > Committed)
    return awaitCommit(Id, call_phase::AwaitStartCommit, Ticket);
  dispatch(Id);
}

bool program_book::impl::tooManySubAgents(const active_root &Root,
                                          const open_call &Call) const {
  std::uint32_t Limit = limitsOf(Call.Request.Program).SubAgents;
  if (Limit == 0 || started(Call.Request.Program) ||
      rootOf(Call.Request.Program) == Call.Request.Program)
    return false;
  std::set<std::string_view> Paths;
  if (const root_row *Row = Rows.findRoot(Call.Request.Program))
    for (const auto &[Path, Program] : Row->Programs)
      Paths.insert(Path);
  for (const auto &[Path, Program] : Root.Programs)
    if (Program.StartTicket != 0)
      Paths.insert(Path);
  Paths.erase(rootOf(Call.Request.Program));
  return Paths.size() >= Limit;
}

std::uint32_t program_book::impl::countActiveCalls(std::string_view Root,
                                                   call_kind Kind) const {
  std::uint32_t Count = 0;
  for (call_id Id : callsOf(Root)) {
    const open_call &Call = *Calls.find(Id);
    bool Counts = Call.Phase != call_phase::Queued || Call.Attempt > 0;
    if (Counts && Call.Request.Kind == Kind)
      ++Count;
  }
  return Count;
}

end_reason program_book::impl::limitReached(const open_call &Call) const {
  granted_limits Limits = limitsOf(Call.Request.Program);
  const root_row *Row = Rows.findRoot(Call.Request.Program);
  std::string_view Root = rootOf(Call.Request.Program);
  if (Call.Request.Kind == call_kind::Model) {
    std::uint32_t Turns =
        (Row ? Row->Turns : 0) + countActiveCalls(Root, call_kind::Model);
    bool Reached = Limits.Turns != 0 && Turns >= Limits.Turns;
    return Reached ? end_reason::TurnLimit : end_reason::None;
  }
  std::uint32_t Tools =
      (Row ? Row->ToolCalls : 0) + countActiveCalls(Root, call_kind::Service);
  bool Reached = Limits.ToolCalls != 0 && Tools >= Limits.ToolCalls;
  return Reached ? end_reason::ToolLimit : end_reason::None;
}

bool program_book::impl::started(std::string_view Program) const {
  if (Rows.findProgram(Program))
    return true;
  const active_program *Open = findActiveProgram(Program);
  return Open && Open->StartTicket != 0;
}

// Writes the program's first record unless it exists. Returns its ticket, or 0
// if the active program has not written one.
commit_ticket program_book::impl::startProgram(const open_call &Call) {
  const std::string &Path = Call.Request.Program;
  active_root &Root = *findActiveRoot(Path);
  if (started(Path))
    return Root.Programs[Path].StartTicket;
  program_started_record Record;
  Record.Program = Path;
  Record.Entry = Root.Entry;
  Record.Owner = Root.Owner;
  Record.Rank = Root.Rank;
  Record.Limits = limitsOf(Path);
  Record.WallStartMs = Root.WallStartMs;
  commit_ticket Ticket = appendRecord(std::move(Record));
  Root.Programs[Path].StartTicket = Ticket;
  return Ticket;
}

// -- Budget --

granted_limits program_book::impl::limitsOf(std::string_view Program) const {
  const active_root *Active = findActiveRoot(Program);
  const root_row *Row = Rows.findRoot(Program);
  auto Found = Entries.find(Active ? std::string_view(Active->Entry)
                            : Row  ? std::string_view(Row->Entry)
                                   : std::string_view());
  if (Found != Entries.end())
    return Found->second;
  return Row ? Row->Limits : granted_limits();
}

std::uint64_t program_book::impl::spentTokens(std::string_view Root) const {
  const root_row *Row = Rows.findRoot(Root);
  std::uint64_t Sum = Row ? Row->SpentTokens : 0;
  if (const active_root *Active = findActiveRoot(Root))
    for (const pending_tokens &Pending : Active->PendingSpent)
      Sum += Pending.Tokens;
  return Sum;
}

// The worst case of the tokens of all calls that are dispatched or about to be.
std::uint64_t program_book::impl::chargedTokens(std::string_view Root) const {
  std::uint64_t Sum = 0;
  for (call_id Id : callsOf(Root))
    Sum += Calls.find(Id)->Charge;
  return Sum;
}

// Upper bound of the prompt tokens. A token has at least one byte. If the call
// continues the conversation, the tokens of the earlier messages are known from
// the latest answer.
std::uint64_t program_book::impl::maxPromptTokens(const open_call &Call) const {
  const chat_digest &Digest = Call.Request.Digest;
  std::uint64_t All = std::max<std::uint64_t>(Call.Request.Body.size(), 1);
  const program_row *Row = Rows.findProgram(Call.Request.Program);
  if (!Row || Row->Messages.empty() || Row->MessagesRestHash != Digest.RestHash)
    return All;
  std::size_t Known = commonPrefix(Row->Messages, Digest.Messages);
  if (Known != Row->Messages.size())
    return All;
  std::uint64_t Continued = Row->MessagesTokens;
  for (std::size_t I = Known; I < Digest.Messages.size(); ++I)
    Continued += Digest.Messages[I].Bytes;
  return std::min(All, Continued);
}

program_book::impl::budget_fit
program_book::impl::chargeCall(open_call &Call) const {
  std::string_view Root = rootOf(Call.Request.Program);
  granted_limits Limits = limitsOf(Root);
  std::uint64_t Cap = std::max<std::uint32_t>(Limits.MaxOutputTokens, 1);
  std::uint64_t Asked = Call.Request.Digest.MaxOutputTokens;
  std::uint64_t Wanted = Asked == 0 ? Cap : std::min(Asked, Cap);
  std::uint64_t Prompt = maxPromptTokens(Call);
  std::uint64_t Others = chargedTokens(Root);
  std::uint64_t Left =
      saturatingSubtract(Limits.BudgetTokens, spentTokens(Root));
  if (Prompt + Wanted <= saturatingSubtract(Left, Others)) {
    Call.MaxOutputTokens = static_cast<std::uint32_t>(Wanted);
    Call.Charge = Prompt + Wanted;
    return budget_fit::Fits;
  }
  // Other calls return the tokens that they do not use.
  if (Others > 0)
    return budget_fit::Wait;
  std::uint64_t Least = std::min(Wanted, MinOutputTokens);
  if (Prompt + Least > Left)
    return budget_fit::Spent;
  Call.MaxOutputTokens = static_cast<std::uint32_t>(Left - Prompt);
  Call.Charge = Left;
  return budget_fit::Fits;
}

// Returns the ticket that a dispatch must wait for; 0 if the committed
// reservation covers all open calls.
commit_ticket program_book::impl::reserveBudget(const open_call &Call) {
  std::string Root(rootOf(Call.Request.Program));
  std::uint64_t Needed = spentTokens(Root) + chargedTokens(Root);
  const root_row *Row = Rows.findRoot(Root);
  if (Row && Needed <= Row->ReservedUpTo)
    return 0;
  return appendRecord(budget_reserved_record{Root, Needed});
}

// -- Dispatch --

call_body program_book::impl::bodyOf(const open_call &Call) const {
  call_body Out;
  Out.Kind = Call.Request.Kind;
  Out.Target = Call.Request.Target;
  Out.IdempotencyKey = Call.Request.IdempotencyKey;
  Out.Fingerprint = Call.Fingerprint;
  Out.NonIdempotent = Call.Request.NonIdempotent;
  Out.RestHash = Call.Request.Digest.RestHash;
  const program_row *Row = Rows.findProgram(Call.Request.Program);
  if (Row && Call.Request.Kind == call_kind::Model)
    Out.OmittedMessages = static_cast<std::uint32_t>(
        commonPrefix(Row->Messages, Call.Request.Digest.Messages));
  Out.Delta = removeLeadingMessages(Call.Request.Body, Out.OmittedMessages);
  return Out;
}

void program_book::impl::dispatch(call_id Id) {
  open_call &Call = *Calls.find(Id);
  Call.Phase = call_phase::Dispatched;
  ++Call.Attempt;
  if (!Call.RecordWritten)
    appendRecord(
        call_accepted_record{Call.Request.Program, Call.Number, bodyOf(Call)});
  Call.RecordWritten = true;
  dispatch_call Out;
  Out.Call = Id;
  Out.Program = Call.Request.Program;
  Out.Number = Call.Number;
  Out.Kind = Call.Request.Kind;
  Out.NonIdempotent = Call.Request.NonIdempotent;
  Out.IdempotencyKey = Call.Request.IdempotencyKey;
  Out.Target = Call.Request.Target;
  Out.Body = Call.Request.Body;
  Out.MaxOutputTokens = Call.MaxOutputTokens;
  Out.Attempt = Call.Attempt;
  Out.Rank = Call.Request.Rank;
  Out.Entry = Call.Request.Entry;
  Out.Deadline = Call.Request.Deadline;
  Out.FirstWaiter = Call.Waiters.empty() ? 0 : Call.Waiters.front();
  Commands.emplace_back(std::move(Out));
}

} // namespace turmerichead
