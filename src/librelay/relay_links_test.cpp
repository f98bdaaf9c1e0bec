// A host that has lost its links to upstreams, with a tunnel server of another
// host that reaches them.

#include "test_relay_pvt.h"
#include "turmerichead/http1_tunnel.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

/// The relay's upstreams are registered at addresses where connections of this
/// host are refused; the tunnel server reaches them.
struct cut_fixture : fixture {
  std::map<std::string, std::string, std::less<>> Reachable;
  std::optional<http1::tunnel_server> Tunnel;
  std::string ToolAddress = freeAddress();
  std::string LlmAddress = freeAddress();

  cut_fixture() {
    http1::tunnel_settings Settings;
    Settings.Listen = "127.0.0.1:0";
    http1::tunnel_events Events;
    Events.Resolve =
        [this](std::string_view Address) -> std::optional<std::string> {
      auto Row = Reachable.find(Address);
      if (Row == Reachable.end())
        return std::nullopt;
      return Row->second;
    };
    Tunnel = http1::tunnel_server::create(Settings, std::move(Events));
    Relay->removeUpstream("tool-1", milliseconds(0));
    Relay->removeUpstream("llm-1", milliseconds(0));
    put("tool-1", "tools", ToolAddress, Tools);
    put("llm-1", "llm", LlmAddress, Llm);
    useTunnel();
  }
  void put(const std::string &Id, const std::string &Service,
           const std::string &Address, const raw_server &Server) {
    Reachable[Address] = addressOf(Server.port());
    Relay->putUpstream({Id, Service, Address, "dc", 4, true, 1});
  }
  void useTunnel() {
    std::vector<std::string> Hosts = {addressOf(Tunnel->port())};
    Relay->setTunnelHosts(Hosts);
  }
};

} // namespace

TEST_CASE("recover_calls_of_a_host_that_has_lost_its_links") {
  // Callers of such a host were served far worse than those of other hosts.
  cut_fixture F;
  for (std::string Id : {"c1", "c2"}) {
    caller Caller(F.Address);
    Caller.send(F.request("POST", "/book/1", Id, {}, "b"));
    REQUIRE(F.received(F.Tools, "X-Call: " + Id));
    F.Tools.send(0, answerTo(Id, "booked " + Id));
    REQUIRE(Caller.waitsFor("booked " + Id));
  }
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/plan/1", "t1", {}, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0, streamHead("t1") + chunk("data: a\n\n"));
  REQUIRE(Caller.waitsFor("data: a"));
  SUBCASE("the stream ends") {
    F.Llm.send(0, StreamEnd);
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  }
  SUBCASE("the caller leaves") {
    Caller.Readable.reset();
    g_socket_close(Caller.Socket.get(), nullptr);
    REQUIRE(turnUntil([&] { return F.Llm.Connections[0]->Closed; }));
  }
  SUBCASE("the other host ends") {
    F.Tunnel.reset();
    REQUIRE(turnUntil([&] { return Caller.Closed; }));
    CHECK(!Caller.has("0\r\n\r\n"));
  }
}

TEST_CASE("recover_call_without_any_way_is_refused_as_not_run") {
  cut_fixture F;
  F.Reachable.clear();
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("HTTP/1.1 503"));
  CHECK(Caller.has("Retry-After: 0."));
}

TEST_CASE("recover_unsafe_call_that_a_tunnel_lost_is_not_sent_again") {
  cut_fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  F.Tunnel.reset();
  REQUIRE(Caller.waitsFor("\r\n\r\n"));
  CHECK(Caller.has("HTTP/1.1 502"));
  CHECK(F.Tools.Connections.size() == 1);
}

TEST_CASE("recover_refused_connections_of_a_cut_host_are_no_crash") {
  // A host without links took refused connections for ends of upstreams, and
  // requests that were under way there for their cause.
  cut_fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/x", "r1"));
  REQUIRE(F.received(F.Tools, "X-Call: r1"));
  auto Fingerprint =
      relay::crash_tracker::fingerprintsOf("", "/safe/x", "").Exact;
  auto Crashes = [&] {
    return F.Relay->crashTracker().crashesOf(Fingerprint, steadyNow()).size();
  };
  std::size_t Wanted = 0;
  SUBCASE("the upstream lives") { F.Tools.close(0); }
  SUBCASE("the other host is refused too") {
    F.Reachable[F.ToolAddress] = freeAddress();
    F.Tools.close(0);
    Wanted = 1;
  }
  turnFor(milliseconds(400));
  CHECK(turnUntil([&] { return Crashes() == Wanted; }));
}

TEST_CASE("own links are used again once they work") {
  cut_fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  F.Tools.send(0, answerTo("c1", "booked"));
  REQUIRE(Caller.waitsFor("booked"));
  // The address is connected to from here now.
  std::string Own = addressOf(F.OtherTools.port());
  F.Relay->putUpstream({"tool-1", "tools", Own, "dc", 4, true, 1});
  caller Next(F.Address);
  Next.send(F.request("POST", "/book/1", "c2", {}, "b"));
  REQUIRE(F.received(F.OtherTools, "X-Call: c2"));
  CHECK(F.Tunnel->counters().Opened == 1);
}
