/// \file
/// Acquires shards with their committed state, writes snapshots, and releases
/// shards.
#pragma once

#include "context_pvt.h"
#include "loop_pvt.h"
#include "turmerichead/state_book.h"
#include "turmerichead/state_journal.h"
#include "turmerichead/state_snapshot.h"
#include "turmerichead/state_takeover.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace turmerichead::host_pvt {

/// The shards of one incarnation of a host. A shard is served only after a
/// snapshot was stored that names the journal of this incarnation. So the
/// newest manifest of a shard always identifies the journal that continues it.
class shard_keeper {
public:
  /// \p Changed is called after a shard was acquired or released.
  shard_keeper(host_context &Context, program_book &Book,
               journal_writer &Writer, std::function<void()> Changed);

  /// Compares the map with the served shards and starts the changes.
  void mapChanged();
  /// Continues drains, retries and due snapshots. Must be called about every
  /// 50 ms.
  void tick();

  bool servesAll() const;
  bool empty() const { return Rows.empty(); }
  std::size_t serving() const;

private:
  enum class phase : std::uint8_t {
    Listing, ///< Its manifests must be listed.
    Waiting, ///< Its old holder is alive and must release it.
    Loading, ///< Its snapshot or the journal of its old holder is being read.
    Writing, ///< The snapshot of this incarnation is being written.
    Serving,
    Draining, ///< No new calls; those in flight are completed.
    Releasing ///< The last snapshot is being written.
  };
  struct shard_row {
    phase Phase = phase::Listing;
    std::uint64_t Fence = 0;
    state_rows Rows; ///< Until the shard is served.
    std::unique_ptr<snapshot_builder> Maker;
    std::unique_ptr<snapshot_writer> Write; ///< Set during a snapshot.
    std::function<void()> Kept;             ///< Called when it is stored.
    std::uint64_t SnapshotAt = 0;           ///< Ticket of the latest snapshot.
    time_point StartedAt;
  };
  struct takeover_row {
    takeover Takeover;
    std::vector<std::uint32_t> Shards;
    time_point StartedAt;
  };

  shard_row *find(std::uint32_t Shard, phase Expected);
  using list_callback = std::function<void(const platform_list_reply &Reply)>;
  /// Lists all manifests. Calls during a list share the next one, which
  /// contains everything that was created before these calls.
  void listManifests(list_callback Done);
  void startList();
  void takeManifests(const platform_list_reply &Reply);
  void startFrom(std::uint32_t Shard, const snapshot_manifest &Manifest);
  void loadReleased(std::uint32_t Shard, const snapshot_manifest &Manifest);
  bool livesOn(const host_incarnation &Life) const;

  void startTakeover(const host_incarnation &Journal,
                     std::vector<std::uint32_t> Shards);
  void pumpTakeover(const host_incarnation &Journal);
  void carryOut(const host_incarnation &Journal,
                const takeover_command &Command);
  void finishTakeover(const host_incarnation &Journal);

  void writeFirst(std::uint32_t Shard, state_rows Rows,
                  std::optional<snapshot_manifest> Known);
  void writeSnapshot(std::uint32_t Shard, const state_rows &Source,
                     bool Released, bool Acquires, std::function<void()> Kept);
  void pumpWrite(std::uint32_t Shard);
  void carryOut(std::uint32_t Shard, const snapshot_command &Command);
  void snapshotKept(std::uint32_t Shard);
  void snapshotLost(std::uint32_t Shard);
  void collectGarbage(std::uint32_t Shard, shard_row &Row);
  void collectSegments();
  void snapshotDue();
  void drain(std::uint32_t Shard, shard_row &Row);
  journal_position positionNow() const;

  /// Returns a guard for callbacks that may be called after the destruction of
  /// this object.
  template <typename Function> auto guarded(Function Action) {
    return [Alive = std::weak_ptr<int>(Token),
            Action = std::move(Action)](auto &&...Arguments) {
      if (!Alive.expired())
        Action(std::forward<decltype(Arguments)>(Arguments)...);
    };
  }

  host_context &Context;
  program_book &Book;
  journal_writer &Writer;
  std::function<void()> Changed;
  std::map<std::uint32_t, shard_row> Rows;
  std::map<host_incarnation, takeover_row> Takeovers;
  std::set<std::string> ManifestNames; ///< From the latest list.
  std::shared_ptr<int> Token = std::make_shared<int>(0);
  std::vector<list_callback> ListWaiters; ///< Waiting for the next list.
  bool ListOpen = false;
  bool Looking = false; ///< Listing for shards that are being acquired.
  time_point ListDue;
  std::uint64_t FirstSegment = 1; ///< Segments before it were deleted.
  time_point SnapshotDue;
};

} // namespace turmerichead::host_pvt
