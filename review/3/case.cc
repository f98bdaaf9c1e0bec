// A turn that ends shortly after the retention of the turn before it.

#include "../harness.hh"

using namespace review;

namespace {

constexpr std::int64_t RetentionMs = 60000;

} // namespace

int main(int Count, char **Arguments) {
  if (!openRecord(Count, Arguments))
    return 2;
  bool Trouble = hasTrouble();
  note(Trouble ? "with the disruption" : "without the disruption");
  deployment D;
  const char *Zones[] = {"a", "b", "c"};
  D.addMachines(3);
  D.Store.serveOn(D.StoreAddress);
  std::vector<std::unique_ptr<runner>> Runners;
  constexpr int RunnerCount = 7;
  for (int I = 0; I < RunnerCount; ++I) {
    auto Runner = std::make_unique<runner>();
    Runner->Id = "i-" + std::to_string(I);
    Runner->Address = D.ip(41 + I) + ":8080";
    Runner->Service = "models";
    Runner->Zone = Zones[I % 3];
    Runner->serve();
    D.Store.put("servers", Runner->Id, Runner->entry());
    Runners.push_back(std::move(Runner));
  }
  D.Store.put("config", "main",
              configOf(7, {turnRoute("r-rework", "/rework/")}));
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

  const std::string Program = "p-" + newId();
  std::int64_t AimMs = nowMs() + 120000;
  auto Left = [&] { return AimMs - nowMs(); };

  // The first turn of the program, then a pause that lasts almost as long as
  // turns are kept.
  std::string First = newId();
  answer FirstAnswer =
      sendTurn(D.Machines["front-a-1"], "/rework/1", First, Program, "",
               "input of the first turn\n", Left());
  if (FirstAnswer.Status != 200 || !FirstAnswer.Whole)
    GiveUp("the first turn was not answered");

  // The second turn is sent 1.3 s before the first one's time is over. A run
  // takes 0.7 s, and 2.8 s while its runner is four times as slow.
  sleepUntil(FirstAnswer.EndedAtMs + RetentionMs - 1300);
  if (Trouble) {
    note("the runner of the first turn, one of seven, turns slow (4 times)");
    for (auto &Runner : Runners)
      if (Runner->Id == runOf(First)->Runner)
        Runner->Slowness = 4;
  }
  std::string Second = newId();
  answer SecondAnswer =
      sendTurn(D.Machines["front-a-1"], "/rework/1", Second, Program, First,
               "input of the second turn\n", Left());
  for (auto &Runner : Runners)
    Runner->Slowness = 1;
  if (Trouble)
    note("the runner is as fast as before");
  note("the second turn ended " +
       std::to_string(SecondAnswer.EndedAtMs - FirstAnswer.EndedAtMs) +
       " ms after the first");
  if (SecondAnswer.Status != 200 || !SecondAnswer.Whole)
    GiveUp("the second turn was not answered");

  // The third turn, six tries at several machines, from 4 s after the end of
  // the slowness (contact_ms is 3 s). First turns are sent beside it.
  sleepUntil(SecondAnswer.EndedAtMs + 4000);
  int Reached = 0;
  int FirstTurnsServed = 0;
  int Lost404 = 0;
  constexpr int Tries = 6;
  std::string Expected = "input of the first turn\n" + runOf(First)->Output +
                         "input of the second turn\n" + runOf(Second)->Output +
                         "input of the third turn\n";
  bool WrongChain = false;
  for (int I = 0; I < Tries; ++I) {
    const machine &Entry =
        D.Machines["front-" + std::string(Zones[I % 3]) + "-1"];
    std::string Third = newId();
    answer Answer = sendTurn(Entry, "/rework/1", Third, Program, Second,
                             "input of the third turn\n", Left());
    Lost404 += Answer.Status == 404 || Answer.Status == 410 ? 1 : 0;
    if (auto Run = runOf(Third)) {
      ++Reached;
      WrongChain = WrongChain || Run->Body != Expected;
    }
    std::string Other = newId();
    sendTurn(Entry, "/rework/1", Other, "q-" + Other, "",
             "input of another program\n", 60000);
    FirstTurnsServed += runOf(Other) ? 1 : 0;
  }
  note("the third turn reached a runner in " + std::to_string(Reached) +
       " of " + std::to_string(Tries) + " tries; first turns in " +
       std::to_string(FirstTurnsServed) + " of " + std::to_string(Tries));
  note("the last try was sent " +
       std::to_string(nowMs() - SecondAnswer.EndedAtMs) +
       " ms after the end of the second turn at most");
  D.stop();
  if (FirstTurnsServed * 10 < Tries * 9) {
    note("could not run: first turns were not served");
    std::_Exit(2);
  }
  bool Broken = (Reached == 0 && Tries >= 5) || Lost404 > 0 || WrongChain;
  note(Broken ? "the rule was broken" : "the rule held");
  std::_Exit(Broken ? 1 : 0);
}
