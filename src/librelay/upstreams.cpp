#include "turmerichead/relay_upstreams.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace turmerichead::relay {

namespace {

// Time for which other upstreams are preferred after a failure.
constexpr milliseconds AvoidTime{1500};
// Weight of a new sample in the mean time between events.
constexpr double GapWeight = 0.15;
// A runner is slow if its mean time between events is above the median of its
// service times this factor.
constexpr double SlowFactor = 2.5;

// States of upstreams that are not registered.
constexpr std::size_t MaxRemembered = 4096;
// Differences in the time until there are permits that don't count.
constexpr milliseconds BusyStep{64};

bool contains(std::span<const std::string> Ids, std::string_view Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

bool isBusy(const upstream_row &Row, time_point Now) {
  return Row.State.Limit && Row.BusyUntil > Now;
}

bool isReady(const upstream_row &Row, std::string_view Service,
             time_point Now) {
  bool Expired = Row.ExpiresAt && *Row.ExpiresAt <= Now;
  return Row.Upstream.Service == Service && Row.takesCalls() && !Expired;
}

} // namespace

void upstream_table::put(const upstream &Upstream) {
  auto [Row, New] = Rows.try_emplace(Upstream.Id);
  bool Restarted = !New && Row->second.Upstream.StartedMs != Upstream.StartedMs;
  Row->second.Upstream = Upstream;
  Row->second.ExpiresAt.reset();
  if (Restarted) {
    Row->second.AvoidUntil = {};
    Row->second.EventGapMs = 0;
    Row->second.State = {};
    Row->second.BusyUntil = {};
  }
  auto Known = Remembered.find(Upstream.Id);
  if (Known == Remembered.end())
    return;
  if (New && Known->second.StartedMs == Upstream.StartedMs)
    Row->second.State = Known->second.State;
  Remembered.erase(Known);
}

void upstream_table::remove(std::string_view Id) {
  auto Row = Rows.find(Id);
  if (Row == Rows.end())
    return;
  if (Row->second.State != upstream_state{})
    remember(runOf(Row->second.Upstream)) = Row->second.State;
  Rows.erase(Row);
}

upstream_state &upstream_table::remember(const upstream_run &Run) {
  auto Known = Remembered.find(Run.Id);
  if (Known == Remembered.end()) {
    if (Remembered.size() >= MaxRemembered)
      Remembered.erase(Remembered.begin());
    Known = Remembered.try_emplace(Run.Id).first;
  }
  if (Known->second.StartedMs != Run.StartedMs)
    Known->second = {Run.StartedMs, {}};
  return Known->second.State;
}

upstream_state *upstream_table::stateOf(const upstream_run &Run) {
  upstream_row *Row = find(Run.Id);
  if (!Row)
    return &remember(Run);
  return runOf(Row->Upstream) == Run ? &Row->State : nullptr;
}

void upstream_table::expireAt(std::string_view Id, time_point At) {
  if (upstream_row *Row = find(Id))
    Row->ExpiresAt = At;
}

upstream_row *upstream_table::find(std::string_view Id) {
  auto Row = Rows.find(Id);
  return Row == Rows.end() ? nullptr : &Row->second;
}

double upstream_table::slowGapMs(std::string_view Service) const {
  std::vector<double> Gaps;
  for (const auto &[Id, Row] : Rows)
    if (Row.Upstream.Service == Service && Row.EventGapMs > 0)
      Gaps.push_back(Row.EventGapMs);
  constexpr std::size_t MinCompared = 3;
  if (Gaps.size() < MinCompared)
    return std::numeric_limits<double>::infinity();
  auto Median = Gaps.begin() + static_cast<std::ptrdiff_t>(Gaps.size() / 2);
  std::nth_element(Gaps.begin(), Median, Gaps.end());
  return SlowFactor * *Median;
}

upstream_table::rank upstream_table::rankOf(const upstream_row &Row,
                                            const placement &Placement,
                                            double SlowGapMs,
                                            time_point Now) const {
  const std::string &Id = Row.Upstream.Id;
  bool Tried = contains(Placement.Tried, Id);
  bool Full = Row.InFlight >= Row.Upstream.Slots;
  bool Denied = contains(Placement.Denied, Id);
  bool Busy =
      Denied || isBusy(Row, Now) || (Placement.AvoidsLimits && Row.State.Limit);
  int Penalty = (Busy ? 32 : 0) + (Tried ? 16 : 0) +
                (Row.AvoidUntil > Now ? 8 : 0) + (Row.ExpiresAt ? 4 : 0) +
                (Full ? 2 : 0) + (Row.EventGapMs > SlowGapMs ? 1 : 0);
  bool HasAffinity = !Placement.AffinityKey.empty();
  std::uint32_t Load = HasAffinity ? 0 : Row.InFlight;
  int Distance = Id == Placement.PreviousUpstream                  ? 0
                 : Row.Upstream.DataCentre == Placement.DataCentre ? 1
                 : Placement.PrefersNear                           ? 2
                                                                   : 1;
  std::string_view Key =
      HasAffinity ? Placement.AffinityKey : Placement.SpreadKey;
  std::int64_t BusySteps =
      Busy ? std::max((Row.BusyUntil - Now) / BusyStep, std::int64_t{0}) : 0;
  return {Penalty, BusySteps, Load, Distance, hash64(Id, hash64(Key))};
}

upstream_row *upstream_table::pick(const placement &Placement, time_point Now) {
  std::vector<std::string> Expired;
  for (const auto &[Id, Row] : Rows)
    if (Row.ExpiresAt && *Row.ExpiresAt <= Now)
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    remove(Id);
  double SlowGapMs = slowGapMs(Placement.Service);
  upstream_row *Best = nullptr;
  upstream_row *Second = nullptr;
  rank BestRank;
  rank SecondRank;
  for (auto &[Id, Row] : Rows) {
    if (!isReady(Row, Placement.Service, Now))
      continue;
    rank Rank = rankOf(Row, Placement, SlowGapMs, Now);
    if (!Best || Rank < BestRank) {
      Second = std::exchange(Best, &Row);
      SecondRank = std::exchange(BestRank, Rank);
    } else if (!Second || Rank < SecondRank) {
      Second = &Row;
      SecondRank = Rank;
    }
  }
  bool EquallyGood = Second && SecondRank.Penalty == BestRank.Penalty &&
                     SecondRank.Distance == BestRank.Distance;
  bool HasNoHome = Placement.IsNewChain || !Placement.PrefersNear;
  if (HasNoHome && EquallyGood && Second->EventGapMs > 0 &&
      Second->EventGapMs < Best->EventGapMs)
    return Second;
  return Best;
}

bool upstream_table::hasReady(std::string_view Service, time_point Now) const {
  return std::any_of(Rows.begin(), Rows.end(), [&](const auto &Entry) {
    return isReady(Entry.second, Service, Now);
  });
}

bool upstream_table::hasAlternative(std::string_view Service,
                                    std::string_view Id, time_point Now) const {
  return std::any_of(Rows.begin(), Rows.end(), [&](const auto &Entry) {
    const upstream_row &Row = Entry.second;
    return Entry.first != Id && isReady(Row, Service, Now) &&
           !isBusy(Row, Now) && Row.InFlight < Row.Upstream.Slots &&
           Row.AvoidUntil <= Now;
  });
}

bool upstream_table::hasLimits(std::string_view Service, time_point Now) const {
  return std::any_of(Rows.begin(), Rows.end(), [&](const auto &Entry) {
    return Entry.second.State.Limit && isReady(Entry.second, Service, Now);
  });
}

std::uint32_t upstream_table::readySlots(std::string_view Service,
                                         time_point Now) const {
  std::uint32_t Slots = 0;
  for (const auto &[Id, Row] : Rows)
    Slots += isReady(Row, Service, Now) ? Row.Upstream.Slots : 0;
  return Slots;
}

std::size_t upstream_table::inFlight(std::string_view Service) const {
  std::size_t Count = 0;
  for (const auto &[Id, Row] : Rows)
    Count += Row.Upstream.Service == Service ? Row.InFlight : 0;
  return Count;
}

void upstream_table::recordFailure(std::string_view Id, time_point Now) {
  if (upstream_row *Row = find(Id))
    Row->AvoidUntil = Now + AvoidTime;
}

void upstream_table::recordEventGap(std::string_view Id, milliseconds Gap) {
  upstream_row *Row = find(Id);
  if (!Row)
    return;
  auto Ms = static_cast<double>(Gap.count());
  Row->EventGapMs = Row->EventGapMs > 0
                        ? Row->EventGapMs + GapWeight * (Ms - Row->EventGapMs)
                        : std::max(Ms, 1.0);
}

} // namespace turmerichead::relay
