/// \file
/// The gate of a group of runners: queues requests by rank, and assigns each
/// to a runner only when it is granted (late binding).
///
///     auto Gate = sched::default_gate::create(Settings);
///     Gate->upsertRunner({.Name = "r1", .Slots = 16});
///     auto Result = Gate->enqueue(Request, Now);
///     for (const sched::grant &Grant : Gate->tick(Now).Grants)
///       dispatch(Grant);
///     Gate->finished(Grant.Request, sched::outcome::Ok, Usage, Now);
///
/// A gate holds soft state only: nothing in it needs to be persisted, since a
/// successor builds it again.
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

/// Settings of a gate. docs/operators/tuning.md describes which of them to
/// change for which problem.
struct gate_settings {
  /// Must differ between a gate and its successors, so that the crash
  /// incidents that they record have different ids.
  std::uint64_t Incarnation = 1;
  order_settings Order{};
  placement_settings Placement{};
  poison_settings Poison{};

  /// Minimum fraction of the work, 0 to 0.9, that is granted to ordinary
  /// requests while urgent ones are queued.
  double OrdinaryFloor = 0.15;
  /// Fraction of each runner's slots, 0 to 0.5, that ordinary requests leave
  /// free for urgent ones.
  double UrgentReserve = 0.0;
  /// Maximum number of queued requests; twice as many for started programs.
  std::size_t MaxQueued = 20000;
  /// A new program is refused if its expected wait is longer than this.
  per_rank<milliseconds> NewProgramMaxWait{milliseconds(5'000),
                                           milliseconds(30'000)};
  /// Refuse new programs whose expected wait exceeds NewProgramMaxWait or ends
  /// after their deadline.
  bool RefuseOverload = true;
  /// Smallest RetryAfter of a refusal that allows a retry.
  milliseconds RetryBase{2'000};
  /// Maximum number of candidates examined per queue in one tick.
  std::size_t ScanLimit = 128;

  /// A new program starts only while the fill of the group's caches is at most
  /// this fraction, so that running programs find their prefixes again.
  per_rank<double> StartCacheFill{0.78, 0.68};
  /// Cache memory reserved for ordinary programs, as a multiple of
  /// OrdinaryFloor: they are longer than urgent ones and hold more memory for
  /// the same work.
  double OrdinaryMemory = 1.6;
  /// A new program that has waited this long starts at any cache fill.
  milliseconds MaxCacheWait{300'000};
  /// If a runner's cache is fuller than this fraction, the caches of its idle
  /// programs that are expected to resume last are moved to a runner with
  /// space, or released if there is none.
  double CacheHighWater = 0.95;
  /// A runner accepts moved caches up to this cache fill.
  double CacheLowWater = 0.8;
  /// Command runners to release the caches of ended programs and outdated
  /// copies.
  bool ReleaseEnded = true;
  /// Enables CacheHighWater; if false, eviction is left to the engine.
  bool PauseAware = true;
  /// Number of errors in a row that opens a runner's circuit breaker for
  /// BreakerOpenFor.
  int BreakerErrors = 5;
  milliseconds BreakerOpenFor{10'000};
};

enum class runner_phase : std::uint8_t { Live, Leaving };

/// Configuration of a runner, from the catalogue of upstreams.
struct runner_info {
  std::string Name{};
  int Slots = 16;
  runner_phase Phase = runner_phase::Live;
  /// False if this gate must not grant requests to it for now, for example
  /// while an operator's order is in progress.
  bool Usable = true;
  engine_rates Rates{};
  token_count CacheTokens = 0; ///< Capacity of its prefix cache; 0 if unknown.
};

/// A load report of a runner. Reports arrive with a delay.
struct load_report {
  int Running = 0;
  int Waiting = 0;
  token_count CacheUsed = 0;
  milliseconds Age{0}; ///< Age of the report on arrival.
};

/// An event of a runner's prefix cache. Events arrive late, and some are lost.
struct cache_event {
  enum class kind : std::uint8_t { Stored, Evicted, Cleared };
  kind Kind = kind::Stored;
  std::string Program{}; ///< Empty for Cleared.
  token_count Tokens = 0;
  milliseconds Age{0}; ///< Age of the event on arrival.
};

/// A model call to be queued at a gate.
struct gate_request {
  std::string RootProgram{};
  std::string Program{}; ///< Path from the root; RootProgram for the root.
  std::string Owner{};
  std::string Entry{};
  rank Rank = rank::Ordinary;
  token_count PromptTokens = 0;
  token_count CachedTokens = 0; ///< Prefix cached by the program's last call.
  token_count MaxOutputTokens = 0;
  token_count AttainedService =
      0;                ///< Tokens already spent on the root program.
  bool Started = false; ///< The root program has received an answer before.
  time_point ProgramStart{};
  time_point Deadline{INT64_MAX}; ///< The answer is useless after it.
  std::uint64_t Fingerprint = 0;  ///< Of the prompt; 0 if there is none.
  bool ParentWaiting = false;     ///< The parent waits for this sub-agent.
  bool MayRepeat = true;
  std::string AvoidRunner{}; ///< Set for a retry or a hedge; otherwise empty.
};

/// The id of a queued request, or the refusal.
struct enqueue_result {
  request_id Id{};
  std::optional<refusal> Refusal{};
};

/// Assigns a request to a runner.
struct grant {
  request_id Request{};
  std::string Runner{};
  /// If not empty, the program's cache is to be copied from this runner first,
  /// and released there once it has been imported.
  std::string MoveCacheFrom{};
  token_count MoveTokens = 0;
};

/// Command to release a program's cache at a runner.
struct release_command {
  std::string Program{};
  std::string Runner{};
};

/// Command to copy an idle program's cache to a runner with space, and to
/// release it at the old one. A failure costs only the time to compute the
/// prefix again.
struct move_command {
  std::string Program;
  std::string From;
  std::string To;
};

/// The decisions of a tick. The spans are valid until the next call of a
/// member function of the gate.
struct gate_output {
  std::span<const grant> Grants{};
  std::span<const refusal> Refusals{};
  std::span<const release_command> Releases{};
  std::span<const move_command> Moves{};
};

/// Figures for metrics, for the report, and for the group summary that holders
/// use to choose a group.
struct gate_snapshot {
  per_rank<std::size_t> Queued{};
  per_rank<std::size_t> InFlight{};
  per_rank<std::uint64_t> Granted{};
  per_rank<std::uint64_t> Refused{};
  per_rank<double> WorkMs{}; ///< Estimated engine time granted.
  /// Fraction of the work granted to ordinary requests while both ranks had
  /// queued requests.
  double OrdinaryShareUnderPressure = 0;
  token_count PrefillTokens = 0;       ///< Prompt tokens not found in a cache.
  token_count WastedPrefillTokens = 0; ///< Recomputed after a cache miss.
  std::uint64_t CacheMoves = 0;
  std::uint64_t Releases = 0;
  std::size_t Slots = 0; ///< Of all runners that accept work.
  std::size_t OpenBreakers = 0;
  milliseconds ExpectedWait{0}; ///< For a new ordinary program.
};

/// A gate with its ordering and placement policies as parameters. The
/// benchmark compares the default with baselines that use other policies.
template <order_policy Order, placement_policy Placement> class basic_gate {
public:
  /// Creates a gate. Returns std::nullopt and leaves error_code::InvalidInput
  /// if a setting is out of range.
  static std::optional<basic_gate> create(const gate_settings &Settings);

  /// Changes the settings of a running gate; queued requests keep their
  /// positions. Returns false and leaves error_code::InvalidInput if a setting
  /// is out of range; the old settings then stay.
  bool configure(const gate_settings &Settings);

  basic_gate(basic_gate &&) noexcept;
  basic_gate &operator=(basic_gate &&) noexcept;
  ~basic_gate();

  // ---- Runners ------------------------------------------------------------

  /// Adds a runner or updates its configuration. A leaving runner gets no
  /// further grants.
  void upsertRunner(const runner_info &Info);

  /// Removes a runner. Its requests in flight stay until finished().
  void removeRunner(std::string_view Name);

  /// Processes a load report; ignored if the runner is unknown.
  void reportLoad(std::string_view Name, const load_report &Load,
                  time_point Now);
  /// Processes a cache event. Events older than the last use of the copy are
  /// ignored.
  void cacheEvent(std::string_view Name, const cache_event &Event,
                  time_point Now);

  // ---- Requests -----------------------------------------------------------

  /// Queues a request, or refuses it at once.
  enqueue_result enqueue(const gate_request &Request, time_point Now);

  /// Cancels a request that is queued or in flight. Returns false if it is
  /// unknown or has finished.
  bool cancel(request_id Id, time_point Now);

  /// Grants all requests that can be granted, refuses those whose deadline has
  /// passed, and decides which caches are moved or released. Must be called
  /// after each change, and at least every 100 ms while requests are queued.
  gate_output tick(time_point Now);

  /// Records the outcome of a granted request. Returns false if the request is
  /// unknown or not in flight.
  bool finished(request_id Id, outcome Outcome, const usage &Usage,
                time_point Now);

  // ---- Prefix caches ------------------------------------------------------

  /// Records that the program waits for a tool or a person and that its next
  /// call is expected after \p ExpectedPause.
  void programPaused(std::string_view Program, milliseconds ExpectedPause,
                     time_point Now);

  /// Records that a program has ended, and with it all its sub-agents. The next
  /// tick returns the releases.
  void programEnded(std::string_view Program);

  /// Reconciles the gate with \p Listed, the programs that \p Runner lists in
  /// its cache. The next tick releases those for which \p IsActive returns
  /// false, and the gate's estimate of the runner's cache is updated from the
  /// listing.
  template <std::predicate<std::string_view> Predicate>
  void sweep(std::string_view Runner, std::span<const std::string> Listed,
             const Predicate &IsActive, time_point Now) {
    std::vector<std::string> Inactive;
    for (const std::string &Program : Listed)
      if (!IsActive(std::string_view(Program)))
        Inactive.push_back(Program);
    applyListing(Runner, Listed, Inactive, Now);
  }

  // ---- Poison requests and figures ----------------------------------------

  /// The crash counts, whose entries are exchanged with other hosts.
  poison_table &poison();
  /// Returns the current figures.
  gate_snapshot snapshot(time_point Now) const;

private:
  struct state;
  explicit basic_gate(std::unique_ptr<state> State);
  void applyListing(std::string_view Runner,
                    std::span<const std::string> Listed,
                    std::span<const std::string> Inactive, time_point Now);
  std::unique_ptr<state> State;
};

/// The gate that the daemon runs.
using default_gate = basic_gate<attained_order, affinity_placement>;
/// Baselines for benchmarks.
using fifo_gate = basic_gate<fifo_order, least_load_placement>;
using round_robin_gate = basic_gate<fifo_order, round_robin_placement>;
using plain_affinity_gate = basic_gate<fifo_order, sticky_placement>;
/// The default gate with one policy replaced.
using fifo_affinity_gate = basic_gate<fifo_order, affinity_placement>;
using attained_least_load_gate =
    basic_gate<attained_order, least_load_placement>;

} // namespace turmerichead::sched
