#include "turmerichead/cluster_config.h"

#include "turmerichead/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace turmerichead {
namespace {

std::uint64_t slotHash(std::string_view Name, std::uint64_t Latest,
                       std::uint64_t Good) {
  if (Latest == 0 && Good == 0)
    return 0;
  std::string Key(Name);
  Key.append("/").append(std::to_string(Latest));
  Key.append("/").append(std::to_string(Good));
  return hash64(Key);
}

std::optional<catalogue_entry> checkItem(const config_item &Item,
                                         findings &Findings) {
  std::string Source =
      "entries/" + Item.Name + '@' + std::to_string(Item.Version);
  auto Spec = nlohmann::json::parse(Item.Spec, nullptr, false);
  if (Spec.is_discarded()) {
    Findings.add({Source, 0, 0, ""}, "spec is not valid JSON");
    return std::nullopt;
  }
  return entryFromJson(Item.Name, Spec, Source, Findings);
}

config_item tombstoneOf(std::string_view Name, resource_version Version) {
  config_item Tombstone;
  Tombstone.Name = Name;
  Tombstone.Version = Version;
  Tombstone.Deleted = true;
  return Tombstone;
}

} // namespace

std::string_view nameOf(config_source Source) {
  switch (Source) {
  case config_source::Platform:
    return "platform";
  case config_source::Peer:
    return "peer";
  case config_source::Disk:
    return "disk";
  }
  return "";
}

void config_store::putInForce(slot &Slot, const config_item &Item,
                              std::optional<catalogue_entry> Entry,
                              config_source Source, std::int64_t NowMs) {
  auto Fields = diffEntries(Slot.Entry, Entry);
  // A tombstone that replaces another one does not change what is in force.
  if (!Fields.empty()) {
    config_change Change;
    Change.Name = Item.Name;
    Change.Version = Item.Version;
    Change.Who = Item.ChangedBy;
    Change.Source = Source;
    Change.Fields = std::move(Fields);
    Change.ChangedAtMs = Item.ChangedAtMs;
    Change.AppliedAtMs = NowMs;
    Change.Deleted = Item.Deleted;
    Change.Created = !Slot.Entry.has_value();
    Changes.push_back(std::move(Change));
  }
  Slot.Good = Item;
  Slot.Entry = std::move(Entry);
  if (orderOf(Slot.Latest) <= orderOf(Item)) {
    Slot.Latest = Item;
    Slot.Invalid.clear();
  }
}

bool config_store::buryIfDeleted(const config_item &Item, std::int64_t NowMs) {
  // A complete list that is newer than the item does not contain it, so it was
  // deleted and the sender has missed the deletion. The tombstone informs it.
  if (Item.Deleted || Item.Version > Listed)
    return false;
  auto Found = Slots.find(Item.Name);
  if (Found != Slots.end() && !Found->second.Latest.Deleted)
    return false;
  findings None;
  apply(tombstoneOf(Item.Name, Listed), config_source::Platform, NowMs, None);
  return true;
}

apply_result config_store::apply(const config_item &Item, config_source Source,
                                 std::int64_t NowMs, findings &Findings) {
  if (buryIfDeleted(Item, NowMs))
    return apply_result::Known;
  if (Item.Version == 0)
    return apply_result::Known;
  auto Found = Slots.find(Item.Name);
  bool IsNew = Found == Slots.end();
  std::uint64_t Good = IsNew ? 0 : orderOf(Found->second.Good);
  std::uint64_t Latest = IsNew ? 0 : orderOf(Found->second.Latest);
  std::uint64_t Order = orderOf(Item);
  bool SeenInvalid = Order == Latest && Latest != Good;
  if (Order <= Good || SeenInvalid)
    return apply_result::Known;

  std::optional<catalogue_entry> Entry;
  findings Own;
  if (!Item.Deleted)
    Entry = checkItem(Item, Own);
  bool Valid = Item.Deleted || Entry.has_value();
  if (!Valid && Order <= Latest)
    return apply_result::Known;

  slot &Slot = Slots[Item.Name];
  if (Valid) {
    putInForce(Slot, Item, std::move(Entry), Source, NowMs);
  } else {
    Slot.Latest = Item;
    Slot.Invalid = Own.toText();
    for (const finding &Row : Own.rows())
      Findings.add(Row.Place, Row.Text);
  }
  Root ^= slotHash(Item.Name, Latest, Good) ^
          slotHash(Item.Name, orderOf(Slot.Latest), orderOf(Slot.Good));
  return Valid ? apply_result::InForce : apply_result::Invalid;
}

void config_store::applyList(std::span<const config_item> Items,
                             resource_version ListVersion, std::int64_t NowMs,
                             findings &Findings) {
  std::set<std::string_view> Names;
  for (const config_item &Item : Items) {
    Names.insert(Item.Name);
    apply(Item, config_source::Platform, NowMs, Findings);
  }
  std::vector<config_item> Tombstones;
  for (const auto &[Name, Slot] : Slots) {
    bool GoneAlready = Slot.Latest.Deleted;
    if (Names.contains(Name) || GoneAlready ||
        Slot.Latest.Version > ListVersion)
      continue;
    Tombstones.push_back(tombstoneOf(Name, ListVersion));
  }
  for (const config_item &Tombstone : Tombstones)
    apply(Tombstone, config_source::Platform, NowMs, Findings);
  noteListed(ListVersion);
}

void config_store::noteListed(resource_version Version) {
  Listed = std::max(Listed, Version);
  noteWatched(Version);
}

void config_store::noteWatched(resource_version Version) {
  Complete = std::max(Complete, Version);
}

const catalogue_entry *config_store::find(std::string_view Name) const {
  auto Found = Slots.find(Name);
  if (Found == Slots.end() || !Found->second.Entry)
    return nullptr;
  return &*Found->second.Entry;
}

std::vector<const catalogue_entry *> config_store::entries() const {
  std::vector<const catalogue_entry *> Result;
  for (const auto &[Name, Slot] : Slots)
    if (Slot.Entry)
      Result.push_back(&*Slot.Entry);
  return Result;
}

fleet_entry config_store::fleet() const {
  const catalogue_entry *Entry = find(FleetEntryName);
  return Entry && Entry->fleet() ? *Entry->fleet() : defaultFleetEntry();
}

resource_version config_store::versionInForce(std::string_view Name) const {
  auto Found = Slots.find(Name);
  return Found == Slots.end() ? 0 : Found->second.Good.Version;
}

std::vector<std::pair<std::string, std::string>> config_store::invalid() const {
  std::vector<std::pair<std::string, std::string>> Result;
  for (const auto &[Name, Slot] : Slots)
    if (!Slot.Invalid.empty())
      Result.emplace_back(Name, Slot.Invalid);
  return Result;
}

std::vector<config_change> config_store::takeChanges() {
  return std::exchange(Changes, {});
}

config_summary config_store::summary() const { return {Complete, Root}; }

config_digest config_store::digest() const {
  config_digest Result;
  Result.reserve(Slots.size());
  for (const auto &[Name, Slot] : Slots)
    Result.push_back({Name, orderOf(Slot.Latest), orderOf(Slot.Good)});
  return Result;
}

std::vector<config_item>
config_store::deltaSince(const config_summary &Peer) const {
  std::vector<config_item> Result;
  if (Peer.Root == Root)
    return Result;
  for (const auto &[Name, Slot] : Slots) {
    if (Slot.Good.Version > Peer.Complete)
      Result.push_back(Slot.Good);
    if (Slot.Latest.Version > Slot.Good.Version &&
        Slot.Latest.Version > Peer.Complete)
      Result.push_back(Slot.Latest);
  }
  return Result;
}

std::vector<config_item>
config_store::deltaFor(const config_digest &Peer) const {
  std::map<std::string_view, const config_digest_row *> Known;
  for (const config_digest_row &Row : Peer)
    Known[Row.Name] = &Row;
  std::vector<config_item> Result;
  for (const auto &[Name, Slot] : Slots) {
    auto Found = Known.find(Name);
    bool IsNew = Found == Known.end();
    std::uint64_t PeerGood = IsNew ? 0 : Found->second->Good;
    std::uint64_t PeerLatest = IsNew ? 0 : Found->second->Latest;
    std::uint64_t Good = orderOf(Slot.Good);
    std::uint64_t Latest = orderOf(Slot.Latest);
    if (Good > PeerGood)
      Result.push_back(Slot.Good);
    if (Latest > Good && Latest > PeerLatest)
      Result.push_back(Slot.Latest);
  }
  return Result;
}

config_item itemFromObject(const nlohmann::json &Object, bool Deleted) {
  constexpr const char *Annotation = "/annotations/turmerichead.io~1changed-by";
  config_item Item;
  if (!Object.is_object() || !Object.contains("metadata") ||
      !Object["metadata"].is_object())
    return Item;
  const nlohmann::json &Metadata = Object["metadata"];
  const auto TextAt = [&Metadata](const char *Pointer) -> std::string {
    nlohmann::json::json_pointer Path(Pointer);
    if (!Metadata.contains(Path) || !Metadata[Path].is_string())
      return "";
    return Metadata[Path];
  };
  Item.Name = TextAt("/name");
  Item.ChangedBy = TextAt(Annotation);
  Item.Deleted = Deleted;
  if (!Deleted && Object.contains("spec"))
    Item.Spec = Object["spec"].dump();
  std::string Version = TextAt("/resourceVersion");
  const char *End = Version.data() + Version.size();
  auto [Rest, Error] = std::from_chars(Version.data(), End, Item.Version);
  if (Error != std::errc() || Rest != End || Item.Name.empty())
    Item.Version = 0;
  return Item;
}

nlohmann::json toJson(const config_change &Change) {
  nlohmann::json Fields = nlohmann::json::array();
  for (const field_change &Field : Change.Fields)
    Fields.push_back(
        {{"key", Field.Key}, {"before", Field.Before}, {"after", Field.After}});
  return {{"entry", Change.Name},
          {"version", Change.Version},
          {"who", Change.Who},
          {"source", nameOf(Change.Source)},
          {"deleted", Change.Deleted},
          {"changed_at_ms", Change.ChangedAtMs},
          {"in_force_at_ms", Change.AppliedAtMs},
          {"fields", std::move(Fields)}};
}

std::string summaryOf(const config_change &Change) {
  if (Change.Deleted)
    return "deleted";
  if (Change.Created)
    return "new";
  if (Change.Fields.empty())
    return "";
  const field_change &First = Change.Fields.front();
  std::string Result = First.Key;
  Result.append(" ").append(First.Before).append(" -> ").append(First.After);
  std::size_t More = Change.Fields.size() - 1;
  if (More > 0)
    Result.append(" and ").append(std::to_string(More)).append(" more");
  return Result;
}

namespace {

nlohmann::json itemToJson(const config_item &Item) {
  return {{"name", Item.Name},
          {"version", Item.Version},
          {"deleted", Item.Deleted},
          {"spec", Item.Spec},
          {"changed_by", Item.ChangedBy},
          {"changed_at_ms", Item.ChangedAtMs}};
}

config_item itemFromJson(const nlohmann::json &Value) {
  config_item Item;
  Value.at("name").get_to(Item.Name);
  Value.at("version").get_to(Item.Version);
  Value.at("deleted").get_to(Item.Deleted);
  Value.at("spec").get_to(Item.Spec);
  Value.at("changed_by").get_to(Item.ChangedBy);
  Value.at("changed_at_ms").get_to(Item.ChangedAtMs);
  return Item;
}

} // namespace

std::string config_store::toText() const {
  nlohmann::json Items = nlohmann::json::array();
  for (const auto &[Name, Slot] : Slots) {
    if (Slot.Good.Version > 0)
      Items.push_back(itemToJson(Slot.Good));
    if (Slot.Latest.Version > Slot.Good.Version)
      Items.push_back(itemToJson(Slot.Latest));
  }
  nlohmann::json Result = {
      {"complete", Complete}, {"listed", Listed}, {"items", Items}};
  return Result.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool config_store::applyText(std::string_view Text, std::int64_t NowMs,
                             findings &Findings) {
  std::vector<config_item> Items;
  resource_version FileComplete = 0;
  resource_version FileListed = 0;
  // nlohmann::json throws on a wrong type; the exception is caught here.
  try {
    auto Root = nlohmann::json::parse(Text);
    Root.at("complete").get_to(FileComplete);
    Root.at("listed").get_to(FileListed);
    for (const nlohmann::json &Value : Root.at("items"))
      Items.push_back(itemFromJson(Value));
  } catch (const nlohmann::json::exception &) {
    Findings.add({"configuration on disk", 0, 0, ""}, "does not decode");
    return false;
  }
  for (const config_item &Item : Items)
    apply(Item, config_source::Disk, NowMs, Findings);
  Listed = std::max(Listed, FileListed);
  noteWatched(FileComplete);
  return true;
}

} // namespace turmerichead
