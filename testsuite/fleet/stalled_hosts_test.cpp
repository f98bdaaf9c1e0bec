// Entry hosts that are stopped for tenths of a second, again and again, while
// requests come.

#include "callers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <set>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

constexpr std::int64_t MaxExcessMs = 500;
constexpr int MaxOddRequests = 20;
constexpr int OddOneIn = 5;
constexpr std::size_t MaxOverAttempts = 3;

/// What clients sent, by attempt: the time of day at which their patience ends.
using deadlines = std::map<std::string, std::int64_t>;

void sendTracked(fleet &Fleet, const std::string &Entry, bool Safe,
                 deadlines &Deadlines) {
  caller_request Request;
  Request.Method = Safe ? "GET" : "POST";
  Request.Host = fleet::ToolHost;
  Request.Path = Safe ? "/look/slot" : "/book/slot";
  Request.Body = Safe ? "" : "book";
  std::int64_t End = wallMs() + Request.TimeLeft.count();
  send(Fleet, Entry, Request, [&Deadlines, End](const caller_answer &Answer) {
    Deadlines[Answer.Attempt] = End;
  });
}

/// Stops each entry host for \p Stop of each \p Stop + \p Run.
void stallOnce(fleet &Fleet, milliseconds Stop, milliseconds Run,
               deadlines &Deadlines) {
  constexpr milliseconds Step{50};
  std::vector<std::string> Entries = Fleet.names(role::Entry);
  for (const std::string &Name : Entries)
    Fleet.signal(Name, SIGSTOP);
  bool Stopped = true;
  for (milliseconds Past{0}; Past < Stop + Run; Past += Step) {
    if (Stopped && Past >= Stop) {
      Stopped = false;
      for (const std::string &Name : Entries)
        Fleet.signal(Name, SIGCONT);
    }
    for (std::size_t I = 0; I < Entries.size(); ++I)
      sendTracked(Fleet, Entries[I], I % 2 == 0, Deadlines);
    Fleet.pause(Step);
  }
}

} // namespace

TEST_CASE("stalled_hosts_hand_on_no_more_time_than_is_left") {
  // The deadline counted from when the request was read, after the stall.
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/stalled_hosts";
  Settings.Runners = 2;
  Settings.Tools = 6;
  fleet Fleet(Settings);
  REQUIRE(Fleet.start());
  deadlines Deadlines;
  constexpr int Rounds = 12;
  for (int Round = 0; Round < Rounds; ++Round)
    stallOnce(Fleet, milliseconds(Round % 2 == 0 ? 600 : 900),
              milliseconds(300), Deadlines);
  Fleet.pause(milliseconds(5000));
  int Told = 0;
  int TooLong = 0;
  std::int64_t MostExcess = 0;
  std::map<std::string, std::set<std::string>> UpstreamsOf;
  for (const run_line &Line : Fleet.runs()) {
    auto End = Deadlines.find(Line.Attempt);
    if (Line.What != "run" || End == Deadlines.end())
      continue;
    ++Told;
    std::int64_t Excess = Line.AtMs + Line.LeftMs - End->second;
    MostExcess = std::max(MostExcess, Excess);
    TooLong += Line.LeftMs < 0 || Excess > MaxExcessMs;
    UpstreamsOf[Line.Attempt].insert(Line.Upstream);
  }
  auto OverAttempts = static_cast<std::size_t>(
      std::count_if(UpstreamsOf.begin(), UpstreamsOf.end(), [&](auto &Row) {
        return Row.second.size() >
               static_cast<std::size_t>(Fleet.settings().Attempts);
      }));
  MESSAGE(Told << " sends, " << TooLong << " with over 0.5 s too much, "
               << MostExcess << " ms at most; " << OverAttempts
               << " attempts on too many upstreams");
  CHECK(Told > 200);
  CHECK((TooLong <= MaxOddRequests || TooLong * OddOneIn <= Told));
  CHECK(OverAttempts <= MaxOverAttempts);
}
