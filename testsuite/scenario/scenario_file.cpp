#include "scenario_file.h"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <filesystem>
#include <map>
#include <set>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {

using key_set = std::set<std::string>;

key_set merged(key_set Left, const key_set &Right) {
  Left.insert(Right.begin(), Right.end());
  return Left;
}

const key_set AnswerKeys = {"status",  "code",    "outcome", "answered",
                            "same_as", "pointer", "equals",  "contains",
                            "one_of",  "lacks"};
const key_set CallKeys = {
    "name",   "via",        "program",     "parent",   "number",
    "entry",  "key",        "token",       "question", "max_tokens",
    "stream", "background", "retry",       "service",  "body",
    "raw",    "min_tokens", "deadline_ms", "method",   "non_idempotent",
    "path",   "within_ms",  "header"};
const key_set ExpectKeys = {"process",  "sum_of",    "path",     "method",
                            "accept",   "token",     "pointer",  "equals",
                            "contains", "lacks",     "at_least", "at_most",
                            "exists",   "entry",     "count",    "status",
                            "metric",   "within_ms", "holds_ms"};

/// The fields that each verb takes, besides "do" and "about".
const std::map<std::string, key_set> &verbs() {
  static const std::map<std::string, key_set> Verbs = {
      {"include", {"file"}},
      {"start",
       {"kind", "name", "args", "data_centre", "region", "data_dir", "platform",
        "routes", "settings", "target", "target_port", "ready"}},
      {"kill", {"process"}},
      {"term", {"process", "wait", "exit", "within_ms"}},
      {"wait_exit", {"process", "exit", "within_ms"}},
      {"freeze", {"process"}},
      {"thaw", {"process"}},
      {"cut", {"link", "way", "close"}},
      {"heal", {"link"}},
      {"slow", {"link", "delay_ms"}},
      {"control", {"process", "order"}},
      {"apply", {"plural", "name", "spec", "status", "process"}},
      {"remove", {"plural", "name", "process"}},
      {"call", merged(CallKeys, AnswerKeys)},
      {"await", {"call", "events", "within_ms"}},
      {"abandon", {"call"}},
      {"join", merged(AnswerKeys, {"call", "within_ms"})},
      {"load",
       {"name", "via", "prefix", "programs", "turns", "entry", "token",
        "max_tokens", "min_tokens", "stream", "think_ms", "service"}},
      {"join_load", {"name", "within_ms", "finished", "cut_off"}},
      {"stop_load", {"name"}},
      {"expect", ExpectKeys},
      {"ctl",
       {"args", "exit", "contains", "lacks", "file", "content", "within_ms"}},
      {"idle", {"process", "count"}},
      {"send",
       {"process", "bytes", "repeat", "times", "end", "contains", "lacks",
        "within_ms", "closes"}},
      {"pause", {"ms"}},
      {"reserve", {"names"}},
      {"remember", {"name", "value", "process", "path", "pointer"}},
      {"show", {"process", "path", "accept", "token", "entry", "title"}},
  };
  return Verbs;
}

json jsonOf(const toml::node &Node);

json jsonOfTable(const toml::table &Table) {
  json Result = json::object();
  for (const auto &[Key, Value] : Table)
    Result[std::string(Key.str())] = jsonOf(Value);
  return Result;
}

json jsonOf(const toml::node &Node) {
  if (const auto *Table = Node.as_table())
    return jsonOfTable(*Table);
  if (const auto *Array = Node.as_array()) {
    json Result = json::array();
    for (const auto &Item : *Array)
      Result.push_back(jsonOf(Item));
    return Result;
  }
  if (const auto *Text = Node.as_string())
    return Text->get();
  if (const auto *Whole = Node.as_integer())
    return Whole->get();
  if (const auto *Real = Node.as_floating_point())
    return Real->get();
  if (const auto *Truth = Node.as_boolean())
    return Truth->get();
  return nullptr;
}

/// Adds the fields that the file gives to each step of the verb.
json withDefaults(const json &Fields, const json &Defaults) {
  const auto Verb = Fields.value("do", std::string());
  if (!Defaults.is_object() || !Defaults.contains(Verb))
    return Fields;
  json Result = Defaults[Verb];
  Result.update(Fields);
  return Result;
}

class loader {
public:
  explicit loader(findings &Findings) : Findings(Findings) {}

  void read(const std::string &File, int Depth);
  std::vector<step> Steps;

private:
  void addStep(const toml::node &Node, const json &Defaults,
               const std::string &File, int Depth);
  void note(const std::string &File, int Line, const std::string &Key,
            const std::string &Text) {
    Findings.add({File, Line, 0, Key}, Text);
  }

  findings &Findings;
};

void loader::read(const std::string &File, int Depth) {
  const toml::parse_result Parsed = toml::parse_file(File);
  if (!Parsed) {
    const auto &Error = Parsed.error();
    note(File, static_cast<int>(Error.source().begin.line), "",
         std::string(Error.description()));
    return;
  }
  const toml::table &Table = Parsed.table();
  for (const auto &[Key, Value] : Table)
    if (Key.str() != "step" && Key.str() != "about" && Key.str() != "defaults")
      note(File, static_cast<int>(Value.source().begin.line),
           std::string(Key.str()), "is not known here");
  const json Defaults = Table.contains("defaults")
                            ? jsonOf(*Table.get("defaults"))
                            : json::object();
  const toml::array *Items = Table["step"].as_array();
  if (!Items)
    return note(File, 1, "step", "there is no list of steps");
  for (const auto &Item : *Items)
    addStep(Item, Defaults, File, Depth);
}

void loader::addStep(const toml::node &Node, const json &Defaults,
                     const std::string &File, int Depth) {
  constexpr int MaxDepth = 4;
  const int Line = static_cast<int>(Node.source().begin.line);
  const json Own = jsonOf(Node);
  if (!Own.is_object() || !Own.contains("do") || !Own["do"].is_string())
    return note(File, Line, "do", "a step needs a verb");
  const json Fields = withDefaults(Own, Defaults);
  const auto Verb = Fields["do"].get<std::string>();
  const auto Known = verbs().find(Verb);
  if (Known == verbs().end())
    return note(File, Line, "do", "there is no verb \"" + Verb + "\"");
  for (const auto &[Key, Value] : Fields.items())
    if (Key != "do" && Key != "about" && Known->second.count(Key) == 0)
      note(File, Line, Key, "is not a field of \"" + Verb + "\"");
  if (Verb != "include") {
    Steps.push_back({Verb, Fields, File, Line});
    return;
  }
  if (Depth >= MaxDepth)
    return note(File, Line, "file", "includes go too deep");
  const auto Folder = std::filesystem::path(File).parent_path();
  read((Folder / Fields.value("file", std::string())).string(), Depth + 1);
}

} // namespace

std::string step::text(const char *Key, const std::string &Fallback) const {
  const auto Found = Fields.find(Key);
  if (Found == Fields.end())
    return Fallback;
  return Found->is_string() ? Found->get<std::string>() : Found->dump();
}

std::int64_t step::number(const char *Key, std::int64_t Fallback) const {
  const auto Found = Fields.find(Key);
  if (Found == Fields.end() || !Found->is_number())
    return Fallback;
  return Found->get<std::int64_t>();
}

bool step::flag(const char *Key, bool Fallback) const {
  const auto Found = Fields.find(Key);
  if (Found == Fields.end() || !Found->is_boolean())
    return Fallback;
  return Found->get<bool>();
}

std::vector<std::string> step::texts(const char *Key) const {
  std::vector<std::string> Result;
  const auto Found = Fields.find(Key);
  if (Found == Fields.end())
    return Result;
  if (!Found->is_array())
    return {text(Key)};
  for (const json &Item : *Found)
    Result.push_back(Item.is_string() ? Item.get<std::string>() : Item.dump());
  return Result;
}

std::string step::place() const {
  const std::filesystem::path Path(File);
  const auto Folder = Path.parent_path().filename();
  return (Folder / Path.filename()).string() + ":" + std::to_string(Line);
}

std::optional<std::vector<step>> load(const std::string &File,
                                      findings &Findings) {
  loader Loader(Findings);
  Loader.read(File, 0);
  if (!Findings.empty())
    return std::nullopt;
  return std::move(Loader.Steps);
}

} // namespace turmerichead::scenario
