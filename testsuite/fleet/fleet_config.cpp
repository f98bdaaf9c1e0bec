// What hosts are told: their settings files and the configuration.

#include "fleet.h"

#include "fleet_pvt.h"

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace turmerichead::fleet_harness {

using nlohmann::json;

namespace {

const char *nameOf(route_kind Kind) {
  switch (Kind) {
  case route_kind::Safe:
    return "safe";
  case route_kind::Unsafe:
    return "unsafe";
  case route_kind::Stream:
    break;
  }
  return "streaming";
}

json toJson(const route_shape &Route) {
  json Row = {{"name", Route.Name},
              {"host", Route.Host},
              {"path_prefix", Route.PathPrefix},
              {"kind", nameOf(Route.Kind)},
              {"service", Route.Service},
              {"attempts", Route.Attempts},
              {"priority", Route.Priority},
              {"timeout_ms", Route.Timeout.count()},
              {"target_latency_ms", Route.Target.count()}};
  if (Route.Kind == route_kind::Stream) {
    Row["retain_context"] = !Route.Resumable;
    Row["resumable"] = Route.Resumable;
    Row["retention_s"] = Route.RetentionS;
  }
  return Row;
}

json toJson(const service_shape &Service) {
  json Row = {{"name", Service.Name},
              {"connection_limit", Service.Connections}};
  if (Service.Streams)
    Row["engine"] = {{"tokens_per_event", 1}};
  return Row;
}

} // namespace

site_shape usualShape(const fleet_settings &Settings) {
  site_shape Shape;
  auto DataCentre = [&](int Number) {
    return numbered("dc", Number % Settings.DataCentres);
  };
  for (int I = 0; I < Settings.DataCentres; ++I)
    Shape.DataCentres.push_back(DataCentre(I));
  constexpr std::uint64_t DiskMb = 200;
  for (int I = 0; I < Settings.Entries; ++I)
    Shape.Entries.push_back({DataCentre(I), 1, {}});
  for (int I = 0; I < Settings.Disks; ++I)
    Shape.Disks.push_back({DataCentre(I), 1, {0, 0, 0, DiskMb}});
  service_shape Llm{"llm", true, {}};
  service_shape Book{"book", false, {}};
  for (int I = 0; I < Settings.Runners; ++I)
    Llm.Upstreams.push_back({DataCentre(I), 1});
  for (int I = 0; I < Settings.Tools; ++I)
    Book.Upstreams.push_back({DataCentre(I), 1});
  Llm.Events = Settings.RunnerEvents;
  Llm.AnswerBytes = Settings.AnswerBytes;
  // A plain answer has the limit of bodies.
  Book.AnswerBytes = std::min(Settings.AnswerBytes, Settings.BodyBytes - 64);
  Llm.EventGap = Book.EventGap = Settings.EventGap;
  Shape.Services = {Llm, Book};
  route_shape Plan{"plan", route_kind::Stream, fleet::PlanHost,
                   "/",    "/turn/",           "llm"};
  route_shape Look{"look",   route_kind::Safe, fleet::ToolHost,
                   "/look/", "/look/slot",     "book"};
  route_shape BookRoute{"book",   route_kind::Unsafe, fleet::ToolHost,
                        "/book/", "/book/slot",       "book"};
  Plan.Resumable = Settings.Resumable;
  Plan.Attempts = Look.Attempts = BookRoute.Attempts = Settings.Attempts;
  Shape.Routes = {Plan, Look, BookRoute};
  program_shape Program;
  constexpr double CallsPerTurn = 0.25;
  Program.Tools = {{1, CallsPerTurn}, {2, CallsPerTurn}};
  Shape.Programs = {Program};
  Shape.DiskFaults = Settings.DiskFaults;
  return Shape;
}

// -- Settings files ----------------------------------------------------------

std::string fleet::diskRoot() const {
  if (Settings.DiskRoot.empty())
    return Settings.Scratch;
  return Settings.DiskRoot + "/turmerichead-" + std::to_string(getpid()) + "-" +
         std::to_string(Number);
}

std::string fleet::diskFolder(const std::string &Name) const {
  return diskRoot() + "/" + Name + ".disk";
}

std::string fleet::writeSettings(const member &Member, bool Fresh) const {
  bool Disk = Member.Role == role::Disk;
  json Seeds = json::array();
  for (const auto &[Name, Other] : Members)
    if (Other.Role == role::Entry && Seeds.size() < 3)
      Seeds.push_back(Other.Ip + ":" + std::to_string(ControlPort));
  auto At = [&](int Port) { return Member.Ip + ":" + std::to_string(Port); };
  std::string Folder = diskFolder(Member.Name);
  std::error_code Ignored;
  if (Disk)
    std::filesystem::create_directories(Folder, Ignored);
  json Limits = {{"disk_mb", Member.Limits.DiskMb}};
  if (Settings.MemoryMb > 0)
    Limits["memory_mb"] = Settings.MemoryMb;
  if (Settings.FileDescriptors > 0)
    Limits["file_descriptors"] = Settings.FileDescriptors;
  json Root = {
      {"node_name", Member.Name},
      {"serves", {Disk ? "storage" : "front"}},
      {"ip_address", Member.Ip},
      {"zone", Member.DataCentre},
      {"listen", {{"front", At(CallerPort)}, {"ready", At(ReadyPort)}}},
      {"internal_port_range", {FirstPeerPort, LastPeerPort}},
      {"seeds", Seeds},
      {"bootstrap", Fresh},
      {"limits", Limits},
      {"data_directory", Disk ? json(Folder) : json()},
      {"fault_tolerance", {{"machines", Shape.DiskFaults}}},
      {"bounds", {{"grace_s", 8}}},
      {"platform", {{"address", storeAddress(Member)}}}};
  if (Settings.Organisations > 0) {
    Root["bounds"]["strict_revocation"] = true;
    Root["bounds"]["revoke_ms"] = Settings.RevocationTime.count();
  }
  if (Shape.Bounds)
    addSiteSettings(Member, Root);
  std::string File = settingsFile(Member.Name);
  std::ofstream(File) << Root.dump(2);
  return File;
}

// What the settings file of a site's host has beyond that of other fleets.
void fleet::addSiteSettings(const member &Member, json &Root) const {
  bool Disk = Member.Role == role::Disk;
  Root["machine_class"] = Disk ? "storage" : "front";
  Root["role"] = Disk ? "disk" : "entry";
  if (!Disk)
    Root["serves"].push_back("control");
  Root["listen"]["control"] = Member.Ip + ":" + std::to_string(ControlPort);
  Root["counts_toward_loss"] = Disk;
  Root["zones"] = json::object();
  for (const std::string &Name : Shape.DataCentres)
    Root["zones"][Name] = "region";
  Root["limits"]["cpu_share"] = Member.Limits.CpuShare;
  Root["limits"]["cores"] = 1;
  Root["limits"]["memory_mb"] = Member.Limits.MemoryMb;
  Root["limits"]["file_descriptors"] = Member.Limits.FileDescriptors;
  Root["fault_tolerance"]["zones"] = 0;
  Root["fault_tolerance"]["regions"] = 0;
  Root["discovery"] = "platform";
  Root["entry"] = "virtual_ip";
  Root["contracts"] = {"base",  "drain",  "config", "cost",    "recover",
                       "agent", "stream", "engine", "platform"};
  Root["heartbeat_interval_ms"] = Shape.Bounds->HeartbeatMs;
  Root["platform"]["form"] = "objects";
  json &Bounds = Root["bounds"];
  Bounds["catch_up_s"] = Shape.Bounds->CatchUpS;
  Bounds["contact_ms"] = Shape.Bounds->ContactMs;
  Bounds["ack_timeout_ms"] = Shape.Bounds->AckTimeoutMs;
  Bounds["drain_ms"] = Shape.Bounds->DrainMs;
  Bounds["config_apply_ms"] = Shape.Bounds->ConfigApplyMs;
  Bounds["outer_ms"] = Shape.Bounds->OuterMs;
  Bounds["pass_ms"] = Shape.Bounds->PassMs;
  Bounds["grace_s"] = Shape.Bounds->GraceS;
  Bounds["recovery_s"] = Shape.Bounds->RecoveryS;
  Bounds["finish_s"] = Shape.Bounds->FinishS;
}

std::string fleet::settingsFile(const std::string &Name) const {
  return Settings.Scratch + "/" + Name + ".json";
}

void fleet::rewriteSettings(const std::string &Name) {
  if (const member *Member = find(Name))
    writeSettings(*Member, false);
}

// -- The configuration -------------------------------------------------------

std::string fleet::versionHost(std::uint64_t Routes) {
  return "v" + std::to_string(Routes) + ".example";
}

std::string fleet::organisation(std::size_t Number) const {
  auto Count = static_cast<std::size_t>(Settings.Organisations);
  return Count == 0 ? "" : "org-" + std::to_string(Number % Count);
}

organisation_key fleet::lastingKey(std::size_t Caller) const {
  std::string Organisation = organisation(Caller);
  return {Organisation,
          Organisation.empty() ? "" : KeyPrefix + Organisation + "-lasting"};
}

void fleet::configure(std::uint64_t NewRoutes) {
  Routes = NewRoutes;
  putConfiguration();
}

std::int64_t fleet::putKeys(std::vector<organisation_key> Keys) {
  AddedKeys = std::move(Keys);
  return putConfiguration();
}

json fleet::organisationsToJson() const {
  json Rows = json::array();
  for (int I = 0; I < Settings.Organisations; ++I) {
    organisation_key Lasting = lastingKey(static_cast<std::size_t>(I));
    json Keys = {Lasting.Key};
    for (const organisation_key &Key : AddedKeys)
      if (Key.Organisation == Lasting.Organisation)
        Keys.push_back(Key.Key);
    Rows.push_back({{"name", Lasting.Organisation}, {"api_keys", Keys}});
  }
  return Rows;
}

std::int64_t fleet::putConfiguration() {
  json RouteRows = json::array();
  for (const route_shape &Route : Shape.Routes)
    RouteRows.push_back(toJson(Route));
  if (const route_shape *Look = Shape.findRoute(route_kind::Safe)) {
    route_shape Own = *Look;
    Own.Name = "own";
    Own.Host = versionHost(Routes);
    Own.PathPrefix = "/look/";
    RouteRows.push_back(toJson(Own));
  }
  json ServiceRows = json::array();
  for (const service_shape &Service : Shape.Services)
    ServiceRows.push_back(toJson(Service));
  json Spec = {{"version", ++ConfigVersion},
               {"routes", RouteRows},
               {"services", ServiceRows},
               {"limits",
                {{"header_bytes", 16384},
                 {"body_bytes", Settings.BodyBytes},
                 {"header_timeout_ms", Settings.HeaderTimeout.count()},
                 {"idle_timeout_ms", Settings.IdleTimeout.count()}}}};
  if (Settings.Organisations > 0)
    Spec["tenants"] = organisationsToJson();
  Configuring = true;
  std::int64_t At =
      order("store",
            {{"put", {{"kind", "config"}, {"name", "main"}, {"spec", Spec}}}});
  Configuring = false;
  return At;
}

} // namespace turmerichead::fleet_harness
