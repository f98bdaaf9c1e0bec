#include "callers.h"

#include "turmerichead/hash.h"

#include <memory>

namespace turmerichead::fleet_harness {

namespace {

constexpr milliseconds PatienceOver{1500};
constexpr milliseconds Pause{40};
constexpr int TurnsOfAProgram = 4;
constexpr int MaxFailures = 3;
// Tokens: enough for two turns and a half, and for all.
constexpr std::uint64_t SmallBudget = 15;
constexpr std::uint64_t AmpleBudget = 1000;

std::string newAttempt() {
  static std::uint64_t Next = 0;
  return "a" + std::to_string(++Next) + "-" + std::to_string(getpid());
}

std::string markOf(std::string_view Text) {
  return std::to_string(hash64(Text));
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
                             caller_observer Observer)
    : Fleet(Fleet), Random(Seed), Programs(static_cast<std::size_t>(Count)),
      Timers(static_cast<std::size_t>(Count)), Observer(std::move(Observer)),
      Live(Count) {
  for (std::size_t I = 0; I < Programs.size(); ++I)
    later(I);
}

std::string sound_traffic::anyEntry() {
  std::vector<std::string> Names = Fleet.entriesInTouch();
  return Names.empty() ? std::string() : Names[Random() % Names.size()];
}

void sound_traffic::later(std::size_t Index) {
  Timers[Index] = loop_source::every(Pause, [this, Index] {
    next(Index);
    return false;
  });
}

void sound_traffic::next(std::size_t Index) {
  program &Program = Programs[Index];
  if (Program.Turn >= TurnsOfAProgram || Program.Failures >= MaxFailures ||
      Program.Spent || Program.Name.empty()) {
    if (Stopping) {
      --Live;
      return;
    }
    Program = {};
    Program.Name = "p" + std::to_string(++Serial);
    constexpr unsigned PoorOneIn = 5;
    Program.Budget = Random() % PoorOneIn == 0 ? SmallBudget : AmpleBudget;
  }
  std::string Entry = anyEntry();
  constexpr unsigned CallsOneIn = 3;
  if (Entry.empty())
    later(Index);
  else if (Random() % CallsOneIn == 0)
    call(Index, Entry);
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
  caller_request Request;
  Request.Host = fleet::PlanHost;
  Request.Path = "/turn/";
  Request.Caller = Fleet.lastingKey(Index);
  Request.Program = Program.Name;
  Request.PreviousTurn = Program.Previous;
  Request.Body =
      "input " + std::to_string(Program.Turn) + " of " + Program.Name + "\n";
  Request.Budget = Program.Budget;
  Request.MostTokens =
      static_cast<std::uint64_t>(Fleet.settings().RunnerEvents);
  std::string Given = Program.Chain + Request.Body;
  if (Fleet.settings().Resumable) {
    Request.PreviousTurn.clear();
    Request.Body = Given;
  }
  send(Fleet, Entry, Request,
       [this, Index, Given, Entry, Request](const caller_answer &Answer) {
         judge(Entry, Request, Answer);
         program &Program = Programs[Index];
         bool Good = Answer.Status == http1::status::Ok && Answer.Complete;
         if (Good && Answer.Signature != markOf(Given))
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

void sound_traffic::call(std::size_t Index, const std::string &Entry) {
  program &Program = Programs[Index];
  bool Look = Random() % 2 == 0;
  caller_request Request;
  Request.Method = Look ? "GET" : "POST";
  Request.Host = fleet::ToolHost;
  Request.Path = Look ? "/look/slot" : "/book/slot";
  Request.Caller = Fleet.lastingKey(Index);
  Request.Program = Program.Name;
  if (!Look)
    Request.Body = "book " + std::to_string(++Serial);
  std::string Wanted = markOf(Request.Body);
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
