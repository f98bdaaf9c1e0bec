// Turns that ask for a free slot before they are sent.

#include "test_relay_pvt.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

/// A relay before two model runners, while a call is under way.
struct busy_relay {
  fixture F;
  raw_server OtherLlm;
  caller First;
  caller Caller;

  busy_relay() : First(F.Address), Caller(F.Address) {
    relay::routing Routing = routingOf(2);
    Routing.Services["llm"].SlotTime = milliseconds(2000);
    F.Relay->setRouting(Routing);
    F.put("llm-2", "llm", OtherLlm);
    // Each host's share of the slots is small, so that one call is much.
    F.Relay->setEntryHosts(100);
    First.send(F.request("POST", "/plan/1", "t0", {}, "[in]"));
    REQUIRE(turnUntil([&] { return has("X-Call: t0").has_value(); }));
    Caller.send(F.request("POST", "/plan/1", "t1",
                          "X-Tokens: 5,40\r\nX-Slot: stolen\r\n", "[in]"));
  }

  /// Where a text has come last: the server and its connection.
  struct place {
    raw_server *Server;
    std::size_t Connection;
  };
  std::optional<place> has(std::string_view Text) {
    for (raw_server *Server : {&F.Llm, &OtherLlm})
      for (std::size_t I = 0; I < Server->Connections.size(); ++I)
        if (Server->Connections[I]->Input.find(Text) != std::string::npos)
          return place{Server, I};
    return std::nullopt;
  }
  place waitFor(std::string_view Text) {
    REQUIRE(turnUntil([&] { return has(Text).has_value(); }));
    return *has(Text);
  }
  /// The question that is asked now; its text is taken away.
  place question() {
    place Place = waitFor("POST /slot");
    REQUIRE(turnUntil([&] {
      return Place.Server->Connections[Place.Connection]->Input.find(
                 "45 500") != std::string::npos;
    }));
    Place.Server->Connections[Place.Connection]->Input.clear();
    return Place;
  }
  void answer(const place &Place, std::string_view Status,
              std::string_view Body) {
    Place.Server->send(Place.Connection, "HTTP/1.1 " + std::string(Status) +
                                             "\r\nContent-Length: " +
                                             std::to_string(Body.size()) +
                                             "\r\n\r\n" + std::string(Body));
  }
  std::string inputAt(const place &Place) {
    return Place.Server->Connections[Place.Connection]->Input;
  }
};

} // namespace

TEST_CASE("a turn goes to the upstream that keeps a slot for it") {
  // In bursts turns waited behind others at full runners while there was room
  // at the next.
  busy_relay Busy;
  auto Full = Busy.question();
  Busy.answer(Full, "503 Full", "");
  auto Free = Busy.question();
  CHECK(Free.Server != Full.Server);
  Busy.answer(Free, "200 OK", "s7");
  auto Sent = Busy.waitFor("X-Call: t1");
  CHECK(Sent.Server == Free.Server);
  CHECK(Busy.inputAt(Sent).find("X-Slot: s7") != std::string::npos);
  CHECK(Busy.inputAt(Sent).find("stolen") == std::string::npos);
}

TEST_CASE("where no slot is free a turn waits at its first choice") {
  busy_relay Busy;
  auto First = Busy.question();
  SUBCASE("all are full") {
    Busy.answer(First, "503 Full", "");
    Busy.answer(Busy.question(), "503 Full", "");
  }
  SUBCASE("what is answered holds no slot") {
    Busy.answer(First, "200 OK", "");
    Busy.answer(Busy.question(), "200 OK", "");
  }
  SUBCASE("nothing is answered") { Busy.question(); }
  auto Sent = Busy.waitFor("X-Call: t1");
  CHECK(Sent.Server == First.Server);
  CHECK(Busy.inputAt(Sent).find("X-Slot") == std::string::npos);
}

TEST_CASE("an upstream that can't be asked is passed over") {
  busy_relay Busy;
  auto First = Busy.question();
  First.Server->close(First.Connection);
  auto Second = Busy.question();
  CHECK(Second.Server != First.Server);
  Busy.answer(Second, "200 OK", "s8");
  auto Sent = Busy.waitFor("X-Call: t1");
  CHECK(Sent.Server == Second.Server);
}

TEST_CASE("in calm no slot is asked for") {
  fixture F;
  relay::routing Routing = routingOf(2);
  Routing.Services["llm"].SlotTime = milliseconds(2000);
  F.Relay->setRouting(Routing);
  caller Caller(F.Address);
  for (std::string Id : {"t1", "t2"}) {
    Caller.send(F.request("POST", "/plan/1", Id, {}, "[in]"));
    REQUIRE(F.received(F.Llm, "X-Call: " + Id));
    F.Llm.send(0, streamHead(Id) + std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    Caller.Input.clear();
  }
  CHECK(F.Llm.Connections[0]->Input.find("/slot") == std::string::npos);
}
