// The replica's place in the set: who is silent, what to propose, what to
// copy.

#include "replica_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::turns {

bool replica::impl::isMember() const {
  const disk_set &Set = Shelf->state().Set;
  return hasAddress(Set.Members, Settings.Self.Address) ||
         hasAddress(Set.Next, Settings.Self.Address);
}

bool replica::impl::needsCopy() const {
  return isMember() && !Shelf->state().CaughtUp;
}

void replica::impl::onTick() {
  const disk_set &Set = Shelf->state().Set;
  // Members of a set that stands have nobody to watch.
  bool Watching = Set.Epoch > 0 && (Set.isJoint() || !isMember());
  if (Watching)
    pingOthers();
  else
    WatchingSince = steadyNow();
  propose();
  if (needsCopy())
    copyStep();
}

// -- Watching ----------------------------------------------------------------

void replica::impl::pingOthers() {
  for (const disk_host &Host : Shelf->state().Set.everyone()) {
    if (Host.Address == Settings.Self.Address)
      continue;
    Links->setAddress(Host.Address, Host.Address);
    std::string Address = Host.Address;
    Links->send(
        Address,
        {std::string(PingPath), {}, pack(ping_request{Shelf->state().Set})},
        {[this, Address](std::string_view Bytes) {
           LastHeard[Address] = steadyNow();
           auto Reply = unpack<ping_reply>(Bytes);
           if (Reply && Reply->Set.Epoch > Shelf->state().Set.Epoch)
             adopt(Reply->Set);
         },
         [](const peer_result &) {}});
  }
}

std::vector<std::string> replica::impl::silentHosts() const {
  const disk_set &Set = Shelf->state().Set;
  time_point Now = steadyNow();
  std::vector<std::string> Silent;
  auto Hears = [&](std::string_view Address) {
    auto Heard = LastHeard.find(std::string(Address));
    time_point Since = Heard == LastHeard.end() ? WatchingSince : Heard->second;
    return Now - std::max(Since, WatchingSince) < Settings.SilentAfter;
  };
  // A host that hears too few is itself cut off.
  if (!isReadQuorum(Set, Hears))
    return Silent;
  for (const disk_host &Host : Set.everyone())
    if (Host.Address != Settings.Self.Address && !Hears(Host.Address))
      Silent.push_back(Host.Address);
  return Silent;
}

void replica::impl::propose() {
  set_view View;
  View.Set = Shelf->state().Set;
  View.Faults = Settings.Faults;
  View.Self = Settings.Self;
  View.SelfCaughtUp = Shelf->state().CaughtUp;
  View.Registered = Registered;
  View.Retiring = Retiring;
  if (View.Set.Epoch > 0)
    View.Silent = silentHosts();
  auto Proposal = proposeSet(View);
  if (Proposal)
    Events.OnPropose(*Proposal);
}

// -- Copying -----------------------------------------------------------------

void replica::impl::copyStep() {
  const disk_set &Set = Shelf->state().Set;
  if (CopyEpoch != Set.Epoch) {
    CopyEpoch = Set.Epoch;
    Copies.clear();
    log::info("copying from other disk hosts", {{"epoch", CopyEpoch}});
  }
  for (const disk_host &Host : Set.Members)
    if (Host.Address != Settings.Self.Address)
      askCopy(Host.Address);
  finishCopyIfComplete();
}

void replica::impl::askCopy(const std::string &Address) {
  copy_progress &Progress = Copies[Address];
  if (Progress.Asked || Progress.Done)
    return;
  Progress.Asked = true;
  Links->setAddress(Address, Address);
  copy_request Request{Shelf->state().Set, Progress.Next.Segment,
                       Progress.Next.Offset};
  std::uint64_t Epoch = CopyEpoch;
  Links->send(Address, {std::string(CopyPath), {}, pack(Request)},
              {[this, Address, Epoch](std::string_view Bytes) {
                 auto Reply = unpack<copy_reply>(Bytes);
                 if (Reply && Epoch == CopyEpoch)
                   onCopied(Address, *Reply);
               },
               [this, Address, Epoch](const peer_result &) {
                 if (Epoch != CopyEpoch)
                   return;
                 copy_progress &Row = Copies[Address];
                 Row.Asked = false;
                 if (Row.Next.Segment > 0 && needsCopy())
                   copyStep();
               }});
}

void replica::impl::onCopied(const std::string &Address,
                             const copy_reply &Reply) {
  if (Reply.Status == static_cast<std::uint8_t>(reply_status::OldSet)) {
    if (Reply.Set.Epoch > Shelf->state().Set.Epoch)
      adopt(Reply.Set);
    return;
  }
  // A host that is copying itself may lack what it once acknowledged.
  if (Reply.Status != 0 || !Reply.CaughtUp)
    return;
  time_point Now = steadyNow();
  for (const std::string &Record : Reply.Records) {
    ++Counters.CopiedRecords;
    if (Shelf->addBytes(Record, Now))
      continue;
    log::error("copied record not kept", {{"reason", lastError().Text}});
    return;
  }
  if (!syncNow())
    return;
  copy_progress &Progress = Copies[Address];
  Progress.Next = {Reply.Segment, Reply.Offset, 0};
  Progress.Done = Reply.AtEnd;
}

void replica::impl::finishCopyIfComplete() {
  const disk_set &Set = Shelf->state().Set;
  auto IsDone = [&](std::string_view Address) {
    auto Row = Copies.find(std::string(Address));
    return Row != Copies.end() && Row->second.Done;
  };
  if (!isReadQuorum(Set, IsDone))
    return;
  state_record State = Shelf->state();
  State.CaughtUp = true;
  if (!Shelf->setState(State) || !syncNow()) {
    log::error("disk does not take the state", {{"reason", lastError().Text}});
    State.CaughtUp = false;
    Shelf->setState(State);
    return;
  }
  log::info("caught up", {{"epoch", Set.Epoch},
                          {"turns", Shelf->book().turns()},
                          {"records", Counters.CopiedRecords}});
}

} // namespace turmerichead::turns
