#include "turmerichead/state_snapshot.h"

#include "turmerichead/codec.h"
#include "turmerichead/error.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace turmerichead {

namespace {

constexpr std::size_t MaxInlineBytes = std::size_t{300} << 10;
// With this many batches, the next snapshot writes all bodies again in a single
// batch.
constexpr std::size_t MaxBatches = 16;
constexpr milliseconds RetryInterval{200};
constexpr std::size_t MaxDepth = 16;
constexpr std::size_t MaxItems = std::size_t{1} << 20;
constexpr std::string_view ManifestSuffix = ".manifest";

// The part of a call's row that is stored in a history batch.
struct history_entry {
  std::string Program;
  std::int64_t WallStartMs = 0; ///< Distinguishes programs that used the same
                                ///< name one after the other.
  std::uint32_t Number = 0;
  std::string Delta;
  std::string Body;
  MSGPACK_DEFINE(Program, WallStartMs, Number, Delta, Body)
};

template <typename Content>
std::optional<Content> unpackBounded(std::string_view Bytes) {
  return unpackWithin<Content>(
      Bytes, {MaxItems, MaxItems, Bytes.size(), Bytes.size(), 0, MaxDepth},
      "snapshot");
}

std::string programKey(const root_row &Root, const std::string &Program) {
  return Program + "@" + std::to_string(Root.WallStartMs);
}

std::string zeroPadded(std::uint64_t Value, int Digits) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%0*llu", Digits,
                static_cast<unsigned long long>(Value));
  return Text;
}

// The names of pieces contain the writer, because two hosts may try to write a
// snapshot with the same number.
std::string objectPrefix(const snapshot_manifest &Manifest) {
  const host_incarnation &Writer = Manifest.Position.Journal;
  return snapshotPrefix(Manifest.Shard) + zeroPadded(Manifest.Number, 12) +
         "." + Writer.Host + "." + std::to_string(Writer.Incarnation) + "." +
         std::to_string(Manifest.Fence);
}

// Splits \p Bytes, adds the pieces to \p Objects and returns their names.
std::vector<std::string> addPieces(std::vector<snapshot_object> &Objects,
                                   const std::string &ObjectPrefix,
                                   std::string_view Bytes) {
  std::vector<std::string> Names;
  for (std::string &Piece : splitBytes(Bytes)) {
    Names.push_back(ObjectPrefix + std::to_string(Names.size()));
    Objects.push_back({Names.back(), std::move(Piece)});
  }
  return Names;
}

// Moves the bodies of a program's ended calls out of its row. Bodies of the
// first \p AlreadyWritten calls are in older batches and are only removed.
void extractBodies(const root_row &Root, program_row &Program,
                   std::uint32_t AlreadyWritten,
                   std::vector<history_entry> &Out) {
  for (std::uint32_t I = 0; I < Program.EndedCalls; ++I) {
    call_row &Call = Program.Calls[I];
    history_entry Entry{Program.Path, Root.WallStartMs, I + 1,
                        std::exchange(Call.Call.Delta, {}),
                        std::exchange(Call.Body, {})};
    if (I >= AlreadyWritten)
      Out.push_back(std::move(Entry));
  }
}

} // namespace

std::vector<std::string> splitBytes(std::string_view Bytes) {
  std::vector<std::string> Out;
  for (std::size_t At = 0; At < Bytes.size(); At += MaxObjectBytes)
    Out.emplace_back(Bytes.substr(At, MaxObjectBytes));
  return Out;
}

// -- Names --

std::string snapshotPrefix(std::uint32_t Shard) {
  return zeroPadded(Shard, 6) + ".";
}

std::string manifestName(std::uint32_t Shard, std::uint64_t Number) {
  return snapshotPrefix(Shard) + zeroPadded(Number, 12) +
         std::string(ManifestSuffix);
}

std::optional<std::string> newestManifest(std::span<const std::string> Names,
                                          std::uint32_t Shard) {
  std::string Prefix = snapshotPrefix(Shard);
  std::optional<std::string> Newest;
  for (const std::string &Name : Names)
    if (Name.starts_with(Prefix) && Name.ends_with(ManifestSuffix) &&
        (!Newest || *Newest < Name))
      Newest = Name;
  return Newest;
}

// -- Building --

snapshot_builder::snapshot_builder(std::uint32_t Shard, std::uint64_t Fence,
                                   std::optional<snapshot_manifest> Previous)
    : Shard(Shard), Fence(Fence), Latest(std::move(Previous)) {}

std::vector<snapshot_object>
snapshot_builder::build(const state_rows &Rows,
                        const journal_position &Position, bool Released) {
  snapshot_manifest Manifest;
  Manifest.Shard = Shard;
  Manifest.Fence = Fence;
  Manifest.Number = Latest ? Latest->Number + 1 : 1;
  Manifest.Position = Position;
  Manifest.Released = Released;
  // The first snapshot of a holder writes everything, because the holder does
  // not know which calls the batches of its predecessor contain.
  bool WriteAll =
      Written.empty() || !Latest || Latest->Histories.size() >= MaxBatches;
  if (!WriteAll)
    Manifest.Histories = Latest->Histories;
  PendingWritten.clear();

  std::vector<root_row> Roots;
  std::set<std::string> RootsWithBodies;
  std::vector<history_entry> Entries;
  history_batch Batch;
  for (const auto &[Name, Row] : Rows.roots()) {
    if (Row.Shard != Shard)
      continue;
    Roots.push_back(Row);
    if (Row.BodiesDropped)
      continue;
    RootsWithBodies.insert(Name);
    std::size_t Before = Entries.size();
    for (auto &[Path, Program] : Roots.back().Programs) {
      std::string Key = programKey(Row, Path);
      auto Found = Written.find(Key);
      bool Known = !WriteAll && Found != Written.end();
      extractBodies(Row, Program, Known ? Found->second : 0, Entries);
      PendingWritten[Key] = Program.EndedCalls;
    }
    if (Entries.size() > Before)
      Batch.Roots.push_back(Name);
  }

  std::string ObjectPrefix = objectPrefix(Manifest);
  std::vector<snapshot_object> Objects;
  std::erase_if(Manifest.Histories, [&](const history_batch &Old) {
    return std::none_of(Old.Roots.begin(), Old.Roots.end(), [&](const auto &R) {
      return RootsWithBodies.contains(R);
    });
  });
  if (!Entries.empty()) {
    Batch.Objects = addPieces(Objects, ObjectPrefix + ".h", pack(Entries));
    Manifest.Histories.push_back(std::move(Batch));
  }
  std::string RowBytes = pack(Roots);
  if (RowBytes.size() <= MaxInlineBytes)
    Manifest.InlineRows = std::move(RowBytes);
  else
    Manifest.RowObjects = addPieces(Objects, ObjectPrefix + ".r", RowBytes);
  Objects.push_back({manifestName(Shard, Manifest.Number), pack(Manifest)});
  Pending = std::move(Manifest);
  return Objects;
}

void snapshot_builder::committed() {
  if (!Pending)
    return;
  std::vector<std::string> Needed = objectsOf(*Pending);
  auto Unneeded = [&](const std::string &Name) {
    return std::find(Needed.begin(), Needed.end(), Name) == Needed.end();
  };
  if (Latest) {
    for (const std::string &Name : objectsOf(*Latest))
      if (Unneeded(Name))
        Garbage.push_back(Name);
    Garbage.push_back(manifestName(Shard, Latest->Number));
  }
  Latest = std::exchange(Pending, std::nullopt);
  Written = std::exchange(PendingWritten, {});
}

std::vector<std::string> snapshot_builder::takeGarbage() {
  return std::exchange(Garbage, {});
}

// -- Writing --

snapshot_writer::snapshot_writer(std::uint32_t Shard,
                                 std::vector<snapshot_object> Objects,
                                 bool Acquires)
    : Shard(Shard), Objects(std::move(Objects)), Acquires(Acquires) {}

void snapshot_writer::start() { issue(); }

void snapshot_writer::enterStep(step Next) {
  Step = Next;
  issue();
}

void snapshot_writer::issue() {
  RetryAt.reset();
  const snapshot_object &Object = Objects[Index];
  bool IsManifest = Index + 1 == Objects.size();
  if (Step == step::Create)
    Commands.emplace_back(
        create_snapshot{Object.Name, Object.Bytes, IsManifest});
  else if (Step == step::Read)
    Commands.emplace_back(read_manifest{Object.Name});
  else if (Step == step::Verify)
    Commands.emplace_back(list_manifests{Shard});
}

void snapshot_writer::created(create_result Result, time_point Now) {
  if (Step != step::Create)
    return;
  if (Result == create_result::Failed) {
    RetryAt = Now + RetryInterval;
    return;
  }
  if (Index + 1 < Objects.size()) {
    // Only this writer uses the name. If the object exists, an earlier attempt
    // whose answer was lost has created it.
    ++Index;
    return issue();
  }
  if (Result == create_result::Exists)
    return enterStep(step::Read);
  manifestCreated();
}

void snapshot_writer::read(read_result Result, std::string_view Bytes,
                           time_point Now) {
  if (Step != step::Read)
    return;
  if (Result == read_result::Failed) {
    RetryAt = Now + RetryInterval;
    return;
  }
  // If the manifest is absent, the writer of a newer one has deleted it.
  if (Result == read_result::Absent || Bytes != Objects[Index].Bytes)
    return finish(false);
  manifestCreated();
}

void snapshot_writer::manifestCreated() {
  if (Acquires)
    return enterStep(step::Verify);
  finish(true);
}

// The number may have been free only because old manifests were deleted. The
// newest manifest is never deleted, so in that case there is a later one.
void snapshot_writer::listed(bool Success, std::span<const std::string> Names,
                             time_point Now) {
  if (Step != step::Verify)
    return;
  if (!Success) {
    RetryAt = Now + RetryInterval;
    return;
  }
  auto Newest = newestManifest(Names, Shard);
  finish(Newest && *Newest == Objects[Index].Name);
}

void snapshot_writer::finish(bool Committed) {
  Step = step::Done;
  if (Committed)
    Commands.emplace_back(snapshot_committed{});
  else
    Commands.emplace_back(snapshot_superseded{});
}

void snapshot_writer::tick(time_point Now) {
  if (RetryAt && Now >= *RetryAt)
    issue();
}

std::vector<snapshot_command> snapshot_writer::takeCommands() {
  return std::exchange(Commands, {});
}

// -- Loading --

std::optional<snapshot_manifest> decodeManifest(std::string_view Bytes) {
  return unpackBounded<snapshot_manifest>(Bytes);
}

std::vector<std::string> objectsOf(const snapshot_manifest &Manifest) {
  std::vector<std::string> Names = Manifest.RowObjects;
  for (const history_batch &Batch : Manifest.Histories)
    Names.insert(Names.end(), Batch.Objects.begin(), Batch.Objects.end());
  return Names;
}

std::optional<state_rows> loadSnapshot(const snapshot_manifest &Manifest,
                                       std::span<const std::string> Objects) {
  if (Objects.size() != objectsOf(Manifest).size())
    return fail(error_code::Corrupt, "snapshot: an object is missing");
  std::string RowBytes = Manifest.InlineRows;
  std::size_t Next = 0;
  for (; Next < Manifest.RowObjects.size(); ++Next)
    RowBytes += Objects[Next];
  auto Roots = unpackBounded<std::vector<root_row>>(RowBytes);
  if (!Roots)
    return std::nullopt;
  state_rows Rows;
  for (root_row &Root : *Roots)
    Rows.roots()[Root.Root] = std::move(Root);
  for (const history_batch &Batch : Manifest.Histories) {
    std::string Bytes;
    for (std::size_t I = 0; I < Batch.Objects.size(); ++I)
      Bytes += Objects[Next++];
    auto Entries = unpackBounded<std::vector<history_entry>>(Bytes);
    if (!Entries)
      return std::nullopt;
    for (history_entry &Entry : *Entries) {
      root_row *Root = Rows.findRoot(Entry.Program);
      if (!Root || Root->BodiesDropped ||
          Root->WallStartMs != Entry.WallStartMs)
        continue;
      auto Program = Root->Programs.find(Entry.Program);
      if (Program == Root->Programs.end() || Entry.Number == 0 ||
          Entry.Number > Program->second.Calls.size())
        continue;
      call_row &Call = Program->second.Calls[Entry.Number - 1];
      Call.Call.Delta = std::move(Entry.Delta);
      Call.Body = std::move(Entry.Body);
    }
  }
  return Rows;
}

// -- Garbage --

std::vector<std::string>
coveredSegments(const host_incarnation &Journal,
                std::span<const std::string> Names,
                std::span<const journal_position> Positions) {
  std::uint64_t Needed = UINT64_MAX;
  for (const journal_position &Position : Positions)
    if (Position.Journal == Journal)
      Needed = std::min(Needed, Position.Segment);
  std::uint64_t Latest = 0;
  for (const std::string &Name : Names)
    Latest = std::max(Latest, segmentNumber(Journal, Name).value_or(0));
  std::vector<std::string> Out;
  for (const std::string &Name : Names) {
    auto Number = segmentNumber(Journal, Name);
    if (Number && *Number < Needed && *Number < Latest)
      Out.push_back(Name);
  }
  return Out;
}

} // namespace turmerichead
