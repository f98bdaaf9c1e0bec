#include "turmerichead/findings.h"

#include <utility>

namespace turmerichead {

void findings::add(source_place Place, std::string Text) {
  Rows.push_back({std::move(Place), std::move(Text)});
}

std::string findings::toText() const {
  std::string Result;
  for (const finding &Row : Rows) {
    Result += Row.Place.File;
    if (Row.Place.Line > 0)
      Result += ':' + std::to_string(Row.Place.Line) + ':' +
                std::to_string(Row.Place.Column);
    if (!Row.Place.Key.empty())
      Result += ": " + Row.Place.Key;
    Result += ": " + Row.Text + '\n';
  }
  return Result;
}

} // namespace turmerichead
