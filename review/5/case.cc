// A stopped program returns within the retention time, by way of an entry
// machine that freezes for two seconds.

#include "../harness.hh"

using namespace review;

namespace {

constexpr std::int64_t RetentionMs = 60000;
constexpr std::uint64_t Budget = 1000;
constexpr std::uint64_t MostOfOneTurn = 400;
constexpr std::uint64_t TokensPerEvent = 19;
constexpr int EventsPerTurn = 20;

/// Tokens in the events that a client was handed.
std::uint64_t tokensOf(const answer &Answer) {
  std::uint64_t Events = 0;
  for (std::size_t At = Answer.Body.find("data: "); At != std::string::npos;
       At = Answer.Body.find("data: ", At + 1))
    ++Events;
  return Answer.Status == 200 ? Events * TokensPerEvent : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (!openRecord(Count, Arguments))
    return 2;
  bool Trouble = hasTrouble();
  note(Trouble ? "with the disruption" : "without the disruption");
  deployment D;
  const char *Zones[] = {"a", "b", "c"};
  D.addMachines(10);
  D.Store.serveOn(D.StoreAddress);
  std::vector<std::unique_ptr<runner>> Runners;
  for (int I = 0; I < 3; ++I) {
    auto Runner = std::make_unique<runner>();
    Runner->Id = "i-" + std::to_string(I);
    Runner->Address = D.ip(41 + I) + ":8080";
    Runner->Service = "models";
    Runner->Zone = Zones[I];
    Runner->Events = EventsPerTurn;
    Runner->GapMs = 15;
    Runner->serve();
    D.Store.put("servers", Runner->Id, Runner->entry());
    Runners.push_back(std::move(Runner));
  }
  D.Store.put("config", "main", configOf(7, {turnRoute("r-loop", "/loop/")}));
  for (auto &[Name, Machine] : D.Machines)
    D.start(Machine);
  auto GiveUp = [&](const std::string &Why) {
    note("could not run: " + Why);
    D.stop();
    std::_Exit(2);
  };
  if (!D.waitReady(15000))
    GiveUp("the entry machines are not ready");
  sleepMs(1000);

  // A program that loops without end: it sends turns until it is stopped, and
  // a stopped turn twice more.
  const std::string Program = "p-" + newId();
  std::uint64_t Handed = 0;
  auto Send = [&](const machine &Entry) {
    answer Answer =
        sendTurn(Entry, "/loop/1", newId(), Program, "", "input of a helper\n",
                 120000, Budget, MostOfOneTurn);
    Handed += tokensOf(Answer);
    note("handed so far: " + std::to_string(Handed) + " tokens of " +
         std::to_string(Budget));
    return Answer;
  };
  int Stops = 0;
  std::int64_t StoppedMs = 0;
  for (int I = 0; I < 10 && Stops < 3; ++I) {
    answer Answer = Send(D.Machines["front-a-1"]);
    Stops += Answer.Status == 402 ? 1 : 0;
    StoppedMs = Answer.EndedAtMs;
  }
  if (Stops < 3 || Handed > Budget)
    GiveUp("the program was not stopped at its budget");

  // It returns 59.4 s after it was stopped, within retention_s.
  sleepUntil(StoppedMs + RetentionMs - 700);
  machine &Entry = D.Machines["front-b-1"];
  if (Trouble)
    D.signal(Entry, SIGSTOP, false);
  std::thread Waker([&] {
    sleepUntil(StoppedMs + RetentionMs + 1200);
    if (Trouble)
      D.signal(Entry, SIGCONT, false);
  });
  sleepUntil(StoppedMs + RetentionMs - 600);
  note("the program returns " + std::to_string(nowMs() - StoppedMs) +
       " ms after it was stopped");
  Send(Entry);
  Waker.join();
  // As long as it is not stopped, it sends more.
  for (int I = 0; I < 5; ++I)
    if (Send(D.Machines["front-c-1"]).Status == 402)
      break;
  D.stop();
  bool Broken = Handed > Budget + MostOfOneTurn;
  note("handed in all: " + std::to_string(Handed) + " tokens; the most is " +
       std::to_string(Budget) + " + " + std::to_string(MostOfOneTurn));
  note(Broken ? "the rule was broken" : "the rule held");
  std::_Exit(Broken ? 1 : 0);
}
