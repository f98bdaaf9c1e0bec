// How answers that HTTP forbids, or that were cut off, end a call of
// http_client.

#include "turmerichead/net_http.h"

#include "test_loop_pvt.h"

#include <sys/socket.h>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

constexpr int ReceiveBufferBytes = 4096;
constexpr std::size_t LongUploadBytes = 3'000'000;
constexpr std::size_t PartBytes = 3000;
constexpr milliseconds TimeToRead{150};

struct received_answer {
  int Status = 0;
  std::string Body;
  std::optional<http_result> Result;
};

void send(http_client &Client, received_answer &Answer,
          const http_request &Request) {
  Client.send(
      Request,
      {.OnHeaders = [&Answer](int Status,
                              const auto &) { Answer.Status = Status; },
       .OnChunk = [&Answer](std::string_view Bytes) { Answer.Body += Bytes; },
       .OnEnd =
           [&Answer](const http_result &Result) { Answer.Result = Result; }});
}

http_request requestTo(const raw_server &Server, std::string Method,
                       std::size_t BodyBytes) {
  http_request Request;
  Request.Method = std::move(Method);
  Request.Url = "http://" + addressOf(Server.port()) + "/t";
  Request.Body = std::string(BodyBytes, 'u');
  return Request;
}

/// Lets the kernel take little of an upload that the server does not read.
void shrinkReceiveBuffer(const raw_server &Server) {
  g_socket_set_option(Server.socket(), SOL_SOCKET, SO_RCVBUF,
                      ReceiveBufferBytes, nullptr);
}

/// Waits for the head of a request on the first connection.
void awaitHead(raw_server &Server) {
  REQUIRE(turnUntil([&] {
    return !Server.Connections.empty() &&
           Server.Connections[0]->Input.find("\r\n\r\n") != std::string::npos;
  }));
}

/// Closes with a reset rather than in order.
void resetFirst(raw_server &Server) {
  linger Linger{.l_onoff = 1, .l_linger = 0};
  setsockopt(g_socket_get_fd(Server.Connections[0]->Socket.get()), SOL_SOCKET,
             SO_LINGER, &Linger, sizeof(Linger));
  Server.close(0);
}

/// Sends \p Bytes in answer to a request with a short body, then closes the
/// connection in order, and returns how the call has ended.
received_answer answerWith(const std::string &Bytes) {
  raw_server Server;
  auto Client = http_client::create({});
  received_answer Answer;
  send(*Client, Answer, requestTo(Server, "POST", 1));
  awaitHead(Server);
  REQUIRE(turnUntil(
      [&] { return Server.Connections[0]->Input.ends_with("\r\n\r\nu"); }));
  Server.send(0, Bytes);
  Server.close(0);
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  return Answer;
}

struct answer_case {
  std::string Name;
  std::string Bytes;
};

const std::string SizedBody = "Content-Length: 2\r\n\r\nok";
const std::string ChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<answer_case> forbiddenAnswers() {
  using namespace std::string_literals;
  std::vector<answer_case> Cases;
  for (const char *Status : {"000", "099", "600", "999", "20", "2000", "2x0"})
    Cases.push_back(
        {Status, "HTTP/1.1 "s + Status + " Status\r\n" + SizedBody});
  const std::vector<answer_case> Heads = {
      {"an unknown version", "HTTP/9.1 200 OK\r\n"},
      {"no version", "200 OK\r\n"},
      {"a blank in a name", "HTTP/1.1 200 OK\r\nX Own: 1\r\n"},
      {"a blank behind a name", "HTTP/1.1 200 OK\r\nX-Own : 1\r\n"},
      {"a control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01Own: 1\r\n"},
      {"a zero byte in a name", "HTTP/1.1 200 OK\r\nX-\0Own: 1\r\n"s},
      {"a byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX-\xe9: 1\r\n"},
      {"no name", "HTTP/1.1 200 OK\r\n: 1\r\n"},
      {"no colon", "HTTP/1.1 200 OK\r\nX-Own\r\n"},
      {"a control byte in a value", "HTTP/1.1 200 OK\r\nX-Own: \x01\r\n"},
      {"a zero byte in a value", "HTTP/1.1 200 OK\r\nX-Own: a\0b\r\n"s},
      {"a first field behind a blank", "HTTP/1.1 200 OK\r\n X-Own: 1\r\n"},
      {"a folded value", "HTTP/1.1 200 OK\r\nX-Own: 1\r\n 2\r\n"},
      {"a lone line feed behind the status line", "HTTP/1.1 200 OK\nX: 1\r\n"},
      {"a lone line feed behind a field", "HTTP/1.1 200 OK\r\nX-Own: 1\n"},
      {"a lone carriage return", "HTTP/1.1 200 OK\r\nX-Own: 1\rX: 2\r\n"},
      {"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n"},
      {"a list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2, 20\r\n"},
      {"a length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n"},
      {"chunks and a length",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"},
      {"a coding that is not known",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"},
  };
  for (const answer_case &Head : Heads)
    Cases.push_back({Head.Name, Head.Bytes + SizedBody});
  const std::vector<answer_case> Bodies = {
      {"a chunk size that is no number", "x\r\nok\r\n0\r\n\r\n"},
      {"a chunk size with a sign", "+2\r\nok\r\n0\r\n\r\n"},
      {"a chunk size of more than 64 bits",
       "10000000000000002\r\nok\r\n0\r\n\r\n"},
      {"a chunk without its end", "2\r\nok0\r\n\r\n"},
      {"a chunk longer than its size", "1\r\nok\r\n0\r\n\r\n"},
      {"no chunk size", "\r\nok\r\n0\r\n\r\n"},
      {"a trailer without a colon", "2\r\nok\r\n0\r\nX-Own\r\n\r\n"},
      {"a trailer that was cut", "2\r\nok\r\n0\r\nX-Own: 1\r\n"},
      {"no end of the trailers", "2\r\nok\r\n0\r\n"},
  };
  for (const answer_case &Body : Bodies)
    Cases.push_back({Body.Name, ChunkedHead + Body.Bytes});
  Cases.push_back({"a body shorter than its length",
                   "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"});
  Cases.push_back({"chunks of a closing connection without the last one",
                   "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"});
  return Cases;
}

} // namespace

TEST_CASE("mixed_forbidden_answer_taken_for_an_answer") {
  for (const answer_case &Case : forbiddenAnswers()) {
    CAPTURE(Case.Name);
    received_answer Answer = answerWith(Case.Bytes);
    CHECK(Answer.Result->Code == error_code::Unavailable);
    CHECK(Answer.Result->Sent);
  }
}

TEST_CASE("answers that HTTP allows are passed on") {
  const std::vector<answer_case> Cases = {
      {"a length", "HTTP/1.1 200 OK\r\n" + SizedBody},
      {"no reason", "HTTP/1.1 200 \r\n" + SizedBody},
      {"a length in a 1.0 answer", "HTTP/1.0 200 OK\r\n" + SizedBody},
      {"an interim answer before it",
       "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + SizedBody},
      {"an empty value", "HTTP/1.1 200 OK\r\nX-Own:\r\n" + SizedBody},
      {"a byte above ASCII in a value",
       "HTTP/1.1 200 OK\r\nX-Own: \xe9\r\n" + SizedBody},
      {"chunks", ChunkedHead + "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"},
      {"a trailer", ChunkedHead + "2\r\nok\r\n0\r\nX-Own: 1\r\n\r\n"},
      {"a chunk extension", ChunkedHead + "2;a=b\r\nok\r\n0\r\n\r\n"},
      {"the end of the connection", "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\nok"},
      {"the end of the connection, no field", "HTTP/1.1 200 OK\r\n\r\nok"},
  };
  for (const answer_case &Case : Cases) {
    CAPTURE(Case.Name);
    received_answer Answer = answerWith(Case.Bytes);
    CHECK(Answer.Result->Code == error_code::None);
    CHECK(Answer.Result->Status == 200);
    CHECK(Answer.Body == "ok");
  }
}

// The server reads little more than the head of the request, and answers. A
// close with unread bytes resets the connection, too.
TEST_CASE("mixed_answer_cut_by_a_reset_during_the_upload") {
  for (const char *Head : {"HTTP/1.1 200 OK\r\n\r\n",
                           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                           "HTTP/1.0 200 OK\r\nX-Own: 1\r\n\r\n"}) {
    for (bool Closes : {true, false}) {
      CAPTURE(Head);
      CAPTURE(Closes);
      raw_server Server;
      shrinkReceiveBuffer(Server);
      auto Client = http_client::create({});
      received_answer Answer;
      send(*Client, Answer, requestTo(Server, "POST", LongUploadBytes));
      awaitHead(Server);
      Server.Reading = false;
      Server.send(0, Head + std::string(PartBytes, 'p'));
      turnFor(TimeToRead);
      Closes ? Server.close(0) : resetFirst(Server);
      REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
      CHECK(Answer.Result->Code == error_code::Unavailable);
      CHECK(Answer.Result->Sent);
    }
  }
}

// Only the sending direction is shut down: nothing resets the connection.
TEST_CASE("mixed_answer_ended_by_its_connection_during_the_upload") {
  raw_server Server;
  shrinkReceiveBuffer(Server);
  auto Client = http_client::create({});
  received_answer Answer;
  http_request Request = requestTo(Server, "POST", LongUploadBytes);
  send(*Client, Answer, Request);
  awaitHead(Server);
  Server.Reading = false;
  Server.send(0, "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n" +
                     std::string(PartBytes, 'p'));
  turnFor(TimeToRead);
  g_socket_shutdown(Server.Connections[0]->Socket.get(), FALSE, TRUE, nullptr);
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::Unavailable);
  CHECK(Answer.Result->Sent);
}

TEST_CASE("mixed_answer_cut_by_a_reset_after_the_upload") {
  raw_server Server;
  auto Client = http_client::create({});
  received_answer Answer;
  send(*Client, Answer, requestTo(Server, "POST", 1));
  awaitHead(Server);
  Server.send(0, "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\npart");
  REQUIRE(turnUntil([&] { return Answer.Body == "part"; }));
  resetFirst(Server);
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::Unavailable);
}

TEST_CASE("a whole answer during the upload is passed on") {
  raw_server Server;
  shrinkReceiveBuffer(Server);
  auto Client = http_client::create({});
  received_answer Answer;
  send(*Client, Answer, requestTo(Server, "POST", LongUploadBytes));
  awaitHead(Server);
  Server.Reading = false;
  Server.send(0, "HTTP/1.1 413 Content Too Large\r\n" + SizedBody);
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::None);
  CHECK(Answer.Result->Status == 413);
  CHECK(Answer.Body == "ok");
}

// The coding is not passed on, so that callers would take the bytes as they
// are.
TEST_CASE("mixed_encoded_body_passed_on_without_its_coding") {
  std::string Start = "HTTP/1.1 200 OK\r\nContent-Encoding: ";
  received_answer Encoded = answerWith(Start + "gzip\r\n" + SizedBody);
  CHECK(Encoded.Result->Code == error_code::Unavailable);
  CHECK(Encoded.Result->Sent);
  CHECK(Encoded.Body.empty());
  received_answer Plain = answerWith(Start + "identity\r\n" + SizedBody);
  CHECK(Plain.Result->Code == error_code::None);
  CHECK(Plain.Body == "ok");
}
