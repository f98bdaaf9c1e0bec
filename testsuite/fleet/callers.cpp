#include "callers.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <sstream>

namespace turmerichead::fleet_harness {

namespace {

constexpr milliseconds PatienceOver{1500};
constexpr milliseconds ArrivalInterval{20};
constexpr int MaxFailures = 3;
// Enough for two turns and a half, and for all.
constexpr double SmallBudgetTurns = 2.5;
constexpr std::uint64_t AmpleBudget = 1000;

std::string newAttempt() {
  static std::uint64_t Next = 0;
  return "a" + std::to_string(++Next) + "-" + std::to_string(getpid());
}

std::string markOf(std::string_view Text) {
  return std::to_string(hash64(Text));
}

/// Fills a line up to \p Bytes.
std::string line(std::string Text, std::size_t Bytes) {
  if (Text.size() + 1 < Bytes)
    Text.resize(Bytes - 1, '.');
  return Text + "\n";
}

http1::call_request toCall(fleet &Fleet, const std::string &Entry,
                           const caller_request &Request,
                           const std::string &Attempt) {
  http1::call_request Call;
  Call.Address = Fleet.callerAddress(Entry);
  Call.Method = Request.Method;
  Call.Target = Request.Path;
  Call.Headers = {
      {"Host", Request.Host},
      {"Request-Attempt-Id", Attempt},
      {"Deadline-Remaining", std::to_string(Request.TimeLeft.count())}};
  if (!Request.Caller.Key.empty())
    Call.Headers.add("Authorization", "Bearer " + Request.Caller.Key);
  if (Fleet.settings().Organisations > 0)
    Call.Headers.add("Tenant", "forged");
  if (!Request.Program.empty())
    Call.Headers.add("Program-Id", Request.Program);
  if (!Request.PreviousTurn.empty())
    Call.Headers.add("Previous-Turn", Request.PreviousTurn);
  if (Request.Budget > 0) {
    Call.Headers.add("Token-Budget", std::to_string(Request.Budget));
    Call.Headers.add("Token-Usage", "10," + std::to_string(Request.MostTokens));
  }
  if (!Request.CrashMark.empty())
    Call.Headers.add("Crash-Mark", Request.CrashMark);
  if (!Request.Body.empty())
    Call.Body.push_back(Request.Body);
  return Call;
}

} // namespace

std::string dataOf(const std::string &Stream) {
  std::string Lines;
  constexpr std::string_view Key = "data: ";
  for (std::size_t At = Stream.find(Key); At != std::string::npos;
       At = Stream.find(Key, At + 1)) {
    std::size_t Begin = At + Key.size();
    Lines += Stream.substr(Begin, Stream.find('\n', Begin) - Begin) + "\n";
  }
  return Lines;
}

bool isWhole(const std::string &Stream, const std::string &Mark, int Events) {
  std::stringstream Lines(dataOf(Stream));
  std::string Line;
  for (int I = 1; I <= Events; ++I) {
    std::string Begin = Mark + "-" + std::to_string(I);
    bool Own = std::getline(Lines, Line) && Line.starts_with(Begin) &&
               Line.find_first_not_of('.', Begin.size()) == std::string::npos;
    if (!Own)
      return false;
  }
  return !std::getline(Lines, Line);
}

void send(fleet &Fleet, const std::string &Entry, const caller_request &Request,
          std::function<void(const caller_answer &)> Done) {
  struct under_way {
    caller_answer Answer;
    time_point Since = steadyNow();
    http1::call_id Call;
    loop_source GiveUp;
    bool Ended = false;
  };
  auto Row = std::make_shared<under_way>();
  Row->Answer.Attempt = newAttempt();
  auto End = [Row, Done = std::move(Done)](bool Complete) {
    if (std::exchange(Row->Ended, true))
      return;
    Row->Answer.Complete = Complete;
    Row->Answer.Took = steadyNow() - Row->Since;
    Row->GiveUp.reset();
    Done(Row->Answer);
  };
  Row->Call =
      Fleet.httpFrom(Request.SourceIp)
          .call(toCall(Fleet, Entry, Request, Row->Answer.Attempt),
                {[Row](const http1::response_head &Head) {
                   Row->Answer.Status = Head.Status;
                   Row->Answer.Signature =
                       Head.Headers.get("Response-Signature");
                 },
                 [Row](std::string_view Bytes) { Row->Answer.Body += Bytes; },
                 [End](const http1::call_result &Result) {
                   End(Result.Outcome == http1::call_outcome::Complete);
                 }});
  Row->GiveUp = loop_source::every(
      Request.TimeLeft + PatienceOver,
      [Row, End, &Fleet, SourceIp = Request.SourceIp, Alive = Fleet.alive()] {
        if (Alive.expired())
          return false;
        Fleet.httpFrom(SourceIp).cancel(Row->Call);
        Row->Answer.GivenUp = true;
        End(false);
        return false;
      });
}

// -- Programs ----------------------------------------------------------------

sound_traffic::sound_traffic(fleet &Fleet, int Count, std::uint64_t Seed,
                             caller_observer Observer, double Rate)
    : Fleet(Fleet), Random(Seed), Programs(static_cast<std::size_t>(Count)),
      Timers(static_cast<std::size_t>(Count)), Observer(std::move(Observer)),
      Open(Rate > 0) {
  for (std::size_t I = 0; I < Programs.size() && Open; ++I)
    Idle.push_back(I);
  for (std::size_t I = 0; I < Programs.size() && !Open; ++I) {
    ++Live;
    later(I);
  }
  constexpr double MsPerS = 1000;
  double Mean = Rate * Fleet.shape().programsPerSecond() *
                static_cast<double>(ArrivalInterval.count()) / MsPerS;
  if (Open)
    Arrivals = loop_source::every(ArrivalInterval, [this, Mean] {
      arrive(Mean);
      return !Stopping;
    });
}

// Begins so many programs in the mean.
void sound_traffic::arrive(double Mean) {
  int Count = Stopping ? 0 : std::poisson_distribution<int>(Mean)(Random);
  for (; Count > 0 && !Idle.empty(); --Count) {
    std::size_t Index = Idle.back();
    Idle.pop_back();
    ++Live;
    Programs[Index] = {};
    begin(Programs[Index]);
    later(Index);
  }
}

void sound_traffic::begin(program &Program) {
  const site_shape &Shape = Fleet.shape();
  std::vector<double> Weights;
  for (const program_shape &Row : Shape.Programs)
    Weights.push_back(Open ? Row.PerSecond : 1);
  std::discrete_distribution<std::size_t> Kind(Weights.begin(), Weights.end());
  Program.Shape = &Shape.Programs[Kind(Random)];
  Program.Name = "p" + std::to_string(++Serial);
  std::exponential_distribution<double> Turns(1 / Program.Shape->MeanTurns);
  Program.Turns = Program.Shape->MaxTurns;
  if (Program.Shape->MeanTurns < Program.Shape->MaxTurns)
    Program.Turns = std::clamp(static_cast<int>(std::lround(Turns(Random))), 1,
                               Program.Shape->MaxTurns);
  const route_shape &Route = Shape.Routes[Program.Shape->Route];
  int Events = Shape.findService(Route.Service)->Events;
  constexpr unsigned PoorOneIn = 5;
  Program.Budget = Random() % PoorOneIn == 0
                       ? static_cast<std::uint64_t>(SmallBudgetTurns * Events)
                       : AmpleBudget;
}

std::string sound_traffic::anyEntry() {
  std::vector<std::string> Names = Fleet.entriesInTouch();
  return Names.empty() ? std::string() : Names[Random() % Names.size()];
}

void sound_traffic::later(std::size_t Index) {
  const program_shape *Shape = Programs[Index].Shape;
  milliseconds Pause = Shape ? Shape->Pause : program_shape().Pause;
  Timers[Index] = loop_source::every(Pause, [this, Index] {
    next(Index);
    return false;
  });
}

// The route of the next tool call; null if a turn is next.
const route_shape *sound_traffic::chooseCall(const program &Program) {
  double Sum = 1;
  for (const tool_use &Tool : Program.Shape->Tools)
    Sum += Tool.PerTurn;
  double At = std::uniform_real_distribution<double>(0, Sum)(Random);
  for (const tool_use &Tool : Program.Shape->Tools) {
    if (At < Tool.PerTurn)
      return &Fleet.shape().Routes[Tool.Route];
    At -= Tool.PerTurn;
  }
  return nullptr;
}

void sound_traffic::next(std::size_t Index) {
  program &Program = Programs[Index];
  bool Over = Program.Name.empty() || Program.Turn >= Program.Turns ||
              Program.Failures >= MaxFailures || Program.Spent;
  if (Over && (Stopping || Open)) {
    --Live;
    Idle.push_back(Index);
    return;
  }
  if (Over) {
    Program = {};
    begin(Program);
  }
  std::string Entry = anyEntry();
  const route_shape *Call = chooseCall(Program);
  if (Entry.empty())
    later(Index);
  else if (Call)
    call(Index, Entry, *Call);
  else
    turn(Index, Entry);
}

void sound_traffic::judge(const std::string &Entry,
                          const caller_request &Request,
                          const caller_answer &Answer) {
  ++Counts.Turns;
  if (Observer)
    Observer(Entry, Request, Answer);
  if (Answer.Status == http1::status::Unavailable) {
    ++Counts.Refused;
    Counts.Condemned +=
        Answer.Body.find("several upstreams ended") != std::string::npos;
  } else if (Answer.Status == http1::status::PaymentRequired) {
    ++Counts.Spent;
  } else if (Answer.Status == http1::status::Ok && Answer.Complete) {
    ++Counts.Answered;
  } else {
    ++Counts.Broken;
  }
}

void sound_traffic::turn(std::size_t Index, const std::string &Entry) {
  program &Program = Programs[Index];
  const route_shape &Route = Fleet.shape().Routes[Program.Shape->Route];
  caller_request Request;
  Request.Host = Route.Host;
  Request.Path = Route.Path;
  Request.TimeLeft = Route.TimeLeft;
  Request.Caller = Fleet.lastingKey(Index);
  Request.Program = Program.Name;
  Request.PreviousTurn = Program.Previous;
  Request.Body =
      line("input " + std::to_string(Program.Turn) + " of " + Program.Name,
           Program.Turn == 0 ? Route.BodyBytes : Program.Shape->LaterBodyBytes);
  Request.Budget = Program.Budget;
  Request.MostTokens = static_cast<std::uint64_t>(
      Fleet.shape().findService(Route.Service)->Events);
  std::string Given = Program.Chain + Request.Body;
  if (Route.Resumable) {
    Request.PreviousTurn.clear();
    Request.Body = Given;
  }
  send(Fleet, Entry, Request,
       [this, Index, Given, Entry, Request](const caller_answer &Answer) {
         judge(Entry, Request, Answer);
         program &Program = Programs[Index];
         bool Good = Answer.Status == http1::status::Ok && Answer.Complete;
         bool Own = Answer.Signature == markOf(Given) &&
                    isWhole(Answer.Body, markOf(Given),
                            static_cast<int>(Request.MostTokens));
         if (Good && !Own)
           ++Counts.Wrong;
         if (Good) {
           Program.Chain = Given + dataOf(Answer.Body);
           Program.Previous = Answer.Attempt;
           ++Program.Turn;
           Program.Failures = 0;
         } else {
           ++Program.Failures;
           Program.Spent = Answer.Status == http1::status::PaymentRequired;
         }
         later(Index);
       });
}

void sound_traffic::call(std::size_t Index, const std::string &Entry,
                         const route_shape &Route) {
  program &Program = Programs[Index];
  bool Look = Route.Kind == route_kind::Safe;
  caller_request Request;
  Request.Method = Look ? "GET" : "POST";
  Request.Host = Route.Host;
  Request.Path = Route.Path;
  Request.TimeLeft = Route.TimeLeft;
  Request.Caller = Fleet.lastingKey(Index);
  Request.Program = Program.Name;
  if (!Look)
    Request.Body = line("book " + std::to_string(++Serial), Route.BodyBytes);
  std::string Wanted = markOf(Request.Body);
  std::size_t Bytes = Fleet.shape().findService(Route.Service)->AnswerBytes;
  Wanted.resize(std::max(Wanted.size(), Bytes), '.');
  send(Fleet, Entry, Request,
       [this, Index, Wanted, Entry, Request](const caller_answer &Answer) {
         judge(Entry, Request, Answer);
         if (Answer.Status == http1::status::Ok && Answer.Complete &&
             Answer.Body != Wanted)
           ++Counts.Wrong;
         later(Index);
       });
}

} // namespace turmerichead::fleet_harness
