#include "dispatcher_pvt.h"

#include "cache_move_pvt.h"
#include "turmerichead/hash.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

/// Limit for upstreams that are tried in one attempt and cannot be reached.
constexpr int MaxConnects = 3;
constexpr std::size_t BytesPerToken = 4;
constexpr int HttpOk = 200;
constexpr int HttpTooMany = 429;
constexpr int HttpUnavailable = 503;

std::vector<http_header> callHeaders(const dispatch_call &Command) {
  std::vector<http_header> Headers = {
      {"X-Turmerichead-Program", Command.Program},
      {"X-Turmerichead-Call", std::to_string(Command.Number)}};
  if (!Command.IdempotencyKey.empty())
    Headers.push_back({"Idempotency-Key", Command.IdempotencyKey});
  return Headers;
}

milliseconds timeLeft(const dispatch_call &Command, milliseconds CallTimeout) {
  milliseconds Left = Command.Deadline - steadyNow();
  if (CallTimeout.count() > 0)
    Left = std::min(Left, CallTimeout);
  return std::max(Left, milliseconds(1));
}

std::string_view serviceOf(std::string_view Target) {
  return Target.substr(0, Target.find('/'));
}

std::string_view pathOf(std::string_view Target) {
  auto Slash = Target.find('/');
  return Slash == std::string_view::npos ? "/" : Target.substr(Slash);
}

} // namespace

dispatcher::dispatcher(host_context &Context, gate_client &Gates,
                       dispatch_events Events)
    : Context(Context), Gates(Gates), Events(std::move(Events)) {}

dispatcher::~dispatcher() {
  std::vector<call_id> Open;
  for (const auto &[Call, Row] : Rows)
    Open.push_back(Call);
  for (call_id Call : Open)
    cancel(Call);
}

dispatcher::row *dispatcher::find(call_id Call) {
  auto Found = Rows.find(Call);
  return Found == Rows.end() ? nullptr : Found->second.get();
}

dispatcher::row dispatcher::take(call_id Call) {
  auto Found = Rows.find(Call);
  row Result = std::move(*Found->second);
  Rows.erase(Found);
  return Result;
}

void dispatcher::start(const dispatch_call &Command,
                       const program_facts &Facts) {
  auto Row = std::make_unique<row>();
  Row->Command = Command;
  Row->Facts = Facts;
  call_id Call = Command.Call;
  Rows.insert_or_assign(Call, std::move(Row));
  Context.Metrics.add("dispatches_total");
  if (Command.Kind == call_kind::Model)
    startModel(Call);
  else
    startService(Call);
}

void dispatcher::cancel(call_id Call) {
  row *Row = find(Call);
  if (!Row)
    return;
  if (Row->Http)
    Context.Http->cancel(Row->Http);
  if (Row->Command.Kind == call_kind::Service && !Row->Upstream.empty())
    --ServiceInFlight[Row->Upstream];
  if (Row->Ask != 0) {
    if (Row->Upstream.empty())
      Gates.cancel(Row->Ask);
    else
      Gates.done(Row->Ask, sched::outcome::Cancelled, {}, milliseconds(0));
  }
  Rows.erase(Call);
}

void dispatcher::notSent(call_id Call, std::string Code,
                         std::int64_t RetryAfterMs) {
  take(Call);
  Events.OnNotSent(Call, std::move(Code), RetryAfterMs);
}

// -- Model calls ------------------------------------------------------------

void dispatcher::startModel(call_id Call) {
  row *Row = find(Call);
  auto Request = parseChatRequest(Row->Command.Body);
  if (!Request) {
    notSent(Call, "invalid_input", 0);
    return;
  }
  Row->Body = std::move(Request->Body);
  Row->Fingerprint =
      hash64(Row->Body["messages"].dump(), hash64(Row->Command.Target));
  askGate(Call);
}

void dispatcher::askGate(call_id Call) {
  row *Row = find(Call);
  const dispatch_call &Command = Row->Command;
  ask_message Message;
  Message.Root = rootOf(Command.Program);
  Message.Group = chooseGroupFor(Context, Command.Target, Message.Root);
  if (Message.Group.empty()) {
    notSent(Call, "no_runner", 1000);
    return;
  }
  Message.Program = Command.Program;
  Message.Owner = Row->Facts.Owner;
  Message.Entry = Command.Entry;
  Message.Rank = Command.Rank;
  Message.PromptTokens =
      static_cast<std::int64_t>(Command.Body.size() / BytesPerToken);
  Message.CachedTokens =
      std::min(Row->Facts.LastCallTokens, Message.PromptTokens);
  Message.MaxOutputTokens = Command.MaxOutputTokens;
  Message.AttainedService = Row->Facts.AttainedTokens;
  Message.Started = Row->Facts.Started;
  Message.ProgramAgeMs = Row->Facts.AgeMs;
  Message.DeadlineMs = timeLeft(Command, milliseconds(0)).count();
  Message.Fingerprint = Row->Fingerprint;
  Message.ParentWaiting = Row->Facts.ParentWaiting;
  Row->Upstream.clear();
  gate_client::ask_id Ask =
      Gates.ask(std::move(Message),
                [this, Call](const ask_reply &Reply) { onGrant(Call, Reply); });
  if (row *Again = find(Call))
    Again->Ask = Ask;
}

void dispatcher::onGrant(call_id Call, const ask_reply &Reply) {
  row *Row = find(Call);
  if (!Row)
    return;
  if (!Reply.Granted) {
    Row->Ask = 0;
    notSent(Call, Reply.Reason, Reply.RetryAfterMs);
    return;
  }
  Row->Upstream = Reply.Runner;
  if (Reply.MoveCacheFrom.empty())
    sendModel(Call);
  else
    moveCache(Context, Row->Command.Program, Reply.MoveCacheFrom, Reply.Runner,
              [this, Call, Alive = std::weak_ptr<int>(Token)] {
                if (!Alive.expired() && find(Call))
                  sendModel(Call);
              });
}

void dispatcher::sendModel(call_id Call) {
  row *Row = find(Call);
  auto Upstream = Context.Upstreams.find(Row->Upstream);
  if (Upstream == Context.Upstreams.end()) {
    finishModel(Call, sched::outcome::Cancelled);
    askGate(Call);
    return;
  }
  http_request Request;
  Request.Method = "POST";
  Request.Url = urlOf(Upstream->second, "/v1/chat/completions");
  Request.Headers = callHeaders(Row->Command);
  Request.Body = engineBody(Row->Body, Row->Command.MaxOutputTokens);
  Request.Timeout = timeLeft(Row->Command, Row->Facts.CallTimeout);
  Row->Http = Context.Http->send(
      Request,
      {.OnHeaders =
           [this, Call](int Status, const auto &) {
             if (row *Row = find(Call))
               Row->Status = Status;
           },
       .OnChunk = [this,
                   Call](std::string_view Bytes) { onModelChunk(Call, Bytes); },
       .OnEnd = [this, Call](
                    const http_result &Result) { onModelEnd(Call, Result); }});
}

void dispatcher::onModelChunk(call_id Call, std::string_view Bytes) {
  row *Row = find(Call);
  if (!Row)
    return;
  if (Row->Status != HttpOk) {
    Row->Received += Bytes;
    return;
  }
  std::string Forward;
  bool Whole = Row->Splitter.feed(Bytes, [&](std::string_view Data) {
    switch (Row->Assembler.take(Data)) {
    case chat_event::Forward:
      Forward += "data: ";
      Forward += Data;
      Forward += "\n\n";
      break;
    case chat_event::Broken:
      Row->Broken = true;
      break;
    case chat_event::Hold:
    case chat_event::Done:
      break;
    }
  });
  if (!Whole)
    Row->Broken = true;
  if (!Forward.empty())
    Events.OnEvents(Call, Forward);
}

void dispatcher::finishModel(call_id Call, sched::outcome Outcome) {
  row *Row = find(Call);
  const chat_usage &Usage = Row->Assembler.usage();
  Gates.done(Row->Ask, Outcome,
             {static_cast<std::int64_t>(Usage.PromptTokens),
              static_cast<std::int64_t>(Usage.CachedTokens),
              static_cast<std::int64_t>(Usage.CompletionTokens)},
             Row->Facts.ExpectedPause);
  Row->Ask = 0;
  Row->Http = {};
}

void dispatcher::onModelEnd(call_id Call, const http_result &Result) {
  row *Row = find(Call);
  if (!Row)
    return;
  bool Complete = Result.Code == error_code::None && Result.Status == HttpOk &&
                  Row->Assembler.complete() && !Row->Broken;
  if (Complete) {
    finishModel(Call, sched::outcome::Ok);
    row Done = take(Call);
    const chat_usage &Usage = Done.Assembler.usage();
    upstream_answer Answer;
    Answer.ContentType = "application/json";
    Answer.Body = Done.Assembler.completion().dump(
        -1, ' ', false, json::error_handler_t::replace);
    if (Usage.PromptTokens + Usage.CompletionTokens > 0)
      Answer.Tokens = Usage.PromptTokens + Usage.CompletionTokens;
    Events.OnAnswered(Call, std::move(Answer));
    return;
  }
  bool Busy = Result.Status == HttpTooMany || Result.Status == HttpUnavailable;
  if (!Result.Sent || Busy) {
    finishModel(Call, Result.Sent ? sched::outcome::Error
                                  : sched::outcome::Unreachable);
    Context.Metrics.add("upstream_unreachable_total");
    if (++Row->Connects < MaxConnects)
      askGate(Call);
    else
      notSent(Call, "upstream_unavailable", 1000);
    return;
  }
  if (Result.Code == error_code::None && Result.Status != HttpOk) {
    // An error status of the engine is an answer like any other.
    finishModel(Call, Result.Status >= 500 ? sched::outcome::Error
                                           : sched::outcome::Ok);
    row Done = take(Call);
    upstream_answer Answer;
    Answer.HttpStatus = static_cast<std::uint16_t>(Result.Status);
    Answer.ContentType = "application/json";
    Answer.Body = std::move(Done.Received);
    Answer.Tokens = 0;
    Events.OnAnswered(Call, std::move(Answer));
    return;
  }
  if (Result.Code == error_code::Timeout) {
    finishModel(Call, sched::outcome::Cancelled);
    take(Call);
    Events.OnLost(Call, "upstream_timeout", false);
    return;
  }
  finishModel(Call, sched::outcome::RunnerCrashed);
  row Done = take(Call);
  log::warn("upstream died under a call", {{"upstream", Done.Upstream},
                                           {"program", Done.Command.Program},
                                           {"reason", Result.Text}});
  Context.Metrics.add("upstream_deaths_total");
  std::optional<std::string> Partial;
  if (!Done.Assembler.hasToolCalls())
    Partial = Done.Assembler.content();
  Events.OnDied(Call, Done.Upstream, std::move(Partial));
}

// -- Service calls ----------------------------------------------------------

std::string dispatcher::pickService(std::string_view Service,
                                    std::string_view Avoid) {
  std::string Best;
  int BestLoad = 0;
  time_point Now = steadyNow();
  for (const auto &[Name, Upstream] : Context.Upstreams) {
    if (Upstream.Kind != upstream_kind::Service ||
        Upstream.Service != Service ||
        Upstream.Phase == upstream_phase::Leaving)
      continue;
    auto Breaker = Breakers.find(Name);
    if (Breaker != Breakers.end() && !Breaker->second.allows(Now))
      continue;
    int Load = ServiceInFlight[Name];
    if (Name == Avoid)
      Load += 1000;
    if (Best.empty() || Load < BestLoad) {
      Best = Name;
      BestLoad = Load;
    }
  }
  return Best;
}

void dispatcher::startService(call_id Call) {
  row *Row = find(Call);
  const dispatch_call &Command = Row->Command;
  Row->Fingerprint = hash64(Command.Body, hash64(Command.Target));
  time_point Now = steadyNow();
  if (ServicePoison.stateOf(Row->Fingerprint, Now) ==
      sched::poison_state::Quarantined) {
    notSent(Call, "poison_request", 0);
    return;
  }
  Row->Upstream = pickService(serviceOf(Command.Target), Row->Upstream);
  if (Row->Upstream.empty()) {
    notSent(Call, "no_upstream", 1000);
    return;
  }
  ++ServiceInFlight[Row->Upstream];
  const upstream_object &Upstream =
      Context.Upstreams.find(Row->Upstream)->second;
  http_request Request;
  Request.Method = "POST";
  Request.Url = urlOf(Upstream, pathOf(Command.Target));
  Request.Headers = callHeaders(Command);
  Request.Body = Command.Body;
  // If a reused connection is lost while it is written to, the outcome is
  // unknown, and a non-idempotent call could not be retried.
  Request.FreshConnection = Command.NonIdempotent;
  Request.Timeout = timeLeft(Command, Row->Facts.CallTimeout);
  Row->Http = Context.Http->send(
      Request, {.OnHeaders =
                    [this, Call](int Status, const auto &Header) {
                      row *Row = find(Call);
                      if (!Row)
                        return;
                      Row->Status = Status;
                      Row->ContentType =
                          Header("Content-Type").value_or("application/json");
                    },
                .OnChunk =
                    [this, Call](std::string_view Bytes) {
                      if (row *Row = find(Call))
                        Row->Received += Bytes;
                    },
                .OnEnd =
                    [this, Call](const http_result &Result) {
                      onServiceEnd(Call, Result);
                    }});
}

void dispatcher::onServiceEnd(call_id Call, const http_result &Result) {
  row *Row = find(Call);
  if (!Row)
    return;
  Row->Http = {};
  time_point Now = steadyNow();
  --ServiceInFlight[Row->Upstream];
  auto Breaker =
      Breakers
          .try_emplace(Row->Upstream, sched::gate_settings().BreakerErrors,
                       sched::gate_settings().BreakerOpenFor)
          .first;
  if (Result.Code == error_code::None) {
    Breaker->second.succeeded();
    row Done = take(Call);
    upstream_answer Answer;
    Answer.HttpStatus = static_cast<std::uint16_t>(Result.Status);
    Answer.ContentType = std::move(Done.ContentType);
    Answer.Body = std::move(Done.Received);
    Answer.Tokens = 0;
    Events.OnAnswered(Call, std::move(Answer));
    return;
  }
  Breaker->second.failed(Now);
  if (!Result.Sent) {
    if (++Row->Connects < MaxConnects)
      startService(Call);
    else
      notSent(Call, "upstream_unavailable", 1000);
    return;
  }
  row Done = take(Call);
  bool Timeout = Result.Code == error_code::Timeout;
  if (Timeout || Done.Command.NonIdempotent) {
    Events.OnLost(Call, Timeout ? "upstream_timeout" : "upstream_lost", true);
    return;
  }
  ServicePoison.recordCrash(
      Done.Fingerprint,
      hash64(Done.Upstream) ^ static_cast<std::uint64_t>(Now.Ms), Now);
  Events.OnDied(Call, Done.Upstream, std::string());
}

} // namespace turmerichead::host_pvt
