/// \file
/// The HTTP side that the stand-ins share: a server on libsoup whose handler
/// gets one value per request, answers it now or later, or drops it.
#pragma once

#include "turmerichead/handle.h"

#include <libsoup/soup.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::standin {

/// One request and the right to answer it. Cheap to copy; all copies mean the
/// same request.
class exchange {
public:
  exchange(SoupServerMessage *Message, std::string Path,
           std::map<std::string, std::string> Query);

  std::string method() const;
  const std::string &path() const { return Path; }
  std::string body() const;

  /// The value of a header, or an empty text.
  std::string header(const char *Name) const;

  /// The value of a query parameter, or \p Fallback.
  std::string query(const std::string &Name,
                    const std::string &Fallback = "") const;

  /// The body as JSON; a discarded value where it does not parse.
  nlohmann::json json() const;

  /// Sets the whole answer. Ends a hold.
  void reply(unsigned Status, const nlohmann::json &Body) const;

  /// Sets the whole answer with a Retry-After header, in seconds.
  void replyRetryLater(unsigned Status, const nlohmann::json &Body,
                       int Seconds) const;

  /// Leaves the answer for later.
  void hold() const;

  /// Begins a chunked answer of type \p ContentType.
  void startStream(const char *ContentType) const;
  void send(std::string_view Chunk) const;
  void endStream() const;

  /// Closes the connection without (the rest of) an answer.
  void drop() const;

  /// False once the answer is out or the caller is gone.
  bool isOpen() const;

private:
  handle<SoupServerMessage> Message;
  std::string Path;
  std::map<std::string, std::string> Query;
};

/// Serves HTTP on one address until the program ends.
class http_server {
public:
  using handler = std::function<void(const exchange &)>;

  /// Listens on \p Address (an IP number) and \p Port; 0 lets the system
  /// choose. On failure lastError() says why.
  static std::optional<http_server> create(const std::string &Address,
                                           std::uint16_t Port, handler OnCall);

  /// The port in use.
  std::uint16_t port() const { return Port; }

private:
  http_server(handle<SoupServer> Server, std::uint16_t Port)
      : Server(std::move(Server)), Port(Port) {}

  handle<SoupServer> Server;
  std::uint16_t Port;
};

/// Calls \p Action once after \p DelayMs on the default loop.
void after(std::int64_t DelayMs, std::function<void()> Action);

/// Calls \p Action every \p PeriodMs on the default loop.
void every(std::int64_t PeriodMs, std::function<void()> Action);

/// Milliseconds of the steady clock.
std::int64_t nowMs();

/// Prints "ready PORT" on standard output and runs the loop until SIGTERM.
/// The answer is the exit code.
int runUntilStopped(std::uint16_t Port);

} // namespace turmerichead::standin
