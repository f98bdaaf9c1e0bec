/// \file
/// Reports for operators of where an entry host would send a request now, and
/// why. Nothing is sent and nothing changes.
#pragma once

#include "turmerichead/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::relay {

/// A request that is not sent. It has the name of an organisation in place of
/// its key.
struct where_question {
  std::string Host; ///< Value of the Host header.
  std::string Path;
  std::string Method;
  std::string Organisation; ///< Empty: the request has no key.
  std::string Program;
  std::string PreviousTurn;
  /// Whether the keys of the configuration are known to be current; see
  /// relay_settings::KeysAreCurrent.
  bool KeysAreCurrent = true;
  std::optional<milliseconds> ConfigAge; ///< Unset: not known.
};

/// Reads the query "host=..&path=..&organisation=..&program=..&
/// previous_turn=..&method=..". Fails with InvalidInput; the text names the
/// parameter, and contains none of the values.
std::optional<where_question> readWhereQuestion(std::string_view Query);

/// The answer to a question: a report, or {"error": text} with a status other
/// than 200.
struct where_answer {
  int Status = 0;
  std::string Json;
};

/// Returns the answer {"error": \p Reason}.
where_answer whereError(int Status, std::string_view Reason);

/// Why a request would be refused.
struct where_refusal {
  int Status = 0; ///< 0: it would not be refused.
  std::string_view Reason;
  milliseconds RetryAfter{0}; ///< 0: as usual for the status.
};

} // namespace turmerichead::relay
