// Starts of one entry host under conditions that pass by themselves.

#include "turmerichead/error.h"
#include "turmerichead/handle.h"
#include "turmerichead/net_loop.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <gio/gio.h>
#include <nlohmann/json.hpp>
#include <sys/stat.h>
#include <unistd.h>

using namespace turmerichead;

namespace {

constexpr milliseconds StartBound{10000};
constexpr int CallerPort = 8149;
constexpr int ReadyPort = 8141;
constexpr int FirstPeerPort = 7380;

/// Turns the loop until \p Reached; false after \p Bound.
template <typename Predicate>
bool waitFor(milliseconds Bound, Predicate Reached) {
  time_point End = steadyNow() + Bound;
  auto Tick = loop_source::every(milliseconds(5), [] { return true; });
  while (!Reached() && steadyNow() < End)
    g_main_context_iteration(nullptr, TRUE);
  return Reached();
}

void pause(milliseconds Time) {
  waitFor(Time, [] { return false; });
}

/// An entry host without a store, and its settings file.
class lone_host {
public:
  explicit lone_host(const std::string &Name)
      : Folder(std::string(FLEET_SCRATCH) + "/start-" + Name),
        Ip("127.15." + std::to_string(getpid() & 0xff) + "." +
           std::to_string(++Hosts)) {
    std::filesystem::remove_all(Folder);
    std::filesystem::create_directories(Folder);
  }
  ~lone_host() {
    if (Process)
      g_subprocess_force_exit(Process.get());
  }
  lone_host(const lone_host &) = delete;
  lone_host &operator=(const lone_host &) = delete;

  std::string file() const { return Folder + "/settings.json"; }
  std::string at(int Port) const { return Ip + ":" + std::to_string(Port); }
  void writeSettings(std::string_view Text) const {
    std::ofstream(file(), std::ios::trunc) << Text;
  }

  std::string settings() const {
    return nlohmann::json{
        {"node_name", "entry"},
        {"ip_address", Ip},
        {"zone", "dc-0"},
        {"serves", {"front"}},
        {"listen", {{"front", at(CallerPort)}, {"ready", at(ReadyPort)}}},
        {"internal_port_range", {FirstPeerPort, FirstPeerPort + 15}},
        {"platform", {{"address", at(1)}}}}
        .dump();
  }

  void start() {
    auto Launcher = handle<GSubprocessLauncher>::adopt(
        g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_NONE));
    std::string Log = Folder + "/log";
    g_subprocess_launcher_set_stdout_file_path(Launcher.get(), Log.c_str());
    g_subprocess_launcher_setenv(Launcher.get(), "TURMERICHEAD_CONFIG",
                                 file().c_str(), TRUE);
    std::string Daemon = std::string(FLEET_BIN) + "/turmerichead";
    Process = handle<GSubprocess>::adopt(g_subprocess_launcher_spawn(
        Launcher.get(), nullptr, Daemon.c_str(), "--platform", nullptr));
    REQUIRE(Process);
  }

  void signal(int Number) { g_subprocess_send_signal(Process.get(), Number); }
  bool isRunning() const {
    return g_subprocess_get_identifier(Process.get()) != nullptr;
  }
  bool hasStarted() const {
    std::ifstream File(Folder + "/log");
    for (std::string Line; std::getline(File, Line);)
      if (Line.find(R"("event":"started")") != std::string::npos)
        return true;
    return false;
  }
  bool waitStarted() {
    return waitFor(StartBound, [&] { return hasStarted() || !isRunning(); }) &&
           hasStarted();
  }

private:
  static inline int Hosts = 0;
  std::string Folder;
  std::string Ip;
  handle<GSubprocess> Process;
};

} // namespace

// The pipe holds the start up at its first read, before anything is set up.
TEST_CASE("start_survives_sighup_before_it_is_complete") {
  lone_host Host("sighup");
  REQUIRE(mkfifo(Host.file().c_str(), S_IRUSR | S_IWUSR) == 0);
  Host.start();
  std::ofstream Pipe(Host.file()); // Opens once the host reads it.
  Host.signal(SIGHUP);
  pause(milliseconds(200));
  REQUIRE(Host.isRunning());
  std::filesystem::remove(Host.file());
  Host.writeSettings(Host.settings());
  Pipe << Host.settings();
  Pipe.close();
  CHECK(Host.waitStarted());
  Host.signal(SIGHUP);
  pause(milliseconds(200));
  CHECK(Host.isRunning());
}

TEST_CASE("start_waits_for_settings_that_are_being_written") {
  lone_host Host("settings");
  std::string Text = Host.settings();
  SUBCASE("the file is missing") {}
  SUBCASE("the file is empty") { Host.writeSettings(""); }
  SUBCASE("half of the file is there") {
    Host.writeSettings(Text.substr(0, Text.size() / 2));
  }
  Host.start();
  pause(milliseconds(500));
  REQUIRE(Host.isRunning());
  Host.writeSettings(Text);
  CHECK(Host.waitStarted());
}

TEST_CASE("start_waits_for_a_port_that_is_still_in_use") {
  lone_host Host("port");
  Host.writeSettings(Host.settings());
  int Port = 0;
  SUBCASE("of callers") { Port = CallerPort; }
  SUBCASE("of readiness checks") { Port = ReadyPort; }
  SUBCASE("of other hosts") { Port = FirstPeerPort; }
  SUBCASE("of tunnels") { Port = FirstPeerPort + 1; }
  auto Holder = listener::open(Host.at(Port));
  REQUIRE_MESSAGE(Holder, lastError().Text);
  Host.start();
  pause(milliseconds(500));
  REQUIRE(Host.isRunning());
  Holder.reset();
  CHECK(Host.waitStarted());
}

// The process before may take its whole grace time to end.
TEST_CASE("start_waits_as_long_as_a_graceful_shutdown_may_take") {
  constexpr milliseconds FinishTime{10000};
  lone_host Host("grace");
  Host.writeSettings(Host.settings());
  auto Holder = listener::open(Host.at(CallerPort));
  REQUIRE_MESSAGE(Holder, lastError().Text);
  Host.start();
  pause(FinishTime);
  REQUIRE(Host.isRunning());
  Holder.reset();
  CHECK(Host.waitStarted());
}

// Settings that stay wrong are told in the end.
TEST_CASE("start_gives_up_when_its_settings_stay_missing") {
  lone_host Host("missing");
  Host.start();
  CHECK(waitFor(StartBound, [&] { return !Host.isRunning(); }));
}
