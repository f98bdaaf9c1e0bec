/// \file
/// A non-blocking socket with a buffer of unsent bytes.
#pragma once

#include "turmerichead/net_loop.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace turmerichead::http1::pvt {

/// Result of a read or write.
enum class io_result : std::uint8_t {
  Done,    ///< Bytes were transferred, or there were none.
  Blocked, ///< The socket is not ready.
  Ended,   ///< The peer has shut down its direction.
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

  /// Appends available bytes to \p Input, at most one buffer.
  io_result read(std::string &Input);

  /// Appends bytes to the send buffer.
  void queue(std::string Bytes);
  /// Sends buffered bytes. Done means that the buffer is empty.
  io_result flush();
  std::size_t unsent() const { return Unsent; }
  /// Returns whether the peer has acknowledged all bytes that were queued. A
  /// write that failed, or bytes that are still in the send buffer of the
  /// kernel, say that it has not.
  bool isDelivered() const;
  /// Returns whether bytes of the peer wait to be read.
  bool hasInput() const;
  /// Returns the number of bytes written since the socket was opened.
  std::uint64_t sent() const { return Sent; }

  /// Returns the result of a connect that has ended.
  enum class connect_result : std::uint8_t { Connected, Refused, Failed };
  connect_result connectResult() const;

  /// Shuts down the outgoing direction.
  void shutdownWrite();
  /// Makes close() reset the connection, so that the peer sees no orderly end.
  void resetOnClose();
  void close();

private:
  handle<GSocket> Socket;
  std::deque<std::string> Output;
  std::size_t FrontOffset = 0;
  std::size_t Unsent = 0;
  std::uint64_t Sent = 0;
  bool WriteFailed = false;
};

} // namespace turmerichead::http1::pvt
