// Hedged requests through the relay.

#include "test_relay_pvt.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

// So many answers give a percentile, and a budget of several hedges.
constexpr int WarmUpCalls = 40;
constexpr std::uint32_t HedgePercent = 50;
/// Time in which a hedge would be sent, if one were.
constexpr milliseconds WellAfterDelay{200};

/// A relay with two upstreams that has the times of enough answers.
struct hedge_fixture : fixture {
  explicit hedge_fixture(std::uint32_t Percent = HedgePercent)
      : fixture(Percent) {
    put("tool-2", "tools", OtherTools);
    caller Caller(Address);
    for (int I = 0; I < WarmUpCalls; ++I) {
      std::string Id = "w" + std::to_string(I) + ";";
      Caller.send(request("GET", "/safe/w", Id));
      raw_server &Server = serverOf(Id);
      Server.send(connectionOf(Server, "X-Call: " + Id), answerTo(Id, Id));
      REQUIRE(Caller.waitsFor("\r\n\r\n" + Id));
    }
  }
  static bool hasCall(const raw_server &Server, std::string_view Id) {
    for (const auto &Row : Server.Connections)
      if (Row->Input.find("X-Call: " + std::string(Id)) != std::string::npos)
        return true;
    return false;
  }
  /// Returns the server that gets the call first.
  raw_server &serverOf(std::string_view Id) {
    REQUIRE(turnUntil(
        [&] { return hasCall(Tools, Id) || hasCall(OtherTools, Id); }));
    return hasCall(Tools, Id) ? Tools : OtherTools;
  }
  raw_server &otherThan(const raw_server &Server) {
    return &Server == &Tools ? OtherTools : Tools;
  }
  void answer(raw_server &Server, std::string_view Id, std::string_view Body,
              std::string_view Status = "200 OK",
              std::string_view Headers = {}) {
    Server.send(connection(Server, Id), answerTo(Id, Body, Status, Headers));
  }
  static std::size_t connection(const raw_server &Server, std::string_view Id) {
    return connectionOf(Server, "X-Call: " + std::string(Id));
  }
  bool isClosed(raw_server &Server, std::string_view Id) {
    std::size_t Index = connection(Server, Id);
    return turnUntil([&] { return Server.Connections[Index]->Closed; });
  }
  double hedges(std::string_view Result) const {
    return Metrics.value("hedges_total",
                         "result=\"" + std::string(Result) + "\"");
  }
  std::size_t inFlight() const { return Relay->upstreams().inFlight("tools"); }
};

constexpr std::string_view NotRun = "X-Not-Run: 1\r\n";

/// A call whose first attempt has no head and whose hedge was sent.
struct hedged_call : hedge_fixture {
  caller Caller{Address};
  raw_server *First = nullptr;
  raw_server *Second = nullptr;

  hedged_call() {
    Caller.send(request("GET", "/safe/1", "c1", {}, "ask"));
    First = &serverOf("c1");
    Second = &otherThan(*First);
    REQUIRE(received(*Second, "X-Call: c1"));
    CHECK(hedges("sent") == 1);
    CHECK(inFlight() == 2);
  }
  /// Closes the caller's connection, which is counted while it is open, and
  /// returns whether nothing is held then.
  bool releasesMemory() {
    Caller.Readable.reset();
    g_socket_close(Caller.Socket.get(), nullptr);
    return turnUntil([&] { return Relay->heldBytes() == 0; });
  }
};

} // namespace

TEST_CASE("a hedge that answers first gives its answer, the first is closed") {
  hedged_call F;
  const std::string &Seen =
      F.Second->Connections[F.connection(*F.Second, "c1")]->Input;
  std::size_t Begin = Seen.find("X-Call: c1");
  CHECK(Seen.find("ask", Begin) != std::string::npos);
  // The hedge is told the time that is left then, not that of the first.
  CHECK(Seen.find("X-Left: 1500", Begin) == std::string::npos);
  F.answer(*F.Second, "c1", "second");
  REQUIRE(F.Caller.waitsFor("second"));
  CHECK(F.Caller.has("HTTP/1.1 200"));
  CHECK(F.isClosed(*F.First, "c1"));
  CHECK(F.inFlight() == 0);
  CHECK(F.hedges("won") == 1);
  CHECK(F.hedges("cancelled") == 0);
  CHECK(F.Relay->callsUnderWay() == 0);
  CHECK(F.releasesMemory());
}

TEST_CASE("a first attempt that answers first cancels the hedge") {
  hedged_call F;
  // A head alone does not win: its body may be slow or break off.
  F.Second->send(F.connection(*F.Second, "c1"),
                 "HTTP/1.1 200 OK\r\nX-Call: c1\r\n"
                 "Content-Length: 9\r\n\r\nhalf");
  turnFor(milliseconds(20));
  F.answer(*F.First, "c1", "first");
  REQUIRE(F.Caller.waitsFor("first"));
  CHECK(!F.Caller.has("half"));
  CHECK(F.isClosed(*F.Second, "c1"));
  CHECK(F.inFlight() == 0);
  CHECK(F.hedges("won") == 0);
  CHECK(F.hedges("cancelled") == 1);
  CHECK(F.releasesMemory());
}

TEST_CASE("an attempt that fails leaves the call to the other one") {
  // A failure must neither end the call nor use up its answer.
  hedged_call F;
  bool FirstFails = false;
  SUBCASE("the first breaks") {
    FirstFails = true;
    F.First->close(F.connection(*F.First, "c1"));
  }
  SUBCASE("the hedge breaks") {
    F.Second->close(F.connection(*F.Second, "c1"));
  }
  SUBCASE("the first did not run it") {
    FirstFails = true;
    F.answer(*F.First, "c1", "", "503 Busy", NotRun);
  }
  SUBCASE("the hedge did not run it") {
    F.answer(*F.Second, "c1", "", "503 Busy", NotRun);
  }
  SUBCASE("the hedge answers with an error") {
    F.answer(*F.Second, "c1", "broken", "500 Error");
  }
  SUBCASE("the hedge answers 429") {
    F.answer(*F.Second, "c1", "many", "429 Many");
  }
  REQUIRE(turnUntil([&] { return F.inFlight() == 1; }));
  turnFor(milliseconds(20));
  CHECK(F.Caller.Input.empty());
  F.answer(FirstFails ? *F.Second : *F.First, "c1", "done");
  REQUIRE(F.Caller.waitsFor("done"));
  CHECK(F.Caller.has("HTTP/1.1 200"));
  CHECK(F.hedges("won") == (FirstFails ? 1 : 0));
  CHECK(F.inFlight() == 0);
  CHECK(F.releasesMemory());
}

TEST_CASE("503 means that neither attempt of a hedged call may have run") {
  hedged_call F;
  std::string_view Status;
  SUBCASE("neither ran") {
    F.answer(*F.First, "c1", "", "503 Busy", NotRun);
    REQUIRE(turnUntil([&] { return F.inFlight() == 1; }));
    F.answer(*F.Second, "c1", "", "503 Busy", NotRun);
    Status = "HTTP/1.1 503";
  }
  SUBCASE("the first broke, the hedge did not run") {
    F.First->close(F.connection(*F.First, "c1"));
    REQUIRE(turnUntil([&] { return F.inFlight() == 1; }));
    F.answer(*F.Second, "c1", "", "503 Busy", NotRun);
    Status = "HTTP/1.1 502";
  }
  SUBCASE("the hedge broke, the first says 429 without the header") {
    F.Second->close(F.connection(*F.Second, "c1"));
    REQUIRE(turnUntil([&] { return F.inFlight() == 1; }));
    F.answer(*F.First, "c1", "", "429 Many");
    Status = "HTTP/1.1 502";
  }
  SUBCASE("the hedge ran into an error, the first did not run") {
    F.answer(*F.Second, "c1", "", "500 Error");
    REQUIRE(turnUntil([&] { return F.inFlight() == 1; }));
    F.answer(*F.First, "c1", "", "421 No");
    Status = "HTTP/1.1 502";
  }
  REQUIRE(F.Caller.waitsFor("\r\n\r\n"));
  CHECK(F.Caller.has(Status));
  CHECK(F.inFlight() == 0);
  CHECK(F.Relay->callsUnderWay() == 0);
}

TEST_CASE("both attempts end when their call ends") {
  // A hedge that went on would hold its slot for a caller that has gone.
  hedged_call F;
  SUBCASE("the caller leaves") {
    F.Caller.Readable.reset();
    g_socket_close(F.Caller.Socket.get(), nullptr);
  }
  SUBCASE("the time is over") {
    REQUIRE(F.Caller.waitsFor("\r\n\r\n"));
    CHECK(F.Caller.has("HTTP/1.1 504"));
  }
  SUBCASE("the process exits") {
    F.Relay->endDrain();
    REQUIRE(F.Caller.waitsFor("\r\n\r\n"));
    CHECK(F.Caller.has("HTTP/1.1 504"));
  }
  CHECK(F.isClosed(*F.First, "c1"));
  CHECK(F.isClosed(*F.Second, "c1"));
  CHECK(F.inFlight() == 0);
  CHECK(F.hedges("cancelled") == 1);
}

TEST_CASE("crashes of either upstream count against a hedged request") {
  // The upstream of the cancelled attempt may have crashed during the request.
  hedged_call F;
  F.answer(*F.Second, "c1", "second");
  REQUIRE(F.Caller.waitsFor("second"));
  bool FirstIsTools = F.First == &F.Tools;
  F.Relay->putUpstream({FirstIsTools ? "tool-8" : "tool-9", "tools",
                        addressOf(F.First->port()), "dc", 4, true, 2});
  auto Fingerprint =
      relay::crash_tracker::fingerprintsOf("", "/safe/1", "ask").Exact;
  CHECK(F.Relay->crashTracker().crashesOf(Fingerprint, steadyNow()).size() ==
        1);
}

TEST_CASE("calls that are never hedged") {
  hedge_fixture F;
  caller Caller(F.Address);
  std::string Path = "/safe/1";
  relay::routing Routing = routingOf(2);
  double Denied = 0;
  SUBCASE("unsafe") { Path = "/book/1"; }
  SUBCASE("one attempt in the route") { Routing.Routes[0].Attempts = 1; }
  SUBCASE("a stream") {
    Routing.Routes[3].Services = {{"tools", 1}};
    Path = "/talk/1";
  }
  SUBCASE("the only other upstream has the same address") {
    F.Relay->removeUpstream("tool-2", milliseconds(0));
    F.put("tool-3", "tools", F.Tools);
    Denied = 1;
  }
  SUBCASE("the request has crashed an upstream") {
    sched::poison_entry Entry;
    Entry.Fingerprint =
        relay::crash_tracker::fingerprintsOf("", "/safe/1", "b").Exact;
    Entry.Crashes.push_back({1, milliseconds(10), "u", "h"});
    F.Relay->crashTracker().merge(std::span(&Entry, 1), steadyNow());
    Denied = 1;
  }
  F.Relay->setRouting(Routing);
  Caller.send(F.request("POST", Path, "c1", {}, "b"));
  raw_server &First = F.serverOf("c1");
  turnFor(WellAfterDelay);
  CHECK(!F.hasCall(F.otherThan(First), "c1"));
  CHECK(F.hedges("sent") == 0);
  CHECK(F.hedges("denied") == Denied);
  CHECK(F.inFlight() == 1);
}

TEST_CASE("no hedge goes to a pool that refuses or names a limit") {
  hedge_fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/0", "c0"));
  raw_server &Server = F.serverOf("c0");
  SUBCASE("an answer named a limit") {
    F.answer(Server, "c0", "limited", "200 OK", "X-Limit: 1000\r\n");
  }
  SUBCASE("an upstream refused a call") {
    F.answer(Server, "c0", "limited", "429 Many");
  }
  REQUIRE(Caller.waitsFor("limited"));
  Caller.send(F.request("GET", "/safe/1", "c1"));
  raw_server &First = F.serverOf("c1");
  turnFor(WellAfterDelay);
  CHECK(!F.hasCall(F.otherThan(First), "c1"));
  CHECK(F.hedges("sent") == 0);
  CHECK(F.hedges("denied") == 1);
}

TEST_CASE("without a share of hedges, a slow call has one attempt") {
  hedge_fixture F(0);
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/1", "c1"));
  raw_server &First = F.serverOf("c1");
  turnFor(WellAfterDelay);
  CHECK(!F.hasCall(F.otherThan(First), "c1"));
  CHECK(F.hedges("denied") == 0);
}

TEST_CASE("a hedge without a connection leaves the call to the first") {
  hedge_fixture F;
  F.Relay->removeUpstream("tool-2", milliseconds(0));
  // The first attempt goes to the upstream in the host's data centre.
  F.Relay->putUpstream({"tool-4", "tools", freeAddress(), "far", 4, true, 1});
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/1", "c1"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  CHECK(turnUntil([&] { return F.hedges("sent") == 1; }));
  CHECK(turnUntil([&] { return F.inFlight() == 1; }));
  F.answer(F.Tools, "c1", "done");
  REQUIRE(Caller.waitsFor("done"));
  CHECK(F.hedges("cancelled") == 0);
}

TEST_CASE("a host whose share of the slots is below one sends hedges") {
  // An attempt counted itself as load of the pool. Where there are more hosts
  // than slots, no host sent any hedge.
  hedge_fixture F;
  F.Relay->setEntryHosts(10);
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/1", "c1"));
  raw_server &First = F.serverOf("c1");
  CHECK(F.received(F.otherThan(First), "X-Call: c1"));
}
