#include "turmerichead/turns_replica_core.h"

#include "turmerichead/error.h"

#include <algorithm>

namespace turmerichead::turns {

namespace {

// Each reply waits for the syncs that both hosts have under way. With 512 KB,
// catching up took a sixth to a half longer at 20 ms a sync, with 2 MB as long.
constexpr std::size_t CopyBatchBytes = 1U << 20U;

// For which lost records count as retained if no record of a deployment is left
// that has a retention time.
constexpr milliseconds UnknownRetention{600'000};

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
  if (!hasAddress(Set.Members, Self.Address)) {
    State.CaughtUp = false;
    State.IsFirstStart = false;
  }
  Store.setState(State);
  confirmFirstStart();
  return true;
}

core_reply<open_reply> replica_core::open(const open_request &Request,
                                          time_point Now) {
  if (!acceptSet(Request.Set))
    return {oldSetReply<open_reply>(set())};
  open_reply Reply;
  Reply.CaughtUp = caughtUp();
  Reply.MayLackTurns = mayLackRecords();
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
  if (!Store.add(Request.Spend, Now, record_purpose::NewWork)) {
    Reply.Status = codeOf(reply_status::Full);
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
    Reply.Status = codeOf(reply_status::Full);
    return {Reply};
  }
  return {Reply, true};
}

std::string replica_core::missingBefore(const close_request &Request) {
  bool StoresTurn = Request.HasTurn && !index().hasTurn(Request.Turn.Id);
  if (!StoresTurn || !acceptSet(Request.Set) || needsCopy())
    return {};
  return std::string(index().firstMissing(Request.Turn.Previous));
}

bool replica_core::addRecords(std::span<const std::string> Records,
                              time_point Now) {
  return std::all_of(
      Records.begin(), Records.end(),
      [&](const std::string &Record) { return Store.addEncoded(Record, Now); });
}

open_reply replica_core::chain(const lookup_request &Request) {
  if (!acceptSet(Request.Set))
    return oldSetReply<open_reply>(set());
  open_reply Reply;
  Reply.CaughtUp = caughtUp();
  Reply.MayLackTurns = mayLackRecords();
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
  // Two hosts that catch up at the same time would send each other all they
  // have in vain if others have more.
  if (!caughtUp() && !Request.FromIncomplete) {
    core_reply<copy_reply> Reply;
    Reply.Value.IsAtFirstStart = isFirstStart();
    return Reply;
  }
  if (!Request.Turns.empty())
    return copyTurns(Request);
  log_position From{Request.Segment, Request.Offset, 0};
  if (Request.Log != 0 && Request.Log != LogId)
    From = {};
  auto Batch = Request.ListsTurns ? Store.listFrom(From, CopyBatchBytes)
                                  : Store.copyFrom(From, CopyBatchBytes);
  if (!Batch)
    return std::nullopt;
  for (const std::string &Record : Batch->Records)
    SentBytes += Record.size();
  describeSelf(*Batch);
  // The adopted set has to be on disk before the copy counts, which it does at
  // the end of the log. Records that are not on disk may still be discarded,
  // and others stored at their positions.
  bool NeedsSync =
      Batch->AtEnd || !Store.isSynced({Batch->Segment, Batch->Offset, 0});
  return core_reply<copy_reply>{std::move(*Batch), NeedsSync};
}

void replica_core::describeSelf(copy_reply &Reply) const {
  Reply.CaughtUp = caughtUp();
  Reply.Log = LogId;
  Reply.IsAtFirstStart = isFirstStart();
  Reply.MayLackRecords = mayLackRecords();
}

// The turns were listed before, so the reply need not wait for a sync.
std::optional<core_reply<copy_reply>>
replica_core::copyTurns(const copy_request &Request) {
  copy_reply Reply;
  describeSelf(Reply);
  if (Request.ListsTurns)
    for (const std::string &Id : index().listChain(Request.Turns.front()))
      Reply.Turns.push_back({Id, index().turnPosition(Id)->Size});
  for (const std::string &Id : Request.Turns) {
    if (!index().hasTurn(Id))
      continue;
    auto Record = Store.turn(Id);
    if (!Record)
      return std::nullopt;
    SentBytes += Record->size();
    Reply.Records.push_back(std::move(*Record));
  }
  return core_reply<copy_reply>{std::move(Reply)};
}

// -- The first start of all ---------------------------------------------------

ping_request replica_core::pingRequest() const {
  return {set(), Store.state().DiskId, isFirstStart()};
}

ping_reply replica_core::ping(std::string_view Address,
                              const ping_request &Request) {
  adoptSet(Request.Set);
  const std::vector<std::uint64_t> &Known = Store.state().FirstDisks;
  bool KnowsDisk =
      std::find(Known.begin(), Known.end(), Request.DiskId) != Known.end();
  bool Confirms = Request.IsFirstStart && Request.DiskId != 0 &&
                  (isFirstStart() || KnowsDisk);
  if (Confirms && isFirstStart())
    addFirstDisk(Address, Request.DiskId);
  return {set(), caughtUp(), Store.state().DiskId, Confirms};
}

void replica_core::onPingReply(std::string_view Address,
                               const ping_reply &Reply) {
  adoptSet(Reply.Set);
  if (!isFirstStart() || Reply.DiskId == 0)
    return;
  if (Reply.IsFirstStart) {
    addFirstDisk(Address, Reply.DiskId);
    return;
  }
  // A host that is copying itself can't tell whether disks were in use.
  if (!Reply.CaughtUp)
    return;
  state_record State = Store.state();
  State.IsFirstStart = false;
  Store.setState(State);
}

// The ids are stored: after a restart this host still has to confirm the first
// start of a host that has counted on it.
void replica_core::addFirstDisk(std::string_view Address,
                                std::uint64_t DiskId) {
  AtFirstStart.emplace(Address);
  state_record State = Store.state();
  std::vector<std::uint64_t> &Known = State.FirstDisks;
  if (std::find(Known.begin(), Known.end(), DiskId) == Known.end()) {
    Known.push_back(DiskId);
    Store.setState(State);
  }
  confirmFirstStart();
}

void replica_core::confirmFirstStart() {
  auto IsAtFirstStart = [&](std::string_view Address) {
    return Address == Self.Address || AtFirstStart.contains(Address);
  };
  if (!isFirstStart() || !isReadQuorum(set(), IsAtFirstStart))
    return;
  state_record State = Store.state();
  State.IsFirstStart = false;
  State.CaughtUp = true;
  Store.setState(State);
}

// -- Catching up with the other members ---------------------------------------

void replica_core::restartCopies() {
  Copies.restart();
  HasExpiredRecords = false;
}

std::vector<std::pair<std::string, copy_request>>
replica_core::copyRequests(bool RetriesFailed) {
  if (Copies.epoch() != set().Epoch && HasExpiredRecords)
    restartCopies();
  Copies.updateSet(set());
  return Copies.requests(Self.Address, RetriesFailed, index());
}

bool replica_core::onCopyReply(std::string_view Address, std::uint64_t Epoch,
                               const copy_reply &Reply, time_point Now) {
  if (Reply.Status == codeOf(reply_status::OldSet)) {
    if (adoptSet(Reply.Set))
      Copies.onNewerSet(Address);
    return true;
  }
  if (Copies.onReply(Address, Epoch, Reply) == copy_step::Ignore)
    return true;
  for (const std::string &Record : Reply.Records) {
    if (!Store.addEncoded(Record, Now)) {
      // The plan counts the records as received.
      restartCopies();
      Copies.onUnusableReply(Address);
      return false;
    }
    ++Copied;
    CopiedBytes += Record.size();
  }
  CopyReplies += Reply.Records.empty() ? 0 : 1;
  return true;
}

void replica_core::onCopyEnded(std::string_view Address) {
  Copies.onEnded(Address);
}

bool replica_core::hasReadQuorum() {
  return isReadQuorum(set(), [&](std::string_view Address) {
    return Copies.isDone(Address, index());
  });
}

bool replica_core::hasReadAllMembers() {
  // Hosts that are at the first start of all may still confirm each other.
  std::uint32_t AtFirstStart =
      Copies.countAtFirstStart() + (isFirstStart() ? 1 : 0);
  if (AtFirstStart >= set().QuorumSize)
    return false;
  const std::vector<disk_host> &Members = set().Members;
  return std::all_of(Members.begin(), Members.end(),
                     [&](const disk_host &Host) {
                       return Host.Address == Self.Address ||
                              Copies.isRead(Host.Address, index());
                     });
}

bool replica_core::isCopyComplete() {
  return needsCopy() && Copies.epoch() == set().Epoch &&
         (hasReadQuorum() || hasReadAllMembers());
}

bool replica_core::finishCopy() {
  if (!isCopyComplete())
    return false;
  bool HasQuorum = isReadQuorum(set(), [&](std::string_view Address) {
    return Copies.isDone(Address, index()) && !Copies.mayLackRecords(Address);
  });
  state_record State = Store.state();
  State.CaughtUp = true;
  State.IsFirstStart = false;
  State.MayLackRecords = !HasQuorum;
  Store.setState(State);
  LostRecordsExpireAt.reset();
  return true;
}

void replica_core::expireLostRecords(time_point Now) {
  if (!mayLackRecords())
    return;
  if (!LostRecordsExpireAt) {
    milliseconds Known = index().longestRetention();
    LostRecordsExpireAt = Now + (Known.count() > 0 ? Known : UnknownRetention);
  }
  if (Now < *LostRecordsExpireAt)
    return;
  state_record State = Store.state();
  State.MayLackRecords = false;
  Store.setState(State);
}

bool replica_core::sync() {
  if (Store.sync())
    return true;
  restartCopies();
  return false;
}

bool replica_core::compact(time_point Now) {
  auto Count = [&] { return index().turnCount() + index().programCount(); };
  std::size_t Before = Count();
  expireLostRecords(Now);
  bool Compacted = Store.compact(Now);
  HasExpiredRecords = HasExpiredRecords || Count() < Before;
  return Compacted;
}

} // namespace turmerichead::turns
