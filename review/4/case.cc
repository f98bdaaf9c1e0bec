// An entry machine that starts while the platform's store is slow uses a runner
// whose entry was removed before.

#include "../harness.hh"

using namespace review;

int main(int Count, char **Arguments) {
  if (!openRecord(Count, Arguments))
    return 2;
  bool Trouble = hasTrouble();
  note(Trouble ? "with the disruption" : "without the disruption");
  deployment D;
  const char *Zones[] = {"a", "b", "c"};
  D.addMachines(7);
  D.Store.serveOn(D.StoreAddress);
  std::vector<std::unique_ptr<runner>> Runners;
  constexpr int RunnerCount = 6;
  for (int I = 0; I < RunnerCount; ++I) {
    auto Runner = std::make_unique<runner>();
    Runner->Id = "i-" + std::to_string(I);
    Runner->Address = D.ip(41 + I) + ":8080";
    Runner->Service = "models";
    Runner->Zone = Zones[I % 3];
    Runner->Events = 10;
    Runner->serve();
    D.Store.put("servers", Runner->Id, Runner->entry());
    Runners.push_back(std::move(Runner));
  }
  D.Store.put("config", "main", configOf(7, {turnRoute("r-plan", "/plan/")}));
  for (auto &[Name, Machine] : D.Machines)
    D.start(Machine);
  auto GiveUp = [&](const std::string &Why) {
    note("could not run: " + Why);
    D.stop();
    std::_Exit(2);
  };
  if (!D.waitReady(15000))
    GiveUp("the entry machines are not ready");
  sleepMs(4000);

  // Reads with "serializable" lie 2.5 s behind all the time.
  D.Store.StaleMs = 2500;
  machine &Entry = D.Machines["front-c-1"];
  runner &Leaving = *Runners[2];
  for (auto &[Name, Machine] : D.Machines)
    Machine.Bootstrap = false;

  D.Store.remove("servers", Leaving.Id);
  std::int64_t RemovedMs = nowMs();
  note("the entry of " + Leaving.Id + " is removed; it serves on");
  sleepMs(300);
  if (Trouble) {
    note("the store is slow: 272 ms an answer");
    D.Store.DelayMs = 272;
  }
  sleepMs(100);
  D.signal(Entry, SIGKILL, true);
  sleepMs(100);
  D.start(Entry);
  sleepMs(2000);
  D.Store.DelayMs = 4;
  std::int64_t FineMs = nowMs();
  note("the store is as fast as before");

  // contact_ms is 3 s: from then on the machine is in touch.
  sleepUntil(FineMs + 3500);
  int Late = 0;
  int Cut = 0;
  std::mutex Lock;
  std::vector<std::thread> Clients;
  std::int64_t ExitMs = FineMs + 3500 + 4000;
  for (int I = 0; I < 160; ++I) {
    Clients.emplace_back([&] {
      std::string Id = newId();
      answer Answer = sendTurn(Entry, "/plan/1", Id, "p-" + Id, "",
                               "input of a first turn\n", 60000);
      auto Run = runOf(Id);
      std::lock_guard Guard(Lock);
      if (Run && Run->Runner == Leaving.Id && Run->AtMs > RemovedMs + 2000) {
        ++Late;
        if (!Answer.Whole)
          ++Cut;
      }
    });
    sleepMs(30);
    if (nowMs() >= ExitMs && Leaving.IsUp) {
      Leaving.exit();
    }
  }
  for (std::thread &Client : Clients)
    Client.join();
  note("requests that reached " + Leaving.Id + " later than drain_ms after " +
       "its entry was removed: " + std::to_string(Late) + ", cut " +
       std::to_string(Cut));
  D.stop();
  note(Late > 0 ? "the rule was broken" : "the rule held");
  std::_Exit(Late > 0 ? 1 : 0);
}
