// The membership of the replica in the disk set: detects unresponsive hosts,
// proposes changes of the set and copies records from other members.

#include "replica_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::turns {

namespace {

// Copied records are not acknowledged to anyone, so they are synced in large
// groups: with a sync for each reply, the time to catch up was mostly spent
// waiting for the disk. The limit bounds the memory of the log's buffer.
constexpr std::uint64_t MaxUnsyncedCopyBytes = 4U << 20U;

// Whether the progress that was last logged at LoggedAt is to be logged again.
bool isDue(time_point &LoggedAt) {
  constexpr milliseconds ProgressInterval{1000};
  time_point Now = steadyNow();
  if (Now - LoggedAt < ProgressInterval)
    return false;
  LoggedAt = Now;
  return true;
}

} // namespace

void replica::impl::onTick() {
  const disk_set &Set = Core->set();
  // The members of a set that is not joint never propose a change, so they need
  // not monitor other hosts.
  bool IsMonitoring = Set.Epoch > 0 && (Set.isJoint() || !Core->isMember());
  Monitor.watch(IsMonitoring ? Set.allMembers() : std::vector<disk_host>(),
                steadyNow());
  if (IsMonitoring)
    pingMembers();
  if (AwaitsFirstStart)
    pingForFirstStart();
  propose();
  if (Core->needsCopy()) {
    requestCopies(true);
    logCopyProgress();
  }
}

// -- Monitoring and proposals -------------------------------------------------

void replica::impl::pingMembers() {
  for (const disk_host &Host : Core->set().allMembers())
    if (Host.Address != Settings.Self.Address)
      ping(Host.Address);
}

void replica::impl::pingForFirstStart() {
  std::vector<disk_host> Hosts = Core->set().allMembers();
  for (const disk_host &Host : Registered)
    if (!hasAddress(Hosts, Host.Address))
      Hosts.push_back(Host);
  for (const disk_host &Host : Hosts)
    if (Host.Address != Settings.Self.Address)
      ping(Host.Address);
}

void replica::impl::ping(const std::string &Address) {
  Links->setAddress(Address, Address);
  Links->send(Address, {std::string(PingPath), {}, pack(Core->pingRequest())},
              {[this, Address](std::string_view Bytes) {
                 Monitor.recordReply(Address, steadyNow());
                 if (auto Reply = unpack<ping_reply>(Bytes))
                   Core->onPingReply(Address, *Reply);
                 handleFirstStart();
               },
               [](const peer_result &) {}});
}

std::vector<std::string> replica::impl::findUnresponsiveHosts() const {
  const disk_set &Set = Core->set();
  time_point Now = steadyNow();
  std::vector<std::string> Unresponsive;
  auto Responds = [&](std::string_view Address) {
    return Monitor.responds(Address, Now);
  };
  // A host that receives replies from fewer members than a read quorum is
  // itself partitioned, so it reports no other host as unresponsive.
  if (!isReadQuorum(Set, Responds))
    return Unresponsive;
  for (const disk_host &Host : Set.allMembers())
    if (Host.Address != Settings.Self.Address && !Responds(Host.Address))
      Unresponsive.push_back(Host.Address);
  return Unresponsive;
}

void replica::impl::propose() {
  set_view View;
  View.Set = Core->set();
  View.Faults = Settings.Faults;
  View.Self = Settings.Self;
  View.SelfCaughtUp = Core->caughtUp();
  View.Registered = Registered;
  View.IsRegisteredSettled =
      steadyNow() - RegisteredAt >= Settings.RegisterTime;
  View.Retiring = Retiring;
  if (View.Set.Epoch > 0)
    View.Unresponsive = findUnresponsiveHosts();
  auto Proposal = proposeSet(View);
  if (Proposal)
    Events.OnPropose(*Proposal);
}

// -- Copying records ----------------------------------------------------------

void replica::impl::logCopyProgress() {
  if (!isDue(CopyLoggedAt))
    return;
  log::info("copying records", {{"epoch", Core->set().Epoch},
                                {"records", Core->copiedRecords()},
                                {"bytes", Core->copiedBytes()},
                                {"replies", Core->copyReplies()},
                                {"syncs", Counters.Syncs},
                                {"sync_ms", Counters.SyncTime.count()}});
}

void replica::impl::logSentRecords() {
  if (!isDue(SentLoggedAt))
    return;
  log::info("sending records to a host that copies",
            {{"epoch", Core->set().Epoch},
             {"bytes", Core->sentBytes()},
             {"log_bytes", Core->logBytes()},
             {"opens", Counters.Opens},
             {"closes", Counters.Closes},
             {"syncs", Counters.Syncs},
             {"sync_ms", Counters.SyncTime.count()}});
}

void replica::impl::requestCopies(bool RetriesFailed) {
  for (auto &[Address, Request] : Core->copyRequests(RetriesFailed)) {
    std::uint64_t Epoch = Request.Set.Epoch;
    Links->setAddress(Address, Address);
    Links->send(Address, {std::string(CopyPath), {}, pack(Request)},
                {[this, Address = Address, Epoch](std::string_view Bytes) {
                   auto Reply = unpack<copy_reply>(Bytes);
                   if (!Reply ||
                       !Core->onCopyReply(Address, Epoch, *Reply, steadyNow()))
                     log::error(
                         "failed to store copied records",
                         {{"address", Address}, {"reason", lastError().Text}});
                   handleSetChange();
                 },
                 [this, Address = Address](const peer_result &) {
                   Core->onCopyEnded(Address);
                   // A request that failed is repeated at the next tick: to a
                   // host that is down, requests fail without any delay.
                   if (Core->needsCopy())
                     requestCopies(false);
                 }});
  }
  if (Core->unsyncedBytes() > MaxUnsyncedCopyBytes && !syncNow())
    return;
  if (!Core->isCopyComplete() || !syncNow() || !Core->finishCopy())
    return;
  if (syncNow())
    log::info("replica caught up", {{"epoch", Core->set().Epoch},
                                    {"turns", Core->index().turnCount()},
                                    {"records", Core->copiedRecords()},
                                    {"bytes", Core->copiedBytes()},
                                    {"replies", Core->copyReplies()}});
}

} // namespace turmerichead::turns
