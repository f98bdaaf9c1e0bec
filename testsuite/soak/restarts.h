/// \file
/// Hosts of a fleet end and start again many times in series, while callers go
/// on.
#pragma once

#include "held_port.h"
#include "oracle.h"

#include <csignal>
#include <fstream>
#include <random>
#include <string>
#include <vector>

namespace turmerichead::soak {

struct restart_settings {
  fleet_harness::fleet_settings Fleet;
  int Rounds = 100;
  int Programs = 500; ///< At once at most.
  double Rate = 1;    ///< Times the programs of the fleet's shape.
  std::uint64_t Seed = 1;
};

struct restart_counts {
  int Rounds = 0;
  int Starts = 0;
  int Kills = 0;
  int Terms = 0;
  int Hangups = 0;
  int OwnEnds = 0;
  int Hangs = 0; ///< Still there after a SIGTERM and the time for it.
  int NotReady = 0;
};

/// What the store does while hosts start.
enum class store_state : std::uint8_t { Fine, Slow, Busy, Silent, Reset };

class restart_series {
public:
  explicit restart_series(restart_settings Settings);

  /// Plays all rounds. False if the fleet could not be started.
  bool play();

  const restart_counts &counts() const { return Counts; }
  const oracle &seen() const { return Oracle; }
  const fleet_harness::fleet &fleet() const { return Fleet; }

private:
  /// Some hosts get one signal and start again.
  struct round {
    std::vector<std::string> Hosts;
    int Signal = SIGKILL;
    milliseconds Age{0};  ///< From the starts before to the signal.
    milliseconds Down{0}; ///< From the end to the start.
    store_state Store = store_state::Fine;
    milliseconds StoreTime{0}; ///< Of its state, from the start on.
    bool HoldsPorts = false;   ///< Old connections still use ports of hosts.
    bool RewritesSettings = false;
    bool AwaitsReady = false;
  };
  round draw();
  std::vector<std::string> chooseHosts();
  void play(const round &Round);
  void hangUp(const round &Round);
  void end(const round &Round);
  std::vector<held_port> holdPorts(const round &Round);
  void startAgain(const round &Round);
  void superviseHosts();
  void awaitReady(milliseconds Bound);
  void setStore(store_state State);
  void rewriteFor(const round &Round, milliseconds Time);
  void tell(const round &Round);
  std::uint64_t below(std::uint64_t Bound) { return Random() % Bound; }

  restart_settings Settings;
  fleet_harness::fleet Fleet;
  oracle Oracle;
  std::mt19937_64 Random;
  std::ofstream Timeline;
  restart_counts Counts;
};

} // namespace turmerichead::soak
