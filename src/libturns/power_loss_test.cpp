// Processes that are killed before a power loss: what their successors have
// read must not be lost or torn afterwards.

#include "disk_recorder.h"
#include "turmerichead/error.h"
#include "turmerichead/turns_replica_core.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::turns;
using disk_standin::power_loss;

namespace {

/// A disk whose files are recorded, and that may lose power.
class recorded_disk {
public:
  recorded_disk() : Path(newFolder()), Image(Path) { record(); }
  ~recorded_disk() {
    disk_standin::recordDisk({}, {});
    std::filesystem::remove_all(Path);
  }
  recorded_disk(const recorded_disk &) = delete;
  recorded_disk &operator=(const recorded_disk &) = delete;

  const std::string &path() const { return Path; }
  void losePower(std::uint64_t Seed, power_loss Kind) {
    std::mt19937_64 Random(Seed);
    disk_standin::recordDisk({}, {});
    Image.losePower(Random, Kind);
    record();
  }

private:
  static std::string newFolder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "diskXXXXXX").string();
    return mkdtemp(Template.data());
  }
  void record() {
    disk_standin::recordDisk(
        Path, [this](const disk_standin::disk_operation &Operation) {
          Image.apply(Operation);
        });
  }

  std::string Path;
  disk_standin::disk_image Image;
};

/// A log with the records that it contained when it was opened.
struct opened_log {
  std::vector<std::string> Records;
  log_recovery Recovery;
  std::optional<record_log> Log;

  explicit opened_log(const recorded_disk &Disk, std::uint64_t SegmentBytes) {
    Log = record_log::open(
        {Disk.path(), SegmentBytes, 0},
        [this](const log_position &, std::string_view Bytes) {
          Records.emplace_back(Bytes);
        },
        Recovery);
    REQUIRE_MESSAGE(Log, lastError().Text);
  }
  void append(const std::string &Record) {
    Position = Log->append(Record);
    REQUIRE(Position);
  }
  /// Writes what was appended, without a sync.
  void write() { REQUIRE(Log->read(*Position)); }

private:
  std::optional<log_position> Position;
};

constexpr std::uint64_t LargeSegment = 1U << 20U;
constexpr std::uint64_t Seeds = 50;

std::size_t countOf(const std::vector<std::string> &Records,
                    const std::string &Record) {
  return static_cast<std::size_t>(
      std::count(Records.begin(), Records.end(), Record));
}

} // namespace

TEST_CASE("the_disk_stand_in_loses_only_what_no_sync_has_covered") {
  recorded_disk Disk;
  {
    opened_log Log(Disk, LargeSegment);
    Log.append("synced");
    REQUIRE(Log.Log->sync());
    Log.append("written");
    Log.write();
  }
  Disk.losePower(1, power_loss::KeepsNone);
  CHECK(opened_log(Disk, LargeSegment).Records ==
        std::vector<std::string>{"synced"});
}

// A repeated write is acknowledged without a sync if the record is known.
TEST_CASE("records_that_a_start_has_read_were_lost_with_the_power") {
  recorded_disk Disk;
  {
    opened_log Killed(Disk, LargeSegment);
    Killed.append("unsynced");
    Killed.write();
  }
  REQUIRE(opened_log(Disk, LargeSegment).Records.size() == 1);
  Disk.losePower(1, power_loss::KeepsNone);
  CHECK(opened_log(Disk, LargeSegment).Records ==
        std::vector<std::string>{"unsynced"});
}

TEST_CASE("the_segment_of_a_killed_process_counted_as_damaged_after_a_power_"
          "loss") {
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    recorded_disk Disk;
    {
      opened_log Killed(Disk, LargeSegment);
      Killed.append(std::string(100, 'a'));
      REQUIRE(Killed.Log->sync());
      Killed.append(std::string(100, 'b'));
      Killed.write();
    }
    {
      opened_log Next(Disk, LargeSegment);
      Next.append(std::string(100, 'c'));
      REQUIRE(Next.Log->sync());
    }
    Disk.losePower(Seed, power_loss::KeepsSome);
    opened_log Last(Disk, LargeSegment);
    CHECK(!Last.Recovery.Damaged);
    CHECK(countOf(Last.Records, std::string(100, 'a')) == 1);
    CHECK(countOf(Last.Records, std::string(100, 'c')) == 1);
  }
}

TEST_CASE("a_segment_counted_as_damaged_as_its_successor_could_not_be_"
          "written") {
  constexpr std::uint64_t SmallSegment = 64;
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    recorded_disk Disk;
    {
      opened_log Log(Disk, SmallSegment);
      Log.append(std::string(100, 'a'));
      Log.write();
      disk_standin::setDiskRoom(0);
      REQUIRE(Log.Log->sync());
      disk_standin::setDiskRoom(SIZE_MAX);
      Log.append(std::string(100, 'b'));
      Log.write();
    }
    Disk.losePower(Seed, power_loss::KeepsSome);
    opened_log Last(Disk, SmallSegment);
    CHECK(!Last.Recovery.Damaged);
    CHECK(countOf(Last.Records, std::string(100, 'a')) == 1);
  }
}

TEST_CASE("a_host_that_had_copied_what_was_damaged_copied_again_at_each_"
          "start") {
  recorded_disk Disk;
  auto Open = [&] {
    log_recovery Recovery;
    auto Store =
        record_store::open({{Disk.path(), 16, 0}, true, false}, {0}, Recovery);
    REQUIRE(Store);
    return std::pair(std::move(*Store), Recovery.Damaged);
  };
  {
    auto [Store, Damaged] = Open();
    REQUIRE(
        Store.add(turn_record{"t1", "", "p", 60'000, "in", "out", "r"}, {0}));
    REQUIRE(Store.sync());
    CHECK(Store.state().CaughtUp);
  }
  std::fstream File(Disk.path() + "/segment-0000000001.log",
                    std::ios::in | std::ios::out | std::ios::binary);
  File.seekp(24);
  File.put('#');
  File.close();
  {
    auto [Store, Damaged] = Open();
    CHECK(Damaged);
    CHECK(!Store.state().CaughtUp);
  }
  {
    // It still has to copy, although nothing is damaged any more.
    auto [Store, Damaged] = Open();
    CHECK(!Damaged);
    CHECK(!Store.state().CaughtUp);
    state_record State = Store.state();
    State.CaughtUp = true;
    Store.setState(State);
    REQUIRE(Store.sync());
  }
  auto [Store, Damaged] = Open();
  CHECK(!Damaged);
  CHECK(Store.state().CaughtUp);
}

namespace {

/// A record that was durable once so many operations had been done.
struct acknowledged_record {
  std::size_t Operations = 0;
  std::string Record;
};

/// What several processes, each killed at some point, do to the same disk.
struct disk_history {
  std::vector<disk_standin::disk_operation> Operations;
  std::vector<acknowledged_record> Acknowledged;

  void acknowledge(const std::vector<std::string> &Records) {
    for (const std::string &Record : Records)
      Acknowledged.push_back({Operations.size(), Record});
  }
};

/// Appends a record for which the disk has no room, but for another segment.
void failSync(record_log &Log) {
  constexpr std::size_t Room = 20;
  REQUIRE(Log.append(std::string(2 * Room, 'f')));
  disk_standin::setDiskRoom(Room);
  CHECK(!Log.sync());
  disk_standin::setDiskRoom(SIZE_MAX);
}

disk_history runKilledProcesses(const std::string &Folder,
                                std::mt19937_64 &Random) {
  constexpr int Processes = 4;
  constexpr int Steps = 12;
  constexpr std::uint64_t SmallSegment = 300;
  disk_history History;
  disk_standin::recordDisk(Folder,
                           [&](const disk_standin::disk_operation &Operation) {
                             History.Operations.push_back(Operation);
                           });
  int Number = 0;
  for (int Process = 0; Process < Processes; ++Process) {
    std::vector<std::string> Unsynced;
    log_recovery Recovery;
    auto Log = record_log::open(
        {Folder, SmallSegment, 0},
        [&](const log_position &, std::string_view Bytes) {
          Unsynced.emplace_back(Bytes);
        },
        Recovery);
    REQUIRE(Log);
    CHECK(!Recovery.Damaged);
    // What a start has read is believed from then on.
    History.acknowledge(std::exchange(Unsynced, {}));
    for (int Step = 0; Step < Steps; ++Step) {
      std::string Record = std::to_string(++Number);
      Record += std::string(Random() % 100, 'r');
      auto Position = Log->append(Record);
      REQUIRE(Position);
      Unsynced.push_back(Record);
      if (Random() % 2 == 0)
        CHECK(Log->read(*Position)); // Writes the buffer.
      if (Random() % 6 == 0) {
        failSync(*Log);
        Unsynced.clear();
      } else if (Random() % 2 == 0) {
        REQUIRE(Log->sync());
        History.acknowledge(std::exchange(Unsynced, {}));
      }
    }
  }
  disk_standin::recordDisk({}, {});
  return History;
}

/// Opens the log after a power loss that followed the first \p Count operations
/// and checks that it has all that was acknowledged until then.
void checkAfterPowerLoss(const std::string &Folder, const disk_history &History,
                         std::size_t Count, std::mt19937_64 &Random) {
  disk_standin::disk_image Image(Folder);
  for (std::size_t I = 0; I < Count; ++I)
    Image.apply(History.Operations[I]);
  Image.losePower(Random);
  std::vector<std::string> Records;
  log_recovery Recovery;
  REQUIRE(record_log::open(
      {Folder, LargeSegment, 0},
      [&](const log_position &, std::string_view Bytes) {
        Records.emplace_back(Bytes);
      },
      Recovery));
  CHECK(!Recovery.Damaged);
  for (const acknowledged_record &Row : History.Acknowledged)
    if (Row.Operations <= Count)
      CHECK(countOf(Records, Row.Record) == 1);
}

} // namespace

TEST_CASE("a_power_loss_after_any_operation_keeps_what_was_acknowledged") {
  constexpr std::uint64_t Histories = 5;
  for (std::uint64_t Seed = 0; Seed < Histories; ++Seed) {
    std::mt19937_64 Random(Seed);
    recorded_disk Disk;
    disk_history History = runKilledProcesses(Disk.path(), Random);
    for (std::size_t I = 0; I <= History.Operations.size(); ++I)
      checkAfterPowerLoss(Disk.path(), History, I, Random);
  }
}
