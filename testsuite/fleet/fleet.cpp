#include "fleet.h"

#include "fleet_pvt.h"
#include "turmerichead/error.h"

#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>

namespace turmerichead::fleet_harness {

using nlohmann::json;

namespace {

constexpr milliseconds StartBound{20000};
constexpr milliseconds ReviveInterval{50};
// Of a recorded disk.
constexpr milliseconds SyncTime{5};

// In the child. \p Data has the limit of descriptors; 0: none.
void prepareChild(gpointer Data) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  auto Descriptors = static_cast<rlim_t>(GPOINTER_TO_SIZE(Data));
  rlimit Limit = {Descriptors, Descriptors};
  if (Descriptors > 0)
    setrlimit(RLIMIT_NOFILE, &Limit);
}

/// Takes relays out of use. Operations of theirs may still be under way, so
/// that they are kept until the process ends.
void retire(member &Member) {
  static std::vector<std::unique_ptr<standin::tcp_link>> Retired;
  for (auto *Link : {&Member.CallerLink, &Member.StoreLink})
    if (*Link) {
      (*Link)->closeAll();
      Retired.push_back(std::move(*Link));
    }
}

} // namespace

fleet::fleet(fleet_settings Given)
    : Settings(std::move(Given)),
      Shape(Settings.Site ? *Settings.Site : usualShape(Settings)),
      Limits([this](const std::string &Name) {
        if (member *Member = find(Name))
          Member->End->OverMemory = true;
      }),
      Http(http1::client::create({})) {
  static unsigned Fleets = 0;
  Number = Fleets++;
  std::error_code Ignored;
  std::filesystem::remove_all(Settings.Scratch, Ignored);
  std::filesystem::create_directories(Settings.Scratch, Ignored);
}

fleet::~fleet() {
  Reviver.reset();
  for (auto &[Name, Member] : Members) {
    if (Member.Process)
      g_subprocess_force_exit(Member.Process.get());
    retire(Member);
  }
  std::error_code Ignored;
  if (!Settings.DiskRoot.empty())
    std::filesystem::remove_all(diskRoot(), Ignored);
}

// -- Members -----------------------------------------------------------------

member &fleet::place(const std::string &Name, role Role) {
  auto [Row, New] = Members.try_emplace(Name);
  member &Member = Row->second;
  if (New) {
    // Apart for each run, and for each fleet of a run: what a relay of an
    // earlier one holds open stays open.
    auto Pid = static_cast<unsigned>(getpid());
    constexpr unsigned FirstNet = 16;
    constexpr unsigned Nets = 200;
    constexpr unsigned Step = 37;
    unsigned Net = FirstNet + ((Pid >> 8U) + Number * Step) % Nets;
    Member.Name = Name;
    Member.Role = Role;
    Member.Ip = "127." + std::to_string(Net) + "." +
                std::to_string(Pid & 0xffU) + "." + std::to_string(NextIp++);
  }
  return Member;
}

member *fleet::find(const std::string &Name) {
  auto Row = Members.find(Name);
  return Row == Members.end() ? nullptr : &Row->second;
}

std::vector<std::string> fleet::names(role Role) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Member] : Members)
    if (Member.Role == Role)
      Names.push_back(Name);
  return Names;
}

bool fleet::isRunning(const std::string &Name) {
  member *Member = find(Name);
  return Member && Member->Process &&
         g_subprocess_get_identifier(Member->Process.get()) != nullptr;
}

std::string fleet::callerAddress(const std::string &Entry) {
  int Port = Settings.Links ? CallerLinkPort : CallerPort;
  return find(Entry)->Ip + ":" + std::to_string(Port);
}

std::string fleet::addressOf(const std::string &Name, host_port Port) {
  int Number = ReadyPort;
  if (Port == host_port::Peer)
    Number = FirstPeerPort;
  if (Port == host_port::Tunnel)
    Number = FirstPeerPort + 1;
  if (Port == host_port::Metrics)
    Number = MetricsPort;
  return find(Name)->Ip + ":" + std::to_string(Number);
}

bool fleet::takesSignals(const std::string &Name) {
  std::ifstream File("/proc/" + std::to_string(pidOf(Name)) + "/status");
  constexpr int Base = 16;
  // Signals from 32 on are the C library's, which sets them before main().
  constexpr std::uint64_t StandardSignals = (std::uint64_t(1) << 31U) - 1;
  for (std::string Line; std::getline(File, Line);)
    for (std::string_view Key : {"SigIgn:", "SigCgt:"})
      if (Line.starts_with(Key) &&
          (std::stoull(Line.substr(Key.size()), nullptr, Base) &
           StandardSignals) != 0)
        return true;
  return false;
}

int fleet::pidOf(const std::string &Name) {
  return isRunning(Name)
             ? std::atoi(g_subprocess_get_identifier(find(Name)->Process.get()))
             : 0;
}

http1::client &fleet::httpFrom(const std::string &SourceIp) {
  if (SourceIp.empty())
    return http();
  auto Row = SourceClients.find(SourceIp);
  if (Row == SourceClients.end()) {
    http1::client_settings From;
    From.SourceAddress = SourceIp + ":0";
    Row = SourceClients.emplace(SourceIp, *http1::client::create(From)).first;
  }
  return Row->second;
}

std::string fleet::storeAddress(const member &Member) const {
  if (Member.StoreLink)
    return Member.Ip + ":" + std::to_string(StoreLinkPort);
  return Members.at("store").Ip + ":" + std::to_string(StorePort);
}

bool fleet::openLinks(member &Member) {
  bool Host = Member.Role == role::Entry || Member.Role == role::Disk;
  if (!Settings.Links || !Host || Member.StoreLink)
    return true;
  Member.StoreLink = standin::tcp_link::create(
      {Member.Ip, StoreLinkPort, Members.at("store").Ip, StorePort});
  if (Member.Role == role::Entry)
    Member.CallerLink = standin::tcp_link::create(
        {Member.Ip, CallerLinkPort, Member.Ip, CallerPort});
  return Member.StoreLink && (Member.Role == role::Disk || Member.CallerLink);
}

std::vector<std::string> fleet::entriesInTouch() {
  std::vector<std::string> Names = names(role::Entry);
  std::erase_if(Names, [&](const std::string &Name) {
    return !isRunning(Name) || find(Name)->Stopped;
  });
  return Names;
}

// -- Processes ---------------------------------------------------------------

std::vector<std::string> fleet::commandOf(member &Member) {
  std::string Store = Members.at("store").Ip + ":" + std::to_string(StorePort);
  switch (Member.Role) {
  case role::Store:
    return {Settings.Bin + "/standin_store", "--address=" + Store,
            "--control=" + Member.Ip + ":" + std::to_string(StoreControlPort)};
  case role::Entry:
    return {Member.UsesOther ? Settings.OtherDaemon
                             : Settings.Bin + "/turmerichead",
            "--platform"};
  case role::Disk:
    if (!Member.UsesOther && Settings.RecordsDisks)
      return {Settings.Bin + "/turmerichead_recorded", "--platform"};
    return {Member.UsesOther ? Settings.OtherDaemon
                             : Settings.Bin + "/turmerichead",
            "--platform"};
  case role::Runner:
  case role::Tool:
    break;
  }
  const service_shape &Service = *Shape.findService(Member.Service);
  return {Settings.Bin + "/standin_upstream",
          "--id=i-" + Member.Name + "-" + std::to_string(Member.Starts),
          "--address=" + Member.Ip + ":" + std::to_string(UpstreamPort),
          "--store=" + Store,
          "--service=" + Service.Name,
          "--data_centre=" + Member.DataCentre,
          "--runs=" + Settings.Scratch + "/runs.jsonl",
          std::string("--streams=") + (Service.Streams ? "true" : "false"),
          "--slots=" + std::to_string(Service.Slots),
          "--events=" + std::to_string(Service.Events),
          "--gap_ms=" + std::to_string(Service.EventGap.count()),
          "--answer_bytes=" + std::to_string(Service.AnswerBytes),
          "--long_answers_to=" + Settings.LongAnswersTo,
          "--seed=" + std::to_string(Settings.Seed + NextIp)};
}

bool fleet::spawn(member &Member, bool Fresh) {
  if (!openLinks(Member))
    return false;
  std::vector<std::string> Command = commandOf(Member);
  ++Member.Starts;
  Member.StartedAt = steadyNow();
  Member.EndedAt = {};
  Member.Stopped = false;
  Member.Restarts = Member.Role == role::Runner || Member.Role == role::Tool;
  auto Launcher = handle<GSubprocessLauncher>::adopt(
      g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDERR_MERGE));
  // One file for each start, so that what a killed process said is kept.
  std::string Log = Settings.Scratch + "/" + Member.Name + "." +
                    std::to_string(Member.Starts) + ".log";
  g_subprocess_launcher_set_stdout_file_path(Launcher.get(), Log.c_str());
  std::size_t Descriptors =
      Settings.HoldsLimits ? Member.Limits.FileDescriptors : 0;
  g_subprocess_launcher_set_child_setup(Launcher.get(), prepareChild,
                                        GSIZE_TO_POINTER(Descriptors), nullptr);
  if (Member.Role == role::Entry || Member.Role == role::Disk)
    g_subprocess_launcher_setenv(Launcher.get(), "TURMERICHEAD_CONFIG",
                                 writeSettings(Member, Fresh).c_str(), TRUE);
  if (Member.Role == role::Disk && Settings.RecordsDisks) {
    g_subprocess_launcher_setenv(Launcher.get(), disk_standin::FolderVariable,
                                 diskFolder(Member.Name).c_str(), TRUE);
    g_subprocess_launcher_setenv(Launcher.get(), disk_standin::JournalVariable,
                                 journalOf(Member.Name).c_str(), TRUE);
    g_subprocess_launcher_setenv(Launcher.get(), disk_standin::SyncTimeVariable,
                                 std::to_string(SyncTime.count()).c_str(),
                                 TRUE);
  }
  std::vector<const char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(Argument.c_str());
  Arguments.push_back(nullptr);
  GError *Reason = nullptr;
  Member.Process = handle<GSubprocess>::adopt(
      g_subprocess_launcher_spawnv(Launcher.get(), Arguments.data(), &Reason));
  if (!Member.Process) {
    fail(error_code::Unavailable, takeText(Reason));
    return false;
  }
  watchEnd(Member);
  bool Host = Member.Role == role::Entry || Member.Role == role::Disk;
  if (Host && Settings.HoldsLimits)
    Limits.add(Member.Name, pidOf(Member.Name), Member.Limits);
  return true;
}

// Notes how the process of \p Member ends.
void fleet::watchEnd(member &Member) {
  struct watch {
    fleet &Fleet;
    std::weak_ptr<const bool> Alive;
    std::shared_ptr<process_end> End;
    time_point StartedAt;
  };
  Member.End = std::make_shared<process_end>();
  Member.End->Name = Member.Name;
  Member.End->Role = Member.Role;
  Member.End->Start = Member.Starts;
  auto *Watch = new watch{*this, Alive, Member.End, Member.StartedAt};
  g_subprocess_wait_async(
      Member.Process.get(), nullptr,
      [](GObject *Source, GAsyncResult *Result, gpointer Data) {
        std::unique_ptr<watch> Watch(static_cast<watch *>(Data));
        GSubprocess *Process = G_SUBPROCESS(Source);
        g_subprocess_wait_finish(Process, Result, nullptr);
        if (Watch->Alive.expired())
          return;
        process_end &End = *Watch->End;
        End.AtMs = wallMs();
        End.Age = steadyNow() - Watch->StartedAt;
        if (g_subprocess_get_if_exited(Process))
          End.Status = g_subprocess_get_exit_status(Process);
        else
          End.Signal = g_subprocess_get_term_sig(Process);
        Watch->Fleet.noteEnd(Watch->End);
      },
      Watch);
}

void fleet::noteEnd(const std::shared_ptr<process_end> &End) {
  const member *Member = find(End->Name);
  if (Member && Member->End == End)
    Limits.remove(End->Name);
  Ends.push_back(*End);
}

void fleet::useOther(const std::string &Name, bool UsesOther) {
  role Role = Name.starts_with("disk") ? role::Disk : role::Entry;
  place(Name, Role).UsesOther = UsesOther;
}

bool fleet::startMember(const std::string &Name, bool Fresh) {
  member *Member = find(Name);
  return Member && !isRunning(Name) && spawn(*Member, Fresh);
}

std::string fleet::addHost(role Role) {
  bool Entry = Role == role::Entry;
  int Number = NextNumber[Role]++;
  std::string Name = numbered(Entry ? "entry" : "disk", Number);
  member &Member = place(Name, Role);
  auto Count = static_cast<int>(Shape.DataCentres.size());
  Member.DataCentre =
      Shape.DataCentres[static_cast<std::size_t>(Number % Count)];
  Member.Limits = (Entry ? Shape.Entries : Shape.Disks).front().Limits;
  spawn(Member, false);
  return Name;
}

void fleet::remove(const std::string &Name) {
  kill(Name);
  retire(Members.at(Name));
  Members.erase(Name);
}

void fleet::signal(const std::string &Name, int Number) {
  member *Member = find(Name);
  if (!isRunning(Name))
    return;
  if (Number == SIGKILL || Number == SIGTERM)
    Member->End->Asked = Number;
  g_subprocess_send_signal(Member->Process.get(), Number);
  if (Number != SIGSTOP && Number != SIGCONT)
    return;
  Member->Stopped = Number == SIGSTOP;
  Limits.setFrozen(Name, Member->Stopped);
}

void fleet::kill(const std::string &Name) {
  signal(Name, SIGKILL);
  wait(StartBound, [&] { return !isRunning(Name); });
}

void fleet::wipe(const std::string &Name) {
  kill(Name);
  std::error_code Ignored;
  std::filesystem::remove_all(diskFolder(Name), Ignored);
  std::filesystem::remove(journalOf(Name), Ignored);
}

std::string fleet::journalOf(const std::string &Name) const {
  return diskFolder(Name) + ".journal";
}

void fleet::losePower(const std::string &Name, std::uint64_t Seed,
                      std::optional<disk_standin::power_loss> Kind) {
  using disk_standin::power_loss;
  kill(Name);
  if (find(Name)->Role != role::Disk || !Settings.RecordsDisks)
    return;
  std::mt19937_64 Random(Seed);
  if (!Kind)
    Kind = Random() % 4 == 0 ? power_loss::KeepsNone : power_loss::KeepsSome;
  disk_standin::disk_image Disk =
      disk_standin::readJournal(diskFolder(Name), journalOf(Name));
  Disk.losePower(Random, *Kind);
  disk_standin::writeJournal(Disk, journalOf(Name));
}

void fleet::setDiskFull(const std::string &Name, bool IsFull) {
  std::string Mark = journalOf(Name) + disk_standin::FullSuffix;
  std::error_code Ignored;
  if (IsFull)
    std::ofstream(Mark) << "full";
  else
    std::filesystem::remove(Mark, Ignored);
}

// Upstreams that have ended by themselves come back under a new id.
void fleet::reviveUpstreams() {
  time_point Now = steadyNow();
  for (auto &[Name, Member] : Members) {
    if (!Member.Restarts || isRunning(Name))
      continue;
    if (Member.EndedAt.Ms == 0)
      Member.EndedAt = Now;
    else if (Now - Member.EndedAt >= Settings.UpstreamBack)
      spawn(Member, false);
  }
}

// -- The whole ---------------------------------------------------------------

void fleet::placeHosts(role Role, const std::vector<host_group> &Groups) {
  const char *Prefix = Role == role::Entry ? "entry" : "disk";
  for (const host_group &Group : Groups)
    for (int I = 0; I < Group.Count; ++I) {
      member &Member = place(numbered(Prefix, NextNumber[Role]++), Role);
      Member.DataCentre = Group.DataCentre;
      Member.Limits = Group.Limits;
    }
}

void fleet::placeUpstreams(const service_shape &Service) {
  role Role = Service.Streams ? role::Runner : role::Tool;
  const char *Prefix = Service.Streams ? "runner" : "tool";
  for (const upstream_group &Group : Service.Upstreams)
    for (int I = 0; I < Group.Count; ++I) {
      member &Member = place(numbered(Prefix, NextNumber[Role]++), Role);
      Member.DataCentre = Group.DataCentre;
      Member.Service = Service.Name;
    }
}

bool fleet::start() {
  place("store", role::Store);
  placeHosts(role::Entry, Shape.Entries);
  placeHosts(role::Disk, Shape.Disks);
  for (const service_shape &Service : Shape.Services)
    placeUpstreams(Service);
  if (!spawn(Members.at("store"), true))
    return false;
  pause(milliseconds(100));
  configure(1);
  for (auto &[Name, Member] : Members)
    if (Member.Role != role::Store && !spawn(Member, true))
      return false;
  Reviver = loop_source::every(ReviveInterval, [this] {
    reviveUpstreams();
    return true;
  });
  for (const std::string &Name : names(role::Entry))
    if (!waitReady(Name, StartBound)) {
      fail(error_code::Timeout, Name + " does not get ready");
      return false;
    }
  // Ready means that some upstreams are known; the rest come in a moment.
  pause(milliseconds(500));
  return true;
}

bool fleet::waitReady(const std::string &Entry, milliseconds Bound) {
  std::string Address = find(Entry)->Ip + ":" + std::to_string(ReadyPort);
  struct question {
    int Status = 0;
    bool Waiting = false;
  };
  // An answer's end may come after this function's.
  auto Question = std::make_shared<question>();
  return wait(Bound, [&] {
    if (Question->Status == http1::status::Ok || Question->Waiting)
      return Question->Status == http1::status::Ok;
    Question->Waiting = true;
    http1::call_request Request;
    Request.Address = Address;
    Request.Method = "GET";
    Request.Target = "/readiness";
    http().call(std::move(Request),
                {[Question](const http1::response_head &Head) {
                   Question->Status = Head.Status;
                 },
                 [](std::string_view) {},
                 [Question](const http1::call_result &) {
                   Question->Waiting = false;
                 }});
    return false;
  });
}

std::int64_t fleet::order(const std::string &Name, const json &Order) {
  return ask(Name, Order).AtMs;
}

order_reply fleet::ask(const std::string &Name, const json &Order) {
  member *Member = find(Name);
  http1::call_request Request;
  int Port = Member->Role == role::Store ? StoreControlPort : UpstreamPort;
  Request.Address = Member->Ip + ":" + std::to_string(Port);
  Request.Method = "POST";
  Request.Target = "/control";
  Request.Body.push_back(Order.dump());
  bool Done = false;
  order_reply Reply;
  std::string Text;
  auto Id =
      http().call(std::move(Request),
                  {[](const http1::response_head &) {},
                   [&](std::string_view Bytes) { Text += Bytes; },
                   [&](const http1::call_result &Result) {
                     Done = true;
                     if (Result.Outcome == http1::call_outcome::Complete)
                       Reply = {wallMs(), json::parse(Text, nullptr, false)};
                   }});
  if (!wait(milliseconds(3000), [&] { return Done; }))
    http().cancel(Id);
  return Reply;
}

bool fleet::wait(milliseconds Bound, const std::function<bool()> &Reached) {
  time_point End = steadyNow() + Bound;
  auto Tick = loop_source::every(milliseconds(5), [] { return true; });
  while (!Reached()) {
    if (steadyNow() >= End)
      return false;
    g_main_context_iteration(nullptr, TRUE);
  }
  return true;
}

void fleet::pause(milliseconds Time) {
  wait(Time, [] { return false; });
}

} // namespace turmerichead::fleet_harness
