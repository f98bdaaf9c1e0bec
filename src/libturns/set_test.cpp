#include "turmerichead/turns_set.h"

#include <doctest/doctest.h>

using namespace turmerichead::turns;

namespace {

disk_host host(const std::string &Name, const std::string &DataCentre) {
  return {Name, Name + ":1", DataCentre};
}

const disk_host A = host("a", "x");
const disk_host B = host("b", "y");
const disk_host C = host("c", "z");
const disk_host D = host("d", "x");

set_view viewOf(const disk_host &Self, disk_set Set) {
  set_view View;
  View.Set = std::move(Set);
  View.Faults = 1;
  View.Self = Self;
  View.SelfCaughtUp = true;
  View.Registered = {A, B, C, D};
  View.IsRegisteredSettled = true;
  return View;
}

const disk_set Stable{4, 2, {A, B, C}, {}};
const disk_set Joint{5, 2, {A, B, C}, {D, B, C}};

} // namespace

TEST_CASE(
    "the first set has 2f+1 hosts, in different data centres if possible") {
  set_view View = viewOf(A, {});
  View.Registered = {A, D};
  CHECK(!proposeSet(View));
  View.Registered = {A, D, B, C};
  auto Set = proposeSet(View);
  REQUIRE(Set);
  CHECK(Set->Epoch == 1);
  CHECK(Set->QuorumSize == 2);
  CHECK(Set->Members == std::vector<disk_host>{A, B, C});
}

TEST_CASE("a set with responsive members is not changed") {
  CHECK(!proposeSet(viewOf(A, Stable)));
  CHECK(!proposeSet(viewOf(D, Stable)));
}

TEST_CASE("a host outside replaces an unresponsive or retiring member") {
  set_view View = viewOf(D, Stable);
  SUBCASE("unresponsive") { View.Unresponsive = {A.Address}; }
  SUBCASE("retiring") { View.Retiring = {"a"}; }
  SUBCASE("both") {
    View.Unresponsive = {A.Address};
    View.Retiring = {"b"};
  }
  CHECK(proposeSet(View) == Joint);
}

// review/7: the successor of a lost member took the place of a retiring one.
TEST_CASE("a retirement waits while another member may be lost") {
  set_view View = viewOf(D, Stable);
  View.Retiring = {"b"};
  View.Unheard = {A.Address, B.Address};
  CHECK(!proposeSet(View));
  View.Unresponsive = {A.Address};
  CHECK(proposeSet(View) == Joint);
}

TEST_CASE("a retiring host replaces no member") {
  set_view View = viewOf(D, Stable);
  View.Retiring = {"a", "d"};
  CHECK(!proposeSet(View));
}

TEST_CASE("a set never shrinks: members propose no replacement") {
  set_view View = viewOf(B, Stable);
  View.Unresponsive = {A.Address};
  View.Retiring = {"a"};
  CHECK(!proposeSet(View));
}

TEST_CASE(
    "a joint set becomes the new set once the joining host has caught up") {
  set_view View = viewOf(D, Joint);
  View.SelfCaughtUp = false;
  CHECK(!proposeSet(View));
  View.SelfCaughtUp = true;
  CHECK(proposeSet(View) == disk_set{6, 2, {D, B, C}, {}});
}

TEST_CASE("a joint set rolls back if its joining host is unresponsive") {
  set_view View = viewOf(B, Joint);
  CHECK(!proposeSet(View));
  View.Unresponsive = {D.Address};
  CHECK(proposeSet(View) == disk_set{6, 2, {A, B, C}, {}});
}

TEST_CASE("a write to a joint set needs a majority of both member lists") {
  auto Has = [](const std::vector<disk_host> &Hosts) {
    return [Hosts](std::string_view Address) {
      return hasAddress(Hosts, Address);
    };
  };
  CHECK(isWriteQuorum(Joint, Has({B, C})));
  CHECK(!isWriteQuorum(Joint, Has({A, B})));
  CHECK(!isWriteQuorum(Joint, Has({D, B})));
  CHECK(isWriteQuorum(Joint, Has({A, B, D})));
  CHECK(!isReadQuorum(Joint, Has({D, B})));
  CHECK(!isWriteQuorum(disk_set(), Has({A, B, C})));
}

TEST_CASE("the_first_set_was_chosen_before_the_other_data_centres_registered") {
  const disk_host E = host("e", "x");
  set_view View = viewOf(A, {});
  View.Registered = {A, D, E};
  View.IsRegisteredSettled = false;
  CHECK(!proposeSet(View));
  View.Registered = {A, B, C, D, E};
  View.IsRegisteredSettled = true;
  auto Set = proposeSet(View);
  REQUIRE(Set);
  CHECK(Set->Members == std::vector<disk_host>{A, B, C});
}
