#include "plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace turmerichead::soak {

namespace {

constexpr std::array<const char *, static_cast<std::size_t>(fault_kind::Count)>
    Names = {"kill_entry",    "freeze_entry",      "stop_entry",
             "replace_entry", "kill_all_entries",  "kill_disk",
             "freeze_disk",   "wipe_disk",         "kill_all_hosts",
             "kill_runner",   "kill_tool",         "freeze_runner",
             "leave_runner",  "runner_errors",     "runner_loses",
             "runner_hangs",  "runner_endless",    "runner_slow",
             "runner_lies",   "tool_loses",        "store_busy",
             "store_silent",  "store_resets",      "store_loses_answers",
             "store_forgets", "store_refuses_one", "callers_cut_off",
             "callers_slow",  "callers_reset",     "configure",
             "crasher"};

// A disk host counts as lost until it has caught up.
constexpr std::int64_t CatchUpMs = 6000;

bool takesDisk(fault_kind Kind) {
  return Kind == fault_kind::KillDisk || Kind == fault_kind::FreezeDisk ||
         Kind == fault_kind::WipeDisk;
}

bool takesAll(fault_kind Kind) {
  return Kind == fault_kind::KillAllHosts || Kind == fault_kind::KillAllEntries;
}

} // namespace

const char *nameOf(fault_kind Kind) {
  return Names[static_cast<std::size_t>(Kind)];
}

std::vector<fault> makePlan(const plan_settings &Settings) {
  std::mt19937_64 Random(Settings.Seed);
  std::vector<fault> Plan;
  std::int64_t DisksWellAt = 0;
  std::int64_t At = 1000;
  bool HadAll = false;
  while (At < Settings.LengthMs) {
    fault Fault;
    Fault.Kind = static_cast<fault_kind>(
        Random() % static_cast<std::uint64_t>(fault_kind::Count));
    Fault.AtMs = At;
    constexpr std::int64_t LeastMs = 200;
    constexpr std::uint64_t SpreadMs = 3800;
    Fault.ForMs = LeastMs + static_cast<std::int64_t>(Random() % SpreadMs);
    Fault.Target = static_cast<std::uint32_t>(Random() % 1000);
    At += static_cast<std::int64_t>(
        Random() % static_cast<std::uint64_t>(2 * Settings.MeanPauseMs));
    bool Disk = takesDisk(Fault.Kind) || Fault.Kind == fault_kind::KillAllHosts;
    if ((Disk && Fault.AtMs < DisksWellAt) || (takesAll(Fault.Kind) && HadAll))
      continue;
    if (Disk)
      DisksWellAt = Fault.AtMs + Fault.ForMs + CatchUpMs;
    HadAll = HadAll || takesAll(Fault.Kind);
    Plan.push_back(Fault);
  }
  return Plan;
}

final_fault makeFinalFault(std::uint64_t Seed) {
  constexpr std::uint64_t LeastMs = 500;
  constexpr std::uint64_t SpreadMs = 1500;
  // Another sequence than that of the plan.
  std::mt19937_64 Random(~Seed);
  final_fault Fault;
  Fault.LosesDisks = Random() % 2 == 0;
  Fault.DownMs = static_cast<std::int64_t>(LeastMs + Random() % SpreadMs);
  Fault.Target = static_cast<std::uint32_t>(Random() % 1000);
  return Fault;
}

std::string describe(const fault &Fault) {
  return std::string(nameOf(Fault.Kind)) + " at " + std::to_string(Fault.AtMs) +
         " ms for " + std::to_string(Fault.ForMs) + " ms, target " +
         std::to_string(Fault.Target);
}

} // namespace turmerichead::soak
