/// \file
/// Restarts of all hosts, and the check that service is back after them.
#pragma once

#include "judge_sound.h"

namespace turmerichead::fleet_harness {

/// Time within which service has to be back after the hosts are.
inline constexpr milliseconds RecoveryTime{12'000};
inline constexpr milliseconds MeasuredTime{4000};
inline constexpr int RecoveryPrograms = 24;

/// Settings of a fleet whose scratch folder is \p Name.
inline fleet_settings recoverySettings(const char *Name) {
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/" + Name;
  Settings.Runners = 8;
  return Settings;
}

inline void killAll(fleet &Fleet) {
  for (role Role : {role::Entry, role::Disk})
    for (const std::string &Name : Fleet.names(Role))
      Fleet.kill(Name);
}

/// Starts all hosts with the settings of the first start of all, if \p Fresh.
inline void startAll(fleet &Fleet, bool Fresh) {
  for (role Role : {role::Disk, role::Entry})
    for (const std::string &Name : Fleet.names(Role))
      REQUIRE(Fleet.startMember(Name, Fresh));
}

/// The turns that programs get during the time after the recovery.
inline sound_counts countAfter(const sound_counts &Before,
                               const sound_counts &Now) {
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
      Fleet, RecoveryPrograms, 1,
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

} // namespace turmerichead::fleet_harness
