// Opens a turn: reserves its tokens and reads the chain that it continues.

#include "client_pvt.h"

namespace turmerichead::turns {

namespace {

spend_record reservationOf(const open_call &Call) {
  return {Call.Program, Call.Attempt, Call.Tokens, false,
          static_cast<std::uint64_t>(Call.Retention.count())};
}

} // namespace

void client::impl::startOpen(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  Row.Set = Set;
  auto &Open = std::get<open_operation>(Row.Kind);
  Open.Quorum = reservation_quorum(Row.Set, Open.Call.Tokens, Open.Call.Budget);
  Open.StragglersTimedOut = false;
  Open.SecondRoundStarted = false;
  Open.Chain.resetAsked();
  Open.Resent = false;
  sendOpen(Id);
  setDeadline(Id, Settings.ReplyTimeout, deadline_kind::Reply);
  setDeadline(Id, Settings.ResendAfter, deadline_kind::Resend);
}

// Sends the reservation to the hosts that have not replied, and requests the
// chain from the first of them.
void client::impl::sendOpen(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  bool First = true;
  open_request Request;
  Request.Set = Row.Set;
  Request.Spend = reservationOf(Open.Call);
  Request.Budget = Open.Call.Budget;
  for (const disk_host &Host : membersByPreference(Row)) {
    if (Open.Quorum.hasReplied(Host.Address))
      continue;
    bool RequestsChain =
        First && !Open.Chain.isComplete() && !Open.Chain.wasAsked(Host.Address);
    Request.Previous = RequestsChain ? Open.Chain.wanted() : std::string();
    if (Open.Call.Budget == 0 && !RequestsChain)
      break;
    if (RequestsChain)
      Open.Chain.markAsked(Host.Address);
    send<open_reply>(Id, Host, OpenPath, pack(Request), &impl::onOpenReply);
    First = false;
  }
}

void client::impl::requestChain(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  if (Open.Chain.isComplete())
    return;
  for (const disk_host &Host : membersByPreference(Row)) {
    if (Open.Chain.wasAsked(Host.Address))
      continue;
    Open.Chain.markAsked(Host.Address);
    std::string Asked = Open.Chain.wanted();
    std::string Address = Host.Address;
    lookup_request Request{Row.Set, {}, {}, Asked};
    transmit(Address, {std::string(ChainPath), {}, pack(Request)},
             [this, Id, Address, Asked](std::string_view Bytes) {
               auto Reply = unpack<open_reply>(Bytes);
               if (Reply && Operations.find(Id))
                 onChainReply(Id, Address, Asked, *Reply);
             });
    setDeadline(Id, Settings.ReplyTimeout, deadline_kind::Reply);
    return;
  }
}

void client::impl::onOpenReply(operation_id Id, const std::string &Address,
                               const open_reply &Reply) {
  if (adoptNewerSet(Id, Reply.Status, Reply.Set))
    return;
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  Open.Quorum.onReply(Address, Reply);
  bool HasChain = Reply.Chain.Found || !Reply.Chain.Missing.empty();
  if (HasChain)
    onChainReply(Id, Address, Open.Call.Previous, Reply);
  else
    decideOpen(Id);
}

void client::impl::onChainReply(operation_id Id, const std::string &Address,
                                const std::string &Asked,
                                const open_reply &Reply) {
  if (adoptNewerSet(Id, Reply.Status, Reply.Set))
    return;
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  bool Readable =
      Reply.Status != static_cast<std::uint8_t>(reply_status::Failed);
  if (Readable)
    Open.Chain.onReply(Address, Asked, Reply.CaughtUp, Reply.Chain,
                       Reply.MayLackTurns);
  if (!Open.Chain.isComplete() && !Open.Chain.isAbsent(Row.Set))
    requestChain(Id);
  decideOpen(Id);
}

void client::impl::startSecondRound(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  if (Open.SecondRoundStarted)
    return;
  Open.SecondRoundStarted = true;
  ++Counters.SecondRounds;
  lookup_request Request{Row.Set, Open.Call.Program, Open.Call.Attempt, {}};
  for (const disk_host &Host : Row.Set.allMembers())
    send<open_reply>(Id, Host, SpentPath, pack(Request), &impl::onSpentReply);
}

void client::impl::onSpentReply(operation_id Id, const std::string &Address,
                                const open_reply &Reply) {
  if (adoptNewerSet(Id, Reply.Status, Reply.Set))
    return;
  std::get<open_operation>(Operations.find(Id)->Kind)
      .Quorum.onSecondReply(Address, Reply);
  decideOpen(Id);
}

void client::impl::decideOpen(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Open = std::get<open_operation>(Row.Kind);
  if (Open.Chain.isAbsent(Row.Set)) {
    finishOpen(Id, open_outcome::NoSuchTurn, "no majority member has it");
    return;
  }
  if (Open.Chain.isBroken(Row.Set)) {
    finishOpen(Id, open_outcome::Unknown,
               "turn " + Open.Chain.wanted() + " of its chain is missing");
    return;
  }
  if (Open.Chain.mayBeLost(Row.Set)) {
    finishOpen(Id, open_outcome::Unknown,
               "no disk host has turn " + Open.Chain.wanted() +
                   ", and disk hosts have lost records");
    return;
  }
  using decision = reservation_quorum::decision;
  decision Decision = decision::Granted;
  if (Open.Call.Budget > 0)
    Decision = Open.Quorum.decide(Open.StragglersTimedOut);
  switch (Decision) {
  case decision::Pending:
    return;
  case decision::AwaitStragglers:
    setDeadline(Id, Settings.StragglerTimeout, deadline_kind::Stragglers);
    return;
  case decision::SecondRound:
    startSecondRound(Id);
    return;
  case decision::DisksFull:
    finishOpen(Id, open_outcome::Unknown, "the disk hosts are full");
    return;
  case decision::OverBudget:
    finishOpen(Id, open_outcome::OverBudget, "the budget is spent");
    return;
  case decision::Granted:
    break;
  }
  if (!Open.Chain.isComplete())
    return;
  repairSpending(Row);
  finishOpen(Id, open_outcome::Granted, {});
}

// A host that has missed earlier attempts of the program gets them now: another
// host that has them may miss this attempt, and let them expire.
void client::impl::repairSpending(const operation_row &Row) {
  const auto &Open = std::get<open_operation>(Row.Kind);
  close_request Request;
  Request.Set = Row.Set;
  for (auto &Unknown : Open.Quorum.unknownAttempts(reservationOf(Open.Call))) {
    ++Counters.RepairedAttempts;
    // Settled or not: a settlement that arrives later replaces this record.
    Request.Spend = std::move(Unknown.Record);
    transmit(Unknown.Address, {std::string(ClosePath), {}, pack(Request)},
             [](std::string_view) {});
  }
}

void client::impl::finishOpen(operation_id Id, open_outcome Outcome,
                              std::string Reason) {
  auto &Open = std::get<open_operation>(Operations.find(Id)->Kind);
  if (Outcome == open_outcome::Unknown)
    ++Counters.Unknown;
  open_result Result{Outcome,
                     Open.Chain.takeBytes(),
                     Open.Chain.upstream(),
                     Open.Quorum.spent(),
                     Open.Quorum.otherAttempts(),
                     std::move(Reason)};
  auto Done = std::move(Open.Done);
  Operations.erase(Id);
  Done(Result);
}

} // namespace turmerichead::turns
