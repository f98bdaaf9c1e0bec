#include "fleet.h"

#include "turmerichead/error.h"

#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace turmerichead::fleet_harness {

using nlohmann::json;

namespace {

constexpr int StorePort = 8142;
constexpr int StoreControlPort = 8143;
constexpr int CallerPort = 8149;
constexpr int CallerLinkPort = 8150;
constexpr int StoreLinkPort = 8151;
constexpr int ReadyPort = 8141;
constexpr int ControlPort = 8144;
constexpr int FirstPeerPort = 7380;
constexpr int LastPeerPort = 7395;
constexpr int MetricsPort = 9464;
constexpr int UpstreamPort = 8500;
constexpr milliseconds StartBound{20000};
constexpr milliseconds ReviveInterval{50};

void dieWithParent(gpointer /*Data*/) { prctl(PR_SET_PDEATHSIG, SIGKILL); }

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

std::string numbered(const char *Prefix, int Number) {
  return std::string(Prefix) + "-" + std::to_string(Number);
}

json routeOf(const char *Name, const char *Host, const char *Path,
             const char *Kind, const char *Service, int Attempts) {
  constexpr int TimeoutMs = 4000;
  return {{"name", Name},
          {"host", Host},
          {"path_prefix", Path},
          {"kind", Kind},
          {"service", Service},
          {"attempts", Attempts},
          {"priority", 0},
          {"timeout_ms", TimeoutMs},
          {"target_latency_ms", 500}};
}

} // namespace

std::int64_t wallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void crash_record::add(const run_line &Line) {
  if (Line.What == "crash")
    Ends.push_back(Line.AtMs);
  if (Line.What == "run")
    Sends.push_back(Line.AtMs);
}

std::ptrdiff_t crash_record::lateSends() const {
  constexpr std::size_t MaxEnds = 3;
  constexpr std::int64_t ContactMs = 3000;
  if (Ends.size() < MaxEnds)
    return 0;
  std::int64_t Third = Ends[MaxEnds - 1];
  return std::count_if(Sends.begin(), Sends.end(),
                       [&](std::int64_t At) { return At > Third + ContactMs; });
}

fleet::fleet(fleet_settings Given)
    : Settings(std::move(Given)), Http(http1::client::create({})) {
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

std::string fleet::dataCentreOf(const std::string &Name) const {
  int Number = std::stoi(Name.substr(Name.rfind('-') + 1));
  return numbered("dc", Number % Settings.DataCentres);
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

std::string fleet::writeSettings(const member &Member, bool Fresh) const {
  bool Disk = Member.Role == role::Disk;
  json Seeds = json::array();
  for (const auto &[Name, Other] : Members)
    if (Other.Role == role::Entry && Seeds.size() < 3)
      Seeds.push_back(Other.Ip + ":" + std::to_string(ControlPort));
  auto At = [&](int Port) { return Member.Ip + ":" + std::to_string(Port); };
  std::string Folder = Settings.Scratch + "/" + Member.Name + ".disk";
  std::error_code Ignored;
  if (Disk)
    std::filesystem::create_directories(Folder, Ignored);
  json Limits = {{"disk_mb", Disk ? 200 : 0}};
  if (Settings.MemoryMb > 0)
    Limits["memory_mb"] = Settings.MemoryMb;
  if (Settings.FileDescriptors > 0)
    Limits["file_descriptors"] = Settings.FileDescriptors;
  json Root = {
      {"node_name", Member.Name},
      {"serves", {Disk ? "storage" : "front"}},
      {"ip_address", Member.Ip},
      {"zone", dataCentreOf(Member.Name)},
      {"listen", {{"front", At(CallerPort)}, {"ready", At(ReadyPort)}}},
      {"internal_port_range", {FirstPeerPort, LastPeerPort}},
      {"seeds", Seeds},
      {"bootstrap", Fresh},
      {"limits", Limits},
      {"data_directory", Disk ? json(Folder) : json()},
      {"fault_tolerance", {{"machines", Settings.DiskFaults}}},
      {"bounds", {{"grace_s", 8}}},
      {"platform", {{"address", storeAddress(Member)}}}};
  if (Settings.Organisations > 0) {
    Root["bounds"]["strict_revocation"] = true;
    Root["bounds"]["revoke_ms"] = Settings.RevocationTime.count();
  }
  std::string File = Settings.Scratch + "/" + Member.Name + ".json";
  std::ofstream(File) << Root.dump(2);
  return File;
}

std::vector<std::string> fleet::commandOf(member &Member) {
  std::string Store = Members.at("store").Ip + ":" + std::to_string(StorePort);
  switch (Member.Role) {
  case role::Store:
    return {Settings.Bin + "/standin_store", "--address=" + Store,
            "--control=" + Member.Ip + ":" + std::to_string(StoreControlPort)};
  case role::Entry:
  case role::Disk:
    return {Member.UsesOther ? Settings.OtherDaemon
                             : Settings.Bin + "/turmerichead",
            "--platform"};
  case role::Runner:
  case role::Tool:
    break;
  }
  bool Runner = Member.Role == role::Runner;
  // A plain answer has the limit of bodies.
  std::size_t AnswerBytes =
      Runner ? Settings.AnswerBytes
             : std::min(Settings.AnswerBytes, Settings.BodyBytes - 64);
  return {Settings.Bin + "/standin_upstream",
          "--id=i-" + Member.Name + "-" + std::to_string(Member.Starts),
          "--address=" + Member.Ip + ":" + std::to_string(UpstreamPort),
          "--store=" + Store,
          std::string("--service=") + (Runner ? "llm" : "book"),
          "--data_centre=" + dataCentreOf(Member.Name),
          "--runs=" + Settings.Scratch + "/runs.jsonl",
          std::string("--streams=") + (Runner ? "true" : "false"),
          "--events=" + std::to_string(Settings.RunnerEvents),
          "--gap_ms=" + std::to_string(Settings.EventGap.count()),
          "--answer_bytes=" + std::to_string(AnswerBytes),
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
  g_subprocess_launcher_set_child_setup(Launcher.get(), dieWithParent, nullptr,
                                        nullptr);
  if (Member.Role == role::Entry || Member.Role == role::Disk)
    g_subprocess_launcher_setenv(Launcher.get(), "TURMERICHEAD_CONFIG",
                                 writeSettings(Member, Fresh).c_str(), TRUE);
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
  return true;
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
  std::string Name =
      numbered(Role == role::Entry ? "entry" : "disk", NextNumber[Role]++);
  spawn(place(Name, Role), false);
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
  g_subprocess_send_signal(Member->Process.get(), Number);
  if (Number == SIGSTOP || Number == SIGCONT)
    Member->Stopped = Number == SIGSTOP;
}

void fleet::kill(const std::string &Name) {
  signal(Name, SIGKILL);
  wait(StartBound, [&] { return !isRunning(Name); });
}

void fleet::wipe(const std::string &Name) {
  kill(Name);
  std::error_code Ignored;
  std::filesystem::remove_all(Settings.Scratch + "/" + Name + ".disk", Ignored);
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

bool fleet::start() {
  place("store", role::Store);
  for (int I = 0; I < Settings.Entries; ++I)
    place(numbered("entry", I), role::Entry);
  for (int I = 0; I < Settings.Disks; ++I)
    place(numbered("disk", I), role::Disk);
  NextNumber[role::Entry] = Settings.Entries;
  NextNumber[role::Disk] = Settings.Disks;
  for (int I = 0; I < Settings.Runners; ++I)
    place(numbered("runner", I), role::Runner);
  for (int I = 0; I < Settings.Tools; ++I)
    place(numbered("tool", I), role::Tool);
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
  member *Member = find(Name);
  http1::call_request Request;
  int Port = Member->Role == role::Store ? StoreControlPort : UpstreamPort;
  Request.Address = Member->Ip + ":" + std::to_string(Port);
  Request.Method = "POST";
  Request.Target = "/control";
  Request.Body.push_back(Order.dump());
  bool Done = false;
  std::int64_t AnsweredAt = 0;
  auto Id =
      http().call(std::move(Request),
                  {[](const http1::response_head &) {}, [](std::string_view) {},
                   [&](const http1::call_result &Result) {
                     Done = true;
                     if (Result.Outcome == http1::call_outcome::Complete)
                       AnsweredAt = wallMs();
                   }});
  if (!wait(milliseconds(3000), [&] { return Done; }))
    http().cancel(Id);
  return AnsweredAt;
}

std::string fleet::versionHost(std::uint64_t Routes) {
  return "v" + std::to_string(Routes) + ".example";
}

std::string fleet::organisation(std::size_t Number) const {
  auto Count = static_cast<std::size_t>(Settings.Organisations);
  return Count == 0 ? "" : "org-" + std::to_string(Number % Count);
}

organisation_key fleet::lastingKey(std::size_t Caller) const {
  std::string Organisation = organisation(Caller);
  return {Organisation,
          Organisation.empty() ? "" : KeyPrefix + Organisation + "-lasting"};
}

void fleet::configure(std::uint64_t NewRoutes) {
  Routes = NewRoutes;
  putConfiguration();
}

std::int64_t fleet::putKeys(std::vector<organisation_key> Keys) {
  AddedKeys = std::move(Keys);
  return putConfiguration();
}

json fleet::organisationsToJson() const {
  json Rows = json::array();
  for (int I = 0; I < Settings.Organisations; ++I) {
    organisation_key Lasting = lastingKey(static_cast<std::size_t>(I));
    json Keys = {Lasting.Key};
    for (const organisation_key &Key : AddedKeys)
      if (Key.Organisation == Lasting.Organisation)
        Keys.push_back(Key.Key);
    Rows.push_back({{"name", Lasting.Organisation}, {"api_keys", Keys}});
  }
  return Rows;
}

std::int64_t fleet::putConfiguration() {
  std::string Own = versionHost(Routes);
  constexpr int RetentionS = 30;
  int Attempts = Settings.Attempts;
  json Plan = routeOf("plan", PlanHost, "/", "streaming", "llm", Attempts);
  Plan["retain_context"] = !Settings.Resumable;
  Plan["resumable"] = Settings.Resumable;
  Plan["retention_s"] = RetentionS;
  json Spec = {
      {"version", ++ConfigVersion},
      {"routes",
       {Plan, routeOf("own", Own.c_str(), "/look/", "safe", "book", Attempts),
        routeOf("look", ToolHost, "/look/", "safe", "book", Attempts),
        routeOf("book", ToolHost, "/book/", "unsafe", "book", Attempts)}},
      {"services",
       {{{"name", "llm"},
         {"connection_limit", 200},
         {"engine", {{"tokens_per_event", 1}}}},
        {{"name", "book"}, {"connection_limit", 200}}}},
      {"limits",
       {{"header_bytes", 16384},
        {"body_bytes", Settings.BodyBytes},
        {"header_timeout_ms", Settings.HeaderTimeout.count()},
        {"idle_timeout_ms", Settings.IdleTimeout.count()}}}};
  if (Settings.Organisations > 0)
    Spec["tenants"] = organisationsToJson();
  Configuring = true;
  std::int64_t At =
      order("store",
            {{"put", {{"kind", "config"}, {"name", "main"}, {"spec", Spec}}}});
  Configuring = false;
  return At;
}

std::vector<run_line> fleet::runs() const {
  std::vector<run_line> Lines;
  std::ifstream File(Settings.Scratch + "/runs.jsonl");
  for (std::string Text; std::getline(File, Text);) {
    json Line = json::parse(Text, nullptr, false);
    if (!Line.is_object())
      continue;
    Lines.push_back(
        {Line.value("at", std::int64_t(0)), Line.value("upstream", ""),
         Line.value("service", ""), Line.value("what", ""),
         Line.value("attempt", ""), Line.value("crash", ""),
         Line.value("input", ""), Line.value("left_ms", std::int64_t(-1)),
         Line.value("organisation", ""), Line.value("has_key", false)});
  }
  return Lines;
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
