// Shows the latest records of an audit trail.

#include "commands.h"
#include "turmerichead/file.h"
#include "turmerichead/json_fields.h"
#include "turmerichead/wall_time.h"

#include "turmerichead/error.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <iostream>
#include <sstream>

namespace turmerichead::ctl {
namespace {

using nlohmann::json;

std::string textOr(const json &Record, const char *Key, const char *Default) {
  auto Found = Record.find(Key);
  if (Found == Record.end())
    return Default;
  std::string Text =
      Found->is_string() ? Found->get<std::string>() : Found->dump();
  return Text.empty() ? Default : Text;
}

void print(const json &Record) {
  auto Time = Record.find("time_ms");
  bool HasTime = Time != Record.end() && Time->is_number_integer();
  std::int64_t WallMs = HasTime ? Time->get<std::int64_t>() : 0;
  std::cout << utcText(WallMs).value_or("(no time)") << "  "
            << textOr(Record, "host", "?") << "  "
            << textOr(Record, "event", "?") << ": "
            << textOr(Record, "entry", "?") << " version "
            << textOr(Record, "version", "?");
  if (Record.contains("who"))
    std::cout << " by " << textOr(Record, "who", "not named");
  if (Record.contains("took_ms"))
    std::cout << " after " << textOr(Record, "took_ms", "?") << " ms";
  std::cout << '\n';
  auto Fields = Record.find("fields");
  if (Fields == Record.end() || !Fields->is_array())
    return;
  for (const json &Field : *Fields)
    if (Field.is_object())
      std::cout << "    " << textOr(Field, "key", "?") << ": "
                << textOr(Field, "before", "(none)") << " -> "
                << textOr(Field, "after", "(none)") << '\n';
}

} // namespace

int audit(const options &Options, arguments Files) {
  if (Files.size() != 1 || Options.Lines < 1) {
    std::cerr << "usage: turmericheadctl audit FILE [-n RECORDS]\n";
    return BadInput;
  }
  auto Text = readWholeFile(Files[0]);
  if (!Text) {
    std::cerr << lastError().Text << '\n';
    return BadInput;
  }
  std::deque<json> Records;
  std::istringstream Lines(*Text);
  for (std::string Line; std::getline(Lines, Line);) {
    json Record = json::parse(Line, nullptr, false);
    bool IsAudit = textAt(Record, "level") == "audit";
    if (!IsAudit)
      continue;
    Records.push_back(std::move(Record));
    if (Records.size() > static_cast<std::size_t>(Options.Lines))
      Records.pop_front();
  }
  for (const json &Record : Records) {
    if (Options.Json)
      std::cout << Record.dump() << '\n';
    else
      print(Record);
  }
  return Good;
}

} // namespace turmerichead::ctl
