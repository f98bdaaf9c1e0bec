/// \file
/// The policies that the bench compares.
#pragma once

#include "simulation.h"

#include <vector>

namespace bench {

/// The policy that the daemon runs, with a user's floor.
variant defaultVariant(const user_profile &User);

/// First in, first out, on the runner with the fewest requests.
variant leastLoadVariant();

/// The default and the baselines.
std::vector<variant> mainVariants(const user_profile &User);

/// The default with each part off alone.
std::vector<variant> reducedVariants(const user_profile &User);

} // namespace bench
