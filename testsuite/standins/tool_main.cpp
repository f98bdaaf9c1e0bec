/// \file
/// Stand-in for a plain service. It runs every POST that reaches it and counts
/// executions by path and Idempotency-Key, so that tests can see whether a
/// call ran twice.
///
/// `POST /control` takes any of {"hang": bool, "delay_ms": N,
/// "fail_after_run": N, "status_500": N, "reset": true}; the last two counts
/// are of calls to come. `GET /stats` lists the executions.

#include "http_server.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "Port to listen on; 0 lets the system choose");
DEFINE_uint32(delay_ms, 0, "Time that each call takes, in milliseconds");

namespace turmerichead::standin {

namespace {

/// What the next calls are to suffer.
struct tool_faults {
  bool Hang = false;
  std::int64_t DelayMs = 0;
  int FailAfterRun = 0;
  int Status500 = 0;
};

class tool {
public:
  explicit tool(std::int64_t DelayMs) { Faults.DelayMs = DelayMs; }

  void onCall(const exchange &Call) {
    if (Call.path() == "/control")
      return onControl(Call);
    if (Call.path() == "/stats")
      return Call.reply(200, stats());
    if (Call.path() == "/healthz")
      return Call.reply(200, {{"ok", true}});
    if (Call.method() != "POST")
      return Call.reply(405, {{"error", "use POST"}});
    run(Call);
  }

private:
  void onControl(const exchange &Call) {
    const nlohmann::json Order = Call.json();
    if (!Order.is_object())
      return Call.reply(400, {{"error", "not a JSON object"}});
    Faults.Hang = Order.value("hang", Faults.Hang);
    Faults.DelayMs = Order.value("delay_ms", Faults.DelayMs);
    Faults.FailAfterRun = Order.value("fail_after_run", Faults.FailAfterRun);
    Faults.Status500 = Order.value("status_500", Faults.Status500);
    if (Order.value("reset", false))
      Executions.clear();
    Call.reply(200, {{"ok", true}});
  }

  nlohmann::json stats() const {
    nlohmann::json Paths = nlohmann::json::object();
    nlohmann::json Keys = nlohmann::json::object();
    int Total = 0;
    for (const auto &[Where, Count] : Executions) {
      auto &Path = Paths[Where.first];
      Path = Path.is_null() ? Count : Path.get<int>() + Count;
      auto &Key = Keys[Where.second];
      Key = Key.is_null() ? Count : Key.get<int>() + Count;
      Total += Count;
    }
    int Most = 0;
    for (const auto &[Key, Count] : Keys.items())
      Most = std::max(Most, Count.get<int>());
    return {{"total", Total},
            {"paths", Paths},
            {"keys", Keys},
            {"most_per_key", Most}};
  }

  void run(const exchange &Call) {
    if (Faults.Status500 > 0) {
      --Faults.Status500;
      return Call.reply(500, {{"error", "told to fail before running"}});
    }
    const std::string Key = Call.header("Idempotency-Key");
    const int Count = ++Executions[{Call.path(), Key}];
    Call.hold();
    if (Faults.Hang)
      return;
    if (Faults.FailAfterRun > 0) {
      --Faults.FailAfterRun;
      return Call.drop();
    }
    nlohmann::json Echo = Call.json();
    if (Echo.is_discarded())
      Echo = Call.body();
    const nlohmann::json Answer = {
        {"ok", true}, {"execution", Count}, {"key", Key}, {"echo", Echo}};
    after(Faults.DelayMs, [Call, Answer] {
      if (Call.isOpen())
        Call.reply(200, Answer);
    });
  }

  tool_faults Faults;
  std::map<std::pair<std::string, std::string>, int> Executions;
};

} // namespace

} // namespace turmerichead::standin

int main(int ArgumentCount, char **Arguments) {
  using namespace turmerichead;
  gflags::SetUsageMessage("stand-in for a plain service");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  standin::tool Tool(FLAGS_delay_ms);
  auto Server = standin::http_server::create(
      FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
      [&Tool](const standin::exchange &Call) { Tool.onCall(Call); });
  if (!Server) {
    std::cerr << "standin_tool: " << lastError().Text << "\n";
    return 1;
  }
  return standin::runUntilStopped(Server->port());
}
