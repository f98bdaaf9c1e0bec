#include "turmerichead/relay_suspects.h"

#include "turmerichead/hash.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// Ends after which a request is refused.
constexpr int MaxEnds = 3;
constexpr milliseconds KeepEnds{600'000};
// Requests of many programs may share a body. While it is refused it can't
// show that it runs well, so a verdict on the body alone lapses soon.
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

std::string_view nameOf(end_evidence Evidence) {
  switch (Evidence) {
  case end_evidence::Refused:
    return "nobody listens at its address";
  case end_evidence::Vanished:
    return "its entry has vanished";
  }
  return "unknown";
}

suspects::suspects(std::string Self)
    : Self(std::move(Self)), Table(settings()) {}

call_prints suspects::printsOf(std::string_view Program,
                               std::string_view Target, std::string_view Body) {
  std::uint64_t Content = hash64(Target, hash64(Body));
  call_prints Prints;
  Prints.Exact = hash64(Program, Content);
  if (!Body.empty())
    Prints.Content = Content;
  return Prints;
}

std::optional<condemnation> suspects::verdict(const call_prints &Prints,
                                              time_point Now) const {
  if (Table.size() == 0)
    return std::nullopt;
  auto Judge = [&](std::uint64_t Print,
                   milliseconds Keep) -> std::optional<condemnation> {
    auto Deaths = Table.crashes(Print, Now);
    std::erase_if(Deaths, [&](const sched::known_crash &Row) {
      return Row.Crash.Age >= Keep;
    });
    if (Deaths.size() < static_cast<std::size_t>(MaxEnds))
      return std::nullopt;
    // It lapses when the oldest of the last few does.
    const auto &Decisive = Deaths[Deaths.size() - MaxEnds];
    return condemnation{Keep - Decisive.Crash.Age, std::move(Deaths)};
  };
  if (auto Verdict = Judge(Prints.Exact, KeepEnds))
    return Verdict;
  return Judge(Prints.Content, KeepContent);
}

void suspects::count(const unfinished_call &Call, time_point Now,
                     std::vector<std::uint64_t> &Changed) {
  sched::crash_record Death{Call.Life, milliseconds(0), Call.Upstream, Self};
  if (Table.recordCrash(Call.Prints.Exact, Death, Now))
    Changed.push_back(Call.Prints.Exact);
  // Many requests with one body may be under way when several upstreams end
  // together. Only one that was sent after the last end is new evidence.
  auto Known = Table.crashes(Call.Prints.Content, Now);
  bool After = Known.empty() || Now - Known.back().Crash.Age < Call.SentAt;
  if (After && Table.recordCrash(Call.Prints.Content, Death, Now))
    Changed.push_back(Call.Prints.Content);
}

std::vector<std::uint64_t>
suspects::noteUnfinished(const upstream &Upstream, const call_prints &Prints,
                         unfinished How, time_point SentAt, time_point Now) {
  std::vector<std::uint64_t> Changed;
  Table.expire(Now);
  std::erase_if(Calls, [&](const unfinished_call &Call) {
    return Now - Call.At >= EvidenceWindow;
  });
  unfinished_call Call{lifeOf(Upstream),
                       Prints,
                       How,
                       SentAt,
                       Now,
                       Upstream.Id,
                       Upstream.Address,
                       Upstream.StartedMs};
  if (Ended.count(Call.Life) > 0) {
    count(Call, Now, Changed);
    return Changed;
  }
  if (Calls.size() >= MaxUnfinished)
    Calls.pop_front();
  Calls.push_back(std::move(Call));
  return Changed;
}

void suspects::noteAnswer(const upstream &Upstream, time_point SentAt) {
  if (Calls.empty())
    return;
  std::uint64_t Life = lifeOf(Upstream);
  std::erase_if(Calls, [&](const unfinished_call &Call) {
    return Call.Life == Life && Call.At < SentAt;
  });
}

template <typename Predicate>
std::vector<std::uint64_t> suspects::countWhere(time_point Now,
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

std::vector<std::uint64_t> suspects::noteEnded(const upstream &Upstream,
                                               end_evidence Evidence,
                                               time_point Now) {
  std::uint64_t Life = lifeOf(Upstream);
  bool Certain = Evidence != end_evidence::Vanished;
  if (Certain) {
    std::erase_if(
        Ended, [&](const auto &Row) { return Now - Row.second >= KeepLives; });
    if (Ended.size() < MaxLives)
      Ended.try_emplace(Life, Now);
  }
  return countWhere(Now, [&](const unfinished_call &Call) {
    return Call.Life == Life && (Certain || Call.How == unfinished::Broken);
  });
}

std::vector<std::uint64_t> suspects::noteStarted(const upstream &Upstream,
                                                 time_point Now) {
  return countWhere(Now, [&](const unfinished_call &Call) {
    return Call.Address == Upstream.Address &&
           Call.StartedMs < Upstream.StartedMs;
  });
}

std::vector<std::uint64_t> suspects::noteSuccess(const call_prints &Prints,
                                                 time_point Now) {
  std::vector<std::uint64_t> Changed;
  if (Table.size() == 0)
    return Changed;
  for (std::uint64_t Print : {Prints.Exact, Prints.Content})
    if (Table.recordSuccess(Print, Now))
      Changed.push_back(Print);
  return Changed;
}

bool suspects::isUnclear(const upstream &Upstream) const {
  std::uint64_t Life = lifeOf(Upstream);
  return std::any_of(Calls.begin(), Calls.end(), [&](const auto &Call) {
    return Call.Life == Life && Call.How == unfinished::Broken;
  });
}

std::vector<sched::known_crash> suspects::endsOf(std::uint64_t Fingerprint,
                                                 time_point Now) const {
  return Table.crashes(Fingerprint, Now);
}

std::vector<sched::poison_entry>
suspects::entriesOf(std::span<const std::uint64_t> Prints,
                    time_point Now) const {
  std::vector<sched::poison_entry> Entries;
  for (std::uint64_t Print : Prints)
    if (auto Entry = Table.entry(Print, Now))
      Entries.push_back(std::move(*Entry));
  return Entries;
}

std::vector<sched::poison_entry> suspects::entriesWith(std::size_t LeastEnds,
                                                       time_point Now) const {
  std::vector<sched::poison_entry> Entries = Table.entries(Now);
  std::erase_if(Entries, [&](const sched::poison_entry &Entry) {
    return Entry.Crashes.size() < LeastEnds;
  });
  return Entries;
}

std::vector<std::uint64_t>
suspects::merge(std::span<const sched::poison_entry> Entries, time_point Now) {
  Table.expire(Now);
  return Table.merge(Entries, Now);
}

} // namespace turmerichead::relay
