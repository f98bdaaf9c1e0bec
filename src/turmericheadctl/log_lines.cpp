#include "log_lines.h"

#include <fstream>
#include <iostream>

namespace turmerichead::ctl {

namespace {

void readLog(std::istream &Log, std::string_view Word,
             const std::function<void(const nlohmann::ordered_json &)> &Take) {
  std::string Text;
  while (std::getline(Log, Text)) {
    std::size_t Begin = Text.find('{');
    if (Begin == std::string::npos || Text.find(Word) == std::string::npos)
      continue;
    auto Line =
        nlohmann::ordered_json::parse(Text.substr(Begin), nullptr, false);
    if (Line.is_object())
      Take(Line);
  }
}

} // namespace

bool readLogs(
    arguments Files, std::string_view Word,
    const std::function<void(const nlohmann::ordered_json &Line)> &Take) {
  for (const std::string &File : Files) {
    std::ifstream Log(File);
    if (!Log) {
      std::cerr << File << ": cannot be read\n";
      return false;
    }
    readLog(Log, Word, Take);
  }
  if (Files.empty())
    readLog(std::cin, Word, Take);
  return true;
}

} // namespace turmerichead::ctl
