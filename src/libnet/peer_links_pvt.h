/// \file
/// Implementation of peer_links.
#pragma once

#include "peer_transport_pvt.h"
#include "turmerichead/net_peer.h"
#include "turmerichead/table.h"

#include <msgpack.hpp>

#include <map>
#include <unordered_map>

namespace turmerichead {

namespace pvt {

enum class link_phase { Connecting, Greeting, Proving, Up };

struct connection_row;
using connection_id = typed_id<std::unique_ptr<connection_row>>;

/// User data of the session callbacks: identifies the connection.
struct session_context {
  peer_links::state *Owner = nullptr;
  connection_id Connection;
};

/// A connection, from the first attempt to connect until it is lost.
struct connection_row {
  std::string Host;
  link_phase Phase = link_phase::Connecting;
  bool Retired = false; ///< Accepts no new streams; closed after the last one.
  time_point LastUsed;
  session_context Context;
  handle<GSocket> Socket;
  std::unique_ptr<peer_transport> Transport;
  loop_source Connected;
  loop_source Deadline;
  std::vector<peer_stream_id> Waiting;
  std::unordered_map<std::int32_t, peer_stream_id> Streams;
  handshake Shake;
  std::int32_t HandshakeStream = 0;
  std::string ServerProof;
  int HandshakeStatus = 0;
};

/// A host that requests can be sent to.
struct target_row {
  std::string Address;
  std::string Route; ///< Overrides Address unless empty.
  connection_id Connection;
  milliseconds Pause{0};
  time_point RetryAt;

  const std::string &effective() const {
    return Route.empty() ? Address : Route;
  }
};

} // namespace pvt

/// A request in flight.
struct peer_stream_row {
  pvt::connection_id Connection;
  std::int32_t Http2Id = 0; ///< 0 until the request is submitted.
  peer_request Request;
  std::size_t BodySent = 0;
  /// Shared, because a receiver may erase the row that it was called from.
  std::shared_ptr<const peer_stream_events> Events;
  std::unique_ptr<msgpack::unpacker> Unpacker;
  bool Sent = false;
  std::optional<peer_result> Result; ///< Set when the end record is read.
};

struct peer_links::state {
  peer_settings Settings;
  std::string SharedKey;
  peer_counters Counters;
  std::map<std::string, pvt::target_row, std::less<>> Targets;
  table<std::unique_ptr<pvt::connection_row>> Connections;
  table<peer_stream_row> Streams;
  deferred_actions Deferred;
  loop_source IdleSweep;

  pvt::connection_row *find(pvt::connection_id Id) {
    auto *Row = Connections.find(Id);
    return Row ? Row->get() : nullptr;
  }

  // Connections.
  pvt::connection_id connect(const std::string &Host, pvt::target_row &Target);
  bool onConnected(pvt::connection_id Id);
  void greet(pvt::connection_row &Connection);
  void prove(pvt::connection_row &Connection);
  void handshakeEnded(pvt::connection_id Id, pvt::connection_row &Connection);
  void becomeUp(pvt::connection_row &Connection);
  void failConnection(pvt::connection_id Id, error_code Code,
                      const std::string &Reason);
  void retire(pvt::connection_id Id);
  void closeIfEmpty(pvt::connection_id Id);
  void closeIdle();

  // Streams.
  pvt::session_handle newSession(pvt::connection_row &Connection);
  void submit(pvt::connection_row &Connection, peer_stream_id Id);
  void feed(pvt::connection_row &Connection, peer_stream_id Id,
            std::string_view Bytes);
  bool takeObject(peer_stream_id Id, const msgpack::object &Object);
  void streamClosed(pvt::connection_row &Connection, std::int32_t Http2Id,
                    std::uint32_t Reason);
  void endStream(peer_stream_id Id, peer_result Result);
  void endLater(peer_stream_id Id, peer_result Result);
  peer_stream_row *streamOf(pvt::connection_row &Connection,
                            std::int32_t Http2Id);

  // Session callbacks with the signatures of nghttp2.
  static int onHeader(nghttp2_session *Session, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameLength,
                      const std::uint8_t *Value, std::size_t ValueLength,
                      std::uint8_t Flags, void *User);
  static int onData(nghttp2_session *Session, std::uint8_t Flags,
                    std::int32_t Http2Id, const std::uint8_t *Bytes,
                    std::size_t Length, void *User);
  static int onFrameSent(nghttp2_session *Session, const nghttp2_frame *Frame,
                         void *User);
  static int onFrameReceived(nghttp2_session *Session,
                             const nghttp2_frame *Frame, void *User);
  static int onStreamClosed(nghttp2_session *Session, std::int32_t Http2Id,
                            std::uint32_t Reason, void *User);
  static ssize_t readBody(nghttp2_session *Session, std::int32_t Http2Id,
                          std::uint8_t *Buffer, std::size_t Length,
                          std::uint32_t *Flags, nghttp2_data_source *Source,
                          void *User);
};

} // namespace turmerichead
