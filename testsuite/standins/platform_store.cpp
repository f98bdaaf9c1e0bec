#include "platform_store.h"

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace turmerichead::standin {

using nlohmann::json;

namespace {

std::string nameIn(const json &Object) {
  const auto Metadata = Object.find("metadata");
  if (Metadata == Object.end() || !Metadata->is_object())
    return {};
  return Metadata->value("name", std::string());
}

std::string versionIn(const json &Object) {
  const auto Metadata = Object.find("metadata");
  if (Metadata == Object.end() || !Metadata->is_object())
    return {};
  return Metadata->value("resourceVersion", std::string());
}

json memberOf(const json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  return Found == Object.end() ? json() : *Found;
}

} // namespace

answer statusAnswer(unsigned Status, const std::string &Reason,
                    const std::string &Message) {
  return {Status,
          {{"kind", "Status"},
           {"apiVersion", "v1"},
           {"status", "Failure"},
           {"reason", Reason},
           {"message", Message},
           {"code", Status}}};
}

platform_store::platform_store(std::size_t Window, std::string StateFile)
    : Window(Window), StateFile(std::move(StateFile)) {
  load();
}

answer platform_store::get(const std::string &Collection,
                           const std::string &Name) const {
  const auto Found = Collections.find(Collection);
  if (Found != Collections.end()) {
    const auto Object = Found->second.find(Name);
    if (Object != Found->second.end())
      return {200, Object->second};
  }
  return statusAnswer(404, "NotFound", Collection + "/" + Name);
}

answer platform_store::list(const std::string &Collection, std::size_t Limit,
                            const std::string &Continue) const {
  // A token is "version:name": the version of the first page is repeated, so
  // that a watch from it misses nothing that changed between pages.
  std::string ListVersion = std::to_string(Version);
  json Items = json::array();
  json Metadata;
  const auto Found = Collections.find(Collection);
  if (Found != Collections.end()) {
    auto Next = Found->second.begin();
    const std::size_t Colon = Continue.find(':');
    if (Colon != std::string::npos) {
      ListVersion = Continue.substr(0, Colon);
      Next = Found->second.upper_bound(Continue.substr(Colon + 1));
    }
    for (; Next != Found->second.end(); ++Next) {
      if (Limit != 0 && Items.size() == Limit) {
        Metadata["continue"] = ListVersion + ":" + nameIn(Items.back());
        break;
      }
      Items.push_back(Next->second);
    }
  }
  Metadata["resourceVersion"] = ListVersion;
  return {200,
          {{"kind", "List"},
           {"apiVersion", "turmerichead.io/v1"},
           {"metadata", Metadata},
           {"items", Items}}};
}

answer platform_store::create(const std::string &Collection, json Object) {
  const std::string Name = nameIn(Object);
  if (Name.empty())
    return statusAnswer(422, "Invalid", "metadata.name is missing");
  collection &Objects = Collections[Collection];
  if (Objects.count(Name) != 0)
    return statusAnswer(409, "AlreadyExists", Collection + "/" + Name);
  ++Version;
  Object["metadata"]["resourceVersion"] = std::to_string(Version);
  Object["metadata"]["generation"] = 1;
  Object["metadata"]["uid"] = "uid-" + std::to_string(NextUid++);
  Objects[Name] = Object;
  record(Collection, "ADDED", Object);
  return {201, Object};
}

answer platform_store::replace(const std::string &Collection,
                               const std::string &Name, const json &Object,
                               bool StatusOnly) {
  collection &Objects = Collections[Collection];
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return statusAnswer(404, "NotFound", Collection + "/" + Name);
  if (!nameIn(Object).empty() && nameIn(Object) != Name)
    return statusAnswer(400, "BadRequest", "metadata.name is another");
  const std::string Condition = versionIn(Object);
  const std::string Held = versionIn(Found->second);
  if (!Condition.empty() && Condition != Held)
    return statusAnswer(409, "Conflict",
                        Name + " is at resourceVersion " + Held);
  json Next = StatusOnly ? Found->second : Object;
  if (StatusOnly || Object.contains("status"))
    Next["status"] = memberOf(Object, "status");
  else if (Found->second.contains("status"))
    Next["status"] = Found->second["status"];
  json Metadata = memberOf(Next, "metadata");
  const json &Old = Found->second["metadata"];
  Metadata["name"] = Name;
  Metadata["uid"] = Old["uid"];
  auto Generation = Old.value("generation", 1);
  if (memberOf(Next, "spec") != memberOf(Found->second, "spec"))
    ++Generation;
  Metadata["generation"] = Generation;
  ++Version;
  Metadata["resourceVersion"] = std::to_string(Version);
  Next["metadata"] = Metadata;
  Found->second = Next;
  record(Collection, "MODIFIED", Next);
  return {200, Next};
}

answer platform_store::remove(const std::string &Collection,
                              const std::string &Name) {
  collection &Objects = Collections[Collection];
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return statusAnswer(404, "NotFound", Collection + "/" + Name);
  json Object = Found->second;
  Objects.erase(Found);
  ++Version;
  Object["metadata"]["resourceVersion"] = std::to_string(Version);
  record(Collection, "DELETED", Object);
  return {200, Object};
}

std::vector<const change *>
platform_store::changesAfter(const std::string &Collection,
                             std::uint64_t Since) const {
  std::vector<const change *> Result;
  auto Next = std::upper_bound(History.begin(), History.end(), Since,
                               [](std::uint64_t Left, const change &Right) {
                                 return Left < Right.Version;
                               });
  for (; Next != History.end(); ++Next)
    if (Next->Collection == Collection)
      Result.push_back(&*Next);
  return Result;
}

void platform_store::forgetHistory() {
  History.clear();
  Forgotten = Version;
}

void platform_store::record(const std::string &Collection,
                            const std::string &Type, const json &Object) {
  History.push_back({Version, Collection, Type, Object});
  while (History.size() > Window) {
    Forgotten = History.front().Version;
    History.pop_front();
  }
  save();
}

void platform_store::load() {
  if (StateFile.empty())
    return;
  std::ifstream File(StateFile);
  if (!File)
    return;
  const json State = json::parse(File, nullptr, false);
  if (!State.is_object())
    return;
  Version = State.value("version", std::uint64_t{0});
  NextUid = State.value("next_uid", std::uint64_t{1});
  Forgotten = Version;
  for (const auto &[Name, Objects] : State["collections"].items())
    Collections[Name] = Objects.get<collection>();
}

void platform_store::save() const {
  if (StateFile.empty())
    return;
  const json State = {{"version", Version},
                      {"next_uid", NextUid},
                      {"collections", Collections}};
  const std::string Draft = StateFile + ".new";
  {
    std::ofstream File(Draft, std::ios::trunc);
    File << State.dump();
  }
  std::rename(Draft.c_str(), StateFile.c_str());
}

} // namespace turmerichead::standin
