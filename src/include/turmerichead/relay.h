/// \file
/// Forwards calls from callers to upstreams.
///
/// A relay owns the HTTP server for callers and the HTTP client for upstreams.
/// Each call is matched to a route and sent to one upstream at a time.
/// Idempotent calls are retried up to the attempts of the route. A turn is
/// opened and closed at the disk hosts (turns_client.h), and the caller gets
/// the end of the answer only once the turn is stored. A relay is used in the
/// loop thread.
///
///     auto Relay = relay::relay::create(Settings, Names, Turns, Metrics);
///     Relay->setRouting(Routing);
///     Relay->putUpstream(Upstream);
#pragma once

#include "turmerichead/http1_client.h"
#include "turmerichead/http1_server.h"
#include "turmerichead/metrics.h"
#include "turmerichead/relay_crash_tracker.h"
#include "turmerichead/relay_permits.h"
#include "turmerichead/relay_quota.h"
#include "turmerichead/relay_routes.h"
#include "turmerichead/relay_upstreams.h"
#include "turmerichead/relay_where.h"
#include "turmerichead/turns_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace turmerichead::relay {

/// Names of the headers that carry the parameters of a call. The platform
/// adapter sets the names that its callers and upstreams use.
struct header_names {
  std::string CallId;         ///< Id of one attempt of a caller.
  std::string TimeLeft;       ///< Milliseconds that the caller waits at most.
  std::string ExpectUpstream; ///< Id that the receiving upstream must have.
  std::string NotRun;         ///< In an answer: the call was not run.
  std::string RetryAfter;     ///< Seconds, with three decimals.
  std::string Program;        ///< Id of the program.
  std::string Budget;         ///< Token budget of all turns of the program.
  std::string Tokens;         ///< "PROMPT,MAX": tokens of a turn.
  std::string PreviousTurn;   ///< Call id of the turn that it continues.
  std::string LastEvent;      ///< Id of the event after which to resume.
  /// Names the organisation of the caller to the upstream.
  std::string Organisation;
  /// Headers that only this system may set; removed from requests of callers.
  std::vector<std::string> SystemOnly;
};

struct relay_settings {
  std::string Host;   ///< Name of this host.
  std::string Listen; ///< "ip:port" for callers.
  std::string DataCentre;
  milliseconds ConnectTimeout{300};
  /// Time in the retry header of an answer when there is no better estimate.
  milliseconds RetryAfter{200};
  /// Limit for the bytes that callers and upstreams make this host hold:
  /// requests, chains, answers. Above it, requests that are not complete are
  /// refused, then unread answers and the largest calls are broken off.
  std::size_t MaxHeldBytes = 64U << 20U;
  /// Connections of callers at once.
  std::size_t MaxConnections = 2048;
  std::string TunnelKey; ///< Shared with the tunnel servers of other hosts.
  /// Second attempts that slow repeatable calls may get, for 100 calls of a
  /// service; 0: none (relay_hedging.h).
  std::uint32_t HedgePercent = 0;
  /// Decodes what the head of an answer says of its upstream. May be unset.
  std::function<upstream_notice(const http1::header_list &Headers)> ReadNotice;
  /// Returns whether the keys of the configuration are known to be current. If
  /// not, requests that need a key are refused. Unset: they always are.
  std::function<bool()> KeysAreCurrent;
  /// A call is refused because no upstream of its service is ready. May be
  /// unset.
  std::function<void()> OnNoUpstream;
  quota_settings Quota; ///< Of the rate limits of organisations.
};

/// The relay of one entry host.
class relay {
public:
  /// \p Turns and \p Metrics must outlive the relay. Fails with InvalidInput
  /// or Unavailable.
  static std::optional<relay> create(relay_settings Settings,
                                     header_names Names, turns::client &Turns,
                                     metrics &Metrics);

  /// Applies a configuration unless the current one is as new or newer.
  void setRouting(routing Routing);
  const routing &routingInForce() const;

  void putUpstream(const upstream &Upstream);
  /// Removes an upstream after \p After, unless it is put again before.
  /// Until then it gets calls only if no other upstream is healthy.
  void removeUpstream(std::string_view Id, milliseconds After);
  const upstream_table &upstreams() const;

  /// Sets the number of entry hosts including this one.
  void setEntryHosts(std::size_t Count);

  /// Sets the addresses of the tunnel servers of other hosts, in order of
  /// preference. Calls to upstreams whose links this host has lost use them.
  void setTunnelHosts(std::span<const std::string> Addresses);
  /// Whether \p Address is that of an upstream that is not leaving, and this
  /// host is not cut off from upstreams. If it is, its link to the address is
  /// probed.
  bool mayReach(const std::string &Address);
  /// Returns the address of another upstream than \p Address, or nullopt.
  std::optional<std::string> otherAddress(std::string_view Address) const;
  /// Records whether the tunnel server of this host has connected to an
  /// upstream.
  void recordLink(std::string_view Address, bool Connected);

  /// Sets the function that is called when an answer has said for the first
  /// time that its upstream leaves, so that other hosts can be told.
  void onUpstreamLeaves(std::function<void(const upstream_run &Run)> Action);
  /// Another host, \p From, has been told by the upstream that it leaves.
  void recordLeaving(const upstream_run &Run, std::string_view From);

  /// Records of requests that crash their upstreams.
  crash_tracker &crashTracker();
  /// Sets the function that is called with the fingerprints whose records this
  /// host has changed, so that they can be sent to other hosts.
  void onCrashRecordsChanged(
      std::function<void(std::span<const std::uint64_t> Changed)> Action);

  /// Starts the shutdown; the process exits after \p Left. From now on each
  /// answer closes its connection, and a call whose deadline is after the exit
  /// is refused.
  void drain(milliseconds Left);
  /// Stops accepting connections.
  void stopAccepting();
  /// Ends the shutdown, shortly before the process exits: closes connections
  /// without a call, and gives calls under way their final answer, which says
  /// that they were not run only if they were not sent. A call whose last bytes
  /// arrive from now on is refused.
  void endDrain();
  std::size_t callsUnderWay() const;
  /// Bytes that callers and upstreams make this host hold.
  std::size_t heldBytes() const;
  /// The budget of that memory, for the servers of this host that other hosts
  /// use. They must not outlive the relay.
  memory_budget &memory();

  /// Reports where a request would be sent now and why. Sends nothing and
  /// changes nothing.
  where_answer where(const where_question &Question) const;

  /// Updates the gauges in the metrics.
  void publish() const;

  relay(relay &&Other) noexcept;
  relay &operator=(relay &&Other) noexcept;
  ~relay();

  /// Private to the implementation.
  struct impl;

private:
  explicit relay(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace turmerichead::relay
