// Runner updates, and management of the runners' prefix caches.
#include "gate_core_pvt.h"

#include <algorithm>

namespace turmerichead::sched::pvt {

namespace {
/// Assumed run time of a request at a runner before one has finished.
constexpr double FirstServiceMs = 3'000;
/// Time after a load report for which the reported load from other sources
/// counts.
constexpr milliseconds OtherLoadValidFor{3'000};
/// Weight of the latest report in the moving mean of CacheScale.
constexpr double ScaleWeight = 0.1;
} // namespace

// ---- Runners --------------------------------------------------------------

runner_row *gate_core::findRunner(std::string_view Name) {
  auto Found = RunnerNames.find(Name);
  return Found == RunnerNames.end() ? nullptr : Runners.find(Found->second);
}

void gate_core::upsertRunner(const runner_info &Info) {
  if (runner_row *Known = findRunner(Info.Name)) {
    Known->Info = Info;
    Known->Removed = false;
    return;
  }
  runner_row Row(Settings);
  Row.Info = Info;
  Row.ServiceMs = FirstServiceMs;
  RunnerNames.emplace(Info.Name, Runners.insert(std::move(Row)));
}

void gate_core::removeRunner(std::string_view Name) {
  auto Found = RunnerNames.find(Name);
  if (Found == RunnerNames.end())
    return;
  runner_id Id = Found->second;
  Caches.dropRunner(Id);
  runner_row &Row = *Runners.find(Id);
  Row.Removed = true;
  if (Row.inFlight() > 0)
    return;
  RunnerNames.erase(Found);
  Runners.erase(Id);
}

void gate_core::reportLoad(std::string_view Name, const load_report &Load,
                           time_point Now) {
  runner_row *Row = findRunner(Name);
  if (!Row)
    return;
  // The report is delayed: it may include any request that this gate had in
  // flight there since the report before last.
  int Own = std::max(Row->PeakInFlight, Row->PreviousPeak);
  Row->OtherLoad = std::max(0, Load.Running + Load.Waiting - Own);
  Row->OtherLoadUntil = Now + OtherLoadValidFor;
  Row->ReportedWaiting = Load.Waiting;
  auto Sum = static_cast<double>(Caches.usedAt(RunnerNames.find(Name)->second));
  if (Load.CacheUsed > 0 && Sum > 0) {
    double Scale = static_cast<double>(Load.CacheUsed) / Sum;
    Row->CacheScale +=
        ScaleWeight * (std::clamp(Scale, 0.2, 2.0) - Row->CacheScale);
  }
  Row->PreviousPeak = Row->PeakInFlight;
  Row->PeakInFlight = Row->inFlight();
}

void gate_core::cacheEvent(std::string_view Name, const cache_event &Event,
                           time_point Now) {
  auto Found = RunnerNames.find(Name);
  if (Found == RunnerNames.end())
    return;
  runner_id Runner = Found->second;
  if (Event.Kind == cache_event::kind::Cleared) {
    Caches.dropRunner(Runner);
    return;
  }
  auto Program = Caches.find(Event.Program);
  if (!Program)
    return; // Unknown to this gate; a sweep decides whether to release it.
  program_row &Row = *Caches.row(*Program);
  auto Copy = std::ranges::find(Row.Copies, Runner, &cached_copy::Runner);
  bool Known = Copy != Row.Copies.end();
  // An event older than the last use describes an outdated state.
  if (Known && Copy->LastUse > Now - Event.Age)
    return;
  if (Event.Kind == cache_event::kind::Stored) {
    Caches.store(*Program, Runner, Event.Tokens, Now - Event.Age);
    return;
  }
  Caches.drop(*Program, Runner);
  Caches.eraseIfIdle(*Program);
}

// ---- Prefix caches --------------------------------------------------------

void gate_core::release(program_id Program, runner_id Runner) {
  const runner_row *Row = Runners.find(Runner);
  if (Row && !Row->Removed)
    PendingReleases.push_back({Caches.row(Program)->Name, Row->Info.Name});
  Caches.drop(Program, Runner);
}

void gate_core::releaseAll(program_id Program) {
  std::vector<cached_copy> Copies = Caches.row(Program)->Copies;
  for (const cached_copy &Copy : Copies)
    release(Program, Copy.Runner);
}

token_count gate_core::cacheUsed(runner_id Id, const runner_row &Row) const {
  return static_cast<token_count>(Row.CacheScale *
                                  static_cast<double>(Caches.usedAt(Id)));
}

token_count gate_core::limitOf(const runner_row &Row, double Part) const {
  // In the units of Caches.usedAt(), the sum of the copies.
  return static_cast<token_count>(
      Part * static_cast<double>(Row.Info.CacheTokens) / Row.CacheScale);
}

std::optional<runner_id> gate_core::findMoveTarget(token_count Tokens,
                                                   runner_id Except,
                                                   time_point Now) const {
  std::optional<runner_id> Best;
  token_count BestRoom = Tokens;
  for (runner_id Id : ViewIds) {
    const runner_row *Row = Runners.find(Id);
    if (!Row || Id == Except || !takesWork(*Row, Now))
      continue;
    token_count Room =
        limitOf(*Row, Settings.CacheLowWater) - Caches.usedAt(Id);
    if (Room <= BestRoom)
      continue;
    Best = Id;
    BestRoom = Room;
  }
  return Best;
}

void gate_core::shrinkFullCaches(time_point Now) {
  for (runner_id Id : ViewIds) {
    const runner_row *Row = Runners.find(Id);
    if (!Row || Row->Info.CacheTokens <= 0)
      continue;
    token_count Limit = limitOf(*Row, Settings.CacheHighWater);
    if (Caches.usedAt(Id) <= Limit)
      continue;
    for (const copy_location &Copy : Caches.excessCopies(Id, Limit)) {
      token_count Tokens = Caches.tokensAt(Copy.Program, Id);
      auto Target = Settings.Placement.MoveCache
                        ? findMoveTarget(Tokens, Id, Now)
                        : std::nullopt;
      if (!Target) {
        release(Copy.Program, Id);
        Caches.eraseIfIdle(Copy.Program);
        continue;
      }
      Moves.push_back({Caches.row(Copy.Program)->Name, Row->Info.Name,
                       Runners.find(*Target)->Info.Name});
      Caches.drop(Copy.Program, Id);
      Caches.store(Copy.Program, *Target, Tokens, Now);
      ++Totals.CacheMoves;
    }
  }
}

void gate_core::programPaused(std::string_view Program,
                              milliseconds ExpectedPause, time_point Now) {
  if (auto Id = Caches.find(Program))
    Caches.row(*Id)->ExpectedResume = Now + ExpectedPause;
}

void gate_core::programEnded(std::string_view Program) {
  for (program_id Id : Caches.programTree(Program)) {
    program_row &Row = *Caches.row(Id);
    Row.Ended = true;
    if (Row.Active > 0)
      continue; // Released when its last request has finished.
    if (Settings.ReleaseEnded)
      releaseAll(Id);
    Caches.eraseIfIdle(Id);
  }
}

void gate_core::applyListing(std::string_view Runner,
                             std::span<const std::string> Listed,
                             std::span<const std::string> Inactive,
                             time_point Now) {
  auto Found = RunnerNames.find(Runner);
  if (Found == RunnerNames.end())
    return;
  runner_id Id = Found->second;
  for (const std::string &Program : Inactive) {
    PendingReleases.push_back({Program, std::string(Runner)});
    if (auto Known = Caches.find(Program)) {
      Caches.drop(*Known, Id);
      Caches.eraseIfIdle(*Known);
    }
  }
  std::set<std::string_view> Present(Listed.begin(), Listed.end());
  auto Cached = Caches.programsAt(Id);
  std::vector<program_id> Before(Cached.begin(), Cached.end());
  for (program_id Program : Before) {
    const program_row &Row = *Caches.row(Program);
    if (Row.Active > 0 || Present.contains(Row.Name))
      continue;
    Caches.drop(Program, Id);
    Caches.eraseIfIdle(Program);
  }
  for (const std::string &Program : Listed)
    if (auto Known = Caches.find(Program))
      restoreListedCopy(*Known, Id, Now);
}

void gate_core::restoreListedCopy(program_id Program, runner_id Runner,
                                  time_point Now) {
  // A listing has no lengths. A listed copy that was assumed to be evicted is
  // given the largest length that was computed for the program.
  const program_row &Row = *Caches.row(Program);
  if (Row.Ended || Caches.tokensAt(Program, Runner) > 0)
    return;
  if (Row.LongestComputed > 0)
    Caches.store(Program, Runner, Row.LongestComputed, Now);
}

// ---- Snapshot -------------------------------------------------------------

gate_snapshot gate_core::snapshot(time_point Now) const {
  gate_snapshot Figures = Totals;
  Figures.Queued = Queued;
  Figures.OrdinaryShareUnderPressure = Floor.ordinaryShare();
  Runners.forEach([&](runner_id, const runner_row &Row) {
    for (std::size_t I = 0; I < RankCount; ++I)
      Figures.InFlight[I] += static_cast<std::size_t>(Row.InFlight[I]);
    if (takesWork(Row, Now))
      Figures.Slots += static_cast<std::size_t>(Row.Info.Slots);
    Figures.OpenBreakers += !Row.Removed && !Row.Breaker.allows(Now);
  });
  Figures.ExpectedWait = expectedWait(rank::Ordinary, Now);
  return Figures;
}

} // namespace turmerichead::sched::pvt
