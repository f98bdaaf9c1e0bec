// Admission alone, and against a small model of runners in a flood.

#include "turmerichead/relay_admission.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>
#include <vector>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

constexpr milliseconds CalmWait{20};
constexpr milliseconds CalmGap{10};

/// Lets the gauge see turns of ten events at a given pace.
void seeTurns(slowdown_estimator &Estimator, int Turns, milliseconds Wait,
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

} // namespace

TEST_CASE("admission: what has not been seen calm is not called slow") {
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

TEST_CASE("admission: stretch follows slower steps and longer waits") {
  slowdown_estimator Estimator;
  time_point Now{0};
  seeTurns(Estimator, 40, CalmWait, CalmGap, Now);
  CHECK(Estimator.slowdown(Now) == doctest::Approx(1));
  slowdown_estimator Slower = Estimator;
  seeTurns(Slower, 40, CalmWait, CalmGap * 3, Now);
  CHECK(Slower.slowdown(Now) > 2);
  // Turns that wait for their first event tell of a flood before any does.
  for (int I = 0; I < 20; ++I)
    Estimator.recordSend(Now);
  CHECK(Estimator.slowdown(Now + milliseconds(400)) > 2);
}

TEST_CASE("admission: first events within a millisecond are known as such") {
  slowdown_estimator Estimator;
  time_point Now{0};
  seeTurns(Estimator, 40, milliseconds(0), CalmGap, Now);
  CHECK(Estimator.slowdown(Now) == doctest::Approx(1));
  for (int I = 0; I < 20; ++I)
    Estimator.recordSend(Now);
  CHECK(Estimator.slowdown(Now + milliseconds(400)) > 2);
}

TEST_CASE("admission: refuses only where it is both slow and busy") {
  slowdown_estimator Estimator;
  time_point Now{0};
  seeTurns(Estimator, 40, CalmWait, CalmGap, Now);
  seeTurns(Estimator, 40, CalmWait, CalmGap * 3, Now);
  admission Admission;
  service_capacity Capacity{16, 2};
  CHECK_FALSE(Admission.refusal(Estimator, Capacity, 0, Now));
  for (int I = 0; I < 4; ++I)
    Estimator.recordSend(Now);
  auto First = Admission.refusal(Estimator, Capacity, 0, Now);
  REQUIRE(First);
  CHECK(First->RetryAfter == milliseconds(200));
  CHECK(First->Slowdown > 1.5);
  SUBCASE("the longer it lasts, the later callers are asked to come back") {
    auto Later =
        Admission.refusal(Estimator, Capacity, 0, Now + milliseconds(900));
    CHECK(Later->RetryAfter == milliseconds(900));
    auto Last =
        Admission.refusal(Estimator, Capacity, 0, Now + milliseconds(9000));
    CHECK(Last->RetryAfter == milliseconds(3000));
  }
  SUBCASE("as soon as there is room, a program may begin") {
    Estimator.recordEnd(Now, 10);
    CHECK_FALSE(Admission.refusal(Estimator, Capacity, 0, Now));
    Estimator.recordSend(Now);
    auto Again =
        Admission.refusal(Estimator, Capacity, 0, Now + milliseconds(900));
    CHECK(Again->RetryAfter == milliseconds(200));
  }
}

namespace {

/// Programs of some turns at runners whose steps take longer the more run at
/// once, with one queue in order of arrival.
class flood_model {
public:
  explicit flood_model(bool Admits) : Admits(Admits) {}

  /// \p PerSecond gives the programs that arrive each second. Returns how
  /// many ended in time.
  int play(const std::vector<int> &PerSecond) {
    std::mt19937 Random(7);
    for (int Rate : PerSecond)
      for (int Tick = 0; Tick < TicksPerSecond; ++Tick) {
        std::uniform_int_distribution<int> Draw(0, TicksPerSecond - 1);
        if (Draw(Random) < Rate)
          arrive();
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
  static constexpr double CalmStepMs = 10;
  // At full slots a step takes three times as long.
  static constexpr double SlowerWhenFull = 2;
  // Twice what a program takes alone.
  static constexpr milliseconds Aim{1000};
  static constexpr milliseconds Patience{4000};

  struct program {
    time_point Began;
    int TurnsLeft = TurnsOfProgram;
    time_point SentAt;
    time_point LastEvent;
    double Progress = 0; ///< Events
    int Events = 0;
  };

  void arrive() {
    if (Admits && Admission.refusal(Estimator, {Slots, 1}, 0, Now))
      return;
    send({Now, TurnsOfProgram, {}, {}, 0, 0});
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
      if (Now - Next.SentAt > Patience)
        Estimator.recordEnd(Next.SentAt, 0); // Its caller has left.
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
        CalmStepMs *
        (1 + SlowerWhenFull * static_cast<double>(Running.size()) / Slots);
    std::vector<program> Still;
    for (program &Program : Running) {
      Program.Progress += static_cast<double>(Tick.count()) / StepMs;
      while (Program.Events < static_cast<int>(Program.Progress) &&
             Program.Events < EventsPerTurn)
        emit(Program);
      if (Program.Events < EventsPerTurn) {
        Still.push_back(Program);
        continue;
      }
      Estimator.recordEnd(Program.SentAt, EventsPerTurn);
      if (--Program.TurnsLeft > 0)
        send(Program);
      else
        InTime += Now - Program.Began <= Aim ? 1 : 0;
    }
    Running = std::move(Still);
  }

  bool Admits;
  slowdown_estimator Estimator;
  admission Admission;
  std::deque<program> Queue;
  std::vector<program> Running;
  time_point Now{0};
  int InTime = 0;
};

} // namespace

TEST_CASE("admission: in a flood, programs that begin end in time") {
  // Five times what is usual, which is three times what can be carried.
  std::vector<int> Flood(5, 12);
  Flood.insert(Flood.end(), 10, 60);
  Flood.insert(Flood.end(), 5, 12);
  int Before = flood_model(false).play(Flood);
  int After = flood_model(true).play(Flood);
  MESSAGE("in time without admission ", Before, ", with it ", After);
  CHECK(After * 2 >= Before * 3);
}

TEST_CASE("admission: a calm day is not touched by it") {
  std::vector<int> Calm(20, 12);
  CHECK(flood_model(true).play(Calm) == flood_model(false).play(Calm));
}

TEST_CASE("admission: less urgent programs stop to begin first") {
  slowdown_estimator Estimator;
  time_point Now{0};
  seeTurns(Estimator, 40, CalmWait, CalmGap, Now);
  // Between the two limits.
  seeTurns(Estimator, 200, CalmWait, milliseconds(15), Now);
  for (int I = 0; I < 8; ++I)
    Estimator.recordSend(Now);
  service_capacity Capacity{16, 1};
  admission Admission;
  CHECK_FALSE(Admission.refusal(Estimator, Capacity, 0, Now));
  REQUIRE(Admission.refusal(Estimator, Capacity, 2, Now));
  SUBCASE("each rank has its own time to come back") {
    seeTurns(Estimator, 200, CalmWait * 2, milliseconds(18), Now);
    CHECK(Admission.refusal(Estimator, Capacity, 0, Now)->RetryAfter ==
          milliseconds(200));
    CHECK(Admission.refusal(Estimator, Capacity, 2, Now)->RetryAfter ==
          milliseconds(3000));
  }
}
