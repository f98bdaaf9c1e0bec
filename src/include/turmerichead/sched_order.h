/// \file
/// Ordering policies: the position of a request in the queue of its rank.
///
/// A policy computes a virtual arrival time in milliseconds for each request;
/// the request with the smallest value is granted first. Every bonus and
/// penalty is bounded, so a request can be overtaken only by requests that
/// arrive within a bounded time after it, and none starves. The value is
/// computed once, when the request is queued, so the cost of a decision does
/// not depend on the length of the queue.
#pragma once

#include "turmerichead/sched_types.h"

#include <concepts>

namespace turmerichead::sched {

struct gate_request;

/// Settings of attained_order. Durations are shifts of the virtual arrival
/// time.
struct order_settings {
  /// Delay of a call for each 1,000 tokens already spent on its program; 0
  /// disables least-attained-service ordering.
  milliseconds DelayPerKiloToken{0};
  /// Upper bound of the delay by attained service.
  milliseconds MaxAttainedDelay{5'000};
  /// Delay of the first call of a program against calls of programs that
  /// have started.
  milliseconds NewProgramDelay{60'000};
  /// Bonus of a sub-agent's call while its parent waits for it.
  milliseconds ChildBonus{2'000};
  /// Fraction of the program's age, 0 to 1, that is subtracted as a bonus.
  double AgeWeight = 0.0;
  /// Upper bound of the bonus by age.
  milliseconds MaxAgeBonus{30'000};
  /// Upper bound of the delay of an owner's calls by its own backlog.
  milliseconds MaxOwnerDelay{30'000};
};

/// Input of an ordering policy besides the request.
struct order_context {
  time_point Now{};
  /// Delay of the owner's next request under fair sharing: the time that the
  /// group needs for the work this owner has queued, times the number of
  /// owners with queued requests.
  milliseconds OwnerBacklog{0};
};

/// A policy that computes the virtual arrival time of a request in
/// milliseconds. UsesRanks is true if each rank has a queue of its own.
template <typename Policy>
concept order_policy = requires(const order_settings &Settings,
                                const gate_request &Request,
                                const order_context &Context) {
  {
    Policy::virtualArrivalMs(Settings, Request, Context)
    } -> std::same_as<std::int64_t>;
  { Policy::UsesRanks } -> std::convertible_to<bool>;
};

/// First in, first out, with one queue for both ranks.
struct fifo_order {
  static constexpr bool UsesRanks = false;
  static std::int64_t virtualArrivalMs(const order_settings &Settings,
                                       const gate_request &Request,
                                       const order_context &Context);
};

/// Urgent requests first, with a guaranteed minimum share for ordinary ones.
/// Within a rank: started programs before new ones, least attained service
/// first, with aging.
struct attained_order {
  static constexpr bool UsesRanks = true;
  static std::int64_t virtualArrivalMs(const order_settings &Settings,
                                       const gate_request &Request,
                                       const order_context &Context);
};

} // namespace turmerichead::sched
