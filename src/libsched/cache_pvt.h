/// \file
/// Directory of the prefixes cached at the runners, by estimate.
#pragma once

#include "turmerichead/sched_types.h"
#include "turmerichead/table.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmerichead::sched::pvt {

struct runner_row;
using runner_id = typed_id<runner_row>;

struct program_row;
using program_id = typed_id<program_row>;

/// The cached prefix of a program at one runner.
struct cached_copy {
  runner_id Runner;
  token_count Tokens = 0;
  time_point LastUse;
};

/// A program that has a known cached prefix or requests at this gate.
struct program_row {
  std::string Name;
  rank Rank = rank::Ordinary; ///< Rank of its latest request.
  std::vector<cached_copy> Copies;
  time_point ExpectedResume;
  int Active = 0; ///< Number of requests queued or in flight.
  bool Ended = false;
  /// Largest length, prompt and output, that a runner has computed.
  token_count LongestComputed = 0;
};

/// Identifies the cached prefix of a program at a runner.
struct copy_location {
  program_id Program;
  runner_id Runner;
};

/// Estimates which prefixes are cached where, from grants, answers, delayed
/// cache events and listings. An error costs time, for example a prefix that is
/// computed again, but never makes an answer wrong.
class cache_directory {
public:
  /// Returns the id of a program, which is added if it is unknown.
  program_id intern(std::string_view Program);
  /// Returns the id of a known program.
  std::optional<program_id> find(std::string_view Program) const;
  program_row *row(program_id Id) { return Programs.find(Id); }
  const program_row *row(program_id Id) const { return Programs.find(Id); }

  /// Returns the estimated number of tokens of \p Id cached at \p Runner.
  token_count tokensAt(program_id Id, runner_id Runner) const;

  /// Sets the length of the prefix of \p Id cached at \p Runner.
  void store(program_id Id, runner_id Runner, token_count Tokens,
             time_point Now);
  /// Removes one copy, or all copies at a runner together with the programs
  /// that are idle then.
  void drop(program_id Id, runner_id Runner);
  void dropRunner(runner_id Runner);

  /// Returns the program and its sub-agents.
  std::vector<program_id> programTree(std::string_view Root) const;

  /// Removes a program that has neither copies nor requests.
  void eraseIfIdle(program_id Id);

  /// Returns the sum of the copies at a runner, in tokens.
  token_count usedAt(runner_id Runner) const;
  /// Returns the sum of the copies of a rank's programs at all runners.
  token_count usedBy(rank Rank) const { return UsedByRank[indexOf(Rank)]; }
  /// Sets the rank that the copies of a program count for.
  void setRank(program_id Id, rank Rank);
  std::span<const program_id> programsAt(runner_id Runner) const;

  /// Returns copies of idle programs at \p Runner, those expected to resume
  /// last first, enough to reduce its use to \p Limit tokens.
  std::vector<copy_location> excessCopies(runner_id Runner,
                                          token_count Limit) const;

  std::size_t size() const { return Programs.size(); }

private:
  struct runner_use {
    token_count Used = 0;
    std::vector<program_id> Programs;
  };

  table<program_row> Programs;
  std::map<std::string, program_id, std::less<>> Names;
  void addUsage(const program_row &Row, token_count Tokens);

  std::unordered_map<runner_id, runner_use> Runners;
  per_rank<token_count> UsedByRank{};
};

} // namespace turmerichead::sched::pvt
