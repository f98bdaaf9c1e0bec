#include "turmerichead/sched_gate.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace turmerichead;
using namespace turmerichead::sched;

namespace {

gate_request requestOf(const std::string &Program, rank Rank,
                       bool Started = true) {
  gate_request Request;
  Request.RootProgram = Program;
  Request.Program = Program;
  Request.Owner = "north";
  Request.Entry = "yard";
  Request.Rank = Rank;
  Request.PromptTokens = 1'000;
  Request.MaxOutputTokens = 200;
  Request.Started = Started;
  return Request;
}

default_gate gateWith(int Runners, int Slots, gate_settings Settings = {}) {
  auto Gate = default_gate::create(Settings);
  for (int I = 0; I < Runners; ++I)
    Gate->upsertRunner({.Name = "r" + std::to_string(I), .Slots = Slots});
  return std::move(*Gate);
}

request_id put(default_gate &Gate, const gate_request &Request,
               time_point Now) {
  auto Result = Gate.enqueue(Request, Now);
  REQUIRE_FALSE(Result.Refusal.has_value());
  return Result.Id;
}

std::vector<grant> grantsOf(default_gate &Gate, time_point Now) {
  auto Output = Gate.tick(Now);
  return {Output.Grants.begin(), Output.Grants.end()};
}

std::vector<release_command> releasesOf(default_gate &Gate, time_point Now) {
  auto Output = Gate.tick(Now);
  return {Output.Releases.begin(), Output.Releases.end()};
}

usage used(token_count Prompt, token_count Cached = 0) {
  return {Prompt, Cached, 200};
}

} // namespace

TEST_CASE("gate: settings out of range are rejected") {
  gate_settings Settings;
  Settings.OrdinaryFloor = 1.5;
  CHECK_FALSE(default_gate::create(Settings).has_value());
  CHECK(lastError().Code == error_code::InvalidInput);
}

TEST_CASE("gate: an urgent call overtakes a backlog of ordinary calls") {
  auto Gate = gateWith(1, 1);
  put(Gate, requestOf("first", rank::Ordinary), {0});
  CHECK(grantsOf(Gate, {0}).size() == 1);
  auto First = request_id{0, 1};
  for (int I = 0; I < 50; ++I)
    put(Gate, requestOf("bulk-" + std::to_string(I), rank::Ordinary), {1});
  auto Urgent = put(Gate, requestOf("yard", rank::Urgent), {2});
  CHECK(grantsOf(Gate, {3}).empty());
  Gate.finished(First, outcome::Ok, used(1'000), {100});
  auto Grants = grantsOf(Gate, {100});
  REQUIRE(Grants.size() == 1);
  CHECK(Grants[0].Request == Urgent);
}

TEST_CASE("gate: grants never exceed the slots and avoid leaving runners") {
  auto Gate = gateWith(2, 4);
  for (int I = 0; I < 20; ++I)
    put(Gate, requestOf("p" + std::to_string(I), rank::Urgent), {0});
  CHECK(grantsOf(Gate, {0}).size() == 8);
  CHECK(grantsOf(Gate, {1}).empty());
  Gate.upsertRunner({.Name = "r0", .Slots = 4, .Phase = runner_phase::Leaving});
  for (std::uint32_t I = 0; I < 8; ++I)
    Gate.finished({I, 1}, outcome::Ok, used(1'000), {50});
  auto Grants = grantsOf(Gate, {50});
  CHECK(Grants.size() == 4);
  for (const grant &Grant : Grants)
    CHECK(Grant.Runner == "r1");
}

TEST_CASE(
    "gate: ordinary work keeps its floor under an overload of urgent work") {
  gate_settings Settings;
  Settings.OrdinaryFloor = 0.25;
  auto Gate = gateWith(1, 4, Settings);
  for (int I = 0; I < 400; ++I) {
    put(Gate, requestOf("u" + std::to_string(I), rank::Urgent), {0});
    put(Gate, requestOf("o" + std::to_string(I), rank::Ordinary), {0});
  }
  time_point Now{0};
  for (int Round = 0; Round < 60; ++Round) {
    Now = Now + milliseconds(100);
    for (const grant &Grant : grantsOf(Gate, Now))
      Gate.finished(Grant.Request, outcome::Ok, used(1'000), Now);
  }
  auto Figures = Gate.snapshot(Now);
  auto Urgent = static_cast<double>(Figures.Granted[0]);
  auto Ordinary = static_cast<double>(Figures.Granted[1]);
  CHECK(Ordinary / (Ordinary + Urgent) >= 0.25);
  CHECK(Ordinary / (Ordinary + Urgent) < 0.28);
}

TEST_CASE("gate: the calls of a program are granted in order") {
  auto Gate = gateWith(2, 4);
  auto First = put(Gate, requestOf("p", rank::Urgent), {0});
  put(Gate, requestOf("p", rank::Urgent), {0});
  auto Grants = grantsOf(Gate, {0});
  REQUIRE(Grants.size() == 1);
  CHECK(Grants[0].Request == First);
  Gate.finished(First, outcome::Ok, used(1'000), {10});
  CHECK(grantsOf(Gate, {10}).size() == 1);
}

TEST_CASE("gate: the next call is granted the runner that holds the cache") {
  auto Gate = gateWith(4, 4);
  auto Id = put(Gate, requestOf("p", rank::Urgent), {0});
  std::string Runner = grantsOf(Gate, {0})[0].Runner;
  Gate.finished(Id, outcome::Ok, used(1'000), {10});
  auto Next = requestOf("p", rank::Urgent);
  Next.PromptTokens = 2'000;
  put(Gate, Next, {20});
  CHECK(grantsOf(Gate, {20})[0].Runner == Runner);
}

TEST_CASE(
    "gate: a leaving runner's cache is moved, and released once at its end") {
  auto Gate = gateWith(2, 4);
  auto Id = put(Gate, requestOf("p", rank::Urgent), {0});
  std::string Runner = grantsOf(Gate, {0})[0].Runner;
  Gate.finished(Id, outcome::Ok, used(10'000), {10});
  Gate.upsertRunner(
      {.Name = Runner, .Slots = 4, .Phase = runner_phase::Leaving});
  auto Next = requestOf("p", rank::Urgent);
  Next.PromptTokens = 11'000;
  auto Second = put(Gate, Next, {20});
  auto Grants = grantsOf(Gate, {20});
  REQUIRE(Grants.size() == 1);
  CHECK(Grants[0].Runner != Runner);
  CHECK(Grants[0].MoveCacheFrom == Runner);
  CHECK(Grants[0].MoveTokens == 10'200);
  Gate.finished(Second, outcome::Ok, used(11'000, 10'200), {30});
  // The move has released the copy at the source, so only the copy at the
  // target remains to be released.
  CHECK(releasesOf(Gate, {31}).empty());
  Gate.programEnded("p");
  auto Releases = releasesOf(Gate, {32});
  REQUIRE(Releases.size() == 1);
  CHECK(Releases[0].Runner == Grants[0].Runner);
}

TEST_CASE("gate: a prefix computed again elsewhere releases the old copy") {
  gate_settings Settings;
  Settings.Placement.MoveCache = false;
  auto Gate = gateWith(2, 4, Settings);
  auto Id = put(Gate, requestOf("p", rank::Urgent), {0});
  std::string Runner = grantsOf(Gate, {0})[0].Runner;
  Gate.finished(Id, outcome::Ok, used(10'000), {10});
  Gate.upsertRunner(
      {.Name = Runner, .Slots = 4, .Phase = runner_phase::Leaving});
  auto Second = put(Gate, requestOf("p", rank::Urgent), {20});
  CHECK(grantsOf(Gate, {20}).size() == 1);
  Gate.finished(Second, outcome::Ok, used(11'000), {30});
  auto Releases = releasesOf(Gate, {31});
  REQUIRE(Releases.size() == 1);
  CHECK(Releases[0].Runner == Runner);
}

TEST_CASE(
    "gate: a paused program's cache moves from a full runner to an empty one") {
  auto Gate = *default_gate::create({});
  Gate.upsertRunner({.Name = "full", .Slots = 4, .CacheTokens = 10'000});
  for (int I = 0; I < 2; ++I) {
    std::string Program = "p" + std::to_string(I);
    auto Id = put(Gate, requestOf(Program, rank::Urgent), {0});
    grantsOf(Gate, {0});
    Gate.finished(Id, outcome::Ok, used(4'500), {10});
    Gate.programPaused(Program, milliseconds(1'000 * (I + 1)), {10});
  }
  Gate.upsertRunner({.Name = "empty", .Slots = 4, .CacheTokens = 10'000});
  auto Next = requestOf("p2", rank::Urgent);
  Next.AvoidRunner = "empty";
  put(Gate, Next, {20});
  auto Output = Gate.tick({20});
  REQUIRE(Output.Moves.size() == 1);
  CHECK(Output.Moves[0].Program == "p1");
  CHECK(Output.Moves[0].From == "full");
  CHECK(Output.Moves[0].To == "empty");
}

TEST_CASE(
    "gate: while the caches are full, only the floor's new programs start") {
  gate_settings Settings;
  Settings.PauseAware = false;
  auto Gate = *default_gate::create(Settings);
  Gate.upsertRunner({.Name = "r", .Slots = 8, .CacheTokens = 10'000});
  for (int I = 0; I < 2; ++I) {
    auto Id = put(Gate, requestOf("p" + std::to_string(I), rank::Urgent), {0});
    grantsOf(Gate, {0});
    Gate.finished(Id, outcome::Ok, used(4'400), {10});
  }
  put(Gate, requestOf("new", rank::Urgent, false), {20});
  CHECK(grantsOf(Gate, {20}).empty());
  put(Gate, requestOf("replan", rank::Ordinary, false), {21});
  CHECK(grantsOf(Gate, {21}).size() == 1);
  put(Gate, requestOf("p0", rank::Urgent, true), {22});
  CHECK(grantsOf(Gate, {22}).size() == 1);
  // After MaxCacheWait a new program starts at any cache fill, so that it does
  // not starve.
  CHECK(grantsOf(Gate, {400'000}).size() == 1);
}

TEST_CASE("gate: caches of an ended program and its sub-agents are released") {
  auto Gate = gateWith(1, 4);
  for (const char *Program : {"w", "w/track", "w2"}) {
    auto Id = put(Gate, requestOf(Program, rank::Urgent), {0});
    grantsOf(Gate, {0});
    Gate.finished(Id, outcome::Ok, used(1'000), {10});
  }
  Gate.programEnded("w");
  auto Releases = releasesOf(Gate, {11});
  CHECK(Releases.size() == 2);
  CHECK(releasesOf(Gate, {12}).empty());

  std::vector<std::string> Listed{"w2", "forgotten"};
  Gate.sweep("r0", Listed, [](std::string_view Name) { return Name == "w2"; },
             {13});
  Releases = releasesOf(Gate, {13});
  REQUIRE(Releases.size() == 1);
  CHECK(Releases[0].Program == "forgotten");
}

TEST_CASE("gate: a full cache releases the program with the longest pause") {
  auto Gate = default_gate::create({});
  Gate->upsertRunner({.Name = "r", .Slots = 4, .CacheTokens = 10'000});
  const milliseconds Pauses[] = {milliseconds(1'000), milliseconds(900'000),
                                 milliseconds(5'000)};
  for (int I = 0; I < 3; ++I) {
    std::string Program = "p" + std::to_string(I);
    auto Id = put(*Gate, requestOf(Program, rank::Urgent), {0});
    grantsOf(*Gate, {0});
    Gate->finished(Id, outcome::Ok, used(3'200), {10});
    Gate->programPaused(Program, Pauses[I], {10});
  }
  auto Releases = releasesOf(*Gate, {11});
  REQUIRE(Releases.size() == 1);
  CHECK(Releases[0].Program == "p1");
}

TEST_CASE("gate: overload refuses new programs but not started ones") {
  auto Gate = gateWith(1, 4);
  time_point Now{0};
  std::vector<milliseconds> Retries;
  for (int I = 0; I < 400; ++I) {
    Now = Now + milliseconds(10);
    auto Request = requestOf("n" + std::to_string(I), rank::Urgent, false);
    auto Result = Gate.enqueue(Request, Now);
    if (Result.Refusal) {
      CHECK(Result.Refusal->Reason == refusal_reason::Overload);
      Retries.push_back(Result.Refusal->RetryAfter);
    }
    Gate.tick(Now);
  }
  CHECK(Retries.size() > 300);
  CHECK(std::ranges::min(Retries).count() >= 2'000);
  CHECK_FALSE(
      Gate.enqueue(requestOf("old", rank::Urgent), Now).Refusal.has_value());
}

TEST_CASE("gate: a queued request is refused when its deadline passes") {
  auto Gate = gateWith(1, 1);
  put(Gate, requestOf("a", rank::Urgent), {0});
  auto Late = requestOf("b", rank::Urgent);
  Late.Deadline = time_point{500};
  auto Id = put(Gate, Late, {0});
  Gate.tick({0});
  auto Output = Gate.tick({500});
  REQUIRE(Output.Refusals.size() == 1);
  CHECK(Output.Refusals[0].Request == Id);
  CHECK(Output.Refusals[0].Reason == refusal_reason::DeadlinePassed);
  CHECK_FALSE(Gate.cancel(Id, {501}));
}

TEST_CASE("gate: without runners a request is refused at once") {
  auto Gate = gateWith(0, 0);
  auto Result = Gate.enqueue(requestOf("a", rank::Urgent), {0});
  REQUIRE(Result.Refusal.has_value());
  CHECK(Result.Refusal->Reason == refusal_reason::NoRunner);
  CHECK(Result.Refusal->RetryAfter.count() > 0);
}

TEST_CASE("gate: a runner that returns errors is granted no work for a while") {
  auto Gate = gateWith(2, 4);
  time_point Now{0};
  int Errors = 0;
  while (Errors < 5) {
    Now = Now + milliseconds(10);
    put(Gate, requestOf("p" + std::to_string(Now.Ms), rank::Urgent), Now);
    for (const grant &Grant : grantsOf(Gate, Now)) {
      bool Bad = Grant.Runner == "r0";
      Errors += Bad;
      Gate.finished(Grant.Request, Bad ? outcome::Error : outcome::Ok,
                    used(1'000), Now);
    }
  }
  CHECK(Gate.snapshot(Now).OpenBreakers == 1);
  for (int I = 0; I < 8; ++I)
    put(Gate, requestOf("q" + std::to_string(I), rank::Urgent), Now);
  for (const grant &Grant : grantsOf(Gate, Now))
    CHECK(Grant.Runner == "r1");
}

// Guards against a fault in scenario two_hosts_killed: a gate that has just
// moved to another host does not know which runner dropped the call, and could
// grant its retries to the same runner.
TEST_CASE("gate: a retry is not granted a runner that refused the connection") {
  auto Gate = gateWith(2, 4);
  time_point Now{0};
  put(Gate, requestOf("p", rank::Urgent), Now);
  auto First = grantsOf(Gate, Now);
  REQUIRE(First.size() == 1);
  Gate.finished(First[0].Request, outcome::Unreachable, {}, Now);
  CHECK(Gate.snapshot(Now).OpenBreakers == 1);
  put(Gate, requestOf("p", rank::Urgent), Now);
  auto Second = grantsOf(Gate, Now);
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Runner != First[0].Runner);
}

TEST_CASE("gate: a poison request crashes at most two runners") {
  gate_settings Settings;
  Settings.BreakerOpenFor = milliseconds(1'000);
  auto Gate = gateWith(6, 4, Settings);
  std::size_t Crashes = 0;
  int Refused = 0;
  time_point Now{0};
  for (int Round = 0; Round < 10; ++Round) {
    Now = Now + milliseconds(5'000);
    for (int Copy = 0; Copy < 3; ++Copy) {
      auto Request = requestOf(
          "p" + std::to_string(Round) + std::to_string(Copy), rank::Urgent);
      Request.Fingerprint = 77;
      auto Result = Gate.enqueue(Request, Now);
      Refused += Result.Refusal.has_value();
    }
    // Every runner that is granted a copy crashes, with all copies on it.
    while (true) {
      auto Output = Gate.tick(Now);
      Refused += static_cast<int>(Output.Refusals.size());
      std::vector<grant> Grants(Output.Grants.begin(), Output.Grants.end());
      if (Grants.empty())
        break;
      std::set<std::string> Crashed;
      for (const grant &Grant : Grants) {
        Crashed.insert(Grant.Runner);
        Gate.finished(Grant.Request, outcome::RunnerCrashed, {}, Now);
      }
      Crashes += Crashed.size();
    }
  }
  CHECK(Crashes == 2);
  CHECK(Refused > 20);
}

TEST_CASE("gate: requests beside a poison request are not quarantined") {
  gate_settings Settings;
  Settings.BreakerOpenFor = milliseconds(1'000);
  auto Gate = gateWith(4, 8, Settings);
  time_point Now{0};
  int PoisonRuns = 0;
  int Answered = 0;
  // Eight requests start together on one runner; the first is the poison
  // request.
  Gate.upsertRunner({.Name = "r1", .Slots = 0});
  Gate.upsertRunner({.Name = "r2", .Slots = 0});
  Gate.upsertRunner({.Name = "r3", .Slots = 0});
  auto Send = [&](std::uint64_t Fingerprint) {
    auto Request = requestOf("p" + std::to_string(Fingerprint), rank::Urgent);
    Request.Fingerprint = Fingerprint;
    return Gate.enqueue(Request, Now);
  };
  for (std::uint64_t F = 1; F <= 8; ++F)
    Send(F);
  for (const grant &Grant : grantsOf(Gate, Now))
    Gate.finished(Grant.Request, outcome::RunnerCrashed, {}, Now);
  for (const char *Name : {"r1", "r2", "r3"})
    Gate.upsertRunner({.Name = Name, .Slots = 8});
  Now = Now + milliseconds(10);
  std::vector<std::pair<request_id, std::uint64_t>> Sent;
  for (std::uint64_t F = 1; F <= 8; ++F)
    Sent.emplace_back(Send(F).Id, F);
  for (int Round = 0; Round < 20; ++Round) {
    Now = Now + milliseconds(2'000);
    for (const grant &Grant : grantsOf(Gate, Now)) {
      auto Found = std::ranges::find(Sent, Grant.Request,
                                     &decltype(Sent)::value_type::first);
      bool IsPoison = Found->second == 1;
      PoisonRuns += IsPoison;
      Answered += !IsPoison;
      Gate.finished(Grant.Request,
                    IsPoison ? outcome::RunnerCrashed : outcome::Ok,
                    used(1'000), Now);
    }
  }
  CHECK(PoisonRuns == 1);
  CHECK(Answered == 7);
  CHECK(Send(1).Refusal->Reason == refusal_reason::PoisonRequest);
}

TEST_CASE("gate: an owner's backlog does not delay another owner") {
  auto Gate = gateWith(1, 1);
  auto Running = put(Gate, requestOf("x", rank::Ordinary), {0});
  grantsOf(Gate, {0});
  for (int I = 0; I < 200; ++I)
    put(Gate, requestOf("flood" + std::to_string(I), rank::Ordinary), {1});
  auto Small = requestOf("small", rank::Ordinary);
  Small.Owner = "south";
  auto SmallId = put(Gate, Small, {2});
  int Before = 0;
  for (time_point Now{10}; Running != SmallId; Now = Now + milliseconds(250)) {
    Gate.finished(Running, outcome::Ok, used(1'000), Now);
    auto Grants = grantsOf(Gate, Now);
    REQUIRE(Grants.size() == 1);
    Running = Grants[0].Request;
    ++Before;
  }
  CHECK(Before <= 3);
}

TEST_CASE("gate: a change of settings keeps the queue") {
  gate_settings Settings;
  auto Gate = default_gate::create(Settings);
  gate_request Request;
  Request.RootProgram = "a";
  Request.Program = "a";
  // A gate without runners refuses requests. One busy runner makes the second
  // request stay queued.
  Gate->upsertRunner({.Name = "r1", .Slots = 1});
  REQUIRE_FALSE(Gate->enqueue(Request, {1}).Refusal);
  Request.RootProgram = "b";
  Request.Program = "b";
  REQUIRE_FALSE(Gate->enqueue(Request, {1}).Refusal);
  REQUIRE(Gate->tick({1}).Grants.size() == 1);
  Settings.OrdinaryFloor = 0.5;
  CHECK(Gate->configure(Settings));
  CHECK(Gate->snapshot({2}).Queued[indexOf(rank::Ordinary)] == 1);
  Settings.OrdinaryFloor = 2;
  CHECK_FALSE(Gate->configure(Settings));
  CHECK(lastError().Code == error_code::InvalidInput);
}
