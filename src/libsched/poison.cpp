#include "turmerichead/sched_poison.h"

#include "turmerichead/codec.h"
#include "turmerichead/error.h"

#include <algorithm>
#include <functional>

namespace turmerichead::sched {

// -- Exchange between hosts --------------------------------------------------

namespace {

// Limits of a row and of a received message. A few crashes quarantine a
// fingerprint, so older ones need not be stored.
constexpr std::size_t MaxStoredCrashes = 8;
constexpr std::size_t MaxNameBytes = 256;

struct crash_message {
  std::uint64_t Incident = 0;
  std::int64_t AgeMs = 0;
  std::string Upstream;
  std::string SeenBy;
  // Hosts of earlier versions neither send nor read the fields from here on.
  std::int64_t DurationMs = 0;
  std::uint64_t Caller = 0;
  MSGPACK_DEFINE(Incident, AgeMs, Upstream, SeenBy, DurationMs, Caller)
};

struct entry_message {
  std::uint64_t Fingerprint = 0;
  std::vector<crash_message> Crashes;
  std::int64_t ClearedAgeMs = -1; ///< Negative if there was no success.
  MSGPACK_DEFINE(Fingerprint, Crashes, ClearedAgeMs)
};

} // namespace

std::string encodePoisonEntries(std::span<const poison_entry> Entries) {
  std::vector<entry_message> Messages;
  for (const poison_entry &Entry : Entries) {
    entry_message Message;
    Message.Fingerprint = Entry.Fingerprint;
    for (const crash_record &Crash : Entry.Crashes)
      Message.Crashes.push_back({Crash.Incident, Crash.Age.count(),
                                 Crash.Upstream, Crash.SeenBy,
                                 Crash.Duration.count(), Crash.Caller});
    if (Entry.ClearedAge)
      Message.ClearedAgeMs = Entry.ClearedAge->count();
    Messages.push_back(std::move(Message));
  }
  return pack(Messages);
}

std::optional<std::vector<poison_entry>>
decodePoisonEntries(std::string_view Bytes) {
  auto Messages = unpack<std::vector<entry_message>>(Bytes);
  if (!Messages)
    return std::nullopt;
  std::vector<poison_entry> Entries;
  for (const entry_message &Message : *Messages) {
    poison_entry Entry;
    Entry.Fingerprint = Message.Fingerprint;
    for (const crash_message &Crash : Message.Crashes) {
      if (Crash.AgeMs < 0 || Crash.DurationMs < 0 ||
          Crash.Upstream.size() > MaxNameBytes ||
          Crash.SeenBy.size() > MaxNameBytes)
        return fail(error_code::Corrupt, "crash record out of range");
      Entry.Crashes.push_back({Crash.Incident, milliseconds(Crash.AgeMs),
                               Crash.Upstream, Crash.SeenBy,
                               milliseconds(Crash.DurationMs), Crash.Caller});
    }
    if (Message.ClearedAgeMs >= 0)
      Entry.ClearedAge = milliseconds(Message.ClearedAgeMs);
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

// -- Crash counts ------------------------------------------------------------

poison_table::poison_table(const poison_settings &Settings)
    : Settings(Settings) {}

poison_state poison_table::stateOf(std::uint64_t Fingerprint,
                                   time_point Now) const {
  if (!Settings.Enabled || Fingerprint == 0)
    return poison_state::Clean;
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return poison_state::Clean;
  auto Valid =
      std::ranges::count_if(Found->second.Crashes, [&](const crash_row &D) {
        return Now - D.At < Settings.KeepFor;
      });
  if (Valid == 0)
    return poison_state::Clean;
  return Valid < Settings.MaxCrashes ? poison_state::Suspect
                                     : poison_state::Quarantined;
}

bool poison_table::addCrash(row &Row, const crash_record &Crash,
                            time_point Now) {
  time_point At = Now - Crash.Age;
  if (Crash.Age >= Settings.KeepFor || (Row.ClearedAt && At < *Row.ClearedAt))
    return false;
  auto Known =
      std::ranges::find(Row.Crashes, Crash.Incident, &crash_row::incident);
  if (Known != Row.Crashes.end())
    return false;
  if (Row.Crashes.size() >= MaxStoredCrashes) {
    auto Oldest = std::ranges::min_element(Row.Crashes, {}, &crash_row::At);
    if (At <= Oldest->At)
      return false;
    Row.Crashes.erase(Oldest);
  }
  Row.Crashes.push_back({At, Now, Crash});
  return true;
}

bool poison_table::recordCrash(std::uint64_t Fingerprint,
                               const crash_record &Crash, time_point Now) {
  if (Fingerprint == 0)
    return false;
  row &Row = Rows[Fingerprint];
  std::erase_if(Row.Crashes, [&](const crash_row &Old) {
    return Now - Old.At >= Settings.KeepFor;
  });
  bool Changed = addCrash(Row, Crash, Now);
  evictExcess();
  return Changed;
}

bool poison_table::recordSuccess(std::uint64_t Fingerprint, time_point Now) {
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return false;
  Found->second.ClearedAt = Now;
  bool Suspected = !Found->second.Crashes.empty();
  Found->second.Crashes.clear();
  return Suspected;
}

std::vector<known_crash> poison_table::crashes(std::uint64_t Fingerprint,
                                               time_point Now) const {
  std::vector<known_crash> Result;
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return Result;
  for (const crash_row &Row : Found->second.Crashes)
    if (Now - Row.At < Settings.KeepFor)
      Result.push_back({Row.recordAt(Now), Now - Row.LearnedAt});
  std::ranges::sort(Result, std::greater(),
                    [](const known_crash &Row) { return Row.Crash.Age; });
  return Result;
}

std::optional<poison_entry> poison_table::entryOf(std::uint64_t Fingerprint,
                                                  const row &Row,
                                                  time_point Now) const {
  poison_entry Entry{Fingerprint, {}, std::nullopt};
  for (const crash_row &Crash : Row.Crashes)
    if (Now - Crash.At < Settings.KeepFor)
      Entry.Crashes.push_back(Crash.recordAt(Now));
  if (Row.ClearedAt && Now - *Row.ClearedAt < Settings.KeepFor)
    Entry.ClearedAge = Now - *Row.ClearedAt;
  if (Entry.Crashes.empty() && !Entry.ClearedAge)
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
    bool IsChanged = false;
    if (Entry.ClearedAge) {
      time_point Cleared = Now - *Entry.ClearedAge;
      if (!Row.ClearedAt || *Row.ClearedAt < Cleared)
        Row.ClearedAt = Cleared;
      IsChanged = std::erase_if(Row.Crashes, [&](const crash_row &D) {
                    return D.At < *Row.ClearedAt;
                  }) > 0;
    }
    for (const crash_record &Crash : Entry.Crashes)
      IsChanged = addCrash(Row, Crash, Now) || IsChanged;
    if (IsChanged)
      Changed.push_back(Entry.Fingerprint);
  }
  evictExcess();
  return Changed;
}

void poison_table::expire(time_point Now) {
  auto IsExpired = [&](time_point At) { return Now - At >= Settings.KeepFor; };
  for (auto I = Rows.begin(); I != Rows.end();) {
    row &Row = I->second;
    std::erase_if(Row.Crashes,
                  [&](const crash_row &D) { return IsExpired(D.At); });
    if (Row.ClearedAt && IsExpired(*Row.ClearedAt))
      Row.ClearedAt.reset();
    bool IsEmpty = Row.Crashes.empty() && !Row.ClearedAt;
    I = IsEmpty ? Rows.erase(I) : std::next(I);
  }
}

// Evicts the rows with the fewest crashes, and the oldest among equals. A
// fingerprint close to quarantine is kept longest: the many requests that are
// in flight when upstreams crash would otherwise evict it.
void poison_table::evictExcess() {
  auto EvictionKey = [](const auto &Item) {
    time_point Last = Item.second.ClearedAt.value_or(time_point{INT64_MIN});
    for (const crash_row &Crash : Item.second.Crashes)
      Last = std::max(Last, Crash.At);
    return std::pair(Item.second.Crashes.size(), Last);
  };
  while (Rows.size() > Settings.MaxEntries)
    Rows.erase(std::ranges::min_element(Rows, {}, EvictionKey));
}

} // namespace turmerichead::sched
