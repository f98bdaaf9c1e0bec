/// \file
/// HTTP requests in the background, each on a connection of its own, so that
/// no answer is hidden by a retry within the library.
#pragma once

#include "turmerichead/handle.h"

#include <libsoup/soup.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace turmerichead::scenario {

/// What to send.
struct http_request {
  std::string Method = "GET";
  std::string Url;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// What has come back so far.
struct http_response {
  unsigned Status = 0; ///< 0 until the head of an answer is there.
  std::string Body;
  std::string ContentType;
  bool Done = false;   ///< The end was reached, or the request failed.
  bool Broken = false; ///< It failed before the end of the answer.
  std::string Failure;
};

using request_id = std::uint64_t;

/// The requests under way and done, by id.
class http_client {
public:
  http_client();

  /// Begins a request.
  request_id send(const http_request &Request);

  /// The state of a request. The reference holds until the request is
  /// forgotten.
  const http_response &response(request_id Id) const;

  /// Breaks the connection off.
  void cancel(request_id Id);
  void forget(request_id Id);

  /// Sends a request and waits at most \p BoundMs for its end.
  http_response fetch(const http_request &Request, std::int64_t BoundMs);

private:
  struct exchange;
  struct reference;

  static void onHead(GObject *Source, GAsyncResult *Result, gpointer Data);
  static void onBody(GObject *Source, GAsyncResult *Result, gpointer Data);
  static void readMore(std::unique_ptr<reference> Reference,
                       GInputStream *Stream);
  static void fail(exchange &Exchange, GError *Reason);

  handle<SoupSession> Session;
  request_id NextId = 1;
  std::unordered_map<request_id, std::shared_ptr<exchange>> Exchanges;
};

} // namespace turmerichead::scenario
