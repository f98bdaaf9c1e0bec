// Stateful property-based test of a gate against an oracle that tracks queued
// and running requests.
#include "turmerichead/sched_gate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>

using namespace turmerichead;
using namespace turmerichead::sched;

namespace {

constexpr int RunnerCount = 3;
constexpr int SlotCount = 2;
constexpr int ProgramCount = 30;
constexpr std::uint64_t PoisonFingerprint = 13;
/// Upper bound of the time that any request may be queued while runners work.
constexpr milliseconds StarvationBound{400'000};

/// A granted request.
struct granted_request {
  std::string Program;
  std::string Runner;
  std::uint64_t Fingerprint = 0;
};

/// A queued request.
struct queued_request {
  std::string Program;
  rank Rank = rank::Urgent;
  time_point Since;
  std::uint64_t Sequence = 0;
  std::uint64_t Fingerprint = 0;
};

/// Empty model required by rapidcheck; the checks are in fixture.
struct model {};

/// The gate under test, and an oracle of queued, running and finished requests.
struct fixture {
  fixture() : Gate(*default_gate::create(settings())) {
    for (int I = 0; I < RunnerCount; ++I)
      Gate.upsertRunner(runnerInfo(I, runner_phase::Live));
  }

  static gate_settings settings() {
    gate_settings Settings;
    Settings.BreakerOpenFor = milliseconds(500);
    Settings.OrdinaryFloor = 0.25;
    return Settings;
  }

  static runner_info runnerInfo(int Index, runner_phase Phase) {
    return {.Name = "r" + std::to_string(Index),
            .Slots = SlotCount,
            .Phase = Phase,
            .CacheTokens = 20'000};
  }

  void advanceTime(int Ms) { Now = Now + milliseconds(Ms); }

  void enqueue(int Program, rank Rank, bool Started, std::uint64_t Fingerprint,
               int DeadlineMs) {
    gate_request Request;
    Request.RootProgram = "p" + std::to_string(Program);
    Request.Program = Request.RootProgram;
    Request.Owner = Program % 2 == 0 ? "north" : "south";
    Request.Rank = Rank;
    Request.PromptTokens = 500 + 100 * Program;
    Request.Started = Started;
    Request.Fingerprint = Fingerprint;
    if (DeadlineMs > 0)
      Request.Deadline = Now + milliseconds(DeadlineMs);
    auto Result = Gate.enqueue(Request, Now);
    RC_ASSERT(static_cast<bool>(Result.Id) != Result.Refusal.has_value());
    if (!Result.Id)
      return;
    RC_ASSERT(!Queued.contains(Result.Id) && !InFlight.contains(Result.Id));
    Queued[Result.Id] = {Request.Program, Rank, Now, ++Sequence, Fingerprint};
  }

  void tick() {
    auto Output = Gate.tick(Now);
    for (const refusal &Refusal : Output.Refusals)
      RC_ASSERT(Queued.erase(Refusal.Request) == 1U);
    for (const grant &Grant : Output.Grants)
      takeGrant(Grant);
    for (const auto &[Id, Row] : Queued)
      RC_ASSERT(Now - Row.Since < StarvationBound);
  }

  void takeGrant(const grant &Grant) {
    auto Found = Queued.find(Grant.Request);
    RC_ASSERT(Found != Queued.end());
    const queued_request Row = Found->second;
    Queued.erase(Found);
    RC_ASSERT(!Leaving.contains(Grant.Runner));
    int Busy = 0;
    for (const auto &[Id, Running] : InFlight) {
      RC_ASSERT(Running.Program != Row.Program);
      Busy += Running.Runner == Grant.Runner;
    }
    RC_ASSERT(Busy < SlotCount);
    for (const auto &[Id, Other] : Queued)
      RC_ASSERT(Other.Program != Row.Program || Other.Sequence > Row.Sequence);
    InFlight[Grant.Request] = {Row.Program, Grant.Runner, Row.Fingerprint};
  }

  void finish(int Pick, outcome Outcome) {
    if (InFlight.empty())
      return;
    auto Found =
        std::next(InFlight.begin(), Pick % static_cast<int>(InFlight.size()));
    if (Found->second.Fingerprint == PoisonFingerprint) {
      crash(Found->second.Runner);
      return;
    }
    RC_ASSERT(Gate.finished(Found->first, Outcome, {500, 0, 50}, Now));
    RC_ASSERT(!Gate.finished(Found->first, Outcome, {}, Now));
    InFlight.erase(Found);
  }

  /// A runner crashes on the poison request, and with it all its requests.
  void crash(const std::string &Runner) {
    ++PoisonCrashes;
    RC_ASSERT(PoisonCrashes <= 2);
    for (auto I = InFlight.begin(); I != InFlight.end();) {
      if (I->second.Runner != Runner) {
        ++I;
        continue;
      }
      RC_ASSERT(Gate.finished(I->first, outcome::RunnerCrashed, {}, Now));
      I = InFlight.erase(I);
    }
  }

  void cancel(int Pick) {
    if (Queued.empty())
      return;
    auto Found =
        std::next(Queued.begin(), Pick % static_cast<int>(Queued.size()));
    RC_ASSERT(Gate.cancel(Found->first, Now));
    RC_ASSERT(!Gate.cancel(Found->first, Now));
    Queued.erase(Found);
  }

  void setPhase(int Index, runner_phase Phase) {
    runner_info Info = runnerInfo(Index, Phase);
    Gate.upsertRunner(Info);
    if (Phase == runner_phase::Leaving)
      Leaving.insert(Info.Name);
    else
      Leaving.erase(Info.Name);
  }

  /// Finishes all requests and checks that each gets an answer.
  void drain() {
    for (int I = 0; I < RunnerCount; ++I)
      setPhase(I, runner_phase::Live);
    for (int Round = 0; Round < 2'000; ++Round) {
      if (Queued.empty() && InFlight.empty())
        return;
      while (!InFlight.empty())
        finish(0, outcome::Ok);
      advanceTime(200);
      tick();
    }
    RC_FAIL("a request was never answered");
  }

  default_gate Gate;
  time_point Now{1};
  std::uint64_t Sequence = 0;
  int PoisonCrashes = 0;
  std::map<request_id, queued_request> Queued;
  std::map<request_id, granted_request> InFlight;
  std::set<std::string> Leaving;
};

using command = rc::state::Command<model, fixture>;

struct enqueue_command : command {
  int Program = *rc::gen::inRange(0, ProgramCount);
  bool IsUrgent = *rc::gen::arbitrary<bool>();
  bool Started = *rc::gen::arbitrary<bool>();
  int Kind = *rc::gen::inRange(0, 8);
  int DeadlineMs = *rc::gen::element(0, 0, 0, 800);

  void run(const model &, fixture &Fixture) const override {
    std::uint64_t Fingerprint = Kind == 0 ? PoisonFingerprint : 100 + Program;
    Fixture.enqueue(Program, IsUrgent ? rank::Urgent : rank::Ordinary, Started,
                    Fingerprint, DeadlineMs);
  }
  void show(std::ostream &Out) const override {
    Out << "enqueue(p" << Program << ", " << (IsUrgent ? "urgent" : "ordinary")
        << ", started " << Started << ", kind " << Kind << ", deadline "
        << DeadlineMs << ")";
  }
};

struct tick_command : command {
  int Ms = *rc::gen::inRange(0, 400);

  void run(const model &, fixture &Fixture) const override {
    Fixture.advanceTime(Ms);
    Fixture.tick();
  }
  void show(std::ostream &Out) const override { Out << "tick(" << Ms << ")"; }
};

struct finish_command : command {
  int Pick = *rc::gen::inRange(0, 100);
  outcome Outcome = *rc::gen::element(outcome::Ok, outcome::Ok, outcome::Error,
                                      outcome::Unreachable, outcome::Cancelled);

  void run(const model &, fixture &Fixture) const override {
    Fixture.finish(Pick, Outcome);
  }
  void show(std::ostream &Out) const override {
    Out << "finish(" << Pick << ", " << static_cast<int>(Outcome) << ")";
  }
};

struct cancel_command : command {
  int Pick = *rc::gen::inRange(0, 100);

  void run(const model &, fixture &Fixture) const override {
    Fixture.cancel(Pick);
  }
  void show(std::ostream &Out) const override {
    Out << "cancel(" << Pick << ")";
  }
};

struct phase_command : command {
  int Index = *rc::gen::inRange(0, RunnerCount);
  bool IsLive = *rc::gen::arbitrary<bool>();

  void run(const model &, fixture &Fixture) const override {
    Fixture.setPhase(Index,
                     IsLive ? runner_phase::Live : runner_phase::Leaving);
  }
  void show(std::ostream &Out) const override {
    Out << "phase(r" << Index << ", " << (IsLive ? "live" : "leaving") << ")";
  }
};

struct end_command : command {
  int Program = *rc::gen::inRange(0, ProgramCount);

  void run(const model &, fixture &Fixture) const override {
    Fixture.Gate.programEnded("p" + std::to_string(Program));
  }
  void show(std::ostream &Out) const override {
    Out << "end(p" << Program << ")";
  }
};

struct drain_command : command {
  void run(const model &, fixture &Fixture) const override { Fixture.drain(); }
  void show(std::ostream &Out) const override { Out << "drain()"; }
};

} // namespace

TEST_CASE("fuzz: a gate keeps its invariants") {
  bool Passed = rc::check("gate against an oracle", [] {
    model Model;
    fixture Fixture;
    rc::state::check(
        Model, Fixture,
        rc::state::gen::execOneOfWithArgs<
            enqueue_command, enqueue_command, enqueue_command, tick_command,
            tick_command, finish_command, finish_command, cancel_command,
            phase_command, end_command, drain_command>());
    Fixture.drain();
  });
  CHECK(Passed);
}

TEST_CASE("fuzz: the floor holds for any sizes of requests") {
  bool Passed = rc::check("floor", [] {
    double Floor = *rc::gen::element(0.15, 0.25, 0.4);
    gate_settings Settings;
    Settings.OrdinaryFloor = Floor;
    Settings.RefuseOverload = false;
    auto Gate = *default_gate::create(Settings);
    for (int I = 0; I < RunnerCount; ++I)
      Gate.upsertRunner({.Name = "r" + std::to_string(I), .Slots = SlotCount});
    const std::size_t Count = 150;
    auto Sizes = *rc::gen::container<std::vector<int>>(
        2 * Count, rc::gen::inRange(100, 4'000));
    time_point Now{0};
    for (std::size_t I = 0; I < 2 * Count; ++I) {
      gate_request Request;
      Request.Program = std::to_string(I);
      Request.RootProgram = Request.Program;
      Request.Rank = I % 2 == 0 ? rank::Urgent : rank::Ordinary;
      Request.PromptTokens = Sizes[I];
      Gate.enqueue(Request, Now);
    }
    // Stop while both ranks still have queued requests: only then is the share
    // guaranteed.
    while (Gate.snapshot(Now).Queued[0] > 0 &&
           Gate.snapshot(Now).Queued[1] > 0) {
      Now = Now + milliseconds(100);
      std::vector<request_id> Granted;
      for (const grant &Grant : Gate.tick(Now).Grants)
        Granted.push_back(Grant.Request);
      for (request_id Id : Granted)
        Gate.finished(Id, outcome::Cancelled, {}, Now);
    }
    RC_ASSERT(Gate.snapshot(Now).OrdinaryShareUnderPressure > Floor - 0.04);
    RC_ASSERT(Gate.snapshot(Now).OrdinaryShareUnderPressure < Floor + 0.06);
  });
  CHECK(Passed);
}
