/// \file
/// What a store makes of a name to continue a list after that has to be encoded
/// in a request target.
#pragma once

#include "store_target.h"
#include "turmerichead/request_target.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace turmerichead::standin {

/// Fails with a status, ends the connection, does not respond, or takes another
/// name: the encoded one, the one decoded twice, or none.
enum class odd_continuation {
  Decoded, ///< As it was encoded.
  Rejected,
  Failed,
  Busy,
  Reset,
  Silent,
  NotDecoded,
  DecodedTwice,
  Ignored
};

inline constexpr std::array<std::pair<std::string_view, odd_continuation>, 9>
    OddContinuations = {{{"decoded", odd_continuation::Decoded},
                         {"rejected", odd_continuation::Rejected},
                         {"failed", odd_continuation::Failed},
                         {"busy", odd_continuation::Busy},
                         {"reset", odd_continuation::Reset},
                         {"silent", odd_continuation::Silent},
                         {"not_decoded", odd_continuation::NotDecoded},
                         {"decoded_twice", odd_continuation::DecodedTwice},
                         {"ignored", odd_continuation::Ignored}}};

inline odd_continuation oddContinuationNamed(std::string_view Text) {
  for (const auto &[Name, Value] : OddContinuations)
    if (Name == Text)
      return Value;
  return odd_continuation::Decoded;
}

/// Whether a name has a byte that some store may refuse or decode.
inline bool isOddContinuation(std::string_view Name) {
  return !std::all_of(Name.begin(), Name.end(), [](char Byte) {
    return g_ascii_isalnum(Byte) ||
           std::string_view("-._").find(Byte) != std::string_view::npos;
  });
}

/// Returns the status that \p Mode responds with; 0 if it responds with a page
/// or not at all.
inline int statusOf(odd_continuation Mode) {
  if (Mode == odd_continuation::Rejected)
    return 400;
  if (Mode == odd_continuation::Failed)
    return 500;
  return Mode == odd_continuation::Busy ? 503 : 0;
}

/// Whether the store responds with a page.
inline bool servesPage(odd_continuation Mode) {
  return statusOf(Mode) == 0 && Mode != odd_continuation::Reset &&
         Mode != odd_continuation::Silent;
}

/// Returns the name that the store continues after, for the decoded \p Name.
inline std::string continuationOf(odd_continuation Mode,
                                  const std::string &Name) {
  if (!isOddContinuation(Name))
    return Name;
  if (Mode == odd_continuation::NotDecoded)
    return percentEncode(Name);
  if (Mode == odd_continuation::DecodedTwice)
    return pvt::percentDecoded(Name).value_or(Name);
  return Mode == odd_continuation::Ignored ? std::string() : Name;
}

} // namespace turmerichead::standin
