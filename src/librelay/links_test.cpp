// Decisions on the way to upstreams.

#include "turmerichead/relay_links.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

constexpr time_point at(std::int64_t Ms) { return {100'000 + Ms}; }

} // namespace

TEST_CASE("recover_host_that_has_lost_all_links_knows_after_three") {
  // Each call learned by itself, six times 300 ms, that nothing can be reached.
  upstream_links Links;
  Links.recordConnected("a:1", at(0));
  Links.recordAnswer(at(90));
  Links.recordFailure("a:1", at(400));
  Links.recordFailure("b:1", at(500));
  CHECK(Links.isLost("a:1"));
  CHECK(!Links.isLost("c:1"));
  CHECK(!Links.isCutOff());
  SUBCASE("hangs") {
    Links.recordFailure("c:1", at(600));
    CHECK(Links.isCutOff());
    CHECK(Links.isLost("never-tried:1"));
    CHECK(Links.reachesNothing());
  }
  SUBCASE("two are enough if others reach them") {
    Links.recordReachedByOther("a:1");
    Links.recordReachedByOther("b:1");
    CHECK(Links.isCutOff());
  }
  SUBCASE("refuses, while kept connections live on") {
    Links.recordFailure("c:1", at(600));
    Links.recordAnswer(at(601));
    CHECK(Links.isCutOff());
    CHECK(!Links.reachesNothing());
  }
  SUBCASE("one connection shows that links work") {
    Links.recordFailure("c:1", at(600));
    Links.recordConnected("d:1", at(601));
    CHECK(!Links.isCutOff());
    CHECK(!Links.reachesNothing());
    CHECK(Links.isLost("c:1"));
    CHECK(!Links.isLost("never-tried:1"));
  }
}

TEST_CASE("crashed upstreams don't make a host take detours") {
  upstream_links Links;
  for (const char *Address : {"a:1", "b:1", "c:1", "d:1"}) {
    Links.recordFailure(Address, at(10));
    Links.recordUnreachedByOther(Address);
  }
  CHECK(!Links.isCutOff());
  CHECK(!Links.isLost("a:1"));
}

TEST_CASE("a link that is back is used again, without a storm of probes") {
  upstream_links Links;
  for (const char *Address : {"a:1", "b:1", "c:1"})
    Links.recordFailure(Address, at(0));
  int Probes = 0;
  for (std::int64_t Ms = 0; Ms < 1000; Ms += 10)
    for (const char *Address : {"a:1", "b:1", "c:1", "d:1"})
      Probes += Links.takeProbe(Address, at(Ms)) ? 1 : 0;
  CHECK(Probes == 8);
  Links.recordConnected("b:1", at(1000));
  CHECK(!Links.isCutOff());
  CHECK(!Links.isLost("b:1"));
  CHECK(Links.isLost("a:1"));
  Links.forget("a:1");
  CHECK(!Links.isLost("a:1"));
}

TEST_CASE("silence is reason to look at links only if nothing comes at all") {
  upstream_links Links;
  Links.recordAnswer(at(0));
  CHECK(!Links.isSilent(at(200)));
  CHECK(Links.isSilent(at(250)));
  Links.recordAnswer(at(260));
  CHECK(!Links.isSilent(at(300)));
}

TEST_CASE("a tunnel server that fails is left out for a while") {
  tunnel_hosts Hosts;
  std::vector<std::string> All = {"h1:1", "h2:1", "h3:1"};
  CHECK(!Hosts.pick(at(0)));
  Hosts.set(All);
  CHECK(Hosts.pick(at(0)) == "h1:1");
  Hosts.recordFailure("h1:1", at(0));
  CHECK(Hosts.pick(at(1)) == "h2:1");
  Hosts.recordSuccess("h2:1");
  CHECK(Hosts.pick(at(10'000)) == "h2:1");
  SUBCASE("the more failures in a row, the longer") {
    Hosts.recordFailure("h2:1", at(10'000));
    Hosts.recordFailure("h3:1", at(10'000));
    Hosts.recordFailure("h1:1", at(10'000));
    CHECK(!Hosts.pick(at(10'100)));
    CHECK(Hosts.pick(at(10'250)) == "h2:1");
    Hosts.recordFailure("h2:1", at(10'250));
    CHECK(Hosts.pick(at(10'300)) == "h3:1");
    CHECK(Hosts.pick(at(10'750)) == "h2:1");
  }
  SUBCASE("a new list keeps what is known") {
    Hosts.recordFailure("h2:1", at(10'000));
    All = {"h2:1", "h4:1"};
    Hosts.set(All);
    CHECK(Hosts.pick(at(10'001)) == "h4:1");
    CHECK(Hosts.size() == 2);
  }
}
