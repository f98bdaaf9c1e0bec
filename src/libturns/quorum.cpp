#include "quorum_pvt.h"

#include <algorithm>

namespace turmerichead::turns {

namespace {

bool isOk(const open_reply &Reply) {
  return Reply.Status == static_cast<std::uint8_t>(reply_status::Ok);
}

bool isOverBudget(const open_reply &Reply) {
  return Reply.Status == static_cast<std::uint8_t>(reply_status::OverBudget);
}

bool isFull(const open_reply &Reply) {
  return Reply.Status == static_cast<std::uint8_t>(reply_status::Full);
}

} // namespace

void reservation_quorum::mergeRows(const open_reply &Reply) {
  for (const spend_row &Row : Reply.OtherAttempts) {
    auto [Entry, New] = Rows.try_emplace(Row.Attempt, Row.Tokens);
    // A settled value is at most the reserved maximum, so the smaller one is
    // the settled one.
    Entry->second = std::min(Entry->second, Row.Tokens);
  }
}

void reservation_quorum::onReply(std::string_view Address,
                                 const open_reply &Reply) {
  if (!isOk(Reply) && !isOverBudget(Reply) && !isFull(Reply))
    return;
  Replied.emplace(Address);
  if (isFull(Reply))
    FullHosts.emplace(Address);
  if (isOk(Reply))
    Persisted.emplace(Address);
  if (Reply.CaughtUp) {
    CaughtUpHosts.emplace(Address);
    text_set &Known = KnownAttempts[std::string(Address)];
    for (const spend_row &Row : Reply.OtherAttempts)
      Known.insert(Row.Attempt);
  }
  mergeRows(Reply);
}

void reservation_quorum::onSecondReply(std::string_view Address,
                                       const open_reply &Reply) {
  if (!isOk(Reply) || !Reply.CaughtUp)
    return;
  SecondReplies.emplace(Address);
  mergeRows(Reply);
}

std::uint64_t reservation_quorum::spent() const {
  std::uint64_t Sum = 0;
  for (const auto &[Attempt, Spent] : Rows)
    Sum += Spent;
  return Sum;
}

std::vector<reservation_quorum::unknown_attempt>
reservation_quorum::unknownAttempts(const spend_record &Own) const {
  std::vector<unknown_attempt> Unknown;
  for (const auto &[Address, Known] : KnownAttempts)
    for (const auto &[Attempt, Spent] : Rows)
      if (!Known.contains(Attempt))
        Unknown.push_back(
            {Address, {Own.Program, Attempt, Spent, false, Own.RetentionMs}});
  return Unknown;
}

reservation_quorum::decision
reservation_quorum::decide(bool StragglersTimedOut) const {
  auto IsCaughtUp = [&](std::string_view Address) {
    return CaughtUpHosts.contains(Address);
  };
  auto IsPersisted = [&](std::string_view Address) {
    return Persisted.contains(Address);
  };
  auto HasRoom = [&](std::string_view Address) {
    return !FullHosts.contains(Address);
  };
  if (!isWriteQuorum(Set, HasRoom))
    return decision::DisksFull;
  if (!isReadQuorum(Set, IsCaughtUp))
    return decision::Pending;
  if (spent() + Tokens > Budget)
    return decision::OverBudget;
  if (!isWriteQuorum(Set, IsPersisted))
    return decision::Pending;
  std::vector<disk_host> All = Set.allMembers();
  bool OnAllMembers =
      std::all_of(All.begin(), All.end(), [&](const disk_host &Host) {
        return IsPersisted(Host.Address) && IsCaughtUp(Host.Address);
      });
  if (OnAllMembers)
    return decision::Granted;
  auto HasSecondReply = [&](std::string_view Address) {
    return SecondReplies.contains(Address);
  };
  if (isReadQuorum(Set, HasSecondReply))
    return decision::Granted;
  return StragglersTimedOut ? decision::SecondRound : decision::AwaitStragglers;
}

bool chain_search::onReply(std::string_view Address, std::string_view AskedFor,
                           bool CaughtUp, const chain_part &Part,
                           bool MayLackTurns) {
  if (Wanted.empty() || AskedFor != Wanted)
    return false;
  auto AddReport = [&] {
    if (CaughtUp)
      (MayLackTurns ? MayHaveLost : ReportedMissing).emplace(Address);
  };
  if (!Part.Found) {
    AddReport();
    return false;
  }
  Bytes.insert(0, Part.Bytes);
  if (AskedFor == Requested)
    Upstream = Part.Upstream;
  Wanted = Part.Missing;
  Asked.clear();
  ReportedMissing.clear();
  MayHaveLost.clear();
  // This host has no older part of the chain: its reply contains all that it
  // has.
  Asked.emplace(Address);
  AddReport();
  return true;
}

bool chain_search::isAbsent(const disk_set &Set) const {
  return Wanted == Requested && !Wanted.empty() &&
         isReadQuorum(Set, [&](std::string_view Address) {
           return ReportedMissing.contains(Address);
         });
}

bool chain_search::mayBeLost(const disk_set &Set) const {
  return !Wanted.empty() && !isAbsent(Set) &&
         std::all_of(Set.Members.begin(), Set.Members.end(),
                     [&](const disk_host &Host) {
                       return ReportedMissing.contains(Host.Address) ||
                              MayHaveLost.contains(Host.Address);
                     });
}

bool chain_search::isBroken(const disk_set &Set) const {
  return Wanted != Requested && !Wanted.empty() &&
         isReadQuorum(Set, [&](std::string_view Address) {
           return ReportedMissing.contains(Address);
         });
}

} // namespace turmerichead::turns
