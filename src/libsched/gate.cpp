#include "turmerichead/sched_gate.h"

#include "gate_core_pvt.h"

#include "turmerichead/error.h"

namespace turmerichead::sched {

namespace {

/// Returns the first setting that is out of range; empty if there is none.
std::string checkSettings(const gate_settings &Settings) {
  if (!(Settings.OrdinaryFloor >= 0 && Settings.OrdinaryFloor <= 0.9))
    return "the ordinary floor must be between 0 and 0.9";
  if (!(Settings.UrgentReserve >= 0 && Settings.UrgentReserve <= 0.5))
    return "the urgent reserve must be between 0 and 0.5";
  if (Settings.ScanLimit == 0 || Settings.MaxQueued == 0)
    return "the scan limit and the maximum queue length must be at least 1";
  if (!(Settings.CacheHighWater > 0 && Settings.CacheHighWater <= 1))
    return "the cache high-water mark must be greater than 0 and at most 1";
  if (Settings.BreakerErrors < 1 || Settings.Poison.MaxCrashes < 1)
    return "the errors that open a breaker and the crashes that quarantine a "
           "request must be at least 1";
  return {};
}

} // namespace

template <order_policy Order, placement_policy Placement>
struct basic_gate<Order, Placement>::state {
  explicit state(const gate_settings &Settings)
      : Settings(Settings), Core(Settings) {}

  /// Grants the first request of \p Queue that can be placed now. Returns
  /// whether there was one.
  bool grantNext(std::size_t Queue, time_point Now) {
    while (request_row *Row = Core.nextCandidate(Queue, Now)) {
      auto Choice = Policy.choose(Settings.Placement, Core.queryOf(*Row, Now),
                                  Core.viewsFor(*Row, Now));
      if (!Choice)
        continue;
      if (Choice->Wait) {
        Core.countWaiter(Choice->Runner, Now);
        continue;
      }
      Core.grantTo(*Row, *Choice, Now);
      return true;
    }
    return false;
  }

  gate_settings Settings;
  pvt::gate_core Core;
  Placement Policy;
};

template <order_policy Order, placement_policy Placement>
std::optional<basic_gate<Order, Placement>>
basic_gate<Order, Placement>::create(const gate_settings &Settings) {
  std::string Problem = checkSettings(Settings);
  if (!Problem.empty())
    return fail(error_code::InvalidInput, Problem);
  return basic_gate(std::make_unique<state>(Settings));
}

template <order_policy Order, placement_policy Placement>
basic_gate<Order, Placement>::basic_gate(std::unique_ptr<state> State)
    : State(std::move(State)) {}
template <order_policy Order, placement_policy Placement>
basic_gate<Order, Placement>::basic_gate(basic_gate &&) noexcept = default;
template <order_policy Order, placement_policy Placement>
basic_gate<Order, Placement> &
basic_gate<Order, Placement>::operator=(basic_gate &&) noexcept = default;
template <order_policy Order, placement_policy Placement>
basic_gate<Order, Placement>::~basic_gate() = default;

template <order_policy Order, placement_policy Placement>
bool basic_gate<Order, Placement>::configure(const gate_settings &Settings) {
  std::string Problem = checkSettings(Settings);
  if (!Problem.empty()) {
    (void)fail(error_code::InvalidInput, Problem);
    return false;
  }
  State->Settings = Settings;
  State->Core.configure(Settings);
  return true;
}

template <order_policy Order, placement_policy Placement>
void basic_gate<Order, Placement>::upsertRunner(const runner_info &Info) {
  State->Core.upsertRunner(Info);
}

template <order_policy Order, placement_policy Placement>
void basic_gate<Order, Placement>::removeRunner(std::string_view Name) {
  State->Core.removeRunner(Name);
}

template <order_policy Order, placement_policy Placement>
void basic_gate<Order, Placement>::reportLoad(std::string_view Name,
                                              const load_report &Load,
                                              time_point Now) {
  State->Core.reportLoad(Name, Load, Now);
}

template <order_policy Order, placement_policy Placement>
void basic_gate<Order, Placement>::cacheEvent(std::string_view Name,
                                              const sched::cache_event &Event,
                                              time_point Now) {
  State->Core.cacheEvent(Name, Event, Now);
}

template <order_policy Order, placement_policy Placement>
enqueue_result
basic_gate<Order, Placement>::enqueue(const gate_request &Request,
                                      time_point Now) {
  if (auto Refusal = State->Core.check(Request, Now)) {
    State->Core.countRefused(Request.Rank);
    return {{}, Refusal};
  }
  order_context Context = State->Core.contextOf(Request, Now);
  std::int64_t Arrival =
      Order::virtualArrivalMs(State->Settings.Order, Request, Context);
  std::size_t Queue = Order::UsesRanks ? indexOf(Request.Rank) : 0;
  return {State->Core.insert(Request, Arrival, Queue, Now), std::nullopt};
}

template <order_policy Order, placement_policy Placement>
bool basic_gate<Order, Placement>::cancel(request_id Id, time_point Now) {
  return State->Core.cancel(Id, Now);
}

template <order_policy Order, placement_policy Placement>
gate_output basic_gate<Order, Placement>::tick(time_point Now) {
  pvt::gate_core &Core = State->Core;
  Core.beginTick(Now);
  while (Core.hasFreeSlot()) {
    auto [First, Second] = Core.queueOrder();
    if (!State->grantNext(First, Now) && !State->grantNext(Second, Now))
      break;
  }
  Core.endTick(Now);
  return Core.output();
}

template <order_policy Order, placement_policy Placement>
bool basic_gate<Order, Placement>::finished(request_id Id, outcome Outcome,
                                            const usage &Usage,
                                            time_point Now) {
  return State->Core.finished(Id, Outcome, Usage, Now);
}

template <order_policy Order, placement_policy Placement>
void basic_gate<Order, Placement>::programPaused(std::string_view Program,
                                                 milliseconds ExpectedPause,
                                                 time_point Now) {
  State->Core.programPaused(Program, ExpectedPause, Now);
}

template <order_policy Order, placement_policy Placement>
void basic_gate<Order, Placement>::programEnded(std::string_view Program) {
  State->Core.programEnded(Program);
}

template <order_policy Order, placement_policy Placement>
void basic_gate<Order, Placement>::applyListing(
    std::string_view Runner, std::span<const std::string> Listed,
    std::span<const std::string> Inactive, time_point Now) {
  State->Core.applyListing(Runner, Listed, Inactive, Now);
}

template <order_policy Order, placement_policy Placement>
poison_table &basic_gate<Order, Placement>::poison() {
  return State->Core.Poison;
}

template <order_policy Order, placement_policy Placement>
gate_snapshot basic_gate<Order, Placement>::snapshot(time_point Now) const {
  return State->Core.snapshot(Now);
}

template class basic_gate<attained_order, affinity_placement>;
template class basic_gate<fifo_order, least_load_placement>;
template class basic_gate<fifo_order, round_robin_placement>;
template class basic_gate<fifo_order, sticky_placement>;
template class basic_gate<fifo_order, affinity_placement>;
template class basic_gate<attained_order, least_load_placement>;

} // namespace turmerichead::sched
