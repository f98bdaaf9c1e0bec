// Turns, budgets and streams through the relay.

#include "test_relay_pvt.h"

#include <algorithm>
#include <set>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

/// A listener whose queue of new connections is full: connecting to it hangs.
struct unresponsive_listener {
  std::string Address = freeAddress();
  handle<GSocket> Socket;
  std::optional<caller> Waiting;

  unresponsive_listener() {
    Socket = handle<GSocket>::adopt(
        g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, nullptr));
    g_socket_set_listen_backlog(Socket.get(), 0);
    g_socket_bind(Socket.get(), parseAddress(Address)->get(), TRUE, nullptr);
    g_socket_listen(Socket.get(), nullptr);
    Waiting.emplace(Address);
  }
};

} // namespace

TEST_CASE("the runner gets the chain, and the turn is stored before the end") {
  fixture F;
  caller Caller(F.Address);
  std::string ExtraHeaders =
      "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,40\r\n";
  Caller.send(F.request("POST", "/plan/1", "t1", ExtraHeaders, "[in1]"));
  REQUIRE(F.received(F.Llm, "[in1]"));
  F.Llm.send(0, streamHead("t1") + chunk("id: 1\ndata: a\n\n") +
                    chunk("id: 2\ndata: b\n\n"));
  REQUIRE(Caller.waitsFor("data: b"));
  CHECK(!Caller.has("0\r\n\r\n"));
  F.Llm.send(0, StreamEnd);
  REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  Caller.Input.clear();
  F.Llm.Connections[0]->Input.clear();
  Caller.send(F.request("POST", "/plan/1", "t2",
                        ExtraHeaders + "X-Previous: t1\r\n", "[in2]"));
  REQUIRE(F.received(F.Llm, "[in2]"));
  CHECK(F.Llm.Connections[0]->Input.ends_with("\r\n\r\n[in1]a\nb\n[in2]"));
  CHECK(F.Llm.Connections[0]->Input.find("X-Previous: t1") !=
        std::string::npos);

  SUBCASE("with one disk host lost the chain continues") {
    F.Llm.send(0, streamHead("t2") + chunk("data: c\n\n"));
    F.Disks.Replicas[0].reset();
    F.Llm.send(0, StreamEnd);
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    Caller.Input.clear();
    F.Llm.Connections[0]->Input.clear();
    Caller.send(F.request("POST", "/plan/1", "t3",
                          ExtraHeaders + "X-Previous: t2\r\n", "[in3]"));
    REQUIRE(F.received(F.Llm, "[in3]"));
    CHECK(F.Llm.Connections[0]->Input.ends_with("[in1]a\nb\n[in2]c\n[in3]"));
  }
  SUBCASE(
      "with two disk hosts lost the turn is refused, not reported missing") {
    F.Llm.send(0, streamHead("t2") + chunk("data: c\n\n") +
                      std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    Caller.Input.clear();
    F.Disks.Replicas[0].reset();
    F.Disks.Replicas[1].reset();
    Caller.send(F.request("POST", "/plan/1", "t3",
                          ExtraHeaders + "X-Previous: t2\r\n", "[in3]"));
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 503"));
  }
}

// A member that was down has missed turns of chains that are in use.
TEST_CASE("chain_in_use_was_lost_as_a_member_had_a_part_of_it") {
  fixture F;
  caller Caller(F.Address);
  auto RunTurn = [&](const std::string &Id, const std::string &Headers) {
    Caller.Input.clear();
    Caller.send(F.request("POST", "/plan/1", Id, Headers, "[in]"));
    REQUIRE(F.received(F.Llm, "X-Call: " + Id));
    F.Llm.send(0,
               streamHead(Id) + chunk("data: a\n\n") + std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  };
  RunTurn("t0", "X-Program: p\r\n");
  F.Disks.Replicas[0].reset();
  RunTurn("t1", "X-Program: p\r\n");
  RunTurn("t2", "X-Program: p\r\nX-Previous: t1\r\n");
  F.Disks.start(0);
  REQUIRE(F.Disks.Replicas[0]->caughtUp());
  F.Disks.Replicas[1].reset();
  RunTurn("t3", "X-Program: p\r\nX-Previous: t2\r\n");
  for (const char *Id : {"t1", "t2", "t3"})
    CHECK(F.Disks.Replicas[0]->index().hasTurn(Id));
  CHECK(F.Disks.Replicas[0]->index().missingCount() == 0);
  CHECK(F.Disks.Replicas[0]->counters().IncompleteChains == 0);
}

TEST_CASE("the times of a turn are recorded by what they depend on") {
  // The first event of a cached prompt comes early on a slow runner, too, and a
  // call that failed at once does not show a fast upstream.
  fixture F;
  caller Caller(F.Address);
  auto Samples = [&](const char *Id, relay::time_kind Kind) {
    return F.Relay->upstreams().rows().at(Id).Speed.of(Kind).samples({0});
  };
  for (std::string Id : {"t1", "t2"}) {
    Caller.send(F.request("POST", "/plan/1", Id, "X-Program: p\r\n", "[in]"));
    REQUIRE(F.received(F.Llm, "X-Call: " + Id));
    F.Llm.send(0, streamHead(Id) + chunk("data: a\n\ndata: b\n\n") +
                      std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    Caller.Input.clear();
    CHECK(Samples("llm-1", relay::time_kind::FirstEvent) == 1);
  }
  CHECK(Samples("llm-1", relay::time_kind::CachedFirstEvent) == 1);
  CHECK(Samples("llm-1", relay::time_kind::EventGap) > 1);
  CHECK(Samples("llm-1", relay::time_kind::Answer) == 0);
  for (std::string Status : {"200 OK", "500 Failed"}) {
    Caller.send(F.request("GET", "/safe/1", Status.substr(0, 3)));
    REQUIRE(F.received(F.Tools, "X-Call: " + Status.substr(0, 3)));
    F.Tools.send(0, answerTo(Status.substr(0, 3), "done", Status));
    REQUIRE(Caller.waitsFor("done"));
    Caller.Input.clear();
    CHECK(Samples("tool-1", relay::time_kind::Answer) == 1);
  }
}

TEST_CASE("an unknown previous turn is 404, and no runner gets the call") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(
      F.request("POST", "/plan/1", "t1", "X-Previous: forged\r\n", "[in]"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 404"));
  CHECK(F.Llm.Connections.empty());
}

TEST_CASE("all turns share a budget, and a refused turn uses none of it") {
  fixture F;
  std::string ExtraHeaders =
      "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,60\r\n";
  caller First(F.Address);
  First.send(F.request("POST", "/plan/1", "t1", ExtraHeaders, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  caller Second(F.Address);
  Second.send(F.request("POST", "/plan/1", "t2", ExtraHeaders, "[in]"));
  REQUIRE(Second.waitsFor("HTTP/1.1"));
  CHECK(Second.has("HTTP/1.1 402"));
  // The first turn used 2 events of 10 tokens, so the budget suffices again.
  F.Llm.send(0, streamHead("t1") + chunk("data: a\n\ndata: b\n\n") +
                    std::string(StreamEnd));
  REQUIRE(First.waitsFor("0\r\n\r\n"));
  caller Third(F.Address);
  Third.send(F.request("POST", "/plan/1", "t3", ExtraHeaders, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t3"));
}

TEST_CASE(
    "tokens are counted by the configuration at the arrival of the call") {
  fixture F;
  caller First(F.Address);
  First.send(F.request("POST", "/plan/1", "t1",
                       "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,60\r\n",
                       "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  relay::routing Without = routingOf(2);
  Without.Services.clear();
  F.Relay->setRouting(Without);
  F.Llm.send(0, streamHead("t1") + chunk("data: a\n\ndata: b\n\ndata: c\n\n") +
                    std::string(StreamEnd));
  REQUIRE(First.waitsFor("0\r\n\r\n"));
  F.Relay->setRouting(routingOf(3));
  caller Second(F.Address);
  Second.send(F.request("POST", "/plan/1", "t2",
                        "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,75\r\n",
                        "[in]"));
  REQUIRE(Second.waitsFor("HTTP/1.1"));
  CHECK(Second.has("HTTP/1.1 402"));
}

TEST_CASE("a program that was rejected is recognised when it returns") {
  // Rejected programs return through other hosts, so that no entry host knows
  // them. Their settled attempts are known to the disk hosts.
  fixture F;
  auto OpenTurn = [&](const std::string &Attempt) {
    turns::open_call Call;
    Call.Attempt = Attempt;
    Call.Program = "p";
    Call.Tokens = 60;
    Call.Budget = 100;
    Call.Retention = milliseconds(60000);
    std::optional<turns::open_result> Result;
    F.Turns->open(std::move(Call),
                  [&](const turns::open_result &Opened) { Result = Opened; });
    REQUIRE(turnUntil([&] { return Result.has_value(); }));
    REQUIRE(Result->Outcome == turns::open_outcome::Granted);
    return *Result;
  };
  CHECK(OpenTurn("first").OtherAttempts == 0);
  turns::close_call Close;
  Close.Attempt = "first";
  Close.Program = "p";
  Close.HasBudget = true;
  Close.Retention = milliseconds(60000);
  bool Closed = false;
  F.Turns->close(std::move(Close), [&](bool /*Kept*/) { Closed = true; });
  REQUIRE(turnUntil([&] { return Closed; }));
  turns::open_result Second = OpenTurn("second");
  CHECK(Second.OtherAttempts == 1);
  CHECK(Second.Spent == 0);
}

TEST_CASE("a budget without a program is not enforced") {
  // Otherwise all callers without a program would share one budget.
  fixture F;
  std::string ExtraHeaders = "X-Budget: 100\r\nX-Tokens: 5,60\r\n";
  caller First(F.Address);
  caller Second(F.Address);
  First.send(F.request("POST", "/plan/1", "t1", ExtraHeaders, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  Second.send(F.request("POST", "/plan/1", "t2", ExtraHeaders, "[in]"));
  CHECK(F.received(F.Llm, "X-Call: t2"));
  // A call that continues a turn is still opened at the disk hosts.
  F.Llm.send(0,
             streamHead("t1") + chunk("data: a\n\n") + std::string(StreamEnd));
  REQUIRE(First.waitsFor("0\r\n\r\n"));
  ExtraHeaders += "X-Previous: t1\r\n";
  for (std::string Id : {"t3", "t4"}) {
    caller Next(F.Address);
    Next.send(F.request("POST", "/plan/1", Id, ExtraHeaders, "[in]"));
    CHECK(turnUntil([&] {
      return Next.has("402") ||
             std::any_of(F.Llm.Connections.begin(), F.Llm.Connections.end(),
                         [&](const auto &Row) {
                           return Row->Input.find("X-Call: " + Id) !=
                                  std::string::npos;
                         });
    }));
    CHECK(!Next.has("402"));
  }
}

TEST_CASE("a budget of 0 admits no turn") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/plan/1", "t1",
                        "X-Program: p\r\nX-Budget: 0\r\nX-Tokens: 5,60\r\n",
                        "[in]"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 402"));
  CHECK(F.Llm.Connections.empty());
}

TEST_CASE("budget_of_turns_whose_chain_is_not_kept") {
  // Budgets were enforced only on routes whose turns are stored. A program that
  // sends its whole prompt each time could generate without limit.
  fixture F;
  std::string ExtraHeaders =
      "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,60\r\n";
  caller First(F.Address);
  First.send(F.request("POST", "/talk/1", "t1", ExtraHeaders, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  SUBCASE("a running turn counts with its maximum") {
    caller Second(F.Address);
    Second.send(F.request("POST", "/talk/1", "t2", ExtraHeaders, "[in]"));
    REQUIRE(Second.waitsFor("HTTP/1.1"));
    CHECK(Second.has("HTTP/1.1 402"));
  }
  SUBCASE("a complete turn counts with the tokens generated") {
    F.Llm.send(0, streamHead("t1") + chunk("data: a\n\ndata: b\n\n") +
                      std::string(StreamEnd));
    REQUIRE(First.waitsFor("0\r\n\r\n"));
    caller Second(F.Address);
    Second.send(F.request("POST", "/talk/1", "t2", ExtraHeaders, "[in]"));
    REQUIRE(F.received(F.Llm, "X-Call: t2"));
    F.Llm.send(0, streamHead("t2") +
                      chunk("data: a\n\ndata: b\n\ndata: c\n\n") +
                      std::string(StreamEnd));
    REQUIRE(Second.waitsFor("0\r\n\r\n"));
    // 20 and 30 tokens have been used.
    caller Third(F.Address);
    Third.send(F.request("POST", "/talk/1", "t3", ExtraHeaders, "[in]"));
    REQUIRE(Third.waitsFor("HTTP/1.1"));
    CHECK(Third.has("HTTP/1.1 402"));
  }
  SUBCASE("a broken turn counts with the tokens that its caller received") {
    F.Llm.send(0, streamHead("t1") + chunk("data: a\n\n"));
    REQUIRE(First.waitsFor("data: a"));
    F.Llm.close(0);
    REQUIRE(turnUntil([&] { return First.Closed; }));
    caller Second(F.Address);
    Second.send(F.request("POST", "/talk/1", "t2", ExtraHeaders, "[in]"));
    CHECK(F.received(F.Llm, "X-Call: t2"));
  }
}

TEST_CASE("unreachable disk hosts are reached through another host") {
  // Three entry hosts could not reach any disk host for twelve seconds and
  // refused every turn, although they could reach the other entry hosts.
  fixture F;
  raw_server SilentServer;
  for (const turns::disk_host &Host : F.Disks.Set.Members)
    F.Turns->links().setRoute(Host.Address, addressOf(SilentServer.port()));
  peer_settings Other;
  Other.Host = "other";
  auto Links = peer_links::create(Other, Key);
  std::string ForwarderAddress = freeAddress();
  auto Forwarder = turns::forwarder::create(ForwarderAddress, Key, *Links,
                                            [](const auto &) {});
  REQUIRE(Forwarder);
  caller Caller(F.Address);
  std::string ExtraHeaders =
      "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,40\r\n";
  SUBCASE("with a forwarder the turn is served") {
    F.Turns->setForwarders({ForwarderAddress});
    Caller.send(F.request("POST", "/plan/1", "t1", ExtraHeaders, "[in1]"));
    REQUIRE(F.received(F.Llm, "[in1]"));
    F.Llm.send(0, streamHead("t1") + chunk("data: a\n\n") +
                      std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    CHECK(F.Turns->counters().Forwarded > 0);
  }
  SUBCASE("without a forwarder the turn is refused as not run") {
    Caller.send(F.request("POST", "/plan/1", "t1", ExtraHeaders, "[in1]"));
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 503"));
    CHECK(F.Llm.Connections.empty());
  }
}

TEST_CASE("requests to several disk hosts go through several hosts") {
  // A small machine forwarded everything for a host without links to the disk
  // hosts, and for others that had chosen it too.
  fixture F;
  constexpr std::size_t Hosts = 12;
  std::vector<std::string> Forwarders(Hosts);
  for (std::size_t I = 0; I < Hosts; ++I)
    Forwarders[I] = "10.0.1." + std::to_string(I) + ":1";
  F.Turns->setForwarders(Forwarders);
  std::set<std::string> Used;
  for (int I = 0; I < 20; ++I) {
    std::string DiskHost = "10.0.0." + std::to_string(I) + ":1";
    auto Forwarder = F.Turns->forwarderFor(DiskHost, true);
    REQUIRE(Forwarder);
    CHECK(Forwarder == F.Turns->forwarderFor(DiskHost, true));
    Used.insert(*Forwarder);
  }
  CHECK(Used.size() > 3);
  CHECK(!Used.contains(Forwarders.back()));
}

TEST_CASE("a stream that its runner breaks off does not look complete") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/plan/1", "t1", {}, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0, streamHead("t1") + chunk("data: a\n\n"));
  REQUIRE(Caller.waitsFor("data: a"));
  F.Llm.close(0);
  REQUIRE(turnUntil([&] { return Caller.Closed; }));
  CHECK(!Caller.has("0\r\n\r\n"));
  caller Next(F.Address);
  Next.send(F.request("POST", "/plan/1", "t2", "X-Previous: t1\r\n", "[in]"));
  REQUIRE(Next.waitsFor("HTTP/1.1"));
  CHECK(Next.has("HTTP/1.1 404"));
}

TEST_CASE("a resumable stream is resumed after its last event") {
  // Such streams were cut off, and their callers sent a new call.
  fixture F;
  auto First = std::make_unique<raw_server>();
  F.Relay->removeUpstream("llm-1", milliseconds(0));
  F.put("llm-2", "llm", *First);
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/chat/1", "t1",
                        "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,60\r\n",
                        "[in]"));
  REQUIRE(F.received(*First, "X-Call: t1"));
  First->send(0, streamHead("t1") + chunk("id: 1\ndata: a\n\nid: 2\nda"));
  REQUIRE(Caller.waitsFor("data: a"));
  SUBCASE("at the same upstream") {
    First->close(0);
    REQUIRE(F.received(*First, "X-Last-Event: 1"));
    std::size_t Index = F.connectionOf(*First, "X-Last-Event: 1");
    First->send(Index, streamHead("t1") + chunk("id: 2\ndata: b\n\n") +
                           std::string(StreamEnd));
  }
  SUBCASE("at another one if that has exited, though the route allows one "
          "attempt") {
    F.put("llm-1", "llm", F.Llm);
    First.reset();
    REQUIRE(F.received(F.Llm, "X-Last-Event: 1"));
    F.Llm.send(0, streamHead("t1") + chunk("id: 2\ndata: b\n\n") +
                      std::string(StreamEnd));
  }
  REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  CHECK(Caller.has("id: 1\ndata: a\n\n"));
  CHECK(Caller.has("id: 2\ndata: b\n\n"));
  CHECK(!Caller.has("id: 2\nda\r\n"));
  CHECK(Caller.Input.find("HTTP/1.1") == Caller.Input.rfind("HTTP/1.1"));
}

// A broken stream ran at a second upstream though its route allows one: its own
// upstream was alive, but no connection to it was established in time.
TEST_CASE("budget_stream_whose_upstream_may_still_run_it_goes_to_no_other") {
  fixture F;
  F.Relay->removeUpstream("llm-1", milliseconds(0));
  raw_server First;
  F.put("llm-2", "llm", First);
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/chat/1", "t1", {}, "[in]"));
  REQUIRE(F.received(First, "X-Call: t1"));
  First.send(0, streamHead("t1") + chunk("id: 1\ndata: a\n\n"));
  REQUIRE(Caller.waitsFor("data: a"));
  unresponsive_listener Hanging;
  F.Relay->putUpstream({"llm-2", "llm", Hanging.Address, "dc", 4, true, 1});
  F.put("llm-1", "llm", F.Llm);
  First.close(0);
  REQUIRE(
      turnUntil([&] { return Caller.Closed || !F.Llm.Connections.empty(); }));
  CHECK(F.Llm.Connections.empty());
  CHECK(!Caller.has("0\r\n\r\n"));
}

TEST_CASE("a stream that cannot be resumed is cut off") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/chat/1", "t1", {}, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0, streamHead("t1") + chunk("id: 1\ndata: a\n\n"));
  REQUIRE(Caller.waitsFor("data: a"));
  F.Llm.close(0);
  REQUIRE(F.received(F.Llm, "X-Last-Event: 1"));
  std::size_t Index = F.connectionOf(F.Llm, "X-Last-Event: 1");
  SUBCASE("the upstream is full") {
    F.Llm.send(Index, answerTo("t1", "", "503 Busy", "X-Not-Run: 1\r\n"));
  }
  SUBCASE("the upstream answers something else") {
    F.Llm.send(Index, answerTo("t1", "what?", "500 No"));
  }
  SUBCASE("it breaks off again while draining") {
    F.Relay->putUpstream({"llm-1", "llm", addressOf(F.Llm.port()), "dc", 4,
                          /*Ready=*/false, 1});
    raw_server Other;
    F.put("llm-2", "llm", Other);
    F.Llm.close(Index);
    REQUIRE(turnUntil([&] { return Caller.Closed; }));
    CHECK(Other.Connections.empty());
    for (std::size_t I = 0; I < F.Llm.Connections.size(); ++I)
      CHECK((I == 0 || I == Index || F.Llm.Connections[I]->Input.empty()));
  }
  REQUIRE(turnUntil([&] { return Caller.Closed; }));
  CHECK(!Caller.has("0\r\n\r\n"));
  CHECK(!Caller.has("what?"));
}

TEST_CASE("bytes_without_end_in_a_body_are_cut_off") {
  constexpr std::size_t MaxTaken = 16U << 20U;
  fixture F;
  caller Caller(F.Address);
  std::string Start;
  std::string Repeated;
  raw_server *Server = &F.Llm;
  SUBCASE("a stream of bytes that are no events") {
    Repeated = chunk(std::string(1000, 'x'));
  }
  SUBCASE("a stream of comments") {
    Repeated = chunk(": " + std::string(1000, 'x') + "\n\n");
  }
  SUBCASE("a stream of endless events") { Repeated = chunk("data: x\n\n"); }
  SUBCASE("a plain answer that ends with its connection") {
    Server = &F.Tools;
    Start = "HTTP/1.1 200 OK\r\nX-Call: t1\r\n\r\n";
    Repeated = std::string(1000, 'x');
  }
  if (Server == &F.Llm) {
    Start = streamHead("t1");
    Caller.send(F.request("POST", "/plan/1", "t1",
                          "X-Program: p\r\nX-Budget: 1000\r\n"
                          "X-Tokens: 5,40\r\n",
                          "hello\n"));
  } else {
    Caller.send(F.request("GET", "/book/x", "t1"));
  }
  REQUIRE(F.received(*Server, "X-Call: t1"));
  Server->send(0, Start);
  std::size_t Sent = 0;
  auto Flood = loop_source::every(milliseconds(1), [&] {
    std::string Piece;
    while (Piece.size() < 50'000)
      Piece += Repeated;
    Server->send(0, Piece);
    Sent += Piece.size();
    return true;
  });
  REQUIRE(turnUntil(
      [&] { return Server->Connections[0]->Closed || Sent > MaxTaken; }));
  CHECK(Server->Connections[0]->Closed);
  REQUIRE(turnUntil([&] { return Caller.Closed || Caller.has("502"); }));
  CHECK(!Caller.has("\r\n0\r\n\r\n")); // The answer must not look complete.
}

namespace {

/// Runs one turn with seven events that are at least two milliseconds apart.
void serveTurn(fixture &F, const std::string &Id, std::size_t &Answered) {
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/plan/1", Id, {}, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: " + Id));
  F.Llm.send(0, streamHead(Id));
  for (int Event = 0; Event < 7; ++Event) {
    std::string Text = "e" + std::to_string(Event);
    F.Llm.send(0, chunk("data: " + Text + "\n\n"));
    REQUIRE(Caller.waitsFor(Text));
    g_usleep(2000);
  }
  F.Llm.send(0, StreamEnd);
  REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  ++Answered;
}

} // namespace

TEST_CASE("while runners are slow and busy, only new programs are rejected") {
  fixture F;
  std::size_t Answered = 0;
  while (Answered < 25)
    serveTurn(F, "t" + std::to_string(Answered), Answered);
  std::vector<std::unique_ptr<caller>> Waiting;
  for (std::string Id : {"w1", "w2", "w3"}) {
    Waiting.push_back(std::make_unique<caller>(F.Address));
    Waiting.back()->send(F.request("POST", "/plan/1", Id, {}, "[in]"));
    REQUIRE(F.received(F.Llm, "X-Call: " + Id));
  }
  g_usleep(300'000);
  caller NewProgram(F.Address);
  NewProgram.send(F.request("POST", "/plan/1", "new", {}, "[in]"));
  REQUIRE(NewProgram.waitsFor("HTTP/1.1"));
  CHECK(NewProgram.has("HTTP/1.1 503"));
  CHECK(NewProgram.has("Retry-After: "));
  caller NextTurn(F.Address);
  NextTurn.send(
      F.request("POST", "/plan/1", "next", "X-Previous: t3\r\n", "[x]"));
  CHECK(F.received(F.Llm, "X-Call: next"));
  for (const auto &Row : F.Llm.Connections)
    CHECK(Row->Input.find("X-Call: new") == std::string::npos);
}

namespace {

/// The head of a stream that has neither a length nor chunks.
std::string unframedHead(std::string_view Id) {
  return "HTTP/1.1 200 OK\r\nX-Call: " + std::string(Id) +
         "\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string headWithLength(std::string_view Id, std::size_t Length) {
  return "HTTP/1.1 200 OK\r\nX-Call: " + std::string(Id) +
         "\r\nContent-Type: text/event-stream\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n";
}

/// Returns the status of a turn that continues \p Previous, or 0 if a runner
/// gets it.
int statusOfNext(fixture &F, const std::string &Previous) {
  caller Next(F.Address);
  Next.send(F.request("POST", "/plan/1", "next-of-" + Previous,
                      "X-Previous: " + Previous + "\r\n", "[in]"));
  bool Sent = false;
  REQUIRE(turnUntil([&] {
    Sent = std::any_of(F.Llm.Connections.begin(), F.Llm.Connections.end(),
                       [](const auto &Row) {
                         return Row->Input.find("X-Call: next-of-") !=
                                std::string::npos;
                       });
    return Sent || Next.has("\r\n\r\n");
  }));
  return Sent ? 0 : std::stoi(Next.Input.substr(9, 3));
}

} // namespace

TEST_CASE("order_stream_cut_inside_an_event_looks_complete") {
  // A runner that crashed ended a stream without length and chunks in order,
  // inside an event. Its caller got a complete answer, and the turn was kept.
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/plan/1", "t1", {}, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  std::string Event = "id: 1\ndata: a\n\n";
  std::string Rest;
  bool Closes = true;
  SUBCASE("in a line") { Rest = "id: 2\nda"; }
  SUBCASE("after a line of data") { Rest = "id: 2\ndata: b\n"; }
  SUBCASE("after its id") { Rest = "id: 2\n"; }
  SUBCASE("in a comment") { Rest = ": stil"; }
  SUBCASE("between CR and LF of its blank line") {
    Event = "id: 1\r\ndata: a\r\n\r\n";
    Rest = "id: 2\r\ndata: b\r\n\r";
  }
  SUBCASE("before the first event") { Event.clear(); }
  SUBCASE("though the last chunk has come") {
    Closes = false;
    F.Llm.send(0, streamHead("t1") + chunk(Event + "id: 2\nda") +
                      std::string(StreamEnd));
  }
  SUBCASE("though the length fits") {
    Closes = false;
    std::string Body = Event + "id: 2\ndata: b\n";
    F.Llm.send(0, headWithLength("t1", Body.size()) + Body);
  }
  if (Closes) {
    F.Llm.send(0, unframedHead("t1") + Event + Rest);
    REQUIRE(Caller.waitsFor(Event.empty() ? "HTTP/1.1" : "data: a"));
    F.Llm.close(0);
  }
  REQUIRE(turnUntil([&] { return Caller.Closed || Caller.has("\r\n0\r\n"); }));
  CHECK(!Caller.has("0\r\n\r\n"));
  CHECK(statusOfNext(F, "t1") == http1::status::NotFound);
}

TEST_CASE("order_resumable_stream_cut_inside_an_event_is_resumed") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/chat/1", "t1", {}, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0, unframedHead("t1") + "id: 1\ndata: a\n\nid: 2\ndata: b");
  REQUIRE(Caller.waitsFor("data: a"));
  F.Llm.close(0);
  REQUIRE(turnUntil(
      [&] { return F.Llm.Connections.size() > 1 || Caller.has("\r\n0\r\n"); }));
  REQUIRE(F.received(F.Llm, "X-Last-Event: 1"));
  std::size_t Index = F.connectionOf(F.Llm, "X-Last-Event: 1");
  F.Llm.send(Index, streamHead("t1") + chunk("id: 2\ndata: bc\n\n") +
                        std::string(StreamEnd));
  REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  CHECK(Caller.has("id: 2\ndata: bc\n\n"));
  CHECK(!Caller.has("data: b\r\n"));
}

TEST_CASE("a stream that ends with its connection between events is complete") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/plan/1", "t1", {}, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  std::string Body;
  SUBCASE("lines that end with LF") { Body = "id: 1\ndata: a\n\n"; }
  SUBCASE("lines that end with CR LF") { Body = "id: 1\r\ndata: a\r\n\r\n"; }
  SUBCASE("lines that end with CR") { Body = "id: 1\rdata: a\r\r"; }
  SUBCASE("a comment at the end") { Body = "data: a\n\n: that is all\n"; }
  F.Llm.send(0, unframedHead("t1") + Body);
  REQUIRE(Caller.waitsFor("data: a"));
  F.Llm.close(0);
  REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  CHECK(Caller.has("0\r\n\r\n"));
  CHECK(statusOfNext(F, "t1") == 0);
}
