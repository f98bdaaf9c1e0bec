#include "workload.h"

#include "engine.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>

namespace bench {

namespace {

constexpr int MaxTurns = 63;
constexpr double SlowPauseChance = 0.1;
constexpr double SlowPauseScaleMs = 10'000;
constexpr double SlowPauseShape = 1.3;
constexpr double MaxPauseMs = 180'000;
constexpr double RunawayChance = 0.003;

double pareto(double Scale, double Shape, random_source &Random) {
  std::uniform_real_distribution<double> Even(0.0, 1.0);
  return Scale * std::pow(1.0 - Even(Random), -1.0 / Shape);
}

token_count tokens(double Median, double Sigma, double Max,
                   random_source &Random) {
  std::lognormal_distribution<double> Draw(std::log(Median), Sigma);
  return static_cast<token_count>(std::clamp(Draw(Random), 8.0, Max));
}

void drawPause(turn_plan &Turn, random_source &Random) {
  std::uniform_real_distribution<double> Even(0.0, 1.0);
  std::lognormal_distribution<double> Guess(0.0, 0.3);
  if (Even(Random) < SlowPauseChance) {
    double Pause = pareto(SlowPauseScaleMs, SlowPauseShape, Random);
    Turn.PauseMs = std::min(Pause, MaxPauseMs);
    // A holder knows which tool it waits for, and what that took before.
    Turn.ExpectedPauseMs = 30'000 * Guess(Random);
    return;
  }
  std::lognormal_distribution<double> Fast(std::log(1'200.0), 0.8);
  Turn.PauseMs = std::min(Fast(Random), MaxPauseMs);
  Turn.ExpectedPauseMs = 1'700 * Guess(Random);
}

turn_plan drawTurn(bool IsFirst, random_source &Random) {
  turn_plan Turn;
  Turn.NewTokens = IsFirst ? tokens(900, 0.7, 12'000, Random)
                           : tokens(400, 0.9, 8'000, Random);
  Turn.OutputTokens = tokens(150, 0.6, 1'000, Random);
  drawPause(Turn, Random);
  return Turn;
}

int drawTurns(const entry_profile &Entry, random_source &Random) {
  double Turns = pareto(Entry.TurnScale, Entry.TurnShape, Random);
  return std::clamp(static_cast<int>(Turns), 1, MaxTurns);
}

program_plan drawChild(const program_plan &Parent, random_source &Random) {
  program_plan Child;
  Child.Entry = Parent.Entry;
  Child.Owner = Parent.Owner;
  std::uniform_int_distribution<int> Turns(1, 6);
  int Count = Turns(Random);
  for (int I = 0; I < Count; ++I)
    Child.Turns.push_back(drawTurn(I == 0, Random));
  return Child;
}

} // namespace

user_profile gleisfenster() {
  user_profile User;
  User.Name = "gleisfenster";
  User.Runners = 10;
  User.OrdinaryFloor = 0.15;
  User.Entries = {
      {"yard-call", rank::Urgent, 0.30, 2'500, 1.5, 2, 0.0},
      {"dispatch", rank::Urgent, 0.25, 3'500, 1.3, 3, 0.02},
      {"week-replan", rank::Ordinary, 0.45, 4'000, 1.1, 5, 0.06},
  };
  return User;
}

user_profile garterline() {
  user_profile User;
  User.Name = "garterline";
  User.Runners = 15;
  User.OrdinaryFloor = 0.25;
  User.Entries = {
      {"live-quote", rank::Urgent, 0.35, 3'000, 1.4, 2, 0.01},
      {"workshop-help", rank::Urgent, 0.15, 2'000, 1.6, 1, 0.0},
      {"stock-reconcile", rank::Ordinary, 0.30, 4'000, 1.1, 6, 0.06},
      {"supplier-mail", rank::Ordinary, 0.20, 3'000, 1.3, 2, 0.02},
  };
  return User;
}

program_plan drawProgram(const user_profile &User, std::size_t Entry,
                         random_source &Random) {
  const entry_profile &Profile = User.Entries[Entry];
  std::uniform_real_distribution<double> Even(0.0, 1.0);
  program_plan Plan;
  Plan.Entry = Entry;
  // The first owner brings half of all programs, the next half of the rest.
  while (Plan.Owner + 1 < User.Owners && Even(Random) < 0.5)
    ++Plan.Owner;
  Plan.Runaway = Even(Random) < RunawayChance;
  int Turns = drawTurns(Profile, Random);
  for (int I = 0; I < Turns; ++I) {
    turn_plan Turn = drawTurn(I == 0, Random);
    if (Even(Random) < Profile.ChildChance) {
      std::uniform_int_distribution<int> Count(2, 4);
      int Children = Count(Random);
      for (int C = 0; C < Children; ++C)
        Turn.Children.push_back(drawChild(Plan, Random));
    }
    Plan.Turns.push_back(std::move(Turn));
  }
  return Plan;
}

double idealWorkMs(const user_profile &User, const program_plan &Plan) {
  engine_constants Engine;
  double Work = 0;
  for (const turn_plan &Turn : Plan.Turns) {
    Work += static_cast<double>(Turn.NewTokens) * Engine.PrefillMsPerToken;
    Work += static_cast<double>(Turn.OutputTokens) * Engine.decodeMsPerToken();
    for (const program_plan &Child : Turn.Children)
      Work += idealWorkMs(User, Child);
  }
  return Work;
}

double idealLatencyMs(const user_profile &User, const program_plan &Plan) {
  engine_constants Engine;
  double Latency = 0;
  for (const turn_plan &Turn : Plan.Turns) {
    Latency += static_cast<double>(Turn.NewTokens) * Engine.PrefillMsPerToken;
    Latency += static_cast<double>(Turn.OutputTokens) *
               (Engine.StepBaseMs + Engine.StepPerSequenceMs);
    double Longest = 0;
    for (const program_plan &Child : Turn.Children)
      Longest = std::max(Longest, idealLatencyMs(User, Child));
    bool IsLast = &Turn == &Plan.Turns.back();
    Latency += Longest + (IsLast ? 0 : Turn.PauseMs);
  }
  return Latency;
}

double meanWorkMs(const user_profile &User, std::size_t Entry) {
  constexpr int Samples = 20'000;
  constexpr std::uint64_t Seed = 4'711;
  random_source Random(Seed);
  double Sum = 0;
  for (int I = 0; I < Samples; ++I)
    Sum += idealWorkMs(User, drawProgram(User, Entry, Random));
  return Sum / Samples;
}

namespace {

/// A program that runs its turns without pauses.
struct endless_caller {
  program_plan Plan;
  std::size_t Turn = 0;
  token_count Context = 0;
  std::string Name;
};

/// Draws an entry as often as its programs arrive.
std::size_t drawEntry(const user_profile &User,
                      const std::vector<double> &Means, random_source &Random) {
  std::vector<double> Weights;
  for (std::size_t I = 0; I < Means.size(); ++I)
    Weights.push_back(User.Entries[I].WorkShare / Means[I]);
  std::discrete_distribution<std::size_t> Draw(Weights.begin(), Weights.end());
  return Draw(Random);
}

} // namespace

double bestWorkRate(const user_profile &User) {
  constexpr double WarmUpMs = 200'000;
  constexpr double WindowMs = 2'000'000;
  constexpr std::uint64_t Seed = 12;
  random_source Random(Seed);
  std::vector<double> Means;
  for (std::size_t I = 0; I < User.Entries.size(); ++I)
    Means.push_back(meanWorkMs(User, I));
  engine_constants Constants;
  engine_constants Endless = Constants;
  Endless.CacheTokens = INT64_MAX;
  engine Engine(Endless);
  std::vector<endless_caller> Callers(
      static_cast<std::size_t>(Constants.Slots));
  double NowMs = 0;
  double Work = 0;
  std::uint64_t Programs = 0;
  auto Send = [&](std::size_t Index) {
    endless_caller &Caller = Callers[Index];
    if (Caller.Turn >= Caller.Plan.Turns.size()) {
      Engine.release(Caller.Name);
      std::size_t Entry = drawEntry(User, Means, Random);
      Caller = {drawProgram(User, Entry, Random), 0,
                User.Entries[Entry].SharedPrefix,
                "p" + std::to_string(++Programs)};
    }
    const entry_profile &Entry = User.Entries[Caller.Plan.Entry];
    const turn_plan &Turn = Caller.Plan.Turns[Caller.Turn];
    Caller.Context += Turn.NewTokens;
    Engine.start({Index, Caller.Name, Entry.Name, Entry.SharedPrefix,
                  Caller.Context, Turn.OutputTokens},
                 NowMs);
  };
  for (std::size_t I = 0; I < Callers.size(); ++I)
    Send(I);
  while (NowMs < WarmUpMs + WindowMs) {
    NowMs = *Engine.nextEventMs() + 1e-7;
    for (const engine_result &Result : Engine.advance(NowMs)) {
      endless_caller &Caller = Callers[Result.Id];
      const turn_plan &Turn = Caller.Plan.Turns[Caller.Turn];
      if (NowMs > WarmUpMs)
        Work +=
            static_cast<double>(Turn.NewTokens) * Constants.PrefillMsPerToken +
            static_cast<double>(Turn.OutputTokens) *
                Constants.decodeMsPerToken();
      Caller.Context += Turn.OutputTokens;
      ++Caller.Turn;
      Send(Result.Id);
    }
  }
  return Work / WindowMs;
}

double targetMs(rank Rank, double IdealLatencyMs) {
  if (Rank == rank::Urgent)
    return 1.5 * IdealLatencyMs + 10'000;
  return 3 * IdealLatencyMs + 60'000;
}

} // namespace bench
