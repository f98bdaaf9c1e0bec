#include "turmerichead/settings.h"

#include "document_pvt.h"
#include "field_pvt.h"

#include <fstream>
#include <iterator>
#include <set>

namespace turmerichead {
namespace {

using namespace pvt;
using settings = host_settings;

std::vector<field<settings>> hostFields() {
  using section = settings::host_section;
  return {
      bind<settings, &settings::Host, &section::Id>(
          {.Key = "host.id",
           .Text = "Name of this host, unique in the cluster.",
           .Required = true,
           .Format = text_format::Name}),
      bind<settings, &settings::Host, &section::DataCentre>(
          {.Key = "host.data_centre",
           .Text = "Data centre that this host stands in.",
           .Required = true,
           .Format = text_format::Name}),
      bind<settings, &settings::Host, &section::Region>(
          {.Key = "host.region",
           .Text = "Region of the data centre.",
           .Required = true,
           .Format = text_format::Name}),
      bind<settings, &settings::Host, &section::Listen>(
          {.Key = "host.listen",
           .Text = "Address for callers and operators (HTTP).",
           .Required = true}),
      bind<settings, &settings::Host, &section::PeerListen>(
          {.Key = "host.peer_listen",
           .Text = "Address for the other hosts (HTTP/2 streams).",
           .Required = true}),
      bind<settings, &settings::Host, &section::DataDir>(
          {.Key = "host.data_dir",
           .Text = "Folder for bulk data. Empty: the host keeps nothing."}),
  };
}

std::vector<field<settings>> platformFields() {
  using section = settings::platform_section;
  return {
      bind<settings, &settings::Platform, &section::Url>(
          {.Key = "platform.url",
           .Text = "The platform's object API, without a path.",
           .Required = true,
           .Format = text_format::Url}),
      bind<settings, &settings::Platform, &section::Namespace>(
          {.Key = "platform.namespace",
           .Text = "Namespace of all objects.",
           .Default = "default",
           .Format = text_format::Name}),
      bind<settings, &settings::Platform, &section::Timeout>(
          {.Key = "platform.timeout_ms",
           .Text = "After this long a call's answer counts as lost.",
           .Default = "1000",
           .Min = 10,
           .Max = 60'000,
           .Unit = "ms"}),
      bind<settings, &settings::Platform, &section::WritesPerS>(
          {.Key = "platform.writes_per_s",
           .Text = "This host's share of the platform's writes.",
           .Default = "20",
           .Min = 1,
           .Max = 10'000,
           .Unit = "calls/s"}),
      bind<settings, &settings::Platform, &section::ReadsPerS>(
          {.Key = "platform.reads_per_s",
           .Text = "This host's share of the platform's reads; a waiting "
                   "watch counts as one call.",
           .Default = "100",
           .Min = 1,
           .Max = 10'000,
           .Unit = "calls/s"}),
  };
}

std::vector<field<settings>> clusterFields() {
  using section = settings::cluster_section;
  return {
      bind<settings, &settings::Cluster, &section::SharedKeyFile>(
          {.Key = "cluster.shared_key_file",
           .Text = "File with the key by which hosts authenticate each "
                   "other; the same on all hosts.",
           .Required = true}),
      bind<settings, &settings::Cluster, &section::SeedPeers>(
          {.Key = "cluster.seed_peers",
           .Text = "Some other hosts, each as host=ip:port of its peer "
                   "address. A host that starts while the platform is down "
                   "asks them for the map, the catalogue and the upstreams.",
           .Default = ""}),
      bind<settings, &settings::Cluster, &section::Shards>(
          {.Key = "cluster.shards",
           .Text = "Shards of a new cluster. An existing map keeps its own.",
           .Default = "64",
           .Min = 1,
           .Max = 16'384}),
      bind<settings, &settings::Cluster, &section::Heartbeat>(
          {.Key = "cluster.heartbeat_ms",
           .Text = "Interval of heartbeats to other hosts.",
           .Default = "850",
           .Min = 20,
           .Max = 60'000,
           .Unit = "ms"}),
      bind<settings, &settings::Cluster, &section::Suspect>(
          {.Key = "cluster.suspect_ms",
           .Text = "Silence after which a host is suspected; at least three "
                   "heartbeats.",
           .Default = "2600",
           .Min = 60,
           .Max = 600'000,
           .Unit = "ms"}),
  };
}

std::vector<field<settings>> journalFields() {
  using section = settings::journal_section;
  return {
      bind<settings, &settings::Journal, &section::CommitInterval>(
          {.Key = "journal.commit_interval_ms",
           .Text = "Records are gathered this long into one write.",
           .Default = "25",
           .Min = 1,
           .Max = 5'000,
           .Unit = "ms"}),
      bind<settings, &settings::Journal, &section::OutageAfter>(
          {.Key = "journal.outage_after_ms",
           .Text = "A write unanswered for this long starts an outage: "
                   "records go to the standbys.",
           .Default = "1500",
           .Min = 20,
           .Max = 600'000,
           .Unit = "ms"}),
      bind<settings, &settings::Journal, &section::StandbyBufferBytes>(
          {.Key = "journal.standby_buffer_bytes",
           .Text = "Records that a standby keeps for others in an outage.",
           .Default = "67108864",
           .Min = 65'536,
           .Max = 17'179'869'184,
           .Unit = "bytes"}),
      bind<settings, &settings::Journal, &section::SnapshotEveryRecords>(
          {.Key = "journal.snapshot_every_records",
           .Text = "A program's snapshot is written after this many records.",
           .Default = "32",
           .Min = 1,
           .Max = 100'000,
           .Unit = "records"}),
  };
}

std::vector<field<settings>> gateFields() {
  using section = settings::gate_section;
  return {
      bind<settings, &settings::Gate, &section::GroupSize>(
          {.Key = "gate.group_size",
           .Text = "Runners that share one gate, at most. The same on all "
                   "hosts.",
           .Default = "16",
           .Min = 1,
           .Max = 1'024,
           .Unit = "runners"}),
      bind<settings, &settings::Gate, &section::MaxQueueUrgent>(
          {.Key = "gate.max_queue_urgent",
           .Text =
               "Urgent calls that a gate plans for; it refuses above the sum "
               "of both ranks.",
           .Default = "2000",
           .Min = 1,
           .Max = 1'000'000,
           .Unit = "calls"}),
      bind<settings, &settings::Gate, &section::MaxQueueOrdinary>(
          {.Key = "gate.max_queue_ordinary",
           .Text = "Ordinary calls that a gate plans for, likewise.",
           .Default = "2000",
           .Min = 1,
           .Max = 1'000'000,
           .Unit = "calls"}),
      bind<settings, &settings::Gate, &section::MaxWaitUrgent>(
          {.Key = "gate.max_wait_urgent_ms",
           .Text = "A new urgent program that would wait longer is refused.",
           .Default = "30000",
           .Min = 10,
           .Max = 86'400'000,
           .Unit = "ms"}),
      bind<settings, &settings::Gate, &section::MaxWaitOrdinary>(
          {.Key = "gate.max_wait_ordinary_ms",
           .Text = "A new ordinary program that would wait longer is refused.",
           .Default = "600000",
           .Min = 10,
           .Max = 86'400'000,
           .Unit = "ms"}),
      bind<settings, &settings::Gate, &section::OrdinaryFloorPercent>(
          {.Key = "gate.ordinary_floor_percent",
           .Text = "Work left to ordinary programs in a flood of urgent "
                   "ones, until a fleet entry is known.",
           .Default = "15",
           .Min = 0,
           .Max = 100,
           .Unit = "%"}),
  };
}

std::vector<field<settings>> limitFields() {
  using section = settings::limits_section;
  return {
      bind<settings, &settings::Limits, &section::MaxBodyBytes>(
          {.Key = "limits.max_body_bytes",
           .Text = "Longest body of a request.",
           .Default = "4194304",
           .Min = 1'024,
           .Max = 1'073'741'824,
           .Unit = "bytes"}),
      bind<settings, &settings::Limits, &section::MaxHeaderBytes>(
          {.Key = "limits.max_header_bytes",
           .Text = "Longest header of a request, all lines together.",
           .Default = "16384",
           .Min = 512,
           .Max = 1'048'576,
           .Unit = "bytes"}),
      bind<settings, &settings::Limits, &section::MaxConnections>(
          {.Key = "limits.max_connections",
           .Text = "Connections of callers at once.",
           .Default = "4096",
           .Min = 1,
           .Max = 1'000'000,
           .Unit = "connections"}),
      bind<settings, &settings::Limits, &section::MaxHeldBytes>(
          {.Key = "limits.max_held_bytes",
           .Text = "Bodies and unread answers of all callers together; above "
                   "it the connections that hold the most are closed. Not "
                   "below twice the longest body.",
           .Default = "33554432",
           .Min = 65'536,
           .Max = 68'719'476'736,
           .Unit = "bytes"}),
      bind<settings, &settings::Limits, &section::IdleTimeout>(
          {.Key = "limits.idle_timeout_ms",
           .Text = "A connection without a request is closed after this.",
           .Default = "60000",
           .Min = 100,
           .Max = 86'400'000,
           .Unit = "ms"}),
      bind<settings, &settings::Limits, &section::RequestTimeout>(
          {.Key = "limits.request_timeout_ms",
           .Text = "A request must be whole within this time.",
           .Default = "30000",
           .Min = 100,
           .Max = 86'400'000,
           .Unit = "ms"}),
  };
}

std::vector<field<settings>> logFields() {
  using section = settings::log_section;
  return {
      bind<settings, &settings::Log, &section::Level>(
          {.Key = "log.level",
           .Text = "Least urgent lines that are written.",
           .Default = "info",
           .Choices = "debug|info|warn|error"}),
      bind<settings, &settings::Log, &section::AuditFile>(
          {.Key = "log.audit_file",
           .Text = "File of the audit trail. Empty: it goes to the log."}),
  };
}

std::vector<field<peer_route>> routeFields() {
  return {
      bind<peer_route, &peer_route::Host>(
          {.Key = "host",
           .Text = "Host that is reached by another address.",
           .Required = true,
           .Format = text_format::Name}),
      bind<peer_route, &peer_route::Address>(
          {.Key = "address",
           .Text = "Address to use in place of the one in the shard map.",
           .Required = true}),
  };
}

std::vector<field<settings>> allFields() {
  std::vector<field<settings>> Result;
  for (auto Section :
       {hostFields(), platformFields(), clusterFields(), journalFields(),
        gateFields(), limitFields(), logFields()})
    Result.insert(Result.end(), Section.begin(), Section.end());
  return Result;
}

constexpr std::string_view RouteKey = "peer_route";

void readRoutes(const document &Document, findings &Findings,
                settings &Settings) {
  const nlohmann::json *Routes = findPath(Document.Root, RouteKey);
  if (!Routes)
    return;
  if (!Routes->is_array()) {
    Findings.add(Document.Places.at(std::string(RouteKey)),
                 "must be a list of tables [[peer_route]]");
    return;
  }
  const auto Fields = routeFields();
  std::set<std::string> Seen;
  for (std::size_t I = 0; I < Routes->size(); ++I) {
    std::string Path = std::string(RouteKey) + '[' + std::to_string(I) + ']';
    place_map Places = Document.Places.below(Path);
    if (!(*Routes)[I].is_object()) {
      Findings.add(Places.at(""), "must be a table");
      continue;
    }
    peer_route Route;
    readFields(Fields, (*Routes)[I], Places, Findings, Route);
    checkUnknown((*Routes)[I], keysOf(Fields), Places, Findings);
    if (!Route.Host.empty() && !Seen.insert(Route.Host).second)
      Findings.add(Places.at("host"), "is named twice");
    Settings.PeerRoutes.push_back(std::move(Route));
  }
}

/// Rules that concern two settings.
void checkTogether(const settings &Settings, const place_map &Places,
                   findings &Findings) {
  constexpr int MinHeartbeatsToSuspect = 3;
  const auto &Cluster = Settings.Cluster;
  if (Cluster.Suspect < MinHeartbeatsToSuspect * Cluster.Heartbeat)
    Findings.add(Places.at("cluster.suspect_ms"),
                 "must be at least three times cluster.heartbeat_ms");
  const auto &Host = Settings.Host;
  if (!Host.Listen.Ip.empty() && Host.Listen == Host.PeerListen)
    Findings.add(Places.at("host.peer_listen"), "must differ from host.listen");
}

} // namespace

std::optional<host_settings> host_settings::parse(std::string_view Text,
                                                  std::string_view File,
                                                  findings &Findings) {
  findings Own;
  host_settings Result;
  if (auto Document = parseToml(Text, File, Own)) {
    const auto Fields = allFields();
    auto Known = keysOf(Fields);
    Known.push_back(RouteKey);
    readFields(Fields, Document->Root, Document->Places, Own, Result);
    checkUnknown(Document->Root, Known, Document->Places, Own);
    readRoutes(*Document, Own, Result);
    if (Own.empty())
      checkTogether(Result, Document->Places, Own);
  }
  for (const finding &Row : Own.rows())
    Findings.add(Row.Place, Row.Text);
  if (!Own.empty())
    return std::nullopt;
  return Result;
}

std::optional<host_settings> host_settings::load(const std::string &Path,
                                                 findings &Findings) {
  std::ifstream Stream(Path, std::ios::binary);
  std::string Text{std::istreambuf_iterator<char>(Stream), {}};
  if (!Stream.good() && !Stream.eof()) {
    Findings.add({Path, 0, 0, ""}, "cannot be read");
    return std::nullopt;
  }
  return parse(Text, Path, Findings);
}

bool looksLikeSettings(std::string_view Text) {
  findings Ignored;
  auto Document = parseToml(Text, "", Ignored);
  if (!Document)
    return Text.find("[host]") != std::string_view::npos;
  return Document->Root.contains("host") || Document->Root.contains("platform");
}

std::vector<setting_info> settingTable() {
  std::vector<setting_info> Result;
  for (const auto &Field : allFields())
    Result.push_back(infoOf(Field.Spec, ""));
  for (const auto &Field : routeFields())
    Result.push_back(infoOf(Field.Spec, "peer_route[]."));
  return Result;
}

} // namespace turmerichead
