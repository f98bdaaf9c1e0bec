/// \file
/// Requests that end the upstreams that run them.
///
/// A call that an upstream breaks off may mean a lost answer or the end of the
/// upstream's process. It counts as an end once there is evidence that this
/// very process is gone: nobody listens at its address, another process is
/// there, or its entry has vanished. A request that was under way at three
/// ends is refused: it would end every upstream that runs it. The load pattern
/// that it answers: one request that crashes its runner and comes again and
/// again through any host, beside sound requests that are under way at the
/// same runners.
///
/// It decides alone; crash_gossip (relay_crash_gossip.h) tells other hosts.
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

/// What a request is known by when it comes again.
struct call_fingerprints {
  std::uint64_t Exact = 0; ///< Of program, target and body.
  /// Of target and body, for a caller that comes under another program; 0 if
  /// there is no body.
  std::uint64_t Content = 0;
};

/// Kind a call ended without a complete answer.
enum class abort_kind : std::uint8_t {
  Broken,   ///< The upstream's side broke it off.
  Cancelled ///< This side gave it up, or its caller did.
};

/// Why the process of an upstream is known to have ended.
enum class exit_evidence : std::uint8_t {
  ConnectionRefused, ///< Nobody listens at its address.
  Deregistered       ///< Its entry is gone. It may be leaving in order, too.
};
std::string_view nameOf(exit_evidence Evidence);

/// Why a request is refused.
struct quarantine_status {
  milliseconds ExpiresIn{0};
  std::vector<sched::known_crash> Deaths;
};

class crash_tracker {
public:
  /// \p Self is this host's name, for the records.
  explicit crash_tracker(std::string Self);

  static call_fingerprints fingerprintsOf(std::string_view Program,
                                          std::string_view Target,
                                          std::string_view Body);

  /// Why a request must not be sent to an upstream now; nullopt if it may.
  std::optional<quarantine_status>
  quarantineOf(const call_fingerprints &Fingerprints, time_point Now) const;

  /// A call to \p Upstream ended without its whole answer. Like all that
  /// follow, it returns the fingerprints whose records have changed.
  std::vector<std::uint64_t> recordAbort(const upstream &Upstream,
                                         const call_fingerprints &Fingerprints,
                                         abort_kind Kind, time_point SentAt,
                                         time_point Now);

  /// \p Upstream has begun to answer a call that was sent at \p SentAt: it
  /// outlived what broke before.
  void recordResponse(const upstream &Upstream, time_point SentAt);

  /// The process of \p Upstream has ended.
  std::vector<std::uint64_t> recordExit(const upstream &Upstream,
                                        exit_evidence Evidence, time_point Now);

  /// A process has started at its address, in the place of what was there.
  std::vector<std::uint64_t> recordStart(const upstream &Upstream,
                                         time_point Now);

  /// A run went well from its first to its last byte.
  std::vector<std::uint64_t>
  recordSuccess(const call_fingerprints &Fingerprints, time_point Now);

  /// Whether calls broke at \p Upstream of which it isn't known whether it
  /// ended.
  bool hasUnresolvedAborts(const upstream &Upstream) const;

  /// Ends that are on record for a fingerprint, the oldest first.
  std::vector<sched::known_crash> crashesOf(std::uint64_t Fingerprint,
                                            time_point Now) const;

  // -- Other hosts --
  /// Records of the fingerprints, or all with so many ends.
  std::vector<sched::poison_entry>
  entriesOf(std::span<const std::uint64_t> Fingerprints, time_point Now) const;
  std::vector<sched::poison_entry> entriesWithAtLeast(std::size_t MinCrashes,
                                                      time_point Now) const;
  std::vector<std::uint64_t> merge(std::span<const sched::poison_entry> Entries,
                                   time_point Now);

  std::size_t size() const { return Table.size(); }

private:
  struct unfinished_call {
    std::uint64_t Life = 0;
    call_fingerprints Fingerprints;
    abort_kind Kind = abort_kind::Broken;
    time_point SentAt;
    time_point At;
    std::string Upstream;
    std::string Address;
    std::int64_t StartedMs = 0; ///< Of the upstream.
  };
  /// Counts the calls of upstreams that have ended and takes them off the list.
  template <typename Predicate>
  std::vector<std::uint64_t> countWhere(time_point Now, Predicate HasEnded);
  void count(const unfinished_call &Call, time_point Now,
             std::vector<std::uint64_t> &Changed);

  std::string Self;
  sched::poison_table Table;
  std::deque<unfinished_call> Calls;         ///< The newest last.
  std::map<std::uint64_t, time_point> Ended; ///< By life.
};

} // namespace turmerichead::relay
