#include "runner_engine.h"

#include "runner_answers.h"

#include <unistd.h>

#include <algorithm>

namespace turmerichead::standin {

using nlohmann::json;

namespace {

constexpr int CrashStatus = 3;
constexpr std::size_t MaxSequence = 20000;

json usageOf(const generation &Row) {
  return {{"prompt_tokens", Row.PromptTokens},
          {"completion_tokens", Row.Tokens.size()},
          {"total_tokens",
           Row.PromptTokens + static_cast<std::int64_t>(Row.Tokens.size())},
          {"prompt_tokens_details", {{"cached_tokens", Row.ReusedTokens}}}};
}

std::string eventOf(const generation &Row, const json &Choice) {
  json Event = {{"id", "chatcmpl-" + Row.Key},
                {"object", "chat.completion.chunk"},
                {"choices", json::array()}};
  if (Choice.is_null())
    Event["usage"] = usageOf(Row);
  else
    Event["choices"].push_back(Choice);
  return "data: " + Event.dump() + "\n\n";
}

const char *finishReason(const generation &Row) {
  return Row.Cut ? "length" : "stop";
}

/// Skips the tokens that a partial answer to be continued already holds.
void skipPartialAnswer(generation &Row, const json &Request) {
  const json &Messages = Request["messages"];
  if (!Request.value("continue_final_message", false) || Messages.empty())
    return;
  std::string Partial = contentOf(Messages.back());
  std::size_t Length = 0;
  std::size_t Skip = 0;
  while (Skip < Row.Tokens.size() &&
         Length + Row.Tokens[Skip].size() <= Partial.size())
    Length += Row.Tokens[Skip++].size();
  Row.Tokens.erase(Row.Tokens.begin(),
                   Row.Tokens.begin() + static_cast<std::ptrdiff_t>(Skip));
}

} // namespace

runner_engine::runner_engine(engine_settings Settings)
    : Settings(Settings),
      Cache(Settings.CacheTokens, Settings.EventLagMs, Settings.LoseEvery) {
  sampleLoad();
}

void runner_engine::onCall(const exchange &Call) {
  const std::string &Path = Call.path();
  if (Path == "/v1/chat/completions")
    return onCompletion(Call);
  if (Path == "/control")
    return onControl(Call);
  if (Path == "/stats")
    return Call.reply(200, stats());
  if (Path == "/load")
    return Call.reply(200, Load);
  if (Path == "/orders")
    return onOrder(Call);
  if (Path == "/healthz")
    return Call.reply(200, {{"ok", true}});
  if (Path.compare(0, 6, "/cache") == 0)
    return onCache(Call);
  Call.reply(404, {{"error", "no such path"}});
}

void runner_engine::onCompletion(const exchange &Call) {
  const json Request = Call.json();
  if (!Request.is_object() || !Request.contains("messages"))
    return Call.reply(400, {{"error", {{"message", "messages are missing"}}}});
  if (!DieOn.empty() && Call.body().find(DieOn) != std::string::npos)
    _exit(CrashStatus);
  Call.hold();
  const std::string CallNumber = Call.header("X-Turmerichead-Call");
  generation Row{Call};
  Row.Program = Call.header("X-Turmerichead-Program");
  Row.Key = Row.Program + "#" + CallNumber;
  Row.Stream = Request.value("stream", false);
  const std::int64_t Whole = Request.value("min_tokens", Settings.AnswerTokens);
  const std::int64_t Wanted =
      std::min(Whole, Request.value("max_tokens", Whole));
  Row.Cut = Wanted < Whole;
  Row.Tokens = answerTokens(lastQuestion(Request["messages"]), Row.Program,
                            CallNumber, Wanted);
  skipPartialAnswer(Row, Request);
  Row.PromptTokens = countTokens(Request["messages"]);
  if (Hang)
    return;
  Waiting.push_back(std::move(Row));
  admitWaiting();
}

void runner_engine::admitWaiting() {
  while (Running.size() < Settings.Slots && !Waiting.empty()) {
    begin(std::move(Waiting.front()));
    Waiting.pop_front();
  }
}

void runner_engine::begin(generation Row) {
  if (!Row.Call.isOpen()) {
    ++Cancelled;
    return;
  }
  ++Executions[Row.Key];
  if (Sequence.size() < MaxSequence)
    Sequence.push_back(Row.Key);
  Row.ReusedTokens = std::min(Cache.held(Row.Program), Row.PromptTokens);
  const std::int64_t Computed = Row.PromptTokens - Row.ReusedTokens;
  PrefillComputed += Computed;
  PrefillAgain += Cache.lost(Row.Program, Row.PromptTokens);
  Row.PrefillLeftMs =
      static_cast<double>(Computed) * Settings.PrefillUsPerToken / 1000.0;
  if (!Row.Program.empty())
    Cache.store(Row.Program, Row.PromptTokens, nowMs());
  if (Row.Stream)
    Row.Call.startStream("text/event-stream");
  Running.push_back(std::move(Row));
}

void runner_engine::tick(std::int64_t NowMs) {
  const auto ElapsedMs = static_cast<double>(NowMs - LastTickMs);
  LastTickMs = NowMs;
  for (std::size_t I = 0; I < Running.size();) {
    if (advance(Running[I], ElapsedMs)) {
      ++I;
      continue;
    }
    Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(I));
  }
  admitWaiting();
}

bool runner_engine::advance(generation &Row, double ElapsedMs) {
  if (!Row.Call.isOpen()) {
    ++Cancelled;
    return false;
  }
  const double PrefillMs = std::min(Row.PrefillLeftMs, ElapsedMs);
  Row.PrefillLeftMs -= PrefillMs;
  Row.DecodeMs += ElapsedMs - PrefillMs;
  while (Row.Sent < Row.Tokens.size() && Row.DecodeMs >= Settings.MsPerToken) {
    Row.DecodeMs -= Settings.MsPerToken;
    emitToken(Row);
    if (!Row.Call.isOpen() || BreakAfterTokens == 0) {
      BreakAfterTokens = -1;
      Row.Call.drop();
      return false;
    }
  }
  if (Row.Sent < Row.Tokens.size())
    return true;
  finish(Row);
  return false;
}

void runner_engine::emitToken(generation &Row) {
  if (DieAfterTokens == 0)
    _exit(CrashStatus);
  if (DieAfterTokens > 0)
    --DieAfterTokens;
  if (BreakAfterTokens > 0)
    --BreakAfterTokens;
  const std::string &Token = Row.Tokens[Row.Sent++];
  ++TokensMade;
  Row.Text += Token;
  if (!Row.Stream)
    return;
  json Delta = {{"content", Token}};
  if (Row.Sent == 1)
    Delta["role"] = "assistant";
  Row.Call.send(eventOf(
      Row, {{"index", 0}, {"delta", Delta}, {"finish_reason", nullptr}}));
}

void runner_engine::finish(generation &Row) {
  const auto Made = static_cast<std::int64_t>(Row.Tokens.size());
  if (!Row.Program.empty() && Cache.held(Row.Program) != 0)
    Cache.store(Row.Program, Row.PromptTokens + Made, nowMs());
  if (Row.Stream) {
    Row.Call.send(eventOf(Row, {{"index", 0},
                                {"delta", json::object()},
                                {"finish_reason", finishReason(Row)}}));
    Row.Call.send(eventOf(Row, json()));
    Row.Call.send("data: [DONE]\n\n");
    return Row.Call.endStream();
  }
  const json Choice = {
      {"index", 0},
      {"message", {{"role", "assistant"}, {"content", Row.Text}}},
      {"finish_reason", finishReason(Row)}};
  Row.Call.reply(200, {{"id", "chatcmpl-" + Row.Key},
                       {"object", "chat.completion"},
                       {"choices", json::array({Choice})},
                       {"usage", usageOf(Row)}});
}

void runner_engine::sampleLoad() {
  Load = {{"running", Running.size()},
          {"waiting", Waiting.size()},
          {"slots", Settings.Slots},
          {"cache_tokens", Cache.programs()["tokens"]}};
}

json runner_engine::stats() const {
  int Total = 0;
  int Most = 0;
  for (const auto &[Key, Count] : Executions) {
    Total += Count;
    Most = std::max(Most, Count);
  }
  return {{"executions", Executions},
          {"total", Total},
          {"most_per_call", Most},
          {"sequence", Sequence},
          {"running", Running.size()},
          {"waiting", Waiting.size()},
          {"tokens", TokensMade},
          {"prefill_computed", PrefillComputed},
          {"prefill_wasted", PrefillAgain},
          {"cancelled", Cancelled},
          {"orders_taken", OrdersTaken},
          {"orders_refused", OrdersRefused},
          {"fencing_token", HighestFencingToken}};
}

void runner_engine::onControl(const exchange &Call) {
  const json Order = Call.json();
  if (!Order.is_object())
    return Call.reply(400, {{"error", "not a JSON object"}});
  if (Order.value("die", false))
    _exit(CrashStatus);
  DieOn = Order.value("die_on", DieOn);
  Hang = Order.value("hang", Hang);
  Settings.MsPerToken = Order.value("slow_ms", Settings.MsPerToken);
  DieAfterTokens = Order.value("die_after_tokens", DieAfterTokens);
  BreakAfterTokens = Order.value("break_after_tokens", BreakAfterTokens);
  Call.reply(200, {{"ok", true}});
}

void runner_engine::onOrder(const exchange &Call) {
  const json Order = Call.json();
  if (!Order.is_object())
    return Call.reply(400, {{"error", "not a JSON object"}});
  const std::int64_t Token = Order.value("fencing_token", std::int64_t{0});
  if (Settings.ChecksFencing && Token < HighestFencingToken) {
    ++OrdersRefused;
    return Call.reply(409, {{"error", "old fencing token"},
                            {"fencing_token", HighestFencingToken}});
  }
  HighestFencingToken = std::max(HighestFencingToken, Token);
  ++OrdersTaken;
  Call.reply(200, {{"ok", true}});
}

void runner_engine::onCache(const exchange &Call) {
  const std::string &Path = Call.path();
  if (Path == "/cache")
    return Call.reply(200, Cache.programs());
  if (Path == "/cache/events") {
    const std::string Since = Call.query("since", "0");
    return Call.reply(
        200,
        Cache.eventsAfter(std::strtoull(Since.c_str(), nullptr, 10), nowMs()));
  }
  const json Order = Call.json();
  if (!Order.is_object() || !Order.contains("program"))
    return Call.reply(400, {{"error", "program is missing"}});
  const auto Program = Order["program"].get<std::string>();
  if (Path == "/cache/release") {
    const std::int64_t Freed =
        Cache.release(Program, Order.value("tree", false), nowMs());
    return Call.reply(200, {{"freed_tokens", Freed}});
  }
  if (Path == "/cache/export")
    return Call.reply(200, {{"program", Program},
                            {"tokens", Cache.held(Program)},
                            {"data", "a3Y="}});
  if (Path != "/cache/import")
    return Call.reply(404, {{"error", "no such path"}});
  Cache.store(Program, Order.value("tokens", std::int64_t{0}), nowMs());
  Call.reply(200, {{"ok", true}});
}

} // namespace turmerichead::standin
