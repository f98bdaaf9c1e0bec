#include "variants.h"

namespace bench {

using turmerichead::milliseconds;
using turmerichead::sched::gate_settings;

namespace {

/// A baseline has no part of the policy but the gate's slots.
gate_settings baselineSettings() {
  gate_settings Settings;
  Settings.OrdinaryFloor = 0;
  Settings.UrgentReserve = 0;
  Settings.RefuseOverload = false;
  Settings.MaxQueued = 1'000'000;
  Settings.Place.MoveCache = false;
  Settings.ReleaseEnded = false;
  Settings.PauseAware = false;
  Settings.Poison.Enabled = false;
  return Settings;
}

variant baseline(const char *Name, gate_kind Kind) {
  return {Name, Kind, baselineSettings()};
}

} // namespace

variant defaultVariant(const user_profile &User) {
  variant Variant{"turmerichead", gate_kind::Default, {}};
  Variant.Settings.OrdinaryFloor = User.OrdinaryFloor;
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
  Without("least attained", [](variant &V) {
    V.Settings.Order.DelayPerKiloToken = milliseconds(0);
  });
  Without("started first", [](variant &V) {
    V.Settings.Order.NewProgramDelay = milliseconds(0);
  });
  Without("children first",
          [](variant &V) { V.Settings.Order.ChildBonus = milliseconds(0); });
  Without("owner fairness",
          [](variant &V) { V.Settings.Order.MaxOwnerDelay = milliseconds(0); });
  Without("floor", [](variant &V) { V.Settings.OrdinaryFloor = 0; });
  Without("moving", [](variant &V) { V.Settings.Place.MoveCache = false; });
  Without("pause awareness", [](variant &V) { V.Settings.PauseAware = false; });
  Without("releases", [](variant &V) { V.Settings.ReleaseEnded = false; });
  Without("admission", [](variant &V) { V.Settings.RefuseOverload = false; });
  return All;
}

} // namespace bench
