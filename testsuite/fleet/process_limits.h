/// \file
/// Holds processes to limits of memory and processor time from outside, by
/// reading what the kernel tells of them.
#pragma once

#include "site_shape.h"
#include "turmerichead/net_loop.h"

#include <functional>
#include <map>
#include <string>

namespace turmerichead::fleet_harness {

/// What a process has used.
struct process_usage {
  std::uint64_t PeakMemoryMb = 0;
  milliseconds Cpu{0};
  milliseconds Held{0}; ///< Time for which it was stopped for its share.
};

/// A bucket of processor time that fills at a share of real time and holds
/// the share of a tenth of a second at most.
class cpu_bucket {
public:
  explicit cpu_bucket(double Share) : Share(Share), LeftMs(Share * BurstMs) {}

  /// Adds what \p Elapsed brings and takes what was \p Used. Whether the
  /// process may run.
  bool update(double ElapsedMs, double UsedMs);

private:
  static constexpr double BurstMs = 100;
  double Share;
  double LeftMs;
};

class limit_keeper {
public:
  /// Called after a process was killed for its memory.
  using killed_action = std::function<void(const std::string &Name)>;
  explicit limit_keeper(killed_action Killed);
  limit_keeper(const limit_keeper &) = delete;
  limit_keeper &operator=(const limit_keeper &) = delete;

  /// Holds the process \p Pid, which was just started, to its limits.
  void add(const std::string &Name, int Pid, const host_limits &Limits);
  void remove(const std::string &Name) { Rows.erase(Name); }
  /// Sets whether a test has stopped the process, so that it stays stopped.
  void setFrozen(const std::string &Name, bool Frozen);

  /// The most that any start of a process has used, by its name.
  const std::map<std::string, process_usage> &usage() const { return Usage; }

private:
  struct row {
    int Pid = 0;
    host_limits Limits;
    cpu_bucket Bucket;
    double CpuMs = 0;
    time_point CheckedAt;
    bool Held = false;
    bool Frozen = false;
  };
  void checkCpu(const std::string &Name, row &Row);
  void checkMemory();

  killed_action Killed;
  std::map<std::string, row> Rows;
  std::map<std::string, process_usage> Usage;
  loop_source CpuTimer;
  loop_source MemoryTimer;
};

/// Resident memory of a process; 0 if it has ended.
std::uint64_t residentMb(int Pid);

} // namespace turmerichead::fleet_harness
