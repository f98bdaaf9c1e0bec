/// \file
/// Carries out the steps of a scenario, one after another.
#pragma once

#include "call_builder.h"
#include "call_table.h"
#include "checks.h"
#include "http_client.h"
#include "load_table.h"
#include "processes.h"
#include "scenario_file.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace turmerichead::scenario {

/// How a run goes.
struct run_settings {
  std::string BinFolder;        ///< Where the programs are.
  std::string Scratch;          ///< Emptied at the start.
  bool Verbose = false;         ///< Print answers and what "show" steps fetch.
  std::int64_t BoundMs = 30000; ///< Of each wait that names none.
};

class interpreter {
public:
  explicit interpreter(run_settings Settings);

  /// Runs until the end or the first step that fails. Answers whether all
  /// went well; the transcript and the failure are kept.
  bool run(std::span<const step> Steps);

  const std::vector<std::string> &transcript() const { return Transcript; }

  /// Place and reason of the step that failed.
  const std::string &failure() const { return Failure; }

  /// The last lines of each process's log, for a failure's report.
  std::string logTails();

private:
  /// What a step came to: the text for the transcript, or a failure.
  struct outcome {
    bool Good = true;
    std::string Text;
  };
  using action = outcome (interpreter::*)(const step &);

  /// A named call in the background.
  struct named_call {
    call_id Id = 0;
    call_spec Spec;
  };

  static outcome good(std::string Text) { return {true, std::move(Text)}; }
  static outcome bad(std::string Text) { return {false, std::move(Text)}; }
  static const std::map<std::string, action> &actions();

  // Processes.
  outcome start(const step &Step);
  outcome kill(const step &Step);
  outcome term(const step &Step);
  outcome waitExit(const step &Step);
  outcome freeze(const step &Step);
  outcome thaw(const step &Step);
  outcome sendOrder(const std::string &Name, const nlohmann::json &Order,
                    const std::string &Text);
  std::vector<std::string>
  linksMatching(const std::vector<std::string> &Patterns) const;
  outcome cut(const step &Step);
  outcome heal(const step &Step);
  outcome slow(const step &Step);
  outcome control(const step &Step);
  outcome idle(const step &Step);
  outcome send(const step &Step);
  outcome pause(const step &Step);
  outcome reserve(const step &Step);
  outcome remember(const step &Step);
  outcome ctl(const step &Step);
  std::vector<std::string> argumentsOf(const step &Step,
                                       const process &Process);
  std::string writeSettings(const step &Step, const process &Process);
  outcome awaitExit(process &Process, const step &Step,
                    const std::string &Text);

  // Objects of the platform.
  outcome apply(const step &Step);
  outcome remove(const step &Step);

  // Calls.
  outcome call(const step &Step);
  outcome awaitEvents(const step &Step);
  outcome abandon(const step &Step);
  outcome join(const step &Step);
  outcome load(const step &Step);
  outcome joinLoad(const step &Step);
  outcome stopLoad(const step &Step);
  outcome judgeCall(const step &Step, const std::string &Text,
                    const call_spec &Spec, const call_result &Result);
  outcome finishCall(const step &Step, const std::string &Text,
                     const named_call &Call);

  // What is seen.
  outcome expect(const step &Step);
  outcome show(const step &Step);
  std::optional<std::string> judgeOnce(const step &Step);
  std::optional<std::string> judgeSum(const step &Step);
  http_response fetchFrom(const step &Step, const process &Process);

  // Names and texts.
  process *resolve(const std::string &Name, std::string &Reason);
  std::string holderOf(const std::string &Program);
  std::string otherThan(const std::string &Host);
  std::string valueOf(const std::string &Name);
  std::vector<std::string> baseUrls(const step &Step, std::string &Reason);
  std::string substitute(const std::string &Text);
  nlohmann::json substituteAll(const nlohmann::json &Value);
  step substituted(const step &Step);
  std::int64_t bound(const step &Step) const {
    return Step.number("within_ms", Settings.BoundMs);
  }
  std::string url(const process &Process, const std::string &Path) const {
    return "http://" + Processes.addressOf(Process) + Path;
  }
  void print(const std::string &Text) const;

  run_settings Settings;
  const step *Written = nullptr; ///< The step as the file has it.
  processes Processes;
  http_client Client;
  call_table Calls;
  call_builder Builder;
  load_table Loads;
  std::map<std::string, named_call> NamedCalls;
  std::map<std::string, call_result> NamedResults;
  std::map<std::string, std::string> Remembered;
  std::vector<handle<GSocketConnection>> IdleConnections;
  std::map<std::string, std::size_t> CutOffBefore; ///< By name of load.
  std::vector<std::string> Transcript;
  std::string Failure;
};

} // namespace turmerichead::scenario
