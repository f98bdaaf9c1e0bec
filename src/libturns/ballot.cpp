#include "ballot_pvt.h"

#include <algorithm>

namespace turmerichead::turns {

namespace {

bool isOk(const open_reply &Reply) {
  return Reply.Status == static_cast<std::uint8_t>(reply_status::Ok);
}

bool isOver(const open_reply &Reply) {
  return Reply.Status == static_cast<std::uint8_t>(reply_status::OverBudget);
}

} // namespace

void reservation_ballot::addRows(const open_reply &Reply) {
  for (const spend_row &Row : Reply.OtherAttempts) {
    auto [Entry, New] = Rows.try_emplace(Row.Attempt, Row.Tokens);
    // The smaller figure is the settled one.
    Entry->second = std::min(Entry->second, Row.Tokens);
  }
}

void reservation_ballot::onReply(std::string_view Address,
                                 const open_reply &Reply) {
  if (!isOk(Reply) && !isOver(Reply))
    return;
  Answered.emplace(Address);
  if (isOk(Reply))
    Kept.emplace(Address);
  if (Reply.CaughtUp)
    Voters.emplace(Address);
  addRows(Reply);
}

void reservation_ballot::onReadAgain(std::string_view Address,
                                     const open_reply &Reply) {
  if (!isOk(Reply) || !Reply.CaughtUp)
    return;
  ReadTwice.emplace(Address);
  addRows(Reply);
}

std::uint64_t reservation_ballot::spent() const {
  std::uint64_t Sum = 0;
  for (const auto &[Attempt, Spent] : Rows)
    Sum += Spent;
  return Sum;
}

reservation_ballot::verdict
reservation_ballot::decide(bool PatienceOver) const {
  auto IsVoter = [&](std::string_view Address) {
    return Voters.contains(Address);
  };
  auto IsKept = [&](std::string_view Address) {
    return Kept.contains(Address);
  };
  if (!isReadQuorum(Set, IsVoter))
    return verdict::Wait;
  if (spent() + Tokens > Budget)
    return verdict::OverBudget;
  if (!isWriteQuorum(Set, IsKept))
    return verdict::Wait;
  std::vector<disk_host> All = Set.allMembers();
  bool Everywhere =
      std::all_of(All.begin(), All.end(), [&](const disk_host &Host) {
        return IsKept(Host.Address) && IsVoter(Host.Address);
      });
  if (Everywhere)
    return verdict::Granted;
  auto WasReadTwice = [&](std::string_view Address) {
    return ReadTwice.contains(Address);
  };
  if (isReadQuorum(Set, WasReadTwice))
    return verdict::Granted;
  return PatienceOver ? verdict::ReadAgain : verdict::Patience;
}

bool chain_search::onReply(std::string_view Address, std::string_view AskedFor,
                           bool CaughtUp, const chain_part &Part) {
  if (Wanted.empty() || AskedFor != Wanted)
    return false;
  if (!Part.Found) {
    if (CaughtUp)
      Lacks.emplace(Address);
    return false;
  }
  Bytes.insert(0, Part.Bytes);
  if (AskedFor == First)
    Upstream = Part.Upstream;
  Wanted = Part.Missing;
  Asked.clear();
  Lacks.clear();
  // This host has told what it has.
  Asked.emplace(Address);
  if (CaughtUp)
    Lacks.emplace(Address);
  return true;
}

bool chain_search::isAbsent(const disk_set &Set) const {
  return Wanted == First && !Wanted.empty() &&
         isReadQuorum(Set, [&](std::string_view Address) {
           return Lacks.contains(Address);
         });
}

bool chain_search::isBroken(const disk_set &Set) const {
  return Wanted != First && !Wanted.empty() &&
         isReadQuorum(Set, [&](std::string_view Address) {
           return Lacks.contains(Address);
         });
}

} // namespace turmerichead::turns
