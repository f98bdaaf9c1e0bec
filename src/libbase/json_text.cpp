#include "turmerichead/json_text.h"

#include <algorithm>
#include <string>

namespace turmerichead {

namespace {

using nlohmann::json;

// Objects of this project and of the platform are nested a few levels deep.
// Copies and dumps of a JSON value recurse once for each level.
constexpr std::size_t MaxDepth = 64;

bool isStructural(char Byte) {
  return std::string_view("[]{},: \t\r\n").find(Byte) != std::string_view::npos;
}

bool isOpening(char Byte) { return Byte == '[' || Byte == '{'; }
bool isClosing(char Byte) { return Byte == ']' || Byte == '}'; }

/// Returns the end of the token that begins at \p At: a string, a number or
/// literal, or one structural byte.
std::size_t endOfToken(std::string_view Text, std::size_t At) {
  std::size_t End = At + 1;
  if (Text[At] == '"') {
    while (End < Text.size() && Text[End] != '"')
      End += Text[End] == '\\' ? 2 : 1;
    ++End;
  } else if (!isStructural(Text[At])) {
    while (End < Text.size() && Text[End] != '"' && !isStructural(Text[End]))
      ++End;
  }
  return std::min(End, Text.size());
}

/// Returns \p Text without the values that the parser would not accept.
std::string withoutOddValues(std::string_view Text) {
  std::string Result;
  std::size_t Depth = 0;
  std::size_t End = 0;
  for (std::size_t At = 0; At < Text.size(); At = End) {
    End = endOfToken(Text, At);
    std::string_view Token = Text.substr(At, End - At);
    if (isOpening(Token.front()) && ++Depth == MaxDepth + 1)
      Result += "null";
    if (Depth <= MaxDepth) {
      bool Accepted = isStructural(Token.front()) || json::accept(Token);
      std::string_view Substitute = Token.front() == '"' ? R"("")" : "null";
      Result += Accepted ? Token : Substitute;
    }
    Depth -= isClosing(Token.front()) && Depth > 0 ? 1 : 0;
  }
  return Result;
}

} // namespace

bool isNestedTooDeeply(std::string_view Text) {
  std::size_t Depth = 0;
  for (std::size_t At = 0; At < Text.size(); At = endOfToken(Text, At)) {
    Depth += isOpening(Text[At]) ? 1 : 0;
    Depth -= isClosing(Text[At]) && Depth > 0 ? 1 : 0;
    if (Depth > MaxDepth)
      return true;
  }
  return false;
}

json parseLenient(std::string_view Text) {
  if (!isNestedTooDeeply(Text)) {
    json Value = json::parse(Text, nullptr, false);
    if (!Value.is_discarded())
      return Value;
  }
  return json::parse(withoutOddValues(Text), nullptr, false);
}

} // namespace turmerichead
