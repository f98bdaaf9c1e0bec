/// \file
/// How the hosts that serve turns are linked.
#pragma once

#include "turmerichead/net_peer.h"

#include <string>

namespace turmerichead::turns {

/// Settings of the links of \p Host. Requests between these hosts have times
/// of their own, so that pings only clear away links that are dead.
inline peer_settings linkSettings(std::string Host) {
  constexpr milliseconds PingInterval{2000};
  peer_settings Settings;
  Settings.Host = std::move(Host);
  Settings.PingInterval = PingInterval;
  return Settings;
}

} // namespace turmerichead::turns
