#include "parser_pvt.h"

#include <limits>

namespace turmerichead::http1::pvt {

namespace {

// What a header line has beside name and value: colon, space, CR and LF.
constexpr std::size_t LineOverheadBytes = 4;

// The library's own limit is one for the whole process; each parser here has
// a limit of its own.
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
  // The library takes names with spaces unless it is built strictly; other
  // readers of such a line may see another header.
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
