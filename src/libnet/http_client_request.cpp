#include "http_client_request_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/net_loop.h"

#include <algorithm>

namespace turmerichead::pvt {

namespace {

/// The parts of a URL that a request needs.
struct http_url {
  std::string Address; ///< "ip:port"
  std::string Target;  ///< Path and query.
};

bool isVisible(char Byte) { return Byte > ' ' && Byte < '\x7f'; }

/// Returns \p Text with all bytes percent-encoded that cannot be part of a
/// request line. An encoding that is there already is kept.
std::string encodeTarget(std::string_view Text) {
  constexpr std::string_view Digits = "0123456789ABCDEF";
  std::string Result;
  for (char Byte : Text) {
    if (isVisible(Byte)) {
      Result += Byte;
      continue;
    }
    auto Value = static_cast<unsigned char>(Byte);
    Result += '%';
    Result += Digits[Value >> 4U];
    Result += Digits[Value & 0xfU];
  }
  return Result;
}

std::optional<http_url> parseUrl(std::string_view Text) {
  constexpr std::string_view Scheme = "http://";
  constexpr std::string_view DefaultPort = ":80";
  if (!Text.starts_with(Scheme))
    return fail(error_code::InvalidInput, "the URL is not http://");
  Text.remove_prefix(Scheme.size());
  Text = Text.substr(0, Text.find('#'));
  std::size_t End = std::min(Text.find_first_of("/?"), Text.size());
  http_url Url;
  Url.Address = Text.substr(0, End);
  std::size_t Colon = Url.Address.rfind(':');
  bool HasPort = Colon != std::string::npos &&
                 Url.Address.find(']', Colon) == std::string::npos;
  if (!HasPort)
    Url.Address += DefaultPort;
  if (!parseAddress(Url.Address))
    return std::nullopt;
  Url.Target = encodeTarget(Text.substr(End));
  if (!Url.Target.starts_with('/'))
    Url.Target.insert(0, "/");
  return Url;
}

/// Returns whether \p Text is a token (RFC 9110, 5.6.2).
bool isToken(std::string_view Text) {
  constexpr std::string_view Delimiters = "\"(),/:;<=>?@[\\]{}";
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [&](char Byte) {
    return isVisible(Byte) && Delimiters.find(Byte) == std::string_view::npos;
  });
}

/// A value with one of these would end its line for the server.
bool endsLine(std::string_view Value) {
  using namespace std::string_view_literals;
  return Value.find_first_of("\r\n\0"sv) != std::string_view::npos;
}

} // namespace

std::optional<http1::call_request> toCallRequest(const http_request &Request) {
  auto Url = parseUrl(Request.Url);
  if (!Url)
    return std::nullopt;
  if (!isToken(Request.Method))
    return fail(error_code::InvalidInput, "the method is not valid");
  http1::call_request Call;
  Call.Address = std::move(Url->Address);
  Call.Target = std::move(Url->Target);
  Call.Method = Request.Method;
  Call.FreshConnection = Request.FreshConnection;
  Call.Headers.add("Host", Call.Address);
  Call.Headers.add("Accept-Encoding", "identity");
  if (!Request.Body.empty()) {
    Call.Headers.add("Content-Type", Request.ContentType);
    Call.Body.push_back(Request.Body);
  }
  for (const http_header &Header : Request.Headers)
    Call.Headers.set(Header.Name, Header.Value);
  for (const http1::header &Header : Call.Headers.rows())
    if (!isToken(Header.Name) || endsLine(Header.Value))
      return fail(error_code::InvalidInput, "a header is not valid");
  return Call;
}

} // namespace turmerichead::pvt
