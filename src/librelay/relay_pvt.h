/// \file
/// The relay's state and its steps.
#pragma once

#include "call_pvt.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/relay_admission.h"
#include "turmerichead/relay_crash_tracker.h"

#include <map>

namespace turmerichead::relay {

using relay_call_id = call_table::id;

/// What the caller of a request that ends its upstreams is told.
inline constexpr std::string_view QuarantineReason =
    "it was under way when several upstreams ended";

/// How busy a service is, and what follows for new programs.
struct service_load {
  slowdown_estimator Estimator;
  admission Admission;
};

struct relay::impl {
  relay_settings Settings;
  header_names Names;
  turns::client &Turns;
  metrics &Metrics;
  std::optional<http1::server> Server;
  std::optional<http1::client> Client;
  std::optional<deadline_queue> Deadlines;
  routing Routing;
  std::optional<time_point> ExitAt; ///< Of the process, once it is stopping.
  upstream_table Upstreams;
  std::map<std::string, service_load, std::less<>> Loads; ///< By service.
  std::size_t EntryHosts = 1; ///< This one among them.
  crash_tracker CrashTracker;
  std::function<void(std::span<const std::uint64_t>)> OnCrashRecordsChanged;
  /// ProbeCount at the addresses where calls broke, and how often it has
  /// looked.
  struct probe_state {
    upstream Upstream;
    std::size_t ProbeCount = 0;
    loop_source NextProbe;
  };
  std::map<std::string, probe_state, std::less<>> Probes; ///< By address.
  call_table Calls;
  std::unordered_map<http1::exchange_id, relay_call_id> ByExchange;

  impl(relay_settings Settings, header_names Names, turns::client &Turns,
       metrics &Metrics)
      : Settings(std::move(Settings)), Names(std::move(Names)), Turns(Turns),
        Metrics(Metrics), CrashTracker(this->Settings.Host) {}

  // -- Arrival (relay.cpp) --
  void onRequest(http1::exchange_id Exchange, http1::request &&Request);
  void onCallerGone(http1::exchange_id Exchange);
  void onDeadline(relay_call_id Id);
  void openTurn(relay_call_id Id);
  /// Refuses a call whose program begins with it and may not begin now.
  bool refuseNewProgram(relay_call_id Id);

  // -- Upstreams (relay_send.cpp) --
  void send(relay_call_id Id);
  /// The upstream for the next send; nullptr if none is ready.
  upstream_row *chooseUpstream(relay_call &Call, time_point Now);
  http1::call_request requestFor(const relay_call &Call,
                                 const upstream &Upstream) const;
  void onHead(relay_call_id Id, const http1::response_head &Head);
  void onBody(relay_call_id Id, std::string_view Bytes);
  /// Of a stream that may go on elsewhere only whole events.
  void forwardBody(relay_call &Call, std::string_view Bytes);
  /// Ends an answer that an upstream would go on with.
  void abortUpstreamCall(relay_call_id Id, std::string_view Reason);
  void onUpstreamEnd(relay_call_id Id, const http1::call_result &Result);
  void onResponseComplete(relay_call_id Id);
  void onStreamComplete(relay_call_id Id);
  void onNotRun(relay_call_id Id);
  void onUpstreamFailure(relay_call_id Id, const http1::call_result &Result);
  bool resumeStream(relay_call_id Id);
  void releaseUpstream(relay_call &Call);

  // -- Ends of upstreams (relay_crashes.cpp) --
  /// Refuses the call if it has ended too many upstreams.
  bool refuseQuarantined(relay_call_id Id);
  /// A call came back, or was given up, without its whole answer.
  void recordAbort(const relay_call &Call, abort_kind Kind);
  void recordExit(const upstream &Upstream, exit_evidence Evidence);
  void recordSuccess(const relay_call &Call);
  void reportCrashChanges(std::span<const std::uint64_t> Changed);
  /// Finds out whether anybody listens where a call broke. A process that
  /// ends may close its connections first, so that it looks a few times.
  void probe(const upstream &Upstream);
  void sendProbe(const std::string &Address);
  void onProbed(const std::string &Address, http1::probe_result Result);

  // -- Ends (relay_end.cpp) --
  /// Tells the caller that the call has not run and will not; if an upstream
  /// may have run it, that it has failed.
  void refuse(relay_call_id Id, std::string_view Reason);
  void refuse(relay_call_id Id, std::string_view Reason,
              milliseconds RetryAfter);
  /// Answers with a failure of our own that promises nothing.
  void failCall(relay_call_id Id, int Status, std::string_view Reason);
  /// Cuts an answer that has begun.
  void abortResponse(relay_call_id Id, std::string_view Reason);
  /// What an attempt took of its budget, for the disk hosts.
  static turns::close_call closeOf(const relay_call &Call);
  /// Gives back what an attempt did not use of its budget.
  void settleBudget(const relay_call &Call);
  /// Logs and forgets a call.
  void finish(relay_call_id Id, int Status, std::string_view Reason);
  void respondWithText(http1::exchange_id Exchange, int Status,
                       std::string_view Reason,
                       http1::header_list Headers = {});
  void respondUnavailable(http1::exchange_id Exchange, std::string_view Reason,
                          milliseconds RetryAfter);
};

} // namespace turmerichead::relay
