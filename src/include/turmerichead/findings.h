/// \file
/// Findings of a check over a whole input, collected with their place.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// Where in an input a finding lies. Line and column count from 1; 0 is
/// "not known".
struct source_place {
  std::string File;
  int Line = 0;
  int Column = 0;
  std::string Key; ///< Dotted path, for example "limits.turns".
};

/// One thing wrong with an input.
struct finding {
  source_place Place;
  std::string Text;
};

/// Collects every finding of a check, so that all are reported together.
class findings {
public:
  void add(source_place Place, std::string Text);
  bool empty() const { return Rows.empty(); }
  std::span<const finding> rows() const { return Rows; }

  /// One line a finding: "file:line:column: key: text".
  std::string toText() const;

private:
  std::vector<finding> Rows;
};

} // namespace turmerichead
