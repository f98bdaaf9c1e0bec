#include "programs.h"

#include "headers.h"

namespace turmerichead::bench {

namespace {

constexpr int Success = 200;
constexpr const char *Budget = "1000000000";

} // namespace

programs::programs(program_settings Settings, std::function<void()> Done)
    : Settings(std::move(Settings)), Done(std::move(Done)),
      Due([this](std::uint64_t Index, int /*Kind*/) { next(Index); }) {}

bool programs::start() {
  http1::client_settings ClientSettings;
  ClientSettings.EchoHeader = CallHeader;
  Client = http1::client::create(ClientSettings);
  if (!Client)
    return false;
  Rows.assign(static_cast<std::size_t>(Settings.Programs),
              {Settings.Turns, 0, {}});
  Open = Rows.size();
  for (std::uint64_t Index = 0; Index < Rows.size(); ++Index)
    Due.add(milliseconds(static_cast<std::int64_t>(Index)), Index, 0);
  return true;
}

void programs::next(std::uint64_t Index) {
  row &Row = Rows[Index];
  if (Row.ToolsLeft > 0) {
    --Row.ToolsLeft;
    tool(Index);
    return;
  }
  if (Row.TurnsLeft > 0) {
    --Row.TurnsLeft;
    Row.ToolsLeft = Settings.ToolsPerTurn;
    turn(Index);
    return;
  }
  if (--Open == 0)
    Done();
}

void programs::turn(std::uint64_t Index) {
  row &Row = Rows[Index];
  http1::call_request Request;
  Request.Target = "/plan/next";
  Request.Headers.add(ProgramHeader, "program-" + std::to_string(Index));
  Request.Headers.add(BudgetHeader, Budget);
  Request.Headers.add(TokensHeader, "100,500");
  if (!Row.LastTurn.empty())
    Request.Headers.add(PreviousHeader, Row.LastTurn);
  Request.Body.emplace_back(Settings.PromptBytes, 'q');
  Row.LastTurn = "call-" + std::to_string(Calls + 1);
  send(Index, std::move(Request));
}

void programs::tool(std::uint64_t Index) {
  http1::call_request Request;
  Request.Target = "/book/seat";
  Request.Body.emplace_back("{\"seat\":1}");
  send(Index, std::move(Request));
}

void programs::send(std::uint64_t Index, http1::call_request Request) {
  std::string Id = "call-" + std::to_string(++Calls);
  Request.Address = Settings.Address;
  Request.Method = "POST";
  Request.Headers.add("Host", "h");
  Request.Headers.add(CallHeader, Id);
  Request.Headers.add(TimeLeftHeader, "60000");
  Request.EchoValue = std::move(Id);
  Client->call(std::move(Request),
               {[this](const http1::response_head &Head) {
                  Failed += Head.Status != Success ? 1 : 0;
                },
                [](std::string_view) {},
                [this, Index](const http1::call_result &Result) {
                  onEnd(Index, Result);
                }});
}

void programs::onEnd(std::uint64_t Index, const http1::call_result &Result) {
  Failed += Result.Outcome != http1::call_outcome::Complete ? 1 : 0;
  Due.add(Settings.Think, Index, 0);
}

} // namespace turmerichead::bench
