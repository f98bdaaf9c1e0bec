/// \file
/// What a run measured, and medians and spreads over seeds.
#pragma once

#include "turmerichead/sched_types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bench {

using turmerichead::sched::per_rank;
using turmerichead::sched::token_count;

/// The figures of one run.
struct run_figures {
  per_rank<double> P50LatencyMs{};
  per_rank<double> P95LatencyMs{};
  per_rank<double> Offered{};
  per_rank<double> FinishedPart{}; ///< Of the programs offered.
  per_rank<double> InTargetPart{}; ///< Of the programs offered.
  double Goodput = 0;  ///< Ideal work finished in target, of the fleet's time.
  double WorkDone = 0; ///< Ideal work of answered calls, of the fleet's time.
  double OrdinaryShare = 0;        ///< Of the ideal work of answered calls.
  double OrdinaryPrograms = 0;     ///< Finished in the window.
  double OrdinaryFinishedWork = 0; ///< Part of its calls' work that belongs
                                   ///< to programs that finished.
  double WastedPerCall = 0;  ///< Prefill tokens computed before, per call.
  double CachedPart = 0;     ///< Of prompt tokens.
  double RefusedPart = 0;    ///< Programs given up after refusals.
  double LongestWaitS = 0;   ///< In a gate's queue, of a granted call.
  double WorstOwnerPart = 0; ///< Least finished part of an owner and rank,
                             ///< of its rank's.
  double StarvedOwners = 0;  ///< Owners of a rank that finished nothing.
  double Overspent = 0;      ///< Programs that passed a limit.
  double Moves = 0;
  double PoisonDeaths = 0;
  double LostCalls = 0;      ///< Admitted calls without exactly one answer.
  double LateGrants = 0;     ///< Grants to a runner that is leaving.
  double LeftoverTokens = 0; ///< Cached for ended programs at the end.
};

/// Median and the spread from the smallest to the largest.
struct spread {
  double Median = 0;
  double Least = 0;
  double Most = 0;
};

spread spreadOf(std::vector<double> Values);

/// The value below which \p Part of \p Values lie; 0 if there are none.
double percentile(std::vector<double> Values, double Part);

/// Figures of several seeds, by the name of a field.
spread spreadOf(const std::vector<run_figures> &Runs,
                double (*Field)(const run_figures &));

/// "median (least..most)".
std::string textOf(const spread &Spread, int Digits);

} // namespace bench
