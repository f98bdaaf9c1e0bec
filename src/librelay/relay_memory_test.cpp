// The memory that callers and upstreams may make a host hold.

#include "call_pvt.h"
#include "test_relay_pvt.h"
#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <fcntl.h>
#include <sstream>
#include <sys/socket.h>

using namespace turmerichead;
using namespace turmerichead::pvt;

TEST_CASE("an answer in pieces is the text that was appended") {
  relay::answer_body Body;
  std::string Expected;
  for (std::size_t Size : {0U, 1U, 5000U, 16384U, 40000U, 3U}) {
    std::string Part(Size, static_cast<char>('a' + Size % 26));
    Body.append(Part);
    Expected += Part;
  }
  CHECK(Body.size() == Expected.size());
  CHECK(Body.take() == Expected);
}

namespace {

constexpr std::size_t EndlessCalls = 60;

/// A relay with an upstream whose answers never end, and 60 calls to it.
struct endless_fixture : fixture {
  std::deque<caller> Callers;
  std::size_t MostHeld = 0;

  void callAll(std::string_view Method, std::string_view Path,
               raw_server &Upstream, std::string_view Head) {
    for (std::size_t I = 0; I < EndlessCalls; ++I)
      Callers.emplace_back(Address).send(
          request(Method, Path, "c" + std::to_string(I), {}, {}));
    REQUIRE(
        turnUntil([&] { return Upstream.Connections.size() >= EndlessCalls; }));
    for (std::size_t I = 0; I < EndlessCalls; ++I) {
      raw_server::connection &Row = *Upstream.Connections[I];
      REQUIRE(turnUntil(
          [&] { return Row.Input.find("X-Call: ") != std::string::npos; }));
      std::size_t IdAt = Row.Input.find("X-Call: ");
      std::string Id =
          Row.Input.substr(IdAt, Row.Input.find("\r\n", IdAt) - IdAt);
      Upstream.send(I, "HTTP/1.1 200 OK\r\n" + Id + "\r\n" + std::string(Head) +
                           "\r\n");
    }
  }
  /// Sends bytes to all calls until the upstream's side has sent \p Rounds
  /// times 64 KB to each, and notes the most that the relay held.
  void sendEndlessly(raw_server &Upstream, std::string_view Piece, int Rounds) {
    constexpr std::size_t PieceBytes = 64U << 10U;
    std::string Bytes;
    while (Bytes.size() < PieceBytes)
      Bytes += Piece;
    for (int Round = 0; Round < Rounds; ++Round) {
      for (std::size_t I = 0; I < EndlessCalls; ++I)
        if (!Upstream.Connections[I]->Closed)
          Upstream.send(I, Bytes);
      turnFor(milliseconds(5));
      MostHeld = std::max(MostHeld, Relay->heldBytes());
    }
  }
};

} // namespace

// 60 calls to a faulty upstream held 4 MB each, and the host ran out of memory
// with the calls of all other callers.
TEST_CASE("lost_host_stays_within_its_memory_while_answers_never_end") {
  endless_fixture F;
  raw_server *Upstream = &F.Tools;
  SUBCASE("a body") {
    F.callAll("GET", "/safe/1", F.Tools, "Content-Length: 99999999\r\n");
    F.sendEndlessly(F.Tools, "x", 30);
  }
  SUBCASE("an event") {
    Upstream = &F.Llm;
    F.callAll(
        "POST", "/talk/1", F.Llm,
        "Content-Type: text/event-stream\r\nContent-Length: 99999999\r\n");
    F.sendEndlessly(F.Llm, "x", 15);
  }
  CHECK(F.MostHeld <= MaxHeldBytes);
  auto Ended =
      std::count_if(Upstream->Connections.begin(), Upstream->Connections.end(),
                    [](const auto &Row) { return Row->Closed; });
  CHECK(Ended > 0);
  F.put("tool-2", "tools", F.OtherTools);
  caller Sound(F.Address);
  Sound.send(F.request("POST", "/book/1", "sound", {}, "b"));
  REQUIRE(F.received(F.OtherTools, "X-Call: sound"));
  std::size_t Index = F.connectionOf(F.OtherTools, "X-Call: sound");
  F.OtherTools.send(Index, answerTo("sound", "booked"));
  REQUIRE(Sound.waitsFor("booked"));
}

// Requests that wait at an upstream were not counted: only answers were.
TEST_CASE("lost_host_stays_within_its_memory_while_requests_pile_up") {
  constexpr std::size_t BodyBytes = 200U << 10U;
  constexpr std::size_t Calls = 40;
  fixture F;
  std::deque<caller> Callers;
  std::size_t MostHeld = 0;
  for (std::size_t I = 0; I < Calls; ++I) {
    Callers.emplace_back(F.Address);
    std::string Request = F.request("POST", "/book/1", "c" + std::to_string(I),
                                    {}, std::string(BodyBytes, 'b'));
    std::string_view Rest = Request;
    REQUIRE(turnUntil([&] {
      gssize Count = g_socket_send(Callers.back().Socket.get(), Rest.data(),
                                   Rest.size(), nullptr, nullptr);
      Rest.remove_prefix(Count > 0 ? static_cast<std::size_t>(Count) : 0);
      MostHeld = std::max(MostHeld, F.Relay->heldBytes());
      return Rest.empty();
    }));
    // It is whole before the next one comes.
    turnFor(milliseconds(5));
  }
  auto Failed = [&] {
    return std::count_if(Callers.begin(), Callers.end(), [](const caller &Row) {
      return Row.has("HTTP/1.1 502");
    });
  };
  // Each is held twice, so that 20 fit.
  turnFor(milliseconds(200));
  CHECK(Failed() >= 15);
  CHECK(MostHeld <= MaxHeldBytes);
  CHECK(F.Metrics.value("calls_ended_for_memory_total") >= 15);
  // The upstream is not held to be faulty, and serves the next call.
  caller Sound(F.Address);
  Sound.send(F.request("POST", "/book/1", "sound", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: sound"));
  F.Tools.send(F.connectionOf(F.Tools, "X-Call: sound"),
               answerTo("sound", "booked"));
  REQUIRE(Sound.waitsFor("booked"));
}

// Bodies for paths without a route were read to their ends.
TEST_CASE("a long body without a route is refused by its head") {
  fixture F;
  caller Caller(F.Address);
  Caller.send("POST /nowhere HTTP/1.1\r\nHost: h\r\nX-Call: c\r\n"
              "Content-Length: 1000000\r\n\r\n");
  REQUIRE(Caller.waitsFor("HTTP/1.1 404"));
  CHECK(F.Metrics.value("bodies_refused_total") == 1);
}

// A reader that stopped kept its call at the upstream, and the slot there,
// until the route's timeout. The call here has an hour.
TEST_CASE("a reader that stops ends the call at its upstream") {
  constexpr std::size_t PieceBytes = 64U << 10U;
  // More than the kernel buffers, less than the memory budget.
  std::size_t Pieces = 96;
  SUBCASE("the answer pauses") {}
  SUBCASE("the answer goes on without end") { Pieces = 100'000; }
  fixture F;
  relay::routing Routing = routingOf(2);
  for (relay::route &Route : Routing.Routes)
    Route.Timeout = milliseconds(3'600'000);
  F.Relay->setRouting(std::move(Routing));
  caller Stops(F.Address);
  int ReceiveBytes = 4096;
  setsockopt(g_socket_get_fd(Stops.Socket.get()), SOL_SOCKET, SO_RCVBUF,
             &ReceiveBytes, sizeof(ReceiveBytes));
  Stops.send("POST /talk/1 HTTP/1.1\r\nHost: h\r\nX-Call: stops\r\n"
             "X-Left: 3600000\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(F.received(F.Llm, "X-Call: stops"));
  F.Llm.send(0, streamHead("stops") + chunk("data: 1\n\n"));
  REQUIRE(Stops.waitsFor("data: 1"));
  Stops.Readable.reset();
  const relay::upstream_table &Upstreams = F.Relay->upstreams();
  CHECK(Upstreams.inFlight("llm") == 1);
  GSocket *Upstream = F.Llm.Connections[0]->Socket.get();
  g_socket_set_blocking(Upstream, FALSE);
  std::string Bytes =
      chunk("data: " + std::string(PieceBytes - 8, 'x') + "\n\n");
  std::size_t Sent = 0;
  REQUIRE(turnUntil([&] {
    // Partial writes continue where they stopped.
    for (bool Takes = true; Takes && Sent < Pieces * Bytes.size();) {
      std::string_view Rest =
          std::string_view(Bytes).substr(Sent % Bytes.size());
      gssize Count =
          g_socket_send(Upstream, Rest.data(), Rest.size(), nullptr, nullptr);
      Takes = Count > 0;
      Sent += Takes ? static_cast<std::size_t>(Count) : 0;
    }
    return F.Llm.Connections[0]->Closed;
  }));
  CHECK(Upstreams.inFlight("llm") == 0);
  CHECK(F.Relay->callsUnderWay() == 0);
  REQUIRE(turnUntil([&] { return F.Relay->heldBytes() == 0; }));
}

// Clients without a route or a key had the host write a line for each request.
TEST_CASE("refused calls are logged once a second, with the number left out") {
  constexpr int Requests = 200;
  std::array<int, 2> Ends{-1, -1};
  REQUIRE(pipe2(Ends.data(), O_NONBLOCK) == 0);
  log::open("h", "info", "", Ends[1]);
  fixture F;
  std::uint64_t Lines = 0;
  std::uint64_t Omitted = 0;
  caller Caller(F.Address);
  auto Ask = [&] {
    Caller.Input.clear();
    Caller.send(F.request("GET", "/nowhere", "c"));
    REQUIRE(Caller.waitsFor("no route matches"));
    std::string Text(1U << 16U, '\0');
    ssize_t Count = read(Ends[0], Text.data(), Text.size());
    Text.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
    std::istringstream Stream(Text);
    for (std::string Line; std::getline(Stream, Line);) {
      auto Json = nlohmann::json::parse(Line);
      if (Json["event"] != "call refused")
        continue;
      CHECK(Json["reason"] == "no route");
      Omitted += Json["omitted"].get<std::uint64_t>();
      ++Lines;
    }
  };
  time_point Begin = steadyNow();
  for (int I = 0; I < Requests; ++I)
    Ask();
  turnFor(milliseconds(1100));
  Ask();
  constexpr std::int64_t MsPerSecond = 1000;
  auto Seconds =
      static_cast<std::uint64_t>((steadyNow() - Begin).count() / MsPerSecond);
  CHECK(Lines <= Seconds + 1);
  CHECK(Lines + Omitted == Requests + 1);
  log::open("h", "error", "");
  close(Ends[0]);
  close(Ends[1]);
}
