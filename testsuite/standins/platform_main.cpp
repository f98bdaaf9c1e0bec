/// \file
/// Stand-in for the platform's object API, Kubernetes-style and in memory.
/// docs/TESTING.md lists its routes and the orders of `POST /control`.

#include "http_server.h"
#include "platform_faults.h"
#include "platform_store.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <list>
#include <sstream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "Port to listen on; 0 lets the system choose");
DEFINE_uint32(watch_window, 4096, "Changes kept for watches that resume");
DEFINE_double(writes_per_s, 0, "Writes allowed a second; 0 for no limit");
DEFINE_double(reads_per_s, 0, "Reads allowed a second; 0 for no limit");
DEFINE_uint32(latency_ms, 0, "Time that each call takes, in milliseconds");
DEFINE_string(seed_file, "",
              "JSON file {plural: [object, ...]} of objects to begin with");
DEFINE_string(state_file, "",
              "Keep all objects in this file, over restarts too");

namespace turmerichead::standin {

namespace {

constexpr std::size_t MaxObjectBytes = std::size_t{1} << 20U;
constexpr std::int64_t BookmarkPeriodMs = 1000;
/// A reader of this name meets no faults and no limits.
constexpr std::string_view OracleHost = "oracle";
const std::string ApiRoot = "/apis/turmerichead.io/v1/namespaces/";

/// The parts of an object's path.
struct object_path {
  std::string Collection; ///< "namespace/plural"
  std::string Name;
  bool IsStatus = false;
  bool Valid = false;
};

object_path parsePath(const std::string &Path) {
  object_path Result;
  if (Path.compare(0, ApiRoot.size(), ApiRoot) != 0)
    return Result;
  std::istringstream Parts(Path.substr(ApiRoot.size()));
  std::string Namespace;
  std::string Plural;
  std::string Part;
  std::getline(Parts, Namespace, '/');
  std::getline(Parts, Plural, '/');
  std::getline(Parts, Result.Name, '/');
  std::getline(Parts, Part, '/');
  Result.IsStatus = Part == "status";
  Result.Valid = !Namespace.empty() && !Plural.empty() &&
                 (Part.empty() || Result.IsStatus);
  Result.Collection = Namespace + "/" + Plural;
  return Result;
}

/// One waiting watch.
struct watch {
  exchange Call;
  std::string Collection;
  std::string Host;
  std::uint64_t Position = 0;
  bool Bookmarks = false;
};

class platform {
public:
  platform()
      : Store(FLAGS_watch_window, FLAGS_state_file),
        WriteLimit(FLAGS_writes_per_s), ReadLimit(FLAGS_reads_per_s) {}

  bool seed(const std::string &File);
  void onCall(const exchange &Call);
  void feedWatches();
  void sendBookmarks();

private:
  void onControl(const exchange &Call);
  void onObject(const exchange &Call, const object_path &Path);
  void carryOut(const exchange &Call, const object_path &Path,
                const fault &Fault);
  answer write(const exchange &Call, const object_path &Path);
  answer read(const exchange &Call, const object_path &Path) const;
  void startWatch(const exchange &Call, const object_path &Path);
  void dropWatches(const std::string &Host);

  platform_store Store;
  platform_faults Faults;
  call_counts Counts;
  rate_limit WriteLimit;
  rate_limit ReadLimit;
  std::list<watch> Watches;
};

bool platform::seed(const std::string &File) {
  std::ifstream Stream(File);
  const auto Objects = nlohmann::json::parse(Stream, nullptr, false);
  if (!Objects.is_object())
    return false;
  for (const auto &[Plural, Items] : Objects.items())
    for (const auto &Item : Items)
      Store.create("default/" + Plural, Item);
  return true;
}

void platform::onCall(const exchange &Call) {
  if (Call.path() == "/control")
    return onControl(Call);
  if (Call.path() == "/control/stats") {
    nlohmann::json Stats = Counts.toJson();
    Stats["version"] = Store.version();
    Stats["waiting_watches"] = Watches.size();
    return Call.reply(200, Stats);
  }
  if (Call.path() == "/healthz")
    return Call.reply(200, {{"ok", true}});
  const object_path Path = parsePath(Call.path());
  if (!Path.Valid) {
    const answer Missing = statusAnswer(404, "NotFound", Call.path());
    return Call.reply(Missing.Status, Missing.Body);
  }
  onObject(Call, Path);
}

void platform::onControl(const exchange &Call) {
  const nlohmann::json Order = Call.json();
  if (!Order.is_object())
    return Call.reply(400, {{"error", "not a JSON object"}});
  const std::string Mode = Order.value("mode", std::string());
  const std::string Host = Order.value("host", std::string());
  if (Order.value("forget_history", false))
    Store.forgetHistory();
  if (Mode == "drop_watches" || Mode == "down")
    dropWatches(Host);
  if (!Mode.empty() && Mode != "drop_watches" && !Faults.apply(Order))
    return Call.reply(400, {{"error", "mode is not known"}});
  Call.reply(200, {{"ok", true}});
}

void platform::onObject(const exchange &Call, const object_path &Path) {
  const std::string Host = Call.header("X-Turmerichead-Host");
  const std::string Method = Call.method();
  const bool IsWrite = Method != "GET";
  std::string Verb = Method;
  if (!IsWrite)
    Verb = Call.query("watch") == "true" ? "WATCH"
           : Path.Name.empty()           ? "LIST"
                                         : "GET";
  Counts.add(Host, Verb);
  if (Host == OracleHost)
    return carryOut(Call, Path, {});
  const fault Fault = Faults.take(Host, IsWrite);
  if (Fault.Mode == fault_mode::Down) {
    Call.hold();
    return Call.drop();
  }
  rate_limit &Limit = IsWrite ? WriteLimit : ReadLimit;
  if (!Limit.allow(nowMs())) {
    const answer Refused =
        statusAnswer(429, "TooManyRequests", "the rate is exceeded");
    return Call.replyRetryLater(Refused.Status, Refused.Body, 1);
  }
  std::int64_t DelayMs = FLAGS_latency_ms;
  if (Fault.Mode == fault_mode::Slow)
    DelayMs += Fault.DelayMs;
  if (DelayMs == 0)
    return carryOut(Call, Path, Fault);
  Call.hold();
  after(DelayMs, [this, Call, Path, Fault] {
    if (Call.isOpen())
      carryOut(Call, Path, Fault);
  });
}

void platform::carryOut(const exchange &Call, const object_path &Path,
                        const fault &Fault) {
  if (Call.method() == "GET" && Call.query("watch") == "true")
    return startWatch(Call, Path);
  if (Call.method() == "GET") {
    const answer Answer = read(Call, Path);
    return Call.reply(Answer.Status, Answer.Body);
  }
  const answer Answer = write(Call, Path);
  feedWatches();
  if (Fault.Mode == fault_mode::LoseAnswers) {
    Call.hold();
    return Call.drop();
  }
  if (Fault.Mode == fault_mode::LateAnswers) {
    Call.hold();
    return after(Fault.DelayMs, [Call, Answer] {
      if (Call.isOpen())
        Call.reply(Answer.Status, Answer.Body);
    });
  }
  Call.reply(Answer.Status, Answer.Body);
}

answer platform::write(const exchange &Call, const object_path &Path) {
  if (Call.method() == "DELETE")
    return Store.remove(Path.Collection, Path.Name);
  if (Call.body().size() > MaxObjectBytes)
    return statusAnswer(413, "RequestEntityTooLarge",
                        "an object holds at most 1 MB");
  const nlohmann::json Object = Call.json();
  if (!Object.is_object())
    return statusAnswer(400, "BadRequest", "the body is not a JSON object");
  if (Call.method() == "POST" && Path.Name.empty())
    return Store.create(Path.Collection, Object);
  if (Call.method() == "PUT" && !Path.Name.empty())
    return Store.replace(Path.Collection, Path.Name, Object, Path.IsStatus);
  return statusAnswer(405, "MethodNotAllowed", Call.method());
}

answer platform::read(const exchange &Call, const object_path &Path) const {
  if (!Path.Name.empty())
    return Store.get(Path.Collection, Path.Name);
  const std::string Limit = Call.query("limit", "0");
  return Store.list(Path.Collection, std::strtoul(Limit.c_str(), nullptr, 10),
                    Call.query("continue"));
}

void platform::startWatch(const exchange &Call, const object_path &Path) {
  const std::string Since = Call.query("resourceVersion");
  watch Watch{Call, Path.Collection, Call.header("X-Turmerichead-Host"),
              Store.version(), Call.query("allowWatchBookmarks") == "true"};
  if (!Since.empty())
    Watch.Position = std::strtoull(Since.c_str(), nullptr, 10);
  Call.startStream("application/json");
  if (!Store.canResume(Watch.Position)) {
    const answer Gone =
        statusAnswer(410, "Expired", "resourceVersion is too old");
    const nlohmann::json Event = {{"type", "ERROR"}, {"object", Gone.Body}};
    Call.send(Event.dump() + "\n");
    return Call.endStream();
  }
  Watches.push_back(Watch);
  const std::string Seconds = Call.query("timeoutSeconds");
  if (!Seconds.empty())
    after(std::strtol(Seconds.c_str(), nullptr, 10) * 1000,
          [Call] { Call.endStream(); });
  feedWatches();
}

void platform::feedWatches() {
  Watches.remove_if([](const watch &Watch) { return !Watch.Call.isOpen(); });
  for (watch &Watch : Watches) {
    for (const change *Change :
         Store.changesAfter(Watch.Collection, Watch.Position)) {
      const nlohmann::json Event = {{"type", Change->Type},
                                    {"object", Change->Object}};
      Watch.Call.send(Event.dump() + "\n");
    }
    Watch.Position = Store.version();
  }
}

void platform::sendBookmarks() {
  Watches.remove_if([](const watch &Watch) { return !Watch.Call.isOpen(); });
  for (const watch &Watch : Watches) {
    if (!Watch.Bookmarks)
      continue;
    const nlohmann::json Event = {
        {"type", "BOOKMARK"},
        {"object",
         {{"metadata",
           {{"resourceVersion", std::to_string(Store.version())}}}}}};
    Watch.Call.send(Event.dump() + "\n");
  }
}

void platform::dropWatches(const std::string &Host) {
  for (const watch &Watch : Watches)
    if (Host.empty() || Watch.Host == Host)
      Watch.Call.drop();
  Watches.remove_if([&Host](const watch &Watch) {
    return Host.empty() || Watch.Host == Host;
  });
}

} // namespace

} // namespace turmerichead::standin

int main(int ArgumentCount, char **Arguments) {
  using namespace turmerichead;
  gflags::SetUsageMessage("stand-in for the platform's object API");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  standin::platform Platform;
  if (!FLAGS_seed_file.empty() && !Platform.seed(FLAGS_seed_file)) {
    std::cerr << "standin_platform: " << FLAGS_seed_file
              << " is not a JSON object\n";
    return 1;
  }
  auto Server = standin::http_server::create(
      FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
      [&Platform](const standin::exchange &Call) { Platform.onCall(Call); });
  if (!Server) {
    std::cerr << "standin_platform: " << lastError().Text << "\n";
    return 1;
  }
  standin::every(standin::BookmarkPeriodMs,
                 [&Platform] { Platform.sendBookmarks(); });
  return standin::runUntilStopped(Server->port());
}
