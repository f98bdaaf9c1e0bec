#include "turmerichead/relay_upstream_speed.h"

#include "turmerichead/hash.h"
#include "turmerichead/relay_upstreams.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

/// An upstream with a number of times between events.
upstream_speed speedOf(int Samples, int GapMs) {
  upstream_speed Speed;
  for (int I = 0; I < Samples; ++I)
    Speed.record(time_kind::EventGap, milliseconds(GapMs), {0});
  return Speed;
}

double gapOf(const service_speed &Speeds, std::string_view DataCentre,
             const upstream_speed &Speed) {
  return Speeds.gapMs(Speeds.find(DataCentre), Speed);
}

} // namespace

TEST_CASE(
    "an upstream with few or old samples has the mean of its data centre") {
  // A host uses a runner once in ten seconds: one slow moment must not decide,
  // and a runner that was slow once must not be avoided for ever.
  upstream_speed Fast = speedOf(80, 10);
  upstream_speed Slow = speedOf(80, 20);
  upstream_speed SlowOnce = speedOf(1, 100);
  service_speed Speeds;
  for (int AtMs : {0, 600'000}) {
    Speeds.start({}, {AtMs});
    Speeds.add("x", Fast);
    Speeds.add("x", SlowOnce);
    Speeds.add("y", Slow);
    Speeds.add("z", {});
    Speeds.finish();
    bool IsFresh = AtMs == 0;
    CHECK((gapOf(Speeds, "x", {}) < 13) == IsFresh);
    CHECK((gapOf(Speeds, "y", Slow) > 18) == IsFresh);
    CHECK(gapOf(Speeds, "x", SlowOnce) < 18);
    // Without samples a data centre has the mean of the service.
    CHECK(gapOf(Speeds, "z", {}) == doctest::Approx(2500.0 / 161));
  }
}

TEST_CASE("the predicted time of a turn consists of its parts") {
  upstream_speed Speed = speedOf(80, 10);
  Speed.record(time_kind::FirstEvent, milliseconds(300), {0});
  Speed.record(time_kind::CachedFirstEvent, milliseconds(50), {0});
  Speed.record(time_kind::Answer, milliseconds(7), {0});
  service_speed Speeds;
  auto Predict = [&](const turn_shape &Shape) {
    Speeds.start(Shape, {0});
    const auto &DataCentre = Speeds.at(Speeds.add("x", Speed));
    Speeds.finish();
    return Speeds.turnMs(DataCentre, Speed);
  };
  CHECK(Predict({true, false, 11}) == doctest::Approx(400));
  CHECK(Predict({true, true, 11}) == doctest::Approx(150));
  CHECK(Predict({false, false, 11}) == doctest::Approx(7));
}

namespace {

upstream upstreamOf(int Index, std::int64_t StartedMs = 1) {
  return {std::to_string(Index),
          "s",
          "",
          Index % 2 == 0 ? "x" : "y",
          4,
          true,
          StartedMs};
}

placement placementOf(std::string_view Key) {
  placement Placement;
  Placement.Service = "s";
  Placement.DataCentre = "x";
  Placement.AffinityKey = Key;
  Placement.IsNewChain = true;
  return Placement;
}

} // namespace

TEST_CASE("a restarted upstream has no samples") {
  // The process may run on another machine.
  upstream_table Table;
  Table.put(upstreamOf(0));
  Table.recordEventGap("0", milliseconds(90), {0});
  Table.put(upstreamOf(0, 2));
  CHECK(Table.find("0")->Speed.of(time_kind::EventGap).meanMs() == 0);
}

TEST_CASE("in a pool of equal speed the order is that of the hash alone") {
  // Differences below a quarter are within the errors of the measurement and
  // must not move programs or bytes between data centres.
  upstream_table Table;
  std::vector<int> GapMs;
  for (int I = 0; I < 20; ++I) {
    Table.put(upstreamOf(I));
    GapMs.push_back(18 + static_cast<int>(hash64(std::to_string(I)) % 5));
    for (int Event = 0; Event < 40; ++Event)
      Table.recordEventGap(std::to_string(I), milliseconds(GapMs.back()), {0});
  }
  for (int P = 0; P < 500; ++P) {
    std::string Program = "p" + std::to_string(P);
    std::vector<std::pair<std::uint64_t, int>> Order;
    for (int I = 0; I < 20; I += 2)
      Order.emplace_back(hash64(std::to_string(I), hash64(Program)), I);
    std::sort(Order.begin(), Order.end());
    int First = Order[0].second;
    int Second = Order[1].second;
    int Expected = GapMs[Second] < GapMs[First] ? Second : First;
    CHECK(Table.pick(placementOf(Program), {0})->Upstream.Id ==
          std::to_string(Expected));
  }
}

TEST_CASE("a program whose runner leaves starts where it ends first") {
  // Its prompt is cached nowhere, so nothing keeps it in a slow data centre.
  upstream_table Table;
  for (int I = 0; I < 20; ++I) {
    Table.put(upstreamOf(I));
    for (int Event = 0; Event < 40; ++Event)
      Table.recordEventGap(std::to_string(I), milliseconds(I % 2 ? 10 : 20),
                           {0});
  }
  placement Placement = placementOf("p");
  Placement.IsNewChain = false;
  Placement.PreviousUpstream = "4";
  CHECK(Table.pick(Placement, {0})->Upstream.Id == "4");
  SUBCASE("by its entry") { Table.remove("4"); }
  SUBCASE("by its own responses") { Table.find("4")->State.IsLeaving = true; }
  CHECK(Table.pick(Placement, {0})->Upstream.DataCentre == "y");
}

TEST_CASE("a plain call goes to the upstream with the least work") {
  // One at a third of the speed was given as many calls as the others.
  upstream_table Table;
  for (int I = 0; I < 6; I += 2) {
    Table.put(upstreamOf(I));
    for (int Call = 0; Call < 60; ++Call)
      Table.recordTime(std::to_string(I), time_kind::Answer,
                       milliseconds(I == 0 ? 60 : 20), {0});
  }
  placement Placement = placementOf({});
  Placement.Shape.IsStream = false;
  for (int Call = 0; Call < 4; ++Call)
    ++Table.pick(Placement, {0})->InFlight;
  CHECK(Table.find("0")->InFlight == 0);
  CHECK(Table.find("2")->InFlight == 2);
}

TEST_CASE(
    "a program leaves its runner only if that is far slower than others") {
  // Its prompt is cached there, so a difference must be worth computing it
  // again.
  upstream_table Table;
  int HomeGapMs = 0;
  SUBCASE("stays at half of the speed") { HomeGapMs = 40; }
  SUBCASE("leaves at a quarter") { HomeGapMs = 80; }
  for (int I = 0; I < 20; ++I) {
    Table.put(upstreamOf(I));
    for (int Event = 0; Event < 60; ++Event)
      Table.recordEventGap(std::to_string(I),
                           milliseconds(I == 4 ? HomeGapMs : 20), {0});
  }
  placement Placement = placementOf("p");
  Placement.IsNewChain = false;
  Placement.PreviousUpstream = "4";
  CHECK((Table.pick(Placement, {0})->Upstream.Id == "4") == (HomeGapMs == 40));
}

TEST_CASE("only a host with recent turns measures other data centres") {
  // One with few calls would send a quarter of them away.
  upstream_table Table;
  for (int I = 0; I < 20; ++I)
    Table.put(upstreamOf(I));
  int Turns = 0;
  SUBCASE("one turn") { Turns = 1; }
  SUBCASE("ten turns") { Turns = 10; }
  for (int Event = 0; Event < 20 * Turns; ++Event)
    Table.recordEventGap(std::to_string(Event % 10 * 2), milliseconds(20), {0});
  int Remote = 0;
  for (int I = 0; I < 100; ++I)
    Remote += Table.pick(placementOf("p" + std::to_string(I)), {0})
                          ->Upstream.DataCentre == "y"
                  ? 1
                  : 0;
  CHECK((Remote > 10) == (Turns == 10));
  CHECK(Remote < 40);
}

TEST_CASE("of two full runners the one with the shorter queue is chosen") {
  // A burst of new chains of one host would otherwise wait at the same runner.
  upstream_table Table;
  for (int I : {0, 2}) {
    Table.put(upstreamOf(I));
    for (int Event = 0; Event < 60; ++Event)
      Table.recordEventGap(std::to_string(I), milliseconds(20 - I), {0});
    Table.find(std::to_string(I))->InFlight = 4;
  }
  CHECK(Table.pick(placementOf("p"), {0})->Upstream.Id == "2");
  Table.find("2")->InFlight = 8;
  CHECK(Table.pick(placementOf("p"), {0})->Upstream.Id == "0");
}
