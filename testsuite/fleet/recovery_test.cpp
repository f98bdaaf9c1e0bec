// Service after disks were lost or filled up, and after all hosts were killed,
// over real processes.

#include "judge_recovery.h"

#include <doctest/doctest.h>

#include <filesystem>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {} // namespace

TEST_CASE("service_recovers_after_all_hosts_were_killed") {
  fleet Fleet(recoverySettings("all-killed"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killAll(Fleet);
    startAll(Fleet, false);
  });
}

TEST_CASE("an_empty_disk_among_used_ones_is_not_a_first_start") {
  // A supervisor starts all hosts with the settings of the first start. The
  // host with the empty disk took itself for complete.
  fleet Fleet(recoverySettings("bootstrap-again"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killAll(Fleet);
    Fleet.wipe("disk-0");
    startAll(Fleet, true);
  });
}

namespace {

fleet_settings recordedSettingsFor(const char *Name) {
  fleet_settings Settings = recoverySettings(Name);
  Settings.RecordsDisks = true;
  return Settings;
}

/// Kills a disk host under load and starts it again, a few times, as a kill may
/// fall between two syncs.
void killInTurn(fleet &Fleet, const std::string &Name) {
  constexpr int Kills = 3;
  constexpr milliseconds RunTime{1500};
  for (int I = 0; I < Kills; ++I) {
    Fleet.kill(Name);
    REQUIRE(Fleet.startMember(Name));
    Fleet.pause(RunTime);
  }
}

void takeAllPower(fleet &Fleet) {
  killAll(Fleet);
  std::uint64_t Seed = 1;
  for (const std::string &Name : Fleet.names(role::Disk))
    Fleet.losePower(Name, Seed++, disk_standin::power_loss::TearsAll);
}

} // namespace

TEST_CASE("power_lost_after_kills_of_two_disk_hosts") {
  // Each took the segments of its killed processes for damaged.
  fleet Fleet(recordedSettingsFor("power-after-kills"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killInTurn(Fleet, "disk-1");
    killInTurn(Fleet, "disk-2");
    takeAllPower(Fleet);
    startAll(Fleet, false);
  });
}

TEST_CASE("power_and_a_disk_lost_after_kills_of_a_disk_host") {
  // The other members had one whole disk.
  fleet Fleet(recordedSettingsFor("power-and-disk"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killInTurn(Fleet, "disk-1");
    takeAllPower(Fleet);
    Fleet.wipe("disk-2");
    startAll(Fleet, false);
  });
}

TEST_CASE("more_disks_lost_than_the_set_bears") {
  // Two members waited for each other for good.
  fleet Fleet(recoverySettings("two-disks"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killAll(Fleet);
    Fleet.wipe("disk-1");
    Fleet.wipe("disk-2");
    startAll(Fleet, false);
  });
}
