// One request that ends each upstream that runs it, sent again and again
// through all entry hosts, over real processes.

#include "judge_sound.h"

#include <doctest/doctest.h>

#include <csignal>
#include <set>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

constexpr milliseconds BetweenVisits{600};

/// A request that crashes its upstream, and what became of its visits.
struct crasher {
  std::string Name;
  std::string Service;
  std::string Mark;
  caller_request Request{};
  bool NewProgramEachTime = false;
  int Visits = 0;
  std::vector<caller_answer> Answers{};

  /// Sent once more, through \p Entry, by its caller.
  void visit(fleet &Fleet, const std::string &Entry) {
    caller_request Sent = Request;
    if (NewProgramEachTime)
      Sent.Program += "-" + std::to_string(Visits);
    ++Visits;
    send(Fleet, Entry, Sent,
         [this](const caller_answer &Answer) { Answers.push_back(Answer); });
  }
  bool owns(const run_line &Line) const {
    return Line.Service == Service && Line.Crash == Mark;
  }
};

std::vector<crasher> crashers() {
  crasher Midway{"a stream, midway", "llm", "crash-midway"};
  Midway.Request.Host = fleet::PlanHost;
  Midway.Request.Path = "/turn/";
  Midway.Request.Program = "crasher";
  Midway.Request.Body = "please crash-midway now\n";
  Midway.Request.Budget = 1000;
  Midway.Request.MostTokens = 6;
  crasher AtOnce{"a stream, at once, of ever new programs", "llm",
                 "crash-at-once"};
  AtOnce.Request = Midway.Request;
  AtOnce.Request.Body = "please crash-at-once now\n";
  AtOnce.NewProgramEachTime = true;
  crasher Look{"a safe call", "book", "crash-at-once"};
  Look.Request.Method = "GET";
  Look.Request.Host = fleet::ToolHost;
  Look.Request.Path = "/look/crash-at-once";
  Look.Request.Program = "crasher-2";
  crasher Book{"an unsafe call", "book", "crash-midway"};
  Book.Request.Host = fleet::ToolHost;
  Book.Request.Path = "/book/slot";
  Book.Request.Program = "crasher-3";
  Book.Request.Body = "crash-midway";
  return {Midway, AtOnce, Look, Book};
}

fleet_settings settingsFor(const char *Name) {
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/" + Name;
  Settings.Runners = 8;
  Settings.Tools = 6;
  return Settings;
}

/// Checks the rule, and that what was told "not run" has not run.
void judge(const crasher &Crasher, const std::vector<run_line> &Lines) {
  CAPTURE(Crasher.Name);
  crash_record Record;
  std::set<std::string> Ran;
  for (const run_line &Line : Lines) {
    if (!Crasher.owns(Line))
      continue;
    Record.add(Line);
    if (Line.What == "run")
      Ran.insert(Line.Attempt);
  }
  MESSAGE(Crasher.Name << ": " << Crasher.Visits << " visits, "
                       << Record.Sends.size() << " sends, "
                       << Record.Ends.size() << " ends");
  CHECK(Record.Ends.size() >= 1);
  CHECK(Record.lateSends() <= crash_record::MaxLateSends);
  for (const caller_answer &Answer : Crasher.Answers)
    if (Answer.Status == http1::status::Unavailable)
      CHECK(Ran.count(Answer.Attempt) == 0);
  // Its caller is told in the end, and at once.
  REQUIRE(!Crasher.Answers.empty());
  const caller_answer &Last = Crasher.Answers.back();
  CHECK(Last.Status == http1::status::Unavailable);
  CHECK(Last.Took < milliseconds(500));
}

} // namespace

TEST_CASE("crashing_request_without_other_traffic") {
  fleet Fleet(settingsFor("calm"));
  REQUIRE(Fleet.start());
  std::vector<crasher> Crashers = crashers();
  constexpr int Rounds = 20;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<std::string> Entries = Fleet.entriesInTouch();
    for (std::size_t I = 0; I < Crashers.size(); ++I)
      Crashers[I].visit(Fleet, Entries[(Round + I) % Entries.size()]);
    Fleet.pause(BetweenVisits);
  }
  Fleet.pause(milliseconds(500));
  std::vector<run_line> Lines = Fleet.runs();
  for (const crasher &Crasher : Crashers)
    judge(Crasher, Lines);
}

TEST_CASE("crashing_request_while_hosts_end_and_come") {
  fleet Fleet(settingsFor("trouble"));
  REQUIRE(Fleet.start());
  sound_traffic Traffic(Fleet, 12, 1);
  std::vector<crasher> Crashers = crashers();
  constexpr int Rounds = 28;
  for (int Round = 0; Round < Rounds; ++Round) {
    switch (Round) {
    case 1: // It misses the news of the first ends.
      Fleet.signal("entry-2", SIGSTOP);
      break;
    case 7:
      Fleet.signal("entry-2", SIGCONT);
      break;
    case 8:
      Fleet.kill("entry-0");
      Fleet.startMember("entry-0");
      break;
    case 10:
      Fleet.order("store", {{"mood", "silent"}});
      break;
    case 12: // All that is kept in the memory of entry hosts is gone.
      for (const std::string &Name : Fleet.names(role::Entry))
        Fleet.kill(Name);
      for (const std::string &Name : Fleet.names(role::Entry))
        Fleet.startMember(Name);
      break;
    case 16:
      Fleet.order("store", {{"mood", "fine"}});
      break;
    case 18:
      Fleet.addHost(role::Entry);
      break;
    case 20: // Only what is on disks is left.
      for (role Role : {role::Entry, role::Disk})
        for (const std::string &Name : Fleet.names(Role))
          Fleet.kill(Name);
      for (role Role : {role::Disk, role::Entry})
        for (const std::string &Name : Fleet.names(Role))
          Fleet.startMember(Name);
      break;
    default:
      break;
    }
    std::vector<std::string> Entries = Fleet.entriesInTouch();
    for (std::size_t I = 0; I < Crashers.size(); ++I)
      Crashers[I].visit(Fleet, Entries[(Round + I) % Entries.size()]);
    Fleet.pause(BetweenVisits);
  }
  Traffic.stop();
  CHECK(Fleet.wait(milliseconds(10000), [&] { return Traffic.ended(); }));
  std::vector<run_line> Lines = Fleet.runs();
  for (const crasher &Crasher : Crashers)
    judge(Crasher, Lines);
  judgeSound(Traffic);
}
