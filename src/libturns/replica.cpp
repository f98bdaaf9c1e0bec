#include "replica_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::turns {

namespace {

constexpr milliseconds CleanInterval{1000};
constexpr milliseconds TickInterval{250};
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

} // namespace

// -- Answering ---------------------------------------------------------------

bool replica::impl::accepts(const disk_set &Set) {
  std::uint64_t Known = Shelf->state().Set.Epoch;
  if (Set.Epoch == 0 || Set.Epoch < Known ||
      (Known == 0 && !Shelf->state().CaughtUp)) {
    ++Counters.RefusedOldSet;
    return false;
  }
  if (Set.Epoch > Known)
    adopt(Set);
  return true;
}

void replica::impl::adopt(const disk_set &Set) {
  state_record State = Shelf->state();
  State.Set = Set;
  // A host that is not a full member may have missed what the others keep.
  if (!hasAddress(Set.Members, Settings.Self.Address))
    State.CaughtUp = false;
  if (!Shelf->setState(State))
    log::error("disk set not kept", {{"reason", lastError().Text}});
  log::info("disk set in force", {{"epoch", Set.Epoch},
                                  {"joint", Set.isJoint()},
                                  {"member", isMember()},
                                  {"caught_up", State.CaughtUp}});
  // The refusal of older sets must outlast a restart.
  syncLater();
}

void replica::impl::answer(peer_reply_id Reply, std::string_view Bytes) {
  Server->write(Reply, Bytes);
  Server->end(Reply, {});
}

void replica::impl::answerAfterSync(peer_reply_id Reply, std::string Bytes,
                                    std::string Failed) {
  Pending.push_back({Reply, std::move(Bytes), std::move(Failed)});
  syncLater();
}

void replica::impl::syncLater() {
  if (SyncSoon)
    return;
  SyncSoon = loop_source::soon([this] {
    syncNow();
    return false;
  });
}

bool replica::impl::syncNow() {
  SyncSoon.reset();
  ++Counters.Syncs;
  bool Synced = Shelf->sync();
  if (!Synced) {
    ++Counters.SyncFailures;
    log::error("disk does not take records", {{"reason", lastError().Text}});
  }
  for (const pending_reply &Row : std::exchange(Pending, {}))
    answer(Row.Reply, Synced ? Row.Bytes : Row.Failed);
  return Synced;
}

void replica::impl::onRequest(const peer_request_view &Request) {
  if (Request.Path == OpenPath)
    return onOpen(Request);
  if (Request.Path == ClosePath)
    return onClose(Request);
  if (Request.Path == ChainPath)
    return onLookup(Request, true);
  if (Request.Path == SpentPath)
    return onLookup(Request, false);
  if (Request.Path == CopyPath)
    return onCopy(Request);
  if (Request.Path == PingPath)
    return onPing(Request);
  if (Events.OnOther)
    return Events.OnOther(Request);
  Server->end(Request.Reply, {error_code::NotFound, "no such path"});
}

void replica::impl::onOpen(const peer_request_view &Request) {
  ++Counters.Opens;
  auto Open = unpack<open_request>(Request.Body);
  if (!Open) {
    Server->end(Request.Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  open_reply Reply;
  if (!accepts(Open->Set)) {
    Reply.Status = codeOf(reply_status::OldSet);
    Reply.Set = Shelf->state().Set;
    answer(Request.Reply, pack(Reply));
    return;
  }
  Reply.CaughtUp = Shelf->state().CaughtUp;
  if (!Open->Previous.empty()) {
    if (auto Chain = Shelf->chain(Open->Previous))
      Reply.Chain = std::move(*Chain);
    else
      Reply.Chain.Missing = Open->Previous;
  }
  open_reply Failed = Reply;
  Failed.Status = codeOf(reply_status::Failed);
  if (Open->Budget == 0) {
    answer(Request.Reply, pack(Reply));
    return;
  }
  Reply.Before =
      Shelf->book().spentBefore(Open->Spend.Program, Open->Spend.Attempt);
  bool Over = sumOf(Reply.Before) + Open->Spend.Tokens > Open->Budget;
  if (Over && Reply.CaughtUp) {
    Reply.Status = codeOf(reply_status::OverBudget);
    answer(Request.Reply, pack(Reply));
    return;
  }
  if (!Shelf->add(Open->Spend, steadyNow())) {
    log::error("reservation not kept",
               {{"id", Open->Spend.Attempt}, {"reason", lastError().Text}});
    answer(Request.Reply, pack(Failed));
    return;
  }
  answerAfterSync(Request.Reply, pack(Reply), pack(Failed));
}

void replica::impl::onClose(const peer_request_view &Request) {
  ++Counters.Closes;
  auto Close = unpack<close_request>(Request.Body);
  if (!Close) {
    Server->end(Request.Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  close_reply Reply;
  if (!accepts(Close->Set)) {
    Reply.Status = codeOf(reply_status::OldSet);
    Reply.Set = Shelf->state().Set;
    answer(Request.Reply, pack(Reply));
    return;
  }
  close_reply Failed;
  Failed.Status = codeOf(reply_status::Failed);
  time_point Now = steadyNow();
  bool Kept = (Close->Spend.Program.empty() || Shelf->add(Close->Spend, Now)) &&
              (!Close->HasTurn || Shelf->add(Close->Turn, Now));
  if (!Kept) {
    log::error("turn not kept",
               {{"id", Close->Spend.Attempt}, {"reason", lastError().Text}});
    answer(Request.Reply, pack(Failed));
    return;
  }
  answerAfterSync(Request.Reply, pack(Reply), pack(Failed));
}

void replica::impl::onLookup(const peer_request_view &Request, bool Chain) {
  auto Lookup = unpack<lookup_request>(Request.Body);
  if (!Lookup) {
    Server->end(Request.Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  open_reply Reply;
  if (!accepts(Lookup->Set)) {
    Reply.Status = codeOf(reply_status::OldSet);
    Reply.Set = Shelf->state().Set;
    answer(Request.Reply, pack(Reply));
    return;
  }
  Reply.CaughtUp = Shelf->state().CaughtUp;
  if (!Chain) {
    Reply.Before = Shelf->book().spentBefore(Lookup->Program, Lookup->Attempt);
  } else if (auto Part = Shelf->chain(Lookup->Previous)) {
    Reply.Chain = std::move(*Part);
  } else {
    log::error("chain cannot be read",
               {{"id", Lookup->Previous}, {"reason", lastError().Text}});
    Reply.Status = codeOf(reply_status::Failed);
  }
  answer(Request.Reply, pack(Reply));
}

void replica::impl::onCopy(const peer_request_view &Request) {
  auto Copy = unpack<copy_request>(Request.Body);
  if (!Copy) {
    Server->end(Request.Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  copy_reply Reply;
  if (!accepts(Copy->Set)) {
    Reply.Status = codeOf(reply_status::OldSet);
    Reply.Set = Shelf->state().Set;
    answer(Request.Reply, pack(Reply));
    return;
  }
  auto Batch =
      Shelf->copyFrom({Copy->Segment, Copy->Offset, 0}, CopyBatchBytes);
  if (!Batch) {
    log::error("log cannot be copied", {{"reason", lastError().Text}});
    Server->end(Request.Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  Batch->CaughtUp = Shelf->state().CaughtUp;
  copy_reply Failed;
  Failed.Status = codeOf(reply_status::Failed);
  // The set that was adopted must be on disk before the copy counts.
  answerAfterSync(Request.Reply, pack(*Batch), pack(Failed));
}

void replica::impl::onPing(const peer_request_view &Request) {
  auto Ping = unpack<ping_request>(Request.Body);
  if (Ping && Ping->Set.Epoch > Shelf->state().Set.Epoch)
    adopt(Ping->Set);
  answer(Request.Reply,
         pack(ping_reply{Shelf->state().Set, Shelf->state().CaughtUp}));
}

// -- The replica -------------------------------------------------------------

std::optional<replica> replica::create(replica_settings Settings,
                                       replica_events Events) {
  auto Impl = std::make_unique<impl>();
  impl *Raw = Impl.get();
  Raw->Settings = std::move(Settings);
  Raw->Events = std::move(Events);
  log_findings Findings;
  Raw->Shelf = shelf::open(Raw->Settings.Shelf, steadyNow(), Findings);
  if (!Raw->Shelf)
    return std::nullopt;
  log::info("disk read", {{"records", Findings.Records},
                          {"torn_bytes", Findings.TornBytes},
                          {"damaged", Findings.Damaged},
                          {"damage", Findings.Text},
                          {"epoch", Raw->Shelf->state().Set.Epoch},
                          {"caught_up", Raw->Shelf->state().CaughtUp}});
  peer_settings Peer;
  Peer.Host = Raw->Settings.Self.Address;
  Raw->Links = peer_links::create(Peer, Raw->Settings.SharedKey);
  Raw->Server = peer_server::create(
      Raw->Settings.Self.Address, Peer, Raw->Settings.SharedKey,
      {[Raw](const peer_request_view &Request) { Raw->onRequest(Request); },
       [](peer_reply_id) {}});
  if (!Raw->Links || !Raw->Server)
    return std::nullopt;
  Raw->WatchingSince = steadyNow();
  Raw->Tick = loop_source::every(TickInterval, [Raw] {
    Raw->onTick();
    return true;
  });
  Raw->Cleaning = loop_source::every(CleanInterval, [Raw] {
    if (Raw->syncNow() && !Raw->Shelf->clean(steadyNow()))
      log::error("log cannot be cleaned", {{"reason", lastError().Text}});
    return true;
  });
  return replica(std::move(Impl));
}

void replica::setKnown(const disk_set &Set) {
  if (Set.Epoch > Impl->Shelf->state().Set.Epoch)
    Impl->adopt(Set);
}

void replica::setHosts(std::vector<disk_host> Registered,
                       std::vector<std::string> Retiring) {
  Impl->Registered = std::move(Registered);
  Impl->Retiring = std::move(Retiring);
}

const disk_set &replica::known() const { return Impl->Shelf->state().Set; }
bool replica::caughtUp() const { return Impl->Shelf->state().CaughtUp; }
replica_counters replica::counters() const { return Impl->Counters; }
const turn_book &replica::book() const { return Impl->Shelf->book(); }
peer_server &replica::server() { return *Impl->Server; }

replica::replica(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
replica::replica(replica &&Other) noexcept = default;
replica &replica::operator=(replica &&Other) noexcept = default;
replica::~replica() = default;

} // namespace turmerichead::turns
