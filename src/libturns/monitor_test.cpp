// Which disk hosts count as responsive.

#include "monitor_pvt.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

constexpr milliseconds UnresponsiveAfter{1500};

disk_host hostAt(const std::string &Address) {
  return {Address, Address, "dc"};
}

} // namespace

TEST_CASE("a_host_that_joins_the_set_has_time_to_reply") {
  // Disk hosts outside the set took a host that had just joined it for
  // unresponsive and cancelled the change at once. With several of them, the
  // set changed twice a second for as long as a member was away, and no host
  // could finish copying.
  host_monitor Monitor(UnresponsiveAfter);
  std::vector<disk_host> Hosts = {hostAt("a"), hostAt("b")};
  Monitor.watch(Hosts, {0});
  Monitor.recordReply("a", {10'000});
  Hosts.push_back(hostAt("c"));
  Monitor.watch(Hosts, {10'000});
  CHECK(Monitor.responds("a", {11'000}));
  CHECK(!Monitor.responds("b", {11'000}));
  CHECK(Monitor.responds("c", {11'000}));
  CHECK(!Monitor.responds("c", {11'500}));
  Monitor.recordReply("c", {11'400});
  CHECK(Monitor.responds("c", {12'000}));
}

TEST_CASE("a_host_that_is_no_longer_pinged_is_forgotten") {
  host_monitor Monitor(UnresponsiveAfter);
  std::vector<disk_host> Hosts = {hostAt("a")};
  Monitor.watch(Hosts, {0});
  Monitor.watch({}, {100});
  CHECK(!Monitor.responds("a", {200}));
  Monitor.recordReply("a", {300});
  CHECK(!Monitor.responds("a", {400}));
  Monitor.watch(Hosts, {5000});
  CHECK(Monitor.responds("a", {6000}));
}
