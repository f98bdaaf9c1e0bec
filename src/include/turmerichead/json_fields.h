/// \file
/// Reads single fields of JSON that others have written. A field that is
/// missing, of another type or out of range is treated as absent, as is each
/// field of what is not an object.
#pragma once

#include "turmerichead/clock.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace turmerichead {

/// Returns the value of a field; null if it is absent.
const nlohmann::json &valueAt(const nlohmann::json &Json, std::string_view Key);

/// Returns a string field; empty if it is absent.
std::string textAt(const nlohmann::json &Json, const char *Key);

/// Returns a number that is 0 or more.
std::optional<double> numberAt(const nlohmann::json &Json, const char *Key);

/// Returns \p Value times \p Unit; \p Default if there is no value or the
/// result is too large for sums of times.
milliseconds timeOr(std::optional<double> Value, milliseconds Unit,
                    milliseconds Default);

/// Reads a time in milliseconds, which may have fractions.
milliseconds millisecondsAt(const nlohmann::json &Json, const char *Key,
                            milliseconds Default);

/// Reads a time in seconds, which may have fractions.
milliseconds secondsAt(const nlohmann::json &Json, const char *Key,
                       milliseconds Default);

/// Returns a boolean field; false if it is absent.
bool flagAt(const nlohmann::json &Json, const char *Key);

/// Reads a whole number that fits \p Integer, without loss of digits; \p
/// Default if it is absent. A fraction is cut off.
template <typename Integer>
Integer integerAt(const nlohmann::json &Json, const char *Key,
                  Integer Default) {
  auto Value = Json.find(Key);
  if (Value == Json.end())
    return Default;
  if (Value->is_number_unsigned()) {
    auto Whole = Value->template get<std::uint64_t>();
    return std::in_range<Integer>(Whole) ? static_cast<Integer>(Whole)
                                         : Default;
  }
  // Some writers encode whole numbers as floating point, such as 3.0.
  constexpr double LargestExact = 9007199254740992.0;
  auto Number = numberAt(Json, Key);
  if (!Number || *Number > LargestExact)
    return Default;
  auto Whole = static_cast<std::uint64_t>(*Number);
  return std::in_range<Integer>(Whole) ? static_cast<Integer>(Whole) : Default;
}

} // namespace turmerichead
