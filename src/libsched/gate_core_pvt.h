/// \file
/// The part of a gate that does not depend on its policies: rows of runners
/// and requests, and the systems that run over them each tick.
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

struct request_row {
  gate_request Request;
  pvt::program_id Program;
  pvt::queue_key Key;
  std::size_t Queue = 0; ///< Index of the queue it stands in.
  bool InFlight = false;
  pvt::runner_id Runner;   ///< While in flight.
  std::uint32_t Epoch = 0; ///< The runner's, when granted.
  time_point QueuedAt;
  time_point GrantedAt;
  double WorkMs = 0;    ///< Engine time, by estimate.
  bool Charged = false; ///< Counted in the floor's ledger.
  bool Suspect = false; ///< Its fingerprint was under suspicion when granted.
};

namespace pvt {

struct runner_row {
  explicit runner_row(const gate_settings &Settings)
      : Breaker(Settings.BreakerErrors, Settings.BreakerOpenFor) {}

  runner_info Info;
  bool Removed = false;    ///< Removed; kept until its requests are finished.
  std::uint32_t Epoch = 0; ///< Counts deaths.
  per_rank<int> InFlight{};
  int SuspectsInFlight = 0; ///< SuspectsInFlight in flight.
  circuit_breaker Breaker;
  double ServiceMs = 0;      ///< Moving mean of a request's time there.
  double PrefillUntilMs = 0; ///< When the prefill granted there is done.
  int Waiters = 0;           ///< Requests that wait for it, in this tick.
  int PeakInFlight = 0;      ///< Since the last load report.
  int PreviousPeak = 0;      ///< Between the two reports before.
  int OtherLoad = 0;         ///< Requests there that are not this gate's.
  time_point OtherLoadUntil;
  int ReportedWaiting = 0;
  /// True size of the cache against the sum of the copies known here.
  /// Programs share prefixes, so that the sum counts too much.
  double CacheScale = 1;

  int inFlight() const { return InFlight[0] + InFlight[1]; }
};

/// What an owner has queued, by rank and by "new" (0) or "started" (1).
struct owner_row {
  std::array<std::array<double, 2>, RankCount> QueuedMs{};
};

class gate_core {
public:
  explicit gate_core(const gate_settings &Settings);

  /// Runners that are known already keep their breakers' settings.
  void configure(const gate_settings &Changed);

  // ---- Runners ------------------------------------------------------------
  void upsertRunner(const runner_info &Info);
  void removeRunner(std::string_view Name);
  void reportLoad(std::string_view Name, const load_report &Load,
                  time_point Now);
  void cacheEvent(std::string_view Name, const cache_event &Event,
                  time_point Now);

  // ---- Requests -----------------------------------------------------------

  /// A reason to refuse \p Request now, before it is queued.
  std::optional<refusal> check(const gate_request &Request,
                               time_point Now) const;
  order_context contextOf(const gate_request &Request, time_point Now) const;
  request_id insert(const gate_request &Request, std::int64_t ArrivalMs,
                    std::size_t Queue, time_point Now);
  void countRefused(rank Rank) { ++Totals.Refused[indexOf(Rank)]; }
  bool cancel(request_id Id, time_point Now);
  bool finished(request_id Id, outcome Outcome, const usage &Usage,
                time_point Now);

  // ---- The systems of a tick ----------------------------------------------
  void beginTick(time_point Now);
  bool hasFreeSlot() const;
  /// The queues in the order in which they may take the next slot.
  std::array<std::size_t, RankCount> queueOrder() const;
  /// The next request of a queue that may be granted now. Each is offered
  /// once a tick.
  request_row *nextCandidate(std::size_t Queue, time_point Now);
  std::span<const runner_view> viewsFor(const request_row &Row, time_point Now);
  placement_query queryOf(const request_row &Row, time_point Now) const;
  void countWaiter(std::size_t View, time_point Now);
  void grantTo(request_row &Row, const placement &Choice, time_point Now);
  void endTick(time_point Now);
  gate_output output() const { return {Grants, Refusals, Releases, Moves}; }

  // ---- Memory -------------------------------------------------------------
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

  // Scratch and output of the tick under way.
  std::array<cursor, RankCount> Cursors;
  per_rank<double> CacheFill{}; ///< Part of the caches, by rank.
  double CacheCapacity = 0;     ///< Of the group, counted as copies are.
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
