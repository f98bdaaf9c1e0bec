/// \file
/// Where a request goes: the group that a holder asks, and the runner that a
/// gate grants.
#pragma once

#include "turmerichead/sched_types.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

namespace turmerichead::sched {

// ---- The runner within a group --------------------------------------------

/// What a runner's engine costs. Times are of the engine with a batch as full
/// as its slots allow.
struct engine_rates {
  double PrefillMsPerToken = 0.1;
  double DecodeMsPerToken = 18;  ///< Time between two tokens of one request.
  double MoveMsPerToken = 0.026; ///< Copying cache from another runner.
  double MoveFixedMs = 20;
};

struct placement_settings {
  /// A request leaves the runner with its cache only for one that costs less
  /// than this part of waiting there, 0 to 1.
  double LeaveFactor = 0.15;
  /// A request never waits longer than this for the runner with its cache.
  milliseconds MaxAffinityWait{8'000};
  /// Copy caches between runners where that is cheaper than computing.
  bool MoveCache = true;
  /// Weight of the runner's load against the cost of the prefill.
  double LoadWeight = 1.0;
  /// Cost in milliseconds of a full cache for a request that adds to it.
  double FullCacheMs = 200;
  /// Beyond this part, what a request adds is charged as if it had to be
  /// computed again for the programs that it pushes out.
  double CacheHighWater = 0.8;
};

/// A runner as a place policy sees it for one request.
struct runner_view {
  int Slots = 0;
  int InFlight = 0;            ///< Granted by this gate and not finished.
  bool Free = false;           ///< May be granted this request now.
  bool Takes = false;          ///< Could take it once a slot is free.
  token_count Cached = 0;      ///< Of the request's prompt, by estimate.
  double PrefillBacklogMs = 0; ///< Prefill granted there and not done yet.
  double WaitMs = 0;           ///< Until a slot is free for this request.
  engine_rates Rates{};
  token_count CacheUsed = 0;     ///< Of its prefix cache, by estimate.
  token_count CacheCapacity = 0; ///< 0 is "not known".
  int ReportedWaiting = 0;       ///< From the last load report.
  bool Leaving = false;
};

/// The prompt of the request to place.
struct placement_query {
  token_count PromptTokens = 0;
  time_point WaitingSince{};
  time_point Now{};
};

/// A choice: the runner, and whence to copy the cache.
struct placement {
  std::size_t Runner = 0;
  std::optional<std::size_t> MoveFrom{};
  bool Wait = false; ///< Wait for Runner, which has no free slot now.
};

/// Chooses a runner; std::nullopt if none takes the request at all.
template <typename Policy>
concept placement_policy = requires(Policy &Placement,
                                    const placement_settings &Settings,
                                    const placement_query &Query,
                                    std::span<const runner_view> Runners) {
  {
    Placement.choose(Settings, Query, Runners)
    } -> std::same_as<std::optional<placement>>;
};

/// Fewest in flight.
struct least_load_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
};

/// One after the other.
struct round_robin_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
  std::size_t Next = 0;
};

/// Always the runner with the longest cached prefix, however long the wait.
struct sticky_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
};

/// The smallest expected time to the first token: waiting for the runner with
/// the cache, copying the cache, or computing it again elsewhere.
struct affinity_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
};

// ---- The group of a model -------------------------------------------------

/// What a holder knows of a group, as old as the last heartbeat.
struct group_summary {
  std::uint32_t Group = 0;
  int Slots = 0;
  int InFlight = 0;  ///< At the time of the summary.
  int Queued = 0;    ///< At the time of the summary.
  int SentSince = 0; ///< Asks this holder has sent since the summary.
  bool Usable = true;
};

/// Chooses the group for a program's call.
///
/// A program stays with \p Home, the group that served it last, until that
/// group's load passes \p SpillLoad (1 is "all slots busy"). A new program
/// and one that spills take the less loaded of two groups drawn with
/// \p Random, which the caller draws evenly from all 64-bit values: hosts
/// that decide at once on the same old summaries then spread over the groups.
/// Returns an index into \p Groups, or std::nullopt if none is usable.
std::optional<std::size_t> chooseGroup(std::span<const group_summary> Groups,
                                       std::optional<std::uint32_t> Home,
                                       double SpillLoad, std::uint64_t Random);

/// Load of a group: in flight, queued and sent since, for each slot.
double loadOf(const group_summary &Group);

} // namespace turmerichead::sched
