// Hosts of the last landing's version beside hosts of this one, while they are
// replaced one after the other. Run by tools/mixed_versions.sh.

#include "judge_sound.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

/// Returns the log lines of all processes that \p Wanted accepts.
template <typename Predicate>
std::vector<std::string> logLines(const std::string &Folder, Predicate Wanted) {
  std::vector<std::string> Lines;
  for (const auto &File : std::filesystem::directory_iterator(Folder)) {
    if (File.path().extension() != ".log")
      continue;
    std::ifstream Input(File.path());
    for (std::string Line; std::getline(Input, Line);)
      if (Wanted(Line))
        Lines.push_back(File.path().filename().string() + ": " + Line);
  }
  return Lines;
}

bool has(const std::string &Line, std::string_view Text) {
  return Line.find(Text) != std::string::npos;
}

/// Returns whether a host has learned from the answer to this attempt that the
/// upstream leaves. A host that has just started knows nothing before.
bool wasNews(const std::vector<std::string> &Learned,
             const std::string &Attempt) {
  return std::any_of(
      Learned.begin(), Learned.end(),
      [&](const std::string &Line) { return has(Line, Attempt + "\""); });
}

void upgrade(fleet &Fleet, const std::string &Name) {
  constexpr milliseconds StopBound{12'000};
  Fleet.signal(Name, SIGTERM);
  CHECK(Fleet.wait(StopBound, [&] { return !Fleet.isRunning(Name); }));
  Fleet.useOther(Name, false);
  REQUIRE(Fleet.startMember(Name));
}

} // namespace

TEST_CASE("mixed_versions_read_each_others_messages") {
  const char *Other = std::getenv("FLEET_OTHER_DAEMON");
  REQUIRE_MESSAGE(Other, "FLEET_OTHER_DAEMON: needed, see "
                         "tools/mixed_versions.sh");
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/mixed";
  Settings.OtherDaemon = Other;
  fleet Fleet(Settings);
  // All hosts run the earlier version but one of each role.
  for (const char *Name : {"entry-1", "entry-2", "disk-1", "disk-2"})
    Fleet.useOther(Name, true);
  REQUIRE(Fleet.start());
  sound_traffic Traffic(Fleet, 12, 1);
  Fleet.pause(milliseconds(2000));
  Fleet.order("runner-0", {{"limit", 3}});
  Fleet.order("tool-0", {{"limit", 3}});
  Fleet.order("runner-1", {{"leaving", true}});
  Fleet.pause(milliseconds(2000));
  for (const char *Name : {"entry-1", "disk-1", "entry-2", "disk-2"}) {
    upgrade(Fleet, Name);
    Fleet.pause(milliseconds(1500));
  }
  std::int64_t From = wallNowMs();
  Fleet.pause(milliseconds(3000));
  Traffic.stop();
  Fleet.pause(milliseconds(500));
  // Every host is of this version now, and sends nothing to the upstream that
  // leaves once it has heard of it.
  auto Learned = logLines(Settings.Scratch, [](const std::string &Line) {
    return has(Line, "upstream leaves");
  });
  std::size_t Late = 0;
  for (const run_line &Line : Fleet.runs())
    if (Line.What == "run" && Line.Upstream == "i-runner-1-0" &&
        Line.AtMs > From + 2000 && !wasNews(Learned, Line.Attempt))
      ++Late;
  CHECK(Late == 0);
  for (const std::string &Line :
       logLines(Settings.Scratch, [](const std::string &Line) {
         return has(Line, "failed to decode") ||
                has(Line, "message between hosts:");
       }))
    FAIL_CHECK(Line);
  judgeSound(Traffic);
}
