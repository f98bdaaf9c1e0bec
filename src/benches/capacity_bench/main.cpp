// Measures how the costs of the libraries grow with the size of the fleet, on
// one machine, and prints each slope with its error as a Markdown table.

#include "line_fit.h"

#include "turmerichead/cluster_detector.h"
#include "turmerichead/cluster_map.h"
#include "turmerichead/net_peer.h"
#include "turmerichead/sched_gate.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <glib.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <unistd.h>
#include <vector>

DEFINE_int32(repeats, 5, "measurements of each point; the smallest counts");
DEFINE_double(target_hosts, 410, "hosts of the target");

namespace turmerichead::bench {

namespace {

double nowUs() {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

/// The least time of some runs in microseconds: what else the machine does
/// can only add.
double leastUs(const std::function<void()> &Work) {
  double Least = 0;
  for (int I = 0; I < FLAGS_repeats; ++I) {
    double Begun = nowUs();
    Work();
    double Used = nowUs() - Begun;
    Least = I == 0 ? Used : std::min(Least, Used);
  }
  return Least;
}

double residentKb() {
  std::ifstream In("/proc/self/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1000;
}

std::string number(double Value) {
  std::ostringstream Out;
  Out << std::setprecision(4) << Value;
  return Out.str();
}

void printFit(const std::string &What, const std::string &Per,
              const std::vector<point> &Points, double Target) {
  line_fit Fit = fitLine(Points);
  std::string Measured;
  for (const point &Point : Points)
    Measured += (Measured.empty() ? "" : ", ") + number(Point.Size) + ": " +
                number(Point.Cost);
  std::cout << "| " << What << " | " << Measured << " | " << number(Fit.Slope)
            << " ± " << number(Fit.SlopeError) << " per " << Per << " | "
            << number(Fit.Base) << " | " << number(Fit.R2) << " | "
            << number(Fit.at(Target)) << " at " << number(Target) << " |\n"
            << std::flush;
}

// -- Membership --------------------------------------------------------------

std::string hostName(int Index) { return "host-" + std::to_string(Index); }

/// A map of \p Hosts hosts with ten shards each, spread over data centres as
/// in the target.
shard_map mapOf(int Hosts) {
  constexpr int DataCentres = 22;
  constexpr int Regions = 8;
  constexpr int ShardsPerHost = 10;
  shard_map Map =
      *cluster::emptyMap(static_cast<std::uint32_t>(Hosts * ShardsPerHost));
  for (int I = 0; I < Hosts; ++I) {
    host_record Host;
    Host.Id = hostName(I);
    Host.Incarnation = 1;
    Host.Http = {"10.0.0.1", static_cast<std::uint16_t>(8000 + I)};
    Host.Peer = {"10.0.0.1", static_cast<std::uint16_t>(9000 + I)};
    Host.DataCentre = "dc-" + std::to_string(I % DataCentres);
    Host.Region = "region-" + std::to_string(I % DataCentres % Regions);
    Map.Hosts.push_back(std::move(Host));
  }
  std::sort(
      Map.Hosts.begin(), Map.Hosts.end(),
      [](const auto &Left, const auto &Right) { return Left.Id < Right.Id; });
  Map.Version = 1;
  for (std::size_t I = 0; I < Map.Shards.size(); ++I) {
    std::size_t Count = Map.Hosts.size();
    Map.Shards[I].Holder = Map.Hosts[I % Count].Id;
    Map.Shards[I].Standbys = {Map.Hosts[(I + 1) % Count].Id,
                              Map.Hosts[(I + 2) % Count].Id};
    Map.Shards[I].HeldSince = 1;
  }
  return Map;
}

void measureMembership() {
  std::vector<point> MapBytes;
  std::vector<point> ParseUs;
  std::vector<point> ReplaceUs;
  std::vector<point> TickUs;
  std::vector<point> Targets;
  std::vector<point> BeatBytes;
  for (int Hosts : {20, 50, 100, 200, 410, 820}) {
    auto Size = static_cast<double>(Hosts);
    shard_map Map = mapOf(Hosts);
    std::string Text = toJson(Map).dump();
    MapBytes.push_back({Size, static_cast<double>(Text.size())});
    ParseUs.push_back({Size, leastUs([&] {
                         findings Findings;
                         shardMapFromJson(nlohmann::json::parse(Text), "map",
                                          Findings);
                       })});
    ReplaceUs.push_back(
        {Size, leastUs([&] { cluster::replaceDead(Map, hostName(1)); })});
    auto Detector =
        failure_detector::create(hostName(0), 1, detector_options{});
    time_point Now{1000};
    Detector->setMembers(Map, Now);
    TickUs.push_back({Size, leastUs([&] {
                        Now = Now + milliseconds(500);
                        Detector->tick(Now);
                        Detector->compose(Now, 1, {});
                        Detector->suspected(Now);
                        Detector->targets(Now);
                      })});
    Targets.push_back({Size, static_cast<double>(
                                 Detector->targets(time_point{1000}).size())});
    BeatBytes.push_back(
        {Size, static_cast<double>(
                   encode(Detector->compose(time_point{1000}, 1, {})).size())});
  }
  double Target = FLAGS_target_hosts;
  printFit("shard map as JSON, ten shards a host, bytes", "host", MapBytes,
           Target);
  printFit("reading the shard map, us", "host", ParseUs, Target);
  printFit("replacing a dead host in the map, us", "host", ReplaceUs, Target);
  printFit("failure detector, one interval, us", "host", TickUs, Target);
  printFit("hosts that a host beats to", "host", Targets, Target);
  printFit("one heartbeat, bytes", "host", BeatBytes, Target);
}

// -- Links -------------------------------------------------------------------

/// Opens links from many hosts to one, all in this process, so that each adds
/// both of its ends.
void measureLinks() {
  std::vector<point> MemoryKb;
  std::vector<peer_links> All;
  peer_settings Settings;
  Settings.Host = "server";
  std::optional<peer_server> Server;
  Server = peer_server::create("127.0.0.1:0", Settings, "key",
                               {.OnRequest =
                                    [&](const peer_request_view &Request) {
                                      Server->end(Request.Reply, {});
                                    },
                                .OnGone = {}});
  std::string Address = "127.0.0.1:" + std::to_string(Server->port());
  int Ended = 0;
  int Links = 0;
  for (int Until : {50, 100, 200, 300, 410}) {
    for (; Links < Until; ++Links) {
      Settings.Host = hostName(Links);
      All.push_back(std::move(*peer_links::create(Settings, "key")));
      All.back().setAddress("server", Address);
      All.back().send(
          "server", {"/beat", {}, "body"},
          {.OnMessage = {}, .OnEnd = [&](const peer_result &) { ++Ended; }});
    }
    while (Ended < Links)
      g_main_context_iteration(nullptr, TRUE);
    MemoryKb.push_back({static_cast<double>(Links), residentKb()});
  }
  printFit("memory of a link, both ends in one process, KB", "link", MemoryKb,
           FLAGS_target_hosts);
}

// -- Gate --------------------------------------------------------------------

void measureGate() {
  std::vector<point> EnqueueUs;
  std::vector<point> TickUs;
  constexpr double TargetQueue = 2000;
  for (int Queued : {250, 500, 1000, 2000, 4000}) {
    auto Gate = sched::default_gate::create({});
    for (int I = 0; I < 16; ++I) {
      sched::runner_info Runner;
      Runner.Name = "runner-" + std::to_string(I);
      Gate->upsertRunner(Runner);
    }
    time_point Now{1000};
    double Begun = nowUs();
    for (int I = 0; I < Queued; ++I) {
      sched::gate_request Request;
      Request.RootProgram = "program-" + std::to_string(I);
      Request.Program = Request.RootProgram;
      Request.Owner = "owner";
      Request.Entry = "entry";
      Request.PromptTokens = 1000;
      Request.MaxOutputTokens = 100;
      Request.Started = true;
      Request.ProgramStart = Now;
      Gate->enqueue(Request, Now);
    }
    auto Size = static_cast<double>(Queued);
    EnqueueUs.push_back({Size, nowUs() - Begun});
    Gate->tick(Now);
    TickUs.push_back({Size, leastUs([&] {
                        Now = Now + milliseconds(1);
                        Gate->tick(Now);
                      })});
  }
  printFit("a gate takes requests, all together, us", "request", EnqueueUs,
           TargetQueue);
  printFit("one tick of a gate with all slots taken, us", "queued request",
           TickUs, TargetQueue);
}

} // namespace

} // namespace turmerichead::bench

int main(int ArgumentCount, char **Arguments) {
  using namespace turmerichead::bench;
  gflags::SetUsageMessage("measures how costs grow with the fleet");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::cout << "| quantity | size: measured | slope | base | R² | at the "
               "target |\n|---|---|---|---|---|---|\n";
  measureMembership();
  measureLinks();
  measureGate();
  return 0;
}
