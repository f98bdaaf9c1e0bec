/// \file
/// The gate of a group of runners: queues requests in rank order and binds
/// each to a runner only when it is granted.
///
///     auto Gate = sched::default_gate::create(Settings);
///     Gate->upsertRunner({.Name = "r1", .Slots = 16});
///     auto Result = Gate->enqueue(Request, Now);
///     for (const sched::grant &Grant : Gate->tick(Now).Grants)
///       dispatch(Grant);
///     Gate->finished(Grant.Request, sched::outcome::Ok, Usage, Now);
///
/// A gate is soft state: nothing in it must survive its host.
#pragma once

#include "turmerichead/sched_order.h"
#include "turmerichead/sched_placement.h"
#include "turmerichead/sched_poison.h"
#include "turmerichead/sched_types.h"
#include "turmerichead/table.h"

#include <concepts>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::sched {

/// Settings of a gate. The page docs/operators/tuning.md says which of them
/// answers which complaint.
struct gate_settings {
  /// Differs between a gate and its successors, so that the incidents they
  /// record are told apart.
  std::uint64_t Incarnation = 1;
  order_settings Order{};
  placement_settings Placement{};
  poison_settings Poison{};

  /// Part of the work, 0 to 0.9, that ordinary requests keep while urgent
  /// ones would take everything.
  double OrdinaryFloor = 0.15;
  /// Slots of each runner that ordinary requests leave free for urgent ones,
  /// as a part of all slots, 0 to 0.5.
  double UrgentReserve = 0.0;
  /// Requests that may be queued; further ones are refused.
  std::size_t MaxQueued = 20000;
  /// A new program is refused when its expected wait is longer than this.
  per_rank<milliseconds> NewProgramMaxWait{milliseconds(5'000),
                                           milliseconds(30'000)};
  /// Refuse new programs by the rule above.
  bool RefuseOverload = true;
  /// The shortest time to come back that a refusal names.
  milliseconds RetryBase{2'000};
  /// Candidates looked at in one scan of a rank's queue.
  std::size_t ScanLimit = 128;

  /// A new program starts only while the group's caches are less full than
  /// this part, so that those under way find their prefixes again.
  per_rank<double> StartCacheFill{0.78, 0.68};
  /// Memory that ordinary programs keep, as a multiple of their floor: they
  /// are longer than urgent ones and hold more for the same work.
  double OrdinaryMemory = 1.6;
  /// It starts in any case after it has waited for this long.
  milliseconds MaxCacheWait{300'000};
  /// When a runner's cache is fuller than this part, those of its paused
  /// programs that are needed last go: to a runner with room, or else away.
  double CacheHighWater = 0.95;
  /// A runner that is less full than this part takes the caches of others.
  double CacheLowWater = 0.8;
  /// Tell runners to release the caches of ended programs.
  bool ReleaseEnded = true;
  /// Release by expected pause; if false, the engine's own eviction decides.
  bool PauseAware = true;
  /// Errors in a row after which a runner gets no work for BreakerOpenFor.
  int BreakerErrors = 5;
  milliseconds BreakerOpenFor{10'000};
};

enum class runner_phase : std::uint8_t { Live, Leaving };

/// What a gate is told about a runner by the catalogue of upstreams.
struct runner_info {
  std::string Name{};
  int Slots = 16;
  runner_phase Phase = runner_phase::Live;
  /// False if this gate must not grant to it (an order is under way).
  bool Usable = true;
  engine_rates Rates{};
  token_count CacheTokens = 0; ///< Capacity of its prefix cache; 0 unknown.
};

/// A load report of a runner, as late as it comes.
struct load_report {
  int Running = 0;
  int Waiting = 0;
  token_count CacheUsed = 0;
  milliseconds Age{0}; ///< How old the report was when it arrived.
};

/// An event of a runner's prefix cache. Events come late and with gaps.
struct cache_event {
  enum class kind : std::uint8_t { Stored, Evicted, Cleared };
  kind Kind = kind::Stored;
  std::string Program{}; ///< Empty for Cleared.
  token_count Tokens = 0;
  milliseconds Age{0}; ///< How old the event was when it arrived.
};

/// A model call that waits for a runner.
struct gate_request {
  std::string RootProgram{};
  std::string Program{}; ///< Path from the root; equals it for the root.
  std::string Owner{};
  std::string Entry{};
  rank Rank = rank::Ordinary;
  token_count PromptTokens = 0;
  token_count CachedTokens = 0; ///< Prefix the program's last call left.
  token_count MaxOutputTokens = 0;
  token_count AttainedService = 0; ///< Of the whole root program.
  bool Started = false; ///< The root program has had an answer before.
  time_point ProgramStart{};
  time_point Deadline{INT64_MAX}; ///< After it, the answer has no use.
  std::uint64_t Fingerprint = 0;  ///< Of the prompt; 0 is "none".
  bool ParentWaiting = false;     ///< A parent waits for this sub-agent.
  bool MayRepeat = true;
  std::string AvoidRunner{}; ///< For a retry or a hedge; empty is "none".
};

/// An id, or the reason why there is none.
struct enqueue_result {
  request_id Id{};
  std::optional<refusal> Refusal{};
};

/// Binds a request to a runner.
struct grant {
  request_id Request{};
  std::string Runner{};
  /// Not empty: copy the program's cache from this runner first, and release
  /// it there once it has been imported.
  std::string MoveCacheFrom{};
  token_count MoveTokens = 0;
};

/// A command about a program's cache at a runner.
struct release_command {
  std::string Program{};
  std::string Runner{};
};

/// Copies a paused program's cache to a runner with room, and releases it at
/// the first one. It is a hint: nothing is lost if it fails.
struct move_command {
  std::string Program;
  std::string From;
  std::string To;
};

/// What a tick decided. The spans are valid until the gate's next call.
struct gate_output {
  std::span<const grant> Grants{};
  std::span<const refusal> Refusals{};
  std::span<const release_command> Releases{};
  std::span<const move_command> Moves{};
};

/// Figures for metrics, for the report, and for the summary that holders
/// choose groups by.
struct gate_snapshot {
  per_rank<std::size_t> Queued{};
  per_rank<std::size_t> InFlight{};
  per_rank<std::uint64_t> Granted{};
  per_rank<std::uint64_t> Refused{};
  per_rank<double> WorkMs{}; ///< Engine time granted, by estimate.
  /// Part of the work granted to ordinary requests while both ranks waited.
  double OrdinaryShareUnderPressure = 0;
  token_count PrefillTokens = 0;       ///< Computed, not found in a cache.
  token_count WastedPrefillTokens = 0; ///< Computed again after a cache miss.
  std::uint64_t CacheMoves = 0;
  std::uint64_t Releases = 0;
  std::size_t Slots = 0; ///< Of all runners that take work.
  std::size_t OpenBreakers = 0;
  milliseconds ExpectedWait{0}; ///< Of a new ordinary program.
};

/// The gate with its two varying parts. The baselines of the bench are this
/// gate with other policies.
template <order_policy Order, placement_policy Placement> class basic_gate {
public:
  /// Checks \p Settings; on a bad one returns std::nullopt and leaves
  /// error_code::InvalidInput.
  static std::optional<basic_gate> create(const gate_settings &Settings);

  /// Changes the settings of a running gate; what is queued keeps its place.
  /// Returns false, with InvalidInput, if \p Settings do not check.
  bool configure(const gate_settings &Settings);

  basic_gate(basic_gate &&) noexcept;
  basic_gate &operator=(basic_gate &&) noexcept;
  ~basic_gate();

  // ---- Runners ------------------------------------------------------------

  /// Adds a runner or changes what is known of it. A leaving runner gets no
  /// further grant.
  void upsertRunner(const runner_info &Info);

  /// Forgets a runner. Requests in flight on it stay until finished().
  void removeRunner(std::string_view Name);

  void reportLoad(std::string_view Name, const load_report &Load,
                  time_point Now);
  void cacheEvent(std::string_view Name, const cache_event &Event,
                  time_point Now);

  // ---- Requests -----------------------------------------------------------

  /// Queues a request, or refuses it at once and for good.
  enqueue_result enqueue(const gate_request &Request, time_point Now);

  /// Takes a request back, queued or in flight. Returns false if it is not
  /// known (any more).
  bool cancel(request_id Id, time_point Now);

  /// Grants what can be granted, refuses what has waited past its deadline,
  /// and says which caches to release. Call it after each change and at
  /// least every 100 ms while requests are queued.
  gate_output tick(time_point Now);

  /// Tells how a granted request ended. Returns false if it is not known.
  bool finished(request_id Id, outcome Outcome, const usage &Usage,
                time_point Now);

  // ---- Memory -------------------------------------------------------------

  /// The program waits for a tool or a person; its next call is expected
  /// after \p ExpectedPause.
  void programPaused(std::string_view Program, milliseconds ExpectedPause,
                     time_point Now);

  /// A program has ended; ending a root ends all of its sub-agents. The
  /// releases come with the next tick.
  void programEnded(std::string_view Program);

  /// Compares what \p Runner lists in its cache with the programs that live.
  /// Whatever does not live is released with the next tick, and the gate's
  /// own picture of the runner is set to the listing.
  template <std::predicate<std::string_view> Alive>
  void sweep(std::string_view Runner, std::span<const std::string> Listed,
             const Alive &IsAlive, time_point Now) {
    std::vector<std::string> Dead;
    for (const std::string &Program : Listed)
      if (!IsAlive(std::string_view(Program)))
        Dead.push_back(Program);
    sweepDead(Runner, Listed, Dead, Now);
  }

  // ---- Poison requests and figures ----------------------------------------

  /// The table of fingerprints, to exchange its entries with other hosts.
  poison_table &poison();
  gate_snapshot snapshot(time_point Now) const;

private:
  struct state;
  explicit basic_gate(std::unique_ptr<state> State);
  void sweepDead(std::string_view Runner, std::span<const std::string> Listed,
                 std::span<const std::string> Dead, time_point Now);
  std::unique_ptr<state> State;
};

/// The gate that the daemon runs.
using default_gate = basic_gate<attained_order, affinity_placement>;
/// The baselines.
using fifo_gate = basic_gate<fifo_order, least_load_placement>;
using round_robin_gate = basic_gate<fifo_order, round_robin_placement>;
using plain_affinity_gate = basic_gate<fifo_order, sticky_placement>;
/// The default with one part replaced.
using fifo_affinity_gate = basic_gate<fifo_order, affinity_placement>;
using attained_least_load_gate =
    basic_gate<attained_order, least_load_placement>;

} // namespace turmerichead::sched
