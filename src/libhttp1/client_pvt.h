/// \file
/// Implementation of client.
#pragma once

#include "parser_pvt.h"
#include "socket_pvt.h"
#include "tunnel_pvt.h"
#include "turmerichead/http1_client.h"
#include "turmerichead/table.h"

#include <map>

namespace turmerichead::http1 {

namespace pvt {

inline constexpr milliseconds ClientSweepInterval{1000};
/// Separates the address of an upstream from that of a tunnel server.
inline constexpr std::string_view ViaSeparator = " via ";

struct client_connection;
using client_connection_id = typed_id<client_connection>;

enum class client_phase : std::uint8_t {
  Connecting,
  Opening, ///< Waits for the reply of the tunnel server.
  Busy,
  Idle
};

/// A connection to an upstream, from the start of connecting. Owned by the
/// client.
struct client_connection {
  buffered_socket Socket;
  message_parser Parser{message_kind::Response, 0};
  std::string Address; ///< See poolKey().
  /// Set on a connection by way of a tunnel server.
  std::optional<tunnel_decoder> Tunnel;
  std::string TunnelLine; ///< Opens the tunnel.
  std::string Input;
  client_phase Phase = client_phase::Connecting;
  call_id Call;
  poll_set::interest Interest = poll_set::interest::Writable;
  time_point IdleSince;
  milliseconds IdleLimit{0};
  std::size_t MaxIdle = 0;      ///< Limit set by its last call.
  std::uint64_t SentBefore = 0; ///< Bytes of earlier requests.
  unsigned Uses = 0;
  bool KeepAlive = false;
  bool Skipping = false;        ///< The current answer is not for this call.
  std::size_t MessageBytes = 0; ///< Received of the current message.
  std::size_t BodyBytes = 0;    ///< Of these, the body without framing.
  std::size_t DroppedBytes = 0; ///< During the call; see MaxDroppedBytes.
  /// Set during a probe.
  std::function<void(probe_result)> Probed;

  /// Prepares for the next message.
  void beginMessage() {
    Parser.restart();
    Skipping = false;
    MessageBytes = 0;
    BodyBytes = 0;
  }
};

/// Returns the name of the pool of connections that lead to \p Address.
std::string poolKey(const std::string &Address, const std::string &Via);

} // namespace pvt

/// Whether the target and the headers of \p Request are what the grammar
/// permits, so that no text of others becomes a part of the request's own.
bool isSendable(const call_request &Request);

struct call_row {
  call_request Request;
  call_events Events;
  pvt::client_connection_id Connection;
};

struct client::state {
  client_settings Settings;
  std::optional<poll_set> Sockets;
  std::optional<deadline_queue> Deadlines;
  loop_source Sweep;
  deferred_actions Deferred;
  table<pvt::client_connection> Connections;
  table<call_row> Calls;
  /// Idle connections by pool; see poolKey().
  std::map<std::string, std::vector<pvt::client_connection_id>, std::less<>>
      Idle;
  client_counters Counters;

  std::optional<pvt::client_connection_id> takeIdle(std::string_view Address);
  std::optional<pvt::client_connection_id> connect(const std::string &Target,
                                                   const std::string &Via,
                                                   milliseconds Timeout);
  void queueRequest(pvt::client_connection &Row);
  void assignCall(pvt::client_connection_id Id, call_id Call);
  void onReady(std::uint64_t Key);
  void onConnected(pvt::client_connection_id Id);
  void onEstablished(pvt::client_connection_id Id);
  void onTunnelReply(pvt::client_connection_id Id);
  void sendRequest(pvt::client_connection_id Id);
  pvt::io_result receive(pvt::client_connection &Row);
  void onReadable(pvt::client_connection_id Id);
  void onConnectionEnd(pvt::client_connection_id Id);
  bool parse(pvt::client_connection_id Id);
  std::string_view excessOf(const pvt::client_connection &Row) const;
  bool onMessageEnd(pvt::client_connection_id Id, answer_end End);
  bool takeHead(pvt::client_connection &Row);
  void reportHead(pvt::client_connection &Row);
  void flush(pvt::client_connection_id Id);
  void onWriteFailed(pvt::client_connection_id Id);
  void updateInterest(pvt::client_connection_id Id,
                      pvt::client_connection &Row);
  void returnToPool(pvt::client_connection_id Id, pvt::client_connection &Row);
  void close(pvt::client_connection_id Id);
  void fail(pvt::client_connection_id Id, std::string Reason,
            message_fault Fault = message_fault::None);
  void failConnect(pvt::client_connection_id Id, connect_failure Failure);
  void end(call_id Id, const call_result &Result);
  void failLater(call_id Id, std::string Reason);
  void sweep();
};

} // namespace turmerichead::http1
