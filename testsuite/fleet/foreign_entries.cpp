#include "foreign_entries.h"

#include "odd_continuation.h"
#include "odd_entries.h"

namespace turmerichead::fleet_harness {

namespace {

constexpr milliseconds ChangeInterval{400};
constexpr std::uint64_t ChangesPerContinuation = 10;
constexpr milliseconds LossInterval{5000};
constexpr const char *SetKind = "turmerichead-hosts";
constexpr const char *SetName = "disk-set";
constexpr std::uint64_t MaxPageRows = 4;

template <typename Item>
const Item &pickFrom(const std::vector<Item> &Items, std::mt19937_64 &Random) {
  return Items[Random() % Items.size()];
}

} // namespace

const std::vector<std::string> &foreign_entries::kinds() {
  static const std::vector<std::string> Kinds = {
      "servers", "config", "turmerichead-hosts", "retirements"};
  return Kinds;
}

foreign_entries::foreign_entries(fleet &Fleet, std::uint64_t Seed)
    : Fleet(Fleet), Random(Seed) {
  Fleet.order("store", {{"page_rows", 1 + Random() % MaxPageRows}});
  changeContinuation();
  std::vector<std::string> Names = standin::oddNames();
  for (const std::string &Kind : kinds())
    put(Kind, pickFrom(Names, Random));
  Changes = loop_source::every(ChangeInterval, [this] {
    change();
    return true;
  });
}

void foreign_entries::changeContinuation() {
  std::string Mode(
      standin::OddContinuations.at(Random() % standin::OddContinuations.size())
          .first);
  Fleet.order("store", {{"odd_continuation", Mode}});
}

void foreign_entries::change() {
  if (Random() % ChangesPerContinuation == 0)
    changeContinuation();
  std::vector<std::string> Names = standin::oddNames();
  std::string Kind = pickFrom(kinds(), Random);
  std::string Name = pickFrom(Names, Random);
  bool IsLast = Present.size() == kinds().size();
  if (Present.contains({Kind, Name}) && !IsLast && Random() % 2 == 0) {
    Present.erase({Kind, Name});
    Fleet.order("store", {{"remove", {{"kind", Kind}, {"name", Name}}}});
    return;
  }
  put(Kind, Name);
}

void foreign_entries::loseDiskSets() {
  Losses = loop_source::every(LossInterval, [this] {
    loseDiskSet();
    return true;
  });
}

void foreign_entries::loseDiskSet() {
  nlohmann::json Target = {{"kind", SetKind}, {"name", SetName}};
  nlohmann::json Answer = Fleet.ask("store", {{"look", Target}}).Body;
  if (!Answer.is_object() || !Answer["object"].is_object())
    return;
  nlohmann::json Spec = Answer["object"]["specification"];
  bool IsStable =
      Spec.is_object() && Spec["next"].is_array() && Spec["next"].empty();
  if (!IsStable)
    return;
  if (Random() % 2 == 0) {
    Fleet.order("store", {{"remove", Target}});
    return;
  }
  Target["spec"] = {{"epoch", "odd"}};
  Fleet.order("store", {{"put", Target}});
}

void foreign_entries::put(const std::string &Kind, const std::string &Name) {
  std::vector<nlohmann::json> Values = standin::oddValues();
  Present.insert({Kind, Name});
  Fleet.order("store", {{"put",
                         {{"kind", Kind},
                          {"name", Name},
                          {"spec", pickFrom(Values, Random)},
                          {"status", pickFrom(Values, Random)}}}});
}

} // namespace turmerichead::fleet_harness
