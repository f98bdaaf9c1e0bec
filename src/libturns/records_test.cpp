#include "turmerichead/turns_records.h"
#include "turmerichead/turns_shelf.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <rapidcheck.h>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::turns;

TEST_CASE("bytes of any kind are no message, or one") {
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

TEST_CASE("a record that was cut or changed does not pass for a whole one") {
  turn_record Turn{"id", "before", "program", 60000, "input", "output", "u"};
  std::string Bytes = packRecord(record_kind::Turn, Turn);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    CHECK(!unpackRecord<turn_record>(std::string_view(Bytes).substr(0, Size)));
  CHECK(unpackRecord<turn_record>(Bytes)->Output == "output");
  CHECK(kindOf("\x09rest") == std::nullopt);
}

TEST_CASE("a shelf forgets what is past its time and gives back the disk") {
  std::string Template =
      (std::filesystem::temp_directory_path() / "shelfXXXXXX").string();
  std::string Folder = mkdtemp(Template.data());
  log_findings Findings;
  shelf_settings Settings{{Folder, 2000, 0}, true};
  auto Shelf = shelf::open(Settings, {0}, Findings);
  REQUIRE(Shelf);
  constexpr std::uint64_t KeepMs = 1000;
  auto Add = [&](std::string Id, std::string Previous, time_point At) {
    turn_record Turn{std::move(Id), std::move(Previous),   "p", KeepMs,
                     "in",          std::string(500, 'o'), "u"};
    REQUIRE(Shelf->add(Turn, At));
    REQUIRE(Shelf->sync());
  };
  Add("old", "", {0});
  Add("alone", "", {0});
  for (std::int64_t I = 1; I <= 8; ++I)
    Add("n" + std::to_string(I), I == 1 ? "old" : "n" + std::to_string(I - 1),
        {I * 400});
  std::uint64_t Before = Shelf->bytes();
  for (std::int64_t I = 0; I < 10; ++I)
    REQUIRE(Shelf->clean({3300 + I}));
  // The chain is kept as long as its newest turn; the turn alone is not.
  CHECK(Shelf->chain("n8")->Missing.empty());
  CHECK(Shelf->chain("n8")->Found);
  CHECK(!Shelf->chain("alone")->Found);
  for (std::int64_t I = 0; I < 20; ++I)
    REQUIRE(Shelf->clean({9000 + I}));
  CHECK(!Shelf->chain("n8")->Found);
  CHECK(Shelf->bytes() < Before);
  Shelf.reset();
  // After a restart the state stands, though its first segments are gone.
  Findings = {};
  Settings.FirstStart = false;
  auto Again = shelf::open(Settings, {0}, Findings);
  REQUIRE(Again);
  CHECK(Again->state().CaughtUp);
  std::filesystem::remove_all(Folder);
}

TEST_CASE("an emptied disk is told from a first start") {
  for (bool First : {true, false}) {
    std::string Template =
        (std::filesystem::temp_directory_path() / "shelfXXXXXX").string();
    std::string Folder = mkdtemp(Template.data());
    log_findings Findings;
    auto Shelf = shelf::open({{Folder, 2000, 0}, First}, {0}, Findings);
    REQUIRE(Shelf);
    CHECK(Shelf->state().CaughtUp == First);
    std::filesystem::remove_all(Folder);
  }
}
