/// \file
/// The grammar of HTTP/1.1 messages (RFC 9110 and 9112), read strictly: what a
/// recipient may accept for the sake of old senders is refused, because two
/// readers may frame it differently.
///
/// All lines are given without their CR LF.
#pragma once

#include "turmerichead/http1_message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::http1::pvt {

/// Returns \p Text without the blanks around it.
std::string_view trimmed(std::string_view Text);

struct request_line {
  std::string Method;
  std::string Target;
  bool IsHttp10 = false;
};

struct status_line {
  int Status = 0;
  bool IsHttp10 = false;
};

std::optional<request_line> readRequestLine(std::string_view Line);
/// Accepts the status codes 100 to 599.
std::optional<status_line> readStatusLine(std::string_view Line);

/// A field line, as views of the line that was read.
struct field_line {
  std::string_view Name;
  std::string_view Value; ///< Without blanks around it.
};
/// Whether \p Target may stand in a request line.
bool isTarget(std::string_view Target);
/// Whether \p Name and \p Value may stand in a field line.
bool isField(std::string_view Name, std::string_view Value);
/// Accepts no folded lines and no blanks before the colon.
std::optional<field_line> readFieldLine(std::string_view Line);

/// Returns the size in the first line of a chunk, whose extensions are checked
/// and ignored.
std::optional<std::uint64_t> readChunkLine(std::string_view Line);

enum class body_framing : std::uint8_t {
  None,
  Length,
  Chunked,
  UntilEnd ///< The end of the connection ends the body.
};

/// How the body of a message is framed.
struct framing {
  message_fault Fault = message_fault::None;
  body_framing Body = body_framing::None;
  std::optional<std::uint64_t> Length; ///< As declared.
};

/// Reads Content-Length and Transfer-Encoding. Without either, the body is
/// None.
framing readFraming(const header_list &Headers, bool IsHttp10);

/// Returns whether the fields allow the connection to be used again.
bool allowsReuse(const header_list &Headers, bool IsHttp10);

} // namespace turmerichead::http1::pvt
