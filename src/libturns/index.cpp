#include "turmerichead/turns_index.h"

#include <algorithm>

namespace turmerichead::turns {

bool turn_index::addTurn(const turn_record &Turn, const log_place &Place,
                         time_point Now) {
  milliseconds Retention(Turn.RetentionMs);
  auto [Row, New] =
      Turns.try_emplace(Turn.Id, turn_row{Place, Turn.Previous, Retention, {}});
  Row->second.RetainUntil = std::max(Row->second.RetainUntil, Now + Retention);
  // The turns before it are kept as long as it is.
  std::string_view Id = Turn.Previous;
  for (auto Before = Turns.find(Id); Before != Turns.end();
       Before = Turns.find(Before->second.Previous))
    Before->second.RetainUntil =
        std::max(Before->second.RetainUntil, Now + Retention);
  return New;
}

bool turn_index::addSpend(const spend_record &Spend, const log_place &Place,
                          time_point Now) {
  program_row &Program = Programs[Spend.Program];
  Program.RetainUntil =
      std::max(Program.RetainUntil, Now + milliseconds(Spend.RetentionMs));
  auto [Entry, New] = Program.Attempts.try_emplace(
      Spend.Attempt, spend_entry{Place, Spend.Tokens, Spend.Settled});
  if (New)
    return true;
  spend_entry &Old = Entry->second;
  if (Old.Settled || !Spend.Settled)
    return false;
  Old = {Place, Spend.Tokens, true};
  return true;
}

chain_walk turn_index::walk(std::string_view Id) const {
  chain_walk Walk;
  std::string_view At = Id;
  while (!At.empty()) {
    auto Row = Turns.find(At);
    if (Row == Turns.end()) {
      Walk.Missing = At;
      break;
    }
    Walk.Found = true;
    Walk.Places.push_back(Row->second.Place);
    At = Row->second.Previous;
  }
  std::reverse(Walk.Places.begin(), Walk.Places.end());
  return Walk;
}

bool turn_index::hasTurn(std::string_view Id) const {
  return Turns.find(Id) != Turns.end();
}

std::vector<spend_row> turn_index::spentBefore(std::string_view Program,
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

std::vector<live_record> turn_index::liveIn(std::uint64_t Segment) const {
  std::vector<live_record> Live;
  for (const auto &[Id, Row] : Turns)
    if (Row.Place.Segment == Segment)
      Live.push_back({Row.Place, Id, {}, {}});
  for (const auto &[Name, Program] : Programs)
    for (const auto &[Attempt, Entry] : Program.Attempts)
      if (Entry.Place.Segment == Segment)
        Live.push_back({Entry.Place, {}, Name, Attempt});
  return Live;
}

void turn_index::forgetTurnsFrom(const log_place &Place) {
  std::erase_if(Turns,
                [&](const auto &Row) { return Row.second.Place >= Place; });
}

void turn_index::moved(const live_record &Record, const log_place &Place) {
  if (auto Turn = Turns.find(Record.Turn); Turn != Turns.end()) {
    Turn->second.Place = Place;
    return;
  }
  auto Program = Programs.find(Record.Program);
  if (Program == Programs.end())
    return;
  auto Attempt = Program->second.Attempts.find(Record.Attempt);
  if (Attempt != Program->second.Attempts.end())
    Attempt->second.Place = Place;
}

} // namespace turmerichead::turns
