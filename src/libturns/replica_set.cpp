// The membership of the replica in the disk set: detects unresponsive hosts and
// proposes changes of the set.

#include "replica_pvt.h"

#include <random>

namespace turmerichead::turns {

void replica::impl::onTick() {
  const disk_set &Set = Core->set();
  Restore.update(PlatformSet, Set, steadyNow());
  // The members of a set that is not joint never propose a change, so they need
  // not monitor other hosts.
  bool IsMonitoring = Set.Epoch > 0 && (Set.isJoint() || !Core->isMember());
  Monitor.watch(IsMonitoring ? Set.allMembers() : std::vector<disk_host>(),
                steadyNow());
  if (IsMonitoring || Restore.isNeeded())
    pingMembers();
  if (AwaitsFirstStart)
    pingForFirstStart();
  propose();
  restoreSet();
  if (Core->needsCopy()) {
    requestCopies(true);
    logCopyProgress();
  }
  repairStoredChains();
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
  Links->send(
      Address, {std::string(PingPath), {}, pack(Core->pingRequest())},
      {[this, Address, Round = Restore.round()](std::string_view Bytes) {
         Monitor.recordReply(Address, steadyNow());
         if (auto Reply = unpack<ping_reply>(Bytes)) {
           Core->onPingReply(Address, *Reply);
           Restore.onReply(Round, Address, Reply->Set, Reply->CaughtUp);
         }
         handleFirstStart();
       },
       [](const peer_result &) {}});
}

std::vector<std::string> replica::impl::findUnresponsiveHosts() {
  const disk_set &Set = Core->set();
  time_point Now = steadyNow();
  std::vector<std::string> Unresponsive;
  // A host that receives replies from fewer members than a read quorum is
  // itself partitioned, so it reports no other host as unresponsive.
  if (!Monitor.hasSteadyQuorum(Set, Now))
    return Unresponsive;
  for (const disk_host &Host : Set.allMembers())
    if (Host.Address != Settings.Self.Address &&
        !Monitor.responds(Host.Address, Now))
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
  for (const disk_host &Host : View.Set.Members)
    if (!Monitor.hasReplied(Host.Address))
      View.Unheard.push_back(Host.Address);
  auto Proposal = proposeSet(View);
  if (Proposal)
    Events.OnPropose(*Proposal);
}

// -- Restoring a set that the platform has lost -------------------------------

void replica::impl::restoreSet() {
  if (!Restore.isNeeded())
    return;
  Restore.onReply(Restore.round(), Settings.Self.Address, Core->set(),
                  Core->caughtUp());
  if (!Restore.isConfirmed(steadyNow()))
    return;
  std::random_device Device;
  Events.OnRestore(restoredSet(Restore.set(), Device()),
                   Restore.stored().Revision);
}

} // namespace turmerichead::turns
