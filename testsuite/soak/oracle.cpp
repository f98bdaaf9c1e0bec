#include "oracle.h"

#include <algorithm>

namespace turmerichead::soak {

namespace {

// A leaving upstream gets nothing new after this time.
constexpr std::int64_t DrainMs = 2000;

std::uint64_t eventsIn(const std::string &Stream) {
  std::string Data = fleet_harness::dataOf(Stream);
  return static_cast<std::uint64_t>(std::count(Data.begin(), Data.end(), '\n'));
}

} // namespace

void oracle::fail(std::string Rule, std::string Text) {
  Violations.push_back({std::move(Rule), std::move(Text)});
}

void oracle::note(milliseconds At, const fleet_harness::caller_request &Request,
                  const fleet_harness::caller_answer &Answer) {
  slice &Slice = Slices[At / SliceTime];
  bool Whole = Answer.Status == http1::status::Ok && Answer.Complete;
  bool Refused = Answer.Status == http1::status::Unavailable;
  bool Answered = Whole || Answer.Status == http1::status::PaymentRequired;
  (Answered ? Slice.Answered : Refused ? Slice.Refused : Slice.Broken)++;
  Attempts[Answer.Attempt] = {Request.Path, Answer.Status};
  if (Request.Host == fleet_harness::fleet::PlanHost)
    judgeTurn(Request, Answer);
  if (Answer.Status == http1::status::BadRequest)
    fail("answers", Answer.Attempt + ": a proper request was answered 400");
}

void oracle::judgeTurn(const fleet_harness::caller_request &Request,
                       const fleet_harness::caller_answer &Answer) {
  if (Answer.Status == http1::status::Ok) {
    std::uint64_t &Tokens = TokensOf[Request.Program];
    Tokens += eventsIn(Answer.Body);
    if (Request.Budget > 0 && Tokens > Request.Budget + Request.MostTokens)
      fail("budget", Request.Program + " was handed " + std::to_string(Tokens) +
                         " tokens of " + std::to_string(Request.Budget));
    if (Answer.Complete)
      WholeTurns.insert(Answer.Attempt);
  }
  bool Lost = Answer.Status == http1::status::NotFound &&
              WholeTurns.count(Request.PreviousTurn) > 0;
  if (Lost)
    fail("kept turns", Answer.Attempt + ": the turn " + Request.PreviousTurn +
                           " was answered whole and is not known");
}

void oracle::judge(const std::vector<fleet_harness::run_line> &Runs) {
  std::map<std::string, int> RunsOf;
  for (const fleet_harness::run_line &Line : Runs)
    if (Line.What == "run")
      ++RunsOf[Line.Attempt];
  judgeAttempts(RunsOf);
  judgeCrashers(Runs);
  judgeLeaving(Runs);
}

void oracle::judgeAttempts(const std::map<std::string, int> &RunsOf) {
  for (const auto &[Id, Times] : RunsOf) {
    auto Attempt = Attempts.find(Id);
    if (Attempt == Attempts.end())
      continue;
    bool Safe = Attempt->second.Path.starts_with("/look/");
    if (Times > 1 && !Safe)
      fail("at most once", Id + " ran " + std::to_string(Times) + " times");
    if (Attempt->second.Status == http1::status::Unavailable)
      fail("not run", Id + " was told 503 and has run");
  }
}

void oracle::judgeCrashers(const std::vector<fleet_harness::run_line> &Runs) {
  std::map<std::string, fleet_harness::crash_record> Records;
  for (const fleet_harness::run_line &Line : Runs)
    if (!Line.Crash.empty())
      Records[Line.Service + " " + Line.Input].add(Line);
  for (const auto &[Name, Row] : Records)
    if (Row.lateSends() > fleet_harness::crash_record::MaxLateSends)
      fail("ends by one request",
           Name + ": " + std::to_string(Row.lateSends()) +
               " sends later than allowed, " + std::to_string(Row.Ends.size()) +
               " ends");
}

void oracle::judgeLeaving(const std::vector<fleet_harness::run_line> &Runs) {
  for (const leaving_upstream &Row : Leaving) {
    auto Late = std::count_if(
        Runs.begin(), Runs.end(), [&](const fleet_harness::run_line &Line) {
          return Line.What == "run" && Line.Upstream == Row.Id &&
                 Line.AtMs > Row.SaidAtMs + DrainMs;
        });
    if (Row.Judged && Late > 0)
      fail("leaving upstreams", Row.Id + " got " + std::to_string(Late) +
                                    " requests after its time");
  }
}

} // namespace turmerichead::soak
