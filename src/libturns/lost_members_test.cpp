// Members that have to copy while fewer than a read quorum have caught up: they
// waited for each other for good. Chains and programs whose records are on
// different members: they were lost while they were in use.

#include "quorum_pvt.h"
#include "test_repair_pvt.h"

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
        {{Root + "/" + Name, 0, 0}, IsFirst, HasToConfirm}, Now, Recovery);
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

  /// Stores a turn at members, each after the turns that it lacks before it.
  void append(const std::string &Names, const std::string &Turn,
              const std::string &Previous) {
    close_request Request;
    Request.Set = Set;
    Request.HasTurn = true;
    Request.Turn = {Turn, Previous, "p", RetentionMs, Turn, "", "u"};
    for (char Letter : Names) {
      std::string Name(1, Letter);
      std::string Missing = at(Name).missingBefore(Request);
      if (!Missing.empty())
        repair(Name, Missing);
      REQUIRE(at(Name).close(Request, Now).Value.Status == 0);
      REQUIRE(at(Name).sync());
    }
  }
  void repair(const std::string &Name, const std::string &Turn) {
    chain_repair Repairs(Name + ":1");
    auto Deliver = [&](const std::string &Address,
                       copy_request Request) -> std::optional<copy_reply> {
      auto Source = Cores.find(Address.substr(0, 1));
      if (Source == Cores.end())
        return std::nullopt;
      Request.ListsTurns = Request.ListsTurns && MembersListChains;
      return Source->second.copy(Request)->Value;
    };
    pvt::exchangeRepairs(Repairs, at(Name), Repairs.start(Turn, Set, Now), Now,
                         Deliver);
  }
  /// Reserves 40 of 100 tokens at members, and sends them what they lack.
  reservation_quorum::decision reserve(const std::string &Names,
                                       const std::string &Attempt) {
    open_request Request;
    Request.Set = Set;
    Request.Spend = {"p", Attempt, 40, false, RetentionMs};
    Request.Budget = 100;
    reservation_quorum Quorum(Set, 40, 100);
    for (char Name : Names) {
      auto Reply = at(std::string(1, Name)).open(Request, Now);
      Quorum.onReply(std::string(1, Name) + ":1", Reply.Value);
      Quorum.onSecondReply(std::string(1, Name) + ":1", Reply.Value);
    }
    close_request Repair;
    Repair.Set = Set;
    for (const auto &Unknown : Quorum.unknownAttempts(Request.Spend)) {
      Repair.Spend = Unknown.Record;
      at(Unknown.Address.substr(0, 1)).close(Repair, Now);
    }
    return Quorum.decide(true);
  }
  void passTime(milliseconds Pause) {
    Now = Now + Pause;
    for (auto &[Name, Core] : Cores)
      REQUIRE(Core.compact(Now));
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
        CHECK(Core.onCopyReply(Address, Request.Set.Epoch, Reply->Value, Now));
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
  /// Asks members for a chain, in order.
  chain_search search(const std::string &Turn, const std::string &Names) {
    chain_search Search(Turn);
    for (char Name : Names) {
      std::string Wanted = Search.wanted();
      open_reply Reply = at(std::string(1, Name)).chain({Set, {}, {}, Wanted});
      Search.onReply(std::string(1, Name) + ":1", Wanted, Reply.CaughtUp,
                     Reply.Chain, Reply.MayLackTurns);
    }
    return Search;
  }

  std::string Root;
  std::uint64_t LogId = 0;
  disk_set Set{1, 2, {}, {}};
  std::map<std::string, replica_core> Cores;
  time_point Now{1};
  bool MembersListChains =
      true; ///< If false, like hosts of the version before.
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

// review/6: the turns of a chain are on different pairs of members, as one was
// down for a moment. Each turn follows the one before within the retention.
TEST_CASE("chain_in_use_was_lost_after_a_member_was_down") {
  small_cluster Cluster;
  SUBCASE("members list chains") {}
  SUBCASE("members of the version before") {
    Cluster.MembersListChains = false;
  }
  Cluster.startAll(start_kind::FirstStart);
  Cluster.append("ab", "1", "");
  Cluster.Cores.erase("a");
  Cluster.append("bc", "2", "1");
  Cluster.start("a", start_kind::Later);
  Cluster.append("ca", "3", "2");
  Cluster.append("ca", "4", "3");
  for (const char *Turn : {"5", "6"}) {
    Cluster.passTime(milliseconds(RetentionMs - 1));
    Cluster.append("ca", Turn, std::string(1, static_cast<char>(*Turn - 1)));
  }
  CHECK(Cluster.search("6", "ac").takeBytes() == "123456");
}

// review/8: the first turn expired at the one member that had it and not the
// later ones, so that it was on one disk alone.
TEST_CASE("chain_in_use_was_lost_with_one_disk") {
  small_cluster Cluster;
  Cluster.startAll(start_kind::FirstStart);
  Cluster.append("ab", "1", "");
  Cluster.append("bc", "2", "1");
  Cluster.passTime(milliseconds(RetentionMs - 1));
  Cluster.append("bc", "3", "2");
  Cluster.passTime(milliseconds(2));
  CHECK(!Cluster.hasTurn("a", "1"));
  Cluster.wipe("b");
  Cluster.copyAll();
  CHECK(Cluster.search("3", "abc").takeBytes() == "123");
}

// A member that caught up left turns to two others, and one of these let them
// expire.
TEST_CASE("chain_of_a_copied_turn_was_lost_with_the_next_disk") {
  small_cluster Cluster;
  Cluster.startAll(start_kind::FirstStart);
  Cluster.append("ab", "1", "");
  Cluster.append("bc", "2", "1");
  Cluster.wipe("c");
  Cluster.copyAll();
  REQUIRE(Cluster.at("c").index().missingTurns() ==
          std::vector<std::string>{"1"});
  Cluster.repair("c", "1");
  CHECK(Cluster.at("c").index().missingCount() == 0);
  Cluster.passTime(milliseconds(RetentionMs - 1));
  Cluster.append("bc", "3", "2");
  Cluster.passTime(milliseconds(2));
  Cluster.wipe("b");
  Cluster.copyAll();
  CHECK(Cluster.search("3", "abc").takeBytes() == "123");
}

// A member that missed the later attempts of a program let the first one
// expire, and another one had never had it.
TEST_CASE("budget_of_a_program_in_use_was_lost_as_a_member_had_a_part_of_it") {
  using decision = reservation_quorum::decision;
  small_cluster Cluster;
  Cluster.startAll(start_kind::FirstStart);
  CHECK(Cluster.reserve("ab", "1") == decision::Granted);
  Cluster.passTime(milliseconds(RetentionMs - 1));
  CHECK(Cluster.reserve("bc", "2") == decision::Granted);
  Cluster.passTime(milliseconds(2));
  CHECK(Cluster.at("a").index().programCount() == 0);
  CHECK(Cluster.reserve("ac", "3") == decision::OverBudget);
}
