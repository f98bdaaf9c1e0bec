#include "scenarios.h"

#include <cstdio>

namespace bench {

scenario loadOf(double Load) {
  char Name[32];
  std::snprintf(Name, sizeof(Name), "load %.1f", Load);
  scenario Scenario;
  Scenario.Name = Name;
  Scenario.Load = Load;
  return Scenario;
}

scenario ordinaryFlood() {
  scenario Scenario = loadOf(FloodBaseLoad);
  Scenario.Name = "flood of ordinary";
  Scenario.Flood = {1, 10};
  return Scenario;
}

scenario urgentFlood() {
  scenario Scenario = loadOf(FloodBaseLoad);
  Scenario.Name = "flood of urgent";
  Scenario.Flood = {10, 1};
  return Scenario;
}

scenario faults() {
  scenario Scenario = loadOf(FloodBaseLoad);
  Scenario.Name = "faults";
  double Start = Scenario.WarmUpMs;
  using kind = fleet_event::kind;
  Scenario.Events = {{kind::Leaves, Start + 60'000, 0},
                     {kind::Returns, Start + 180'000, 0},
                     {kind::Dies, Start + 240'000, 1},
                     {kind::Returns, Start + 300'000, 1}};
  Scenario.PoisonResends = 20;
  return Scenario;
}

std::vector<scenario> allScenarios() {
  std::vector<scenario> All;
  for (double Load : {0.5, 0.7, 0.9, 1.0, 1.2})
    All.push_back(loadOf(Load));
  All.push_back(ordinaryFlood());
  All.push_back(urgentFlood());
  All.push_back(faults());
  return All;
}

bool takesPartsAway(const scenario &Scenario) {
  bool IsFlood = Scenario.Flood != per_rank<double>{1, 1};
  bool IsNearCapacity = Scenario.Load == 0.9 || Scenario.Load == 1.2;
  return IsFlood || IsNearCapacity;
}

scenario shortened(scenario Scenario) {
  Scenario.WarmUpMs = 20'000;
  Scenario.WindowMs = 40'000;
  Scenario.TailMs = 20'000;
  for (fleet_event &Event : Scenario.Events)
    Event.AtMs /= 10;
  Scenario.PoisonResends = Scenario.PoisonResends > 0 ? 4 : 0;
  return Scenario;
}

} // namespace bench
