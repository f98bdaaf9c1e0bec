#include "grammar_pvt.h"

#include <algorithm>
#include <charconv>
#include <limits>

namespace turmerichead::http1::pvt {

namespace {

constexpr std::string_view Http11 = "HTTP/1.1";
constexpr std::string_view Http10 = "HTTP/1.0";
constexpr int Decimal = 10;
constexpr int Hexadecimal = 16;

bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }
bool isUpper(char Letter) { return Letter >= 'A' && Letter <= 'Z'; }
bool isAlpha(char Letter) {
  return isUpper(Letter) || (Letter >= 'a' && Letter <= 'z');
}
bool isBlank(char Letter) { return Letter == ' ' || Letter == '\t'; }

/// tchar of RFC 9110.
bool isTokenChar(char Letter) {
  return isDigit(Letter) || isAlpha(Letter) ||
         (Letter != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(Letter) !=
                                std::string_view::npos);
}

/// VCHAR or obs-text.
bool isVisible(char Letter) {
  constexpr unsigned char LastControl = 0x20;
  constexpr unsigned char Delete = 0x7f;
  auto Byte = static_cast<unsigned char>(Letter);
  return Byte > LastControl && Byte != Delete;
}

bool isText(char Letter) { return isVisible(Letter) || isBlank(Letter); }

template <typename Predicate>
bool isAll(std::string_view Text, Predicate Matches) {
  return std::all_of(Text.begin(), Text.end(), Matches);
}

/// Returns whether the version is 1.0, or nullopt if it is not read.
std::optional<bool> readVersion(std::string_view Text) {
  if (Text != Http11 && Text != Http10)
    return std::nullopt;
  return Text == Http10;
}

/// Reads digits without a sign.
std::optional<std::uint64_t> readNumber(std::string_view Text, int Base) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Value, Base);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

/// Removes what \p Matches from the start of \p Text and returns it.
template <typename Predicate>
std::string_view take(std::string_view &Text, Predicate Matches) {
  auto End = std::find_if_not(Text.begin(), Text.end(), Matches);
  std::string_view Taken =
      Text.substr(0, static_cast<std::size_t>(End - Text.begin()));
  Text.remove_prefix(Taken.size());
  return Taken;
}

bool takeChar(std::string_view &Text, char Letter) {
  if (!Text.starts_with(Letter))
    return false;
  Text.remove_prefix(1);
  return true;
}

/// Takes the rest of a quoted string behind its first quote.
bool takeQuoted(std::string_view &Text) {
  while (!Text.empty()) {
    char Letter = Text.front();
    Text.remove_prefix(1);
    if (Letter == '"')
      return true;
    if (Letter == '\\') {
      if (Text.empty() || !isText(Text.front()))
        return false;
      Text.remove_prefix(1);
    } else if (!isText(Letter)) {
      return false;
    }
  }
  return false;
}

/// Takes one extension of a chunk behind its semicolon.
bool takeExtension(std::string_view &Text) {
  take(Text, isBlank);
  if (take(Text, isTokenChar).empty())
    return false;
  take(Text, isBlank);
  if (!takeChar(Text, '='))
    return true;
  take(Text, isBlank);
  bool IsValid =
      takeChar(Text, '"') ? takeQuoted(Text) : !take(Text, isTokenChar).empty();
  take(Text, isBlank);
  return IsValid;
}

} // namespace

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && isBlank(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isBlank(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

bool isTarget(std::string_view Target) {
  return !Target.empty() &&
         (Target.front() == '/' || Target == "*" || isAlpha(Target.front())) &&
         isAll(Target, isVisible);
}

bool isField(std::string_view Name, std::string_view Value) {
  return !Name.empty() && isAll(Name, isTokenChar) && isAll(Value, isText);
}

std::optional<request_line> readRequestLine(std::string_view Line) {
  std::size_t MethodEnd = Line.find(' ');
  std::size_t TargetEnd = Line.rfind(' ');
  if (MethodEnd == std::string_view::npos || TargetEnd <= MethodEnd + 1)
    return std::nullopt;
  std::string_view Method = Line.substr(0, MethodEnd);
  std::string_view Target =
      Line.substr(MethodEnd + 1, TargetEnd - MethodEnd - 1);
  auto IsHttp10 = readVersion(Line.substr(TargetEnd + 1));
  bool IsMethod =
      !Method.empty() && Method != "CONNECT" && isAll(Method, [](char Letter) {
        return isUpper(Letter) || Letter == '-';
      });
  if (!IsHttp10 || !IsMethod || !isTarget(Target))
    return std::nullopt;
  return request_line{std::string(Method), std::string(Target), *IsHttp10};
}

std::optional<status_line> readStatusLine(std::string_view Line) {
  constexpr std::size_t StatusDigits = 3;
  constexpr std::uint64_t FirstStatus = 100;
  constexpr std::uint64_t LastStatus = 599;
  auto IsHttp10 = readVersion(Line.substr(0, Http11.size()));
  if (!IsHttp10)
    return std::nullopt;
  Line.remove_prefix(Http11.size());
  if (!takeChar(Line, ' ') || Line.size() <= StatusDigits)
    return std::nullopt;
  std::string_view Digits = Line.substr(0, StatusDigits);
  std::string_view Reason = Line.substr(StatusDigits);
  auto Status = readNumber(Digits, Decimal);
  if (!Status || *Status < FirstStatus || *Status > LastStatus ||
      Reason.front() != ' ' || !isAll(Reason, isText))
    return std::nullopt;
  return status_line{static_cast<int>(*Status), *IsHttp10};
}

std::optional<field_line> readFieldLine(std::string_view Line) {
  std::string_view Name = take(Line, isTokenChar);
  if (Name.empty() || !takeChar(Line, ':') || !isAll(Line, isText))
    return std::nullopt;
  return field_line{Name, trimmed(Line)};
}

std::optional<std::uint64_t> readChunkLine(std::string_view Line) {
  std::size_t SizeEnd = std::min(Line.find_first_of("; \t"), Line.size());
  auto Size = readNumber(Line.substr(0, SizeEnd), Hexadecimal);
  Line.remove_prefix(SizeEnd);
  // Blanks may stand before an extension, but not without one.
  if (Line.find(';') != std::string_view::npos)
    take(Line, isBlank);
  while (takeChar(Line, ';'))
    if (!takeExtension(Line))
      return std::nullopt;
  if (!Line.empty())
    return std::nullopt;
  return Size;
}

framing readFraming(const header_list &Headers, bool IsHttp10) {
  std::size_t Lengths = Headers.count("Content-Length");
  std::size_t Codings = Headers.count("Transfer-Encoding");
  if (Lengths + Codings == 0)
    return {};
  if (Codings > 0) {
    bool IsChunked = Codings == 1 && Lengths == 0 && !IsHttp10 &&
                     equalNames(Headers.get("Transfer-Encoding"), "chunked");
    return {IsChunked ? message_fault::None : message_fault::Coding,
            body_framing::Chunked,
            {}};
  }
  auto Length = readNumber(Headers.get("Content-Length"), Decimal);
  bool IsValid = Lengths == 1 && Length &&
                 *Length < std::numeric_limits<std::uint64_t>::max();
  return {IsValid ? message_fault::None : message_fault::Length,
          body_framing::Length, Length};
}

bool allowsReuse(const header_list &Headers, bool IsHttp10) {
  bool Closes = false;
  bool Keeps = false;
  for (const header &Row : Headers.rows()) {
    if (!equalNames(Row.Name, "Connection"))
      continue;
    Closes = Closes || hasToken(Row.Value, "close");
    Keeps = Keeps || hasToken(Row.Value, "keep-alive");
  }
  return IsHttp10 ? Keeps && !Closes : !Closes;
}

} // namespace turmerichead::http1::pvt
