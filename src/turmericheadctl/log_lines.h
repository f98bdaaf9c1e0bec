/// \file
/// Reads the lines that hosts log.
#pragma once

#include "commands.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <string_view>

namespace turmerichead::ctl {

/// Calls \p Take with each log line of the files, or of standard input if
/// there are none. Lines with none of \p Words are passed over, and so is what
/// stands before the JSON object, such as a collector's time. Returns false,
/// with a message, if a file can't be read.
bool readLogs(
    arguments Files, std::span<const std::string_view> Words,
    const std::function<void(const nlohmann::ordered_json &Line)> &Take);

/// Returns a whole number of a line; \p Default if it is absent or of another
/// type.
std::int64_t integerAt(const nlohmann::ordered_json &Line, const char *Key,
                       std::int64_t Default = 0);

/// Returns a text of a line; \p Default if it is absent or of another type.
std::string textAt(const nlohmann::ordered_json &Line, const char *Key,
                   const char *Default = "");

} // namespace turmerichead::ctl
