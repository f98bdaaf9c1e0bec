#include "turmerichead/turns_index.h"

#include <algorithm>

namespace turmerichead::turns {

bool turn_index::addTurn(const turn_record &Turn, const log_position &Position,
                         time_point Now) {
  milliseconds Retention(Turn.RetentionMs);
  LongestRetention = std::max(LongestRetention, Retention);
  auto [Row, New] = Turns.try_emplace(
      Turn.Id, turn_row{Position, Turn.Previous, Retention, {}});
  Row->second.RetainUntil = std::max(Row->second.RetainUntil, Now + Retention);
  // The earlier turns of the chain are retained as long as this one.
  std::string_view Id = Turn.Previous;
  for (auto Ancestor = Turns.find(Id); Ancestor != Turns.end();
       Ancestor = Turns.find(Ancestor->second.Previous))
    Ancestor->second.RetainUntil =
        std::max(Ancestor->second.RetainUntil, Now + Retention);
  return New;
}

bool turn_index::addSpend(const spend_record &Spend,
                          const log_position &Position, time_point Now) {
  milliseconds Retention(Spend.RetentionMs);
  LongestRetention = std::max(LongestRetention, Retention);
  program_row &Program = Programs[Spend.Program];
  Program.RetainUntil = std::max(Program.RetainUntil, Now + Retention);
  auto [Entry, New] = Program.Attempts.try_emplace(
      Spend.Attempt, spend_entry{Position, Spend.Tokens, Spend.Settled});
  if (New)
    return true;
  spend_entry &Old = Entry->second;
  bool IsStoredAgain = !Old.isStored() && Old.Settled == Spend.Settled;
  if (!IsStoredAgain && (Old.Settled || !Spend.Settled))
    return false;
  Old = {Position, Spend.Tokens, Spend.Settled};
  return true;
}

const turn_index::spend_entry *
turn_index::findSpend(const spend_record &Spend) const {
  auto Program = Programs.find(Spend.Program);
  if (Program == Programs.end())
    return nullptr;
  auto Entry = Program->second.Attempts.find(Spend.Attempt);
  return Entry == Program->second.Attempts.end() ? nullptr : &Entry->second;
}

bool turn_index::hasSpend(const spend_record &Spend) const {
  const spend_entry *Entry = findSpend(Spend);
  return Entry && Entry->isStored() && (Entry->Settled || !Spend.Settled);
}

bool turn_index::isNewest(const spend_record &Spend,
                          const log_position &Position) const {
  const spend_entry *Entry = findSpend(Spend);
  return Entry && Entry->Position == Position;
}

chain_lookup turn_index::findChain(std::string_view Id) const {
  chain_lookup Lookup;
  std::string_view At = Id;
  while (!At.empty()) {
    auto Row = Turns.find(At);
    if (Row == Turns.end()) {
      Lookup.Missing = At;
      break;
    }
    Lookup.Found = true;
    Lookup.Positions.push_back(Row->second.Position);
    At = Row->second.Previous;
  }
  std::reverse(Lookup.Positions.begin(), Lookup.Positions.end());
  return Lookup;
}

bool turn_index::hasTurn(std::string_view Id) const {
  return Turns.find(Id) != Turns.end();
}

std::optional<log_position>
turn_index::turnPosition(std::string_view Id) const {
  auto Row = Turns.find(Id);
  if (Row == Turns.end())
    return std::nullopt;
  return Row->second.Position;
}

std::vector<spend_row>
turn_index::listOtherAttempts(std::string_view Program,
                              std::string_view Attempt) const {
  std::vector<spend_row> Rows;
  auto Row = Programs.find(Program);
  if (Row == Programs.end())
    return Rows;
  for (const auto &[Name, Entry] : Row->second.Attempts)
    if (Name != Attempt)
      Rows.push_back({Name, Entry.Tokens});
  return Rows;
}

void turn_index::expire(time_point Now) {
  std::erase_if(Turns,
                [&](const auto &Row) { return Row.second.RetainUntil < Now; });
  std::erase_if(Programs,
                [&](const auto &Row) { return Row.second.RetainUntil < Now; });
}

std::map<std::uint64_t, std::uint64_t> turn_index::liveBytes() const {
  std::map<std::uint64_t, std::uint64_t> Bytes;
  for (const auto &[Id, Row] : Turns)
    Bytes[Row.Position.Segment] += Row.Position.Size;
  for (const auto &[Name, Program] : Programs)
    for (const auto &[Attempt, Entry] : Program.Attempts)
      Bytes[Entry.Position.Segment] += Entry.Position.Size;
  return Bytes;
}

std::vector<live_record>
turn_index::findLiveRecords(std::uint64_t Segment) const {
  std::vector<live_record> Live;
  for (const auto &[Id, Row] : Turns)
    if (Row.Position.Segment == Segment)
      Live.push_back({Row.Position, Id, {}, {}});
  for (const auto &[Name, Program] : Programs)
    for (const auto &[Attempt, Entry] : Program.Attempts)
      if (Entry.Position.Segment == Segment)
        Live.push_back({Entry.Position, {}, Name, Attempt});
  return Live;
}

void turn_index::removeTurnsFrom(const log_position &Position) {
  std::erase_if(
      Turns, [&](const auto &Row) { return Row.second.Position >= Position; });
  for (auto &[Name, Program] : Programs)
    for (auto &[Attempt, Entry] : Program.Attempts)
      if (Entry.Position >= Position)
        Entry.Position = {};
}

void turn_index::relocate(const live_record &Record,
                          const log_position &Position) {
  if (auto Turn = Turns.find(Record.Turn); Turn != Turns.end()) {
    Turn->second.Position = Position;
    return;
  }
  auto Program = Programs.find(Record.Program);
  if (Program == Programs.end())
    return;
  auto Attempt = Program->second.Attempts.find(Record.Attempt);
  if (Attempt != Program->second.Attempts.end())
    Attempt->second.Position = Position;
}

} // namespace turmerichead::turns
