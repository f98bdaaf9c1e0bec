/// \file
/// Settings of the peer links between entry hosts and disk hosts.
#pragma once

#include "turmerichead/net_peer.h"

#include <string>

namespace turmerichead::turns {

/// Returns the settings of the links of \p Host. Requests between these hosts
/// have their own timeouts, so pings only detect broken links, which are then
/// closed.
inline peer_settings linkSettings(std::string Host) {
  constexpr milliseconds PingInterval{2000};
  peer_settings Settings;
  Settings.Host = std::move(Host);
  Settings.PingInterval = PingInterval;
  return Settings;
}

} // namespace turmerichead::turns
