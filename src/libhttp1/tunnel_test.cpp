#include "tunnel_pvt.h"

#include "../libnet/test_loop_pvt.h"
#include "turmerichead/http1_client.h"
#include "turmerichead/http1_tunnel.h"

#include <rapidcheck.h>
#include <sys/socket.h>

using namespace turmerichead;
using namespace turmerichead::http1;
using turmerichead::pvt::addressOf;
using turmerichead::pvt::freeAddress;
using turmerichead::pvt::raw_server;
using turmerichead::pvt::turnFor;
using turmerichead::pvt::turnUntil;

namespace {

struct tunnel_fixture {
  memory_budget Budget; ///< Outlives the server.
  raw_server Upstream;
  std::string Target = addressOf(Upstream.port());
  std::optional<tunnel_server> Server;
  std::optional<client> Client;
  std::string Via;

  int Status = 0;
  std::string Body;
  std::optional<call_result> Result;

  explicit tunnel_fixture(std::string ClientKey = "key",
                          std::size_t MemoryBytes = 64U << 20U)
      : Budget(MemoryBytes) {
    tunnel_settings Settings;
    Settings.Listen = "127.0.0.1:0";
    Settings.SharedKey = "key";
    tunnel_events Events;
    Events.Resolve =
        [this](std::string_view Address) -> std::optional<std::string> {
      if (Address != Target)
        return std::nullopt;
      return Target;
    };
    Server = tunnel_server::create(Settings, std::move(Events), &Budget);
    Via = addressOf(Server->port());
    client_settings ClientSettings;
    ClientSettings.TunnelKey = std::move(ClientKey);
    Client = client::create(ClientSettings);
  }
  call_id call(std::string Text = {}) {
    Status = 0;
    Body.clear();
    Result.reset();
    call_request Request;
    Request.Address = Target;
    Request.Via = Via;
    Request.Method = "POST";
    Request.Target = "/t";
    Request.Body.push_back(std::move(Text));
    return Client->call(
        std::move(Request),
        {[this](const response_head &Head) { Status = Head.Status; },
         [this](std::string_view Bytes) { Body += Bytes; },
         [this](const call_result &Value) { Result = Value; }});
  }
  bool received(std::string_view Text) {
    return turnUntil([&] {
      return !Upstream.Connections.empty() &&
             Upstream.Connections.back()->Input.find(Text) != std::string::npos;
    });
  }
  bool ended() {
    return turnUntil([&] { return Result.has_value(); });
  }
};

} // namespace

TEST_CASE("calls go through a tunnel, over one kept connection") {
  tunnel_fixture F;
  for (std::string Text : {"one", "two"}) {
    F.call(Text);
    REQUIRE(F.received(Text));
    F.Upstream.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n" + Text);
    REQUIRE(F.ended());
    CHECK(F.Result->Outcome == call_outcome::Complete);
    CHECK(F.Body == Text);
  }
  CHECK(F.Upstream.Connections.size() == 1);
  CHECK(F.Server->counters().Opened == 1);
}

TEST_CASE("a tunnel tells why there is no connection, and nothing is sent") {
  tunnel_fixture F;
  connect_failure Wanted = connect_failure::Tunnel;
  std::string Gone = freeAddress();
  SUBCASE("nobody listens at the upstream's address") {
    F.Target = Gone;
    Wanted = connect_failure::Refused;
  }
  SUBCASE("there is no tunnel server") { F.Via = Gone; }
  SUBCASE("the server declines") { F.Server->drain(); }
  F.call("text");
  REQUIRE(F.ended());
  CHECK(F.Result->Outcome == call_outcome::NotSent);
  CHECK(F.Result->Failure == Wanted);
  CHECK(F.Upstream.Connections.empty());
}

TEST_CASE("a tunnel is opened only for hosts with the key") {
  tunnel_fixture F("another key");
  F.call("text");
  REQUIRE(F.ended());
  CHECK(F.Result->Failure == connect_failure::Tunnel);
  CHECK(F.Upstream.Connections.empty());
}

TEST_CASE("order_answer_without_length_that_a_tunnel_cuts_is_not_complete") {
  tunnel_fixture F;
  F.call("text");
  REQUIRE(F.received("text"));
  F.Upstream.send(0, "HTTP/1.1 200 OK\r\n\r\nall of it");
  REQUIRE(turnUntil([&] { return F.Body == "all of it"; }));
  call_outcome Wanted = call_outcome::Broken;
  SUBCASE("the upstream ends in order") {
    F.Upstream.close(0);
    Wanted = call_outcome::Complete;
  }
  SUBCASE("the upstream resets") {
    linger Hard{1, 0};
    setsockopt(g_socket_get_fd(F.Upstream.Connections[0]->Socket.get()),
               SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
    F.Upstream.close(0);
  }
  SUBCASE("the tunnel server ends") { F.Server.reset(); }
  REQUIRE(F.ended());
  CHECK(F.Result->Outcome == Wanted);
}

TEST_CASE("an answer without a length that was reset during the upload through "
          "a tunnel is not complete") {
  // More than all buffers take, and less than those of the tunnel.
  for (std::size_t UploadBytes : {32U << 20U, 1U << 20U})
    for (bool Kept : {false, true})
      for (bool IsResetAtOnce : {false, true}) {
        CAPTURE(UploadBytes);
        CAPTURE(Kept);
        CAPTURE(IsResetAtOnce);
        tunnel_fixture F;
        int BufferBytes = 4096;
        setsockopt(g_socket_get_fd(F.Upstream.socket()), SOL_SOCKET, SO_RCVBUF,
                   &BufferBytes, sizeof(BufferBytes));
        if (Kept) {
          F.call("one");
          REQUIRE(F.received("one"));
          F.Upstream.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
          REQUIRE(F.ended());
        }
        F.Upstream.Reading = false;
        F.call(std::string(UploadBytes, 'u'));
        turnFor(milliseconds(100)); // The buffers fill.
        REQUIRE(F.Upstream.Connections.size() == 1);
        F.Upstream.send(0, "HTTP/1.1 200 OK\r\n\r\na part");
        if (IsResetAtOnce) {
          linger Hard{1, 0};
          setsockopt(g_socket_get_fd(F.Upstream.Connections[0]->Socket.get()),
                     SOL_SOCKET, SO_LINGER, &Hard, sizeof(Hard));
          F.Upstream.close(0);
        } else {
          REQUIRE(turnUntil([&] { return F.Body == "a part"; }));
          g_socket_shutdown(F.Upstream.Connections[0]->Socket.get(), FALSE,
                            TRUE, nullptr);
        }
        REQUIRE(F.ended());
        CHECK(F.Result->Outcome == call_outcome::Broken);
      }
}

TEST_CASE("a cancelled call closes the connection to the upstream") {
  tunnel_fixture F;
  call_id Id = F.call("text");
  REQUIRE(F.received("text"));
  CHECK(F.Server->activeTunnels() == 1);
  F.Client->cancel(Id);
  REQUIRE(turnUntil([&] { return F.Upstream.Connections[0]->Closed; }));
  CHECK(F.Server->counters().Open == 0);
}

TEST_CASE("much data passes a tunnel whole, in both directions") {
  constexpr std::size_t Size = 20U << 20U;
  tunnel_fixture F;
  F.Upstream.Reading = false;
  F.call(std::string(Size, 'q'));
  turnFor(milliseconds(50));
  F.Upstream.Reading = true;
  REQUIRE(turnUntil([&] {
    return !F.Upstream.Connections.empty() &&
           F.Upstream.Connections[0]->Input.size() > Size;
  }));
  CHECK(F.Upstream.Connections[0]->Input.ends_with(std::string(1000, 'q')));
  std::string Answer =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Size) +
      "\r\n\r\n" + std::string(Size, 'a');
  std::size_t Sent = 0;
  auto Sender = loop_source::every(milliseconds(1), [&] {
    GSocket *Socket = F.Upstream.Connections[0]->Socket.get();
    g_socket_set_blocking(Socket, FALSE);
    gssize Count = g_socket_send(Socket, Answer.data() + Sent,
                                 Answer.size() - Sent, nullptr, nullptr);
    Sent += Count > 0 ? static_cast<std::size_t>(Count) : 0;
    return Sent < Answer.size();
  });
  REQUIRE(F.ended());
  CHECK(F.Result->Outcome == call_outcome::Complete);
  CHECK(F.Body.size() == Size);
}

// Tunnels were limited in their number only: what they buffered for upstreams
// or hosts that do not read came on top of the memory budget.
TEST_CASE("tunnels whose bytes are not read end above the memory budget") {
  constexpr std::size_t Limit = 1U << 20U;
  constexpr std::size_t Tunnels = 6;
  constexpr std::size_t BodyBytes = 10U << 20U;
  // What one step may add before the budget is enforced.
  constexpr std::size_t StepBytes = 128U << 10U;
  tunnel_fixture F("key", Limit);
  F.Upstream.Reading = false;
  for (std::size_t I = 0; I < Tunnels; ++I)
    F.call(std::string(BodyBytes, 'q'));
  std::size_t MostHeld = 0;
  REQUIRE(turnUntil([&] {
    MostHeld = std::max(MostHeld, F.Budget.total());
    return F.Server->counters().EndedForMemory >= 2;
  }));
  turnFor(milliseconds(100));
  tunnel_counters Counters = F.Server->counters();
  CHECK(MostHeld <= Limit + StepBytes);
  CHECK(F.Budget.total() <= Limit);
  // The others go on.
  CHECK(Counters.Open == Tunnels - Counters.EndedForMemory);
  CHECK(Counters.Open >= 2);
  F.Server.reset();
  CHECK(F.Budget.total() == 0);
}

TEST_CASE("a probe through a tunnel tells whether the upstream listens") {
  tunnel_fixture F;
  std::optional<probe_result> Seen;
  auto Note = [&](probe_result Value) { Seen = Value; };
  probe_result Wanted = probe_result::Listening;
  SUBCASE("it does") {}
  SUBCASE("it does not") {
    F.Target = freeAddress();
    Wanted = probe_result::Refused;
  }
  SUBCASE("the server declines") {
    F.Server->drain();
    Wanted = probe_result::Unknown;
  }
  F.Client->probe(F.Target, F.Via, milliseconds(1000), Note);
  REQUIRE(turnUntil([&] { return Seen.has_value(); }));
  CHECK(*Seen == Wanted);
}

TEST_CASE("frames mean the same however they are cut into pieces") {
  CHECK(rc::check("frames", [] {
    auto Texts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::arbitrary<std::string>());
    std::string Whole;
    std::string Wire = "C";
    for (const std::string &Text : Texts) {
      if (Text.empty())
        continue;
      Whole += Text;
      Wire += http1::pvt::tunnelFrame(Text);
    }
    bool Ends = *rc::gen::arbitrary<bool>();
    if (Ends)
      Wire += http1::pvt::tunnelFrame({});
    http1::pvt::tunnel_decoder Decoder;
    std::string Output;
    for (std::size_t I = 0; I < Wire.size();) {
      auto Length = *rc::gen::inRange<std::size_t>(1, 9);
      RC_ASSERT(Decoder.feed(std::string_view(Wire).substr(I, Length), Output));
      I += Length;
    }
    RC_ASSERT(Output == Whole);
    RC_ASSERT(Decoder.ended() == Ends);
  }));
}

TEST_CASE("a tunnel's line is read only as it was written") {
  std::string Line = http1::pvt::tunnelLine("10.0.0.1:80", "key");
  Line.pop_back();
  CHECK(http1::pvt::readTunnelLine(Line, "key") == "10.0.0.1:80");
  CHECK(!http1::pvt::readTunnelLine(Line, "other"));
  for (std::size_t I = 0; I < Line.size(); ++I) {
    std::string Changed = Line;
    Changed[I] ^= 1;
    CHECK(!http1::pvt::readTunnelLine(Changed, "key"));
    CHECK(!http1::pvt::readTunnelLine(Line.substr(0, I), "key"));
  }
}
