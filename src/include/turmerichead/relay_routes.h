/// \file
/// The routing configuration, and the match of a request to a route.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/relay_authentication.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// Whether calls may be retried, and whether answers are streams.
enum class call_kind : std::uint8_t {
  Safe,   ///< Idempotent: may run more than once.
  Unsafe, ///< Runs at most once per attempt of the caller.
  Stream  ///< Unsafe, and answered with server-sent events.
};
std::string_view nameOf(call_kind Kind);

/// A service of a route and its weight in the traffic split.
struct traffic_share {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// A route, and how its calls are handled.
struct route {
  std::string Name;
  std::string Host;       ///< Value of the Host header without the port.
  std::string PathPrefix; ///< Starts and ends with a slash.
  call_kind Kind = call_kind::Unsafe;
  milliseconds Timeout{0};    ///< Longest time until the final answer.
  std::uint32_t Rank = 0;     ///< 0 is the most urgent.
  std::uint32_t Attempts = 1; ///< Upstreams that one call may be sent to.
  /// Whether a broken stream may be resumed after the last event that the
  /// caller has received. Such a call may run more than once.
  bool Resumable = false;
  std::vector<traffic_share> Services;
  bool IsPublic = false;   ///< Whether its callers need no key.
  bool KeepsTurns = false; ///< Whether calls are turns whose chains are stored.
  /// How long after its end a turn may be continued, and a program may return.
  milliseconds Retention{0};
};

/// A service, and properties of its upstreams.
struct service {
  std::string Name;
  std::uint32_t ConnectionLimit = 0; ///< Connections of all hosts per upstream.
  std::uint32_t TokensPerEvent = 1;  ///< In the streams of a model runner.
};

/// An organisation whose callers authenticate with keys.
struct organisation {
  std::string Name;
  std::optional<std::uint32_t> Rank; ///< Replaces the rank of the route.
  double RatePerSecond = 0; ///< Requests of all hosts together; 0: no limit.
  double Burst = 0;         ///< Requests above the rate after a pause.
};

/// The organisations of a configuration, by name.
using organisation_map = std::map<std::string, organisation, std::less<>>;

/// Limits on what callers may send.
struct caller_limits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 4U << 20U;
  milliseconds HeaderTimeout{3000};
  milliseconds IdleTimeout{15000};
};

/// One version of the routing configuration.
struct routing {
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::map<std::string, service, std::less<>> Services;
  /// Unset if the configuration has no organisations; callers then need no key.
  std::optional<organisation_map> Organisations;
  key_directory Keys; ///< Of the organisations.
  caller_limits Limits;

  /// Returns the route of the host with the longest matching path prefix, or
  /// nullptr.
  const route *match(std::string_view Host, std::string_view Path) const;

  /// Returns nullptr if there is no such service.
  const service *findService(std::string_view Name) const;

  /// How long the disk hosts retain the records of a call on \p Route.
  ///
  /// Longer than its Retention. A turn that continues another one, or a request
  /// of a program that was stopped, may be sent until Retention is over and be
  /// delayed on its way. A turn extends its chain only at its own end, so its
  /// longest time is added.
  milliseconds recordRetention(const route &Route) const;
};

/// Returns the service of a route for a call by the traffic split. The same
/// \p Key gets the same service while the weights don't change.
const std::string &serviceFor(const route &Route, std::string_view Key);

} // namespace turmerichead::relay
