// The steps of a gate's tick.
#include "gate_core_pvt.h"

#include <algorithm>

namespace turmerichead::sched::pvt {

namespace {
/// Fraction of its time that an engine spends on prefill while it decodes.
constexpr double PrefillShare = 0.5;
} // namespace

bool gate_core::takesWork(const runner_row &Row, time_point Now) const {
  return !Row.Removed && Row.Info.Usable &&
         Row.Info.Phase == runner_phase::Live && Row.Breaker.allows(Now);
}

void gate_core::expireDeadlines(time_point Now) {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now)
    refuseQueued(Deadlines.begin()->second, refusal_reason::DeadlinePassed,
                 milliseconds(0));
}

void gate_core::beginTick(time_point Now) {
  Grants.clear();
  Refusals.clear();
  Moves.clear();
  expireDeadlines(Now);
  ViewIds.clear();
  BaseViews.clear();
  CacheCapacity = 0;
  Runners.forEach([&](runner_id Id, runner_row &Row) {
    Row.Waiters = 0;
    runner_view View;
    View.Slots = Row.Info.Slots;
    View.Eligible = takesWork(Row, Now);
    View.Leaving = Row.Info.Phase == runner_phase::Leaving;
    View.Rates = Row.Info.Rates;
    View.ReportedWaiting = Row.ReportedWaiting;
    ViewIds.push_back(Id);
    BaseViews.push_back(View);
    if (View.Eligible && Row.Info.CacheTokens > 0) {
      CacheCapacity +=
          static_cast<double>(Row.Info.CacheTokens) / Row.CacheScale;
    }
  });
  for (rank Rank : {rank::Urgent, rank::Ordinary})
    CacheFill[indexOf(Rank)] =
        CacheCapacity > 0
            ? static_cast<double>(Caches.usedBy(Rank)) / CacheCapacity
            : 0;
  for (std::size_t I = 0; I < RankCount; ++I)
    Cursors[I] = {Queues[I].begin(), 0};
  Views = BaseViews;
  for (std::size_t I = 0; I < ViewIds.size(); ++I)
    refreshView(I, Now);
}

void gate_core::refreshView(std::size_t Index, time_point Now) {
  const runner_row &Row = *Runners.find(ViewIds[Index]);
  runner_view &View = BaseViews[Index];
  int OtherLoad = Now < Row.OtherLoadUntil ? Row.OtherLoad : 0;
  View.Eligible = takesWork(Row, Now);
  View.InFlight = Row.inFlight() + OtherLoad;
  View.Available = View.Eligible && View.InFlight < View.Slots;
  View.CacheUsed = cacheUsed(ViewIds[Index], Row);
  View.CacheCapacity = Row.Info.CacheTokens;
  double Busy = Row.PrefillUntilMs - static_cast<double>(Now.Ms);
  View.PrefillBacklogMs = std::max(0.0, Busy);
  double SlotMs = Row.ServiceMs / std::max(1, View.Slots);
  View.WaitMs = SlotMs * (1 + Row.Waiters);
}

bool gate_core::hasFreeSlot() const {
  return std::ranges::any_of(BaseViews, &runner_view::Available);
}

std::array<std::size_t, RankCount> gate_core::queueOrder() const {
  std::size_t First = indexOf(rank::Urgent);
  if (Floor.isOrdinaryDue() && !Queues[indexOf(rank::Ordinary)].empty())
    First = indexOf(rank::Ordinary);
  return {First, 1 - First};
}

bool gate_core::isHeadOfProgram(const request_row &Row) const {
  // A retry or a hedge may run in parallel with the original attempt.
  if (!Row.Request.AvoidRunner.empty())
    return true;
  return ByProgram.at(Row.Program).front() == Row.Key.Request;
}

bool gate_core::mayStart(const request_row &Row, time_point Now) const {
  if (Row.Request.Started)
    return true;
  rank Rank = Row.Request.Rank;
  double Limit = Settings.StartCacheFill[indexOf(Rank)];
  double Used = CacheFill[0] + CacheFill[1];
  // The floor applies to cache memory as well. Otherwise urgent programs could
  // fill the caches, no ordinary program could start, and no ordinary call
  // would be queued that the floor could be granted to.
  double Reserved = Settings.OrdinaryMemory * Settings.OrdinaryFloor *
                    Settings.StartCacheFill[indexOf(rank::Urgent)];
  double Ordinary = CacheFill[indexOf(rank::Ordinary)];
  if (Rank == rank::Ordinary && Ordinary < Reserved)
    return true;
  if (Rank == rank::Urgent)
    Used += std::max(0.0, Reserved - Ordinary);
  if (Used <= Limit)
    return true;
  return Now - Row.QueuedAt >= Settings.MaxCacheWait;
}

request_row *gate_core::nextCandidate(std::size_t Queue, time_point Now) {
  cursor &Cursor = Cursors[Queue];
  while (Cursor.Next != Queues[Queue].end() &&
         Cursor.Scanned < Settings.ScanLimit) {
    request_id Id = Cursor.Next->Request;
    ++Cursor.Next;
    request_row &Row = *Requests.find(Id);
    if (!isHeadOfProgram(Row))
      continue;
    ++Cursor.Scanned;
    if (!mayStart(Row, Now))
      continue;
    poison_state State = Poison.stateOf(Row.Request.Fingerprint, Now);
    if (State != poison_state::Quarantined)
      return &Row;
    refuseQueued(Id, refusal_reason::PoisonRequest, milliseconds(0));
  }
  return nullptr;
}

void gate_core::applyPoisonRule(const request_row &Row, time_point Now) {
  std::uint64_t Fingerprint = Row.Request.Fingerprint;
  if (Fingerprint == 0 || !Settings.Poison.Enabled)
    return;
  auto Found = ByFingerprint.find(Fingerprint);
  bool HasCopies = Found != ByFingerprint.end();
  bool Suspect = Poison.stateOf(Fingerprint, Now) == poison_state::Suspect;
  if (!HasCopies && !Suspect)
    return;
  std::vector<runner_id> Used;
  if (HasCopies)
    for (request_id Id : Found->second)
      if (std::ranges::find(Used, Requests.find(Id)->Runner) == Used.end())
        Used.push_back(Requests.find(Id)->Runner);
  // A hedge or retry may add a second runner for the same fingerprint; no
  // request may add a third.
  bool MaySpread = !Row.Request.AvoidRunner.empty() && Used.size() < 2;
  for (std::size_t I = 0; I < Views.size(); ++I) {
    bool Excluded = false;
    if (Suspect)
      Excluded = HasCopies || Runners.find(ViewIds[I])->SuspectsInFlight > 0;
    else if (!MaySpread)
      Excluded = std::ranges::find(Used, ViewIds[I]) == Used.end();
    if (Excluded)
      Views[I].Available = false;
    if (Excluded && !Suspect)
      Views[I].Eligible = false;
  }
}

std::span<const runner_view> gate_core::viewsFor(const request_row &Row,
                                                 time_point Now) {
  std::ranges::copy(BaseViews, Views.begin());
  const program_row &Program = *Caches.row(Row.Program);
  for (const cached_copy &Copy : Program.Copies) {
    auto At = std::ranges::find(ViewIds, Copy.Runner);
    if (At != ViewIds.end())
      Views[static_cast<std::size_t>(At - ViewIds.begin())].Cached =
          std::min(Copy.Tokens, Row.Request.PromptTokens);
  }
  bool IsOrdinary = Row.Request.Rank == rank::Ordinary;
  for (std::size_t I = 0; I < Views.size(); ++I) {
    const runner_row &Runner = *Runners.find(ViewIds[I]);
    if (Runner.Info.Name == Row.Request.AvoidRunner) {
      Views[I].Eligible = false;
      Views[I].Available = false;
    }
    auto Reserve = static_cast<int>(Settings.UrgentReserve * Views[I].Slots);
    int Used = Runner.InFlight[indexOf(rank::Ordinary)];
    if (IsOrdinary && Used >= Views[I].Slots - Reserve)
      Views[I].Available = false;
  }
  applyPoisonRule(Row, Now);
  return Views;
}

placement_query gate_core::queryOf(const request_row &Row,
                                   time_point Now) const {
  return {Row.Request.PromptTokens, Row.QueuedAt, Now};
}

void gate_core::countWaiter(std::size_t View, time_point Now) {
  ++Runners.find(ViewIds[View])->Waiters;
  refreshView(View, Now);
}

void gate_core::grantTo(request_row &Row, const placement &Choice,
                        time_point Now) {
  runner_row &Runner = *Runners.find(ViewIds[Choice.Runner]);
  const runner_view &View = Views[Choice.Runner];
  std::size_t Rank = indexOf(Row.Request.Rank);
  removeFromQueue(Row);
  Row.InFlight = true;
  Row.Runner = ViewIds[Choice.Runner];
  Row.Epoch = Runner.Epoch;
  Row.GrantedAt = Now;

  grant Grant{Row.Key.Request, Runner.Info.Name, {}, 0};
  token_count Cached = View.Cached;
  if (Choice.MoveFrom) {
    Cached = Views[*Choice.MoveFrom].Cached;
    Grant.MoveCacheFrom = Runners.find(ViewIds[*Choice.MoveFrom])->Info.Name;
    Grant.MoveTokens = Cached;
    Caches.drop(Row.Program, ViewIds[*Choice.MoveFrom]);
    ++Totals.CacheMoves;
  }
  double PrefillMs = static_cast<double>(Row.Request.PromptTokens - Cached) *
                     Runner.Info.Rates.PrefillMsPerToken;
  Runner.PrefillUntilMs =
      std::max(Runner.PrefillUntilMs, static_cast<double>(Now.Ms)) +
      PrefillMs / PrefillShare;
  double DecodeMs = OutputMean * Runner.Info.Rates.DecodeMsPerToken /
                    std::max(1, Runner.Info.Slots);
  Row.WorkMs = PrefillMs + DecodeMs;
  Row.Charged = Queued[1 - Rank] > 0;
  Floor.charge(Row.Request.Rank, Row.WorkMs, Row.Charged);
  Totals.WorkMs[Rank] += Row.WorkMs;
  ++Totals.Granted[Rank];
  if (!Row.Request.Started)
    Starts[Rank].count(Now);
  token_count Added =
      Row.Request.PromptTokens - Caches.tokensAt(Row.Program, Row.Runner);
  if (CacheCapacity > 0 && Added > 0)
    CacheFill[Rank] += static_cast<double>(Added) / CacheCapacity;
  Caches.store(Row.Program, Row.Runner, Row.Request.PromptTokens, Now);

  ++Runner.InFlight[Rank];
  Runner.PeakInFlight = std::max(Runner.PeakInFlight, Runner.inFlight());
  Runner.Breaker.started(Now);
  std::uint64_t Fingerprint = Row.Request.Fingerprint;
  Row.Suspect = Poison.stateOf(Fingerprint, Now) == poison_state::Suspect;
  Runner.SuspectsInFlight += Row.Suspect ? 1 : 0;
  if (Fingerprint != 0)
    ByFingerprint[Fingerprint].push_back(Row.Key.Request);
  Grants.push_back(std::move(Grant));
  refreshView(Choice.Runner, Now);
}

void gate_core::endTick(time_point Now) {
  if (Settings.PauseAware)
    shrinkFullCaches(Now);
  Releases.swap(PendingReleases);
  PendingReleases.clear();
  Totals.Releases += Releases.size();
}

} // namespace turmerichead::sched::pvt
