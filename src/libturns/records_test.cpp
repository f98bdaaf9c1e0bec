#include "turmerichead/turns_record_store.h"
#include "turmerichead/turns_records.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <rapidcheck.h>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::turns;

TEST_CASE("decoding arbitrary bytes fails or returns a message") {
  CHECK(rc::check([](const std::string &Bytes) {
    unpack<open_request>(Bytes);
    unpack<open_reply>(Bytes);
    unpack<lookup_request>(Bytes);
    unpack<close_request>(Bytes);
    unpack<copy_reply>(Bytes);
    unpack<ping_reply>(Bytes);
    unpackRecord<turn_record>(Bytes);
    unpackRecord<spend_record>(Bytes);
    unpackRecord<state_record>(Bytes);
    kindOf(Bytes);
  }));
}

TEST_CASE("a truncated record or an unknown kind is rejected") {
  turn_record Turn{"id", "before", "program", 60000, "input", "output", "u"};
  std::string Bytes = packRecord(record_kind::Turn, Turn);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(!unpackRecord<turn_record>(std::string_view(Bytes).substr(0, Size)));
  CHECK(unpackRecord<turn_record>(Bytes)->Output == "output");
  CHECK(kindOf("\x09rest") == std::nullopt);
}

TEST_CASE("a chain that is a cycle has an end") {
  turn_index Index;
  Index.addTurn({"1", "2", "p", 1000, "", "", ""}, {1, 0, 1}, {0});
  Index.addTurn({"2", "1", "p", 1000, "", "", ""}, {1, 1, 1}, {0});
  CHECK(Index.firstMissing("2").empty());
  CHECK(Index.missingCount() == 0);
  CHECK(Index.findChain("2").Positions.size() == 2);
}

TEST_CASE("a record store removes expired records and frees their disk space") {
  std::string Template =
      (std::filesystem::temp_directory_path() / "storeXXXXXX").string();
  std::string Folder = mkdtemp(Template.data());
  log_recovery Recovery;
  record_store_settings Settings{{Folder, 2000, 0}, true};
  auto Store = record_store::open(Settings, {0}, Recovery);
  REQUIRE(Store);
  constexpr std::uint64_t RetentionMs = 1000;
  auto Add = [&](std::string Id, std::string Previous, time_point At) {
    turn_record Turn{std::move(Id), std::move(Previous),   "p", RetentionMs,
                     "in",          std::string(500, 'o'), "u"};
    REQUIRE(Store->add(Turn, At));
    REQUIRE(Store->sync());
  };
  Add("old", "", {0});
  Add("alone", "", {0});
  for (std::int64_t I = 1; I <= 8; ++I)
    Add("n" + std::to_string(I), I == 1 ? "old" : "n" + std::to_string(I - 1),
        {I * 400});
  std::uint64_t BytesBefore = Store->bytes();
  for (std::int64_t I = 0; I < 10; ++I)
    REQUIRE(Store->compact({3300 + I}));
  // A chain is retained as long as its newest turn; the single turn expires.
  CHECK(Store->chain("n8")->Missing.empty());
  CHECK(Store->chain("n8")->Found);
  CHECK(!Store->chain("alone")->Found);
  for (std::int64_t I = 0; I < 20; ++I)
    REQUIRE(Store->compact({9000 + I}));
  CHECK(!Store->chain("n8")->Found);
  CHECK(Store->bytes() < BytesBefore);
  Store.reset();
  // The state is still there after a restart, although the first segments were
  // removed.
  Recovery = {};
  Settings.FirstStart = false;
  auto Again = record_store::open(Settings, {0}, Recovery);
  REQUIRE(Again);
  CHECK(Again->state().CaughtUp);
  std::filesystem::remove_all(Folder);
}

TEST_CASE("an empty disk is caught up only at the first start") {
  for (bool IsFirstStart : {true, false}) {
    std::string Template =
        (std::filesystem::temp_directory_path() / "storeXXXXXX").string();
    std::string Folder = mkdtemp(Template.data());
    log_recovery Recovery;
    auto Store =
        record_store::open({{Folder, 2000, 0}, IsFirstStart}, {0}, Recovery);
    REQUIRE(Store);
    CHECK(Store->state().CaughtUp == IsFirstStart);
    std::filesystem::remove_all(Folder);
  }
}

TEST_CASE("records_that_are_copied_from_several_hosts_are_stored_once") {
  // A host that caught up wrote every reservation once for each host that it
  // copied from, so that its log grew several times as fast as theirs.
  std::string Template =
      (std::filesystem::temp_directory_path() / "copyXXXXXX").string();
  std::string Folder = mkdtemp(Template.data());
  log_recovery Recovery;
  constexpr std::uint64_t SegmentBytes = 1U << 20U;
  auto Store =
      record_store::open({{Folder, SegmentBytes, 0}, true}, {0}, Recovery);
  REQUIRE(Store);
  spend_record Reserved{"p", "a1", 40, false, 60000};
  spend_record Settled{"p", "a1", 10, true, 60000};
  std::vector<std::string> Records = {
      packRecord(record_kind::Spend, Reserved),
      packRecord(record_kind::Spend, Settled),
      packRecord(record_kind::Turn,
                 turn_record{"t", "", "p", 60000, "in", "out", "u"})};
  auto Copy = [&] {
    for (const std::string &Record : Records)
      REQUIRE(Store->addEncoded(Record, {0}));
  };
  Copy();
  std::uint64_t Bytes = Store->bytes();
  Copy();
  CHECK(Store->bytes() == Bytes);
  auto Attempts = Store->index().listOtherAttempts("p", "a2");
  REQUIRE(Attempts.size() == 1);
  CHECK(Attempts[0].Tokens == 10);
  std::filesystem::remove_all(Folder);
}
