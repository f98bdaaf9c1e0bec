#include "set_restore_pvt.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

disk_host host(const std::string &Name) { return {Name, Name + ":1", Name}; }

const disk_set Known{4, 2, {host("a"), host("b"), host("c")}, {}};
constexpr platform_set Overwritten{0, 70};
constexpr milliseconds Delay{2000};
constexpr time_point Start{1};

/// A restore that has been needed for long enough.
set_restore neededRestore() {
  set_restore Restore(Delay);
  Restore.update(Overwritten, Known, Start);
  return Restore;
}

} // namespace

TEST_CASE("a set is restored once a read quorum knows no newer one") {
  set_restore Restore = neededRestore();
  REQUIRE(Restore.isNeeded());
  Restore.onReply(Restore.round(), "a:1", Known, true);
  CHECK(!Restore.isConfirmed(Start + Delay));
  Restore.onReply(Restore.round(), "b:1", Known, true);
  CHECK(!Restore.isConfirmed(Start + Delay - milliseconds(1)));
  CHECK(Restore.isConfirmed(Start + Delay));
}

TEST_CASE(
    "a reply of a member that copies or knows another set does not count") {
  set_restore Restore = neededRestore();
  Restore.onReply(Restore.round(), "a:1", Known, true);
  Restore.onReply(Restore.round(), "b:1", Known, false);
  disk_set Newer = Known;
  ++Newer.Epoch;
  Restore.onReply(Restore.round(), "c:1", Newer, true);
  Restore.onReply(Restore.round(), "d:1", Known, true);
  CHECK(!Restore.isConfirmed(Start + Delay));
}

TEST_CASE("a reply to a question before the last change does not count") {
  set_restore Restore = neededRestore();
  std::uint64_t Earlier = Restore.round();
  Restore.onReply(Earlier, "a:1", Known, true);
  Restore.update(platform_set{0, 71}, Known, Start);
  Restore.onReply(Earlier, "b:1", Known, true);
  Restore.onReply(Earlier, "c:1", Known, true);
  CHECK(!Restore.isConfirmed(Start + Delay));
  Restore.onReply(Restore.round(), "a:1", Known, true);
  Restore.onReply(Restore.round(), "b:1", Known, true);
  CHECK(Restore.isConfirmed(Start + Delay));
  CHECK(Restore.stored().Revision == 71);
}

TEST_CASE("a set is not restored that the platform holds, or that is joint") {
  set_restore Restore(Delay);
  Restore.update(std::nullopt, Known, Start);
  CHECK(!Restore.isNeeded());
  Restore.update(platform_set{4, 70}, Known, Start);
  CHECK(!Restore.isNeeded());
  disk_set Joint = Known;
  Joint.Next = {host("a"), host("b"), host("d")};
  Restore.update(Overwritten, Joint, Start);
  CHECK(!Restore.isNeeded());
  Restore.update(Overwritten, Known, Start);
  CHECK(Restore.isNeeded());
}

TEST_CASE("restored_sets_have_epochs_of_their_own") {
  disk_set First = restoredSet(Known, 1);
  CHECK(First.Members == Known.Members);
  CHECK(First.QuorumSize == Known.QuorumSize);
  CHECK(First.Epoch > Known.Epoch + 1'000'000);
  CHECK(restoredSet(Known, 2).Epoch != First.Epoch);
}
