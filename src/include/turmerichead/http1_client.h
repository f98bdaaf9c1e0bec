/// \file
/// An HTTP/1.1 client on the GLib main loop that never retries a request.
///
/// Connections are reused. Each call is sent at most once, on one connection,
/// and its result tells whether any byte of it may have reached the server. On
/// a reused connection, an answer without an id or with the id of another
/// request is not accepted as the answer of the call.
///
///     auto Client = http1::client::create({.EchoHeader = "X-Request-Id"});
///     auto Id = Client->call({.Address = "10.0.0.1:80", .Method = "GET",
///                             .Target = "/", .EchoValue = "17"},
///         {.OnHead = ..., .OnBody = ..., .OnEnd = ...});
///
/// Callbacks run on the main loop, never inside a call to the client.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/http1_message.h"
#include "turmerichead/id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::http1 {

struct client_settings {
  /// Header in which the server repeats the id of the request; empty if it does
  /// not.
  std::string EchoHeader;
  std::size_t MaxHeadBytes = 64U << 10U;
  /// Limit for bytes that are not part of the answer: answers to other requests
  /// and interim responses. Above it the connection counts as failed.
  std::size_t MaxDroppedBytes = 1U << 20U;
  /// Idle timeout of connections for which the server declares none.
  milliseconds IdleTimeout{5000};
  /// Subtracted from the idle timeout that the server declares.
  milliseconds IdleMargin{500};
  /// Time after which a silent connection counts as failed.
  milliseconds SilenceTimeout{4000};
  std::string TunnelKey = {}; ///< Shared with the tunnel servers.
  /// Local address of connections, "ip:port"; empty: the system's choice.
  std::string SourceAddress = {};
};

struct call_request {
  std::string Address; ///< "ip:port"
  /// Tunnel server by way of which to connect (http1_tunnel.h); empty: none.
  std::string Via;
  std::string Method;
  std::string Target;
  header_list Headers;           ///< Without framing headers.
  std::vector<std::string> Body; ///< Pieces that are sent in order.
  std::string EchoValue;         ///< Id that the answer must repeat.
  milliseconds ConnectTimeout{1000};
  /// Opens a new connection for this call. Set it when the id was sent to the
  /// address before: a late copy of the earlier answer would have the same id.
  bool FreshConnection = false;
  /// Limit for idle connections to this address. Above it, the connection of
  /// the call is closed after its answer.
  std::size_t MaxIdle = 1024;
  /// Limit for the answer, which is aborted above it.
  std::size_t MaxBodyBytes = SIZE_MAX;
};

enum class call_outcome : std::uint8_t {
  Complete, ///< The complete answer has been received.
  NotSent,  ///< No byte of the request was sent; this is certain. Also for a
            ///< request whose target or headers the grammar does not permit.
  Broken    ///< Sent at least in part; the answer is missing or truncated.
};

/// How the end of a complete answer was marked.
enum class answer_end : std::uint8_t {
  Length,    ///< By its Content-Length, or its status allows no body.
  LastChunk, ///< By the last chunk.
  Connection ///< By the orderly end of its connection.
};
std::string_view nameOf(answer_end End);

/// Why there was no connection for a call.
enum class connect_failure : std::uint8_t {
  None,
  Unreachable, ///< No connection was established in time.
  Refused,     ///< There is no listener at the address.
  Tunnel       ///< The tunnel server could not be used; nothing is known of the
               ///< address.
};

struct call_result {
  call_outcome Outcome = call_outcome::Broken;
  std::string Reason; ///< Readable text; empty if complete.
  connect_failure Failure = connect_failure::None; ///< Only with NotSent.
  answer_end End = answer_end::Length;             ///< Only with Complete.
  message_fault Fault = message_fault::None;       ///< Only with Broken.
};

/// Result of a probe.
enum class probe_result : std::uint8_t {
  Listening,
  Refused, ///< There is no listener at the address.
  Unknown  ///< There was no response in time, or the tunnel failed.
};

struct call_events {
  std::function<void(const response_head &Head)> OnHead;
  std::function<void(std::string_view Bytes)> OnBody;
  /// Called once, unless the call was cancelled.
  std::function<void(const call_result &Result)> OnEnd;
  /// Called when a new connection has been established for the call. May be
  /// unset.
  std::function<void()> OnConnect = {};
};

struct call_row;
using call_id = typed_id<call_row>;

struct client_counters {
  std::uint64_t Opened = 0; ///< Connections opened since the start.
  std::uint64_t Calls = 0;
  std::uint64_t Stray = 0;        ///< Answers that belonged to no request.
  std::uint64_t DroppedBytes = 0; ///< Bytes outside of any answer.
  std::uint64_t Endless = 0;      ///< Connections closed for excess bytes.
  std::size_t OpenConnections = 0;
  std::size_t OpenCalls = 0;
};

class client {
public:
  static std::optional<client> create(client_settings Settings);

  call_id call(call_request Request, call_events Events);

  /// Cancels a call and closes its connection. None of its callbacks is called
  /// afterwards. Returns false if the call has already ended.
  bool cancel(call_id Id);

  /// Returns whether any byte of the request was written. False if the call has
  /// ended.
  bool hasSent(call_id Id) const;

  /// Connects to \p Address without a call, by way of the tunnel server \p Via
  /// unless that is empty; the connection is kept for later calls. \p Done is
  /// called once, never inside this function.
  void probe(const std::string &Address, const std::string &Via,
             milliseconds Timeout, std::function<void(probe_result)> Done);

  /// Closes the idle connections to an address that is no longer used.
  void forget(std::string_view Address);
  /// Closes those that lead there without a tunnel.
  void forgetDirect(std::string_view Address);

  client_counters counters() const;

  client(client &&Other) noexcept;
  client &operator=(client &&Other) noexcept;
  ~client();

  /// Private to the implementation.
  struct state;

private:
  explicit client(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace turmerichead::http1
