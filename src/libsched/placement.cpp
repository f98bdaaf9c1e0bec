#include "turmerichead/sched_placement.h"

#include <algorithm>
#include <limits>

namespace turmerichead::sched {

namespace {

/// Returns the eligible runner with the longest cached prefix.
std::optional<std::size_t> bestCached(std::span<const runner_view> Runners) {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Runners.size(); ++I) {
    const runner_view &Runner = Runners[I];
    if (!Runner.Eligible || Runner.Cached == 0)
      continue;
    if (!Best || Runner.Cached > Runners[*Best].Cached)
      Best = I;
  }
  return Best;
}

/// Returns the runner with the longest cached prefix of all. Runners that are
/// not eligible count, since the cache of a leaving runner can be copied.
std::optional<std::size_t> bestSource(std::span<const runner_view> Runners) {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Runners.size(); ++I)
    if (Runners[I].Cached > 0 &&
        (!Best || Runners[I].Cached > Runners[*Best].Cached))
      Best = I;
  return Best;
}

/// Returns the fraction of the slots in use.
double fillOf(const runner_view &Runner) {
  if (Runner.Slots <= 0)
    return 1;
  return static_cast<double>(Runner.InFlight) / Runner.Slots;
}

std::optional<std::size_t> leastLoaded(std::span<const runner_view> Runners) {
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Runners.size(); ++I)
    if (Runners[I].Available &&
        (!Best || fillOf(Runners[I]) < fillOf(Runners[*Best])))
      Best = I;
  return Best;
}

double prefillMs(const runner_view &Runner, token_count Tokens) {
  return static_cast<double>(Tokens) * Runner.Rates.PrefillMsPerToken;
}

double moveMs(const runner_view &Runner, token_count Tokens) {
  return Runner.Rates.MoveFixedMs +
         static_cast<double>(Tokens) * Runner.Rates.MoveMsPerToken;
}

/// Returns the cost in milliseconds that a request causes to other programs
/// by the tokens it adds to a runner's cache.
double memoryMs(const placement_settings &Settings,
                const placement_query &Query, const runner_view &Runner) {
  if (Runner.CacheCapacity <= 0)
    return 0;
  auto Capacity = static_cast<double>(Runner.CacheCapacity);
  auto Used = static_cast<double>(Runner.CacheUsed);
  auto Added = static_cast<double>(Query.PromptTokens - Runner.Cached);
  double Over = Used + Added - Settings.CacheHighWater * Capacity;
  double Evicted = std::clamp(Over, 0.0, Added);
  return Evicted * Runner.Rates.PrefillMsPerToken +
         Settings.FullCacheMs * Used / Capacity *
             (Added / static_cast<double>(Query.PromptTokens));
}

/// Cost of a runner for a request, and the runner to copy the prefix from if
/// that is cheaper than to compute it.
struct cost {
  double Ms = std::numeric_limits<double>::infinity();
  std::optional<std::size_t> MoveFrom;
};

cost costAt(const placement_settings &Settings, const placement_query &Query,
            std::span<const runner_view> Runners, std::size_t Index,
            std::optional<std::size_t> Source) {
  const runner_view &Runner = Runners[Index];
  cost Cost;
  Cost.Ms = prefillMs(Runner, Query.PromptTokens - Runner.Cached);
  bool CanMove = Settings.MoveCache && Source && *Source != Index &&
                 Runners[*Source].Cached > Runner.Cached;
  if (CanMove) {
    token_count Cached = Runners[*Source].Cached;
    double Moved =
        moveMs(Runner, Cached) + prefillMs(Runner, Query.PromptTokens - Cached);
    if (Moved < Cost.Ms)
      Cost = {Moved, Source};
  }
  Cost.Ms +=
      Settings.LoadWeight * (Runner.PrefillBacklogMs + fillOf(Runner) * 100.0);
  Cost.Ms += memoryMs(Settings, Query, Runner);
  return Cost;
}

} // namespace

std::optional<placement>
least_load_placement::choose(const placement_settings &,
                             const placement_query &,
                             std::span<const runner_view> Runners) {
  if (auto Best = leastLoaded(Runners))
    return placement{*Best, std::nullopt, false};
  return std::nullopt;
}

std::optional<placement>
round_robin_placement::choose(const placement_settings &,
                              const placement_query &,
                              std::span<const runner_view> Runners) {
  for (std::size_t Step = 0; Step < Runners.size(); ++Step) {
    std::size_t Index = (Next + Step) % Runners.size();
    if (!Runners[Index].Available)
      continue;
    Next = Index + 1;
    return placement{Index, std::nullopt, false};
  }
  return std::nullopt;
}

std::optional<placement>
sticky_placement::choose(const placement_settings &, const placement_query &,
                         std::span<const runner_view> Runners) {
  if (auto Cached = bestCached(Runners))
    return placement{*Cached, std::nullopt, !Runners[*Cached].Available};
  if (auto Best = leastLoaded(Runners))
    return placement{*Best, std::nullopt, false};
  return std::nullopt;
}

std::optional<placement>
affinity_placement::choose(const placement_settings &Settings,
                           const placement_query &Query,
                           std::span<const runner_view> Runners) {
  auto Source = bestSource(Runners);
  std::optional<std::size_t> Best;
  cost BestCost;
  for (std::size_t I = 0; I < Runners.size(); ++I) {
    if (!Runners[I].Available)
      continue;
    cost Cost = costAt(Settings, Query, Runners, I, Source);
    if (Cost.Ms < BestCost.Ms) {
      Best = I;
      BestCost = Cost;
    }
  }
  auto CacheHolder = bestCached(Runners);
  if (CacheHolder && !Runners[*CacheHolder].Available) {
    cost AtCacheHolder = costAt(Settings, Query, Runners, *CacheHolder, Source);
    double Wait = Runners[*CacheHolder].WaitMs;
    milliseconds Waited = Query.Now - Query.WaitingSince;
    bool MayWait = Waited + milliseconds(static_cast<std::int64_t>(Wait)) <
                   Settings.MaxAffinityWait;
    if (MayWait &&
        (AtCacheHolder.Ms + Wait) * Settings.LeaveFactor < BestCost.Ms)
      return placement{*CacheHolder, std::nullopt, true};
  }
  if (!Best)
    return std::nullopt;
  return placement{*Best, BestCost.MoveFrom, false};
}

} // namespace turmerichead::sched
