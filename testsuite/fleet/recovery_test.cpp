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

/// Runs sound traffic, applies \p Fault, and checks the service that is left
/// once RecoveryTime has passed.
template <typename Function> void judgeRecovery(fleet &Fleet, Function Fault) {
  int Lost = 0; // Turns that were answered whole, and are told to be absent.
  sound_traffic Traffic(Fleet, Programs, 1,
                        [&](const std::string &, const caller_request &,
                            const caller_answer &Answer) {
                          Lost +=
                              Answer.Status == http1::status::NotFound ? 1 : 0;
                        });
  constexpr milliseconds UsualTime{5000};
  Fleet.pause(UsualTime);
  sound_counts Usual = Traffic.counts();
  CHECK(Usual.Answered > Usual.Turns / 2);
  Fault();
  Fleet.pause(RecoveryTime);
  sound_counts Before = Traffic.counts();
  Fleet.pause(MeasuredTime);
  sound_counts After = countAfter(Before, Traffic.counts());
  MESSAGE("before: " << Usual.Turns << " requests, " << Usual.Answered
                     << " answered; after: " << After.Turns << " requests, "
                     << After.Answered << " answered, " << After.Refused
                     << " refused, " << After.Broken << " broken");
  CHECK(After.Turns > 0);
  // The rule asks for a quarter.
  CHECK(After.Answered * 4 >= After.Turns);
  CHECK(After.Wrong == 0);
  CHECK(Lost == 0);
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
