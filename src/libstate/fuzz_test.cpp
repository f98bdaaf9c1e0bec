#include "fuzz_simulation_test.h"

#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <cstdlib>

using namespace turmerichead;

namespace {

// Sets the default number of sequences, because RapidCheck's 100 are too few.
// RC_PARAMS can override it.
struct sequence_count {
  sequence_count() {
    const char *Given = std::getenv("RC_PARAMS");
    std::string Params = Given ? Given : "";
    if (Params.find("max_success") == std::string::npos)
      Params += " max_success=2000";
    setenv("RC_PARAMS", Params.c_str(), 1);
  }
};
const sequence_count SequenceCount;

// The model is empty: the oracle is part of the simulation and observes only
// what the simulated callers and upstreams observe.
struct no_model {};

struct step : rc::state::Command<no_model, fuzz::cluster_simulation> {
  int Kind = *rc::gen::weightedElement<int>({{100, 0},
                                             {20, 1},
                                             {300, 2},
                                             {10, 3},
                                             {10, 4},
                                             {6, 5},
                                             {100, 6},
                                             {10, 7},
                                             {10, 8},
                                             {6, 9},
                                             {6, 10},
                                             {8, 11},
                                             {3, 12},
                                             {8, 13},
                                             {8, 14},
                                             {5, 15}});
  int A = *rc::gen::inRange(0, 1000);
  int B = *rc::gen::inRange(0, 1000);

  void run(const no_model &,
           fuzz::cluster_simulation &Simulation) const override {
    using fuzz::delivery_outcome;
    switch (Kind) {
    case 0:
      Simulation.call(A, B);
      break;
    case 1:
      Simulation.repeat(A, B);
      break;
    case 2:
      for (int I = 0; I <= B % 12; ++I)
        Simulation.deliver(I == 0 ? A : 0, delivery_outcome::Delivered);
      break;
    case 3:
      Simulation.deliver(A, delivery_outcome::RequestLost);
      break;
    case 4:
      Simulation.deliver(A, delivery_outcome::ReplyLost);
      break;
    case 5:
      Simulation.deliver(A, delivery_outcome::DelayedPastTimeout);
      break;
    case 6:
      Simulation.advance(A % 5 == 0 ? 400 : 30);
      break;
    case 7:
      Simulation.kill(A);
      break;
    case 8:
      Simulation.freeze(A);
      break;
    case 9:
      Simulation.isolateFromPlatform(A);
      break;
    case 10:
      Simulation.platformDown(A % 3 == 0);
      break;
    case 11:
      Simulation.replace(A, B);
      break;
    case 12:
      Simulation.handOver(A, B);
      break;
    case 13:
      Simulation.snapshot(A);
      break;
    case 14:
      Simulation.callerLeaves(A);
      break;
    default:
      Simulation.reassignStandbys();
      break;
    }
    for (const std::string &Text : Simulation.violations())
      RC_FAIL(Text);
  }

  void show(std::ostream &Out) const override {
    static const char *Names[] = {
        "call",      "repeat",   "deliver", "lose",    "lose answer", "late",
        "advance",   "kill",     "freeze",  "cut",     "platform",    "replace",
        "hand over", "snapshot", "leave",   "standbys"};
    Out << Names[Kind] << "(" << A << ", " << B << ")";
  }
};

} // namespace

TEST_CASE("the invariants hold under any mix of failures") {
  int Answers = 0;
  bool Held = rc::check("journal, book, snapshots and takeover", [&] {
    fuzz::cluster_simulation Simulation;
    // Long sequences are needed, because a single call takes a dozen messages.
    auto Commands = rc::state::gen::commands(
        no_model(), rc::state::gen::execOneOfWithArgs<step>());
    auto Steps = *rc::gen::scale(8, std::move(Commands));
    rc::state::runAll(Steps, no_model(), Simulation);
    Simulation.settle();
    for (const std::string &Text : Simulation.violations())
      RC_FAIL(Text);
    Answers += Simulation.answersReceived();
  });
  CHECK(Held);
  MESSAGE("answers received: " << Answers);
}
