/// \file
/// Addresses by IP number and port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead {

/// An address a process listens on or connects to. Names are not resolved:
/// hosts talk by IP number.
struct ip_endpoint {
  std::string Ip;
  std::uint16_t Port = 0;

  /// Reads "10.0.0.5:8080" or "[fd00::5]:8080". Port 0 is refused. On failure
  /// lastError() has the code InvalidInput.
  static std::optional<ip_endpoint> parse(std::string_view Text);

  /// The text that parse() reads; empty for a default endpoint.
  std::string toText() const;

  friend bool operator==(const ip_endpoint &, const ip_endpoint &) = default;
};

} // namespace turmerichead
