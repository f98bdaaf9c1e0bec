/// \file
/// Takes over shards of a holder that is gone: reads their snapshots, closes
/// a standby, seals the journal and replays it.
///
/// A takeover is a step function. It gives one command at a time; the input
/// that answers it leads to the next. Its result is what was committed, with
/// the assumptions of state_rows::assumeHolderDied(). The successor keeps it
/// in a snapshot of its own before it serves.
///
/// What the caller must keep to:
/// - A list shows every create that was acknowledged before it was asked for.
/// - The result is written with a snapshot_writer that acquires; only after
///   snapshot_committed is the shard served, a new one too. After
///   snapshot_superseded it starts again.
/// - Take over only from a host that is thought to be dead: its whole journal
///   is sealed, unless it released all of the shards.
#pragma once

#include "turmerichead/state_journal.h"
#include "turmerichead/state_snapshot.h"

namespace turmerichead {

/// List the names of a shard's manifests, in the plural where the caller
/// keeps them, that begin with snapshotPrefix(Shard). Answer with listed().
struct list_snapshots {
  std::uint32_t Shard = 0;
};
/// Read an object in the plural `snapshots`. Answer with readObject().
struct read_snapshot {
  std::string Name;
};
/// List the names in the plural `segments` of a journal. Answer with
/// listed().
struct list_segments {
  host_incarnation Journal;
};
/// Ask a standby for the tail of \c Journal; it refuses that journal from
/// then on (standby_store::close()). Answer with tail().
struct close_standby {
  host_incarnation Standby;
  host_incarnation Journal;
};
/// The journal is sealed: standbys may drop its entries
/// (standby_store::sealed()). Not answered.
struct drop_standby_entries {
  host_incarnation Standby;
  host_incarnation Journal;
};
/// The takeover is complete: call takeResult(). Not answered.
struct takeover_done {};

/// read_segment and create_segment are as in state_journal.h; answer them
/// with readObject() and created().
using takeover_command =
    std::variant<list_snapshots, read_snapshot, list_segments, read_segment,
                 create_segment, close_standby, drop_standby_entries,
                 takeover_done>;

/// What one shard became.
struct shard_takeover {
  std::uint32_t Shard = 0;
  state_rows Rows;
  std::optional<snapshot_manifest> Manifest; ///< The one it started from.
  /// The newest manifest names another journal than the one given. Rows are
  /// not complete: run a takeover of that journal for this shard, or wait for
  /// its release where that host lives.
  std::optional<host_incarnation> OtherJournal;
};

class takeover {
public:
  /// \p Journal is the life of the holder that is gone, \p Shards those that
  /// \p Self takes; each one's newest manifest should name \p Journal.
  takeover(host_incarnation Self, host_incarnation Journal,
           std::vector<std::uint32_t> Shards, shard_of_root ShardOf);

  /// Begins.
  void start(time_point Now);
  void listed(bool Success, std::span<const std::string> Names, time_point Now);
  void readObject(read_result Result, std::string_view Bytes, time_point Now);
  void created(create_result Result, time_point Now);
  /// \p Valid is false if the standby did not answer or lives another life.
  void tail(bool Valid, std::span<const journal_entry> Entries, time_point Now);
  /// A step that failed is tried again at nextDue().
  void tick(time_point Now);
  std::optional<time_point> nextDue() const { return RetryAt; }

  std::vector<takeover_command> takeCommands();
  bool done() const { return Step == step::Done; }
  /// No standby answered: entries that only they had are lost.
  bool tailMissing() const { return TailMissing; }
  /// Entries are missing in the middle, which must not happen.
  bool hasGap() const { return Gap; }
  std::vector<shard_takeover> takeResult();

private:
  enum class step : std::uint8_t {
    ListSnapshots,
    ReadManifest,
    ReadSnapshot,
    ListSegments,
    ReadSegment,
    CloseStandby,
    WriteTail,
    Seal,
    ReadAtSeal,
    VerifySeal,
    ReadTail,
    Done
  };
  void issue();
  void enterStep(step Next);
  void retryLater(time_point Now);
  void restart(time_point Now);
  void shardLoaded(state_rows Rows);
  void startReplay();
  void segmentRead(const journal_segment &Segment);
  void sealFound(const journal_segment &Seal);
  void prepareTail(std::span<const journal_entry> Tail);
  void finish();
  void applyRecord(std::string_view Bytes, std::uint64_t Sequence);

  host_incarnation Self;
  host_incarnation Journal;
  std::vector<std::uint32_t> Shards;
  shard_of_root ShardOf;
  step Step = step::ListSnapshots;
  std::vector<shard_takeover> Results;
  std::string Manifest;             ///< The name being read.
  std::vector<std::string> Objects; ///< Of the manifest, as read.
  std::uint64_t Segment = 1;        ///< To be read or sealed.
  std::uint64_t Covered = 0;        ///< Sequence that all snapshots cover.
  std::uint64_t EndSegment = 1;     ///< The first one not listed.
  std::map<std::uint64_t, journal_entry> Entries; ///< By sequence.
  std::vector<host_incarnation> Standbys;         ///< Of the latest segment.
  std::size_t StandbyIndex = 0;
  std::uint32_t StandbyRounds = 0;
  std::vector<snapshot_object> Tail; ///< To be written.
  std::vector<std::string> TailNames;
  std::size_t TailIndex = 0;
  std::uint32_t TailsMade = 0;
  std::string SealBytes;
  bool TailMissing = false;
  bool Gap = false;
  std::optional<time_point> RetryAt;
  std::vector<takeover_command> Commands;
};

} // namespace turmerichead
