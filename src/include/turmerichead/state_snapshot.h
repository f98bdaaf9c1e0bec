/// \file
/// Snapshots of a shard: the rows of its programs, and the bodies of their
/// calls in history batches that are written once. No object exceeds
/// MaxObjectBytes. The manifest is created last, so a snapshot is either
/// complete or absent.
///
/// The manifests of a shard are numbered without gaps and created only if
/// absent. They decide which host holds the shard: the newest manifest names
/// the journal that continues from it, and a host serves a shard only after it
/// has created the next manifest. The shard map only says which host should
/// try. Therefore two hosts that read different versions of the map can't both
/// acquire a shard.
#pragma once

#include "turmerichead/state_journal.h"
#include "turmerichead/state_rows.h"

#include <optional>
#include <set>
#include <span>

namespace turmerichead {

/// Largest encoded object in bytes; its base64 text stays below 1 MB.
inline constexpr std::size_t MaxObjectBytes = std::size_t{700} << 10;

/// Where the replay of a journal starts.
struct journal_position {
  host_incarnation Journal;
  std::uint64_t Segment = 1;
  std::uint64_t Sequence = 0; ///< The latest entry that the snapshot covers.
  MSGPACK_DEFINE(Journal, Segment, Sequence)
};

/// An object to be created in the collection `snapshots` if it does not exist.
struct snapshot_object {
  std::string Name;
  std::string Bytes;
};

/// The bodies of calls that ended between two snapshots, in objects of their
/// own.
struct history_batch {
  std::vector<std::string> Objects; ///< Pieces of one byte string, in order.
  std::vector<std::string> Roots;   ///< Roots whose calls the batch holds.
  MSGPACK_DEFINE(Objects, Roots)
};

/// The manifest of a snapshot.
struct snapshot_manifest {
  std::uint32_t Shard = 0;
  /// Version of the shard map under which the host holds the shard.
  std::uint64_t Fence = 0;
  std::uint64_t Number = 0; ///< From 1, without gaps.
  journal_position Position;
  /// The holder handed the shard over: no journal needs replay.
  bool Released = false;
  std::string InlineRows; ///< The encoded rows, unless they are in RowObjects.
  std::vector<std::string> RowObjects;  ///< Pieces of one byte string.
  std::vector<history_batch> Histories; ///< In order of creation.
  MSGPACK_DEFINE(Shard, Fence, Number, Position, Released, InlineRows,
                 RowObjects, Histories)
};

/// Returns "<shard>.<number>.manifest". The numbers are zero-padded so that the
/// names of a shard sort by age.
std::string manifestName(std::uint32_t Shard, std::uint64_t Number);

/// Returns the prefix of the names of all objects of \p Shard.
std::string snapshotPrefix(std::uint32_t Shard);

/// Returns the newest manifest of \p Shard among \p Names; std::nullopt if
/// there is none.
std::optional<std::string> newestManifest(std::span<const std::string> Names,
                                          std::uint32_t Shard);

/// Builds the snapshots of one shard for one holder. The bodies of calls that
/// have ended are written to a history batch once; later snapshots refer to it.
///
///     snapshot_builder Builder(Shard, Fence, ManifestTakenOver);
///     auto Objects = Builder.build(Book.rows(), Position, false);
///     snapshot_writer Writer(Shard, std::move(Objects), false);
///     // on snapshot_committed:
///     Builder.committed();
///     for (const std::string &Name : Builder.takeGarbage())
///       // delete
///     // on snapshot_superseded: another host holds the shard
class snapshot_builder {
public:
  /// \p Previous is the manifest that was taken over, if there was one.
  snapshot_builder(std::uint32_t Shard, std::uint64_t Fence,
                   std::optional<snapshot_manifest> Previous);

  /// Returns the objects to create, the manifest last. Write them with a
  /// snapshot_writer, and call build() again only after that writer has
  /// finished. Rows of other shards in \p Rows are ignored.
  std::vector<snapshot_object> build(const state_rows &Rows,
                                     const journal_position &Position,
                                     bool Released);
  /// Reports that all objects of the latest build() were created.
  void committed();
  /// Returns the names of objects that the latest committed snapshot no longer
  /// needs, to be deleted.
  std::vector<std::string> takeGarbage();
  /// The manifest of the latest committed snapshot.
  const std::optional<snapshot_manifest> &latest() const { return Latest; }

private:
  std::uint32_t Shard;
  std::uint64_t Fence;
  std::optional<snapshot_manifest> Latest;
  std::optional<snapshot_manifest> Pending;
  /// Ended calls that are in batches, by programKey().
  std::map<std::string, std::uint32_t> Written;
  std::map<std::string, std::uint32_t> PendingWritten;
  std::vector<std::string> Garbage;
};

/// Create an object in the collection `snapshots`, or `manifests` for a
/// manifest, if it does not exist. Answer with created().
struct create_snapshot {
  std::string Name;
  std::string Bytes;
  bool Manifest = false;
};
/// Read an object in the collection `manifests`. Answer with read().
struct read_manifest {
  std::string Name;
};
/// List the names in the collection `manifests` that begin with
/// snapshotPrefix(Shard). Answer with listed(). The list must include every
/// object whose creation was acknowledged before the list was requested.
struct list_manifests {
  std::uint32_t Shard = 0;
};
/// The snapshot is complete on the platform. If the writer was constructed with
/// \c Acquires, the shard may be served now.
struct snapshot_committed {};
/// Another host created the manifest with this number or a newer one, so it
/// holds the shard. Stop serving the shard (program_book::loseShard()) and read
/// the newest manifest again.
struct snapshot_superseded {};

using snapshot_command =
    std::variant<create_snapshot, read_manifest, list_manifests,
                 snapshot_committed, snapshot_superseded>;

/// Writes the objects of one snapshot, with one command at a time. Not
/// thread-safe.
class snapshot_writer {
public:
  /// \p Acquires must be true for the first snapshot after a takeover. Such a
  /// snapshot is committed only if its manifest is still the newest one after
  /// it was created.
  snapshot_writer(std::uint32_t Shard, std::vector<snapshot_object> Objects,
                  bool Acquires);

  void start();
  void created(create_result Result, time_point Now);
  void read(read_result Result, std::string_view Bytes, time_point Now);
  void listed(bool Success, std::span<const std::string> Names, time_point Now);
  /// Retries a failed step. Call it at nextDue().
  void tick(time_point Now);
  std::optional<time_point> nextDue() const { return RetryAt; }
  std::vector<snapshot_command> takeCommands();

private:
  enum class step : std::uint8_t { Create, Read, Verify, Done };
  void issue();
  void enterStep(step Next);
  void manifestCreated();
  void finish(bool Committed);

  std::uint32_t Shard;
  std::vector<snapshot_object> Objects;
  bool Acquires;
  step Step = step::Create;
  std::size_t Index = 0;
  std::optional<time_point> RetryAt;
  std::vector<snapshot_command> Commands;
};

/// Returns std::nullopt with error Corrupt if \p Bytes are not a manifest.
std::optional<snapshot_manifest> decodeManifest(std::string_view Bytes);

/// Returns the names of the objects that loadSnapshot() needs, in its order.
std::vector<std::string> objectsOf(const snapshot_manifest &Manifest);

/// Rebuilds the rows from a manifest and the contents of the objects of
/// objectsOf(). Returns std::nullopt with error Corrupt if an object is missing
/// or can't be decoded.
std::optional<state_rows> loadSnapshot(const snapshot_manifest &Manifest,
                                       std::span<const std::string> Objects);

/// Returns the segments of \p Journal among \p Names that all of \p Positions
/// cover and that can be deleted. The latest segment is never among them: its
/// number prevents a successor from creating a seal below it, and a seal must
/// exist for as long as the writer that it fences.
std::vector<std::string>
coveredSegments(const host_incarnation &Journal,
                std::span<const std::string> Names,
                std::span<const journal_position> Positions);

/// Splits \p Bytes into pieces of at most MaxObjectBytes.
std::vector<std::string> splitBytes(std::string_view Bytes);

} // namespace turmerichead
