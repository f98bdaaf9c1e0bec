/// \file
/// Findings of the validation of an input, with their locations.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// The location of a finding. Lines and columns start at 1; 0 means unknown.
struct source_place {
  std::string File;
  int Line = 0;
  int Column = 0;
  std::string Key; ///< Dotted path, for example "limits.turns".
};

/// An error in an input.
struct finding {
  source_place Place;
  std::string Text;
};

/// Collects all findings of a validation, so that they are reported together.
class findings {
public:
  void add(source_place Place, std::string Text);
  bool empty() const { return Rows.empty(); }
  std::span<const finding> rows() const { return Rows; }

  /// Returns one line per finding: "file:line:column: key: text".
  std::string toText() const;

private:
  std::vector<finding> Rows;
};

} // namespace turmerichead
