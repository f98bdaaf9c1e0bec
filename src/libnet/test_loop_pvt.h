/// \file
/// Test helpers: running the main loop, and a raw TCP server.
#pragma once

#include "turmerichead/net_loop.h"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unistd.h>
#include <vector>

namespace turmerichead::pvt {

/// Runs the main loop until \p Reached returns true. Returns false after a
/// minute, which no passing test needs.
inline bool turnUntil(const std::function<bool()> &Reached) {
  constexpr milliseconds Bound{60000};
  time_point End = steadyNow() + Bound;
  auto Tick = loop_source::every(milliseconds(5), [] { return true; });
  while (!Reached()) {
    if (steadyNow() >= End)
      return false;
    g_main_context_iteration(nullptr, TRUE);
  }
  return true;
}

/// Runs the main loop for \p Time, so that what is under way arrives.
inline void turnFor(milliseconds Time) {
  time_point End = steadyNow() + Time;
  turnUntil([&] { return steadyNow() >= End; });
}

inline std::string addressOf(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Returns an address without a listener, each time another one. It uses a
/// loopback address of this process alone, because on a shared one another
/// process may bind the port before the test does.
inline std::string freeAddress() {
  auto Pid = static_cast<unsigned>(getpid());
  std::string Ip = "127." + std::to_string(1 + ((Pid >> 16U) & 0x7fU)) + "." +
                   std::to_string((Pid >> 8U) & 0xffU) + "." +
                   std::to_string(Pid & 0xffU);
  // The system may pick a port again that was asked for and is not bound yet.
  static std::set<std::uint16_t> Given;
  std::uint16_t Port = 0;
  do {
    Port = listener::open(Ip + ":0")->port();
  } while (!Given.insert(Port).second);
  return Ip + ":" + std::to_string(Port);
}

/// A TCP server that accepts connections and stores the bytes received on each.
/// The test decides what is sent back.
class raw_server {
public:
  struct connection {
    handle<GSocket> Socket;
    std::string Input;
    loop_source Readable;
    bool Closed = false;
  };

  raw_server() {
    Listener = *listener::open("127.0.0.1:0");
    Accepting = loop_source::onSocket(Listener.socket(), G_IO_IN, [this] {
      Listener.acceptAll(
          [this](handle<GSocket> Socket) { adopt(std::move(Socket)); });
      return true;
    });
  }

  std::uint16_t port() const { return Listener.port(); }
  /// The listening socket, whose buffer sizes accepted ones inherit.
  GSocket *socket() const { return Listener.socket(); }

  void send(std::size_t Index, std::string_view Bytes) {
    g_socket_send(Connections[Index]->Socket.get(), Bytes.data(), Bytes.size(),
                  nullptr, nullptr);
  }
  void close(std::size_t Index) {
    Connections[Index]->Readable.reset();
    g_socket_close(Connections[Index]->Socket.get(), nullptr);
  }

  std::vector<std::unique_ptr<connection>> Connections;
  bool Reading = true;

private:
  void adopt(handle<GSocket> Socket) {
    auto Row = std::make_unique<connection>();
    connection *Raw = Row.get();
    Row->Socket = std::move(Socket);
    Row->Readable = loop_source::onSocket(Row->Socket.get(), G_IO_IN,
                                          [this, Raw] { return read(*Raw); });
    Connections.push_back(std::move(Row));
  }
  bool read(connection &Row) {
    if (!Reading)
      return true;
    std::string Bytes(65536, '\0');
    gssize Count = g_socket_receive(Row.Socket.get(), Bytes.data(),
                                    Bytes.size(), nullptr, nullptr);
    if (Count <= 0) {
      Row.Closed = true;
      return false;
    }
    Row.Input.append(Bytes, 0, static_cast<std::size_t>(Count));
    return true;
  }

  listener Listener;
  loop_source Accepting;
};

} // namespace turmerichead::pvt
