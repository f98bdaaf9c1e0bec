#include "turmerichead/net_http.h"

#include "test_loop_pvt.h"

#include <rapidcheck.h>

#include <map>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

struct http_pair {
  std::function<void(const http_request_view &)> OnRequest;
  std::vector<http_exchange_id> Gone;
  std::optional<http_server> Server;
  std::optional<http_client> Client;

  explicit http_pair(http_server_settings Settings = {}) {
    Server = http_server::create(
        "127.0.0.1:0", Settings,
        {.OnRequest =
             [this](const http_request_view &Request) { OnRequest(Request); },
         .OnClientGone = [this](http_exchange_id Id) { Gone.push_back(Id); },
         .OnBadRequest =
             [](int Status, std::string_view) {
               return "{\"error\":" + std::to_string(Status) + "}";
             }});
    REQUIRE(Server);
    Client = http_client::create({});
    REQUIRE(Client);
  }
  std::string url(const std::string &Path) const {
    return "http://" + addressOf(Server->port()) + Path;
  }
};

struct answer {
  int Status = 0;
  std::string Type;
  std::string Body;
  std::optional<http_result> Result;
};

http_call_id call(http_client &Client, answer &Answer,
                  const http_request &Request) {
  return Client.send(
      Request,
      {.OnHeaders =
           [&Answer](int Status, const auto &Header) {
             Answer.Status = Status;
             Answer.Type = Header("content-type").value_or("");
           },
       .OnChunk = [&Answer](std::string_view Bytes) { Answer.Body += Bytes; },
       .OnEnd =
           [&Answer](const http_result &Result) {
             CHECK_FALSE(Answer.Result); // Exactly once.
             Answer.Result = Result;
           }});
}

http_request post(std::string Url, std::string Body) {
  http_request Request;
  Request.Method = "POST";
  Request.Url = std::move(Url);
  Request.Body = std::move(Body);
  return Request;
}

http_request getOf(std::string Url) {
  http_request Request;
  Request.Method = "GET";
  Request.Url = std::move(Url);
  return Request;
}

/// Sends bytes over a plain connection and returns all that comes back until
/// the server closes it.
std::string rawExchange(std::uint16_t Port, const std::string &Bytes) {
  auto Socket = beginConnect(parseAddress(addressOf(Port))->get());
  REQUIRE(Socket);
  std::size_t Sent = 0;
  std::string Input;
  bool Closed = false;
  CHECK(turnUntil([&] {
    if (Sent < Bytes.size()) {
      gssize Count = g_socket_send(Socket->get(), Bytes.data() + Sent,
                                   Bytes.size() - Sent, nullptr, nullptr);
      Sent += Count > 0 ? static_cast<std::size_t>(Count) : 0;
    }
    std::string Buffer(65536, '\0');
    GError *Error = nullptr;
    gssize Count = g_socket_receive(Socket->get(), Buffer.data(), Buffer.size(),
                                    nullptr, &Error);
    if (Count > 0)
      Input.append(Buffer, 0, static_cast<std::size_t>(Count));
    Closed = Count == 0 ||
             (Count < 0 &&
              !g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK));
    g_clear_error(&Error);
    return Closed;
  }));
  return Input;
}

} // namespace

TEST_CASE("a request reaches the handler and its answer comes back") {
  http_pair Pair;
  Pair.OnRequest = [&](const http_request_view &Request) {
    CHECK(std::string(Request.Method) == "POST");
    CHECK(std::string(Request.Path) == "/v1/a b");
    CHECK(std::string(Request.Query) == "x=%20y");
    CHECK(std::string(Request.Body) == "hello");
    CHECK(std::string(Request.Remote) == "127.0.0.1");
    CHECK(Request.header("X-TEST") == std::optional<std::string_view>("1"));
    CHECK_FALSE(Request.header("x-none"));
    CHECK(Pair.Server->respond(Request.Exchange, 201,
                               {{"Content-Type", "text/plain"}}, "world"));
    CHECK_FALSE(Pair.Server->respond(Request.Exchange, 201, {}, "again"));
  };
  answer Answer;
  http_request Request = post(Pair.url("/v1/a%20b?x=%20y"), "hello");
  Request.Headers = {{"x-test", "1"}};
  call(*Pair.Client, Answer, Request);
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::None);
  CHECK(Answer.Status == 201);
  CHECK(Answer.Type == "text/plain");
  CHECK(Answer.Body == "world");
  CHECK(turnUntil([&] { return Pair.Server->openExchanges() == 0; }));
  CHECK(Pair.Gone.empty());
}

TEST_CASE("many calls reuse a few connections") {
  http_pair Pair;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Pair.Server->respond(Request.Exchange, 200, {}, Request.Body);
  };
  for (int Round = 0; Round < 5; ++Round) {
    std::vector<answer> Answers(20);
    for (std::size_t I = 0; I < Answers.size(); ++I)
      call(*Pair.Client, Answers[I],
           post(Pair.url("/"), "body " + std::to_string(I)));
    REQUIRE(turnUntil([&] { return Pair.Client->openCalls() == 0; }));
    for (std::size_t I = 0; I < Answers.size(); ++I)
      CHECK(Answers[I].Body == "body " + std::to_string(I));
  }
  CHECK(Pair.Server->openConnections() <= 20);
}

TEST_CASE("a stream is passed on chunk by chunk") {
  http_pair Pair;
  std::optional<http_exchange_id> Id;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Id = Request.Exchange;
    Pair.Server->beginStream(*Id, 200, {{"Content-Type", "text/event-stream"}});
  };
  answer Answer;
  call(*Pair.Client, Answer, post(Pair.url("/"), "x"));
  REQUIRE(turnUntil([&] { return Answer.Status == 200; }));
  std::string Expected;
  for (int I = 0; I < 100; ++I) {
    std::string Chunk = "chunk " + std::to_string(I) + "\n";
    Expected += Chunk;
    REQUIRE(Pair.Server->writeChunk(*Id, Chunk));
    REQUIRE(turnUntil([&] { return Answer.Body == Expected; }));
  }
  CHECK(turnUntil([&] { return Pair.Server->bufferedBytes(*Id) == 0; }));
  CHECK(Pair.Server->endStream(*Id));
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::None);
  CHECK(Answer.Body == Expected);
  CHECK(Pair.Gone.empty());
}

TEST_CASE("a connection carries one stream after another") {
  http_pair Pair;
  std::vector<http_exchange_id> Open;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Pair.Server->beginStream(Request.Exchange, 200, {});
    Pair.Server->writeChunk(Request.Exchange, Request.Body);
    Open.push_back(Request.Exchange);
  };
  auto Ticker = loop_source::every(milliseconds(1), [&] {
    for (http_exchange_id Id : std::exchange(Open, {})) {
      Pair.Server->writeChunk(Id, " more");
      Pair.Server->writeChunk(Id, " end");
      Pair.Server->endStream(Id);
    }
    return true;
  });
  constexpr int Callers = 20;
  constexpr int Rounds = 20;
  int Answered = 0;
  int Ended = 0;
  std::function<void(int)> Next = [&](int Round) {
    auto Body = std::make_shared<std::string>();
    Pair.Client->send(
        post(Pair.url("/"), "round"),
        {.OnHeaders = {},
         .OnChunk = [Body](std::string_view Bytes) { *Body += Bytes; },
         .OnEnd =
             [&, Body, Round](const http_result &Result) {
               bool Good =
                   Result.Code == error_code::None && *Body == "round more end";
               CAPTURE(Result.Text);
               CHECK(Good);
               Answered += Good ? 1 : 0;
               if (Round + 1 < Rounds)
                 Next(Round + 1);
               else
                 ++Ended;
             }});
  };
  for (int I = 0; I < Callers; ++I)
    Next(0);
  REQUIRE(turnUntil([&] { return Ended == Callers; }));
  CHECK(Answered == Callers * Rounds);
  CHECK(Pair.Gone.empty());
}

TEST_CASE("an aborted stream is not taken for a whole one") {
  http_pair Pair;
  std::optional<http_exchange_id> Id;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Id = Request.Exchange;
    Pair.Server->beginStream(*Id, 200, {});
    Pair.Server->writeChunk(*Id, "half");
  };
  answer Answer;
  call(*Pair.Client, Answer, post(Pair.url("/"), "x"));
  REQUIRE(turnUntil([&] { return Answer.Body == "half"; }));
  CHECK(Pair.Server->abortStream(*Id));
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::Unavailable);
  CHECK(Answer.Result->Sent);
  CHECK(Pair.Gone.empty());
  CHECK(turnUntil([&] { return Pair.Server->openConnections() == 0; }));
}

TEST_CASE("a caller that leaves while it waits is noticed") {
  http_pair Pair;
  std::optional<http_exchange_id> Id;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Id = Request.Exchange;
  };
  answer Answer;
  http_call_id Call = call(*Pair.Client, Answer, post(Pair.url("/"), "x"));
  REQUIRE(turnUntil([&] { return Id.has_value(); }));
  CHECK(Pair.Client->cancel(Call));
  CHECK_FALSE(Pair.Client->cancel(Call));
  REQUIRE(turnUntil([&] { return Pair.Gone.size() == 1; }));
  CHECK(Pair.Gone.front() == *Id);
  CHECK_FALSE(Pair.Server->respond(*Id, 200, {}, "late"));
  CHECK(turnUntil([&] { return Pair.Server->openConnections() == 0; }));
  CHECK_FALSE(Answer.Result);
}

TEST_CASE("a caller that leaves in a stream is noticed") {
  http_pair Pair;
  std::optional<http_exchange_id> Id;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Id = Request.Exchange;
    Pair.Server->beginStream(*Id, 200, {});
    Pair.Server->writeChunk(*Id, "first");
  };
  answer Answer;
  http_call_id Call = call(*Pair.Client, Answer, post(Pair.url("/"), "x"));
  REQUIRE(turnUntil([&] { return Answer.Body == "first"; }));
  CHECK(Pair.Client->cancel(Call));
  REQUIRE(turnUntil([&] { return Pair.Gone.size() == 1; }));
  CHECK_FALSE(Pair.Server->writeChunk(*Id, "second"));
  CHECK(turnUntil([&] { return Pair.Server->openConnections() == 0; }));
}

TEST_CASE("a slow reader is bounded, and cut off after the write timeout") {
  http_server_settings Settings;
  Settings.MaxBufferedBytes = 4U << 20U;
  Settings.WriteTimeout = milliseconds(300);
  http_pair Pair(Settings);
  std::optional<http_exchange_id> Id;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Id = Request.Exchange;
    Pair.Server->beginStream(*Id, 200, {});
  };
  auto Socket =
      beginConnect(parseAddress(addressOf(Pair.Server->port()))->get());
  REQUIRE(Socket);
  std::string Request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
  REQUIRE(turnUntil([&] {
    return g_socket_send(Socket->get(), Request.data(), Request.size(), nullptr,
                         nullptr) > 0;
  }));
  REQUIRE(turnUntil([&] { return Id.has_value(); }));
  std::string Chunk(1U << 20U, 'x');
  bool Refused = false;
  REQUIRE(turnUntil([&] {
    while (!Refused && Pair.Gone.empty())
      if (!Pair.Server->writeChunk(*Id, Chunk)) {
        Refused = lastError().Code == error_code::Refused;
        break;
      }
    return Refused;
  }));
  CHECK(Pair.Server->bufferedBytes(*Id) <= Settings.MaxBufferedBytes);
  REQUIRE(turnUntil([&] { return Pair.Gone.size() == 1; }));
  CHECK(turnUntil([&] { return Pair.Server->openConnections() == 0; }));
}

TEST_CASE("a body over the limit is answered with 413") {
  http_server_settings Settings;
  Settings.MaxBodyBytes = 1000;
  http_pair Pair(Settings);
  Pair.OnRequest = [&](const http_request_view &) { FAIL("handled"); };
  std::string Sized = rawExchange(
      Pair.Server->port(), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                           "2000\r\n\r\n" +
                               std::string(2000, 'x'));
  CHECK(Sized.find("413") != std::string::npos);
  CHECK(Sized.find("{\"error\":413}") != std::string::npos);
  std::string Chunked = rawExchange(
      Pair.Server->port(), "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n7d0\r\n" +
                               std::string(2000, 'x') + "\r\n0\r\n\r\n");
  CHECK(Chunked.find("413") != std::string::npos);
  CHECK(Chunked.find("{\"error\":413}") != std::string::npos);
}

TEST_CASE("headers over the limit are answered with 431") {
  http_server_settings Settings;
  Settings.MaxHeaderBytes = 1000;
  http_pair Pair(Settings);
  Pair.OnRequest = [&](const http_request_view &) { FAIL("handled"); };
  std::string Answer =
      rawExchange(Pair.Server->port(), "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " +
                                           std::string(2000, 'x') + "\r\n\r\n");
  CHECK(Answer.find("431") != std::string::npos);
  CHECK(Answer.find("{\"error\":431}") != std::string::npos);
}

TEST_CASE("headers without end and noise close the connection") {
  http_pair Pair;
  Pair.OnRequest = [&](const http_request_view &) { FAIL("handled"); };
  rawExchange(Pair.Server->port(),
              "GET / HTTP/1.1\r\nX-Long: " + std::string(200000, 'x'));
  std::string Answer =
      rawExchange(Pair.Server->port(), "no request at all\r\n\r\n");
  CHECK(Answer.find("400") != std::string::npos);
  CHECK(turnUntil([&] { return Pair.Server->openConnections() == 0; }));
}

TEST_CASE("slow and idle connections are closed") {
  http_server_settings Settings;
  Settings.RequestTimeout = milliseconds(200);
  Settings.IdleTimeout = milliseconds(200);
  http_pair Pair(Settings);
  Pair.OnRequest = [&](const http_request_view &) { FAIL("handled"); };
  rawExchange(Pair.Server->port(), "");
  rawExchange(Pair.Server->port(), "GET / HTTP/1.1\r\nHos");
  rawExchange(Pair.Server->port(),
              "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf");
  CHECK(turnUntil([&] { return Pair.Server->openConnections() == 0; }));
}

TEST_CASE("two thousand idle connections leave room for a call") {
  http_pair Pair;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Pair.Server->respond(Request.Exchange, 200, {}, "here");
  };
  constexpr std::size_t Count = 400; // Both ends count against one limit.
  std::vector<handle<GSocket>> Idle;
  auto Address = parseAddress(addressOf(Pair.Server->port()));
  for (std::size_t I = 0; I < Count; ++I)
    Idle.push_back(*beginConnect(Address->get()));
  REQUIRE(turnUntil([&] { return Pair.Server->openConnections() == Count; }));
  answer Answer;
  call(*Pair.Client, Answer, getOf(Pair.url("/")));
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Body == "here");
}

TEST_CASE("connections over the limit are closed at once") {
  http_server_settings Settings;
  Settings.MaxConnections = 2;
  http_pair Pair(Settings);
  auto Address = parseAddress(addressOf(Pair.Server->port()));
  auto First = beginConnect(Address->get());
  auto Second = beginConnect(Address->get());
  REQUIRE(turnUntil([&] { return Pair.Server->openConnections() == 2; }));
  CHECK(rawExchange(Pair.Server->port(), "").empty());
}

TEST_CASE("a stopped server finishes what it has begun") {
  http_pair Pair;
  std::optional<http_exchange_id> Id;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Id = Request.Exchange;
  };
  answer First;
  answer Second;
  call(*Pair.Client, First, post(Pair.url("/"), "x"));
  REQUIRE(turnUntil([&] { return Id.has_value(); }));
  std::string Url = Pair.url("/");
  Pair.Server->stopAccepting();
  call(*Pair.Client, Second, post(Url, "x"));
  REQUIRE(turnUntil([&] { return Second.Result.has_value(); }));
  CHECK(Second.Result->Code == error_code::Unavailable);
  CHECK_FALSE(Second.Result->Sent);
  CHECK(Pair.Server->respond(*Id, 200, {}, "whole"));
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  CHECK(First.Body == "whole");
  CHECK(turnUntil([&] { return Pair.Server->openConnections() == 0; }));
}

// A balancer that has not seen the stop yet connects until the last moment.
TEST_CASE("a stopped server answers a connection that waits to be accepted") {
  http_pair Pair;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Pair.Server->respond(Request.Exchange, 200, {}, "taken");
  };
  auto Socket =
      beginConnect(parseAddress(addressOf(Pair.Server->port()))->get());
  REQUIRE(Socket);
  std::string Bytes = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  REQUIRE(g_socket_send(Socket->get(), Bytes.data(), Bytes.size(), nullptr,
                        nullptr) == static_cast<gssize>(Bytes.size()));
  Pair.Server->stopAccepting();
  std::string Input(4096, '\0');
  gssize Count = 0;
  REQUIRE(turnUntil([&] {
    Count = g_socket_receive(Socket->get(), Input.data(), Input.size(), nullptr,
                             nullptr);
    return Count >= 0;
  }));
  Input.resize(static_cast<std::size_t>(Count));
  CHECK(Input.find("taken") != std::string::npos);
}

TEST_CASE("a request on a connection that breaks is sent once") {
  for (const std::string Method : {"POST", "PUT", "DELETE"}) {
    CAPTURE(Method);
    raw_server Raw;
    auto Client = http_client::create({});
    http_request Request = post("http://" + addressOf(Raw.port()) + "/", "{}");
    Request.Method = Method;
    answer First;
    call(*Client, First, Request);
    REQUIRE(turnUntil([&] {
      return Raw.Connections.size() == 1 &&
             Raw.Connections[0]->Input.ends_with("{}");
    }));
    Raw.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
    CHECK(First.Body == "ok");
    // The second request goes over the kept connection, which is closed
    // before an answer.
    Raw.Connections[0]->Input.clear();
    answer Second;
    call(*Client, Second, Request);
    REQUIRE(
        turnUntil([&] { return Raw.Connections[0]->Input.ends_with("{}"); }));
    Raw.close(0);
    REQUIRE(turnUntil([&] { return Second.Result.has_value(); }));
    CHECK(Second.Result->Code == error_code::Unavailable);
    CHECK(Second.Result->Sent);
    // A call of its own shows that nothing else was under way before it.
    answer Third;
    call(*Client, Third, getOf(Request.Url + "third"));
    REQUIRE(turnUntil([&] {
      return Raw.Connections.size() >= 2 &&
             Raw.Connections.back()->Input.find("/third") != std::string::npos;
    }));
    for (std::size_t I = 1; I < Raw.Connections.size(); ++I)
      CHECK(Raw.Connections[I]->Input.find("{}") == std::string::npos);
  }
}

TEST_CASE("a chunked response is whole only with its last chunk") {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::pair<std::string, bool>> Cases = {
      {"0\r\n\r\n", true},
      {"", false},
      {"3\r\nabc\r\n0\r\n\r\n", true},
      {"3\r\nabc\r\n", false},
      {"3\r\nabc", false},
      {"3\r\nab", false},
      {"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", true},
      {"3\r\nabc\r\n2\r\nde\r\n", false},
      {"3\r\nabc\r\n2", false},
  };
  for (bool ByteByByte : {false, true}) {
    for (const auto &Case : Cases) {
      const std::string &Bytes = Case.first;
      const bool Whole = Case.second;
      CAPTURE(Bytes);
      CAPTURE(ByteByByte);
      raw_server Raw;
      auto Client = http_client::create({});
      answer Answer;
      call(*Client, Answer, post("http://" + addressOf(Raw.port()) + "/", "x"));
      REQUIRE(turnUntil([&] {
        return Raw.Connections.size() == 1 &&
               Raw.Connections[0]->Input.ends_with("x");
      }));
      std::string All = Head + Bytes;
      for (std::size_t I = 0; I < All.size(); ++I) {
        if (!ByteByByte) {
          Raw.send(0, All);
          break;
        }
        Raw.send(0, All.substr(I, 1));
        for (int Turn = 0; Turn < 3; ++Turn)
          g_main_context_iteration(nullptr, FALSE);
      }
      if (!Whole)
        Raw.close(0);
      REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
      CHECK((Answer.Result->Code == error_code::None) == Whole);
    }
  }
}

TEST_CASE("a chunked response that announces its closing is whole") {
  raw_server Raw;
  auto Client = http_client::create({});
  answer Answer;
  call(*Client, Answer, post("http://" + addressOf(Raw.port()) + "/", "x"));
  REQUIRE(turnUntil([&] {
    return Raw.Connections.size() == 1 &&
           Raw.Connections[0]->Input.ends_with("x");
  }));
  Raw.send(0, "HTTP/1.1 200 OK\r\nConnection: close\r\n"
              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  Raw.close(0);
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::None);
  CHECK(Answer.Body == "abc");
}

TEST_CASE("a call to nobody was not sent, a bad URL is invalid") {
  raw_server Raw;
  std::string Url = "http://" + addressOf(Raw.port()) + "/";
  Raw = raw_server();
  auto Client = http_client::create({});
  answer Nobody;
  answer Invalid;
  call(*Client, Nobody, post(Url, "x"));
  call(*Client, Invalid, getOf("no url"));
  REQUIRE(turnUntil([&] { return Client->openCalls() == 0; }));
  CHECK(Nobody.Result->Code == error_code::Unavailable);
  CHECK_FALSE(Nobody.Result->Sent);
  CHECK(Invalid.Result->Code == error_code::InvalidInput);
}

TEST_CASE("a call ends when its time is up") {
  raw_server Raw;
  auto Client = http_client::create({});
  http_request Request = post("http://" + addressOf(Raw.port()) + "/", "x");
  Request.Timeout = milliseconds(100);
  answer Whole;
  call(*Client, Whole, Request);
  Request.Timeout = milliseconds(0);
  Request.FirstByteTimeout = milliseconds(100);
  answer FirstByte;
  call(*Client, FirstByte, Request);
  REQUIRE(turnUntil([&] { return Client->openCalls() == 0; }));
  CHECK(Whole.Result->Code == error_code::Timeout);
  CHECK(Whole.Result->Sent);
  CHECK(FirstByte.Result->Code == error_code::Timeout);
  CHECK(turnUntil([&] {
    return Raw.Connections.size() == 2 && Raw.Connections[0]->Closed &&
           Raw.Connections[1]->Closed;
  }));
}

TEST_CASE("a response over the limit is cut off") {
  http_pair Pair;
  Pair.OnRequest = [&](const http_request_view &Request) {
    Pair.Server->respond(Request.Exchange, 200, {}, std::string(100000, 'x'));
  };
  http_request Request = getOf(Pair.url("/"));
  Request.MaxBodyBytes = 1000;
  answer Answer;
  call(*Pair.Client, Answer, Request);
  REQUIRE(turnUntil([&] { return Answer.Result.has_value(); }));
  CHECK(Answer.Result->Code == error_code::Refused);
}

namespace {

std::vector<std::string> split(const std::vector<std::string> &Parts) {
  sse_splitter Splitter;
  std::vector<std::string> Events;
  for (const std::string &Part : Parts)
    Splitter.feed(Part,
                  [&](std::string_view Data) { Events.emplace_back(Data); });
  return Events;
}

} // namespace

TEST_CASE("mixed_head_cut_by_the_end_of_its_connection") {
  // libsoup takes the lines of a head that were received before the end of the
  // connection for a whole head.
  raw_server Server;
  auto Client = http_client::create({});
  std::optional<http_result> Result;
  http_request Request;
  Request.Method = "GET";
  Request.Url = "http://" + addressOf(Server.port()) + "/t";
  Client->send(Request,
               {{}, {}, [&](const http_result &Value) { Result = Value; }});
  REQUIRE(turnUntil([&] {
    return !Server.Connections.empty() &&
           Server.Connections[0]->Input.find("\r\n\r\n") != std::string::npos;
  }));
  std::string Whole =
      "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 12\r\n\r\n";
  std::size_t Size = 0;
  SUBCASE("in the status line") { Size = Whole.find(" OK"); }
  SUBCASE("behind the status line") { Size = Whole.find("X-Own"); }
  SUBCASE("in a name") { Size = Whole.find("Length"); }
  SUBCASE("in a value") { Size = Whole.find("2\r\n\r\n"); }
  SUBCASE("behind the last line") { Size = Whole.size() - 2; }
  Server.send(0, Whole.substr(0, Size));
  Server.close(0);
  REQUIRE(turnUntil([&] { return Result.has_value(); }));
  CHECK(Result->Code == error_code::Unavailable);
}

TEST_CASE("server-sent events are cut at blank lines") {
  CHECK(split({"data: a\n\ndata:b\r\n\r\n: comment\nid: 7\ndata: c\rdata: d\r\r"
               "event: x\n\ndata\n\ndatabase: no\n\ndata: unfinished\n"}) ==
        std::vector<std::string>{"a", "b", "c\nd", ""});
}

TEST_CASE("a stream that broke goes on after its last whole event") {
  sse_splitter Splitter;
  std::string Seen;
  auto Take = [&](std::string_view Data) { Seen += Data; };
  Splitter.feed("id: 1\ndata: a\n\nid: 2\nda", Take);
  CHECK(Splitter.lastId() == "1");
  CHECK(Splitter.unfinished() == 8);
  Splitter.dropUnfinished();
  CHECK(Splitter.unfinished() == 0);
  Splitter.feed("id: 2\r\ndata: b\r\n\r", Take);
  CHECK(Splitter.unfinished() == 0);
  Splitter.feed("\n", Take);
  CHECK(Splitter.unfinished() == 0);
  Splitter.feed("data: c\n\n", Take);
  CHECK(Splitter.lastId() == "2");
  CHECK(Seen == "abc");
}

TEST_CASE("order_end_of_a_stream_inside_an_event") {
  auto IsInside = [](const std::string &Text) {
    sse_splitter Splitter;
    Splitter.feed(Text, [](std::string_view) {});
    return Splitter.isInsideEvent();
  };
  for (const char *Whole :
       {"", "data: a\n\n", "data: a\r\r", "data: a\r\n\r\n", "\n\n", ": note\n",
        "data: a\n\n: note\n", "data: a\r\n\r\n: note\r\n"})
    CHECK_MESSAGE(!IsInside(Whole), Whole);
  for (const char *Cut :
       {"d", "data: a", "data: a\n", "id: 1\n", "x: 1\n: note\n", ": no",
        "data: a\n\ni", "data: a\r\n\r", "data: a\r\n\r\n: note\r"})
    CHECK_MESSAGE(IsInside(Cut), Cut);
}

TEST_CASE("an event over the limit fails the splitter") {
  sse_splitter Splitter(10);
  auto Ignore = [](std::string_view) {};
  CHECK(Splitter.feed("data: 123\n\n", Ignore));
  CHECK_FALSE(Splitter.feed("data: 1234567890", Ignore));
  CHECK_FALSE(Splitter.feed("\n\n", Ignore));
}

TEST_CASE("where the bytes are cut makes no difference") {
  CHECK(rc::check("cuts", [] {
    auto Letters = rc::gen::container<std::string>(
        rc::gen::element('d', 'a', 't', ':', ' ', '\n', '\r', '\n', 'x'));
    std::string Text;
    int Lines = *rc::gen::inRange(0, 20);
    for (int I = 0; I < Lines; ++I)
      Text += *rc::gen::element<std::string>("data: x\n", "\n", "\r\n",
                                             "data:", "\r") +
              *Letters;
    std::vector<std::string> Parts;
    for (std::size_t I = 0; I < Text.size();) {
      auto Length = *rc::gen::inRange<std::size_t>(1, 5);
      Parts.push_back(Text.substr(I, Length));
      I += Length;
    }
    RC_ASSERT(split({Text}) == split(Parts));
  }));
}

// Bodies that stopped short of their end took 219 MB of a host.
TEST_CASE("bodies that stop short are closed while all exceed the limit") {
  constexpr std::size_t Limit = 1U << 20U;
  constexpr std::size_t Callers = 10;
  http_server_settings Settings;
  Settings.MaxHeldBytes = Limit;
  http_pair Pair(Settings);
  Pair.OnRequest = [&](const http_request_view &Request) {
    Pair.Server->respond(Request.Exchange, 200, {}, "served");
  };
  std::vector<handle<GSocket>> Crowd;
  std::string Bytes =
      "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 250000\r\n\r\n" +
      std::string(200'000, 'x');
  std::size_t MostHeld = 0;
  for (std::size_t I = 0; I < Callers; ++I) {
    Crowd.push_back(
        *beginConnect(parseAddress(addressOf(Pair.Server->port()))->get()));
    std::string_view Rest = Bytes;
    time_point End = steadyNow() + milliseconds(200);
    REQUIRE(turnUntil([&] {
      gssize Count = g_socket_send(Crowd.back().get(), Rest.data(), Rest.size(),
                                   nullptr, nullptr);
      Rest.remove_prefix(Count > 0 ? static_cast<std::size_t>(Count) : 0);
      MostHeld = std::max(MostHeld, Pair.Server->heldBytes());
      return Rest.empty() || steadyNow() >= End;
    }));
    turnFor(milliseconds(20));
    MostHeld = std::max(MostHeld, Pair.Server->heldBytes());
  }
  CHECK(MostHeld <= Limit);
  CHECK(Pair.Server->endedForMemory() >= 4);
  CHECK(turnUntil([&] { return Pair.Server->openConnections() <= 6; }));
  std::string Ordinary =
      rawExchange(Pair.Server->port(),
                  "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(Ordinary.find("served") != std::string::npos);
}
