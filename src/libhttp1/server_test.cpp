#include "../libnet/test_loop_pvt.h"
#include "turmerichead/http1_server.h"

#include <algorithm>
#include <memory>

using namespace turmerichead;
using namespace turmerichead::http1;
using turmerichead::pvt::addressOf;
using turmerichead::pvt::turnUntil;

namespace {

/// A caller that writes bytes as they are and keeps what comes back.
class raw_caller {
public:
  explicit raw_caller(std::uint16_t Port) {
    Socket = *beginConnect(parseAddress(addressOf(Port))->get());
    Readable = loop_source::onSocket(Socket.get(), G_IO_IN, [this] {
      std::string Bytes(65536, '\0');
      gssize Count = g_socket_receive(Socket.get(), Bytes.data(), Bytes.size(),
                                      nullptr, nullptr);
      if (Count <= 0) {
        Closed = true;
        IsReset = Count < 0;
        return false;
      }
      Input.append(Bytes, 0, static_cast<std::size_t>(Count));
      return true;
    });
  }
  void send(std::string_view Bytes) {
    g_socket_condition_wait(Socket.get(), G_IO_OUT, nullptr, nullptr);
    g_socket_send(Socket.get(), Bytes.data(), Bytes.size(), nullptr, nullptr);
  }
  void close() {
    Readable.reset();
    g_socket_close(Socket.get(), nullptr);
  }
  bool has(std::string_view Text) const {
    return Input.find(Text) != std::string::npos;
  }

  handle<GSocket> Socket;
  loop_source Readable;
  std::string Input;
  bool Closed = false;
  bool IsReset = false; ///< Closed without an orderly end.
};

/// A server that keeps the requests it was given.
struct fixture {
  std::vector<exchange_id> Ids;
  std::vector<request> Requests;
  std::vector<exchange_id> Gone;
  std::optional<server> Server;

  explicit fixture(server_limits Limits = {}) {
    Server = server::create("127.0.0.1:0", Limits,
                            {[this](exchange_id Id, request &&Request) {
                               Ids.push_back(Id);
                               Requests.push_back(std::move(Request));
                             },
                             [this](exchange_id Id) { Gone.push_back(Id); }});
    REQUIRE(Server);
  }
};

constexpr std::string_view Get = "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

TEST_CASE("a request is handed over whole and answered on a kept connection") {
  fixture F;
  raw_caller Caller(F.Server->port());
  Caller.send("POST /p/q?x=1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nX-A: 2\r\n"
              "Content-Length: 5\r\n\r\nhel");
  Caller.send("lo");
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  CHECK(F.Requests[0].Method == "POST");
  CHECK(F.Requests[0].Target == "/p/q?x=1");
  CHECK(F.Requests[0].Body == "hello");
  CHECK(F.Requests[0].Headers.count("x-a") == 2);
  CHECK(F.Server->respond(F.Ids[0], 200, {{"X-B", "3"}}, "fine"));
  REQUIRE(turnUntil([&] { return Caller.has("fine"); }));
  CHECK(Caller.Input == "HTTP/1.1 200 OK\r\nX-B: 3\r\nContent-Length: 4\r\n\r\n"
                        "fine");
  Caller.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 2; }));
  CHECK(F.Server->counters().Accepted == 1);
}

TEST_CASE("requests that are sent ahead are served one after the other") {
  fixture F;
  raw_caller Caller(F.Server->port());
  Caller.send(std::string(Get) + std::string(Get));
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  CHECK(F.Server->respond(F.Ids[0], 200, {}, "one"));
  REQUIRE(turnUntil([&] { return F.Ids.size() == 2; }));
  CHECK(F.Server->respond(F.Ids[1], 200, {}, "two"));
  REQUIRE(turnUntil([&] { return Caller.has("two"); }));
  CHECK(Caller.Input.find("one") < Caller.Input.find("two"));
}

TEST_CASE("a chunked body is joined and its trailers are dropped") {
  fixture F;
  raw_caller Caller(F.Server->port());
  Caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Evil: 1\r\n\r\n");
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  CHECK(F.Requests[0].Body == "abcde");
  CHECK(F.Requests[0].Headers.find("X-Evil") == nullptr);
}

TEST_CASE("what is over a limit or malformed gets the answer for it") {
  server_limits Limits;
  Limits.HeaderBytes = 200;
  Limits.BodyBytes = 10;
  struct sample {
    std::string Bytes;
    std::string Status;
  };
  std::string Long(400, 'x');
  const sample Samples[] = {
      {"GET / HTTP/1.1\r\nX: " + Long + "\r\n\r\n", "431"},
      {"GET /" + Long + " HTTP/1.1\r\n\r\n", "431"},
      {"POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n", "413"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
       "b\r\n01234567890\r\n0\r\n\r\n",
       "413"},
      {"nonsense\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
       "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"GET / HTTP/1.1\r\nBad Name: 1\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc", "400"},
  };
  for (const sample &Sample : Samples) {
    CAPTURE(Sample.Bytes);
    fixture F(Limits);
    raw_caller Caller(F.Server->port());
    Caller.send(Sample.Bytes);
    REQUIRE(turnUntil([&] { return Caller.Closed; }));
    CHECK(Caller.has("HTTP/1.1 " + Sample.Status));
    CHECK(F.Ids.empty());
  }
}

TEST_CASE("a request that stays half sent gets 408 after its time") {
  server_limits Limits;
  Limits.HeaderTimeout = milliseconds(300);
  fixture F(Limits);
  raw_caller Caller(F.Server->port());
  Caller.send("GET / HTTP/1.1\r\nHost:");
  REQUIRE(turnUntil([&] { return Caller.Closed; }));
  CHECK(Caller.has("HTTP/1.1 408"));
}

TEST_CASE("an idle connection is closed without an answer") {
  server_limits Limits;
  Limits.IdleTimeout = milliseconds(300);
  fixture F(Limits);
  raw_caller Caller(F.Server->port());
  REQUIRE(turnUntil([&] { return Caller.Closed; }));
  CHECK(Caller.Input.empty());
}

TEST_CASE("a stream that is cut never looks complete") {
  fixture F;
  raw_caller Caller(F.Server->port());
  Caller.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  CHECK(F.Server->begin(F.Ids[0], 200, {}));
  CHECK(F.Server->write(F.Ids[0], "data: 1\n\n"));
  REQUIRE(turnUntil([&] { return Caller.has("data: 1"); }));
  SUBCASE("aborted") {
    F.Server->abort(F.Ids[0]);
    REQUIRE(turnUntil([&] { return Caller.Closed; }));
    CHECK(!Caller.has("0\r\n\r\n"));
    CHECK(!F.Server->finish(F.Ids[0]));
  }
  SUBCASE("finished") {
    CHECK(F.Server->finish(F.Ids[0]));
    REQUIRE(turnUntil([&] { return Caller.has("0\r\n\r\n"); }));
  }
}

// The end of the connection is all that ends an answer of unknown length to
// HTTP/1.0.
TEST_CASE("a stream to an HTTP/1.0 caller that is cut does not look complete") {
  fixture F;
  raw_caller Caller(F.Server->port());
  Caller.send("GET /a HTTP/1.0\r\n\r\n");
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  CHECK(F.Server->begin(F.Ids[0], 200, {}));
  CHECK(F.Server->write(F.Ids[0], "data: 1\n\n"));
  REQUIRE(turnUntil([&] { return Caller.has("data: 1"); }));
  bool IsReset = false;
  SUBCASE("aborted") {
    F.Server->abort(F.Ids[0]);
    IsReset = true;
  }
  SUBCASE("finished") { F.Server->finish(F.Ids[0]); }
  REQUIRE(turnUntil([&] { return Caller.Closed; }));
  CHECK(Caller.IsReset == IsReset);
}

TEST_CASE("a caller that leaves is told of, and its exchange is stale") {
  fixture F;
  raw_caller Caller(F.Server->port());
  Caller.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  Caller.close();
  REQUIRE(turnUntil([&] { return F.Gone.size() == 1; }));
  CHECK(F.Gone[0] == F.Ids[0]);
  CHECK(!F.Server->respond(F.Ids[0], 200, {}, "late"));
}

TEST_CASE("a server that drains closes after each answer") {
  fixture F;
  raw_caller Caller(F.Server->port());
  raw_caller Idle(F.Server->port());
  Caller.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  F.Server->drain();
  CHECK(F.Server->respond(F.Ids[0], 200, {}, "bye"));
  REQUIRE(turnUntil([&] { return Caller.Closed; }));
  CHECK(Caller.has("Connection: close\r\n"));
  CHECK(!Idle.Closed);
  F.Server->closeIdle();
  REQUIRE(turnUntil([&] { return Idle.Closed; }));
}

// A balancer that has not seen the stop yet connects until the last moment.
TEST_CASE("a stopped server answers a connection that waits to be accepted") {
  fixture F;
  raw_caller Waiting(F.Server->port());
  Waiting.send(Get);
  F.Server->stopAccepting();
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1 || Waiting.Closed; }));
  REQUIRE(F.Ids.size() == 1);
  CHECK(F.Server->respond(F.Ids[0], 200, {}, "taken"));
  CHECK(turnUntil([&] { return Waiting.has("taken"); }));
}

TEST_CASE("a server that stops accepting still serves open connections") {
  fixture F;
  std::uint16_t Port = F.Server->port();
  raw_caller Caller(Port);
  Caller.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  F.Server->stopAccepting();
  raw_caller Late(Port);
  CHECK(F.Server->respond(F.Ids[0], 200, {}, "still"));
  REQUIRE(turnUntil([&] { return Caller.has("still"); }));
  CHECK(turnUntil([&] { return Late.Closed; }));
  CHECK(Late.Input.empty());
}

namespace {

// The share of a host with 88 MB.
constexpr std::size_t SmallHostBytes = 22'000'000;

/// A server whose connections count in a budget.
struct budget_fixture : fixture {
  memory_budget Budget;
  std::size_t MostHeld = 0;

  explicit budget_fixture(std::size_t Bytes, server_limits Limits = {})
      : Budget(Bytes) {
    server_events Events;
    Events.OnRequest = [this](exchange_id Id, request &&Request) {
      Ids.push_back(Id);
      Requests.push_back(std::move(Request));
    };
    Events.OnGone = [this](exchange_id Id) { Gone.push_back(Id); };
    Events.OnHead = [](std::string_view Target,
                       const header_list &) -> std::optional<early_refusal> {
      if (Target == "/nothing")
        return early_refusal{404, "no route"};
      return std::nullopt;
    };
    Server = server::create("127.0.0.1:0", Limits, Events, &Budget);
    REQUIRE(Server);
  }
  // Before the budget.
  ~budget_fixture() { Server.reset(); }

  std::uint64_t ended(client_end Reason) const {
    return Server->counters().Ended.at(static_cast<std::size_t>(Reason));
  }
  /// Sends bytes that the socket does not take at once.
  void sendAll(raw_caller &Caller, std::string_view Bytes) {
    REQUIRE(turnUntil([&] {
      gssize Count = g_socket_send(Caller.Socket.get(), Bytes.data(),
                                   Bytes.size(), nullptr, nullptr);
      if (Count > 0)
        Bytes.remove_prefix(static_cast<std::size_t>(Count));
      MostHeld = std::max(MostHeld, Budget.total());
      return Bytes.empty() || Caller.Closed;
    }));
  }
};

std::string postOf(std::string_view Target, std::size_t Length) {
  return "POST " + std::string(Target) + " HTTP/1.1\r\nHost: h\r\n" +
         "Content-Length: " + std::to_string(Length) + "\r\n\r\n";
}

} // namespace

// A budget for all must not keep out what is within the limits for one.
TEST_CASE("the largest head and the largest body are served by a small host") {
  constexpr std::size_t BodyBytes = 4U << 20U;
  budget_fixture F(SmallHostBytes);
  raw_caller Fields(F.Server->port());
  std::string Head = "GET / HTTP/1.1\r\nHost: h\r\n";
  for (std::size_t Bytes = 16; Bytes + 5 < 16384; Bytes += 5)
    Head += "a:\r\n";
  F.sendAll(Fields, Head + "\r\n");
  REQUIRE(turnUntil([&] { return F.Requests.size() == 1; }));
  CHECK(F.Requests[0].Headers.rows().size() > 3200);
  raw_caller Body(F.Server->port());
  F.sendAll(Body, postOf("/", BodyBytes) + std::string(BodyBytes, 'x'));
  REQUIRE(turnUntil([&] { return F.Requests.size() == 2; }));
  CHECK(F.Requests[1].Body.size() == BodyBytes);
  CHECK(F.Requests[1].Body.capacity() <= BodyBytes + 64);
  raw_caller Chunks(F.Server->port());
  std::string Text =
      "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t I = 0; I < BodyBytes / 4096; ++I)
    Text += "1000\r\n" + std::string(4096, 'y') + "\r\n";
  F.sendAll(Chunks, Text + "0\r\n\r\n");
  REQUIRE(turnUntil([&] { return F.Requests.size() == 3; }));
  CHECK(F.Requests[2].Body.size() == BodyBytes);
  CHECK(F.Budget.ended() == 0);
}

// Bodies that stopped short of their end took 200 MB of a host with 60 MB.
TEST_CASE("bodies that stop short are refused while all exceed the budget") {
  constexpr std::size_t Limit = 1U << 20U;
  constexpr std::size_t Callers = 10;
  constexpr std::size_t Sent = 200'000;
  budget_fixture F(Limit);
  std::vector<std::unique_ptr<raw_caller>> Crowd;
  for (std::size_t I = 0; I < Callers; ++I) {
    Crowd.push_back(std::make_unique<raw_caller>(F.Server->port()));
    F.sendAll(*Crowd.back(), postOf("/", 250'000) + std::string(Sent, 'x'));
    turmerichead::pvt::turnFor(milliseconds(20));
    F.MostHeld = std::max(F.MostHeld, F.Budget.total());
  }
  CHECK(F.MostHeld <= Limit);
  CHECK(F.ended(client_end::Memory) >= 4);
  CHECK(F.Requests.empty());
  REQUIRE(turnUntil([&] { return Crowd[0]->has("HTTP/1.1 503"); }));
  raw_caller Ordinary(F.Server->port());
  Ordinary.send(Get);
  REQUIRE(turnUntil([&] { return F.Requests.size() == 1; }));
}

// A client that sent requests without reading held 8 MB of answers.
TEST_CASE("requests in a row wait until earlier answers are read") {
  constexpr std::size_t AnswerBytes = 1U << 20U;
  budget_fixture F(SmallHostBytes);
  raw_caller Caller(F.Server->port());
  loop_source Unread = std::move(Caller.Readable);
  std::string Many;
  for (int I = 0; I < 100; ++I)
    Many += Get;
  Caller.send(Many);
  std::size_t Answered = 0;
  auto Answer = [&] {
    for (; Answered < F.Ids.size(); ++Answered)
      F.Server->respond(F.Ids[Answered], 200, {},
                        std::string(AnswerBytes, 'a'));
    return Answered == 100;
  };
  Unread.reset();
  time_point End = steadyNow() + milliseconds(500);
  turnUntil([&] { return Answer() || steadyNow() >= End; });
  // The kernel takes a few; one is held.
  CHECK(Answered < 30);
  CHECK(F.Budget.total() < 2 * AnswerBytes);
  std::size_t Read = 0;
  std::string Bytes(1U << 20U, '\0');
  REQUIRE(turnUntil([&] {
    gssize Count = g_socket_receive(Caller.Socket.get(), Bytes.data(),
                                    Bytes.size(), nullptr, nullptr);
    Read += Count > 0 ? static_cast<std::size_t>(Count) : 0;
    return Answer() && Read > 100 * AnswerBytes;
  }));
}

// A reader that stopped held its upstream's slot until the end of the call.
TEST_CASE("a reader that stops loses its connection") {
  server_limits Limits;
  Limits.UnreadTimeout = milliseconds(1000);
  budget_fixture F(SmallHostBytes, Limits);
  raw_caller Caller(F.Server->port());
  Caller.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  Caller.Readable.reset();
  F.Server->begin(F.Ids[0], 200, {});
  F.Server->write(F.Ids[0], std::string(7U << 20U, 'a'));
  REQUIRE(turnUntil([&] { return F.Gone.size() == 1; }));
  CHECK(F.ended(client_end::Unread) == 1);
  CHECK(F.Budget.total() == 0);
}

// A body was read to its end although its answer did not depend on it.
TEST_CASE("a long body for a path without a route is not read") {
  budget_fixture F(SmallHostBytes);
  raw_caller Long(F.Server->port());
  Long.send(postOf("/nothing", 1U << 20U));
  REQUIRE(turnUntil([&] { return Long.has("HTTP/1.1 404"); }));
  raw_caller Short(F.Server->port());
  Short.send(postOf("/nothing", 1) + "x");
  REQUIRE(turnUntil([&] { return F.Requests.size() == 1; }));
}

// Silent connections took all places, and ordinary clients were refused.
TEST_CASE("a connection without a request makes room for another") {
  server_limits Limits;
  Limits.MaxConnections = 2;
  budget_fixture F(SmallHostBytes, Limits);
  raw_caller Used(F.Server->port());
  Used.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 1; }));
  raw_caller Silent(F.Server->port());
  REQUIRE(turnUntil([&] { return F.Server->counters().OpenConnections == 2; }));
  raw_caller Other(F.Server->port());
  Other.send(Get);
  REQUIRE(turnUntil([&] { return F.Ids.size() == 2 && Silent.Closed; }));
  CHECK(!Used.Closed);
  CHECK(F.ended(client_end::Connections) == 1);
}
