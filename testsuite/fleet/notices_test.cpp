// What upstreams say of themselves in their answers, over real processes.

#include "callers.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

constexpr std::int64_t WindowMs = 4000;

/// Times of day at which \p Upstream began to run a request.
std::vector<std::int64_t> runsOf(const fleet &Fleet,
                                 const std::string &Upstream) {
  std::vector<std::int64_t> Times;
  for (const run_line &Line : Fleet.runs())
    if (Line.What == "run" && Line.Upstream == Upstream)
      Times.push_back(Line.AtMs);
  std::sort(Times.begin(), Times.end());
  return Times;
}

std::size_t mostInWindow(const std::vector<std::int64_t> &Times,
                         std::int64_t From) {
  std::size_t Most = 0;
  for (std::size_t I = 0; I < Times.size(); ++I) {
    if (Times[I] < From)
      continue;
    std::size_t End = I;
    while (End < Times.size() && Times[End] - Times[I] < WindowMs)
      ++End;
    Most = std::max(Most, End - I);
  }
  return Most;
}

} // namespace

TEST_CASE("limit_is_kept_and_leaving_upstreams_are_left") {
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/notices";
  Settings.Runners = 3;
  Settings.Tools = 3;
  fleet Fleet(Settings);
  REQUIRE(Fleet.start());
  sound_traffic Traffic(Fleet, 16, 1);
  Fleet.pause(milliseconds(2000));
  Fleet.order("store", {{"mood", "silent"}});
  Fleet.order("runner-0", {{"limit", 2}});
  Fleet.order("tool-0", {{"limit", 1.5}});
  Fleet.order("runner-1", {{"leaving", true}});
  // All hosts have heard of it by then.
  constexpr milliseconds ContactTime{3000};
  Fleet.pause(ContactTime);
  std::int64_t From = wallNowMs();
  Fleet.pause(milliseconds(WindowMs + 1000));
  Traffic.stop();
  constexpr double Factor = 1.5 * WindowMs / 1000;
  constexpr double Extra = 5;
  auto Runner = runsOf(Fleet, "i-runner-0-0");
  auto Tool = runsOf(Fleet, "i-tool-0-0");
  auto Leaving = runsOf(Fleet, "i-runner-1-0");
  CHECK(static_cast<double>(mostInWindow(Runner, From)) <= 2 * Factor + Extra);
  CHECK(static_cast<double>(mostInWindow(Tool, From)) <= 1.5 * Factor + Extra);
  CHECK(mostInWindow(Runner, From) > 0);
  REQUIRE(!Leaving.empty());
  CHECK(Leaving.back() < From);
  const sound_counts &Counts = Traffic.counts();
  MESSAGE("sound: " << Counts.Turns << " requests, " << Counts.Answered
                    << " answered, " << Counts.Refused << " refused, "
                    << Counts.Broken << " broken");
  CHECK(Counts.Wrong == 0);
  CHECK(Counts.Answered > Counts.Turns / 2);
}
