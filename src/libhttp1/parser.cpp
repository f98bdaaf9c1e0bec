#include "parser_pvt.h"

#include <limits>

namespace turmerichead::http1::pvt {

namespace {

// Bytes of a header line in addition to name and value: colon, space, CR, LF.
constexpr std::size_t LineOverheadBytes = 4;

// The limit of http_parser is global for the process. It is disabled, because
// each parser has its own limit.
constexpr std::uint32_t LibraryMaxHeadBytes = 16U << 20U;

} // namespace

message_parser::message_parser(http_parser_type Type, std::size_t MaxHeadBytes)
    : Parser(std::make_unique<http_parser>()), Type(Type),
      MaxHeadBytes(MaxHeadBytes) {
  http_parser_set_max_header_size(LibraryMaxHeadBytes);
  restart();
}

void message_parser::restart() {
  http_parser_init(Parser.get(), Type);
  Head = {};
  LastWasValue = false;
  TooLarge = false;
  InMessage = false;
  Ended = false;
  HeadDone = false;
  TotalBytes.reset();
}

std::optional<std::uint64_t> message_parser::declaredLength() const {
  if ((Parser->flags & F_CONTENTLENGTH) == 0)
    return std::nullopt;
  return Parser->content_length;
}

std::string_view message_parser::errorText() const {
  if (TooLarge)
    return "the headers are over the limit";
  return http_errno_description(HTTP_PARSER_ERRNO(Parser.get()));
}

bool message_parser::addHeadBytes(std::size_t Count) {
  Head.Bytes += Count;
  TooLarge = Head.Bytes > MaxHeadBytes;
  return !TooLarge;
}

int message_parser::onUrl(const char *Data, std::size_t Size) {
  Head.Target.append(Data, Size);
  return addHeadBytes(Size) ? 0 : 1;
}

int message_parser::onField(const char *Data, std::size_t Size) {
  if (HeadDone)
    return 0;
  // Unless built in strict mode, http_parser accepts names with spaces, which
  // other implementations may read as another header.
  if (std::string_view(Data, Size).find(' ') != std::string_view::npos)
    return 1;
  if (Head.Headers.rows().empty() || LastWasValue) {
    Head.Headers.add({}, {});
    Head.Bytes += LineOverheadBytes;
  }
  LastWasValue = false;
  Head.Headers.rows().back().Name.append(Data, Size);
  return addHeadBytes(Size) ? 0 : 1;
}

int message_parser::onValue(const char *Data, std::size_t Size) {
  if (HeadDone)
    return 0;
  LastWasValue = true;
  Head.Headers.rows().back().Value.append(Data, Size);
  return addHeadBytes(Size) ? 0 : 1;
}

} // namespace turmerichead::http1::pvt
