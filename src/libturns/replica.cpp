#include "replica_pvt.h"

#include "turmerichead/log.h"
#include "turmerichead/turns_links.h"

#include <nlohmann/json.hpp>
#include <random>

namespace turmerichead::turns {

namespace {

constexpr milliseconds CompactionInterval{1000};
constexpr milliseconds TickInterval{250};

std::uint64_t newLogId() {
  std::random_device Device;
  return std::uniform_int_distribution<std::uint64_t>(1)(Device);
}

} // namespace

// -- Serving requests ---------------------------------------------------------

void replica::impl::handleSetChange() {
  const disk_set &Set = Core->set();
  if (Set.Epoch == LoggedEpoch)
    return;
  LoggedEpoch = Set.Epoch;
  log::info("disk set adopted", {{"epoch", Set.Epoch},
                                 {"joint", Set.isJoint()},
                                 {"member", Core->isMember()},
                                 {"caught_up", Core->caughtUp()}});
  // Requests with older sets have to be refused after a restart too.
  scheduleSync();
}

void replica::impl::sendReply(peer_reply_id Reply, std::string_view Bytes) {
  Server->write(Reply, Bytes);
  Server->end(Reply, {});
}

template <typename Reply>
void replica::impl::sendReply(peer_reply_id Id,
                              const core_reply<Reply> &Value) {
  if (Value.Value.Status == static_cast<std::uint8_t>(reply_status::OldSet))
    ++Counters.RefusedOldSet;
  if (Value.Value.Status == static_cast<std::uint8_t>(reply_status::Failed))
    log::error("failed to read or write records",
               {{"reason", lastError().Text}});
  if (!Value.NeedsSync) {
    sendReply(Id, pack(Value.Value));
    return;
  }
  Reply Failed;
  Failed.Status = static_cast<std::uint8_t>(reply_status::Failed);
  Pending.push_back({Id, pack(Value.Value), pack(Failed)});
  scheduleSync();
}

void replica::impl::closeNow(peer_reply_id Reply,
                             const close_request &Request) {
  sendReply(Reply, Core->close(Request, steadyNow()));
}

void replica::impl::scheduleSync() {
  if (ScheduledSync)
    return;
  ScheduledSync = loop_source::soon([this] {
    syncNow();
    return false;
  });
}

bool replica::impl::syncNow() {
  ScheduledSync.reset();
  ++Counters.Syncs;
  time_point Started = steadyNow();
  bool Synced = Core->sync();
  Counters.SyncTime += steadyNow() - Started;
  if (!Synced) {
    ++Counters.SyncFailures;
    log::error("failed to sync log", {{"reason", lastError().Text}});
  }
  for (const pending_reply &Row : std::exchange(Pending, {}))
    sendReply(Row.Reply, Synced ? Row.Bytes : Row.FailureBytes);
  return Synced;
}

// A host that asks for confirmation may be confirmed or refused at any ping.
void replica::impl::handleFirstStart() {
  if (!std::exchange(AwaitsFirstStart, Core->isFirstStart()) ||
      AwaitsFirstStart)
    return;
  log::info("first start decided", {{"confirmed", Core->caughtUp()}});
  scheduleSync();
  // A member that starts last at the first start copies from the others, which
  // have nothing yet; it must not lag behind until the next tick.
  if (Core->needsCopy())
    requestCopies(true);
}

void replica::impl::compact() {
  if (syncNow() && !Core->compact(steadyNow()))
    log::error("failed to compact log", {{"reason", lastError().Text}});
  logIfFull();
}

void replica::impl::logIfFull() {
  if (Core->isFull() == LoggedFull)
    return;
  LoggedFull = Core->isFull();
  log::warn(LoggedFull ? "log is full" : "log has room again",
            {{"bytes", Core->logBytes()}, {"max_bytes", Core->maxLogBytes()}});
}

template <typename Message, typename Handler>
void replica::impl::serve(const peer_request_view &Request, Handler Handle) {
  auto Value = unpack<Message>(Request.Body);
  if (!Value) {
    log::warn("failed to decode request",
              {{"host", Request.Host}, {"reason", lastError().Text}});
    Server->end(Request.Reply, {error_code::Corrupt, lastError().Text});
    return;
  }
  Handle(*Value);
  handleSetChange();
}

void replica::impl::onRequest(const peer_request_view &Request) {
  time_point Now = steadyNow();
  peer_reply_id Id = Request.Reply;
  if (Request.Path == OpenPath) {
    ++Counters.Opens;
    serve<open_request>(Request, [&](const open_request &Value) {
      sendReply(Id, Core->open(Value, Now));
    });
  } else if (Request.Path == ClosePath) {
    ++Counters.Closes;
    serve<close_request>(Request,
                         [&](const close_request &Value) { close(Id, Value); });
  } else if (Request.Path == ChainPath) {
    serve<lookup_request>(Request, [&](const lookup_request &Value) {
      sendReply(Id, core_reply<open_reply>{Core->chain(Value)});
    });
  } else if (Request.Path == SpentPath) {
    serve<lookup_request>(Request, [&](const lookup_request &Value) {
      sendReply(Id, core_reply<open_reply>{Core->spent(Value)});
    });
  } else if (Request.Path == CopyPath) {
    serve<copy_request>(Request, [&](const copy_request &Value) {
      if (auto Reply = Core->copy(Value))
        sendReply(Id, *Reply);
      else
        Server->end(Id, {error_code::Corrupt, lastError().Text});
      logSentRecords();
    });
  } else if (Request.Path == PingPath) {
    serve<ping_request>(Request, [&](const ping_request &Value) {
      sendReply(Id, pack(Core->ping(Request.Host, Value)));
      handleFirstStart();
    });
  } else if (Events.OnUnhandledRequest) {
    Events.OnUnhandledRequest(Request);
  } else {
    Server->end(Id, {error_code::NotFound, "no such path"});
  }
}

// -- The replica --------------------------------------------------------------

std::optional<replica> replica::create(replica_settings Settings,
                                       replica_events Events) {
  auto Impl = std::make_unique<impl>();
  impl *Raw = Impl.get();
  Raw->Settings = std::move(Settings);
  Raw->Events = std::move(Events);
  Raw->Monitor = host_monitor(Raw->Settings.UnresponsiveAfter);
  Raw->Restore = set_restore(Raw->Settings.RestoreDelay);
  Raw->Repairs = chain_repair(Raw->Settings.Self.Address);
  // The port comes first: a process that still holds it may write to the log.
  peer_settings Peer = linkSettings(Raw->Settings.Self.Address);
  Raw->Links = peer_links::create(Peer, Raw->Settings.SharedKey);
  Raw->Server = peer_server::create(
      Raw->Settings.Self.Address, Peer, Raw->Settings.SharedKey,
      {[Raw](const peer_request_view &Request) { Raw->onRequest(Request); },
       [](peer_reply_id) {}});
  if (!Raw->Links || !Raw->Server)
    return std::nullopt;
  Raw->Settings.Store.ConfirmFirstStart = true;
  log_recovery Recovery;
  auto Store = record_store::open(Raw->Settings.Store, steadyNow(), Recovery);
  if (!Store)
    return std::nullopt;
  Raw->Core.emplace(Raw->Settings.Self, std::move(*Store), newLogId());
  log::info("log opened", {{"records", Recovery.Records},
                           {"segments", Recovery.Segments},
                           {"torn_bytes", Recovery.TornBytes},
                           {"damaged", Recovery.Damaged},
                           {"damage", Recovery.DamageText},
                           {"bytes", Raw->Core->logBytes()},
                           {"max_bytes", Raw->Core->maxLogBytes()},
                           {"full", Raw->Core->isFull()},
                           {"epoch", Raw->Core->set().Epoch},
                           {"caught_up", Raw->Core->caughtUp()},
                           {"first_start", Raw->Core->isFirstStart()}});
  Raw->AwaitsFirstStart = Raw->Core->isFirstStart();
  Raw->TickTimer = loop_source::every(TickInterval, [Raw] {
    Raw->onTick();
    return true;
  });
  Raw->CompactionTimer = loop_source::every(CompactionInterval, [Raw] {
    Raw->compact();
    return true;
  });
  return replica(std::move(Impl));
}

void replica::updateSet(const disk_set &Set) {
  Impl->Core->adoptSet(Set);
  Impl->handleSetChange();
  Impl->handleFirstStart();
  if (Impl->AwaitsFirstStart)
    Impl->pingForFirstStart();
}

void replica::setHosts(std::vector<disk_host> Registered,
                       std::vector<std::string> Retiring) {
  if (Impl->Registered != Registered)
    Impl->RegisteredAt = steadyNow();
  Impl->Registered = std::move(Registered);
  Impl->Retiring = std::move(Retiring);
  if (Impl->AwaitsFirstStart)
    Impl->pingForFirstStart();
}

void replica::setPlatformSet(const std::optional<platform_set> &Stored) {
  Impl->PlatformSet = Stored;
}

const disk_set &replica::set() const { return Impl->Core->set(); }
bool replica::caughtUp() const { return Impl->Core->caughtUp(); }
replica_counters replica::counters() const {
  replica_counters Counters = Impl->Counters;
  Counters.CopiedRecords = Impl->Core->copiedRecords();
  Counters.MissingTurns = Impl->Core->index().missingCount();
  Counters.LogBytes = Impl->Core->logBytes();
  Counters.MaxLogBytes = Impl->Core->maxLogBytes();
  Counters.IsLogFull = Impl->Core->isFull();
  return Counters;
}
const turn_index &replica::index() const { return Impl->Core->index(); }
peer_server &replica::server() { return *Impl->Server; }

replica::replica(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
replica::replica(replica &&Other) noexcept = default;
replica &replica::operator=(replica &&Other) noexcept = default;
replica::~replica() = default;

} // namespace turmerichead::turns
