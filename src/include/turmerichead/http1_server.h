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
#include "turmerichead/memory_budget.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
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
  /// Connections at once. A further one takes the place of the oldest on which
  /// no request was complete, or is closed if there is none.
  std::size_t MaxConnections = 2048;
  /// A connection is closed if no byte of its answer was taken for this time.
  milliseconds UnreadTimeout{10000};
  /// Pipelined input is read up to this size while an answer is under way.
  std::size_t ReadAheadBytes = 64U << 10U;
};

/// An answer to a request of which only the head was read.
struct early_refusal {
  int Status = 0;
  std::string Reason;
};

struct server_events {
  std::function<void(exchange_id Id, request &&Request)> OnRequest;
  /// Called when the caller has left before the answer was complete. \p Id is
  /// stale then.
  std::function<void(exchange_id Id)> OnGone;
  /// Called with the head of a request with a long body, before the body is
  /// read. A request that is refused here is not passed on, and its connection
  /// is closed. May be unset.
  std::function<std::optional<early_refusal>(std::string_view Target,
                                             const header_list &Headers)>
      OnHead = nullptr;
};

/// Why the server has ended a connection of a client that is within the limits
/// for one request.
enum class client_end : std::uint8_t {
  Memory,     ///< All clients together held too much.
  Unread,     ///< It did not take its answer.
  Connections ///< It had sent no request when there were too many.
};
inline constexpr std::size_t ClientEnds = 3;
std::string_view nameOf(client_end Reason);

struct server_counters {
  std::uint64_t Accepted = 0;
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;                     ///< Invalid requests.
  std::array<std::uint64_t, ClientEnds> Ended{}; ///< By client_end.
  std::size_t OpenConnections = 0;
  std::size_t OpenExchanges = 0;
};

class server {
public:
  /// Listens on \p Address ("ip:port"; port 0 selects a free port). Fails with
  /// InvalidInput or Unavailable. What its connections hold counts in
  /// \p Budget, which must outlive the server: input, bodies that are being
  /// received, heads, and unsent answers. An incomplete request that the budget
  /// ends gets status 503; otherwise the connection is closed.
  static std::optional<server> create(std::string_view Address,
                                      server_limits Limits,
                                      server_events Events,
                                      memory_budget *Budget = nullptr);

  std::uint16_t port() const;

  /// Sets the limits for requests that arrive from now on.
  void setLimits(const server_limits &Limits);

  /// Sends a complete answer. Returns false if the exchange has ended.
  bool respond(exchange_id Id, int Status, const header_list &Headers,
               std::string_view Body);

  /// Likewise, for a long answer that is not to be copied.
  bool respondWith(exchange_id Id, int Status, const header_list &Headers,
                   std::string Body);

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
