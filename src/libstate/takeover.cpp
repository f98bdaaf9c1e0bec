#include "turmerichead/state_takeover.h"

#include <algorithm>
#include <utility>

namespace turmerichead {

namespace {

constexpr milliseconds RetryInterval{250};
// How often all standbys are asked before their entries are considered lost.
constexpr std::uint32_t MaxStandbyRounds = 20;

// A shard without a manifest was never served.
bool needsReplay(const shard_takeover &Shard) {
  return Shard.Manifest && !Shard.Manifest->Released && !Shard.OtherJournal;
}

} // namespace

takeover::takeover(host_incarnation Self, host_incarnation Journal,
                   std::vector<std::uint32_t> Shards, shard_of_root ShardOf)
    : Self(std::move(Self)), Journal(std::move(Journal)),
      Shards(std::move(Shards)), ShardOf(std::move(ShardOf)) {}

// -- Steps --

void takeover::start(time_point) {
  if (Shards.empty())
    return finish();
  enterStep(step::ListSnapshots);
}

void takeover::enterStep(step Next) {
  Step = Next;
  issue();
}

// Issues the command of the current step.
void takeover::issue() {
  RetryAt.reset();
  switch (Step) {
  case step::ListSnapshots:
    Commands.emplace_back(list_snapshots{Shards[Results.size()]});
    break;
  case step::ReadManifest:
    Commands.emplace_back(read_snapshot{Manifest});
    break;
  case step::ReadSnapshot:
    Commands.emplace_back(
        read_snapshot{objectsOf(*Results.back().Manifest)[Objects.size()]});
    break;
  case step::ListSegments:
  case step::VerifySeal:
    Commands.emplace_back(list_segments{Journal});
    break;
  case step::ReadSegment:
  case step::ReadAtSeal:
    Commands.emplace_back(read_segment{segmentName(Journal, Segment)});
    break;
  case step::CloseStandby:
    Commands.emplace_back(close_standby{Standbys[StandbyIndex], Journal});
    break;
  case step::WriteTail:
    Commands.emplace_back(
        create_segment{Tail[TailIndex].Name, Tail[TailIndex].Bytes});
    break;
  case step::Seal:
    Commands.emplace_back(
        create_segment{segmentName(Journal, Segment), SealBytes});
    break;
  case step::ReadTail:
    Commands.emplace_back(read_segment{TailNames[TailIndex]});
    break;
  case step::Done:
    Commands.emplace_back(takeover_done{});
    break;
  }
}

void takeover::retryLater(time_point Now) { RetryAt = Now + RetryInterval; }

// Starts again after a delay. Usually an object was deleted between two reads
// because its writer has made a newer snapshot.
void takeover::restart(time_point Now) {
  Results.clear();
  Objects.clear();
  Entries.clear();
  Standbys.clear();
  Step = step::ListSnapshots;
  retryLater(Now);
}

void takeover::tick(time_point Now) {
  if (RetryAt && Now >= *RetryAt)
    issue();
}

// -- Snapshots --

void takeover::listed(bool Success, std::span<const std::string> Names,
                      time_point Now) {
  if (!Success)
    return retryLater(Now);
  if (Step == step::ListSegments) {
    EndSegment = 1;
    for (const std::string &Name : Names)
      if (auto Number = segmentNumber(Journal, Name))
        EndSegment = std::max(EndSegment, *Number + 1);
    // The latest segment is always read, because it names the standbys.
    std::uint64_t Latest = EndSegment > 1 ? EndSegment - 1 : 1;
    Segment = std::min(Segment, Latest);
    return enterStep(step::ReadSegment);
  }
  if (Step == step::VerifySeal) {
    for (const std::string &Name : Names)
      if (segmentNumber(Journal, Name).value_or(0) > Segment)
        return restart(Now);
    return TailNames.empty() ? finish() : enterStep(step::ReadTail);
  }
  if (Step != step::ListSnapshots)
    return;
  std::uint32_t Shard = Shards[Results.size()];
  auto Newest = newestManifest(Names, Shard);
  if (!Newest) {
    Results.push_back({Shard, {}, std::nullopt, std::nullopt});
    return shardLoaded({});
  }
  Manifest = *Newest;
  enterStep(step::ReadManifest);
}

void takeover::shardLoaded(state_rows Rows) {
  shard_takeover &Result = Results.back();
  Result.Rows = std::move(Rows);
  bool Released = Result.Manifest && Result.Manifest->Released;
  if (!Released && Result.Manifest &&
      Result.Manifest->Position.Journal != Journal)
    Result.OtherJournal = Result.Manifest->Position.Journal;
  Objects.clear();
  if (Results.size() < Shards.size())
    return enterStep(step::ListSnapshots);
  startReplay();
}

// The journal is sealed only if the newest manifest of a shard names it. A host
// that has created no manifest does not serve.
void takeover::startReplay() {
  Segment = UINT64_MAX;
  Covered = UINT64_MAX;
  for (const shard_takeover &Result : Results) {
    if (!needsReplay(Result))
      continue;
    Segment = std::min(Segment, Result.Manifest->Position.Segment);
    Covered = std::min(Covered, Result.Manifest->Position.Sequence);
  }
  if (Covered == UINT64_MAX)
    return finish();
  enterStep(step::ListSegments);
}

void takeover::readObject(read_result Result, std::string_view Bytes,
                          time_point Now) {
  if (Result == read_result::Failed)
    return retryLater(Now);
  bool Found = Result == read_result::Found;
  if (Step == step::ReadManifest) {
    auto Decoded = Found ? decodeManifest(Bytes) : std::nullopt;
    if (!Decoded)
      return restart(Now);
    Results.push_back(
        {Shards[Results.size()], {}, std::move(Decoded), std::nullopt});
    if (!objectsOf(*Results.back().Manifest).empty())
      return enterStep(step::ReadSnapshot);
  } else if (Step == step::ReadSnapshot) {
    if (!Found)
      return restart(Now);
    Objects.emplace_back(Bytes);
    if (Objects.size() < objectsOf(*Results.back().Manifest).size())
      return issue();
  }
  if (Step == step::ReadManifest || Step == step::ReadSnapshot) {
    auto Rows = loadSnapshot(*Results.back().Manifest, Objects);
    if (!Rows)
      return restart(Now);
    return shardLoaded(std::move(*Rows));
  }
  // An absent segment beyond the listed ones is the end of the journal.
  if (!Found && Step == step::ReadSegment && Segment >= EndSegment) {
    if (Standbys.empty()) {
      prepareTail({});
      return;
    }
    StandbyIndex = 0;
    return enterStep(step::CloseStandby);
  }
  auto Decoded = Found ? decodeSegment(Bytes) : std::nullopt;
  if (!Decoded)
    return restart(Now);
  if (Step == step::ReadTail) {
    for (const journal_entry &Entry : Decoded->Entries)
      Entries.emplace(Entry.Sequence, Entry);
    if (++TailIndex < TailNames.size())
      return issue();
    return finish();
  }
  segmentRead(*Decoded);
}

// -- Segments --

void takeover::segmentRead(const journal_segment &Read) {
  if (Read.Sealed)
    return sealFound(Read);
  for (const journal_entry &Entry : Read.Entries)
    Entries.emplace(Entry.Sequence, Entry);
  // If the standbys change, the new ones get the full number of rounds.
  if (Standbys != Read.Standbys)
    StandbyRounds = 0;
  Standbys = Read.Standbys;
  ++Segment;
  enterStep(step::ReadSegment);
}

// The journal was sealed by this or another successor. If the writer deleted
// covered segments in the meantime, the seal may have the number of a deleted
// segment. Then there is a later segment, because the latest one is never
// deleted.
void takeover::sealFound(const journal_segment &Seal) {
  TailMissing = Seal.TailMissing;
  TailNames = Seal.TailObjects;
  TailIndex = 0;
  enterStep(step::VerifySeal);
}

void takeover::tail(bool Valid, std::span<const journal_entry> TailEntries,
                    time_point Now) {
  if (Step != step::CloseStandby)
    return;
  if (Valid) {
    TailMissing = false;
    return prepareTail(TailEntries);
  }
  if (++StandbyIndex < Standbys.size())
    return issue();
  StandbyIndex = 0;
  if (++StandbyRounds < MaxStandbyRounds)
    return retryLater(Now);
  TailMissing = true;
  prepareTail({});
}

// Puts the standby's entries into objects that the seal names, so that every
// later successor reads the same tail.
void takeover::prepareTail(std::span<const journal_entry> TailEntries) {
  std::uint64_t Last = Entries.empty() ? 0 : Entries.rbegin()->first;
  Tail.clear();
  journal_segment Part;
  Part.Writer = Self;
  std::size_t Bytes = 0;
  auto Flush = [&] {
    if (Part.Entries.empty())
      return;
    Tail.push_back({tailName(Journal, Self, TailsMade++), encodeSegment(Part)});
    Part.Entries.clear();
    Bytes = 0;
  };
  for (const journal_entry &Entry : TailEntries) {
    if (Entry.Sequence <= Last)
      continue;
    if (Bytes + Entry.Bytes.size() > MaxSegmentBytes ||
        Part.Entries.size() >= 1024)
      Flush();
    Part.Entries.push_back(Entry);
    Bytes += Entry.Bytes.size() + 16;
  }
  Flush();
  journal_segment Seal;
  Seal.Writer = Self;
  Seal.Sealed = true;
  Seal.Standbys = Standbys;
  Seal.TailMissing = TailMissing;
  for (const snapshot_object &Object : Tail)
    Seal.TailObjects.push_back(Object.Name);
  SealBytes = encodeSegment(Seal);
  TailIndex = 0;
  enterStep(Tail.empty() ? step::Seal : step::WriteTail);
}

void takeover::created(create_result Result, time_point Now) {
  if (Result == create_result::Failed)
    return retryLater(Now);
  if (Step == step::WriteTail) {
    // Only this successor uses the name. If the object exists, an earlier
    // attempt whose answer was lost has created it.
    if (++TailIndex < Tail.size())
      return issue();
    return enterStep(step::Seal);
  }
  if (Step != step::Seal)
    return;
  // If the name exists, the writer is still running or the journal was sealed
  // before. A segment of the writer may name other standbys, so they are asked
  // again.
  enterStep(step::ReadAtSeal);
}

// -- Result --

void takeover::finish() {
  std::string Bytes;
  std::uint64_t Expected = Covered == UINT64_MAX ? 0 : Covered + 1;
  for (const auto &[Sequence, Entry] : Entries) {
    if (Sequence <= Covered || Covered == UINT64_MAX)
      continue;
    Gap = Gap || Sequence != Expected;
    Expected = Sequence + 1;
    Bytes += Entry.Bytes;
    if (!Entry.Continues)
      applyRecord(std::exchange(Bytes, {}), Sequence);
  }
  for (shard_takeover &Result : Results)
    if (needsReplay(Result))
      Result.Rows.assumeHolderCrashed();
  for (const host_incarnation &Standby : Standbys)
    Commands.emplace_back(drop_standby_entries{Standby, Journal});
  enterStep(step::Done);
}

void takeover::applyRecord(std::string_view Bytes, std::uint64_t Sequence) {
  auto Record = decodeRecord(Bytes);
  if (!Record) {
    Gap = true;
    return;
  }
  std::string_view Path = programOf(*Record);
  if (Path.empty())
    return;
  std::uint32_t Shard = ShardOf(rootOf(Path));
  for (shard_takeover &Result : Results)
    if (Result.Shard == Shard && needsReplay(Result) &&
        Sequence > Result.Manifest->Position.Sequence)
      Result.Rows.apply(*Record, ShardOf);
}

std::vector<takeover_command> takeover::takeCommands() {
  return std::exchange(Commands, {});
}

std::vector<shard_takeover> takeover::takeResult() {
  return std::exchange(Results, {});
}

} // namespace turmerichead
