/// \file
/// What may start and what may go on: limits of programs, entries and
/// owners, retry budgets, deadlines, and the breaker of an upstream.
///
/// A sub-agent tree counts as its root program: callers pass the usage of
/// the whole tree.
#pragma once

#include "turmerichead/sched_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::sched {

/// Limits of a catalogue entry. 0 is "no limit".
struct entry_limits {
  std::int64_t Turns = 0;       ///< Model calls of a program.
  token_count Tokens = 0;       ///< Prompt and output of a program.
  std::int64_t ToolCalls = 0;   ///< Service calls of a program.
  std::int64_t Programs = 0;    ///< Programs under way of the entry.
  std::int64_t Concurrency = 0; ///< Calls of one program in flight.
  milliseconds WallTime{0};     ///< From a program's start.
  /// Retries for each 100 first attempts of the entry.
  double RetryPercent = 10;
};

/// What a root program has used so far, its sub-agents included.
struct program_usage {
  std::int64_t Turns = 0;
  token_count Tokens = 0; ///< Spent and reserved.
  std::int64_t ToolCalls = 0;
  std::int64_t InFlight = 0;
  time_point Start{};
};

/// A call that asks to run.
struct call_estimate {
  bool IsTool = false;
  token_count WorstCaseTokens = 0; ///< Prompt and the most it may put out.
};

/// Checks one call against its program's limits. An empty result is "yes".
/// Reaching a limit is final for the program: RetryAfter is 0, except for
/// calls in flight, which come back.
std::optional<refusal> checkCall(const entry_limits &Limits,
                                 const program_usage &Usage,
                                 const call_estimate &Call, time_point Now);

/// The deadline for the next leg of a path: \p Deadline less what this leg
/// keeps for itself. std::nullopt if nothing is left at \p Now.
std::optional<time_point> shrinkDeadline(time_point Deadline, time_point Now,
                                         milliseconds Reserve);

/// Programs under way, by entry and by owner, and the retries of entries.
class admission {
public:
  void setEntry(std::string_view Entry, const entry_limits &Limits);
  void removeEntry(std::string_view Entry);

  /// The limits of an entry; no limits if it is not known.
  const entry_limits &limitsOf(std::string_view Entry) const;

  /// Programs that all owners together may have under way; 0 is "no limit".
  /// An owner whose share is \p Share may have that part of them while the
  /// fleet is busy.
  void setOwnerShare(std::string_view Owner, double Share);
  void setProgramCapacity(std::int64_t Programs) { Capacity = Programs; }

  /// Admits a new root program or says why not. An admitted program must be
  /// ended with endProgram().
  std::optional<refusal> admitProgram(std::string_view Entry,
                                      std::string_view Owner,
                                      std::string_view Program);
  void endProgram(std::string_view Entry, std::string_view Owner);

  /// Counts a first attempt, which earns a part of a retry.
  void countAttempt(std::string_view Entry);

  /// Takes one retry (or hedge) from the entry's budget. Returns false if the
  /// budget is used up, or if the call may not be repeated.
  bool takeRetry(std::string_view Entry, bool MayRepeat);

  std::int64_t programsOf(std::string_view Entry) const;

private:
  struct entry_state {
    entry_limits Limits;
    std::int64_t Programs = 0;
    double RetryTokens = 0;
  };
  struct owner_state {
    double Share = 1;
    std::int64_t Programs = 0;
  };
  std::map<std::string, entry_state, std::less<>> Entries;
  std::map<std::string, owner_state, std::less<>> Owners;
  std::int64_t Capacity = 0;
  std::int64_t Programs = 0;
};

/// Keeps work away from an upstream that errs, and tries it again later with
/// one call at a time.
class circuit_breaker {
public:
  circuit_breaker(int Errors, milliseconds OpenFor)
      : MaxErrors(Errors), OpenFor(OpenFor) {}

  /// May a call go there now? While it is tried again, one at a time may.
  bool allows(time_point Now) const;
  void started(time_point Now);
  void succeeded();
  void failed(time_point Now);
  /// Opens at once: the upstream is known to be gone.
  void trip(time_point Now);
  /// The call ended without telling anything about the upstream.
  void abandoned();
  bool isOpen(time_point Now) const { return !allows(Now); }

private:
  int MaxErrors;
  milliseconds OpenFor;
  int ErrorsInRow = 0;
  bool Tripped = false;
  bool Trying = false;
  time_point OpenUntil;
};

} // namespace turmerichead::sched
