/// \file
/// Text of wall-clock times, for operators.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace turmerichead {

/// Returns a time in milliseconds since 1970 as "YYYY-MM-DD hh:mm:ss" in UTC,
/// or nullopt if the calendar does not reach it.
std::optional<std::string> utcText(std::int64_t WallMs);

} // namespace turmerichead
