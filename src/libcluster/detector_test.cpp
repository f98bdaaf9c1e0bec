#include "turmerichead/cluster_detector.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace turmerichead;

namespace {

/// Detectors of a whole cluster on a virtual clock, with links that can be
/// cut one way.
class cluster_world {
public:
  explicit cluster_world(int Hosts, int DataCentres = 3) {
    shard_map Map = *cluster::emptyMap(1);
    for (int I = 0; I < Hosts; ++I) {
      host_record Host;
      Host.Id = "h" + std::to_string(I);
      Host.Incarnation = 1;
      Host.DataCentre = "d" + std::to_string(I % DataCentres);
      Host.Region = "r";
      Map = *cluster::join(Map, Host);
    }
    for (int I = 0; I < Hosts; ++I) {
      Nodes.push_back({*failure_detector::create("h" + std::to_string(I), 1,
                                                 detector_options{}),
                       true});
      Nodes.back().Detector.setMembers(Map, Now);
    }
    Cut.assign(Nodes.size(), std::vector<bool>(Nodes.size(), false));
  }

  void setUp(std::size_t Host, bool Up) { Nodes[Host].Up = Up; }
  void cut(std::size_t From, std::size_t To, bool IsCut = true) {
    Cut[From][To] = IsCut;
  }
  void cutBoth(std::size_t Left, std::size_t Right) {
    cut(Left, Right);
    cut(Right, Left);
  }

  /// One heartbeat interval of all hosts that are up.
  void step() {
    Now = Now + detector_options{}.Heartbeat;
    for (node &Node : Nodes)
      if (Node.Up)
        Node.Detector.tick(Now);
    for (std::size_t From = 0; From < Nodes.size(); ++From)
      if (Nodes[From].Up)
        beat(From);
  }

  void run(milliseconds Length) {
    time_point End = Now + Length;
    while (Now < End)
      step();
  }

  /// Hosts that propose to take out \p Target.
  std::vector<std::size_t> proposers(std::size_t Target) const {
    std::vector<std::size_t> Result;
    for (std::size_t I = 0; I < Nodes.size(); ++I) {
      auto Proposals = Nodes[I].Detector.proposals(Now);
      bool Proposes = std::find(Proposals.begin(), Proposals.end(),
                                idOf(Target)) != Proposals.end();
      if (Nodes[I].Up && Proposes)
        Result.push_back(I);
    }
    return Result;
  }

  host_health health(std::size_t By, std::size_t Target) const {
    return Nodes[By].Detector.health(idOf(Target), Now);
  }

  struct node {
    failure_detector Detector;
    bool Up;
  };
  std::vector<node> Nodes;
  time_point Now;
  std::size_t Bytes = 0;
  std::size_t Messages = 0;

private:
  static std::string idOf(std::size_t Host) {
    return "h" + std::to_string(Host);
  }

  void beat(std::size_t From) {
    auto Targets = Nodes[From].Detector.targets(Now);
    std::string Text = encode(Nodes[From].Detector.compose(Now, 1, {}));
    for (const std::string &Target : Targets) {
      std::size_t To = std::stoul(Target.substr(1));
      Bytes += Text.size();
      ++Messages;
      if (Nodes[To].Up && !Cut[From][To])
        Nodes[To].Detector.receive(*decodeHeartbeat(Text), Now);
    }
  }

  std::vector<std::vector<bool>> Cut;
};

constexpr milliseconds Second{1'000};

} // namespace

TEST_CASE("all alive: nobody is suspected") {
  cluster_world World(9);
  World.run(30 * Second);
  MESSAGE("9 hosts: bytes of heartbeats sent by a host a second: "
          << World.Bytes / 30 / 9);
  for (std::size_t I = 0; I < 9; ++I) {
    CHECK(World.Nodes[I].Detector.suspected(World.Now).empty());
    CHECK(World.Nodes[I].Detector.hearsMajority(World.Now));
  }
}

TEST_CASE("a dead host is proposed by one host first, within five seconds") {
  cluster_world World(9);
  World.run(5 * Second);
  World.setUp(3, false);
  time_point KilledAt = World.Now;
  while (World.proposers(3).empty() && World.Now - KilledAt < 60 * Second)
    World.step();
  CHECK(World.proposers(3).size() == 1);
  CHECK(World.Now - KilledAt < 5 * Second);
  // The first in line is gone too: the next takes its turn.
  World.setUp(World.proposers(3)[0], false);
  World.run(5 * Second);
  CHECK(!World.proposers(3).empty());
}

TEST_CASE("a cut-off minority does not replace the majority") {
  cluster_world World(9);
  World.run(5 * Second);
  for (std::size_t In = 0; In < 4; ++In)
    for (std::size_t Out = 4; Out < 9; ++Out)
      World.cutBoth(In, Out);
  World.run(10 * Second);
  for (std::size_t Out = 4; Out < 9; ++Out) {
    CHECK(World.proposers(Out).empty());
    CHECK(World.health(0, Out) == host_health::Suspected);
  }
  CHECK(!World.Nodes[0].Detector.hearsMajority(World.Now));
  for (std::size_t In = 0; In < 4; ++In)
    for (std::size_t By : World.proposers(In))
      CHECK(By >= 4);
  CHECK(!World.proposers(0).empty());
}

TEST_CASE("survivors that are no majority act after a long wait") {
  cluster_world World(9);
  World.run(5 * Second);
  for (std::size_t Host = 0; Host < 6; ++Host)
    World.setUp(Host, false);
  World.run(10 * Second);
  CHECK(World.proposers(0).empty());
  World.run(60 * Second);
  CHECK(!World.proposers(0).empty());
}

TEST_CASE("the platform's list shortens the wait, but kills nobody") {
  cluster_world World(9);
  World.run(5 * Second);
  std::vector<std::string> Gone = {"h0", "h1", "h2", "h3", "h4", "h8"};
  for (std::size_t Host = 0; Host < 5; ++Host)
    World.setUp(Host, false);
  for (auto &Node : World.Nodes)
    Node.Detector.hintGone(Gone);
  World.run(12 * Second);
  CHECK(!World.proposers(0).empty());
  // The list is wrong about h8, which beats on.
  CHECK(World.proposers(8).empty());
  CHECK(World.health(5, 8) == host_health::Alive);
}

TEST_CASE("a link cut one way alone does not make a host dead") {
  cluster_world World(9);
  World.run(5 * Second);
  World.cut(3, 5);
  World.run(60 * Second);
  CHECK(World.health(5, 3) == host_health::Alive);
  CHECK(World.proposers(3).empty());
}

TEST_CASE("a link cut both ways alone does not make a host dead") {
  cluster_world World(9);
  World.run(5 * Second);
  World.cutBoth(3, 5);
  World.run(60 * Second);
  CHECK(World.health(5, 3) == host_health::Alive);
  CHECK(World.health(3, 5) == host_health::Alive);
}

TEST_CASE("one of three data centres lost: the others act at once") {
  cluster_world World(9);
  World.run(5 * Second);
  for (std::size_t Host : {0U, 3U, 6U}) // All of data centre d0.
    World.setUp(Host, false);
  World.run(10 * Second);
  for (std::size_t Host : {0U, 3U, 6U})
    CHECK(!World.proposers(Host).empty());
  for (std::size_t Host : {1U, 2U, 4U, 5U, 7U, 8U})
    CHECK(World.proposers(Host).empty());
}

TEST_CASE("a host that was frozen suspects nobody when it wakes") {
  cluster_world World(9);
  World.run(5 * Second);
  World.setUp(2, false);
  World.run(60 * Second);
  World.setUp(2, true);
  World.Nodes[2].Detector.tick(World.Now + milliseconds(1));
  for (std::size_t Other = 0; Other < 9; ++Other)
    if (Other != 2)
      CHECK(World.health(2, Other) == host_health::Alive);
}

TEST_CASE("of two hosts neither takes the other out at once") {
  cluster_world World(2);
  World.run(5 * Second);
  World.cutBoth(0, 1);
  World.run(10 * Second);
  CHECK(World.proposers(0).empty());
  CHECK(World.proposers(1).empty());
  World.run(60 * Second);
  CHECK(!World.proposers(0).empty());
}

TEST_CASE("at 410 hosts heartbeats stay few and a death is still found") {
  constexpr int TargetHosts = 410;
  cluster_world World(TargetHosts, 22);
  World.run(3 * Second);
  World.Bytes = World.Messages = 0;
  World.run(10 * Second);
  // A host beats to its six watchers only.
  CHECK(World.Messages == 6 * 20 * TargetHosts);
  MESSAGE("410 hosts: bytes of heartbeats sent by a host a second: "
          << World.Bytes / 10 / TargetHosts);
  World.setUp(100, false);
  World.run(8 * Second);
  CHECK(!World.proposers(100).empty());
  for (std::size_t Other : {0U, 1U, 122U, 409U})
    CHECK(World.proposers(Other).empty());
}

TEST_CASE("heartbeats: bytes, bounds, and what does not decode") {
  heartbeat Beat{"a", 1, 2, 3, {4, 5}, {{"b", 1, 10}}};
  std::string Bytes = encode(Beat);
  auto Back = decodeHeartbeat(Bytes);
  REQUIRE(Back);
  CHECK(Back->Sightings.size() == 1);
  CHECK(Back->Config == Beat.Config);
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK(!decodeHeartbeat(Bytes.substr(0, Length)));
  CHECK(lastError().Code == error_code::Corrupt);
  CHECK(!failure_detector::create("", 1, {}));
  detector_options Hasty;
  Hasty.Suspect = Hasty.Heartbeat;
  CHECK(!failure_detector::create("a", 1, Hasty));
}

TEST_CASE("old, repeated and foreign heartbeats are ignored") {
  cluster_world World(3);
  World.run(5 * Second);
  heartbeat Old = World.Nodes[1].Detector.compose(World.Now, 1, {});
  World.setUp(1, false);
  failure_detector &Judge = World.Nodes[0].Detector;
  Judge.receive(Old, World.Now);
  for (int I = 0; I < 10; ++I) {
    World.run(Second);
    Judge.receive(Old, World.Now);
    heartbeat Foreign = Old;
    Foreign.Incarnation = 7;
    Foreign.Sequence = 1'000;
    Judge.receive(Foreign, World.Now);
  }
  CHECK(World.health(0, 1) == host_health::Dead);
}

TEST_CASE("fuzz: a host that hears all and is heard by all is never dead") {
  CHECK(rc::check("no false verdict", [] {
    auto Ops = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1'000'000));
    cluster_world World(7);
    for (std::uint32_t Op : Ops) {
      // Host 0 is left alone; the others die, freeze, wake and lose links.
      std::size_t One = 1 + Op / 8 % 6;
      std::size_t Two = 1 + Op / 64 % 6;
      if (Op % 8 < 2)
        World.setUp(One, false);
      else if (Op % 8 < 4)
        World.setUp(One, true);
      else if (Op % 8 < 6)
        World.cut(One, Two);
      else
        World.cut(One, Two, false);
      World.run(milliseconds(500 * (1 + Op / 512 % 8)));
      RC_ASSERT(World.proposers(0).empty());
    }
  }));
}
