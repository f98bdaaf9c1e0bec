/// \file
/// What the fleet meets: loads, floods and faults.
#pragma once

#include "simulation.h"

#include <vector>

namespace bench {

/// Load without a flood, of the flood scenarios.
inline constexpr double FloodBaseLoad = 0.7;

scenario loadOf(double Load);
scenario ordinaryFlood();
scenario urgentFlood();
/// A runner leaves, another dies, and a caller repeats a poison request.
scenario faults();

std::vector<scenario> allScenarios();

/// Whether the parts of the policy are switched off one by one in it.
bool takesPartsAway(const scenario &Scenario);

/// \p Scenario cut short, for a smoke test.
scenario shortened(scenario Scenario);

} // namespace bench
