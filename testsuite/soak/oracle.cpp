#include "oracle.h"

#include <algorithm>

namespace turmerichead::soak {

namespace {

// A leaving upstream gets nothing new after this time.
constexpr std::int64_t DrainMs = 2000;
// So many requests may break a rule about single ones.
constexpr int MostOddRequests = 3;
// Times that are compared may differ by so much.
constexpr std::int64_t LateMs = 500;

std::uint64_t eventsIn(const std::string &Stream) {
  std::string Data = fleet_harness::dataOf(Stream);
  return static_cast<std::uint64_t>(std::count(Data.begin(), Data.end(), '\n'));
}

} // namespace

void oracle::fail(std::string Rule, std::string Text) {
  Violations.push_back({std::move(Rule), std::move(Text)});
}

void oracle::note(milliseconds At, const fleet_harness::caller_request &Request,
                  const fleet_harness::caller_answer &Answer,
                  bool EntryWasCalm) {
  slice &Slice = Slices[At / SliceTime];
  bool Whole = Answer.Status == http1::status::Ok && Answer.Complete;
  bool Refused = Answer.Status == http1::status::Unavailable;
  bool Answered = Whole || Answer.Status == http1::status::PaymentRequired;
  (Answered ? Slice.Answered : Refused ? Slice.Refused : Slice.Broken)++;
  bool Unanswered = Answer.Status == 0 && !Answer.GivenUp;
  Attempts[Answer.Attempt] = {Request.Path,
                              Request.Caller.Organisation,
                              Request.TimeLeft.count(),
                              Answer.Status,
                              Unanswered,
                              EntryWasCalm};
  if (Request.Host == fleet_harness::fleet::PlanHost) {
    ++Slice.Turns;
    Slice.TurnsAnswered += Answered ? 1 : 0;
    judgeTurn(Request, Answer);
  }
  if (Answer.Status == http1::status::BadRequest)
    fail("answers", Answer.Attempt + ": a proper request was answered 400");
  if (Answer.Status == http1::status::Unauthorized)
    fail("keys", Answer.Attempt + ": a valid key was answered 401");
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

// Hosts end when they are told to, and as they are told.
void oracle::judgeEnds(const std::vector<fleet_harness::process_end> &Ends) {
  using fleet_harness::role;
  for (const fleet_harness::process_end &End : Ends) {
    bool Host = End.Role == role::Entry || End.Role == role::Disk;
    if (Host && End.isOwn())
      fail("own ends", End.toText());
    if (End.Role == role::Store && End.isOwn())
      fail("stand-ins", End.toText());
  }
}

void oracle::judgeRecovery(const slice &Before, const slice &After) {
  constexpr int Part = 4;
  bool Served = Before.total() > 0 && Before.Answered * Part >= Before.total();
  bool ServedAgain =
      After.total() > 0 && After.Answered * Part >= After.total();
  bool TurnsServedAgain =
      Before.TurnsAnswered == 0 ||
      (After.Turns > 0 && After.TurnsAnswered * Part >= After.Turns);
  if (Served && !TurnsServedAgain)
    fail("recovery after the final fault",
         std::to_string(After.TurnsAnswered) + " of " +
             std::to_string(After.Turns) + " turns are answered");
  if (Served && !ServedAgain)
    fail("recovery after the final fault",
         std::to_string(After.Answered) + " of " +
             std::to_string(After.total()) + " requests are answered, " +
             std::to_string(Before.Answered) + " of " +
             std::to_string(Before.total()) + " before the fault");
}

slice oracle::sumSince(milliseconds From) const {
  slice Sum;
  for (const auto &[Number, Slice] : Slices)
    if (Number * SliceTime >= From) {
      Sum.Answered += Slice.Answered;
      Sum.Refused += Slice.Refused;
      Sum.Broken += Slice.Broken;
      Sum.Turns += Slice.Turns;
      Sum.TurnsAnswered += Slice.TurnsAnswered;
    }
  return Sum;
}

void oracle::judge(const std::vector<fleet_harness::run_line> &Runs) {
  runs_by_attempt RunsOf;
  for (const fleet_harness::run_line &Line : Runs) {
    if (Line.What == "run")
      RunsOf[Line.Attempt].push_back(&Line);
    if (Line.What == "crash")
      noteDisturbed(Line.Upstream);
  }
  judgeAttempts(RunsOf);
  judgeRepeats(RunsOf);
  judgeTimeLeft(RunsOf);
  judgeUnanswered(RunsOf);
  judgeCrashers(Runs);
  judgeLeaving(Runs);
  judgeOrganisations(RunsOf);
}

// Upstreams get the name of the caller's organisation and no key.
void oracle::judgeOrganisations(const runs_by_attempt &RunsOf) {
  for (const auto &[Id, Lines] : RunsOf) {
    auto Attempt = Attempts.find(Id);
    if (Attempt == Attempts.end() || Attempt->second.Organisation.empty())
      continue;
    for (const fleet_harness::run_line *Line : Lines) {
      if (Line->Organisation != Attempt->second.Organisation)
        fail("organisations", Id + " of " + Attempt->second.Organisation +
                                  " ran for '" + Line->Organisation + "'");
      if (Line->HasKey)
        fail("keys", Id + ": " + Line->Upstream + " was sent the key");
    }
  }
}

void oracle::judgeAttempts(const runs_by_attempt &RunsOf) {
  for (const auto &[Id, Lines] : RunsOf) {
    auto Attempt = Attempts.find(Id);
    if (Attempt == Attempts.end())
      continue;
    const std::string &Path = Attempt->second.Path;
    const fleet_harness::route_shape *Route = Shape.findRoute(Path);
    bool MayRunAgain =
        Path.starts_with("/look/") || (Route && Route->Resumable);
    if (Lines.size() > 1 && !MayRunAgain)
      fail("at most once",
           Id + " ran " + std::to_string(Lines.size()) + " times");
    if (Attempt->second.Status == http1::status::Unavailable)
      fail("not run", Id + " was told 503 and has run");
  }
}

// An attempt of a caller runs on no more upstreams than its route allows.
void oracle::judgeRepeats(const runs_by_attempt &RunsOf) {
  int Count = 0;
  std::string Example;
  for (const auto &[Id, Lines] : RunsOf) {
    std::set<std::string> Upstreams;
    for (const fleet_harness::run_line *Line : Lines)
      if (Disturbed.count(Line->Upstream) == 0)
        Upstreams.insert(Line->Upstream);
    auto Attempt = Attempts.find(Id);
    const fleet_harness::route_shape *Route =
        Attempt == Attempts.end() ? nullptr
                                  : Shape.findRoute(Attempt->second.Path);
    if (!Route || Upstreams.size() <= static_cast<std::size_t>(Route->Attempts))
      continue;
    ++Count;
    Example = Id;
  }
  if (Count > MostOddRequests)
    fail("attempts", std::to_string(Count) +
                         " requests ran on more upstreams than allowed, " +
                         Example + " among them");
}

// Upstreams are told no more time than is left.
void oracle::judgeTimeLeft(const runs_by_attempt &RunsOf) {
  int Count = 0;
  int Told = 0;
  std::string Example;
  for (const auto &[Id, Lines] : RunsOf) {
    auto Attempt = Attempts.find(Id);
    if (Attempt == Attempts.end() || Attempt->second.Path.starts_with("/turn/"))
      continue;
    std::int64_t FirstEnd = Lines.front()->AtMs + Lines.front()->LeftMs;
    for (const fleet_harness::run_line *Line : Lines) {
      ++Told;
      bool TooLong = Line->LeftMs < 0 ||
                     Line->LeftMs > Attempt->second.LeftMs + LateMs ||
                     (Line->AtMs > Lines.front()->AtMs + LateMs &&
                      Line->AtMs + Line->LeftMs > FirstEnd + LateMs);
      Count += TooLong ? 1 : 0;
      Example = TooLong ? Id : Example;
    }
  }
  constexpr int MostTooLong = 20;
  constexpr int OneIn = 5;
  if (Count > MostTooLong && Count * OneIn > Told)
    fail("time left", std::to_string(Count) +
                          " sends told upstreams more time than is left, " +
                          Example + " among them");
}

// A request that a sound upstream got is answered before its connection ends.
void oracle::judgeUnanswered(const runs_by_attempt &RunsOf) {
  int Count = 0;
  std::string Example;
  for (const auto &[Id, Attempt] : Attempts) {
    auto Lines = RunsOf.find(Id);
    if (!Attempt.EndedUnanswered || !Attempt.EntryWasCalm ||
        Lines == RunsOf.end() ||
        Disturbed.count(Lines->second.back()->Upstream) > 0)
      continue;
    ++Count;
    Example = Id;
  }
  if (Count > MostOddRequests)
    fail("answers", std::to_string(Count) +
                        " requests that upstreams got ended without an "
                        "answer, " +
                        Example + " among them");
}

void oracle::judgeCrashers(const std::vector<fleet_harness::run_line> &Runs) {
  std::map<std::string, fleet_harness::crash_record> Records;
  for (const fleet_harness::run_line &Line : Runs)
    if (!Line.Crash.empty())
      Records[Line.Service + " " + Line.Crash].add(Line);
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
