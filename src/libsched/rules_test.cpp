#include "turmerichead/sched_admission.h"
#include "turmerichead/sched_gate.h"

#include <doctest/doctest.h>

#include <set>

using namespace turmerichead;
using namespace turmerichead::sched;

namespace {

constexpr milliseconds Second(1'000);

std::int64_t arrivalOf(const gate_request &Request, time_point Now) {
  order_settings Settings;
  Settings.DelayPerKiloToken = milliseconds(50);
  return attained_order::virtualArrivalMs(Settings, Request, {Now});
}

runner_view freeRunner(int InFlight = 0, token_count Cached = 0) {
  runner_view View;
  View.Slots = 16;
  View.InFlight = InFlight;
  View.Eligible = true;
  View.Available = InFlight < 16;
  View.Cached = Cached;
  return View;
}

} // namespace

TEST_CASE(
    "order: started programs, little attained service and sub-agents first") {
  gate_request Request;
  Request.Started = true;
  time_point Now{100'000};
  std::int64_t Base = arrivalOf(Request, Now);

  gate_request New = Request;
  New.Started = false;
  CHECK(arrivalOf(New, Now) > Base);

  gate_request Long = Request;
  Long.AttainedService = 50'000;
  CHECK(arrivalOf(Long, Now) > Base);

  gate_request Child = Request;
  Child.ParentWaiting = true;
  CHECK(arrivalOf(Child, Now) < Base);
}

TEST_CASE("order: the time in which a request can be overtaken is bounded") {
  gate_request Worst;
  Worst.AttainedService = 1'000'000'000;
  order_context Old{{0}, milliseconds(10'000'000)};
  gate_request Best;
  Best.Started = true;
  Best.ParentWaiting = true;
  order_settings Settings;
  Settings.DelayPerKiloToken = milliseconds(50);
  Settings.AgeWeight = 0.5;
  std::int64_t Latest = attained_order::virtualArrivalMs(Settings, Worst, Old);
  milliseconds Bound = Settings.MaxAttainedDelay + Settings.NewProgramDelay +
                       Settings.MaxOwnerDelay + Settings.ChildBonus +
                       Settings.MaxAgeBonus;
  order_context Late{time_point{0} + Bound + milliseconds(1)};
  CHECK(attained_order::virtualArrivalMs(Settings, Best, Late) > Latest);
}

TEST_CASE("placement: affinity compares waiting, copying and recomputing") {
  affinity_placement Placement;
  placement_settings Settings;
  Settings.MoveCache = false;
  Settings.LeaveFactor = 1;
  Settings.MaxAffinityWait = 10 * Second;
  placement_query Query{20'000, {0}, {0}};
  std::vector<runner_view> Runners{freeRunner(8, 19'000), freeRunner(0)};

  SUBCASE("the runner that holds the cache is available") {
    CHECK(Placement.choose(Settings, Query, Runners)->Runner == 0);
  }
  SUBCASE("a short wait is cheaper than two seconds of prefill") {
    Runners[0].Available = false;
    Runners[0].WaitMs = 300;
    auto Choice = Placement.choose(Settings, Query, Runners);
    CHECK(Choice->Wait);
    CHECK(Choice->Runner == 0);
  }
  SUBCASE("a long wait is more expensive than the prefill") {
    Runners[0].Available = false;
    Runners[0].WaitMs = 5'000;
    CHECK(Placement.choose(Settings, Query, Runners)->Runner == 1);
  }
  SUBCASE("no request waits longer than MaxAffinityWait") {
    Runners[0].Available = false;
    Runners[0].WaitMs = 300;
    Query.Now = time_point{0} + Settings.MaxAffinityWait;
    CHECK(Placement.choose(Settings, Query, Runners)->Runner == 1);
  }
  SUBCASE("a leaving runner's cache is copied") {
    Settings.MoveCache = true;
    Runners[0].Available = false;
    Runners[0].Eligible = false;
    auto Choice = Placement.choose(Settings, Query, Runners);
    CHECK(Choice->Runner == 1);
    CHECK(Choice->MoveFrom == std::optional<std::size_t>(0));
  }
}

TEST_CASE(
    "placement: a program stays with its group until the group is overloaded") {
  std::vector<group_summary> Groups{
      {7, 100, 90, 0}, {8, 100, 10, 0}, {9, 100, 20, 0}};
  for (std::uint64_t Draw = 0; Draw < 9; ++Draw)
    CHECK(chooseGroup(Groups, 7, 1.2, Draw) == std::optional<std::size_t>(0));
  Groups[0].Queued = 100;
  CHECK(chooseGroup(Groups, 7, 1.2, 1) != std::optional<std::size_t>(0));
  Groups[0].Usable = false;
  CHECK(chooseGroup(Groups, 7, 1.2, 0) != std::optional<std::size_t>(0));
  CHECK_FALSE(chooseGroup({}, std::nullopt, 1.2, 0).has_value());
}

TEST_CASE(
    "placement: hosts with the same old summaries choose different groups") {
  std::vector<group_summary> Groups{
      {0, 100, 50, 0}, {1, 100, 51, 0}, {2, 100, 52, 0}, {3, 100, 53, 0}};
  std::set<std::size_t> Chosen;
  for (std::uint64_t Draw = 0; Draw < 64; ++Draw)
    Chosen.insert(*chooseGroup(Groups, std::nullopt, 1.2, Draw * 0x100000001));
  CHECK(Chosen.size() >= 3);
}

TEST_CASE("admission: each limit has its own refusal reason") {
  entry_limits Limits{.Turns = 3,
                      .Tokens = 1'000,
                      .ToolCalls = 2,
                      .Programs = 1,
                      .Concurrency = 2,
                      .WallTime = 60 * Second};
  time_point Now{10'000};
  program_usage Usage{.Turns = 2, .Tokens = 500, .ToolCalls = 1, .Start = {0}};
  call_estimate Model{false, 500};
  call_estimate Tool{true, 0};
  auto ReasonOf = [&](const program_usage &Used, const call_estimate &Call) {
    return checkCall(Limits, Used, Call, Now)->Reason;
  };
  CHECK_FALSE(checkCall(Limits, Usage, Model, Now).has_value());
  CHECK_FALSE(checkCall(Limits, Usage, Tool, Now).has_value());
  CHECK(ReasonOf(Usage, {false, 501}) == refusal_reason::TokenLimit);
  Usage.InFlight = 2;
  CHECK(ReasonOf(Usage, Model) == refusal_reason::ConcurrencyLimit);
  CHECK(checkCall(Limits, Usage, Model, Now)->RetryAfter.count() > 0);
  Usage.Turns = 3;
  Usage.ToolCalls = 2;
  CHECK(ReasonOf(Usage, Model) == refusal_reason::TurnLimit);
  CHECK(ReasonOf(Usage, Tool) == refusal_reason::CallLimit);
  Now = time_point{60'000};
  CHECK(ReasonOf(Usage, Model) == refusal_reason::WallTimeLimit);
}

TEST_CASE("admission: limit of an entry's programs and share of an owner") {
  admission Admission;
  Admission.setEntry("yard", {.Programs = 2});
  CHECK_FALSE(Admission.admitProgram("yard", "north", "a").has_value());
  CHECK_FALSE(Admission.admitProgram("yard", "north", "b").has_value());
  CHECK(Admission.admitProgram("yard", "north", "c")->Reason ==
        refusal_reason::ConcurrencyLimit);
  Admission.endProgram("yard", "north");
  CHECK_FALSE(Admission.admitProgram("yard", "north", "c").has_value());

  Admission.setProgramCapacity(10);
  Admission.setOwnerShare("north", 0.5);
  for (int I = 0; I < 6; ++I)
    CHECK_FALSE(Admission.admitProgram("week", "north", "w").has_value());
  CHECK(Admission.admitProgram("week", "north", "w")->Reason ==
        refusal_reason::OwnerShare);
  CHECK_FALSE(Admission.admitProgram("week", "south", "w").has_value());
}

TEST_CASE("admission: first attempts earn retries, for repeatable calls only") {
  admission Admission;
  Admission.setEntry("yard", {.RetryPercent = 10});
  int Taken = 0;
  while (Admission.takeRetry("yard", true))
    ++Taken;
  CHECK(Taken == 5);
  for (int I = 0; I < 11; ++I)
    Admission.countAttempt("yard");
  CHECK_FALSE(Admission.takeRetry("yard", false));
  CHECK(Admission.takeRetry("yard", true));
  CHECK_FALSE(Admission.takeRetry("yard", true));
}

TEST_CASE(
    "admission: a deadline shrinks by the reserve and never lies in the past") {
  auto Left = shrinkDeadline({1'000}, {0}, milliseconds(200));
  CHECK(Left->Ms == 800);
  CHECK_FALSE(shrinkDeadline({1'000}, {800}, milliseconds(200)).has_value());
}

TEST_CASE("breaker: opens after errors in a row and closes after one probe") {
  circuit_breaker Breaker(3, 10 * Second);
  time_point Now{0};
  Breaker.failed(Now);
  Breaker.failed(Now);
  Breaker.succeeded();
  Breaker.failed(Now);
  Breaker.failed(Now);
  CHECK(Breaker.allows(Now));
  Breaker.failed(Now);
  CHECK_FALSE(Breaker.allows(Now));
  Breaker.succeeded(); // A call sent before the breaker opened.
  Now = time_point{10'000};
  CHECK(Breaker.allows(Now));
  Breaker.started(Now);
  CHECK_FALSE(Breaker.allows(Now));
  Breaker.failed(Now);
  CHECK_FALSE(Breaker.allows(Now));
  Now = time_point{20'000};
  Breaker.started(Now);
  Breaker.succeeded();
  CHECK(Breaker.allows(Now));
}

TEST_CASE("poison: a crash counts once, expires, and is cleared by a success") {
  poison_table Table;
  Table.recordCrash(1, 100, {0});
  Table.recordCrash(1, 100, {5});
  CHECK(Table.stateOf(1, {10}) == poison_state::Suspect);
  Table.recordCrash(1, 101, {10});
  CHECK(Table.stateOf(1, {10}) == poison_state::Quarantined);
  CHECK(Table.stateOf(1, {4'000'000}) == poison_state::Clean);
  Table.recordCrash(2, 100, {10});
  Table.recordSuccess(2, {20});
  CHECK(Table.stateOf(2, {20}) == poison_state::Clean);
}

TEST_CASE("poison: hosts converge when they exchange their entries") {
  poison_table Left;
  poison_table Right;
  Left.recordCrash(1, 100, {1'000});
  Right.recordCrash(1, 101, {502'000}); // This clock is 500 s ahead.
  Right.recordCrash(2, 102, {502'000});
  Left.merge(Right.entries({510'000}), {10'000});
  CHECK(Left.stateOf(2, {10'000}) == poison_state::Suspect);
  Left.recordSuccess(2, {10'000});
  auto FromLeft = Left.entries({10'000});
  auto FromRight = Right.entries({510'000});
  for (int Again = 0; Again < 2; ++Again) {
    Left.merge(FromRight, {10'000});
    Right.merge(FromLeft, {510'000});
  }
  CHECK(Left.stateOf(1, {10'000}) == poison_state::Quarantined);
  CHECK(Right.stateOf(1, {510'000}) == poison_state::Quarantined);
  CHECK(Left.stateOf(2, {10'000}) == poison_state::Clean);
  CHECK(Right.stateOf(2, {510'000}) == poison_state::Clean);
}

TEST_CASE("retry delays have jitter") {
  std::set<std::int64_t> Times;
  for (int I = 0; I < 50; ++I) {
    auto Retry = jitterRetry(Second, "program-" + std::to_string(I));
    CHECK(Retry >= Second);
    CHECK(Retry < 2 * Second);
    Times.insert(Retry.count());
  }
  CHECK(Times.size() > 40);
}
