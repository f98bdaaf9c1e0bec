/// \file
/// A non-blocking socket with a buffer of unsent bytes.
#pragma once

#include "turmerichead/net_loop.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace turmerichead::http1::pvt {

/// What a read or a write came to.
enum class io_result : std::uint8_t {
  Done,    ///< Bytes were moved, or there was nothing to move.
  Blocked, ///< The socket is not ready.
  Ended,   ///< The other side has ended its direction in order.
  Failed   ///< Reset, timed out or refused.
};

/// Owns a socket that is connected or connecting.
class buffered_socket {
public:
  buffered_socket() = default;
  explicit buffered_socket(handle<GSocket> Socket)
      : Socket(std::move(Socket)) {}
  buffered_socket(buffered_socket &&) noexcept = default;
  buffered_socket &operator=(buffered_socket &&) noexcept = default;
  ~buffered_socket() { close(); }

  int descriptor() const { return g_socket_get_fd(Socket.get()); }
  bool isOpen() const { return static_cast<bool>(Socket); }

  /// Appends what is there to \p Input, up to one buffer's size.
  io_result read(std::string &Input);

  /// Adds bytes to those that wait to be sent.
  void queue(std::string Bytes);
  /// Sends what the socket takes. Done means that nothing is left.
  io_result flush();
  std::size_t unsent() const { return Unsent; }
  /// Bytes that the kernel has taken since the socket was opened.
  std::uint64_t sent() const { return Sent; }

  /// How a connect that is not under way any more has ended.
  enum class connect_result : std::uint8_t { Connected, Refused, Failed };
  connect_result connectResult() const;

  /// Ends the outgoing direction.
  void shutdownWrite();
  void close();

private:
  handle<GSocket> Socket;
  std::deque<std::string> Output;
  std::size_t FrontOffset = 0;
  std::size_t Unsent = 0;
  std::uint64_t Sent = 0;
};

} // namespace turmerichead::http1::pvt
