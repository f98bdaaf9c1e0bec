// The operator's command line.

#include "commands.h"

#include "turmerichead/settings.h"

#include <gflags/gflags.h>
#include <glib.h>

#include <array>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

DECLARE_bool(help);
DEFINE_string(settings, "",
              "settings file of a host; gives --platform, --namespace and "
              "--host where these are not given");
DEFINE_string(platform, "", "address of the platform, http://ip:port");
DEFINE_string(namespace, "", "namespace of the platform's objects");
DEFINE_string(host, "",
              "address of any host, ip:port; where: the Host of the request");
DEFINE_string(key_file, "",
              "file with the shared key, to drain from another machine");
DEFINE_string(who, "", "apply: name for the audit trail; default: the user");
DEFINE_uint64(expect, 0, "apply: version that was changed; 0 takes the newest");
DEFINE_int32(n, 20, "audit: how many of the latest records");
DEFINE_bool(json, false, "report, status, audit, where: print JSON");
DEFINE_string(at, "", "where: address of an entry host's metrics, ip:port");
DEFINE_string(path, "", "where: path of the request");
DEFINE_string(organisation, "", "where: name of the caller's organisation");
DEFINE_string(program, "", "where: id of the program");
DEFINE_string(previous_turn, "", "where: id of the turn that it continues");
DEFINE_string(method, "", "where: method of the request");
DEFINE_bool(markdown, false, "settings: print the page docs/SETTINGS.md");

namespace turmerichead::ctl {
namespace {

struct command {
  std::string_view Name;
  int (*Run)(const options &, arguments);
};

constexpr std::array Commands = {
    command{"check", &check},   command{"get", &get},
    command{"apply", &apply},   command{"status", &status},
    command{"report", &report}, command{"audit", &audit},
    command{"drain", &drain},   command{"settings", &settings},
    command{"fields", &fields}, command{"explain", &explain},
    command{"losses", &losses}, command{"where", &where},
};

constexpr const char *Usage = R"(the operator's command line of turmerichead

  turmericheadctl check FILE...        check settings or entries, all findings
  turmericheadctl get [ENTRY...]       show the catalogue, or entries
  turmericheadctl apply FILE           change entries by conditional updates
  turmericheadctl status               hosts, shards and upstreams
  turmericheadctl report [--json]      the report on all programs
  turmericheadctl audit FILE [-n 20]   the latest records of an audit trail
  turmericheadctl explain ID [LOG...]  what logs tell of a call or program
  turmericheadctl losses [LOG...]      what logs tell of all calls' losses
  turmericheadctl where --at ...       where a request would be sent, and why
  turmericheadctl drain [ADDRESS]      stop a host gracefully
  turmericheadctl settings | fields    tables of settings and entry fields

Exit codes: 0 good, 1 not reached or refused, 2 wrong usage or findings,
3 another operator's change was first, 4 outcome of a write unknown.)";

/// Sets options without a flag from the settings file of a host.
bool readSettings(options &Options) {
  if (FLAGS_settings.empty())
    return true;
  findings Findings;
  auto Settings = host_settings::load(FLAGS_settings, Findings);
  if (!Settings) {
    std::cerr << Findings.toText();
    return false;
  }
  if (Options.Platform.empty())
    Options.Platform = Settings->Platform.Url;
  if (Options.Namespace.empty())
    Options.Namespace = Settings->Platform.Namespace;
  if (Options.Host.empty())
    Options.Host = Settings->Host.Listen.toText();
  if (Options.KeyFile.empty())
    Options.KeyFile = Settings->Cluster.SharedKeyFile;
  return true;
}

int run(std::string_view Name, arguments Rest) {
  options Options;
  Options.Platform = FLAGS_platform;
  Options.Namespace = FLAGS_namespace;
  Options.Host = FLAGS_host;
  Options.KeyFile = FLAGS_key_file;
  Options.Who = FLAGS_who.empty() ? g_get_user_name() : FLAGS_who;
  Options.Expect = FLAGS_expect;
  Options.Lines = FLAGS_n;
  Options.Json = FLAGS_json;
  Options.Markdown = FLAGS_markdown;
  Options.Where = {FLAGS_at,      FLAGS_path,          FLAGS_organisation,
                   FLAGS_program, FLAGS_previous_turn, FLAGS_method};
  if (!g_utf8_validate(Options.Who.c_str(), -1, nullptr)) {
    std::cerr << "--who must be UTF-8\n";
    return BadInput;
  }
  if (!readSettings(Options))
    return BadInput;
  if (Options.Namespace.empty())
    Options.Namespace = "default";
  for (const command &Command : Commands)
    if (Command.Name == Name)
      return Command.Run(Options, Rest);
  std::cerr << "no such command: " << Name << "\n\n" << Usage << '\n';
  return BadInput;
}

} // namespace
} // namespace turmerichead::ctl

int main(int ArgumentCount, char **Arguments) {
  using namespace turmerichead::ctl;
  gflags::SetVersionString(TURMERICHEAD_VERSION);
  gflags::SetUsageMessage(Usage);
  gflags::ParseCommandLineNonHelpFlags(&ArgumentCount, &Arguments, true);
  if (FLAGS_help) {
    // Without the flags that gflags defines.
    gflags::ShowUsageWithFlagsRestrict(Arguments[0], "turmericheadctl/main");
    return Good;
  }
  gflags::HandleCommandLineHelpFlags();
  std::vector<std::string> Words(Arguments + 1, Arguments + ArgumentCount);
  if (Words.empty()) {
    std::cerr << Usage << '\n';
    return BadInput;
  }
  return run(Words[0], arguments(Words).subspan(1));
}
