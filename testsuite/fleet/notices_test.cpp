// What upstreams say of themselves in their answers, over real processes.

#include "../../src/librelay/test_limits_pvt.h"
#include "judge_sound.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;
using namespace turmerichead::pvt;

namespace {

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
  Fleet.pause(milliseconds(LimitWindowMs + 1000));
  Traffic.stop();
  auto Runner = runsOf(Fleet, "i-runner-0-0");
  auto Tool = runsOf(Fleet, "i-tool-0-0");
  auto Leaving = runsOf(Fleet, "i-runner-1-0");
  CHECK(static_cast<double>(mostInWindow(Runner, From)) <= allowedInWindow(2));
  CHECK(static_cast<double>(mostInWindow(Tool, From)) <= allowedInWindow(1.5));
  CHECK(mostInWindow(Runner, From) > 0);
  REQUIRE(!Leaving.empty());
  CHECK(Leaving.back() < From);
  judgeSound(Traffic);
}
