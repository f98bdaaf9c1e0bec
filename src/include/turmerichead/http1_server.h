/// \file
/// An HTTP/1.1 server on the GLib main loop whose user decides when an answer
/// ends and when its connection is closed.
///
/// A request is passed on once its body is complete. The answer is sent in one
/// call, or as chunks whose end is written separately, so that an aborted
/// answer never looks complete. A caller that leaves is reported immediately.
///
///     auto Server = http1::server::create("10.0.0.1:8080", {}, {
///         .OnRequest = [&](exchange_id Id, request &&Request) {
///           Server->respond(Id, 200, {}, "hello");
///         },
///         .OnGone = [&](exchange_id Id) { cancel(Id); }});
///
/// Callbacks run on the main loop, never inside a call to the server.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/http1_message.h"
#include "turmerichead/id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace turmerichead::http1 {

struct exchange_row;
using exchange_id = typed_id<exchange_row>;

/// Limits for callers. The answers to violations are 431, 413 and 408; an idle
/// connection is closed without an answer.
struct server_limits {
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t BodyBytes = 4U << 20U;
  milliseconds HeaderTimeout{5000};
  milliseconds IdleTimeout{60000};
  /// Limit for unsent bytes of an answer; above it the connection is closed.
  std::size_t MaxUnsentBytes = 8U << 20U;
  std::size_t MaxConnections = 2048;
};

struct server_events {
  std::function<void(exchange_id Id, request &&Request)> OnRequest;
  /// Called when the caller has left before the answer was complete. \p Id is
  /// stale then.
  std::function<void(exchange_id Id)> OnGone;
};

struct server_counters {
  std::uint64_t Accepted = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0; ///< Invalid requests.
  std::size_t OpenConnections = 0;
  std::size_t OpenExchanges = 0;
};

class server {
public:
  /// Listens on \p Address ("ip:port"; port 0 selects a free port). Fails with
  /// InvalidInput or Unavailable.
  static std::optional<server>
  create(std::string_view Address, server_limits Limits, server_events Events);

  std::uint16_t port() const;

  /// Sets the limits for requests that arrive from now on.
  void setLimits(const server_limits &Limits);

  /// Sends a complete answer. Returns false if the exchange has ended.
  bool respond(exchange_id Id, int Status, const header_list &Headers,
               std::string_view Body);

  /// Starts an answer of unknown length.
  bool begin(exchange_id Id, int Status, const header_list &Headers);
  bool write(exchange_id Id, std::string_view Bytes);
  /// Completes an answer that was started.
  bool finish(exchange_id Id);

  /// Closes the connection of an exchange without completing its answer.
  void abort(exchange_id Id);

  /// From now on each answer closes its connection.
  void drain();

  /// Stops accepting connections, after those that are already pending.
  void stopAccepting();

  /// Closes connections without a request in flight. Requests that were already
  /// read are served.
  void closeIdle();

  server_counters counters() const;

  server(server &&Other) noexcept;
  server &operator=(server &&Other) noexcept;
  ~server();

  /// Private to the implementation.
  struct state;

private:
  explicit server(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace turmerichead::http1
