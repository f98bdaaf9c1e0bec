/// \file
/// A TOML or JSON text as one tree of values, with the place of each.
#pragma once

#include "turmerichead/findings.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::pvt {

/// Where each key of a document stands.
class place_map {
public:
  explicit place_map(std::string File) : File(std::move(File)) {}

  void set(const std::string &Key, int Line, int Column);

  /// The place of \p Key; where it is absent, that of the nearest table
  /// around it, with \p Key named.
  source_place at(const std::string &Key) const;

  /// The places below \p Prefix, with keys relative to it. Findings still
  /// name the whole key.
  place_map below(const std::string &Prefix) const;

private:
  struct line_column {
    int Line = 0;
    int Column = 0;
  };
  std::string File;
  std::string Prefix;
  std::map<std::string, line_column> Places;
};

struct document {
  nlohmann::json Root;
  place_map Places;
};

/// Joins a table's path and a key; a key with a dot is quoted.
std::string joinKey(const std::string &Path, std::string_view Key);

std::optional<document> parseToml(std::string_view Text, std::string_view File,
                                  findings &Findings);
std::optional<document> parseJson(std::string_view Text, std::string_view File,
                                  findings &Findings);

} // namespace turmerichead::pvt
