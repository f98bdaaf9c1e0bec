#include "turmerichead/turns_record_store.h"

#include "turmerichead/error.h"

namespace turmerichead::turns {

namespace {

// A segment whose records are mostly dead is rewritten above this share of
// the disk, so that the log never fills up with what nobody needs.
constexpr std::uint64_t CleanAbovePercent = 50;
constexpr std::uint64_t Hundred = 100;

} // namespace

std::optional<record_store> record_store::open(record_store_settings Settings,
                                               time_point Now,
                                               log_findings &Findings) {
  turn_index Index;
  state_record State;
  bool BadRecord = false;
  auto Visit = [&](const log_place &Place, std::string_view Bytes) {
    auto Kind = kindOf(Bytes);
    if (Kind == record_kind::Turn) {
      if (auto Turn = unpackRecord<turn_record>(Bytes))
        Index.addTurn(*Turn, Place, Now);
      else
        BadRecord = true;
    } else if (Kind == record_kind::Spend) {
      if (auto Spend = unpackRecord<spend_record>(Bytes))
        Index.addSpend(*Spend, Place, Now);
      else
        BadRecord = true;
    } else if (auto Value = unpackRecord<state_record>(Bytes)) {
      State = *Value;
    } else {
      BadRecord = true;
    }
  };
  auto Log = record_log::open(std::move(Settings.Log), Visit, Findings);
  if (!Log)
    return std::nullopt;
  if (BadRecord) {
    Findings.Damaged = true;
    Findings.Text = "a record does not decode: " + lastError().Text;
  }
  record_store Store(std::move(*Log));
  Store.Index = std::move(Index);
  Store.State = State;
  if (Findings.Records == 0)
    Store.State.CaughtUp = Settings.FirstStart;
  if (Findings.Damaged)
    Store.State.CaughtUp = false;
  // Each start begins a segment, which must say how things stand.
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
  auto Place = Log.append(packRecord(record_kind::Turn, Turn));
  return Place && (Index.addTurn(Turn, *Place, Now), true);
}

bool record_store::add(const spend_record &Spend, time_point Now) {
  auto Place = Log.append(packRecord(record_kind::Spend, Spend));
  return Place && (Index.addSpend(Spend, *Place, Now), true);
}

bool record_store::addBytes(std::string_view Bytes, time_point Now) {
  auto Kind = kindOf(Bytes);
  if (Kind == record_kind::State)
    return true;
  if (Kind == record_kind::Turn) {
    auto Turn = unpackRecord<turn_record>(Bytes);
    return Turn && add(*Turn, Now);
  }
  auto Spend = unpackRecord<spend_record>(Bytes);
  return Spend && add(*Spend, Now);
}

bool record_store::sync() {
  if (Log.sync())
    return true;
  Index.forgetTurnsFrom(Log.end());
  return false;
}

std::optional<chain_part> record_store::chain(std::string_view Id) {
  chain_walk Walk = Index.walk(Id);
  chain_part Part;
  Part.Found = Walk.Found;
  Part.Missing = Walk.Missing;
  for (const log_place &Place : Walk.Places) {
    auto Bytes = Log.read(Place);
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

std::optional<copy_reply> record_store::copyFrom(log_place From,
                                                 std::size_t MaxBytes) {
  copy_reply Reply;
  std::size_t Bytes = 0;
  auto Next = Log.scan(From, [&](const log_place &, std::string_view Record) {
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

bool record_store::moveLive(std::uint64_t Segment) {
  std::vector<live_record> Live = Index.liveIn(Segment);
  std::vector<log_place> Places;
  for (const live_record &Record : Live) {
    auto Bytes = Log.read(Record.Place);
    auto Place = Bytes ? Log.append(*Bytes) : std::nullopt;
    if (!Place)
      return false;
    Places.push_back(*Place);
  }
  if (!Log.sync())
    return false;
  for (std::size_t I = 0; I < Live.size(); ++I)
    Index.moved(Live[I], Places[I]);
  return Log.remove(Segment);
}

bool record_store::clean(time_point Now) {
  Index.expire(Now);
  std::vector<std::uint64_t> Segments = Log.segments();
  if (Segments.size() < 2)
    return true;
  std::uint64_t Oldest = Segments.front();
  bool Dead = Index.liveIn(Oldest).empty();
  bool Crowded = Log.maxBytes() > 0 &&
                 Log.bytes() * Hundred > Log.maxBytes() * CleanAbovePercent;
  if (!Dead && !Crowded)
    return true;
  // The state is written again first, since it may lie in that segment.
  return setState(State) && Log.sync() && moveLive(Oldest);
}

} // namespace turmerichead::turns
