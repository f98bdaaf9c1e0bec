// Service after disks were lost or filled up, and after all hosts were killed,
// over real processes.

#include "judge_sound.h"

#include <doctest/doctest.h>

#include <filesystem>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

/// Time within which service has to be back after the hosts are.
constexpr milliseconds RecoveryTime{12'000};
constexpr milliseconds MeasuredTime{4000};
constexpr int Programs = 24;

fleet_settings settingsFor(const char *Name) {
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/" + Name;
  Settings.Runners = 8;
  return Settings;
}

void killAll(fleet &Fleet) {
  for (role Role : {role::Entry, role::Disk})
    for (const std::string &Name : Fleet.names(Role))
      Fleet.kill(Name);
}

/// Starts all hosts with the settings of the first start of all, if \p Fresh.
void startAll(fleet &Fleet, bool Fresh) {
  for (role Role : {role::Disk, role::Entry})
    for (const std::string &Name : Fleet.names(Role))
      REQUIRE(Fleet.startMember(Name, Fresh));
}

/// The turns that programs get during the time after the recovery.
sound_counts countAfter(const sound_counts &Before, const sound_counts &Now) {
  sound_counts Counts;
  Counts.Turns = Now.Turns - Before.Turns;
  Counts.Answered = Now.Answered - Before.Answered;
  Counts.Refused = Now.Refused - Before.Refused;
  Counts.Broken = Now.Broken - Before.Broken;
  Counts.Wrong = Now.Wrong - Before.Wrong;
  return Counts;
}

/// Turns of programs, which need disk hosts: other calls are answered without.
struct turn_counts {
  int Sent = 0;
  int Answered = 0;
  int Absent = 0; ///< Told that a turn is absent that was answered whole.

  void add(const caller_request &Request, const caller_answer &Answer) {
    Absent += Answer.Status == http1::status::NotFound ? 1 : 0;
    if (Request.Host != fleet::PlanHost)
      return;
    ++Sent;
    Answered += Answer.Status == http1::status::Ok && Answer.Complete ? 1 : 0;
  }
};

/// Runs sound traffic, applies \p Fault, and checks the service that is left
/// once RecoveryTime has passed.
template <typename Function> void judgeRecovery(fleet &Fleet, Function Fault) {
  turn_counts Turns;
  sound_traffic Traffic(
      Fleet, Programs, 1,
      [&](const std::string &, const caller_request &Request,
          const caller_answer &Answer) { Turns.add(Request, Answer); });
  constexpr milliseconds UsualTime{5000};
  Fleet.pause(UsualTime);
  sound_counts Usual = Traffic.counts();
  CHECK(Usual.Answered > Usual.Turns / 2);
  Fault();
  Fleet.pause(RecoveryTime);
  sound_counts Before = Traffic.counts();
  turn_counts TurnsBefore = Turns;
  Fleet.pause(MeasuredTime);
  sound_counts After = countAfter(Before, Traffic.counts());
  MESSAGE("before: " << Usual.Turns << " requests, " << Usual.Answered
                     << " answered; after: " << After.Turns << " requests, "
                     << After.Answered << " answered, " << After.Refused
                     << " refused, " << After.Broken << " broken; turns after: "
                     << Turns.Sent - TurnsBefore.Sent << ", "
                     << Turns.Answered - TurnsBefore.Answered << " answered");
  CHECK(After.Turns > 0);
  // The rule asks for a quarter.
  CHECK(After.Answered * 4 >= After.Turns);
  CHECK(Turns.Answered > TurnsBefore.Answered);
  CHECK((Turns.Answered - TurnsBefore.Answered) * 4 >=
        Turns.Sent - TurnsBefore.Sent);
  CHECK(After.Wrong == 0);
  CHECK(Turns.Absent == 0);
  Traffic.stop();
  constexpr milliseconds EndTime{10'000};
  CHECK(Fleet.wait(EndTime, [&] { return Traffic.ended(); }));
}

} // namespace

TEST_CASE("service_recovers_after_all_hosts_were_killed") {
  fleet Fleet(settingsFor("all-killed"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killAll(Fleet);
    startAll(Fleet, false);
  });
}

TEST_CASE("an_empty_disk_among_used_ones_is_not_a_first_start") {
  // A supervisor starts all hosts with the settings of the first start. The
  // host with the empty disk took itself for complete.
  fleet Fleet(settingsFor("bootstrap-again"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killAll(Fleet);
    Fleet.wipe("disk-0");
    startAll(Fleet, true);
  });
}

namespace {

fleet_settings recordedSettingsFor(const char *Name) {
  fleet_settings Settings = settingsFor(Name);
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
  fleet Fleet(settingsFor("two-disks"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    killAll(Fleet);
    Fleet.wipe("disk-1");
    Fleet.wipe("disk-2");
    startAll(Fleet, false);
  });
}
