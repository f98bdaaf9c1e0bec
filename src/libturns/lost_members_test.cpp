// Members that have to copy while fewer than a read quorum have caught up: they
// waited for each other for good.

#include "quorum_pvt.h"
#include "turmerichead/turns_replica_core.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

constexpr std::uint64_t RetentionMs = 60'000;
constexpr int MaxRounds = 20;

enum class start_kind { FirstStart, Later };

/// Three members a, b and c, of which two are a quorum.
struct small_cluster {
  small_cluster() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "lostXXXXXX").string();
    Root = mkdtemp(Template.data());
    for (const char *Name : {"a", "b", "c"})
      Set.Members.push_back({Name, std::string(Name) + ":1", "x"});
  }
  ~small_cluster() {
    Cores.clear();
    std::filesystem::remove_all(Root);
  }
  small_cluster(const small_cluster &) = delete;
  small_cluster &operator=(const small_cluster &) = delete;

  void start(const std::string &Name, start_kind Kind,
             bool HasToConfirm = false) {
    log_recovery Recovery;
    Cores.erase(Name);
    bool IsFirst = Kind == start_kind::FirstStart;
    auto Store = record_store::open(
        {{Root + "/" + Name, 0, 0}, IsFirst, HasToConfirm}, {0}, Recovery);
    REQUIRE(Store);
    disk_host Host{Name, Name + ":1", "x"};
    Cores.emplace(Name, replica_core(Host, std::move(*Store), ++LogId));
    Cores.at(Name).adoptSet(Set);
  }
  void startAll(start_kind Kind) {
    for (const char *Name : {"a", "b", "c"})
      start(Name, Kind);
  }
  void wipe(const std::string &Name) {
    Cores.erase(Name);
    std::filesystem::remove_all(Root + "/" + Name);
    start(Name, start_kind::Later);
  }
  replica_core &at(const std::string &Name) { return Cores.at(Name); }

  void write(const std::string &Name, const std::string &Turn) {
    close_request Request;
    Request.Set = Set;
    Request.Spend = {"p", "x" + Turn, 10, true, RetentionMs};
    Request.HasTurn = true;
    Request.Turn = {Turn, "", "p", RetentionMs, "in", "out", "u"};
    REQUIRE(at(Name).close(Request, {0}).Value.Status == 0);
    REQUIRE(at(Name).sync());
  }

  /// Exchanges one request and its reply with each member that \p Target asks.
  void copyOnce(const std::string &Target) {
    replica_core &Core = at(Target);
    for (auto &[Address, Request] : Core.copyRequests()) {
      if (auto Source = Cores.find(Address.substr(0, 1));
          Source != Cores.end()) {
        auto Reply = Source->second.copy(Request);
        REQUIRE(Reply);
        REQUIRE(Source->second.sync());
        CHECK(Core.onCopyReply(Address, Request.Set.Epoch, Reply->Value, {0}));
      }
      Core.onCopyEnded(Address);
    }
    if (Core.sync() && Core.finishCopy())
      Core.sync();
  }
  void copyAll() {
    for (int I = 0; I < MaxRounds; ++I)
      for (auto &[Name, Core] : Cores)
        if (Core.needsCopy())
          copyOnce(Name);
  }

  bool hasTurn(const std::string &Name, const std::string &Turn) {
    return at(Name).index().hasTurn(Turn);
  }
  /// Asks members for a turn, in order.
  chain_search search(const std::string &Turn, const std::string &Names) {
    chain_search Search(Turn);
    for (char Name : Names) {
      open_reply Reply = at(std::string(1, Name)).chain({Set, {}, {}, Turn});
      Search.onReply(std::string(1, Name) + ":1", Turn, Reply.CaughtUp,
                     Reply.Chain, Reply.MayLackTurns);
    }
    return Search;
  }

  std::string Root;
  std::uint64_t LogId = 0;
  disk_set Set{1, 2, {}, {}};
  std::map<std::string, replica_core> Cores;
};

} // namespace

TEST_CASE("two_members_without_their_disks_waited_for_each_other_for_good") {
  small_cluster Cluster;
  Cluster.startAll(start_kind::FirstStart);
  Cluster.write("a", "kept");
  Cluster.write("b", "kept");
  Cluster.write("b", "lost");
  Cluster.write("c", "lost");
  Cluster.wipe("b");
  Cluster.wipe("c");
  Cluster.copyAll();
  for (const char *Name : {"b", "c"}) {
    CHECK(Cluster.at(Name).caughtUp());
    CHECK(Cluster.at(Name).mayLackRecords());
    CHECK(Cluster.hasTurn(Name, "kept"));
  }
  CHECK(!Cluster.at("a").mayLackRecords());
  // No member can tell whether the other turn existed.
  chain_search Some = Cluster.search("lost", "ab");
  CHECK(!Some.isAbsent(Cluster.Set));
  CHECK(!Some.mayBeLost(Cluster.Set));
  chain_search All = Cluster.search("lost", "abc");
  CHECK(!All.isAbsent(Cluster.Set));
  CHECK(All.mayBeLost(Cluster.Set));
}

TEST_CASE("a_member_that_is_down_is_waited_for") {
  small_cluster Cluster;
  Cluster.startAll(start_kind::FirstStart);
  Cluster.write("a", "kept");
  Cluster.write("b", "kept");
  Cluster.Cores.erase("a");
  Cluster.wipe("b");
  Cluster.wipe("c");
  Cluster.copyAll();
  CHECK(!Cluster.at("b").caughtUp());
  CHECK(!Cluster.at("c").caughtUp());
  Cluster.start("a", start_kind::Later);
  Cluster.copyAll();
  CHECK(Cluster.at("b").caughtUp());
  CHECK(Cluster.hasTurn("c", "kept"));
}

TEST_CASE("incomplete_members_copy_what_the_others_still_have") {
  small_cluster Cluster;
  Cluster.startAll(start_kind::FirstStart);
  Cluster.write("b", "only b");
  Cluster.write("c", "only c");
  Cluster.write("b", "b and c");
  Cluster.write("c", "b and c");
  for (const char *Name : {"b", "c"}) {
    // As after damage: the host keeps its records and has to copy.
    disk_set Other = Cluster.Set;
    Other.Epoch = 2;
    Other.Members = {Cluster.Set.Members[0]};
    Cluster.at(Name).adoptSet(Other);
  }
  Cluster.Set.Epoch = 3;
  for (auto &[Name, Core] : Cluster.Cores)
    Core.adoptSet(Cluster.Set);
  REQUIRE(Cluster.at("b").needsCopy());
  REQUIRE(Cluster.at("c").needsCopy());
  Cluster.copyAll();
  CHECK(!Cluster.at("b").needsCopy());
  CHECK(!Cluster.at("c").needsCopy());
  CHECK(Cluster.hasTurn("b", "only c"));
  CHECK(Cluster.hasTurn("c", "only b"));
}

TEST_CASE("lost_records_are_told_apart_until_they_have_expired") {
  small_cluster Cluster;
  Cluster.startAll(start_kind::FirstStart);
  Cluster.write("a", "kept");
  Cluster.wipe("b");
  Cluster.wipe("c");
  Cluster.copyAll();
  REQUIRE(Cluster.at("b").mayLackRecords());
  // A host that copies from it may lack the same records.
  Cluster.wipe("c");
  Cluster.copyAll();
  CHECK(Cluster.at("c").mayLackRecords());
  // Also after a restart.
  Cluster.start("b", start_kind::Later);
  CHECK(Cluster.at("b").mayLackRecords());
  time_point Start{0};
  REQUIRE(Cluster.at("b").compact(Start));
  REQUIRE(Cluster.at("b").compact(Start + milliseconds(RetentionMs - 1)));
  CHECK(Cluster.at("b").mayLackRecords());
  REQUIRE(Cluster.at("b").compact(Start + milliseconds(RetentionMs)));
  CHECK(!Cluster.at("b").mayLackRecords());
  CHECK(Cluster.at("b").caughtUp());
}

TEST_CASE("kills_during_the_first_start_left_no_member_complete") {
  // Hosts that are killed before they have stored anything start again with
  // settings that do not say that it is the first start.
  small_cluster Cluster;
  Cluster.start("a", start_kind::FirstStart, true);
  Cluster.start("b", start_kind::Later);
  Cluster.start("c", start_kind::Later);
  Cluster.copyAll();
  for (const char *Name : {"a", "b", "c"})
    CHECK(Cluster.at(Name).caughtUp());
}

TEST_CASE("members_at_their_first_start_confirm_each_other_and_do_not_copy") {
  small_cluster Cluster;
  for (const char *Name : {"a", "b"})
    Cluster.start(Name, start_kind::FirstStart, true);
  Cluster.start("c", start_kind::Later);
  Cluster.copyAll();
  CHECK(!Cluster.at("a").caughtUp());
  Cluster.at("a").onPingReply(
      "b:1", Cluster.at("b").ping("a:1", Cluster.at("a").pingRequest()));
  CHECK(Cluster.at("a").caughtUp());
  CHECK(Cluster.at("b").caughtUp());
  Cluster.copyAll();
  for (const char *Name : {"a", "b", "c"})
    CHECK(!Cluster.at(Name).mayLackRecords());
  CHECK(Cluster.at("c").caughtUp());
}
