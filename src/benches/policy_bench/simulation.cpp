#include "simulation.h"

#include "engine.h"

#include "turmerichead/hash.h"
#include "turmerichead/sched_admission.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace bench {

namespace sched = turmerichead::sched;
using turmerichead::milliseconds;
using turmerichead::time_point;

namespace {

// ---- Constants of the surroundings
// -------------------------------------------

constexpr double PathMs = 3;           ///< Holder, gate and runner, one way.
constexpr double LoadReportMs = 1'000; ///< Between reports, and their age.
constexpr double EventLossPart = 0.05; ///< Cache events that never come.
constexpr double EventLagMs = 2'000;   ///< The longest lag of the others.
constexpr double SweepMs = 30'000;     ///< Between sweeps.
constexpr double TickMs = 50;          ///< Between ticks without a cause.
constexpr int MaxReturns = 3;          ///< Of a caller that was refused.
constexpr double OutputWeight = 8;     ///< Output against prompt tokens.
constexpr std::uint64_t PoisonMark = 99;
constexpr std::int64_t TurnLimit = 150; ///< Sub-agents included.
constexpr token_count TokenLimit = 400'000;
constexpr token_count MaxOutput = 1'000;

struct agent {
  std::size_t Root = 0;   ///< Index of the root agent; its own for a root.
  std::size_t Parent = 0; ///< Index of the parent; its own for a root.
  const program_plan *Plan = nullptr;
  std::string Name;
  std::size_t Turn = 0;
  token_count Context = 0; ///< Tokens of history, the shared prefix included.
  token_count Longest = 0; ///< That a runner has computed.
  int ChildrenLeft = 0;
  bool Ended = false;
  // The rest is kept by roots only.
  double StartMs = 0;
  double EndMs = -1;
  double IdealMs = 0;
  double AnsweredWorkMs = 0;
  token_count Attained = 0;
  int Returns = 0;
  bool GivenUp = false;
  bool Poison = false;
  bool Measured = false;
  int Answers = 0;
  sched::program_usage Usage; ///< Spent and reserved.
};

struct call {
  std::size_t Agent = 0;
  std::size_t Runner = 0;
  std::uint64_t Number = 0;
  double QueuedMs = 0;
  token_count PromptTokens = 0;
  token_count Reserved = 0;
};

enum class event_kind {
  Arrival,
  Submit,
  Start,
  Engine,
  Finish,
  Resume,
  Report,
  Deliver,
  Evicted,
  Sweep,
  Fleet,
  Tick
};

struct event {
  double AtMs = 0;
  std::uint64_t Order = 0; ///< Breaks ties by the order of scheduling.
  event_kind Kind = event_kind::Tick;
  std::size_t Subject = 0;
  std::uint64_t Detail = 0;

  bool operator>(const event &Other) const {
    return AtMs != Other.AtMs ? AtMs > Other.AtMs : Order > Other.Order;
  }
};

struct fleet_runner {
  explicit fleet_runner(const engine_constants &Constants)
      : Engine(Constants) {}
  engine Engine;
  std::uint64_t Version = 0; ///< Of the engine's next event.
  bool Alive = true;
  bool Leaving = false;
  std::deque<sched::load_report> Reports; ///< Under way to the gate.
};

// ---- The run
// -------------------------------------------------------------------

template <typename Gate> class simulation {
public:
  simulation(const user_profile &User, const scenario &Scenario, Gate &&Chosen,
             std::uint64_t Seed)
      : User(User), Scenario(Scenario), G(std::move(Chosen)), Random(Seed),
        Noise(Seed + 1) {
    Limits.Turns = TurnLimit;
    Limits.Tokens = TokenLimit;
  }

  run_figures run() {
    setUp();
    while (!Events.empty() && Events.top().AtMs <= EndMs) {
      event Event = Events.top();
      Events.pop();
      NowMs = Event.AtMs;
      handle(Event);
    }
    return figures();
  }

private:
  time_point now() const { return {static_cast<std::int64_t>(NowMs)}; }

  void at(double AtMs, event_kind Kind, std::size_t Subject = 0,
          std::uint64_t Detail = 0) {
    Events.push({AtMs, ++Order, Kind, Subject, Detail});
  }

  std::string runnerName(std::size_t Index) const {
    return "r" + std::to_string(Index);
  }

  sched::runner_info infoOf(std::size_t Index) const {
    sched::runner_info Info;
    Info.Name = runnerName(Index);
    Info.Slots = Constants.Slots;
    Info.Phase = Runners[Index].Leaving ? sched::runner_phase::Leaving
                                        : sched::runner_phase::Live;
    Info.Rates.PrefillMsPerToken = Constants.PrefillMsPerToken;
    Info.Rates.DecodeMsPerToken =
        Constants.decodeMsPerToken() * Constants.Slots;
    Info.Rates.MoveMsPerToken = Constants.MoveMsPerToken;
    Info.Rates.MoveFixedMs = Constants.MoveFixedMs;
    Info.CacheTokens = Constants.CacheTokens;
    return Info;
  }

  void setUp() {
    for (int I = 0; I < User.Runners; ++I)
      Runners.emplace_back(Constants);
    for (std::size_t I = 0; I < Runners.size(); ++I) {
      G.upsertRunner(infoOf(I));
      at(LoadReportMs * static_cast<double>(I + 1) /
             static_cast<double>(Runners.size()),
         event_kind::Report, I);
    }
    EndMs = Scenario.WarmUpMs + Scenario.WindowMs + Scenario.TailMs;
    drawArrivals();
    for (std::size_t I = 0; I < Scenario.Events.size(); ++I)
      at(Scenario.Events[I].AtMs, event_kind::Fleet, I);
    for (int I = 0; I < Scenario.PoisonResends; ++I)
      addPoison(Scenario.WarmUpMs + 10'000.0 * (I + 1));
    at(SweepMs, event_kind::Sweep);
    at(TickMs, event_kind::Tick);
  }

  void addPoison(double AtMs) {
    Plans.push_back(
        std::make_unique<program_plan>(drawProgram(User, 0, Noise)));
    Plans.back()->Turns.resize(1);
    Plans.back()->Turns[0].Children.clear();
    addRoot(AtMs, *Plans.back());
    Agents.back().Poison = true;
    Agents.back().Measured = false;
  }

  void drawArrivals() {
    std::vector<std::pair<double, std::size_t>> Arrivals;
    for (std::size_t Entry = 0; Entry < User.Entries.size(); ++Entry) {
      const entry_profile &Profile = User.Entries[Entry];
      double Work = Scenario.Load * Profile.WorkShare * fleetRate();
      double Rate = Work / meanWork(Entry);
      double Factor = Scenario.Flood[sched::indexOf(Profile.Rank)];
      std::exponential_distribution<double> Gap(1.0);
      double AtMs = 0;
      while (true) {
        bool InFlood = AtMs > Scenario.WarmUpMs;
        AtMs += Gap(Random) / (Rate * (InFlood ? Factor : 1));
        if (AtMs > EndMs)
          break;
        Arrivals.emplace_back(AtMs, Entry);
      }
    }
    std::ranges::sort(Arrivals);
    for (auto [AtMs, Entry] : Arrivals) {
      Plans.push_back(
          std::make_unique<program_plan>(drawProgram(User, Entry, Random)));
      addRoot(AtMs, *Plans.back());
    }
  }

  /// Ideal work that the fleet can do in a millisecond.
  double fleetRate() const {
    static std::map<std::string, double> Known;
    auto [Found, IsNew] = Known.try_emplace(User.Name, 0);
    if (IsNew)
      Found->second = bestWorkRate(User);
    return Found->second * User.Runners;
  }

  double meanWork(std::size_t Entry) const {
    static std::map<std::string, double> Known;
    auto [Found, IsNew] = Known.try_emplace(User.Entries[Entry].Name, 0);
    if (IsNew)
      Found->second = meanWorkMs(User, Entry);
    return Found->second;
  }

  void addRoot(double AtMs, const program_plan &Plan) {
    std::size_t Index = Agents.size();
    agent Agent;
    Agent.Root = Agent.Parent = Index;
    Agent.Plan = &Plan;
    Agent.Name = "p" + std::to_string(Index);
    Agent.StartMs = AtMs;
    Agent.IdealMs = idealLatencyMs(User, Plan);
    Agent.Usage.Start = {static_cast<std::int64_t>(AtMs)};
    Agent.Measured = AtMs >= Scenario.WarmUpMs &&
                     AtMs < Scenario.WarmUpMs + Scenario.WindowMs;
    Agents.push_back(std::move(Agent));
    at(AtMs, event_kind::Arrival, Index);
  }

  const entry_profile &entryOf(const agent &Agent) const {
    return User.Entries[Agent.Plan->Entry];
  }

  // ---- Events --------------------------------------------------------------

  void handle(const event &Event) {
    switch (Event.Kind) {
    case event_kind::Arrival:
      beginTurn(Event.Subject);
      break;
    case event_kind::Submit:
      submit(Event.Subject);
      break;
    case event_kind::Start:
      startOnEngine(Event.Subject, Event.Detail);
      break;
    case event_kind::Engine:
      if (Runners[Event.Subject].Version == Event.Detail)
        advanceEngine(Event.Subject);
      break;
    case event_kind::Finish:
      finish(Event.Detail);
      break;
    case event_kind::Resume:
      beginTurn(Event.Subject);
      break;
    case event_kind::Report:
      sendReport(Event.Subject);
      break;
    case event_kind::Deliver:
      deliverReport(Event.Subject);
      break;
    case event_kind::Evicted:
      G.cacheEvent(runnerName(Event.Subject),
                   {sched::cache_event::kind::Evicted,
                    Agents[Event.Detail & 0xffffffff].Name, 0,
                    milliseconds(Event.Detail >> 32)},
                   now());
      break;
    case event_kind::Sweep:
      sweep();
      break;
    case event_kind::Fleet:
      changeFleet(Scenario.Events[Event.Subject]);
      break;
    case event_kind::Tick:
      at(NowMs + TickMs, event_kind::Tick);
      tick();
      break;
    }
  }

  // ---- Programs ------------------------------------------------------------

  const turn_plan &turnOf(const agent &Agent) const {
    std::size_t Last = Agent.Plan->Turns.size() - 1;
    return Agent.Plan->Turns[std::min(Agent.Turn, Last)];
  }

  bool isRunaway(const agent &Agent) const {
    return Agent.Plan->Runaway && Agent.Root == Agent.Parent;
  }

  void beginTurn(std::size_t Index) {
    agent &Agent = Agents[Index];
    if (Agents[Agent.Root].GivenUp)
      return;
    if (Agent.Turn == 0)
      Agent.Context = entryOf(Agent).SharedPrefix;
    Agent.Context += turnOf(Agent).NewTokens;
    submit(Index);
  }

  void submit(std::size_t Index) {
    agent &Agent = Agents[Index];
    agent &Root = Agents[Agent.Root];
    token_count Reserved = turnOf(Agent).NewTokens + MaxOutput;
    if (sched::checkCall(Limits, Root.Usage, {false, Reserved}, now())) {
      giveUp(Agent.Root);
      return;
    }
    sched::gate_request Request;
    Request.RootProgram = Root.Name;
    Request.Program = Agent.Name;
    Request.Owner = "owner" + std::to_string(Agent.Plan->Owner);
    Request.Entry = entryOf(Agent).Name;
    Request.Rank = entryOf(Agent).Rank;
    Request.PromptTokens = Agent.Context;
    Request.CachedTokens = Agent.Longest;
    Request.MaxOutputTokens = MaxOutput;
    Request.AttainedService = Root.Attained;
    Request.Started = Root.Answers > 0;
    Request.ProgramStart = Root.Usage.Start;
    Request.Fingerprint =
        Root.Poison ? PoisonMark
                    : turmerichead::hash64(Agent.Name, Agent.Turn + 100);
    Request.ParentWaiting = Agent.Parent != Index;
    auto Result = G.enqueue(Request, now());
    if (Result.Refusal) {
      refused(Index, *Result.Refusal);
      return;
    }
    Calls[Result.Id] = {Index, 0, ++CallNumber, NowMs, Agent.Context, Reserved};
    ++Root.Usage.Turns;
    Root.Usage.Tokens += Reserved;
    ++Admitted;
    tick();
  }

  void refused(std::size_t Index, const sched::refusal &Refusal) {
    agent &Root = Agents[Agents[Index].Root];
    bool ComesBack =
        Refusal.RetryAfter.count() > 0 && Root.Returns < MaxReturns;
    if (!ComesBack) {
      giveUp(Agents[Index].Root);
      return;
    }
    ++Root.Returns;
    at(NowMs + static_cast<double>(Refusal.RetryAfter.count()),
       event_kind::Submit, Index);
  }

  void giveUp(std::size_t RootIndex) {
    agent &Root = Agents[RootIndex];
    Root.GivenUp = true;
    Root.Ended = true;
    G.programEnded(Root.Name);
  }

  void endAgent(std::size_t Index) {
    agent &Agent = Agents[Index];
    Agent.Ended = true;
    G.programEnded(Agent.Name);
    if (Agent.Parent == Index) {
      Agent.EndMs = NowMs;
      return;
    }
    if (--Agents[Agent.Parent].ChildrenLeft == 0)
      afterChildren(Agent.Parent);
  }

  void answered(std::size_t Index, token_count Cached) {
    agent &Agent = Agents[Index];
    agent &Root = Agents[Agent.Root];
    const turn_plan &Turn = turnOf(Agent);
    account(Agent, Root, Turn, Cached);
    if (Root.GivenUp)
      return;
    std::size_t Next = Agent.Turn + 1;
    bool IsLast = Next >= Agent.Plan->Turns.size() && !isRunaway(Agent);
    if (Turn.Children.empty() || Next > Agent.Plan->Turns.size()) {
      continueAfter(Index, IsLast);
      return;
    }
    Agent.ChildrenLeft = static_cast<int>(Turn.Children.size());
    G.programPaused(Agent.Name, milliseconds(20'000), now());
    for (std::size_t I = 0; I < Turn.Children.size(); ++I)
      addChild(Index, Turn.Children[I], I);
  }

  void addChild(std::size_t ParentIndex, const program_plan &Plan,
                std::size_t Number) {
    std::size_t Index = Agents.size();
    agent Child;
    Child.Root = Agents[ParentIndex].Root;
    Child.Parent = ParentIndex;
    Child.Plan = &Plan;
    Child.Name = Agents[ParentIndex].Name + "/t" +
                 std::to_string(Agents[ParentIndex].Turn) + "-" +
                 std::to_string(Number);
    Agents.push_back(std::move(Child));
    at(NowMs, event_kind::Resume, Index);
  }

  void afterChildren(std::size_t Index) {
    const agent &Agent = Agents[Index];
    bool IsLast =
        Agent.Turn + 1 >= Agent.Plan->Turns.size() && !isRunaway(Agent);
    continueAfter(Index, IsLast);
  }

  void continueAfter(std::size_t Index, bool IsLast) {
    if (IsLast) {
      endAgent(Index);
      return;
    }
    agent &Agent = Agents[Index];
    const turn_plan &Turn = turnOf(Agent);
    ++Agent.Turn;
    G.programPaused(
        Agent.Name,
        milliseconds(static_cast<std::int64_t>(Turn.ExpectedPauseMs)), now());
    at(NowMs + Turn.PauseMs, event_kind::Resume, Index);
  }

  void account(agent &Agent, agent &Root, const turn_plan &Turn,
               token_count Cached) {
    token_count Computed = Agent.Context - Cached;
    token_count Before = std::min(Agent.Longest, Agent.Context);
    bool InWindow = NowMs >= Scenario.WarmUpMs &&
                    NowMs < Scenario.WarmUpMs + Scenario.WindowMs;
    double Work =
        static_cast<double>(Turn.NewTokens) * Constants.PrefillMsPerToken +
        static_cast<double>(Turn.OutputTokens) * Constants.decodeMsPerToken();
    if (InWindow) {
      ++CallsInWindow;
      PromptInWindow += Agent.Context;
      CachedInWindow += Cached;
      WastedInWindow += std::max<token_count>(0, Before - Cached);
      WorkInWindow[sched::indexOf(entryOf(Agent).Rank)] += Work;
      Root.AnsweredWorkMs += Work;
    }
    Agent.Context += Turn.OutputTokens;
    Agent.Longest = Agent.Context;
    Root.Attained +=
        Computed + static_cast<token_count>(
                       OutputWeight * static_cast<double>(Turn.OutputTokens));
    ++Root.Usage.Turns;
    Root.Usage.Tokens += Turn.NewTokens + Turn.OutputTokens;
    ++Root.Answers;
    Overspent +=
        Root.Usage.Turns > Limits.Turns || Root.Usage.Tokens > Limits.Tokens;
  }

  // ---- Gate and engines
  // ------------------------------------------------------

  void tick() {
    auto Output = G.tick(now());
    std::vector<sched::refusal> Refusals(Output.Refusals.begin(),
                                         Output.Refusals.end());
    for (const sched::grant &Grant : Output.Grants)
      takeGrant(Grant);
    for (const sched::release_command &Command : Output.Releases)
      Runners[indexOf(Command.Runner)].Engine.release(Command.Program);
    for (const sched::move_command &Command : Output.Moves)
      rebalance(Command);
    for (const sched::refusal &Refusal : Refusals) {
      call Call = takeCall(Refusal.Request);
      refused(Call.Agent, Refusal);
    }
  }

  /// Ends a call, and gives back what was reserved for it.
  call takeCall(sched::request_id Id) {
    call Call = Calls.at(Id);
    Calls.erase(Id);
    ++AnsweredCalls;
    agent &Root = Agents[Agents[Call.Agent].Root];
    --Root.Usage.Turns;
    Root.Usage.Tokens -= Call.Reserved;
    return Call;
  }

  static std::size_t indexOf(const std::string &Runner) {
    return std::stoul(Runner.substr(1));
  }

  void takeGrant(const sched::grant &Grant) {
    call &Call = Calls.at(Grant.Request);
    Call.Runner = indexOf(Grant.Runner);
    double Waited = NowMs - Call.QueuedMs;
    LongestWaitMs = std::max(LongestWaitMs, Waited);
    LateGrants += Runners[Call.Runner].Leaving;
    InFlight[Call.Number] = Grant.Request;
    double Delay = PathMs;
    if (!Grant.MoveCacheFrom.empty())
      Delay += moveCache(Grant, Call);
    at(NowMs + Delay, event_kind::Start, Call.Runner, Call.Number);
  }

  /// Copying a paused program's cache takes less than its pause.
  void rebalance(const sched::move_command &Command) {
    engine &Source = Runners[indexOf(Command.From)].Engine;
    token_count Tokens = Source.cachedOf(Command.Program);
    if (Tokens == 0)
      return;
    ++Moves;
    Runners[indexOf(Command.To)].Engine.import(Command.Program, Tokens, NowMs);
    Source.release(Command.Program);
  }

  double moveCache(const sched::grant &Grant, const call &Call) {
    const std::string &Program = Agents[Call.Agent].Name;
    engine &Source = Runners[indexOf(Grant.MoveCacheFrom)].Engine;
    token_count Tokens = Source.cachedOf(Program);
    if (Tokens == 0)
      return Constants.MoveFixedMs; // The export told that nothing is there.
    ++Moves;
    Source.release(Program);
    Runners[Call.Runner].Engine.import(Program, Tokens, NowMs);
    return Constants.MoveFixedMs +
           static_cast<double>(Tokens) * Constants.MoveMsPerToken;
  }

  void startOnEngine(std::size_t Runner, std::uint64_t Number) {
    auto Found = InFlight.find(Number);
    if (Found == InFlight.end())
      return;
    if (!Runners[Runner].Alive) {
      fail(Number);
      return;
    }
    const call &Call = Calls.at(Found->second);
    const agent &Agent = Agents[Call.Agent];
    if (Agents[Agent.Root].Poison) {
      ++PoisonDeaths;
      kill(Runner);
      at(NowMs + 5'000, event_kind::Fleet, revival(Runner));
      return;
    }
    engine &Engine = Runners[Runner].Engine;
    collect(Runner, Engine.advance(NowMs));
    Engine.start({Number, Agent.Name, entryOf(Agent).Name,
                  entryOf(Agent).SharedPrefix, Call.PromptTokens,
                  turnOf(Agent).OutputTokens},
                 NowMs);
    scheduleEngine(Runner);
  }

  void advanceEngine(std::size_t Runner) {
    collect(Runner, Runners[Runner].Engine.advance(NowMs + 1e-7));
    scheduleEngine(Runner);
  }

  void collect(std::size_t Runner, const std::vector<engine_result> &Results) {
    for (const engine_result &Result : Results) {
      CachedOf[Result.Id] = Result.CachedTokens;
      at(NowMs + PathMs, event_kind::Finish, Runner, Result.Id);
    }
  }

  void scheduleEngine(std::size_t Runner) {
    fleet_runner &Row = Runners[Runner];
    reportEvictions(Runner);
    ++Row.Version;
    if (auto Next = Row.Engine.nextEventMs())
      at(std::max(*Next, NowMs), event_kind::Engine, Runner, Row.Version);
  }

  void reportEvictions(std::size_t Runner) {
    std::uniform_real_distribution<double> Even(0.0, 1.0);
    for (const eviction &Eviction : Runners[Runner].Engine.takeEvictions()) {
      if (!Eviction.Program.starts_with("p") || Even(Noise) < EventLossPart)
        continue;
      auto Lag = static_cast<std::uint64_t>(EventLagMs * Even(Noise));
      std::uint64_t Agent = std::stoul(Eviction.Program.substr(1));
      if (Eviction.Program.find('/') != std::string::npos)
        continue; // Sub-agents' events are among those that get lost.
      at(NowMs + static_cast<double>(Lag), event_kind::Evicted, Runner,
         Lag << 32 | Agent);
    }
  }

  void finish(std::uint64_t Number) {
    auto Found = InFlight.find(Number);
    if (Found == InFlight.end())
      return;
    sched::request_id Id = Found->second;
    InFlight.erase(Found);
    call Call = takeCall(Id);
    token_count Cached = CachedOf.at(Number);
    CachedOf.erase(Number);
    token_count Output = turnOf(Agents[Call.Agent]).OutputTokens;
    G.finished(Id, sched::outcome::Ok, {Call.PromptTokens, Cached, Output},
               now());
    answered(Call.Agent, Cached);
    tick();
  }

  /// A call whose runner died is sent again by its holder.
  void fail(std::uint64_t Number) {
    auto Found = InFlight.find(Number);
    if (Found == InFlight.end())
      return;
    sched::request_id Id = Found->second;
    InFlight.erase(Found);
    call Call = takeCall(Id);
    CachedOf.erase(Number);
    G.finished(Id, sched::outcome::RunnerCrashed, {}, now());
    if (Agents[Agents[Call.Agent].Root].Poison) {
      giveUp(Agents[Call.Agent].Root);
      return;
    }
    at(NowMs + PathMs, event_kind::Submit, Call.Agent);
  }

  // ---- The fleet
  // -------------------------------------------------------------

  std::size_t revival(std::size_t Runner) {
    Scenario.Events.push_back(
        {fleet_event::kind::Returns, NowMs + 5'000, Runner});
    return Scenario.Events.size() - 1;
  }

  void kill(std::size_t Runner) {
    fleet_runner &Row = Runners[Runner];
    Row.Alive = false;
    Row.Engine.clear();
    ++Row.Version;
    std::vector<std::uint64_t> Dead;
    for (const auto &[Number, Id] : InFlight)
      if (Calls.at(Id).Runner == Runner)
        Dead.push_back(Number);
    for (std::uint64_t Number : Dead)
      fail(Number);
  }

  void changeFleet(const fleet_event &Event) {
    fleet_runner &Row = Runners[Event.Runner];
    if (Event.Kind == fleet_event::kind::Dies)
      kill(Event.Runner);
    if (Event.Kind == fleet_event::kind::Leaves)
      Row.Leaving = true;
    if (Event.Kind == fleet_event::kind::Returns) {
      Row.Alive = true;
      Row.Leaving = false;
    }
    G.upsertRunner(infoOf(Event.Runner));
    tick();
  }

  void sendReport(std::size_t Runner) {
    const engine &Engine = Runners[Runner].Engine;
    sched::load_report Report;
    Report.Running = Engine.running();
    Report.Waiting = Engine.waiting();
    Report.CacheUsed = Engine.cacheUsed();
    Report.Age = milliseconds(static_cast<std::int64_t>(LoadReportMs));
    Runners[Runner].Reports.push_back(Report);
    at(NowMs + LoadReportMs, event_kind::Deliver, Runner);
    at(NowMs + LoadReportMs, event_kind::Report, Runner);
  }

  void deliverReport(std::size_t Runner) {
    std::deque<sched::load_report> &Reports = Runners[Runner].Reports;
    G.reportLoad(runnerName(Runner), Reports.front(), now());
    Reports.pop_front();
  }

  bool isAlive(std::string_view Name) const {
    std::string Root(Name.substr(1, Name.find('/') - 1));
    return !Agents[std::stoul(Root)].Ended;
  }

  void sweep() {
    at(NowMs + SweepMs, event_kind::Sweep);
    for (std::size_t I = 0; I < Runners.size(); ++I)
      G.sweep(
          runnerName(I), Runners[I].Engine.listing(),
          [&](std::string_view Name) { return isAlive(Name); }, now());
  }

  // ---- Figures
  // -----------------------------------------------------------------

  run_figures figures() const;

  const user_profile &User;
  scenario Scenario;
  Gate G;
  random_source Random;
  random_source Noise; ///< Apart, so that all variants meet the same programs.
  engine_constants Constants;
  sched::entry_limits Limits;
  double NowMs = 0;
  double EndMs = 0;
  std::uint64_t Order = 0;
  std::priority_queue<event, std::vector<event>, std::greater<>> Events;
  std::vector<std::unique_ptr<program_plan>> Plans;
  std::deque<agent> Agents;
  std::vector<fleet_runner> Runners;
  std::map<sched::request_id, call> Calls;
  std::map<std::uint64_t, sched::request_id> InFlight; ///< By call number.
  std::map<std::uint64_t, token_count> CachedOf;       ///< By call number.
  std::uint64_t CallNumber = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t AnsweredCalls = 0;
  double CallsInWindow = 0;
  token_count PromptInWindow = 0;
  token_count CachedInWindow = 0;
  token_count WastedInWindow = 0;
  per_rank<double> WorkInWindow{};
  double LongestWaitMs = 0;
  int Overspent = 0;
  int Moves = 0;
  int PoisonDeaths = 0;
  int LateGrants = 0;
};

/// Programs of one owner and rank.
struct owner_count {
  double Offered = 0;
  double Finished = 0;
};

template <typename Gate> run_figures simulation<Gate>::figures() const {
  run_figures Figures;
  per_rank<std::vector<double>> Latencies;
  per_rank<double> Finished{};
  per_rank<double> InTarget{};
  std::map<std::pair<std::size_t, int>, owner_count> Owners;
  double GoodWorkMs = 0;
  double GivenUp = 0;
  double OrdinaryAnswered = 0;
  double OrdinaryFinished = 0;
  double WindowEnd = Scenario.WarmUpMs + Scenario.WindowMs;
  for (std::size_t I = 0; I < Agents.size(); ++I) {
    const agent &Agent = Agents[I];
    if (Agent.Parent != I || Agent.Poison)
      continue;
    rank Rank = entryOf(Agent).Rank;
    std::size_t R = sched::indexOf(Rank);
    bool IsDone = Agent.EndMs >= 0;
    double Latency = (IsDone ? Agent.EndMs : EndMs) - Agent.StartMs;
    bool IsGood = IsDone && Latency <= targetMs(Rank, Agent.IdealMs);
    bool EndsInWindow =
        IsDone && Agent.EndMs >= Scenario.WarmUpMs && Agent.EndMs < WindowEnd;
    if (EndsInWindow && IsGood)
      GoodWorkMs += idealWorkMs(User, *Agent.Plan);
    if (EndsInWindow && Rank == rank::Ordinary)
      ++Figures.OrdinaryPrograms;
    if (Rank == rank::Ordinary) {
      OrdinaryAnswered += Agent.AnsweredWorkMs;
      OrdinaryFinished += IsDone ? Agent.AnsweredWorkMs : 0;
    }
    if (!Agent.Measured || Agent.Plan->Runaway)
      continue;
    ++Figures.Offered[R];
    owner_count &Owner = Owners[{R, Agent.Plan->Owner}];
    ++Owner.Offered;
    Owner.Finished += IsDone;
    GivenUp += Agent.GivenUp;
    Finished[R] += IsDone;
    InTarget[R] += IsGood;
    // A refused program has no latency; it counts as refused.
    if (!Agent.GivenUp)
      Latencies[R].push_back(Latency);
  }
  for (std::size_t R = 0; R < sched::RankCount; ++R) {
    Figures.P50LatencyMs[R] = percentile(Latencies[R], 0.5);
    Figures.P95LatencyMs[R] = percentile(Latencies[R], 0.95);
    double Offered = std::max(1.0, Figures.Offered[R]);
    Figures.FinishedPart[R] = Finished[R] / Offered;
    Figures.InTargetPart[R] = InTarget[R] / Offered;
  }
  Figures.WorstOwnerPart = 1;
  for (const auto &[Key, Owner] : Owners) {
    double RankPart = std::max(1e-9, Figures.FinishedPart[Key.first]);
    double Part = Owner.Finished / Owner.Offered / RankPart;
    Figures.WorstOwnerPart = std::min(Figures.WorstOwnerPart, Part);
    Figures.StarvedOwners += Owner.Finished == 0;
  }
  double FleetMs = Scenario.WindowMs * fleetRate();
  Figures.Goodput = GoodWorkMs / FleetMs;
  double Work = WorkInWindow[0] + WorkInWindow[1];
  Figures.WorkDone = Work / FleetMs;
  Figures.OrdinaryShare = WorkInWindow[1] / std::max(1.0, Work);
  Figures.OrdinaryFinishedWork =
      OrdinaryFinished / std::max(1.0, OrdinaryAnswered);
  Figures.WastedPerCall =
      static_cast<double>(WastedInWindow) / std::max(1.0, CallsInWindow);
  Figures.CachedPart = static_cast<double>(CachedInWindow) /
                       std::max(1.0, static_cast<double>(PromptInWindow));
  Figures.RefusedPart =
      GivenUp / std::max(1.0, Figures.Offered[0] + Figures.Offered[1]);
  Figures.LongestWaitS = LongestWaitMs / 1000;
  Figures.Overspent = Overspent;
  Figures.Moves = Moves;
  Figures.PoisonDeaths = PoisonDeaths;
  Figures.LateGrants = LateGrants;
  Figures.LostCalls = static_cast<double>(Admitted) -
                      static_cast<double>(AnsweredCalls + Calls.size());
  for (const fleet_runner &Runner : Runners)
    for (const std::string &Name : Runner.Engine.listing())
      if (!isAlive(Name))
        Figures.LeftoverTokens +=
            static_cast<double>(Runner.Engine.cachedOf(Name));
  return Figures;
}

template <typename Gate>
run_figures simulateWith(const user_profile &User, const scenario &Scenario,
                         const variant &Variant, std::uint64_t Seed) {
  auto Chosen = Gate::create(Variant.Settings);
  return simulation<Gate>(User, Scenario, std::move(*Chosen), Seed).run();
}

} // namespace

run_figures simulate(const user_profile &User, const scenario &Scenario,
                     const variant &Variant, std::uint64_t Seed) {
  switch (Variant.Kind) {
  case gate_kind::Default:
    return simulateWith<sched::default_gate>(User, Scenario, Variant, Seed);
  case gate_kind::Fifo:
    return simulateWith<sched::fifo_gate>(User, Scenario, Variant, Seed);
  case gate_kind::RoundRobin:
    return simulateWith<sched::round_robin_gate>(User, Scenario, Variant, Seed);
  case gate_kind::PlainAffinity:
    return simulateWith<sched::plain_affinity_gate>(User, Scenario, Variant,
                                                    Seed);
  case gate_kind::FifoAffinity:
    return simulateWith<sched::fifo_affinity_gate>(User, Scenario, Variant,
                                                   Seed);
  case gate_kind::AttainedLeastLoad:
    return simulateWith<sched::attained_least_load_gate>(User, Scenario,
                                                         Variant, Seed);
  }
  return {};
}

} // namespace bench
