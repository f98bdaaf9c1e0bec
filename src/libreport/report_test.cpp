#include "turmerichead/report.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace turmerichead;

namespace {

constexpr milliseconds Second{1'000};
constexpr milliseconds MaxAge{10'000};
constexpr std::int64_t WallMs = 1'796'351'467'000;

/// Three hosts in two data centres, all well, and the host that is asked.
struct small_fleet {
  report_recorder A1{"a-1", "a", 1, {}};
  report_recorder A2{"a-2", "a", 1, {}};
  report_recorder B1{"b-1", "b", 1, {}};
  report_board Board;
  std::vector<expected_host> Expected = {
      {"a-1", "a"}, {"a-2", "a"}, {"b-1", "b"}};
  time_point Now{1'000};

  small_fleet() {
    for (report_recorder *Host : {&A1, &A2, &B1}) {
      Host->count("yard", work_rank::Urgent, Now, [](entry_counters &Count) {
        Count.ProgramsAccepted += 10;
        Count.ProgramsFinished += 10;
        Count.FinishedInTime += 10;
        Count.CallsAnswered += 40;
      });
      Host->setRunning("yard", work_rank::Urgent, Now, 2, 0);
    }
  }

  /// As it travels: through JSON text.
  void send(report_recorder &From) {
    auto Text = toJson(From.take(Now)).dump();
    auto Report = hostReportFromJson(nlohmann::json::parse(Text));
    REQUIRE(Report);
    Board.receive(std::move(*Report), Now);
  }

  void sendAll() {
    for (report_recorder *Host : {&A1, &A2, &B1})
      send(*Host);
  }

  fleet_report build() const {
    return Board.build(Expected, "a-1", Now, WallMs, MaxAge, 95);
  }
};

std::string firstWord(const fleet_report &Report) {
  std::string Text = renderText(Report);
  return Text.substr(0, Text.find(':'));
}

} // namespace

TEST_CASE("all well: OK, and the figures of all hosts add up") {
  small_fleet Fleet;
  Fleet.sendAll();
  fleet_report Report = Fleet.build();
  CHECK(Report.Verdict == fleet_verdict::Ok);
  REQUIRE(Report.Entries.size() == 1);
  CHECK(Report.Entries[0].Running == 6);
  CHECK(Report.Entries[0].Total.CallsAnswered == 120);
  CHECK(firstWord(Report) == "OK");
}

//------------------------------------------------------------------------------
// Attempts to make it lie
//------------------------------------------------------------------------------

TEST_CASE("a host never heard from") {
  small_fleet Fleet;
  Fleet.send(Fleet.A1);
  Fleet.send(Fleet.B1);
  fleet_report Report = Fleet.build();
  CHECK(Report.Verdict == fleet_verdict::NotKnown);
  CHECK(Report.Reason == "not heard from: a-2");
  CHECK(renderHtml(Report).find("class=\"top OK\"") == std::string::npos);
}

TEST_CASE("a host that died, or a cut link: its last report grows old") {
  small_fleet Fleet;
  Fleet.sendAll();
  Fleet.Now = Fleet.Now + 11 * Second;
  Fleet.send(Fleet.A1);
  Fleet.send(Fleet.A2);
  fleet_report Report = Fleet.build();
  CHECK(Report.Verdict == fleet_verdict::NotKnown);
  CHECK(Report.Reason == "not heard from: data centre b");
  CHECK(Report.Entries[0].Running == 4);
  CHECK(renderText(Report).find("b-1 in b: heard 11 s ago") !=
        std::string::npos);
}

TEST_CASE("an old report sent again, or held up on its way") {
  small_fleet Fleet;
  Fleet.sendAll();
  host_report Old = Fleet.B1.take(Fleet.Now);
  Fleet.Now = Fleet.Now + 11 * Second;
  Fleet.send(Fleet.A1);
  Fleet.send(Fleet.A2);
  Fleet.send(Fleet.B1);
  CHECK(Fleet.build().Verdict == fleet_verdict::Ok);
  // Passed on by another host, which adds the age that it has there.
  Old.Sequence += 10;
  Old.AgeMs = 11'000;
  Fleet.Board.receive(Old, Fleet.Now);
  CHECK(Fleet.build().Verdict == fleet_verdict::NotKnown);
  // An older sequence does not replace a newer one, nor refresh it.
  Old.Sequence -= 5;
  Old.AgeMs = 0;
  Fleet.Board.receive(Old, Fleet.Now);
  CHECK(Fleet.build().Verdict == fleet_verdict::NotKnown);
}

TEST_CASE("a report with an age below zero is refused") {
  small_fleet Fleet;
  nlohmann::json Value = toJson(Fleet.B1.take(Fleet.Now));
  Value["age_ms"] = -60'000;
  CHECK(!hostReportFromJson(Value));
  CHECK(lastError().Code == error_code::Corrupt);
  CHECK(!hostReportFromJson(nullptr));
  CHECK(!hostReportFromJson({{"host", "a"}}));
}

TEST_CASE("a lost answer is BROKEN, also from a dead or restarted host") {
  small_fleet Fleet;
  Fleet.B1.count("yard", work_rank::Urgent, Fleet.Now,
                 [](entry_counters &Count) { ++Count.AnswersLost; });
  Fleet.sendAll();
  CHECK(Fleet.build().Verdict == fleet_verdict::Broken);
  CHECK(Fleet.build().Reason == "1 answers lost");

  Fleet.Now = Fleet.Now + 60 * Second;
  Fleet.send(Fleet.A1);
  Fleet.send(Fleet.A2);
  fleet_report Dead = Fleet.build();
  CHECK(Dead.Verdict == fleet_verdict::Broken);
  CHECK(Dead.Reason == "1 answers lost; not heard from: data centre b");

  report_recorder Again("b-1", "b", 2, Fleet.Now);
  Fleet.send(Again);
  CHECK(Fleet.build().Verdict == fleet_verdict::Broken);

  Fleet.Expected.pop_back();
  CHECK(Fleet.build().Verdict == fleet_verdict::Broken);
}

TEST_CASE("doubled, misdirected and unordered answers are BROKEN too") {
  for (auto Member :
       {&entry_counters::AnswersDoubled, &entry_counters::AnswersMisdirected,
        &entry_counters::OutOfOrder}) {
    small_fleet Fleet;
    Fleet.A2.count("yard", work_rank::Urgent, Fleet.Now,
                   [Member](entry_counters &Count) { Count.*Member = 2; });
    Fleet.sendAll();
    CHECK(Fleet.build().Verdict == fleet_verdict::Broken);
  }
}

TEST_CASE("nothing expected is not OK") {
  small_fleet Fleet;
  Fleet.sendAll();
  Fleet.Expected.clear();
  CHECK(Fleet.build().Verdict == fleet_verdict::NotKnown);
}

TEST_CASE("late: overdue now, or too few in time") {
  small_fleet Fleet;
  Fleet.A2.setRunning("yard", work_rank::Urgent, Fleet.Now, 2, 1);
  Fleet.sendAll();
  CHECK(Fleet.build().Verdict == fleet_verdict::Late);
  CHECK(Fleet.build().Reason == "yard: 1 overdue");

  small_fleet Slow;
  Slow.B1.count("yard", work_rank::Urgent, Slow.Now,
                [](entry_counters &Count) { Count.ProgramsFinished += 2; });
  Slow.sendAll();
  CHECK(Slow.build().Reason == "yard: 30 of 32 in time");
  CHECK(Slow.build().Verdict == fleet_verdict::Late);
  // Lateness is about now: it is forgotten when the window has passed.
  Slow.Now = Slow.Now + 3 * report_recorder::RecentWindow;
  Slow.sendAll();
  CHECK(Slow.build().Verdict == fleet_verdict::Ok);
}

TEST_CASE("a change that is not in force everywhere is not hidden") {
  small_fleet Fleet;
  change_report Change{"yard", 7, "ines", "limits.tokens", WallMs - 40'000, 0};
  Fleet.A1.setChanges({Change});
  Fleet.sendAll();
  CHECK(Fleet.build().Verdict == fleet_verdict::Late);
  Change.EverywhereAtMs = WallMs - 39'000;
  Fleet.A2.setChanges({Change});
  Fleet.sendAll();
  CHECK(Fleet.build().Verdict == fleet_verdict::Ok);
  CHECK(renderText(Fleet.build()).find("after 1 s") != std::string::npos);
}

//------------------------------------------------------------------------------
// Counting and rendering
//------------------------------------------------------------------------------

TEST_CASE("the recent window forgets, the total does not") {
  report_recorder Host("a", "a", 1, {});
  Host.count("yard", work_rank::Urgent, {0},
             [](entry_counters &Count) { ++Count.CallsAnswered; });
  time_point Later = time_point{0} + report_recorder::RecentWindow;
  CHECK(Host.take(Later).Entries[0].Recent.CallsAnswered == 1);
  Later = Later + report_recorder::RecentWindow;
  CHECK(Host.take(Later).Entries[0].Recent.CallsAnswered == 0);
  CHECK(Host.take(Later).Entries[0].Total.CallsAnswered == 1);
}

TEST_CASE("a delta holds what changed and gives the whole again") {
  report_recorder Host("a", "a", 1, {});
  for (int I = 0; I < 50; ++I)
    Host.count("entry-" + std::to_string(I), work_rank::Ordinary, {0},
               [](entry_counters &Count) { ++Count.CallsAnswered; });
  Host.repaired("host b replaced", WallMs, Second);
  host_report Before = Host.take({0});
  Host.count("entry-7", work_rank::Ordinary, {1},
             [](entry_counters &Count) { ++Count.RefusedBy["queue_full"]; });
  Host.count("another", work_rank::Urgent, {1},
             [](entry_counters &Count) { ++Count.CallsFailed; });
  host_report After = Host.take({1});
  host_report Delta = deltaOf(Before, After);
  CHECK(Delta.Entries.size() == 2);
  MESSAGE("50 entries: bytes of a whole report "
          << toJson(After).dump().size() << ", of a delta of 2 "
          << toJson(Delta).dump().size());
  applyDelta(Before, Delta);
  CHECK(Before == After);
}

TEST_CASE("the text fits 40 columns; the page escapes what callers name") {
  small_fleet Fleet;
  std::string Long(90, 'x');
  Fleet.A1.count(Long, work_rank::Ordinary, Fleet.Now,
                 [](entry_counters &Count) {
                   Count.RefusedBy["<b>queue full</b>"] = 1'234'567'890;
                 });
  Fleet.A1.repaired("host b-9 replaced, 7 shards moved to a-1 and to a-2",
                    WallMs, Second);
  Fleet.A1.setInvalid({"week"});
  Fleet.A1.setPlatformOutage(milliseconds(95'000));
  Fleet.A1.setChanges({{"yard", 7, "ines", "limits.tokens: 60000 -> 70000",
                        WallMs - 5'000, WallMs - 4'200}});
  Fleet.send(Fleet.A1);
  Fleet.send(Fleet.B1);
  fleet_report Report = Fleet.build();
  std::istringstream Lines(renderText(Report));
  for (std::string Line; std::getline(Lines, Line);) {
    CAPTURE(Line);
    CHECK(Line.size() <= 40);
  }
  std::string Page = renderHtml(Report);
  CHECK(Page.find("<b>") == std::string::npos);
  CHECK(Page.find("<script") == std::string::npos);
  CHECK(toJson(Report)["verdict"] == "NOT KNOWN");
  if (const char *File = std::getenv("REPORT_PAGE"))
    std::ofstream(File) << Page;
}

TEST_CASE("fuzz: reports add up in any order, and survive being mangled") {
  CHECK(rc::check("reports", [] {
    auto Counts = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 5));
    entry_counters Forward;
    entry_counters Backward;
    const auto One = [](std::uint32_t Count) {
      entry_counters Result;
      Result.CallsAnswered = Count;
      Result.AnswersLost = Count / 4;
      Result.RefusedBy["reason-" + std::to_string(Count)] = 1;
      return Result;
    };
    for (std::uint32_t Count : Counts)
      Forward.add(One(Count));
    std::reverse(Counts.begin(), Counts.end());
    for (std::uint32_t Count : Counts)
      Backward.add(One(Count));
    RC_ASSERT(Forward == Backward);

    report_recorder Host("a", "a", 1, {});
    Host.count("yard", work_rank::Urgent, {1},
               [&Forward](entry_counters &Row) { Row = Forward; });
    nlohmann::json Value = toJson(Host.take({2}));
    // Any one value of the report replaced by one of another type.
    nlohmann::json Flat = Value.flatten();
    auto Place = *rc::gen::inRange<std::size_t>(0, Flat.size());
    auto Item = Flat.begin();
    std::advance(Item, static_cast<std::ptrdiff_t>(Place));
    *Item = *rc::gen::element<nlohmann::json>(-1, 1.5, "x", nullptr, true);
    auto Back = hostReportFromJson(Flat.unflatten());
    RC_ASSERT(!Back || Back->AgeMs >= 0);
  }));
}
