// Measures the decision core with virtual time against baselines.
#include "decision_cost.h"
#include "herd.h"
#include "scenarios.h"
#include "variants.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <map>
#include <string>

DEFINE_bool(smoke, false, "a short run that checks invariants only");
DEFINE_int32(seeds, 10, "runs of each case, each with another seed");
DEFINE_string(user, "", "only this user's workload");
DEFINE_string(variant, "", "only policies whose name contains this");
DEFINE_string(scenario, "", "only scenarios whose name contains this");
DEFINE_bool(cost, true, "measure the cost of a decision as well");
DEFINE_string(set, "", "changed settings, for a trial: name=value,...");
DEFINE_bool(herd, true, "compare ways to choose a group as well");
DEFINE_string(csv, "", "also write every run's figures to this file");

namespace bench {
namespace {

using runs = std::vector<run_figures>;
/// By scenario and variant.
using results = std::map<std::pair<std::string, std::string>, runs>;

double second(double Ms) { return Ms / 1000; }

bool matches(const std::string &Name, const std::string &Wanted) {
  return Wanted.empty() || Name.find(Wanted) != std::string::npos;
}

// ---- Tables ---------------------------------------------------------------

constexpr const char *RowFormat = "%-24s %-22s %-24s %-18s %-18s %-18s "
                                  "%-18s %-18s %-18s %-10s\n";

void printHeader(const user_profile &User, const scenario &Scenario) {
  std::printf("\n%s, %s (%d runners, %d seeds, median (least..most))\n",
              User.Name.c_str(), Scenario.Name.c_str(), User.Runners,
              FLAGS_seeds);
  std::printf(RowFormat, "policy", "urgent p95 s", "ordinary p95 s",
              "work done", "work in target", "in target urg", "in target ord",
              "wasted tok/call", "ordinary share", "refused");
}

void printRow(const std::string &Name, const runs &Runs) {
  auto Text = [&](double (*Field)(const run_figures &), int Digits) {
    return textOf(spreadOf(Runs, Field), Digits);
  };
  using f = const run_figures &;
  std::printf(RowFormat, Name.c_str(),
              Text([](f F) { return second(F.P95LatencyMs[0]); }, 1).c_str(),
              Text([](f F) { return second(F.P95LatencyMs[1]); }, 1).c_str(),
              Text([](f F) { return F.WorkDone; }, 2).c_str(),
              Text([](f F) { return F.Goodput; }, 2).c_str(),
              Text([](f F) { return F.InTargetPart[0]; }, 2).c_str(),
              Text([](f F) { return F.InTargetPart[1]; }, 2).c_str(),
              Text([](f F) { return F.WastedPerCall; }, 0).c_str(),
              Text([](f F) { return F.OrdinaryShare; }, 2).c_str(),
              Text([](f F) { return F.RefusedPart; }, 2).c_str());
  std::fflush(stdout);
}

void appendCsv(std::FILE *File, const user_profile &User,
               const scenario &Scenario, const variant &Variant,
               std::uint64_t Seed, const run_figures &F) {
  std::fprintf(File,
               "%s;%s;%s;%llu;%.0f;%.0f;%.0f;%.0f;%.4f;%.4f;%.4f;%.4f;%.1f;"
               "%.4f;%.4f;%.4f;%.1f;%.0f\n",
               User.Name.c_str(), Scenario.Name.c_str(), Variant.Name.c_str(),
               static_cast<unsigned long long>(Seed), F.P50LatencyMs[0],
               F.P95LatencyMs[0], F.P50LatencyMs[1], F.P95LatencyMs[1],
               F.Goodput, F.WorkDone, F.InTargetPart[0], F.InTargetPart[1],
               F.WastedPerCall, F.CachedPart, F.OrdinaryShare, F.RefusedPart,
               F.LongestWaitS, F.Moves);
}

// ---- Targets --------------------------------------------------------------

bool verdict(const char *What, double Value, double Bound, bool AtMost) {
  bool Reached = AtMost ? Value <= Bound : Value >= Bound;
  std::printf("%-64s %10.3f  %s %8.3f  %s\n", What, Value,
              AtMost ? "at most " : "at least", Bound,
              Reached ? "reached" : "NOT REACHED");
  return Reached;
}

double median(const results &Results, const char *Scenario, const char *Variant,
              double (*Field)(const run_figures &)) {
  auto Found = Results.find({Scenario, Variant});
  return Found == Results.end() ? 0 : spreadOf(Found->second, Field).Median;
}

double total(const results &Results, const char *Variant,
             double (*Field)(const run_figures &)) {
  double Sum = 0;
  for (const auto &[Key, Runs] : Results)
    if (Key.second == Variant)
      for (const run_figures &Run : Runs)
        Sum += Field(Run);
  return Sum;
}

void printTargets(const user_profile &User, const results &Results) {
  using f = const run_figures &;
  const char *Own = "turmerichead";
  const char *Fifo = "fifo, least load";
  auto UrgentP95 = [](f F) { return F.P95LatencyMs[0]; };
  auto Wasted = [](f F) { return F.WastedPerCall; };
  std::printf("\n%s: targets\n", User.Name.c_str());
  double OwnP95 = median(Results, "load 0.9", Own, UrgentP95);
  double FifoP95 = median(Results, "load 0.9", Fifo, UrgentP95);
  verdict("load 0.9: urgent p95, of fifo with least load", OwnP95 / FifoP95,
          0.5, true);
  double Calm = median(Results, "load 0.7", Own, UrgentP95);
  double Flood = median(Results, "flood of ordinary", Own, UrgentP95);
  verdict("flood of ordinary: urgent p95, of its value without", Flood / Calm,
          1.2, true);
  double Share = median(Results, "flood of urgent", Own,
                        [](f F) { return F.OrdinaryShare; });
  verdict("flood of urgent: ordinary share of the work", Share,
          User.OrdinaryFloor, false);
  double OwnWaste = median(Results, "load 0.9", Own, Wasted);
  double FifoWaste = median(Results, "load 0.9", Fifo, Wasted);
  verdict("load 0.9: wasted prefill per call, of least load's",
          OwnWaste / FifoWaste, 0.25, true);
  double Goodput =
      median(Results, "load 1.2", Own, [](f F) { return F.Goodput; });
  verdict("load 1.2: work of programs in target, of the fleet's", Goodput, 0.9,
          false);
  verdict("all: programs that passed a limit",
          total(Results, Own, [](f F) { return F.Overspent; }), 0, true);
  verdict("all: owners of a rank that finished nothing",
          total(Results, Own, [](f F) { return F.StarvedOwners; }), 0, true);
  verdict("all: admitted calls without exactly one answer",
          total(Results, Own, [](f F) { return F.LostCalls; }), 0, true);
  verdict("all: grants to a leaving runner",
          total(Results, Own, [](f F) { return F.LateGrants; }), 0, true);
  verdict(
      "faults: upstreams lost to a poison request, most",
      spreadOf(Results.at({"faults", Own}), [](f F) { return F.PoisonDeaths; })
          .Most,
      2, true);
  std::printf(
      "without a bound: ordinary work in finished programs, flood of "
      "urgent: %.3f; longest wait of a call: %.1f s; worst owner's "
      "finished part, of its rank's: %.2f\n",
      median(Results, "flood of urgent", Own,
             [](f F) { return F.OrdinaryFinishedWork; }),
      median(Results, "load 1.2", Own, [](f F) { return F.LongestWaitS; }),
      median(Results, "load 1.2", Own, [](f F) { return F.WorstOwnerPart; }));
}

void printCost(const std::vector<decision_cost> &Costs) {
  std::printf("\ncost of a decision\n%8s %8s %8s %8s  %s\n", "runners",
              "groups", "a group", "queued", "us, median (least..most)");
  for (const decision_cost &Cost : Costs) {
    std::printf("%8d %8d %8d %8d  %.2f (%.2f..%.2f)\n", Cost.Runners,
                Cost.Groups, Cost.GroupRunners, Cost.Queued, Cost.MicrosMedian,
                Cost.MicrosLeast, Cost.MicrosMost);
    if (Cost.Runners == 2'000 && Cost.GroupRunners <= 64)
      verdict("2,000 runners: microseconds a decision", Cost.MicrosMedian, 20,
              true);
  }
}

// ---- Runs -----------------------------------------------------------------

void printHerd() {
  std::printf("\nfour groups, nine holders, summaries 1 to 2 s old, load 0.85 "
              "(%d seeds)\n%-16s %-28s %s\n",
              FLAGS_seeds, "way", "fullest group, of the mean",
              "calls that met a full group");
  std::map<std::string, std::pair<std::vector<double>, std::vector<double>>>
      Ways;
  for (int Seed = 1; Seed <= FLAGS_seeds; ++Seed)
    for (const herd_figures &Figures :
         measureHerd(static_cast<std::uint64_t>(Seed))) {
      Ways[Figures.Way].first.push_back(Figures.Unevenness);
      Ways[Figures.Way].second.push_back(Figures.QueuedPart);
    }
  for (const auto &[Way, Values] : Ways)
    std::printf("%-16s %-28s %s\n", Way.c_str(),
                textOf(spreadOf(Values.first), 2).c_str(),
                textOf(spreadOf(Values.second), 3).c_str());
}

results runAll(const user_profile &User, std::FILE *Csv) {
  results Results;
  for (const scenario &Scenario : allScenarios()) {
    if (!matches(Scenario.Name, FLAGS_scenario))
      continue;
    printHeader(User, Scenario);
    std::vector<variant> Variants = mainVariants(User);
    if (takesPartsAway(Scenario))
      std::ranges::copy(reducedVariants(User), std::back_inserter(Variants));
    for (const variant &Variant : Variants) {
      if (!matches(Variant.Name, FLAGS_variant))
        continue;
      runs &Runs = Results[{Scenario.Name, Variant.Name}];
      for (int Seed = 1; Seed <= FLAGS_seeds; ++Seed) {
        auto Value = static_cast<std::uint64_t>(Seed);
        Runs.push_back(simulate(User, Scenario, Variant, Value));
        if (Csv)
          appendCsv(Csv, User, Scenario, Variant, Value, Runs.back());
      }
      printRow(Variant.Name, Runs);
    }
  }
  return Results;
}

/// Short runs of the default policy: no promise may be broken in any.
bool smoke(const user_profile &User) {
  bool Passed = true;
  for (const scenario &Scenario : allScenarios()) {
    run_figures Run =
        simulate(User, shortened(Scenario), defaultVariant(User), 1);
    bool Good = Run.LostCalls == 0 && Run.LateGrants == 0 &&
                Run.Overspent == 0 && Run.PoisonDeaths <= 2 && Run.WorkDone > 0;
    std::printf("%-12s %-20s %s\n", User.Name.c_str(), Scenario.Name.c_str(),
                Good ? "ok" : "FAILED");
    Passed = Passed && Good;
  }
  return Passed;
}

int run() {
  bool Passed = true;
  if (!changeDefaults(FLAGS_set)) {
    std::fprintf(stderr, "unknown setting in --set=%s\n", FLAGS_set.c_str());
    return 2;
  }
  std::FILE *Csv = nullptr;
  if (!FLAGS_csv.empty()) {
    Csv = std::fopen(FLAGS_csv.c_str(), "w");
    if (Csv)
      std::fputs("user;scenario;policy;seed;urgent_p50_ms;urgent_p95_ms;"
                 "ordinary_p50_ms;ordinary_p95_ms;goodput;work;"
                 "urgent_in_target;ordinary_in_target;wasted_per_call;"
                 "cached_part;ordinary_share;refused;longest_wait_s;moves\n",
                 Csv);
  }
  for (const user_profile &User : {gleisfenster(), garterline()}) {
    if (!matches(User.Name, FLAGS_user))
      continue;
    if (FLAGS_smoke) {
      Passed = smoke(User) && Passed;
      continue;
    }
    std::printf("%s: a runner does at best %.3f of its engine time\n",
                User.Name.c_str(), bestWorkRate(User));
    results Results = runAll(User, Csv);
    if (FLAGS_scenario.empty())
      printTargets(User, Results);
  }
  if (Csv)
    std::fclose(Csv);
  if (FLAGS_herd && !FLAGS_smoke)
    printHerd();
  if (FLAGS_cost && !FLAGS_smoke)
    printCost(measureDecisionCost(20'000, 10));
  return Passed ? 0 : 1;
}

} // namespace
} // namespace bench

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return bench::run();
}
