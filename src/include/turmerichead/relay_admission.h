/// \file
/// Whether a host lets a new program begin. Nothing here does I/O or reads a
/// clock.
#pragma once

#include "turmerichead/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace turmerichead::relay {

/// How much longer turns at a service take than they do while it is calm, as
/// one host sees it from its own turns. No runner is asked, and nothing about
/// their speed is configured.
class slowdown_estimator {
public:
  /// A turn was sent to an upstream at \p Now.
  void recordSend(time_point Now);
  /// The first event of a turn that was sent at \p SentAt.
  void recordFirstEvent(time_point SentAt, time_point Now);
  /// A pause between two events of one turn.
  void recordEventGap(milliseconds Gap);
  /// A turn with \p Events events left its upstream, whatever its outcome.
  void recordEnd(time_point SentAt, std::uint64_t Events);

  /// Turns at the service's upstreams, of this host.
  std::size_t inFlight() const { return InFlight; }

  /// 1 for a service that is as quick as it has been at its calmest, 2 for
  /// one at which a turn takes twice as long; 1 while too little is known.
  double slowdown(time_point Now) const;

private:
  /// A smoothed mean and the least value that it has had.
  struct running_mean {
    double Mean = 0;
    std::optional<double> Minimum; ///< Nothing until there are enough values.
    std::uint64_t Count = 0;
    void add(double Value, double Weight, std::uint64_t Needed);
  };

  running_mean FirstEventMs;
  running_mean EventGapMs;
  double EventsPerTurn = 0;
  std::size_t InFlight = 0;
  std::size_t Waiting = 0;         ///< Without a first event yet.
  std::int64_t WaitingSinceMs = 0; ///< Sum of the times they were sent.
};

/// What admission knows of a service besides its gauge.
struct service_capacity {
  std::uint32_t Slots = 0; ///< Of all upstreams that are ready.
  std::size_t Hosts = 1;   ///< Entry hosts that share them.
};

/// Why a program may not begin.
struct start_refusal {
  milliseconds RetryAfter{0}; ///< When its caller should come back.
  double Slowdown = 1;        ///< See slowdown_estimator::slowdown().
};

/// Decides for one service. The load pattern that it answers: a flood of new
/// programs, several times what the runners can carry. Without it every
/// program is slowed until none ends in time.
class admission {
public:
  /// Nothing if a new program of a rank (0: the most urgent) may begin at
  /// \p Now. Turns of programs under way are never asked about.
  std::optional<start_refusal> refusal(const slowdown_estimator &Estimator,
                                       const service_capacity &Capacity,
                                       std::uint32_t Rank, time_point Now);

private:
  /// Since when none may begin: urgent ones, all others.
  std::array<std::optional<time_point>, 2> OverloadedSince;
};

} // namespace turmerichead::relay
