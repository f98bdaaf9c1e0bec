/// \file
/// What the sources of the fleet share.
#pragma once

#include <string>

namespace turmerichead::fleet_harness {

constexpr int StorePort = 8142;
constexpr int StoreControlPort = 8143;
constexpr int CallerPort = 8149;
constexpr int CallerLinkPort = 8150;
constexpr int StoreLinkPort = 8151;
constexpr int ReadyPort = 8141;
constexpr int ControlPort = 8144;
constexpr int FirstPeerPort = 7380;
constexpr int LastPeerPort = 7395;
constexpr int MetricsPort = 9464;
constexpr int UpstreamPort = 8500;

inline std::string numbered(const char *Prefix, int Number) {
  return std::string(Prefix) + "-" + std::to_string(Number);
}

} // namespace turmerichead::fleet_harness
