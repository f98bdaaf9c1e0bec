// The relay between callers and upstreams that are scripted, with disk hosts
// that are real, all on one loop.

#include "../libnet/test_loop_pvt.h"
#include "turmerichead/relay.h"
#include "turmerichead/turns_forwarder.h"
#include "turmerichead/turns_replica.h"

#include <filesystem>
#include <unistd.h>

using namespace turmerichead;
using turmerichead::pvt::addressOf;
using turmerichead::pvt::raw_server;
using turmerichead::pvt::turnUntil;

namespace {

constexpr const char *Key = "test-key";

relay::header_names names() {
  relay::header_names Names;
  Names.CallId = "X-Call";
  Names.TimeLeft = "X-Left";
  Names.ExpectUpstream = "X-Expect";
  Names.NotRun = "X-Not-Run";
  Names.RetryAfter = "Retry-After";
  Names.Program = "X-Program";
  Names.Budget = "X-Budget";
  Names.Tokens = "X-Tokens";
  Names.PreviousTurn = "X-Previous";
  Names.SystemOnly = {"X-Expect", "X-Pin"};
  return Names;
}

relay::route routeOf(std::string Prefix, relay::call_kind Kind,
                     std::string Service, std::uint32_t Attempts) {
  relay::route Route;
  Route.Name = Prefix;
  Route.Host = "h";
  Route.PathPrefix = std::move(Prefix);
  Route.Kind = Kind;
  Route.Timeout = milliseconds(2000);
  Route.Attempts = Attempts;
  Route.Services = {{std::move(Service), 1}};
  return Route;
}

relay::routing routingOf(std::uint64_t Version) {
  relay::routing Routing;
  Routing.Version = Version;
  Routing.Routes = {routeOf("/safe/", relay::call_kind::Safe, "tools", 2),
                    routeOf("/book/", relay::call_kind::Unsafe, "tools", 2),
                    routeOf("/plan/", relay::call_kind::Stream, "llm", 2)};
  Routing.Routes[2].KeepsTurns = true;
  Routing.Routes[2].Keep = milliseconds(60000);
  Routing.Services["tools"].Name = "tools";
  relay::service &Llm = Routing.Services["llm"];
  Llm.Name = "llm";
  Llm.TokensPerEvent = 10;
  return Routing;
}

std::uint16_t freePort() { return listener::open("127.0.0.1:0")->port(); }

struct disks {
  std::string Root;
  turns::disk_set Set{1, 2, {}, {}};
  std::vector<std::optional<turns::replica>> Replicas;

  disks() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "relayXXXXXX").string();
    Root = mkdtemp(Template.data());
    for (int I = 0; I < 3; ++I)
      Set.Members.push_back(
          {"d" + std::to_string(I), addressOf(freePort()), "dc"});
    for (const turns::disk_host &Host : Set.Members) {
      turns::replica_settings Settings;
      Settings.Self = Host;
      Settings.Shelf.Log.Folder = Root + "/" + Host.Name;
      Settings.Shelf.FirstStart = true;
      Settings.SharedKey = Key;
      Replicas.push_back(turns::replica::create(
          Settings, {[](const turns::disk_set &) {}, {}}));
      REQUIRE(Replicas.back());
      Replicas.back()->setKnown(Set);
    }
  }
  ~disks() {
    Replicas.clear();
    std::filesystem::remove_all(Root);
  }
};

/// A caller's connection.
struct caller {
  handle<GSocket> Socket;
  loop_source Readable;
  std::string Input;
  bool Closed = false;

  explicit caller(const std::string &Address) {
    Socket = *beginConnect(parseAddress(Address)->get());
    g_socket_condition_wait(Socket.get(), G_IO_OUT, nullptr, nullptr);
    Readable = loop_source::onSocket(Socket.get(), G_IO_IN, [this] {
      std::string Bytes(65536, '\0');
      gssize Count = g_socket_receive(Socket.get(), Bytes.data(), Bytes.size(),
                                      nullptr, nullptr);
      Closed = Count <= 0;
      if (!Closed)
        Input.append(Bytes, 0, static_cast<std::size_t>(Count));
      return !Closed;
    });
  }
  void send(std::string_view Bytes) {
    g_socket_send(Socket.get(), Bytes.data(), Bytes.size(), nullptr, nullptr);
  }
  bool waitsFor(std::string_view Text) {
    return turnUntil(
        [&] { return Closed || Input.find(Text) != std::string::npos; });
  }
  bool has(std::string_view Text) const {
    return Input.find(Text) != std::string::npos;
  }
};

struct fixture {
  disks Disks;
  metrics Metrics;
  std::optional<turns::client> Turns;
  std::optional<relay::relay> Relay;
  raw_server Tools;
  raw_server OtherTools;
  raw_server Llm;
  std::string Address = addressOf(freePort());

  fixture() {
    turns::client_settings TurnSettings;
    TurnSettings.Host = "entry";
    TurnSettings.DataCentre = "dc";
    TurnSettings.SharedKey = Key;
    Turns = turns::client::create(TurnSettings);
    relay::relay_settings Settings;
    Settings.Listen = Address;
    Settings.DataCentre = "dc";
    Relay = relay::relay::create(Settings, names(), *Turns, Metrics);
    REQUIRE(Relay);
    Turns->setSet(Disks.Set);
    Relay->setRouting(routingOf(1));
    put("tool-1", "tools", Tools);
    put("llm-1", "llm", Llm);
  }
  void put(std::string Id, std::string Service, const raw_server &Server) {
    Relay->putUpstream({std::move(Id), std::move(Service),
                        addressOf(Server.port()), "dc", 4, true, 1});
  }
  std::string request(std::string_view Method, std::string_view Path,
                      std::string_view Id, std::string_view More = {},
                      std::string_view Body = {}) {
    std::string Text(Method);
    Text.append(" ").append(Path).append(" HTTP/1.1\r\nHost: h\r\nX-Call: ");
    Text.append(Id).append("\r\nX-Left: 1500\r\n").append(More);
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    return Text.append(Body);
  }
  bool received(raw_server &Server, std::string_view Text) {
    return turnUntil([&] {
      for (auto &Row : Server.Connections)
        if (Row->Input.find(Text) != std::string::npos)
          return true;
      return false;
    });
  }
};

std::string answerTo(std::string_view Id, std::string_view Body,
                     std::string_view Status = "200 OK",
                     std::string_view More = {}) {
  std::string Text = "HTTP/1.1 ";
  Text.append(Status).append("\r\nX-Call: ").append(Id).append("\r\n");
  Text.append(More);
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         std::string(Body);
}

std::string streamHead(std::string_view Id) {
  return "HTTP/1.1 200 OK\r\nX-Call: " + std::string(Id) +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(std::string_view Text) {
  std::array<char, 32> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return std::string(Size.data()) + std::string(Text) + "\r\n";
}

constexpr std::string_view StreamEnd = "0\r\n\r\n";

} // namespace

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
  Entry.Fingerprint = relay::suspects::printsOf("", "/safe/x", "").Exact;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Entry.Deaths.push_back({I, milliseconds(10), "u", "h"});
  F.Relay->suspectTable().merge(std::span(&Entry, 1), steadyNow());
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
  auto Print = relay::suspects::printsOf("", "/book/x", "").Exact;
  CHECK(turnUntil([&] {
    return F.Relay->suspectTable().endsOf(Print, steadyNow()).size() == 1;
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

TEST_CASE("a turn's chain goes to the runner, and is kept before its end") {
  fixture F;
  caller Caller(F.Address);
  std::string More = "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,40\r\n";
  Caller.send(F.request("POST", "/plan/1", "t1", More, "[in1]"));
  REQUIRE(F.received(F.Llm, "[in1]"));
  F.Llm.send(0, streamHead("t1") + chunk("id: 1\ndata: a\n\n") +
                    chunk("id: 2\ndata: b\n\n"));
  REQUIRE(Caller.waitsFor("data: b"));
  CHECK(!Caller.has("0\r\n\r\n"));
  F.Llm.send(0, StreamEnd);
  REQUIRE(Caller.waitsFor("0\r\n\r\n"));
  Caller.Input.clear();
  F.Llm.Connections[0]->Input.clear();
  Caller.send(
      F.request("POST", "/plan/1", "t2", More + "X-Previous: t1\r\n", "[in2]"));
  REQUIRE(F.received(F.Llm, "[in2]"));
  CHECK(F.Llm.Connections[0]->Input.ends_with("\r\n\r\n[in1]a\nb\n[in2]"));
  CHECK(F.Llm.Connections[0]->Input.find("X-Previous: t1") !=
        std::string::npos);

  SUBCASE("with one disk host lost it goes on") {
    F.Llm.send(0, streamHead("t2") + chunk("data: c\n\n"));
    F.Disks.Replicas[0].reset();
    F.Llm.send(0, StreamEnd);
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    Caller.Input.clear();
    F.Llm.Connections[0]->Input.clear();
    Caller.send(F.request("POST", "/plan/1", "t3", More + "X-Previous: t2\r\n",
                          "[in3]"));
    REQUIRE(F.received(F.Llm, "[in3]"));
    CHECK(F.Llm.Connections[0]->Input.ends_with("[in1]a\nb\n[in2]c\n[in3]"));
  }
  SUBCASE("with two disk hosts lost nothing is denied") {
    F.Llm.send(0, streamHead("t2") + chunk("data: c\n\n") +
                      std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    Caller.Input.clear();
    F.Disks.Replicas[0].reset();
    F.Disks.Replicas[1].reset();
    Caller.send(F.request("POST", "/plan/1", "t3", More + "X-Previous: t2\r\n",
                          "[in3]"));
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 503"));
  }
}

TEST_CASE("a turn that does not exist is 404, and reaches no runner") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(
      F.request("POST", "/plan/1", "t1", "X-Previous: forged\r\n", "[in]"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 404"));
  CHECK(F.Llm.Connections.empty());
}

TEST_CASE("a budget is one sum, and a refused turn takes nothing of it") {
  fixture F;
  std::string More = "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,60\r\n";
  caller First(F.Address);
  First.send(F.request("POST", "/plan/1", "t1", More, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  caller Second(F.Address);
  Second.send(F.request("POST", "/plan/1", "t2", More, "[in]"));
  REQUIRE(Second.waitsFor("HTTP/1.1"));
  CHECK(Second.has("HTTP/1.1 402"));
  // The first took 2 events of 10 tokens, so that there is room again.
  F.Llm.send(0, streamHead("t1") + chunk("data: a\n\ndata: b\n\n") +
                    std::string(StreamEnd));
  REQUIRE(First.waitsFor("0\r\n\r\n"));
  caller Third(F.Address);
  Third.send(F.request("POST", "/plan/1", "t3", More, "[in]"));
  REQUIRE(F.received(F.Llm, "X-Call: t3"));
}

TEST_CASE("tokens are counted as when the call came, whatever changes since") {
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

TEST_CASE("a budget of nothing has no room for a turn") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("POST", "/plan/1", "t1",
                        "X-Program: p\r\nX-Budget: 0\r\nX-Tokens: 5,60\r\n",
                        "[in]"));
  REQUIRE(Caller.waitsFor("HTTP/1.1"));
  CHECK(Caller.has("HTTP/1.1 402"));
  CHECK(F.Llm.Connections.empty());
}

TEST_CASE("disk hosts out of reach are reached by way of another host") {
  // Three entry hosts were cut off from all disk hosts for twelve seconds and
  // refused every turn, though they reached the other entry hosts.
  fixture F;
  raw_server Silence;
  for (const turns::disk_host &Host : F.Disks.Set.Members)
    F.Turns->links().setRoute(Host.Address, addressOf(Silence.port()));
  peer_settings Other;
  Other.Host = "other";
  auto Links = peer_links::create(Other, Key);
  std::string Way = addressOf(freePort());
  auto Forwarder =
      turns::forwarder::create(Way, Key, *Links, [](const auto &) {});
  REQUIRE(Forwarder);
  caller Caller(F.Address);
  std::string More = "X-Program: p\r\nX-Budget: 100\r\nX-Tokens: 5,40\r\n";
  SUBCASE("with a forwarder the turn is served") {
    F.Turns->setForwarders({Way});
    Caller.send(F.request("POST", "/plan/1", "t1", More, "[in1]"));
    REQUIRE(F.received(F.Llm, "[in1]"));
    F.Llm.send(0, streamHead("t1") + chunk("data: a\n\n") +
                      std::string(StreamEnd));
    REQUIRE(Caller.waitsFor("0\r\n\r\n"));
    CHECK(F.Turns->counters().Forwarded > 0);
  }
  SUBCASE("without one it is refused as not run") {
    Caller.send(F.request("POST", "/plan/1", "t1", More, "[in1]"));
    REQUIRE(Caller.waitsFor("HTTP/1.1"));
    CHECK(Caller.has("HTTP/1.1 503"));
    CHECK(F.Llm.Connections.empty());
  }
}

TEST_CASE("a stream whose runner breaks off is cut and does not look whole") {
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

TEST_CASE("bytes_without_end_in_a_body_are_cut_off") {
  constexpr std::size_t MostTaken = 16U << 20U;
  fixture F;
  caller Caller(F.Address);
  std::string Begin;
  std::string Again;
  raw_server *Server = &F.Llm;
  SUBCASE("a stream of bytes that are no events") {
    Again = chunk(std::string(1000, 'x'));
  }
  SUBCASE("a stream of comments") {
    Again = chunk(": " + std::string(1000, 'x') + "\n\n");
  }
  SUBCASE("a stream of ever more events") { Again = chunk("data: x\n\n"); }
  SUBCASE("a plain answer that ends with its connection") {
    Server = &F.Tools;
    Begin = "HTTP/1.1 200 OK\r\nX-Call: t1\r\n\r\n";
    Again = std::string(1000, 'x');
  }
  if (Server == &F.Llm) {
    Begin = streamHead("t1");
    Caller.send(F.request("POST", "/plan/1", "t1",
                          "X-Program: p\r\nX-Budget: 1000\r\n"
                          "X-Tokens: 5,40\r\n",
                          "hello\n"));
  } else {
    Caller.send(F.request("GET", "/book/x", "t1"));
  }
  REQUIRE(F.received(*Server, "X-Call: t1"));
  Server->send(0, Begin);
  std::size_t Sent = 0;
  auto Flood = loop_source::every(milliseconds(1), [&] {
    std::string Piece;
    while (Piece.size() < 50'000)
      Piece += Again;
    Server->send(0, Piece);
    Sent += Piece.size();
    return true;
  });
  REQUIRE(turnUntil(
      [&] { return Server->Connections[0]->Closed || Sent > MostTaken; }));
  CHECK(Server->Connections[0]->Closed);
  REQUIRE(turnUntil([&] { return Caller.Closed || Caller.has("502"); }));
  CHECK(!Caller.has("\r\n0\r\n\r\n")); // It never looks complete.
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

namespace {

/// Serves one turn with some events, two milliseconds apart.
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

TEST_CASE("while runners are slow and busy no program begins, others go on") {
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
  caller Begins(F.Address);
  Begins.send(F.request("POST", "/plan/1", "new", {}, "[in]"));
  REQUIRE(Begins.waitsFor("HTTP/1.1"));
  CHECK(Begins.has("HTTP/1.1 503"));
  CHECK(Begins.has("Retry-After: "));
  caller GoesOn(F.Address);
  GoesOn.send(
      F.request("POST", "/plan/1", "next", "X-Previous: t3\r\n", "[x]"));
  CHECK(F.received(F.Llm, "X-Call: next"));
  for (const auto &Row : F.Llm.Connections)
    CHECK(Row->Input.find("X-Call: new") == std::string::npos);
}
