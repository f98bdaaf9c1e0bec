/// \file
/// The table of upstreams that a host knows, and load balancing between them.
#pragma once

#include "turmerichead/relay_notices.h"
#include "turmerichead/relay_upstream_silence.h"
#include "turmerichead/relay_upstream_speed.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// An upstream as registered with the platform.
struct upstream {
  std::string Id; ///< Identifies one run of an upstream process.
  std::string Service;
  std::string Address; ///< "ip:port"
  std::string DataCentre;
  std::uint32_t Slots = 1;
  bool Ready = false; ///< As registered; see upstream_row::takesCalls().
  /// Start time of the process, which distinguishes two runs with the same id.
  std::int64_t StartedMs = 0;
  friend bool operator==(const upstream &, const upstream &) = default;
};

/// Returns the run that an entry is about.
inline upstream_run runOf(const upstream &Upstream) {
  return {Upstream.Id, Upstream.StartedMs};
}

/// An upstream with the state that this host keeps for it.
struct upstream_row {
  upstream Upstream;
  std::uint32_t InFlight = 0; ///< Calls of this host in flight.
  time_point AvoidUntil; ///< Others are preferred until then, after a failure.
  /// When the row is removed; unset while the upstream is registered.
  std::optional<time_point> ExpiresAt;
  upstream_speed Speed; ///< Times that this host has measured at this run.
  upstream_silence Silence;
  upstream_state State; ///< What this run has said of itself.
  /// The limit leaves no permit until then, as far as is known.
  time_point BusyUntil;

  /// Whether it may get new calls.
  bool takesCalls() const { return Upstream.Ready && !State.IsLeaving; }
};

/// The properties of a call that decide which upstream gets it.
struct placement {
  std::string_view Service;
  std::string_view DataCentre; ///< Data centre of this host.
  /// Id of the upstream that ran the previous turn and has the chain in its
  /// cache. Empty if there is none or it is not known.
  std::string_view PreviousUpstream;
  /// Calls with the same key go to the same upstream while it is healthy, so
  /// that they use its cache. Empty: the call goes to the least loaded one.
  std::string_view AffinityKey;
  /// Whether no upstream has anything cached for the key. This also holds if
  /// the upstream of the previous turn is not registered, or leaves.
  bool IsNewChain = false;
  /// What the predicted times are for. IsCached follows from the above.
  turn_shape Shape;
  /// Whether the data centre matters. It does not while limits leave less than
  /// the slots of the upstreams, which are then used wherever they are.
  bool PrefersNear = true;
  /// Whether upstreams without a limit are preferred, as others have denied
  /// permits.
  bool AvoidsLimits = false;
  /// Ids of the upstreams that have denied a permit to the call.
  std::span<const std::string> Denied;
  std::string_view SpreadKey; ///< Breaks ties, for example the id of the call.
  /// Ids of the upstreams that the call was sent to.
  std::span<const std::string> Tried;
  /// Whether the call may be sent again if it gets no answer. Such calls find
  /// out whether a silent upstream answers again.
  bool IsRepeatable = false;
};

/// The criterion by which a chosen upstream was preferred to the next one.
enum class choice_rule : std::uint8_t {
  NoneReady,     ///< No upstream was chosen.
  OnlyReady,     ///< There was no other candidate.
  Penalty,       ///< It has fewer or lesser reasons to be avoided.
  Permit,        ///< Its limit leaves permits earlier.
  Load,          ///< It has fewer calls in flight for its speed.
  Home,          ///< It ran the previous turn.
  Measurement,   ///< Its data centre is to be measured.
  DataCentre,    ///< Its data centre is this one or clearly faster.
  WeightedHash,  ///< Rendezvous hash, weighted by speed.
  Hash,          ///< Rendezvous hash.
  FinishesFirst, ///< Of the first two it is predicted to finish first.
};
/// Returns a description of the rule for operators.
std::string_view nameOf(choice_rule Rule);

/// A candidate for a call, and what its rank consists of.
struct ranked_upstream {
  const upstream_row *Row = nullptr;
  std::vector<std::string_view> Penalties; ///< Names, the heaviest first.
  milliseconds BusyFor{0};                 ///< Until its limit leaves permits.
  /// 0: previous upstream or data centre to measure; 1: this data centre or a
  /// clearly faster one; 2: another one.
  int Distance = 0;
  double TurnMs = 0;   ///< Predicted time of a turn; 0: not known.
  double FinishMs = 0; ///< The same with the time until a slot is free.
  std::optional<milliseconds> SamplesAge; ///< Unset: nothing was measured.
};

/// Where a call would be sent now, and why.
struct placement_report {
  std::vector<ranked_upstream> Candidates; ///< By rank, the best first.
  const upstream_row *Chosen = nullptr;
  choice_rule Rule = choice_rule::NoneReady;
};

/// Upstreams by id. Each entry host owns one and uses it in its loop thread.
class upstream_table {
public:
  /// Adds or updates an upstream and cancels its scheduled removal.
  void put(const upstream &Upstream);
  /// What the run of the upstream has said of itself is remembered.
  void remove(std::string_view Id);
  /// Removes an upstream at \p At unless put() is called for it before. After
  /// an outage of the platform all entries have expired at once and are
  /// registered again within seconds.
  void expireAt(std::string_view Id, time_point At);
  /// Returns nullptr if the id is not known.
  upstream_row *find(std::string_view Id);
  const std::map<std::string, upstream_row, std::less<>> &rows() const {
    return Rows;
  }

  /// Returns the upstream for a call, or nullptr if none is ready. Expected
  /// load:
  /// - Chains of calls that share a growing prefix go to the runner of the
  ///   previous turn, even in another data centre. A new chain starts in this
  ///   data centre or in one where turns take clearly less time. Of the two
  ///   runners that are first in the rendezvous hash order of its program,
  ///   weighted by speed, it goes to the one predicted to finish first.
  /// - Some new chains start in another data centre to measure its speed, see
  ///   service_speed::toMeasure().
  /// - A runner that is slow, silent or has failed is avoided while others are
  ///   healthy.
  /// - In a burst, once the slots of a runner are in use, calls go to the next
  ///   runner in the hash order.
  upstream_row *pick(const placement &Placement, time_point Now);
  /// Reports what pick() would return now and why, and changes no upstream. The
  /// report is valid until the next change of the table.
  placement_report explain(const placement &Placement, time_point Now);

  /// Returns whether any upstream of the service is ready.
  bool hasReady(std::string_view Service, time_point Now) const;

  /// Returns whether an upstream of the service other than \p Id could run a
  /// call at once: it is healthy, has a free slot and no exhausted limit.
  bool hasAlternative(std::string_view Service, std::string_view Id,
                      time_point Now) const;

  /// Returns whether a ready upstream of the service has named a limit.
  bool hasLimits(std::string_view Service, time_point Now) const;

  /// Returns how many calls the ready upstreams of a service run concurrently.
  std::uint32_t readySlots(std::string_view Service, time_point Now) const;

  /// Returns how many calls of this host are in flight at the upstreams of a
  /// service.
  std::size_t inFlight(std::string_view Service) const;
  /// Returns the same without calls at silent upstreams, which take no capacity
  /// from others.
  std::size_t inFlightAtAnswering(std::string_view Service,
                                  time_point Now) const;

  /// Returns the state of a run, which need not be registered; nullptr if
  /// another run of the upstream is.
  upstream_state *stateOf(const upstream_run &Run);

  /// Counts a call as in flight at \p Row.
  void recordSent(upstream_row &Row, time_point Now);
  /// A call is not in flight any more, with or without an answer.
  void recordEnd(std::string_view Id, time_point Now);
  /// The head or a part of an answer has arrived.
  void recordAnswer(std::string_view Id, time_point Now);
  /// Prefers other upstreams for a short time.
  void recordFailure(std::string_view Id, time_point Now);
  /// Records a time measured at the upstream.
  void recordTime(std::string_view Id, time_kind Kind, milliseconds Time,
                  time_point Now);
  /// Records the time between two events of a stream of the upstream.
  void recordEventGap(std::string_view Id, milliseconds Gap,
                      time_point Now = {}) {
    recordTime(Id, time_kind::EventGap, Gap, Now);
  }

private:
  /// Orders the candidates for a call; the lowest rank is the best.
  struct rank {
    int Penalty = 0;       ///< Sum of weighted reasons to avoid the upstream.
    std::int64_t Busy = 0; ///< Time until its limit leaves permits, in steps.
    double Load = 0;
    int Distance = 0; ///< Previous upstream, preferred data centres, others.
    double WeightedHash = 0;
    std::uint64_t Hash = 0;
    friend auto operator<=>(const rank &, const rank &) = default;
  };
  /// What one choice among the upstreams depends on.
  struct choice {
    const placement &Placement;
    time_point Now;
    bool IsNewChain = false;
    time_point ActiveSince{}; ///< See activeSince().
    std::uint64_t KeyHash = 0;
    double SlowGapMs = 0; ///< Mean time between events of a slow upstream.
    double OwnTurnMs = 0; ///< Predicted time of a turn in the own data centre.
    /// The data centre that the call is to measure, if any.
    const service_speed::data_centre *ToMeasure = nullptr;
  };
  struct candidate {
    upstream_row *Row = nullptr;
    std::size_t DataCentre = 0; ///< Index in Speeds.
    double GapMs = 0;           ///< Estimated time between events.
  };
  void removeExpired(time_point Now);
  choice prepare(const placement &Placement, time_point Now);
  /// Returns whether no upstream has the prompt of the call in its cache.
  bool isNewChain(const placement &Placement, time_point Now);
  /// Sets Candidates and their estimates.
  void collect(const choice &Choice);
  /// Returns since when the service answers without a longer pause.
  time_point activeSince(std::string_view Service, time_point Now) const;
  /// Returns whether the upstream answers none of its calls, and was tried too
  /// lately for another one.
  bool isSilent(const candidate &Candidate, const choice &Choice) const;
  /// A candidate and its rank.
  struct ranked {
    const candidate *Candidate = nullptr;
    rank Rank;
  };
  struct shortlist {
    ranked Best;
    ranked Second;
  };
  /// Returns the two candidates with the lowest ranks.
  shortlist firstTwo(const choice &Choice) const;
  /// Returns whether the second candidate gets the call.
  bool prefersSecond(const shortlist &List, const choice &Choice) const;
  choice_rule ruleOf(const shortlist &List, const choice &Choice) const;
  rank rankOf(const candidate &Candidate, const choice &Choice) const;
  int penaltyOf(const candidate &Candidate, const choice &Choice) const;
  int distanceOf(const candidate &Candidate, const choice &Choice) const;
  double turnMs(const candidate &Candidate) const;
  /// Returns the predicted time until a turn sent now has ended.
  double finishMs(const candidate &Candidate) const;
  /// Returns whether \p Second is predicted to finish before \p Best.
  bool finishesFirst(const candidate &Second, const candidate &Best) const;
  /// Returns the mean time between events above which a candidate counts as
  /// slow, in milliseconds.
  double slowGapMs();

  /// The state of a run whose upstream is not registered. Its entry may come
  /// back.
  struct remembered_run {
    std::int64_t StartedMs = 0;
    upstream_state State;
  };
  /// Returns the remembered state of the run, an empty one if there is none.
  upstream_state &remember(const upstream_run &Run);

  std::map<std::string, upstream_row, std::less<>> Rows;
  std::map<std::string, remembered_run, std::less<>> Remembered;
  std::map<std::string, service_activity, std::less<>> Activities;
  // Of the latest choice. They are members to keep their memory.
  service_speed Speeds;
  std::vector<candidate> Candidates;
  std::vector<double> Gaps;
};

} // namespace turmerichead::relay
