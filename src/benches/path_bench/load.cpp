#include "load.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

namespace turmerichead::bench {

namespace {

constexpr int Ok = 200;

std::string bodyOf(const load_settings &Settings, int Turn) {
  std::string Words;
  for (int I = 0; I < Settings.PromptWords; ++I)
    Words += "word" + std::to_string(I) + " ";
  return nlohmann::json{
      {"model", Settings.Model},
      {"stream", true},
      {"max_tokens", Settings.AnswerTokens},
      {"messages",
       {{{"role", "user"}, {"content", Words + std::to_string(Turn)}}}}}
      .dump();
}

/// One call under way.
struct call_state {
  std::int64_t Begun = nowUs();
  std::int64_t Last = 0;
  int Status = 0;
  std::uint64_t Tokens = 0;
  bool Done = false;
  sse_splitter Splitter;
  std::string Error;
};

double msBetween(std::int64_t From, std::int64_t To) {
  return static_cast<double>(To - From) / 1000;
}

} // namespace

std::shared_ptr<load::program> load::newProgram(int Turns) {
  auto Program = std::make_shared<program>();
  Program->Id =
      "bench-" + std::to_string(getpid()) + "-" + std::to_string(++Serial);
  Program->Turns = Turns;
  const host_record &Entry = Fleet.entryBeside(Fleet.holderOf(Program->Id));
  Program->Url = "http://" + Entry.Http.toText() + "/v1/chat/completions";
  return Program;
}

void load::start(const std::shared_ptr<program> &Program) {
  ++Program->Turn;
  http_request Request;
  Request.Method = "POST";
  Request.Url = Program->Url;
  Request.Timeout = Settings.CallTimeout;
  Request.Body = bodyOf(Settings, Program->Turn);
  Request.Headers = {{"X-Turmerichead-Program", Program->Id},
                     {"X-Turmerichead-Call", std::to_string(Program->Turn)},
                     {"X-Turmerichead-Entry", Settings.Entry},
                     {"Authorization", "Bearer " + Settings.Token}};
  auto Call = std::make_shared<call_state>();
  auto OnData = [this, Call, Program](std::string_view Data) {
    if (Data == "[DONE]") {
      Call->Done = true;
      return;
    }
    if (Data.find("\"content\"") == std::string_view::npos)
      return;
    std::int64_t Now = nowUs();
    bool IsFirst = Call->Tokens++ == 0;
    ++Result.Tokens;
    if (!IsFirst)
      Result.Gap.add(msBetween(Call->Last, Now));
    else if (Program->Turn == 1)
      Result.FirstTokenOfFirst.add(msBetween(Call->Begun, Now));
    else
      Result.FirstToken.add(msBetween(Call->Begun, Now));
    Call->Last = Now;
  };
  Http.send(
      Request,
      {.OnHeaders = [Call](int Status, const auto &) { Call->Status = Status; },
       .OnChunk =
           [Call, OnData](std::string_view Bytes) {
             if (Call->Status == Ok)
               Call->Splitter.feed(Bytes, OnData);
             else
               Call->Error += Bytes;
           },
       .OnEnd =
           [this, Call, Program](const http_result &Given) {
             bool Good = Given.Code == error_code::None && Call->Done;
             if (!Good)
               ++Result.Errors[std::to_string(Given.Status) + " " + Given.Text +
                               Call->Error.substr(0, 80)];
             ended(Program, Good);
           }});
}

void load::ended(const std::shared_ptr<program> &Program, bool Good) {
  ++(Good ? Result.Answered : Result.Failed);
  if (Good && Program->Turn < Program->Turns) {
    start(Program);
    return;
  }
  --Running;
  if (Program->Direct)
    return;
  // Ended programs free their place at once, as a careful caller does.
  http_request Request;
  Request.Method = "DELETE";
  std::size_t Path = Program->Url.find("/v1/");
  Request.Url = Program->Url.substr(0, Path) + "/v1/programs/" + Program->Id;
  Request.Headers = {{"X-Turmerichead-Entry", Settings.Entry},
                     {"Authorization", "Bearer " + Settings.Token}};
  Request.Timeout = Settings.CallTimeout;
  Http.send(Request, {});
}

load_result load::closedLoop(int Programs, int Turns,
                             const std::vector<std::string> &Runners) {
  Result = {};
  std::int64_t Begun = nowUs();
  for (int I = 0; I < Programs; ++I) {
    auto Program = newProgram(Turns);
    if (!Runners.empty()) {
      Program->Direct = true;
      Program->Url = "http://" +
                     Runners[static_cast<std::size_t>(I) % Runners.size()] +
                     "/v1/chat/completions";
    }
    ++Running;
    start(Program);
  }
  turnUntil([&] { return Running == 0; }, milliseconds(300000));
  Result.Seconds = msBetween(Begun, nowUs()) / 1000;
  return std::move(Result);
}

load_result load::openLoop(double CallsPerSecond, int Turns,
                           milliseconds Length) {
  Result = {};
  std::int64_t Begun = nowUs();
  double ProgramsPerSecond = CallsPerSecond / Turns;
  std::uint64_t Started = 0;
  turnUntil(
      [&] {
        double Seconds = msBetween(Begun, nowUs()) / 1000;
        auto Due = static_cast<std::uint64_t>(Seconds * ProgramsPerSecond);
        for (; Started < Due; ++Started) {
          ++Running;
          start(newProgram(Turns));
        }
        return false;
      },
      Length);
  Result.Seconds = msBetween(Begun, nowUs()) / 1000;
  std::uint64_t InTime = Result.Answered;
  turnUntil([&] { return Running == 0; }, Settings.CallTimeout);
  Result.Answered = InTime;
  return std::move(Result);
}

} // namespace turmerichead::bench
