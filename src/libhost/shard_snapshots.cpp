// Snapshots of shards: the first one of each holder, those that limit replay,
// and the deletion of obsolete segments.

#include "shards_pvt.h"

#include "platform_objects_pvt.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {
constexpr milliseconds SnapshotPause{1000};
} // namespace

journal_position shard_keeper::positionNow() const {
  journal_position Position;
  Position.Journal = Context.life();
  Position.Segment = Writer.firstSegmentAfter(Writer.committedRecordEnd());
  Position.Sequence = Writer.committedRecordEnd();
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
      std::make_unique<snapshot_builder>(Shard, Row.Fence, std::move(Known));
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
    // The map may have changed while the snapshot was written.
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
      Shard, Row.Maker->build(Source, positionNow(), Released), Acquires);
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
    Context.Platform->create(
        Create->Manifest ? ManifestsPlural : SnapshotsPlural,
        binaryObject(Create->Name, Create->Bytes),
        guarded([WithWriter](const platform_reply &Reply) {
          WithWriter([&](snapshot_writer &Write) {
            Write.created(createResultOf(Reply.Outcome), steadyNow());
          });
        }));
  } else if (const auto *Read = std::get_if<read_manifest>(&Command)) {
    Context.Platform->get(ManifestsPlural, Read->Name,
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
  } else if (std::get_if<snapshot_committed>(&Command)) {
    snapshotKept(Shard);
  } else if (std::get_if<snapshot_superseded>(&Command)) {
    snapshotLost(Shard);
  }
}

void shard_keeper::snapshotKept(std::uint32_t Shard) {
  shard_row &Row = Rows.find(Shard)->second;
  Row.Write.reset();
  Row.Maker->committed();
  collectGarbage(Shard, Row);
  // The action may erase its own row.
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
    Context.Platform->remove(IsManifest ? ManifestsPlural : SnapshotsPlural,
                             Name, std::nullopt, [](const platform_reply &) {});
  }
}

void shard_keeper::snapshotDue() {
  // These snapshots only limit replay. They are written one at a time and
  // slowly, because answers wait for the writes of the journal.
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
  // The latest segment is kept: without it, a successor would seal the journal
  // at the gap.
  std::uint64_t Oldest =
      std::min(Writer.latestSegment(),
               Writer.firstSegmentAfter(Writer.committedRecordEnd()));
  for (const auto &[Shard, Row] : Rows) {
    if (!Row.Maker || !Row.Maker->latest())
      return;
    Oldest = std::min(Oldest, Row.Maker->latest()->Position.Segment);
  }
  constexpr std::uint64_t MaxDeletes = 8;
  std::uint64_t Stop = std::min(Oldest, FirstSegment + MaxDeletes);
  for (; FirstSegment < Stop; ++FirstSegment)
    Context.Platform->remove(SegmentsPlural,
                             segmentName(Context.life(), FirstSegment),
                             std::nullopt, [](const platform_reply &) {});
  Writer.dropSegmentsBefore(FirstSegment);
}

} // namespace turmerichead::host_pvt
