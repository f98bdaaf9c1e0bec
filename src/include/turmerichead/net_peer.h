/// \file
/// Links between hosts: HTTP/2 streams (nghttp2) over TCP, driven by the GLib
/// main loop.
///
/// A host has one peer_server, which receives requests from other hosts, and
/// one peer_links, which has at most one connection to each of them. A request
/// is a path, a few headers and one body; a response is a sequence of complete
/// messages and an end record. Hosts authenticate each other with the shared
/// key before any request is served. The key protects against misconfigured and
/// foreign hosts; the bytes are not encrypted.
///
///     auto Server = peer_server::create("10.0.0.1:7100", Settings, Key,
///         {.OnRequest = [&](const peer_request_view &Request) {
///           Server->write(Request.Reply, "first message");
///           Server->end(Request.Reply, {});
///         }});
///     auto Links = peer_links::create(Settings, Key);
///     Links->setAddress("seoul-b-1", "10.0.0.1:7100");
///     Links->send("seoul-b-1", {.Path = "/call", .Body = Bytes},
///                 {.OnMessage = [](std::string_view Message) { ... },
///                  .OnEnd = [](const peer_result &Result) { ... }});
///
/// All callbacks run on the main loop, never inside the call that caused
/// them, and may call any function of this file except destroy the object
/// that calls them.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/error.h"
#include "turmerichead/id.h"
#include "turmerichead/memory_budget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// One header of a request between hosts. Names are in lower case.
struct peer_header {
  std::string Name;
  std::string Value;
};

/// Limits and times of the links of one host.
struct peer_settings {
  std::string Host; ///< Name of this host, sent to the peer.

  std::size_t MaxMessageBytes = 32U << 20U;  ///< One message or request body.
  std::size_t MaxBufferedBytes = 64U << 20U; ///< Unsent bytes of one stream.
  std::uint32_t MaxStreams = 4096;           ///< At once, on one connection.
  std::uint32_t MaxHeaderBytes = 16U << 10U; ///< All headers of a request.
  std::size_t MaxConnections = 1024;         ///< Accepted by a server at once.
  std::uint32_t StreamWindowBytes = 1U << 20U;
  std::uint32_t LinkWindowBytes = 64U << 20U;

  milliseconds HandshakeTimeout{3000}; ///< From connect to authentication.
  milliseconds PingInterval{500};      ///< Idle time before a ping.
  milliseconds PingTimeout{2000};      ///< Time until a silent link is lost.
  milliseconds RetryMin{50};           ///< First delay before a reconnect.
  milliseconds RetryMax{2000};         ///< Longest delay before a reconnect.
  milliseconds IdleTimeout{60000};     ///< A link without streams is closed.
};

/// How a stream ended.
struct peer_result {
  /// None if the peer ended the response with success. Otherwise the code
  /// passed to peer_server::end, or
  ///   Unavailable   no link, or the link was lost;
  ///   Unauthorized  the peer does not know the shared key;
  ///   Refused       a limit of the peer was exceeded.
  error_code Code = error_code::None;
  std::string Text;
  /// True if the complete request may have reached the handler of the peer. If
  /// false, the handler has not received it and never will.
  bool Sent = false;
  /// True if \p Code comes from the handler of the peer; false if it comes from
  /// the link.
  bool Answered = false;
};

struct peer_request {
  std::string Path; ///< Begins with a slash, for example "/call".
  std::vector<peer_header> Headers;
  std::string Body;
};

/// Callbacks of a request. OnEnd is called exactly once, unless the stream is
/// cancelled.
struct peer_stream_events {
  std::function<void(std::string_view Message)> OnMessage;
  std::function<void(const peer_result &Result)> OnEnd;
};

struct peer_stream_row;
using peer_stream_id = typed_id<peer_stream_row>;

/// Counters since the start of the process, for the metrics.
struct peer_counters {
  std::uint64_t BytesIn = 0;
  std::uint64_t BytesOut = 0;
  std::uint64_t Requests = 0;
  std::uint64_t LinksLost = 0;
  std::uint64_t HandshakesRefused = 0;
  std::uint64_t EndedForMemory = 0; ///< Streams of a server.
  std::size_t OpenLinks = 0;
  std::size_t OpenStreams = 0;
};

/// The outgoing links of a host: one connection to each other host, opened on
/// demand and reopened with back-off after a loss.
class peer_links {
public:
  /// \p SharedKey must not be empty. Fails with InvalidInput.
  static std::optional<peer_links> create(peer_settings Settings,
                                          std::string SharedKey);

  /// Sets the address of \p Host ("ip:port"). If it changes, the old connection
  /// is closed once its streams have ended.
  bool setAddress(std::string_view Host, std::string_view Address);

  /// Overrides the address set by setAddress(). An empty \p Address removes the
  /// override.
  bool setRoute(std::string_view Host, std::string_view Address);

  /// Removes a host. Its open streams end with Unavailable.
  void forget(std::string_view Host);

  /// Starts a request. Without a link, it waits for one for at most the
  /// handshake timeout, and then ends with Unavailable and not sent. During the
  /// back-off after a failed connect, requests to the host fail immediately.
  peer_stream_id send(std::string_view Host, peer_request Request,
                      peer_stream_events Events);

  /// Cancels a request. None of its callbacks is called afterwards. Returns
  /// false if the stream has already ended.
  bool cancel(peer_stream_id Id);

  /// Returns whether an authenticated link to \p Host is open.
  bool isUp(std::string_view Host) const;

  peer_counters counters() const;

  peer_links(peer_links &&Other) noexcept;
  peer_links &operator=(peer_links &&Other) noexcept;
  ~peer_links();

  /// Private to the implementation.
  struct state;

private:
  explicit peer_links(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

struct peer_reply_row;
using peer_reply_id = typed_id<peer_reply_row>;

/// A request as passed to the handler. The views are valid during the call of
/// the handler.
struct peer_request_view {
  peer_reply_id Reply;
  std::string_view Host; ///< The authenticated sender.
  std::string_view Path;
  std::string_view Body;
  const std::vector<peer_header> *Headers = nullptr;

  /// Returns the value of a header, or an empty string.
  std::string_view header(std::string_view Name) const;
};

/// How a handler ends its response.
struct peer_status {
  error_code Code = error_code::None;
  std::string Text;
};

struct peer_server_events {
  std::function<void(const peer_request_view &Request)> OnRequest;
  /// Called when the client has cancelled or its link was lost. The reply id is
  /// stale afterwards. Not called for a reply that was ended.
  std::function<void(peer_reply_id Reply)> OnGone;
};

/// A server for requests from other hosts.
class peer_server {
public:
  /// Listens on \p Address ("ip:port"; port 0 selects a free port). The
  /// requests that are not complete and the unsent responses count in
  /// \p Budget, unless that is nullptr; it must outlive the server. Fails with
  /// InvalidInput or Unavailable.
  static std::optional<peer_server> create(std::string_view Address,
                                           peer_settings Settings,
                                           std::string SharedKey,
                                           peer_server_events Events,
                                           memory_budget *Budget = nullptr);

  /// Returns the port that it listens on.
  std::uint16_t port() const;

  /// Appends a message to a response. Returns false if the client has left
  /// (NotFound), or if it reads too slowly and the buffer is full or the
  /// response was ended for its memory (Refused).
  bool write(peer_reply_id Reply, std::string_view Message);

  /// Ends a response; the reply id is stale afterwards. Pending messages are
  /// still delivered.
  bool end(peer_reply_id Reply, peer_status Status);

  /// Stops accepting connections and rejects new requests on open ones as not
  /// run. Replies in progress are completed.
  void stopAccepting();

  peer_counters counters() const;

  peer_server(peer_server &&Other) noexcept;
  peer_server &operator=(peer_server &&Other) noexcept;
  ~peer_server();

  /// Private to the implementation.
  struct state;

private:
  explicit peer_server(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace turmerichead
