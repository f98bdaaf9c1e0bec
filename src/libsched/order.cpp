#include "turmerichead/sched_gate.h"

#include <algorithm>

namespace turmerichead::sched {

std::int64_t fifo_order::virtualArrivalMs(const order_settings &,
                                          const gate_request &,
                                          const order_context &Context) {
  return Context.Now.Ms;
}

namespace {

std::int64_t attainedDelayMs(const order_settings &Settings,
                             const gate_request &Request) {
  std::int64_t Delay =
      Settings.DelayPerKiloToken.count() * Request.AttainedService / 1000;
  return std::clamp<std::int64_t>(Delay, 0, Settings.MaxAttainedDelay.count());
}

std::int64_t ageBonusMs(const order_settings &Settings,
                        const gate_request &Request, time_point Now) {
  auto Age = static_cast<double>((Now - Request.ProgramStart).count());
  auto Bonus = static_cast<std::int64_t>(Age * Settings.AgeWeight);
  return std::clamp<std::int64_t>(Bonus, 0, Settings.MaxAgeBonus.count());
}

} // namespace

std::int64_t attained_order::virtualArrivalMs(const order_settings &Settings,
                                              const gate_request &Request,
                                              const order_context &Context) {
  std::int64_t Arrival = Context.Now.Ms;
  Arrival += attainedDelayMs(Settings, Request);
  Arrival -= ageBonusMs(Settings, Request, Context.Now);
  if (!Request.Started)
    Arrival += Settings.NewProgramDelay.count();
  if (Request.ParentWaiting)
    Arrival -= Settings.ChildBonus.count();
  // The backlog of an owner delays its own requests, not those of other
  // owners.
  Arrival += std::clamp<std::int64_t>(Context.OwnerBacklog.count(), 0,
                                      Settings.MaxOwnerDelay.count());
  return Arrival;
}

} // namespace turmerichead::sched
