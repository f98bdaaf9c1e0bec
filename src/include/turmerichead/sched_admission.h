/// \file
/// Admission control: limits of programs, entries and owners, retry budgets,
/// deadlines, and the circuit breaker of an upstream.
///
/// A root program and its sub-agents count as one program: callers pass the
/// usage of the whole tree.
#pragma once

#include "turmerichead/sched_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::sched {

/// Limits of a catalogue entry. 0 means no limit, except for RetryPercent.
struct entry_limits {
  std::int64_t Turns = 0;       ///< Model calls per program.
  token_count Tokens = 0;       ///< Prompt and output tokens per program.
  std::int64_t ToolCalls = 0;   ///< Service calls per program.
  std::int64_t Programs = 0;    ///< Running programs of the entry.
  std::int64_t Concurrency = 0; ///< Calls in flight per program.
  milliseconds WallTime{0};     ///< Since the program's start.
  /// Retries earned per 100 first attempts of the entry.
  double RetryPercent = 10;
};

/// Usage of a root program so far, including its sub-agents.
struct program_usage {
  std::int64_t Turns = 0;
  token_count Tokens = 0; ///< Spent and reserved.
  std::int64_t ToolCalls = 0;
  std::int64_t InFlight = 0;
  time_point Start{};
};

/// The expected usage of a call that is to be admitted.
struct call_estimate {
  bool IsTool = false;
  token_count WorstCaseTokens = 0; ///< Prompt and maximum output.
};

/// Checks one call against the limits of its program. Returns std::nullopt if
/// the call may run. RetryAfter is 0, because a limit once reached stays
/// reached, except for the limit of calls in flight.
std::optional<refusal> checkCall(const entry_limits &Limits,
                                 const program_usage &Usage,
                                 const call_estimate &Call, time_point Now);

/// Returns the deadline to pass on to the next hop: \p Deadline less
/// \p Reserve, the time that this hop needs itself. Returns std::nullopt if
/// that has passed at \p Now.
std::optional<time_point> shrinkDeadline(time_point Deadline, time_point Now,
                                         milliseconds Reserve);

/// Counts the running programs of each entry and each owner, and holds the
/// retry budgets of entries.
class admission {
public:
  /// Adds an entry, or changes the limits of a known one.
  void setEntry(std::string_view Entry, const entry_limits &Limits);
  /// Removes an entry, unless programs of it are running.
  void removeEntry(std::string_view Entry);

  /// Returns the limits of an entry; no limits if it is unknown.
  const entry_limits &limitsOf(std::string_view Entry) const;

  /// Sets the fraction, 0 to 1, of the program capacity that \p Owner may use
  /// while the fleet is busy.
  void setOwnerShare(std::string_view Owner, double Share);
  /// Sets the number of running programs that counts as a full fleet for the
  /// shares of owners; 0 disables the shares.
  void setProgramCapacity(std::int64_t Programs) { Capacity = Programs; }

  /// Admits a new root program, or returns why it is refused. The caller must
  /// call endProgram() for each admitted program.
  std::optional<refusal> admitProgram(std::string_view Entry,
                                      std::string_view Owner,
                                      std::string_view Program);
  void endProgram(std::string_view Entry, std::string_view Owner);

  /// Counts a first attempt, which adds to the entry's retry budget.
  void countAttempt(std::string_view Entry);

  /// Takes one retry or hedge from the entry's budget. Returns false if the
  /// budget is used up, the entry is unknown, or the call is not repeatable.
  bool takeRetry(std::string_view Entry, bool MayRepeat);

  /// Returns the number of running programs of an entry.
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

/// Circuit breaker of one upstream. It opens after a number of errors in a
/// row, and admits single probe calls once OpenFor has passed (half-open). A
/// probe that succeeds closes it; one that fails opens it again.
class circuit_breaker {
public:
  circuit_breaker(int Errors, milliseconds OpenFor)
      : MaxErrors(Errors), OpenFor(OpenFor) {}

  /// Returns whether a call may be sent now. While half-open, one probe may
  /// be in flight.
  bool allows(time_point Now) const;
  /// Records that a call was sent; it is the probe if half-open.
  void started(time_point Now);
  /// Records a call that succeeded.
  void succeeded();
  /// Records a call that failed.
  void failed(time_point Now);
  /// Opens at once, for an upstream that is known to be down.
  void trip(time_point Now);
  /// Records a call that ended without a result from the upstream, so that
  /// another probe may be sent.
  void cancelled();
  bool isOpen(time_point Now) const { return !allows(Now); }

private:
  int MaxErrors;
  milliseconds OpenFor;
  int ErrorsInRow = 0;
  bool Tripped = false;
  bool ProbeInFlight = false;
  time_point OpenUntil;
};

} // namespace turmerichead::sched
