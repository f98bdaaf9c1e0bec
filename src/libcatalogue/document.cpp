#include "document_pvt.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>

namespace turmerichead::pvt {
namespace {

void noteSource(place_map &Places, const std::string &Path,
                const toml::source_region &Source) {
  Places.set(Path, static_cast<int>(Source.begin.line),
             static_cast<int>(Source.begin.column));
}

nlohmann::json toTree(const toml::node &Node, const std::string &Path,
                      place_map &Places);

nlohmann::json tableTree(const toml::table &Table, const std::string &Path,
                         place_map &Places) {
  nlohmann::json Result = nlohmann::json::object();
  for (auto &&[Key, Value] : Table) {
    std::string Child = joinKey(Path, Key.str());
    noteSource(Places, Child, Key.source());
    Result[std::string(Key.str())] = toTree(Value, Child, Places);
  }
  return Result;
}

nlohmann::json arrayTree(const toml::array &Array, const std::string &Path,
                         place_map &Places) {
  nlohmann::json Result = nlohmann::json::array();
  for (std::size_t I = 0; I < Array.size(); ++I) {
    std::string Child = Path + '[' + std::to_string(I) + ']';
    noteSource(Places, Child, Array[I].source());
    Result.push_back(toTree(Array[I], Child, Places));
  }
  return Result;
}

nlohmann::json toTree(const toml::node &Node, const std::string &Path,
                      place_map &Places) {
  if (const toml::table *Table = Node.as_table())
    return tableTree(*Table, Path, Places);
  if (const toml::array *Array = Node.as_array())
    return arrayTree(*Array, Path, Places);
  if (const auto *Text = Node.as_string())
    return Text->get();
  if (const auto *Integer = Node.as_integer())
    return Integer->get();
  if (const auto *Float = Node.as_floating_point())
    return Float->get();
  if (const auto *Boolean = Node.as_boolean())
    return Boolean->get();
  return nullptr; // Dates and times: no setting takes one.
}

/// Line and column of the byte at \p Offset.
std::pair<int, int> placeOfByte(std::string_view Text, std::size_t Offset) {
  std::string_view Before = Text.substr(0, std::min(Offset, Text.size()));
  auto Line = std::count(Before.begin(), Before.end(), '\n') + 1;
  std::size_t Newline = Before.rfind('\n');
  std::size_t Start = Newline == std::string_view::npos ? 0 : Newline + 1;
  return {static_cast<int>(Line), static_cast<int>(Before.size() - Start) + 1};
}

} // namespace

void place_map::set(const std::string &Key, int Line, int Column) {
  Places[Key] = {Line, Column};
}

source_place place_map::at(const std::string &Key) const {
  source_place Result;
  Result.File = File;
  Result.Key = Prefix.empty() ? Key : Prefix + '.' + Key;
  std::string Path = Key;
  while (true) {
    if (auto Found = Places.find(Path); Found != Places.end()) {
      Result.Line = Found->second.Line;
      Result.Column = Found->second.Column;
      return Result;
    }
    if (Path.empty())
      return Result;
    std::size_t End = Path.find_last_of(".[");
    Path.resize(End == std::string::npos ? 0 : End);
  }
}

place_map place_map::below(const std::string &Below) const {
  place_map Result(File);
  Result.Prefix = Below;
  for (const auto &[Key, Place] : Places) {
    if (Key == Below)
      Result.Places[""] = Place;
    else if (Key.starts_with(Below + '.'))
      Result.Places[Key.substr(Below.size() + 1)] = Place;
  }
  return Result;
}

std::string joinKey(const std::string &Path, std::string_view Key) {
  bool Ambiguous = Key.find_first_of(".[") != std::string_view::npos;
  std::string Shown =
      Ambiguous ? '"' + std::string(Key) + '"' : std::string(Key);
  return Path.empty() ? Shown : Path + '.' + Shown;
}

std::optional<document> parseToml(std::string_view Text, std::string_view File,
                                  findings &Findings) {
  toml::parse_result Parsed = toml::parse(Text, File);
  if (!Parsed) {
    const toml::parse_error &Error = Parsed.error();
    Findings.add({std::string(File),
                  static_cast<int>(Error.source().begin.line),
                  static_cast<int>(Error.source().begin.column), ""},
                 std::string(Error.description()));
    return std::nullopt;
  }
  document Result{{}, place_map(std::string(File))};
  Result.Root = tableTree(Parsed.table(), "", Result.Places);
  return Result;
}

std::optional<document> parseJson(std::string_view Text, std::string_view File,
                                  findings &Findings) {
  // The library tells the place of an error by an exception only.
  try {
    return document{nlohmann::json::parse(Text), place_map(std::string(File))};
  } catch (const nlohmann::json::parse_error &Error) {
    std::size_t Offset = Error.byte > 0 ? Error.byte - 1 : 0;
    auto [Line, Column] = placeOfByte(Text, Offset);
    Findings.add({std::string(File), Line, Column, ""}, "not valid JSON");
    return std::nullopt;
  } catch (const nlohmann::json::exception &) {
    Findings.add({std::string(File), 0, 0, ""}, "a number is out of range");
    return std::nullopt;
  }
}

} // namespace turmerichead::pvt
