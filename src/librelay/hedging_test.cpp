// Decisions about hedges, without a network.

#include "turmerichead/relay_hedging.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <queue>
#include <random>
#include <utility>
#include <vector>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

constexpr service_capacity Roomy{1000, 1};

/// Asks for hedges until none is granted.
int takeAll(hedging &Hedging, time_point Now) {
  int Count = 0;
  while (Hedging.takeHedge(Roomy, Now))
    ++Count;
  return Count;
}

/// A model of a pool whose calls wait for a free slot. Most calls take some
/// 40 ms; one of forty falls into a pause of its upstream.
struct pool_model {
  static constexpr std::uint32_t Slots = 60;
  static constexpr int Calls = 40000;
  enum class step { Arrival, HedgeDue, End };
  struct event {
    double At;
    step Step;
    int Call;
    int Attempt;
    bool operator>(const event &Other) const { return At > Other.At; }
  };
  struct call {
    double Start = 0;
    double Took = -1;
    bool Running[2] = {false, false};
    bool Done[2] = {false, false};
  };

  hedging Hedging;
  std::mt19937 Random{7};
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<call> Table = std::vector<call>(Calls);
  std::queue<std::pair<int, int>> Waiting;
  std::uint32_t Busy = 0;
  int Hedges = 0;

  explicit pool_model(std::uint32_t Percent) : Hedging(Percent) {}

  double draw(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(Random);
  }
  double serviceTime() {
    bool Pauses = std::uniform_int_distribution<int>(1, 40)(Random) == 1;
    return 20 + draw(20) + (Pauses ? 300 + draw(300) : 0);
  }
  void start(int Call, int Attempt, double Now) {
    if (Busy >= Slots) {
      Waiting.push({Call, Attempt});
      return;
    }
    ++Busy;
    Table[Call].Running[Attempt] = true;
    Events.push({Now + serviceTime(), step::End, Call, Attempt});
  }
  void release(int Call, int Attempt, double Now) {
    Table[Call].Done[Attempt] = true;
    if (!std::exchange(Table[Call].Running[Attempt], false))
      return;
    --Busy;
    while (Busy < Slots && !Waiting.empty()) {
      auto [Next, NextAttempt] = Waiting.front();
      Waiting.pop();
      if (!Table[Next].Done[NextAttempt])
        start(Next, NextAttempt, Now);
    }
  }
  static time_point timeOf(double Ms) {
    return {static_cast<std::int64_t>(Ms)};
  }
  static milliseconds spanOf(double Ms) {
    return milliseconds(static_cast<std::int64_t>(Ms));
  }
  void arrive(int Call, double Now) {
    Table[Call].Start = Now;
    start(Call, 0, Now);
    if (auto Delay = Hedging.recordFirst(Busy + Waiting.size()))
      Events.push(
          {Now + static_cast<double>(Delay->count()), step::HedgeDue, Call, 1});
  }
  void hedge(int Call, double Now) {
    bool Waits = Table[Call].Took < 0;
    if (!Waits || !Hedging.takeHedge({Slots, 1}, timeOf(Now)))
      return;
    ++Hedges;
    start(Call, 1, Now);
  }
  void end(int Call, int Attempt, double Now) {
    call &Row = Table[Call];
    if (Row.Done[Attempt])
      return;
    Row.Took = Now - Row.Start;
    if (Attempt == 0)
      Hedging.recordAnswer(spanOf(Row.Took), timeOf(Now));
    else
      Hedging.recordCancelled(spanOf(Row.Took), timeOf(Now));
    release(Call, Attempt, Now);
    release(Call, 1 - Attempt, Now);
  }
  /// Returns the 99th percentile of the times of all calls.
  double run(double ArrivalsPerMs) {
    double At = 0;
    for (int I = 0; I < Calls; ++I)
      Events.push({At += draw(1 / ArrivalsPerMs), step::Arrival, I, 0});
    while (!Events.empty()) {
      event Event = Events.top();
      Events.pop();
      if (Event.Step == step::Arrival)
        arrive(Event.Call, Event.At);
      else if (Event.Step == step::HedgeDue)
        hedge(Event.Call, Event.At);
      else
        end(Event.Call, Event.Attempt, Event.At);
    }
    std::vector<double> Times;
    for (const call &Call : Table)
      Times.push_back(Call.Took);
    std::sort(Times.begin(), Times.end());
    return Times[Times.size() / 100 * 99];
  }
};

// The mean of a call is some 55 ms, so this uses a third of the slots.
constexpr double UsualRate = 0.36;

} // namespace

TEST_CASE("the percentile follows the samples within a tenth") {
  answer_times Times;
  time_point Now{1000};
  for (int Ms = 1; Ms <= 39; ++Ms)
    Times.record(milliseconds(Ms), Now);
  CHECK_FALSE(Times.percentile95());
  for (int Ms = 40; Ms <= 1000; ++Ms)
    Times.record(milliseconds(Ms), Now);
  CHECK(Times.percentile95()->count() >= 950);
  CHECK(Times.percentile95()->count() <= 1045);
  // A service that has become faster must not keep the delay of its past.
  for (int I = 0; I < 600; ++I)
    Times.record(milliseconds(10), Now = Now + milliseconds(500));
  REQUIRE(Times.percentile95());
  CHECK(Times.percentile95()->count() <= 12);
  // Times beyond the histogram and of 0 ms count in its outer buckets.
  for (int I = 0; I < 5000; ++I)
    Times.record(milliseconds(I % 2 == 0 ? 0 : 1 << 30), Now);
  CHECK(Times.percentile95()->count() == 65536);
}

TEST_CASE("samples that are too old give no delay") {
  // After an hour without calls, the times of the past say nothing.
  answer_times Times;
  for (int I = 0; I < 2000; ++I)
    Times.record(milliseconds(10), {1000});
  Times.record(milliseconds(10), {3'600'000});
  CHECK_FALSE(Times.percentile95());
}

TEST_CASE("hedges stay within their share of first attempts") {
  hedging Hedging(5);
  CHECK(takeAll(Hedging, {0}) == 0);
  int Hedges = 0;
  for (int I = 1; I <= 10000; ++I) {
    Hedging.recordFirst(1);
    Hedges += takeAll(Hedging, {I});
    REQUIRE(Hedges * 20 <= I);
  }
  CHECK(Hedges == 500);
  // An hour without slow calls must not allow a burst of hedges.
  for (int I = 0; I < 10000; ++I)
    Hedging.recordFirst(1);
  CHECK(takeAll(Hedging, {20000}) == 5);
  hedging Off(0);
  Off.recordFirst(1);
  CHECK(takeAll(Off, {0}) == 0);
}

TEST_CASE("a pool that is short of capacity gets no hedges") {
  hedging Hedging(50);
  for (int I = 0; I < 200; ++I)
    Hedging.recordFirst(3);
  CHECK(Hedging.takeHedge({6, 1}, {1000}));
  CHECK_FALSE(Hedging.takeHedge({4, 1}, {1000}));
  CHECK_FALSE(Hedging.takeHedge({6, 2}, {1000}));
  CHECK_FALSE(Hedging.takeHedge({0, 1}, {1000}));
  Hedging.recordShortage({2000});
  CHECK_FALSE(Hedging.takeHedge({6, 1}, {3999}));
  CHECK(Hedging.takeHedge({6, 1}, {4000}));
}

TEST_CASE("cancelled attempts keep the percentile where it was") {
  // A first attempt that a hedge replaces has no answer. If it did not count,
  // the delay would fall until the budget alone bounded the hedges.
  hedging Hedging(5);
  std::mt19937 Random(3);
  // Each doubling of the time is as frequent; 95 % are below 5,222 ms.
  std::uniform_real_distribution<double> Doublings(0, 13);
  for (int I = 0; I < 20000; ++I) {
    auto Delay = Hedging.recordFirst(1);
    milliseconds Time(static_cast<std::int64_t>(std::exp2(Doublings(Random))));
    if (Delay && Time > *Delay)
      Hedging.recordCancelled(*Delay, {I});
    else
      Hedging.recordAnswer(Time, {I});
  }
  auto Delay = Hedging.recordFirst(1);
  CHECK(Delay->count() >= 4400);
  CHECK(Delay->count() <= 6500);
  // Callers that leave at once must not lower it either.
  for (int I = 0; I < 1000; ++I)
    Hedging.recordCancelled(milliseconds(1), {20000});
  CHECK(Hedging.recordFirst(1) == Delay);
}

TEST_CASE("in a model, hedges lower the 99th percentile by a third") {
  double Without = pool_model(0).run(UsualRate);
  pool_model With(5);
  double Hedged = With.run(UsualRate);
  MESSAGE("p99 without " << Without << " ms, with " << Hedged << " ms, hedges "
                         << With.Hedges);
  CHECK(Hedged <= Without * 2 / 3);
  CHECK(With.Hedges > 0);
  CHECK(With.Hedges <= pool_model::Calls / 20);
}

TEST_CASE("in a model, three times the load gets no hedges") {
  pool_model With(5);
  double Hedged = With.run(3 * UsualRate);
  CHECK(With.Hedges == 0);
  CHECK(Hedged == pool_model(0).run(3 * UsualRate));
}
