/// \file
/// Words and figures that the text and the page have in common.
#pragma once

#include "turmerichead/report.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmerichead::pvt {

std::string joined(const std::vector<std::string> &Parts,
                   std::string_view Separator);

/// "2026-12-04 02:31:07 UTC"
std::string timeText(std::int64_t WallMs);

/// "420 ms", "12 s", "5 min" or "3 h".
std::string lengthText(std::int64_t Ms);

/// Hosts that are listed one by one; of more, only those not known.
inline constexpr std::size_t ShownHosts = 16;

/// The lines below an entry's name: a label and its figures.
std::vector<std::pair<std::string, std::string>>
entryLines(const entry_report &Row);

/// The line below a change: who, when, and how far it is in force.
std::string changeText(const change_report &Row);

/// "not heard from" or "heard 95 s ago".
std::string unknownText(const host_line &Host);

} // namespace turmerichead::pvt
