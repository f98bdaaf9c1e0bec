// How a host that catches up copies the records of other members.

#include "turmerichead/turns_replica_core.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <sys/resource.h>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

constexpr std::uint64_t RetentionMs = 60'000;
constexpr std::uint64_t SegmentBytes = 8U << 20U;
constexpr int TurnCount = 30;
constexpr std::size_t TurnBytes = 100'000; // Three batches are needed for all.

disk_host hostOf(const std::string &Name) { return {Name, Name + ":1", "x"}; }

/// copy_request of the version before.
struct old_request {
  disk_set Set;
  std::uint64_t Segment = 0;
  std::uint64_t Offset = 0;
  MSGPACK_DEFINE(Set, Segment, Offset)
};

/// Five members a to e, of which three are a quorum. The last ones have lost
/// their disks; their turns are on a and b.
struct copy_cluster {
  copy_cluster() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "copyXXXXXX").string();
    Root = mkdtemp(Template.data());
    for (const char *Name : {"a", "b", "c", "d", "e"})
      Set.Members.push_back(hostOf(Name));
    for (const char *Name : {"a", "b", "c"})
      start(Name, true);
    for (int I = 0; I < TurnCount; ++I)
      writeToQuorum("t" + std::to_string(I));
    for (const char *Name : {"d", "e"})
      start(Name, false);
  }
  ~copy_cluster() { std::filesystem::remove_all(Root); }

  replica_core &start(const std::string &Name, bool IsFirst) {
    log_recovery Recovery;
    Cores.erase(Name);
    auto Store = record_store::open(
        {{Root + "/" + Name, SegmentBytes, 0}, IsFirst}, {0}, Recovery);
    REQUIRE(Store);
    Cores.emplace(Name, replica_core(hostOf(Name), std::move(*Store), ++LogId));
    Cores.at(Name).adoptSet(Set);
    return Cores.at(Name);
  }
  replica_core &at(const std::string &Name) { return Cores.at(Name); }

  void writeToQuorum(const std::string &Turn) {
    write("a", Turn);
    write("b", Turn);
    write("c", Turn, false);
  }

  void write(const std::string &Name, const std::string &Turn,
             bool HasTurn = true) {
    close_request Request;
    Request.Set = Set;
    Request.Spend = {"p", "x" + Turn, 10, true, RetentionMs};
    Request.HasTurn = HasTurn;
    Request.Turn = {Turn, "", "p", RetentionMs, "", std::string(TurnBytes, 'o'),
                    "u"};
    REQUIRE(at(Name).close(Request, {0}).Value.Status == 0);
    REQUIRE(at(Name).sync());
  }

  /// Exchanges one request and its reply with each member that \p Target asks.
  /// Returns the bytes of the replies' records.
  std::size_t copyOnce(const std::string &Target, bool RetriesFailed = false) {
    std::size_t Bytes = 0;
    for (auto &[Address, Request] : at(Target).copyRequests(RetriesFailed)) {
      auto Reply = at(Address.substr(0, 1)).copy(Request);
      REQUIRE(Reply);
      for (const std::string &Record : Reply->Value.Records)
        Bytes += Record.size();
      CHECK(at(Target).onCopyReply(Address, Request.Set.Epoch, Reply->Value,
                                   {0}));
      at(Target).onCopyEnded(Address);
    }
    return Bytes;
  }

  std::string Root;
  std::uint64_t LogId = 0;
  disk_set Set{1, 3, {}, {}};
  std::map<std::string, replica_core> Cores;
};

constexpr std::size_t AllBytes = TurnBytes * TurnCount * 2; // Of two sources.

} // namespace

TEST_CASE("a_new_epoch_does_not_restart_the_copies") {
  // Each epoch restarted all copies, so that a host could not catch up while
  // the set changed.
  copy_cluster Cluster;
  std::size_t Bytes = 0;
  while (!Cluster.at("d").isCopyComplete()) {
    Bytes += Cluster.copyOnce("d", true);
    if (Cluster.Set.Epoch < 3) {
      ++Cluster.Set.Epoch;
      Cluster.at("d").adoptSet(Cluster.Set);
    }
  }
  CHECK(Bytes < AllBytes + AllBytes / 3);
  // What was finished in one epoch is not finished in the next: the members may
  // have accepted writes that this host did not receive.
  ++Cluster.Set.Epoch;
  Cluster.write("a", "late");
  Cluster.at("d").adoptSet(Cluster.Set);
  CHECK(!Cluster.at("d").finishCopy());
  Cluster.copyOnce("d"); // Lists the turn.
  CHECK(!Cluster.at("d").finishCopy());
  Cluster.copyOnce("d");
  CHECK(Cluster.at("d").finishCopy());
  CHECK(Cluster.at("d").index().hasTurn("late"));
  // A host that the set has dropped and taken back copies only what is new.
  Cluster.Set.Next = Cluster.Set.Members;
  std::erase(Cluster.Set.Members, hostOf("d"));
  ++Cluster.Set.Epoch;
  Cluster.at("d").adoptSet(Cluster.Set);
  REQUIRE(Cluster.at("d").needsCopy());
  CHECK(Cluster.copyOnce("d", true) < TurnBytes);
  CHECK(Cluster.at("d").finishCopy());
}

TEST_CASE("a_reply_of_an_older_epoch_does_not_finish_a_copy") {
  // Writes of the older epoch may have followed it.
  copy_cluster Cluster;
  replica_core &Core = Cluster.at("d");
  auto Requests = Core.copyRequests(false);
  REQUIRE(Requests.size() == 4);
  ++Cluster.Set.Epoch;
  Core.adoptSet(Cluster.Set);
  CHECK(Core.copyRequests(false).empty());
  for (const auto &[Address, Request] : Requests) {
    auto Reply = Cluster.at(Address.substr(0, 1)).copy(Request);
    CHECK(Reply->Value.AtEnd == Reply->Value.CaughtUp);
    Core.onCopyReply(Address, Request.Set.Epoch, Reply->Value, {0});
    Core.onCopyEnded(Address);
  }
  CHECK(!Core.isCopyComplete());
  Cluster.copyOnce("d"); // Reaches the ends of the logs in the new epoch.
  CHECK(!Core.isCopyComplete());
  Cluster.copyOnce("d"); // Brings the turns.
  CHECK(Core.isCopyComplete());
  CHECK(Core.index().turnCount() == TurnCount);
}

TEST_CASE("copy_messages_of_the_version_before_are_understood") {
  auto New = unpack<copy_request>(pack(old_request{{}, 3, 4}));
  REQUIRE(New);
  CHECK(New->Offset == 4);
  CHECK(New->Log == 0);
  auto Old = unpack<old_request>(pack(copy_request{{}, 3, 4, 5, true, {}}));
  REQUIRE(Old);
  CHECK(Old->Offset == 4);
}

TEST_CASE("a_copy_restarts_where_its_position_no_longer_holds") {
  copy_cluster Cluster;
  replica_core &Core = Cluster.at("d");
  Cluster.copyOnce("d");
  SUBCASE(
      "the source has lost its disk and caught up again in the same epoch") {
    // Its new log has other records at the old positions.
    std::filesystem::remove_all(Cluster.Root + "/a");
    Cluster.start("a", true);
    for (int I = TurnCount; I >= 0; --I)
      Cluster.write("a", "t" + std::to_string(I));
    for (int I = 0; I < 10; ++I)
      Cluster.copyOnce("d", true);
    CHECK(Core.index().hasTurn("t30"));
  }
  SUBCASE("copied records have expired, which the source may retain") {
    REQUIRE(Core.sync());
    ++Cluster.Set.Epoch;
    Core.adoptSet(Cluster.Set);
    auto Pending = Core.copyRequests();
    REQUIRE(Core.compact({RetentionMs + 1}));
    REQUIRE(Pending.size() == 4);
    ++Cluster.Set.Epoch;
    Core.adoptSet(Cluster.Set);
    CHECK(Core.copyRequests().empty());
    // The replies to the pending requests leave out the first records.
    for (const auto &[Address, Request] : Pending) {
      auto Reply = Cluster.at(Address.substr(0, 1)).copy(Request);
      Core.onCopyReply(Address, Request.Set.Epoch, Reply->Value, {0});
      Core.onCopyEnded(Address);
    }
    auto Requests = Core.copyRequests();
    REQUIRE(Requests.size() == 4);
    for (const auto &[Address, Request] : Requests)
      CHECK(Request.Segment == 0);
  }
  SUBCASE("a host of an earlier version does not identify its log") {
    copy_reply Reply;
    Reply.CaughtUp = true;
    Reply.Segment = 1;
    replica_core &Second = Cluster.at("e");
    auto Receive = [&] {
      Second.onCopyReply("a:1", Second.set().Epoch, Reply, {0});
      Second.onCopyEnded("a:1");
    };
    REQUIRE(Second.copyRequests().size() == 4);
    Receive();
    SUBCASE("and the epoch changes") {
      ++Cluster.Set.Epoch;
      Second.adoptSet(Cluster.Set);
    }
    SUBCASE("and is replaced by one that does") {
      REQUIRE(Second.copyRequests().at(0).second.Segment == 1);
      Reply.Log = 7;
      Receive();
    }
    auto Requests = Second.copyRequests();
    REQUIRE(Requests.size() == 1);
    CHECK(Requests[0].second.Segment == 0);
  }
  SUBCASE("the sync of copied records has failed") {
    // The records were skipped from then on, and the host counted as caught up.
    rlimit Old{};
    getrlimit(RLIMIT_FSIZE, &Old);
    auto *Handler = std::signal(SIGXFSZ, SIG_IGN);
    rlimit Small{0, Old.rlim_max};
    setrlimit(RLIMIT_FSIZE, &Small);
    bool Synced = Core.sync();
    setrlimit(RLIMIT_FSIZE, &Old);
    std::signal(SIGXFSZ, Handler);
    REQUIRE(!Synced);
    while (!Core.isCopyComplete())
      Cluster.copyOnce("d", true);
    REQUIRE(Core.sync());
    REQUIRE(Core.finishCopy());
    REQUIRE(Core.sync());
    replica_core &Restarted = Cluster.start("d", false);
    CHECK(Restarted.index().turnCount() == TurnCount);
    CHECK(Restarted.index().listOtherAttempts("p", "").size() == TurnCount);
  }
}

TEST_CASE("two_hosts_that_have_lost_their_disks_both_catch_up") {
  // They sent each other all their records again and again, without a pause,
  // which left no time for anything else and exceeded their memory.
  copy_cluster Cluster;
  std::size_t Bytes = Cluster.copyOnce("d") + Cluster.copyOnce("e");
  while (!Cluster.at("d").isCopyComplete() || !Cluster.at("e").isCopyComplete())
    Bytes += Cluster.copyOnce("d") + Cluster.copyOnce("e");
  CHECK(Bytes < 2 * AllBytes + AllBytes / 20);
  // The other one is asked again only after a pause.
  CHECK(Cluster.at("d").copyRequests(false).empty());
  CHECK(Cluster.at("d").copyRequests(true).size() == 1);
  for (const char *Name : {"d", "e"}) {
    CHECK(Cluster.at(Name).sync());
    CHECK(Cluster.at(Name).finishCopy());
  }
}

TEST_CASE("only_the_end_of_a_copy_waits_for_a_sync_of_the_source") {
  // Each reply waited for one, 50 and more in a row.
  copy_cluster Cluster;
  copy_request Request{Cluster.Set, 0, 0, 0, false, {}};
  int Syncs = 0;
  for (bool AtEnd = false; !AtEnd;) {
    auto Reply = Cluster.at("a").copy(Request);
    REQUIRE(Reply);
    Syncs += Reply->NeedsSync ? 1 : 0;
    AtEnd = Reply->Value.AtEnd;
    Request.Segment = Reply->Value.Segment;
    Request.Offset = Reply->Value.Offset;
  }
  CHECK(Syncs == 1);
}

TEST_CASE("a_copy_ends_while_the_members_store_more_than_one_link_carries") {
  // All records of all members were sent, so that a copy never ended.
  copy_cluster Cluster;
  constexpr int MaxRounds = 20;
  // A reply had 1 MB, less than each member stores in a round.
  constexpr int TurnsPerRound = 12;
  int Rounds = 0;
  for (; Rounds < MaxRounds && !Cluster.at("d").isCopyComplete(); ++Rounds) {
    for (int I = 0; I < TurnsPerRound; ++I)
      Cluster.writeToQuorum("r" + std::to_string(Rounds * TurnsPerRound + I));
    Cluster.copyOnce("d", true);
  }
  CHECK(Rounds < MaxRounds);
}

TEST_CASE("a_turn_that_several_members_have_is_copied_once") {
  copy_cluster Cluster;
  std::size_t Bytes = 0;
  while (!Cluster.at("d").isCopyComplete())
    Bytes += Cluster.copyOnce("d", true);
  CHECK(Bytes < AllBytes / 2 + AllBytes / 20);
  CHECK(Cluster.at("d").index().turnCount() == TurnCount);
}

TEST_CASE("turns_that_a_quorum_of_other_members_has_are_not_copied") {
  // A host that caught up stored the turns of all members, and its disk was
  // full before theirs.
  copy_cluster Cluster;
  for (int I = 0; I < TurnCount; ++I)
    Cluster.write("c", "t" + std::to_string(I));
  std::string Target = "d";
  std::size_t Expected = 0;
  SUBCASE("if they stay") {}
  SUBCASE("unless one of these is being replaced") {
    Cluster.start("f", false);
    Cluster.Set.Next = Cluster.Set.Members;
    Cluster.Set.Next[2] = hostOf("f");
    ++Cluster.Set.Epoch;
    Expected = TurnCount;
    SUBCASE("by this host") { Target = "f"; }
    SUBCASE("by another one") {}
  }
  replica_core &Core = Cluster.at(Target);
  Core.adoptSet(Cluster.Set);
  while (!Core.isCopyComplete())
    Cluster.copyOnce(Target, true);
  CHECK(Core.index().turnCount() == Expected);
  CHECK(Core.index().listOtherAttempts("p", "").size() == TurnCount);
}

TEST_CASE("a_late_reply_of_a_member_that_left_and_returned_is_not_used") {
  // Its position would hide the records before it.
  copy_cluster Cluster;
  Cluster.write("a", "only");
  replica_core &Core = Cluster.at("d");
  Cluster.copyOnce("d");
  auto Adopt = [&](disk_set Set) {
    Set.Epoch = ++Cluster.Set.Epoch;
    Core.adoptSet(Set);
    return Core.copyRequests(true);
  };
  auto Late = Adopt(Cluster.Set); // From the ends of the logs.
  REQUIRE(Late.size() == 4);
  disk_set WithoutA = Cluster.Set;
  WithoutA.Members[0] = hostOf("f");
  Adopt(WithoutA);
  Adopt(Cluster.Set);
  for (const auto &[Address, Request] : Late) {
    auto Reply = Cluster.at(Address.substr(0, 1)).copy(Request);
    Core.onCopyReply(Address, Request.Set.Epoch, Reply->Value, {0});
    Core.onCopyEnded(Address);
  }
  constexpr int MaxRounds = 20;
  for (int I = 0; I < MaxRounds; ++I)
    Cluster.copyOnce("d", true);
  CHECK(Core.isCopyComplete());
  CHECK(Core.index().hasTurn("only"));
}

TEST_CASE("reservations_that_are_settled_are_not_copied") {
  copy_cluster Cluster;
  for (const char *Name : {"a", "b", "c"}) {
    open_request Open;
    Open.Set = Cluster.Set;
    Open.Spend = {"p", "xlate", 50, false, RetentionMs};
    Open.Budget = 1'000'000;
    REQUIRE(Cluster.at(Name).open(Open, {0}).Value.Status == 0);
    Open.Spend.Attempt = "open";
    REQUIRE(Cluster.at(Name).open(Open, {0}).Value.Status == 0);
    Cluster.write(Name, "late", false);
  }
  auto Reply = Cluster.at("a").copy({Cluster.Set, 0, 0, 0, true, {}});
  REQUIRE(Reply);
  CHECK(Reply->Value.AtEnd);
  // One of each settled attempt, and the reservation that is open.
  CHECK(Reply->Value.Records.size() == TurnCount + 2);
  while (!Cluster.at("d").isCopyComplete())
    Cluster.copyOnce("d", true);
  CHECK(Cluster.at("d").index().listOtherAttempts("p", "").size() ==
        TurnCount + 2);
}

TEST_CASE("turns_requested_from_a_silent_member_were_not_copied") {
  // They are requested from another one that has them.
  copy_cluster Cluster;
  replica_core &Core = Cluster.at("d");
  Cluster.copyOnce("d");
  auto Silent = Core.copyRequests(true);
  REQUIRE(Silent.size() == 2); // All turns from a, and the records of e.
  REQUIRE(Silent[0].second.Turns.size() == TurnCount);
  int Pauses = 0;
  std::vector<std::pair<std::string, copy_request>> Requests;
  while (Requests.empty() && Pauses++ < 2 * copy_plan::SlowAfterPauses)
    Requests = Core.copyRequests(true);
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].first == "b:1");
  CHECK(Requests[0].second.Turns.size() == TurnCount);
}
