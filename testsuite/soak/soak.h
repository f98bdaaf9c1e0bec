/// \file
/// One run of the soak: a fleet, callers, faults and the oracle.
#pragma once

#include "keys.h"
#include "oracle.h"
#include "plan.h"

#include <fstream>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace turmerichead::soak {

struct soak_settings {
  fleet_harness::fleet_settings Fleet;
  plan_settings Plan;
  int Programs = 16;
  /// Times the programs of the fleet's shape; 0: Programs run at all times.
  double Rate = 0;
  bool EndsWithFault = false; ///< See final_fault.
  /// Whether hosts lose power in place of every other kill of a disk host and
  /// of all kills of all hosts. Before the final fault each disk host is killed
  /// in turn.
  bool LosesPower = false;
  /// Whether another writer overwrites or deletes the disk set at times.
  bool LosesDiskSet = false;
  std::set<std::size_t> Only; ///< Faults to play; all if empty.
};

/// When a fault was over and callers were served as before it.
struct recovery {
  fault Fault;
  milliseconds Over{0};
  std::optional<milliseconds> After; ///< Not within the run if empty.
};

class soak_run {
public:
  explicit soak_run(soak_settings Settings);

  /// Plays the run. False if the fleet could not be started.
  bool play();

  const fleet_harness::fleet &fleet() const { return Fleet; }
  const std::vector<fault> &plan() const { return Plan; }
  const oracle &seen() const { return Oracle; }
  std::vector<recovery> recoveries() const;
  std::string timelineFile() const;

private:
  using ender = std::function<void()>;
  ender begin(const fault &Fault);
  ender beginHostFault(const fault &Fault);
  ender beginUpstreamFault(const fault &Fault);
  ender beginStoreFault(const fault &Fault);
  ender beginCallerFault(const fault &Fault);
  ender misbehave(const std::string &Name, const char *What, double Share);
  ender freeze(const std::string &Name);
  ender stopEntry(const std::string &Name);
  ender leave(const std::string &Name);
  ender crasher();
  void visit(const fleet_harness::caller_request &Request);
  void configure();
  void probeVersion(std::uint64_t Version, bool Wanted);
  void restart(const std::string &Name);
  void restartOnceEnded(const std::string &Name);
  /// The entry hosts that a fault disturbs by itself.
  std::vector<std::string> entriesStruckBy(const fault &Fault);
  /// The id of the current start of an upstream.
  std::string upstreamId(const std::string &Name);
  bool wasCalm(const std::string &Entry, milliseconds Took) const;
  std::string pick(fleet_harness::role Role, std::uint32_t Target);
  void killAll(std::initializer_list<fleet_harness::role> Roles);
  /// Kills all hosts, or takes their power.
  void stopAllHosts(std::uint32_t Target);
  void killDisksInTurn();
  void judgeEnd();
  void endWithFault();
  void tell(std::string_view What, nlohmann::json Fields);
  milliseconds now() const { return steadyNow() - Start; }
  void after(milliseconds Delay, std::function<void()> Action);

  soak_settings Settings;
  std::vector<fault> Plan;
  fleet_harness::fleet Fleet;
  oracle Oracle;                   ///< Reads the fleet's shape.
  std::optional<key_callers> Keys; ///< If the fleet has organisations.
  std::ofstream Timeline;
  time_point Start;
  std::vector<loop_source> Timers;
  std::vector<loop_source> Crashers;
  std::uint64_t Version = 1;
  std::uint64_t CrasherNumber = 0;
  int UnderWay = 0; ///< Faults.
  /// Until when each entry host was disturbed, by a fault of its own.
  std::map<std::string, time_point> DisturbedUntil;
  /// Until when hosts may not have heard of what the store was told.
  time_point StoreTroubleUntil;
  int StoreTroubles = 0;
  int StoreMoods = 0; ///< Faults that the store itself is told to show.
};

/// A picture of the run and a table of recovery times. False if \p File can't
/// be written.
bool writeReport(const std::string &File, const soak_run &Run,
                 const soak_settings &Settings);

} // namespace turmerichead::soak
