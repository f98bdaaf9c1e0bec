#include "turmerichead/memory_budget.h"

#include <algorithm>
#include <vector>

namespace turmerichead {

namespace {

// The first rank that has more than one part in so many of the limit is chosen.
constexpr std::size_t RankShare = 4;

std::size_t indexOf(memory_rank Rank) { return static_cast<std::size_t>(Rank); }

} // namespace

memory_owner_id
memory_budget::addOwner(std::function<void(std::uint64_t Key)> End) {
  auto Id = Owners.insert({std::move(End)});
  return {Id.Index, Id.Generation};
}

void memory_budget::removeOwner(memory_owner_id Owner) {
  std::vector<memory_holder_id> Owned;
  Holders.forEach([&](memory_holder_id Id, const memory_holder &Row) {
    if (Row.Owner == Owner)
      Owned.push_back(Id);
  });
  for (memory_holder_id Id : Owned)
    release(Id);
  Owners.erase(Owner);
}

memory_holder_id memory_budget::add(memory_owner_id Owner, std::uint64_t Key) {
  memory_holder Row;
  Row.Owner = Owner;
  Row.Key = Key;
  return Holders.insert(Row);
}

void memory_budget::set(memory_holder_id Holder, memory_rank Rank,
                        std::size_t Bytes, time_point Now) {
  memory_holder *Row = Holders.find(Holder);
  if (!Row)
    return;
  if (Row->Bytes != Bytes || Row->Rank != Rank)
    Row->Progress = Now;
  Total += Bytes - Row->Bytes;
  ByRank.at(indexOf(Row->Rank)) -= Row->Bytes;
  ByRank.at(indexOf(Rank)) += Bytes;
  Row->Rank = Rank;
  Row->Bytes = Bytes;
}

void memory_budget::release(memory_holder_id Holder) {
  set(Holder, memory_rank::Request, 0, {});
  Holders.erase(Holder);
}

std::optional<memory_holder_id> memory_budget::excess() const {
  if (Total <= Limit)
    return std::nullopt;
  auto Pinned = ByRank.begin() + indexOf(memory_rank::Pinned);
  auto First = std::find_if(ByRank.begin(), Pinned, [this](std::size_t Bytes) {
    return Bytes > Limit / RankShare;
  });
  if (First == Pinned)
    First = std::max_element(ByRank.begin(), Pinned);
  if (*First == 0)
    return std::nullopt;
  auto Rank = static_cast<std::size_t>(First - ByRank.begin());
  std::size_t Largest = 0;
  Holders.forEach([&](memory_holder_id, const memory_holder &Row) {
    if (indexOf(Row.Rank) == Rank)
      Largest = std::max(Largest, Row.Bytes);
  });
  std::optional<memory_holder_id> Chosen;
  const memory_holder *Best = nullptr;
  Holders.forEach([&](memory_holder_id Id, const memory_holder &Row) {
    if (indexOf(Row.Rank) != Rank || Row.Bytes * 2 < Largest)
      return;
    bool Better = !Best || Row.Progress < Best->Progress ||
                  (Row.Progress == Best->Progress && Row.Bytes > Best->Bytes);
    if (!Better)
      return;
    Best = &Row;
    Chosen = Id;
  });
  return Chosen;
}

void memory_budget::enforce() {
  // memory_owner::End may call this function.
  if (Enforcing || Total <= Limit)
    return;
  Enforcing = true;
  while (auto Id = excess()) {
    const memory_holder &Row = *Holders.find(*Id);
    std::uint64_t Key = Row.Key;
    memory_owner_id Owner = Row.Owner;
    // Not counted from here on, as an owner may release the memory later.
    set(*Id, Row.Rank, 0, Row.Progress);
    ++Ended;
    if (memory_owner *Found = Owners.find(Owner))
      Found->End(Key);
  }
  Enforcing = false;
}

} // namespace turmerichead
