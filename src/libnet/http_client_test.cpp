// Limits and requests of http_client; its answers are in http_answers_test.cpp.

#include "turmerichead/net_http.h"

#include "test_loop_pvt.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

const std::string EmptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

http_request getFrom(const raw_server &Server, const std::string &Path) {
  http_request Request;
  Request.Method = "GET";
  Request.Url = "http://" + addressOf(Server.port()) + Path;
  return Request;
}

http_call_id send(http_client &Client, const http_request &Request,
                  std::optional<http_result> &Result) {
  return Client.send(Request, {.OnHeaders = {},
                               .OnChunk = {},
                               .OnEnd = [&Result](const http_result &Value) {
                                 CHECK_FALSE(Result);
                                 Result = Value;
                               }});
}

bool hasRequest(const raw_server &Server, std::size_t Index) {
  return Server.Connections.size() > Index &&
         Server.Connections[Index]->Input.ends_with("\r\n\r\n");
}

http_client clientWith(std::size_t MaxPerHost, std::size_t MaxTotal) {
  http_client_settings Settings;
  Settings.MaxPerHost = MaxPerHost;
  Settings.MaxTotal = MaxTotal;
  return std::move(*http_client::create(Settings));
}

} // namespace

TEST_CASE("calls above the limit of an address wait for an earlier one") {
  raw_server Server;
  http_client Client = clientWith(1, 10);
  std::optional<http_result> First;
  std::optional<http_result> Second;
  send(Client, getFrom(Server, "/first"), First);
  send(Client, getFrom(Server, "/second"), Second);
  REQUIRE(turnUntil([&] { return hasRequest(Server, 0); }));
  turnFor(milliseconds(50));
  CHECK(Server.Connections.size() == 1);
  CHECK(Server.Connections[0]->Input.find("/second") == std::string::npos);
  Server.Connections[0]->Input.clear();
  Server.send(0, EmptyAnswer);
  REQUIRE(turnUntil([&] { return hasRequest(Server, 0); }));
  CHECK(Server.Connections[0]->Input.starts_with("GET /second "));
  Server.send(0, EmptyAnswer);
  REQUIRE(turnUntil([&] { return Second.has_value(); }));
  CHECK(First->Code == error_code::None);
  CHECK(Second->Code == error_code::None);
}

TEST_CASE("calls above the limit of all addresses wait for an earlier one") {
  raw_server First;
  raw_server Other;
  http_client Client = clientWith(10, 1);
  std::optional<http_result> FirstResult;
  std::optional<http_result> OtherResult;
  send(Client, getFrom(First, "/"), FirstResult);
  send(Client, getFrom(Other, "/"), OtherResult);
  REQUIRE(turnUntil([&] { return hasRequest(First, 0); }));
  turnFor(milliseconds(50));
  CHECK(Other.Connections.empty());
  First.send(0, EmptyAnswer);
  REQUIRE(turnUntil([&] { return hasRequest(Other, 0); }));
  Other.send(0, EmptyAnswer);
  REQUIRE(turnUntil([&] { return OtherResult.has_value(); }));
}

TEST_CASE("a call that waits for an earlier one can end before it is sent") {
  raw_server Server;
  http_client Client = clientWith(1, 10);
  std::optional<http_result> First;
  std::optional<http_result> Late;
  std::optional<http_result> Cancelled;
  std::optional<http_result> Last;
  http_call_id FirstId = send(Client, getFrom(Server, "/first"), First);
  http_request LateRequest = getFrom(Server, "/late");
  LateRequest.Timeout = milliseconds(30);
  send(Client, LateRequest, Late);
  http_call_id Id = send(Client, getFrom(Server, "/cancelled"), Cancelled);
  send(Client, getFrom(Server, "/last"), Last);
  REQUIRE(turnUntil([&] { return Late.has_value(); }));
  CHECK(Late->Code == error_code::Timeout);
  CHECK_FALSE(Late->Sent);
  CHECK(Client.cancel(Id));
  CHECK_FALSE(Client.cancel(Id));
  REQUIRE(turnUntil([&] { return hasRequest(Server, 0); }));
  CHECK(Client.cancel(FirstId));
  REQUIRE(turnUntil([&] { return hasRequest(Server, 1); }));
  CHECK(Server.Connections[1]->Input.starts_with("GET /last "));
  CHECK_FALSE(Cancelled);
  CHECK(Client.openCalls() == 1);
}

TEST_CASE("a request that would not be one request is refused") {
  using namespace std::string_literals;
  raw_server Server;
  auto Client = http_client::create({});
  std::vector<http_request> Requests(10, getFrom(Server, "/"));
  Requests[0].Url = "https://127.0.0.1:1/";
  Requests[1].Url = "http://host.example/";
  Requests[2].Url = "http://127.0.0.1:70000/";
  Requests[3].Url = "http://user@127.0.0.1:1/";
  Requests[4].Method = "GET / HTTP/1.1\r\nX: ";
  Requests[5].Method = "";
  Requests[6].Headers = {{"X-A: 1\r\nX-B", "1"}};
  Requests[7].Headers = {{"", "1"}};
  Requests[8].Headers = {{"X-A", "1\r\nX-B: 1"}};
  Requests[9].Headers = {{"X-A", "a\0b"s}};
  for (const http_request &Request : Requests) {
    CAPTURE(Request.Url);
    std::optional<http_result> Result;
    send(*Client, Request, Result);
    REQUIRE(turnUntil([&] { return Result.has_value(); }));
    CHECK(Result->Code == error_code::InvalidInput);
    CHECK_FALSE(Result->Sent);
  }
  CHECK(Server.Connections.empty());
}

TEST_CASE("bytes that no request line holds are percent-encoded") {
  raw_server Server;
  auto Client = http_client::create({});
  std::optional<http_result> Result;
  send(*Client, getFrom(Server, "/a b\r\n\xc3\xa9%20?c=%0d#part"), Result);
  REQUIRE(turnUntil([&] { return hasRequest(Server, 0); }));
  CHECK(Server.Connections[0]->Input.starts_with(
      "GET /a%20b%0D%0A%C3%A9%20?c=%0d HTTP/1.1\r\n"));
  Server.close(0);
  REQUIRE(turnUntil([&] { return Result.has_value(); }));
}

TEST_CASE("a call with a connection of its own takes no kept one") {
  raw_server Server;
  auto Client = http_client::create({});
  std::optional<http_result> First;
  std::optional<http_result> Second;
  send(*Client, getFrom(Server, "/"), First);
  REQUIRE(turnUntil([&] { return hasRequest(Server, 0); }));
  Server.send(0, EmptyAnswer);
  REQUIRE(turnUntil([&] { return First.has_value(); }));
  http_request Request = getFrom(Server, "/");
  Request.FreshConnection = true;
  send(*Client, Request, Second);
  REQUIRE(turnUntil([&] { return hasRequest(Server, 1); }));
  Server.send(1, EmptyAnswer);
  REQUIRE(turnUntil([&] { return Second.has_value(); }));
}

TEST_CASE("a result tells how the end of its answer was marked") {
  raw_server Server;
  auto Client = http_client::create({});
  std::optional<http_result> Result;
  send(*Client, getFrom(Server, "/"), Result);
  REQUIRE(turnUntil([&] { return hasRequest(Server, 0); }));
  auto End = http1::answer_end::Length;
  SUBCASE("length") { Server.send(0, EmptyAnswer); }
  SUBCASE("last chunk") {
    End = http1::answer_end::LastChunk;
    Server.send(0, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "0\r\n\r\n");
  }
  SUBCASE("connection") {
    End = http1::answer_end::Connection;
    Server.send(0, "HTTP/1.1 200 OK\r\n\r\nbody");
    Server.close(0);
  }
  REQUIRE(turnUntil([&] { return Result.has_value(); }));
  CHECK(Result->Code == error_code::None);
  CHECK(Result->End == End);
}
