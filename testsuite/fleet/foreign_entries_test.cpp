// Entries of another writer in the store, over real processes.

#include "foreign_entries.h"
#include "hostile_crowd.h"
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

json objectAt(fleet &Fleet, const std::string &Kind, const std::string &Name) {
  json Answer =
      Fleet.ask("store", {{"look", {{"kind", Kind}, {"name", Name}}}}).Body;
  return Answer.is_object() ? Answer["object"] : json();
}

void restartAll(fleet &Fleet) {
  killAll(Fleet);
  startAll(Fleet, false);
}

/// Makes lists of one row a page, with odd names in each kind.
void putOddNames(fleet &Fleet) {
  Fleet.order("store", {{"page_rows", 1}});
  for (const std::string &Kind : foreign_entries::kinds())
    for (const char *Name : {"a a", "a#a", "a%41", "a%zz", "a&b", "a+a"})
      put(Fleet, Kind, Name, {{"slots", "many"}});
}

/// Ends of hosts that no signal of the test asked for.
std::size_t ownEnds(const fleet &Fleet) {
  return static_cast<std::size_t>(
      std::count_if(Fleet.ends().begin(), Fleet.ends().end(),
                    [](const process_end &End) { return End.isOwn(); }));
}

/// Restarts all hosts while the store does not continue lists after odd names.
/// \p Mode is a name of odd_continuation.h.
void judgeOddContinuation(const std::string &Mode) {
  fleet Fleet(recoverySettings(("odd-continuation-" + Mode).c_str()));
  REQUIRE(Fleet.start());
  putOddNames(Fleet);
  Fleet.order("store", {{"odd_continuation", Mode}});
  judgeRecovery(Fleet, [&] { restartAll(Fleet); });
  CHECK(ownEnds(Fleet) == 0);
}

/// Restarts all hosts while \p Count entries of the largest size stand in each
/// kind, and checks the service and the memory of the hosts.
void judgeLargeEntries(const char *Name, int Count) {
  // The smallest hosts of all deployments.
  constexpr std::uint64_t MemoryMb = 88;
  constexpr std::size_t BytesPerMb = 1U << 20U;
  // Of all JSON of a size, this takes the most memory once it is decoded.
  constexpr std::size_t Objects = 300'000;
  fleet_settings Settings = recoverySettings(Name);
  Settings.MemoryMb = MemoryMb;
  fleet Fleet(Settings);
  REQUIRE(Fleet.start());
  json Spec = json::array();
  for (std::size_t I = 0; I < Objects; ++I)
    Spec.push_back(json::object());
  for (const std::string &Kind : foreign_entries::kinds())
    for (int I = 0; I < Count; ++I)
      put(Fleet, Kind, "large" + std::to_string(I), Spec);
  judgeRecovery(Fleet, [&] { restartAll(Fleet); });
  CHECK(ownEnds(Fleet) == 0);
  for (role Role : {role::Entry, role::Disk})
    for (const std::string &Host : Fleet.names(Role)) {
      std::size_t Peak = peakMemoryOf(Fleet.pidOf(Host));
      MESSAGE(Host << ": " << Peak / BytesPerMb << " MB");
      CHECK(Peak < MemoryMb * BytesPerMb);
    }
}

} // namespace

TEST_CASE("recover_entry_with_an_odd_name_hides_the_rest_of_a_list") {
  fleet Fleet(recoverySettings("odd-names"));
  REQUIRE(Fleet.start());
  putOddNames(Fleet);
  judgeRecovery(Fleet, [&] { restartAll(Fleet); });
  CHECK(ownEnds(Fleet) == 0);
}

TEST_CASE("recover_store_rejects_lists_after_odd_names") {
  judgeOddContinuation("rejected");
}

TEST_CASE("recover_store_fails_lists_after_odd_names") {
  judgeOddContinuation("failed");
}

TEST_CASE("recover_store_is_busy_for_lists_after_odd_names") {
  judgeOddContinuation("busy");
}

TEST_CASE("recover_store_resets_lists_after_odd_names") {
  judgeOddContinuation("reset");
}

TEST_CASE("recover_store_is_silent_to_lists_after_odd_names") {
  judgeOddContinuation("silent");
}

TEST_CASE("recover_store_does_not_decode_odd_names_in_lists") {
  judgeOddContinuation("not_decoded");
}

TEST_CASE("retirement_beside_an_odd_name_has_no_status") {
  fleet Fleet(recoverySettings("odd-retirement"));
  REQUIRE(Fleet.start());
  Fleet.order("store", {{"page_rows", 1}});
  for (const char *Name : {"a", "a&b", "a?b/status", "../config/main"})
    put(Fleet, "retirements", Name, {{"duration_s", 30}});
  json Config = objectAt(Fleet, "config", "main");
  restartAll(Fleet);
  put(Fleet, "retirements", "disk-0", {{"duration_s", 30}});
  constexpr milliseconds Bound{15'000};
  CHECK(Fleet.wait(Bound, [&] {
    return objectAt(Fleet, "retirements", "disk-0")["status"].is_object();
  }));
  CHECK(objectAt(Fleet, "config", "main") == Config);
}

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

TEST_CASE("fault_entry_of_the_largest_size_takes_the_memory_of_a_host") {
  judgeLargeEntries("large-entry", 1);
}

TEST_CASE("fault_many_entries_of_the_largest_size") {
  constexpr int Entries = 6;
  judgeLargeEntries("large-entries", Entries);
}

TEST_CASE("recover_disk_set_overwritten_by_another_writer") {
  fleet Fleet(recoverySettings("odd-disk-set"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    put(Fleet, "turmerichead-hosts", "disk-set", {{"epoch", "odd"}});
    restartAll(Fleet);
  });
  CHECK(ownEnds(Fleet) == 0);
}

TEST_CASE("recover_disk_set_deleted_by_another_writer") {
  fleet Fleet(recoverySettings("no-disk-set"));
  REQUIRE(Fleet.start());
  judgeRecovery(Fleet, [&] {
    Fleet.order(
        "store",
        {{"remove", {{"kind", "turmerichead-hosts"}, {"name", "disk-set"}}}});
    restartAll(Fleet);
  });
  CHECK(ownEnds(Fleet) == 0);
}
