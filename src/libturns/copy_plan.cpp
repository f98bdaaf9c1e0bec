#include "turmerichead/turns_copy_plan.h"

#include <algorithm>
#include <bit>

namespace turmerichead::turns {

namespace {

// Bounds the memory of the replies. The request is divided among several links.
constexpr std::uint64_t MaxRequestedBytes = 4U << 20U;

} // namespace

// -- The members --------------------------------------------------------------

void copy_plan::updateSet(const disk_set &NewSet) {
  if (Set.Epoch == NewSet.Epoch)
    return;
  Set = NewSet;
  removeFormerMembers();
  for (const disk_host &Host : Set.Members)
    sourceOf(Host.Address);
  Lasting = lastingMembers();
  for (auto &[Address, Source] : Sources) {
    Source.AtEnd = false;
    bool IsAtStart = Source.Next == log_position();
    if (Source.Log == 0 && !IsAtStart)
      restart(Source);
  }
}

void copy_plan::removeFormerMembers() {
  for (auto &[Address, Source] : Sources)
    if (!hasAddress(Set.Members, Address))
      restart(Source);
  // A reply that is still to come must not count if the host returns.
  std::erase_if(Sources, [this](const auto &Row) {
    return !hasAddress(Set.Members, Row.first) && !Row.second.RequestPending;
  });
}

copy_plan::source &copy_plan::sourceOf(const std::string &Address) {
  auto [Row, IsNew] = Sources.try_emplace(Address);
  if (!IsNew)
    return Row->second;
  source_mask Used = 0;
  for (const auto &Other : Sources)
    Used |= Other.second.Bit;
  Row->second.Bit = source_mask(1) << std::countr_one(Used);
  return Row->second;
}

copy_plan::source_mask copy_plan::lastingMembers() const {
  source_mask Mask = 0;
  for (const auto &[Address, Source] : Sources)
    if (hasAddress(Set.Members, Address) &&
        (!Set.isJoint() || hasAddress(Set.Next, Address)))
      Mask |= Source.Bit;
  return Mask;
}

void copy_plan::restart(source &Source) {
  for (turn_row &Turn : Turns)
    Turn.Holders &= ~Source.Bit;
  Source.Next = {};
  Source.Log = 0;
  Source.AtEnd = false;
  Source.Listed.clear();
  Source.IgnoresReply = Source.RequestPending;
}

void copy_plan::restart() {
  for (auto &[Address, Source] : Sources) {
    restart(Source);
    Source.Requested.clear();
  }
  TurnNumbers.clear();
  Turns.clear();
}

// -- Requests -----------------------------------------------------------------

bool copy_plan::isResolved(const turn_row &Turn,
                           const turn_index &Index) const {
  auto Holders = std::popcount(Turn.Holders & Lasting);
  return static_cast<std::uint32_t>(Holders) >= Set.QuorumSize ||
         Index.hasTurn(Turn.Id);
}

void copy_plan::chooseTurns(source &Source, const turn_index &Index) {
  std::vector<turn_number> Skipped; // Requested from other members.
  std::uint64_t Bytes = 0;
  while (!Source.Listed.empty() && Bytes < MaxRequestedBytes) {
    turn_number Number = Source.Listed.front();
    Source.Listed.pop_front();
    turn_row &Turn = Turns[Number];
    if (isResolved(Turn, Index))
      continue;
    if (Turn.IsRequested) {
      Skipped.push_back(Number);
      continue;
    }
    Bytes += Turn.Bytes;
    Turn.IsRequested = true;
    Source.Requested.push_back(Number);
  }
  Source.Listed.insert(Source.Listed.begin(), Skipped.begin(), Skipped.end());
}

bool copy_plan::needsIncomplete(std::string_view Self) const {
  auto MayBeComplete = [&](std::string_view Address) {
    auto Row = Sources.find(Address);
    return Address != Self && Row != Sources.end() && !Row->second.IsIncomplete;
  };
  return !isReadQuorum(Set, MayBeComplete);
}

void copy_plan::releaseSlowRequests() {
  for (auto &[Address, Source] : Sources) {
    if (!Source.RequestPending || ++Source.Pauses != SlowAfterPauses)
      continue;
    for (turn_number Number : Source.Requested)
      Turns[Number].IsRequested = false;
  }
}

std::vector<std::pair<std::string, copy_request>>
copy_plan::requests(std::string_view Self, bool RetriesFailed,
                    const turn_index &Index) {
  if (RetriesFailed)
    releaseSlowRequests();
  bool NeedsIncomplete = needsIncomplete(Self);
  std::vector<std::pair<std::string, copy_request>> Requests;
  for (auto &[Address, Source] : Sources) {
    if (Address == Self || !hasAddress(Set.Members, Address) ||
        Source.RequestPending || (Source.Failed && !RetriesFailed))
      continue;
    copy_request Request{
        Set, Source.Next.Segment, Source.Next.Offset, Source.Log, true,
        {},  NeedsIncomplete};
    if (Source.AtEnd) {
      chooseTurns(Source, Index);
      for (turn_number Number : Source.Requested)
        Request.Turns.push_back(Turns[Number].Id);
      Request.ListsTurns = Request.Turns.empty();
      // After each pause the host may have caught up.
      bool ChecksState = Source.IsIncomplete && RetriesFailed;
      if (Request.Turns.empty() && !ChecksState)
        continue;
    }
    Source.RequestPending = true;
    Source.Pauses = 0;
    Source.Failed = true; // Until a usable reply arrives.
    Requests.emplace_back(Address, std::move(Request));
  }
  return Requests;
}

// -- Replies ------------------------------------------------------------------

void copy_plan::addListed(source &Source,
                          const std::vector<listed_turn> &Listed) {
  for (const listed_turn &Turn : Listed) {
    auto Known = TurnNumbers.find(Turn.Id);
    if (Known == TurnNumbers.end()) {
      auto Number = static_cast<turn_number>(Turns.size());
      Turns.push_back({Turn.Id, Turn.Bytes});
      Known = TurnNumbers.emplace(Turns.back().Id, Number).first;
    }
    Turns[Known->second].Holders |= Source.Bit;
    Source.Listed.push_back(Known->second);
  }
}

copy_step copy_plan::onReply(std::string_view Address, std::uint64_t Epoch,
                             const copy_reply &Reply) {
  auto Row = Sources.find(Address);
  if (Row == Sources.end())
    return copy_step::Ignore;
  source &Source = Row->second;
  if (Source.IgnoresReply || Reply.Status != 0)
    return copy_step::Ignore;
  Source.IsIncomplete = !Reply.CaughtUp;
  Source.IsAtFirstStart = Reply.IsAtFirstStart;
  Source.MayLackRecords = Reply.MayLackRecords;
  bool HasRecords = Reply.CaughtUp || Reply.Log != 0;
  if (!HasRecords)
    return copy_step::Ignore;
  Source.Failed = false;
  bool IsAtStart = Source.Next == log_position();
  if (Reply.Log != Source.Log && !IsAtStart) {
    // The other host has restarted, so the position no longer holds.
    restart(Source);
    return copy_step::Ignore;
  }
  if (!Source.Requested.empty()) {
    // Turns that are not in the reply have expired there.
    for (turn_number Number : Source.Requested)
      Turns[Number].IsRequested = false;
    Source.Requested.clear();
    return copy_step::Store;
  }
  Source.Log = Reply.Log;
  Source.Next = {Reply.Segment, Reply.Offset, 0};
  // In an older epoch, writes could follow that this host does not receive.
  Source.AtEnd = Reply.AtEnd && Epoch == Set.Epoch;
  addListed(Source, Reply.Turns);
  return copy_step::Store;
}

void copy_plan::onUnusableReply(std::string_view Address) {
  auto Row = Sources.find(Address);
  if (Row != Sources.end())
    Row->second.Failed = true;
}

void copy_plan::onNewerSet(std::string_view Address) {
  auto Row = Sources.find(Address);
  if (Row != Sources.end())
    Row->second.Failed = false;
}

void copy_plan::onEnded(std::string_view Address) {
  auto Row = Sources.find(Address);
  if (Row == Sources.end())
    return;
  source &Source = Row->second;
  // Turns that were not received are requested again, here or from another
  // member. After a restart of the copy they will be listed again.
  for (turn_number Number : Source.Requested) {
    Turns[Number].IsRequested = false;
    if (!Source.IgnoresReply)
      Source.Listed.push_front(Number);
  }
  Source.Requested.clear();
  Source.RequestPending = false;
  Source.IgnoresReply = false;
}

copy_plan::waiting_for copy_plan::waitingFor(std::string_view Self,
                                             const turn_index &Index) {
  waiting_for Hosts;
  for (const auto &[Address, Source] : Sources) {
    if (Address == Self || !hasAddress(Set.Members, Address))
      continue;
    if (!isRead(Address, Index))
      Hosts.Unread.push_back(Address);
    if (Source.IsIncomplete)
      Hosts.Incomplete.push_back(Address);
  }
  return Hosts;
}

bool copy_plan::isDone(std::string_view Address, const turn_index &Index) {
  // A host that is still catching up may lack writes that it acknowledged.
  return isRead(Address, Index) && !Sources.find(Address)->second.IsIncomplete;
}

bool copy_plan::mayLackRecords(std::string_view Address) const {
  auto Row = Sources.find(Address);
  return Row != Sources.end() && Row->second.MayLackRecords;
}

std::uint32_t copy_plan::countAtFirstStart() const {
  auto Count =
      std::count_if(Sources.begin(), Sources.end(),
                    [](const auto &Row) { return Row.second.IsAtFirstStart; });
  return static_cast<std::uint32_t>(Count);
}

bool copy_plan::isRead(std::string_view Address, const turn_index &Index) {
  auto Row = Sources.find(Address);
  if (Row == Sources.end())
    return false;
  source &Source = Row->second;
  while (!Source.Listed.empty() &&
         isResolved(Turns[Source.Listed.front()], Index))
    Source.Listed.pop_front();
  return Source.AtEnd && Source.Listed.empty() && Source.Requested.empty();
}

} // namespace turmerichead::turns
