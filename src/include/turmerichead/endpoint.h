/// \file
/// Addresses by IP number and port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead {

/// An address that a process listens on or connects to. Names are not resolved:
/// hosts use IP addresses only.
struct ip_endpoint {
  std::string Ip;
  std::uint16_t Port = 0;

  /// Parses "10.0.0.5:8080" or "[fd00::5]:8080". Fails with InvalidInput, also
  /// for port 0.
  static std::optional<ip_endpoint> parse(std::string_view Text);

  /// Returns the text that parse() accepts; empty for a default endpoint.
  std::string toText() const;

  friend bool operator==(const ip_endpoint &, const ip_endpoint &) = default;
};

} // namespace turmerichead
