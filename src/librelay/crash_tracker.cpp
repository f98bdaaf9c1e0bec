#include "turmerichead/relay_crash_tracker.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <array>
#include <set>

namespace turmerichead::relay {

namespace {

// Crashes after which a request is quarantined.
constexpr int MaxCrashes = 3;
constexpr milliseconds CrashRetention{600'000};
constexpr std::size_t MaxRows = 4096;

// A request with a shared fingerprint counts if it was sent this long after the
// crash before, unless its body tells it from the other requests of its caller.
// Retries of sound requests follow at once, and upstreams that crash together
// take them along.
constexpr milliseconds MinTimeAfterCrash{250};
// Time from the last crash of a shared fingerprint to its first probe.
constexpr milliseconds FirstProbeDelay{20'000};
// Failed probes after which a quarantine lasts until the crashes expire.
constexpr std::size_t MaxProbes = 2;
// Time in which one host may probe. It covers the run of the probe and the time
// until all hosts know of its crash.
constexpr milliseconds ProbeTurn{4000};

constexpr std::array<fingerprint_kind, 4> Kinds = {
    fingerprint_kind::Program, fingerprint_kind::Caller,
    fingerprint_kind::Content, fingerprint_kind::Target};

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

/// Returns the number of callers of the requests. One that is not known counts
/// as another.
std::size_t callerCount(std::span<const sched::known_crash> Crashes) {
  std::set<std::uint64_t> Known;
  std::size_t Unknown = 0;
  for (const sched::known_crash &Row : Crashes)
    if (Row.Crash.Caller == 0)
      ++Unknown;
    else
      Known.insert(Row.Crash.Caller);
  return Known.size() + Unknown;
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

std::string_view nameOf(fingerprint_kind Kind) {
  switch (Kind) {
  case fingerprint_kind::Program:
    return "program";
  case fingerprint_kind::Caller:
    return "caller";
  case fingerprint_kind::Content:
    return "content";
  case fingerprint_kind::Target:
    return "target";
  }
  return "unknown";
}

// -- Fingerprints ------------------------------------------------------------

std::uint64_t call_fingerprints::valueOf(fingerprint_kind Kind) const {
  switch (Kind) {
  case fingerprint_kind::Program:
    return Exact;
  case fingerprint_kind::Caller:
    return Caller;
  case fingerprint_kind::Content:
    return Content;
  case fingerprint_kind::Target:
    return Target;
  }
  return 0;
}

void call_fingerprints::dropShared(const call_fingerprints &Cleared) {
  for (auto Value : {&call_fingerprints::Caller, &call_fingerprints::Content,
                     &call_fingerprints::Target})
    if (this->*Value == Cleared.*Value)
      this->*Value = 0;
}

call_fingerprints
crash_tracker::fingerprintsOf(const request_identity &Request) {
  std::uint64_t Content = hash64(Request.Target, hash64(Request.Body));
  std::uint64_t WithMethod = hash64(Request.Method, Content);
  call_fingerprints Fingerprints;
  Fingerprints.Exact = hash64(Request.Program, Content);
  if (!Request.Body.empty())
    Fingerprints.Content = Content;
  else if (!Request.Method.empty())
    Fingerprints.Target = hash64("target", WithMethod);
  if (!Request.Caller.empty()) {
    Fingerprints.CallerId = hash64(Request.Caller);
    Fingerprints.Caller = hash64("caller", Fingerprints.CallerId ^ WithMethod);
  }
  return Fingerprints;
}

call_fingerprints crash_tracker::fingerprintsOf(std::string_view Program,
                                                std::string_view Target,
                                                std::string_view Body) {
  return fingerprintsOf({Program, {}, {}, Target, Body});
}

// -- Quarantine --------------------------------------------------------------

void crash_tracker::setHosts(std::span<const std::string> Hosts,
                             std::string_view OwnName) {
  HostCount = Hosts.size();
  OwnTurn.reset();
  if (std::ranges::find(Hosts, OwnName) != Hosts.end())
    OwnTurn = std::ranges::count_if(
        Hosts, [&](const std::string &Name) { return Name < OwnName; });
}

std::optional<quarantine_status>
crash_tracker::quarantineOf(const call_fingerprints &Fingerprints,
                            time_point Now) const {
  if (Table.size() == 0)
    return std::nullopt;
  for (fingerprint_kind Kind : Kinds) {
    std::uint64_t Value = Fingerprints.valueOf(Kind);
    auto Quarantine = isShared(Kind) ? sharedQuarantine(Fingerprints, Kind, Now)
                                     : programQuarantine(Value, Now);
    if (Quarantine)
      return Quarantine;
  }
  return std::nullopt;
}

std::optional<quarantine_status>
crash_tracker::programQuarantine(std::uint64_t Fingerprint,
                                 time_point Now) const {
  auto Crashes = Table.crashes(Fingerprint, Now);
  if (Crashes.size() < MaxCrashes)
    return std::nullopt;
  // The quarantine ends when the oldest of the last MaxCrashes crashes expires.
  milliseconds Age = Crashes[Crashes.size() - MaxCrashes].Crash.Age;
  return quarantine_status{fingerprint_kind::Program, CrashRetention - Age,
                           std::move(Crashes)};
}

std::vector<sched::known_crash>
crash_tracker::countedCrashes(const call_fingerprints &Fingerprints,
                              fingerprint_kind Kind, time_point Now) const {
  bool IsOneRequest =
      Kind == fingerprint_kind::Caller && Fingerprints.hasBody();
  milliseconds MinTime = IsOneRequest ? milliseconds(0) : MinTimeAfterCrash;
  std::vector<sched::known_crash> Counted;
  for (sched::known_crash &Row :
       Table.crashes(Fingerprints.valueOf(Kind), Now)) {
    milliseconds SentAge = Row.Crash.Age + Row.Crash.Duration;
    if (Counted.empty() || SentAge + MinTime <= Counted.back().Crash.Age)
      Counted.push_back(std::move(Row));
  }
  if (Counted.size() < MaxCrashes)
    return {};
  if (Kind != fingerprint_kind::Caller && callerCount(Counted) < MaxCrashes)
    return {};
  return Counted;
}

std::optional<quarantine_status>
crash_tracker::sharedQuarantine(const call_fingerprints &Fingerprints,
                                fingerprint_kind Kind, time_point Now) const {
  auto Crashes = countedCrashes(Fingerprints, Kind, Now);
  if (Crashes.empty())
    return std::nullopt;
  milliseconds SinceLast = Crashes.back().Crash.Age;
  std::size_t FailedProbes = Crashes.size() - MaxCrashes;
  milliseconds ExpiresIn =
      CrashRetention - Crashes[Crashes.size() - MaxCrashes].Crash.Age;
  if (FailedProbes < MaxProbes) {
    milliseconds Delay = FirstProbeDelay * (1 << FailedProbes);
    ExpiresIn = SinceLast < Delay ? Delay - SinceLast
                                  : timeUntilProbe(Fingerprints.valueOf(Kind),
                                                   SinceLast - Delay, Now);
  }
  if (ExpiresIn <= milliseconds(0))
    return std::nullopt;
  return quarantine_status{Kind, ExpiresIn, std::move(Crashes)};
}

milliseconds crash_tracker::timeUntilProbe(std::uint64_t Fingerprint,
                                           milliseconds HalfOpenFor,
                                           time_point Now) const {
  if (HostCount > 0) {
    auto Turn = static_cast<std::uint64_t>(HalfOpenFor / ProbeTurn);
    if (OwnTurn != (Fingerprint + Turn) % HostCount)
      return ProbeTurn - HalfOpenFor % ProbeTurn;
  }
  auto Probe = Probes.find(Fingerprint);
  return Probe == Probes.end() ? milliseconds(0)
                               : ProbeTurn - (Now - Probe->second);
}

void crash_tracker::recordSend(const call_fingerprints &Fingerprints,
                               time_point Now) {
  if (Table.size() == 0)
    return;
  std::erase_if(Probes,
                [&](const auto &Row) { return Now - Row.second >= ProbeTurn; });
  for (fingerprint_kind Kind : Kinds) {
    if (isShared(Kind) && !countedCrashes(Fingerprints, Kind, Now).empty())
      Probes[Fingerprints.valueOf(Kind)] = Now;
  }
}

bool crash_tracker::isSuspect(const call_fingerprints &Fingerprints,
                              time_point Now) const {
  return std::ranges::any_of(Kinds, [&](fingerprint_kind Kind) {
    return !Table.crashes(Fingerprints.valueOf(Kind), Now).empty();
  });
}

// -- Evidence ----------------------------------------------------------------

bool crash_tracker::followsKnownCrashes(std::uint64_t Fingerprint,
                                        const sched::crash_record &Crash,
                                        time_point Now) const {
  auto Known = Table.crashes(Fingerprint, Now);
  return Known.empty() || Crash.Age + Crash.Duration <= Known.back().Crash.Age;
}

void crash_tracker::recordCrash(const aborted_call &Call, time_point Now,
                                std::vector<std::uint64_t> &Changed) {
  sched::crash_record Crash{Call.InstanceId,       Now - Call.At,
                            Call.Upstream,         Self,
                            Call.At - Call.SentAt, Call.Fingerprints.CallerId};
  for (fingerprint_kind Kind : Kinds) {
    std::uint64_t Value = Call.Fingerprints.valueOf(Kind);
    if (isShared(Kind) && !followsKnownCrashes(Value, Crash, Now))
      continue;
    if (Table.recordCrash(Value, Crash, Now))
      Changed.push_back(Value);
  }
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
  for (aborted_call &Call : AbortedCalls)
    Call.Fingerprints.dropShared(Fingerprints);
  if (Table.size() == 0)
    return Changed;
  for (fingerprint_kind Kind : Kinds)
    if (Table.recordSuccess(Fingerprints.valueOf(Kind), Now))
      Changed.push_back(Fingerprints.valueOf(Kind));
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
