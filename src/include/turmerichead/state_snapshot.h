/// \file
/// Snapshots of a shard: the rows of its programs, and the histories of
/// their calls in chunks that are written once. No object exceeds
/// MaxObjectBytes. The manifest is created last, so a snapshot is either
/// whole or absent.
#pragma once

#include "turmerichead/state_rows.h"

#include <set>
#include <span>

namespace turmerichead {

/// Largest encoded object in bytes; its base64 text stays below 1 MB.
inline constexpr std::size_t MaxObjectBytes = std::size_t{700} << 10;

/// Where replay starts: the first segment of a journal not yet covered.
struct journal_position {
  host_life Journal;
  std::uint64_t Segment = 1;
  std::uint64_t Sequence = 0; ///< The latest entry that is covered.
  MSGPACK_DEFINE(Journal, Segment, Sequence)
};

/// An object to be created in the plural `snapshots`, only if absent.
struct snapshot_object {
  std::string Name;
  std::string Bytes;
};

/// The manifest of a snapshot.
struct snapshot_manifest {
  std::uint32_t Shard = 0;
  std::uint64_t Fence = 0;  ///< The shard map's version of its holder.
  std::uint64_t Number = 0; ///< Rises within a fence.
  journal_position Position;
  bool Released = false; ///< The holder has stopped: no journal to read.
  std::vector<std::string> RowObjects;
  std::vector<std::string> HistoryObjects; ///< In the order of their making.
  MSGPACK_DEFINE(Shard, Fence, Number, Position, Released, RowObjects,
                 HistoryObjects)
};

/// "<shard>.<fence>.<number>", digits padded so that names sort by age.
std::string manifestName(std::uint32_t Shard, std::uint64_t Fence,
                         std::uint64_t Number);

/// The newest manifest of \p Shard among \p Names (as listed); std::nullopt
/// with error NotFound if there is none.
std::optional<std::string> newestManifest(std::span<const std::string> Names,
                                          std::uint32_t Shard);

/// Makes the snapshots of one shard for one holder. Calls that have ended are
/// written to a history chunk once; later snapshots refer to it.
///
///     snapshot_maker Maker(Shard, Fence, {});
///     auto Objects = Maker.make(Book.rows(), Position, false);
///     // create Objects in this order, then Maker.kept()
class snapshot_maker {
public:
  /// \p Known are the history objects of the snapshot that was taken over.
  snapshot_maker(std::uint32_t Shard, std::uint64_t Fence,
                 std::optional<snapshot_manifest> Known);

  /// The objects to create, the manifest last. If any create fails for good,
  /// call make() again later; names are not reused.
  std::vector<snapshot_object>
  make(const state_rows &Rows, const journal_position &Position, bool Released);
  /// All objects of the latest make() were created.
  void kept();
  /// Objects that no newer snapshot needs, to be deleted.
  std::vector<std::string> takeGarbage();
  /// The position of the latest snapshot that was kept.
  const std::optional<snapshot_manifest> &latest() const { return Latest; }

private:
  struct written_call {
    std::string Program;
    std::uint32_t Number = 0;
  };
  std::uint32_t Shard;
  std::uint64_t Fence;
  std::uint64_t NextNumber = 1;
  std::optional<snapshot_manifest> Latest;
  std::optional<snapshot_manifest> Making;
  /// Which calls are in which history object.
  std::map<std::string, std::vector<written_call>> Histories;
  std::map<std::string, std::uint32_t> WrittenCalls; ///< By program.
  std::map<std::string, std::uint32_t> MakingCalls;
  std::vector<std::string> Garbage;
};

std::optional<snapshot_manifest> decodeManifest(std::string_view Bytes);

/// Rebuilds the rows of a snapshot from its objects, in the manifest's order.
/// std::nullopt with error Corrupt if one is missing or does not decode.
std::optional<state_rows>
loadSnapshot(const snapshot_manifest &Manifest,
             std::span<const std::string> RowObjects,
             std::span<const std::string> HistoryObjects);

/// The segments of \p Journal among \p Names that all of \p Positions cover.
/// A seal is never among them: it must outlive the writer it fences.
std::vector<std::string>
coveredSegments(const host_life &Journal, std::span<const std::string> Names,
                std::span<const journal_position> Positions);

} // namespace turmerichead
