/// \file
/// Judges a value against what a step expects of it.
#pragma once

#include "scenario_file.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace turmerichead::scenario {

/// What is wrong with \p Value, or nothing. The fields of the step that count
/// are equals, one_of, contains, lacks, at_least, at_most, exists and count.
/// A value that is not there is std::nullopt.
std::optional<std::string> judge(const step &Step,
                                 const std::optional<nlohmann::json> &Value);

/// The member that a JSON pointer names, if it is there.
std::optional<nlohmann::json> memberAt(const nlohmann::json &Value,
                                       const std::string &Pointer);

/// The sum of a metric in the Prometheus text format: of all its series, or
/// of those that begin with \p Name where that has labels.
std::optional<double> metricValue(const std::string &Text,
                                  const std::string &Name);

/// What a step expects, in words, for the transcript.
std::string describe(const step &Step);

} // namespace turmerichead::scenario
