#include "soak.h"

#include "foreign_entries.h"

#include "turmerichead/error.h"

#include <algorithm>
#include <csignal>
#include <memory>

namespace turmerichead::soak {

using fleet_harness::role;
using fleet_harness::route_kind;
using fleet_harness::wallMs;

namespace {

constexpr milliseconds Recovery{12'000};
constexpr milliseconds Measured{3000};
constexpr double LeastAnswered = 0.9;
constexpr milliseconds ApplyTime{3000}; ///< Of a configuration, with contact.
constexpr milliseconds VisitPause{250};
constexpr milliseconds RestartPause{200};
/// An entry host is ready so long after its start.
constexpr milliseconds ReadyBound{10'000};
constexpr milliseconds LeaveTime{3500};

} // namespace

soak_run::soak_run(soak_settings Given)
    : Settings(std::move(Given)), Plan(makePlan(Settings.Plan)),
      Fleet(Settings.Fleet), Oracle(Fleet.shape()) {
  if (!Settings.Only.empty()) {
    std::vector<fault> Kept;
    for (std::size_t I = 0; I < Plan.size(); ++I)
      if (Settings.Only.count(I) > 0)
        Kept.push_back(Plan[I]);
    Plan = std::move(Kept);
  }
  Timeline.open(timelineFile());
}

std::string soak_run::timelineFile() const {
  return Settings.Fleet.Scratch + "/timeline.jsonl";
}

void soak_run::tell(std::string_view What, nlohmann::json Fields) {
  Fields["at_ms"] = now().count();
  Fields["what"] = What;
  Timeline << Fields.dump() << std::endl;
}

void soak_run::after(milliseconds Delay, std::function<void()> Action) {
  Timers.push_back(loop_source::every(std::max(Delay, milliseconds(1)),
                                      [Action = std::move(Action)] {
                                        Action();
                                        return false;
                                      }));
}

// -- The run -----------------------------------------------------------------

bool soak_run::play() {
  if (!Fleet.start())
    return false;
  Start = steadyNow();
  fleet_harness::sound_traffic Traffic(
      Fleet, Settings.Programs, Settings.Plan.Seed,
      [this](const std::string &Entry,
             const fleet_harness::caller_request &Request,
             const fleet_harness::caller_answer &Answer) {
        Oracle.note(now(), Request, Answer, wasCalm(Entry, Answer.Took));
      },
      Settings.Rate);
  if (Settings.Fleet.Organisations > 0)
    Keys.emplace(Fleet, Oracle, Settings.Plan.Seed);
  fleet_harness::foreign_entries Foreign(Fleet, Settings.Plan.Seed);
  if (Settings.LosesDiskSet)
    Foreign.loseDiskSets();
  milliseconds End{0};
  for (const fault &Fault : Plan) {
    ++UnderWay;
    End = std::max(End, milliseconds(Fault.AtMs + Fault.ForMs));
    after(milliseconds(Fault.AtMs), [this, Fault] {
      tell("begins", {{"fault", describe(Fault)}});
      std::vector<std::string> Struck = entriesStruckBy(Fault);
      for (const std::string &Entry : Struck)
        DisturbedUntil[Entry] = steadyNow() + Recovery;
      after(milliseconds(Fault.ForMs),
            [this, Fault, Stop = begin(Fault), Struck = std::move(Struck)] {
              if (Stop)
                Stop();
              // A host that was told to stop ends within its grace.
              bool Stops = Fault.Kind == fault_kind::StopEntry;
              for (const std::string &Entry : Struck)
                DisturbedUntil[Entry] =
                    steadyNow() + (Stops ? Recovery : milliseconds(0));
              tell("ends", {{"fault", describe(Fault)}});
              --UnderWay;
            });
    });
  }
  Fleet.wait(End + Recovery, [this] { return UnderWay == 0; });
  Crashers.clear();
  if (Keys)
    Keys->stopChanges();
  Fleet.pause(Recovery);
  judgeEnd();
  if (Settings.EndsWithFault)
    endWithFault();
  Traffic.stop();
  Fleet.wait(Recovery,
             [&] { return Traffic.ended() && (!Keys || Keys->ended()); });
  if (Traffic.counts().Wrong > 0)
    Oracle.fail("own answers", std::to_string(Traffic.counts().Wrong) +
                                   " answers were not the request's own");
  if (Traffic.counts().Condemned > 0)
    Oracle.fail("sound requests",
                std::to_string(Traffic.counts().Condemned) +
                    " were refused for ends that they did not cause");
  std::vector<fleet_harness::run_line> Runs = Fleet.runs();
  Oracle.judge(Runs);
  Oracle.judgeEnds(Fleet.ends());
  if (Keys)
    Keys->judge(Runs);
  for (const violation &Row : Oracle.violations())
    tell("violation", {{"rule", Row.Rule}, {"text", Row.Text}});
  return true;
}

// After all is over the fleet serves as before.
void soak_run::judgeEnd() {
  for (const std::string &Name : Fleet.names(role::Entry))
    if (!Fleet.waitReady(Name, milliseconds(2000)))
      Oracle.fail("recovery", Name + " is not ready");
  milliseconds From = now();
  std::int64_t KeysFrom = wallMs();
  Fleet.pause(Measured);
  if (Keys)
    Keys->judgeEnd(KeysFrom);
  slice Sum = Oracle.sumSince(From);
  if (Sum.total() == 0 || Sum.Answered < LeastAnswered * Sum.total())
    Oracle.fail("recovery", std::to_string(Sum.Answered) + " of " +
                                std::to_string(Sum.total()) +
                                " requests are answered after all is over");
}

void soak_run::stopAllHosts(std::uint32_t Target) {
  killAll({role::Entry, role::Disk});
  if (!Settings.LosesPower)
    return;
  for (const std::string &Name : Fleet.names(role::Disk))
    Fleet.losePower(Name, Settings.Plan.Seed + Target++);
}

// What a process wrote before it was killed is in its files, but on the disk
// only once somebody has synced it.
void soak_run::killDisksInTurn() {
  constexpr milliseconds DownTime{500};
  constexpr milliseconds CatchUpTime{5000};
  for (const std::string &Name : Fleet.names(role::Disk)) {
    tell("killed", {{"host", Name}});
    Fleet.kill(Name);
    Fleet.pause(DownTime);
    restart(Name);
    Fleet.pause(CatchUpTime);
  }
}

// All hosts are killed right after a configuration was acknowledged.
void soak_run::endWithFault() {
  final_fault Fault = makeFinalFault(Settings.Plan.Seed);
  if (Settings.LosesPower)
    killDisksInTurn();
  slice Before = Oracle.sumSince(now() - Measured);
  Fleet.configure(++Version);
  for (const std::string &Name : Fleet.names(role::Entry))
    DisturbedUntil[Name] = steadyNow() + Recovery;
  tell("final fault",
       {{"loses_disks", Fault.LosesDisks}, {"down_ms", Fault.DownMs}});
  stopAllHosts(Fault.Target);
  for (int I = 0; Fault.LosesDisks && I < Fleet.shape().DiskFaults; ++I)
    Fleet.wipe(pick(role::Disk, Fault.Target + static_cast<std::uint32_t>(I)));
  Fleet.pause(milliseconds(Fault.DownMs));
  for (role Role : {role::Disk, role::Entry})
    for (const std::string &Name : Fleet.names(Role))
      restart(Name);
  tell("all are back", {});
  time_point Back = steadyNow();
  for (const std::string &Name : Fleet.names(role::Entry))
    if (!Fleet.waitReady(Name, Back + ReadyBound - steadyNow()))
      Oracle.fail("start", Name + " is not ready");
  // Requests that were sent before do not count.
  constexpr milliseconds LongestRequest{5500};
  Fleet.pause(Back + Recovery + LongestRequest - steadyNow());
  milliseconds From = now();
  Fleet.pause(Measured);
  slice After = Oracle.sumSince(From);
  tell("after the final fault", {{"answered", After.Answered},
                                 {"of", After.total()},
                                 {"turns", After.Turns},
                                 {"turns_answered", After.TurnsAnswered},
                                 {"answered_before", Before.Answered},
                                 {"of_before", Before.total()}});
  Oracle.judgeRecovery(Before, After);
}

std::vector<recovery> soak_run::recoveries() const {
  constexpr int LeastSeen = 5;
  std::vector<recovery> Result;
  for (const fault &Fault : Plan) {
    milliseconds Over(Fault.AtMs + Fault.ForMs);
    recovery Row{Fault, Over, std::nullopt};
    for (const auto &[Number, Slice] : Oracle.slices()) {
      milliseconds At = Number * oracle::SliceTime;
      bool Well = Slice.total() >= LeastSeen &&
                  Slice.Answered >= LeastAnswered * Slice.total();
      if (At < Over || !Well)
        continue;
      Row.After = At - Over;
      break;
    }
    Result.push_back(Row);
  }
  return Result;
}

// Whether no fault has struck an entry host or its callers' link since
// ApplyTime before a request that has taken \p Took.
bool soak_run::wasCalm(const std::string &Entry, milliseconds Took) const {
  auto Row = DisturbedUntil.find(Entry);
  return Row == DisturbedUntil.end() ||
         steadyNow() - Took > Row->second + ApplyTime;
}

std::vector<std::string> soak_run::entriesStruckBy(const fault &Fault) {
  switch (Fault.Kind) {
  case fault_kind::KillEntry:
  case fault_kind::FreezeEntry:
  case fault_kind::StopEntry:
  case fault_kind::ReplaceEntry:
  case fault_kind::CallersCutOff:
  case fault_kind::CallersSlow:
  case fault_kind::CallersReset:
    return {pick(role::Entry, Fault.Target)};
  case fault_kind::KillAllEntries:
  case fault_kind::KillAllHosts:
    return Fleet.names(role::Entry);
  default:
    return {};
  }
}

// -- Faults ------------------------------------------------------------------

std::string soak_run::pick(role Role, std::uint32_t Target) {
  std::vector<std::string> Names = Fleet.names(Role);
  return Names[Target % Names.size()];
}

void soak_run::restart(const std::string &Name) {
  if (Fleet.find(Name) && !Fleet.isRunning(Name))
    Fleet.startMember(Name);
}

soak_run::ender soak_run::begin(const fault &Fault) {
  if (Fault.Kind <= fault_kind::KillAllHosts)
    return beginHostFault(Fault);
  if (Fault.Kind <= fault_kind::ToolLoses)
    return beginUpstreamFault(Fault);
  if (Fault.Kind <= fault_kind::StoreRefusesOne)
    return beginStoreFault(Fault);
  return beginCallerFault(Fault);
}

// Returns once they have ended, so that each can be started again.
void soak_run::killAll(std::initializer_list<role> Roles) {
  std::vector<std::string> Killed;
  for (role Role : Roles)
    for (const std::string &Name : Fleet.names(Role))
      Killed.push_back(Name);
  for (const std::string &Name : Killed)
    Fleet.signal(Name, SIGKILL);
  for (const std::string &Name : Killed)
    Fleet.kill(Name);
}

soak_run::ender soak_run::freeze(const std::string &Name) {
  Fleet.signal(Name, SIGSTOP);
  ++StoreTroubles;
  return [this, Name] {
    Fleet.signal(Name, SIGCONT);
    --StoreTroubles;
    StoreTroubleUntil = steadyNow() + ApplyTime;
  };
}

soak_run::ender soak_run::stopEntry(const std::string &Name) {
  Fleet.signal(Name, SIGTERM);
  return [this, Name] { restartOnceEnded(Name); };
}

// It ends by itself within its grace.
void soak_run::restartOnceEnded(const std::string &Name) {
  if (!Fleet.isRunning(Name))
    restart(Name);
  else
    after(RestartPause, [this, Name] { restartOnceEnded(Name); });
}

soak_run::ender soak_run::beginHostFault(const fault &Fault) {
  std::string Entry = pick(role::Entry, Fault.Target);
  std::string Disk = pick(role::Disk, Fault.Target);
  switch (Fault.Kind) {
  case fault_kind::KillEntry:
    Fleet.kill(Entry);
    return [this, Entry] { restart(Entry); };
  case fault_kind::FreezeEntry:
    return freeze(Entry);
  case fault_kind::StopEntry:
    return stopEntry(Entry);
  case fault_kind::ReplaceEntry:
    if (Fleet.names(role::Entry).size() > 1)
      Fleet.remove(Entry);
    return [this] { Fleet.addHost(role::Entry); };
  case fault_kind::KillDisk:
    if (Settings.LosesPower && Fault.Target % 2 == 0)
      Fleet.losePower(Disk, Settings.Plan.Seed + Fault.Target);
    else
      Fleet.kill(Disk);
    return [this, Disk] { restart(Disk); };
  case fault_kind::FreezeDisk:
    return freeze(Disk);
  case fault_kind::WipeDisk:
    Fleet.wipe(Disk);
    return [this, Disk] { restart(Disk); };
  default:
    break;
  }
  if (Fault.Kind == fault_kind::KillAllHosts)
    stopAllHosts(Fault.Target);
  else
    killAll({role::Entry});
  return [this] {
    for (role Role : {role::Disk, role::Entry})
      for (const std::string &Name : Fleet.names(Role))
        restart(Name);
  };
}

soak_run::ender soak_run::misbehave(const std::string &Name, const char *What,
                                    double Share) {
  Fleet.order(Name, {{What, Share}});
  bool Slow = std::string_view(What) == "slow_factor";
  return [this, Name, What, Slow] {
    if (Fleet.isRunning(Name))
      Fleet.order(Name, {{What, Slow ? 1.0 : 0.0}});
  };
}

std::string soak_run::upstreamId(const std::string &Name) {
  return "i-" + Name + "-" + std::to_string(Fleet.find(Name)->Starts - 1);
}

// The upstream says that it leaves, serves on, and goes; another comes.
soak_run::ender soak_run::leave(const std::string &Name) {
  fleet_harness::member *Member = Fleet.find(Name);
  if (!Fleet.isRunning(Name) || Member->Stopped || !Member->Restarts)
    return {};
  std::string Id = upstreamId(Name);
  Member->Restarts = false;
  Fleet.order(Name, {{"draining", true}});
  std::int64_t SaidAt = wallMs();
  bool Calm = StoreTroubles == 0 && steadyNow() >= StoreTroubleUntil;
  after(LeaveTime, [this, Name, Id, SaidAt, Calm] {
    bool Still = Calm && StoreTroubles == 0 &&
                 steadyNow() - StoreTroubleUntil >= LeaveTime;
    Oracle.noteLeaving({Id, SaidAt, Still});
    Oracle.noteDisturbed(Id);
    Fleet.signal(Name, SIGKILL);
    Fleet.order("store", {{"remove", {{"kind", "servers"}, {"name", Id}}}});
    after(RestartPause, [this, Name] { restart(Name); });
  });
  return {};
}

soak_run::ender soak_run::beginUpstreamFault(const fault &Fault) {
  constexpr double Some = 0.3;
  constexpr double Slow = 6;
  std::string Runner = pick(role::Runner, Fault.Target);
  std::string Tool = pick(role::Tool, Fault.Target);
  switch (Fault.Kind) {
  case fault_kind::KillRunner:
    Oracle.noteDisturbed(upstreamId(Runner));
    Fleet.signal(Runner, SIGKILL);
    return {};
  case fault_kind::KillTool:
    Oracle.noteDisturbed(upstreamId(Tool));
    Fleet.signal(Tool, SIGKILL);
    return {};
  case fault_kind::FreezeRunner:
    Oracle.noteDisturbed(upstreamId(Runner));
    Fleet.signal(Runner, SIGSTOP);
    return [this, Runner] { Fleet.signal(Runner, SIGCONT); };
  case fault_kind::LeaveRunner:
    return leave(Runner);
  case fault_kind::RunnerErrors:
    return misbehave(Runner, "errors", Some);
  case fault_kind::RunnerLoses:
    return misbehave(Runner, "lost", Some);
  case fault_kind::RunnerHangs:
    return misbehave(Runner, "hang", Some);
  case fault_kind::RunnerEndless:
    return misbehave(Runner, "endless", Some);
  case fault_kind::RunnerSlow:
    return misbehave(Runner, "slow_factor", Slow);
  case fault_kind::RunnerLies:
    Fleet.order(Runner, {{"sick", true}});
    return [this, Runner] { Fleet.order(Runner, {{"sick", false}}); };
  default:
    return misbehave(Tool, "lost", Some);
  }
}

soak_run::ender soak_run::beginStoreFault(const fault &Fault) {
  if (Fault.Kind == fault_kind::StoreForgets) {
    Fleet.order("store", {{"forget_history", true}});
    return {};
  }
  ++StoreTroubles;
  auto Over = [this] {
    --StoreTroubles;
    StoreTroubleUntil = steadyNow() + ApplyTime;
  };
  if (Fault.Kind == fault_kind::StoreRefusesOne) {
    std::string Entry = pick(role::Entry, Fault.Target);
    Fleet.find(Entry)->StoreLink->setCuts(true, true);
    return [this, Entry, Over] {
      if (fleet_harness::member *Member = Fleet.find(Entry))
        Member->StoreLink->setCuts(false, false);
      Over();
    };
  }
  const char *Mood = Fault.Kind == fault_kind::StoreBusy     ? "busy"
                     : Fault.Kind == fault_kind::StoreSilent ? "silent"
                     : Fault.Kind == fault_kind::StoreResets ? "reset"
                                                             : "lossy";
  Fleet.order("store", {{"mood", Mood}});
  ++StoreMoods;
  return [this, Over] {
    Over();
    if (--StoreMoods == 0)
      Fleet.order("store", {{"mood", "fine"}});
  };
}

soak_run::ender soak_run::beginCallerFault(const fault &Fault) {
  if (Fault.Kind == fault_kind::Configure) {
    configure();
    return {};
  }
  if (Fault.Kind == fault_kind::Crasher)
    return crasher();
  std::string Entry = pick(role::Entry, Fault.Target);
  standin::tcp_link &Link = *Fleet.find(Entry)->CallerLink;
  constexpr std::int64_t SlowMs = 150;
  if (Fault.Kind == fault_kind::CallersReset)
    Link.closeAll();
  else if (Fault.Kind == fault_kind::CallersSlow)
    Link.setDelay(SlowMs);
  else
    Link.setCuts(Fault.Target % 2 == 0, true);
  return [this, Entry] {
    if (fleet_harness::member *Member = Fleet.find(Entry)) {
      Member->CallerLink->setDelay(0);
      Member->CallerLink->setCuts(false, false);
    }
  };
}

// -- Configurations ----------------------------------------------------------

void soak_run::configure() {
  if (Fleet.isConfiguring())
    return;
  Fleet.configure(++Version);
  std::uint64_t Mine = Version;
  bool Calm = StoreTroubles == 0 && steadyNow() >= StoreTroubleUntil;
  after(ApplyTime, [this, Mine, Calm] {
    if (!Calm || StoreTroubles > 0 || steadyNow() < StoreTroubleUntil)
      return;
    if (Version == Mine) {
      probeVersion(Mine, true);
      probeVersion(Mine - 1, false);
    }
  });
}

// Asks each host that has run for a while for a version's own route.
void soak_run::probeVersion(std::uint64_t Asked, bool Wanted) {
  for (const std::string &Name : Fleet.names(role::Entry)) {
    const fleet_harness::member &Member = *Fleet.find(Name);
    bool InTouch = Fleet.isRunning(Name) && !Member.Stopped &&
                   steadyNow() - Member.StartedAt > ApplyTime + Recovery;
    if (!InTouch)
      continue;
    fleet_harness::caller_request Request;
    Request.Method = "GET";
    Request.Host = fleet_harness::fleet::versionHost(Asked);
    Request.Path = "/look/slot";
    Request.Caller = Fleet.lastingKey(0);
    Request.TimeLeft = milliseconds(1000);
    std::uint64_t Current = Version;
    send(Fleet, Name, Request,
         [this, Name, Asked, Wanted,
          Current](const fleet_harness::caller_answer &A) {
           if (A.Status == 0 || Current != Version)
             return;
           bool Known = A.Status != http1::status::NotFound;
           if (Known != Wanted)
             Oracle.fail("configuration",
                         Name +
                             (Wanted ? " does not know version "
                                     : " still knows version ") +
                             std::to_string(Asked));
         });
  }
}

// -- Crashers ----------------------------------------------------------------

void soak_run::visit(const fleet_harness::caller_request &Request) {
  std::vector<std::string> Names = Fleet.entriesInTouch();
  if (Names.empty())
    return;
  static std::size_t Next = 0;
  send(Fleet, Names[++Next % Names.size()], Request,
       [](const fleet_harness::caller_answer &) {});
}

soak_run::ender soak_run::crasher() {
  fleet_harness::caller_request Request;
  bool Stream = ++CrasherNumber % 2 == 0;
  // Two forms of four have no body and come under ever new programs.
  bool HasBody = CrasherNumber % 4 < 2;
  route_kind Kind = Stream ? route_kind::Stream : route_kind::Unsafe;
  const fleet_harness::route_shape *Route = Fleet.shape().findRoute(Kind);
  if (!Route)
    return {};
  Request.Host = Route->Host;
  Request.Path = Route->Path;
  Request.Caller = Fleet.lastingKey(CrasherNumber);
  Request.Program = "crasher-" + std::to_string(CrasherNumber);
  Request.CrashMark = "crash-midway " + Request.Program;
  if (HasBody)
    Request.Body = Request.CrashMark + "\n";
  else
    Request.SourceIp = "127.0.8." + std::to_string(CrasherNumber);
  int Visits = 0;
  Crashers.push_back(loop_source::every(
      VisitPause, [this, Request, HasBody, Visits]() mutable {
        fleet_harness::caller_request Sent = Request;
        if (!HasBody)
          Sent.Program += "-" + std::to_string(++Visits);
        visit(Sent);
        return true;
      }));
  return {}; // It comes until all else is over.
}

} // namespace turmerichead::soak
