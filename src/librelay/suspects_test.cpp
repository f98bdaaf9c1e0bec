#include "turmerichead/relay_suspects.h"

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

call_prints crasher() { return suspects::printsOf("p", "/plan/1", "body"); }

// One call is under way at an upstream that ends, as its host sees it.
void end(suspects &Suspects, const call_prints &Call, const std::string &Id,
         std::int64_t AtMs) {
  upstream Upstream = upstreamAt(Id, Id + ":80");
  Suspects.noteUnfinished(Upstream, Call, unfinished::Broken, {AtMs - 50},
                          {AtMs});
  Suspects.noteEnded(Upstream, end_evidence::Refused, {AtMs + 5});
}

bool refused(const suspects &Suspects, const call_prints &Call,
             std::int64_t AtMs) {
  return Suspects.verdict(Call, {AtMs}).has_value();
}

} // namespace

TEST_CASE("a request that comes again after three ends is refused") {
  suspects Suspects("h");
  CHECK(crasher().Exact != suspects::printsOf("p", "/plan/1", "other").Exact);
  CHECK(crasher().Exact != suspects::printsOf("q", "/plan/1", "body").Exact);
  for (std::int64_t I = 0; I < 3; ++I) {
    CHECK(!refused(Suspects, crasher(), I * 10'000));
    end(Suspects, crasher(), "u" + std::to_string(I), 100 + I * 10'000);
  }
  auto Verdict = Suspects.verdict(crasher(), {21'000});
  REQUIRE(Verdict);
  CHECK(Verdict->Deaths.size() == 3);
  CHECK(Verdict->Deaths[0].Crash.Upstream == "u0");
  CHECK(Verdict->Deaths[0].Crash.SeenBy == "h");
  // It may come back once the first of the three is forgotten.
  CHECK(Verdict->LapsesIn > milliseconds(500'000));
  CHECK(!refused(Suspects, crasher(), 21'000 + Verdict->LapsesIn.count()));
}

TEST_CASE("budget_end_is_counted_without_another_call_to_the_upstream") {
  // The end was counted only if the same host failed to connect to the same
  // upstream within five seconds.
  suspects Suspects("h");
  SUBCASE("nobody listens any more") {
    for (std::int64_t I = 0; I < 3; ++I)
      end(Suspects, crasher(), "u" + std::to_string(I), 1000 * (I + 1));
  }
  SUBCASE("another process has started at the address") {
    for (std::int64_t I = 0; I < 3; ++I) {
      Suspects.noteUnfinished(upstreamAt("u" + std::to_string(I), "a:1", I),
                              crasher(), unfinished::Broken, {1000 * I},
                              {1000 * I + 20});
      Suspects.noteStarted(
          upstreamAt("u" + std::to_string(I + 1), "a:1", I + 1),
          {1000 * I + 900});
    }
  }
  SUBCASE("its entry has vanished") {
    for (std::int64_t I = 0; I < 3; ++I) {
      upstream Upstream = upstreamAt("u" + std::to_string(I));
      Suspects.noteUnfinished(Upstream, crasher(), unfinished::Broken,
                              {5000 * I}, {5000 * I + 20});
      Suspects.noteEnded(Upstream, end_evidence::Vanished, {5000 * I + 3600});
    }
  }
  SUBCASE("the end was known before the break was read") {
    for (std::int64_t I = 0; I < 3; ++I) {
      upstream Upstream = upstreamAt("u" + std::to_string(I));
      Suspects.noteEnded(Upstream, end_evidence::Refused, {5000 * I});
      Suspects.noteUnfinished(Upstream, crasher(), unfinished::Broken,
                              {5000 * I - 100}, {5000 * I + 3});
    }
  }
  SUBCASE("it fell silent, and its callers gave up before it was replaced") {
    for (std::int64_t I = 0; I < 3; ++I) {
      Suspects.noteUnfinished(upstreamAt("u" + std::to_string(I), "a:1", I),
                              crasher(), unfinished::Left, {5000 * I},
                              {5000 * I + 2000});
      Suspects.noteStarted(
          upstreamAt("u" + std::to_string(I + 1), "a:1", I + 1),
          {5000 * I + 4000});
    }
  }
  CHECK(refused(Suspects, crasher(), 16'000));
}

TEST_CASE("budget_failure_of_a_runner_does_not_clear_a_request") {
  suspects Suspects("h");
  end(Suspects, crasher(), "u0", 1000);
  end(Suspects, crasher(), "u1", 2000);
  // An answer shows that its upstream lives, not that the request is sound.
  Suspects.noteAnswer(upstreamAt("u2", "u2:80"), {2500});
  end(Suspects, crasher(), "u2", 3000);
  CHECK(refused(Suspects, crasher(), 4000));
}

TEST_CASE("a whole run clears a request, here and at other hosts") {
  suspects Suspects("h");
  suspects Other("i");
  call_prints Neighbour = suspects::printsOf("p", "/plan/1", "sound");
  for (std::int64_t I = 0; I < 2; ++I)
    end(Suspects, Neighbour, "u" + std::to_string(I), 1000 * (I + 1));
  Other.merge(Suspects.entriesWith(2, {2500}), {2500});
  CHECK(Other.endsOf(Neighbour.Exact, {2500}).size() == 2);
  auto Cleared = Suspects.noteSuccess(Neighbour, {3000});
  CHECK(Cleared.size() == 2);
  Other.merge(Suspects.entriesOf(Cleared, {3100}), {3100});
  CHECK(Other.endsOf(Neighbour.Exact, {3100}).size() == 0);
  end(Suspects, Neighbour, "u3", 4000);
  CHECK(!refused(Suspects, Neighbour, 5000));
}

TEST_CASE("an answer that is lost at an upstream that lives is no end") {
  suspects Suspects("h");
  upstream Upstream = upstreamAt("u");
  for (std::int64_t I = 0; I < 5; ++I) {
    Suspects.noteUnfinished(Upstream, crasher(), unfinished::Broken, {I * 1000},
                            {I * 1000 + 100});
    CHECK(Suspects.isUnclear(Upstream));
    Suspects.noteAnswer(Upstream, {I * 1000 + 200});
    CHECK(!Suspects.isUnclear(Upstream));
  }
  SUBCASE("and ends later") {
    Suspects.noteEnded(Upstream, end_evidence::Refused, {6000});
  }
  SUBCASE("and leaves in order") {
    Suspects.noteEnded(Upstream, end_evidence::Vanished, {6000});
  }
  CHECK(Suspects.endsOf(crasher().Exact, {7000}).size() == 0);
}

TEST_CASE("a call that was given up is no end when its upstream leaves") {
  suspects Suspects("h");
  upstream Upstream = upstreamAt("u");
  Suspects.noteUnfinished(Upstream, crasher(), unfinished::Left, {0}, {100});
  Suspects.noteEnded(Upstream, end_evidence::Vanished, {1000});
  CHECK(Suspects.endsOf(crasher().Exact, {1000}).size() == 0);
}

TEST_CASE("budget_one_end_counts_once_whoever_saw_it") {
  suspects Here("h");
  suspects There("i");
  // Clocks differ by hours; the ends are the same.
  for (std::int64_t I = 0; I < 2; ++I) {
    end(Here, crasher(), "u" + std::to_string(I), 1000 * (I + 1));
    end(There, crasher(), "u" + std::to_string(I), 9'000'000 + 1000 * (I + 1));
  }
  Here.merge(There.entriesWith(1, {9'003'000}), {3000});
  CHECK(Here.endsOf(crasher().Exact, {3000}).size() == 2);
  end(There, crasher(), "u3", 9'004'000);
  Here.merge(There.entriesWith(1, {9'004'100}), {4100});
  CHECK(refused(Here, crasher(), 4200));
}

TEST_CASE("budget_caller_that_comes_under_ever_new_programs") {
  suspects Suspects("h");
  auto Visit = [](std::int64_t I) {
    return suspects::printsOf("p" + std::to_string(I), "/plan/1", "body");
  };
  for (std::int64_t I = 0; I < 3; ++I) {
    CHECK(!refused(Suspects, Visit(I), 1000 * I));
    end(Suspects, Visit(I), "u" + std::to_string(I), 1000 * (I + 1));
  }
  CHECK(refused(Suspects, Visit(4), 5000));
  // While it is refused no run can clear it: the verdict lapses soon.
  CHECK(!refused(Suspects, Visit(4), 65'000));
  // Without a body nothing but the program tells callers apart.
  CHECK(suspects::printsOf("p", "/look/", "").Content == 0);
}

TEST_CASE("requests of many programs with one body outlive an outage") {
  // Every upstream of a service ends at once, with calls that look alike.
  suspects Suspects("h");
  auto Call = [](std::int64_t I) {
    return suspects::printsOf("p" + std::to_string(I), "/look/", "the same");
  };
  for (std::int64_t I = 0; I < 6; ++I)
    Suspects.noteUnfinished(
        upstreamAt("u" + std::to_string(I), "a:" + std::to_string(I)), Call(I),
        unfinished::Broken, {900}, {1000 + I});
  for (std::int64_t I = 0; I < 6; ++I)
    Suspects.noteEnded(
        upstreamAt("u" + std::to_string(I), "a:" + std::to_string(I)),
        end_evidence::Refused, {1010 + I});
  CHECK(!refused(Suspects, Call(9), 1100));
  CHECK(Suspects.endsOf(Call(9).Content, {1100}).size() == 1);
}

TEST_CASE("a day of crashes and one crasher: it is stopped, no other is") {
  // Runners that end by turns with all that runs on them, at a rate that no
  // platform's day reaches, and a crasher that comes through all hosts.
  constexpr int Runners = 45;
  constexpr int Streams = 12;
  constexpr int TriesOfATurn = 3;
  std::mt19937 Random(7);
  std::vector<suspects> Hosts;
  Hosts.reserve(8);
  for (std::int64_t I = 0; I < 8; ++I)
    Hosts.emplace_back("h" + std::to_string(I));
  std::map<std::uint64_t, int> TriesOf;
  std::vector<call_prints> Turns;
  int Serial = 0;
  int Ends = 0;
  int Refused = 0;
  for (std::int64_t Now = 0; Now < 60'000; Now += 100) {
    upstream Runner = upstreamAt("r" + std::to_string(Now),
                                 "a:" + std::to_string(Random() % Runners));
    // Turns that were cut off come again, beside new ones.
    while (Turns.size() < Streams)
      Turns.push_back(
          suspects::printsOf(std::to_string(++Serial), "/turn/", "hello"));
    std::vector<std::uint64_t> Changed;
    suspects &Host = Hosts[Random() % Hosts.size()];
    for (const call_prints &Turn : Turns) {
      Refused += refused(Host, Turn, Now);
      Host.noteUnfinished(Runner, Turn, unfinished::Broken, {Now}, {Now + 50});
      ++TriesOf[Turn.Exact];
    }
    if (!refused(Host, crasher(), Now)) {
      Host.noteUnfinished(Runner, crasher(), unfinished::Broken, {Now},
                          {Now + 50});
      ++Ends;
    }
    Changed = Host.noteEnded(Runner, end_evidence::Refused, {Now + 55});
    for (suspects &Other : Hosts)
      Other.merge(Host.entriesOf(Changed, {Now + 60}), {Now + 60});
    // Half of the turns run well elsewhere; that is told as well.
    std::erase_if(Turns, [&](const call_prints &Turn) {
      bool Well = Random() % 2 == 0;
      if (Well) {
        auto Cleared = Host.noteSuccess(Turn, {Now + 70});
        for (suspects &Other : Hosts)
          Other.merge(Host.entriesOf(Cleared, {Now + 80}), {Now + 80});
      }
      return Well || TriesOf[Turn.Exact] >= TriesOfATurn;
    });
  }
  CHECK(Ends == 3);
  CHECK(Refused == 0);
  CHECK(Serial > 1000);
}

TEST_CASE("records are bounded, and what does not decode is told") {
  suspects Suspects("h");
  for (std::int64_t I = 0; I < 10'000; ++I) {
    call_prints Prints = suspects::printsOf(std::to_string(I), "/", "");
    end(Suspects, Prints, "u" + std::to_string(I), 1000 + I);
  }
  CHECK(Suspects.size() <= 4096);
  CHECK(!sched::decodePoisonEntries("no message"));
  auto Bytes = sched::encodePoisonEntries(Suspects.entriesWith(1, {12'000}));
  CHECK(Bytes.size() < 400'000);
  CHECK(sched::decodePoisonEntries(Bytes)->size() == Suspects.size());
}
