#include "interpreter.h"

#include "event_loop.h"

#include "turmerichead/cluster_map.h"
#include "turmerichead/error.h"

#include <glib.h>

#include <fstream>
#include <iostream>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {

constexpr const char *ApiPath = "/apis/turmerichead.io/v1/namespaces/default";

std::string sha256(const std::string &Text) {
  char *Digest = g_compute_checksum_for_string(
      G_CHECKSUM_SHA256, Text.data(), static_cast<gssize>(Text.size()));
  std::string Result(Digest);
  g_free(Digest);
  return Result;
}

std::string lastLines(const std::string &File, std::size_t Count) {
  std::ifstream Stream(File);
  std::vector<std::string> Lines;
  std::string Line;
  while (std::getline(Stream, Line))
    Lines.push_back(Line);
  std::string Text;
  const std::size_t First = Lines.size() > Count ? Lines.size() - Count : 0;
  for (std::size_t I = First; I < Lines.size(); ++I)
    Text += "    " + Lines[I] + "\n";
  return Text;
}

} // namespace

interpreter::interpreter(run_settings Given)
    : Settings(std::move(Given)),
      Processes(Settings.BinFolder, Settings.Scratch), Calls(Client),
      Loads(Calls, Builder) {}

const std::map<std::string, interpreter::action> &interpreter::actions() {
  static const std::map<std::string, action> Actions = {
      {"start", &interpreter::start},
      {"kill", &interpreter::kill},
      {"term", &interpreter::term},
      {"wait_exit", &interpreter::waitExit},
      {"freeze", &interpreter::freeze},
      {"thaw", &interpreter::thaw},
      {"cut", &interpreter::cut},
      {"heal", &interpreter::heal},
      {"slow", &interpreter::slow},
      {"control", &interpreter::control},
      {"idle", &interpreter::idle},
      {"send", &interpreter::send},
      {"pause", &interpreter::pause},
      {"reserve", &interpreter::reserve},
      {"remember", &interpreter::remember},
      {"ctl", &interpreter::ctl},
      {"apply", &interpreter::apply},
      {"remove", &interpreter::remove},
      {"call", &interpreter::call},
      {"await", &interpreter::awaitEvents},
      {"abandon", &interpreter::abandon},
      {"join", &interpreter::join},
      {"load", &interpreter::load},
      {"join_load", &interpreter::joinLoad},
      {"stop_load", &interpreter::stopLoad},
      {"expect", &interpreter::expect},
      {"show", &interpreter::show},
  };
  return Actions;
}

bool interpreter::run(std::span<const step> Steps) {
  for (const step &Next : Steps) {
    Written = &Next;
    const step Step = substituted(Next);
    const auto Action = actions().find(Step.Verb);
    const outcome Outcome = Action == actions().end()
                                ? bad("verb without an action")
                                : (this->*Action->second)(Step);
    std::string Line = Next.Verb;
    if (Step.has("about"))
      Line += " (" + Step.text("about") + ")";
    Line += ": " + Outcome.Text;
    if (!Outcome.Good) {
      Failure = Step.place() + ": " + Line;
      return false;
    }
    print("* " + Line);
    Transcript.push_back(Line);
  }
  return true;
}

std::string interpreter::logTails() {
  constexpr std::size_t Lines = 25;
  std::string Text;
  for (const auto &[Name, Process] : Processes.all()) {
    const std::string Tail = lastLines(Processes.logFile(Process), Lines);
    if (Process.Kind == process_kind::Host && !Tail.empty())
      Text.append("  last lines of ").append(Name).append(":\n").append(Tail);
  }
  return Text;
}

void interpreter::print(const std::string &Text) const {
  if (Settings.Verbose)
    std::cout << Text << std::endl;
}

process *interpreter::resolve(const std::string &Name, std::string &Reason) {
  process *Found = Processes.find(Name);
  if (!Found)
    Reason = "there is no process \"" + Name + "\"";
  return Found;
}

std::string interpreter::holderOf(const std::string &Program) {
  const process *Platform = Processes.find("platform");
  if (!Platform)
    return {};
  http_request Request;
  Request.Url = url(*Platform, std::string(ApiPath) + "/shardmaps/main");
  // The platform's faults leave this reader out.
  Request.Headers["X-Turmerichead-Host"] = "oracle";
  const http_response Response = Client.fetch(Request, Settings.BoundMs);
  const json Object = json::parse(Response.Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("spec"))
    return {};
  findings Findings;
  const auto Map = shardMapFromJson(Object["spec"], "shardmaps/main", Findings);
  if (!Map)
    return {};
  const std::string Root = Program.substr(0, Program.find('/'));
  const std::uint32_t Shard =
      cluster::shardOf(Root, static_cast<std::uint32_t>(Map->Shards.size()));
  const shard_placement *Placement = Map->placement(Shard);
  return Placement ? Placement->Holder : "";
}

std::string interpreter::otherThan(const std::string &Host) {
  for (const auto &[Name, Process] : Processes.all())
    if (Process.Kind == process_kind::Host && Name != Host &&
        processes::running(Process) && !Process.Frozen)
      return Name;
  return {};
}

std::vector<std::string> interpreter::baseUrls(const step &Step,
                                               std::string &Reason) {
  std::vector<std::string> Urls;
  for (const std::string &Name : Step.texts("via")) {
    const process *Process = resolve(Name, Reason);
    if (!Process)
      return {};
    Urls.push_back(url(*Process, ""));
  }
  if (Urls.empty())
    Reason = "\"via\" names no host";
  return Urls;
}

std::string interpreter::substitute(const std::string &Text) {
  std::string Result;
  std::size_t At = 0;
  for (;;) {
    const std::size_t Begin = Text.find("${", At);
    const std::size_t End =
        Begin == std::string::npos ? Begin : Text.find('}', Begin);
    if (End == std::string::npos)
      return Result + Text.substr(At);
    Result += Text.substr(At, Begin - At);
    const std::string Name = Text.substr(Begin + 2, End - Begin - 2);
    At = End + 1;
    Result += valueOf(Name);
  }
}

std::string interpreter::valueOf(const std::string &Name) {
  const std::size_t Colon = Name.find(':');
  const std::string Kind = Name.substr(0, Colon);
  const std::string Rest =
      Colon == std::string::npos ? "" : Name.substr(Colon + 1);
  if (Name == "api")
    return ApiPath;
  if (Name == "scratch")
    return Processes.scratch();
  if (Kind == "sha256")
    return sha256(Rest);
  if (Kind == "mark")
    return replyMark(Rest);
  if (Kind == "holder")
    return holderOf(Rest);
  if (Kind == "other")
    return otherThan(holderOf(Rest));
  const auto Known = Remembered.find(Name);
  if (Known != Remembered.end())
    return Known->second;
  const std::size_t Dot = Name.rfind(".second");
  const process *Process = Processes.find(Name.substr(0, Dot));
  if (!Process)
    return "${" + Name + "}";
  return Dot == std::string::npos ? Processes.addressOf(*Process)
                                  : Processes.secondAddressOf(*Process);
}

json interpreter::substituteAll(const json &Value) {
  if (Value.is_string()) {
    const auto &Text = Value.get_ref<const std::string &>();
    std::string Result = substitute(Text);
    // A remembered number stays a number.
    const json Number =
        Result == Text ? json() : json::parse(Result, nullptr, false);
    return Number.is_number() ? Number : json(Result);
  }
  if (!Value.is_structured())
    return Value;
  json Result = Value;
  for (json &Item : Result)
    Item = substituteAll(Item);
  return Result;
}

step interpreter::substituted(const step &Step) {
  step Result = Step;
  Result.Fields = substituteAll(Step.Fields);
  return Result;
}

} // namespace turmerichead::scenario
