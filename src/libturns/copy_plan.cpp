#include "turmerichead/turns_copy_plan.h"

#include <iterator>

namespace turmerichead::turns {

namespace {

// The reply holds up the other requests to that member while it is sent.
constexpr std::uint64_t MaxRequestedBytes = 1U << 20U;

} // namespace

void copy_plan::restart(source &Source) {
  Source.Next = {};
  Source.Log = 0;
  Source.AtEnd = false;
  Source.Listed.clear();
  Source.IgnoresReply = Source.RequestPending;
}

void copy_plan::restart() {
  for (auto &[Address, Source] : Sources)
    restart(Source);
}

void copy_plan::beginEpoch(std::uint64_t NewEpoch) {
  if (Epoch == NewEpoch)
    return;
  Epoch = NewEpoch;
  for (auto &[Address, Source] : Sources) {
    Source.AtEnd = false;
    bool IsAtStart = Source.Next == log_position();
    if (Source.Log == 0 && !IsAtStart)
      restart(Source);
  }
}

void copy_plan::dropStoredTurns(source &Source, const turn_index &Index) {
  while (!Source.Listed.empty() && Index.hasTurn(Source.Listed.front().Id))
    Source.Listed.pop_front();
}

void copy_plan::chooseTurns(source &Source, const turn_index &Index) {
  std::deque<listed_turn> Skipped;
  std::uint64_t Bytes = 0;
  while (!Source.Listed.empty() && Bytes < MaxRequestedBytes) {
    listed_turn Turn = std::move(Source.Listed.front());
    Source.Listed.pop_front();
    if (Index.hasTurn(Turn.Id))
      continue;
    if (InProgress.contains(Turn.Id)) {
      Skipped.push_back(std::move(Turn));
      continue;
    }
    Bytes += Turn.Bytes;
    InProgress.insert(Turn.Id);
    Source.Requested.push_back(std::move(Turn));
  }
  Source.Listed.insert(Source.Listed.begin(),
                       std::make_move_iterator(Skipped.begin()),
                       std::make_move_iterator(Skipped.end()));
}

copy_request copy_plan::nextRequest(source &Source, const disk_set &Set,
                                    const turn_index &Index) {
  copy_request Request{
      Set, Source.Next.Segment, Source.Next.Offset, Source.Log, true, {}};
  chooseTurns(Source, Index);
  for (const listed_turn &Turn : Source.Requested)
    Request.Turns.push_back(Turn.Id);
  return Request;
}

std::vector<std::pair<std::string, copy_request>>
copy_plan::requests(const disk_set &Set, std::string_view Self,
                    bool RetriesFailed, const turn_index &Index) {
  std::vector<std::pair<std::string, copy_request>> Requests;
  for (const disk_host &Host : Set.Members) {
    source &Source = Sources[Host.Address];
    if (Host.Address == Self || Source.RequestPending ||
        (Source.Failed && !RetriesFailed) || isDone(Host.Address, Index))
      continue;
    copy_request Request = nextRequest(Source, Set, Index);
    // All that is left was requested from other members.
    if (Source.AtEnd && Request.Turns.empty())
      continue;
    Source.RequestPending = true;
    Source.Failed = true; // Until a usable reply arrives.
    Requests.emplace_back(Host.Address, std::move(Request));
  }
  return Requests;
}

copy_step copy_plan::onReply(std::string_view Address,
                             std::uint64_t RequestEpoch,
                             const copy_reply &Reply) {
  auto Row = Sources.find(Address);
  if (Row == Sources.end())
    return copy_step::Ignored;
  source &Source = Row->second;
  // A host that is still catching up may lack writes that it acknowledged.
  if (Source.IgnoresReply || Reply.Status != 0 || !Reply.CaughtUp)
    return copy_step::Ignored;
  Source.Failed = false;
  bool IsAtStart = Source.Next == log_position();
  if (Reply.Log != Source.Log && !IsAtStart) {
    // The other host has restarted, so the position no longer holds.
    restart(Source);
    return copy_step::Ignored;
  }
  if (!Source.Requested.empty()) {
    // Turns that are not in the reply have expired there.
    for (const listed_turn &Turn : Source.Requested)
      InProgress.erase(Turn.Id);
    Source.Requested.clear();
    return copy_step::Accepted;
  }
  Source.Log = Reply.Log;
  Source.Next = {Reply.Segment, Reply.Offset, 0};
  // In an older epoch, writes could follow that this host does not receive.
  Source.AtEnd = Reply.AtEnd && RequestEpoch == Epoch;
  Source.Listed.insert(Source.Listed.end(), Reply.Turns.begin(),
                       Reply.Turns.end());
  return copy_step::Accepted;
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
  for (listed_turn &Turn : Source.Requested) {
    InProgress.erase(Turn.Id);
    if (!Source.IgnoresReply)
      Source.Listed.push_front(std::move(Turn));
  }
  Source.Requested.clear();
  Source.RequestPending = false;
  Source.IgnoresReply = false;
}

bool copy_plan::isDone(std::string_view Address, const turn_index &Index) {
  auto Row = Sources.find(Address);
  if (Row == Sources.end())
    return false;
  source &Source = Row->second;
  dropStoredTurns(Source, Index);
  return Source.AtEnd && Source.Listed.empty() && Source.Requested.empty();
}

} // namespace turmerichead::turns
