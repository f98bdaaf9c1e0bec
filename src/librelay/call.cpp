#include "call_pvt.h"

#include "turmerichead/error.h"

#include <charconv>

namespace turmerichead::relay {

namespace {

std::optional<std::uint64_t> readNumber(std::string_view Text) {
  while (!Text.empty() && Text.front() == ' ')
    Text.remove_prefix(1);
  std::uint64_t Value = 0;
  auto Result = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Reads an optional header that holds a number. Fails with InvalidInput if it
/// holds something else.
bool readHeader(const http1::header_list &Headers, const std::string &Name,
                std::optional<std::uint64_t> &Value) {
  const std::string *Text = Headers.find(Name);
  if (!Text)
    return true;
  Value = readNumber(*Text);
  if (Value)
    return true;
  fail(error_code::InvalidInput, Name + ": not a whole number");
  return false;
}

} // namespace

std::string scopedId(std::string_view Organisation, std::string_view Id) {
  // Names of organisations have no control characters.
  constexpr char Separator = '\x1f';
  if (Organisation.empty() || Id.empty())
    return std::string(Id);
  std::string Scoped(Organisation);
  Scoped += Separator;
  return Scoped.append(Id);
}

std::optional<call_params> readCallParams(const header_names &Names,
                                          const http1::header_list &Headers) {
  call_params Params;
  Params.Id = Headers.get(Names.CallId);
  if (Params.Id.empty() || Headers.count(Names.CallId) > 1)
    return fail(error_code::InvalidInput,
                Names.CallId + ": needed exactly once");
  std::optional<std::uint64_t> TimeLeft;
  if (!readHeader(Headers, Names.TimeLeft, TimeLeft) ||
      !readHeader(Headers, Names.Budget, Params.Budget))
    return std::nullopt;
  if (TimeLeft)
    Params.TimeLeft = milliseconds(*TimeLeft);
  Params.Program = Headers.get(Names.Program);
  Params.PreviousTurn = Headers.get(Names.PreviousTurn);
  if (const std::string *Tokens = Headers.find(Names.Tokens)) {
    std::string_view Text = *Tokens;
    std::size_t Comma = Text.find(',');
    auto Prompt = readNumber(Text.substr(0, Comma));
    auto Max = Comma == std::string_view::npos
                   ? std::nullopt
                   : readNumber(Text.substr(Comma + 1));
    if (!Prompt || !Max)
      return fail(error_code::InvalidInput,
                  Names.Tokens + ": two whole numbers, with a comma");
    Params.MaxTokens = *Max;
  }
  return Params;
}

// Large enough to be few, small enough that a short answer wastes little.
constexpr std::size_t PieceBytes = 16U << 10U;

void answer_body::append(std::string_view Bytes) {
  Size += Bytes.size();
  while (!Bytes.empty()) {
    if (Pieces.empty() || Pieces.back().size() == PieceBytes)
      Pieces.emplace_back();
    std::string &Last = Pieces.back();
    std::string_view Part = Bytes.substr(0, PieceBytes - Last.size());
    // The first piece is mostly the whole answer, and grows as needed.
    if (Pieces.size() > 1)
      Last.reserve(PieceBytes);
    Last += Part;
    Bytes.remove_prefix(Part.size());
  }
}

std::string answer_body::take() {
  if (Pieces.size() == 1) {
    std::string Only = std::move(Pieces.front());
    *this = {};
    return Only;
  }
  std::string Text;
  Text.reserve(Size);
  for (std::string &Piece : Pieces) {
    Text += Piece;
    Piece = {};
  }
  *this = {};
  return Text;
}

bool mayWin(int Status) {
  constexpr int FirstServerError = 500;
  return Status < FirstServerError && Status != http1::status::RequestTimeout &&
         Status != http1::status::Misdirected &&
         Status != http1::status::TooManyRequests;
}

std::string_view nameOf(hedge_end End) {
  switch (End) {
  case hedge_end::Failed:
    return "failed";
  case hedge_end::Won:
    return "won";
  case hedge_end::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

std::string_view nameOf(call_phase Phase) {
  switch (Phase) {
  case call_phase::Opening:
    return "opening";
  case call_phase::Sent:
    return "sent";
  case call_phase::Streaming:
    return "streaming";
  case call_phase::Keeping:
    return "keeping";
  }
  return "unknown";
}

} // namespace turmerichead::relay
