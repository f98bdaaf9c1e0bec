/// \file
/// Routes, services and limits in force, and the choice of a route.
#pragma once

#include "turmerichead/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// What may be repeated, and how an answer comes.
enum class call_kind : std::uint8_t {
  Safe,   ///< May run more than once.
  Unsafe, ///< Runs at most once for each attempt of the caller.
  Stream  ///< Unsafe, and answered by a series of events.
};
std::string_view nameOf(call_kind Kind);

/// A service that a route sends to, and its part of the route's calls.
struct traffic_share {
  std::string Service;
  std::uint32_t Weight = 1;
};

struct route {
  std::string Name;
  std::string Host;       ///< Of the request's Host header, without a port.
  std::string PathPrefix; ///< Begins and ends with a slash.
  call_kind Kind = call_kind::Unsafe;
  milliseconds Timeout{0};    ///< After which the caller has a final answer.
  std::uint32_t Rank = 0;     ///< 0 is the most urgent.
  std::uint32_t Attempts = 1; ///< Upstreams that one call may be sent to.
  /// A stream that broke may go on after the last event that its caller has;
  /// it may run more than once.
  bool Resumable = false;
  std::vector<traffic_share> Services;
  bool KeepsTurns = false; ///< Calls are turns whose chain the system keeps.
  milliseconds Keep{0};    ///< How long a turn is kept.
};

struct service {
  std::string Name;
  std::uint32_t ConnectionLimit = 0; ///< Of each upstream, all callers.
  std::uint32_t TokensPerEvent = 1;  ///< Of a model runner's streams.
};

/// Limits on what callers may send.
struct caller_limits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 4U << 20U;
  milliseconds HeaderTimeout{3000};
  milliseconds IdleTimeout{15000};
};

/// One version of the configuration.
struct routing {
  std::uint64_t Version = 0;
  std::vector<route> Routes;
  std::map<std::string, service, std::less<>> Services;
  caller_limits Limits;

  /// The route of the host with the longest prefix of the path, or nullptr.
  const route *match(std::string_view Host, std::string_view Path) const;

  const service *findService(std::string_view Name) const;
};

/// The service of a route for a call. The same \p Key gets the same service
/// as long as the weights stand.
const std::string &serviceFor(const route &Route, std::string_view Key);

} // namespace turmerichead::relay
