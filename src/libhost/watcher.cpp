#include "watcher_pvt.h"

#include "turmerichead/json_fields.h"
#include "turmerichead/log.h"

#include <glib.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr milliseconds SaveDelay{1000};
constexpr const char *ChangedByKey = "turmerichead.io/changed-by";

config_item itemOf(const json &Object) {
  config_item Item;
  Item.Name = nameOfObject(Object);
  Item.Version = versionOf(Object);
  if (Object.contains("spec"))
    Item.Spec = Object["spec"].dump();
  const json &Annotations = valueAt(valueAt(Object, "metadata"), "annotations");
  Item.ChangedBy = textAt(Annotations, ChangedByKey);
  return Item;
}

} // namespace

watcher::watcher(host_context &Context, watcher_events Events)
    : Context(Context), Events(std::move(Events)) {}

std::string watcher::diskFile() const {
  if (Context.Settings.Host.DataDir.empty())
    return {};
  return Context.Settings.Host.DataDir + "/catalogue.json";
}

void watcher::start() {
  std::string File = diskFile();
  char *Text = nullptr;
  gsize Size = 0;
  if (!File.empty() &&
      g_file_get_contents(File.c_str(), &Text, &Size, nullptr)) {
    findings Findings;
    if (!Context.Config.applyText({Text, Size}, wallNowMs(), Findings))
      log::warn("catalogue on disk is not used",
                {{"findings", Findings.toText()}});
    g_free(Text);
    announce();
  }
  watchEntries();
  watchUpstreams();
  watchHosts();
}

// -- Entries ----------------------------------------------------------------

void watcher::watchEntries() {
  platform_watch_events Handlers;
  Handlers.OnChange = [this](platform_change Change, const json &Object) {
    onEntry(Change, Object);
  };
  Handlers.OnListed = [this](std::uint64_t Version) {
    for (config_item &Item : Deletions) {
      Item.Version = Version;
      apply(Item, config_source::Platform);
    }
    Deletions.clear();
    Context.Config.noteListed(Version);
    announce();
  };
  Handlers.OnSynced = [this](std::uint64_t Version) {
    Context.PlatformSeen = steadyNow();
    Context.Config.noteWatched(Version);
    announce();
  };
  Handlers.OnLost = [](std::string_view Reason) {
    log::warn("watch of the catalogue is lost", {{"reason", Reason}});
  };
  Context.Platform->watch("entries", std::move(Handlers));
}

void watcher::onEntry(platform_change Change, const json &Object) {
  config_item Item = itemOf(Object);
  if (Change != platform_change::Deleted) {
    apply(Item, config_source::Platform);
    announce();
    return;
  }
  Item.Deleted = true;
  Item.Spec.clear();
  if (Item.Version > Context.Config.versionInForce(Item.Name)) {
    apply(Item, config_source::Platform);
    announce();
    return;
  }
  // Missing in a new list: it was deleted at the version of the list at the
  // latest, which OnSynced reports.
  Deletions.push_back(std::move(Item));
}

void watcher::apply(const config_item &Item, config_source Source) {
  findings Findings;
  Context.Config.apply(Item, Source, wallNowMs(), Findings);
  if (!Findings.empty())
    log::warn("catalogue entry does not check",
              {{"entry", Item.Name}, {"findings", Findings.toText()}});
}

void watcher::takeFromPeer(const std::vector<config_row> &Rows) {
  for (const config_row &Row : Rows) {
    config_item Item;
    Item.Name = Row.Name;
    Item.Version = Row.Version;
    Item.Deleted = Row.Deleted;
    Item.Spec = Row.Spec;
    Item.ChangedBy = Row.ChangedBy;
    Item.ChangedAtMs = Row.ChangedAtMs;
    apply(Item, config_source::Peer);
  }
  announce();
}

void watcher::announce() {
  std::vector<config_change> Changes = Context.Config.takeChanges();
  if (Changes.empty())
    return;
  std::uint64_t Root = Context.Config.summary().Root;
  for (const config_change &Change : Changes) {
    log::audit("catalogue entry in force", toJson(Change));
    Context.Metrics.add("config_changes_total");
    Context.Force.applied(Change, Root);
    Events.OnEntry(Change.Name);
  }
  if (!diskFile().empty())
    SaveTimer = timer::once(SaveDelay, [this] { saveToDisk(); });
}

void watcher::saveToDisk() {
  std::string Text = Context.Config.toText();
  GError *Error = nullptr;
  if (g_file_set_contents(diskFile().c_str(), Text.data(),
                          static_cast<gssize>(Text.size()), &Error))
    return;
  log::warn("catalogue is not kept on disk", {{"reason", Error->message}});
  g_error_free(Error);
}

void watcher::tick() {
  // Each incarnation of this host creates a new detector.
  hintGone();
  std::vector<std::string> Others;
  for (const host_record &Host : Context.Map.Hosts)
    if (Host.Id != Context.self())
      Others.push_back(Host.Id);
  std::int64_t Now = wallNowMs();
  for (const auto &Progress : Context.Force.settle(Others, Now)) {
    std::int64_t Took = Progress.EverywhereAtMs - Progress.AppliedAtMs;
    log::audit("catalogue entry in force everywhere",
               {{"entry", Progress.Name},
                {"version", Progress.Version},
                {"took_ms", Took}});
    Context.Metrics.observe("config_everywhere_ms", "",
                            static_cast<double>(Took));
  }
  if (!Context.Recorder)
    return;
  std::vector<change_report> Latest;
  for (const auto &Progress : Context.Force.latest())
    Latest.push_back({Progress.Name, Progress.Version, Progress.Who,
                      Progress.What, Progress.AppliedAtMs,
                      Progress.EverywhereAtMs});
  Context.Recorder->setChanges(std::move(Latest));
  std::vector<std::string> Invalid;
  for (const auto &[Name, Text] : Context.Config.invalid())
    Invalid.push_back(Name);
  Context.Recorder->setInvalid(std::move(Invalid));
}

// -- Upstreams --------------------------------------------------------------

void watcher::watchUpstreams() {
  platform_watch_events Handlers;
  Handlers.OnChange = [this](platform_change Change, const json &Object) {
    PlatformTold = true;
    onUpstream(Change, Object);
  };
  Handlers.OnSynced = [this](std::uint64_t) {
    Context.PlatformSeen = steadyNow();
  };
  Context.Platform->watch("upstreams", std::move(Handlers));
}

void watcher::onUpstream(platform_change Change, const json &Object) {
  std::string Name = nameOfObject(Object);
  if (Change == platform_change::Deleted) {
    UpstreamObjects.erase(Name);
    Context.Upstreams.erase(Name);
    Events.OnUpstreams();
    return;
  }
  findings Findings;
  json Empty;
  auto Parsed =
      upstreamFromJson(Name, Object.contains("spec") ? Object["spec"] : Empty,
                       Object.contains("status") ? Object["status"] : Empty,
                       "platform:upstreams/" + Name, Findings);
  if (!Parsed) {
    log::warn("upstream does not check", {{"findings", Findings.toText()}});
    return;
  }
  UpstreamObjects[Name] = Object;
  Context.Upstreams.insert_or_assign(Name, std::move(*Parsed));
  Events.OnUpstreams();
}

std::string watcher::upstreamsAsJson() const {
  json All = json::array();
  for (const auto &[Name, Object] : UpstreamObjects)
    All.push_back(Object);
  return All.dump();
}

void watcher::takeUpstreams(const std::string &Upstreams) {
  json All = json::parse(Upstreams, nullptr, false);
  if (PlatformTold || !All.is_array())
    return;
  for (const json &Object : All)
    onUpstream(platform_change::Added, Object);
}

// -- The platform's list of hosts -------------------------------------------

void watcher::watchHosts() {
  platform_watch_events Handlers;
  Handlers.OnChange = [this](platform_change Change, const json &Object) {
    onHost(Change, Object);
  };
  Context.Platform->watch("hosts", std::move(Handlers));
}

void watcher::onHost(platform_change Change, const json &Object) {
  std::string Phase = "gone";
  if (Change != platform_change::Deleted && Object.contains("status")) {
    Phase = textAt(Object["status"], "phase");
    if (Phase.empty())
      Phase = "live";
  }
  HostPhases[nameOfObject(Object)] = Phase;
  hintGone();
}

void watcher::hintGone() {
  std::vector<std::string> Gone;
  for (const auto &[Name, Known] : HostPhases)
    if (Known == "gone")
      Gone.push_back(Name);
  if (Context.Detector)
    Context.Detector->hintGone(Gone);
}

} // namespace turmerichead::host_pvt
