/// \file
/// The protocol of tunnels, without input and output.
///
/// The host that opens a tunnel sends one line, "TUNNEL ADDRESS PROOF\n". The
/// server replies with one byte, a tunnel_status. After Connected, the bytes to
/// the upstream follow as they are, and those from it in frames: the length in
/// four bytes, the most significant first, and the bytes. A frame of length 0
/// is the orderly end of the connection of the upstream.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::http1::pvt {

enum class tunnel_status : char {
  Connected = 'C',
  Refused = 'R',     ///< Nobody listens at the address.
  Unreachable = 'U', ///< The upstream did not respond in time.
  Declined = 'D'     ///< The server can't or won't open the tunnel.
};

inline constexpr std::size_t MaxTunnelLineBytes = 256;

/// Returns the line that opens a tunnel.
std::string tunnelLine(std::string_view Address, std::string_view SharedKey);

/// Returns the address in a line without its line feed, or nullopt if the line
/// is invalid or its sender does not have the key.
std::optional<std::string> readTunnelLine(std::string_view Line,
                                          std::string_view SharedKey);

/// Returns \p Bytes as a frame; without bytes, the frame of the end.
std::string tunnelFrame(std::string_view Bytes);

/// Decodes what a tunnel server sends.
class tunnel_decoder {
public:
  /// Appends the bytes of the upstream to \p Output. Returns false if the input
  /// is invalid; the tunnel is unusable then.
  bool feed(std::string_view Bytes, std::string &Output);

  /// Unset until the reply has arrived.
  std::optional<tunnel_status> status() const { return Status; }
  /// Returns whether the upstream has ended its connection in order.
  bool ended() const { return Ended; }

private:
  std::optional<tunnel_status> Status;
  std::uint32_t Length = 0;
  std::size_t LengthBytes = 0; ///< Received of the length of a frame.
  std::size_t Left = 0;        ///< Bytes that the current frame lacks.
  bool Ended = false;
};

} // namespace turmerichead::http1::pvt
