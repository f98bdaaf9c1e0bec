/// \file
/// Scenario files: an ordered list of steps in TOML, checked as a whole.
/// docs/TESTING.md has the grammar.
#pragma once

#include "turmerichead/findings.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace turmerichead::scenario {

/// One step. Its fields keep the types that they have in the file.
struct step {
  std::string Verb; ///< The value of "do".
  nlohmann::json Fields;
  std::string File;
  int Line = 0;

  std::string text(const char *Key, const std::string &Fallback = "") const;
  std::int64_t number(const char *Key, std::int64_t Fallback) const;
  bool flag(const char *Key, bool Fallback = false) const;
  bool has(const char *Key) const { return Fields.contains(Key); }

  /// A field that is one text or a list of texts, as a list.
  std::vector<std::string> texts(const char *Key) const;

  /// "file:line", the file without its folders.
  std::string place() const;
};

/// Loads a file with all files that its "include" steps name. Everything that
/// is wrong with any of them is added to \p Findings; then the answer is
/// empty.
std::optional<std::vector<step>> load(const std::string &File,
                                      findings &Findings);

} // namespace turmerichead::scenario
