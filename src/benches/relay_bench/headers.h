/// \file
/// Names of the headers in the bench's calls.
#pragma once

namespace turmerichead::bench {

inline constexpr const char *CallHeader = "X-Call";
inline constexpr const char *TimeLeftHeader = "X-Left";
inline constexpr const char *ProgramHeader = "X-Program";
inline constexpr const char *BudgetHeader = "X-Budget";
inline constexpr const char *TokensHeader = "X-Tokens";
inline constexpr const char *PreviousHeader = "X-Previous";

} // namespace turmerichead::bench
