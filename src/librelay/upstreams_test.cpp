#include "turmerichead/relay_upstreams.h"

#include "turmerichead/relay_routes.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>
#include <vector>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

upstream_table tableOf(int Count) {
  upstream_table Table;
  for (int I = 0; I < Count; ++I)
    Table.put({"u" + std::to_string(I), "s", "10.0.0.1:" + std::to_string(I),
               I % 2 == 0 ? "x" : "y", 2, true, 1});
  return Table;
}

placement placementOf(std::string_view Program, std::string_view Call) {
  placement Placement;
  Placement.Service = "s";
  Placement.DataCentre = "x";
  Placement.AffinityKey = Program;
  Placement.IsNewChain = true;
  Placement.SpreadKey = Call;
  return Placement;
}

} // namespace

TEST_CASE("a chain starts in the local data centre and stays with its runner") {
  // Long chains that were sent to runners in other data centres caused the most
  // expensive traffic under light load.
  upstream_table One = tableOf(9);
  upstream_table Two = tableOf(9);
  std::set<std::string> Used;
  for (int I = 0; I < 200; ++I) {
    std::string Program = "p" + std::to_string(I);
    const upstream_row *Row = One.pick(placementOf(Program, "a"), {0});
    REQUIRE(Row);
    CHECK(Row->Upstream.DataCentre == "x");
    CHECK(Row->Upstream.Id ==
          Two.pick(placementOf(Program, "b"), {50})->Upstream.Id);
    Used.insert(Row->Upstream.Id);
    placement OtherDataCentre = placementOf(Program, "c");
    OtherDataCentre.DataCentre = "y";
    OtherDataCentre.PreviousUpstream = Row->Upstream.Id;
    CHECK(Two.pick(OtherDataCentre, {50})->Upstream.Id == Row->Upstream.Id);
  }
  CHECK(Used.size() == 5);
}

TEST_CASE("few chains start at runners that are slower than others") {
  // Four of ten runners take nearly twice as long per step, which is below the
  // limit for a slow runner. A random choice would start 0.4 of the chains
  // there.
  upstream_table Table = tableOf(20);
  for (int I = 0; I < 20; ++I)
    for (int Event = 0; Event < 50; ++Event)
      Table.recordEventGap("u" + std::to_string(I),
                           milliseconds(I < 8 ? 18 : 10));
  int Slower = 0;
  constexpr int Chains = 400;
  for (int I = 0; I < Chains; ++I) {
    placement Placement = placementOf("p" + std::to_string(I), "a");
    const upstream_row *Row = Table.pick(Placement, {0});
    Slower += Row->Speed.of(time_kind::EventGap).meanMs() > 15 ? 1 : 0;
    // Later turns of the chain stay at its runner whatever the speed.
    Placement.PreviousUpstream = Row->Upstream.Id;
    CHECK(Table.pick(Placement, {0})->Upstream.Id == Row->Upstream.Id);
  }
  CHECK(Slower * 4 < Chains);
}

TEST_CASE("a chain moves to another runner when its own fails") {
  upstream_table Table = tableOf(9);
  placement Placement = placementOf("p", "a");
  Placement.PreviousUpstream = "u3";
  CHECK(Table.pick(Placement, {0})->Upstream.Id == "u3");
  Table.recordFailure("u3", {0});
  CHECK(Table.pick(Placement, {100})->Upstream.Id != "u3");
  Table.remove("u3");
  CHECK(Table.pick(Placement, {9000}) != nullptr);
}

TEST_CASE("when a runner is drained, only its own programs move") {
  upstream_table Table = tableOf(9);
  std::map<std::string, std::string> Before;
  for (int I = 0; I < 100; ++I) {
    std::string Program = "p" + std::to_string(I);
    Before[Program] = Table.pick(placementOf(Program, "a"), {0})->Upstream.Id;
  }
  upstream Draining = Table.find("u4")->Upstream;
  Draining.Ready = false;
  Table.put(Draining);
  for (const auto &[Program, Id] : Before) {
    std::string Now = Table.pick(placementOf(Program, "a"), {0})->Upstream.Id;
    CHECK(Now != "u4");
    if (Id != "u4")
      CHECK(Now == Id);
  }
}

TEST_CASE("a runner is avoided for a while after a failure") {
  upstream_table Table = tableOf(3);
  std::string Preferred = Table.pick(placementOf("p", "a"), {0})->Upstream.Id;
  Table.recordFailure(Preferred, {1000});
  CHECK(Table.pick(placementOf("p", "a"), {1100})->Upstream.Id != Preferred);
  CHECK(Table.pick(placementOf("p", "a"), {9000})->Upstream.Id == Preferred);
}

TEST_CASE("in a burst, calls go to the next runner in the hash order") {
  upstream_table Table = tableOf(3);
  upstream_row *Preferred = Table.pick(placementOf("p", "a"), {0});
  Preferred->InFlight = 2;
  CHECK(Table.pick(placementOf("p", "a"), {0}) != Preferred);
}

TEST_CASE("few calls wait at an upstream that hangs") {
  // Guards against calls that are sent, one after the other, to an upstream
  // that takes them and answers none: all of them fail at their deadlines. Here
  // it is u2, from 2 to 9 s.
  struct sent {
    std::string Upstream;
    std::int64_t At;
    std::int64_t Until;
    bool IsAnswered;
  };
  constexpr std::int64_t HangsFrom = 2000;
  constexpr std::int64_t HangsUntil = 9000;
  upstream_table Table = tableOf(5);
  std::vector<sent> Calls;
  int Failed = 0;
  int LaterThere = 0;
  for (std::int64_t Now = 0; Now < 20'000; Now += 10) {
    std::erase_if(Calls, [&](const sent &Call) {
      if (Call.Until > Now)
        return false;
      if (Call.IsAnswered) {
        Table.recordAnswer(Call.Upstream, {Now});
        Table.recordTime(Call.Upstream, time_kind::Answer,
                         milliseconds(Now - Call.At), {Now});
      }
      Table.recordEnd(Call.Upstream, {Now});
      return true;
    });
    if (Now % 110 != 0)
      continue;
    // Half of the calls may be repeated, and are hedged after 60 ms.
    placement Placement = placementOf({}, std::to_string(Now));
    Placement.Shape.IsStream = false;
    Placement.IsRepeatable = Now % 220 == 0;
    upstream_row *Row = Table.pick(Placement, {Now});
    bool Hangs =
        Row->Upstream.Id == "u2" && Now >= HangsFrom && Now < HangsUntil;
    bool Fails = Hangs && !Placement.IsRepeatable;
    Failed += Fails ? 1 : 0;
    LaterThere += Row->Upstream.Id == "u2" && Now > HangsUntil + 2000 ? 1 : 0;
    Table.recordSent(*Row, {Now});
    std::int64_t Takes = Fails ? 1000 : Hangs ? 60 : 20;
    Calls.push_back({Row->Upstream.Id, Now, Now + Takes, !Hangs});
  }
  CHECK(Failed <= 2);
  CHECK(LaterThere > 5);
}

TEST_CASE("no upstream counts as silent while none of them answers") {
  // When the own links of a host work again, its calls would all go to the
  // first upstream that answers.
  upstream_table Table = tableOf(4);
  for (const auto &[Id, Row] : Table.rows()) {
    Table.recordAnswer(Id, {0});
    Table.recordSent(*Table.find(Id), {100});
    Table.recordSent(*Table.find(Id), {100});
  }
  Table.recordAnswer("u1", {5000});
  for (const auto &[Id, Row] : Table.rows())
    for (int I = 0; I < 2; ++I)
      Table.recordEnd(Id, {5001});
  std::set<std::string> Used;
  for (int I = 0; I < 20; ++I)
    Used.insert(Table.pick(placementOf("p" + std::to_string(I), "a"), {5010})
                    ->Upstream.Id);
  CHECK(Used == std::set<std::string>{"u0", "u2"});
}

TEST_CASE("programs move away from a runner that has become slow") {
  upstream_table Table = tableOf(5);
  std::string Preferred = Table.pick(placementOf("p", "a"), {0})->Upstream.Id;
  for (const auto &[Id, Row] : Table.rows())
    for (int I = 0; I < 60; ++I)
      Table.recordEventGap(Id, milliseconds(Id == Preferred ? 100 : 20));
  CHECK(Table.pick(placementOf("p", "a"), {0})->Upstream.Id != Preferred);
}

TEST_CASE("a program whose turns are not stored stays with one runner") {
  // No host knows which runner ran the previous turn, so only the hash order
  // decides, whatever the speed of the runners.
  upstream_table Table = tableOf(6);
  for (int I = 0; I < 50; ++I) {
    std::string Program = "p" + std::to_string(I);
    placement Placement = placementOf(Program, "a");
    Placement.IsNewChain = false;
    std::string Runner = Table.pick(Placement, {0})->Upstream.Id;
    for (const auto &[Id, Row] : Table.rows())
      Table.recordEventGap(Id, milliseconds(Id == Runner ? 24 : 20));
    CHECK(Table.pick(Placement, {0})->Upstream.Id == Runner);
  }
}

TEST_CASE("calls without a program go to the least loaded local upstream") {
  upstream_table Table = tableOf(4);
  upstream_row *First = Table.pick(placementOf({}, "a"), {0});
  CHECK(First->Upstream.DataCentre == "x");
  First->InFlight = 1;
  upstream_row *Second = Table.pick(placementOf({}, "a"), {0});
  CHECK(Second != First);
  CHECK(Second->Upstream.DataCentre == "x");
  Second->InFlight = 1;
  CHECK(Table.pick(placementOf({}, "a"), {0})->Upstream.DataCentre == "y");
}

TEST_CASE(
    "an upstream that was tried is the last choice, a draining one none") {
  upstream_table Table = tableOf(1);
  placement Placement = placementOf({}, "a");
  std::vector<std::string> Tried = {"u0"};
  Placement.Tried = Tried;
  CHECK(Table.pick(Placement, {0}) != nullptr);
  upstream Draining = Table.find("u0")->Upstream;
  Draining.Ready = false;
  Table.put(Draining);
  CHECK(Table.pick(Placement, {0}) == nullptr);
  CHECK(!Table.hasReady("s", {0}));
}

TEST_CASE("the route with the longest matching prefix is chosen") {
  routing Routing;
  auto Add = [&](std::string Host, std::string Prefix) {
    route Route;
    Route.Host = std::move(Host);
    Route.PathPrefix = std::move(Prefix);
    Route.Services = {{"s", 1}};
    Routing.Routes.push_back(Route);
  };
  Add("h", "/a/");
  Add("h", "/a/b/");
  Add("g", "/a/b/c/");
  CHECK(Routing.match("h", "/a/b/c/d")->PathPrefix == "/a/b/");
  CHECK(Routing.match("h", "/a/x")->PathPrefix == "/a/");
  CHECK(Routing.match("h", "/a") == nullptr);
  CHECK(Routing.match("k", "/a/b/") == nullptr);
}

TEST_CASE("a traffic split is stable per key and follows the weights") {
  route Route;
  Route.Services = {{"a", 90}, {"b", 10}, {"never", 0}};
  int ToB = 0;
  for (int I = 0; I < 2000; ++I) {
    std::string Key = std::to_string(I);
    const std::string &Service = serviceFor(Route, Key);
    CHECK(Service == serviceFor(Route, Key));
    CHECK(Service != "never");
    ToB += Service == "b" ? 1 : 0;
  }
  CHECK(ToB > 140);
  CHECK(ToB < 260);
}

TEST_CASE("expired entries are still used for a while") {
  // After an outage of the platform all entries had expired, and calls were
  // refused for 1.2 s although every upstream was healthy.
  upstream_table Table = tableOf(3);
  for (const char *Id : {"u0", "u1", "u2"})
    Table.expireAt(Id, {1900});
  CHECK(Table.hasReady("s", {1000}));
  CHECK(Table.pick(placementOf("p", "a"), {1000}) != nullptr);
  SUBCASE("one that is registered again is preferred") {
    Table.put(Table.find("u1")->Upstream);
    CHECK(Table.pick(placementOf("p", "a"), {1100})->Upstream.Id == "u1");
    CHECK(Table.pick(placementOf("p", "a"), {9000})->Upstream.Id == "u1");
  }
  SUBCASE("one that is not registered again is removed") {
    CHECK(!Table.hasReady("s", {1900}));
    CHECK(Table.pick(placementOf("p", "a"), {1900}) == nullptr);
    CHECK(Table.rows().empty());
  }
}
