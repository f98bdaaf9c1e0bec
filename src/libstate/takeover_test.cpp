#include "turmerichead/state_takeover.h"

#include <doctest/doctest.h>

#include <functional>
#include <map>

using namespace turmerichead;

namespace {

const host_incarnation FailedHolder{"seoul-a", 1};
const host_incarnation Successor{"seoul-b", 1};
const host_incarnation Standby{"seoul-c", 1};

std::uint32_t oneShard(std::string_view) { return 0; }

std::string recordBytes(const record &Record) { return encodeRecord(Record); }

// A platform that answers immediately. A test can act before each command.
struct fixture {
  std::map<std::string, std::string> Objects;
  std::vector<journal_entry> Tail;
  bool StandbyReachable = true;
  int Closes = 0;
  takeover Takeover{Successor, FailedHolder, {0}, oneShard};
  std::function<void(const takeover_command &)> Before = [](const auto &) {};

  // Creates an empty first manifest, and segments with one record each.
  explicit fixture(int Segments) {
    snapshot_builder Builder(0, 1, std::nullopt);
    store(Builder.build({}, {FailedHolder, 1, 0}, false));
    for (int N = 1; N <= Segments; ++N)
      addSegment(N);
  }

  void store(const std::vector<snapshot_object> &New) {
    for (const snapshot_object &Object : New)
      Objects[Object.Name] = Object.Bytes;
  }

  void addSegment(std::uint64_t N) {
    journal_segment Segment;
    Segment.Writer = FailedHolder;
    Segment.Standbys = {Standby};
    program_started_record Started;
    Started.Program = "p" + std::to_string(N);
    Segment.Entries = {{N, false, recordBytes(Started)}};
    Objects[segmentName(FailedHolder, N)] = encodeSegment(Segment);
  }

  std::vector<std::string> names(const std::string &Prefix) const {
    std::vector<std::string> Out;
    for (const auto &[Name, Bytes] : Objects)
      if (Name.starts_with(Prefix))
        Out.push_back(Name);
    return Out;
  }

  void answer(const takeover_command &Command) {
    time_point Now;
    if (std::holds_alternative<list_snapshots>(Command))
      Takeover.listed(true, names(snapshotPrefix(0)), Now);
    if (std::holds_alternative<list_segments>(Command))
      Takeover.listed(true, names("seoul-a.1."), Now);
    if (const auto *Read = std::get_if<read_snapshot>(&Command))
      readName(Read->Name);
    if (const auto *Read = std::get_if<read_segment>(&Command))
      readName(Read->Name);
    if (const auto *Create = std::get_if<create_segment>(&Command)) {
      bool Fresh = Objects.emplace(Create->Name, Create->Bytes).second;
      Takeover.created(Fresh ? create_result::Created : create_result::Exists,
                       Now);
    }
    if (std::holds_alternative<close_standby>(Command)) {
      ++Closes;
      Takeover.tail(StandbyReachable, Tail, Now);
    }
  }

  void readName(const std::string &Name) {
    auto Found = Objects.find(Name);
    Takeover.readObject(Found == Objects.end() ? read_result::Absent
                                               : read_result::Found,
                        Found == Objects.end() ? "" : Found->second, {});
  }

  // Runs the takeover. Returns the number of roots of the shard, or 0 if the
  // takeover does not complete.
  std::size_t run() {
    Takeover.start({});
    for (int Step = 0; Step < 1000 && !Takeover.done(); ++Step) {
      for (const takeover_command &Command : Takeover.takeCommands()) {
        Before(Command);
        answer(Command);
      }
      if (auto Due = Takeover.nextDue())
        Takeover.tick(*Due);
    }
    if (!Takeover.done())
      return 0;
    return Takeover.takeResult().at(0).Rows.roots().size();
  }
};

bool sealedAt(const fixture &Fixture, std::uint64_t N) {
  auto Found = Fixture.Objects.find(segmentName(FailedHolder, N));
  return Found != Fixture.Objects.end() && decodeSegment(Found->second)->Sealed;
}

} // namespace

TEST_CASE("a takeover seals the journal and replays it") {
  fixture Fixture(3);
  CHECK(Fixture.run() == 3);
  CHECK(sealedAt(Fixture, 4));
  CHECK(Fixture.Closes == 1);
}

TEST_CASE(
    "the standby's tail is replayed after the segments, without duplicates") {
  fixture Fixture(1);
  program_started_record Late;
  Late.Program = "late";
  Fixture.Tail = {{1, false, recordBytes(Late)}, {2, false, recordBytes(Late)}};
  CHECK(Fixture.run() == 2);
  // A second successor finds the tail through the seal, without a standby.
  fixture Second(0);
  Second.Objects = Fixture.Objects;
  Second.StandbyReachable = false;
  CHECK(Second.run() == 2);
  CHECK(Second.Closes == 0);
}

TEST_CASE("a segment that is written just before the seal is replayed") {
  fixture Fixture(1);
  Fixture.Before = [&](const takeover_command &Command) {
    if (std::holds_alternative<close_standby>(Command) && Fixture.Closes == 0)
      Fixture.addSegment(2);
  };
  CHECK(Fixture.run() == 2);
  CHECK(sealedAt(Fixture, 3));
  CHECK(Fixture.Closes == 2);
}

TEST_CASE("a seal with the number of a deleted segment is not valid") {
  fixture Fixture(1);
  bool Moved = false;
  Fixture.Before = [&](const takeover_command &Command) {
    if (!std::holds_alternative<close_standby>(Command) || Moved)
      return;
    // The writer continues, makes a snapshot and deletes the segments that the
    // snapshot covers.
    Moved = true;
    Fixture.addSegment(3);
    state_rows Rows;
    program_started_record Started;
    for (const char *Name : {"p1", "p2"}) {
      Started.Program = Name;
      Rows.apply(Started, oneShard);
    }
    snapshot_manifest Known;
    Known.Number = 1;
    snapshot_builder Builder(0, 1, Known);
    Fixture.store(Builder.build(Rows, {FailedHolder, 3, 2}, false));
    Fixture.Objects.erase(segmentName(FailedHolder, 1));
  };
  CHECK(Fixture.run() == 3);
  CHECK(sealedAt(Fixture, 4));
}

TEST_CASE("a takeover without an answer from a standby completes and reports "
          "the loss") {
  fixture Fixture(1);
  Fixture.StandbyReachable = false;
  CHECK(Fixture.run() == 1);
  CHECK(Fixture.Takeover.tailMissing());
}

TEST_CASE("a tail is not reported missing if the standby of a later segment "
          "provides it") {
  fixture Fixture(1);
  Fixture.StandbyReachable = false;
  Fixture.Before = [&](const takeover_command &Command) {
    const auto *Create = std::get_if<create_segment>(&Command);
    if (!Create || Fixture.StandbyReachable)
      return;
    Fixture.StandbyReachable = true;
    Fixture.addSegment(2);
  };
  CHECK(Fixture.run() == 2);
  CHECK_FALSE(Fixture.Takeover.tailMissing());
}

TEST_CASE("a snapshot is superseded if another host created a manifest with "
          "its number") {
  snapshot_writer Writer(0, {{"000000.000000000001.manifest", "mine"}}, true);
  Writer.start();
  Writer.takeCommands();
  Writer.created(create_result::Exists, {});
  REQUIRE(std::holds_alternative<read_manifest>(Writer.takeCommands().at(0)));
  Writer.read(read_result::Found, "theirs", {});
  CHECK(
      std::holds_alternative<snapshot_superseded>(Writer.takeCommands().at(0)));
}

TEST_CASE("an acquiring snapshot is superseded by a newer manifest") {
  std::string Name = manifestName(0, 1);
  snapshot_writer Writer(0, {{Name, "mine"}}, true);
  Writer.start();
  Writer.takeCommands();
  Writer.created(create_result::Created, {});
  REQUIRE(std::holds_alternative<list_manifests>(Writer.takeCommands().at(0)));
  std::vector<std::string> Names = {Name, manifestName(0, 4)};
  Writer.listed(true, Names, {});
  CHECK(
      std::holds_alternative<snapshot_superseded>(Writer.takeCommands().at(0)));
}

TEST_CASE("the latest segment is never deleted") {
  std::vector<std::string> Names = {segmentName(FailedHolder, 1),
                                    segmentName(FailedHolder, 2),
                                    tailName(FailedHolder, Successor, 0)};
  std::vector<journal_position> Positions = {{FailedHolder, 9, 0}};
  auto Covered = coveredSegments(FailedHolder, Names, Positions);
  REQUIRE(Covered.size() == 1);
  CHECK(Covered[0] == segmentName(FailedHolder, 1));
}

TEST_CASE("decoding invalid bytes returns an error and does not throw") {
  std::string Good = encodeRecord(intent_record{"p", 1, {}});
  for (std::size_t Size = 0; Size < Good.size(); ++Size)
    CHECK_FALSE(decodeRecord(Good.substr(0, Size)));
  CHECK_FALSE(decodeRecord(Good + "x"));
  CHECK_FALSE(decodeSegment("\xdd\xff\xff\xff\xff"));
  CHECK_FALSE(decodeManifest("\xc1"));
  CHECK_FALSE(decodeRecord(std::string(1000, '\x91')));
}
