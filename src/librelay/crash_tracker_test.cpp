#include "turmerichead/relay_crash_tracker.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

upstream upstreamAt(std::string Id, std::string Address = "10.0.0.1:80",
                    std::int64_t StartedMs = 1) {
  return {std::move(Id), "llm", std::move(Address), "dc", 8, true, StartedMs};
}

call_fingerprints crasher() {
  return crash_tracker::fingerprintsOf("p", "/plan/1", "body");
}

// Records that an upstream crashed while one call was in flight.
void crash(crash_tracker &CrashTracker, const call_fingerprints &Call,
           const std::string &Id, std::int64_t AtMs) {
  upstream Upstream = upstreamAt(Id, Id + ":80");
  CrashTracker.recordAbort(Upstream, Call, abort_kind::Broken, {AtMs - 50},
                           {AtMs});
  CrashTracker.recordExit(Upstream, exit_evidence::ConnectionRefused,
                          {AtMs + 5});
}

bool refused(const crash_tracker &CrashTracker, const call_fingerprints &Call,
             std::int64_t AtMs) {
  return CrashTracker.quarantineOf(Call, {AtMs}).has_value();
}

} // namespace

TEST_CASE("a request is quarantined after three crashes") {
  crash_tracker CrashTracker("h");
  CHECK(crasher().Exact !=
        crash_tracker::fingerprintsOf("p", "/plan/1", "other").Exact);
  CHECK(crasher().Exact !=
        crash_tracker::fingerprintsOf("q", "/plan/1", "body").Exact);
  for (std::int64_t I = 0; I < 3; ++I) {
    CHECK(!refused(CrashTracker, crasher(), I * 10'000));
    crash(CrashTracker, crasher(), "u" + std::to_string(I), 100 + I * 10'000);
  }
  auto Quarantine = CrashTracker.quarantineOf(crasher(), {21'000});
  REQUIRE(Quarantine);
  CHECK(Quarantine->Crashes.size() == 3);
  CHECK(Quarantine->Crashes[0].Crash.Upstream == "u0");
  CHECK(Quarantine->Crashes[0].Crash.SeenBy == "h");
  // The quarantine ends when the first of the three crashes expires.
  CHECK(Quarantine->ExpiresIn > milliseconds(500'000));
  CHECK(!refused(CrashTracker, crasher(),
                 21'000 + Quarantine->ExpiresIn.count()));
}

TEST_CASE("budget_end_is_counted_without_another_call_to_the_upstream") {
  // A crash was counted only if the same host failed to connect to the same
  // upstream within five seconds.
  crash_tracker CrashTracker("h");
  SUBCASE("the address refuses connections") {
    for (std::int64_t I = 0; I < 3; ++I)
      crash(CrashTracker, crasher(), "u" + std::to_string(I), 1000 * (I + 1));
  }
  SUBCASE("another process has started at the address") {
    for (std::int64_t I = 0; I < 3; ++I) {
      CrashTracker.recordAbort(upstreamAt("u" + std::to_string(I), "a:1", I),
                               crasher(), abort_kind::Broken, {1000 * I},
                               {1000 * I + 20});
      CrashTracker.recordStart(
          upstreamAt("u" + std::to_string(I + 1), "a:1", I + 1),
          {1000 * I + 900});
    }
  }
  SUBCASE("its entry was removed") {
    for (std::int64_t I = 0; I < 3; ++I) {
      upstream Upstream = upstreamAt("u" + std::to_string(I));
      CrashTracker.recordAbort(Upstream, crasher(), abort_kind::Broken,
                               {5000 * I}, {5000 * I + 20});
      CrashTracker.recordExit(Upstream, exit_evidence::Deregistered,
                              {5000 * I + 3600});
    }
  }
  SUBCASE("the exit was known before the call was aborted") {
    for (std::int64_t I = 0; I < 3; ++I) {
      upstream Upstream = upstreamAt("u" + std::to_string(I));
      CrashTracker.recordExit(Upstream, exit_evidence::ConnectionRefused,
                              {5000 * I});
      CrashTracker.recordAbort(Upstream, crasher(), abort_kind::Broken,
                               {5000 * I - 100}, {5000 * I + 3});
    }
  }
  SUBCASE("calls timed out before the upstream was replaced") {
    for (std::int64_t I = 0; I < 3; ++I) {
      CrashTracker.recordAbort(upstreamAt("u" + std::to_string(I), "a:1", I),
                               crasher(), abort_kind::Cancelled, {5000 * I},
                               {5000 * I + 2000});
      CrashTracker.recordStart(
          upstreamAt("u" + std::to_string(I + 1), "a:1", I + 1),
          {5000 * I + 4000});
    }
  }
  CHECK(refused(CrashTracker, crasher(), 16'000));
}

TEST_CASE("budget_failure_of_a_runner_does_not_clear_a_request") {
  crash_tracker CrashTracker("h");
  crash(CrashTracker, crasher(), "u0", 1000);
  crash(CrashTracker, crasher(), "u1", 2000);
  // An answer shows that the upstream is running, not that the request is
  // harmless.
  CrashTracker.recordResponse(upstreamAt("u2", "u2:80"), {2500});
  crash(CrashTracker, crasher(), "u2", 3000);
  CHECK(refused(CrashTracker, crasher(), 4000));
}

TEST_CASE("a complete run clears a request, also at other hosts") {
  crash_tracker CrashTracker("h");
  crash_tracker Other("i");
  call_fingerprints Harmless =
      crash_tracker::fingerprintsOf("p", "/plan/1", "sound");
  for (std::int64_t I = 0; I < 2; ++I)
    crash(CrashTracker, Harmless, "u" + std::to_string(I), 1000 * (I + 1));
  Other.merge(CrashTracker.entriesWithAtLeast(2, {2500}), {2500});
  CHECK(Other.crashesOf(Harmless.Exact, {2500}).size() == 2);
  auto Cleared = CrashTracker.recordSuccess(Harmless, {3000});
  CHECK(Cleared.size() == 2);
  Other.merge(CrashTracker.entriesOf(Cleared, {3100}), {3100});
  CHECK(Other.crashesOf(Harmless.Exact, {3100}).size() == 0);
  crash(CrashTracker, Harmless, "u3", 4000);
  CHECK(!refused(CrashTracker, Harmless, 5000));
}

TEST_CASE("a lost answer at a running upstream is no crash") {
  crash_tracker CrashTracker("h");
  upstream Upstream = upstreamAt("u");
  for (std::int64_t I = 0; I < 5; ++I) {
    CrashTracker.recordAbort(Upstream, crasher(), abort_kind::Broken,
                             {I * 1000}, {I * 1000 + 100});
    CHECK(CrashTracker.hasUnresolvedAborts(Upstream));
    CrashTracker.recordResponse(Upstream, {I * 1000 + 200});
    CHECK(!CrashTracker.hasUnresolvedAborts(Upstream));
  }
  SUBCASE("that exits later") {
    CrashTracker.recordExit(Upstream, exit_evidence::ConnectionRefused, {6000});
  }
  SUBCASE("that shuts down cleanly later") {
    CrashTracker.recordExit(Upstream, exit_evidence::Deregistered, {6000});
  }
  CHECK(CrashTracker.crashesOf(crasher().Exact, {7000}).size() == 0);
}

TEST_CASE("a cancelled call is no crash when its upstream shuts down") {
  crash_tracker CrashTracker("h");
  upstream Upstream = upstreamAt("u");
  CrashTracker.recordAbort(Upstream, crasher(), abort_kind::Cancelled, {0},
                           {100});
  CrashTracker.recordExit(Upstream, exit_evidence::Deregistered, {1000});
  CHECK(CrashTracker.crashesOf(crasher().Exact, {1000}).size() == 0);
}

TEST_CASE("budget_one_end_counts_once_whoever_saw_it") {
  crash_tracker Here("h");
  crash_tracker There("i");
  // The clocks differ by hours; both hosts record the same crashes.
  for (std::int64_t I = 0; I < 2; ++I) {
    crash(Here, crasher(), "u" + std::to_string(I), 1000 * (I + 1));
    crash(There, crasher(), "u" + std::to_string(I),
          9'000'000 + 1000 * (I + 1));
  }
  Here.merge(There.entriesWithAtLeast(1, {9'003'000}), {3000});
  CHECK(Here.crashesOf(crasher().Exact, {3000}).size() == 2);
  crash(There, crasher(), "u3", 9'004'000);
  Here.merge(There.entriesWithAtLeast(1, {9'004'100}), {4100});
  CHECK(refused(Here, crasher(), 4200));
}

TEST_CASE("budget_caller_that_comes_under_ever_new_programs") {
  crash_tracker CrashTracker("h");
  auto CallOf = [](std::int64_t I) {
    return crash_tracker::fingerprintsOf("p" + std::to_string(I), "/plan/1",
                                         "body");
  };
  for (std::int64_t I = 0; I < 3; ++I) {
    CHECK(!refused(CrashTracker, CallOf(I), 1000 * I));
    crash(CrashTracker, CallOf(I), "u" + std::to_string(I), 1000 * (I + 1));
  }
  CHECK(refused(CrashTracker, CallOf(4), 5000));
  // No run can clear it while it is quarantined, so the quarantine is short.
  CHECK(!refused(CrashTracker, CallOf(4), 65'000));
  // Without a body only the program distinguishes requests.
  CHECK(crash_tracker::fingerprintsOf("p", "/look/", "").Content == 0);
}

TEST_CASE("an outage does not quarantine a body that many programs send") {
  // All upstreams of a service crash together, with identical calls in flight.
  crash_tracker CrashTracker("h");
  auto Call = [](std::int64_t I) {
    return crash_tracker::fingerprintsOf("p" + std::to_string(I), "/look/",
                                         "the same");
  };
  for (std::int64_t I = 0; I < 6; ++I)
    CrashTracker.recordAbort(
        upstreamAt("u" + std::to_string(I), "a:" + std::to_string(I)), Call(I),
        abort_kind::Broken, {900}, {1000 + I});
  for (std::int64_t I = 0; I < 6; ++I)
    CrashTracker.recordExit(
        upstreamAt("u" + std::to_string(I), "a:" + std::to_string(I)),
        exit_evidence::ConnectionRefused, {1010 + I});
  CHECK(!refused(CrashTracker, Call(9), 1100));
  CHECK(CrashTracker.crashesOf(Call(9).Content, {1100}).size() == 1);
}

// A request without a body, of another program each time.
call_fingerprints bodiless(std::int64_t I, std::string_view Caller) {
  return crash_tracker::fingerprintsOf(
      {"p" + std::to_string(I), Caller, "GET", "/look/", {}});
}

// The crashes of three requests without a body, at 1, 2 and 3 s.
void crashThrice(crash_tracker &CrashTracker,
                 const std::vector<std::string> &Callers) {
  for (std::int64_t I = 0; I < 3; ++I) {
    auto Call = bodiless(I, Callers[static_cast<std::size_t>(I)]);
    CHECK(!refused(CrashTracker, Call, 1000 * I));
    crash(CrashTracker, Call, "u" + std::to_string(I), 1000 * (I + 1));
  }
}

TEST_CASE("budget_request_without_body_under_ever_new_programs") {
  // Without a body it was known by its program only.
  crash_tracker CrashTracker("h");
  crashThrice(CrashTracker, {"c", "c", "c"});
  auto Quarantine = CrashTracker.quarantineOf(bodiless(9, "c"), {4000});
  REQUIRE(Quarantine);
  CHECK(Quarantine->Kind == fingerprint_kind::Caller);
  CHECK(Quarantine->Crashes.size() == 3);
  // Sound requests of other callers are neither refused, nor do they end it.
  CHECK(!refused(CrashTracker, bodiless(10, "d"), 4000));
  CrashTracker.recordSuccess(bodiless(10, "d"), {4500});
  CHECK(refused(CrashTracker, bodiless(11, "c"), 5000));
  // Another method or target is another request.
  CHECK(!refused(CrashTracker,
                 crash_tracker::fingerprintsOf({"p", "c", "PUT", "/look/", {}}),
                 5000));
}

TEST_CASE("budget_request_without_body_from_ever_new_callers") {
  crash_tracker CrashTracker("h");
  crashThrice(CrashTracker, {"c", "d", "e"});
  auto Quarantine = CrashTracker.quarantineOf(bodiless(9, "f"), {4000});
  REQUIRE(Quarantine);
  CHECK(Quarantine->Kind == fingerprint_kind::Target);
  SUBCASE("a probe that succeeds ends it") {
    CHECK(refused(CrashTracker, bodiless(9, "f"), 22'900));
    CHECK(!refused(CrashTracker, bodiless(9, "f"), 23'100));
    CrashTracker.recordSend(bodiless(9, "f"), {23'100});
    CHECK(refused(CrashTracker, bodiless(10, "g"), 23'200));
    CrashTracker.recordSuccess(bodiless(9, "f"), {23'300});
    CHECK(!refused(CrashTracker, bodiless(10, "g"), 23'400));
  }
  SUBCASE("a probe that crashes its upstream doubles it") {
    CrashTracker.recordSend(bodiless(9, "f"), {23'100});
    crash(CrashTracker, bodiless(9, "f"), "u3", 23'200);
    CHECK(refused(CrashTracker, bodiless(10, "g"), 63'000));
    CHECK(!refused(CrashTracker, bodiless(10, "g"), 63'300));
    CrashTracker.recordSend(bodiless(10, "g"), {63'300});
    crash(CrashTracker, bodiless(10, "g"), "u4", 63'400);
    // No more probes: it lasts until the crashes expire.
    for (std::int64_t At = 64'000; At < 600'000; At += 1000)
      CHECK(refused(CrashTracker, bodiless(11, "h"), At));
  }
}

TEST_CASE("budget_stream_that_is_resumed_at_once_under_ever_new_programs") {
  // The three crashes of one attempt counted as one, as a resumed stream is
  // sent again within milliseconds.
  crash_tracker CrashTracker("h");
  auto CallOf = [](std::string_view Program, std::string_view Caller,
                   std::string_view Body) {
    return crash_tracker::fingerprintsOf(
        {Program, Caller, "POST", "/chat/", Body});
  };
  for (std::int64_t I = 0; I < 3; ++I)
    crash(CrashTracker, CallOf("p", "c", "body"), "u" + std::to_string(I),
          1000 + 60 * I);
  auto Quarantine = CrashTracker.quarantineOf(CallOf("q", "c", "body"), {1300});
  REQUIRE(Quarantine);
  CHECK(Quarantine->Kind == fingerprint_kind::Caller);
  CHECK(!refused(CrashTracker, CallOf("q", "d", "body"), 1300));
  CHECK(!refused(CrashTracker, CallOf("q", "c", "other"), 1300));
  // A probe may show that it is sound.
  CHECK(!refused(CrashTracker, CallOf("q", "c", "body"), 21'200));
}

TEST_CASE("retries of one sound request are no three crashes") {
  // Three upstreams crashed within milliseconds, and each retry met the next.
  crash_tracker CrashTracker("h");
  for (std::int64_t I = 0; I < 3; ++I)
    crash(CrashTracker, bodiless(1, "c"), "u" + std::to_string(I),
          1000 + 60 * I);
  CHECK(!refused(CrashTracker, bodiless(2, "c"), 1300));
}

TEST_CASE("one crashing caller quarantines no path for others") {
  // A sound request of the same path was in flight at one of its crashes.
  crash_tracker CrashTracker("h");
  crashThrice(CrashTracker, {"c", "d", "c"});
  crash(CrashTracker, bodiless(4, "c"), "u4", 4000);
  CHECK(refused(CrashTracker, bodiless(5, "c"), 5000));
  CHECK(!refused(CrashTracker, bodiless(6, "d"), 5000));
  CHECK(!refused(CrashTracker, bodiless(7, "e"), 5000));
}

TEST_CASE("at most one host at a time probes a quarantined request") {
  const std::vector<std::string> Names = {"h0", "h1", "h2", "h3"};
  std::vector<crash_tracker> Hosts;
  for (const std::string &Name : Names) {
    Hosts.emplace_back(Name);
    Hosts.back().setHosts(Names, Name);
  }
  crashThrice(Hosts[0], {"c", "d", "e"});
  for (crash_tracker &Host : Hosts)
    Host.merge(Hosts[0].entriesWithAtLeast(1, {3100}), {3100});
  std::vector<int> ProbesOf(Hosts.size());
  for (std::int64_t At = 4000; At < 23'000 + 4 * 4000; At += 100) {
    int Probes = 0;
    for (std::size_t I = 0; I < Hosts.size(); ++I) {
      if (refused(Hosts[I], bodiless(At, "f"), At))
        continue;
      Hosts[I].recordSend(bodiless(At, "f"), {At});
      ++ProbesOf[I];
      ++Probes;
    }
    CHECK(Probes <= (At < 23'000 ? 0 : 1));
  }
  CHECK(ProbesOf == std::vector<int>{1, 1, 1, 1});
}

TEST_CASE("an outage that several hosts see quarantines no sound request") {
  // Each host saw only one of the crashes; put together they seemed to follow
  // each other.
  std::vector<crash_tracker> Hosts;
  for (std::int64_t I = 0; I < 6; ++I)
    Hosts.emplace_back("h" + std::to_string(I));
  auto CallOf = [](std::int64_t I, std::string_view Body) {
    return crash_tracker::fingerprintsOf({"p" + std::to_string(I),
                                          "c" + std::to_string(I), "GET",
                                          "/look/", Body});
  };
  for (std::string_view Body : {"", "the same"}) {
    for (std::int64_t I = 0; I < 6; ++I) {
      upstream Upstream = upstreamAt("u" + std::to_string(I));
      Hosts[static_cast<std::size_t>(I)].recordAbort(
          Upstream, CallOf(I, Body), abort_kind::Broken, {900 + I}, {1000 + I});
      Hosts[static_cast<std::size_t>(I)].recordExit(
          Upstream, exit_evidence::ConnectionRefused, {1150 + 10 * I});
    }
    for (crash_tracker &Host : Hosts)
      Hosts[0].merge(Host.entriesWithAtLeast(1, {1300}), {1300});
    CHECK(!refused(Hosts[0], CallOf(9, Body), 1400));
  }
}

TEST_CASE("a run that succeeds before the evidence of a crash clears it") {
  crash_tracker CrashTracker("h");
  for (std::int64_t I = 0; I < 4; ++I) {
    std::int64_t At = 1000 * I;
    upstream Upstream = upstreamAt("u" + std::to_string(I));
    CrashTracker.recordAbort(Upstream, bodiless(I, "c"), abort_kind::Broken,
                             {At}, {At + 20});
    CrashTracker.recordSuccess(bodiless(100 + I, "c"), {At + 50});
    CrashTracker.recordExit(Upstream, exit_evidence::ConnectionRefused,
                            {At + 150});
  }
  CHECK(CrashTracker.crashesOf(bodiless(0, "c").Target, {4000}).empty());
  CHECK(!refused(CrashTracker, bodiless(9, "c"), 4000));
}

TEST_CASE("records of requests with all fingerprints stay within the bounds") {
  crash_tracker CrashTracker("a-host-with-a-long-name");
  for (std::int64_t I = 0; I < 10'000; ++I) {
    auto Call = crash_tracker::fingerprintsOf(
        {"p" + std::to_string(I), "10.0.0." + std::to_string(I), "GET",
         "/look/" + std::to_string(I), "body"});
    crash(CrashTracker, Call, "upstream-" + std::to_string(I), 1000 + I);
  }
  CHECK(CrashTracker.size() <= 4096);
  auto Bytes =
      sched::encodePoisonEntries(CrashTracker.entriesWithAtLeast(1, {12'000}));
  CHECK(Bytes.size() < 400'000);
}

TEST_CASE("among many crashes only the request that causes them is refused") {
  // Runners crash one after the other with all turns in flight, more often than
  // in practice, while the crashing request is sent through all hosts.
  constexpr int Runners = 45;
  constexpr int Streams = 12;
  constexpr int MaxTriesOfTurn = 3;
  std::mt19937 Random(7);
  std::vector<crash_tracker> Hosts;
  Hosts.reserve(8);
  for (std::int64_t I = 0; I < 8; ++I)
    Hosts.emplace_back("h" + std::to_string(I));
  std::map<std::uint64_t, int> TriesOf;
  std::vector<call_fingerprints> Turns;
  int Serial = 0;
  int Crashes = 0;
  int Refused = 0;
  for (std::int64_t Now = 0; Now < 60'000; Now += 100) {
    upstream Runner = upstreamAt("r" + std::to_string(Now),
                                 "a:" + std::to_string(Random() % Runners));
    // Turns that were cut off are retried, beside new ones.
    while (Turns.size() < Streams)
      Turns.push_back(crash_tracker::fingerprintsOf(std::to_string(++Serial),
                                                    "/turn/", "hello"));
    std::vector<std::uint64_t> Changed;
    crash_tracker &Host = Hosts[Random() % Hosts.size()];
    for (const call_fingerprints &Turn : Turns) {
      Refused += refused(Host, Turn, Now);
      Host.recordAbort(Runner, Turn, abort_kind::Broken, {Now}, {Now + 50});
      ++TriesOf[Turn.Exact];
    }
    if (!refused(Host, crasher(), Now)) {
      Host.recordAbort(Runner, crasher(), abort_kind::Broken, {Now},
                       {Now + 50});
      ++Crashes;
    }
    Changed =
        Host.recordExit(Runner, exit_evidence::ConnectionRefused, {Now + 55});
    for (crash_tracker &Other : Hosts)
      Other.merge(Host.entriesOf(Changed, {Now + 60}), {Now + 60});
    // Half of the turns succeed elsewhere, which is propagated as well.
    std::erase_if(Turns, [&](const call_fingerprints &Turn) {
      bool Succeeded = Random() % 2 == 0;
      if (Succeeded) {
        auto Cleared = Host.recordSuccess(Turn, {Now + 70});
        for (crash_tracker &Other : Hosts)
          Other.merge(Host.entriesOf(Cleared, {Now + 80}), {Now + 80});
      }
      return Succeeded || TriesOf[Turn.Exact] >= MaxTriesOfTurn;
    });
  }
  CHECK(Crashes == 3);
  CHECK(Refused == 0);
  CHECK(Serial > 1000);
}

TEST_CASE("the number of records is bounded, and garbage does not decode") {
  crash_tracker CrashTracker("h");
  for (std::int64_t I = 0; I < 10'000; ++I) {
    call_fingerprints Fingerprints =
        crash_tracker::fingerprintsOf(std::to_string(I), "/", "");
    crash(CrashTracker, Fingerprints, "u" + std::to_string(I), 1000 + I);
  }
  CHECK(CrashTracker.size() <= 4096);
  CHECK(!sched::decodePoisonEntries("no message"));
  auto Bytes =
      sched::encodePoisonEntries(CrashTracker.entriesWithAtLeast(1, {12'000}));
  CHECK(Bytes.size() < 400'000);
  CHECK(sched::decodePoisonEntries(Bytes)->size() == CrashTracker.size());
}
