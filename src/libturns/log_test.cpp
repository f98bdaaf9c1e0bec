#include "turmerichead/turns_log.h"

#include "turmerichead/error.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <rapidcheck.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

/// A temporary folder that the destructor removes.
struct temporary_folder {
  std::string Path;
  temporary_folder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "turnsXXXXXX").string();
    Path = mkdtemp(Template.data());
  }
  ~temporary_folder() { std::filesystem::remove_all(Path); }
};

/// A log with the records that it contained when it was opened.
struct opened_log {
  std::vector<std::string> Records;
  std::vector<log_position> Positions;
  log_recovery Recovery;
  std::optional<record_log> Log;

  explicit opened_log(const std::string &Folder,
                      std::uint64_t SegmentBytes = 4096,
                      std::uint64_t MaxBytes = 0) {
    Log = record_log::open(
        {Folder, SegmentBytes, MaxBytes},
        [this](const log_position &Position, std::string_view Bytes) {
          Positions.push_back(Position);
          Records.emplace_back(Bytes);
        },
        Recovery);
  }
};

std::string newestNonEmptySegment(const std::string &Folder) {
  std::string Newest;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder))
    if (Entry.file_size() > 8 && Entry.path().string() > Newest)
      Newest = Entry.path().string();
  return Newest;
}

} // namespace

TEST_CASE("synced records are read in order after a restart") {
  temporary_folder Folder;
  {
    opened_log First(Folder.Path);
    REQUIRE(First.Log);
    CHECK(First.Log->append("one"));
    CHECK(First.Log->append(std::string(5000, 'x')));
    CHECK(First.Log->sync());
    CHECK(First.Log->append("three"));
    CHECK(First.Log->sync());
  }
  opened_log Second(Folder.Path);
  REQUIRE(Second.Records.size() == 3);
  CHECK(Second.Records[0] == "one");
  CHECK(Second.Records[2] == "three");
  CHECK(!Second.Recovery.Damaged);
  CHECK(*Second.Log->read(Second.Positions[2]) == "three");
}

TEST_CASE("a record can be read before it is synced") {
  temporary_folder Folder;
  opened_log First(Folder.Path);
  auto Position = First.Log->append("early");
  REQUIRE(Position);
  CHECK(*First.Log->read(*Position) == "early");
}

TEST_CASE("a torn end is truncated and not reported as damage, also at the "
          "next start") {
  temporary_folder Folder;
  {
    opened_log First(Folder.Path);
    First.Log->append("kept");
    First.Log->sync();
    First.Log->append("torn");
    First.Log->sync();
  }
  std::string File = newestNonEmptySegment(Folder.Path);
  std::filesystem::resize_file(File, std::filesystem::file_size(File) - 2);
  for (int I = 0; I < 2; ++I) {
    opened_log Again(Folder.Path);
    CHECK(Again.Records == std::vector<std::string>{"kept"});
    CHECK(!Again.Recovery.Damaged);
  }
}

TEST_CASE("an invalid record that was synced is reported as damage") {
  temporary_folder Folder;
  {
    opened_log First(Folder.Path, 16);
    First.Log->append("in the first segment");
    First.Log->sync();
    First.Log->append("in the second");
    First.Log->sync();
  }
  std::fstream File(Folder.Path + "/segment-0000000001.log",
                    std::ios::in | std::ios::out | std::ios::binary);
  File.seekp(24);
  File.put('#');
  File.close();
  opened_log Again(Folder.Path, 16);
  CHECK(Again.Recovery.Damaged);
  CHECK(Again.Recovery.DamageText.find("segment-0000000001.log") !=
        std::string::npos);
}

TEST_CASE("a full log refuses records until a segment is removed") {
  temporary_folder Folder;
  opened_log First(Folder.Path, 64, 300);
  REQUIRE(First.Log);
  std::size_t Appended = 0;
  while (First.Log->append(std::string(40, 'x')))
    ++Appended;
  CHECK(lastError().Code == error_code::Refused);
  CHECK(Appended > 0);
  CHECK(First.Log->sync());
  CHECK(!First.Log->remove(First.Log->segments().back()));
  CHECK(First.Log->remove(First.Log->segments().front()));
  CHECK(First.Log->append("again"));
}

TEST_CASE(
    "a log truncated at any offset contains all records synced before it") {
  CHECK(rc::check([](const std::vector<std::string> &Texts) {
    temporary_folder Folder;
    std::vector<std::uint64_t> Sizes;
    std::string File;
    {
      opened_log First(Folder.Path, 1U << 20U);
      for (const std::string &Text : Texts) {
        First.Log->append(Text);
        First.Log->sync();
        Sizes.push_back(First.Log->end().Offset);
      }
      File = Folder.Path + "/segment-0000000001.log";
    }
    std::uint64_t Size = std::filesystem::file_size(File);
    std::uint64_t Cut = *rc::gen::inRange<std::uint64_t>(0, Size + 1);
    std::filesystem::resize_file(File, Cut);
    opened_log Again(Folder.Path, 1U << 20U);
    std::size_t Expected = 0;
    while (Expected < Sizes.size() && Sizes[Expected] <= Cut)
      ++Expected;
    RC_ASSERT(Again.Records.size() == Expected);
    for (std::size_t I = 0; I < Expected; ++I)
      RC_ASSERT(Again.Records[I] == Texts[I]);
  }));
}

TEST_CASE("a log opens with arbitrary bytes in its segments") {
  CHECK(rc::check([](const std::string &Bytes) {
    temporary_folder Folder;
    std::ofstream(Folder.Path + "/segment-0000000001.log")
        << "TURNLOG1" << Bytes;
    std::ofstream(Folder.Path + "/segment-0000000002.log") << Bytes;
    opened_log Again(Folder.Path);
    RC_ASSERT(Again.Log.has_value());
  }));
}

TEST_CASE("a power loss that kept later writes and lost earlier ones is no "
          "damage") {
  // After a power loss each write since the last sync is present, missing (as
  // zeros) or torn, each by itself.
  constexpr std::size_t BlockBytes = 64;
  CHECK(rc::check([=](std::uint32_t Seed) {
    std::mt19937 Random(Seed);
    temporary_folder Folder;
    std::vector<std::string> Synced;
    std::uint64_t SyncedSize = 0;
    {
      opened_log First(Folder.Path, 1U << 20U);
      for (int I = 0; I < 5; ++I) {
        Synced.emplace_back(Random() % 100, 's');
        REQUIRE(First.Log->append(Synced.back()));
      }
      REQUIRE(First.Log->sync());
      SyncedSize = First.Log->end().Offset;
      for (int I = 0; I < 20; ++I)
        REQUIRE(First.Log->append(std::string(Random() % 100, 'u')));
      REQUIRE(First.Log->sync());
    }
    std::string File = newestNonEmptySegment(Folder.Path);
    std::uint64_t Size = std::filesystem::file_size(File);
    std::fstream Stream(File, std::ios::in | std::ios::out | std::ios::binary);
    for (std::uint64_t At = SyncedSize; At < Size; At += BlockBytes) {
      if (Random() % 2 == 0)
        continue;
      Stream.seekp(static_cast<std::streamoff>(At));
      Stream << std::string(std::min<std::uint64_t>(BlockBytes, Size - At),
                            '\0');
    }
    Stream.close();
    for (int I = 0; I < 2; ++I) {
      opened_log Again(Folder.Path, 1U << 20U);
      RC_ASSERT(!Again.Recovery.Damaged);
      RC_ASSERT(Again.Records.size() >= Synced.size());
      for (std::size_t J = 0; J < Synced.size(); ++J)
        RC_ASSERT(Again.Records[J] == Synced[J]);
      for (std::size_t J = Synced.size(); J < Again.Records.size(); ++J)
        RC_ASSERT(Again.Records[J].find('\0') == std::string::npos);
    }
  }));
}

TEST_CASE("a_log_at_the_file_size_limit_took_no_more_records") {
  constexpr rlim_t FileLimit = 64U << 10U;
  constexpr std::size_t RecordBytes = 10U << 10U;
  constexpr int Count = 30;
  temporary_folder Folder;
  opened_log Opened(Folder.Path, 1U << 20U);
  rlimit Old{};
  getrlimit(RLIMIT_FSIZE, &Old);
  auto *Handler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit Small{FileLimit, Old.rlim_max};
  setrlimit(RLIMIT_FSIZE, &Small);
  int Synced = 0;
  for (int I = 0; I < Count; ++I) {
    REQUIRE(Opened.Log->append(std::string(RecordBytes, 'x')));
    Synced += Opened.Log->sync() ? 1 : 0;
  }
  setrlimit(RLIMIT_FSIZE, &Old);
  std::signal(SIGXFSZ, Handler);
  // One fails for each file that is full.
  CHECK(Synced >= Count - Count / 6 - 1);
  Opened.Log.reset();
  opened_log Again(Folder.Path, 1U << 20U);
  CHECK(Again.Records.size() == static_cast<std::size_t>(Synced));
  CHECK(!Again.Recovery.Damaged);
}
