// Calls from callers to upstreams through the relay.

#include "test_relay_pvt.h"

#include <sys/socket.h>

using namespace turmerichead;
using namespace turmerichead::pvt;

TEST_CASE("a call is forwarded unchanged but for the headers of the system") {
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

TEST_CASE("no matching route is 404, a missing call id 400") {
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

TEST_CASE("an older configuration does not replace a newer one") {
  fixture F;
  F.Relay->setRouting(routingOf(9));
  F.Relay->setRouting(routingOf(4));
  CHECK(F.Relay->routingInForce().Version == 9);
}

TEST_CASE("an unsafe call is not retried after it may have run") {
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
  SUBCASE("connection lost: the answer does not say whether it was run") {
    First.close(0);
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 502"));
    CHECK(Other.Connections.empty());
  }
  SUBCASE("not run: another upstream gets it") {
    First.send(0, answerTo("c1", "", "503 Busy", "X-Not-Run: 1\r\n"));
    REQUIRE(F.received(Other, "X-Call: c1"));
    Other.send(0, answerTo("c1", "done"));
    REQUIRE(Caller.waitsFor("done"));
  }
  SUBCASE("not run by any: refused, with a retry time") {
    First.send(0, answerTo("c1", "", "421 No", "X-Instance: x\r\n"));
    REQUIRE(F.received(Other, "X-Call: c1"));
    Other.send(0, answerTo("c1", "", "503 Busy", "X-Not-Run: 1\r\n"));
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 503"));
    CHECK(Caller.has("Retry-After: 0."));
  }
}

TEST_CASE("refused_call_that_ran_after_a_repeated_refusal") {
  // A call that was refused was sent again over the same connection, under the
  // same id. A faulty upstream that wrote its refusal once more had the call
  // reported as not run, or sent elsewhere, while it ran.
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  std::string Refusal = answerTo("c1", "", "503 Busy", "X-Not-Run: 1\r\n");
  F.Tools.Connections[0]->Input.clear();
  F.Tools.send(0, Refusal);
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  std::size_t Second = F.connectionOf(F.Tools, "X-Call: c1");
  F.Tools.send(0, Refusal);
  turnFor(milliseconds(50));
  F.Tools.send(Second, answerTo("c1", "booked"));
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("HTTP/1.1 200"));
  CHECK(!Caller.has("HTTP/1.1 503"));
}

TEST_CASE("a safe call is retried at another upstream after a failure") {
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

TEST_CASE("a call that may have run is never reported as not run") {
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
  // Quarantine was checked only on arrival: a call that was retried, or had
  // waited, was sent although its request was quarantined by then.
  fixture F;
  F.put("tool-2", "tools", F.OtherTools);
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/x", "r1"));
  REQUIRE(turnUntil([&] {
    return !F.Tools.Connections.empty() || !F.OtherTools.Connections.empty();
  }));
  bool First = !F.Tools.Connections.empty();
  raw_server &Used = First ? F.Tools : F.OtherTools;
  raw_server &Unused = First ? F.OtherTools : F.Tools;
  REQUIRE(F.received(Used, "X-Call: r1"));
  // Meanwhile other hosts report three crashes during this request.
  sched::poison_entry Entry;
  Entry.Fingerprint =
      relay::crash_tracker::fingerprintsOf("", "/safe/x", "").Exact;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Entry.Crashes.push_back({I, milliseconds(10), "u", "h"});
  F.Relay->crashTracker().merge(std::span(&Entry, 1), steadyNow());
  Used.close(0);
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("502 Bad Gateway"));
  CHECK(Unused.Connections.empty());
  // The next attempt is refused at once and not run.
  Caller.send(F.request("GET", "/safe/x", "r2"));
  REQUIRE(Caller.waitsFor("503"));
  CHECK(Caller.has("several upstreams ended"));
  CHECK(Unused.Connections.empty());
}

TEST_CASE("budget_end_of_an_upstream_that_closes_its_listener_last") {
  // The first probe still reached the listener, and the crash was not counted
  // (soak, seed 5): an exiting process closes its descriptors in any order.
  fixture F;
  auto Exiting = std::make_unique<raw_server>();
  F.Relay->removeUpstream("tool-1", milliseconds(0));
  F.put("tool-9", "tools", *Exiting);
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/book/x", "b1"));
  REQUIRE(F.received(*Exiting, "X-Call: b1"));
  Exiting->close(0);
  REQUIRE(turnUntil([&] { return Exiting->Connections.size() == 2; }));
  Exiting.reset();
  auto Fingerprint =
      relay::crash_tracker::fingerprintsOf("", "/book/x", "").Exact;
  CHECK(turnUntil([&] {
    return F.Relay->crashTracker().crashesOf(Fingerprint, steadyNow()).size() ==
           1;
  }));
}

TEST_CASE("the upstream call is cancelled when its caller disconnects") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  Caller.Readable.reset();
  g_socket_close(Caller.Socket.get(), nullptr);
  REQUIRE(turnUntil([&] { return F.Tools.Connections[0]->Closed; }));
  CHECK(F.Relay->callsUnderWay() == 0);
}

TEST_CASE("a call without an answer fails at the timeout of its route") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 504"));
}

TEST_CASE("a stopping host refuses calls with a deadline after its exit") {
  // A data centre with too few hosts in rotation still routes callers to a
  // stopping host. A stream that it accepted late was cut off when the process
  // exited.
  fixture F;
  F.Relay->drain(milliseconds(500));
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 503"));
  CHECK(Caller.has("Connection: close"));
  CHECK(F.Tools.Connections.empty());
}

TEST_CASE("idle connections stay within the share of this host") {
  // Upstreams reset connections above their limit, even with calls in flight.
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

TEST_CASE("an answer without a length that was reset during the upload is not "
          "passed on as complete") {
  for (std::string Path : {"/book/1", "/safe/1", "/talk/1"}) {
    CAPTURE(Path);
    bool Streams = Path == "/talk/1";
    fixture F;
    raw_server &Server = Streams ? F.Llm : F.Tools;
    int BufferBytes = 4096;
    setsockopt(g_socket_get_fd(Server.socket()), SOL_SOCKET, SO_RCVBUF,
               &BufferBytes, sizeof(BufferBytes));
    Server.Reading = false;
    caller Caller(F.Address);
    std::string Unsent =
        F.request("POST", Path, "c1", "", std::string(1U << 20U, 'u'));
    REQUIRE(turnUntil([&] {
      gssize Count = g_socket_send(Caller.Socket.get(), Unsent.data(),
                                   Unsent.size(), nullptr, nullptr);
      Unsent.erase(0, Count > 0 ? static_cast<std::size_t>(Count) : 0);
      return Unsent.empty();
    }));
    REQUIRE(turnUntil([&] { return Server.Connections.size() == 1; }));
    turnFor(milliseconds(50)); // The buffers fill.
    Server.send(0, "HTTP/1.1 200 OK\r\nX-Call: c1\r\n\r\ndata: part\n\n");
    turnFor(milliseconds(50));
    g_socket_shutdown(Server.Connections[0]->Socket.get(), FALSE, TRUE,
                      nullptr);
    REQUIRE(Caller.waitsFor(Streams ? "no such text" : "\r\n\r\n"));
    if (Streams)
      CHECK(!Caller.has("0\r\n\r\n"));
    else
      CHECK(Caller.has("HTTP/1.1 5")); // A repeat may end otherwise.
  }
}

TEST_CASE("an answer that breaks the grammar ends the call and is counted") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", "", "text"));
  REQUIRE(F.received(F.Tools, "text"));
  std::string Reason;
  std::string Answer;
  SUBCASE("status") {
    Answer = answerTo("c1", "body", "600 Odd");
    Reason = "start_line";
  }
  SUBCASE("folded line") {
    Answer = answerTo("c1", "body", "200 OK", "X-A: 1\r\n 2\r\n");
    Reason = "field";
  }
  SUBCASE("two codings") {
    Answer = answerTo("c1", "body", "200 OK",
                      "Transfer-Encoding: chunked, gzip\r\n");
    Reason = "coding";
  }
  F.Tools.send(0, Answer);
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("HTTP/1.1 502"));
  CHECK(F.Metrics.value("upstream_answers_refused_total",
                        "reason=\"" + Reason + "\"") == 1);
}
