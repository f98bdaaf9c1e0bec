/// \file
/// Binary objects on the platform, and what its answers mean to the state
/// library.
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

/// An object with \p Bytes as base64 text in spec.data.
nlohmann::json binaryObject(const std::string &Name, std::string_view Bytes);

/// The bytes of such an object; empty if it has none that decode.
std::string bytesOf(const nlohmann::json &Object);

create_result createResultOf(platform_outcome Outcome);
read_result readResultOf(platform_outcome Outcome);

} // namespace turmerichead::host_pvt
