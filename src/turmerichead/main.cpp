// The daemon of an entry host.

#include "host_process.h"
#include "turmerichead/error.h"
#include "turmerichead/host.h"
#include "turmerichead/log.h"
#include "turmerichead/settings.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_string(settings, "", "the settings file of this host (TOML)");
DEFINE_bool(platform, false,
            "run on the platform: role and addresses come from its settings");
DEFINE_int32(hedge_percent, 0,
             "on the platform: second attempts that slow repeatable calls may "
             "get, for 100 calls of a service (0 to 50; 0: none)");
DEFINE_bool(check, false, "check the settings file and stop");

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitBadInput = 2;
// With more, nearly every call would be sent twice.
constexpr int MaxHedgePercent = 50;

} // namespace

int main(int ArgumentCount, char **Arguments) {
  using namespace turmerichead;
  gflags::SetVersionString(TURMERICHEAD_VERSION);
  gflags::SetUsageMessage(
      "the daemon of an entry host\n\n"
      "  turmerichead --settings FILE [--check]\n"
      "  turmerichead --platform [--settings FILE] [--check]\n\n"
      "Exit codes: 0 drained or checked, 1 cannot start, 2 bad settings.\n\n"
      "Settings:\n" +
      renderSettingsHelp());
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  if (FLAGS_hedge_percent < 0 || FLAGS_hedge_percent > MaxHedgePercent) {
    std::cerr << "--hedge_percent must be 0 to " << MaxHedgePercent << "\n";
    return ExitBadInput;
  }
  if (FLAGS_platform) {
    const char *Given = std::getenv(platform::SettingsVariable);
    std::string Path = FLAGS_settings;
    if (Path.empty() && Given)
      Path = Given;
    platform::process_flags Flags;
    Flags.CheckOnly = FLAGS_check;
    Flags.HedgePercent = static_cast<std::uint32_t>(FLAGS_hedge_percent);
    return platform::runHostProcess(Path, Flags);
  }
  if (FLAGS_settings.empty()) {
    std::cerr << "--settings FILE is needed; --help shows the settings\n";
    return ExitBadInput;
  }
  // The settings are not read again, and neither SIGHUP nor a log file at its
  // limit must end the host.
  for (int Number : {SIGHUP, SIGXFSZ})
    std::signal(Number, SIG_IGN);
  findings Findings;
  auto Settings = host_settings::load(FLAGS_settings, Findings);
  if (!Settings) {
    std::cerr << Findings.toText();
    return ExitBadInput;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": good\n";
    return 0;
  }
  log::open(Settings->Host.Id, Settings->Log.Level, Settings->Log.AuditFile);
  auto Host = host::create(std::move(*Settings));
  if (!Host) {
    log::error("cannot start", {{"reason", lastError().Text},
                                {"code", nameOf(lastError().Code)}});
    return ExitFailure;
  }
  return Host->run();
}
