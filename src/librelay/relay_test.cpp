// Calls on their way between callers and upstreams.

#include "test_relay_pvt.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

TEST_CASE("a call is passed on as it is, with the time left and the upstream") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/7?x=%20y", "c1",
                        "X-Pin: 9\r\nX-Own: kept\r\nX-Expect: evil\r\n"
                        "Connection: X-Hop\r\nX-Hop: 1\r\n",
                        "track 4"));
  REQUIRE(F.received(F.Tools, "track 4"));
  const std::string &Seen = F.Tools.Connections[0]->Input;
  CHECK(Seen.starts_with("POST /book/7?x=%20y HTTP/1.1\r\n"));
  CHECK(Seen.find("X-Own: kept") != std::string::npos);
  CHECK(Seen.find("X-Expect: tool-1") != std::string::npos);
  CHECK(Seen.find("evil") == std::string::npos);
  CHECK(Seen.find("X-Pin") == std::string::npos);
  CHECK(Seen.find("X-Hop") == std::string::npos);
  F.Tools.send(0, answerTo("c1", "booked", "201 Created", "X-Mac: m\r\n"));
  REQUIRE(Caller.waitsFor("booked"));
  CHECK(Caller.has("HTTP/1.1 201 Created"));
  CHECK(Caller.has("X-Mac: m"));
}

TEST_CASE("what no route allows is 404, without a configuration 503") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/none/", "c1"));
  REQUIRE(Caller.waitsFor("no route"));
  CHECK(Caller.has("404"));
  caller Second(F.Address);
  Second.send("GET /safe/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Second.waitsFor("X-Call"));
  CHECK(Second.has("HTTP/1.1 400"));
}

TEST_CASE("an older configuration never replaces a newer one") {
  fixture F;
  F.Relay->setRouting(routingOf(9));
  F.Relay->setRouting(routingOf(4));
  CHECK(F.Relay->routingInForce().Version == 9);
}

TEST_CASE("what must not be repeated is sent once, whatever becomes of it") {
  fixture F;
  F.put("tool-2", "tools", F.OtherTools);
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(turnUntil([&] {
    return F.Tools.Connections.size() + F.OtherTools.Connections.size() == 1;
  }));
  raw_server &First = F.Tools.Connections.empty() ? F.OtherTools : F.Tools;
  raw_server &Other = F.Tools.Connections.empty() ? F.Tools : F.OtherTools;
  REQUIRE(F.received(First, "X-Call: c1"));
  SUBCASE("broken off: nothing is promised") {
    First.close(0);
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 502"));
    CHECK(Other.Connections.empty());
  }
  SUBCASE("not run: another has it") {
    First.send(0, answerTo("c1", "", "503 Busy", "X-Not-Run: 1\r\n"));
    REQUIRE(F.received(Other, "X-Call: c1"));
    Other.send(0, answerTo("c1", "done"));
    REQUIRE(Caller.waitsFor("done"));
  }
  SUBCASE("not run by any: refused, with a time to come back") {
    First.send(0, answerTo("c1", "", "421 No", "X-Instance: x\r\n"));
    REQUIRE(F.received(Other, "X-Call: c1"));
    Other.send(0, answerTo("c1", "", "503 Busy", "X-Not-Run: 1\r\n"));
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 503"));
    CHECK(Caller.has("Retry-After: 0."));
  }
}

TEST_CASE("what may be repeated goes to another upstream when one breaks off") {
  fixture F;
  F.put("tool-2", "tools", F.OtherTools);
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/1", "c1"));
  REQUIRE(turnUntil([&] {
    return F.Tools.Connections.size() + F.OtherTools.Connections.size() == 1;
  }));
  raw_server &First = F.Tools.Connections.empty() ? F.OtherTools : F.Tools;
  raw_server &Other = F.Tools.Connections.empty() ? F.Tools : F.OtherTools;
  REQUIRE(F.received(First, "X-Call: c1"));
  First.send(0,
             "HTTP/1.1 200 OK\r\nX-Call: c1\r\nContent-Length: 9\r\n\r\nhalf");
  First.close(0);
  REQUIRE(F.received(Other, "X-Call: c1"));
  Other.send(0, answerTo("c1", "whole"));
  REQUIRE(Caller.waitsFor("whole"));
  CHECK(!Caller.has("half"));
}

TEST_CASE("what an upstream may have run is never told not to have run") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/x", "r1"));
  REQUIRE(F.received(F.Tools, "X-Call: r1"));
  F.Relay->removeUpstream("tool-1", milliseconds(0));
  F.Tools.close(0);
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("502 Bad Gateway"));
}

TEST_CASE("budget_request_is_asked_about_again_before_each_send") {
  // It was judged once, as it came: a call that was to be repeated, or had
  // waited, went to an upstream although it was condemned by then.
  fixture F;
  F.put("tool-2", "tools", F.OtherTools);
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/x", "r1"));
  REQUIRE(turnUntil([&] {
    return !F.Tools.Connections.empty() || !F.OtherTools.Connections.empty();
  }));
  bool First = !F.Tools.Connections.empty();
  raw_server &Had = First ? F.Tools : F.OtherTools;
  raw_server &Free = First ? F.OtherTools : F.Tools;
  REQUIRE(F.received(Had, "X-Call: r1"));
  // Other hosts have seen three ends under it meanwhile.
  sched::poison_entry Entry;
  Entry.Fingerprint =
      relay::crash_tracker::fingerprintsOf("", "/safe/x", "").Exact;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Entry.Crashes.push_back({I, milliseconds(10), "u", "h"});
  F.Relay->crashTracker().merge(std::span(&Entry, 1), steadyNow());
  Had.close(0);
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("502 Bad Gateway"));
  CHECK(Free.Connections.empty());
  // When it comes again it is refused at once, not run.
  Caller.send(F.request("GET", "/safe/x", "r2"));
  REQUIRE(Caller.waitsFor("503"));
  CHECK(Caller.has("several upstreams ended"));
  CHECK(Free.Connections.empty());
}

TEST_CASE("budget_end_of_an_upstream_that_closes_its_listener_last") {
  // The first look found the listener, and the end was not counted (soak,
  // seed 5): a process that ends closes its descriptors in any order.
  fixture F;
  auto Dying = std::make_unique<raw_server>();
  F.Relay->removeUpstream("tool-1", milliseconds(0));
  F.put("tool-9", "tools", *Dying);
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/book/x", "b1"));
  REQUIRE(F.received(*Dying, "X-Call: b1"));
  Dying->close(0);
  REQUIRE(turnUntil([&] { return Dying->Connections.size() == 2; }));
  Dying.reset();
  auto Fingerprint =
      relay::crash_tracker::fingerprintsOf("", "/book/x", "").Exact;
  CHECK(turnUntil([&] {
    return F.Relay->crashTracker().crashesOf(Fingerprint, steadyNow()).size() ==
           1;
  }));
}

TEST_CASE("a caller that leaves takes its call off the upstream") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  Caller.Readable.reset();
  g_socket_close(Caller.Socket.get(), nullptr);
  REQUIRE(turnUntil([&] { return F.Tools.Connections[0]->Closed; }));
  CHECK(F.Relay->callsUnderWay() == 0);
}

TEST_CASE("a call without an answer is ended at its route's time") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 504"));
}

TEST_CASE("a stopping host refuses what can't end before it does") {
  // A zone with too few hosts in rotation still sends callers to one that
  // stops; a stream that it took late was cut with the process.
  fixture F;
  F.Relay->drain(milliseconds(500));
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 503"));
  CHECK(Caller.has("Connection: close"));
  CHECK(F.Tools.Connections.empty());
}

TEST_CASE("idle connections stay within this host's share of the limit") {
  // Upstreams reset connections above their limit, with calls on them.
  fixture F;
  relay::routing Routing = routingOf(2);
  Routing.Services["tools"].ConnectionLimit = 4;
  F.Relay->setRouting(Routing);
  F.Relay->setEntryHosts(2);
  caller First(F.Address);
  caller Second(F.Address);
  First.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  Second.send(F.request("POST", "/book/2", "c2", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c2"));
  F.Tools.send(0, answerTo("c1", "one"));
  F.Tools.send(1, answerTo("c2", "two"));
  REQUIRE(First.waitsFor("one"));
  REQUIRE(Second.waitsFor("two"));
  F.Relay->publish();
  CHECK(F.Metrics.value("upstream_connections", "") == 1);
}
