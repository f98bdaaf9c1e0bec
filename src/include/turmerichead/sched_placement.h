/// \file
/// Placement: the choice of a group by a holder, and the choice of a runner
/// within the group by its gate.
#pragma once

#include "turmerichead/sched_types.h"

#include <concepts>
#include <cstddef>
#include <optional>
#include <span>

namespace turmerichead::sched {

// ---- The runner within a group --------------------------------------------

/// Cost model of a runner's engine. All times are for an engine whose batch
/// is full, that is, with all slots busy.
struct engine_rates {
  double PrefillMsPerToken = 0.1;
  double DecodeMsPerToken = 18;  ///< Between two output tokens of one request.
  double MoveMsPerToken = 0.026; ///< Copying from another runner's cache.
  double MoveFixedMs = 20;       ///< Added once to each copy.
};

/// Settings of the placement policies.
struct placement_settings {
  /// A request is placed on a runner other than the busy one that holds its
  /// cache only if the cost there is at most this fraction, 0 to 1, of the cost
  /// of waiting.
  double LeaveFactor = 0.15;
  /// Upper bound of the time that a request waits for the runner that holds
  /// its cache.
  milliseconds MaxAffinityWait{8'000};
  /// Copy a cached prefix between runners where that is cheaper than to
  /// compute it again.
  bool MoveCache = true;
  /// Weight of a runner's load relative to the cost of the prefill.
  double LoadWeight = 1.0;
  /// Cost in milliseconds of adding a whole prompt to a full cache;
  /// proportionally less for a part of the prompt or a less full cache.
  double FullCacheMs = 200;
  /// Fraction of a cache's capacity. Tokens that a request adds beyond it are
  /// charged as prefill, because the programs whose prefixes they evict have
  /// to compute them again.
  double CacheHighWater = 0.8;
};

/// A runner from the point of view of one request; input of a placement
/// policy.
struct runner_view {
  int Slots = 0;
  int InFlight = 0;            ///< Requests in flight, other gates' included.
  bool Available = false;      ///< Can be granted this request now.
  bool Eligible = false;       ///< Can be granted it once a slot is free.
  token_count Cached = 0;      ///< Estimated cached part of the prompt.
  double PrefillBacklogMs = 0; ///< Estimated time to finish granted prefill.
  double WaitMs = 0;           ///< Estimated wait for a free slot.
  engine_rates Rates{};
  token_count CacheUsed = 0;     ///< Estimated use of its prefix cache.
  token_count CacheCapacity = 0; ///< 0 if unknown.
  int ReportedWaiting = 0;       ///< Queue length in its last load report.
  bool Leaving = false;
};

/// The prompt of the request to place.
struct placement_query {
  token_count PromptTokens = 0;
  time_point WaitingSince{};
  time_point Now{};
};

/// The choice of a placement policy: indices of runner views.
struct placement {
  std::size_t Runner = 0;
  /// Copy the cached prefix from this runner first.
  std::optional<std::size_t> MoveFrom{};
  bool Wait = false; ///< Do not grant now; wait for a slot of Runner.
};

/// A policy that chooses a runner. Returns std::nullopt if no runner can be
/// granted the request now and none is worth waiting for.
template <typename Policy>
concept placement_policy = requires(Policy &Placement,
                                    const placement_settings &Settings,
                                    const placement_query &Query,
                                    std::span<const runner_view> Runners) {
  {
    Placement.choose(Settings, Query, Runners)
    } -> std::same_as<std::optional<placement>>;
};

/// The available runner with the smallest fraction of its slots in use.
struct least_load_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
};

/// The available runners in turn.
struct round_robin_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
  std::size_t Next = 0;
};

/// The runner with the longest cached prefix, however long the wait; the least
/// loaded one if no runner has a cached prefix.
struct sticky_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
};

/// The smallest expected time to the first token, by comparison of three ways:
/// wait for the runner that holds the cache, copy the cache to another runner,
/// or compute the prompt again there.
struct affinity_placement {
  std::optional<placement> choose(const placement_settings &Settings,
                                  const placement_query &Query,
                                  std::span<const runner_view> Runners);
};

// ---- The group of a model -------------------------------------------------

/// A holder's view of a group, as of the last heartbeat.
struct group_summary {
  std::uint32_t Group = 0;
  int Slots = 0;
  int InFlight = 0; ///< At the time of the summary.
  int Queued = 0;   ///< At the time of the summary.
  /// Requests that this holder has sent to the gate since the summary.
  int SentSince = 0;
  bool Usable = true;
};

/// Chooses the group for a program's call.
///
/// A program stays with \p Current, the group that served it last, until the
/// load of that group exceeds \p SpillLoad (1 means that all slots are busy)
/// and a less loaded group is drawn. A new program, and one that leaves its
/// group, goes to the less loaded of two randomly drawn groups (power of two
/// choices), so that hosts that decide at the same time by the same old
/// summaries spread over the groups. \p Random must be uniform over all 64-bit
/// values. Returns an index into \p Groups, or std::nullopt if none is usable.
std::optional<std::size_t> chooseGroup(std::span<const group_summary> Groups,
                                       std::optional<std::uint32_t> Current,
                                       double SpillLoad, std::uint64_t Random);

/// Returns the load of a group: requests in flight, queued and sent since the
/// summary, per slot.
double loadOf(const group_summary &Group);

} // namespace turmerichead::sched
