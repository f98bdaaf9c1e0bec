/// \file
/// Measures the processor time of a call through an entry host and three disk
/// hosts, all in one process on loopback, with callers and upstreams. The same
/// load with --direct, straight from callers to upstreams, gives what callers
/// and upstreams use themselves: the difference is the system's. Output is one
/// JSON object.
///
///     relay_bench --programs 50 --turns 20
///     relay_bench --programs 50 --turns 20 --direct

#include "headers.h"
#include "programs.h"
#include "stand_in.h"

#include "turmerichead/error.h"
#include "turmerichead/log.h"
#include "turmerichead/metrics.h"
#include "turmerichead/relay.h"
#include "turmerichead/turns_client.h"
#include "turmerichead/turns_replica.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sys/resource.h>
#include <unistd.h>

DEFINE_int32(programs, 50, "programs at the same time");
DEFINE_int32(turns, 20, "turns of each program");
DEFINE_int32(tools, 2, "tool calls after each turn");
DEFINE_int32(events, 20, "events of a turn's stream");
DEFINE_int32(event_gap_ms, 10, "pause between two events");
DEFINE_int32(think_ms, 20, "pause between two calls of a program");
DEFINE_int32(prompt_bytes, 2000, "new bytes of each turn");
DEFINE_bool(direct, false, "without the system between");
DEFINE_string(log_level, "info", "level of the logs, which go to /dev/null");

namespace turmerichead::bench {

namespace {

constexpr const char *SharedKey = "bench-key";
constexpr const char *DataCentre = "dc";
constexpr int DiskHosts = 3;

double processorMs() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto ToMs = [](const timeval &Time) {
    return static_cast<double>(Time.tv_sec) * 1e3 +
           static_cast<double>(Time.tv_usec) / 1e3;
  };
  return ToMs(Usage.ru_utime) + ToMs(Usage.ru_stime);
}

std::string freeAddress() {
  return "127.0.0.1:" + std::to_string(listener::open("127.0.0.1:0")->port());
}

relay::header_names headerNames() {
  relay::header_names Names;
  Names.CallId = CallHeader;
  Names.TimeLeft = TimeLeftHeader;
  Names.ExpectUpstream = "X-Expect";
  Names.NotRun = "X-Not-Run";
  Names.RetryAfter = "Retry-After";
  Names.Program = ProgramHeader;
  Names.Budget = BudgetHeader;
  Names.Tokens = TokensHeader;
  Names.PreviousTurn = PreviousHeader;
  Names.SystemOnly = {"X-Expect"};
  return Names;
}

relay::route routeOf(std::string Prefix, relay::call_kind Kind,
                     std::string Service) {
  constexpr milliseconds Timeout{60'000};
  relay::route Route;
  Route.Name = Prefix;
  Route.Host = "h";
  Route.PathPrefix = std::move(Prefix);
  Route.Kind = Kind;
  Route.Timeout = Timeout;
  Route.Services = {{std::move(Service), 1}};
  return Route;
}

relay::routing routing() {
  constexpr milliseconds Keep{60'000};
  relay::routing Routing;
  Routing.Version = 1;
  Routing.Routes = {routeOf("/book/", relay::call_kind::Unsafe, "tools"),
                    routeOf("/plan/", relay::call_kind::Stream, "models")};
  Routing.Routes[1].KeepsTurns = true;
  Routing.Routes[1].Retention = Keep;
  Routing.Services["tools"].Name = "tools";
  Routing.Services["models"].Name = "models";
  Routing.Services["models"].TokensPerEvent = 8;
  return Routing;
}

/// The folders of disk hosts, removed at the end.
class scratch_folder {
public:
  scratch_folder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "relay_benchXXXXXX").string();
    if (const char *Made = mkdtemp(Template.data()))
      Path = Made;
  }
  ~scratch_folder() {
    if (!Path.empty())
      std::filesystem::remove_all(Path);
  }
  scratch_folder(const scratch_folder &) = delete;
  scratch_folder &operator=(const scratch_folder &) = delete;
  std::string Path;
};

/// An entry host and the disk hosts behind it.
class hosts {
public:
  /// Fails with the reason of the part that did not start.
  bool start(const std::string &Upstream);
  const std::string &address() const { return Address; }

private:
  bool startDisks();

  scratch_folder Folder;
  metrics Metrics;
  turns::disk_set Set{1, DiskHosts / 2 + 1, {}, {}};
  std::vector<turns::replica> Replicas;
  std::optional<turns::client> Turns;
  std::optional<relay::relay> Relay;
  std::string Address = freeAddress();
};

bool hosts::startDisks() {
  for (int I = 0; I < DiskHosts; ++I)
    Set.Members.push_back(
        {"disk-" + std::to_string(I), freeAddress(), DataCentre});
  for (const turns::disk_host &Host : Set.Members) {
    turns::replica_settings Settings;
    Settings.Self = Host;
    Settings.Store.Log.Folder = Folder.Path + "/" + Host.Name;
    Settings.Store.FirstStart = true;
    Settings.SharedKey = SharedKey;
    auto Replica =
        turns::replica::create(Settings, {[](const turns::disk_set &) {}, {}});
    if (!Replica)
      return false;
    Replica->updateSet(Set);
    Replicas.push_back(std::move(*Replica));
  }
  return true;
}

bool hosts::start(const std::string &Upstream) {
  if (!startDisks())
    return false;
  turns::client_settings TurnSettings;
  TurnSettings.Host = "entry";
  TurnSettings.DataCentre = DataCentre;
  TurnSettings.SharedKey = SharedKey;
  Turns = turns::client::create(TurnSettings);
  if (!Turns)
    return false;
  relay::relay_settings Settings;
  Settings.Listen = Address;
  Settings.DataCentre = DataCentre;
  Relay = relay::relay::create(Settings, headerNames(), *Turns, Metrics);
  if (!Relay)
    return false;
  Turns->updateSet(Set);
  Relay->setRouting(routing());
  Relay->putUpstream({"tool-1", "tools", Upstream, DataCentre, 64, true, 1});
  Relay->putUpstream({"model-1", "models", Upstream, DataCentre, 64, true, 1});
  return true;
}

program_settings programSettings(std::string Address) {
  program_settings Settings;
  Settings.Address = std::move(Address);
  Settings.Programs = FLAGS_programs;
  Settings.Turns = FLAGS_turns;
  Settings.ToolsPerTurn = FLAGS_tools;
  Settings.PromptBytes = static_cast<std::size_t>(FLAGS_prompt_bytes);
  Settings.Think = milliseconds(FLAGS_think_ms);
  return Settings;
}

int run() {
  log::open("bench", FLAGS_log_level, "", open("/dev/null", O_WRONLY));
  stand_in Upstream(
      {FLAGS_events, milliseconds(FLAGS_event_gap_ms), CallHeader});
  hosts Hosts;
  if (!Upstream.listen() ||
      (!FLAGS_direct && !Hosts.start(Upstream.address()))) {
    std::cerr << "relay_bench: " << lastError().Text << "\n";
    return 1;
  }
  GMainLoop *Loop = g_main_loop_new(nullptr, FALSE);
  programs Programs(
      programSettings(FLAGS_direct ? Upstream.address() : Hosts.address()),
      [Loop] { g_main_loop_quit(Loop); });
  double ProcessorBefore = processorMs();
  time_point Begun = steadyNow();
  if (!Programs.start()) {
    std::cerr << "relay_bench: " << lastError().Text << "\n";
    return 1;
  }
  g_main_loop_run(Loop);
  g_main_loop_unref(Loop);
  double Processor = processorMs() - ProcessorBefore;
  double Seconds = static_cast<double>((steadyNow() - Begun).count()) / 1e3;
  auto Calls = static_cast<double>(Programs.calls());
  std::cout
      << nlohmann::json{{"calls", Programs.calls()},
                        {"failed", Programs.failed()},
                        {"seconds", Seconds},
                        {"calls_per_s", Calls / Seconds},
                        {"processor_ms", Processor},
                        {"processor_us_per_call", Processor * 1e3 / Calls}}
             .dump()
      << "\n";
  return Programs.failed() == 0 ? 0 : 1;
}

} // namespace

} // namespace turmerichead::bench

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("processor time of a call on the platform's path");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  return turmerichead::bench::run();
}
