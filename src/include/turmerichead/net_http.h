/// \file
/// HTTP towards callers, upstreams and the platform: a server and a client on
/// libsoup, and a splitter for server-sent events.
///
/// All callbacks run on the GLib main loop, and may call any function of this
/// file except destroy the object that calls them.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/error.h"
#include "turmerichead/id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

struct http_header {
  std::string Name;
  std::string Value;
};

// -- Server ------------------------------------------------------------------

struct http_exchange_row;
using http_exchange_id = typed_id<http_exchange_row>;

struct http_server_settings {
  std::size_t MaxBodyBytes = 16U << 20U;     ///< Above: 413.
  std::size_t MaxHeaderBytes = 32U << 10U;   ///< Above: 431.
  std::size_t MaxConnections = 4096;         ///< Above: closed at once.
  std::size_t MaxBufferedBytes = 16U << 20U; ///< Unsent bytes of a response.
  /// A request must be read whole within this time. The connection is closed
  /// otherwise.
  milliseconds RequestTimeout{15000};
  /// A caller that takes none of a waiting response for this long has gone.
  milliseconds WriteTimeout{30000};
  /// A connection without a request is closed after this time.
  milliseconds IdleTimeout{120000};
};

/// A request as the handler sees it. The views are valid during the call of
/// the handler.
struct http_request_view {
  http_exchange_id Exchange;
  std::string_view Method;
  std::string_view Path;  ///< Decoded, without the query.
  std::string_view Query; ///< As sent, without the question mark; or empty.
  std::string_view Body;
  std::string_view Remote; ///< The caller's IP address.

  /// The value of a header (names compare without case), or nullopt.
  std::optional<std::string_view> header(std::string_view Name) const;

  const void *Headers = nullptr; ///< Private to the implementation.
};

struct http_server_events {
  /// A whole request has been read. The handler answers now or later.
  std::function<void(const http_request_view &Request)> OnRequest;
  /// The caller's connection was lost before the response was complete. The
  /// exchange id is stale afterwards.
  std::function<void(http_exchange_id Exchange)> OnClientGone;
  /// A request that broke a limit or does not parse. Returns the body to
  /// answer with (application/json); \p Status is 400, 413 or 431. May be
  /// empty.
  std::function<std::string(int Status, std::string_view Reason)> OnBadRequest;
};

/// Takes HTTP/1.1 requests.
///
///     auto Server = http_server::create("0.0.0.0:8080", {},
///         {.OnRequest = [&](const http_request_view &Request) {
///           Server->respond(Request.Exchange, 200, {}, "hello");
///         }});
class http_server {
public:
  /// Listens on \p Address ("ip:port"; port 0 takes a free one). Fails with
  /// InvalidInput or Unavailable.
  static std::optional<http_server> create(std::string_view Address,
                                           http_server_settings Settings,
                                           http_server_events Events);

  std::uint16_t port() const;

  /// Answers whole. Each of these functions returns false, with NotFound, if
  /// the exchange has ended or its caller has gone.
  bool respond(http_exchange_id Exchange, int Status,
               const std::vector<http_header> &Headers, std::string_view Body);

  /// Begins a response of unknown length (chunked).
  bool beginStream(http_exchange_id Exchange, int Status,
                   const std::vector<http_header> &Headers);

  /// Appends to a response begun before. Returns false with Refused if the
  /// caller reads too slowly and the buffer is full; the bytes are not taken
  /// and the caller should abort the stream.
  bool writeChunk(http_exchange_id Exchange, std::string_view Bytes);

  /// Ends a response begun before.
  bool endStream(http_exchange_id Exchange);

  /// Closes the connection, so that the caller sees a cut response.
  bool abortStream(http_exchange_id Exchange);

  /// Bytes of the response that the caller has not taken yet.
  std::size_t bufferedBytes(http_exchange_id Exchange) const;

  /// Accepts no further connections; those that stand are served, and closed
  /// after their exchange.
  void stopAccepting();

  std::size_t openConnections() const;
  std::size_t openExchanges() const;

  http_server(http_server &&Other) noexcept;
  http_server &operator=(http_server &&Other) noexcept;
  ~http_server();

  /// Private to the implementation.
  struct state;

private:
  explicit http_server(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

// -- Client ------------------------------------------------------------------

struct http_call_row;
using http_call_id = typed_id<http_call_row>;

struct http_client_settings {
  std::size_t MaxPerHost = 512; ///< Connections to one address.
  std::size_t MaxTotal = 8192;
  std::size_t MaxBodyBytes = 64U << 20U; ///< Of a response; above: cut off.
  milliseconds IdleTimeout{60000};       ///< Of a kept connection.
};

struct http_request {
  std::string Method; ///< "GET", "POST", ...
  std::string Url;    ///< "http://ip:port/path?query"
  std::vector<http_header> Headers;
  std::string Body;
  std::string ContentType = "application/json"; ///< Sent if a body is.
  /// Opens a connection for this call alone. A kept connection may be closed
  /// by the other side at the moment that a request is written to it, which
  /// leaves the outcome unknown; set this where that is costly.
  bool FreshConnection = false;
  std::size_t MaxBodyBytes = 0; ///< Of the response; 0: the client's limit.
  /// From the call to the last byte. 0: no limit.
  milliseconds Timeout{0};
  /// From the call to the first byte of the response. 0: no limit.
  milliseconds FirstByteTimeout{0};
};

/// How a call ended.
struct http_result {
  /// None if a whole response was read, whatever its status. A body whose
  /// end is the announced end of the connection counts as whole; where that
  /// matters its content must show its end. Otherwise
  /// Unavailable (no connection, or lost), Timeout, Refused (the response is
  /// over the limit) or InvalidInput (the URL).
  error_code Code = error_code::None;
  std::string Text;
  int Status = 0; ///< 0 if no response has begun.
  /// False is certain: no byte of the request was written to a connection.
  bool Sent = false;
};

/// What the sender of a request is told. OnEnd is called exactly once, unless
/// the call was cancelled.
struct http_call_events {
  /// The status and headers have arrived. \p Header looks one up.
  std::function<void(int Status,
                     const std::function<std::optional<std::string_view>(
                         std::string_view)> &Header)>
      OnHeaders;
  /// A part of the body. Cuts lie anywhere.
  std::function<void(std::string_view Bytes)> OnChunk;
  std::function<void(const http_result &Result)> OnEnd;
};

/// Sends HTTP/1.1 requests over kept connections. A request is written to at
/// most one connection: nothing is sent again on the client's own account.
class http_client {
public:
  static std::optional<http_client> create(http_client_settings Settings);

  /// Starts a call. No event is called before this function has returned.
  http_call_id send(const http_request &Request, http_call_events Events);

  /// Takes back a call and closes its connection. None of its events is
  /// called any more. Returns false if the call has ended before.
  bool cancel(http_call_id Id);

  std::size_t openCalls() const;

  http_client(http_client &&Other) noexcept;
  http_client &operator=(http_client &&Other) noexcept;
  ~http_client();

  /// Private to the implementation.
  struct state;

private:
  explicit http_client(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

// -- Server-sent events ------------------------------------------------------

/// Cuts a stream of server-sent events into events.
///
///     sse_splitter Splitter(MaxEventBytes);
///     Splitter.feed(Bytes, [](std::string_view Data) { ... });
class sse_splitter {
public:
  explicit sse_splitter(std::size_t MaxEventBytes = 1U << 20U)
      : MaxEventBytes(MaxEventBytes) {}

  /// Takes bytes, cut anywhere, and calls \p OnData for each complete event
  /// with its data lines joined by newlines. Other fields and comments are
  /// skipped. Returns false, with Corrupt, if an event is over the limit; the
  /// splitter takes nothing more then.
  bool feed(std::string_view Bytes,
            const std::function<void(std::string_view Data)> &OnData);

  /// The newest id of an event that is complete; empty if none had one.
  const std::string &lastId() const { return LastId; }
  /// How many of the bytes taken came after the last blank line.
  std::size_t unfinished() const { return Unfinished; }
  /// Drops what there is of an event that is not complete.
  void dropUnfinished();

private:
  void takeLine(std::string_view Line,
                const std::function<void(std::string_view Data)> &OnData);

  std::size_t MaxEventBytes;
  std::string Line;
  std::string Data;
  std::string Id; ///< Of the event that is not complete.
  std::string LastId;
  std::size_t Unfinished = 0;
  bool HasData = false;
  bool SkipLineFeed = false;
  bool Failed = false;
};

} // namespace turmerichead
