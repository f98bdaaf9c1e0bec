/// \file
/// Which program's prefix is believed to be cached at which runner.
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

/// A program's prefix at one runner.
struct cached_copy {
  runner_id Runner;
  token_count Tokens = 0;
  time_point LastUse;
};

/// A program of which a cache is known, or which has requests here.
struct program_row {
  std::string Name;
  rank Rank = rank::Ordinary; ///< Of its latest request.
  std::vector<cached_copy> Copies;
  time_point ExpectedResume;
  int Active = 0; ///< Requests queued or in flight.
  bool Ended = false;
  token_count LongestComputed = 0;
};

/// A copy that its runner should drop.
struct copy_location {
  program_id Program;
  runner_id Runner;
};

/// An estimate, built from grants, answers, late events and listings. It errs
/// towards cost, never towards a wrong answer.
class cache_directory {
public:
  program_id intern(std::string_view Program);
  std::optional<program_id> find(std::string_view Program) const;
  program_row *row(program_id Id) { return Programs.find(Id); }
  const program_row *row(program_id Id) const { return Programs.find(Id); }

  /// Tokens of \p Id believed to be cached at \p Runner.
  token_count tokensAt(program_id Id, runner_id Runner) const;

  void store(program_id Id, runner_id Runner, token_count Tokens,
             time_point Now);
  void drop(program_id Id, runner_id Runner);
  void dropRunner(runner_id Runner);

  /// The program and its sub-agents.
  std::vector<program_id> programTree(std::string_view Root) const;

  /// Forgets a program that has no copies and no requests.
  void eraseIfIdle(program_id Id);

  token_count usedAt(runner_id Runner) const;
  /// Of all runners, by programs of a rank.
  token_count usedBy(rank Rank) const { return UsedByRank[indexOf(Rank)]; }
  void setRank(program_id Id, rank Rank);
  std::span<const program_id> programsAt(runner_id Runner) const;

  /// The idle copies at \p Runner that are needed last, enough to bring it
  /// down to \p Limit tokens.
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
