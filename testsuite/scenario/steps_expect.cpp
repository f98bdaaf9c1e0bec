#include "event_loop.h"
#include "interpreter.h"

#include <algorithm>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {
constexpr std::int64_t PollMs = 25;
constexpr std::int64_t FetchBoundMs = 5000;
} // namespace

http_response interpreter::fetchFrom(const step &Step, const process &Process) {
  http_request Request;
  Request.Method = Step.text("method", "GET");
  Request.Url = url(Process, Step.text("path"));
  if (Step.has("accept"))
    Request.Headers["Accept"] = Step.text("accept");
  if (Step.has("token"))
    Request.Headers["Authorization"] = "Bearer " + Step.text("token");
  if (Step.has("entry"))
    Request.Headers["X-Turmerichead-Entry"] = Step.text("entry");
  return Client.fetch(Request, FetchBoundMs);
}

std::optional<std::string> interpreter::judgeSum(const step &Step) {
  double Sum = 0;
  for (const std::string &Name : Step.texts("sum_of")) {
    std::string Reason;
    const process *Process = resolve(Name, Reason);
    if (!Process)
      return Reason;
    if (!processes::running(*Process))
      continue;
    const http_response Response = fetchFrom(Step, *Process);
    if (Step.has("metric")) {
      Sum += metricValue(Response.Body, Step.text("metric")).value_or(0);
      continue;
    }
    const json Body = json::parse(Response.Body, nullptr, false);
    if (Body.is_discarded())
      return Name + " does not answer with JSON";
    const auto Value = memberAt(Body, Step.text("pointer"));
    if (Value && Value->is_number())
      Sum += Value->get<double>();
  }
  return judge(Step, json(static_cast<std::int64_t>(Sum)));
}

std::optional<std::string> interpreter::judgeOnce(const step &Step) {
  if (Step.has("sum_of"))
    return judgeSum(Step);
  std::string Reason;
  const process *Process = resolve(Step.text("process"), Reason);
  if (!Process)
    return Reason;
  const http_response Response = fetchFrom(Step, *Process);
  if (Step.has("status") &&
      static_cast<std::int64_t>(Response.Status) != Step.number("status", 0))
    return "status " + std::to_string(Response.Status) + " " +
           Response.Failure + " " + Response.Body.substr(0, 300);
  if (Response.Status == 0 && !Step.has("status"))
    return "no answer: " + Response.Failure;
  if (Step.has("metric")) {
    const auto Value = metricValue(Response.Body, Step.text("metric"));
    return judge(Step, Value ? std::optional<json>(*Value) : std::nullopt);
  }
  if (!Step.has("pointer"))
    return judge(Step, json(Response.Body));
  const json Body = json::parse(Response.Body, nullptr, false);
  if (Body.is_discarded())
    return "is not JSON: " + Response.Body.substr(0, 300);
  return judge(Step, memberAt(Body, Step.text("pointer")));
}

interpreter::outcome interpreter::expect(const step &Step) {
  const std::int64_t HoldsMs = Step.number("holds_ms", 0);
  const std::int64_t EndMs = nowMs() + bound(Step);
  std::optional<std::string> Finding = judgeOnce(Step);
  while (Finding && nowMs() < EndMs) {
    pauseFor(PollMs);
    Finding = judgeOnce(Step);
  }
  const std::int64_t HeldEndMs = nowMs() + HoldsMs;
  while (!Finding && nowMs() < HeldEndMs) {
    pauseFor(PollMs);
    Finding = judgeOnce(Step);
  }
  std::string Where = Written->text("process");
  for (const std::string &Name : Written->texts("sum_of"))
    Where += (Where.empty() ? "" : "+") + Name;
  Where += " " + Step.text("method", "GET") + " " + Written->text("path");
  for (const char *Key : {"pointer", "metric"})
    if (Step.has(Key))
      Where += " " + Written->text(Key);
  if (Finding)
    return bad(Where + " " + *Finding);
  if (HoldsMs > 0)
    Where += " for " + std::to_string(HoldsMs) + " ms";
  return good(Where + ": " + describe(*Written));
}

interpreter::outcome interpreter::show(const step &Step) {
  std::string Reason;
  const process *Process = resolve(Step.text("process"), Reason);
  if (!Process)
    return bad(Reason);
  const http_response Response = fetchFrom(Step, *Process);
  if (Response.Status != 200)
    return bad("status " + std::to_string(Response.Status) + " " +
               Response.Body);
  const json Body = json::parse(Response.Body, nullptr, false);
  print("--- " + Step.text("title", Written->text("path")));
  print(Body.is_discarded() ? Response.Body : Body.dump(2));
  return good(Step.text("title", Written->text("path")));
}

} // namespace turmerichead::scenario
