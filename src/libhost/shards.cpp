#include "shards_pvt.h"

#include "platform_objects_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr milliseconds ListRetry{100};

} // namespace

shard_keeper::shard_keeper(host_context &Context, program_book &Book,
                           journal_writer &Writer,
                           std::function<void()> Changed)
    : Context(Context), Book(Book), Writer(Writer),
      Changed(std::move(Changed)) {}

shard_keeper::shard_row *shard_keeper::find(std::uint32_t Shard,
                                            phase Expected) {
  auto Found = Rows.find(Shard);
  if (Found == Rows.end() || Found->second.Phase != Expected)
    return nullptr;
  return &Found->second;
}

bool shard_keeper::servesAll() const {
  return serving() == Context.Map.heldBy(Context.self()).size();
}

std::size_t shard_keeper::serving() const {
  return static_cast<std::size_t>(
      std::count_if(Rows.begin(), Rows.end(), [](const auto &Row) {
        return Row.second.Phase == phase::Serving;
      }));
}

void shard_keeper::mapChanged() {
  for (std::uint32_t Shard = 0; Shard < Context.Map.Shards.size(); ++Shard) {
    const shard_placement &Placement = Context.Map.Shards[Shard];
    bool Mine = Placement.Holder == Context.self();
    auto Found = Rows.find(Shard);
    if (Mine && Found == Rows.end()) {
      shard_row Row;
      Row.Fence = Placement.HeldSince;
      Row.StartedAt = steadyNow();
      Rows.emplace(Shard, std::move(Row));
      continue;
    }
    if (Mine || Found == Rows.end())
      continue;
    if (Found->second.Phase == phase::Serving)
      Found->second.Phase = phase::Draining;
    else if (Found->second.Phase == phase::Listing ||
             Found->second.Phase == phase::Waiting)
      Rows.erase(Found);
  }
  ListDue = {};
  tick();
}

void shard_keeper::tick() {
  time_point Now = steadyNow();
  bool NeedList = false;
  std::vector<std::uint32_t> Drains;
  for (auto &[Shard, Row] : Rows) {
    if (Row.Phase == phase::Listing || Row.Phase == phase::Waiting)
      NeedList = true;
    if (Row.Phase == phase::Draining)
      Drains.push_back(Shard);
  }
  for (std::uint32_t Shard : Drains)
    if (shard_row *Row = find(Shard, phase::Draining))
      drain(Shard, *Row);
  if (NeedList && !Looking && Now >= ListDue) {
    Looking = true;
    listManifests([this](const platform_list_reply &Reply) {
      Looking = false;
      ListDue = steadyNow() + ListRetry;
      if (Reply.Outcome == platform_outcome::Ok)
        takeManifests(Reply);
    });
  }
  std::vector<host_incarnation> Due;
  for (auto &[Journal, Row] : Takeovers) {
    Row.Takeover.tick(Now);
    Due.push_back(Journal);
  }
  for (const host_incarnation &Journal : Due)
    pumpTakeover(Journal);
  std::vector<std::uint32_t> Writes;
  for (auto &[Shard, Row] : Rows)
    if (Row.Write) {
      Row.Write->tick(Now);
      Writes.push_back(Shard);
    }
  for (std::uint32_t Shard : Writes)
    pumpWrite(Shard);
  snapshotDue();
}

// -- Acquiring --------------------------------------------------------------

void shard_keeper::listManifests(list_callback Done) {
  ListWaiters.push_back(std::move(Done));
  if (!ListOpen)
    startList();
}

void shard_keeper::startList() {
  ListOpen = true;
  auto Waiters = std::make_shared<std::vector<list_callback>>();
  Waiters->swap(ListWaiters);
  Context.Platform->list(
      ManifestsPlural,
      guarded([this, Waiters](const platform_list_reply &Reply) {
        ListOpen = false;
        for (const list_callback &Done : *Waiters)
          Done(Reply);
        if (!ListWaiters.empty() && !ListOpen)
          startList();
      }));
}

bool shard_keeper::livesOn(const host_incarnation &Life) const {
  const host_record *Record = Context.Map.find(Life.Host);
  return Record && Record->Incarnation == Life.Incarnation;
}

void shard_keeper::takeManifests(const platform_list_reply &Reply) {
  std::vector<std::string> Names;
  std::map<std::string, const json *> ByName;
  for (const json &Item : Reply.Items) {
    Names.push_back(nameOfObject(Item));
    ByName.emplace(Names.back(), &Item);
  }
  ManifestNames = {Names.begin(), Names.end()};
  std::map<host_incarnation, std::vector<std::uint32_t>> Takes;
  std::vector<std::pair<std::uint32_t, snapshot_manifest>> Released;
  std::vector<std::uint32_t> Fresh;
  for (auto &[Shard, Row] : Rows) {
    if (Row.Phase != phase::Listing && Row.Phase != phase::Waiting)
      continue;
    auto Newest = newestManifest(Names, Shard);
    if (!Newest) {
      Fresh.push_back(Shard);
      continue;
    }
    auto Manifest = decodeManifest(bytesOf(*ByName[*Newest]));
    if (!Manifest) {
      log::error("manifest does not decode",
                 {{"name", *Newest}, {"reason", lastError().Text}});
      continue;
    }
    if (Manifest->Released) {
      Row.Phase = phase::Loading;
      Released.emplace_back(Shard, *Manifest);
    } else if (livesOn(Manifest->Position.Journal)) {
      Row.Phase = phase::Waiting;
    } else {
      Row.Phase = phase::Loading;
      Takes[Manifest->Position.Journal].push_back(Shard);
    }
  }
  for (std::uint32_t Shard : Fresh)
    writeFirst(Shard, {}, std::nullopt);
  for (const auto &[Shard, Manifest] : Released)
    loadReleased(Shard, Manifest);
  for (auto &[Journal, Shards] : Takes)
    startTakeover(Journal, std::move(Shards));
}

void shard_keeper::loadReleased(std::uint32_t Shard,
                                const snapshot_manifest &Manifest) {
  struct loading {
    snapshot_manifest Manifest;
    std::vector<std::string> Names;
    std::vector<std::string> Bytes;
  };
  auto Load = std::make_shared<loading>();
  Load->Manifest = Manifest;
  Load->Names = objectsOf(Manifest);
  auto Next = std::make_shared<std::function<void()>>();
  auto Again = [this, Shard] {
    if (shard_row *Row = find(Shard, phase::Loading))
      Row->Phase = phase::Listing;
  };
  std::weak_ptr<std::function<void()>> WeakNext = Next;
  *Next = [this, Shard, Load, Again, WeakNext] {
    if (!find(Shard, phase::Loading))
      return;
    if (Load->Bytes.size() < Load->Names.size()) {
      auto Keep = WeakNext.lock();
      Context.Platform->get(
          SnapshotsPlural, Load->Names[Load->Bytes.size()],
          guarded([Load, Again, Keep](const platform_reply &Reply) {
            if (Reply.Outcome != platform_outcome::Ok) {
              Again();
              return;
            }
            Load->Bytes.push_back(bytesOf(Reply.Object));
            (*Keep)();
          }));
      return;
    }
    auto Loaded = loadSnapshot(Load->Manifest, Load->Bytes);
    if (!Loaded) {
      log::error("snapshot does not load",
                 {{"shard", Shard}, {"reason", lastError().Text}});
      Again();
      return;
    }
    writeFirst(Shard, std::move(*Loaded), Load->Manifest);
  };
  (*Next)();
}

// -- Handing over -----------------------------------------------------------

void shard_keeper::drain(std::uint32_t Shard, shard_row &Row) {
  moment Now{steadyNow(), wallNowMs()};
  if (Row.Write || !Book.drainShard(Shard, Now))
    return;
  Row.Phase = phase::Releasing;
  writeSnapshot(Shard, Book.rows(), true, false, [this, Shard] {
    Book.releaseShard(Shard);
    Rows.erase(Shard);
    Changed();
    // The map may have returned the shard to this host.
    mapChanged();
  });
}

} // namespace turmerichead::host_pvt
