/// \file
/// Drives a gate of the decision core with virtual time against engines and
/// programs.
#pragma once

#include "figures.h"
#include "workload.h"

#include "turmerichead/sched_gate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bench {

/// Which instantiation of the gate runs.
enum class gate_kind {
  Default,
  Fifo,
  RoundRobin,
  PlainAffinity,
  FifoAffinity,
  AttainedLeastLoad
};

/// A policy to measure: a gate and its settings.
struct variant {
  std::string Name;
  gate_kind Kind = gate_kind::Default;
  turmerichead::sched::gate_settings Settings;
};

/// Something that happens to the fleet.
struct fleet_event {
  enum class kind { Leaves, Dies, Returns };
  kind Kind = kind::Leaves;
  double AtMs = 0;
  std::size_t Runner = 0;
};

/// What the fleet meets in one run.
struct scenario {
  std::string Name;
  double Load = 0.9;            ///< Offered work, of the fleet's engine time.
  per_rank<double> Flood{1, 1}; ///< Factor on a rank's arrivals.
  double WarmUpMs = 600'000;    ///< Long enough for the longest programs.
  double WindowMs = 600'000;    ///< Programs that start in it are measured.
  double TailMs = 240'000;      ///< Load goes on, for those still under way.
  std::vector<fleet_event> Events;
  int PoisonResends = 0; ///< Times a caller sends a poison request.
};

/// Runs \p Scenario once. The same seed gives the same programs to each
/// variant.
run_figures simulate(const user_profile &User, const scenario &Scenario,
                     const variant &Variant, std::uint64_t Seed);

} // namespace bench
