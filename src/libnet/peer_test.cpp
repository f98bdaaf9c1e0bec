#include "turmerichead/net_peer.h"

#include "test_loop_pvt.h"

#include <limits>
#include <map>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

peer_settings settingsOf(std::string Host) {
  peer_settings Settings;
  Settings.Host = std::move(Host);
  Settings.PingInterval = milliseconds(50);
  Settings.PingTimeout = milliseconds(400);
  return Settings;
}

constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

/// A server whose handler is given per path, and links to it.
struct pair_of_hosts {
  memory_budget Budget; ///< Outlives the server.
  std::map<std::string, std::function<void(const peer_request_view &)>> Paths;
  std::vector<peer_reply_id> Gone;
  std::optional<peer_server> Server;
  std::optional<peer_links> Links;

  explicit pair_of_hosts(const peer_settings &ServerSettings = settingsOf("b"),
                         const std::string &ServerKey = "key",
                         std::size_t MemoryBytes = Unlimited)
      : Budget(MemoryBytes) {
    Server = peer_server::create(
        "127.0.0.1:0", ServerSettings, ServerKey,
        {.OnRequest =
             [this](const peer_request_view &Request) {
               Paths.at(std::string(Request.Path))(Request);
             },
         .OnGone = [this](peer_reply_id Id) { Gone.push_back(Id); }},
        &Budget);
    REQUIRE(Server);
    Links = peer_links::create(settingsOf("a"), "key");
    REQUIRE(Links);
    REQUIRE(Links->setAddress("b", addressOf(Server->port())));
  }
};

/// What one request was answered.
struct outcome {
  std::vector<std::string> Messages;
  std::optional<peer_result> Result;
};

peer_stream_id ask(peer_links &Links, outcome &Outcome, peer_request Request,
                   std::string_view Host = "b") {
  return Links.send(Host, std::move(Request),
                    {.OnMessage =
                         [&Outcome](std::string_view Message) {
                           Outcome.Messages.emplace_back(Message);
                         },
                     .OnEnd =
                         [&Outcome](const peer_result &Result) {
                           CHECK_FALSE(Outcome.Result); // Exactly once.
                           Outcome.Result = Result;
                         }});
}

} // namespace

TEST_CASE("a request is answered by messages and an end") {
  pair_of_hosts Hosts;
  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    CHECK(std::string(Request.Host) == "a");
    CHECK(std::string(Request.header("x-rank")) == "urgent");
    CHECK(Hosts.Server->write(Request.Reply, std::string(Request.Body) + "1"));
    CHECK(Hosts.Server->write(Request.Reply, ""));
    CHECK(Hosts.Server->end(Request.Reply, {error_code::Refused, "why"}));
    CHECK_FALSE(Hosts.Server->write(Request.Reply, "late"));
  };
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {{"x-rank", "urgent"}}, "body"});
  CHECK(Hosts.Links->counters().OpenStreams == 1);
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Messages == std::vector<std::string>{"body1", ""});
  CHECK(Outcome.Result->Code == error_code::Refused);
  CHECK(Outcome.Result->Text == "why");
  CHECK(Outcome.Result->Answered);
  CHECK(Outcome.Result->Sent);
  CHECK(Hosts.Links->isUp("b"));
  CHECK(Hosts.Gone.empty());
}

namespace {

constexpr std::size_t SmallBudget = 1U << 20U;
constexpr std::size_t LargeMessages = 6;

} // namespace

// What links held for other hosts came on top of the memory budget.
TEST_CASE("requests that are not complete are refused above the budget") {
  constexpr std::size_t BodyBytes = 800'000;
  pair_of_hosts Hosts(settingsOf("b"), "key", SmallBudget);
  std::size_t Handled = 0;
  Hosts.Paths["/store"] = [&](const peer_request_view &Request) {
    CHECK(Request.Body == std::string(BodyBytes, 'x'));
    ++Handled;
    Hosts.Server->end(Request.Reply, {});
  };
  std::vector<outcome> Outcomes(LargeMessages);
  for (outcome &Outcome : Outcomes)
    ask(*Hosts.Links, Outcome, {"/store", {}, std::string(BodyBytes, 'x')});
  REQUIRE(turnUntil([&] { return Hosts.Links->counters().OpenStreams == 0; }));
  std::size_t Refused = 0;
  for (const outcome &Outcome : Outcomes)
    if (Outcome.Result->Code == error_code::Refused) {
      CHECK_FALSE(Outcome.Result->Sent);
      ++Refused;
    }
  CHECK(Refused > 0);
  CHECK(Handled == LargeMessages - Refused);
  CHECK(Hosts.Server->counters().EndedForMemory == Refused);
  REQUIRE(turnUntil([&] { return Hosts.Budget.total() == 0; }));
}

// As above, for responses.
TEST_CASE("responses that are not read end above the budget") {
  constexpr std::size_t MessageBytes = 800'000;
  pair_of_hosts Hosts(settingsOf("b"), "key", SmallBudget);
  std::vector<peer_reply_id> Replies;
  Hosts.Paths["/fetch"] = [&](const peer_request_view &Request) {
    Replies.push_back(Request.Reply);
  };
  std::vector<outcome> Outcomes(LargeMessages);
  for (outcome &Outcome : Outcomes)
    ask(*Hosts.Links, Outcome, {"/fetch", {}, {}});
  REQUIRE(turnUntil([&] { return Replies.size() == LargeMessages; }));
  for (peer_reply_id Reply : Replies)
    CHECK(Hosts.Server->write(Reply, std::string(MessageBytes, 'y')));
  REQUIRE(turnUntil([&] {
    std::uint64_t Ended = Hosts.Server->counters().EndedForMemory;
    return Ended > 0 && Hosts.Gone.size() == Ended;
  }));
  for (peer_reply_id Reply : Replies)
    Hosts.Server->end(Reply, {});
  REQUIRE(turnUntil([&] { return Hosts.Links->counters().OpenStreams == 0; }));
  std::size_t Complete = 0;
  for (const outcome &Outcome : Outcomes)
    Complete += Outcome.Result->Code == error_code::None ? 1 : 0;
  CHECK(Complete > 0);
  CHECK(Complete + Hosts.Server->counters().EndedForMemory == LargeMessages);
  REQUIRE(turnUntil([&] { return Hosts.Budget.total() == 0; }));
}

TEST_CASE("a thousand streams with crossed answers share one link") {
  pair_of_hosts Hosts;
  std::vector<std::pair<peer_reply_id, std::string>> Waiting;
  Hosts.Paths["/echo"] = [&](const peer_request_view &Request) {
    Waiting.emplace_back(Request.Reply, Request.Body);
  };
  constexpr std::size_t Count = 1000;
  std::vector<outcome> Outcomes(Count);
  for (std::size_t I = 0; I < Count; ++I)
    ask(*Hosts.Links, Outcomes[I], {"/echo", {}, std::to_string(I)});
  REQUIRE(turnUntil([&] { return Waiting.size() == Count; }));
  for (auto Each = Waiting.rbegin(); Each != Waiting.rend(); ++Each) {
    CHECK(Hosts.Server->write(Each->first, Each->second));
    CHECK(Hosts.Server->end(Each->first, {}));
  }
  REQUIRE(turnUntil([&] { return Hosts.Links->counters().OpenStreams == 0; }));
  for (std::size_t I = 0; I < Count; ++I) {
    CHECK(Outcomes[I].Messages == std::vector<std::string>{std::to_string(I)});
    CHECK(Outcomes[I].Result->Code == error_code::None);
  }
  CHECK(Hosts.Links->counters().OpenLinks == 1);
}

TEST_CASE("large bodies pass both ways beside each other") {
  pair_of_hosts Hosts;
  Hosts.Paths["/echo"] = [&](const peer_request_view &Request) {
    CHECK(Hosts.Server->write(Request.Reply, Request.Body));
    CHECK(Hosts.Server->write(Request.Reply, Request.Body));
    CHECK(Hosts.Server->end(Request.Reply, {}));
  };
  constexpr std::size_t BodyBytes = 16U << 20U;
  std::vector<outcome> Outcomes(8);
  for (std::size_t I = 0; I < Outcomes.size(); ++I)
    ask(*Hosts.Links, Outcomes[I],
        {"/echo", {}, std::string(BodyBytes, static_cast<char>('a' + I))});
  REQUIRE(turnUntil([&] { return Hosts.Links->counters().OpenStreams == 0; }));
  for (std::size_t I = 0; I < Outcomes.size(); ++I) {
    std::string Expected(BodyBytes, static_cast<char>('a' + I));
    REQUIRE(Outcomes[I].Messages.size() == 2);
    CHECK((Outcomes[I].Messages[0] == Expected));
    CHECK((Outcomes[I].Messages[1] == Expected));
  }
}

TEST_CASE("a wrong key gets nothing served") {
  pair_of_hosts Hosts(settingsOf("b"), "another key");
  Hosts.Paths["/call"] = [&](const peer_request_view &) { FAIL("served"); };
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {}, "body"});
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Code == error_code::Unauthorized);
  CHECK_FALSE(Outcome.Result->Sent);
  CHECK_FALSE(Hosts.Links->isUp("b"));
}

TEST_CASE("an address that belongs to another host is not written to") {
  pair_of_hosts Hosts;
  Hosts.Paths["/call"] = [&](const peer_request_view &) { FAIL("served"); };
  Hosts.Links->setAddress("c", addressOf(Hosts.Server->port()));
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {}, "body"}, "c");
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Code == error_code::Unauthorized);
  CHECK_FALSE(Outcome.Result->Sent);
}

TEST_CASE("a host that is not there was not sent to") {
  pair_of_hosts Hosts;
  raw_server Closed;
  std::uint16_t Port = Closed.port();
  Closed = raw_server();
  Hosts.Links->setAddress("gone", addressOf(Port));
  outcome First;
  outcome Second;
  outcome Nameless;
  ask(*Hosts.Links, First, {"/call", {}, ""}, "gone");
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  ask(*Hosts.Links, Second, {"/call", {}, ""}, "gone");
  ask(*Hosts.Links, Nameless, {"/call", {}, ""}, "nameless");
  REQUIRE(turnUntil([&] { return Nameless.Result.has_value(); }));
  for (const outcome *Each : {&First, &Second, &Nameless}) {
    CHECK(Each->Result->Code == error_code::Unavailable);
    CHECK_FALSE(Each->Result->Sent);
  }
}

TEST_CASE("a cancelled request is told to the server and to nobody else") {
  pair_of_hosts Hosts;
  std::optional<peer_reply_id> Reply;
  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    Reply = Request.Reply;
    CHECK(Hosts.Server->write(Request.Reply, "first"));
  };
  outcome Outcome;
  peer_stream_id Id = ask(*Hosts.Links, Outcome, {"/call", {}, "body"});
  REQUIRE(turnUntil([&] { return Outcome.Messages.size() == 1; }));
  CHECK(Hosts.Links->cancel(Id));
  CHECK_FALSE(Hosts.Links->cancel(Id));
  REQUIRE(turnUntil([&] { return !Hosts.Gone.empty(); }));
  CHECK(Hosts.Gone.front() == *Reply);
  CHECK_FALSE(Hosts.Server->write(*Reply, "second"));
  CHECK_FALSE(Outcome.Result);
}

TEST_CASE("a receiver may cancel its own stream and start others") {
  pair_of_hosts Hosts;
  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    for (int I = 0; I < 3; ++I)
      Hosts.Server->write(Request.Reply, "message");
    Hosts.Server->end(Request.Reply, {});
  };
  int Messages = 0;
  std::vector<outcome> Others(50);
  peer_stream_id Id;
  Id = Hosts.Links->send(
      "b", {"/call", {}, ""},
      {.OnMessage =
           [&](std::string_view Message) {
             ++Messages;
             CHECK(Hosts.Links->cancel(Id));
             for (outcome &Other : Others)
               ask(*Hosts.Links, Other, {"/call", {}, ""});
             CHECK(std::string(Message) == "message");
           },
       .OnEnd = [](const peer_result &) { FAIL("ended after cancel"); }});
  REQUIRE(turnUntil([&] {
    return Messages == 1 && Hosts.Links->counters().OpenStreams == 0;
  }));
  for (const outcome &Other : Others)
    CHECK(Other.Messages.size() == 3);
}

TEST_CASE("a stopped server ends streams as sent, and a new one serves") {
  pair_of_hosts Hosts;
  bool Asked = false;
  Hosts.Paths["/call"] = [&](const peer_request_view &) { Asked = true; };
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {}, "body"});
  REQUIRE(turnUntil([&] { return Asked; }));
  Hosts.Server.reset();
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Code == error_code::Unavailable);
  CHECK(Outcome.Result->Sent);
  CHECK_FALSE(Outcome.Result->Answered);
  CHECK(Hosts.Links->counters().LinksLost == 1);

  pair_of_hosts Next;
  Next.Paths["/call"] = [&](const peer_request_view &Request) {
    Next.Server->end(Request.Reply, {});
  };
  Hosts.Links->setAddress("b", addressOf(Next.Server->port()));
  outcome Again;
  ask(*Hosts.Links, Again, {"/call", {}, "body"});
  REQUIRE(turnUntil([&] { return Again.Result.has_value(); }));
  CHECK(Again.Result->Code == error_code::None);
}

TEST_CASE("a silent link is noticed by its pings") {
  // The relay stands for a network that drops every packet from a moment on.
  pair_of_hosts Hosts;
  bool Asked = false;
  Hosts.Paths["/call"] = [&](const peer_request_view &) { Asked = true; };
  raw_server Relay;
  auto Forward =
      beginConnect(parseAddress(addressOf(Hosts.Server->port()))->get());
  REQUIRE(Forward);
  bool Cut = false;
  std::size_t Passed = 0;
  auto Pump = loop_source::every(milliseconds(1), [&] {
    if (Cut || Relay.Connections.empty())
      return true;
    const std::string &Input = Relay.Connections[0]->Input;
    gssize Sent = g_socket_send(Forward->get(), Input.data() + Passed,
                                Input.size() - Passed, nullptr, nullptr);
    Passed += Sent > 0 ? static_cast<std::size_t>(Sent) : 0;
    std::string Bytes(65536, '\0');
    gssize Count = g_socket_receive(Forward->get(), Bytes.data(), Bytes.size(),
                                    nullptr, nullptr);
    if (Count > 0)
      Relay.send(0, std::string_view(Bytes).substr(
                        0, static_cast<std::size_t>(Count)));
    return true;
  });
  Hosts.Links->setRoute("b", addressOf(Relay.port()));
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {}, "body"});
  REQUIRE(turnUntil([&] { return Asked; }));
  Cut = true;
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Code == error_code::Unavailable);
  CHECK(Outcome.Result->Sent);
  REQUIRE(turnUntil([&] { return Hosts.Gone.size() == 1; }));

  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    Hosts.Server->end(Request.Reply, {});
  };
  Hosts.Links->setRoute("b", "");
  outcome Again;
  ask(*Hosts.Links, Again, {"/call", {}, "body"});
  REQUIRE(turnUntil([&] { return Again.Result.has_value(); }));
  CHECK(Again.Result->Code == error_code::None);
}

TEST_CASE("a message over the limit is refused as not run") {
  peer_settings Small = settingsOf("b");
  Small.MaxMessageBytes = 1000;
  pair_of_hosts Hosts(Small);
  Hosts.Paths["/call"] = [&](const peer_request_view &) { FAIL("served"); };
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {}, std::string(5000, 'x')});
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Code == error_code::Refused);
  CHECK_FALSE(Outcome.Result->Sent);
  CHECK(Hosts.Links->isUp("b"));
}

TEST_CASE("headers over the limit are refused as not run") {
  peer_settings Small = settingsOf("b");
  Small.MaxHeaderBytes = 1000;
  pair_of_hosts Hosts(Small);
  Hosts.Paths["/call"] = [&](const peer_request_view &) { FAIL("served"); };
  outcome Outcome;
  ask(*Hosts.Links, Outcome,
      {"/call", {{"x-long", std::string(5000, 'x')}}, ""});
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Code == error_code::Refused);
  CHECK_FALSE(Outcome.Result->Sent);
}

TEST_CASE("a response that nobody reads is bounded") {
  peer_settings Small = settingsOf("b");
  Small.MaxBufferedBytes = 1U << 20U;
  pair_of_hosts Hosts(Small);
  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    std::string Chunk(100000, 'x');
    int Taken = 0;
    while (Hosts.Server->write(Request.Reply, Chunk))
      ++Taken;
    CHECK(lastError().Code == error_code::Refused);
    CHECK(Taken == 10);
    Hosts.Server->end(Request.Reply, {});
  };
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {}, ""});
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Messages.size() == 10);
}

TEST_CASE("a draining server finishes replies and refuses requests") {
  pair_of_hosts Hosts;
  std::optional<peer_reply_id> Reply;
  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    Reply = Request.Reply;
  };
  outcome First;
  ask(*Hosts.Links, First, {"/call", {}, ""});
  REQUIRE(turnUntil([&] { return Reply.has_value(); }));
  Hosts.Server->stopAccepting();
  outcome Second;
  ask(*Hosts.Links, Second, {"/call", {}, ""});
  REQUIRE(turnUntil([&] { return Second.Result.has_value(); }));
  CHECK_FALSE(Second.Result->Sent);
  CHECK(Hosts.Server->write(*Reply, "whole"));
  CHECK(Hosts.Server->end(*Reply, {}));
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  CHECK(First.Result->Code == error_code::None);
  CHECK(First.Messages == std::vector<std::string>{"whole"});
}

TEST_CASE("a changed address lets open streams end on the old link") {
  pair_of_hosts Hosts;
  pair_of_hosts Moved;
  std::optional<peer_reply_id> Reply;
  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    Reply = Request.Reply;
  };
  Moved.Paths["/call"] = [&](const peer_request_view &Request) {
    Moved.Server->end(Request.Reply, {});
  };
  outcome First;
  outcome Second;
  ask(*Hosts.Links, First, {"/call", {}, ""});
  REQUIRE(turnUntil([&] { return Reply.has_value(); }));
  Hosts.Links->setAddress("b", addressOf(Moved.Server->port()));
  ask(*Hosts.Links, Second, {"/call", {}, ""});
  REQUIRE(turnUntil([&] { return Second.Result.has_value(); }));
  CHECK(Second.Result->Code == error_code::None);
  CHECK_FALSE(First.Result);
  Hosts.Server->end(*Reply, {});
  REQUIRE(turnUntil([&] { return First.Result.has_value(); }));
  CHECK(First.Result->Code == error_code::None);
  CHECK(turnUntil([&] { return Hosts.Links->counters().OpenLinks == 1; }));
}

TEST_CASE("noise before the handshake costs the connection only") {
  pair_of_hosts Hosts;
  Hosts.Paths["/call"] = [&](const peer_request_view &Request) {
    Hosts.Server->end(Request.Reply, {});
  };
  auto Socket =
      beginConnect(parseAddress(addressOf(Hosts.Server->port()))->get());
  REQUIRE(Socket);
  std::string Noise(1000, 'z');
  REQUIRE(turnUntil([&] {
    return g_socket_send(Socket->get(), Noise.data(), Noise.size(), nullptr,
                         nullptr) > 0;
  }));
  REQUIRE(turnUntil([&] {
    std::string Bytes(100, '\0');
    return g_socket_receive(Socket->get(), Bytes.data(), Bytes.size(), nullptr,
                            nullptr) == 0 ||
           Hosts.Server->counters().OpenLinks == 0;
  }));
  outcome Outcome;
  ask(*Hosts.Links, Outcome, {"/call", {}, ""});
  REQUIRE(turnUntil([&] { return Outcome.Result.has_value(); }));
  CHECK(Outcome.Result->Code == error_code::None);
}
