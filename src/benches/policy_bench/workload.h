/// \file
/// The programs of both users: of a shape that nobody knows in advance.
#pragma once

#include "turmerichead/sched_types.h"

#include <random>
#include <string>
#include <vector>

namespace bench {

using turmerichead::sched::rank;
using turmerichead::sched::token_count;

/// A kind of program, as a catalogue entry describes it.
struct entry_profile {
  std::string Name;
  rank Rank = rank::Ordinary;
  double WorkShare = 0; ///< Of the user's offered work.
  token_count SharedPrefix = 0;
  double TurnShape = 1.2; ///< Of a Pareto distribution, 1 to 63 turns.
  double TurnScale = 1;
  double ChildChance = 0; ///< That a turn starts sub-agents.
};

/// A user's fleet and mix.
struct user_profile {
  std::string Name;
  int Runners = 10;
  int Services = 3;
  double OrdinaryFloor = 0.15;
  std::vector<entry_profile> Entries;
  int Owners = 5;
};

user_profile gleisfenster();
user_profile garterline();

/// One turn: a prompt that grows, an answer, and a pause after it.
struct turn_plan {
  token_count NewTokens = 0; ///< Tool result or question, added to the prompt.
  token_count OutputTokens = 0;
  double PauseMs = 0;         ///< For a tool or a person, after the answer.
  double ExpectedPauseMs = 0; ///< What the holder expects of such a tool.
  std::vector<struct program_plan> Children;
};

/// A whole program, drawn beforehand and shown to no policy.
struct program_plan {
  std::size_t Entry = 0;
  int Owner = 0;
  bool Runaway = false; ///< Repeats its last turn without end.
  std::vector<turn_plan> Turns;
};

using random_source = std::mt19937_64;

program_plan drawProgram(const user_profile &User, std::size_t Entry,
                         random_source &Random);

/// Engine time of a program with every prefix cached and batches full.
double idealWorkMs(const user_profile &User, const program_plan &Plan);

/// Time from start to end of a program that has its runner for itself.
double idealLatencyMs(const user_profile &User, const program_plan &Plan);

/// Mean of idealWorkMs() over many programs of an entry.
double meanWorkMs(const user_profile &User, std::size_t Entry);

/// Ideal work that one runner does in a millisecond at best: measured on an
/// engine whose batch is always full and whose cache holds everything. It is
/// below 1, because sequences in prefill hold slots of the batch.
double bestWorkRate(const user_profile &User);

/// The longest a program of this rank may take and still be "in its target".
double targetMs(rank Rank, double IdealLatencyMs);

} // namespace bench
