#include "commands.h"
#include "log_lines.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <set>
#include <vector>

namespace turmerichead::ctl {

namespace {

/// A line of the log of a host that contains the id.
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

/// Returns the fingerprints in a line.
std::vector<std::string> printsOn(const nlohmann::ordered_json &Line) {
  std::vector<std::string> Prints;
  for (const char *Key :
       {"fingerprint", "content", "caller_fingerprint", "target_fingerprint"})
    if (auto Print = Line.find(Key); Print != Line.end() && Print->is_string())
      Prints.push_back(Print->get<std::string>());
  return Prints;
}

story_line storyLine(nlohmann::ordered_json Line) {
  story_line Row;
  Row.TimeMs = integerAt(Line, "time_ms");
  Row.Host = textAt(Line, "host", "?");
  Row.Event = textAt(Line, "event", "?");
  for (const char *Key : {"time_ms", "host", "event", "level"})
    Line.erase(Key);
  Row.Fields = std::move(Line);
  return Row;
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
  std::vector<nlohmann::ordered_json> Lines;
  // Lines about the same request under other ids have the same fingerprint.
  std::set<std::string> Prints;
  const std::array<std::string_view, 2> Words = {Id, "\"fingerprint\""};
  bool Read = readLogs(Rest.subspan(1), Words, [&](const auto &Line) {
    Lines.push_back(Line);
    if (tellsOf(Line, Id))
      for (std::string &Print : printsOn(Line))
        Prints.insert(std::move(Print));
  });
  if (!Read)
    return BadInput;
  std::vector<story_line> Story;
  for (nlohmann::ordered_json &Line : Lines) {
    auto OnLine = printsOn(Line);
    bool Same = std::any_of(
        OnLine.begin(), OnLine.end(),
        [&](const std::string &Print) { return Prints.count(Print) > 0; });
    if (Same || tellsOf(Line, Id))
      Story.push_back(storyLine(std::move(Line)));
  }
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
