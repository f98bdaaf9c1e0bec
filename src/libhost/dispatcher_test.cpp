#include "dispatcher_pvt.h"

#include "../libnet/test_loop_pvt.h"
#include "cache_move_pvt.h"

#include <sys/socket.h>

using namespace turmerichead;
using namespace turmerichead::host_pvt;
using namespace turmerichead::pvt;

namespace {

constexpr int ReceiveBufferBytes = 4096;
constexpr std::size_t LongUploadBytes = 3'000'000;
constexpr std::size_t PartBytes = 3000;
constexpr milliseconds TimeToRead{150};
constexpr milliseconds CallTime{20'000};

/// How a service ends its connection.
enum class ending { Close, ShutDown };

struct call_ends {
  std::optional<upstream_answer> Answer;
  std::string LostCode;
  std::string DiedUpstream;

  bool isOver() const {
    return Answer || !LostCode.empty() || !DiedUpstream.empty();
  }
};

upstream_object upstreamAt(std::string Name, std::uint16_t Port) {
  upstream_object Upstream;
  Upstream.Name = std::move(Name);
  Upstream.Kind = upstream_kind::Service;
  Upstream.Service = "calc";
  Upstream.Address = *ip_endpoint::parse(addressOf(Port));
  return Upstream;
}

/// A dispatcher with one service, which is a raw server.
struct service_host {
  raw_server Server;
  host_context Context;
  std::optional<gate_service> Gates;
  std::optional<gate_client> GateClient;
  std::optional<dispatcher> Dispatcher;
  call_ends Ends;

  service_host() {
    // The kernel takes little of an upload that the service does not read.
    g_socket_set_option(Server.socket(), SOL_SOCKET, SO_RCVBUF,
                        ReceiveBufferBytes, nullptr);
    Context.Http = http_client::create({});
    Context.Upstreams["s1"] = upstreamAt("s1", Server.port());
    Gates.emplace(Context);
    GateClient.emplace(Context, *Gates);
    Dispatcher.emplace(
        Context, *GateClient,
        dispatch_events{
            .OnEvents = {},
            .OnAnswered =
                [this](call_id, upstream_answer Answer) {
                  Ends.Answer = std::move(Answer);
                },
            .OnNotSent = [](call_id, const std::string &,
                            std::int64_t) { FAIL("not sent"); },
            .OnLost = [this](call_id, std::string Code,
                             bool) { Ends.LostCode = std::move(Code); },
            .OnDied =
                [this](call_id, std::string Upstream,
                       const std::optional<std::string> &) {
                  Ends.DiedUpstream = std::move(Upstream);
                }});
  }

  /// Starts a call and waits until its head has arrived at the service.
  void upload(bool NonIdempotent) {
    dispatch_call Call;
    Call.Call = {1, 1};
    Call.Program = "p";
    Call.Kind = call_kind::Service;
    Call.NonIdempotent = NonIdempotent;
    Call.Target = "calc/add";
    Call.Body = std::string(LongUploadBytes, 'u');
    Call.Deadline = steadyNow() + CallTime;
    Dispatcher->start(Call, {});
    REQUIRE(turnUntil([&] {
      return !Server.Connections.empty() &&
             Server.Connections[0]->Input.find("\r\n\r\n") != std::string::npos;
    }));
  }
};

} // namespace

TEST_CASE("mixed_part_of_a_tool_answer_taken_for_the_whole") {
  for (bool NonIdempotent : {true, false}) {
    for (ending Ending : {ending::Close, ending::ShutDown}) {
      CAPTURE(NonIdempotent);
      CAPTURE(static_cast<int>(Ending));
      service_host Host;
      Host.upload(NonIdempotent);
      Host.Server.Reading = false;
      Host.Server.send(0, "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n" +
                              std::string(PartBytes, 'p'));
      turnFor(TimeToRead);
      if (Ending == ending::Close)
        Host.Server.close(0);
      else
        shutdown(g_socket_get_fd(Host.Server.Connections[0]->Socket.get()),
                 SHUT_WR);
      REQUIRE(turnUntil([&] { return Host.Ends.isOver(); }));
      CHECK_FALSE(Host.Ends.Answer);
      CHECK(Host.Ends.LostCode == (NonIdempotent ? "upstream_lost" : ""));
      CHECK(Host.Ends.DiedUpstream == (NonIdempotent ? "" : "s1"));
    }
  }
}

TEST_CASE("a tool's answer before the end of the upload reaches the caller") {
  service_host Host;
  Host.upload(true);
  Host.Server.Reading = false;
  Host.Server.send(0, "HTTP/1.1 413 Content Too Large\r\n"
                      "Content-Length: 2\r\n\r\nno");
  REQUIRE(turnUntil([&] { return Host.Ends.isOver(); }));
  REQUIRE(Host.Ends.Answer);
  CHECK(Host.Ends.Answer->HttpStatus == 413);
  CHECK(Host.Ends.Answer->Body == "no");
}
