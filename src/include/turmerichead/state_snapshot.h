/// \file
/// Snapshots of a shard: the rows of its programs, and the histories of
/// their calls in batches that are written once. No object exceeds
/// MaxObjectBytes. The manifest is created last, so a snapshot is either
/// whole or absent.
///
/// The manifests of a shard are numbered without gaps and created only if
/// absent. They decide who holds the shard: the newest one names the journal
/// that goes on from it, and a host serves a shard only after it has created
/// the next one. The shard map only says who should try. So two hosts that
/// read different maps can't both acquire a shard.
#pragma once

#include "turmerichead/state_journal.h"
#include "turmerichead/state_rows.h"

#include <optional>
#include <set>
#include <span>

namespace turmerichead {

/// Largest encoded object in bytes; its base64 text stays below 1 MB.
inline constexpr std::size_t MaxObjectBytes = std::size_t{700} << 10;

/// Where replay starts: the first segment of a journal not yet covered.
struct journal_position {
  host_incarnation Journal;
  std::uint64_t Segment = 1;
  std::uint64_t Sequence = 0; ///< The latest entry that is covered.
  MSGPACK_DEFINE(Journal, Segment, Sequence)
};

/// An object to be created in the plural `snapshots`, only if absent.
struct snapshot_object {
  std::string Name;
  std::string Bytes;
};

/// Calls that ended between two snapshots, in objects of their own.
struct history_batch {
  std::vector<std::string> Objects; ///< Pieces of one byte string, in order.
  std::vector<std::string> Roots;   ///< Whose calls it holds.
  MSGPACK_DEFINE(Objects, Roots)
};

/// The manifest of a snapshot.
struct snapshot_manifest {
  std::uint32_t Shard = 0;
  std::uint64_t Fence = 0;  ///< The shard map's version of its holder.
  std::uint64_t Number = 0; ///< From 1, without gaps.
  journal_position Position;
  bool Released = false;  ///< The holder has stopped: no journal to read.
  std::string InlineRows; ///< The rows, unless they are in RowObjects.
  std::vector<std::string> RowObjects;  ///< Pieces of one byte string.
  std::vector<history_batch> Histories; ///< In the order of their making.
  MSGPACK_DEFINE(Shard, Fence, Number, Position, Released, InlineRows,
                 RowObjects, Histories)
};

/// "<shard>.<number>.manifest", digits padded so that the names of a shard
/// sort by age.
std::string manifestName(std::uint32_t Shard, std::uint64_t Number);

/// What the names of all objects of \p Shard begin with.
std::string snapshotPrefix(std::uint32_t Shard);

/// The newest manifest of \p Shard among \p Names; std::nullopt if none.
std::optional<std::string> newestManifest(std::span<const std::string> Names,
                                          std::uint32_t Shard);

/// Makes the snapshots of one shard for one holder. Calls that have ended are
/// written to a history batch once; later snapshots refer to it.
///
///     snapshot_builder Maker(Shard, Fence, ManifestTakenOver);
///     auto Objects = Maker.build(Book.rows(), Position, false);
///     snapshot_writer Writer(Shard, std::move(Objects), false);
///     // on snapshot_committed:
///     Maker.committed();
///     for (const std::string &Name : Maker.takeGarbage())
///       // delete
///     // on snapshot_superseded: another host holds the shard
class snapshot_builder {
public:
  /// \p Known is the snapshot that was taken over, if there was one.
  snapshot_builder(std::uint32_t Shard, std::uint64_t Fence,
                   std::optional<snapshot_manifest> Known);

  /// The objects to create, the manifest last. Write them with a
  /// snapshot_writer, and call build() again only after it told the end.
  /// \p Rows may hold other shards, which are left out.
  std::vector<snapshot_object> build(const state_rows &Rows,
                                     const journal_position &Position,
                                     bool Released);
  /// All objects of the latest build() were created.
  void committed();
  /// Objects that the latest kept snapshot does not need.
  std::vector<std::string> takeGarbage();
  /// The latest snapshot that was kept.
  const std::optional<snapshot_manifest> &latest() const { return Latest; }

private:
  std::uint32_t Shard;
  std::uint64_t Fence;
  std::optional<snapshot_manifest> Latest;
  std::optional<snapshot_manifest> Pending;
  std::map<std::string, std::uint32_t> Written; ///< Calls, by program's life.
  std::map<std::string, std::uint32_t> PendingWritten;
  std::vector<std::string> Garbage;
};

/// Create an object in the plural `snapshots`, or `manifests` for a manifest,
/// only if it is absent. Answer with created().
struct create_snapshot {
  std::string Name;
  std::string Bytes;
  bool Manifest = false;
};
/// Read an object in the plural `manifests`. Answer with read().
struct read_manifest {
  std::string Name;
};
/// List the names in the plural `manifests` that begin with
/// snapshotPrefix(Shard). Answer with listed(). The list must show every
/// create that was acknowledged before it was asked for.
struct list_manifests {
  std::uint32_t Shard = 0;
};
/// The snapshot is on the platform; with \c Acquires the shard may be served.
struct snapshot_committed {};
/// Another host's manifest has this number: it holds the shard. Stop serving
/// (program_book::loseShard()) and look at the newest manifest again.
struct snapshot_superseded {};

using snapshot_command =
    std::variant<create_snapshot, read_manifest, list_manifests,
                 snapshot_committed, snapshot_superseded>;

/// Writes the objects of one snapshot, with one command at a time.
class snapshot_writer {
public:
  /// \p Acquires is true for the first snapshot of a tenure: it is kept only
  /// if its manifest is still the newest one after it was created.
  snapshot_writer(std::uint32_t Shard, std::vector<snapshot_object> Objects,
                  bool Acquires);

  void start();
  void created(create_result Result, time_point Now);
  void read(read_result Result, std::string_view Bytes, time_point Now);
  void listed(bool Success, std::span<const std::string> Names, time_point Now);
  /// A step that failed is tried again at nextDue().
  void tick(time_point Now);
  std::optional<time_point> nextDue() const { return RetryAt; }
  std::vector<snapshot_command> takeCommands();

private:
  enum class step : std::uint8_t { Create, Read, Verify, Done };
  void issue();
  void enterStep(step Next);
  void manifestCreated();
  void finish(bool Kept);

  std::uint32_t Shard;
  std::vector<snapshot_object> Objects;
  bool Acquires;
  step Step = step::Create;
  std::size_t Index = 0;
  std::optional<time_point> RetryAt;
  std::vector<snapshot_command> Commands;
};

/// std::nullopt with error Corrupt where \p Bytes are no manifest.
std::optional<snapshot_manifest> decodeManifest(std::string_view Bytes);

/// Names of the objects that loadSnapshot() needs, in its order.
std::vector<std::string> objectsOf(const snapshot_manifest &Manifest);

/// Rebuilds the rows from a manifest and the objects of objectsOf().
/// std::nullopt with error Corrupt if something does not decode.
std::optional<state_rows> loadSnapshot(const snapshot_manifest &Manifest,
                                       std::span<const std::string> Objects);

/// The segments of \p Journal among \p Names, and no others, that all of
/// \p Positions cover. The latest segment is never among them: its number
/// keeps a successor from sealing below it, and a seal must outlive the
/// writer that it fences.
std::vector<std::string>
coveredSegments(const host_incarnation &Journal,
                std::span<const std::string> Names,
                std::span<const journal_position> Positions);

/// Splits \p Bytes into pieces of at most MaxObjectBytes.
std::vector<std::string> splitBytes(std::string_view Bytes);

} // namespace turmerichead
