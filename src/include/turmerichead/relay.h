/// \file
/// Carries calls between callers and upstreams.
///
/// A relay owns the server that callers reach and the client that reaches
/// upstreams. Each call is matched to a route and sent to one upstream at a
/// time; what may be repeated is repeated within the route's attempts. A call
/// that is a turn is opened and closed with the disk hosts (turns_client.h),
/// and its caller sees the end of the answer only once the turn is kept.
///
///     auto Relay = relay::relay::create(Settings, Names, Turns);
///     Relay->setRouting(Routing);
///     Relay->upstreams().put(Upstream);
#pragma once

#include "turmerichead/http1_client.h"
#include "turmerichead/http1_server.h"
#include "turmerichead/metrics.h"
#include "turmerichead/relay_crash_tracker.h"
#include "turmerichead/relay_routes.h"
#include "turmerichead/relay_upstreams.h"
#include "turmerichead/turns_client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace turmerichead::relay {

/// The headers that carry a call's data. The adapter of a platform fills in
/// the names that its callers and upstreams use.
struct header_names {
  std::string CallId;         ///< Id of one attempt of a caller.
  std::string TimeLeft;       ///< Milliseconds that the caller will wait.
  std::string ExpectUpstream; ///< Id that the upstream must have.
  std::string NotRun;         ///< In an answer: the upstream did not run it.
  std::string RetryAfter;     ///< Seconds, with fractions.
  std::string Program;        ///< Id of the program.
  std::string Budget;         ///< Tokens of all turns of the program.
  std::string Tokens;         ///< "PROMPT,MOST" of a turn.
  std::string PreviousTurn;   ///< Call id of the turn that it continues.
  std::string LastEvent;      ///< Id of the event after which a stream goes on.
  /// Headers that only the system may set; taken out of a caller's request.
  std::vector<std::string> SystemOnly;
};

struct relay_settings {
  std::string Host;   ///< This host's name.
  std::string Listen; ///< "ip:port" for callers.
  std::string DataCentre;
  milliseconds ConnectTimeout{300};
  /// What a caller is told to wait when nothing better is known.
  milliseconds RetryAfter{200};
};

class relay {
public:
  /// \p Turns and \p Metrics must outlive the relay. Fails with InvalidInput
  /// or Unavailable.
  static std::optional<relay> create(relay_settings Settings,
                                     header_names Names, turns::client &Turns,
                                     metrics &Metrics);

  /// Puts a configuration in force, unless a newer one is.
  void setRouting(routing Routing);
  const routing &routingInForce() const;

  void putUpstream(const upstream &Upstream);
  /// \p After: how long it is still used where no other is well, unless it
  /// is put again before.
  void removeUpstream(std::string_view Id, milliseconds After);
  const upstream_table &upstreams() const;

  /// How many entry hosts there are, this one among them.
  void setEntryHosts(std::size_t Count);

  /// The requests that end their upstreams. What this host has seen itself
  /// is told to \p Action, which other hosts are to hear of.
  crash_tracker &crashTracker();
  void onCrashRecordsChanged(
      std::function<void(std::span<const std::uint64_t> Changed)> Action);

  /// The process will end after \p Left. From now on each answer closes its
  /// connection, and a call that might not end in time is refused.
  void drain(milliseconds Left);
  /// Accepts no further connections.
  void stopAccepting();
  /// Ends connections without a call under way.
  void closeIdle();
  std::size_t callsUnderWay() const;

  /// Writes gauges into the metrics.
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
