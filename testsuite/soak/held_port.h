/// \file
/// A connection that uses a local port, as one that a process leaves behind.
#pragma once

#include <optional>
#include <string>

namespace turmerichead::soak {

class held_port {
public:
  /// Connects from \p Address, "ip:port", and keeps the connection open.
  static std::optional<held_port> create(const std::string &Address);

  held_port(held_port &&Other) noexcept;
  held_port &operator=(held_port &&) = delete;
  ~held_port();

private:
  held_port(int Listener, int Socket) : Listener(Listener), Socket(Socket) {}

  int Listener;
  int Socket;
};

} // namespace turmerichead::soak
