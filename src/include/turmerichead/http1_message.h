/// \file
/// Value types for HTTP/1.1 messages.
#pragma once

#include "turmerichead/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::http1 {

struct header {
  std::string Name;
  std::string Value;
};

/// Headers in the order of the message. Names are case-insensitive.
class header_list {
public:
  header_list() = default;
  header_list(std::initializer_list<header> Rows) : Rows(Rows) {}

  /// Appends a header, even if there is one with this name.
  void add(std::string_view Name, std::string_view Value);

  /// Replaces all headers of this name by one.
  void set(std::string_view Name, std::string_view Value);

  void remove(std::string_view Name);

  /// Returns the first value of this name, or nullptr.
  const std::string *find(std::string_view Name) const;

  /// Returns the first value of this name, or an empty string.
  std::string_view get(std::string_view Name) const;

  /// Returns the number of headers with this name.
  std::size_t count(std::string_view Name) const;

  const std::vector<header> &rows() const { return Rows; }
  std::vector<header> &rows() { return Rows; }

  /// Returns the bytes that the list takes.
  std::size_t heldBytes() const;

private:
  std::vector<header> Rows;
};

/// Compares two header names, case-insensitively.
bool equalNames(std::string_view Left, std::string_view Right);

/// Returns whether the comma-separated \p List contains \p Token,
/// case-insensitively.
bool hasToken(std::string_view List, std::string_view Token);

/// Removes the headers that concern one connection only: Connection and
/// those it names, Keep-Alive, Transfer-Encoding, Content-Length, TE,
/// Trailer, Upgrade, Expect and the Proxy headers.
void removeHopByHop(header_list &Headers);

/// Why a message was refused. The names are labels of a metric.
enum class message_fault : std::uint8_t {
  None,
  StartLine, ///< The status line or request line, or the status.
  Field,     ///< A field line of the head.
  LineEnd,   ///< A line does not end with CR LF.
  Length,    ///< Content-Length.
  Coding,    ///< Transfer-Encoding, or a length beside it.
  ChunkLine, ///< The size of a chunk, or its extensions.
  ChunkEnd,  ///< No CR LF behind the bytes of a chunk.
  Trailer,
  HeadTooLarge,
  Cut,        ///< The connection ended inside the message.
  Undelivered ///< The connection ended before the request was received.
};
std::string_view nameOf(message_fault Fault);
/// Returns a readable text.
std::string_view textOf(message_fault Fault);

struct request {
  std::string Method;
  std::string Target; ///< Path and query, as on the request line.
  header_list Headers;
  std::string Body;
  std::string PeerIp = {}; ///< IP address of the client; empty: not known.
  /// Time from the arrival of its last byte at this host until it was read. It
  /// is long if the process was not scheduled meanwhile.
  milliseconds Waited{0};
};

struct response_head {
  int Status = 0;
  header_list Headers;
};

/// The status codes that this project uses.
namespace status {
inline constexpr int Ok = 200;
inline constexpr int NoContent = 204;
inline constexpr int NotModified = 304;
inline constexpr int BadRequest = 400;
inline constexpr int Unauthorized = 401;
inline constexpr int PaymentRequired = 402;
inline constexpr int NotFound = 404;
inline constexpr int RequestTimeout = 408;
inline constexpr int Conflict = 409;
inline constexpr int Gone = 410;
inline constexpr int ContentTooLarge = 413;
inline constexpr int Misdirected = 421;
inline constexpr int TooManyRequests = 429;
inline constexpr int HeadersTooLarge = 431;
inline constexpr int BadGateway = 502;
inline constexpr int Unavailable = 503;
inline constexpr int GatewayTimeout = 504;
} // namespace status

/// Returns the reason phrase of a status code; "Status" if it has none.
std::string_view reasonOf(int Status);

} // namespace turmerichead::http1
