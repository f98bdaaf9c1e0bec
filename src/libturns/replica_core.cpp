#include "turmerichead/turns_replica_core.h"

#include "turmerichead/error.h"

namespace turmerichead::turns {

namespace {

constexpr std::size_t CopyBatchBytes = 512U << 10U;

std::uint8_t codeOf(reply_status Status) {
  return static_cast<std::uint8_t>(Status);
}

std::uint64_t sumOf(std::span<const spend_row> Rows) {
  std::uint64_t Sum = 0;
  for (const spend_row &Row : Rows)
    Sum += Row.Tokens;
  return Sum;
}

template <typename Reply> Reply oldSetReply(const disk_set &Newer) {
  Reply Value;
  Value.Status = codeOf(reply_status::OldSet);
  Value.Set = Newer;
  return Value;
}

} // namespace

bool replica_core::isMember() const {
  return hasAddress(set().Members, Self.Address) ||
         hasAddress(set().Next, Self.Address);
}

// A host that has lost its disk no longer knows which sets it refused. It
// refuses every request until it has received the current set.
bool replica_core::acceptSet(const disk_set &Set) {
  if (Set.Epoch == 0 || Set.Epoch < set().Epoch ||
      (set().Epoch == 0 && !caughtUp()))
    return false;
  adoptSet(Set);
  return true;
}

bool replica_core::adoptSet(const disk_set &Set) {
  if (Set.Epoch <= set().Epoch)
    return false;
  state_record State = Store.state();
  State.Set = Set;
  // A host that is not an old member may have missed writes of the others.
  if (!hasAddress(Set.Members, Self.Address))
    State.CaughtUp = false;
  return Store.setState(State);
}

core_reply<open_reply> replica_core::open(const open_request &Request,
                                          time_point Now) {
  if (!acceptSet(Request.Set))
    return {oldSetReply<open_reply>(set())};
  open_reply Reply;
  Reply.CaughtUp = caughtUp();
  if (!Request.Previous.empty()) {
    // If the chain can't be read here, the client requests it from another
    // host.
    if (auto Chain = Store.chain(Request.Previous))
      Reply.Chain = std::move(*Chain);
  }
  if (Request.Budget == 0)
    return {std::move(Reply)};
  Reply.OtherAttempts = Store.index().listOtherAttempts(Request.Spend.Program,
                                                        Request.Spend.Attempt);
  bool IsOverBudget =
      sumOf(Reply.OtherAttempts) + Request.Spend.Tokens > Request.Budget;
  if (IsOverBudget && Reply.CaughtUp) {
    Reply.Status = codeOf(reply_status::OverBudget);
    return {std::move(Reply)};
  }
  if (!Store.add(Request.Spend, Now)) {
    Reply.Status = codeOf(reply_status::Failed);
    return {std::move(Reply)};
  }
  return {std::move(Reply), true};
}

core_reply<close_reply> replica_core::close(const close_request &Request,
                                            time_point Now) {
  if (!acceptSet(Request.Set))
    return {oldSetReply<close_reply>(set())};
  close_reply Reply;
  bool HasBudget = !Request.Spend.Program.empty();
  bool Kept = (!HasBudget || Store.add(Request.Spend, Now)) &&
              (!Request.HasTurn || Store.add(Request.Turn, Now));
  if (!Kept) {
    Reply.Status = codeOf(reply_status::Failed);
    return {Reply};
  }
  return {Reply, true};
}

open_reply replica_core::chain(const lookup_request &Request) {
  if (!acceptSet(Request.Set))
    return oldSetReply<open_reply>(set());
  open_reply Reply;
  Reply.CaughtUp = caughtUp();
  if (auto Part = Store.chain(Request.Previous))
    Reply.Chain = std::move(*Part);
  else
    Reply.Status = codeOf(reply_status::Failed);
  return Reply;
}

open_reply replica_core::spent(const lookup_request &Request) {
  if (!acceptSet(Request.Set))
    return oldSetReply<open_reply>(set());
  open_reply Reply;
  Reply.CaughtUp = caughtUp();
  Reply.OtherAttempts =
      Store.index().listOtherAttempts(Request.Program, Request.Attempt);
  return Reply;
}

std::optional<core_reply<copy_reply>>
replica_core::copy(const copy_request &Request) {
  if (!acceptSet(Request.Set))
    return core_reply<copy_reply>{oldSetReply<copy_reply>(set())};
  auto Batch =
      Store.copyFrom({Request.Segment, Request.Offset, 0}, CopyBatchBytes);
  if (!Batch)
    return std::nullopt;
  Batch->CaughtUp = caughtUp();
  // The adopted set has to be on disk before the copy counts.
  return core_reply<copy_reply>{std::move(*Batch), true};
}

// -- Catching up with the other members ---------------------------------------

std::vector<std::pair<std::string, copy_request>> replica_core::copyRequests() {
  std::vector<std::pair<std::string, copy_request>> Requests;
  if (CopyEpoch != set().Epoch) {
    CopyEpoch = set().Epoch;
    Copies.clear();
  }
  for (const disk_host &Host : set().Members) {
    copy_progress &Progress = Copies[Host.Address];
    if (Host.Address == Self.Address || Progress.RequestPending ||
        Progress.Done)
      continue;
    Progress.RequestPending = true;
    Requests.push_back(
        {Host.Address, {set(), Progress.Next.Segment, Progress.Next.Offset}});
  }
  return Requests;
}

bool replica_core::onCopyReply(std::string_view Address, std::uint64_t Epoch,
                               const copy_reply &Reply, time_point Now) {
  if (Reply.Status == codeOf(reply_status::OldSet)) {
    adoptSet(Reply.Set);
    return true;
  }
  // A host that is still catching up may lack writes that it acknowledged.
  auto Progress = Copies.find(Address);
  if (Epoch != CopyEpoch || Progress == Copies.end() || Reply.Status != 0 ||
      !Reply.CaughtUp)
    return true;
  for (const std::string &Record : Reply.Records) {
    if (!Store.addEncoded(Record, Now))
      return false;
    ++Copied;
  }
  Progress->second.Next = {Reply.Segment, Reply.Offset, 0};
  Progress->second.Done = Reply.AtEnd;
  return true;
}

void replica_core::onCopyEnded(std::string_view Address, std::uint64_t Epoch) {
  auto Progress = Copies.find(Address);
  if (Epoch == CopyEpoch && Progress != Copies.end())
    Progress->second.RequestPending = false;
}

bool replica_core::finishCopy() {
  auto IsDone = [&](std::string_view Address) {
    auto Row = Copies.find(Address);
    return Row != Copies.end() && Row->second.Done;
  };
  if (!needsCopy() || CopyEpoch != set().Epoch || !isReadQuorum(set(), IsDone))
    return false;
  state_record State = Store.state();
  State.CaughtUp = true;
  return Store.setState(State);
}

} // namespace turmerichead::turns
