#include "turmerichead/relay_suspects.h"

#include "turmerichead/codec.h"
#include "turmerichead/hash.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// A crashed upstream is found unreachable within this time, if it is called.
constexpr milliseconds DeathWindow{5000};
// Connections that broke by one death, as all hosts see it.
constexpr milliseconds SameDeath{3000};
constexpr std::size_t MaxBroken = 1000;
constexpr int MaxDeaths = 3;
constexpr milliseconds KeepDeaths{600'000};

struct death_message {
  std::uint64_t Incident = 0;
  std::int64_t AgeMs = 0;
  MSGPACK_DEFINE(Incident, AgeMs)
};

struct suspect_message {
  std::uint64_t Fingerprint = 0;
  std::vector<death_message> Deaths;
  std::int64_t ClearedAgeMs = -1; ///< Negative: never.
  MSGPACK_DEFINE(Fingerprint, Deaths, ClearedAgeMs)
};

sched::poison_settings settings() {
  sched::poison_settings Settings;
  Settings.MaxDeaths = MaxDeaths;
  Settings.KeepFor = KeepDeaths;
  return Settings;
}

} // namespace

suspects::suspects() : Table(settings()) {}

std::uint64_t suspects::fingerprintOf(std::string_view Program,
                                      std::string_view Target,
                                      std::string_view Body) {
  return hash64(Body, hash64(Target, hash64(Program)));
}

bool suspects::isCondemned(std::uint64_t Fingerprint, time_point Now) const {
  return Table.stateOf(Fingerprint, Now) == sched::poison_state::Condemned;
}

void suspects::noteBroken(std::string_view Upstream, std::uint64_t Fingerprint,
                          time_point Now) {
  if (Broken.size() >= MaxBroken)
    Broken.pop_front();
  Broken.push_back({std::string(Upstream), Fingerprint, Now});
}

bool suspects::noteUnreachable(std::string_view Upstream, time_point Now) {
  std::erase_if(Broken, [&](const broken_call &Call) {
    return Now - Call.At > DeathWindow;
  });
  bool Known = false;
  for (const broken_call &Call : Broken) {
    if (Call.Upstream != Upstream)
      continue;
    // Breaks that lie close together are one death.
    auto Slot = static_cast<std::uint64_t>(Call.At.Ms / SameDeath.count());
    Table.recordDeath(Call.Fingerprint, hash64(Upstream, Slot), Now);
    Known = true;
  }
  std::erase_if(Broken, [&](const broken_call &Call) {
    return Call.Upstream == Upstream;
  });
  return Known;
}

void suspects::noteSuccess(std::uint64_t Fingerprint, time_point Now) {
  if (Table.size() > 0)
    Table.recordSuccess(Fingerprint, Now);
}

std::string suspects::encode(time_point Now) const {
  std::vector<suspect_message> Messages;
  for (const sched::poison_entry &Entry : Table.entries(Now)) {
    suspect_message Message;
    Message.Fingerprint = Entry.Fingerprint;
    for (const sched::poison_death &Death : Entry.Deaths)
      Message.Deaths.push_back({Death.Incident, Death.Age.count()});
    if (Entry.ClearedAge)
      Message.ClearedAgeMs = Entry.ClearedAge->count();
    Messages.push_back(std::move(Message));
  }
  return pack(Messages);
}

bool suspects::merge(std::string_view Bytes, time_point Now) {
  auto Messages = unpack<std::vector<suspect_message>>(Bytes);
  if (!Messages)
    return false;
  std::vector<sched::poison_entry> Entries;
  for (const suspect_message &Message : *Messages) {
    sched::poison_entry Entry;
    Entry.Fingerprint = Message.Fingerprint;
    for (const death_message &Death : Message.Deaths)
      Entry.Deaths.push_back({Death.Incident, milliseconds(Death.AgeMs)});
    if (Message.ClearedAgeMs >= 0)
      Entry.ClearedAge = milliseconds(Message.ClearedAgeMs);
    Entries.push_back(std::move(Entry));
  }
  Table.merge(Entries, Now);
  return true;
}

} // namespace turmerichead::relay
