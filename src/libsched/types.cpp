#include "turmerichead/sched_types.h"

#include "turmerichead/hash.h"

namespace turmerichead::sched {

std::string_view nameOf(rank Rank) {
  return Rank == rank::Urgent ? "urgent" : "ordinary";
}

std::string_view nameOf(refusal_reason Reason) {
  switch (Reason) {
  case refusal_reason::Overload:
    return "overload";
  case refusal_reason::DeadlinePassed:
    return "deadline_passed";
  case refusal_reason::NoRunner:
    return "no_runner";
  case refusal_reason::PoisonRequest:
    return "poison_request";
  case refusal_reason::QueueFull:
    return "queue_full";
  case refusal_reason::TurnLimit:
    return "turn_limit";
  case refusal_reason::TokenLimit:
    return "token_limit";
  case refusal_reason::CallLimit:
    return "call_limit";
  case refusal_reason::WallTimeLimit:
    return "wall_time_limit";
  case refusal_reason::ConcurrencyLimit:
    return "concurrency_limit";
  case refusal_reason::OwnerShare:
    return "owner_share";
  case refusal_reason::RetryBudget:
    return "retry_budget";
  }
  return "unknown";
}

milliseconds jitterRetry(milliseconds Base, std::string_view Caller) {
  if (Base.count() <= 0)
    return Base;
  auto Width = static_cast<std::uint64_t>(Base.count());
  return Base + milliseconds(hash64(Caller) % Width);
}

} // namespace turmerichead::sched
