#include "variants.h"

#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>

namespace bench {

using turmerichead::milliseconds;
using turmerichead::sched::gate_settings;

namespace {

using setter = void (*)(gate_settings &, double);

milliseconds toMs(double Value) {
  return milliseconds(static_cast<std::int64_t>(Value));
}

const std::map<std::string, setter> &knownSettings() {
  using s = gate_settings &;
  static const std::map<std::string, setter> Known = {
      {"Floor", [](s S, double V) { S.OrdinaryFloor = V; }},
      {"UrgentReserve", [](s S, double V) { S.UrgentReserve = V; }},
      {"UrgentMaxWaitMs",
       [](s S, double V) { S.NewProgramMaxWait[0] = toMs(V); }},
      {"OrdinaryMaxWaitMs",
       [](s S, double V) { S.NewProgramMaxWait[1] = toMs(V); }},
      {"UrgentFill", [](s S, double V) { S.StartCacheFill[0] = V; }},
      {"OrdinaryFill", [](s S, double V) { S.StartCacheFill[1] = V; }},
      {"OrdinaryMemory", [](s S, double V) { S.OrdinaryMemory = V; }},
      {"MaxCacheWaitMs", [](s S, double V) { S.MaxCacheWait = toMs(V); }},
      {"CacheHighWater", [](s S, double V) { S.CacheHighWater = V; }},
      {"CacheLowWater", [](s S, double V) { S.CacheLowWater = V; }},
      {"PauseAware", [](s S, double V) { S.PauseAware = V != 0; }},
      {"LeaveFactor", [](s S, double V) { S.Placement.LeaveFactor = V; }},
      {"AffinityWaitMs",
       [](s S, double V) { S.Placement.MaxAffinityWait = toMs(V); }},
      {"LoadWeight", [](s S, double V) { S.Placement.LoadWeight = V; }},
      {"FullCacheMs", [](s S, double V) { S.Placement.FullCacheMs = V; }},
      {"PlaceHighWater", [](s S, double V) { S.Placement.CacheHighWater = V; }},
      {"DelayPerKiloTokenMs",
       [](s S, double V) { S.Order.DelayPerKiloToken = toMs(V); }},
      {"MaxAttainedDelayMs",
       [](s S, double V) { S.Order.MaxAttainedDelay = toMs(V); }},
      {"NewProgramDelayMs",
       [](s S, double V) { S.Order.NewProgramDelay = toMs(V); }},
      {"ChildBonusMs", [](s S, double V) { S.Order.ChildBonus = toMs(V); }},
      {"AgeWeight", [](s S, double V) { S.Order.AgeWeight = V; }},
  };
  return Known;
}

/// What changeDefaults() was given.
std::map<std::string, double> ChangedSettings;

/// A baseline has no part of the policy but the gate's slots.
gate_settings baselineSettings() {
  gate_settings Settings;
  Settings.OrdinaryFloor = 0;
  Settings.UrgentReserve = 0;
  Settings.RefuseOverload = false;
  Settings.MaxQueued = 1'000'000;
  Settings.Placement.MoveCache = false;
  Settings.ReleaseEnded = false;
  Settings.PauseAware = false;
  Settings.Poison.Enabled = false;
  return Settings;
}

variant baseline(const char *Name, gate_kind Kind) {
  return {Name, Kind, baselineSettings()};
}

} // namespace

bool changeDefaults(std::string_view Changes) {
  while (!Changes.empty()) {
    std::string_view Change = Changes.substr(0, Changes.find(','));
    Changes.remove_prefix(std::min(Changes.size(), Change.size() + 1));
    std::size_t Equals = Change.find('=');
    if (Equals == std::string_view::npos)
      return false;
    std::string Name(Change.substr(0, Equals));
    std::string Text(Change.substr(Equals + 1));
    if (!knownSettings().contains(Name))
      return false;
    ChangedSettings[Name] = std::strtod(Text.c_str(), nullptr);
  }
  return true;
}

variant defaultVariant(const user_profile &User) {
  variant Variant{"turmerichead", gate_kind::Default, {}};
  Variant.Settings.OrdinaryFloor = User.OrdinaryFloor;
  for (const auto &[Name, Value] : ChangedSettings)
    knownSettings().at(Name)(Variant.Settings, Value);
  return Variant;
}

variant leastLoadVariant() {
  return baseline("fifo, least load", gate_kind::Fifo);
}

std::vector<variant> mainVariants(const user_profile &User) {
  return {defaultVariant(User), leastLoadVariant(),
          baseline("round robin", gate_kind::RoundRobin),
          baseline("plain affinity", gate_kind::PlainAffinity)};
}

std::vector<variant> reducedVariants(const user_profile &User) {
  std::vector<variant> All;
  auto Without = [&](const char *Name, auto Change) {
    variant Variant = defaultVariant(User);
    Variant.Name = std::string("without ") + Name;
    Change(Variant);
    All.push_back(Variant);
  };
  Without("order", [](variant &V) { V.Kind = gate_kind::FifoAffinity; });
  Without("affinity",
          [](variant &V) { V.Kind = gate_kind::AttainedLeastLoad; });
  Without("started first", [](variant &V) {
    V.Settings.Order.NewProgramDelay = milliseconds(0);
  });
  Without("children first",
          [](variant &V) { V.Settings.Order.ChildBonus = milliseconds(0); });
  Without("owner fairness",
          [](variant &V) { V.Settings.Order.MaxOwnerDelay = milliseconds(0); });
  Without("floor", [](variant &V) { V.Settings.OrdinaryFloor = 0; });
  Without("memory limit", [](variant &V) {
    V.Settings.StartCacheFill = {1e9, 1e9};
  });
  Without("patience", [](variant &V) { V.Settings.Placement.LeaveFactor = 1; });
  Without("moving", [](variant &V) { V.Settings.Placement.MoveCache = false; });
  Without("pause awareness", [](variant &V) { V.Settings.PauseAware = false; });
  Without("releases", [](variant &V) { V.Settings.ReleaseEnded = false; });
  variant LeastAttained = defaultVariant(User);
  LeastAttained.Name = "with least attained";
  LeastAttained.Settings.Order.DelayPerKiloToken = milliseconds(50);
  All.push_back(LeastAttained);
  Without("admission", [](variant &V) { V.Settings.RefuseOverload = false; });
  return All;
}

} // namespace bench
