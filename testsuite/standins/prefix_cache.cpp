#include "prefix_cache.h"

#include <algorithm>

namespace turmerichead::standin {

namespace {
constexpr std::size_t MaxEvents = 1000;
} // namespace

std::int64_t prefix_cache::held(const std::string &Program) const {
  const auto Found = Rows.find(Program);
  return Found == Rows.end() ? 0 : Found->second.Tokens;
}

std::int64_t prefix_cache::lost(const std::string &Program,
                                std::int64_t PromptTokens) const {
  const auto Found = EverComputed.find(Program);
  if (Found == EverComputed.end())
    return 0;
  const std::int64_t Known = std::min(Found->second, PromptTokens);
  return std::max<std::int64_t>(0, Known - held(Program));
}

void prefix_cache::store(const std::string &Program, std::int64_t Tokens,
                         std::int64_t NowMs) {
  row &Row = Rows[Program];
  Total += Tokens - Row.Tokens;
  Row = {Tokens, ++Uses};
  std::int64_t &Ever = EverComputed[Program];
  Ever = std::max(Ever, Tokens);
  publish("stored", Program, Tokens, NowMs);
  while (Total > MaxTokens && Rows.size() > 1)
    evictOldest(NowMs);
}

std::int64_t prefix_cache::release(const std::string &Program, bool Tree,
                                   std::int64_t NowMs) {
  const std::string Below = Program + "/";
  std::int64_t Freed = 0;
  for (auto Next = Rows.begin(); Next != Rows.end();) {
    const bool Matches =
        Next->first == Program ||
        (Tree && Next->first.compare(0, Below.size(), Below) == 0);
    if (!Matches) {
      ++Next;
      continue;
    }
    Freed += Next->second.Tokens;
    publish("released", Next->first, Next->second.Tokens, NowMs);
    Next = Rows.erase(Next);
  }
  Total -= Freed;
  return Freed;
}

nlohmann::json prefix_cache::programs() const {
  nlohmann::json Result = nlohmann::json::object();
  for (const auto &[Program, Row] : Rows)
    Result[Program] = Row.Tokens;
  return {{"programs", Result}, {"tokens", Total}, {"max_tokens", MaxTokens}};
}

nlohmann::json prefix_cache::eventsAfter(std::uint64_t Since,
                                         std::int64_t NowMs) const {
  nlohmann::json Result = nlohmann::json::array();
  std::uint64_t Last = Since;
  for (const event &Event : Events) {
    if (Event.Number <= Since || Event.AtMs + EventLagMs > NowMs)
      continue;
    Result.push_back({{"number", Event.Number},
                      {"type", Event.Type},
                      {"program", Event.Program},
                      {"tokens", Event.Tokens}});
    Last = Event.Number;
  }
  return {{"events", Result}, {"next", Last}};
}

void prefix_cache::publish(const std::string &Type, const std::string &Program,
                           std::int64_t Tokens, std::int64_t NowMs) {
  ++LastEvent;
  if (LoseEvery != 0 && LastEvent % LoseEvery == 0)
    return;
  Events.push_back({LastEvent, NowMs, Type, Program, Tokens});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

void prefix_cache::evictOldest(std::int64_t NowMs) {
  const auto Oldest = std::min_element(
      Rows.begin(), Rows.end(), [](const auto &Left, const auto &Right) {
        return Left.second.LastUse < Right.second.LastUse;
      });
  Total -= Oldest->second.Tokens;
  publish("evicted", Oldest->first, Oldest->second.Tokens, NowMs);
  Rows.erase(Oldest);
}

} // namespace turmerichead::standin
