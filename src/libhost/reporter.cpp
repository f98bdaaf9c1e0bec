#include "reporter_pvt.h"

#include "loop_pvt.h"

#include <fstream>
#include <memory>
#include <sys/resource.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr milliseconds ReportWait{1000};
constexpr milliseconds ReportMaxAge{5000};

/// Returns the resident memory of this process in bytes, from /proc.
std::int64_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::int64_t Total = 0;
  std::int64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * sysconf(_SC_PAGESIZE);
}

double processorSeconds() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto Seconds = [](const timeval &Value) {
    constexpr double MicrosPerSecond = 1e6;
    return static_cast<double>(Value.tv_sec) +
           static_cast<double>(Value.tv_usec) / MicrosPerSecond;
  };
  return Seconds(Usage.ru_utime) + Seconds(Usage.ru_stime);
}

} // namespace

std::string reporter::own() {
  if (!Context.Recorder)
    return "{}";
  constexpr milliseconds OutageAfter{10000};
  milliseconds Silence = steadyNow() - Context.PlatformSeen;
  Context.Recorder->setPlatformOutage(Silence > OutageAfter ? Silence
                                                            : milliseconds(0));
  return toJson(Context.Recorder->take(steadyNow())).dump();
}

void reporter::build(std::function<void(const fleet_report &)> Done) {
  struct gathering {
    std::size_t Open = 0;
    bool Closed = false;
    std::function<void(const fleet_report &)> Done;
  };
  auto Gathering = std::make_shared<gathering>();
  Gathering->Done = std::move(Done);
  auto Finish = [this, Gathering] {
    if (Gathering->Closed)
      return;
    Gathering->Closed = true;
    std::vector<expected_host> Expected;
    for (const host_record &Host : Context.Map.Hosts)
      Expected.push_back({Host.Id, Host.DataCentre});
    if (Expected.empty())
      Expected.push_back({Context.self(), Context.Settings.Host.DataCentre});
    Gathering->Done(Board.build(Expected, Context.self(), steadyNow(),
                                wallNowMs(), ReportMaxAge,
                                Context.Config.fleet().TargetInTimePercent));
  };
  auto Receive = [this](std::string_view Text) {
    json Value = json::parse(Text, nullptr, false);
    if (auto Report = hostReportFromJson(Value))
      Board.receive(std::move(*Report), steadyNow());
  };
  Receive(own());
  for (const host_record &Host : Context.Map.Hosts) {
    if (Host.Id == Context.self())
      continue;
    ++Gathering->Open;
    Context.Links->send(
        Host.Id, {.Path = std::string(ReportPath), .Headers = {}, .Body = {}},
        {.OnMessage = Receive,
         .OnEnd = [Gathering, Finish](const peer_result &) {
           if (--Gathering->Open == 0)
             Finish();
         }});
  }
  if (Gathering->Open == 0)
    defer(Finish);
  after(ReportWait, Finish);
}

// -- Metrics ----------------------------------------------------------------

void reporter::exportPlatform() {
  platform_counters Counters = Context.Platform->counters();
  for (std::size_t I = 0; I < PlatformVerbCount; ++I) {
    auto Verb = static_cast<platform_verb>(I);
    std::string Label = metricLabel("verb", nameOf(Verb));
    Context.Metrics.set("platform_calls", Label,
                        static_cast<double>(Counters.of(Verb).Calls));
    Context.Metrics.set("platform_calls_failed", Label,
                        static_cast<double>(Counters.of(Verb).Failed));
    Context.Metrics.set("platform_calls_delayed", Label,
                        static_cast<double>(Counters.of(Verb).Delayed));
  }
  Context.Metrics.set("platform_watches_open", "",
                      static_cast<double>(Counters.OpenWatches));
  Context.Metrics.set(
      "platform_silence_ms", "",
      static_cast<double>((steadyNow() - Context.PlatformSeen).count()));
}

void reporter::exportProcess() {
  Context.Metrics.set("process_cpu_seconds", "", processorSeconds());
  Context.Metrics.set("process_resident_bytes", "",
                      static_cast<double>(residentBytes()));
  peer_counters Peers = Context.Links->counters();
  Context.Metrics.set("peer_bytes_in", "", static_cast<double>(Peers.BytesIn));
  Context.Metrics.set("peer_bytes_out", "",
                      static_cast<double>(Peers.BytesOut));
  Context.Metrics.set("peer_links_lost", "",
                      static_cast<double>(Peers.LinksLost));
}

std::string reporter::metricsPage() {
  exportPlatform();
  exportProcess();
  Context.Metrics.set("shard_map_version", "",
                      static_cast<double>(Context.Map.Version));
  Context.Metrics.set("hosts", "",
                      static_cast<double>(Context.Map.Hosts.size()));
  Context.Metrics.set("config_version", "",
                      static_cast<double>(Context.Config.summary().Complete));
  return Context.Metrics.toPrometheus();
}

json reporter::status() const {
  json Hosts = json::array();
  time_point Now = steadyNow();
  for (const host_record &Host : Context.Map.Hosts) {
    std::string Health = "self";
    if (Host.Id != Context.self() && Context.Detector)
      Health = nameOf(Context.Detector->health(Host.Id, Now));
    Hosts.push_back({{"id", Host.Id},
                     {"incarnation", Host.Incarnation},
                     {"data_centre", Host.DataCentre},
                     {"region", Host.Region},
                     {"state", nameOf(Host.State)},
                     {"health", Health},
                     {"http", Host.Http.toText()},
                     {"shards", Context.Map.heldBy(Host.Id).size()}});
  }
  json Upstreams = json::array();
  for (const auto &[Name, Upstream] : Context.Upstreams)
    Upstreams.push_back({{"name", Name},
                         {"kind", nameOf(Upstream.Kind)},
                         {"address", Upstream.Address.toText()},
                         {"phase", nameOf(Upstream.Phase)}});
  return {{"host", Context.self()},
          {"incarnation", Context.Incarnation},
          {"draining", Context.Draining},
          {"map_version", Context.Map.Version},
          {"config_version", Context.Config.summary().Complete},
          {"hosts", std::move(Hosts)},
          {"upstreams", std::move(Upstreams)}};
}

} // namespace turmerichead::host_pvt
