/// \file
/// Structured logs: one JSON object per line, written with log4cplus.
///
///     log::info("shard moved", {{"shard", 17}, {"holder", "seoul-a-1"}});
///
/// Fields must not carry tokens, keys or the content of messages.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace turmerichead::log {

/// Opens the logs. \p Host is written on every line. Logs go to
/// \p Descriptor, and the audit trail to \p AuditFile, or to the log where
/// that is empty. \p Level is "debug", "info", "warn" or "error".
///
/// Logging never blocks: lines that cannot be written immediately, and lines
/// below "warn" above some hundred per second, are dropped and counted.
void open(std::string_view Host, std::string_view Level,
          std::string_view AuditFile, int Descriptor = 1);

void debug(std::string_view Event, const nlohmann::json &Fields);
void info(std::string_view Event, const nlohmann::json &Fields);
void warn(std::string_view Event, const nlohmann::json &Fields);
void error(std::string_view Event, const nlohmann::json &Fields);

/// Writes a record of the audit trail: who changed what, before, after,
/// version and times.
void audit(std::string_view Event, const nlohmann::json &Fields);

} // namespace turmerichead::log
