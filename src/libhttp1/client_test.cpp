#include "../libnet/test_loop_pvt.h"
#include "turmerichead/http1_client.h"

#include <sys/socket.h>

using namespace turmerichead;
using namespace turmerichead::http1;
using turmerichead::pvt::addressOf;
using turmerichead::pvt::raw_server;
using turmerichead::pvt::turnFor;
using turmerichead::pvt::turnUntil;

namespace {

/// What a call came to.
struct outcome {
  int Status = 0;
  std::string Body;
  std::optional<call_result> Result;

  call_events events() {
    return {[this](const response_head &Head) { Status = Head.Status; },
            [this](std::string_view Bytes) { Body += Bytes; },
            [this](const call_result &Value) { Result = Value; }};
  }
  bool isComplete() const {
    return Result && Result->Outcome == call_outcome::Complete;
  }
};

struct fixture {
  raw_server Server;
  std::size_t MaxIdle = call_request().MaxIdle;
  std::optional<client> Client =
      client::create({.EchoHeader = "X-Id", .MaxHeadBytes = 65536});

  call_id call(outcome &Outcome, std::string Id, std::string Method = "GET",
               std::string Body = {}) {
    call_request Request;
    Request.Address = addressOf(Server.port());
    Request.Method = std::move(Method);
    Request.Target = "/t";
    Request.Headers = {{"Host", "h"}, {"X-Id", Id}};
    if (!Body.empty())
      Request.Body.push_back(std::move(Body));
    Request.EchoValue = std::move(Id);
    Request.MaxIdle = MaxIdle;
    return Client->call(std::move(Request), Outcome.events());
  }
  bool received(std::size_t Connection, std::string_view Text) {
    return turnUntil([&] {
      return Server.Connections.size() > Connection &&
             Server.Connections[Connection]->Input.find(Text) !=
                 std::string::npos;
    });
  }
};

std::string answerTo(std::string_view Id, std::string_view Body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + std::string(Id) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         std::string(Body);
}

} // namespace

TEST_CASE("calls follow each other on one kept connection") {
  fixture F;
  for (std::string Id : {"1", "2", "3"}) {
    outcome Outcome;
    F.call(Outcome, Id, "POST", "body" + Id);
    REQUIRE(F.received(0, "body" + Id));
    F.Server.send(0, answerTo(Id, "answer" + Id));
    REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
    CHECK(Outcome.isComplete());
    CHECK(Outcome.Body == "answer" + Id);
  }
  CHECK(F.Client->counters().Opened == 1);
}

TEST_CASE("no more connections wait idle than the call allows") {
  fixture F;
  constexpr std::size_t Calls = 4;
  F.MaxIdle = 2;
  std::array<outcome, Calls> Outcomes;
  for (std::size_t I = 0; I < Calls; ++I) {
    F.call(Outcomes[I], std::to_string(I));
    REQUIRE(F.received(I, "X-Id: " + std::to_string(I)));
  }
  for (std::size_t I = 0; I < Calls; ++I) {
    F.Server.send(I, answerTo(std::to_string(I), "a"));
    REQUIRE(turnUntil([&] { return Outcomes[I].Result.has_value(); }));
    CHECK(Outcomes[I].isComplete());
  }
  CHECK(F.Client->counters().OpenConnections == 2);
}

TEST_CASE("crash_when_the_only_idle_connection_has_been_closed") {
  // Its pool was dropped with it and then read (shown by a build with
  // AddressSanitizer).
  fixture F;
  outcome First;
  F.call(First, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  F.Server.send(0, answerTo("1", "one"));
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  F.Server.close(0);
  g_usleep(20'000); // The loop has not seen the end yet.
  outcome Second;
  F.call(Second, "2");
  REQUIRE(F.received(1, "X-Id: 2"));
  F.Server.send(1, answerTo("2", "two"));
  REQUIRE(turnUntil([&] { return Second.Result.has_value(); }));
  CHECK(Second.Body == "two");
}

TEST_CASE("a request is never sent again when its kept connection closes") {
  fixture F;
  outcome First;
  F.call(First, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  F.Server.send(0, answerTo("1", "a"));
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  outcome Second;
  F.call(Second, "2");
  REQUIRE(F.received(0, "X-Id: 2"));
  F.Server.close(0);
  REQUIRE(turnUntil([&] { return Second.Result.has_value(); }));
  CHECK(Second.Result->Outcome == call_outcome::Broken);
  CHECK(F.Server.Connections.size() == 1);
}

TEST_CASE("a late extra answer isn't taken for the next call's") {
  fixture F;
  outcome First;
  F.call(First, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  F.Server.send(0, answerTo("1", "one"));
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  outcome Second;
  F.call(Second, "2");
  REQUIRE(F.received(0, "X-Id: 2"));
  F.Server.send(0, answerTo("1", "again"));
  F.Server.send(0, answerTo("2", "two"));
  REQUIRE(turnUntil([&] { return Second.Result.has_value(); }));
  CHECK(Second.isComplete());
  CHECK(Second.Body == "two");
  CHECK(F.Client->counters().Stray == 1);
}

TEST_CASE("an extra answer behind a complete one closes the connection") {
  fixture F;
  outcome First;
  F.call(First, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  F.Server.send(0, answerTo("1", "one") + answerTo("1", "extra"));
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  CHECK(First.Body == "one");
  outcome Second;
  F.call(Second, "2");
  REQUIRE(F.received(1, "X-Id: 2"));
}

TEST_CASE("what was not sent is told from what may have run") {
  fixture F;
  SUBCASE("nobody listens") {
    std::uint16_t Port = 0;
    {
      raw_server Gone;
      Port = Gone.port();
    }
    outcome Outcome;
    call_request Request;
    Request.Address = addressOf(Port);
    Request.Method = "GET";
    Request.Target = "/";
    F.Client->call(std::move(Request), Outcome.events());
    REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
    CHECK(Outcome.Result->Outcome == call_outcome::NotSent);
  }
  SUBCASE("the connection closes without an answer") {
    outcome Outcome;
    F.call(Outcome, "1", "POST", "x");
    REQUIRE(F.received(0, "X-Id: 1"));
    F.Server.close(0);
    REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
    CHECK(Outcome.Result->Outcome == call_outcome::Broken);
  }
  SUBCASE("bytes that are no answer") {
    outcome Outcome;
    F.call(Outcome, "1");
    REQUIRE(F.received(0, "X-Id: 1"));
    F.Server.send(0, "garbage garbage\r\n\r\n");
    REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
    CHECK(Outcome.Result->Outcome == call_outcome::Broken);
  }
}

TEST_CASE("an answer without a length ends in order or is cut") {
  fixture F;
  outcome Outcome;
  F.call(Outcome, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  F.Server.send(0, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it");
  REQUIRE(turnUntil([&] { return Outcome.Body == "all of it"; }));
  SUBCASE("closed in order") {
    F.Server.close(0);
    REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
    CHECK(Outcome.isComplete());
  }
  SUBCASE("reset") {
    linger Hard{1, 0};
    setsockopt(g_socket_get_fd(F.Server.Connections[0]->Socket.get()),
               SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    F.Server.close(0);
    REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
    CHECK(Outcome.Result->Outcome == call_outcome::Broken);
  }
}

TEST_CASE("a cut answer is broken, whatever its framing") {
  fixture F;
  outcome Outcome;
  F.call(Outcome, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  SUBCASE("length") {
    F.Server.send(0,
                  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nab");
  }
  SUBCASE("chunks") {
    F.Server.send(0, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2\r\nab\r\n");
  }
  REQUIRE(turnUntil([&] { return Outcome.Body == "ab"; }));
  F.Server.close(0);
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Outcome == call_outcome::Broken);
}

TEST_CASE("mixed_head_cut_by_the_end_of_its_connection") {
  // A server that stops in the head of its answer must not be taken for one
  // that has answered without a body.
  fixture F;
  outcome Outcome;
  F.call(Outcome, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  std::string Whole =
      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n";
  std::size_t Size = 0;
  SUBCASE("in the status line") { Size = Whole.find(" OK"); }
  SUBCASE("behind the status line") { Size = Whole.find("X-Id"); }
  SUBCASE("in a name") { Size = Whole.find("Length"); }
  SUBCASE("in a value") { Size = Whole.find("2\r\n\r\n"); }
  SUBCASE("behind the last line") { Size = Whole.size() - 2; }
  SUBCASE("in the blank line") { Size = Whole.size() - 1; }
  SUBCASE("behind an interim answer") {
    Whole = "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n";
    Size = Whole.size();
  }
  F.Server.send(0, Whole.substr(0, Size));
  F.Server.close(0);
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Outcome == call_outcome::Broken);
  CHECK(Outcome.Status == 0);
}

TEST_CASE("an answer whose status allows no body ends with its head") {
  fixture F;
  outcome Outcome;
  std::string Status = "200 OK";
  std::string Method = "GET";
  SUBCASE("204") { Status = "204 No Content"; }
  SUBCASE("304") { Status = "304 Not Modified"; }
  SUBCASE("to HEAD") { Method = "HEAD"; }
  F.call(Outcome, "1", Method);
  REQUIRE(F.received(0, "X-Id: 1"));
  F.Server.send(0, "HTTP/1.1 " + Status + "\r\nX-Id: 1\r\n\r\n");
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.isComplete());
  CHECK(Outcome.Result->End == answer_end::Length);
}

TEST_CASE("an answer before the body has left does not keep the connection") {
  fixture F;
  F.Server.Reading = false;
  outcome Outcome;
  F.call(Outcome, "1", "POST", std::string(32U << 20U, 'x'));
  REQUIRE(turnUntil([&] { return F.Server.Connections.size() == 1; }));
  F.Server.send(0, answerTo("1", "early"));
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.isComplete());
  CHECK(F.Client->counters().OpenConnections == 0);
}

namespace {

constexpr std::string_view HeadWithoutLength =
    "HTTP/1.1 200 OK\r\nX-Id: r2\r\n\r\n";

/// Makes the server reset a connection when it closes it.
void resetOnClose(raw_server &Server, std::size_t Index) {
  linger Hard{1, 0};
  setsockopt(g_socket_get_fd(Server.Connections[Index]->Socket.get()),
             SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
}

/// For connections that are accepted from now on.
void limitReceiveBuffer(raw_server &Server) {
  int Bytes = 4096;
  setsockopt(g_socket_get_fd(Server.socket()), SOL_SOCKET, SO_RCVBUF, &Bytes,
             sizeof(Bytes));
}

void endWriting(raw_server &Server, std::size_t Index) {
  g_socket_shutdown(Server.Connections[Index]->Socket.get(), FALSE, TRUE,
                    nullptr);
}

} // namespace

TEST_CASE("an answer without a length that was reset during the upload is not "
          "complete") {
  // More than the kernel buffers, and less: then only the kernel knows that
  // the upstream has not received all of it.
  for (std::size_t UploadBytes : {32U << 20U, 1U << 20U})
    for (bool Kept : {false, true})
      for (bool IsResetAtOnce : {false, true}) {
        CAPTURE(UploadBytes);
        CAPTURE(Kept);
        CAPTURE(IsResetAtOnce);
        fixture F;
        limitReceiveBuffer(F.Server);
        if (Kept) {
          outcome First;
          F.call(First, "r1");
          REQUIRE(F.received(0, "X-Id: r1"));
          F.Server.send(0, answerTo("r1", "one"));
          REQUIRE(turnUntil([&] { return First.isComplete(); }));
        }
        F.Server.Reading = false;
        outcome Outcome;
        F.call(Outcome, "r2", "POST", std::string(UploadBytes, 'u'));
        turnFor(milliseconds(50)); // The buffers fill.
        REQUIRE(F.Server.Connections.size() == 1);
        F.Server.send(0, std::string(HeadWithoutLength) + "a part");
        if (IsResetAtOnce) {
          resetOnClose(F.Server, 0);
          F.Server.close(0);
        } else {
          REQUIRE(turnUntil([&] { return Outcome.Body == "a part"; }));
          endWriting(F.Server, 0);
        }
        REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
        CHECK(Outcome.Result->Outcome == call_outcome::Broken);
        CHECK(F.Client->counters().OpenConnections == 0);
      }
}

TEST_CASE(
    "an answer without a length is complete once the upload is received") {
  fixture F;
  outcome Outcome;
  F.call(Outcome, "r2", "POST", std::string(4U << 20U, 'u') + "last");
  REQUIRE(F.received(0, "last"));
  F.Server.send(0, std::string(HeadWithoutLength) + "all of it");
  F.Server.close(0);
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.isComplete());
  CHECK(Outcome.Result->End == answer_end::Connection);
  CHECK(Outcome.Body == "all of it");
}

TEST_CASE("an answer with a length is complete although the upload is not") {
  fixture F;
  F.Server.Reading = false;
  outcome Outcome;
  F.call(Outcome, "r2", "POST", std::string(32U << 20U, 'u'));
  REQUIRE(turnUntil([&] { return F.Server.Connections.size() == 1; }));
  turnFor(milliseconds(50));
  F.Server.send(0, answerTo("r2", "early"));
  resetOnClose(F.Server, 0);
  F.Server.close(0);
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.isComplete());
  CHECK(Outcome.Body == "early");
}

TEST_CASE("an idle connection is used only within the declared time") {
  fixture F;
  outcome First;
  F.call(First, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  F.Server.send(0, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=0\r\n"
                   "Content-Length: 0\r\n\r\n");
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  outcome Second;
  F.call(Second, "2");
  REQUIRE(F.received(1, "X-Id: 2"));
}

TEST_CASE("a cancelled call closes its connection and says nothing") {
  fixture F;
  outcome Outcome;
  call_id Id = F.call(Outcome, "1");
  REQUIRE(F.received(0, "X-Id: 1"));
  CHECK(F.Client->cancel(Id));
  CHECK(!F.Client->cancel(Id));
  REQUIRE(turnUntil([&] { return F.Server.Connections[0]->Closed; }));
  CHECK(!Outcome.Result);
}

TEST_CASE("bytes_without_end_that_are_no_answer_end_the_connection") {
  // An upstream goes on until its caller closes, in any part of a message.
  constexpr std::size_t MostTaken = 8U << 20U;
  std::string Begin = "HTTP/1.1 200 OK\r\n";
  std::string Again;
  SUBCASE("a status line") {
    Begin = "HTTP/1.1 200 ";
    Again = std::string(1000, 'x');
  }
  SUBCASE("headers") { Again = "X-More: " + std::string(1000, 'x') + "\r\n"; }
  SUBCASE("one header") {
    Begin += "X-More: ";
    Again = std::string(1000, 'x');
  }
  SUBCASE("empty lines") {
    Begin = "";
    Again = "\r\n\r\n\r\n\r\n";
  }
  SUBCASE("interim answers") {
    Begin = "";
    Again = "HTTP/1.1 102 Processing\r\n\r\n";
  }
  SUBCASE("answers to others") {
    Begin = "";
    Again = answerTo("another", std::string(1000, 'x'));
  }
  SUBCASE("one answer to another") {
    Begin += "X-Id: another\r\nContent-Length: 99999999999\r\n\r\n";
    Again = std::string(1000, 'x');
  }
  SUBCASE("a chunk's head") {
    Begin += "X-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n5;a=";
    Again = std::string(1000, 'x');
  }
  SUBCASE("chunks with long heads") {
    Begin += "X-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n";
    Again = "1;" + std::string(1000, 'x') + "\r\ny\r\n";
  }
  SUBCASE("trailers") {
    Begin += "X-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    Again = "X-More: " + std::string(1000, 'x') + "\r\n";
  }
  for (bool Kept : {false, true}) {
    CAPTURE(Kept);
    fixture F;
    if (Kept) {
      outcome First;
      F.call(First, "r1");
      REQUIRE(F.received(0, "X-Id: r1"));
      F.Server.send(0, answerTo("r1", "one"));
      REQUIRE(turnUntil([&] { return First.isComplete(); }));
    }
    outcome Second;
    F.call(Second, "r2");
    REQUIRE(F.received(0, "X-Id: r2"));
    F.Server.send(0, Begin);
    std::size_t Sent = 0;
    auto Flood = loop_source::every(milliseconds(1), [&] {
      std::string Piece;
      while (Piece.size() < 50'000)
        Piece += Again;
      // A part of it may not fit: whatever arrives must not matter.
      F.Server.send(0, Piece);
      Sent += Piece.size();
      return true;
    });
    REQUIRE(turnUntil([&] { return Second.Result || Sent > MostTaken; }));
    REQUIRE(Second.Result);
    CHECK(Second.Result->Outcome == call_outcome::Broken);
    CHECK(F.Client->counters().OpenConnections == 0);
  }
}

TEST_CASE("an answer over the call's limit is broken off") {
  fixture F;
  call_request Request;
  Request.Address = addressOf(F.Server.port());
  Request.Method = "GET";
  Request.Target = "/t";
  Request.MaxBodyBytes = 100;
  outcome Outcome;
  F.Client->call(std::move(Request), Outcome.events());
  REQUIRE(F.received(0, "GET /t"));
  F.Server.send(0, answerTo("", std::string(101, 'x')));
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Outcome == call_outcome::Broken);
  CHECK(Outcome.Result->Reason == "the answer is too large");
}

TEST_CASE("a probe tells whether anybody listens, and its connection is kept") {
  fixture F;
  std::optional<probe_result> Result;
  auto Note = [&](probe_result Value) { Result = Value; };
  F.Client->probe(addressOf(F.Server.port()), {}, milliseconds(1000), Note);
  REQUIRE(turnUntil([&] { return Result.has_value(); }));
  CHECK(*Result == probe_result::Listening);
  outcome Outcome;
  F.call(Outcome, "r1");
  REQUIRE(F.received(0, "X-Id: r1"));
  CHECK(F.Client->counters().Opened == 1);
  Result.reset();
  std::string Gone = addressOf(listener::open("127.0.0.1:0")->port());
  F.Client->probe(Gone, {}, milliseconds(1000), Note);
  REQUIRE(turnUntil([&] { return Result.has_value(); }));
  CHECK(*Result == probe_result::Refused);
  Result.reset();
  F.Client->probe("no address", {}, milliseconds(1000), Note);
  CHECK(!Result);
  REQUIRE(turnUntil([&] { return Result.has_value(); }));
  CHECK(*Result == probe_result::Unknown);
}

TEST_CASE("request_with_a_text_of_others_that_its_grammar_does_not_permit") {
  fixture F;
  call_request Request;
  Request.Address = addressOf(F.Server.port());
  Request.Method = "GET";
  Request.Target = "/t";
  Request.Headers = {{"Host", "h"}};
  SUBCASE("line break in a value") {
    Request.Headers.add("X-Id", "a\r\nX-Other: b");
  }
  SUBCASE("control byte in a value") { Request.Headers.add("X-Id", "a\x01"); }
  SUBCASE("blank in a name") { Request.Headers.add("X Id", "a"); }
  SUBCASE("blank in the target") { Request.Target = "/a b"; }
  SUBCASE("line break in the target") { Request.Target = "/a\r\nX: b"; }
  SUBCASE("no target") { Request.Target.clear(); }
  outcome Outcome;
  F.Client->call(std::move(Request), Outcome.events());
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Outcome == call_outcome::NotSent);
  CHECK(F.Server.Connections.empty());
}
