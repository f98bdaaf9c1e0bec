// Closes a turn: settles its budget and stores the turn on a quorum.

#include "client_pvt.h"

namespace turmerichead::turns {

void client::impl::startClose(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  Row.Set = Set;
  auto &Close = std::get<close_operation>(Row.Kind);
  close_request Request;
  Request.Set = Row.Set;
  auto RetentionMs = static_cast<std::uint64_t>(Close.Call.Retention.count());
  if (Close.Call.HasBudget)
    Request.Spend = {Close.Call.Program, Close.Call.Attempt, Close.Call.Tokens,
                     true, RetentionMs};
  std::size_t Copies = 0;
  bool IncludeTurnForAll = Close.ToAllMembers || Row.Set.isJoint();
  for (const disk_host &Host : membersByPreference(Row)) {
    if (Close.AckedAt.contains(Host.Address))
      continue;
    Request.HasTurn =
        Close.Call.Turn && (IncludeTurnForAll || Copies < Row.Set.QuorumSize);
    Request.Turn = Request.HasTurn ? *Close.Call.Turn : turn_record();
    if (!Request.HasTurn && !Close.Call.HasBudget)
      continue;
    ++Copies;
    bool Counts = Request.HasTurn || !Close.Call.Turn;
    if (Counts)
      send<close_reply>(Id, Host, ClosePath, pack(Request),
                        &impl::onCloseReply);
    else
      transmit(Host.Address, {std::string(ClosePath), {}, pack(Request)},
               [](std::string_view) {});
  }
  setDeadline(Id, Settings.ReplyTimeout, deadline_kind::Reply);
  setDeadline(Id, Settings.ResendAfter, deadline_kind::Resend);
}

void client::impl::onCloseReply(operation_id Id, const std::string &Address,
                                const close_reply &Reply) {
  if (adoptNewerSet(Id, Reply.Status, Reply.Set))
    return;
  if (Reply.Status != static_cast<std::uint8_t>(reply_status::Ok))
    return;
  std::get<close_operation>(Operations.find(Id)->Kind).AckedAt[Address] =
      bootNow();
  decideClose(Id);
}

void client::impl::decideClose(operation_id Id) {
  operation_row &Row = *Operations.find(Id);
  auto &Close = std::get<close_operation>(Row.Kind);
  time_point Now = bootNow();
  std::erase_if(Close.AckedAt, [&](const auto &Entry) {
    return Now - Entry.second > Settings.AckWindow;
  });
  bool Kept = isWriteQuorum(Row.Set, [&](std::string_view Address) {
    return Close.AckedAt.contains(Address);
  });
  if (Kept)
    finishClose(Id, true);
}

void client::impl::finishClose(operation_id Id, bool Kept) {
  auto &Close = std::get<close_operation>(Operations.find(Id)->Kind);
  if (!Kept)
    ++Counters.NotKept;
  auto Done = std::move(Close.Done);
  Operations.erase(Id);
  Done(Kept);
}

} // namespace turmerichead::turns
