// Upstreams that say in their answers that they leave, while the store still
// calls them ready.

#include "test_relay_pvt.h"
#include "turmerichead/relay_leaving_gossip.h"

#include <deque>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

constexpr std::string_view Leaving = "X-Leaving: 1\r\n";

struct leaving_fixture : fixture {
  raw_server OtherLlm;
  std::deque<caller> Callers;

  void putTool(std::int64_t StartedMs) {
    Relay->putUpstream(
        {"tool-1", "tools", addressOf(Tools.port()), "dc", 4, true, StartedMs});
  }
  caller &call(std::string_view Method, std::string_view Path,
               std::string_view Id) {
    caller &Caller = Callers.emplace_back(Address);
    Caller.send(request(Method, Path, Id));
    return Caller;
  }
  /// Has the first upstream answer a call so that it says that it leaves.
  void leave() {
    caller &Caller = call("GET", "/safe/1", "first");
    REQUIRE(received(Tools, "X-Call: first"));
    Tools.send(0, answerTo("first", "bye", "200 OK", Leaving));
    REQUIRE(Caller.waitsFor("bye"));
  }
};

} // namespace

TEST_CASE("drain_upstream_that_says_it_leaves_gets_no_new_calls") {
  // The store could not tell, and hosts sent requests to the upstream for as
  // long as its entry said ready.
  leaving_fixture F;
  SUBCASE("in a whole answer") { F.leave(); }
  SUBCASE("in a refusal") {
    caller &Caller = F.call("POST", "/book/1", "c1");
    REQUIRE(F.received(F.Tools, "X-Call: c1"));
    F.Tools.send(0, answerTo("c1", "", "503 Busy",
                             std::string(Leaving) + "X-Not-Run: 1\r\n"));
    REQUIRE(Caller.waitsFor("HTTP/1.1 503"));
  }
  SUBCASE("in an error") {
    caller &Caller = F.call("POST", "/book/1", "c1");
    REQUIRE(F.received(F.Tools, "X-Call: c1"));
    F.Tools.send(0, answerTo("c1", "oh", "500 Failed", Leaving));
    REQUIRE(Caller.waitsFor("HTTP/1.1 500"));
  }
  SUBCASE("in the head of an answer that is broken off") {
    caller &Caller = F.call("POST", "/book/1", "c1");
    REQUIRE(F.received(F.Tools, "X-Call: c1"));
    F.Tools.send(0, "HTTP/1.1 200 OK\r\nX-Call: c1\r\nX-Leaving: 1\r\n"
                    "Content-Length: 9\r\n\r\nhalf");
    turnFor(milliseconds(30));
    F.Tools.close(0);
    REQUIRE(Caller.waitsFor("HTTP/1.1 502"));
  }
  F.put("tool-2", "tools", F.OtherTools);
  F.putTool(1); // The entry is read again, and still says ready.
  for (int I = 0; I < 8; ++I) {
    std::string Id = "next" + std::to_string(I);
    caller &Caller = F.call("GET", "/safe/1", Id);
    REQUIRE(F.received(F.OtherTools, "X-Call: " + Id));
    std::size_t Index = F.connectionOf(F.OtherTools, "X-Call: " + Id);
    F.OtherTools.Connections[Index]->Input.clear();
    F.OtherTools.send(Index, answerTo(Id, "done " + Id));
    REQUIRE(Caller.waitsFor("done " + Id));
  }
}

TEST_CASE("drain_calls_are_refused_at_once_if_all_upstreams_leave") {
  leaving_fixture F;
  F.leave();
  caller &Caller = F.call("POST", "/book/1", "c2");
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("HTTP/1.1 503"));
  CHECK(Caller.has("Retry-After: 0."));
  SUBCASE("until another process has started there") {
    F.putTool(2);
    F.call("POST", "/book/1", "c3");
    CHECK(F.received(F.Tools, "X-Call: c3"));
  }
  SUBCASE("its entry comes back after it was removed") {
    F.Relay->removeUpstream("tool-1", milliseconds(0));
    F.putTool(1);
    caller &Next = F.call("POST", "/book/1", "c3");
    REQUIRE(Next.waitsFor("\r\n\r\n"));
    CHECK(Next.has("HTTP/1.1 503"));
  }
}

TEST_CASE("drain_stream_goes_on_and_the_next_turn_moves") {
  leaving_fixture F;
  caller &First = F.call("POST", "/talk/1", "t1");
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0, "HTTP/1.1 200 OK\r\nX-Call: t1\r\nX-Leaving: 1\r\n"
                "Content-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" +
                    chunk("data: a\n\n"));
  REQUIRE(First.waitsFor("data: a"));
  F.put("llm-2", "llm", F.OtherLlm);
  F.call("POST", "/talk/1", "t2");
  REQUIRE(F.received(F.OtherLlm, "X-Call: t2"));
  F.Llm.send(0, chunk("data: b\n\n") + std::string(StreamEnd));
  REQUIRE(First.waitsFor("data: b"));
  REQUIRE(First.waitsFor("0\r\n\r\n"));
  CHECK(F.Llm.Connections.size() == 1);
}

TEST_CASE("drain_host_whose_tunnel_passed_the_answer_on_is_told") {
  // It copies bytes for a host that has lost its links, cannot read that the
  // upstream leaves, and sent its own calls there.
  leaving_fixture F;
  entry_host Helper("helper", F.Disks);
  Helper.Relay->putUpstream(
      {"tool-1", "tools", addressOf(F.Tools.port()), "dc", 4, true, 1});
  REQUIRE(Helper.Relay->mayReach(addressOf(F.Tools.port())));
  std::string HelperAddress = freeAddress();
  relay::leaving_gossip Received(
      Helper.Turns->links(),
      [&](const relay::upstream_run &Run, std::string_view From) {
        CHECK(From == "entry");
        Helper.Relay->recordLeaving(Run, From);
      });
  std::optional<turns::forwarder> Server;
  auto Listen = [&] {
    Server = turns::forwarder::create(
        HelperAddress, Key, Helper.Turns->links(),
        [&](const peer_request_view &Request) {
          REQUIRE(relay::leaving_gossip::handles(Request.Path));
          Received.serve(Server->server(), Request);
        });
    REQUIRE(Server);
  };
  relay::leaving_gossip Gossip(F.Turns->links(), {});
  Gossip.setPeers(std::vector<std::string>{HelperAddress});
  F.Relay->onUpstreamLeaves(
      [&](const relay::upstream_run &Run) { Gossip.propagate(Run); });
  SUBCASE("at once") {
    Listen();
    F.leave();
  }
  SUBCASE("after it could not be reached") {
    F.leave();
    turnFor(milliseconds(200));
    Listen();
  }
  REQUIRE(turnUntil(
      [&] { return !Helper.Relay->mayReach(addressOf(F.Tools.port())); }));
  caller Caller(Helper.Address);
  Caller.send(F.request("POST", "/book/1", "c9"));
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("HTTP/1.1 503"));
}

TEST_CASE("drain_host_of_an_earlier_version_is_not_told_again_and_again") {
  leaving_fixture F;
  std::string Address = freeAddress();
  int Requests = 0;
  std::optional<turns::forwarder> Server;
  Server = turns::forwarder::create(
      Address, Key, F.Turns->links(), [&](const peer_request_view &Request) {
        ++Requests;
        Server->server().end(Request.Reply,
                             {error_code::NotFound, "no such path"});
      });
  REQUIRE(Server);
  relay::leaving_gossip Gossip(F.Turns->links(), {});
  Gossip.setPeers(std::vector<std::string>{Address});
  F.Relay->onUpstreamLeaves(
      [&](const relay::upstream_run &Run) { Gossip.propagate(Run); });
  F.leave();
  REQUIRE(turnUntil([&] { return Requests > 0; }));
  turnFor(milliseconds(1200));
  CHECK(Requests == 1);
}
