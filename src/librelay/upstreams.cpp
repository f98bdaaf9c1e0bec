#include "turmerichead/relay_upstreams.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <utility>

namespace turmerichead::relay {

namespace {

// Time for which other upstreams are preferred after a failure.
constexpr milliseconds AvoidTime{1500};
// Calls that wait this long without an answer, or for this many times the
// expected time if that is longer, make an upstream silent. It is tried again
// by calls that may be repeated; others, which would fail, wait for longer.
constexpr milliseconds MinSilence = service_activity::MaxPause;
constexpr double SilenceFactor = 8;
constexpr milliseconds SilentTrialTime{1500};
constexpr milliseconds SilentAvoidTime{10'000};
// A runner is slow if its mean time between events is above the median of its
// service times this factor.
constexpr double SlowFactor = 2.5;

// States of upstreams that are not registered.
constexpr std::size_t MaxRemembered = 4096;
// One of this many new chains may start in another data centre to measure it.
// At 1.5 new chains a second, a host has measured three others after 8 s.
constexpr std::uint64_t ChainsPerMeasurement = 4;
// Penalties; each is above the sum of those after it.
constexpr int BusyPenalty = 32; // Its limit leaves no permit.
constexpr int TriedPenalty = 16;
constexpr int FailedPenalty = 8;   // It failed lately or is silent.
constexpr int VanishedPenalty = 4; // Its entry was removed.
constexpr int FullPenalty = 2;     // All of its slots are in use.
constexpr int SlowPenalty = 1;
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

/// Returns the names of the penalties in a sum of them, the heaviest first.
std::vector<std::string_view> namesOfPenalties(int Sum) {
  constexpr std::array<std::pair<int, std::string_view>, 6> Names = {{
      {BusyPenalty, "limit reached"},
      {TriedPenalty, "tried"},
      {FailedPenalty, "failed or silent"},
      {VanishedPenalty, "vanished"},
      {FullPenalty, "full"},
      {SlowPenalty, "slow"},
  }};
  std::vector<std::string_view> Result;
  for (auto [Penalty, Name] : Names) {
    if (Sum < Penalty)
      continue;
    Result.push_back(Name);
    Sum -= Penalty;
  }
  return Result;
}

/// Returns how much longer a turn takes than one of \p ReferenceMs; 1 if the
/// difference is small or not known.
double slownessOf(double Ms, double ReferenceMs) {
  bool Differs =
      isClearlyShorter(Ms, ReferenceMs) || isClearlyShorter(ReferenceMs, Ms);
  return Differs ? Ms / ReferenceMs : 1;
}

/// Returns a value whose order is that of the hashes where all upstreams are
/// equally slow; otherwise the lowest value is that of an upstream with a
/// probability proportional to the square of its speed (weighted rendezvous
/// hashing with exponential variates).
double weightedHash(std::uint64_t Hash, double Slowness) {
  constexpr double Scale = 0x1p-53;
  constexpr unsigned UnusedBits = 11;
  double Uniform = static_cast<double>(Hash >> UnusedBits) * Scale;
  return -std::log(1 - Uniform) * Slowness * Slowness;
}

} // namespace

void upstream_table::put(const upstream &Upstream) {
  auto [Row, New] = Rows.try_emplace(Upstream.Id);
  bool Restarted = !New && Row->second.Upstream.StartedMs != Upstream.StartedMs;
  Row->second.Upstream = Upstream;
  Row->second.ExpiresAt.reset();
  if (Restarted) {
    Row->second.AvoidUntil = {};
    Row->second.Silence.restart();
    Row->second.Speed = {};
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

void upstream_table::removeExpired(time_point Now) {
  std::vector<std::string> Expired;
  for (const auto &[Id, Row] : Rows)
    if (Row.ExpiresAt && *Row.ExpiresAt <= Now)
      Expired.push_back(Id);
  for (const std::string &Id : Expired)
    remove(Id);
}

bool upstream_table::isNewChain(const placement &Placement, time_point Now) {
  if (Placement.AffinityKey.empty())
    return false;
  if (Placement.IsNewChain || Placement.PreviousUpstream.empty())
    return Placement.IsNewChain;
  const upstream_row *Home = find(Placement.PreviousUpstream);
  return !Home || !isReady(*Home, Placement.Service, Now);
}

double upstream_table::slowGapMs() {
  Gaps.clear();
  for (const candidate &Candidate : Candidates)
    if (Candidate.Row->Speed.of(time_kind::EventGap).meanMs() > 0)
      Gaps.push_back(Candidate.GapMs);
  constexpr std::size_t MinCompared = 3;
  if (Gaps.size() < MinCompared)
    return std::numeric_limits<double>::infinity();
  auto Median = Gaps.begin() + static_cast<std::ptrdiff_t>(Gaps.size() / 2);
  std::nth_element(Gaps.begin(), Median, Gaps.end());
  return SlowFactor * *Median;
}

void upstream_table::collect(const choice &Choice) {
  turn_shape Shape = Choice.Placement.Shape;
  Shape.IsCached = !Choice.IsNewChain;
  Speeds.start(Shape, Choice.Now);
  Candidates.clear();
  for (auto &[Id, Row] : Rows)
    if (isReady(Row, Choice.Placement.Service, Choice.Now))
      Candidates.push_back(
          {&Row, Speeds.add(Row.Upstream.DataCentre, Row.Speed)});
  Speeds.finish();
  for (candidate &Candidate : Candidates)
    Candidate.GapMs =
        Speeds.gapMs(Speeds.at(Candidate.DataCentre), Candidate.Row->Speed);
}

upstream_table::choice upstream_table::prepare(const placement &Placement,
                                               time_point Now) {
  choice Choice{Placement, Now};
  Choice.IsNewChain = isNewChain(Placement, Now);
  Choice.ActiveSince = activeSince(Placement.Service, Now);
  Choice.KeyHash =
      hash64(Placement.AffinityKey.empty() ? Placement.SpreadKey
                                           : Placement.AffinityKey);
  collect(Choice);
  Choice.SlowGapMs = slowGapMs();
  Choice.OwnTurnMs = Speeds.find(Placement.DataCentre).TurnMs;
  // Traffic splits use the low bits of the hash.
  constexpr unsigned SplitBits = 32;
  if (Choice.IsNewChain && Placement.PrefersNear &&
      (Choice.KeyHash >> SplitBits) % ChainsPerMeasurement == 0)
    Choice.ToMeasure = Speeds.toMeasure(Placement.DataCentre);
  return Choice;
}

int upstream_table::penaltyOf(const candidate &Candidate,
                              const choice &Choice) const {
  const placement &Placement = Choice.Placement;
  const upstream_row &Row = *Candidate.Row;
  const std::string &Id = Row.Upstream.Id;
  bool Tried = contains(Placement.Tried, Id);
  bool Full = Row.InFlight >= Row.Upstream.Slots;
  bool Busy = contains(Placement.Denied, Id) || isBusy(Row, Choice.Now) ||
              (Placement.AvoidsLimits && Row.State.Limit);
  bool Slow = Candidate.GapMs > Choice.SlowGapMs;
  bool Failed = Row.AvoidUntil > Choice.Now || isSilent(Candidate, Choice);
  return (Busy ? BusyPenalty : 0) + (Tried ? TriedPenalty : 0) +
         (Failed ? FailedPenalty : 0) + (Row.ExpiresAt ? VanishedPenalty : 0) +
         (Full ? FullPenalty : 0) + (Slow ? SlowPenalty : 0);
}

time_point upstream_table::activeSince(std::string_view Service,
                                       time_point Now) const {
  auto Activity = Activities.find(Service);
  return Activity == Activities.end() ? Now : Activity->second.activeSince(Now);
}

bool upstream_table::isSilent(const candidate &Candidate,
                              const choice &Choice) const {
  const upstream_row &Row = *Candidate.Row;
  milliseconds Waited =
      Row.Silence.waited(Row.InFlight, Choice.ActiveSince, Choice.Now);
  double ExpectedMs = Speeds.at(Candidate.DataCentre).EstimateMs.First;
  if (Waited < MinSilence ||
      static_cast<double>(Waited.count()) < SilenceFactor * ExpectedMs)
    return false;
  milliseconds AvoidedFor =
      Choice.Placement.IsRepeatable ? SilentTrialTime : SilentAvoidTime;
  return Choice.Now - Row.Silence.lastSentAt() < AvoidedFor;
}

int upstream_table::distanceOf(const candidate &Candidate,
                               const choice &Choice) const {
  const placement &Placement = Choice.Placement;
  const upstream &Upstream = Candidate.Row->Upstream;
  const auto &DataCentre = Speeds.at(Candidate.DataCentre);
  if (Upstream.Id == Placement.PreviousUpstream ||
      &DataCentre == Choice.ToMeasure)
    return 0;
  bool SavesTime = Choice.IsNewChain &&
                   isClearlyShorter(DataCentre.TurnMs, Choice.OwnTurnMs);
  bool IsNear = Upstream.DataCentre == Placement.DataCentre;
  return IsNear || SavesTime || !Placement.PrefersNear ? 1 : 2;
}

upstream_table::rank upstream_table::rankOf(const candidate &Candidate,
                                            const choice &Choice) const {
  const upstream_row &Row = *Candidate.Row;
  rank Rank;
  Rank.Penalty = penaltyOf(Candidate, Choice);
  if (Rank.Penalty >= BusyPenalty)
    Rank.Busy =
        std::max((Row.BusyUntil - Choice.Now) / BusyStep, std::int64_t{0});
  Rank.Distance = distanceOf(Candidate, Choice);
  Rank.Hash = hash64(Row.Upstream.Id, Choice.KeyHash);
  bool HasAffinity = !Choice.Placement.AffinityKey.empty();
  if (HasAffinity && !Choice.IsNewChain)
    return Rank;
  double Slowness = slownessOf(turnMs(Candidate), Choice.OwnTurnMs);
  if (HasAffinity)
    Rank.WeightedHash = weightedHash(Rank.Hash, Slowness);
  else
    Rank.Load = (Row.InFlight + 1) * Slowness;
  return Rank;
}

double upstream_table::turnMs(const candidate &Candidate) const {
  return Speeds.turnMs(Speeds.at(Candidate.DataCentre), Candidate.Row->Speed);
}

double upstream_table::finishMs(const candidate &Candidate) const {
  const upstream_row &Row = *Candidate.Row;
  double Slots = std::max(Row.Upstream.Slots, std::uint32_t{1});
  double Waiting = std::max(0.0, Row.InFlight + 1 - Slots);
  return turnMs(Candidate) * (1 + Waiting / Slots);
}

bool upstream_table::finishesFirst(const candidate &Second,
                                   const candidate &Best) const {
  auto IsMeasured = [](const candidate &Candidate) {
    return Candidate.Row->Speed.of(time_kind::EventGap).meanMs() > 0;
  };
  double SecondMs = finishMs(Second);
  double BestMs = finishMs(Best);
  return IsMeasured(Second) && IsMeasured(Best)
             ? SecondMs < BestMs
             : isClearlyShorter(SecondMs, BestMs);
}

upstream_table::shortlist upstream_table::firstTwo(const choice &Choice) const {
  shortlist List;
  for (const candidate &Candidate : Candidates) {
    rank Rank = rankOf(Candidate, Choice);
    if (!List.Best.Candidate || Rank < List.Best.Rank)
      List.Second = std::exchange(List.Best, {&Candidate, Rank});
    else if (!List.Second.Candidate || Rank < List.Second.Rank)
      List.Second = {&Candidate, Rank};
  }
  return List;
}

bool upstream_table::prefersSecond(const shortlist &List,
                                   const choice &Choice) const {
  const auto &[Best, Second] = List;
  const placement &Placement = Choice.Placement;
  bool EquallyGood = Second.Candidate &&
                     Second.Rank.Penalty == Best.Rank.Penalty &&
                     Second.Rank.Distance == Best.Rank.Distance;
  bool HasNoHome =
      Placement.IsNewChain || Choice.IsNewChain || !Placement.PrefersNear;
  return Placement.Shape.IsStream && HasNoHome && EquallyGood &&
         finishesFirst(*Second.Candidate, *Best.Candidate);
}

upstream_row *upstream_table::pick(const placement &Placement, time_point Now) {
  removeExpired(Now);
  choice Choice = prepare(Placement, Now);
  shortlist List = firstTwo(Choice);
  if (!List.Best.Candidate)
    return nullptr;
  return prefersSecond(List, Choice) ? List.Second.Candidate->Row
                                     : List.Best.Candidate->Row;
}

choice_rule upstream_table::ruleOf(const shortlist &List,
                                   const choice &Choice) const {
  const auto &[Best, Second] = List;
  if (!Best.Candidate)
    return choice_rule::NoneReady;
  if (!Second.Candidate)
    return choice_rule::OnlyReady;
  if (prefersSecond(List, Choice))
    return choice_rule::FinishesFirst;
  if (Best.Rank.Penalty != Second.Rank.Penalty)
    return choice_rule::Penalty;
  if (Best.Rank.Busy != Second.Rank.Busy)
    return choice_rule::Permit;
  if (Best.Rank.Load != Second.Rank.Load)
    return choice_rule::Load;
  if (Best.Rank.Distance != Second.Rank.Distance) {
    const upstream &Upstream = Best.Candidate->Row->Upstream;
    if (Upstream.Id == Choice.Placement.PreviousUpstream)
      return choice_rule::Home;
    return Best.Rank.Distance == 0 ? choice_rule::Measurement
                                   : choice_rule::DataCentre;
  }
  return Best.Rank.WeightedHash != Second.Rank.WeightedHash
             ? choice_rule::WeightedHash
             : choice_rule::Hash;
}

// Expired rows are not removed: they are no candidates in any case.
placement_report upstream_table::explain(const placement &Placement,
                                         time_point Now) {
  choice Choice = prepare(Placement, Now);
  shortlist List = firstTwo(Choice);
  placement_report Report;
  Report.Rule = ruleOf(List, Choice);
  if (List.Best.Candidate)
    Report.Chosen = prefersSecond(List, Choice) ? List.Second.Candidate->Row
                                                : List.Best.Candidate->Row;
  std::vector<ranked> Ranked;
  for (const candidate &Candidate : Candidates)
    Ranked.push_back({&Candidate, rankOf(Candidate, Choice)});
  std::sort(Ranked.begin(), Ranked.end(),
            [](const ranked &Left, const ranked &Right) {
              return Left.Rank < Right.Rank;
            });
  for (const ranked &Row : Ranked) {
    ranked_upstream &Candidate = Report.Candidates.emplace_back();
    Candidate.Row = Row.Candidate->Row;
    Candidate.Penalties = namesOfPenalties(Row.Rank.Penalty);
    if (isBusy(*Candidate.Row, Now))
      Candidate.BusyFor = Candidate.Row->BusyUntil - Now;
    Candidate.Distance = Row.Rank.Distance;
    Candidate.TurnMs = turnMs(*Row.Candidate);
    Candidate.FinishMs = finishMs(*Row.Candidate);
    Candidate.SamplesAge = Candidate.Row->Speed.age(Now);
  }
  return Report;
}

std::string_view nameOf(choice_rule Rule) {
  switch (Rule) {
  case choice_rule::NoneReady:
    return "no upstream is ready";
  case choice_rule::OnlyReady:
    return "the only candidate";
  case choice_rule::Penalty:
    return "least penalty";
  case choice_rule::Permit:
    return "permits are available earliest";
  case choice_rule::Load:
    return "least load";
  case choice_rule::Home:
    return "home of the program";
  case choice_rule::Measurement:
    return "measurement of another data centre";
  case choice_rule::DataCentre:
    return "preferred data centre";
  case choice_rule::WeightedHash:
    return "rendezvous hash weighted by speed";
  case choice_rule::Hash:
    return "rendezvous hash";
  case choice_rule::FinishesFirst:
    return "predicted to finish first of the first two";
  }
  return "unknown";
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

std::size_t upstream_table::inFlightAtAnswering(std::string_view Service,
                                                time_point Now) const {
  std::size_t Count = 0;
  time_point ActiveSince = activeSince(Service, Now);
  for (const auto &[Id, Row] : Rows)
    if (Row.Upstream.Service == Service &&
        Row.Silence.waited(Row.InFlight, ActiveSince, Now) < MinSilence)
      Count += Row.InFlight;
  return Count;
}

void upstream_table::recordSent(upstream_row &Row, time_point Now) {
  Row.Silence.recordSent(Row.InFlight, Now);
  ++Row.InFlight;
}

void upstream_table::recordEnd(std::string_view Id, time_point Now) {
  upstream_row *Row = find(Id);
  if (!Row || Row->InFlight == 0)
    return;
  --Row->InFlight;
  Row->Silence.recordEnd(Row->InFlight, activeSince(Row->Upstream.Service, Now),
                         Now);
}

void upstream_table::recordAnswer(std::string_view Id, time_point Now) {
  upstream_row *Row = find(Id);
  if (!Row)
    return;
  Row->Silence.recordAnswer(Now);
  Activities.try_emplace(Row->Upstream.Service).first->second.recordAnswer(Now);
}

void upstream_table::recordFailure(std::string_view Id, time_point Now) {
  if (upstream_row *Row = find(Id))
    Row->AvoidUntil = Now + AvoidTime;
}

void upstream_table::recordTime(std::string_view Id, time_kind Kind,
                                milliseconds Time, time_point Now) {
  upstream_row *Row = find(Id);
  if (!Row)
    return;
  Row->Speed.record(Kind, Time, Now);
  Row->Silence.recordAnswer(Now);
}

} // namespace turmerichead::relay
