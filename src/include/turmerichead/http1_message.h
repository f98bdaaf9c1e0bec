/// \file
/// HTTP/1.1 messages as values.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::http1 {

struct header {
  std::string Name;
  std::string Value;
};

/// Headers in the order of the message. Names compare without case.
class header_list {
public:
  header_list() = default;
  header_list(std::initializer_list<header> Rows) : Rows(Rows) {}

  /// Appends a header, whether or not the name stands already.
  void add(std::string_view Name, std::string_view Value);

  /// Replaces all headers of this name by one.
  void set(std::string_view Name, std::string_view Value);

  void remove(std::string_view Name);

  /// The first value of this name, or nullptr.
  const std::string *find(std::string_view Name) const;

  /// The first value of this name, or an empty text.
  std::string_view get(std::string_view Name) const;

  /// How many headers have this name.
  std::size_t count(std::string_view Name) const;

  const std::vector<header> &rows() const { return Rows; }
  std::vector<header> &rows() { return Rows; }

private:
  std::vector<header> Rows;
};

/// Compares two header names.
bool equalNames(std::string_view Left, std::string_view Right);

/// True if \p List, a comma-separated list, has \p Token. Without case.
bool hasToken(std::string_view List, std::string_view Token);

/// Removes the headers that concern one connection only: Connection and
/// those it names, Keep-Alive, Transfer-Encoding, Content-Length, TE,
/// Trailer, Upgrade, Expect and the Proxy headers.
void removeHopByHop(header_list &Headers);

struct request {
  std::string Method;
  std::string Target; ///< Path and query, as on the request line.
  header_list Headers;
  std::string Body;
};

struct response_head {
  int Status = 0;
  header_list Headers;
};

/// The status codes that the project answers with or decides by.
namespace status {
inline constexpr int Ok = 200;
inline constexpr int NoContent = 204;
inline constexpr int NotModified = 304;
inline constexpr int BadRequest = 400;
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

/// The standard phrase of a status code; "Status" if it has none.
std::string_view reasonOf(int Status);

} // namespace turmerichead::http1
