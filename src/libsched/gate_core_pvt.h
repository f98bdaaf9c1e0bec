/// \file
/// The part of a gate that does not depend on its policies: the tables of
/// runners and requests, and the steps of a tick.
#pragma once

#include "cache_pvt.h"
#include "floor_pvt.h"
#include "queue_pvt.h"

#include "turmerichead/sched_admission.h"
#include "turmerichead/sched_gate.h"

#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace turmerichead::sched {

/// A request that is queued or in flight.
struct request_row {
  gate_request Request;
  pvt::program_id Program;
  pvt::queue_key Key;
  std::size_t Queue = 0; ///< Index of its queue.
  bool InFlight = false;
  pvt::runner_id Runner;   ///< Valid while in flight.
  std::uint32_t Epoch = 0; ///< Of the runner when granted.
  time_point QueuedAt;
  time_point GrantedAt;
  double WorkMs = 0;    ///< Estimated engine time.
  bool Charged = false; ///< Counted by the floor_tracker.
  bool Suspect = false; ///< Its fingerprint was a suspect when granted.
};

namespace pvt {

/// A runner, and what is known of its load.
struct runner_row {
  explicit runner_row(const gate_settings &Settings)
      : Breaker(Settings.BreakerErrors, Settings.BreakerOpenFor) {}

  runner_info Info;
  bool Removed = false;    ///< Kept until its requests are finished.
  std::uint32_t Epoch = 0; ///< Number of crashes recorded.
  per_rank<int> InFlight{};
  int SuspectsInFlight = 0; ///< Poison suspects in flight.
  circuit_breaker Breaker;
  double ServiceMs = 0;      ///< Moving mean of a request's run time.
  double PrefillUntilMs = 0; ///< Estimated end of granted prefill.
  int Waiters = 0;           ///< Requests made to wait for it this tick.
  int PeakInFlight = 0;      ///< Since the last load report.
  int PreviousPeak = 0;      ///< Between the last two load reports.
  int OtherLoad = 0;         ///< Requests there not from this gate.
  time_point OtherLoadUntil;
  int ReportedWaiting = 0;
  /// Ratio of the reported cache use to the sum of the copies known here. The
  /// sum is too large, because programs share prefixes.
  double CacheScale = 1;

  int inFlight() const { return InFlight[0] + InFlight[1]; }
};

/// Work that an owner has queued, in milliseconds, by rank and by stage: 0 for
/// new programs, 1 for started ones.
struct owner_row {
  std::array<std::array<double, 2>, RankCount> QueuedMs{};
};

/// The state of a gate. See basic_gate for the functions of the same names.
class gate_core {
public:
  explicit gate_core(const gate_settings &Settings);

  /// The circuit breakers of known runners keep their settings.
  void configure(const gate_settings &Changed);

  // ---- Runners ------------------------------------------------------------
  void upsertRunner(const runner_info &Info);
  void removeRunner(std::string_view Name);
  void reportLoad(std::string_view Name, const load_report &Load,
                  time_point Now);
  void cacheEvent(std::string_view Name, const cache_event &Event,
                  time_point Now);

  // ---- Requests -----------------------------------------------------------

  /// Returns why \p Request is refused before it is queued, or std::nullopt.
  std::optional<refusal> check(const gate_request &Request,
                               time_point Now) const;
  order_context contextOf(const gate_request &Request, time_point Now) const;
  request_id insert(const gate_request &Request, std::int64_t ArrivalMs,
                    std::size_t Queue, time_point Now);
  void countRefused(rank Rank) { ++Totals.Refused[indexOf(Rank)]; }
  bool cancel(request_id Id, time_point Now);
  bool finished(request_id Id, outcome Outcome, const usage &Usage,
                time_point Now);

  // ---- Steps of a tick ----------------------------------------------------
  void beginTick(time_point Now);
  bool hasFreeSlot() const;
  /// Returns the queues in the order in which they are offered the next slot.
  std::array<std::size_t, RankCount> queueOrder() const;
  /// Returns the next request of a queue that may be granted now, or nullptr.
  /// Each request is returned at most once per tick.
  request_row *nextCandidate(std::size_t Queue, time_point Now);
  /// Returns the runners as \p Row may use them. The span is valid until the
  /// next call.
  std::span<const runner_view> viewsFor(const request_row &Row, time_point Now);
  placement_query queryOf(const request_row &Row, time_point Now) const;
  /// Records that a request waits for the runner at index \p View.
  void countWaiter(std::size_t View, time_point Now);
  void grantTo(request_row &Row, const placement &Choice, time_point Now);
  void endTick(time_point Now);
  gate_output output() const { return {Grants, Refusals, Releases, Moves}; }

  // ---- Prefix caches ------------------------------------------------------
  void programPaused(std::string_view Program, milliseconds ExpectedPause,
                     time_point Now);
  void programEnded(std::string_view Program);
  void applyListing(std::string_view Runner,
                    std::span<const std::string> Listed,
                    std::span<const std::string> Inactive, time_point Now);

  gate_snapshot snapshot(time_point Now) const;

  poison_table Poison;

private:
  struct cursor {
    request_queue::iterator Next;
    std::size_t Scanned = 0;
  };
  using program_queue = std::vector<request_id>;

  runner_row *findRunner(std::string_view Name);
  bool takesWork(const runner_row &Row, time_point Now) const;
  double workOf(const gate_request &Request) const;
  milliseconds expectedWait(rank Rank, time_point Now) const;
  std::size_t liveRunnerCount() const;
  std::size_t liveSlotCount() const;
  void countQueued(const request_row &Row, int Sign);
  void removeFromQueue(const request_row &Row);
  void eraseRequest(request_id Id);
  void refuseQueued(request_id Id, refusal_reason Reason, milliseconds Retry);
  bool isHeadOfProgram(const request_row &Row) const;
  void applyPoisonRule(const request_row &Row, time_point Now);
  void updateRunner(request_row &Row, outcome Outcome, time_point Now);
  void updateCache(const request_row &Row, outcome Outcome, const usage &Usage,
                   time_point Now);
  void recordRunnerCrash(request_row &Row, runner_row &Runner, time_point Now);
  void release(program_id Program, runner_id Runner);
  void releaseAll(program_id Program);
  bool mayStart(const request_row &Row, time_point Now) const;
  void expireDeadlines(time_point Now);
  token_count cacheUsed(runner_id Id, const runner_row &Row) const;
  void shrinkFullCaches(time_point Now);
  std::optional<runner_id> findMoveTarget(token_count Tokens, runner_id Except,
                                          time_point Now) const;
  token_count limitOf(const runner_row &Row, double Part) const;
  void restoreListedCopy(program_id Program, runner_id Runner, time_point Now);
  void refreshView(std::size_t Index, time_point Now);

  gate_settings Settings;
  table<request_row> Requests;
  table<runner_row> Runners;
  std::map<std::string, runner_id, std::less<>> RunnerNames;
  cache_directory Caches;
  std::array<request_queue, RankCount> Queues;
  std::set<std::pair<time_point, request_id>> Deadlines;
  std::unordered_map<program_id, program_queue> ByProgram;
  std::unordered_map<std::uint64_t, std::vector<request_id>> ByFingerprint;
  std::unordered_map<std::string, owner_row> Owners;
  std::array<std::array<int, 2>, RankCount> OwnersWaiting{};
  per_rank<std::size_t> QueuedNew{};
  per_rank<std::size_t> Queued{};
  per_rank<event_rate> Starts;
  floor_tracker Floor;
  double OutputMean = 200; ///< Moving mean of a request's output tokens.
  std::uint64_t Sequence = 0;

  // Scratch data and output of the current tick.
  std::array<cursor, RankCount> Cursors;
  per_rank<double> CacheFill{}; ///< Fraction of the caches used by a rank.
  double CacheCapacity = 0;     ///< Of the group, in the units of copies.
  std::vector<runner_id> ViewIds;
  std::vector<runner_view> BaseViews;
  std::vector<runner_view> Views;
  std::vector<grant> Grants;
  std::vector<refusal> Refusals;
  std::vector<release_command> Releases;
  std::vector<move_command> Moves;
  std::vector<release_command> PendingReleases;
  gate_snapshot Totals;
};

} // namespace pvt
} // namespace turmerichead::sched
