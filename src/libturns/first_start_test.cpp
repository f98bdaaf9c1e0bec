// Whether a disk host with an empty disk counts as caught up.

#include "turmerichead/error.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/turns_replica.h"
#include "turmerichead/turns_replica_core.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <map>
#include <unistd.h>
#include <utility>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

disk_host hostOf(const std::string &Name) { return {Name, Name + ":1", "x"}; }

/// Three members, of which two are a quorum.
struct starting_cluster {
  starting_cluster() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "firstXXXXXX").string();
    Root = mkdtemp(Template.data());
  }
  ~starting_cluster() { std::filesystem::remove_all(Root); }

  void start(const std::string &Name, bool IsFirst = true) {
    Cores.erase(Name);
    record_store_settings Settings;
    Settings.Log.Folder = Root + "/" + Name;
    Settings.FirstStart = IsFirst;
    Settings.ConfirmFirstStart = true;
    log_recovery Recovery;
    auto Store = record_store::open(Settings, {0}, Recovery);
    REQUIRE(Store);
    Cores.emplace(Name, replica_core(hostOf(Name), std::move(*Store)));
    Cores.at(Name).adoptSet(Set);
  }
  /// Starts all members, which ping each other before there is a set.
  void startAllBeforeTheSet() {
    disk_set Known = std::exchange(Set, disk_set());
    for (const char *Name : {"a", "b", "c"})
      start(Name);
    for (const char *From : {"a", "b", "c"})
      for (const char *To : {"a", "b", "c"})
        if (std::string(From) != To)
          ping(From, To);
    Set = Known;
  }
  void empty(const std::string &Name) {
    Cores.erase(Name);
    std::filesystem::remove_all(Root + "/" + Name);
  }
  void ping(const std::string &From, const std::string &To,
            bool LosesReply = false) {
    ping_reply Reply = at(To).ping(From + ":1", at(From).pingRequest());
    if (!LosesReply)
      at(From).onPingReply(To + ":1", Reply);
    REQUIRE(at(From).sync());
    REQUIRE(at(To).sync());
  }
  replica_core &at(const std::string &Name) { return Cores.at(Name); }

  std::string Root;
  disk_set Set{1, 2, {hostOf("a"), hostOf("b"), hostOf("c")}, {}};
  std::map<std::string, replica_core> Cores;
};

} // namespace

TEST_CASE("an_empty_disk_among_used_ones_has_not_caught_up") {
  // A supervisor starts each host with the settings of the first start; the
  // empty one confirmed that turns on the lost disk did not exist.
  starting_cluster Cluster;
  Cluster.startAllBeforeTheSet();
  for (const char *Name : {"a", "b", "c"}) {
    CHECK(!Cluster.at(Name).caughtUp());
    Cluster.at(Name).adoptSet(Cluster.Set);
    REQUIRE(Cluster.at(Name).sync());
    CHECK(Cluster.at(Name).caughtUp());
  }
  Cluster.empty("c");
  for (const char *Name : {"a", "b", "c"})
    Cluster.start(Name);
  CHECK(Cluster.at("a").caughtUp());
  CHECK(!Cluster.at("c").caughtUp());
  Cluster.ping("c", "a");
  Cluster.ping("a", "c");
  CHECK(!Cluster.at("c").caughtUp());
  CHECK(!Cluster.at("c").isFirstStart());
  CHECK(Cluster.at("c").needsCopy());
}

TEST_CASE("a_first_start_needs_no_more_than_a_quorum") {
  starting_cluster Cluster;
  Cluster.start("a");
  Cluster.start("b");
  CHECK(!Cluster.at("a").caughtUp());
  Cluster.ping("a", "b");
  CHECK(Cluster.at("a").caughtUp());
  CHECK(Cluster.at("b").caughtUp());
  // The last one copies.
  Cluster.start("c");
  Cluster.ping("c", "a");
  CHECK(Cluster.at("c").needsCopy());
}

TEST_CASE("a_first_start_goes_on_after_restarts_and_lost_replies") {
  starting_cluster Cluster;
  Cluster.start("a");
  Cluster.start("b");
  Cluster.ping("a", "b", true);
  CHECK(!Cluster.at("a").caughtUp());
  CHECK(Cluster.at("b").caughtUp());
  // Both are started again, no longer for the first time.
  Cluster.start("a", false);
  Cluster.start("b", false);
  Cluster.ping("a", "b");
  CHECK(Cluster.at("a").caughtUp());
}

TEST_CASE("hosts_of_the_version_before_do_not_prevent_a_first_start") {
  starting_cluster Cluster;
  Cluster.start("a");
  Cluster.start("b");
  Cluster.at("a").onPingReply("c:1", {Cluster.Set, true});
  CHECK(Cluster.at("a").isFirstStart());
  Cluster.ping("a", "b");
  CHECK(Cluster.at("a").caughtUp());
}

// A host that was denied while it copied itself denied the others for good.
TEST_CASE(
    "a_first_start_does_not_end_with_two_hosts_that_wait_for_each_other") {
  starting_cluster Cluster;
  Cluster.start("a");
  Cluster.start("b");
  Cluster.ping("b", "a", true);
  CHECK(Cluster.at("a").caughtUp());
  Cluster.start("c");
  Cluster.ping("c", "a");
  Cluster.ping("b", "c");
  Cluster.ping("b", "a");
  CHECK(Cluster.at("b").caughtUp());
  CHECK(Cluster.at("c").needsCopy());
}

TEST_CASE("a_spare_disk_host_does_not_prevent_a_first_start") {
  starting_cluster Cluster;
  for (const char *Name : {"a", "b", "c", "d"})
    Cluster.start(Name);
  for (const char *Name : {"a", "b", "c"})
    Cluster.ping(Name, "d");
  Cluster.ping("a", "b");
  CHECK(Cluster.at("a").caughtUp());
}

// An earlier process still wrote to the log that a start read and cut.
TEST_CASE("a_start_leaves_the_log_alone_while_its_port_is_in_use") {
  starting_cluster Cluster;
  auto Port = listener::open("127.0.0.1:0");
  REQUIRE_MESSAGE(Port, lastError().Text);
  replica_settings Settings;
  Settings.Self.Address = "127.0.0.1:" + std::to_string(Port->port());
  Settings.Store.Log.Folder = Cluster.Root + "/log";
  Settings.SharedKey = "key";
  CHECK(!replica::create(Settings, {}));
  CHECK(lastError().Code == error_code::Conflict);
  CHECK(!std::filesystem::exists(Settings.Store.Log.Folder));
  Port.reset();
  CHECK(replica::create(Settings, {}));
}
