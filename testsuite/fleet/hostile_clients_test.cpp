// Hostile clients against real processes with low limits. Each case guards
// against the same failure: clients bring a host to an end or over its memory.
// Only that is checked, no times and no shares of requests.

#include "callers.h"
#include "hostile_crowd.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <vector>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

// An idle entry host of this build has a peak of about 20 MB.
constexpr std::size_t MemoryMb = 60;
constexpr std::size_t BytesPerMb = 1'000'000;
constexpr std::size_t FileDescriptors = 500;
constexpr std::size_t BodyBytes = 4U << 20U;
constexpr std::size_t HeaderBytes = 16384;
// Long answers of runners. A kept one is stored by three disk hosts. Others are
// below the limit for unsent bytes of one connection.
constexpr std::size_t KeptAnswerBytes = 1U << 20U;
constexpr std::size_t StreamBytes = 7U << 20U;
constexpr std::size_t PlainAnswerBytes = BodyBytes - 64;
constexpr std::size_t CrowdSize = 48;

fleet_settings settingsFor(const char *Name) {
  fleet_settings Settings;
  Settings.Bin = FLEET_BIN;
  Settings.Scratch = std::string(FLEET_SCRATCH) + "/hostile-" + Name;
  Settings.Entries = 1;
  Settings.Runners = 3;
  Settings.Tools = 3;
  Settings.DataCentres = 1;
  Settings.BodyBytes = BodyBytes;
  Settings.HeaderTimeout = milliseconds(3000);
  Settings.IdleTimeout = milliseconds(15000);
  Settings.MemoryMb = MemoryMb;
  Settings.FileDescriptors = FileDescriptors;
  return Settings;
}

/// Where a crowd sends its requests to.
struct target {
  std::string Name;
  std::string Address;
  std::string Host;
  std::string Path;
};

/// A fleet whose hosts are checked after each crowd.
struct fixture {
  fleet Fleet;
  std::map<std::string, int> Pids;
  std::map<std::string, std::size_t>
      MaxDescriptors; ///< While crowds are there.

  explicit fixture(const fleet_settings &Settings) : Fleet(Settings) {
    REQUIRE(Fleet.start());
    for (role Role : {role::Entry, role::Disk})
      for (const std::string &Name : Fleet.names(Role)) {
        Pids[Name] = Fleet.pidOf(Name);
        MESSAGE(Name << " before: " << peakMemoryOf(Pids[Name]) / BytesPerMb
                     << " MB, " << descriptorsOf(Pids[Name]) << " descriptors");
      }
  }

  /// A path with a route, one without, and the readiness path.
  std::vector<target> targets(const std::string &Path = "/book/1") {
    std::string Callers = Fleet.callerAddress("entry-0");
    return {{"route", Callers, fleet::ToolHost, Path},
            {"no route", Callers, "nobody.example", "/nothing"},
            {"readiness", Fleet.addressOf("entry-0", fleet::host_port::Ready),
             "h", "/readiness"}};
  }

  void run(const std::string &Name, client_plan Plan) {
    Plan.Sample = [this] {
      for (const auto &[Host, Pid] : Pids)
        MaxDescriptors[Host] =
            std::max(MaxDescriptors[Host], descriptorsOf(Pid));
    };
    crowd_counts Counts = runCrowd(Plan);
    MESSAGE(Name << ": " << Counts.Opened << " opened, " << Counts.Closed
                 << " closed, " << Counts.Written << " bytes written, "
                 << Counts.Read << " read");
    check(Name);
  }

  void check(const std::string &After) {
    CAPTURE(After);
    for (const auto &Row : Pids) {
      const std::string &Name = Row.first;
      int Pid = Row.second;
      CAPTURE(Name);
      REQUIRE(Fleet.pidOf(Name) == Pid);
      std::size_t Memory = peakMemoryOf(Pid);
      if (Name == "entry-0" || Name == "disk-0")
        MESSAGE(After << ": " << Name << " had " << Memory / BytesPerMb
                      << " MB and " << MaxDescriptors[Name] << " descriptors");
      CHECK(Memory < MemoryMb * BytesPerMb);
      CHECK(MaxDescriptors[Name] < FileDescriptors);
    }
    CHECK(serves());
  }

  /// Sends ordinary requests until one is answered.
  bool serves() {
    constexpr int Tries = 20;
    for (int Try = 0; Try < Tries; ++Try) {
      caller_request Request;
      Request.Host = fleet::ToolHost;
      Request.Path = "/book/ordinary";
      Request.Program = "ordinary";
      Request.Body = "ordinary";
      auto Status = std::make_shared<int>(-1);
      send(Fleet, "entry-0", Request,
           [Status](const caller_answer &Answer) { *Status = Answer.Status; });
      Fleet.wait(milliseconds(5000), [&] { return *Status >= 0; });
      if (*Status == http1::status::Ok)
        return true;
      Fleet.pause(milliseconds(500));
    }
    return false;
  }
};

std::string headOf(const target &Target, std::string_view Method,
                   std::string_view Rest) {
  return std::string(Method) + " " + Target.Path +
         " HTTP/1.1\r\nHost: " + Target.Host +
         "\r\nRequest-Attempt-Id: hostile-%id%\r\n" + std::string(Rest);
}

std::string withLength(const target &Target, std::size_t Length) {
  return headOf(Target, "POST",
                "Content-Length: " + std::to_string(Length) + "\r\n\r\n");
}

client_plan planFor(const target &Target) {
  client_plan Plan;
  Plan.Address = Target.Address;
  Plan.Connections = CrowdSize;
  return Plan;
}

} // namespace

// Bodies of legal size that stop short of their end.
TEST_CASE("hostile_bodies_stop_short_in_one_piece") {
  fixture F(settingsFor("a"));
  for (const target &Target : F.targets()) {
    client_plan Plan = planFor(Target);
    Plan.Head = withLength(Target, BodyBytes);
    Plan.Piece = "x";
    Plan.Size = BodyBytes - 1;
    F.run(Target.Name, Plan);
  }
}

// Bodies that stop short, in small pieces.
TEST_CASE("hostile_bodies_stop_short_in_small_pieces") {
  fixture F(settingsFor("b"));
  for (const target &Target : F.targets()) {
    client_plan Plan = planFor(Target);
    Plan.Head = withLength(Target, BodyBytes);
    Plan.Piece = "x";
    Plan.Size = BodyBytes - 1;
    Plan.WriteBytes = 8192;
    F.run(Target.Name, Plan);
  }
}

// Bodies that stop short, in chunks of a few bytes without a declared length.
TEST_CASE("hostile_bodies_stop_short_in_chunks") {
  fixture F(settingsFor("c"));
  for (const target &Target : F.targets()) {
    client_plan Plan = planFor(Target);
    Plan.Head = headOf(Target, "POST", "Transfer-Encoding: chunked\r\n\r\n");
    Plan.Piece = "100\r\n" + std::string(0x100, 'x') + "\r\n";
    Plan.Size = BodyBytes / 0x100 * Plan.Piece.size();
    F.run(Target.Name, Plan);
  }
}

// Bodies far over the limit, with and without a declared length.
TEST_CASE("hostile_bodies_are_far_over_the_limit") {
  constexpr std::size_t Factor = 8;
  fixture F(settingsFor("d"));
  for (const target &Target : F.targets())
    for (bool Declared : {true, false}) {
      client_plan Plan = planFor(Target);
      Plan.Head = Declared ? withLength(Target, BodyBytes * Factor)
                           : headOf(Target, "POST",
                                    "Transfer-Encoding: chunked\r\n\r\n");
      Plan.Piece =
          Declared ? "x" : "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
      Plan.Size = BodyBytes * Factor;
      F.run(Target.Name + (Declared ? ", declared" : ", in chunks"), Plan);
    }
}

// Very many short header fields: their text is far smaller than the memory
// that a field takes. Some end, some stop short.
TEST_CASE("hostile_requests_have_very_many_fields") {
  constexpr std::size_t Connections = 300;
  constexpr std::size_t BytesPerField = 5;
  constexpr std::size_t Spare = 200;
  fixture F(settingsFor("e"));
  for (const target &Target : F.targets())
    for (bool Ends : {false, true}) {
      client_plan Plan = planFor(Target);
      Plan.Connections = Connections;
      Plan.Head = headOf(Target, "POST", "");
      for (std::size_t I = 0; I < (HeaderBytes - Spare) / BytesPerField; ++I)
        Plan.Head += "a:\r\n";
      if (Ends)
        Plan.Head += "Content-Length: 10\r\n\r\n";
      F.run(Target.Name + (Ends ? ", body missing" : ", head not ended"), Plan);
    }
}

// Many requests in a row whose answers are not read.
TEST_CASE("hostile_requests_follow_without_reading_answers") {
  fleet_settings Settings = settingsFor("f");
  Settings.AnswerBytes = 256U << 10U;
  fixture F(Settings);
  for (const target &Target : F.targets("/look/1")) {
    client_plan Plan = planFor(Target);
    Plan.Piece = headOf(Target, "GET", "\r\n");
    Plan.Size = 8U << 20U;
    Plan.Duration = milliseconds(6000);
    F.run(Target.Name, Plan);
  }
}

// Slow senders: heads and bodies that never end, a few bytes at a time.
TEST_CASE("hostile_senders_are_slow") {
  constexpr std::size_t Connections = 150;
  fixture F(settingsFor("g"));
  for (const target &Target : F.targets())
    for (bool HasHead : {false, true}) {
      client_plan Plan = planFor(Target);
      Plan.Connections = Connections;
      if (HasHead)
        Plan.Head = withLength(Target, BodyBytes);
      Plan.Piece = HasHead ? "x" : headOf(Target, "POST", "");
      Plan.Size = BodyBytes;
      Plan.WriteBytes = HasHead ? 4096 : 7;
      Plan.WritePause = milliseconds(10);
      F.run(Target.Name + (HasHead ? ", body" : ", head"), Plan);
    }
}

namespace {

client_plan readerOf(const target &Target) {
  client_plan Plan = planFor(Target);
  Plan.Head = headOf(Target, "POST", "Content-Length: 1\r\n\r\nx");
  Plan.ReadBytes = 4096;
  Plan.Duration = milliseconds(6000);
  return Plan;
}

void runReaders(const char *Name, std::size_t AnswerBytes, bool Resumable,
                const std::string &Host) {
  fleet_settings Settings = settingsFor(Name);
  Settings.AnswerBytes = AnswerBytes;
  Settings.RunnerEvents = 100;
  Settings.EventGap = milliseconds(5);
  Settings.Resumable = Resumable;
  fixture F(Settings);
  std::vector<target> Targets = F.targets();
  Targets[0].Host = Host;
  for (const target &Target : Targets) {
    client_plan Slow = readerOf(Target);
    Slow.ReadPause = milliseconds(100);
    F.run(Target.Name + ", slow", Slow);
    client_plan Stops = readerOf(Target);
    Stops.ReadLimit = 64U << 10U;
    F.run(Target.Name + ", stops", Stops);
  }
}

} // namespace

// Readers that are slow, or stop in the middle of a long answer.
TEST_CASE("hostile_readers_of_plain_answers") {
  runReaders("h1", PlainAnswerBytes, false, fleet::ToolHost);
}
TEST_CASE("hostile_readers_of_kept_streams") {
  runReaders("h2", KeptAnswerBytes, false, fleet::PlanHost);
}
TEST_CASE("hostile_readers_of_resumable_streams") {
  runReaders("h3", StreamBytes, true, fleet::PlanHost);
}

namespace {

/// The preface of HTTP/2 and requests with long headers that have not ended.
std::string unendedStreams() {
  constexpr unsigned Streams = 100;
  constexpr std::size_t ValueBytes = 120; // Below the prefix of an integer.
  constexpr std::size_t Fields = 120;
  std::string Block = "\x82\x86\x84"; // GET, http, path "/"
  for (std::size_t I = 0; I < Fields; ++I)
    Block += std::string("\0\1a", 3) + static_cast<char>(ValueBytes) +
             std::string(ValueBytes, 'v');
  std::string Bytes = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  Bytes += std::string("\0\0\0\4\0\0\0\0\0", 9); // empty SETTINGS
  for (unsigned I = 0; I < Streams; ++I) {
    unsigned Id = 2 * I + 1;
    Bytes += std::string("\0", 1);
    Bytes += static_cast<char>(Block.size() >> 8U);
    Bytes += static_cast<char>(Block.size() & 0xffU);
    Bytes += std::string("\1\4\0\0\0", 5); // HEADERS, END_HEADERS
    Bytes += static_cast<char>(Id);
    Bytes += Block;
  }
  return Bytes;
}

} // namespace

// Garbage and connections that say nothing or half of something, at the
// ports that hosts use among themselves; and more connections than the host
// has descriptors.
TEST_CASE("hostile_clients_at_internal_ports") {
  constexpr std::size_t Connections = 600;
  using host_port = fleet::host_port;
  fixture F(settingsFor("i"));
  std::string Garbage;
  for (unsigned I = 0; I < 4096; ++I)
    Garbage.push_back(static_cast<char>(I * 2654435761U >> 13U));
  struct address {
    std::string Name;
    std::string Address;
  };
  std::vector<address> Addresses = {
      {"callers", F.Fleet.callerAddress("entry-0")},
      {"readiness", F.Fleet.addressOf("entry-0", host_port::Ready)},
      {"entry's peer port", F.Fleet.addressOf("entry-0", host_port::Peer)},
      {"disk's peer port", F.Fleet.addressOf("disk-0", host_port::Peer)},
      {"tunnel", F.Fleet.addressOf("entry-0", host_port::Tunnel)},
      {"entry's metrics", F.Fleet.addressOf("entry-0", host_port::Metrics)},
      {"disk's metrics", F.Fleet.addressOf("disk-0", host_port::Metrics)}};
  for (const address &Row : Addresses) {
    client_plan Plan;
    Plan.Address = Row.Address;
    Plan.Connections = CrowdSize;
    Plan.Piece = Garbage;
    Plan.Size = 1U << 20U;
    Plan.Duration = milliseconds(1500);
    F.run(Row.Name + ", garbage", Plan);
    // A preface of HTTP/2 and the beginning of a frame.
    Plan.Head = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    Plan.Head += std::string("\0\0\0\4\0\0\0\0\0\0\xff\xff\1\4", 14);
    F.run(Row.Name + ", garbage after a preface", Plan);
    client_plan Streams = Plan;
    Streams.Head = unendedStreams();
    Streams.Size = 0;
    F.run(Row.Name + ", unended streams", Streams);
    Plan.Head = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
    Plan.Piece = Plan.Head;
    Plan.Duration = milliseconds(3000);
    F.run(Row.Name + ", metrics without reading", Plan);
    target Target{Row.Name, Row.Address, "h", "/metrics"};
    Plan.Head = withLength(Target, BodyBytes);
    Plan.Piece = "x";
    Plan.Size = BodyBytes - 1;
    F.run(Row.Name + ", bodies", Plan);
    client_plan Silent;
    Silent.Address = Row.Address;
    Silent.Connections = Connections;
    Silent.Duration = milliseconds(1500);
    F.run(Row.Name + ", silent", Silent);
  }
}

namespace {

/// One daemon with a settings file of its own, without a platform.
struct own_host {
  std::string Ip;
  handle<GSubprocess> Process;
  std::optional<http1::client> Http = http1::client::create({});

  own_host() {
    auto Number = static_cast<unsigned>(getpid());
    constexpr unsigned ByteValues = 256;
    constexpr unsigned Net = 15; // Not one of a fleet.
    Ip = "127." + std::to_string(Net) + "." +
         std::to_string(Number / ByteValues % ByteValues) + "." +
         std::to_string(1 + Number % (ByteValues - 2));
    std::string Folder = std::string(FLEET_SCRATCH) + "/hostile-own";
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
    std::ofstream(Folder + "/key") << "0123456789abcdef0123456789abcdef\n";
    std::filesystem::permissions(Folder + "/key",
                                 std::filesystem::perms::owner_read);
    std::ofstream(Folder + "/host.toml")
        << "[host]\nid = \"h\"\ndata_centre = \"d\"\nregion = \"r\"\n"
        << "listen = \"" << Ip << ":8149\"\npeer_listen = \"" << Ip
        << ":8150\"\n[platform]\nurl = \"http://" << Ip << ":8142\"\n"
        << "[cluster]\nshared_key_file = \"" << Folder << "/key\"\n";
    auto Launcher = handle<GSubprocessLauncher>::adopt(
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE));
    g_subprocess_launcher_set_stdout_file_path(Launcher.get(),
                                               (Folder + "/log").c_str());
    Process = handle<GSubprocess>::adopt(g_subprocess_launcher_spawn(
        Launcher.get(), nullptr, FLEET_BIN "/turmerichead", "--settings",
        (Folder + "/host.toml").c_str(), nullptr));
    REQUIRE(Process);
    REQUIRE(serves());
  }
  ~own_host() { g_subprocess_force_exit(Process.get()); }
  own_host(const own_host &) = delete;
  own_host &operator=(const own_host &) = delete;

  int pid() const {
    const char *Text = g_subprocess_get_identifier(Process.get());
    return Text ? std::atoi(Text) : 0;
  }

  /// Sends ordinary requests until one is answered.
  bool serves() {
    constexpr int Tries = 40;
    for (int Try = 0; Try < Tries; ++Try) {
      int Status = -1;
      http1::call_request Request;
      Request.Address = Ip + ":8149";
      Request.Method = "GET";
      Request.Target = "/healthz";
      Request.Headers.set("Host", Request.Address);
      bool Done = false;
      Http->call(
          std::move(Request),
          {[&](const http1::response_head &Head) { Status = Head.Status; },
           [](std::string_view) {},
           [&](const http1::call_result &) { Done = true; }});
      auto Tick = loop_source::every(milliseconds(5), [] { return true; });
      while (!Done)
        g_main_context_iteration(nullptr, TRUE);
      if (Status == http1::status::Ok)
        return true;
      g_usleep(250000);
    }
    return false;
  }
};

} // namespace

// The project's own interface. Its settings have no limit for memory; the bound
// is the smallest that deployments give to a host.
TEST_CASE("hostile_clients_of_the_own_interface") {
  constexpr std::size_t OwnMemoryMb = 88;
  own_host Host;
  int Pid = Host.pid();
  MESSAGE("before: " << peakMemoryOf(Pid) / BytesPerMb << " MB");
  std::size_t MaxDescriptors = 0;
  auto Run = [&](const std::string &Name, client_plan Plan) {
    CAPTURE(Name);
    Plan.Sample = [&] {
      MaxDescriptors = std::max(MaxDescriptors, descriptorsOf(Pid));
    };
    runCrowd(Plan);
    REQUIRE(Host.pid() == Pid);
    MESSAGE(Name << ": " << peakMemoryOf(Pid) / BytesPerMb << " MB, "
                 << MaxDescriptors << " descriptors");
    CHECK(peakMemoryOf(Pid) < OwnMemoryMb * BytesPerMb);
    CHECK(MaxDescriptors < FileDescriptors);
    CHECK(Host.serves());
  };
  for (const char *Path : {"/v1/chat/completions", "/nothing", "/readyz"}) {
    target Target{Path, Host.Ip + ":8149", "h", Path};
    client_plan Bodies = planFor(Target);
    Bodies.Head = withLength(Target, BodyBytes);
    Bodies.Piece = "x";
    Bodies.Size = BodyBytes - 1;
    Run(Target.Name + ", bodies", Bodies);
    client_plan Many = planFor(Target);
    Many.Piece = headOf(Target, "GET", "\r\n");
    Many.Size = 8U << 20U;
    Run(Target.Name + ", requests in a row", Many);
  }
}
