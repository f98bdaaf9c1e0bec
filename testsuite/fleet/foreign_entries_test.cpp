// Entries of another writer in the store, over real processes.

#include "judge_recovery.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

using nlohmann::json;

void put(fleet &Fleet, const std::string &Kind, const std::string &Name,
         const json &Spec, const json &Status = nullptr) {
  json Entry = {{"kind", Kind}, {"name", Name}, {"spec", Spec}};
  if (!Status.is_null())
    Entry["status"] = Status;
  Fleet.order("store", {{"put", Entry}});
}

void restartAll(fleet &Fleet) {
  killAll(Fleet);
  startAll(Fleet, false);
}

/// Ends of hosts that no signal of the test asked for.
std::size_t ownEnds(const fleet &Fleet) {
  return static_cast<std::size_t>(
      std::count_if(Fleet.ends().begin(), Fleet.ends().end(),
                    [](const process_end &End) { return End.isOwn(); }));
}

} // namespace

TEST_CASE("fault_status_of_another_type_ends_disk_hosts") {
  fleet Fleet(recoverySettings("odd-status"));
  REQUIRE(Fleet.start());
  put(Fleet, "retirements", "odd", {{"duration_s", 30}}, {{"state", 7}});
  put(Fleet, "retirements", "odder", "text", json::array({1}));
  constexpr milliseconds Shown{3000};
  Fleet.pause(Shown);
  CHECK(ownEnds(Fleet) == 0);
  judgeRecovery(Fleet, [&] { restartAll(Fleet); });
  CHECK(ownEnds(Fleet) == 0);
}
