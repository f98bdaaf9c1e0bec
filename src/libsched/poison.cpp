#include "turmerichead/sched_poison.h"

#include "turmerichead/codec.h"
#include "turmerichead/error.h"

#include <algorithm>
#include <functional>

namespace turmerichead::sched {

// -- Between hosts -----------------------------------------------------------

namespace {

// What a row may hold, and a message bring. A request is condemned after a
// few deaths, so that more of them say nothing new.
constexpr std::size_t MaxDeathsKept = 8;
constexpr std::size_t MaxNameBytes = 256;

struct death_message {
  std::uint64_t Incident = 0;
  std::int64_t AgeMs = 0;
  std::string Upstream;
  std::string SeenBy;
  MSGPACK_DEFINE(Incident, AgeMs, Upstream, SeenBy)
};

struct entry_message {
  std::uint64_t Fingerprint = 0;
  std::vector<death_message> Deaths;
  std::int64_t ClearedAgeMs = -1; ///< Negative: never.
  MSGPACK_DEFINE(Fingerprint, Deaths, ClearedAgeMs)
};

} // namespace

std::string encodePoison(std::span<const poison_entry> Entries) {
  std::vector<entry_message> Messages;
  for (const poison_entry &Entry : Entries) {
    entry_message Message;
    Message.Fingerprint = Entry.Fingerprint;
    for (const poison_death &Death : Entry.Deaths)
      Message.Deaths.push_back(
          {Death.Incident, Death.Age.count(), Death.Upstream, Death.SeenBy});
    if (Entry.ClearedAge)
      Message.ClearedAgeMs = Entry.ClearedAge->count();
    Messages.push_back(std::move(Message));
  }
  return pack(Messages);
}

std::optional<std::vector<poison_entry>> decodePoison(std::string_view Bytes) {
  auto Messages = unpack<std::vector<entry_message>>(Bytes);
  if (!Messages)
    return std::nullopt;
  std::vector<poison_entry> Entries;
  for (const entry_message &Message : *Messages) {
    poison_entry Entry;
    Entry.Fingerprint = Message.Fingerprint;
    for (const death_message &Death : Message.Deaths) {
      if (Death.AgeMs < 0 || Death.Upstream.size() > MaxNameBytes ||
          Death.SeenBy.size() > MaxNameBytes)
        return fail(error_code::Corrupt, "a death that cannot be");
      Entry.Deaths.push_back({Death.Incident, milliseconds(Death.AgeMs),
                              Death.Upstream, Death.SeenBy});
    }
    if (Message.ClearedAgeMs >= 0)
      Entry.ClearedAge = milliseconds(Message.ClearedAgeMs);
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

// -- The table ---------------------------------------------------------------

poison_table::poison_table(const poison_settings &Settings)
    : Settings(Settings) {}

poison_state poison_table::stateOf(std::uint64_t Fingerprint,
                                   time_point Now) const {
  if (!Settings.Enabled || Fingerprint == 0)
    return poison_state::Clean;
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return poison_state::Clean;
  auto Valid = std::ranges::count_if(Found->second.Deaths, [&](const death &D) {
    return Now - D.At < Settings.KeepFor;
  });
  if (Valid == 0)
    return poison_state::Clean;
  return Valid < Settings.MaxDeaths ? poison_state::Suspect
                                    : poison_state::Condemned;
}

bool poison_table::addDeath(row &Row, const poison_death &Death,
                            time_point Now) {
  time_point At = Now - Death.Age;
  if (Death.Age >= Settings.KeepFor || (Row.ClearedAt && At < *Row.ClearedAt))
    return false;
  auto Known = std::ranges::find(Row.Deaths, Death.Incident, &death::Incident);
  if (Known != Row.Deaths.end() || Row.Deaths.size() >= MaxDeathsKept)
    return false;
  Row.Deaths.push_back({Death.Incident, At, Now, Death.Upstream, Death.SeenBy});
  return true;
}

bool poison_table::recordDeath(std::uint64_t Fingerprint,
                               const poison_death &Death, time_point Now) {
  if (Fingerprint == 0)
    return false;
  row &Row = Rows[Fingerprint];
  std::erase_if(Row.Deaths, [&](const death &Old) {
    return Now - Old.At >= Settings.KeepFor;
  });
  bool News = addDeath(Row, Death, Now);
  makeRoom();
  return News;
}

bool poison_table::recordSuccess(std::uint64_t Fingerprint, time_point Now) {
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return false;
  Found->second.ClearedAt = Now;
  bool Suspected = !Found->second.Deaths.empty();
  Found->second.Deaths.clear();
  return Suspected;
}

std::vector<known_death> poison_table::deaths(std::uint64_t Fingerprint,
                                              time_point Now) const {
  std::vector<known_death> Result;
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return Result;
  for (const death &Row : Found->second.Deaths)
    if (Now - Row.At < Settings.KeepFor)
      Result.push_back({{Row.Incident, Now - Row.At, Row.Upstream, Row.SeenBy},
                        Now - Row.LearnedAt});
  std::ranges::sort(Result, std::greater(),
                    [](const known_death &Row) { return Row.Death.Age; });
  return Result;
}

std::optional<poison_entry> poison_table::entryOf(std::uint64_t Fingerprint,
                                                  const row &Row,
                                                  time_point Now) const {
  poison_entry Entry{Fingerprint, {}, std::nullopt};
  for (const death &Death : Row.Deaths)
    if (Now - Death.At < Settings.KeepFor)
      Entry.Deaths.push_back(
          {Death.Incident, Now - Death.At, Death.Upstream, Death.SeenBy});
  if (Row.ClearedAt && Now - *Row.ClearedAt < Settings.KeepFor)
    Entry.ClearedAge = Now - *Row.ClearedAt;
  if (Entry.Deaths.empty() && !Entry.ClearedAge)
    return std::nullopt;
  return Entry;
}

std::optional<poison_entry> poison_table::entry(std::uint64_t Fingerprint,
                                                time_point Now) const {
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return std::nullopt;
  return entryOf(Fingerprint, Found->second, Now);
}

std::vector<poison_entry> poison_table::entries(time_point Now) const {
  std::vector<poison_entry> Entries;
  for (const auto &[Fingerprint, Row] : Rows)
    if (auto Entry = entryOf(Fingerprint, Row, Now))
      Entries.push_back(std::move(*Entry));
  std::ranges::sort(Entries, {}, &poison_entry::Fingerprint);
  return Entries;
}

std::vector<std::uint64_t>
poison_table::merge(std::span<const poison_entry> Entries, time_point Now) {
  std::vector<std::uint64_t> Changed;
  for (const poison_entry &Entry : Entries) {
    if (Entry.Fingerprint == 0)
      continue;
    row &Row = Rows[Entry.Fingerprint];
    bool News = false;
    if (Entry.ClearedAge) {
      time_point Cleared = Now - *Entry.ClearedAge;
      if (!Row.ClearedAt || *Row.ClearedAt < Cleared)
        Row.ClearedAt = Cleared;
      News = std::erase_if(Row.Deaths, [&](const death &D) {
               return D.At < *Row.ClearedAt;
             }) > 0;
    }
    for (const poison_death &Death : Entry.Deaths)
      News = addDeath(Row, Death, Now) || News;
    if (News)
      Changed.push_back(Entry.Fingerprint);
  }
  makeRoom();
  return Changed;
}

void poison_table::expire(time_point Now) {
  auto IsOld = [&](time_point At) { return Now - At >= Settings.KeepFor; };
  for (auto I = Rows.begin(); I != Rows.end();) {
    row &Row = I->second;
    std::erase_if(Row.Deaths, [&](const death &D) { return IsOld(D.At); });
    if (Row.ClearedAt && IsOld(*Row.ClearedAt))
      Row.ClearedAt.reset();
    bool IsEmpty = Row.Deaths.empty() && !Row.ClearedAt;
    I = IsEmpty ? Rows.erase(I) : std::next(I);
  }
}

// A request that is close to its verdict stays longest: others would push it
// out on a day on which many are under way at ends.
void poison_table::makeRoom() {
  auto Worth = [](const auto &Item) {
    time_point Last = Item.second.ClearedAt.value_or(time_point{INT64_MIN});
    for (const death &Death : Item.second.Deaths)
      Last = std::max(Last, Death.At);
    return std::pair(Item.second.Deaths.size(), Last);
  };
  while (Rows.size() > Settings.MaxEntries)
    Rows.erase(std::ranges::min_element(Rows, {}, Worth));
}

} // namespace turmerichead::sched
