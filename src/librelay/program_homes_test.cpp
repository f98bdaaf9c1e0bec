#include "turmerichead/relay_program_homes.h"

#include <doctest/doctest.h>

using namespace turmerichead::relay;

TEST_CASE("program_homes: returns the upstream of the last turn") {
  program_homes Homes(2);
  CHECK(Homes.find("p").empty());
  Homes.record("p", "u1");
  Homes.record("p", "u2");
  CHECK(Homes.find("p") == "u2");
}

TEST_CASE("program_homes: drops the programs that were not used for longest") {
  constexpr std::size_t MinPrograms = 10;
  program_homes Homes(MinPrograms);
  for (int I = 0; I < 1000; ++I) {
    Homes.record("used", "u1");
    Homes.record("p" + std::to_string(I), "u2");
    CHECK(Homes.size() <= 2 * MinPrograms);
    CHECK(Homes.find("used") == "u1");
  }
  CHECK(Homes.find("p999") == "u2");
  CHECK(Homes.find("p0").empty());
}
