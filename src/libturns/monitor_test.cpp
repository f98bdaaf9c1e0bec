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

TEST_CASE("recover_members_that_start_last_are_not_replaced") {
  // After a kill of all hosts, spare hosts replaced the member that was the
  // last to read its log. Its records were copied and each turn was written to
  // all members, until the disks were full.
  host_monitor Monitor(UnresponsiveAfter);
  disk_set Set{1, 2, {hostAt("a"), hostAt("b"), hostAt("c")}, {}};
  Monitor.watch(Set.Members, {0});
  CHECK(!Monitor.hasSteadyQuorum(Set, {1000}));
  Monitor.recordReply("a", {1000});
  CHECK(!Monitor.hasSteadyQuorum(Set, {1100}));
  Monitor.recordReply("b", {1200});
  CHECK(!Monitor.hasSteadyQuorum(Set, {1200}));
  for (std::int64_t At = 1450; At < 2700; At += 250) {
    Monitor.recordReply("a", {At});
    Monitor.recordReply("b", {At});
    CHECK(!Monitor.hasSteadyQuorum(Set, {At}));
  }
  CHECK(!Monitor.responds("c", {2700}));
  CHECK(Monitor.hasSteadyQuorum(Set, {2700}));
  // A host that is cut off itself begins anew.
  CHECK(!Monitor.hasSteadyQuorum(Set, {9000}));
  Monitor.recordReply("a", {9100});
  Monitor.recordReply("b", {9100});
  CHECK(!Monitor.hasSteadyQuorum(Set, {9200}));
}
