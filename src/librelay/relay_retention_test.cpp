// How long the disk hosts retain the turns and the spending of a program.

#include "test_relay_pvt.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

constexpr milliseconds Retention{2000};
constexpr milliseconds RouteTimeout{4000};
// Disk hosts remove expired records once a second.
constexpr milliseconds ExpiryDelay{1300};

/// A relay whose turns are retained for a short time.
struct retention_fixture : fixture {
  retention_fixture() {
    relay::routing Routing = routingOf(2);
    for (relay::route &Route : Routing.Routes) {
      Route.Timeout = RouteTimeout;
      if (Route.Retention.count() > 0)
        Route.Retention = Retention;
    }
    Relay->setRouting(Routing);
  }
  std::string turn(std::string_view Id, std::string_view ExtraHeaders,
                   std::string_view Body) {
    std::string Headers = "X-Program: p\r\n" + std::string(ExtraHeaders);
    std::string Text = request("POST", "/plan/1", Id, Headers, Body);
    constexpr std::string_view ShortTime = "X-Left: 1500";
    return Text.replace(Text.find(ShortTime), ShortTime.size(), "X-Left: 4000");
  }
  /// Sends a turn, has it answered with one event, and returns once the caller
  /// has the end of the answer.
  void answerTurn(std::string_view Id, std::string_view ExtraHeaders,
                  std::string_view Body, milliseconds RunTime) {
    caller Caller(Address);
    Caller.send(turn(Id, ExtraHeaders, Body));
    REQUIRE(received(Llm, Body));
    turnFor(RunTime);
    std::size_t Runner = connectionOf(Llm, Body);
    Llm.send(Runner,
             streamHead(Id) + chunk("data: e\n\n") + std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    REQUIRE(Caller.has("0\r\n\r\n"));
  }
};

} // namespace

// A chain expired while its next turn ran, and that turn, answered whole, could
// never be continued.
TEST_CASE("turn_that_outlasts_the_retention_of_its_chain_can_be_continued") {
  retention_fixture F;
  F.answerTurn("t1", {}, "[in1]", milliseconds(0));
  turnFor(Retention - milliseconds(500));
  F.answerTurn("t2", "X-Previous: t1\r\n", "[in2]",
               milliseconds(500) + ExpiryDelay);
  caller Caller(F.Address);
  Caller.send(F.turn("t3", "X-Previous: t2\r\n", "[in3]"));
  turnUntil([&] {
    return Caller.has("HTTP/1.1") ||
           F.Llm.Connections[fixture::connectionOf(F.Llm, "[in3]")]->Input.find(
               "[in1]e\n[in2]e\n[in3]") != std::string::npos;
  });
  CHECK_MESSAGE(!Caller.has("HTTP/1.1"), Caller.Input);
}

// A program that was stopped at its budget got the whole budget again: its next
// request was sent within the retention and waited at a host that had frozen.
TEST_CASE("request_delayed_on_its_way_finds_the_spending_of_its_program") {
  retention_fixture F;
  std::string Budget = "X-Budget: 20\r\nX-Tokens: 5,20\r\n";
  F.answerTurn("t1", Budget, "[in1]", milliseconds(0));
  auto IsStopped = [&](std::string_view Id, std::string_view Body) {
    caller Caller(F.Address);
    Caller.send(F.turn(Id, Budget, Body));
    std::size_t Requests = F.Llm.Connections[0]->Input.size();
    turnUntil([&] {
      return Caller.has("HTTP/1.1") ||
             F.Llm.Connections[0]->Input.size() > Requests;
    });
    return Caller.has("HTTP/1.1 402");
  };
  // One event of 10 tokens was handed out, so 20 more would be too many.
  REQUIRE(IsStopped("t2", "[in2]"));
  constexpr milliseconds FrozenFor{5000};
  turnFor(Retention + FrozenFor);
  CHECK(IsStopped("t3", "[in3]"));
}
