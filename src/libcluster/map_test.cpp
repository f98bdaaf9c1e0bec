#include "turmerichead/cluster_map.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace turmerichead;

namespace {

constexpr std::uint32_t Shards = 64;

host_record host(int Number, int DataCentres = 3, int Regions = 1) {
  int Centre = Number % DataCentres;
  host_record Host;
  Host.Id = "host-" + std::to_string(Number);
  Host.Incarnation = 1;
  Host.Http = {"10.0.0.1", static_cast<std::uint16_t>(8'000 + Number)};
  Host.Peer = {"10.0.0.1", static_cast<std::uint16_t>(9'000 + Number)};
  Host.DataCentre = "centre-" + std::to_string(Centre);
  Host.Region = "region-" + std::to_string(Centre % Regions);
  return Host;
}

shard_map mapOf(int Hosts, std::uint32_t ShardCount = Shards,
                int DataCentres = 3, int Regions = 1) {
  shard_map Map = *cluster::emptyMap(ShardCount);
  for (int I = 0; I < Hosts; ++I)
    Map = *cluster::join(Map, host(I, DataCentres, Regions));
  return Map;
}

std::string findingsOf(const shard_map &Map) {
  findings Findings;
  cluster::checkMap(Map, "map", Findings);
  return Findings.toText();
}

} // namespace

TEST_CASE("nine hosts share the shards, standbys in other data centres") {
  shard_map Map = mapOf(9);
  CHECK(findingsOf(Map) == "");
  CHECK(Map.Version == 9);
  for (const shard_placement &Shard : Map.Shards) {
    std::set<std::string> Centres = {Map.find(Shard.Holder)->DataCentre};
    for (const std::string &Standby : Shard.Standbys)
      Centres.insert(Map.find(Standby)->DataCentre);
    CHECK(Centres.size() == 3);
  }
}

TEST_CASE("one host's change moves little more than its own shards") {
  shard_map Map = mapOf(9);
  auto Joined = cluster::join(Map, host(9));
  REQUIRE(Joined);
  CHECK(cluster::movesBetween(Map, *Joined).size() <= 7);
  auto Replaced = cluster::replaceDead(Map, "host-3");
  REQUIRE(Replaced);
  CHECK(cluster::movesBetween(Map, *Replaced).size() <= 8);
  for (const shard_move &Move : cluster::movesBetween(Map, *Replaced)) {
    CHECK(Move.From == "host-3");
    CHECK(Replaced->Shards[Move.Shard].HeldSince == Replaced->Version);
  }
}

TEST_CASE("a dead holder's shard goes to a standby that has room") {
  // 64 shards on 9 hosts: 7 each, and 8 on one of them.
  shard_map Map = mapOf(10);
  for (const host_record &Dead : Map.Hosts) {
    auto Replaced = cluster::replaceDead(Map, Dead.Id);
    REQUIRE(Replaced);
    for (const shard_move &Move : cluster::movesBetween(Map, *Replaced)) {
      const auto &Standbys = Map.Shards[Move.Shard].Standbys;
      bool ToStandby = Move.To == Standbys[0] || Move.To == Standbys[1];
      bool HadRoom = Replaced->heldBy(Standbys[0]).size() < 7 ||
                     Replaced->heldBy(Standbys[1]).size() < 7;
      CHECK((ToStandby || !HadRoom));
    }
  }
}

TEST_CASE("a restart under a new incarnation keeps and fences its shards") {
  shard_map Map = mapOf(9);
  host_record Again = host(4);
  CHECK(!cluster::join(Map, Again));
  CHECK(lastError().Code == error_code::Conflict);
  Again.Incarnation = 2;
  Again.State = host_state::Joining;
  auto Next = cluster::join(Map, Again);
  REQUIRE(Next);
  CHECK(Next->heldBy("host-4") == Map.heldBy("host-4"));
  for (std::uint32_t Shard : Next->heldBy("host-4"))
    CHECK(Next->Shards[Shard].HeldSince == Next->Version);
}

TEST_CASE("leaving hands over first, then the host may go") {
  shard_map Map = mapOf(3);
  CHECK(!cluster::remove(Map, "host-1"));
  CHECK(lastError().Code == error_code::Conflict);
  auto Leaving = cluster::markLeaving(Map, "host-1");
  REQUIRE(Leaving);
  CHECK(findingsOf(*Leaving) == "");
  CHECK(Leaving->heldBy("host-1").empty());
  CHECK(cluster::remove(*Leaving, "host-1"));
  CHECK(!cluster::remove(Map, "nobody"));
  CHECK(lastError().Code == error_code::NotFound);
}

TEST_CASE("a joining host holds nothing until it is live") {
  shard_map Map = mapOf(3);
  host_record New = host(3);
  New.State = host_state::Joining;
  auto Joined = cluster::join(Map, New);
  CHECK(cluster::movesBetween(Map, *Joined).empty());
  auto Live = cluster::markLive(*Joined, "host-3");
  CHECK(Live->heldBy("host-3").size() == 16);
}

TEST_CASE("the map goes through JSON; a broken one is refused") {
  shard_map Map = mapOf(9);
  findings Findings;
  CHECK(shardMapFromJson(toJson(Map), "map", Findings) == Map);
  nlohmann::json Spec = toJson(Map);
  Spec["shards"][0][0] = 99;
  CHECK(!shardMapFromJson(Spec, "map", Findings));
  Spec["shards"][0][0] = -1;
  CHECK(!shardMapFromJson(Spec, "map", Findings));
  Spec = toJson(Map);
  std::swap(Spec["hosts"][0], Spec["hosts"][1]);
  CHECK(!shardMapFromJson(Spec, "map", Findings));
  CHECK(!shardMapFromJson(nullptr, "map", Findings));
}

TEST_CASE("the map of the target size stays below a megabyte") {
  constexpr int TargetHosts = 410;
  constexpr std::uint32_t TargetShards = 4'096;
  shard_map Map = mapOf(TargetHosts, TargetShards, 22, 8);
  CHECK(findingsOf(Map) == "");
  CHECK(toJson(Map).dump().size() < 1'048'576);
  MESSAGE("410 hosts, 4096 shards: bytes of the map: "
          << toJson(Map).dump().size());
  auto Next = cluster::replaceDead(Map, "host-100");
  auto Moves = cluster::movesBetween(Map, *Next).size();
  CHECK(Moves <= 11);
  MESSAGE("shards that move when one of 410 hosts dies: " << Moves);
}

TEST_CASE("runner groups are even, and few runners change group") {
  std::vector<std::string> Runners;
  Runners.reserve(100);
  for (int I = 0; I < 100; ++I)
    Runners.push_back("runner-" + std::to_string(I));
  auto Groups = cluster::groupRunners("m", Runners, 16);
  CHECK(Groups.size() == 7);
  std::size_t Total = 0;
  for (const runner_group &Group : Groups) {
    CHECK(Group.Runners.size() <= 16);
    Total += Group.Runners.size();
  }
  CHECK(Total == 100);
  CHECK(cluster::groupRunners("m", {}, 16).empty());
}

TEST_CASE("a gate's host changes only when it has gone") {
  shard_map Map = mapOf(9);
  std::string Gate = cluster::gateHost(Map, "m#0");
  REQUIRE(!Gate.empty());
  std::vector<std::string> Suspected = {Gate};
  CHECK(cluster::gateHost(Map, "m#0", Suspected) != Gate);
  for (const host_record &Host : Map.Hosts) {
    if (Host.Id == Gate)
      continue;
    auto Smaller = cluster::replaceDead(Map, Host.Id);
    CHECK(cluster::gateHost(*Smaller, "m#0") == Gate);
  }
}

//------------------------------------------------------------------------------
// Stateful fuzz: hosts join, restart, leave and die in any order.
//------------------------------------------------------------------------------

namespace {

std::size_t liveHosts(const shard_map &Map) {
  return static_cast<std::size_t>(std::count_if(
      Map.Hosts.begin(), Map.Hosts.end(),
      [](const host_record &Host) { return Host.State == host_state::Live; }));
}

std::optional<shard_map> change(const shard_map &Map, std::uint32_t Op) {
  constexpr int MaxHosts = 12;
  int Number = static_cast<int>(Op / 8 % MaxHosts);
  host_record Host = host(Number, 4, 2);
  switch (Op % 8) {
  case 0:
  case 1:
    return cluster::join(Map, Host);
  case 2:
    Host.State = host_state::Joining;
    Host.Incarnation = Op / 128;
    return cluster::join(Map, Host);
  case 3:
  case 4:
    return cluster::markLive(Map, Host.Id);
  case 5:
    return cluster::markLeaving(Map, Host.Id);
  case 6:
    return cluster::remove(Map, Host.Id);
  default:
    return cluster::replaceDead(Map, Host.Id);
  }
}

/// Standbys stand in other data centres when there are enough hosts there.
void checkStandbys(const shard_map &Map) {
  std::set<std::string> Centres;
  for (const host_record &Host : Map.Hosts)
    if (Host.State != host_state::Leaving)
      Centres.insert(Host.DataCentre);
  for (const shard_placement &Shard : Map.Shards) {
    if (Shard.Holder.empty())
      continue;
    std::set<std::string> Used = {Map.find(Shard.Holder)->DataCentre};
    for (const std::string &Standby : Shard.Standbys) {
      if (Standby.empty())
        continue;
      RC_ASSERT(Map.find(Standby)->State != host_state::Leaving);
      Used.insert(Map.find(Standby)->DataCentre);
    }
    RC_ASSERT(Used.size() >= std::min<std::size_t>(3, Centres.size()));
  }
}

} // namespace

TEST_CASE("fuzz: every shard has one holder and moves are few") {
  CHECK(rc::check("shard maps", [] {
    auto Ops = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1'000'000));
    shard_map Map = *cluster::emptyMap(Shards);
    for (std::uint32_t Op : Ops) {
      auto Next = change(Map, Op);
      if (!Next)
        continue;
      RC_ASSERT(Next->Version == Map.Version + 1);
      RC_ASSERT(findingsOf(*Next) == "");
      checkStandbys(*Next);
      std::size_t Least = std::min(liveHosts(Map), liveHosts(*Next));
      std::size_t Bound = Least == 0 ? Shards : Shards / Least + 1;
      RC_ASSERT(cluster::movesBetween(Map, *Next).size() <= Bound);
      findings Findings;
      RC_ASSERT(shardMapFromJson(toJson(*Next), "map", Findings) == *Next);
      Map = *Next;
    }
  }));
}
