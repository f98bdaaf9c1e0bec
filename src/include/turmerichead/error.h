/// \file
/// The error of the last failed call.
///
/// A function that can fail returns std::optional (or bool) and, on failure,
/// stores the reason here. The caller reads it before the next call:
///
///     auto Settings = settings::load(Path);
///     if (!Settings)
///       log::error("settings", {{"reason", lastError().Text}});
///
/// There is one loop thread, so one record is enough.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace turmerichead {

/// The kind of a failure; stable, and used as the `code` of JSON errors.
enum class error_code {
  None,
  InvalidInput,  ///< The input is not valid.
  NotFound,      ///< The object named does not exist.
  Conflict,      ///< A conditional write failed, or the name exists.
  Unavailable,   ///< The peer cannot be reached; a retry may help.
  Timeout,       ///< There was no answer in time; the effect is unknown.
  Refused,       ///< Not run, by a limit or by overload.
  Fenced,        ///< The writer has been replaced by a successor.
  Corrupt,       ///< Stored or received bytes do not decode.
  Unauthorized,  ///< The token or shared key does not match.
  OutcomeUnknown ///< Dispatched; it is not known whether it ran.
};

/// Returns the stable name of \p Code, for example "invalid_input".
std::string_view nameOf(error_code Code);

/// A failure: its kind and a readable text.
struct error {
  error_code Code = error_code::None;
  std::string Text;
};

/// Returns the reason of the last failed call.
const error &lastError();

/// Records a failure and returns std::nullopt, so that a function can end
/// with `return fail(error_code::NotFound, "no such entry");`.
std::nullopt_t fail(error_code Code, std::string Text);

} // namespace turmerichead
