/// \file
/// Encoding of binary objects on the platform, and the conversion of its
/// answers for libstate.
#pragma once

#include "turmerichead/net_platform.h"
#include "turmerichead/state_journal.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace turmerichead::host_pvt {

// Plurals of the system's own objects.
inline constexpr std::string_view ManifestsPlural = "manifests";
inline constexpr std::string_view SnapshotsPlural = "snapshots";
inline constexpr std::string_view SegmentsPlural = "segments";

/// Returns an object with \p Bytes as base64 text in spec.data.
nlohmann::json binaryObject(const std::string &Name, std::string_view Bytes);

/// Returns the bytes of such an object; empty if they cannot be decoded.
std::string bytesOf(const nlohmann::json &Object);

create_result createResultOf(platform_outcome Outcome);
read_result readResultOf(platform_outcome Outcome);

} // namespace turmerichead::host_pvt
