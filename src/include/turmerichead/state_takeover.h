/// \file
/// Takes over shards of a holder that is gone: reads their snapshots, closes
/// the standbys, seals the journal and replays it.
///
/// A takeover is a step function. Its result is what was committed, with the
/// assumptions of state_rows::assumeHolderDied(). The successor keeps it in a
/// snapshot of its own before it serves.
#pragma once

#include "turmerichead/state_journal.h"
#include "turmerichead/state_snapshot.h"

namespace turmerichead {

/// List the names in the plural `snapshots` of a shard. Answer with listed().
struct list_snapshots {
  std::uint32_t Shard = 0;
};
/// Read a snapshot object. Answer with readObject().
struct read_snapshot {
  std::string Name;
};
/// Ask a standby for the tail of \c Journal; it refuses that journal from
/// then on. Answer with tail().
struct close_standby {
  host_life Standby;
  host_life Journal;
};
/// The journal is sealed on the platform; standbys may drop its entries.
struct standby_may_drop {
  host_life Standby;
  host_life Journal;
};
/// The takeover is complete: call result().
struct takeover_done {};

/// read_segment and create_segment are as in state_journal.h; answer them
/// with readObject() and created().
using takeover_command =
    std::variant<list_snapshots, read_snapshot, read_segment, create_segment,
                 close_standby, standby_may_drop, takeover_done>;

/// What one shard became.
struct shard_takeover {
  std::uint32_t Shard = 0;
  state_rows Rows;
  std::optional<snapshot_manifest> Manifest; ///< The one it started from.
};

class takeover {
public:
  /// \p Journal is the life of the holder that is gone, \p Shards those that
  /// \p Self takes; the shard map must already name \p Self.
  takeover(host_life Self, host_life Journal, std::vector<std::uint32_t> Shards,
           shard_of_root ShardOf);

  /// Begins; the first commands are ready afterwards.
  void start(time_point Now);
  /// Commands come one at a time; each input answers the latest one. An input
  /// with a failure makes the takeover try the same step again at nextDue().
  void listed(bool Success, std::span<const std::string> Names, time_point Now);
  void readObject(read_result Result, std::string_view Bytes, time_point Now);
  void created(create_result Result, time_point Now);
  /// \p Valid is false if the standby did not answer or lives another life.
  void tail(bool Valid, std::span<const journal_entry> Entries, time_point Now);
  void tick(time_point Now);
  std::optional<time_point> nextDue() const;

  std::vector<takeover_command> takeCommands();
  bool done() const { return Step == step::Done; }
  /// No standby answered in time: records kept only there are lost.
  bool tailMissing() const { return TailMissing; }
  std::vector<shard_takeover> takeResult();

private:
  enum class step : std::uint8_t {
    ListSnapshots,
    ReadManifest,
    ReadRows,
    ReadHistory,
    ReadSegment,
    CloseStandby,
    WriteTail,
    Seal,
    ReadTail,
    Done
  };
  void run(time_point Now);
  void again(time_point Now);
  void restart(time_point Now);
  void nextShard(time_point Now);
  void endOfSnapshots(time_point Now);
  void endOfSegments(time_point Now);
  void segmentRead(const journal_segment &Segment, time_point Now);
  void applyEntries(std::span<const journal_entry> Entries);
  void finish();

  host_life Self;
  host_life Journal;
  std::vector<std::uint32_t> Shards;
  shard_of_root ShardOf;
  step Step = step::ListSnapshots;
  std::size_t ShardIndex = 0;
  std::vector<shard_takeover> Results;
  std::vector<std::string> RowObjects;
  std::vector<std::string> HistoryObjects;
  std::string WantedManifest;
  std::uint64_t Segment = 1;
  std::map<std::uint64_t, std::string> Entries; ///< By sequence.
  std::vector<host_life> Standbys;
  std::size_t StandbyIndex = 0;
  std::uint32_t StandbyRounds = 0;
  bool TailKnown = false;
  bool TailMissing = false;
  std::vector<std::string> TailObjects;
  std::size_t TailIndex = 0;
  host_life Sealer;
  std::uint32_t SealTails = 0;
  bool Waiting = false;
  std::optional<time_point> RetryAt;
  std::vector<takeover_command> Commands;
};

} // namespace turmerichead
