#include "turmerichead/sched_poison.h"

#include <algorithm>

namespace turmerichead::sched {

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

void poison_table::addDeath(row &Row, std::uint64_t Incident, time_point At) {
  if (Row.ClearedAt && At < *Row.ClearedAt)
    return;
  auto Known = std::ranges::find(Row.Deaths, Incident, &death::Incident);
  if (Known == Row.Deaths.end())
    Row.Deaths.push_back({Incident, At});
}

void poison_table::recordDeath(std::uint64_t Fingerprint,
                               std::uint64_t Incident, time_point Now) {
  if (Fingerprint == 0)
    return;
  addDeath(Rows[Fingerprint], Incident, Now);
  makeRoom();
}

void poison_table::recordSuccess(std::uint64_t Fingerprint, time_point Now) {
  auto Found = Rows.find(Fingerprint);
  if (Found == Rows.end())
    return;
  Found->second.ClearedAt = Now;
  Found->second.Deaths.clear();
}

std::vector<poison_entry> poison_table::entries(time_point Now) const {
  std::vector<poison_entry> Entries;
  for (const auto &[Fingerprint, Row] : Rows) {
    poison_entry Entry{Fingerprint, {}, std::nullopt};
    for (const death &Death : Row.Deaths)
      if (Now - Death.At < Settings.KeepFor)
        Entry.Deaths.push_back({Death.Incident, Now - Death.At});
    if (Row.ClearedAt && Now - *Row.ClearedAt < Settings.KeepFor)
      Entry.ClearedAge = Now - *Row.ClearedAt;
    if (!Entry.Deaths.empty() || Entry.ClearedAge)
      Entries.push_back(std::move(Entry));
  }
  std::ranges::sort(Entries, {}, &poison_entry::Fingerprint);
  return Entries;
}

void poison_table::merge(std::span<const poison_entry> Entries,
                         time_point Now) {
  for (const poison_entry &Entry : Entries) {
    if (Entry.Fingerprint == 0)
      continue;
    row &Row = Rows[Entry.Fingerprint];
    if (Entry.ClearedAge) {
      time_point Cleared = Now - *Entry.ClearedAge;
      if (!Row.ClearedAt || *Row.ClearedAt < Cleared)
        Row.ClearedAt = Cleared;
      std::erase_if(Row.Deaths,
                    [&](const death &D) { return D.At < *Row.ClearedAt; });
    }
    for (const poison_death &Death : Entry.Deaths)
      addDeath(Row, Death.Incident, Now - Death.Age);
  }
  makeRoom();
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

void poison_table::makeRoom() {
  while (Rows.size() > Settings.MaxEntries) {
    auto LastChange = [](const auto &Item) {
      time_point Last = Item.second.ClearedAt.value_or(time_point{INT64_MIN});
      for (const death &Death : Item.second.Deaths)
        Last = std::max(Last, Death.At);
      return Last;
    };
    Rows.erase(std::ranges::min_element(Rows, {}, LastChange));
  }
}

} // namespace turmerichead::sched
