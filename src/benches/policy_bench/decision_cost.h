/// \file
/// What a decision costs in processor time, and how that grows.
#pragma once

#include <vector>

namespace bench {

/// Processor time of a decision at one size.
struct decision_cost {
  int Runners = 0;      ///< Of the whole fleet.
  int Groups = 0;       ///< Of the model, that a holder chooses from.
  int GroupRunners = 0; ///< Behind one gate.
  int Queued = 0;       ///< At that gate while it was measured.
  double MicrosMedian = 0;
  double MicrosLeast = 0;
  double MicrosMost = 0;
};

/// Choosing the group, queueing, granting and settling one call, repeated
/// \p Rounds times at each size and measured \p Runs times.
std::vector<decision_cost> measureDecisionCost(int Rounds, int Runs);

} // namespace bench
