#include "turmerichead/relay_crash_tracker.h"

#include "turmerichead/hash.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// Ends after which a request is refused.
constexpr int MaxEnds = 3;
constexpr milliseconds KeepEnds{600'000};
// Requests of many programs may share a body. While it is refused it can't
// show that it runs well, so a quarantineOf on the body alone lapses soon.
constexpr milliseconds KeepContent{60'000};
constexpr std::size_t MaxRows = 4096;

// From a call's break to the evidence that its upstream has ended: entries
// lapse, and processes come back, within seconds.
constexpr milliseconds EvidenceWindow{15'000};
constexpr std::size_t MaxUnfinished = 2000;
// A break may be noticed after the evidence of the end.
constexpr milliseconds KeepLives{30'000};
constexpr std::size_t MaxLives = 1000;

sched::poison_settings settings() {
  sched::poison_settings Settings;
  Settings.MaxCrashes = MaxEnds;
  Settings.KeepFor = KeepEnds;
  Settings.MaxEntries = MaxRows;
  return Settings;
}

/// One start of a process, as every host names it.
std::uint64_t lifeOf(const upstream &Upstream) {
  return hash64(Upstream.Id, static_cast<std::uint64_t>(Upstream.StartedMs));
}

} // namespace

std::string_view nameOf(exit_evidence Evidence) {
  switch (Evidence) {
  case exit_evidence::ConnectionRefused:
    return "nobody listens at its address";
  case exit_evidence::Deregistered:
    return "its entry has vanished";
  }
  return "unknown";
}

crash_tracker::crash_tracker(std::string Self)
    : Self(std::move(Self)), Table(settings()) {}

call_fingerprints crash_tracker::fingerprintsOf(std::string_view Program,
                                                std::string_view Target,
                                                std::string_view Body) {
  std::uint64_t Content = hash64(Target, hash64(Body));
  call_fingerprints Fingerprints;
  Fingerprints.Exact = hash64(Program, Content);
  if (!Body.empty())
    Fingerprints.Content = Content;
  return Fingerprints;
}

std::optional<quarantine_status>
crash_tracker::quarantineOf(const call_fingerprints &Fingerprints,
                            time_point Now) const {
  if (Table.size() == 0)
    return std::nullopt;
  auto Judge = [&](std::uint64_t Fingerprint,
                   milliseconds Keep) -> std::optional<quarantine_status> {
    auto Deaths = Table.crashes(Fingerprint, Now);
    std::erase_if(Deaths, [&](const sched::known_crash &Row) {
      return Row.Crash.Age >= Keep;
    });
    if (Deaths.size() < static_cast<std::size_t>(MaxEnds))
      return std::nullopt;
    // It lapses when the oldest of the last few does.
    const auto &Decisive = Deaths[Deaths.size() - MaxEnds];
    return quarantine_status{Keep - Decisive.Crash.Age, std::move(Deaths)};
  };
  if (auto Quarantine = Judge(Fingerprints.Exact, KeepEnds))
    return Quarantine;
  return Judge(Fingerprints.Content, KeepContent);
}

void crash_tracker::count(const unfinished_call &Call, time_point Now,
                          std::vector<std::uint64_t> &Changed) {
  sched::crash_record Death{Call.Life, milliseconds(0), Call.Upstream, Self};
  if (Table.recordCrash(Call.Fingerprints.Exact, Death, Now))
    Changed.push_back(Call.Fingerprints.Exact);
  // Many requests with one body may be under way when several upstreams end
  // together. Only one that was sent after the last end is new evidence.
  auto Known = Table.crashes(Call.Fingerprints.Content, Now);
  bool After = Known.empty() || Now - Known.back().Crash.Age < Call.SentAt;
  if (After && Table.recordCrash(Call.Fingerprints.Content, Death, Now))
    Changed.push_back(Call.Fingerprints.Content);
}

std::vector<std::uint64_t>
crash_tracker::recordAbort(const upstream &Upstream,
                           const call_fingerprints &Fingerprints,
                           abort_kind Kind, time_point SentAt, time_point Now) {
  std::vector<std::uint64_t> Changed;
  Table.expire(Now);
  std::erase_if(Calls, [&](const unfinished_call &Call) {
    return Now - Call.At >= EvidenceWindow;
  });
  unfinished_call Call{
      lifeOf(Upstream), Fingerprints,      Kind, SentAt, Now, Upstream.Id,
      Upstream.Address, Upstream.StartedMs};
  if (Ended.count(Call.Life) > 0) {
    count(Call, Now, Changed);
    return Changed;
  }
  if (Calls.size() >= MaxUnfinished)
    Calls.pop_front();
  Calls.push_back(std::move(Call));
  return Changed;
}

void crash_tracker::recordResponse(const upstream &Upstream,
                                   time_point SentAt) {
  if (Calls.empty())
    return;
  std::uint64_t Life = lifeOf(Upstream);
  std::erase_if(Calls, [&](const unfinished_call &Call) {
    return Call.Life == Life && Call.At < SentAt;
  });
}

template <typename Predicate>
std::vector<std::uint64_t> crash_tracker::countWhere(time_point Now,
                                                     Predicate HasEnded) {
  std::vector<std::uint64_t> Changed;
  std::erase_if(Calls, [&](const unfinished_call &Call) {
    if (!HasEnded(Call))
      return false;
    if (Now - Call.At < EvidenceWindow)
      count(Call, Now, Changed);
    return true;
  });
  return Changed;
}

std::vector<std::uint64_t> crash_tracker::recordExit(const upstream &Upstream,
                                                     exit_evidence Evidence,
                                                     time_point Now) {
  std::uint64_t Life = lifeOf(Upstream);
  bool Certain = Evidence != exit_evidence::Deregistered;
  if (Certain) {
    std::erase_if(
        Ended, [&](const auto &Row) { return Now - Row.second >= KeepLives; });
    if (Ended.size() < MaxLives)
      Ended.try_emplace(Life, Now);
  }
  return countWhere(Now, [&](const unfinished_call &Call) {
    return Call.Life == Life && (Certain || Call.Kind == abort_kind::Broken);
  });
}

std::vector<std::uint64_t> crash_tracker::recordStart(const upstream &Upstream,
                                                      time_point Now) {
  return countWhere(Now, [&](const unfinished_call &Call) {
    return Call.Address == Upstream.Address &&
           Call.StartedMs < Upstream.StartedMs;
  });
}

std::vector<std::uint64_t>
crash_tracker::recordSuccess(const call_fingerprints &Fingerprints,
                             time_point Now) {
  std::vector<std::uint64_t> Changed;
  if (Table.size() == 0)
    return Changed;
  for (std::uint64_t Fingerprint : {Fingerprints.Exact, Fingerprints.Content})
    if (Table.recordSuccess(Fingerprint, Now))
      Changed.push_back(Fingerprint);
  return Changed;
}

bool crash_tracker::hasUnresolvedAborts(const upstream &Upstream) const {
  std::uint64_t Life = lifeOf(Upstream);
  return std::any_of(Calls.begin(), Calls.end(), [&](const auto &Call) {
    return Call.Life == Life && Call.Kind == abort_kind::Broken;
  });
}

std::vector<sched::known_crash>
crash_tracker::crashesOf(std::uint64_t Fingerprint, time_point Now) const {
  return Table.crashes(Fingerprint, Now);
}

std::vector<sched::poison_entry>
crash_tracker::entriesOf(std::span<const std::uint64_t> Fingerprints,
                         time_point Now) const {
  std::vector<sched::poison_entry> Entries;
  for (std::uint64_t Fingerprint : Fingerprints)
    if (auto Entry = Table.entry(Fingerprint, Now))
      Entries.push_back(std::move(*Entry));
  return Entries;
}

std::vector<sched::poison_entry>
crash_tracker::entriesWithAtLeast(std::size_t MinCrashes,
                                  time_point Now) const {
  std::vector<sched::poison_entry> Entries = Table.entries(Now);
  std::erase_if(Entries, [&](const sched::poison_entry &Entry) {
    return Entry.Crashes.size() < MinCrashes;
  });
  return Entries;
}

std::vector<std::uint64_t>
crash_tracker::merge(std::span<const sched::poison_entry> Entries,
                     time_point Now) {
  Table.expire(Now);
  return Table.merge(Entries, Now);
}

} // namespace turmerichead::relay
