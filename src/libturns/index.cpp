#include "turmerichead/turns_index.h"

#include <algorithm>

namespace turmerichead::turns {

bool turn_index::addTurn(const turn_record &Turn, const log_position &Position,
                         time_point Now) {
  milliseconds Retention(Turn.RetentionMs);
  LongestRetention = std::max(LongestRetention, Retention);
  time_point Until = Now + Retention;
  auto [Row, New] = Turns.try_emplace(
      Turn.Id, turn_row{Position, Turn.Previous, Retention, {}});
  // A turn that continues this one may have been added before it.
  if (auto Needed = Missing.find(Turn.Id); Needed != Missing.end()) {
    Until = std::max(Until, Needed->second);
    Missing.erase(Needed);
  }
  retainChain(Turn.Id, Until);
  return New;
}

void turn_index::retainChain(std::string_view Id, time_point Until) {
  while (!Id.empty()) {
    auto Row = Turns.find(Id);
    if (Row == Turns.end()) {
      auto Needed = Missing.try_emplace(std::string(Id), Until).first;
      Needed->second = std::max(Needed->second, Until);
      return;
    }
    // The turns before a turn are retained at least as long.
    if (Row->second.RetainUntil >= Until)
      return;
    Row->second.RetainUntil = Until;
    Id = Row->second.Previous;
  }
}

void turn_index::findMissingTurns() {
  Missing.clear();
  for (const auto &[Id, Row] : Turns)
    if (!Row.Previous.empty() && !hasTurn(Row.Previous))
      retainChain(Row.Previous, Row.RetainUntil);
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

// Clients choose the ids of turns, so that a chain of a client that uses an id
// twice may be a cycle. Such a chain ends where it began.
template <typename Visitor>
std::string_view turn_index::walkChain(std::string_view Id,
                                       Visitor Visit) const {
  for (std::size_t Steps = 0; Steps < Turns.size(); ++Steps) {
    auto Row = Turns.find(Id);
    if (Row == Turns.end())
      break;
    Visit(Row->first, Row->second);
    Id = Row->second.Previous;
  }
  return hasTurn(Id) ? std::string_view() : Id;
}

chain_lookup turn_index::findChain(std::string_view Id) const {
  chain_lookup Lookup;
  Lookup.Missing = walkChain(Id, [&](const std::string &, const turn_row &Row) {
    Lookup.Found = true;
    Lookup.Positions.push_back(Row.Position);
  });
  std::reverse(Lookup.Positions.begin(), Lookup.Positions.end());
  return Lookup;
}

bool turn_index::hasTurn(std::string_view Id) const {
  return Turns.find(Id) != Turns.end();
}

std::vector<std::string> turn_index::listChain(std::string_view Id) const {
  std::vector<std::string> Ids;
  walkChain(Id, [&](const std::string &Turn, const turn_row &) {
    Ids.push_back(Turn);
  });
  return Ids;
}

std::string_view turn_index::firstMissing(std::string_view Id) const {
  return walkChain(Id, [](const std::string &, const turn_row &) {});
}

std::vector<std::string> turn_index::missingTurns() const {
  std::vector<std::string> Ids;
  Ids.reserve(Missing.size());
  for (const auto &[Id, Until] : Missing)
    Ids.push_back(Id);
  return Ids;
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
  std::erase_if(Missing, [&](const auto &Row) { return Row.second < Now; });
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
  findMissingTurns();
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
