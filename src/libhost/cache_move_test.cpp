#include "cache_move_pvt.h"

#include "../libnet/test_loop_pvt.h"

using namespace turmerichead;
using namespace turmerichead::host_pvt;
using namespace turmerichead::pvt;

namespace {

/// Two runners, each of which is a raw server.
struct two_runners {
  raw_server Source;
  raw_server Target;
  host_context Context;
  bool Done = false;

  two_runners() {
    Context.Http = http_client::create({});
    Context.Upstreams["source"] = runnerAt("source", Source.port());
    Context.Upstreams["target"] = runnerAt("target", Target.port());
  }

  static upstream_object runnerAt(std::string Name, std::uint16_t Port) {
    upstream_object Runner;
    Runner.Name = std::move(Name);
    Runner.Address = *ip_endpoint::parse(addressOf(Port));
    return Runner;
  }

  /// Starts to move a cache and waits for the request of its export.
  void beginMove() {
    moveCache(Context, "p", "source", "target", [this] { Done = true; });
    REQUIRE(turnUntil([&] {
      return !Source.Connections.empty() &&
             Source.Connections[0]->Input.find("/cache/export") !=
                 std::string::npos;
    }));
  }
};

} // namespace

TEST_CASE("mixed_part_of_a_cache_imported_by_another_runner") {
  two_runners Runners;
  Runners.beginMove();
  Runners.Source.send(0, "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\npart");
  Runners.Source.close(0);
  REQUIRE(turnUntil(
      [&] { return Runners.Done || !Runners.Target.Connections.empty(); }));
  CHECK(Runners.Done);
  CHECK(Runners.Target.Connections.empty());
}

TEST_CASE("a whole cache is imported by another runner") {
  two_runners Runners;
  Runners.beginMove();
  Runners.Source.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  REQUIRE(turnUntil([&] {
    return !Runners.Target.Connections.empty() &&
           Runners.Target.Connections[0]->Input.ends_with("whole");
  }));
  CHECK_FALSE(Runners.Done);
  Runners.Target.send(0, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(turnUntil([&] { return Runners.Done; }));
}
