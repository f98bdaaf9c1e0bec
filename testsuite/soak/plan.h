/// \file
/// What goes wrong in a run of the soak, and when: all from one seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace turmerichead::soak {

enum class fault_kind : std::uint8_t {
  KillEntry,
  FreezeEntry,
  StopEntry,    ///< SIGTERM, and started again after its end.
  ReplaceEntry, ///< Gone for good; another at another address.
  KillAllEntries,
  KillDisk,
  FreezeDisk,
  WipeDisk,
  KillAllHosts,
  KillRunner,
  KillTool,
  FreezeRunner,
  LeaveRunner, ///< It says so, serves on for a while, and goes.
  RunnerErrors,
  RunnerLoses,
  RunnerHangs,
  RunnerEndless,
  RunnerSlow,
  RunnerLies, ///< Its health path says no.
  ToolLoses,
  StoreBusy,
  StoreSilent,
  StoreResets,
  StoreLosesAnswers,
  StoreForgets,
  StoreRefusesOne, ///< One host alone can't reach it.
  CallersCutOff,   ///< The way to one entry host goes silent.
  CallersSlow,
  CallersReset,
  Configure,
  Crasher, ///< A request that ends its runner comes four times a second.
  Count
};

const char *nameOf(fault_kind Kind);

struct fault {
  fault_kind Kind = fault_kind::KillEntry;
  std::int64_t AtMs = 0; ///< From the start of traffic.
  std::int64_t ForMs = 0;
  std::uint32_t Target = 0; ///< Which of those that it may strike.
};

struct plan_settings {
  std::uint64_t Seed = 1;
  std::int64_t LengthMs = 20'000; ///< In which faults begin.
  std::int64_t MeanPauseMs = 900; ///< Between the beginnings of two.
};

/// Faults in the order of their beginning; they overlap. Disk faults never
/// take more disks at once than the set bears.
std::vector<fault> makePlan(const plan_settings &Settings);

/// All hosts are killed at the end of a run and come back.
struct final_fault {
  bool LosesDisks = false; ///< As many as the site bears.
  std::int64_t DownMs = 500;
  std::uint32_t Target = 0; ///< The first disk that is lost.
};

final_fault makeFinalFault(std::uint64_t Seed);

/// One line a fault.
std::string describe(const fault &Fault);

} // namespace turmerichead::soak
