/// \file
/// Types shared by all scheduling code: ranks, refusals, outcomes and usage.
///
/// libsched does no I/O and reads no clock and no random source: each
/// function that needs the time or a random value takes it as an argument. No
/// class of this library is synchronised: two threads must not use an object
/// at the same time.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/id.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace turmerichead::sched {

/// A count of model tokens.
using token_count = std::int64_t;

/// Scheduling class of a catalogue entry and of its requests.
enum class rank : std::uint8_t { Urgent, Ordinary };
inline constexpr std::size_t RankCount = 2;

/// One value per rank, for example `Queued[indexOf(rank::Urgent)]`.
template <typename Value> using per_rank = std::array<Value, RankCount>;

constexpr std::size_t indexOf(rank Rank) {
  return static_cast<std::size_t>(Rank);
}

/// Returns "urgent" or "ordinary".
std::string_view nameOf(rank Rank);

struct request_row;
/// Identifies a request that is queued or in flight at a gate.
using request_id = typed_id<request_row>;

/// Why a request or a program was refused. A refusal is final for that
/// request; the caller has to send a new one.
enum class refusal_reason : std::uint8_t {
  Overload,         ///< The expected wait exceeds its limit.
  DeadlinePassed,   ///< The deadline passed before it was granted.
  NoRunner,         ///< No runner of the group accepts work.
  PoisonRequest,    ///< Its fingerprint is quarantined after crashes.
  QueueFull,        ///< The queue is at its maximum length.
  TurnLimit,        ///< The program has used all its turns.
  TokenLimit,       ///< The program's token budget does not cover the call.
  CallLimit,        ///< The program has used all its tool calls.
  WallTimeLimit,    ///< The program has reached its maximum run time.
  ConcurrencyLimit, ///< The entry has its maximum number of programs
                    ///< running, or the program of calls in flight.
  OwnerShare,       ///< The owner uses its whole share of a busy fleet.
  RetryBudget       ///< The entry's retry budget is used up.
};

/// Returns the name of \p Reason in messages, for example "overload".
std::string_view nameOf(refusal_reason Reason);

/// A final refusal: the request was not run.
struct refusal {
  request_id Request{}; ///< Empty if the request was not queued.
  refusal_reason Reason = refusal_reason::Overload;
  milliseconds RetryAfter{0}; ///< 0: a retry would be refused as well.
};

/// Adds jitter to the retry delay \p Base. Returns a value in
/// [Base, 2 * Base) that depends only on \p Caller, so that callers refused
/// together do not retry together. Returns \p Base if it is not positive.
milliseconds jitterRetry(milliseconds Base, std::string_view Caller);

/// How a granted request ended.
enum class outcome : std::uint8_t {
  Ok,
  RunnerCrashed, ///< The runner crashed or exited during the request.
  Error,         ///< The runner answered with an error.
  Cancelled,     ///< The caller or the holder cancelled it.
  Unreachable    ///< No connection was made: the request was not sent.
};

/// Tokens a request used, as reported by the runner.
struct usage {
  token_count PromptTokens = 0;
  token_count CachedTokens = 0; ///< Prompt tokens found in the prefix cache.
  token_count OutputTokens = 0;
};

} // namespace turmerichead::sched
