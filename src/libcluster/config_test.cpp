#include "turmerichead/cluster_config.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <array>

using namespace turmerichead;

namespace {

config_item entry(const std::string &Name, resource_version Version,
                  std::int64_t Tokens) {
  nlohmann::json Spec = {
      {"owner", "gleisfenster"}, {"owner_token_sha256", std::string(64, 'a')},
      {"rank", "urgent"},        {"model", "m"},
      {"target_ms", 1000},       {"limits", {{"tokens", Tokens}}}};
  return {Name, Version, false, Spec.dump(), "ines", 1};
}

config_item invalid(const std::string &Name, resource_version Version) {
  return {Name, Version, false, "{}", "ines", 1};
}

config_item tombstone(const std::string &Name, resource_version Version) {
  return {Name, Version, true, "", "ines", 1};
}

apply_result apply(config_store &Store, const config_item &Item) {
  findings Findings;
  return Store.apply(Item, config_source::Platform, 5, Findings);
}

} // namespace

TEST_CASE("only a higher version takes effect") {
  config_store Store;
  CHECK(apply(Store, entry("yard", 10, 5'000)) == apply_result::InForce);
  CHECK(apply(Store, entry("yard", 9, 6'000)) == apply_result::Known);
  CHECK(apply(Store, entry("yard", 10, 5'000)) == apply_result::Known);
  REQUIRE(Store.find("yard"));
  CHECK(Store.find("yard")->program()->Limits.Tokens == 5'000);
  CHECK(apply(Store, entry("yard", 100, 7'000)) == apply_result::InForce);
  auto Changes = Store.takeChanges();
  REQUIRE(Changes.size() == 2);
  REQUIRE(Changes[1].Fields.size() == 1);
  CHECK(Changes[1].Fields[0] == field_change{"limits.tokens", "5000", "7000"});
  CHECK(toJson(Changes[1])["who"] == "ines");
  CHECK(Store.takeChanges().empty());
  CHECK(summaryOf(Changes[0]) == "new");
  CHECK(summaryOf(Changes[1]) == "limits.tokens 5000 -> 7000");
  force_tracker Tracker;
  Tracker.applied(Changes[1], Store.summary().Root);
  CHECK(Tracker.latest()[0].Who == "ines");
  CHECK(Tracker.latest()[0].What == "limits.tokens 5000 -> 7000");
}

TEST_CASE("invalid content leaves the last good version in force") {
  config_store Store;
  apply(Store, entry("yard", 10, 5'000));
  findings Findings;
  CHECK(Store.apply(invalid("yard", 12), config_source::Platform, 5,
                    Findings) == apply_result::Invalid);
  CHECK(!Findings.empty());
  CHECK(Store.versionInForce("yard") == 10);
  REQUIRE(Store.invalid().size() == 1);
  CHECK(apply(Store, invalid("yard", 12)) == apply_result::Known);
  // A valid version in between came late; it is newer than what is in force.
  CHECK(apply(Store, entry("yard", 11, 6'000)) == apply_result::InForce);
  CHECK(Store.invalid().size() == 1);
  CHECK(apply(Store, entry("yard", 13, 6'000)) == apply_result::InForce);
  CHECK(Store.invalid().empty());
}

TEST_CASE("a deleted entry does not come back by an old version") {
  config_store Store;
  apply(Store, entry("yard", 10, 5'000));
  CHECK(apply(Store, tombstone("yard", 20)) == apply_result::InForce);
  CHECK(!Store.find("yard"));
  CHECK(apply(Store, entry("yard", 15, 5'000)) == apply_result::Known);
  CHECK(apply(Store, entry("yard", 21, 5'000)) == apply_result::InForce);
  // A list alone tells of a deletion without a version of its own.
  CHECK(apply(Store, tombstone("yard", 21)) == apply_result::InForce);
  CHECK(apply(Store, entry("yard", 21, 5'000)) == apply_result::Known);
  CHECK(!Store.find("yard"));
}

TEST_CASE("objects of the platform are read without trust") {
  nlohmann::json Object = {
      {"metadata",
       {{"name", "yard"},
        {"resourceVersion", "18"},
        {"annotations", {{"turmerichead.io/changed-by", "ines"}}}}},
      {"spec", {{"a", 1}}}};
  config_item Item = itemFromObject(Object, false);
  CHECK(Item == config_item{"yard", 18, false, R"({"a":1})", "ines", 0});
  Object["metadata"]["resourceVersion"] = "x8";
  CHECK(itemFromObject(Object, false).Version == 0);
  Object["metadata"] = 3;
  CHECK(itemFromObject(Object, true).Version == 0);
  CHECK(itemFromObject(nullptr, true).Version == 0);
}

TEST_CASE("a list tells what was deleted while the watch was down") {
  config_store Store;
  apply(Store, entry("gone", 10, 5'000));
  apply(Store, entry("newer", 60, 5'000));
  findings Findings;
  std::vector<config_item> List = {entry("yard", 40, 5'000)};
  Store.applyList(List, 50, 5, Findings);
  CHECK(!Store.find("gone"));
  CHECK(Store.versionInForce("gone") == 50);
  CHECK(Store.find("newer"));
  CHECK(Store.find("yard"));
  CHECK(Store.summary().Complete == 50);
}

TEST_CASE("a peer that missed a deletion does not bring the entry back") {
  config_store Behind;
  apply(Behind, entry("gone", 1, 5'000));
  config_store Store; // Started after the deletion and never saw the entry.
  findings Findings;
  Store.applyList({}, 2, 5, Findings);
  for (const config_item &Item : Behind.deltaFor(Store.digest()))
    apply(Store, Item);
  CHECK(!Store.find("gone"));
  for (const config_item &Item : Store.deltaFor(Behind.digest()))
    apply(Behind, Item);
  CHECK(!Behind.find("gone"));
  CHECK(Store.summary().Root == Behind.summary().Root);
}

TEST_CASE("an empty host gets everything, an equal one nothing") {
  config_store Full;
  apply(Full, entry("a", 1, 5'000));
  apply(Full, invalid("a", 2));
  apply(Full, entry("b", 3, 5'000));
  config_store Empty;
  for (const config_item &Item : Full.deltaSince(Empty.summary()))
    apply(Empty, Item);
  CHECK(Empty.summary().Root == Full.summary().Root);
  CHECK(Full.deltaSince(Empty.summary()).empty());
  CHECK(Full.deltaFor(Empty.digest()).empty());
  CHECK(Empty.invalid().size() == 1);
}

TEST_CASE("a file on disk is read by the same rule") {
  config_store Old;
  apply(Old, entry("a", 1, 5'000));
  std::string File = Old.toText();
  config_store Store;
  apply(Store, entry("a", 7, 6'000));
  findings Findings;
  CHECK(Store.applyText(File, 5, Findings));
  CHECK(Store.versionInForce("a") == 7);
  CHECK(!Store.applyText("{\"complete\":1,\"items\":[3]}", 5, Findings));
  CHECK(!Store.applyText("", 5, Findings));
  CHECK(Findings.rows().size() == 2);
}

TEST_CASE("messages of peers go through bytes; broken bytes are refused") {
  std::vector<config_item> Items = {entry("a", 1, 5'000), tombstone("b", 2)};
  std::string Bytes = encode(Items);
  CHECK(decodeItems(Bytes) == Items);
  config_digest Digest = {{"a", 3, 2}};
  auto Back = decodeDigest(encode(Digest));
  REQUIRE(Back);
  CHECK((*Back)[0].Good == 2);
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK(!decodeItems(Bytes.substr(0, Length)));
  CHECK(lastError().Code == error_code::Corrupt);
  CHECK(!decodeDigest(Bytes));
}

TEST_CASE("in force everywhere is said only when every host has shown it") {
  force_tracker Tracker;
  std::vector<std::string> Hosts = {"b", "c"};
  Tracker.applied("yard", 7, 0xAA, 100);
  CHECK(Tracker.settle(Hosts, 110).empty());
  Tracker.heard("b", 0xAA, 0xAA);
  Tracker.heard("c", 0x99, 0xAA);
  CHECK(Tracker.settle(Hosts, 120).empty());
  CHECK(Tracker.latest()[0].Missing == std::vector<std::string>{"c"});
  Tracker.applied("yard", 8, 0xBB, 130);
  Tracker.heard("c", 0xBB, 0xBB);
  auto Settled = Tracker.settle(Hosts, 140);
  REQUIRE(Settled.size() == 1);
  CHECK(Settled[0].Version == 7);
  CHECK(Settled[0].EverywhereAtMs == 140);
  CHECK(Tracker.latest()[0].Missing == std::vector<std::string>{"b"});
}

//------------------------------------------------------------------------------
// Stateful fuzz: four hosts, a platform with a full history, lost, late,
// doubled and reordered messages, restarts, and two operators who race.
//------------------------------------------------------------------------------

namespace {

constexpr std::size_t Hosts = 4;
const std::array<std::string, 3> Names = {"a", "b", "c"};

/// The platform's objects and all that ever was: the oracle.
struct platform_model {
  resource_version Now = 0;
  std::map<std::string, config_item> Objects;
  std::map<std::string, std::vector<config_item>> History;

  void record(config_item Item) {
    Item.Version = ++Now;
    History[Item.Name].push_back(Item);
    if (Item.Deleted)
      Objects.erase(Item.Name);
    else
      Objects[Item.Name] = Item;
  }

  /// A conditional update; false if another was first.
  bool update(const config_item &Item, resource_version Expected) {
    auto Found = Objects.find(Item.Name);
    resource_version Current =
        Found == Objects.end() ? 0 : Found->second.Version;
    if (Current != Expected)
      return false;
    record(Item);
    return true;
  }

  /// Highest version that checks. The platform keeps only the newest, so a
  /// good one below an invalid one is known to hosts that saw it in time.
  resource_version goodVersion(const std::string &Name) const {
    resource_version Good = 0;
    if (auto Found = History.find(Name); Found != History.end())
      for (const config_item &Item : Found->second)
        if (Item.Deleted || Item.Spec != "{}")
          Good = Item.Version;
    return Good;
  }
};

struct host_model {
  config_store Store;
  std::string Disk;
  std::map<std::string, resource_version> Floor;   ///< Since the last start.
  std::map<std::string, resource_version> Highest; ///< Ever.
};

class config_world {
public:
  void step(std::uint32_t Op) {
    std::size_t Host = Op / 16 % Hosts;
    std::size_t Peer = Op / 64 % Hosts;
    const std::string &Name = Names[Op / 256 % Names.size()];
    std::size_t Pick = Op / 1024;
    switch (Op % 16) {
    case 0:
    case 1:
      Platform.record(entry(Name, 0, 5'000 + static_cast<int>(Pick % 1'000)));
      break;
    case 2:
      Platform.record(invalid(Name, 0));
      break;
    case 3:
      if (Platform.Objects.contains(Name))
        Platform.record(tombstone(Name, 0));
      break;
    case 4:
      race(Name);
      break;
    case 5:
    case 6:
    case 7:
      deliver(Host, Name, Pick);
      break;
    case 8:
      relist(Host);
      break;
    case 9:
      take(Peer, Model[Host].Store.deltaSince(Model[Peer].Store.summary()));
      break;
    case 10:
      take(Peer, Model[Host].Store.deltaFor(Model[Peer].Store.digest()));
      break;
    case 11:
      Model[Host].Disk = Model[Host].Store.toText();
      break;
    case 12:
      restart(Host);
      break;
    case 13:
      Beats.emplace_back(Host, Model[Host].Store.summary().Root);
      break;
    default:
      hearAndSettle(Pick);
      break;
    }
    check();
  }

  /// Mends all links and exchanges what differs; then all must agree.
  void converge() {
    relist(0);
    for (const host_model &Host : Model)
      for (const std::string &Name : Names)
        Known[Name] = std::max(Known[Name], Host.Store.versionInForce(Name));
    for (std::size_t Host = 1; Host < Hosts; ++Host)
      take(Host, Model[0].Store.deltaFor(Model[Host].Store.digest()));
    for (std::size_t Host = 1; Host < Hosts; ++Host)
      take(0, Model[Host].Store.deltaFor(Model[0].Store.digest()));
    for (std::size_t Host = 1; Host < Hosts; ++Host)
      take(Host, Model[0].Store.deltaFor(Model[Host].Store.digest()));
    check();
    for (const host_model &Host : Model) {
      RC_ASSERT(Host.Store.summary().Root == Model[0].Store.summary().Root);
      for (const std::string &Name : Names)
        checkFinal(Host, Name);
    }
  }

private:
  /// Two operators read the same version and write; one must lose.
  void race(const std::string &Name) {
    auto Found = Platform.Objects.find(Name);
    resource_version Read =
        Found == Platform.Objects.end() ? 0 : Found->second.Version;
    bool First = Platform.update(entry(Name, 0, 6'000), Read);
    bool Second = Platform.update(entry(Name, 0, 7'000), Read);
    RC_ASSERT(First);
    RC_ASSERT(!Second);
  }

  /// Any event of the past, or the newest: lost, late, doubled, reordered.
  void deliver(std::size_t Host, const std::string &Name, std::size_t Pick) {
    const auto &History = Platform.History[Name];
    if (!History.empty())
      apply(Model[Host].Store, History[Pick % History.size()]);
  }

  void relist(std::size_t Host) {
    std::vector<config_item> Items;
    for (const auto &[Name, Item] : Platform.Objects)
      Items.push_back(Item);
    findings Findings;
    Model[Host].Store.applyList(Items, Platform.Now, 5, Findings);
  }

  void take(std::size_t Host, const std::vector<config_item> &Items) {
    auto Decoded = decodeItems(encode(Items));
    RC_ASSERT(Decoded.has_value());
    for (const config_item &Item : *Decoded)
      apply(Model[Host].Store, Item);
  }

  void restart(std::size_t Host) {
    host_model &Row = Model[Host];
    Row.Store = config_store();
    Row.Floor.clear();
    findings Findings;
    if (!Row.Disk.empty())
      RC_ASSERT(Row.Store.applyText(Row.Disk, 5, Findings));
    if (Host == 0)
      Tracker = force_tracker();
  }

  void hearAndSettle(std::size_t Pick) {
    config_store &Own = Model[0].Store;
    if (!Beats.empty()) {
      auto [Host, Root] = Beats[Pick % Beats.size()];
      if (Host != 0)
        Tracker.heard(Ids[Host], Root, Own.summary().Root);
    }
    std::vector<std::string> Others(Ids.begin() + 1, Ids.end());
    for (const auto &Done : Tracker.settle(Others, 9))
      for (std::size_t Host = 1; Host < Hosts; ++Host)
        RC_ASSERT(Model[Host].Highest[Done.Name] >= Done.Version);
  }

  void check() {
    for (host_model &Host : Model)
      for (const std::string &Name : Names) {
        resource_version Version = Host.Store.versionInForce(Name);
        RC_ASSERT(Version >= Host.Floor[Name]);
        Host.Floor[Name] = Version;
        Host.Highest[Name] = std::max(Host.Highest[Name], Version);
      }
    for (const config_change &Change : Model[0].Store.takeChanges())
      Tracker.applied(Change.Name, Change.Version,
                      Model[0].Store.summary().Root, 5);
  }

  void checkFinal(const host_model &Host, const std::string &Name) const {
    auto Object = Platform.Objects.find(Name);
    if (Object == Platform.Objects.end()) {
      RC_ASSERT(!Host.Store.find(Name));
      return;
    }
    // With an invalid newest version all agree (see above) on one between
    // the highest that any of them knew and the highest there ever was.
    resource_version Good = Platform.goodVersion(Name);
    resource_version Version = Host.Store.versionInForce(Name);
    bool NewestChecks = Object->second.Version == Good;
    // A tombstone of a list has the list's version, not the deletion's.
    RC_ASSERT(Version <= Good ||
              (!Host.Store.find(Name) && Version < Object->second.Version));
    RC_ASSERT(Version >= (NewestChecks ? Good : Known.at(Name)));
    RC_ASSERT(Host.Store.invalid().empty() || !allCheck());
  }

  bool allCheck() const {
    for (const std::string &Name : Names) {
      auto Object = Platform.Objects.find(Name);
      if (Object != Platform.Objects.end() && Object->second.Spec == "{}")
        return false;
    }
    return true;
  }

  platform_model Platform;
  std::map<std::string, resource_version> Known; ///< By any, before the end.
  std::array<host_model, Hosts> Model;
  std::array<std::string, Hosts> Ids = {"h0", "h1", "h2", "h3"};
  std::vector<std::pair<std::size_t, std::uint64_t>> Beats;
  force_tracker Tracker;
};

} // namespace

TEST_CASE("fuzz: configuration never goes backwards and agrees in the end") {
  CHECK(rc::check("forward only", [] {
    auto Ops = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1'000'000));
    config_world World;
    for (std::uint32_t Op : Ops)
      World.step(Op);
    World.converge();
  }));
}
