#include "turmerichead/turns_record_store.h"

#include "turmerichead/error.h"

#include <random>

namespace turmerichead::turns {

namespace {

// If the log uses more than this share of its maximum size, segments with live
// records are compacted too, so that expired records never fill the log.
constexpr std::uint64_t CompactAbovePercent = 50;
// Segments with a larger share of live records are left alone: writing these
// again would gain little room.
constexpr std::uint64_t CompactBelowLivePercent = 75;
constexpr std::uint64_t Hundred = 100;

// Reading a part of the log holds up the other requests of the host.
constexpr std::size_t MaxScannedBytes = 4U << 20U;

/// The first field of a turn_record, to recognise a turn that is stored.
struct turn_id {
  std::string Id;
  MSGPACK_DEFINE(Id)
};

// Sets where a reply ends in a log that ends at LogEnd.
void setEnd(copy_reply &Reply, const log_position &Next,
            const log_position &LogEnd) {
  Reply.Segment = Next.Segment;
  Reply.Offset = Next.Offset;
  Reply.AtEnd = Next.Segment == LogEnd.Segment && Next.Offset == LogEnd.Offset;
}

std::uint64_t newDiskId() {
  std::random_device Device;
  return std::uniform_int_distribution<std::uint64_t>(1)(Device);
}

} // namespace

std::optional<record_store> record_store::open(record_store_settings Settings,
                                               time_point Now,
                                               log_recovery &Recovery) {
  turn_index Index;
  state_record State;
  bool DecodeFailed = false;
  auto Visit = [&](const log_position &Position, std::string_view Bytes) {
    auto Kind = kindOf(Bytes);
    if (Kind == record_kind::Turn) {
      if (auto Turn = unpackRecord<turn_record>(Bytes))
        Index.addTurn(*Turn, Position, Now);
      else
        DecodeFailed = true;
    } else if (Kind == record_kind::Spend) {
      if (auto Spend = unpackRecord<spend_record>(Bytes))
        Index.addSpend(*Spend, Position, Now);
      else
        DecodeFailed = true;
    } else if (auto Value = unpackRecord<state_record>(Bytes)) {
      State = *Value;
    } else {
      DecodeFailed = true;
    }
  };
  auto Log = record_log::open(std::move(Settings.Log), Visit, Recovery);
  if (!Log)
    return std::nullopt;
  if (DecodeFailed) {
    Recovery.Damaged = true;
    Recovery.DamageText = "failed to decode record: " + lastError().Text;
  }
  record_store Store(std::move(*Log));
  Store.Index = std::move(Index);
  Store.State = State;
  if (Recovery.Records == 0) {
    Store.State.CaughtUp = Settings.FirstStart && !Settings.ConfirmFirstStart;
    Store.State.IsFirstStart =
        Settings.FirstStart && Settings.ConfirmFirstStart;
  }
  if (Recovery.Damaged) {
    Store.State.CaughtUp = false;
    Store.State.IsFirstStart = false;
  }
  if (Store.State.DiskId == 0)
    Store.State.DiskId = newDiskId();
  // Each start begins a new segment, which has to contain the state: the older
  // segments may be removed.
  Store.setState(Store.State);
  // The state says what damage means for this host, so it is stored before the
  // invalid bytes go.
  if (!Store.sync() || !Store.Log.removeInvalidEnds())
    return std::nullopt;
  return Store;
}

void record_store::setState(const state_record &Value) {
  State = Value;
  auto Position =
      Log.append(packRecord(record_kind::State, State), record_purpose::Upkeep);
  StateSegment = Position ? Position->Segment : 0;
}

bool record_store::add(const turn_record &Turn, time_point Now,
                       record_purpose Purpose) {
  if (Index.hasTurn(Turn.Id))
    return true;
  auto Position = Log.append(packRecord(record_kind::Turn, Turn), Purpose);
  return Position && (Index.addTurn(Turn, *Position, Now), true);
}

bool record_store::add(const spend_record &Spend, time_point Now,
                       record_purpose Purpose) {
  auto Position = Log.append(packRecord(record_kind::Spend, Spend), Purpose);
  return Position && (Index.addSpend(Spend, *Position, Now), true);
}

bool record_store::addEncoded(std::string_view Bytes, time_point Now) {
  auto Kind = kindOf(Bytes);
  if (Kind == record_kind::State)
    return true;
  if (Kind == record_kind::Turn) {
    auto Known = unpackRecord<turn_id>(Bytes);
    if (Known && Index.hasTurn(Known->Id))
      return true;
    auto Turn = unpackRecord<turn_record>(Bytes);
    auto Position =
        Turn ? Log.append(Bytes, record_purpose::Copy) : std::nullopt;
    return Position && (Index.addTurn(*Turn, *Position, Now), true);
  }
  auto Spend = unpackRecord<spend_record>(Bytes);
  if (Spend && Index.hasSpend(*Spend))
    return true;
  auto Position =
      Spend ? Log.append(Bytes, record_purpose::Copy) : std::nullopt;
  return Position && (Index.addSpend(*Spend, *Position, Now), true);
}

bool record_store::sync() {
  // A failed sync may have discarded the newest state.
  if (StateSegment == 0)
    setState(State);
  log_position SyncedEnd = Log.syncedEnd();
  if (Log.sync())
    return true;
  StateSegment = 0;
  Index.removeTurnsFrom(SyncedEnd);
  return false;
}

std::optional<chain_part> record_store::chain(std::string_view Id) {
  chain_lookup Lookup = Index.findChain(Id);
  chain_part Part;
  Part.Found = Lookup.Found;
  Part.Missing = Lookup.Missing;
  for (const log_position &Position : Lookup.Positions) {
    auto Bytes = Log.read(Position);
    if (!Bytes)
      return std::nullopt;
    auto Turn = unpackRecord<turn_record>(*Bytes);
    if (!Turn)
      return std::nullopt;
    Part.Bytes += Turn->Input;
    Part.Bytes += Turn->Output;
    Part.Upstream = Turn->Upstream;
  }
  return Part;
}

std::optional<copy_reply> record_store::copyFrom(log_position From,
                                                 std::size_t MaxBytes) {
  copy_reply Reply;
  std::size_t Bytes = 0;
  auto Next =
      Log.scan(From, [&](const log_position &, std::string_view Record) {
        if (Bytes >= MaxBytes)
          return false;
        Bytes += Record.size();
        if (kindOf(Record) != record_kind::State)
          Reply.Records.emplace_back(Record);
        return true;
      });
  if (!Next)
    return std::nullopt;
  setEnd(Reply, *Next, Log.end());
  return Reply;
}

std::size_t record_store::listRecord(copy_reply &Reply,
                                     const log_position &Position,
                                     std::string_view Record) const {
  auto Kind = kindOf(Record);
  if (Kind == record_kind::Turn) {
    auto Turn = unpackRecord<turn_id>(Record);
    if (!Turn)
      return 0;
    Reply.Turns.push_back({Turn->Id, Record.size()});
    return Turn->Id.size();
  }
  auto Spend = Kind == record_kind::Spend ? unpackRecord<spend_record>(Record)
                                          : std::nullopt;
  // What has replaced this record follows in the log.
  if (!Spend || !Index.isNewest(*Spend, Position))
    return 0;
  Reply.Records.emplace_back(Record);
  return Record.size();
}

std::optional<copy_reply> record_store::listFrom(log_position From,
                                                 std::size_t MaxBytes) {
  copy_reply Reply;
  std::size_t Bytes = 0;
  std::size_t ScannedBytes = 0;
  auto Next = Log.scan(
      From, [&](const log_position &Position, std::string_view Record) {
        if (Bytes >= MaxBytes || ScannedBytes >= MaxScannedBytes)
          return false;
        ScannedBytes += Record.size();
        Bytes += listRecord(Reply, Position, Record);
        return true;
      });
  if (!Next)
    return std::nullopt;
  setEnd(Reply, *Next, Log.end());
  return Reply;
}

std::optional<std::string> record_store::turn(std::string_view Id) {
  auto Position = Index.turnPosition(Id);
  if (!Position)
    return fail(error_code::NotFound, "turn is not stored");
  return Log.read(*Position);
}

bool record_store::compactSegment(std::uint64_t Segment) {
  std::vector<live_record> Live = Index.findLiveRecords(Segment);
  // All are read before the first one is copied: copies that a failed read
  // leaves behind would fill the log.
  std::vector<std::string> Records;
  for (const live_record &Record : Live) {
    auto Bytes = Log.read(Record.Position);
    if (!Bytes)
      return false;
    Records.push_back(std::move(*Bytes));
  }
  std::vector<log_position> Positions;
  for (const std::string &Bytes : Records) {
    auto Position = Log.append(Bytes, record_purpose::Upkeep);
    if (!Position)
      return false;
    Positions.push_back(*Position);
  }
  if (!sync())
    return false;
  for (std::size_t I = 0; I < Live.size(); ++I)
    Index.relocate(Live[I], Positions[I]);
  return Log.remove(Segment);
}

bool record_store::keepState(std::uint64_t Segment) {
  if (StateSegment != 0 && StateSegment != Segment)
    return true;
  setState(State);
  return sync();
}

bool record_store::removeDeadSegments(const live_bytes &Live) {
  std::vector<std::uint64_t> Segments = Log.segments();
  Segments.pop_back();
  for (std::uint64_t Segment : Segments)
    if (!Live.contains(Segment) && !(keepState(Segment) && Log.remove(Segment)))
      return false;
  return true;
}

std::optional<std::uint64_t>
record_store::segmentToCompact(const live_bytes &Live) const {
  bool AboveThreshold =
      Log.maxBytes() > 0 &&
      Log.bytes() * Hundred > Log.maxBytes() * CompactAbovePercent;
  if (!AboveThreshold)
    return std::nullopt;
  std::vector<std::uint64_t> Segments = Log.segments();
  Segments.pop_back();
  for (std::uint64_t Segment : Segments) {
    auto Row = Live.find(Segment);
    std::uint64_t Bytes = Row == Live.end() ? 0 : Row->second;
    if (Bytes * Hundred < Log.bytes(Segment) * CompactBelowLivePercent)
      return Segment;
  }
  return std::nullopt;
}

bool record_store::compact(time_point Now) {
  Index.expire(Now);
  live_bytes Live = Index.liveBytes();
  if (!removeDeadSegments(Live))
    return false;
  auto Segment = segmentToCompact(Live);
  return !Segment || (keepState(*Segment) && compactSegment(*Segment));
}

} // namespace turmerichead::turns
