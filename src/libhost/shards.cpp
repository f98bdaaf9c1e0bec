#include "shards_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr std::string_view Manifests = "manifests";
constexpr std::string_view Snapshots = "snapshots";
constexpr std::string_view Segments = "segments";
constexpr milliseconds ListRetry{100};
constexpr milliseconds SnapshotPause{1000};

json binaryObject(const std::string &Name, std::string_view Bytes) {
  return {{"metadata", {{"name", Name}}},
          {"spec", {{"data", encodeBase64(Bytes)}}}};
}

std::string bytesOf(const json &Object) {
  if (!Object.is_object() || !Object.contains("spec"))
    return {};
  const json &Spec = Object["spec"];
  if (!Spec.is_object() || !Spec.contains("data") || !Spec["data"].is_string())
    return {};
  return decodeBase64(Spec["data"].get_ref<const std::string &>())
      .value_or(std::string());
}

create_result createResultOf(platform_outcome Outcome) {
  if (Outcome == platform_outcome::Ok)
    return create_result::Created;
  if (Outcome == platform_outcome::Conflict)
    return create_result::Exists;
  return create_result::Failed;
}

read_result readResultOf(platform_outcome Outcome) {
  if (Outcome == platform_outcome::Ok)
    return read_result::Found;
  if (Outcome == platform_outcome::NotFound)
    return read_result::Absent;
  return read_result::Failed;
}

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
  std::vector<host_life> Due;
  for (auto &[Journal, Row] : Takeovers) {
    Row.Takeover.tick(Now);
    Due.push_back(Journal);
  }
  for (const host_life &Journal : Due)
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
      Manifests, guarded([this, Waiters](const platform_list_reply &Reply) {
        ListOpen = false;
        for (const list_callback &Done : *Waiters)
          Done(Reply);
        if (!ListWaiters.empty() && !ListOpen)
          startList();
      }));
}

bool shard_keeper::livesOn(const host_life &Life) const {
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
  std::map<host_life, std::vector<std::uint32_t>> Takes;
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
          Snapshots, Load->Names[Load->Bytes.size()],
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

// -- Takeover ---------------------------------------------------------------

void shard_keeper::startTakeover(const host_life &Journal,
                                 std::vector<std::uint32_t> Shards) {
  if (Takeovers.contains(Journal)) {
    // One takeover of a journal at a time; these shards are listed again.
    for (std::uint32_t Shard : Shards)
      Rows[Shard].Phase = phase::Listing;
    return;
  }
  log::info("takeover begins", {{"journal", Journal.Host},
                                {"incarnation", Journal.Incarnation},
                                {"shards", Shards.size()}});
  takeover Takeover(
      Context.life(), Journal, Shards,
      [this](std::string_view Root) { return Context.shardOf(Root); });
  Takeover.start(steadyNow());
  Takeovers.emplace(Journal, takeover_row{std::move(Takeover),
                                          std::move(Shards), steadyNow()});
  pumpTakeover(Journal);
}

void shard_keeper::pumpTakeover(const host_life &Journal) {
  auto Found = Takeovers.find(Journal);
  if (Found == Takeovers.end())
    return;
  for (const takeover_command &Command : Found->second.Takeover.takeCommands())
    carryOut(Journal, Command);
  if (Found->second.Takeover.done())
    finishTakeover(Journal);
}

void shard_keeper::carryOut(const host_life &Journal,
                            const takeover_command &Command) {
  // Every answer finds its takeover again by the journal's name.
  auto WithTakeover = [this, Journal](auto Action) {
    auto Found = Takeovers.find(Journal);
    if (Found == Takeovers.end())
      return;
    Action(Found->second.Takeover);
    pumpTakeover(Journal);
  };
  auto OnRead = guarded([WithTakeover](const platform_reply &Reply) {
    WithTakeover([&](takeover &Takeover) {
      Takeover.readObject(readResultOf(Reply.Outcome), bytesOf(Reply.Object),
                          steadyNow());
    });
  });
  auto OnList = [&](auto Keep) {
    return guarded([WithTakeover, Keep](const platform_list_reply &Reply) {
      std::vector<std::string> Names;
      for (const json &Item : Reply.Items)
        Names.push_back(nameOfObject(Item));
      Keep(Names);
      WithTakeover([&](takeover &Takeover) {
        Takeover.listed(Reply.Outcome == platform_outcome::Ok, Names,
                        steadyNow());
      });
    });
  };
  if (const auto *List = std::get_if<list_snapshots>(&Command)) {
    std::string Prefix = snapshotPrefix(List->Shard);
    listManifests(OnList([this, Prefix](std::vector<std::string> &Names) {
      std::erase_if(Names, [&](const std::string &Name) {
        return !Name.starts_with(Prefix);
      });
      ManifestNames.insert(Names.begin(), Names.end());
    }));
  } else if (std::get_if<list_segments>(&Command)) {
    Context.Platform->list(Segments,
                           OnList([Journal](std::vector<std::string> &Names) {
                             std::erase_if(Names, [&](const std::string &Name) {
                               return !segmentNumber(Journal, Name);
                             });
                           }));
  } else if (const auto *Read = std::get_if<read_snapshot>(&Command)) {
    std::string_view Plural =
        ManifestNames.contains(Read->Name) ? Manifests : Snapshots;
    Context.Platform->get(Plural, Read->Name, OnRead);
  } else if (const auto *ReadOne = std::get_if<read_segment>(&Command)) {
    Context.Platform->get(Segments, ReadOne->Name, OnRead);
  } else if (const auto *Create = std::get_if<create_segment>(&Command)) {
    Context.Platform->create(
        Segments, binaryObject(Create->Name, Create->Bytes),
        guarded([WithTakeover](const platform_reply &Reply) {
          WithTakeover([&](takeover &Takeover) {
            Takeover.created(createResultOf(Reply.Outcome), steadyNow());
          });
        }));
  } else if (const auto *Close = std::get_if<close_standby>(&Command)) {
    auto Reply = std::make_shared<std::optional<close_reply>>();
    Context.Links->send(
        Close->Standby.Host,
        {.Path = std::string(ClosePath),
         .Headers = {},
         .Body = pack(close_message{Close->Standby, Close->Journal})},
        {.OnMessage =
             [Reply](std::string_view Bytes) {
               *Reply = unpack<close_reply>(Bytes);
             },
         .OnEnd = guarded([WithTakeover, Reply](const peer_result &) {
           WithTakeover([&](takeover &Takeover) {
             std::vector<journal_entry> Entries;
             if (*Reply)
               Entries = std::move((*Reply)->Entries);
             Takeover.tail(Reply->has_value(), Entries, steadyNow());
           });
         })});
  } else if (const auto *Drop = std::get_if<standby_may_drop>(&Command)) {
    Context.Links->send(
        Drop->Standby.Host,
        {.Path = std::string(SealedPath),
         .Headers = {},
         .Body = pack(close_message{Drop->Standby, Drop->Journal})},
        {});
  }
}

void shard_keeper::finishTakeover(const host_life &Journal) {
  auto Found = Takeovers.find(Journal);
  takeover_row Row = std::move(Found->second);
  Takeovers.erase(Found);
  milliseconds Took = steadyNow() - Row.StartedAt;
  log::info("takeover complete",
            {{"journal", Journal.Host},
             {"shards", Row.Shards.size()},
             {"took_ms", Took.count()},
             {"tail_missing", Row.Takeover.tailMissing()}});
  Context.Metrics.observe("takeover_ms", "", static_cast<double>(Took.count()));
  if (Context.Recorder)
    Context.Recorder->repaired("host " + Journal.Host + " replaced, " +
                                   std::to_string(Row.Shards.size()) +
                                   " shards taken over by " + Context.self(),
                               wallNowMs(), Took);
  for (shard_takeover &Shard : Row.Takeover.takeResult()) {
    shard_row *Open = find(Shard.Shard, phase::Loading);
    if (Open && Shard.Elsewhere)
      Open->Phase = phase::Listing;
    else if (Open)
      writeFirst(Shard.Shard, std::move(Shard.Rows), std::move(Shard.Manifest));
  }
}

// -- Snapshots --------------------------------------------------------------

journal_position shard_keeper::positionNow() const {
  journal_position Position;
  Position.Journal = Context.life();
  Position.Segment = Writer.segmentAfter(Writer.committedRecord());
  Position.Sequence = Writer.committedRecord();
  return Position;
}

void shard_keeper::writeFirst(std::uint32_t Shard, state_rows TakenRows,
                              std::optional<snapshot_manifest> Known) {
  auto Found = Rows.find(Shard);
  if (Found == Rows.end())
    return;
  shard_row &Row = Found->second;
  Row.Phase = phase::Writing;
  Row.Rows = std::move(TakenRows);
  Row.Maker =
      std::make_unique<snapshot_maker>(Shard, Row.Fence, std::move(Known));
  writeSnapshot(Shard, Row.Rows, false, true, [this, Shard] {
    shard_row *Row = find(Shard, phase::Writing);
    if (!Row)
      return;
    Row->Phase = phase::Serving;
    Book.acquireShard(Shard, std::move(Row->Rows));
    Row->Rows = {};
    Context.Metrics.observe(
        "shard_acquire_ms", "",
        static_cast<double>((steadyNow() - Row->StartedAt).count()));
    // The map may have moved on while the snapshot was written.
    if (Context.Map.Shards[Shard].Holder != Context.self())
      Row->Phase = phase::Draining;
    Changed();
  });
}

void shard_keeper::writeSnapshot(std::uint32_t Shard, const state_rows &Source,
                                 bool Released, bool Acquires,
                                 std::function<void()> Kept) {
  shard_row &Row = Rows.find(Shard)->second;
  Row.SnapshotAt = Book.rowsTicket();
  Row.Kept = std::move(Kept);
  Row.Write = std::make_unique<snapshot_writer>(
      Shard, Row.Maker->make(Source, positionNow(), Released), Acquires);
  Row.Write->start();
  pumpWrite(Shard);
}

void shard_keeper::pumpWrite(std::uint32_t Shard) {
  auto Found = Rows.find(Shard);
  if (Found == Rows.end() || !Found->second.Write)
    return;
  for (const snapshot_command &Command : Found->second.Write->takeCommands())
    carryOut(Shard, Command);
}

void shard_keeper::carryOut(std::uint32_t Shard,
                            const snapshot_command &Command) {
  auto WithWriter = [this, Shard](auto Action) {
    auto Found = Rows.find(Shard);
    if (Found == Rows.end() || !Found->second.Write)
      return;
    Action(*Found->second.Write);
    pumpWrite(Shard);
  };
  if (const auto *Create = std::get_if<create_snapshot>(&Command)) {
    Context.Platform->create(Create->Manifest ? Manifests : Snapshots,
                             binaryObject(Create->Name, Create->Bytes),
                             guarded([WithWriter](const platform_reply &Reply) {
                               WithWriter([&](snapshot_writer &Write) {
                                 Write.created(createResultOf(Reply.Outcome),
                                               steadyNow());
                               });
                             }));
  } else if (const auto *Read = std::get_if<read_manifest>(&Command)) {
    Context.Platform->get(Manifests, Read->Name,
                          guarded([WithWriter](const platform_reply &Reply) {
                            WithWriter([&](snapshot_writer &Write) {
                              Write.read(readResultOf(Reply.Outcome),
                                         bytesOf(Reply.Object), steadyNow());
                            });
                          }));
  } else if (const auto *List = std::get_if<list_manifests>(&Command)) {
    std::string Prefix = snapshotPrefix(List->Shard);
    listManifests([WithWriter, Prefix](const platform_list_reply &Reply) {
      std::vector<std::string> Names;
      for (const json &Item : Reply.Items)
        if (std::string Name = nameOfObject(Item); Name.starts_with(Prefix))
          Names.push_back(std::move(Name));
      WithWriter([&](snapshot_writer &Write) {
        Write.listed(Reply.Outcome == platform_outcome::Ok, Names, steadyNow());
      });
    });
  } else if (std::get_if<snapshot_kept>(&Command)) {
    snapshotKept(Shard);
  } else if (std::get_if<snapshot_lost>(&Command)) {
    snapshotLost(Shard);
  }
}

void shard_keeper::snapshotKept(std::uint32_t Shard) {
  shard_row &Row = Rows.find(Shard)->second;
  Row.Write.reset();
  Row.Maker->kept();
  collectGarbage(Shard, Row);
  // The action may erase the row that holds it.
  std::function<void()> Kept = std::move(Row.Kept);
  Kept();
}

void shard_keeper::snapshotLost(std::uint32_t Shard) {
  log::warn("another host holds the shard", {{"shard", Shard}});
  Context.Metrics.add("shards_lost_total");
  phase Phase = Rows.find(Shard)->second.Phase;
  Rows.erase(Shard);
  if (Phase != phase::Writing)
    Book.loseShard(Shard, {steadyNow(), wallNowMs()});
  Changed();
  mapChanged();
}

void shard_keeper::collectGarbage(std::uint32_t Shard, shard_row &Row) {
  for (const std::string &Name : Row.Maker->takeGarbage()) {
    bool IsManifest = newestManifest({&Name, 1}, Shard).has_value();
    Context.Platform->remove(IsManifest ? Manifests : Snapshots, Name,
                             std::nullopt, [](const platform_reply &) {});
  }
}

void shard_keeper::snapshotDue() {
  // Snapshots only bound replay. They go one at a time and at a slow pace, so
  // that the writes of the journal, on which answers wait, come first.
  time_point Now = steadyNow();
  if (Now < SnapshotDue)
    return;
  SnapshotDue = Now + SnapshotPause;
  auto Every =
      static_cast<std::uint64_t>(Context.Settings.Journal.SnapshotEveryRecords);
  auto IsBusy = [](const auto &Row) { return Row.second.Write != nullptr; };
  if (std::any_of(Rows.begin(), Rows.end(), IsBusy))
    return;
  auto Oldest = Rows.end();
  for (auto Row = Rows.begin(); Row != Rows.end(); ++Row)
    if (Row->second.Phase == phase::Serving &&
        (Oldest == Rows.end() ||
         Row->second.SnapshotAt < Oldest->second.SnapshotAt))
      Oldest = Row;
  if (Oldest == Rows.end())
    return;
  if (Book.rowsTicket() >= Oldest->second.SnapshotAt + Every)
    writeSnapshot(Oldest->first, Book.rows(), false, false, [] {});
  collectSegments();
}

void shard_keeper::collectSegments() {
  // The latest segment stays: a successor would seal in the hole.
  std::uint64_t Oldest = std::min(
      Writer.latestSegment(), Writer.segmentAfter(Writer.committedRecord()));
  for (const auto &[Shard, Row] : Rows) {
    if (!Row.Maker || !Row.Maker->latest())
      return;
    Oldest = std::min(Oldest, Row.Maker->latest()->Position.Segment);
  }
  constexpr std::uint64_t MaxDeletes = 8;
  std::uint64_t Stop = std::min(Oldest, FirstSegment + MaxDeletes);
  for (; FirstSegment < Stop; ++FirstSegment)
    Context.Platform->remove(Segments,
                             segmentName(Context.life(), FirstSegment),
                             std::nullopt, [](const platform_reply &) {});
  Writer.forgetBefore(FirstSegment);
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
    // The map may have given the shard back meanwhile.
    mapChanged();
  });
}

} // namespace turmerichead::host_pvt
