/// \file
/// Stand-ins and tools that the review's scripts share: the platform's store,
/// runners, a client, and processes of the project. All in one process with
/// blocking sockets, one thread for each connection.
#pragma once

#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using nlohmann::json;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const clock_type::time_point Start = clock_type::now();

/// Milliseconds since the start of the script.
inline std::int64_t nowMs() {
  return std::chrono::duration_cast<milliseconds>(clock_type::now() - Start)
      .count();
}
inline void sleepMs(std::int64_t Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(milliseconds(Ms));
}
inline void sleepUntil(std::int64_t AtMs) { sleepMs(AtMs - nowMs()); }

// -- The record ---------------------------------------------------------------

inline std::mutex RecordLock;
inline std::FILE *RecordFile = nullptr;

/// Adds a line to record.txt.
inline void note(const std::string &Text) {
  std::lock_guard Guard(RecordLock);
  std::string Line = std::to_string(nowMs()) + " ms  " + Text + "\n";
  std::fputs(Line.c_str(), stdout);
  std::fflush(stdout);
  if (RecordFile) {
    std::fputs(Line.c_str(), RecordFile);
    std::fflush(RecordFile);
  }
}

// -- Sockets and HTTP/1.1 -----------------------------------------------------

inline sockaddr_in addressOf(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1))));
  inet_pton(AF_INET, Text.substr(0, Colon).c_str(), &Address.sin_addr);
  return Address;
}

inline int connectTo(const std::string &Address) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &One, sizeof(One));
  sockaddr_in Target = addressOf(Address);
  if (connect(Socket, reinterpret_cast<sockaddr *>(&Target), sizeof(Target)) ==
      0)
    return Socket;
  close(Socket);
  return -1;
}

inline bool sendAll(int Socket, const std::string &Bytes) {
  std::size_t At = 0;
  while (At < Bytes.size()) {
    ssize_t Count =
        send(Socket, Bytes.data() + At, Bytes.size() - At, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    At += static_cast<std::size_t>(Count);
  }
  return true;
}

/// A message: a request or a response.
struct message {
  std::string First;                          ///< The first line.
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
  bool Complete = false; ///< The body has ended as its framing says.
  std::string get(const std::string &Name) const {
    auto Row = Headers.find(Name);
    return Row == Headers.end() ? std::string() : Row->second;
  }
  int status() const {
    return First.size() > 12 ? std::atoi(First.c_str() + 9) : 0;
  }
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const {
    std::size_t From = First.find(' ') + 1;
    return First.substr(From, First.find(' ', From) - From);
  }
};

/// Reads messages from a socket. \p LimitMs: longest wait for bytes.
class reader {
public:
  explicit reader(int Socket, int LimitMs = 600000)
      : Socket(Socket), LimitMs(LimitMs) {}

  bool fill() {
    pollfd Poll{Socket, POLLIN, 0};
    if (poll(&Poll, 1, LimitMs) != 1)
      return false;
    char Bytes[65536];
    ssize_t Count = recv(Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return false;
    Input.append(Bytes, static_cast<std::size_t>(Count));
    return true;
  }

  std::optional<std::string> line() {
    std::size_t End = 0;
    while ((End = Input.find("\r\n")) == std::string::npos)
      if (!fill())
        return std::nullopt;
    std::string Line = Input.substr(0, End);
    Input.erase(0, End + 2);
    return Line;
  }

  bool take(std::size_t Size, std::string &Output) {
    while (Input.size() < Size)
      if (!fill()) {
        Output += std::exchange(Input, {});
        return false;
      }
    Output += Input.substr(0, Size);
    Input.erase(0, Size);
    return true;
  }

  /// Returns nullopt if the connection ends before a head is complete.
  std::optional<message> read(bool IsResponse) {
    message Message;
    auto First = line();
    if (!First)
      return std::nullopt;
    Message.First = *First;
    for (;;) {
      auto Line = line();
      if (!Line)
        return std::nullopt;
      if (Line->empty())
        break;
      std::size_t Colon = Line->find(':');
      std::string Name = Line->substr(0, Colon);
      std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
      std::size_t From = Line->find_first_not_of(' ', Colon + 1);
      Message.Headers[Name] =
          From == std::string::npos ? std::string() : Line->substr(From);
    }
    if (Message.get("transfer-encoding") == "chunked") {
      for (;;) {
        auto Size = line();
        if (!Size)
          return Message;
        auto Bytes = static_cast<std::size_t>(std::stoul(*Size, nullptr, 16));
        if (!take(Bytes, Message.Body) || !line())
          return Message;
        if (Bytes == 0)
          break;
      }
      Message.Complete = true;
    } else if (!Message.get("content-length").empty()) {
      Message.Complete =
          take(std::stoul(Message.get("content-length")), Message.Body);
    } else if (IsResponse && Message.status() != 204) {
      while (fill()) {
      }
      Message.Body = std::exchange(Input, {});
      Message.Complete = true;
    } else {
      Message.Complete = true;
    }
    return Message;
  }

private:
  int Socket;
  int LimitMs;
  std::string Input;
};

/// Accepts connections and serves each in a thread of its own. Returns the
/// listening socket; shutdown() ends it.
inline int listenOn(const std::string &Address,
                    std::function<void(int Socket)> Serve) {
  int Listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int One = 1;
  setsockopt(Listener, SOL_SOCKET, SO_REUSEADDR, &One, sizeof(One));
  sockaddr_in Own = addressOf(Address);
  if (bind(Listener, reinterpret_cast<sockaddr *>(&Own), sizeof(Own)) != 0 ||
      listen(Listener, 512) != 0) {
    note("can't listen on " + Address);
    std::exit(2);
  }
  std::thread([Listener, Serve = std::move(Serve)] {
    for (;;) {
      int Socket = accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0 && errno == EINVAL) {
        close(Listener);
        break;
      }
      if (Socket < 0)
        continue;
      int NoDelay = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof(NoDelay));
      std::thread([Socket, Serve] {
        Serve(Socket);
        close(Socket);
      }).detach();
    }
  }).detach();
  return Listener;
}

inline std::string respond(int Status, const std::string &Body,
                           const std::string &Headers = {}) {
  return "HTTP/1.1 " + std::to_string(Status) + " Status\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

// -- The platform's store -----------------------------------------------------

/// Objects by kind and name, with lists, watches and conditional writes.
class store {
public:
  /// How far a list with "serializable" may lie behind, in milliseconds.
  std::atomic<std::int64_t> StaleMs{0};
  /// How long an answer takes.
  std::atomic<std::int64_t> DelayMs{4};

  void serveOn(const std::string &Address) {
    listenOn(Address, [this](int Socket) {
      reader Reader(Socket);
      while (auto Request = Reader.read(false)) {
        std::string Answer = answer(*Request);
        sleepMs(DelayMs);
        if (!sendAll(Socket, Answer))
          return;
      }
    });
  }

  /// Writes as the operator or a runner does.
  void put(const std::string &Kind, const std::string &Name, json Spec) {
    std::lock_guard Guard(Lock);
    json Object = find(Kind, Name);
    if (Object.is_object() && Object["specification"] == Spec)
      return;
    if (!Object.is_object())
      Object = newObject(Name);
    Object["specification"] = std::move(Spec);
    commit(Kind, Name, std::move(Object), false);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    std::lock_guard Guard(Lock);
    json Object = find(Kind, Name);
    if (Object.is_object())
      commit(Kind, Name, std::move(Object), true);
  }
  json specOf(const std::string &Kind, const std::string &Name) {
    std::lock_guard Guard(Lock);
    json Object = find(Kind, Name);
    return Object.is_object() ? Object["specification"] : json();
  }

private:
  struct change {
    std::int64_t AtMs = 0;
    std::string Kind;
    std::string Name;
    std::uint64_t Revision = 0;
    bool Deleted = false;
    json Object;
  };

  json newObject(const std::string &Name) const {
    return {{"metadata",
             {{"name", Name},
              {"revision", Revision},
              {"created", Revision + 1},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"specification", nullptr},
            {"status", nullptr}};
  }

  json find(const std::string &Kind, const std::string &Name) {
    auto Row = Objects.find({Kind, Name});
    return Row == Objects.end() ? json() : Row->second;
  }

  void commit(const std::string &Kind, const std::string &Name, json Object,
              bool Deleted) {
    ++Revision;
    if (Deleted)
      Objects.erase({Kind, Name});
    else {
      Object["metadata"]["revision"] = Revision;
      Objects[{Kind, Name}] = Object;
    }
    Changes.push_back(
        {nowMs(), Kind, Name, Revision, Deleted, std::move(Object)});
    Changed.notify_all();
  }

  static std::string queryOf(const std::string &Target,
                             const std::string &Name) {
    std::size_t At = Target.find(Name + "=");
    if (At == std::string::npos)
      return {};
    At += Name.size() + 1;
    return Target.substr(At, Target.find('&', At) - At);
  }

  std::string list(const std::string &Kind, std::int64_t UntilMs) {
    std::map<std::string, json> Found;
    std::uint64_t At = 100;
    for (const change &Row : Changes) {
      if (Row.AtMs > UntilMs)
        break;
      At = Row.Revision;
      if (Row.Kind != Kind)
        continue;
      if (Row.Deleted)
        Found.erase(Row.Name);
      else
        Found[Row.Name] = Row.Object;
    }
    json Items = json::array();
    for (auto &[Name, Object] : Found)
      Items.push_back(Object);
    return respond(
        200, json{{"items", Items}, {"has_more", false}, {"current_rev", At}}
                 .dump());
  }

  std::string watch(const std::string &Kind, std::uint64_t Since,
                    std::int64_t WaitMs) {
    std::unique_lock Guard(Lock);
    auto Until =
        clock_type::now() + milliseconds(std::min<std::int64_t>(WaitMs, 30000));
    for (;;) {
      json Events = json::array();
      for (const change &Row : Changes)
        if (Row.Kind == Kind && Row.Revision > Since)
          Events.push_back({{"object", Row.Object}, {"deleted", Row.Deleted}});
      if (!Events.empty() ||
          Changed.wait_until(Guard, Until) == std::cv_status::timeout)
        return respond(
            200, json{{"events", Events}, {"current_rev", Revision}}.dump());
    }
  }

  std::string answer(const message &Request) {
    std::string Target = Request.target();
    std::string Path = Target.substr(0, Target.find('?'));
    std::string Rest = Path.substr(std::string("/objects/").size());
    std::string Kind = Rest.substr(0, Rest.find('/'));
    std::string Name =
        Rest.size() > Kind.size() ? Rest.substr(Kind.size() + 1) : "";
    std::string Method = Request.method();
    if (Method == "GET" && !queryOf(Target, "watch").empty())
      return watch(Kind, std::stoull(queryOf(Target, "watch")),
                   std::stoll("0" + queryOf(Target, "wait_ms")));
    std::lock_guard Guard(Lock);
    if (Method == "GET" && Name.empty()) {
      bool Stale = queryOf(Target, "serializable") == "1";
      return list(Kind, nowMs() - (Stale ? StaleMs.load() : 0));
    }
    if (Method == "GET") {
      json Object = find(Kind, Name);
      return Object.is_object() ? respond(200, Object.dump())
                                : respond(404, "{}");
    }
    bool IsStatus = Name.ends_with("/status");
    if (IsStatus)
      Name.resize(Name.size() - std::string("/status").size());
    json Body = json::parse(Request.Body, nullptr, false);
    if (Method == "POST") {
      Name = Body["metadata"]["name"].get<std::string>();
      json Old = find(Kind, Name);
      if (Old.is_object())
        return respond(409, Old.dump());
      json Object = newObject(Name);
      Object["specification"] = Body["specification"];
      commit(Kind, Name, std::move(Object), false);
      return respond(200, find(Kind, Name).dump());
    }
    json Object = find(Kind, Name);
    if (!Object.is_object())
      return respond(404, "{}");
    if (Method == "DELETE") {
      commit(Kind, Name, Object, true);
      return respond(200, Object.dump());
    }
    json Meta = Body.value("metadata", json::object());
    if (Meta.contains("revision") &&
        Meta["revision"] != Object["metadata"]["revision"])
      return respond(409, Object.dump());
    json New = Object;
    if (IsStatus) {
      New["status"] = Body["status"];
    } else {
      New["specification"] = Body["specification"];
      New["metadata"]["finalizers"] = Meta.value("finalizers", json::array());
    }
    if (New != Object)
      commit(Kind, Name, std::move(New), false);
    return respond(200, find(Kind, Name).dump());
  }

  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::pair<std::string, std::string>, json> Objects;
  std::vector<change> Changes;
  std::uint64_t Revision = 100;
};

// -- Runners ------------------------------------------------------------------

/// What a runner has run.
struct run {
  std::int64_t AtMs = 0;
  std::string Runner;
  std::string Attempt;
  std::string Body;
  std::string Output; ///< The data of each event and a line feed.
  bool Ended = false; ///< All events were sent.
};

inline std::mutex RunsLock;
inline std::vector<run> Runs;

inline std::optional<run> runOf(const std::string &Attempt) {
  std::lock_guard Guard(RunsLock);
  for (const run &Run : Runs)
    if (Run.Attempt == Attempt)
      return Run;
  return std::nullopt;
}

/// A runner that answers each request with a stream of events.
class runner {
public:
  std::string Id;
  std::string Address;
  std::string Service;
  std::string Zone;
  int Events = 7;
  std::int64_t GapMs = 100;
  std::atomic<double> Slowness{1};
  std::atomic<bool> IsUp{true};

  /// Unix time in milliseconds of the start.
  std::int64_t Born = std::chrono::duration_cast<milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();

  json entry() const {
    return {{"born", Born},     {"service", Service}, {"address", Address},
            {"zone", Zone},     {"version", "v1"},    {"slots", 32},
            {"state", "ready"}, {"sequence", 1},      {"cold_remaining_ms", 0}};
  }

  void serve() {
    Listener = listenOn(Address, [this](int Socket) {
      reader Reader(Socket);
      while (auto Request = Reader.read(false))
        if (!IsUp || !answer(Socket, *Request))
          return;
    });
  }

  /// Ends as a process does: its port and its connections are closed.
  void exit() {
    note("exit     " + Id);
    IsUp = false;
    shutdown(Listener, SHUT_RDWR);
  }

private:
  int Listener = -1;

  bool answer(int Socket, const message &Request) {
    std::string Attempt = Request.get("request-attempt-id");
    std::string Echo = "Request-Attempt-Id: " + Attempt + "\r\n";
    if (Request.target() == "/health")
      return sendAll(Socket, respond(200, "", "Instance-Id: " + Id + "\r\n"));
    std::string Expected = Request.get("expected-instance");
    if (!Expected.empty() && Expected != Id)
      return sendAll(Socket,
                     respond(421, "", Echo + "Instance-Id: " + Id + "\r\n"));
    std::size_t Row = 0;
    {
      std::lock_guard Guard(RunsLock);
      Row = Runs.size();
      Runs.push_back({nowMs(), Id, Attempt, Request.Body, {}, false});
    }
    note("run      " + Attempt + " at " + Id + ", " +
         std::to_string(Request.Body.size()) + " bytes");
    if (!sendAll(Socket, "HTTP/1.1 200 OK\r\n" + Echo +
                             "Response-Signature: sig-" + Attempt +
                             "\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"))
      return false;
    for (int I = 1; I <= Events; ++I) {
      sleepMs(static_cast<std::int64_t>(static_cast<double>(GapMs) * Slowness));
      if (!IsUp)
        return false;
      std::string Data = Attempt + "-" + std::to_string(I);
      std::string Event =
          "id: " + std::to_string(I) + "\ndata: " + Data + "\n\n";
      char Size[16];
      std::snprintf(Size, sizeof(Size), "%zx\r\n", Event.size());
      if (!sendAll(Socket, Size + Event + "\r\n"))
        return false;
      std::lock_guard Guard(RunsLock);
      Runs[Row].Output += Data + "\n";
    }
    {
      std::lock_guard Guard(RunsLock);
      Runs[Row].Ended = true;
    }
    return sendAll(Socket, "0\r\n\r\n");
  }
};

// -- Clients ------------------------------------------------------------------

struct answer {
  int Status = 0; ///< 0: the connection ended without an answer.
  bool Whole = false;
  std::string Body;
  std::int64_t EndedAtMs = 0;
};

inline std::string newId() {
  static std::atomic<unsigned> Next{1};
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%08x%08x",
                static_cast<unsigned>(getpid()) * 2654435761U, Next++);
  return Text;
}

/// Sends one request on a new connection and waits for its answer.
inline answer
sendRequest(const std::string &To, const std::string &Method,
            const std::string &Target,
            const std::vector<std::pair<std::string, std::string>> &Headers,
            const std::string &Body, int LimitMs) {
  answer Answer;
  int Socket = connectTo(To);
  if (Socket >= 0) {
    std::string Text = Method + " " + Target + " HTTP/1.1\r\n";
    for (const auto &[Name, Value] : Headers)
      Text += Name + ": " + Value + "\r\n";
    if (!Body.empty() || Method == "POST")
      Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    sendAll(Socket, Text + "\r\n" + Body);
    reader Reader(Socket, LimitMs);
    if (auto Response = Reader.read(true)) {
      Answer.Status = Response->status();
      Answer.Whole = Response->Complete;
      Answer.Body = Response->Body;
    }
    close(Socket);
  }
  Answer.EndedAtMs = nowMs();
  return Answer;
}

// -- Processes of the project
// ---------------------------------------------------

/// A machine with one process of the project.
struct machine {
  std::string Name;
  std::string Ip;
  std::string Zone;
  bool IsEntry = true;
  std::string StoreAddress;
  bool Bootstrap = true;
  pid_t Process = -1;

  std::string front() const { return Ip + ":8149"; }
  std::string ready() const { return Ip + ":8141"; }
};

/// A small deployment on loopback addresses of its own.
class deployment {
public:
  std::string Net;     ///< First three numbers of all addresses.
  std::string Scratch; ///< Temporary folder.
  std::map<std::string, machine> Machines;
  store Store;
  std::string StoreAddress;

  deployment() {
    auto Pid = static_cast<unsigned>(getpid());
    Net = "127." + std::to_string(20 + (Pid >> 8U) % 200) + "." +
          std::to_string(Pid & 0xffU) + ".";
    Scratch =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(Scratch.data()))
      std::exit(2);
    StoreAddress = Net + "7:8142";
  }

  std::string ip(int Last) const { return Net + std::to_string(Last); }

  machine &add(const std::string &Name, int LastOfIp, const std::string &Zone,
               bool IsEntry) {
    return Machines[Name] = {Name,         ip(LastOfIp), Zone, IsEntry,
                             StoreAddress, true,         -1};
  }

  /// Adds three disk machines and \p Entries entry machines ("front-a-1",
  /// "front-b-1", "front-c-1", "front-a-2", ...) in three zones.
  void addMachines(int Entries) {
    const std::string Zones = "abc";
    for (int I = 0; I < 3; ++I)
      add("storage-" + Zones.substr(I, 1), 11 + I, Zones.substr(I, 1), false);
    for (int I = 0; I < Entries; ++I) {
      std::string Zone = Zones.substr(I % 3, 1);
      add("front-" + Zone + "-" + std::to_string(I / 3 + 1), 21 + I, Zone,
          true);
    }
  }

  json settingsOf(const machine &Machine) const {
    json Listen = json::object();
    if (Machine.IsEntry)
      Listen = {{"front", Machine.Ip + ":8149"},
                {"ready", Machine.Ip + ":8141"},
                {"control", Machine.Ip + ":8144"}};
    json Seeds = json::array();
    for (const auto &[Name, Other] : Machines)
      if (Other.IsEntry && Seeds.size() < 3)
        Seeds.push_back(Other.Ip + ":8144");
    json Serves = Machine.IsEntry ? json{"front", "control"} : json{"storage"};
    json Settings = {
        {"node_name", Machine.Name},
        {"role", Machine.IsEntry ? "entry" : "disk"},
        {"machine_class", Machine.IsEntry ? "front" : "storage"},
        {"serves", Serves},
        {"ip_address", Machine.Ip},
        {"zone", Machine.Zone},
        {"region", "region"},
        {"zones", {{"a", "region"}, {"b", "region"}, {"c", "region"}}},
        {"listen", Listen},
        {"internal_port_range", {7380, 7395}},
        {"seeds", Seeds},
        {"bootstrap", Machine.Bootstrap},
        {"counts_toward_loss", !Machine.IsEntry},
        {"limits",
         {{"cpu_share", Machine.IsEntry ? 0.25 : 0.5},
          {"cores", 1},
          {"memory_mb", Machine.IsEntry ? 110 : 130},
          {"file_descriptors", Machine.IsEntry ? 4100 : 8200},
          {"link_mbps", 1000.0},
          {"disk_mb", Machine.IsEntry ? 0 : 470}}},
        {"data_directory", nullptr},
        {"discovery", "platform"},
        {"entry", "virtual_ip"},
        {"heartbeat_interval_ms", 1200},
        {"contracts",
         {"base", "drain", "config", "cost", "recover", "agent", "stream",
          "engine", "platform"}},
        {"fault_tolerance", {{"machines", 1}, {"zones", 0}, {"regions", 0}}},
        {"bounds",
         {{"seed_lag_s", 3},
          {"reuse_after_s", 2},
          {"contact_ms", 3000},
          {"ack_timeout_ms", 4000},
          {"catch_up_s", 4.7},
          {"drain_ms", 2000},
          {"grace_s", 8},
          {"loss_slack_ms", 200},
          {"config_apply_ms", 2000},
          {"rollback_slack_ms", 250},
          {"outer_ms", 5000},
          {"recovery_s", 12},
          {"pass_ms", 120},
          {"retry_after_s", 0},
          {"finish_s", 10},
          {"settle_ms", 1000}}},
        {"platform",
         {{"address", Machine.StoreAddress},
          {"form", "objects"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"history_s", 20},
          {"value_bytes", 1048576},
          {"ttl_min_ms", 1000}}}};
    if (!Machine.IsEntry)
      Settings["data_directory"] = Scratch + "/data-" + Machine.Name;
    return Settings;
  }

  void start(machine &Machine) {
    std::string File = Scratch + "/" + Machine.Name + ".json";
    std::ofstream(File) << settingsOf(Machine).dump(2);
    if (!Machine.IsEntry)
      std::filesystem::create_directories(Scratch + "/data-" + Machine.Name);
    std::string Log = Scratch + "/" + Machine.Name + ".log";
    std::fflush(nullptr); // Otherwise the child would write it once more.
    pid_t Parent = getpid();
    pid_t Child = fork();
    if (Child == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != Parent)
        _exit(2);
      setenv("TURMERICHEAD_CONFIG", File.c_str(), 1);
      if (!freopen(Log.c_str(), "a", stdout) ||
          !freopen(Log.c_str(), "a", stderr))
        _exit(2);
      execl("target/build/bin/turmerichead", "target/build/bin/turmerichead",
            "--platform", static_cast<char *>(nullptr));
      _exit(2);
    }
    Machine.Process = Child;
    note("start    " + Machine.Name);
  }

  /// Sends a signal and, with \p Waits, waits for the end of the process.
  void signal(machine &Machine, int Signal, bool Waits) {
    note("signal   " + std::to_string(Signal) + " to " + Machine.Name);
    kill(Machine.Process, Signal);
    if (!Waits)
      return;
    waitpid(Machine.Process, nullptr, 0);
    Machine.Process = -1;
  }

  /// Waits until all entry machines are ready.
  bool waitReady(std::int64_t LimitMs) {
    std::int64_t Until = nowMs() + LimitMs;
    for (const auto &[Name, Machine] : Machines) {
      if (!Machine.IsEntry)
        continue;
      while (sendRequest(Machine.ready(), "GET", "/readiness", {}, "", 1000)
                 .Status != 200) {
        if (nowMs() > Until)
          return false;
        sleepMs(50);
      }
    }
    return true;
  }

  /// Lines of a machine's log that hold \p Text.
  std::vector<std::string> logLines(const std::string &Name,
                                    const std::string &Text) const {
    std::vector<std::string> Lines;
    std::ifstream File(Scratch + "/" + Name + ".log");
    for (std::string Line; std::getline(File, Line);)
      if (Line.find(Text) != std::string::npos)
        Lines.push_back(Line);
    return Lines;
  }

  /// Ends all processes and removes the temporary folder.
  void stop() {
    for (auto &[Name, Machine] : Machines)
      if (Machine.Process > 0) {
        kill(Machine.Process, SIGCONT);
        kill(Machine.Process, SIGKILL);
        waitpid(Machine.Process, nullptr, 0);
        Machine.Process = -1;
      }
    std::error_code Ignored;
    if (!std::getenv("KEEP"))
      std::filesystem::remove_all(Scratch, Ignored);
  }
};

/// A route of turns to the service "models".
inline json turnRoute(const std::string &Name, const std::string &Prefix) {
  return {{"name", Name},          {"host", "agents.example"},
          {"path_prefix", Prefix}, {"kind", "streaming"},
          {"timeout_ms", 4000},    {"target_latency_ms", 500},
          {"priority", 2},         {"service", "models"},
          {"attempts", 2},         {"retain_context", true},
          {"retention_s", 60.0},   {"sticky_sessions", true},
          {"resumable", false},    {"target_gap_ms", 300}};
}

/// A config with these routes and the service "models".
inline json configOf(int Version, const std::vector<json> &Routes) {
  json Service = {{"name", "models"},
                  {"health_path", "/health"},
                  {"connection_limit", 240},
                  {"protocol", "h1"},
                  {"tls", false},
                  {"engine", {{"slots", 32}, {"tokens_per_event", 19}}}};
  return {{"version", Version},
          {"routes", Routes},
          {"services", {Service}},
          {"limits",
           {{"header_bytes", 16384},
            {"body_bytes", 4194304},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}}};
}

/// Sends a turn and waits for its answer.
inline answer sendTurn(const machine &Entry, const std::string &Path,
                       const std::string &Attempt, const std::string &Program,
                       const std::string &Previous, const std::string &Input,
                       std::int64_t TimeLeftMs, std::uint64_t Budget = 100000,
                       std::uint64_t MostTokens = 400) {
  std::vector<std::pair<std::string, std::string>> Headers = {
      {"Host", "agents.example"},
      {"Request-Attempt-Id", Attempt},
      {"Model", "m"},
      {"Program-Id", Program},
      {"Session-Id", "line-of-" + Program},
      {"Program-Time-Left", std::to_string(TimeLeftMs)},
      {"Token-Budget", std::to_string(Budget)},
      {"Token-Usage", "200," + std::to_string(MostTokens)},
      {"Deadline-Remaining", "4000"}};
  if (!Previous.empty())
    Headers.emplace_back("Previous-Turn", Previous);
  note("send     " + Attempt + " to " + Entry.Name +
       (Previous.empty() ? ", a first turn" : ", after " + Previous));
  answer Answer =
      sendRequest(Entry.front(), "POST", Path, Headers, Input, 6000);
  note("answered " + Attempt + " " + std::to_string(Answer.Status) +
       (Answer.Status == 200
            ? (Answer.Whole ? ", whole" : ", cut")
            : ", " + Answer.Body.substr(0, Answer.Body.find('\n'))));
  return Answer;
}

/// Opens record.txt, whose path the script passes.
inline bool openRecord(int Count, char **Arguments) {
  if (Count < 2)
    return false;
  std::signal(SIGPIPE, SIG_IGN);
  RecordFile = std::fopen(Arguments[1], "w");
  return RecordFile != nullptr;
}

inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

} // namespace review
