// Reports of where a request would be sent.

#include "test_relay_pvt.h"

#include <deque>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace turmerichead;
using namespace turmerichead::pvt;
using namespace turmerichead::relay;
using nlohmann::json;

namespace {

constexpr time_point Now{100'000};

/// Fills a table with upstreams in random states, some of them expired.
upstream_table randomTable(std::mt19937_64 &Random) {
  auto Below = [&](std::uint64_t End) { return Random() % End; };
  upstream_table Table;
  std::uint64_t Count = Below(10);
  for (std::uint64_t I = 0; I < Count; ++I) {
    std::string Id = "u" + std::to_string(I);
    Table.put({Id, Below(6) == 0 ? "other" : "s", "", std::to_string(Below(3)),
               2, Below(6) != 0, 1});
    upstream_row &Row = *Table.find(Id);
    Row.InFlight = static_cast<std::uint32_t>(Below(4));
    if (Below(4) == 0)
      Table.recordFailure(Id, Now - milliseconds(Below(3000)));
    if (Below(5) == 0)
      Table.expireAt(Id, Now + milliseconds(500) - milliseconds(Below(1000)));
    if (Below(8) == 0)
      Row.State.Limit = {5, Now};
    if (Below(3) == 0)
      Row.BusyUntil = Now + milliseconds(Below(400));
    for (std::uint64_t Samples = Below(60); Samples > 0; --Samples) {
      time_point At = Now - milliseconds(Below(30'000));
      Table.recordTime(Id, time_kind::FirstEvent, milliseconds(20 + Below(200)),
                       At);
      Table.recordEventGap(Id, milliseconds(5 + Below(20) * (I + 1)), At);
    }
  }
  return Table;
}

/// The strings that a placement refers to.
struct random_call {
  std::string Program, Previous, Id, DataCentre;
  std::vector<std::string> Tried, Denied;
  placement Placement;

  explicit random_call(std::mt19937_64 &Random) {
    auto Name = [&](std::uint64_t End) {
      return "u" + std::to_string(Random() % End);
    };
    Program = Random() % 4 == 0 ? "" : "p" + std::to_string(Random());
    Previous = Random() % 2 == 0 ? Name(12) : "";
    Id = std::to_string(Random());
    DataCentre = std::to_string(Random() % 3);
    if (Random() % 4 == 0)
      Tried = {Name(10)};
    if (Random() % 8 == 0)
      Denied = {Name(10), Name(10)};
    Placement.Service = "s";
    Placement.DataCentre = DataCentre;
    Placement.AffinityKey = Program;
    Placement.PreviousUpstream = Previous;
    Placement.IsNewChain = Previous.empty() && Random() % 2 == 0;
    Placement.Shape.IsStream = Random() % 4 != 0;
    Placement.PrefersNear = Random() % 4 != 0;
    Placement.AvoidsLimits = Denied.size() > 1;
    Placement.Denied = Denied;
    Placement.SpreadKey = Id;
    Placement.Tried = Tried;
  }
};

/// All that this test can see of a table.
std::string stateOf(const upstream_table &Table) {
  std::string Text;
  for (const auto &[Id, Row] : Table.rows())
    Text += Id + ' ' + std::to_string(Row.InFlight) + ' ' +
            std::to_string(Row.AvoidUntil.Ms) + ' ' +
            std::to_string(Row.ExpiresAt.value_or(time_point()).Ms) + ' ' +
            std::to_string(Row.BusyUntil.Ms) + ' ' +
            std::to_string(Row.Speed.of(time_kind::EventGap).meanMs()) + ' ' +
            std::to_string(Row.State.Limit.has_value()) + '\n';
  return Text;
}

json ask(fixture &Fixture, std::string_view Query, int Status = 200) {
  auto Question = readWhereQuestion(Query);
  REQUIRE(Question);
  where_answer Answer = Fixture.Relay->where(*Question);
  CHECK(Answer.Status == Status);
  return json::parse(Answer.Json);
}

std::string publishedText(fixture &Fixture) {
  Fixture.Relay->publish();
  return Fixture.Metrics.toPrometheus();
}

} // namespace

TEST_CASE("the explained upstream is the one that is picked") {
  // Guards against a report that decides by itself, or that changes what the
  // next request gets.
  std::mt19937_64 Random(7);
  std::set<choice_rule> Rules;
  for (int I = 0; I < 3000; ++I) {
    upstream_table Table = randomTable(Random);
    upstream_table Unasked = Table;
    random_call Call(Random);
    std::string Before = stateOf(Table);
    placement_report Report = Table.explain(Call.Placement, Now);
    REQUIRE(stateOf(Table) == Before);
    const upstream_row *Chosen = Report.Chosen;
    std::string Explained = Chosen ? Chosen->Upstream.Id : "";
    const upstream_row *Picked = Table.pick(Call.Placement, Now);
    REQUIRE(Explained == (Picked ? Picked->Upstream.Id : ""));
    const upstream_row *Other = Unasked.pick(Call.Placement, Now);
    REQUIRE(Explained == (Other ? Other->Upstream.Id : ""));
    REQUIRE((Report.Rule == choice_rule::NoneReady) == !Chosen);
    Rules.insert(Report.Rule);
    if (!Chosen)
      continue;
    bool IsSecond = Report.Rule == choice_rule::FinishesFirst;
    REQUIRE(Report.Candidates.at(IsSecond ? 1 : 0).Row == Chosen);
  }
  // Each rule is reached, so that none of them is left untested.
  CHECK(Rules.size() == static_cast<int>(choice_rule::FinishesFirst) + 1);
}

TEST_CASE("penalties are reported by name") {
  // Guards against penalties that are reported under the name of another.
  upstream_table Table;
  Table.put({"u", "s", "", "x", 1, true, 1});
  Table.find("u")->InFlight = 1;
  Table.recordFailure("u", Now);
  placement Placement;
  Placement.Service = "s";
  placement_report Report = Table.explain(Placement, Now);
  CHECK(Report.Candidates.at(0).Penalties ==
        std::vector<std::string_view>{"failed or silent", "full"});
  CHECK(Report.Rule == choice_rule::OnlyReady);
}

TEST_CASE(
    "a request goes where the report said and the report changes nothing") {
  // Guards against reports that count, create rows or disagree with calls.
  fixture Fixture;
  Fixture.put("tool-2", "tools", Fixture.OtherTools);
  std::string Before = publishedText(Fixture);
  json Report = ask(Fixture, "host=h%3A80&path=/plan/a%3Fb&program=p1");
  for (int I = 0; I < 5; ++I)
    CHECK(ask(Fixture, "host=h&path=/safe/a&program=p1")["chosen"] ==
          ask(Fixture, "host=h&path=/safe/b&program=p1")["chosen"]);
  CHECK(publishedText(Fixture) == Before);
  CHECK(Report["chosen"] == "llm-1");
  CHECK(Report["admission"]["refused"] == false);
  CHECK(Report["admission"]["starts_program"] == true);
  CHECK(Report["home"].is_null());

  caller Caller(Fixture.Address);
  Caller.send(Fixture.request("POST", "/plan/a", "c1", "X-Program: p1\r\n"));
  REQUIRE(Fixture.received(Fixture.Llm, "X-Call: c1"));
  Report = ask(Fixture, "host=h&path=/plan/a&program=p1&previous_turn=c1");
  CHECK(Report["home"] == "llm-1");
  CHECK(Report["notes"].empty());
  CHECK(Report["candidates"][0]["in_flight"] == 1);
  Report = ask(Fixture, "host=h&path=/plan/a&program=p2&previous_turn=x");
  CHECK(Report["notes"].dump().find("disk hosts only") != std::string::npos);

  Fixture.Relay->removeUpstream("llm-1", milliseconds(0));
  Report = ask(Fixture, "host=h&path=/plan/a&program=p1");
  CHECK(Report["admission"]["rule"] == "no upstream is ready");
  CHECK(Report["chosen"].is_null());
  Fixture.Relay->removeUpstream("tool-1", milliseconds(0));
  Fixture.Relay->removeUpstream("tool-2", milliseconds(0));
  Report = ask(Fixture, "host=h&path=/safe/a");
  CHECK(Report["admission"]["rule"] == "no upstream is ready");
}

TEST_CASE("upstreams that are known to have no permit are reported") {
  // Guards against a report of an upstream whose limit refuses the request.
  fixture Fixture;
  caller First(Fixture.Address);
  First.send(Fixture.request("GET", "/safe/1", "c1"));
  REQUIRE(Fixture.received(Fixture.Tools, "X-Call: c1"));
  Fixture.Tools.send(fixture::connectionOf(Fixture.Tools, "c1"),
                     answerTo("c1", "done", "200 OK", "X-Limit: 0\r\n"));
  REQUIRE(First.waitsFor("done"));
  json Report = ask(Fixture, "host=h&path=/safe/1");
  CHECK(Report["candidates"][0]["limit_per_s"] == 0);
  CHECK(Report["admission"]["refused"] == false);
  // The permits of the next seconds are used.
  std::deque<caller> Callers;
  for (int I = 2; I < 6; ++I)
    Callers.emplace_back(Fixture.Address)
        .send(Fixture.request("GET", "/safe/1", "c" + std::to_string(I)));
  REQUIRE(Callers.back().waitsFor("HTTP/1.1 503"));
  Report = ask(Fixture, "host=h&path=/safe/1");
  CHECK(Report["admission"]["rule"] ==
        "the upstreams have reached their limits");
  CHECK(Report["admission"]["status"] == 503);
}

TEST_CASE("reports fail clearly and contain no key") {
  // Guards against keys that reach a report, and against errors that look like
  // a decision.
  CHECK_FALSE(readWhereQuestion("host=h"));
  CHECK_FALSE(readWhereQuestion("host=h&path=%zz"));
  CHECK_FALSE(readWhereQuestion("host=h&path=/a/&key=secret"));
  CHECK(lastError().Text.find("secret") == std::string::npos);

  fixture Fixture;
  ask(Fixture, "host=h&path=/none/", 404);
  ask(Fixture, "host=h&path=/safe/a&organisation=acme", 404);
  routing Routing = routingOf(2);
  Routing.Organisations.emplace();
  Routing.Organisations->emplace("acme", organisation{"acme", 1, 50, 9});
  Routing.Keys.add(digestOf("ka"), "acme");
  Routing.Keys.seal();
  Fixture.Relay->setRouting(Routing);
  ask(Fixture, "host=h&path=/safe/a&organisation=bolt", 404);
  json Report = ask(Fixture, "host=h&path=/safe/a&organisation=acme");
  CHECK(Report["organisation"]["rate_per_s"] == 50);
  CHECK(Report["admission"]["rank"] == 1);
  CHECK(Report.dump().find(hexOf(digestOf("ka"))) == std::string::npos);
  CHECK(ask(Fixture, "host=h&path=/safe/a")["admission"]["status"] == 401);
  auto Question = readWhereQuestion("host=h&path=/safe/a&organisation=acme");
  Question->KeysAreCurrent = false;
  CHECK(json::parse(
            Fixture.Relay->where(*Question).Json)["admission"]["status"] ==
        503);
}
