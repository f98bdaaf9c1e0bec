/// \file
/// The fault soak: real processes, callers and faults, all from one seed.
///
///     soak --seed 7                  # one run
///     soak --seed 1 --runs 50        # seeds 1 to 50
///     soak --seed 7 --minimize       # the fewest faults that still fail
///     soak --seed 7 --only 3,8       # these faults of the plan alone
///     soak --site FILE               # the hosts and programs of a site file
///     soak --site FILE --restarts 9  # its hosts end and start again
///
/// Exit codes: 0 no promise was broken, 1 one was, 2 bad flags or no fleet.

#include "restarts.h"
#include "soak.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <sstream>

DEFINE_uint64(seed, 1, "Seed of everything");
DEFINE_uint64(runs, 1, "Runs, with this seed and those that follow");
DEFINE_uint64(seconds, 20, "Time in which faults begin");
DEFINE_uint64(pause_ms, 900, "Mean time between the beginnings of faults");
DEFINE_int32(entries, 4, "Entry hosts");
DEFINE_int32(disks, 4, "Disk hosts");
DEFINE_int32(disk_faults, 1, "Disks that may be lost at once");
DEFINE_int32(runners, 6, "Runners");
DEFINE_int32(tools, 3, "Plain services");
DEFINE_int32(programs, 16, "Programs at once");
DEFINE_int32(attempts, 2, "Upstreams that an attempt of a caller may run on");
DEFINE_bool(resumable, false, "Streams may be resumed and are not stored");
DEFINE_int32(organisations, -1,
             "Organisations whose callers need keys; -1: 3 for one seed in 4");
DEFINE_string(site, "", "Site file whose shape the fleet has");
DEFINE_double(rate, 1, "Times the programs of the site file");
DEFINE_bool(hold_limits, true, "Hold the hosts of a site to its limits");
DEFINE_uint64(restarts, 0,
              "Times that hosts of the site end and start again, "
              "in place of faults");
DEFINE_bool(power_loss, false,
            "Hosts lose power in place of some kills, after kills of disk "
            "hosts");
DEFINE_bool(lose_disk_set, false,
            "Another writer overwrites or deletes the disk set at times");
DEFINE_string(only, "", "Numbers of faults to play, with commas");
DEFINE_bool(minimize, false, "Look for the fewest faults that still fail");
DEFINE_string(report, "", "File for a picture and a table of the last run");
DEFINE_string(bin, "", "Folder of the programs");
DEFINE_string(disk_root, "", "Folder for the disks; in the scratch if empty");
DEFINE_string(scratch, "/tmp/turmerichead-soak", "Folder for logs");

namespace {

using namespace turmerichead;
using namespace turmerichead::soak;

int organisationsFor(std::uint64_t Seed) {
  constexpr std::uint64_t OneIn = 4;
  constexpr int Usual = 3;
  if (FLAGS_organisations >= 0)
    return FLAGS_organisations;
  return Seed % OneIn == OneIn - 1 ? Usual : 0;
}

/// The shape of --site.
std::optional<fleet_harness::site_shape> Site;

soak_settings settingsFor(std::uint64_t Seed) {
  soak_settings Settings;
  Settings.Fleet.Site = Site;
  Settings.Fleet.HoldsLimits = Site && FLAGS_hold_limits;
  Settings.Rate = Site ? FLAGS_rate : 0;
  Settings.EndsWithFault = Site.has_value();
  Settings.LosesPower = FLAGS_power_loss;
  Settings.Fleet.RecordsDisks = FLAGS_power_loss;
  Settings.LosesDiskSet = FLAGS_lose_disk_set;
  Settings.Fleet.Bin = FLAGS_bin;
  Settings.Fleet.Scratch = FLAGS_scratch + "/" + std::to_string(Seed);
  Settings.Fleet.DiskRoot = FLAGS_disk_root;
  Settings.Fleet.Entries = FLAGS_entries;
  Settings.Fleet.Disks = FLAGS_disks;
  Settings.Fleet.DiskFaults = FLAGS_disk_faults;
  Settings.Fleet.Runners = FLAGS_runners;
  Settings.Fleet.Tools = FLAGS_tools;
  Settings.Fleet.Attempts = FLAGS_attempts;
  Settings.Fleet.Resumable = FLAGS_resumable;
  Settings.Fleet.Seed = Seed;
  Settings.Fleet.Links = true;
  Settings.Fleet.Organisations = organisationsFor(Seed);
  constexpr int MostPrograms = 500;
  Settings.Programs = Site ? MostPrograms : FLAGS_programs;
  constexpr std::int64_t MsPerSecond = 1000;
  Settings.Plan.Seed = Seed;
  Settings.Plan.LengthMs =
      static_cast<std::int64_t>(FLAGS_seconds) * MsPerSecond;
  Settings.Plan.MeanPauseMs = static_cast<std::int64_t>(FLAGS_pause_ms);
  std::stringstream Numbers(FLAGS_only);
  for (std::string Number; std::getline(Numbers, Number, ',');)
    Settings.Only.insert(std::stoul(Number));
  return Settings;
}

std::string commandOf(const soak_settings &Settings) {
  std::string Only;
  for (std::size_t Number : Settings.Only)
    Only += (Only.empty() ? "" : ",") + std::to_string(Number);
  if (Site) {
    std::ostringstream Rate;
    Rate << FLAGS_rate;
    return "soak --site " + FLAGS_site + " --rate " + Rate.str() + " --seed " +
           std::to_string(Settings.Plan.Seed) + " --seconds " +
           std::to_string(FLAGS_seconds) + " --pause_ms " +
           std::to_string(FLAGS_pause_ms) + " --organisations " +
           std::to_string(Settings.Fleet.Organisations) +
           (FLAGS_hold_limits ? "" : " --nohold_limits") +
           (FLAGS_power_loss ? " --power_loss" : "") +
           (FLAGS_lose_disk_set ? " --lose_disk_set" : "") +
           (FLAGS_disk_root.empty() ? "" : " --disk_root " + FLAGS_disk_root) +
           (Only.empty() ? "" : " --only " + Only);
  }
  return "soak --seed " + std::to_string(Settings.Plan.Seed) + " --seconds " +
         std::to_string(FLAGS_seconds) + " --pause_ms " +
         std::to_string(FLAGS_pause_ms) + " --entries " +
         std::to_string(FLAGS_entries) + " --disks " +
         std::to_string(FLAGS_disks) + " --disk_faults " +
         std::to_string(FLAGS_disk_faults) + " --runners " +
         std::to_string(FLAGS_runners) + " --tools " +
         std::to_string(FLAGS_tools) + " --programs " +
         std::to_string(FLAGS_programs) + " --attempts " +
         std::to_string(FLAGS_attempts) + " --organisations " +
         std::to_string(Settings.Fleet.Organisations) +
         (FLAGS_resumable ? " --resumable" : "") +
         (FLAGS_power_loss ? " --power_loss" : "") +
         (FLAGS_lose_disk_set ? " --lose_disk_set" : "") +
         (Only.empty() ? "" : " --only " + Only);
}

enum class verdict { Good, Broken, NoFleet };

verdict printViolations(const oracle &Seen) {
  for (const violation &Row : Seen.violations())
    std::cout << "  " << Row.Rule << ": " << Row.Text << "\n";
  return Seen.violations().empty() ? verdict::Good : verdict::Broken;
}

// What hosts that are held to limits have used.
void printUsage(const fleet_harness::fleet &Fleet) {
  for (const auto &[Name, Usage] : Fleet.usage())
    std::cout << "  " << Name << ": " << Usage.PeakMemoryMb << " MB, "
              << Usage.Cpu.count() << " ms of processor time, held for "
              << Usage.Held.count() << " ms\n";
}

verdict playRestarts(std::uint64_t Seed) {
  soak_settings Settings = settingsFor(Seed);
  restart_series Series({Settings.Fleet, static_cast<int>(FLAGS_restarts),
                         Settings.Programs, Settings.Rate, Seed});
  bool Started = Series.play();
  const restart_counts &Counts = Series.counts();
  std::cout << "seed " << Seed << ": " << Counts.Rounds << " restarts; "
            << Counts.Starts << " starts, " << Counts.Kills << " kills, "
            << Counts.Terms << " SIGTERM, " << Counts.Hangups << " SIGHUP; "
            << Counts.OwnEnds << " own ends, " << Counts.Hangs << " hung, "
            << Counts.NotReady << " not ready\n";
  if (!Started)
    std::cout << "  no fleet: " << lastError().Text << "\n";
  printUsage(Series.fleet());
  verdict Verdict = printViolations(Series.seen());
  return Started ? Verdict : verdict::NoFleet;
}

verdict playOne(const soak_settings &Settings) {
  soak_run Run(Settings);
  if (!Run.play()) {
    std::cerr << "no fleet: " << lastError().Text << "\n";
    return verdict::NoFleet;
  }
  slice Sum = Run.seen().sumSince(milliseconds(0));
  const auto &Violations = Run.seen().violations();
  std::cout << "seed " << Settings.Plan.Seed << ": " << Run.plan().size()
            << " faults, " << Sum.Answered << " answered, " << Sum.Refused
            << " refused, " << Sum.Broken << " broken; "
            << (Violations.empty() ? "no promise broken" : "BROKEN")
            << std::endl;
  printUsage(Run.fleet());
  printViolations(Run.seen());
  if (!Violations.empty())
    std::cout << "  again: " << commandOf(Settings)
              << "\n  timeline: " << Run.timelineFile() << std::endl;
  if (!FLAGS_report.empty() && !writeReport(FLAGS_report, Run, Settings))
    std::cerr << FLAGS_report << ": cannot be written\n";
  return Violations.empty() ? verdict::Good : verdict::Broken;
}

// Takes faults out one by one, as long as the rest still fails.
int minimize(soak_settings Settings) {
  if (Settings.Only.empty())
    for (std::size_t I = 0; I < makePlan(Settings.Plan).size(); ++I)
      Settings.Only.insert(I);
  std::set<std::size_t> Kept = Settings.Only;
  for (std::size_t Number : Settings.Only) {
    if (Kept.size() == 1)
      break;
    soak_settings Fewer = Settings;
    Fewer.Only = Kept;
    Fewer.Only.erase(Number);
    if (playOne(Fewer) == verdict::Broken)
      Kept = Fewer.Only;
  }
  Settings.Only = Kept;
  std::cout << "fewest faults: " << commandOf(Settings) << "\n";
  for (std::size_t Number : Kept)
    std::cout << "  " << describe(makePlan(Settings.Plan)[Number]) << "\n";
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::SetUsageMessage("fault soak over real processes");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  if (FLAGS_bin.empty()) {
    std::string Self = Arguments[0];
    FLAGS_bin = Self.substr(0, Self.rfind('/'));
  }
  if (!FLAGS_site.empty()) {
    findings Findings;
    Site = fleet_harness::site_shape::load(FLAGS_site, Findings);
    std::cerr << Findings.toText();
    if (!Site)
      return 2;
  }
  if (FLAGS_minimize)
    return minimize(settingsFor(FLAGS_seed));
  int Code = 0;
  for (std::uint64_t I = 0; I < FLAGS_runs; ++I) {
    std::uint64_t Seed = FLAGS_seed + I;
    verdict Verdict = Site && FLAGS_restarts > 0 ? playRestarts(Seed)
                                                 : playOne(settingsFor(Seed));
    if (Verdict != verdict::Good)
      Code = Verdict == verdict::NoFleet ? 2 : std::max(Code, 1);
  }
  return Code;
}
