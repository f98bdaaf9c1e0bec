#include "turmerichead/relay_quota.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace turmerichead::relay {

namespace {

constexpr double MsPerSecond = 1000;
// Part of the slack that adds to the depth of the slices, which lets bursts of
// small organisations pass. The rest is a margin.
constexpr double SlackShare = 0.8;
// New programs get no token below this level of a slice, so that running
// programs can finish.
constexpr double ReservedForRunning = 0.25;
// Hosts get tokens for later requests only above this level. Tokens that expire
// unused must not make a slice that is nearly empty refuse anything.
constexpr double ExtraAbove = 0.5;
constexpr std::uint32_t MaxCount = 16;
// Limits of what a member computes with, whatever a host sends.
constexpr double MinPerSecond = 0.001;
constexpr double MaxPerSecond = 1e9;
// A limit must be remembered for as long as a host may hold an older one.
constexpr milliseconds UnusedTime{3'600'000};
constexpr milliseconds CleanInterval{60'000};
constexpr milliseconds MeanInterval{100};

// A near member is asked first while its slice is fuller than this.
constexpr double NearAbove = 0.75;
// Tokens are held for the requests of this time, for at most HoldTime.
constexpr milliseconds BatchTime{100};
constexpr milliseconds HoldTime{250};
// The local shares of all hosts together are this part of the limit: half of
// the overage of a tenth.
constexpr double LocalShare = 0.05;
// A caller that was refused since no member is known returns after this time.
constexpr milliseconds UnknownRetryAfter{1000};
constexpr milliseconds MinRetryAfter{50};
// An organisation that uses this many times the mean is over its share.
constexpr double OverShare = 1.4;
constexpr milliseconds ReportLifetime{2000};
constexpr std::size_t MaxListed = 10;

double secondsOf(milliseconds Time) {
  return static_cast<double>(Time.count()) / MsPerSecond;
}

bool differs(const quota_limit &Left, const quota_limit &Right) {
  return Left.PerSecond != Right.PerSecond || Left.Burst != Right.Burst;
}

} // namespace

// -- Counting ----------------------------------------------------------------

void recent_count::advance(time_point Now) {
  constexpr std::int64_t SlotMs = Time.count() / SlotCount;
  std::int64_t Slot = Now.Ms / SlotMs;
  if (Slot - LastSlot >= static_cast<std::int64_t>(SlotCount))
    Slots.fill(0);
  else
    for (std::int64_t Passed = LastSlot + 1; Passed <= Slot; ++Passed)
      Slots[static_cast<std::size_t>(Passed) % SlotCount] = 0;
  LastSlot = std::max(LastSlot, Slot);
}

void recent_count::add(double Count, time_point Now) {
  advance(Now);
  Slots[static_cast<std::size_t>(LastSlot) % SlotCount] += Count;
}

double recent_count::total(time_point Now) {
  advance(Now);
  double Total = 0;
  for (double Slot : Slots)
    Total += Slot;
  return Total;
}

// -- Issuing -----------------------------------------------------------------

void quota_issuer::setMembers(std::size_t Count, time_point Now) {
  if (Members == 0 && Count > 0) {
    MemberSince = Now;
    Rows.clear();
  }
  Members = Count;
}

quota_issuer::row &quota_issuer::rowFor(const quota_request &Request,
                                        time_point Now) {
  auto [Entry, IsNew] = Rows.try_emplace(Request.Organisation);
  row &Row = Entry->second;
  Row.UsedAt = Now;
  if (IsNew || Request.Version > Row.Limit.Version)
    Row.Limit = {Request.Version, Request.PerSecond, Request.Burst};
  if (IsNew) {
    // Nothing was issued to it while this host was a member.
    updateSlice(Row, MemberSince);
    Row.Pacer.setAvailable(0, Row.PerSecond, Row.Depth - 1, MemberSince);
  }
  updateSlice(Row, Now);
  return Row;
}

void quota_issuer::updateSlice(row &Row, time_point Now) {
  auto Parts = static_cast<double>(Members);
  double PerSecond =
      std::clamp(Row.Limit.PerSecond, MinPerSecond, MaxPerSecond) / Parts;
  double Burst = std::clamp(Row.Limit.Burst, 0.0, MaxPerSecond);
  double Depth = std::max((Burst + Slack * SlackShare) / Parts, 1.0);
  if (PerSecond == Row.PerSecond && Depth == Row.Depth)
    return;
  double Tokens = 0;
  if (Row.PerSecond > 0)
    Tokens = Row.Pacer.available(Row.PerSecond, Row.Depth - 1, Now);
  Row.Pacer.setAvailable(std::min(Tokens, Depth), PerSecond, Depth - 1, Now);
  Row.PerSecond = PerSecond;
  Row.Depth = Depth;
}

quota_reply quota_issuer::issue(const quota_request &Request, time_point Now) {
  dropUnused(Now);
  row &Row = rowFor(Request, Now);
  // Returns the burst with which take() succeeds above a level of the slice. At
  // least one token is needed.
  auto BurstAbove = [&](double Level) {
    return Row.Depth - std::max(1.0, Level * Row.Depth);
  };
  double Burst = BurstAbove(Request.StartsProgram ? ReservedForRunning : 0.0);
  auto Take = [&](double AllowedBurst) {
    return Row.Pacer.take(Row.PerSecond, AllowedBurst, milliseconds(0), Now)
        .has_value();
  };
  quota_reply Reply;
  if (Take(Burst))
    ++Reply.Granted;
  std::uint32_t Count = std::min(Request.Count, MaxCount);
  while (Reply.Granted > 0 && Reply.Granted < Count &&
         Take(BurstAbove(ExtraAbove)))
    ++Reply.Granted;
  Row.Used.add(Reply.Granted, Now);
  Reply.NextWaitMs = Row.Pacer.wait(Row.PerSecond, Burst, Now).count();
  Reply.Version = Row.Limit.Version;
  Reply.PerSecond = Row.Limit.PerSecond;
  Reply.Burst = Row.Limit.Burst;
  Reply.Utilisation =
      Row.Used.total(Now) / (Row.PerSecond * secondsOf(recent_count::Time));
  Reply.MeanUtilisation = meanUtilisation(Now);
  Reply.Fill =
      Row.Pacer.available(Row.PerSecond, Row.Depth - 1, Now) / Row.Depth;
  return Reply;
}

double quota_issuer::meanUtilisation(time_point Now) {
  if (Now - MeanAt < MeanInterval)
    return Mean;
  MeanAt = Now;
  double Used = 0;
  double Allowed = 0;
  for (auto &[Organisation, Row] : Rows) {
    double Total = Row.Used.total(Now);
    if (Total == 0)
      continue;
    Used += Total;
    Allowed += Row.PerSecond * secondsOf(recent_count::Time);
  }
  Mean = Allowed > 0 ? Used / Allowed : 0;
  return Mean;
}

void quota_issuer::dropUnused(time_point Now) {
  if (Now - Cleaned < CleanInterval)
    return;
  Cleaned = Now;
  std::erase_if(Rows, [&](const auto &Row) {
    return Now - Row.second.UsedAt >= UnusedTime;
  });
}

// -- Asking ------------------------------------------------------------------

std::string_view nameOf(quota_outcome Outcome) {
  switch (Outcome) {
  case quota_outcome::Granted:
    return "granted";
  case quota_outcome::LimitReached:
    return "limit";
  case quota_outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

quota_requester::row &quota_requester::rowOf(std::string_view Organisation) {
  auto Entry = Rows.find(Organisation);
  if (Entry == Rows.end())
    Entry = Rows.emplace(Organisation, row()).first;
  return Entry->second;
}

void quota_requester::setLimit(std::string_view Organisation,
                               const quota_limit &Limit) {
  row &Row = rowOf(Organisation);
  if (Limit.Version <= Row.Limit.Version)
    return;
  bool Differs = differs(Limit, Row.Limit);
  Row.Limit = Limit;
  if (!Differs)
    return;
  Row.Slices.clear();
  Row.Held.clear();
}

bool quota_requester::isOutdatedBy(std::string_view Organisation,
                                   const quota_limit &Limit) const {
  auto Entry = Rows.find(Organisation);
  if (Entry == Rows.end())
    return true;
  const quota_limit &Known = Entry->second.Limit;
  return Limit.Version > Known.Version && differs(Limit, Known);
}

void quota_requester::recordDemand(std::string_view Organisation,
                                   time_point Now) {
  rowOf(Organisation).Demand.add(1, Now);
}

bool quota_requester::takeHeld(std::string_view Organisation, time_point Now) {
  std::deque<held_tokens> &Held = rowOf(Organisation).Held;
  while (!Held.empty() && Held.front().ExpiresAt <= Now)
    Held.pop_front();
  if (Held.empty())
    return false;
  if (--Held.front().Count == 0)
    Held.pop_front();
  return true;
}

time_point quota_requester::emptyUntil(const row &Row, std::string_view Address,
                                       bool StartsProgram) {
  auto Entry = Row.Slices.find(Address);
  return Entry == Row.Slices.end()
             ? time_point()
             : Entry->second.EmptyUntil[StartsProgram ? 1 : 0];
}

double quota_requester::depthOf(const row &Row) const {
  return std::max(Row.Limit.Burst + SlackShare * Settings.Slack,
                  static_cast<double>(Row.Members));
}

double quota_requester::fillOf(const row &Row, std::string_view Address,
                               time_point Now) const {
  auto Entry = Row.Slices.find(Address);
  if (Entry == Row.Slices.end())
    return 1;
  double Filled = Row.Limit.PerSecond / depthOf(Row) *
                  secondsOf(Now - Entry->second.FillAt);
  return std::min(Entry->second.Fill + Filled, 1.0);
}

std::optional<std::string>
quota_requester::pick(std::string_view Organisation, bool StartsProgram,
                      std::span<const quota_member> Members,
                      std::span<const std::string> Asked, time_point Now) {
  row &Row = rowOf(Organisation);
  Row.Members = std::max<std::size_t>(Members.size(), 1);
  // If near members were always asked first, their slices would never fill, and
  // a burst below the limit would find only the tokens of the others. Between
  // equal members, the order differs by organisation.
  std::uint64_t Seed = hash64(Organisation);
  auto OrderOf = [&](const quota_member &Member) {
    double Fill = fillOf(Row, Member.Address, Now);
    bool IsPreferred = Member.IsNear && Fill > NearAbove;
    return std::tuple(!IsPreferred, -Fill, !Member.IsNear,
                      hash64(Member.Address, Seed));
  };
  const quota_member *Best = nullptr;
  for (const quota_member &Member : Members) {
    bool WasAsked =
        std::find(Asked.begin(), Asked.end(), Member.Address) != Asked.end();
    if (WasAsked || Avoidance.isAvoided(Member.Address, Now) ||
        emptyUntil(Row, Member.Address, StartsProgram) > Now)
      continue;
    if (!Best || OrderOf(Member) < OrderOf(*Best))
      Best = &Member;
  }
  if (!Best)
    return std::nullopt;
  return Best->Address;
}

quota_request quota_requester::requestFor(std::string_view Organisation,
                                          const std::string &Address,
                                          bool StartsProgram, time_point Now) {
  row &Row = rowOf(Organisation);
  double Expected = Row.Demand.total(Now) * secondsOf(BatchTime) /
                    secondsOf(recent_count::Time);
  std::uint32_t Extra =
      static_cast<std::uint32_t>(std::min<double>(Expected, MaxCount - 1));
  Extra -= std::min(Extra, Row.ExtraAsked);
  for (const held_tokens &Held : Row.Held)
    Extra -= std::min(Extra, Held.Count);
  Row.ExtraAsked += Extra;
  // Requests that arrive together ask different members.
  double Fill = fillOf(Row, Address, Now);
  slice_state &Slice = Row.Slices[Address];
  Slice.Fill =
      Fill - (1 + Extra) * static_cast<double>(Row.Members) / depthOf(Row);
  Slice.FillAt = Now;
  return {std::string(Organisation), Row.Limit.Version, Row.Limit.PerSecond,
          Row.Limit.Burst,           1 + Extra,         StartsProgram};
}

bool quota_requester::recordReply(const std::string &Address,
                                  const quota_request &Request,
                                  const quota_reply &Reply, time_point SentAt,
                                  time_point Now) {
  row &Row = rowOf(Request.Organisation);
  Avoidance.recordReply(Address);
  Row.ExtraAsked -= std::min(Row.ExtraAsked, Request.Count - 1);
  Row.Utilisation = Reply.Utilisation;
  Row.MeanUtilisation = Reply.MeanUtilisation;
  Row.ReportedAt = Now;
  setLimit(Request.Organisation, {Reply.Version, Reply.PerSecond, Reply.Burst});
  // Tokens of an older limit are not held once a newer one is known.
  bool IsCurrent = Reply.Version >= Row.Limit.Version;
  std::uint32_t Left = std::min(Reply.Granted, Request.Count);
  Left -= std::min(Left, 1U);
  if (Left > 0 && IsCurrent && SentAt + HoldTime > Now) {
    auto After = std::find_if(Row.Held.begin(), Row.Held.end(),
                              [&](const held_tokens &Held) {
                                return Held.ExpiresAt > SentAt + HoldTime;
                              });
    Row.Held.insert(After, {SentAt + HoldTime, Left});
  }
  if (!IsCurrent)
    return Reply.Granted > 0;
  slice_state &Slice = Row.Slices[Address];
  Slice.Fill = Reply.Fill;
  Slice.FillAt = Now;
  if (Reply.NextWaitMs > 0) {
    std::array<time_point, 2> &Until = Slice.EmptyUntil;
    time_point Empty = Now + milliseconds(Reply.NextWaitMs);
    Until[1] = std::max(Until[1], Empty);
    if (!Request.StartsProgram)
      Until[0] = std::max(Until[0], Empty);
  }
  return Reply.Granted > 0;
}

void quota_requester::recordFailure(const std::string &Address,
                                    const quota_request &Request,
                                    time_point Now) {
  row &Row = rowOf(Request.Organisation);
  Row.ExtraAsked -= std::min(Row.ExtraAsked, Request.Count - 1);
  Avoidance.recordFailure(Address, Now);
}

quota_result quota_requester::decide(std::string_view Organisation,
                                     bool StartsProgram,
                                     std::span<const quota_member> Members,
                                     std::size_t Hosts, time_point Now) {
  row &Row = rowOf(Organisation);
  bool AllReached = !Members.empty();
  bool OneReached = false;
  std::optional<milliseconds> Wait;
  for (const quota_member &Member : Members) {
    bool IsAvoided = Avoidance.isAvoided(Member.Address, Now);
    AllReached = AllReached && !IsAvoided;
    OneReached = OneReached || !IsAvoided;
    time_point MayAskAt =
        std::max(Avoidance.avoidedUntil(Member.Address),
                 IsAvoided ? time_point()
                           : emptyUntil(Row, Member.Address, StartsProgram));
    Wait = std::min(Wait.value_or(MayAskAt - Now), MayAskAt - Now);
  }
  if (!OneReached && !Members.empty() && takeLocalShare(Row, Hosts, Now))
    return {quota_outcome::Granted, milliseconds(0)};
  return {AllReached ? quota_outcome::LimitReached : quota_outcome::Unknown,
          std::max(Wait.value_or(UnknownRetryAfter), MinRetryAfter)};
}

// Whole requests in a window, so that the sum over all hosts has no addend for
// each of them: with 76 hosts one request each would be more than the slack.
bool quota_requester::takeLocalShare(row &Row, std::size_t Hosts,
                                     time_point Now) {
  double OfAllHosts =
      LocalShare * Row.Limit.PerSecond * secondsOf(Settings.Window);
  double InWindow = std::floor(
      OfAllHosts / static_cast<double>(std::max<std::size_t>(Hosts, 1)));
  if (InWindow < 1 || Settings.Window.count() <= 0)
    return false;
  double PerSecond = InWindow / secondsOf(Settings.Window);
  return Row.LocalShare.take(PerSecond, 0, milliseconds(0), Now).has_value();
}

std::optional<milliseconds>
quota_requester::emptyFor(std::string_view Organisation, bool StartsProgram,
                          std::span<const quota_member> Members,
                          time_point Now) const {
  auto Entry = Rows.find(Organisation);
  if (Entry == Rows.end())
    return std::nullopt;
  const row &Row = Entry->second;
  bool Holds = std::any_of(
      Row.Held.begin(), Row.Held.end(),
      [&](const held_tokens &Held) { return Held.ExpiresAt > Now; });
  if (Holds || Members.empty())
    return std::nullopt;
  std::optional<milliseconds> Wait;
  for (const quota_member &Member : Members) {
    milliseconds MemberWait =
        emptyUntil(Row, Member.Address, StartsProgram) - Now;
    if (MemberWait.count() <= 0)
      return std::nullopt;
    Wait = std::min(Wait.value_or(MemberWait), MemberWait);
  }
  return std::max(*Wait, MinRetryAfter);
}

bool quota_requester::isOverShare(std::string_view Organisation,
                                  time_point Now) const {
  auto Entry = Rows.find(Organisation);
  if (Entry == Rows.end())
    return false;
  const row &Row = Entry->second;
  return Row.ReportedAt && Now - *Row.ReportedAt < ReportLifetime &&
         Row.Utilisation > OverShare * Row.MeanUtilisation;
}

// -- For operators -----------------------------------------------------------

bool quota_requester::recordRefusal(std::string_view Organisation,
                                    time_point Now) {
  row &Row = rowOf(Organisation);
  ++Row.Refused;
  return Row.LogLimiter.allows(Now);
}

std::vector<std::pair<std::string, std::uint64_t>>
quota_requester::mostRefused() const {
  std::vector<std::pair<std::string, std::uint64_t>> Result;
  for (const auto &[Organisation, Row] : Rows)
    if (Row.Refused > 0)
      Result.emplace_back(Organisation, Row.Refused);
  std::sort(Result.begin(), Result.end(),
            [](const auto &Left, const auto &Right) {
              return Left.second > Right.second;
            });
  Result.resize(std::min(Result.size(), MaxListed));
  return Result;
}

} // namespace turmerichead::relay
