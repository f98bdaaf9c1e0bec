/// \file
/// An HTTP server based on libsoup and an HTTP client based on http1::client,
/// for callers, upstreams and the platform, and a parser for server-sent
/// events.
///
/// All callbacks run on the GLib main loop, and may call any function of this
/// file except destroy the object that calls them.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/error.h"
#include "turmerichead/http1_client.h"
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
  std::size_t MaxBodyBytes = 16U << 20U;     ///< Status 413 above it.
  std::size_t MaxHeaderBytes = 32U << 10U;   ///< Status 431 above it.
  std::size_t MaxConnections = 4096;         ///< Further ones are closed.
  std::size_t MaxBufferedBytes = 16U << 20U; ///< Unsent bytes of a response.
  /// Bodies and unsent bytes of all connections. Above it, connections that
  /// hold the most are closed, those with incomplete requests first.
  std::size_t MaxHeldBytes = 64U << 20U;
  /// Time within which a complete request must arrive. Otherwise the connection
  /// is closed.
  milliseconds RequestTimeout{15000};
  /// A caller that reads nothing of a pending response for this time counts as
  /// lost.
  milliseconds WriteTimeout{30000};
  /// Time after which a connection without a request is closed.
  milliseconds IdleTimeout{120000};
};

/// A request as passed to the handler. The views are valid during the call of
/// the handler.
struct http_request_view {
  http_exchange_id Exchange;
  std::string_view Method;
  std::string_view Path;  ///< Percent-decoded, without the query.
  std::string_view Query; ///< As sent, without the question mark; or empty.
  std::string_view Body;
  std::string_view Remote; ///< The caller's IP address.

  /// Returns the value of a header, or nullopt. Names are case-insensitive.
  std::optional<std::string_view> header(std::string_view Name) const;

  const void *Headers = nullptr; ///< Private to the implementation.
};

struct http_server_events {
  /// Called when a complete request has been read. The response may be sent in
  /// this call or later.
  std::function<void(const http_request_view &Request)> OnRequest;
  /// Called when the connection was lost before the response was complete. The
  /// exchange id is stale afterwards.
  std::function<void(http_exchange_id Exchange)> OnClientGone;
  /// Called for a request that exceeds a limit or cannot be parsed. Returns the
  /// body of the response (application/json); \p Status is 400, 413, 431 or
  /// 503. May be unset.
  std::function<std::string(int Status, std::string_view Reason)> OnBadRequest;
};

/// An HTTP/1.1 server.
///
///     auto Server = http_server::create("0.0.0.0:8080", {},
///         {.OnRequest = [&](const http_request_view &Request) {
///           Server->respond(Request.Exchange, 200, {}, "hello");
///         }});
class http_server {
public:
  /// Listens on \p Address ("ip:port"; port 0 selects a free port). Fails with
  /// InvalidInput or Unavailable.
  static std::optional<http_server> create(std::string_view Address,
                                           http_server_settings Settings,
                                           http_server_events Events);

  std::uint16_t port() const;

  /// Sends a complete response. This and the following functions return false,
  /// with NotFound, if the exchange has ended or the connection was lost.
  bool respond(http_exchange_id Exchange, int Status,
               const std::vector<http_header> &Headers, std::string_view Body);

  /// Starts a response of unknown length (chunked).
  bool beginStream(http_exchange_id Exchange, int Status,
                   const std::vector<http_header> &Headers);

  /// Appends to a response that was started. Returns false with Refused if the
  /// send buffer is full because the caller reads too slowly. The bytes are not
  /// added then, and the stream should be aborted.
  bool writeChunk(http_exchange_id Exchange, std::string_view Bytes);

  /// Ends a response that was started.
  bool endStream(http_exchange_id Exchange);

  /// Closes the connection, so that the response is visibly incomplete.
  bool abortStream(http_exchange_id Exchange);

  /// Returns the number of unsent bytes of the response.
  std::size_t bufferedBytes(http_exchange_id Exchange) const;

  /// Stops accepting connections. Open ones are closed after their current
  /// exchange.
  void stopAccepting();

  std::size_t openConnections() const;
  std::size_t openExchanges() const;
  /// Bodies and unsent bytes of all connections.
  std::size_t heldBytes() const;
  /// Number of connections that were closed for what they held.
  std::uint64_t endedForMemory() const;

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
  std::size_t MaxPerHost = 512; ///< Open calls to one address; others wait.
  std::size_t MaxTotal = 8192;  ///< Open calls to all addresses.
  std::size_t MaxBodyBytes = 64U << 20U; ///< Of a response; aborted above it.
  milliseconds IdleTimeout{60000};       ///< Of a connection without calls.
  milliseconds ConnectTimeout{5000};
  /// Time after which a connection without any sign of the server's machine
  /// counts as lost.
  milliseconds SilenceTimeout{30000};
};

struct http_request {
  std::string Method; ///< "GET", "POST", ...
  std::string Url;    ///< "http://ip:port/path?query"
  std::vector<http_header> Headers;
  std::string Body;
  std::string ContentType = "application/json"; ///< Only sent with a body.
  /// Opens a new connection for this call. The server may close a reused
  /// connection while a request is being written to it, which leaves the
  /// outcome unknown; set this where that is costly.
  bool FreshConnection = false;
  std::size_t MaxBodyBytes = 0; ///< Of the response; 0: limit of the client.
  /// From the call to the last byte. 0: no limit.
  milliseconds Timeout{0};
  /// From the call to the first byte of the response. 0: no limit.
  milliseconds FirstByteTimeout{0};
};

/// How a call ended.
struct http_result {
  /// None if a complete response was read, with any status. Otherwise
  /// Unavailable (no connection, lost, or a response that HTTP does not allow
  /// or that has a content coding), Timeout, Refused (the response is over the
  /// limit) or InvalidInput (the URL, the method or a header).
  error_code Code = error_code::None;
  std::string Text;
  int Status = 0; ///< 0 without response headers.
  /// If false, no byte of the request was written to a connection.
  bool Sent = false;
  /// How the end of a complete response was marked. After a body that is
  /// delimited by the end of the connection, only the content can tell whether
  /// the server has written all of it.
  http1::answer_end End = http1::answer_end::Length;
};

/// Callbacks of a call. OnEnd is called exactly once, unless the call is
/// cancelled.
struct http_call_events {
  /// Called when the status and headers have arrived. \p Header returns the
  /// value of a header.
  std::function<void(int Status,
                     const std::function<std::optional<std::string_view>(
                         std::string_view)> &Header)>
      OnHeaders;
  /// Called for each part of the body, which may be split anywhere.
  std::function<void(std::string_view Bytes)> OnChunk;
  std::function<void(const http_result &Result)> OnEnd;
};

/// An HTTP/1.1 client that reuses connections. A request is written to at most
/// one connection: the client never retries.
class http_client {
public:
  static std::optional<http_client> create(http_client_settings Settings);

  /// Starts a call. No callback is called before this function has returned.
  http_call_id send(const http_request &Request, http_call_events Events);

  /// Cancels a call and closes its connection. None of its callbacks is called
  /// afterwards. Returns false if the call has already ended.
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

/// Splits a stream of server-sent events into events.
///
///     sse_splitter Splitter(MaxEventBytes);
///     Splitter.feed(Bytes, [](std::string_view Data) { ... });
class sse_splitter {
public:
  explicit sse_splitter(std::size_t MaxEventBytes = 1U << 20U)
      : MaxEventBytes(MaxEventBytes) {}

  /// Parses bytes, which may be split anywhere, and calls \p OnData for each
  /// complete event with its data lines joined by newlines. Other fields and
  /// comments are skipped. Returns false, with Corrupt, if an event exceeds the
  /// limit; the splitter accepts no more bytes then.
  bool feed(std::string_view Bytes,
            const std::function<void(std::string_view Data)> &OnData);

  /// Returns the last id of a complete event; empty if there was none.
  const std::string &lastId() const { return LastId; }
  /// Returns the number of bytes received after the last blank line.
  std::size_t unfinished() const { return Unfinished; }
  /// Returns whether a stream that ends here has been cut: in a line, between
  /// a field and the blank line after it, or between CR and LF. Whole comment
  /// lines may end a stream.
  bool isInsideEvent() const;
  /// Discards the bytes of an incomplete event.
  void dropUnfinished();

private:
  void takeLine(std::string_view Line,
                const std::function<void(std::string_view Data)> &OnData);

  std::size_t MaxEventBytes;
  std::string Line;
  std::string Data;
  std::string Id; ///< Of the incomplete event.
  std::string LastId;
  std::size_t Unfinished = 0;
  bool HasData = false;
  bool HasField = false; ///< The incomplete event has a line but comments.
  bool SkipLineFeed = false;
  bool HasCrLf = false; ///< A line has ended with CR LF.
  bool Failed = false;
};

} // namespace turmerichead
