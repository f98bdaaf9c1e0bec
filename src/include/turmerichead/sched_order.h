/// \file
/// Which request goes first: policies that give a request its place in the
/// queue of its rank.
///
/// A policy gives each request a virtual arrival time in milliseconds; the
/// smallest goes first. Every bonus and penalty is bounded, so a request can
/// be overtaken only by those that arrive within a bounded time after it, and
/// nobody is starved. The value does not change while the request waits,
/// which keeps a decision's cost independent of the queue's length.
#pragma once

#include "turmerichead/sched_types.h"

#include <concepts>

namespace turmerichead::sched {

struct gate_request;

/// Settings of attained_order. All are bounds in milliseconds of queueing.
struct order_settings {
  /// Delay of a call for each 1,000 tokens its program has been served; 0
  /// switches least attained service off.
  milliseconds DelayPerKiloToken{0};
  /// The most that attained service can delay a call.
  milliseconds MaxAttainedDelay{5'000};
  /// How much later the first call of a program counts than its others.
  milliseconds NewProgramDelay{60'000};
  /// How much earlier a sub-agent counts while its parent waits.
  milliseconds ChildBonus{2'000};
  /// Part of the program's age, 0 to 1, that counts in its favour.
  double AgeWeight = 0.0;
  /// The most that age can bring.
  milliseconds MaxAgeBonus{30'000};
  /// The most that an owner's own backlog can delay its calls.
  milliseconds MaxOwnerDelay{30'000};
};

/// What a policy sees besides the request.
struct order_context {
  time_point Now{};
  /// Time the group needs for the work this owner has queued, times the
  /// number of owners that wait: the delay under fair sharing.
  milliseconds OwnerBacklog{0};
};

/// Gives the virtual arrival time of a request in milliseconds.
template <typename Policy>
concept order_policy = requires(const order_settings &Settings,
                                const gate_request &Request,
                                const order_context &Context) {
  {
    Policy::virtualArrivalMs(Settings, Request, Context)
    } -> std::same_as<std::int64_t>;
  { Policy::UsesRanks } -> std::convertible_to<bool>;
};

/// Arrival order, blind to ranks.
struct fifo_order {
  static constexpr bool UsesRanks = false;
  static std::int64_t virtualArrivalMs(const order_settings &Settings,
                                       const gate_request &Request,
                                       const order_context &Context);
};

/// Urgent first with a floor for the other rank; within a rank, programs
/// under way before new ones, least attained service first, with aging.
struct attained_order {
  static constexpr bool UsesRanks = true;
  static std::int64_t virtualArrivalMs(const order_settings &Settings,
                                       const gate_request &Request,
                                       const order_context &Context);
};

} // namespace turmerichead::sched
