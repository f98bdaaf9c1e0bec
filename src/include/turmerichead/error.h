/// \file
/// The error that a failed call leaves behind.
///
/// A function that can fail returns std::optional (or bool) and, on failure,
/// leaves its reason here. The caller reads it before it makes another call:
///
///     auto Settings = settings::load(Path);
///     if (!Settings)
///       log::error("settings", {{"reason", lastError().Text}});
///
/// There is one event loop on one thread, so one record is enough.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmerichead {

/// The kind of a failure; stable, and used as the `code` of JSON errors.
enum class error_code {
  None,
  InvalidInput,  ///< The caller sent something that does not check.
  NotFound,      ///< The object named does not exist.
  Conflict,      ///< A conditional write lost, or the name is taken.
  Unavailable,   ///< The other side cannot be reached; a retry may help.
  Timeout,       ///< No answer came in time; the effect is unknown.
  Refused,       ///< Not run, by a limit or by overload.
  Fenced,        ///< The writer has been replaced by a successor.
  Corrupt,       ///< Stored or received bytes do not decode.
  Unauthorized,  ///< The token or shared key does not match.
  OutcomeUnknown ///< Dispatched, and nothing is known of its end.
};

/// The stable name of \p Code, for example "invalid_input".
std::string_view nameOf(error_code Code);

/// A failure: its kind and a text for people.
struct error {
  error_code Code = error_code::None;
  std::string Text;
};

/// The reason of the latest failed call on this thread.
const error &lastError();

/// Records a failure and returns std::nullopt, so that a function can end
/// with `return fail(error_code::NotFound, "no such entry");`.
std::nullopt_t fail(error_code Code, std::string Text);

} // namespace turmerichead
