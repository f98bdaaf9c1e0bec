// Requests without a body that end each upstream that runs them, sent again and
// again through all entry hosts, each time as a new program.

#include "judge_sound.h"

#include <doctest/doctest.h>

#include <array>
#include <set>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

constexpr milliseconds BetweenVisits{600};

fleet_settings settingsFor(const char *Name) {
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/" + Name;
  Settings.Entries = 9;
  Settings.Runners = 14;
  Settings.Tools = 3;
  return Settings;
}

struct request_form {
  const char *Name;
  const char *Method;
  const char *Host;
  const char *Path;
};

constexpr std::array<request_form, 4> Forms = {{
    {"safe GET", "GET", fleet::ToolHost, "/look/peek"},
    {"safe POST", "POST", fleet::ToolHost, "/look/reckon"},
    {"unsafe GET", "GET", fleet::ToolHost, "/book/next"},
    {"stream", "POST", fleet::PlanHost, "/turn/"},
}};

caller_request requestOf(const request_form &Form) {
  caller_request Request;
  Request.Method = Form.Method;
  Request.Host = Form.Host;
  Request.Path = Form.Path;
  return Request;
}

/// The requests of one form that end their upstreams.
class crashing_visits {
public:
  /// \p Callers: addresses from which it comes in turn.
  crashing_visits(const request_form &Form, std::vector<std::string> Callers)
      : Form(Form), Callers(std::move(Callers)) {}

  void visit(fleet &Fleet, const std::string &Entry) {
    caller_request Request = requestOf(Form);
    Request.Program = std::string(Form.Name) + " " + std::to_string(Visits);
    Request.SourceIp = Callers[Visits++ % Callers.size()];
    Request.CrashMark = mark();
    send(Fleet, Entry, Request,
         [this](const caller_answer &Answer) { Answers.push_back(Answer); });
  }

  /// Checks the rule, and that a visit that has not run was refused at once.
  void judge(const std::vector<run_line> &Lines) const {
    CAPTURE(mark());
    crash_record Record;
    std::set<std::string> Ran;
    for (const run_line &Line : Lines) {
      if (Line.Crash != mark())
        continue;
      Record.add(Line);
      if (Line.What == "run")
        Ran.insert(Line.Attempt);
    }
    MESSAGE(mark() << ": " << Visits << " visits, " << Record.Sends.size()
                   << " sends, " << Record.Ends.size() << " ends, "
                   << Record.lateSends() << " late sends");
    CHECK(Record.Ends.size() >= 1);
    CHECK(Record.lateSends() <= crash_record::MaxLateSends);
    for (const caller_answer &Answer : Answers) {
      bool Refused = Answer.Status == http1::status::Unavailable;
      CHECK(Refused == (Ran.count(Answer.Attempt) == 0));
      if (Refused)
        CHECK(Answer.Took < milliseconds(500));
    }
  }

private:
  std::string mark() const { return std::string("crash-at-once ") + Form.Name; }

  request_form Form;
  std::vector<std::string> Callers;
  std::size_t Visits = 0;
  std::vector<caller_answer> Answers;
};

/// Sound requests of the same forms, from other callers.
class sound_visits {
public:
  void visit(fleet &Fleet, const std::string &Entry) {
    for (const request_form &Form : Forms) {
      caller_request Request = requestOf(Form);
      Request.Program = "sound " + std::to_string(Sent++);
      Request.SourceIp = "127.0.9.9";
      send(Fleet, Entry, Request, [this](const caller_answer &Answer) {
        Quarantined +=
            Answer.Body.find("several upstreams ended") != std::string::npos;
        Answered += Answer.Status == http1::status::Ok && Answer.Complete;
      });
    }
  }

  void judge() const {
    MESSAGE("sound requests of the same paths: " << Sent << ", " << Answered
                                                 << " answered");
    CHECK(Quarantined == 0);
    CHECK(Answered > Sent / 2);
  }

private:
  int Sent = 0;
  int Answered = 0;
  int Quarantined = 0;
};

} // namespace

TEST_CASE("crashing_request_without_body_under_new_programs") {
  // Such a request was known by its program only.
  fleet Fleet(settingsFor("without_body"));
  REQUIRE(Fleet.start());
  std::vector<crashing_visits> Crashers;
  for (std::size_t I = 0; I < Forms.size(); ++I)
    Crashers.emplace_back(
        Forms[I], std::vector<std::string>{"127.0.8." + std::to_string(I + 1)});
  bool HasSoundVisits = false;
  SUBCASE("beside requests of other paths") {}
  SUBCASE("beside sound requests of the same paths") { HasSoundVisits = true; }
  sound_traffic Traffic(Fleet, 12, 1);
  sound_visits Sound;
  constexpr int Rounds = 30;
  constexpr int SoundEach = 4;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<std::string> Entries = Fleet.entriesInTouch();
    for (std::size_t I = 0; I < Crashers.size(); ++I)
      Crashers[I].visit(Fleet, Entries[(Round + I) % Entries.size()]);
    for (int I = 0; I < SoundEach; ++I) {
      if (HasSoundVisits)
        Sound.visit(Fleet, Entries[(Round * SoundEach + I) % Entries.size()]);
      Fleet.pause(BetweenVisits / SoundEach);
    }
  }
  Traffic.stop();
  CHECK(Fleet.wait(milliseconds(10000), [&] { return Traffic.ended(); }));
  Fleet.pause(milliseconds(500));
  std::vector<run_line> Lines = Fleet.runs();
  for (const crashing_visits &Crasher : Crashers)
    Crasher.judge(Lines);
  if (HasSoundVisits)
    Sound.judge();
  CHECK(Traffic.counts().Condemned == 0);
  CHECK(Traffic.counts().Wrong == 0);
}

TEST_CASE("crashing_request_without_body_from_many_callers") {
  // Only its method and path are the same each time.
  fleet Fleet(settingsFor("without_body_many_callers"));
  REQUIRE(Fleet.start());
  std::vector<std::string> Callers;
  constexpr int CallerCount = 7;
  Callers.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Callers.push_back("127.0.8." + std::to_string(I + 1));
  std::vector<crashing_visits> Crashers;
  Crashers.reserve(std::size(Forms));
  for (const request_form &Form : Forms)
    Crashers.emplace_back(Form, Callers);
  constexpr int Rounds = 45;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<std::string> Entries = Fleet.entriesInTouch();
    for (std::size_t I = 0; I < Crashers.size(); ++I)
      Crashers[I].visit(Fleet, Entries[(Round + I) % Entries.size()]);
    Fleet.pause(BetweenVisits);
  }
  Fleet.pause(milliseconds(500));
  std::vector<run_line> Lines = Fleet.runs();
  for (const crashing_visits &Crasher : Crashers)
    Crasher.judge(Lines);
}
