#include "turmerichead/relay_crash_tracker.h"

#include "turmerichead/hash.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// Crashes after which a request is quarantined.
constexpr int MaxCrashes = 3;
constexpr milliseconds CrashRetention{600'000};
// Requests of many programs may share a body. While a body is quarantined, no
// run can succeed and clear it, so a quarantine by content alone expires soon.
constexpr milliseconds ContentCrashRetention{60'000};
constexpr std::size_t MaxRows = 4096;

// Maximum time from an aborted call to the evidence that its upstream has
// exited. Entries expire and processes restart within seconds.
constexpr milliseconds EvidenceWindow{15'000};
constexpr std::size_t MaxAbortedCalls = 2000;
// An aborted call may be noticed after the evidence of the exit.
constexpr milliseconds ExitRetention{30'000};
constexpr std::size_t MaxExitedInstances = 1000;

sched::poison_settings settings() {
  sched::poison_settings Settings;
  Settings.MaxCrashes = MaxCrashes;
  Settings.KeepFor = CrashRetention;
  Settings.MaxEntries = MaxRows;
  return Settings;
}

/// Returns the id of one start of an upstream process. All hosts compute the
/// same id.
std::uint64_t instanceIdOf(const upstream &Upstream) {
  return hash64(Upstream.Id, static_cast<std::uint64_t>(Upstream.StartedMs));
}

} // namespace

std::string_view nameOf(exit_evidence Evidence) {
  switch (Evidence) {
  case exit_evidence::ConnectionRefused:
    return "connection refused";
  case exit_evidence::Deregistered:
    return "entry removed";
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
  auto CheckFingerprint =
      [&](std::uint64_t Fingerprint,
          milliseconds Retention) -> std::optional<quarantine_status> {
    auto Crashes = Table.crashes(Fingerprint, Now);
    std::erase_if(Crashes, [&](const sched::known_crash &Row) {
      return Row.Crash.Age >= Retention;
    });
    if (Crashes.size() < static_cast<std::size_t>(MaxCrashes))
      return std::nullopt;
    // The quarantine ends when the oldest of the last MaxCrashes crashes
    // expires.
    const auto &OldestCounted = Crashes[Crashes.size() - MaxCrashes];
    return quarantine_status{Retention - OldestCounted.Crash.Age,
                             std::move(Crashes)};
  };
  if (auto Quarantine = CheckFingerprint(Fingerprints.Exact, CrashRetention))
    return Quarantine;
  return CheckFingerprint(Fingerprints.Content, ContentCrashRetention);
}

void crash_tracker::recordCrash(const aborted_call &Call, time_point Now,
                                std::vector<std::uint64_t> &Changed) {
  sched::crash_record Crash{Call.InstanceId, milliseconds(0), Call.Upstream,
                            Self};
  if (Table.recordCrash(Call.Fingerprints.Exact, Crash, Now))
    Changed.push_back(Call.Fingerprints.Exact);
  // Many requests with the same body may be in flight when several upstreams
  // crash together. Only a request sent after the last recorded crash is new
  // evidence.
  auto KnownCrashes = Table.crashes(Call.Fingerprints.Content, Now);
  bool SentAfterLastCrash =
      KnownCrashes.empty() || Now - KnownCrashes.back().Crash.Age < Call.SentAt;
  if (SentAfterLastCrash &&
      Table.recordCrash(Call.Fingerprints.Content, Crash, Now))
    Changed.push_back(Call.Fingerprints.Content);
}

std::vector<std::uint64_t>
crash_tracker::recordAbort(const upstream &Upstream,
                           const call_fingerprints &Fingerprints,
                           abort_kind Kind, time_point SentAt, time_point Now) {
  std::vector<std::uint64_t> Changed;
  Table.expire(Now);
  std::erase_if(AbortedCalls, [&](const aborted_call &Call) {
    return Now - Call.At >= EvidenceWindow;
  });
  aborted_call Call{
      instanceIdOf(Upstream), Fingerprints,      Kind, SentAt, Now, Upstream.Id,
      Upstream.Address,       Upstream.StartedMs};
  if (ExitedInstances.count(Call.InstanceId) > 0) {
    recordCrash(Call, Now, Changed);
    return Changed;
  }
  if (AbortedCalls.size() >= MaxAbortedCalls)
    AbortedCalls.pop_front();
  AbortedCalls.push_back(std::move(Call));
  return Changed;
}

void crash_tracker::recordResponse(const upstream &Upstream,
                                   time_point SentAt) {
  if (AbortedCalls.empty())
    return;
  std::uint64_t InstanceId = instanceIdOf(Upstream);
  std::erase_if(AbortedCalls, [&](const aborted_call &Call) {
    return Call.InstanceId == InstanceId && Call.At < SentAt;
  });
}

template <typename Predicate>
std::vector<std::uint64_t> crash_tracker::recordCrashes(time_point Now,
                                                        Predicate HasExited) {
  std::vector<std::uint64_t> Changed;
  std::erase_if(AbortedCalls, [&](const aborted_call &Call) {
    if (!HasExited(Call))
      return false;
    if (Now - Call.At < EvidenceWindow)
      recordCrash(Call, Now, Changed);
    return true;
  });
  return Changed;
}

std::vector<std::uint64_t> crash_tracker::recordExit(const upstream &Upstream,
                                                     exit_evidence Evidence,
                                                     time_point Now) {
  std::uint64_t InstanceId = instanceIdOf(Upstream);
  bool IsCertain = Evidence != exit_evidence::Deregistered;
  if (IsCertain) {
    std::erase_if(ExitedInstances, [&](const auto &Row) {
      return Now - Row.second >= ExitRetention;
    });
    if (ExitedInstances.size() < MaxExitedInstances)
      ExitedInstances.try_emplace(InstanceId, Now);
  }
  return recordCrashes(Now, [&](const aborted_call &Call) {
    return Call.InstanceId == InstanceId &&
           (IsCertain || Call.Kind == abort_kind::Broken);
  });
}

std::vector<std::uint64_t> crash_tracker::recordStart(const upstream &Upstream,
                                                      time_point Now) {
  return recordCrashes(Now, [&](const aborted_call &Call) {
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
  std::uint64_t InstanceId = instanceIdOf(Upstream);
  return std::any_of(
      AbortedCalls.begin(), AbortedCalls.end(), [&](const auto &Call) {
        return Call.InstanceId == InstanceId && Call.Kind == abort_kind::Broken;
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
