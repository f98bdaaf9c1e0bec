/// \file
/// A TCP relay that can be cut, one way or both ways, and delayed.
///
/// A cut behaves like lost packets under TCP: bytes of that way wait and
/// arrive after the cut is healed, and new connections wait too. The sides
/// see no end of the connection unless the relay is told to close them.
#pragma once

#include "turmerichead/handle.h"

#include <gio/gio.h>

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace turmerichead::standin {

/// Where a relay listens and where it leads to.
struct link_ends {
  std::string Address; ///< IP number to listen on.
  std::uint16_t Port = 0;
  std::string Target; ///< IP number.
  std::uint16_t TargetPort = 0;
};

class tcp_link {
public:
  /// Listens at once; the target is connected to for each connection. On
  /// failure the answer is empty and lastError() says why.
  static std::unique_ptr<tcp_link> create(link_ends Ends);

  /// Cuts or heals the ways. Forward is from the side that connects.
  void setCuts(bool Forward, bool Backward);
  void setDelay(std::int64_t Ms) { DelayMs = Ms; }

  /// Ends all connections.
  void closeAll();

  std::uint16_t port() const { return Ends.Port; }
  std::size_t connections() const { return Relays.size(); }

private:
  using relay_id = std::uint64_t;
  enum way { ForwardWay = 0, BackwardWay = 1 };

  /// Bytes that wait until they are due.
  struct parcel {
    std::int64_t DueMs = 0;
    std::string Bytes;
  };

  /// One direction of a connection.
  struct lane {
    std::deque<parcel> Parcels;
    bool Reading = false;
    bool Writing = false;
    bool Ended = false; ///< The sender has closed its side.
  };

  struct relay {
    handle<GSocketConnection> Client;
    handle<GSocketConnection> Target;
    bool Connecting = false;
    std::array<lane, 2> Lanes;
  };

  struct operation;

  static gboolean onIncoming(GSocketService *Service,
                             GSocketConnection *Connection, GObject *Source,
                             gpointer Data);
  static void onConnected(GObject *Source, GAsyncResult *Result, gpointer Data);
  static void onRead(GObject *Source, GAsyncResult *Result, gpointer Data);
  static void onWritten(GObject *Source, GAsyncResult *Result, gpointer Data);

  void connectTarget(relay_id Id);
  void resume(relay_id Id);
  void read(relay_id Id, way Way);
  void write(relay_id Id, way Way);
  void close(relay_id Id);
  bool isCut(way Way) const { return Cut[static_cast<std::size_t>(Way)]; }

  link_ends Ends;
  handle<GSocketService> Service;
  handle<GSocketClient> Connector;
  std::array<bool, 2> Cut = {false, false};
  std::int64_t DelayMs = 0;
  relay_id NextId = 1;
  std::unordered_map<relay_id, relay> Relays;
};

} // namespace turmerichead::standin
