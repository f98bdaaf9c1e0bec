#include "turmerichead/relay_suspects.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

// One call is under way at an upstream that dies.
bool die(suspects &Suspects, std::uint64_t Call, std::string_view Upstream,
         std::int64_t AtMs) {
  Suspects.noteBroken(Upstream, Call, {AtMs});
  return Suspects.noteUnreachable(Upstream, {AtMs + 100});
}

} // namespace

TEST_CASE("a request that comes again after three deaths is refused") {
  suspects Suspects;
  std::uint64_t Crasher = suspects::fingerprintOf("p", "/plan/1", "body");
  CHECK(Crasher == suspects::fingerprintOf("p", "/plan/1", "body"));
  CHECK(Crasher != suspects::fingerprintOf("p", "/plan/1", "other"));
  for (std::int64_t I = 0; I < 3; ++I) {
    CHECK(!Suspects.isCondemned(Crasher, {I * 10'000}));
    CHECK(die(Suspects, Crasher, "u" + std::to_string(I), I * 10'000));
  }
  CHECK(Suspects.isCondemned(Crasher, {40'000}));
}

TEST_CASE("a lost answer at an upstream that lives is no death") {
  suspects Suspects;
  for (std::int64_t I = 0; I < 5; ++I)
    Suspects.noteBroken("u", 7, {I * 1000});
  CHECK(!Suspects.noteUnreachable("other", {5000}));
  CHECK(!Suspects.noteUnreachable("u", {20'000}));
  CHECK(!Suspects.isCondemned(7, {20'000}));
}

TEST_CASE("what was under way beside a crasher is cleared by its success") {
  suspects Suspects;
  for (std::int64_t I = 0; I < 2; ++I) {
    std::string Upstream = "u" + std::to_string(I);
    Suspects.noteBroken(Upstream, 1, {I * 10'000});
    die(Suspects, 2, Upstream, I * 10'000);
  }
  Suspects.noteSuccess(1, {15'000});
  die(Suspects, 1, "u3", 20'000);
  CHECK(!Suspects.isCondemned(1, {30'000}));
}

TEST_CASE("deaths that different hosts have seen count together") {
  suspects Here;
  suspects There;
  die(Here, 5, "u1", 0);
  die(Here, 5, "u2", 10'000);
  die(There, 5, "u3", 10'000);
  CHECK(There.merge(Here.encode({11'000}), {11'000}));
  CHECK(There.isCondemned(5, {12'000}));
  CHECK(!There.merge("no message", {12'000}));
}
