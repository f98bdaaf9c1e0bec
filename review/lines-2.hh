/// \file
/// Lines of turns, their clients and the check of the rule, for the cases that
/// lose chains.
#pragma once

#include "harness-2.hh"

namespace review {

inline constexpr std::uint64_t Events = 6;
inline constexpr int Lines = 24;
inline constexpr int FreshLines = 20;
inline constexpr milliseconds RetentionTime{60'000};
// 1.9 times the 84 s that a program takes here, as on the sheet.
inline constexpr milliseconds ProgramTime{160'000};
// As on the sheet. All lines at once take under half of them.
inline constexpr int Runners = 9;
inline constexpr std::uint32_t Slots = 32;
static_assert((Lines + FreshLines) * 2 < Runners * static_cast<int>(Slots));

/// One line of turns. It comes through one zone first and then through another.
struct line_of_turns {
  std::string Program;
  int Zone = 0;
  std::string Given; ///< What the runner is to receive before the new input.
  std::string Previous;
  time_point PreviousEnded;
  time_point AimAt; ///< When the program should have ended.
  /// Of the current turn: the tries that the rule counts, sent before the aim
  /// and less than retention_s after the end of the turn before.
  std::vector<std::string> Attempts;
  bool Answered = true;
  bool Wrong = false;
  int Status = 0;
};

class run {
public:
  run(fleet &Fleet, record &Record) : Fleet(Fleet), Record(Record) {}

  /// Sends turn \p Number of each line, and waits until all have ended.
  void turn(std::vector<line_of_turns> &Rows, int Number, int ZoneShift) {
    for (line_of_turns &Row : Rows)
      begin(Row, Number, ZoneShift);
    wait();
  }
  void begin(line_of_turns &Row, int Number, int ZoneShift) {
    if (!Row.Answered)
      return;
    if (Number == 1)
      Row.AimAt = steadyNow() + ProgramTime;
    ++Open;
    Row.Answered = false;
    Row.Attempts.clear();
    trySend(Row, Number, ZoneShift, 0);
  }
  void wait() {
    Fleet.wait(milliseconds(20'000), [&] { return Open == 0; });
  }

private:
  // A turn: two client attempts, and sent again from its start twice.
  void trySend(line_of_turns &Row, int Number, int ZoneShift, int Try) {
    constexpr int AttemptsPerSend = 2;
    constexpr int MostTries = 3 * AttemptsPerSend;
    request Request;
    Request.Host = fleet::PlanHost;
    Request.Path = "/turn/";
    Request.Program = Row.Program;
    Request.Session = "s-" + Row.Program;
    Request.PreviousTurn = Row.Previous;
    Request.Body =
        "input " + std::to_string(Number) + " of " + Row.Program + "\n";
    Request.Budget = 100 * Events;
    Request.MostTokens = Events;
    time_point Now = steadyNow();
    Request.ProgramTimeLeft = Row.AimAt - Now;
    bool Counts = Now < Row.AimAt && (Row.Previous.empty() ||
                                      Now < Row.PreviousEnded + RetentionTime);
    Request.IdPrefix = Row.Program + "-t" + std::to_string(Number);
    // The first attempt in the zone of the line; retries reach other nodes.
    std::string Entry =
        "entry-" + std::to_string((Row.Zone + ZoneShift + Try) % 3);
    std::string Given = Row.Given + Request.Body;
    sendOnce(
        Fleet, Entry, Request, Request.TimeLeft,
        [=, this, &Row](const attempt &Attempt) {
          if (Counts)
            Row.Attempts.push_back(Attempt.Id);
          Row.Status = Attempt.Status;
          bool Whole = Attempt.Status == 200 && Attempt.Complete &&
                       isWhole(Attempt.Body, std::to_string(hash64(Given)),
                               static_cast<int>(Events));
          if (Attempt.Status == 200 && Attempt.Complete && !Whole)
            Row.Wrong = true;
          Record.line(
              Attempt.Id + " at " + Entry + " previous \"" + Row.Previous +
              "\": " + std::to_string(Attempt.Status) +
              (Attempt.Complete ? " complete" : " not complete") +
              (Attempt.Status == 200
                   ? ""
                   : " " + Attempt.Body.substr(0, Attempt.Body.find('\n'))));
          if (Whole) {
            Row.Answered = true;
            Row.Given = Given + dataOf(Attempt.Body);
            Row.Previous = Attempt.Id;
            Row.PreviousEnded = steadyNow();
          }
          bool EndsProgram = Attempt.Status >= 400 && Attempt.Status <= 413 &&
                             Attempt.Status != 408;
          if (Whole || EndsProgram || Try + 1 >= MostTries) {
            --Open;
            return;
          }
          auto Wait = std::max(
              milliseconds(static_cast<int>(Attempt.RetryAfterS * 1000)),
              milliseconds(300));
          Timers.push_back(loop_source::every(Wait, [=, this, &Row] {
            trySend(Row, Number, ZoneShift, Try + 1);
            return false;
          }));
        });
  }

  fleet &Fleet;
  record &Record;
  int Open = 0;
  std::vector<loop_source> Timers;
};

/// Sends turn \p Number of the lines that still go on, beside first turns of
/// others, and judges it. \p Ends: the ends of processes of the system that the
/// case has caused.
inline int judgeLastTurn(fleet &Fleet, record &Record, run &Run,
                         std::vector<line_of_turns> &Rows, int Number,
                         int Ends) {
  std::vector<line_of_turns> Fresh(FreshLines);
  for (std::size_t I = 0; I < Fresh.size(); ++I) {
    Fresh[I].Program = "n" + std::to_string(I);
    Fresh[I].Zone = static_cast<int>(I % 3);
  }
  int Ended = 0;
  for (const line_of_turns &Row : Rows)
    Ended += Row.Answered ? 0 : 1;
  Record.line(std::to_string(Ended) + " of " + std::to_string(Lines) +
              " lines ended before turn " + std::to_string(Number));
  if (Ended > Lines / 3)
    return CannotRun;
  std::vector<line_of_turns> Alive;
  for (const line_of_turns &Row : Rows)
    if (Row.Answered)
      Alive.push_back(Row);
  // The first turns of others come while these are tried.
  for (line_of_turns &Row : Alive)
    Run.begin(Row, Number, 1);
  for (line_of_turns &Row : Fresh) {
    Run.begin(Row, 1, 0);
    Fleet.pause(milliseconds(100));
  }
  Run.wait();
  // No other process of the system has ended.
  if (hostEnds(Fleet) != Ends)
    return CannotRun;
  std::set<std::string> Ran;
  for (const run_line &Line : Fleet.runs())
    if (Line.What == "run" && Ran.insert(Line.Attempt).second)
      Record.line(Line.Attempt + " ran at " + Line.Upstream);
  auto Reached = [&](const line_of_turns &Row) {
    for (const std::string &Id : Row.Attempts)
      if (Ran.contains(Id))
        return true;
    return false;
  };
  int FreshReached = 0;
  for (const line_of_turns &Row : Fresh)
    FreshReached += Reached(Row) ? 1 : 0;
  int Lost = 0;
  int Absent = 0;
  int Wrong = 0;
  for (const line_of_turns &Row : Alive) {
    Absent += Row.Status == 404 || Row.Status == 410 ? 1 : 0;
    Wrong += Row.Wrong ? 1 : 0;
    if (Reached(Row) || Row.Attempts.size() < 5)
      continue;
    ++Lost;
    Record.line("lost: " + Row.Program + ", which goes on from " +
                Row.Previous + ", reached no runner in " +
                std::to_string(Row.Attempts.size()) + " tries");
  }
  Record.line(std::to_string(Lost) + " of " + std::to_string(Alive.size()) +
              " turns reached no runner, " + std::to_string(Absent) +
              " were told 404 or 410, " + std::to_string(Wrong) +
              " got a wrong answer; " + std::to_string(FreshReached) + " of " +
              std::to_string(Fresh.size()) + " first turns reached one");
  bool FreshServed = FreshReached * 10 >= static_cast<int>(Fresh.size()) * 9;
  bool IsBroken = Absent > 0 || (Lost > 0 && FreshServed);
  Record.line(IsBroken ? "LOST is broken" : "LOST held");
  return IsBroken ? Broken : Held;
}

} // namespace review
