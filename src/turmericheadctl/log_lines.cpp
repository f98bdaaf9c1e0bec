#include "log_lines.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace turmerichead::ctl {

namespace {

void readLog(std::istream &Log, std::span<const std::string_view> Words,
             const std::function<void(const nlohmann::ordered_json &)> &Take) {
  std::string Text;
  while (std::getline(Log, Text)) {
    std::size_t Begin = Text.find('{');
    bool Wanted = std::any_of(Words.begin(), Words.end(), [&](auto Word) {
      return Text.find(Word) != std::string::npos;
    });
    if (Begin == std::string::npos || !Wanted)
      continue;
    auto Line =
        nlohmann::ordered_json::parse(Text.substr(Begin), nullptr, false);
    if (Line.is_object())
      Take(Line);
  }
}

} // namespace

bool readLogs(
    arguments Files, std::span<const std::string_view> Words,
    const std::function<void(const nlohmann::ordered_json &Line)> &Take) {
  for (const std::string &File : Files) {
    std::ifstream Log(File);
    if (!Log) {
      std::cerr << File << ": cannot be read\n";
      return false;
    }
    readLog(Log, Words, Take);
  }
  if (Files.empty())
    readLog(std::cin, Words, Take);
  return true;
}

std::int64_t integerAt(const nlohmann::ordered_json &Line, const char *Key,
                       std::int64_t Default) {
  auto Value = Line.find(Key);
  bool IsInteger = Value != Line.end() && Value->is_number_integer();
  return IsInteger ? Value->get<std::int64_t>() : Default;
}

std::string textAt(const nlohmann::ordered_json &Line, const char *Key,
                   const char *Default) {
  auto Value = Line.find(Key);
  bool IsText = Value != Line.end() && Value->is_string();
  return IsText ? Value->get<std::string>() : Default;
}

} // namespace turmerichead::ctl
