// Measures the path of a call through running hosts, against a runner that is
// called directly in the same run, and prints a Markdown table.
// tools/path_bench.sh starts what it needs.

#include "fleet.h"
#include "load.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <gio/gio.h>
#include <iostream>
#include <sstream>
#include <sys/resource.h>

DEFINE_string(platform, "", "ip:port of the platform");
DEFINE_string(namespace, "default", "namespace of the objects");
DEFINE_string(runners, "", "ip:port of the runners, for the direct calls");
DEFINE_string(pids, "", "processes of the hosts, as a1=123,b1=456");
DEFINE_string(entry, "yard", "catalogue entry");
DEFINE_string(token, "yard-token", "the owner's token");
DEFINE_string(model, "agent", "model");
DEFINE_int32(streams, 200, "streams at once");
DEFINE_int32(turns, 8, "calls of each program");
DEFINE_int32(answer_tokens, 48, "tokens of each answer");
DEFINE_string(rates, "40,80,160,320",
              "calls a second of one host, one step each; empty: none");
DEFINE_int32(rate_tokens, 24, "tokens of each answer of the rate steps");
DEFINE_int32(rate_seconds, 6, "length of each step");
DEFINE_int32(idle, 2000, "idle connections; 0: none");

namespace turmerichead::bench {

namespace {

constexpr double FirstTokenTargetMs = 3;

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream In(Text);
  std::string Part;
  while (std::getline(In, Part, ','))
    Parts.push_back(Part);
  return Parts;
}

double processorSum(const process_ids &Pids) {
  double Sum = 0;
  for (const auto &[Name, Pid] : Pids)
    Sum += processorMs(Pid);
  return Sum;
}

double ownProcessorMs() { return processorMs(getpid()); }

void printRow(const std::string &What, const std::string &Figure,
              const std::string &Target, const std::string &Reached) {
  std::cout << "| " << What << " | " << Figure << " | " << Target << " | "
            << Reached << " |\n"
            << std::flush;
}

std::string spread(const samples &Samples) {
  return toText(Samples.percentile(50), 2) + " / " +
         toText(Samples.percentile(95), 2) + " / " +
         toText(Samples.percentile(99), 2) + " ms";
}

std::string yesNo(bool Reached) { return Reached ? "yes" : "no"; }

void printErrors(const load_result &Result) {
  for (const auto &[Text, Count] : Result.Errors)
    std::cerr << "path_bench: " << Count << " calls failed: " << Text << "\n";
}

class path_bench {
public:
  path_bench(http_client &Http, const fleet &Fleet)
      : Http(Http), Fleet(Fleet), Pids(parseProcessIds(FLAGS_pids)) {}

  void firstToken();
  void rates();
  void idle();

private:
  load newLoad(int Tokens) const {
    return {Http, Fleet, {FLAGS_entry, FLAGS_token, FLAGS_model, Tokens}};
  }
  void rate(double CallsOfOneHost);

  http_client &Http;
  const fleet &Fleet;
  process_ids Pids;
};

void path_bench::firstToken() {
  load Load = newLoad(FLAGS_answer_tokens);
  Load.closedLoop(FLAGS_streams / 4, 2, {}); // Opens connections.
  auto Runners = splitList(FLAGS_runners);
  auto Direct = Load.closedLoop(FLAGS_streams, FLAGS_turns, Runners);
  double Before = processorSum(Pids);
  auto Path = Load.closedLoop(FLAGS_streams, FLAGS_turns, {});
  double Used = processorSum(Pids) - Before;
  printErrors(Direct);
  printErrors(Path);
  double Later =
      Path.FirstToken.percentile(95) - Direct.FirstToken.percentile(95);
  std::string Streams = std::to_string(FLAGS_streams) + " streams at once, ";
  printRow(Streams + "first token, runner directly (p50/p95/p99)",
           spread(Direct.FirstToken), "", "");
  printRow(Streams + "first token, two hops", spread(Path.FirstToken), "", "");
  printRow("two hops later than the runner directly, p95",
           toText(Later, 2) + " ms", "at most 3 ms",
           yesNo(Later <= FirstTokenTargetMs));
  printRow("first token of a program's first call, two hops",
           spread(Path.FirstTokenOfFirst), "", "");
  printRow("gap between tokens, runner directly", spread(Direct.Gap), "", "");
  printRow("gap between tokens, two hops", spread(Path.Gap), "", "");
  auto Calls = static_cast<double>(Path.Answered);
  if (!Pids.empty() && Calls > 0)
    printRow("processor time of a call of " +
                 std::to_string(FLAGS_answer_tokens) +
                 " tokens, all hosts together",
             toText(Used / Calls, 3) + " ms", "", "");
  printRow("calls answered / failed",
           std::to_string(Path.Answered) + " / " + std::to_string(Path.Failed),
           "none failed", yesNo(Path.Failed == 0));
}

void path_bench::rates() {
  for (const std::string &Rate : splitList(FLAGS_rates))
    rate(std::atof(Rate.c_str()));
}

/// Each call enters at one host and is held by another, so a rate of R calls
/// a second of one host takes R times the number of hosts in all.
void path_bench::rate(double CallsOfOneHost) {
  constexpr int Turns = 4;
  constexpr double TargetOfOneHost = 320;
  auto Hosts = static_cast<double>(Fleet.hosts().size());
  load Load = newLoad(FLAGS_rate_tokens);
  double Before = processorSum(Pids);
  double OwnBefore = ownProcessorMs();
  auto Result = Load.openLoop(CallsOfOneHost * Hosts, Turns,
                              milliseconds(FLAGS_rate_seconds * 1000));
  double Used = processorSum(Pids) - Before;
  double Own = ownProcessorMs() - OwnBefore;
  printErrors(Result);
  auto Calls = static_cast<double>(Result.Answered);
  double Answered = Calls / Result.Seconds / Hosts;
  // Programs that are under way when the step ends are not counted.
  bool Carried = Result.Failed == 0 && Answered >= 0.9 * CallsOfOneHost;
  std::string Figure = toText(Answered, 1) + " answered calls/s, first token " +
                       spread(Result.FirstToken) + ", " +
                       std::to_string(Result.Failed) + " failed, " +
                       toText(Used / Result.Seconds / Hosts / 10, 0) +
                       " % of a core a host, bench " +
                       toText(Own / Result.Seconds / 10, 0) + " %";
  printRow("one host offered " + toText(CallsOfOneHost, 0) + " calls/s of " +
               std::to_string(FLAGS_rate_tokens) + " tokens",
           Figure, CallsOfOneHost == TargetOfOneHost ? "320 calls/s" : "",
           yesNo(Carried));
}

/// Opens connections that send nothing, and asks for a call beside them.
void path_bench::idle() {
  const host_record &Host = Fleet.hosts().front();
  double MemoryBefore =
      Pids.contains(Host.Id) ? residentMb(Pids.at(Host.Id)) : 0;
  GSocketAddress *Address = g_inet_socket_address_new_from_string(
      Host.Http.Ip.c_str(), Host.Http.Port);
  std::vector<GSocket *> Sockets;
  for (int I = 0; I < FLAGS_idle; ++I) {
    GSocket *Socket = g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, nullptr);
    if (Socket && g_socket_connect(Socket, Address, nullptr, nullptr))
      Sockets.push_back(Socket);
  }
  g_object_unref(Address);
  auto Result = newLoad(FLAGS_rate_tokens).closedLoop(20, 4, {});
  std::size_t Alive = 0;
  for (GSocket *Socket : Sockets) {
    g_socket_set_blocking(Socket, FALSE);
    char Byte = 0;
    GError *Error = nullptr;
    g_socket_receive(Socket, &Byte, 1, nullptr, &Error);
    Alive += g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ? 1 : 0;
    g_clear_error(&Error);
  }
  double Memory = Pids.contains(Host.Id) ? residentMb(Pids.at(Host.Id)) : 0;
  for (GSocket *Socket : Sockets)
    g_object_unref(Socket);
  bool Reached = static_cast<int>(Alive) == FLAGS_idle && Result.Failed == 0;
  printRow("idle connections at one host",
           std::to_string(Alive) + " open, first token beside them " +
               spread(Result.FirstToken) + ", resident memory " +
               toText(MemoryBefore, 1) + " to " + toText(Memory, 1) + " MB",
           "2,000", yesNo(Reached));
}

int run() {
  rlimit Limit{};
  getrlimit(RLIMIT_NOFILE, &Limit);
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
  http_client_settings Settings;
  constexpr std::size_t ManyConnections = 8192;
  Settings.MaxPerHost = ManyConnections;
  Settings.MaxTotal = ManyConnections;
  auto Http = http_client::create(Settings);
  auto Fleet = fleet::create(*Http, FLAGS_platform, FLAGS_namespace);
  if (!Fleet) {
    std::cerr << "path_bench: " << lastError().Text << "\n";
    return 1;
  }
  path_bench Bench(*Http, *Fleet);
  std::cout << "| measured | figure | target | reached |\n"
            << "|---|---|---|---|\n";
  Bench.firstToken();
  Bench.rates();
  if (FLAGS_idle > 0)
    Bench.idle();
  return 0;
}

} // namespace

} // namespace turmerichead::bench

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("measures the path of a call through hosts");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  return turmerichead::bench::run();
}
