// State of the runners of a gate: load, cache events, and caches that are no
// longer needed.

#include "gates_pvt.h"

#include "cache_move_pvt.h"
#include "turmerichead/json_fields.h"

#include <algorithm>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr milliseconds RunnerCallTimeout{2000};

/// Sends a GET for a small JSON document. The next poll retries after a
/// failure.
http_request getRequest(std::string Url) {
  http_request Request;
  Request.Method = "GET";
  Request.Url = std::move(Url);
  Request.Timeout = RunnerCallTimeout;
  return Request;
}

http_call_events collectJson(std::function<void(const json &Value)> Done) {
  auto Body = std::make_shared<std::string>();
  return {.OnHeaders = {},
          .OnChunk = [Body](std::string_view Bytes) { *Body += Bytes; },
          .OnEnd =
              [Body, Done = std::move(Done)](const http_result &Result) {
                if (Result.Code != error_code::None || Result.Status != 200)
                  return;
                json Value = json::parse(*Body, nullptr, false);
                if (!Value.is_discarded())
                  Done(Value);
              }};
}

} // namespace

void gate_service::pollRunners() {
  for (const auto &[Group, Row] : Rows)
    for (const runner_group &Candidate : groupsOf(Context, Row.Model))
      if (Candidate.Id == Group)
        for (const std::string &Runner : Candidate.Runners) {
          pollLoad(Group, Runner);
          pollEvents(Group, Runner);
        }
}

void gate_service::pollLoad(const std::string &Group,
                            const std::string &Runner) {
  const upstream_object &Upstream = Context.Upstreams.find(Runner)->second;
  Context.Http->send(getRequest(urlOf(Upstream, "/load")),
                     collectJson([this, Group, Runner](const json &Value) {
                       auto Row = Rows.find(Group);
                       if (Row == Rows.end() || !Value.is_object())
                         return;
                       sched::load_report Load;
                       Load.Running = integerAt<int>(Value, "running", 0);
                       Load.Waiting = integerAt<int>(Value, "waiting", 0);
                       Load.CacheUsed =
                           integerAt<std::int64_t>(Value, "cache_tokens", 0);
                       Load.Age = millisecondsAt(Value, "age_ms", {});
                       Row->second.Gate.reportLoad(Runner, Load, steadyNow());
                     }));
}

void gate_service::pollEvents(const std::string &Group,
                              const std::string &Runner) {
  const upstream_object &Upstream = Context.Upstreams.find(Runner)->second;
  std::string Since = std::to_string(EventCursor[Runner]);
  Context.Http->send(
      getRequest(urlOf(Upstream, "/cache/events?since=" + Since)),
      collectJson([this, Group, Runner](const json &Value) {
        auto Row = Rows.find(Group);
        if (Row == Rows.end() || !Value.is_object() ||
            !Value.contains("events") || !Value["events"].is_array())
          return;
        for (const json &Item : Value["events"]) {
          if (!Item.is_object())
            continue;
          sched::cache_event Event;
          std::string Kind = textAt(Item, "type");
          Event.Kind = Kind.empty() || Kind == "stored"
                           ? sched::cache_event::kind::Stored
                           : sched::cache_event::kind::Evicted;
          Event.Program = textAt(Item, "program");
          Event.Tokens = integerAt<std::int64_t>(Item, "tokens", 0);
          Row->second.Gate.cacheEvent(Runner, Event, steadyNow());
          auto Sequence = integerAt<std::uint64_t>(Item, "number", 0);
          EventCursor[Runner] = std::max(EventCursor[Runner], Sequence);
        }
      }));
}

void gate_service::sweepCaches() {
  time_point Now = steadyNow();
  Poison.expire(Now);
  for (auto &[Group, Row] : Rows)
    Row.Gate.poison().expire(Now);
  for (const auto &[Group, Row] : Rows)
    for (const runner_group &Candidate : groupsOf(Context, Row.Model))
      if (Candidate.Id == Group)
        for (const std::string &Runner : Candidate.Runners)
          sweepRunner(Group, Runner);
}

void gate_service::sweepRunner(const std::string &Group,
                               const std::string &Runner) {
  const upstream_object &Upstream = Context.Upstreams.find(Runner)->second;
  Context.Http->send(
      getRequest(urlOf(Upstream, "/cache")),
      collectJson([this, Group, Runner](const json &Value) {
        if (!Value.is_object() || !Value.contains("programs") ||
            !Value["programs"].is_object())
          return;
        noteCapacity(Runner, integerAt<std::int64_t>(Value, "max_tokens", 0));
        std::vector<std::string> Listed;
        for (const auto &[Program, Tokens] : Value["programs"].items())
          Listed.push_back(Program);
        findDead(Group, Runner, Listed);
      }));
}

void gate_service::noteCapacity(const std::string &Runner,
                                std::int64_t Tokens) {
  if (Tokens <= 0 || CacheCapacity[Runner] == Tokens)
    return;
  CacheCapacity[Runner] = Tokens;
  refresh();
}

void gate_service::findDead(const std::string &Group, const std::string &Runner,
                            const std::vector<std::string> &Listed) {
  // Each holder is asked for its own programs. If one does not answer, its
  // programs count as live until the next sweep.
  std::map<std::string, std::vector<std::string>> ByHolder;
  for (const std::string &Program : Listed)
    if (std::string Holder(Context.holderOf(Program)); !Holder.empty())
      ByHolder[Holder].push_back(Program);
  for (const auto &Asked : ByHolder) {
    living_message Message{Asked.second};
    auto Finish = [this, Group, Runner,
                   Programs = Asked.second](const living_message &Reply) {
      auto Row = Rows.find(Group);
      if (Row == Rows.end())
        return;
      std::set<std::string, std::less<>> Living(Reply.Programs.begin(),
                                                Reply.Programs.end());
      for (const std::string &Program : Programs)
        if (!Living.contains(Program))
          releaseCacheAt(Context, Program, Runner);
    };
    Context.Links->send(
        Asked.first,
        {.Path = std::string(LivingPath), .Headers = {}, .Body = pack(Message)},
        {.OnMessage =
             [Finish](std::string_view Bytes) {
               if (auto Reply = unpack<living_message>(Bytes))
                 Finish(*Reply);
             },
         .OnEnd = {}});
  }
}

} // namespace turmerichead::host_pvt
