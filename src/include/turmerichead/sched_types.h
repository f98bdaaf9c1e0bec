/// \file
/// Values that all decisions share: ranks, requests, refusals and outcomes.
///
/// The decision core is pure: it does no I/O and has no clock and no random
/// source. Each call that needs the time takes it as an argument.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/id.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmerichead::sched {

/// A number of tokens of a model.
using token_count = std::int64_t;

/// The two classes of urgency that a catalogue entry may have.
enum class rank : std::uint8_t { Urgent, Ordinary };
inline constexpr std::size_t RankCount = 2;

/// One value for each rank: `Queued[indexOf(rank::Urgent)]`.
template <typename Value> using per_rank = std::array<Value, RankCount>;

constexpr std::size_t indexOf(rank Rank) {
  return static_cast<std::size_t>(Rank);
}

/// "urgent" or "ordinary".
std::string_view nameOf(rank Rank);

struct request_row;
/// Addresses a request that a gate holds, queued or in flight.
using request_id = typed_id<request_row>;

/// Why something was not run. Every reason is final for that request.
enum class refusal_reason : std::uint8_t {
  Overload,         ///< It could not finish in its target.
  DeadlinePassed,   ///< Its deadline went by while it was queued.
  NoRunner,         ///< No runner of the group can take work.
  PoisonRequest,    ///< Its fingerprint has taken down two upstreams.
  QueueFull,        ///< The queue's bound is reached.
  TurnLimit,        ///< The program has used all of its turns.
  TokenLimit,       ///< The program's token budget does not cover the call.
  CallLimit,        ///< The program has used all of its tool calls.
  WallTimeLimit,    ///< The program has run for as long as it may.
  ConcurrencyLimit, ///< The entry has as many programs as it may.
  OwnerShare,       ///< The owner has its share of the fleet in use.
  RetryBudget       ///< The entry has used up its retries.
};

/// The stable name of \p Reason, for example "overload".
std::string_view nameOf(refusal_reason Reason);

/// A final, immediate "not run".
struct refusal {
  request_id Request{}; ///< Empty if the request never got an id.
  refusal_reason Reason = refusal_reason::Overload;
  milliseconds RetryAfter{0}; ///< 0: coming back does not help.
};

/// Spreads \p Base over callers: a value in [Base, 2 * Base) that depends
/// only on \p Caller, so that refused callers do not come back together.
milliseconds spreadRetry(milliseconds Base, std::string_view Caller);

/// How a granted request ended.
enum class outcome : std::uint8_t {
  Ok,
  RunnerCrashed, ///< The runner went away under the request.
  Error,         ///< The runner answered with an error of its own.
  Cancelled,     ///< The caller or the holder gave it up.
  Unreachable    ///< No connection was made: the request was not sent.
};

/// What a request used, as far as the runner told.
struct usage {
  token_count PromptTokens = 0;
  token_count CachedTokens = 0; ///< Part of the prompt found in the cache.
  token_count OutputTokens = 0;
};

} // namespace turmerichead::sched
