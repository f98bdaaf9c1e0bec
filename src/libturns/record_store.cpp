#include "turmerichead/turns_record_store.h"

#include "turmerichead/error.h"

namespace turmerichead::turns {

namespace {

// If the log uses more than this share of its maximum size, the oldest segment
// is compacted even if it has live records, so that expired records never fill
// the log.
constexpr std::uint64_t CompactAbovePercent = 50;
constexpr std::uint64_t Hundred = 100;

/// The first field of a turn_record, to recognise a turn that is stored.
struct turn_id {
  std::string Id;
  MSGPACK_DEFINE(Id)
};

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
  if (Recovery.Records == 0)
    Store.State.CaughtUp = Settings.FirstStart;
  if (Recovery.Damaged)
    Store.State.CaughtUp = false;
  // Each start begins a new segment, which has to contain the state: the older
  // segments may be removed.
  if (!Store.setState(Store.State) || !Store.sync())
    return std::nullopt;
  return Store;
}

bool record_store::setState(const state_record &Value) {
  State = Value;
  return Log.append(packRecord(record_kind::State, State)).has_value();
}

bool record_store::add(const turn_record &Turn, time_point Now) {
  if (Index.hasTurn(Turn.Id))
    return true;
  auto Position = Log.append(packRecord(record_kind::Turn, Turn));
  return Position && (Index.addTurn(Turn, *Position, Now), true);
}

bool record_store::add(const spend_record &Spend, time_point Now) {
  auto Position = Log.append(packRecord(record_kind::Spend, Spend));
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
    return Turn && add(*Turn, Now);
  }
  auto Spend = unpackRecord<spend_record>(Bytes);
  if (Spend && Index.hasSpend(*Spend))
    return true;
  return Spend && add(*Spend, Now);
}

bool record_store::sync() {
  if (Log.sync())
    return true;
  Index.removeTurnsFrom(Log.end());
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
  Reply.Segment = Next->Segment;
  Reply.Offset = Next->Offset;
  Reply.AtEnd =
      Next->Segment == Log.end().Segment && Next->Offset == Log.end().Offset;
  return Reply;
}

bool record_store::compactSegment(std::uint64_t Segment) {
  std::vector<live_record> Live = Index.findLiveRecords(Segment);
  std::vector<log_position> Positions;
  for (const live_record &Record : Live) {
    auto Bytes = Log.read(Record.Position);
    auto Position = Bytes ? Log.append(*Bytes) : std::nullopt;
    if (!Position)
      return false;
    Positions.push_back(*Position);
  }
  if (!Log.sync())
    return false;
  for (std::size_t I = 0; I < Live.size(); ++I)
    Index.relocate(Live[I], Positions[I]);
  return Log.remove(Segment);
}

bool record_store::compact(time_point Now) {
  Index.expire(Now);
  std::vector<std::uint64_t> Segments = Log.segments();
  if (Segments.size() < 2)
    return true;
  std::uint64_t Oldest = Segments.front();
  bool HasNoLiveRecords = Index.findLiveRecords(Oldest).empty();
  bool AboveThreshold =
      Log.maxBytes() > 0 &&
      Log.bytes() * Hundred > Log.maxBytes() * CompactAbovePercent;
  if (!HasNoLiveRecords && !AboveThreshold)
    return true;
  // The state is written again first, since it may be in the removed segment.
  return setState(State) && Log.sync() && compactSegment(Oldest);
}

} // namespace turmerichead::turns
