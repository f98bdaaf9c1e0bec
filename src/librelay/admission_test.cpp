// Admission control alone, and with a simple model of overloaded runners.

#include "turmerichead/relay_admission.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>
#include <vector>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

constexpr milliseconds BaselineWait{20};
constexpr milliseconds BaselineGap{10};

/// Feeds the estimator with turns of ten events at the given times.
void recordTurns(slowdown_estimator &Estimator, int Turns, milliseconds Wait,
                 milliseconds Gap, time_point &Now) {
  constexpr int Events = 10;
  for (int I = 0; I < Turns; ++I) {
    time_point SentAt = Now;
    Estimator.recordSend(SentAt);
    Now = Now + Wait;
    Estimator.recordFirstEvent(SentAt, Now);
    for (int Event = 1; Event < Events; ++Event) {
      Now = Now + Gap;
      Estimator.recordEventGap(Gap);
    }
    Estimator.recordEnd(SentAt, Events);
  }
}

/// Starts turns that are in flight, after their first event, for the rest of
/// the test.
void startTurns(slowdown_estimator &Estimator, int Turns, time_point Now) {
  for (int I = 0; I < Turns; ++I) {
    Estimator.recordSend(Now);
    Estimator.recordFirstEvent(Now, Now + BaselineWait);
  }
}

} // namespace

TEST_CASE("admission: no slowdown without enough samples") {
  slowdown_estimator Estimator;
  time_point Now{0};
  CHECK(Estimator.slowdown(Now) == 1);
  Estimator.recordSend(Now);
  Estimator.recordSend(Now);
  CHECK(Estimator.inFlight() == 2);
  CHECK(Estimator.slowdown(Now + milliseconds(5000)) == 1);
  Estimator.recordEnd(Now, 0);
  CHECK(Estimator.inFlight() == 1);
}

TEST_CASE("admission: slowdown grows with the turns in flight") {
  // At nine times the load many programs start before the first turn has been
  // measured to be slow.
  slowdown_estimator Estimator;
  time_point Now{0};
  recordTurns(Estimator, 40, BaselineWait, BaselineGap, Now);
  startTurns(Estimator, 8, Now);
  SUBCASE("in proportion to what they are slowed down") {
    recordTurns(Estimator, 200, BaselineWait, milliseconds(15), Now);
    double Before = Estimator.slowdown(Now);
    startTurns(Estimator, 8, Now);
    CHECK(Estimator.slowdown(Now) > 1 + 1.3 * (Before - 1));
  }
  SUBCASE("not while turns are as fast as without load") {
    CHECK(Estimator.slowdown(Now) == doctest::Approx(1));
  }
}

TEST_CASE("admission: slowdown grows with event gaps and waiting times") {
  slowdown_estimator Estimator;
  time_point Now{0};
  recordTurns(Estimator, 40, BaselineWait, BaselineGap, Now);
  CHECK(Estimator.slowdown(Now) == doctest::Approx(1));
  slowdown_estimator SlowEstimator = Estimator;
  recordTurns(SlowEstimator, 40, BaselineWait, BaselineGap * 3, Now);
  CHECK(SlowEstimator.slowdown(Now) > 2);
  // Turns that still wait for their first event raise the estimate, before any
  // first event arrives.
  for (int I = 0; I < 20; ++I)
    Estimator.recordSend(Now);
  CHECK(Estimator.slowdown(Now + milliseconds(400)) > 2);
}

TEST_CASE("admission: a baseline below one millisecond is handled") {
  slowdown_estimator Estimator;
  time_point Now{0};
  recordTurns(Estimator, 40, milliseconds(0), BaselineGap, Now);
  CHECK(Estimator.slowdown(Now) == doctest::Approx(1));
  for (int I = 0; I < 20; ++I)
    Estimator.recordSend(Now);
  CHECK(Estimator.slowdown(Now + milliseconds(400)) > 2);
}

TEST_CASE("admission: rejects only if the service is both slow and busy") {
  slowdown_estimator Estimator;
  time_point Now{0};
  recordTurns(Estimator, 40, BaselineWait, BaselineGap, Now);
  recordTurns(Estimator, 40, BaselineWait, BaselineGap * 3, Now);
  admission Admission;
  service_capacity Capacity{16, 2};
  CHECK_FALSE(Admission.refusal(Estimator, Capacity, {0}, Now));
  for (int I = 0; I < 4; ++I)
    Estimator.recordSend(Now);
  auto First = Admission.refusal(Estimator, Capacity, {0}, Now);
  REQUIRE(First);
  CHECK(First->RetryAfter == milliseconds(200));
  CHECK(First->Slowdown > 1.5);
  SUBCASE("the retry time grows with the duration of the overload") {
    auto Later =
        Admission.refusal(Estimator, Capacity, {0}, Now + milliseconds(900));
    CHECK(Later->RetryAfter == milliseconds(900));
    auto Last =
        Admission.refusal(Estimator, Capacity, {0}, Now + milliseconds(9000));
    CHECK(Last->RetryAfter == milliseconds(3000));
  }
  SUBCASE("as soon as there is capacity, a program may start") {
    Estimator.recordEnd(Now, 10);
    CHECK_FALSE(Admission.refusal(Estimator, Capacity, {0}, Now));
    Estimator.recordSend(Now);
    auto Again =
        Admission.refusal(Estimator, Capacity, {0}, Now + milliseconds(900));
    CHECK(Again->RetryAfter == milliseconds(200));
  }
}

TEST_CASE("admission: programs of organisations over their share yield first") {
  // One organisation could take all the capacity.
  slowdown_estimator Estimator;
  time_point Now{0};
  recordTurns(Estimator, 40, BaselineWait, BaselineGap, Now);
  recordTurns(Estimator, 40, BaselineWait, milliseconds(14), Now);
  startTurns(Estimator, 1, Now);
  admission Admission;
  service_capacity Capacity{2, 2};
  CHECK_FALSE(Admission.refusal(Estimator, Capacity, {0, true}, Now));
  CHECK_FALSE(Admission.refusal(Estimator, Capacity, {1, false}, Now));
  CHECK(Admission.refusal(Estimator, Capacity, {0, false, true}, Now));
}

namespace {

/// Simulates programs of several turns. The time of a generation step grows
/// with the number of concurrent turns; waiting turns are in one FIFO queue. A
/// rejected program returns several times, and its target time counts from its
/// first attempt.
class overload_model {
public:
  explicit overload_model(bool HasAdmission) : HasAdmission(HasAdmission) {}
  /// A model in which rejected programs return \p Retries times, and in which
  /// the time of a step grows by \p SlowerWhenFull if all slots are in use.
  overload_model(int Retries, double SlowerWhenFull)
      : HasAdmission(true), Retries(Retries), SlowerWhenFull(SlowerWhenFull) {}

  /// Simulates one second for each element of \p PerSecond, the number of
  /// programs that arrive in it. Returns how many programs ended in time.
  int run(const std::vector<int> &PerSecond) {
    std::mt19937 Random(7);
    for (int Rate : PerSecond)
      for (int Tick = 0; Tick < TicksPerSecond; ++Tick) {
        std::uniform_int_distribution<int> Draw(0, TicksPerSecond - 1);
        for (int Left = Rate; Left > 0; Left -= TicksPerSecond)
          if (Draw(Random) < Left)
            arrive({Now, Now});
        returnRejected();
        step();
      }
    return InTime;
  }

private:
  static constexpr milliseconds Tick{5};
  static constexpr int TicksPerSecond = 200;
  static constexpr std::size_t Slots = 32;
  static constexpr int TurnsOfProgram = 4;
  static constexpr int EventsPerTurn = 12;
  static constexpr double BaselineStepMs = 10;
  // Twice the duration of a program without load.
  static constexpr milliseconds TargetTime{1000};
  static constexpr milliseconds CallerTimeout{4000};

  /// An attempt of a program to start.
  struct attempt {
    time_point FirstAt; ///< Time of the first attempt.
    time_point At;
    int Number = 0;
  };

  struct program {
    time_point StartedAt; ///< Time of the first attempt.
    int TurnsLeft = TurnsOfProgram;
    time_point SentAt;
    time_point LastEvent;
    double Progress = 0; ///< Events
    int Events = 0;
  };

  void arrive(const attempt &Attempt) {
    bool IsRetry = Attempt.Number > 0;
    if (HasAdmission &&
        Admission.refusal(Estimator, {Slots, 1}, {0, IsRetry}, Now)) {
      constexpr milliseconds Pause{300};
      if (Attempt.Number < Retries)
        Rejected.push_back({Attempt.FirstAt, Now + Pause, Attempt.Number + 1});
      return;
    }
    send({Attempt.FirstAt, TurnsOfProgram, {}, {}, 0, 0});
  }

  void returnRejected() {
    while (!Rejected.empty() && Rejected.front().At <= Now) {
      attempt Next = Rejected.front();
      Rejected.pop_front();
      arrive(Next);
    }
  }

  void send(program Program) {
    Program.SentAt = Now;
    Program.Progress = 0;
    Program.Events = 0;
    Estimator.recordSend(Now);
    Queue.push_back(Program);
  }

  void admitToSlots() {
    while (Running.size() < Slots && !Queue.empty()) {
      program Next = Queue.front();
      Queue.pop_front();
      if (Now - Next.SentAt > CallerTimeout)
        Estimator.recordEnd(Next.SentAt, 0); // Its caller has timed out.
      else
        Running.push_back(Next);
    }
  }

  void emit(program &Program) {
    if (++Program.Events == 1)
      Estimator.recordFirstEvent(Program.SentAt, Now);
    else
      Estimator.recordEventGap(Now - Program.LastEvent);
    Program.LastEvent = Now;
  }

  void step() {
    Now = Now + Tick;
    admitToSlots();
    double StepMs =
        BaselineStepMs *
        (1 + SlowerWhenFull * static_cast<double>(Running.size()) / Slots);
    std::vector<program> StillRunning;
    for (program &Program : Running) {
      Program.Progress += static_cast<double>(Tick.count()) / StepMs;
      while (Program.Events < static_cast<int>(Program.Progress) &&
             Program.Events < EventsPerTurn)
        emit(Program);
      if (Program.Events < EventsPerTurn) {
        StillRunning.push_back(Program);
        continue;
      }
      Estimator.recordEnd(Program.SentAt, EventsPerTurn);
      if (--Program.TurnsLeft > 0)
        send(Program);
      else
        InTime += Now - Program.StartedAt <= TargetTime ? 1 : 0;
    }
    Running = std::move(StillRunning);
  }

  bool HasAdmission;
  int Retries = 0;
  // With all slots in use a step takes three times as long.
  double SlowerWhenFull = 2;
  std::deque<attempt> Rejected; ///< In the order of their next attempts.
  slowdown_estimator Estimator;
  admission Admission;
  std::deque<program> Queue;
  std::vector<program> Running;
  time_point Now{0};
  int InTime = 0;
};

} // namespace

TEST_CASE("admission: in an overload, admitted programs end in time") {
  // Five times the usual rate, which is three times the capacity.
  std::vector<int> Overload(5, 12);
  Overload.insert(Overload.end(), 10, 60);
  Overload.insert(Overload.end(), 5, 12);
  int WithoutAdmission = overload_model(false).run(Overload);
  int WithAdmission = overload_model(true).run(Overload);
  MESSAGE("in time without admission ", WithoutAdmission, ", with it ",
          WithAdmission);
  CHECK(WithAdmission * 2 >= WithoutAdmission * 3);
}

TEST_CASE("admission: goodput does not fall when rejected programs return") {
  // When the load rose from three to nine times the usual one, a third fewer
  // programs ended in time: three of four of those admitted had been rejected
  // before and had too little time left.
  constexpr int Retries = 5;
  constexpr double SlowerWhenFull = 0.8;
  constexpr int Usual = 12;
  auto InTime = [&](int Rate) {
    std::vector<int> PerSecond(5, Usual);
    PerSecond.insert(PerSecond.end(), 20, Rate);
    return overload_model(Retries, SlowerWhenFull).run(PerSecond);
  };
  int Most = 0;
  for (int Factor : {2, 3, 4, 6, 9}) {
    int Count = InTime(Usual * Factor);
    MESSAGE("at ", Factor, " times the load in time: ", Count);
    Most = std::max(Most, Count);
    CHECK(Count * 100 >= Most * 95);
  }
}

TEST_CASE("admission: rejects nothing under normal load") {
  std::vector<int> NormalLoad(20, 12);
  CHECK(overload_model(true).run(NormalLoad) ==
        overload_model(false).run(NormalLoad));
}

TEST_CASE("admission: programs that return are rejected first") {
  slowdown_estimator Estimator;
  time_point Now{0};
  recordTurns(Estimator, 40, BaselineWait, BaselineGap, Now);
  // A slowdown between the limits for returning and for new programs.
  startTurns(Estimator, 8, Now);
  recordTurns(Estimator, 200, BaselineWait, milliseconds(17), Now);
  service_capacity Capacity{16, 1};
  admission Admission;
  CHECK_FALSE(Admission.refusal(Estimator, Capacity, {0, false}, Now));
  CHECK(Admission.refusal(Estimator, Capacity, {0, true}, Now));
}

TEST_CASE("admission: less urgent programs are rejected first") {
  slowdown_estimator Estimator;
  time_point Now{0};
  recordTurns(Estimator, 40, BaselineWait, BaselineGap, Now);
  // A slowdown between the limits for urgent and for other programs.
  startTurns(Estimator, 8, Now);
  recordTurns(Estimator, 200, BaselineWait, milliseconds(18), Now);
  service_capacity Capacity{16, 1};
  admission Admission;
  CHECK_FALSE(Admission.refusal(Estimator, Capacity, {0}, Now));
  REQUIRE(Admission.refusal(Estimator, Capacity, {2}, Now));
  SUBCASE("each class of ranks has its own retry time") {
    recordTurns(Estimator, 200, BaselineWait * 2, milliseconds(22), Now);
    CHECK(Admission.refusal(Estimator, Capacity, {0}, Now)->RetryAfter ==
          milliseconds(200));
    CHECK(Admission.refusal(Estimator, Capacity, {2}, Now)->RetryAfter ==
          milliseconds(3000));
  }
}
