/// \file
/// Takes over the shards of a holder that has failed: reads their snapshots,
/// closes a standby, seals the journal and replays it.
///
/// A takeover is a step function without I/O. It issues one command at a time;
/// the answer leads to the next one. The result is the committed state with the
/// assumptions of state_rows::assumeHolderCrashed(). The successor commits it
/// in a snapshot of its own before it serves the shards.
///
/// Requirements on the caller:
/// - A list includes every object whose creation was acknowledged before the
///   list was requested.
/// - The result is written with a snapshot_writer that acquires. A shard,
///   including a new one, is served only after snapshot_committed. After
///   snapshot_superseded the takeover starts again.
/// - Only a host that is believed to have failed may be taken over: its whole
///   journal is sealed, unless it released all of the shards.
#pragma once

#include "turmerichead/state_journal.h"
#include "turmerichead/state_snapshot.h"

namespace turmerichead {

/// List the names of a shard's manifests, which begin with
/// snapshotPrefix(Shard), in the collection that the caller uses for them.
/// Answer with listed().
struct list_snapshots {
  std::uint32_t Shard = 0;
};
/// Read a manifest or another object of a snapshot. Answer with readObject().
struct read_snapshot {
  std::string Name;
};
/// List the names of a journal's objects in the collection `segments`. Answer
/// with listed().
struct list_segments {
  host_incarnation Journal;
};
/// Request the tail of \c Journal from a standby, which rejects entries of that
/// journal from then on (standby_store::close()). Answer with tail().
struct close_standby {
  host_incarnation Standby;
  host_incarnation Journal;
};
/// The journal is sealed, so the standby can drop its entries
/// (standby_store::sealed()). Not answered.
struct drop_standby_entries {
  host_incarnation Standby;
  host_incarnation Journal;
};
/// The takeover is complete: call takeResult(). Not answered.
struct takeover_done {};

/// read_segment and create_segment are defined in state_journal.h; answer them
/// with readObject() and created().
using takeover_command =
    std::variant<list_snapshots, read_snapshot, list_segments, read_segment,
                 create_segment, close_standby, drop_standby_entries,
                 takeover_done>;

/// The result of the takeover for one shard.
struct shard_takeover {
  std::uint32_t Shard = 0;
  state_rows Rows;
  /// The manifest from which the replay started.
  std::optional<snapshot_manifest> Manifest;
  /// Set if the newest manifest names another journal than the one given. The
  /// rows are incomplete then. Run a takeover of that journal for this shard,
  /// or wait until its host releases the shard if that host is running.
  std::optional<host_incarnation> OtherJournal;
};

/// The takeover of shards from one failed holder; see the file comment. Not
/// thread-safe.
class takeover {
public:
  /// \p Journal identifies the failed holder, \p Shards the shards that \p Self
  /// takes over. The newest manifest of each shard should name \p Journal.
  takeover(host_incarnation Self, host_incarnation Journal,
           std::vector<std::uint32_t> Shards, shard_of_root ShardOf);

  /// Starts the takeover.
  void start(time_point Now);
  void listed(bool Success, std::span<const std::string> Names, time_point Now);
  void readObject(read_result Result, std::string_view Bytes, time_point Now);
  void created(create_result Result, time_point Now);
  /// Answer to close_standby. \p Valid is false if the standby did not answer
  /// or runs in another incarnation.
  void tail(bool Valid, std::span<const journal_entry> Entries, time_point Now);
  /// Retries a failed step. Call it at nextDue().
  void tick(time_point Now);
  std::optional<time_point> nextDue() const { return RetryAt; }

  std::vector<takeover_command> takeCommands();
  bool done() const { return Step == step::Done; }
  /// True if no standby answered: entries that only the standbys held are lost.
  bool tailMissing() const { return TailMissing; }
  /// True if the replayed entries have a gap or one of them can't be decoded.
  /// Both indicate a fault.
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
  std::string Manifest; ///< Name of the manifest being read.
  /// Contents of the manifest's objects read so far.
  std::vector<std::string> Objects;
  std::uint64_t Segment = 1;    ///< The segment to be read or sealed.
  std::uint64_t Covered = 0;    ///< All snapshots cover the journal up to here.
  std::uint64_t EndSegment = 1; ///< First segment after the listed ones.
  std::map<std::uint64_t, journal_entry> Entries; ///< By sequence.
  std::vector<host_incarnation> Standbys;         ///< Of the latest segment.
  std::size_t StandbyIndex = 0;
  std::uint32_t StandbyRounds = 0;
  std::vector<snapshot_object> Tail; ///< Tail objects to be written.
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
