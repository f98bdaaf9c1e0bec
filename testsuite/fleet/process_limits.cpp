#include "process_limits.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <fstream>
#include <utility>
#include <vector>

namespace turmerichead::fleet_harness {

namespace {

constexpr milliseconds CpuInterval{10};
constexpr milliseconds MemoryInterval{50};

/// Processor time of a process; below 0 if it has ended.
double cpuMs(int Pid) {
  clockid_t Clock = 0;
  timespec Time{};
  if (clock_getcpuclockid(Pid, &Clock) != 0 || clock_gettime(Clock, &Time) != 0)
    return -1;
  constexpr double MsPerS = 1e3;
  constexpr double NsPerMs = 1e6;
  return static_cast<double>(Time.tv_sec) * MsPerS +
         static_cast<double>(Time.tv_nsec) / NsPerMs;
}

} // namespace

std::uint64_t residentMb(int Pid) {
  std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
  constexpr std::string_view Key = "VmRSS:";
  constexpr std::uint64_t KbPerMb = 1024;
  for (std::string Line; std::getline(File, Line);)
    if (Line.starts_with(Key))
      return std::stoull(Line.substr(Key.size())) / KbPerMb;
  return 0;
}

bool cpu_bucket::update(double ElapsedMs, double UsedMs) {
  LeftMs = std::min(LeftMs + Share * ElapsedMs - UsedMs, Share * BurstMs);
  return LeftMs > 0;
}

limit_keeper::limit_keeper(killed_action Given) : Killed(std::move(Given)) {
  CpuTimer = loop_source::every(CpuInterval, [this] {
    for (auto &[Name, Row] : Rows)
      checkCpu(Name, Row);
    return true;
  });
  MemoryTimer = loop_source::every(MemoryInterval, [this] {
    checkMemory();
    return true;
  });
}

void limit_keeper::add(const std::string &Name, int Pid,
                       const host_limits &Limits) {
  Rows.erase(Name);
  Rows.emplace(Name,
               row{Pid, Limits, cpu_bucket(Limits.CpuShare), 0, steadyNow()});
}

void limit_keeper::setFrozen(const std::string &Name, bool Frozen) {
  auto Row = Rows.find(Name);
  if (Row == Rows.end())
    return;
  Row->second.Frozen = Frozen;
  Row->second.Held = false;
}

void limit_keeper::checkCpu(const std::string &Name, row &Row) {
  double Used = cpuMs(Row.Pid);
  time_point Now = steadyNow();
  milliseconds Elapsed = Now - std::exchange(Row.CheckedAt, Now);
  if (Used < 0)
    return;
  double Before = std::exchange(Row.CpuMs, Used);
  process_usage &Most = Usage[Name];
  Most.Cpu = std::max(Most.Cpu, milliseconds(static_cast<std::int64_t>(Used)));
  if (Row.Held)
    Most.Held += Elapsed;
  if (Row.Limits.CpuShare <= 0)
    return;
  bool MayRun =
      Row.Bucket.update(static_cast<double>(Elapsed.count()), Used - Before);
  bool Changes = MayRun == Row.Held;
  if (Row.Frozen || !Changes)
    return;
  ::kill(Row.Pid, MayRun ? SIGCONT : SIGSTOP);
  Row.Held = !MayRun;
}

void limit_keeper::checkMemory() {
  std::vector<std::string> Over;
  for (auto &[Name, Row] : Rows) {
    std::uint64_t Mb = residentMb(Row.Pid);
    process_usage &Most = Usage[Name];
    Most.PeakMemoryMb = std::max(Most.PeakMemoryMb, Mb);
    if (Row.Limits.MemoryMb == 0 || Mb <= Row.Limits.MemoryMb)
      continue;
    ::kill(Row.Pid, SIGKILL);
    Over.push_back(Name);
  }
  for (const std::string &Name : Over) {
    Rows.erase(Name);
    Killed(Name);
  }
}

} // namespace turmerichead::fleet_harness
