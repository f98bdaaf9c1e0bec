#include "rank_pvt.h"

#include <doctest/doctest.h>

#include <string>

using namespace turmerichead::turns;

TEST_CASE("values are sorted by rank, and the sort is stable") {
  std::vector<std::string> Values = {"c2", "a1", "b2", "d1", "e3"};
  auto RankOf = [](const std::string &Value) { return Value[1] - '0'; };
  CHECK(sortedByRank(Values, RankOf) ==
        std::vector<std::string>{"a1", "d1", "c2", "b2", "e3"});
  CHECK(sortedByRank(std::vector<std::string>(), RankOf).empty());
}

TEST_CASE("crash_while_hosts_are_sorted_and_one_falls_silent") {
  // The comparison of the sort used to check by the current time which disk
  // hosts were unresponsive. The order changed during the sort, and entry hosts
  // with little CPU time crashed with a segmentation fault.
  constexpr int Hosts = 24;
  std::vector<std::string> Values;
  Values.reserve(Hosts);
  for (int I = 0; I < Hosts; ++I)
    Values.push_back("host-" + std::to_string(I));
  for (int UnresponsiveFrom = 0; UnresponsiveFrom < 4 * Hosts;
       ++UnresponsiveFrom) {
    int Calls = 0;
    auto RankOf = [&](const std::string &Value) {
      bool Unresponsive = Value == "host-0" && Calls >= UnresponsiveFrom;
      ++Calls;
      return Unresponsive ? 2 : 1;
    };
    auto Sorted = sortedByRank(Values, RankOf);
    CHECK(Calls == Hosts);
    std::sort(Sorted.begin(), Sorted.end());
    auto Expected = Values;
    std::sort(Expected.begin(), Expected.end());
    CHECK(Sorted == Expected);
  }
}

TEST_CASE("the_first_members_stored_the_turns_of_all_programs") {
  // Their logs grew faster than a host that catches up could copy them.
  constexpr int Programs = 5000;
  constexpr std::size_t QuorumSize = 3;
  std::vector<disk_host> Members;
  for (const char *Name : {"a", "b", "c", "d", "e"})
    Members.push_back({Name, std::string(Name) + ":1", "x"});
  std::map<std::string, int> Stored;
  auto Responds = [](std::string_view) { return false; };
  for (int I = 0; I < Programs; ++I) {
    std::string Program = "p" + std::to_string(I);
    auto Hosts = hostsForProgram(Members, "x", Program, Responds);
    CHECK(hostsForProgram(Members, "x", Program, Responds) == Hosts);
    for (std::size_t At = 0; At < QuorumSize; ++At)
      ++Stored[Hosts[At].Name];
  }
  for (const disk_host &Host : Members)
    CHECK(Stored[Host.Name] < Programs * 7 / 10);
}

TEST_CASE("hosts_of_the_data_centre_come_first_and_unresponsive_ones_last") {
  std::vector<disk_host> Members = {
      {"a", "a:1", "x"}, {"b", "b:1", "y"}, {"c", "c:1", "x"}};
  auto IsFirst = [](std::string_view Address) { return Address == "a:1"; };
  auto Hosts = hostsForProgram(Members, "x", "p", IsFirst);
  CHECK(Hosts[0].Name == "c");
  CHECK(Hosts[2].Name == "a");
}
