#include "turmerichead/hash.h"
#include "turmerichead/relay_routes.h"

#include <algorithm>

namespace turmerichead::relay {

std::string_view nameOf(call_kind Kind) {
  switch (Kind) {
  case call_kind::Safe:
    return "safe";
  case call_kind::Unsafe:
    return "unsafe";
  case call_kind::Stream:
    return "stream";
  }
  return "unknown";
}

const route *routing::match(std::string_view Host,
                            std::string_view Path) const {
  const route *Best = nullptr;
  for (const route &Route : Routes) {
    if (Route.Host != Host || !Path.starts_with(Route.PathPrefix))
      continue;
    if (!Best || Route.PathPrefix.size() > Best->PathPrefix.size())
      Best = &Route;
  }
  return Best;
}

const service *routing::findService(std::string_view Name) const {
  auto Row = Services.find(Name);
  return Row == Services.end() ? nullptr : &Row->second;
}

milliseconds routing::recordRetention(const route &Route) const {
  // From the disk hosts to the caller that is told of an end, and back with the
  // next request. Callers wait for a few seconds, so a request that a frozen
  // host has held for longer has lost its caller.
  constexpr milliseconds TransitTime{10000};
  milliseconds LongestTurn{0};
  for (const route &Other : Routes)
    if (Other.KeepsTurns)
      LongestTurn = std::max(LongestTurn, Other.Timeout);
  return Route.Retention + LongestTurn + TransitTime;
}

const std::string &serviceFor(const route &Route, std::string_view Key) {
  std::uint64_t Total = 0;
  for (const traffic_share &Share : Route.Services)
    Total += Share.Weight;
  std::uint64_t Position = Total > 0 ? hash64(Key) % Total : 0;
  for (const traffic_share &Share : Route.Services) {
    if (Position < Share.Weight)
      return Share.Service;
    Position -= Share.Weight;
  }
  return Route.Services.front().Service;
}

} // namespace turmerichead::relay
