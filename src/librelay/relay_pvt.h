/// \file
/// The state of a relay, and the steps of a call. All of it is used in the loop
/// thread.
#pragma once

#include "call_pvt.h"
#include "turmerichead/log_limiter.h"
#include "turmerichead/memory_budget.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/relay_admission.h"
#include "turmerichead/relay_crash_tracker.h"
#include "turmerichead/relay_hedging.h"
#include "turmerichead/relay_links.h"
#include "turmerichead/relay_permit_client.h"
#include "turmerichead/relay_program_homes.h"
#include "turmerichead/relay_quota_client.h"
#include "turmerichead/relay_where.h"

#include <map>
#include <nlohmann/json_fwd.hpp>

namespace turmerichead::relay {

using relay_call_id = call_table::id;

/// Answer to the caller of a quarantined request.
inline constexpr std::string_view QuarantineReason =
    "it was under way when several upstreams ended";

/// Reasons of refusals that are also reported without a call.
inline constexpr std::string_view NoConfigurationReason =
    "no configuration is known yet";
inline constexpr std::string_view NoRouteReason = "no route matches";
inline constexpr std::string_view KeysOutdatedReason =
    "the keys in force are not known at present";
inline constexpr std::string_view StoppingReason = "the host is stopping";
inline constexpr std::string_view NoRoomReason = "no room for a new program";
inline constexpr std::string_view RateLimitReason =
    "the rate limit of the organisation is reached";
inline constexpr std::string_view LimitsReachedReason =
    "the upstreams have reached their limits";
inline constexpr std::string_view NoUpstreamReason = "no upstream is ready";
inline constexpr std::string_view UnreachableReason =
    "this host reaches no upstream";

/// What the credentials of a request allow.
enum class access : std::uint8_t {
  Anonymous,  ///< It is served, and has no organisation.
  Identified, ///< It is served for the organisation of its key.
  Outdated,   ///< It can't be decided, as keys may have changed.
  Denied
};
/// \p IsKnown: the key of the request is known; \p MayBeOutdated: it has a key,
/// and the known keys may not be those in force.
access accessOf(const route &Route, bool IsKnown, bool MayBeOutdated);

/// Programs whose last upstream a host remembers at least. A host has far fewer
/// programs at a time; an entry takes some 150 bytes.
inline constexpr std::size_t MinHomes = 4096;

/// What is due in the queue of deadlines.
enum class due_kind : int {
  Deadline, ///< The deadline of a call.
  Permit,   ///< The delay of a permit is over.
  Hedge     ///< The first attempt of a call is slow if it has no head yet.
};

/// Upstreams without a permit after which a call is refused.
inline constexpr std::size_t MaxPermitsDenied = 4;

/// A call with less time left is not sent.
inline constexpr milliseconds MinTimeToSend{5};

/// The load of a service and the admission of new programs to it.
struct service_load {
  slowdown_estimator Estimator;
  admission Admission;
};

struct relay::impl {
  relay_settings Settings;
  header_names Names;
  turns::client &Turns;
  metrics &Metrics;
  memory_budget Memory{Settings.MaxHeldBytes}; ///< Outlives the server.
  memory_owner_id MemoryOwner;                 ///< The calls.
  std::optional<http1::server> Server;
  std::optional<http1::client> Client;
  std::optional<deadline_queue> Deadlines;
  routing Routing;
  std::optional<time_point> ExitAt; ///< Exit of the process; set by drain().
  upstream_table Upstreams;
  std::map<std::string, service_load, std::less<>> Loads; ///< By service.
  std::map<std::string, hedging, std::less<>> Hedgings;   ///< By service.
  std::size_t EntryHosts = 1; ///< Including this one.
  crash_tracker CrashTracker;
  std::function<void(std::span<const std::uint64_t>)> OnCrashRecordsChanged;
  std::function<void(const upstream_run &)> OnUpstreamLeaves;
  /// The probing of an address at which a call broke.
  struct probe_state {
    upstream Upstream;
    std::size_t ProbeCount = 0;
    loop_source NextProbe;
  };
  std::map<std::string, probe_state, std::less<>> Probes; ///< By address.
  upstream_links Links;
  tunnel_hosts TunnelHosts;
  loop_source LinkCheck; ///< Set while a call waits for its answer.
  permit_client Permits;
  quota_client Quota;
  program_homes Homes{MinHomes};
  call_table Calls;
  std::unordered_map<http1::exchange_id, relay_call_id> ByExchange;
  /// By reason; the names are literals.
  std::map<std::string_view, log_limiter> RefusalLogs;

  impl(relay_settings Settings, header_names Names, turns::client &Turns,
       metrics &Metrics)
      : Settings(std::move(Settings)), Names(std::move(Names)), Turns(Turns),
        Metrics(Metrics), CrashTracker(this->Settings.Host),
        Permits(Turns.links()),
        Quota(Turns.links(), this->Settings.Quota,
              [&Turns](std::string_view Address, bool HasFailed) {
                return Turns.forwarderFor(Address, HasFailed);
              }) {}

  // -- Arrival of calls (relay.cpp) --
  void onRequest(http1::exchange_id Exchange, http1::request &&Request);
  /// The caller has closed its connection.
  void onCallerGone(http1::exchange_id Exchange);
  /// Refuses a request with a long body if no route matches.
  std::optional<http1::early_refusal>
  onRequestHead(std::string_view Target, const http1::header_list &Headers);
  http1::server_limits serverLimits() const;
  /// Returns the route of a request, or nullptr.
  const route *routeFor(std::string_view Host, std::string_view Target) const;
  /// Sets what follows from the route and the organisation of a call.
  void setRoute(relay_call &Call, const route &Route,
                std::string Organisation) const;
  /// Logs a request that is refused before it becomes a call, at most once a
  /// second for each reason and \p Error. Both must be literals.
  void logRefused(const http1::request &Request, std::string_view Reason,
                  std::string_view Error = {});
  void onDeadline(relay_call_id Id);
  /// The process exits although the call has not ended.
  void endAtExit(relay_call_id Id);
  /// Returns the organisation of the caller, empty if it needs none. Refuses
  /// the request and returns nullopt if it is not authenticated.
  std::optional<std::string> authenticate(http1::exchange_id Exchange,
                                          const route &Route,
                                          const http1::request &Request);
  /// Assigns the call to an organisation. From then on its request names the
  /// organisation and no longer holds the key.
  void setOrganisation(relay_call &Call, std::string Name) const;
  /// Opens the turn at the disk hosts, then sends the call.
  void openTurn(relay_call_id Id);
  /// Refuses a call that starts a program if no program may start now.
  /// \p IsRetry: the program was here before. Returns whether it did.
  bool refuseNewProgram(relay_call_id Id, bool IsRetry);
  /// Returns the reason why the disk hosts can't be asked to open the turn, or
  /// an empty string.
  std::string_view cannotOpen(const relay_call &Call, time_point Now) const;
  /// Refuses a call for which there is no upstream.
  void refuseWithoutUpstream(relay_call_id Id);

  // -- Upstreams (relay_send.cpp) --
  /// Chooses an upstream and sends the call, or asks for a permit first.
  void send(relay_call_id Id);
  /// Sends the call to this upstream, over the way that works.
  void sendTo(relay_call_id Id, upstream_row &Upstream);
  service_capacity capacityOf(std::string_view Service, time_point Now) const;
  /// Returns the upstream for the next send, or nullptr if none is ready.
  upstream_row *chooseUpstream(relay_call &Call, time_point Now);
  /// Sets the upstream that has the prompt of the call in its cache, if this
  /// host knows it and the disk hosts don't.
  void findHome(relay_call &Call) const;
  /// Returns the properties of the call for upstream_table::pick(). They refer
  /// to the call.
  placement placementOf(const relay_call &Call, time_point Now) const;
  http1::call_request requestFor(const relay_call &Call,
                                 const upstream_attempt &Attempt) const;
  /// Enters the upstream as that of the attempt, and counts it in flight.
  void assign(relay_call &Call, upstream_attempt &Attempt,
              upstream_row &Upstream);
  /// Gives the call to the HTTP client for the attempt in this role.
  template <attempt_role Role>
  void startAttempt(relay_call_id Id, bool FreshConnection);
  void onHead(relay_call_id Id, attempt_role Role,
              const http1::response_head &Head);
  void onBody(relay_call_id Id, attempt_role Role, std::string_view Bytes);
  /// Records the time to the first event of the current attempt.
  void recordFirstEvent(const relay_call &Call, time_point Now);
  /// Counts what the call holds, and ends what holds the most while all of it
  /// takes too much memory. The call may end.
  void limitMemory(relay_call_id Id);
  /// Ends a call for the memory that it takes.
  void endForMemory(relay_call_id Id);
  /// Drops what was received of an answer, before the call is sent again.
  void dropBody(relay_call_id Id);
  /// Forwards bytes of a stream to the caller; of a resumable stream, only
  /// complete events.
  void forwardBody(relay_call &Call, std::string_view Bytes);
  /// Cancels an attempt in the middle of its answer, and handles this as a
  /// failure of the upstream.
  void abortUpstreamCall(relay_call_id Id, upstream_attempt &Attempt,
                         std::string_view Reason);
  void onUpstreamEnd(relay_call_id Id, attempt_role Role,
                     const http1::call_result &Result);
  /// The upstream has sent a complete answer that is not a stream.
  void onResponseComplete(relay_call_id Id);
  /// The upstream has sent a complete stream.
  void onStreamComplete(relay_call_id Id);
  /// The upstream has answered that it did not run the call.
  void onNotRun(relay_call_id Id, upstream_attempt &Attempt);
  /// An attempt failed: unless another one is in flight, the call is resumed,
  /// retried or failed.
  void onUpstreamFailure(relay_call_id Id, upstream_attempt &Attempt,
                         const http1::call_result &Result);
  /// Sends the call again after the last complete event. Returns false if it
  /// may not be resumed.
  bool resumeStream(relay_call_id Id);
  /// Takes an attempt off the in-flight counts of its upstream and service.
  void releaseUpstream(const relay_call &Call, upstream_attempt &Attempt);

  // -- Hedged requests (relay_hedge.cpp) --
  /// Returns the hedging of the call's service, or nullptr if the call is never
  /// hedged.
  hedging *hedgingOf(const relay_call &Call);
  /// Starts the timer of the hedge if the call has just been sent for the first
  /// time.
  void scheduleHedge(relay_call_id Id);
  /// The timer is over. Sends the hedge if the first attempt still waits for
  /// its head and the service has room.
  void onHedgeDue(relay_call_id Id);
  /// Returns the upstream for the hedge, or nullptr if none is free.
  upstream_row *chooseHedge(relay_call &Call, time_point Now);
  void sendHedge(relay_call_id Id, upstream_row &Upstream, std::string Via);
  /// Notes what the head of an answer says about times and shortage.
  void noteHead(const relay_call &Call, const upstream_attempt &Attempt);
  /// Notes that calls of the service were refused, shed or limited.
  void noteShortage(std::string_view Service);
  /// Ends an attempt without a usable answer if another one is in flight, which
  /// then is the only one. Returns whether it did.
  bool continueWithOther(relay_call_id Id, upstream_attempt &Attempt);
  /// Ends an attempt with a complete answer that may not win if another one is
  /// in flight. Returns whether it did.
  bool endUnusable(relay_call_id Id, upstream_attempt &Attempt);
  /// An attempt has brought the answer of the call: it becomes the current one,
  /// and the other one is cancelled.
  void keepWinner(relay_call_id Id, upstream_attempt &Attempt);
  /// Cancels an attempt at the HTTP client if it is in flight.
  void cancelAttempt(relay_call &Call, upstream_attempt &Attempt);
  /// Cancels all attempts of a call that ends.
  void cancelAttempts(relay_call &Call);

  // -- What upstreams say of themselves (relay_notices.cpp) --
  /// Takes in what the head of the answer says of the upstream itself.
  void readNotice(const relay_call &Call, const upstream_attempt &Attempt,
                  const http1::response_head &Head);
  /// Sends the upstream no new calls from now on. Returns whether it was not
  /// known to leave.
  bool recordLeaving(const upstream_run &Run, std::string_view Evidence);
  /// Takes in what another host has heard of a limit.
  void readNews(const upstream_run &Run, const limit_message &News,
                std::string_view From);

  // -- Limits of upstreams (relay_limits.cpp) --
  /// Asks for a permit for an upstream that has named a limit.
  void askPermit(relay_call_id Id, upstream_row &Upstream);
  permit_wait permitWaitOf(const relay_call &Call, const upstream_row &Upstream,
                           time_point Now) const;
  /// Whether the limit of the upstream is known to leave no permit in time.
  static bool hasNoPermitFor(const permit_wait &Wait,
                             const upstream_row &Upstream, time_point Now);
  /// Returns when the caller of a call without a permit should retry.
  milliseconds retryAfterDenied(milliseconds NextWait) const;
  /// The reply to a request for a permit. The call may have ended meanwhile.
  void onPermit(relay_call_id Id, const upstream_run &Run,
                const permit_result &Result);
  /// The delay of the permit is over, or there was none.
  void onPermitDue(relay_call_id Id);
  /// Tries another upstream, or refuses the call with the time until there are
  /// permits.
  void onPermitDenied(relay_call_id Id, const upstream_run &Run,
                      milliseconds NextWait);
  /// Returns the peer addresses of the disk hosts, which issue permits.
  std::vector<std::string> permitIssuers() const;

  // -- Rate limits of organisations (relay_quota.cpp) --
  /// Returns the organisation of the call if it has a limit, or nullptr.
  const organisation *limitedOrganisation(const relay_call &Call) const;
  /// Refuses the call if its organisation is known to have no tokens left, so
  /// that the disk hosts need not open a turn for it. Returns whether it did.
  bool refuseOverLimit(relay_call_id Id);
  /// Returns the time until the organisation of the call has tokens, if it is
  /// known to have none and the call may not wait for so long.
  std::optional<milliseconds> overLimitFor(const relay_call &Call) const;
  /// Sends the call for the first time, once its organisation has a token for
  /// it.
  void startSending(relay_call_id Id);
  /// Returns how long a call may wait for a token.
  static milliseconds tokenWait(const relay_call &Call);
  void refuseForQuota(relay_call_id Id, const organisation &Organisation,
                      const quota_result &Result);
  /// Whether a new program yields to those of other organisations.
  bool isOverShare(const relay_call &Call) const;
  /// Returns the members of the disk set, which issue tokens.
  std::vector<quota_member> quotaMembers() const;
  /// Drops what is known of organisations that have no limit any more.
  void forgetUnlimited();
  /// Updates the gauges of the organisations that are refused most.
  void publishRefused() const;

  // -- Links to upstreams (relay_links.cpp) --
  /// Returns the tunnel server for a call to \p Address, or an empty string if
  /// it goes over the host's own link.
  std::string viaFor(const std::string &Address, time_point Now);
  /// Returns the same, and does not probe the link.
  std::string wayTo(const std::string &Address, time_point Now) const;
  /// No connection was established for the call: it is sent another way, to
  /// another upstream, or refused.
  void onNotConnected(relay_call_id Id, upstream_attempt &Attempt,
                      http1::connect_failure Failure);
  /// A new connection has been established for the call.
  void onConnected(relay_call_id Id, attempt_role Role);
  /// Notes the way by which the upstream was reached or has answered.
  void recordWay(const upstream_attempt &Attempt, time_point Now);
  /// Starts checkLinks() unless it runs already.
  void watchLinks();
  /// Looks at the links of calls that wait for their answers while nothing
  /// comes from any upstream. Returns whether a call still waits.
  bool checkLinks();
  /// Connects to \p Address over the host's own link, to learn whether it
  /// works.
  void probeLink(const std::string &Address);
  /// Calls that may run again don't wait for an answer over a lost link.
  void leaveLostLink(const std::string &Address);

  // -- Crashes of upstreams (relay_suspects.cpp) --
  static call_fingerprints fingerprintsOf(const relay_call &Call);
  /// Refuses the call if it is quarantined. Returns whether it did.
  bool refuseQuarantined(relay_call_id Id);
  /// Records that the call ended at an upstream without a complete answer.
  void recordAbort(const relay_call &Call, const upstream_attempt &Attempt,
                   abort_kind Kind);
  void recordExit(const upstream &Upstream, exit_evidence Evidence);
  void recordSuccess(const relay_call &Call);
  /// Logs changed crash records and passes them on to other hosts.
  void reportCrashChanges(std::span<const std::uint64_t> Changed);
  /// Finds out whether an upstream still listens after a call broke. A process
  /// that exits may close its connections before its listener, so the address
  /// is probed a few times.
  void probe(const upstream &Upstream);
  void sendProbe(const std::string &Address);
  void onProbed(const std::string &Address, http1::probe_result Result);
  /// A connection to the upstream was refused. Counts it as the end of the
  /// upstream once another host has found the same: the own link may be the
  /// cause.
  void confirmExit(const upstream &Upstream);

  // -- Reports for operators (relay_where.cpp) --
  /// Answers where a request would be sent now, and changes nothing.
  where_answer where(const where_question &Question);
  /// Chooses as send() does, past upstreams that are known to have no permit.
  placement_report choose(relay_call &Call, time_point Now);
  /// Reports whether the call would be refused before an upstream is chosen.
  where_refusal refusalOf(const relay_call &Call, time_point Now) const;
  nlohmann::ordered_json describeAdmission(const relay_call &Call,
                                           const where_refusal &Refusal,
                                           time_point Now) const;
  /// \p Via is the tunnel server of the send, as in upstream_attempt.
  nlohmann::ordered_json report(const where_question &Question,
                                const relay_call &Call,
                                const placement_report &Placement,
                                const where_refusal &Refusal,
                                std::string_view Via, time_point Now) const;

  // -- Ends of calls (relay_end.cpp) --
  /// Answers that the call was not run and will not be. If an upstream may have
  /// run it, answers that it failed. Aborts an answer that has begun.
  void refuse(relay_call_id Id, std::string_view Reason);
  void refuse(relay_call_id Id, std::string_view Reason,
              milliseconds RetryAfter, int Status = http1::status::Unavailable);
  /// Answers with an error that does not say whether the call was run.
  void failCall(relay_call_id Id, int Status, std::string_view Reason);
  /// Closes the connection of the caller in the middle of the answer.
  void abortResponse(relay_call_id Id, std::string_view Reason);
  /// Returns the request that reports the tokens used to the disk hosts.
  turns::close_call closeOf(const relay_call &Call) const;
  /// Reports the tokens used to the disk hosts, which release the rest of the
  /// reservation.
  void settleBudget(const relay_call &Call);
  /// Logs and removes a call.
  void finish(relay_call_id Id, int Status, std::string_view Reason);
  /// Sends an answer of this host to the caller.
  void respondWithText(http1::exchange_id Exchange, int Status,
                       std::string_view Reason,
                       http1::header_list Headers = {});
  /// Sends a status, 503 if not given, with the time after which to retry.
  void respondUnavailable(http1::exchange_id Exchange, std::string_view Reason,
                          milliseconds RetryAfter,
                          int Status = http1::status::Unavailable);
};

} // namespace turmerichead::relay
