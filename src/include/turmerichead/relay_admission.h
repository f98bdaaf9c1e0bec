/// \file
/// Admission control for new programs. Nothing here does I/O or reads a clock.
#pragma once

#include "turmerichead/clock.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace turmerichead::relay {

/// Estimates the slowdown of a service: how much longer its turns take than
/// without load. It uses only the turns of this host. Runners are not queried,
/// and their speed is not configured. One object per service, used in the loop
/// thread.
class slowdown_estimator {
public:
  /// Records that a turn was sent to an upstream at \p Now.
  void recordSend(time_point Now);
  /// Records the first event of a turn that was sent at \p SentAt.
  void recordFirstEvent(time_point SentAt, time_point Now);
  /// Records the time between two events of one turn.
  void recordEventGap(milliseconds Gap);
  /// Records that a turn has ended at its upstream, with any outcome, after
  /// \p Events events.
  void recordEnd(time_point SentAt, std::uint64_t Events);

  /// Number of turns of this host in flight at the service's upstreams.
  std::size_t inFlight() const { return InFlight; }

  /// Mean number of events of a turn, 0 if not known.
  double eventsPerTurn() const { return EventsPerTurn; }

  /// Returns the estimated duration of a turn now, divided by its duration at
  /// the lowest mean times seen so far: 2 if a turn takes twice as long. At
  /// least 1; also 1 until there are enough samples. Measured times follow the
  /// load late, so what is above 1 is scaled with the turns in flight if they
  /// are above their mean.
  double slowdown(time_point Now) const;

private:
  /// An exponentially weighted mean and its minimum so far.
  struct running_mean {
    double Mean = 0;
    std::optional<double> Minimum; ///< Unset until there are enough samples.
    std::uint64_t Count = 0;
    void add(double Value, double Weight, std::uint64_t MinSamples);
  };

  running_mean FirstEventMs;
  running_mean EventGapMs;
  running_mean InFlightMean; ///< Turns in flight while times were measured.
  double EventsPerTurn = 0;
  std::size_t InFlight = 0;
  std::size_t Waiting = 0;         ///< Turns without a first event yet.
  std::int64_t WaitingSinceMs = 0; ///< Sum of the send times of these turns.
};

/// The capacity of a service.
struct service_capacity {
  std::uint32_t Slots = 0; ///< Total of all ready upstreams.
  std::size_t Hosts = 1;   ///< Entry hosts that share the slots.

  /// Returns the share of the slots that one entry host may use.
  double slotsPerHost() const {
    return static_cast<double>(Slots) /
           static_cast<double>(std::max<std::size_t>(Hosts, 1));
  }
};

/// A program that asks to start.
struct start_request {
  std::uint32_t Rank = 0; ///< 0 is the most urgent.
  /// Whether the program returns after an earlier attempt that has generated
  /// nothing, usually because it was rejected.
  bool IsRetry = false;
  /// Whether its organisation has used far more of its limit than others.
  bool IsOverShare = false;
};

/// Rejection of a new program.
struct start_refusal {
  milliseconds RetryAfter{0}; ///< When the caller should retry.
  double Slowdown = 1;        ///< See slowdown_estimator::slowdown().
};

/// Admission control of one service, used in the loop thread. Expected load: a
/// burst of new programs, several times what the runners can serve, most of
/// which return a few times after they were rejected. Without admission control
/// every program is slowed down until none ends in time. A program that returns
/// has lost time, so most of these would end late. Programs on their first
/// attempt are therefore admitted before those that return.
class admission {
public:
  /// Returns nullopt if a new program may start at \p Now. Turns of programs
  /// that have started are always admitted and must not be passed to this
  /// function.
  std::optional<start_refusal> refusal(const slowdown_estimator &Estimator,
                                       const service_capacity &Capacity,
                                       const start_request &Request,
                                       time_point Now);
  /// Returns what refusal() would return, and changes nothing.
  std::optional<start_refusal> wouldRefuse(const slowdown_estimator &Estimator,
                                           const service_capacity &Capacity,
                                           const start_request &Request,
                                           time_point Now) const;

private:
  /// Since when new programs are rejected: of rank 0, of all other ranks.
  std::array<std::optional<time_point>, 2> OverloadedSince;
};

} // namespace turmerichead::relay
