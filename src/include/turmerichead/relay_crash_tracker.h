/// \file
/// Detects requests that crash the upstreams that run them.
///
/// When the connection to an upstream breaks during a call, either only the
/// answer was lost or the upstream process crashed. The call counts as
/// in flight at a crash only once there is evidence that this very process has
/// exited: its address refuses connections, another process has started there,
/// or its entry was removed. A request that was in flight at three crashes is
/// quarantined, because it would crash every upstream that runs it. Expected
/// load: one request that crashes its runner and is retried through any host,
/// while harmless requests are in flight at the same runners.
///
/// The tracker does no I/O. crash_gossip (relay_crash_gossip.h) propagates its
/// records to other hosts.
#pragma once

#include "turmerichead/relay_upstreams.h"
#include "turmerichead/sched_poison.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// The properties by which a request is recognized when it is sent again. The
/// text belongs to the caller of the function that takes it.
struct request_identity {
  std::string_view Program; ///< With its organisation; empty: none.
  std::string_view Caller;  ///< Organisation or address; empty: not known.
  std::string_view Method;  ///< Empty: not known.
  std::string_view Target;
  std::string_view Body;
};

/// What requests with the same fingerprint have in common.
enum class fingerprint_kind : std::uint8_t {
  Program, ///< Program, target and body.
  Caller,  ///< Caller, method, target and body.
  Content, ///< Target and body.
  Target   ///< Method and target, of requests without a body.
};
std::string_view nameOf(fingerprint_kind Kind);

/// Whether requests of many programs may have a fingerprint of this kind.
constexpr bool isShared(fingerprint_kind Kind) {
  return Kind != fingerprint_kind::Program;
}

/// Identifies a request when it is sent again. A value is 0 if the request has
/// no fingerprint of the kind.
struct call_fingerprints {
  /// Kind Program. Without a program it is that of all requests that have none.
  std::uint64_t Exact = 0;
  std::uint64_t Caller = 0;
  std::uint64_t Content = 0;
  std::uint64_t Target = 0;
  std::uint64_t CallerId = 0; ///< Hash of the caller alone.

  std::uint64_t valueOf(fingerprint_kind Kind) const;
  bool hasBody() const { return Content != 0; }
  /// Sets shared ones to 0 that are also in \p Cleared.
  void dropShared(const call_fingerprints &Cleared);
};

/// How a call ended without a complete answer.
enum class abort_kind : std::uint8_t {
  Broken,   ///< The connection or the upstream failed.
  Cancelled ///< The relay or its caller cancelled the call.
};

/// Evidence that the process of an upstream has exited.
enum class exit_evidence : std::uint8_t {
  ConnectionRefused, ///< Its address refuses connections.
  Deregistered ///< Its entry was removed; it may also have shut down cleanly.
};
std::string_view nameOf(exit_evidence Evidence);

/// The quarantine of one request.
struct quarantine_status {
  fingerprint_kind Kind = fingerprint_kind::Program;
  /// Time until it may be sent again, unless it is renewed.
  milliseconds ExpiresIn{0};
  std::vector<sched::known_crash> Crashes; ///< The oldest first.
};

/// Crash records by request fingerprint. Each host owns one and uses it in one
/// thread only. Its size is bounded.
class crash_tracker {
public:
  /// \p Self is the name of this host; records carry it as the observer.
  explicit crash_tracker(std::string Self);

  static call_fingerprints fingerprintsOf(const request_identity &Request);
  static call_fingerprints fingerprintsOf(std::string_view Program,
                                          std::string_view Target,
                                          std::string_view Body);

  /// Sets the hosts that send requests to upstreams, and this host's name among
  /// them. They take turns in probing shared fingerprints.
  void setHosts(std::span<const std::string> Hosts, std::string_view OwnName);

  /// Returns the quarantine of a request, or nullopt if it may be sent now.
  ///
  /// A fingerprint of a program is quarantined until its crashes expire. For a
  /// shared fingerprint only crashes of which one request was sent well after
  /// the crash of the one before count, as requests that are in flight together
  /// prove nothing of each other, and unless it is that of a caller, they must
  /// come from three callers. The same request of one caller, with a body, may
  /// also follow at once, as a resumed stream does. Its quarantine works like a
  /// circuit breaker: after a time one host sends one request as a probe. A
  /// success ends the quarantine, another crash doubles its time. After a few
  /// failed probes it lasts until the crashes expire.
  std::optional<quarantine_status>
  quarantineOf(const call_fingerprints &Fingerprints, time_point Now) const;

  /// Records that a request is sent that quarantineOf() allowed. If it is the
  /// probe of a quarantine, no other one is allowed for a while.
  void recordSend(const call_fingerprints &Fingerprints, time_point Now);

  /// Returns whether a crash is recorded for any fingerprint of the request.
  bool isSuspect(const call_fingerprints &Fingerprints, time_point Now) const;

  /// Records that a call to \p Upstream, sent at \p SentAt, ended without a
  /// complete answer. Like the functions below, returns the fingerprints whose
  /// records have changed.
  std::vector<std::uint64_t> recordAbort(const upstream &Upstream,
                                         const call_fingerprints &Fingerprints,
                                         abort_kind Kind, time_point SentAt,
                                         time_point Now);

  /// Records that \p Upstream has begun to answer a call sent at \p SentAt.
  /// Calls that were aborted there before \p SentAt did not crash it.
  void recordResponse(const upstream &Upstream, time_point SentAt);

  /// Records that the process of \p Upstream has exited.
  std::vector<std::uint64_t> recordExit(const upstream &Upstream,
                                        exit_evidence Evidence, time_point Now);

  /// Records that \p Upstream has started. An older process at the same address
  /// has therefore exited.
  std::vector<std::uint64_t> recordStart(const upstream &Upstream,
                                         time_point Now);

  /// Records a complete run, which clears the records of the request.
  std::vector<std::uint64_t>
  recordSuccess(const call_fingerprints &Fingerprints, time_point Now);

  /// Returns whether calls to \p Upstream broke and it is not yet known whether
  /// it has exited.
  bool hasUnresolvedAborts(const upstream &Upstream) const;

  /// Returns the crashes recorded for a fingerprint, the oldest first.
  std::vector<sched::known_crash> crashesOf(std::uint64_t Fingerprint,
                                            time_point Now) const;

  // -- Exchange with other hosts --
  /// Returns the records of the given fingerprints.
  std::vector<sched::poison_entry>
  entriesOf(std::span<const std::uint64_t> Fingerprints, time_point Now) const;
  /// Returns the records with at least \p MinCrashes crashes.
  std::vector<sched::poison_entry> entriesWithAtLeast(std::size_t MinCrashes,
                                                      time_point Now) const;
  /// Merges records of another host. Returns the fingerprints whose records
  /// have changed.
  std::vector<std::uint64_t> merge(std::span<const sched::poison_entry> Entries,
                                   time_point Now);

  std::size_t size() const { return Table.size(); }

private:
  /// An aborted call for which there is no evidence of a crash yet.
  struct aborted_call {
    std::uint64_t InstanceId = 0; ///< See instanceIdOf().
    call_fingerprints Fingerprints;
    abort_kind Kind = abort_kind::Broken;
    time_point SentAt;
    time_point At; ///< When the call was aborted.
    std::string Upstream;
    std::string Address;
    std::int64_t StartedMs = 0; ///< Start time of the upstream process.
  };
  /// Records a crash for each aborted call whose upstream has exited according
  /// to \p HasExited, and removes these calls from the list.
  template <typename Predicate>
  std::vector<std::uint64_t> recordCrashes(time_point Now, Predicate HasExited);
  void recordCrash(const aborted_call &Call, time_point Now,
                   std::vector<std::uint64_t> &Changed);
  /// Returns whether the request of \p Crash was sent after the last known
  /// crash.
  bool followsKnownCrashes(std::uint64_t Fingerprint,
                           const sched::crash_record &Crash,
                           time_point Now) const;
  std::optional<quarantine_status> programQuarantine(std::uint64_t Fingerprint,
                                                     time_point Now) const;
  std::optional<quarantine_status>
  sharedQuarantine(const call_fingerprints &Fingerprints, fingerprint_kind Kind,
                   time_point Now) const;
  /// Returns the crashes of a shared fingerprint that count, the oldest first;
  /// none if there are too few for a quarantine.
  std::vector<sched::known_crash>
  countedCrashes(const call_fingerprints &Fingerprints, fingerprint_kind Kind,
                 time_point Now) const;
  /// Returns the time until this host may send a probe, given the time since
  /// all hosts may; 0 if it may now.
  milliseconds timeUntilProbe(std::uint64_t Fingerprint,
                              milliseconds HalfOpenFor, time_point Now) const;

  std::string Self;
  sched::poison_table Table;
  std::deque<aborted_call> AbortedCalls; ///< The newest last.
  /// Time of exit by instance id.
  std::map<std::uint64_t, time_point> ExitedInstances;
  /// Time of the last probe of this host by fingerprint.
  std::map<std::uint64_t, time_point> Probes;
  std::size_t HostCount = 0;          ///< Hosts that probe; 0: only this one.
  std::optional<std::size_t> OwnTurn; ///< Unset if this host is not one.
};

} // namespace turmerichead::relay
