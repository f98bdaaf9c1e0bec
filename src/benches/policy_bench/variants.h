/// \file
/// The policies that the bench compares.
#pragma once

#include "simulation.h"

#include <string_view>
#include <vector>

namespace bench {

/// The policy that the daemon runs, with a user's floor.
variant defaultVariant(const user_profile &User);

/// Changes settings of the default, for trials: "LeaveFactor=0.5,Floor=0.2".
/// Returns false at the first name that is not known.
bool changeDefaults(std::string_view Changes);

/// First in, first out, on the runner with the fewest requests.
variant leastLoadVariant();

/// The default and the baselines.
std::vector<variant> mainVariants(const user_profile &User);

/// The default with each part off alone.
std::vector<variant> reducedVariants(const user_profile &User);

} // namespace bench
