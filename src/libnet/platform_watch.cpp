#include "platform_pvt.h"

#include "turmerichead/json_text.h"

#include <algorithm>
#include <limits>
#include <set>

namespace turmerichead {

using namespace pvt;

using nlohmann::json;

namespace {

constexpr std::size_t MaxLineBytes = 4U << 20U;
constexpr int Gone = 410;

} // namespace

// -- Interface ---------------------------------------------------------------

platform_client::~platform_client() {
  if (!State)
    return;
  std::vector<platform_watch_id> All;
  State->Watches.forEach([&](platform_watch_id Id, const platform_watch_row &) {
    All.push_back(Id);
  });
  for (platform_watch_id Id : All)
    stop(Id);
}

platform_watch_id platform_client::watch(std::string_view Plural,
                                         platform_watch_events Events) {
  platform_watch_row Row;
  Row.Plural = Plural;
  Row.Events = std::make_shared<const platform_watch_events>(std::move(Events));
  platform_watch_id Id = State->Watches.insert(std::move(Row));
  state *Raw = State.get();
  Raw->Watches.find(Id)->Silence =
      loop_source::every(Raw->Settings.WatchTimeout / 4,
                         [Raw, Id] { return Raw->checkSilence(Id); });
  Raw->listForWatch(Id);
  return Id;
}

void platform_client::stop(platform_watch_id Id) {
  platform_watch_row *Row = State->Watches.find(Id);
  if (!Row)
    return;
  State->Http->cancel(Row->Call);
  State->Watches.erase(Id);
}

// -- Listing -----------------------------------------------------------------

void platform_client::state::listForWatch(platform_watch_id Id) {
  platform_watch_row &Row = *Watches.find(Id);
  Row.Phase = watch_phase::Listing;
  auto Job = std::make_shared<list_job>();
  Job->Plural = Row.Plural;
  Job->Done = [this, Id](const platform_list_reply &Reply) {
    takeList(Id, Reply);
  };
  nextPage(Job);
}

void platform_client::state::takeList(platform_watch_id Id,
                                      const platform_list_reply &Reply) {
  platform_watch_row *Row = Watches.find(Id);
  if (!Row)
    return;
  if (Reply.Outcome != platform_outcome::Ok) {
    Row->Version = 0;
    pauseThenRetry(Id, Reply.Text);
    return;
  }
  // An older list must neither overwrite newer objects nor make them appear
  // deleted.
  for (const auto &[Name, Object] : Row->Known)
    if (versionOf(Object) > Reply.Version) {
      Row->Version = 0;
      pauseThenRetry(Id, "the platform answers with an older state");
      return;
    }
  tellGone(Id, Reply.Items);
  for (const json &Item : Reply.Items) {
    Row = Watches.find(Id);
    if (!Row)
      return;
    auto Known = Row->Known.find(nameOfObject(Item));
    if (Known == Row->Known.end())
      tell(Id, platform_change::Added, Item);
    else if (versionOf(Item) > versionOf(Known->second))
      tell(Id, platform_change::Modified, Item);
  }
  Row = Watches.find(Id);
  if (!Row)
    return;
  Row->Version = Reply.Version;
  listed(Id);
  synced(Id);
  if (Watches.find(Id))
    connect(Id);
}

void platform_client::state::tellGone(platform_watch_id Id,
                                      const std::vector<json> &Items) {
  std::set<std::string> Present;
  for (const json &Item : Items)
    Present.insert(nameOfObject(Item));
  std::vector<json> Absent;
  for (const auto &[Name, Object] : Watches.find(Id)->Known)
    if (!Present.contains(Name))
      Absent.push_back(Object);
  for (const json &Object : Absent)
    tell(Id, platform_change::Deleted, Object);
}

void platform_client::state::tell(platform_watch_id Id, platform_change Change,
                                  const json &Object) {
  platform_watch_row *Row = Watches.find(Id);
  if (!Row)
    return;
  std::string Name = nameOfObject(Object);
  if (Change == platform_change::Deleted)
    Row->Known.erase(Name);
  else
    Row->Known[Name] = Object;
  auto Events = Row->Events;
  if (Events->OnChange)
    Events->OnChange(Change, Object);
}

void platform_client::state::listed(platform_watch_id Id) {
  platform_watch_row *Row = Watches.find(Id);
  if (!Row)
    return;
  auto Events = Row->Events;
  if (Events->OnListed)
    Events->OnListed(Row->Version);
}

void platform_client::state::synced(platform_watch_id Id) {
  platform_watch_row *Row = Watches.find(Id);
  if (!Row)
    return;
  Row->Lost = false;
  auto Events = Row->Events;
  if (Events->OnSynced)
    Events->OnSynced(Row->Version);
}

// -- Watching ---------------------------------------------------------------

/// Opens the stream as soon as the budget allows it. call() is not used,
/// because the stream does not end.
void platform_client::state::connect(platform_watch_id Id) {
  platform_watch_row &Row = *Watches.find(Id);
  Row.Phase = watch_phase::Connecting;
  if (Reads.take(steadyNow())) {
    openStream(Id);
    return;
  }
  ++countersOf(platform_verb::Watch).Delayed;
  milliseconds Delay = std::max(Reads.delay(steadyNow()), milliseconds(1));
  Row.Retry = loop_source::every(Delay, [this, Id] {
    connect(Id);
    return false;
  });
}

void platform_client::state::openStream(platform_watch_id Id) {
  platform_watch_row &Row = *Watches.find(Id);
  Row.Line.clear();
  Row.LastHeard = steadyNow();
  Row.OpenedAt = Row.LastHeard;
  ++countersOf(platform_verb::Watch).Calls;
  request_target Url = urlOf(Row.Plural);
  Url.parameter("watch", "true").parameter("allowWatchBookmarks", "true");
  Url.parameter("resourceVersion", std::to_string(Row.Version));
  http_request Request = newRequest("GET", Url, milliseconds(0));
  Request.FirstByteTimeout = Settings.Timeout;
  Request.MaxBodyBytes = std::numeric_limits<std::size_t>::max();
  std::weak_ptr<state *> Weak = Self;
  Row.Call = Http->send(Request, {.OnHeaders =
                                      [Weak, Id](int Status, const auto &) {
                                        auto Owner = Weak.lock();
                                        platform_watch_row *Found =
                                            Owner ? (*Owner)->Watches.find(Id)
                                                  : nullptr;
                                        if (!Found || Status != 200)
                                          return;
                                        Found->Phase = watch_phase::Following;
                                        (*Owner)->synced(Id);
                                      },
                                  .OnChunk =
                                      [Weak, Id](std::string_view Bytes) {
                                        if (auto Owner = Weak.lock())
                                          (*Owner)->takeBytes(Id, Bytes);
                                      },
                                  .OnEnd =
                                      [Weak, Id](const http_result &Result) {
                                        if (auto Owner = Weak.lock())
                                          (*Owner)->streamEnded(Id, Result);
                                      }});
}

void platform_client::state::takeBytes(platform_watch_id Id,
                                       std::string_view Bytes) {
  platform_watch_row *Row = Watches.find(Id);
  if (!Row || Row->Phase != watch_phase::Following)
    return;
  Row->LastHeard = steadyNow();
  bool Told = false;
  while (!Bytes.empty()) {
    std::size_t End = Bytes.find('\n');
    Row->Line += Bytes.substr(0, End);
    if (Row->Line.size() > MaxLineBytes) {
      relist(Id);
      return;
    }
    if (End == std::string_view::npos)
      break;
    Bytes.remove_prefix(End + 1);
    std::string Line = std::exchange(Row->Line, {});
    if (!Line.empty() && !takeLine(Id, Line)) {
      relist(Id);
      return;
    }
    Told = true;
    Row = Watches.find(Id);
    if (!Row)
      return;
  }
  if (Told)
    synced(Id);
}

/// Returns false if events are missing and the list must be read again.
bool platform_client::state::takeLine(platform_watch_id Id,
                                      std::string_view Line) {
  json Event = parseLenient(Line);
  if (!Event.is_object() || !Event.contains("type") ||
      !Event["type"].is_string() || !Event.contains("object"))
    return false;
  return takeEvent(Id, Event["type"].get<std::string>(), Event["object"]);
}

bool platform_client::state::takeEvent(platform_watch_id Id,
                                       const std::string &Type,
                                       const json &Object) {
  platform_watch_row &Row = *Watches.find(Id);
  std::uint64_t Version = versionOf(Object);
  if (Type == "ERROR" || Version == 0)
    return false;
  std::uint64_t Before = Row.Version;
  Row.Version = std::max(Row.Version, Version);
  if (Type == "BOOKMARK")
    return true;
  auto Known = Row.Known.find(nameOfObject(Object));
  bool IsKnown = Known != Row.Known.end();
  if (Type == "DELETED") {
    if (IsKnown && Version >= versionOf(Known->second))
      tell(Id, platform_change::Deleted, Object);
    return true;
  }
  if (Type != "ADDED" && Type != "MODIFIED")
    return false;
  // A duplicate event must not restore a deleted object.
  bool IsNew = IsKnown ? Version > versionOf(Known->second) : Version > Before;
  if (IsNew)
    tell(Id, IsKnown ? platform_change::Modified : platform_change::Added,
         Object);
  return true;
}

void platform_client::state::streamEnded(platform_watch_id Id,
                                         const http_result &Result) {
  platform_watch_row *Row = Watches.find(Id);
  if (!Row)
    return;
  count(platform_verb::Watch, judge(platform_verb::Watch, Result));
  Row->Call = {};
  // The back-off also applies if the platform accepts watches and closes them
  // immediately.
  if (steadyNow() - Row->OpenedAt >= Settings.RetryMax)
    Row->Pause = milliseconds(0);
  if (Result.Code == error_code::None && Result.Status == Gone) {
    relist(Id);
    return;
  }
  bool Clean = Result.Code == error_code::None && Result.Status == 200;
  pauseThenRetry(Id, Clean ? std::string()
                           : reasonOf(raw_answer{Result, std::string()}));
}

/// Reads the list again after missing events. The delay limits the rate of
/// lists if the platform reports missing events for every watch.
void platform_client::state::relist(platform_watch_id Id) {
  platform_watch_row &Row = *Watches.find(Id);
  Http->cancel(std::exchange(Row.Call, {}));
  Row.Version = 0;
  pauseThenRetry(Id, "the watch has a gap");
}

/// An empty \p Reason means that the stream ended without an error.
void platform_client::state::pauseThenRetry(platform_watch_id Id,
                                            const std::string &Reason) {
  platform_watch_row &Row = *Watches.find(Id);
  Row.Phase = watch_phase::Pausing;
  Row.Pause = std::clamp(Row.Pause * 2, Settings.RetryMin, Settings.RetryMax);
  // Between half and all of the back-off time, so that hosts which lost the
  // platform at the same time do not reconnect at the same time.
  std::uniform_int_distribution<std::int64_t> Jitter(Row.Pause.count() / 2,
                                                     Row.Pause.count());
  Row.Retry = loop_source::every(milliseconds(Jitter(Random)), [this, Id] {
    if (Watches.find(Id)->Version == 0)
      listForWatch(Id);
    else
      connect(Id);
    return false;
  });
  if (Reason.empty() || Row.Lost)
    return;
  Row.Lost = true;
  auto Events = Row.Events;
  if (Events->OnLost)
    Events->OnLost(Reason);
}

bool platform_client::state::checkSilence(platform_watch_id Id) {
  platform_watch_row &Row = *Watches.find(Id);
  bool Silent = Row.Phase == watch_phase::Following &&
                steadyNow() - Row.LastHeard >= Settings.WatchTimeout;
  if (!Silent)
    return true;
  Http->cancel(std::exchange(Row.Call, {}));
  pauseThenRetry(Id, {});
  return true;
}

} // namespace turmerichead
