#include "commands.h"
#include "files.h"

#include <algorithm>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace turmerichead::ctl {

namespace {

/// A line of a host's log that tells of the id.
struct story_line {
  std::int64_t TimeMs = 0;
  std::string Host;
  std::string Event;
  nlohmann::ordered_json Fields;
};

bool tellsOf(const nlohmann::ordered_json &Line, const std::string &Id) {
  return std::any_of(Line.begin(), Line.end(), [&](const auto &Value) {
    return Value.is_string() && Value.template get<std::string>() == Id;
  });
}

/// Adds the lines of a log that tell of \p Id. What stands before the JSON
/// object, such as a collector's time, is passed over.
void collect(std::istream &Log, const std::string &Id,
             std::vector<story_line> &Story) {
  std::string Text;
  while (std::getline(Log, Text)) {
    std::size_t Begin = Text.find('{');
    if (Begin == std::string::npos || Text.find(Id) == std::string::npos)
      continue;
    auto Line =
        nlohmann::ordered_json::parse(Text.substr(Begin), nullptr, false);
    if (!Line.is_object() || !tellsOf(Line, Id))
      continue;
    story_line Row;
    Row.TimeMs = Line.value("time_ms", std::int64_t(0));
    Row.Host = Line.value("host", std::string("?"));
    Row.Event = Line.value("event", std::string("?"));
    for (const char *Key : {"time_ms", "host", "event", "level"})
      Line.erase(Key);
    Row.Fields = std::move(Line);
    Story.push_back(std::move(Row));
  }
}

void print(const std::vector<story_line> &Story) {
  std::int64_t Begin = Story.front().TimeMs;
  for (const story_line &Row : Story) {
    std::cout << '+' << Row.TimeMs - Begin << " ms  " << Row.Host << "  "
              << Row.Event;
    for (const auto &[Key, Value] : Row.Fields.items())
      std::cout << "  " << Key << '='
                << (Value.is_string() ? Value.get<std::string>()
                                      : Value.dump());
    std::cout << '\n';
  }
}

} // namespace

int explain(const options &, arguments Rest) {
  if (Rest.empty()) {
    std::cerr << "usage: turmericheadctl explain ID [LOG...]\n";
    return BadInput;
  }
  const std::string &Id = Rest.front();
  std::vector<story_line> Story;
  for (const std::string &File : Rest.subspan(1)) {
    auto Text = readFile(File);
    if (!Text) {
      std::cerr << File << ": cannot be read\n";
      return BadInput;
    }
    std::istringstream Log(*Text);
    collect(Log, Id, Story);
  }
  if (Rest.size() == 1)
    collect(std::cin, Id, Story);
  if (Story.empty()) {
    std::cerr << "no line tells of " << Id
              << "; lines may have been left out under load\n";
    return Failed;
  }
  std::stable_sort(Story.begin(), Story.end(),
                   [](const story_line &Left, const story_line &Right) {
                     return Left.TimeMs < Right.TimeMs;
                   });
  print(Story);
  return Good;
}

} // namespace turmerichead::ctl
