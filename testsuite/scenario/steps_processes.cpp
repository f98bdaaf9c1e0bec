#include "event_loop.h"
#include "interpreter.h"

#include "turmerichead/error.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <csignal>
#include <filesystem>
#include <fstream>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {

toml::table tableOf(const json &Object);

toml::array arrayOf(const json &List) {
  toml::array Result;
  for (const json &Item : List) {
    if (Item.is_object())
      Result.push_back(tableOf(Item));
    else if (Item.is_string())
      Result.push_back(Item.get<std::string>());
    else if (Item.is_number_integer())
      Result.push_back(Item.get<std::int64_t>());
  }
  return Result;
}

toml::table tableOf(const json &Object) {
  toml::table Result;
  for (const auto &[Key, Value] : Object.items()) {
    if (Value.is_object())
      Result.insert(Key, tableOf(Value));
    else if (Value.is_array())
      Result.insert(Key, arrayOf(Value));
    else if (Value.is_string())
      Result.insert(Key, Value.get<std::string>());
    else if (Value.is_boolean())
      Result.insert(Key, Value.get<bool>());
    else if (Value.is_number_integer())
      Result.insert(Key, Value.get<std::int64_t>());
    else if (Value.is_number_float())
      Result.insert(Key, Value.get<double>());
  }
  return Result;
}

/// The texts of a field, for the transcript.
std::string listed(const step &Step, const char *Key) {
  std::string Text;
  for (const std::string &Part : Step.texts(Key))
    Text += (Text.empty() ? "" : ", ") + Part;
  return Text;
}

std::string sharedKeyFile(const std::string &Scratch) {
  std::string File = Scratch + "/shared.key";
  std::error_code Ignored;
  if (!std::filesystem::exists(File, Ignored)) {
    std::ofstream(File) << "a key that only the hosts of this test share\n";
    std::filesystem::permissions(File, std::filesystem::perms::owner_read,
                                 Ignored);
  }
  return File;
}

} // namespace

std::string interpreter::writeSettings(const step &Step,
                                       const process &Process) {
  json Settings = {
      {"host",
       {{"id", Process.Name},
        {"data_centre", Step.text("data_centre", "dc1")},
        {"region", Step.text("region", "r1")},
        {"listen", Processes.addressOf(Process)},
        {"peer_listen", Processes.secondAddressOf(Process)}}},
      {"platform",
       {{"url", "http://" + Step.text("platform", substitute("${platform}"))},
        {"timeout_ms", 500}}},
      {"cluster",
       {{"shared_key_file", sharedKeyFile(Processes.scratch())},
        {"shards", 16},
        {"heartbeat_ms", 100},
        {"suspect_ms", 1000}}},
      {"log",
       {{"level", "info"},
        {"audit_file",
         Processes.scratch() + "/" + Process.Name + ".audit.log"}}}};
  if (Step.flag("data_dir")) {
    const std::string Folder = Processes.scratch() + "/" + Process.Name;
    std::error_code Ignored;
    std::filesystem::create_directories(Folder, Ignored);
    Settings["host"]["data_dir"] = Folder;
  }
  // A host that starts during an outage asks those that run already.
  for (const auto &[Name, Other] : Processes.all())
    if (Other.Kind == process_kind::Host && Name != Process.Name)
      Settings["cluster"]["seed_peers"].push_back(
          Name + "=" + Processes.secondAddressOf(Other));
  if (Step.has("routes"))
    for (const auto &[Host, Address] : Step.Fields["routes"].items())
      Settings["peer_route"].push_back({{"host", Host}, {"address", Address}});
  if (Step.has("settings"))
    Settings.merge_patch(Step.Fields["settings"]);
  std::string File = Processes.scratch() + "/" + Process.Name + ".toml";
  std::ofstream(File) << tableOf(Settings) << "\n";
  return File;
}

std::vector<std::string> interpreter::argumentsOf(const step &Step,
                                                  const process &Process) {
  std::vector<std::string> Arguments;
  if (Process.Kind == process_kind::Host) {
    Arguments = {"--settings", writeSettings(Step, Process)};
  } else {
    Arguments = {"--address=" + Processes.address(),
                 "--port=" + std::to_string(Process.Port)};
  }
  if (Process.Kind == process_kind::Link) {
    const std::string Target = Step.text("target");
    const std::size_t Colon = Target.find(':');
    Arguments.push_back("--control_port=" + std::to_string(Process.SecondPort));
    Arguments.push_back("--target=" + Target.substr(0, Colon));
    Arguments.push_back("--target_port=" + Target.substr(Colon + 1));
  }
  for (const std::string &Argument : Step.texts("args"))
    Arguments.push_back(Argument);
  return Arguments;
}

interpreter::outcome interpreter::start(const step &Step) {
  const auto Kind = kindNamed(Step.text("kind", "host"));
  if (!Kind)
    return bad("there is no kind \"" + Step.text("kind") + "\"");
  const std::string Name = Step.text("name", Step.text("kind"));
  process &Process = Processes.place(Name, *Kind);
  if (processes::running(Process))
    return bad(Name + " runs already");
  // Without new fields a process starts again as it was.
  if (Process.Arguments.empty() || Step.Fields.size() > 3)
    Process.Arguments = argumentsOf(Step, Process);
  if (!Processes.start(Process))
    return bad(Name + ": " + lastError().Text);
  if (!Step.flag("ready", true))
    return good(Name);
  // A link's health is that of its control port.
  const std::string Base = *Kind == process_kind::Link
                               ? "http://" + Processes.secondAddressOf(Process)
                               : url(Process, "");
  http_request Probe;
  Probe.Url = Base + (*Kind == process_kind::Link ? "/control" : "/healthz");
  unsigned Status = 0;
  const std::int64_t EndMs = nowMs() + bound(Step);
  while (nowMs() < EndMs && processes::running(Process)) {
    Status = Client.fetch(Probe, 1000).Status;
    if (Status == 200 || (*Kind == process_kind::Link && Status != 0))
      return good(Name);
    pauseFor(20);
  }
  return bad(Name + " does not come up; status " + std::to_string(Status));
}

interpreter::outcome interpreter::kill(const step &Step) {
  std::string Reason;
  process *Process = resolve(Step.text("process"), Reason);
  if (!Process)
    return bad(Reason);
  print("  killing " + Process->Name);
  Processes.signal(*Process, SIGKILL);
  const bool Gone = waitUntil(
      [Process] { return !processes::running(*Process); }, Settings.BoundMs);
  return Gone ? good(Written->text("process")) : bad("it does not die");
}

interpreter::outcome interpreter::awaitExit(process &Process, const step &Step,
                                            const std::string &Text) {
  const bool Gone = waitUntil(
      [&Process] { return !processes::running(Process); }, bound(Step));
  if (!Gone)
    return bad(Text + " does not exit");
  const int Code = processes::exitCode(Process).value_or(-1);
  const auto Wanted = Step.number("exit", 0);
  if (Code != Wanted)
    return bad(Text + " exits with " + std::to_string(Code));
  return good(Text + " exits with " + std::to_string(Code));
}

interpreter::outcome interpreter::term(const step &Step) {
  std::string Reason;
  process *Process = resolve(Step.text("process"), Reason);
  if (!Process)
    return bad(Reason);
  print("  SIGTERM to " + Process->Name);
  Processes.signal(*Process, SIGTERM);
  if (!Step.flag("wait", true))
    return good(Written->text("process"));
  return awaitExit(*Process, Step, Written->text("process"));
}

interpreter::outcome interpreter::waitExit(const step &Step) {
  std::string Reason;
  process *Process = resolve(Step.text("process"), Reason);
  if (!Process)
    return bad(Reason);
  return awaitExit(*Process, Step, Written->text("process"));
}

interpreter::outcome interpreter::freeze(const step &Step) {
  std::string Reason;
  process *Process = resolve(Step.text("process"), Reason);
  if (!Process)
    return bad(Reason);
  print("  SIGSTOP to " + Process->Name);
  Processes.signal(*Process, SIGSTOP);
  Process->Frozen = true;
  return good(Written->text("process"));
}

interpreter::outcome interpreter::thaw(const step &Step) {
  std::string Reason;
  process *Process = resolve(Step.text("process"), Reason);
  if (!Process)
    return bad(Reason);
  Process->Frozen = false;
  Processes.signal(*Process, SIGCONT);
  return good(Written->text("process"));
}

interpreter::outcome interpreter::sendOrder(const std::string &Name,
                                            const json &Order,
                                            const std::string &Text) {
  const process *Process = Processes.find(Name);
  if (!Process)
    return bad("there is no process \"" + Name + "\"");
  http_request Request;
  Request.Method = "POST";
  Request.Url =
      Process->Kind == process_kind::Link
          ? "http://" + Processes.secondAddressOf(*Process) + "/control"
          : url(*Process, "/control");
  Request.Body = Order.dump();
  const http_response Response = Client.fetch(Request, Settings.BoundMs);
  // An order to die is obeyed before it is answered.
  if (Response.Status != 200 && !Order.contains("die"))
    return bad(Text + ": status " + std::to_string(Response.Status) + " " +
               Response.Body);
  return good(Text);
}

std::vector<std::string>
interpreter::linksMatching(const std::vector<std::string> &Patterns) const {
  std::vector<std::string> Names;
  for (const std::string &Pattern : Patterns) {
    if (Pattern.find('*') == std::string::npos) {
      Names.push_back(Pattern);
      continue;
    }
    for (const auto &[Name, Process] : Processes.all())
      if (Process.Kind == process_kind::Link &&
          g_pattern_match_simple(Pattern.c_str(), Name.c_str()))
        Names.push_back(Name);
  }
  return Names;
}

interpreter::outcome interpreter::cut(const step &Step) {
  const std::string Way = Step.text("way", "both");
  for (const std::string &Name : linksMatching(Step.texts("link"))) {
    outcome Outcome =
        sendOrder(Name, {{"cut", Way}, {"close", Step.flag("close")}}, Name);
    if (!Outcome.Good)
      return Outcome;
  }
  return good(listed(*Written, "link") + ", " + Way);
}

interpreter::outcome interpreter::heal(const step &Step) {
  for (const std::string &Name : linksMatching(Step.texts("link"))) {
    outcome Outcome = sendOrder(Name, {{"cut", "none"}}, Name);
    if (!Outcome.Good)
      return Outcome;
  }
  return good(listed(*Written, "link"));
}

interpreter::outcome interpreter::slow(const step &Step) {
  const std::int64_t DelayMs = Step.number("delay_ms", 0);
  return sendOrder(Step.text("link"), {{"delay_ms", DelayMs}},
                   Step.text("link") + " by " + std::to_string(DelayMs) +
                       " ms");
}

interpreter::outcome interpreter::control(const step &Step) {
  if (!Step.has("order"))
    return bad("\"order\" is missing");
  for (const std::string &Name : Step.texts("process")) {
    outcome Outcome = sendOrder(Name, Step.Fields["order"], Name);
    if (!Outcome.Good)
      return Outcome;
  }
  return good(listed(*Written, "process") + " " +
              Written->Fields["order"].dump());
}

interpreter::outcome interpreter::reserve(const step &Step) {
  for (const std::string &Name : Step.texts("names"))
    Processes.place(Name, process_kind::Host);
  return good(listed(*Written, "names"));
}

interpreter::outcome interpreter::remember(const step &Step) {
  std::string Value = Step.text("value");
  if (Step.has("process")) {
    std::string Reason;
    const process *Process = resolve(Step.text("process"), Reason);
    if (!Process)
      return bad(Reason);
    const http_response Response = fetchFrom(Step, *Process);
    const auto Member = memberAt(json::parse(Response.Body, nullptr, false),
                                 Step.text("pointer"));
    Value = Member ? Member->dump() : "";
  }
  if (Value.empty() || Value[0] == '$')
    return bad(Step.text("name") + " is not known");
  Remembered[Step.text("name")] = Value;
  print("  " + Step.text("name") + " is " + Value);
  return good(Step.text("name") + " is " +
              Written->text("value", Written->text("process") + " " +
                                         Written->text("pointer")));
}

interpreter::outcome interpreter::pause(const step &Step) {
  const std::int64_t Ms = Step.number("ms", 0);
  pauseFor(Ms);
  return good(std::to_string(Ms) + " ms");
}

} // namespace turmerichead::scenario
