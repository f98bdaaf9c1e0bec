#include "turmerichead/error.h"
#include "turmerichead/net_http.h"

#include <algorithm>
#include <utility>

namespace turmerichead {

bool sse_splitter::feed(
    std::string_view Bytes,
    const std::function<void(std::string_view Data)> &OnData) {
  for (std::size_t I = 0; I < Bytes.size() && !Failed;) {
    // A line ends with CR, LF or CR LF; the LF may arrive in a later chunk.
    if (SkipLineFeed && Bytes[I] == '\n') {
      HasCrLf = true;
      Unfinished += Unfinished > 0 ? 1 : 0;
      ++I;
    }
    SkipLineFeed = false;
    std::size_t End = Bytes.find_first_of("\r\n", I);
    Line += Bytes.substr(I, End == std::string_view::npos ? End : End - I);
    Failed = Line.size() + Data.size() > MaxEventBytes;
    if (End == std::string_view::npos || Failed) {
      Unfinished += Bytes.size() - I;
      break;
    }
    SkipLineFeed = Bytes[End] == '\r';
    Unfinished += End + 1 - I;
    I = End + 1;
    std::string Whole = std::exchange(Line, {});
    takeLine(Whole, OnData);
  }
  if (Failed)
    fail(error_code::Corrupt, "an event of the stream is over the limit");
  return !Failed;
}

void sse_splitter::takeLine(
    std::string_view Line,
    const std::function<void(std::string_view Data)> &OnData) {
  if (Line.empty()) {
    LastId = Id;
    Unfinished = 0;
    if (HasData)
      OnData(std::exchange(Data, {}));
    HasData = false;
    HasField = false;
    Data.clear();
    return;
  }
  std::size_t Colon = std::min(Line.find(':'), Line.size());
  HasField |= Colon > 0;
  std::string_view Field = Line.substr(0, Colon);
  std::string_view Value = Line.substr(std::min(Line.size(), Colon + 1));
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  if (Field == "id")
    Id = Value;
  if (Field != "data")
    return;
  if (HasData)
    Data += '\n';
  Data += Value;
  HasData = true;
}

bool sse_splitter::isInsideEvent() const {
  bool LacksLineFeed = SkipLineFeed && HasCrLf;
  return !Line.empty() || HasField || LacksLineFeed;
}

void sse_splitter::dropUnfinished() {
  Line.clear();
  Data.clear();
  Id = LastId;
  HasData = false;
  HasField = false;
  SkipLineFeed = false;
  Unfinished = 0;
}

} // namespace turmerichead
