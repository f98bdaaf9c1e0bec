#include "decision_cost.h"

#include "figures.h"

#include "turmerichead/sched_gate.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <random>
#include <string>

namespace bench {

namespace sched = turmerichead::sched;
using turmerichead::milliseconds;
using turmerichead::time_point;

namespace {

constexpr int MaxGroupRunners = 16;
constexpr int Models = 38;
constexpr int Owners = 50;

/// One gate under steady load, and the summaries of its model's groups.
class loaded_gate {
public:
  loaded_gate(int GroupRunners, int GroupCount, int Queued)
      : Gate(*sched::default_gate::create(settings())), Random(1) {
    for (int I = 0; I < GroupRunners; ++I)
      Gate.upsertRunner({.Name = "r" + std::to_string(I),
                         .Slots = 16,
                         .CacheTokens = 450'000});
    for (int I = 0; I < GroupCount; ++I)
      Groups.push_back({static_cast<std::uint32_t>(I), 16 * GroupRunners,
                        16 * GroupRunners - I, 10 * I});
    for (int I = 0; I < Queued + 16 * GroupRunners; ++I)
      enqueueNext();
    tick();
  }

  /// One whole decision for one call.
  void decide() {
    Now = Now + milliseconds(1);
    Chosen += *sched::chooseGroup(Groups, std::nullopt, 1.2, Random());
    enqueueNext();
    if (!InFlight.empty())
      finishOldest();
    tick();
  }

  std::size_t Chosen = 0;

private:
  static sched::gate_settings settings() {
    sched::gate_settings Settings;
    Settings.RefuseOverload = false;
    return Settings;
  }

  void enqueueNext() {
    sched::gate_request Request;
    // A program comes back after a while, so that caches are known.
    Request.Program = "program-" + std::to_string(Number % 20'000);
    Request.RootProgram = Request.Program;
    Request.Owner = "owner-" + std::to_string(Number % Owners);
    Request.Entry = "entry";
    Request.Rank =
        Number % 3 == 0 ? sched::rank::Urgent : sched::rank::Ordinary;
    Request.PromptTokens = 4'000;
    Request.AttainedService = static_cast<sched::token_count>(Random() % 9'000);
    Request.Started = Number % 5 != 0;
    Request.Fingerprint = Number + 1;
    ++Number;
    Gate.enqueue(Request, Now);
  }

  void finishOldest() {
    sched::request_id Done = InFlight.front();
    InFlight.pop_front();
    Gate.finished(Done, sched::outcome::Ok, {4'000, 3'000, 200}, Now);
    // One program ends for each call, so that the caches stay as full.
    Gate.programEnded("program-" + std::to_string(Ended++ % 20'000));
  }

  void tick() {
    for (const sched::grant &Grant : Gate.tick(Now).Grants)
      InFlight.push_back(Grant.Request);
  }

  sched::default_gate Gate;
  std::mt19937_64 Random;
  std::vector<sched::group_summary> Groups;
  std::deque<sched::request_id> InFlight;
  time_point Now;
  std::uint64_t Number = 0;
  std::uint64_t Ended = 0;
};

decision_cost measure(int Runners, int Groups, int GroupRunners, int Queued,
                      int Rounds, int Runs) {
  std::vector<double> Micros;
  for (int Run = 0; Run < Runs; ++Run) {
    loaded_gate Loaded(GroupRunners, Groups, Queued);
    auto Start = std::chrono::steady_clock::now();
    for (int I = 0; I < Rounds; ++I)
      Loaded.decide();
    std::chrono::duration<double, std::micro> Took =
        std::chrono::steady_clock::now() - Start;
    Micros.push_back(Took.count() / Rounds);
  }
  spread Spread = spreadOf(Micros);
  return {Runners,       Groups,       GroupRunners, Queued,
          Spread.Median, Spread.Least, Spread.Most};
}

} // namespace

std::vector<decision_cost> measureDecisionCost(int Rounds, int Runs) {
  std::vector<decision_cost> Costs;
  for (int Runners : {10, 15, 300, 450, 2'000, 8'000}) {
    // At today's sizes one model has the whole fleet.
    int OfModel = Runners <= MaxGroupRunners ? Runners : Runners / Models;
    int Groups = (OfModel + MaxGroupRunners - 1) / MaxGroupRunners;
    int GroupRunners = (OfModel + Groups - 1) / Groups;
    for (int Queued : {100, 1'000, 10'000})
      Costs.push_back(
          measure(Runners, Groups, GroupRunners, Queued, Rounds, Runs));
  }
  // One gate for all runners of the model, to show what the subset saves.
  for (int GroupRunners : {64, 256, 2'000})
    Costs.push_back(
        measure(GroupRunners, 1, GroupRunners, 1'000, Rounds / 10, Runs));
  return Costs;
}

} // namespace bench
