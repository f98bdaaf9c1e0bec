// How calls end: answers of this host, budgets, logs.

#include "relay_pvt.h"

#include "turmerichead/log.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

constexpr double MsPerSecond = 1000.0;

std::string secondsText(milliseconds Time) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                static_cast<double>(Time.count()) / MsPerSecond);
  return Text.data();
}

} // namespace

void relay::impl::respondWithText(http1::exchange_id Exchange, int Status,
                                  std::string_view Reason,
                                  http1::header_list Headers) {
  Headers.add("Content-Type", "text/plain");
  std::string Body(Reason);
  Body += "\n";
  Server->respond(Exchange, Status, Headers, Body);
}

void relay::impl::respondUnavailable(http1::exchange_id Exchange,
                                     std::string_view Reason,
                                     milliseconds RetryAfter, int Status) {
  respondWithText(Exchange, Status, Reason,
                  {{Names.RetryAfter, secondsText(RetryAfter)}});
}

void relay::impl::refuse(relay_call_id Id, std::string_view Reason) {
  refuse(Id, Reason, Settings.RetryAfter);
}

void relay::impl::refuse(relay_call_id Id, std::string_view Reason,
                         milliseconds RetryAfter, int Status) {
  relay_call &Call = *Calls.find(Id);
  if (Call.Phase == call_phase::Streaming) {
    abortResponse(Id, Reason);
    return;
  }
  if (Call.MayHaveRun) {
    failCall(Id, http1::status::BadGateway, Reason);
    return;
  }
  settleBudget(Call);
  respondUnavailable(Call.Exchange, Reason, RetryAfter, Status);
  finish(Id, Status, Reason);
}

void relay::impl::failCall(relay_call_id Id, int Status,
                           std::string_view Reason) {
  relay_call &Call = *Calls.find(Id);
  settleBudget(Call);
  respondWithText(Call.Exchange, Status, Reason);
  finish(Id, Status, Reason);
}

void relay::impl::abortResponse(relay_call_id Id, std::string_view Reason) {
  relay_call &Call = *Calls.find(Id);
  settleBudget(Call);
  Server->abort(Call.Exchange);
  finish(Id, 0, Reason);
}

turns::close_call relay::impl::closeOf(const relay_call &Call) const {
  turns::close_call Close;
  Close.Attempt = Call.scoped(Call.Params.Id);
  Close.Program = Call.scoped(Call.Params.Program);
  Close.Tokens = Call.tokens();
  Close.HasBudget = Call.hasBudget();
  Close.Retention = Routing.recordRetention(Call.Route);
  return Close;
}

void relay::impl::settleBudget(const relay_call &Call) {
  // While a turn is being stored, the same request reports its tokens.
  if (!Call.Reserved || Call.Phase == call_phase::Keeping)
    return;
  Turns.close(closeOf(Call), [Id = Call.Params.Id](bool Kept) {
    if (!Kept)
      log::warn("failed to report tokens to the disk hosts", {{"id", Id}});
  });
}

void relay::impl::finish(relay_call_id Id, int Status,
                         std::string_view Reason) {
  relay_call &Call = *Calls.find(Id);
  if (Call.Operation)
    Turns.cancel(Call.Operation);
  cancelAttempts(Call);
  time_point Now = steadyNow();
  std::int64_t TookMs = (Now - Call.Arrived).count();
  nlohmann::json Line = {
      {"id", Call.Params.Id},
      {"route", Call.Route.Name},
      {"config", Routing.Version},
      {"program", Call.Params.Program},
      {"status", Status},
      {"phase", nameOf(Call.Phase)},
      {"upstream", Call.Tried.empty() ? std::string() : Call.Tried.back()},
      {"sends", Call.Tried.size()},
      {"took_ms", TookMs}};
  if (!Call.Organisation.empty())
    Line["organisation"] = Call.Organisation;
  if (!Reason.empty())
    Line["reason"] = Reason;
  if (Call.Current.SentAt.Ms > 0)
    Line["sent_ms"] = (Call.Current.SentAt - Call.Arrived).count();
  if (Call.HedgedAt) {
    Line["upstream"] = Call.Current.SentTo.Id;
    Line["hedge"] = nameOf(Call.HedgeEnd);
    Line["hedge_ms"] = (*Call.HedgedAt - Call.Arrived).count();
  }
  if (Call.HeldFor.count() > 0)
    Line["held_ms"] = Call.HeldFor.count();
  if (!Call.Denied.empty())
    Line["denied"] = Call.Denied;
  if (Call.EventCount > 0) {
    Line["events"] = Call.EventCount;
    Line["first_ms"] = (Call.FirstEvent - Call.Arrived).count();
    Line["last_ms"] = (Call.LastEvent - Call.Arrived).count();
  }
  if (Call.Current.AnswerEnd)
    Line["answer_end"] = http1::nameOf(*Call.Current.AnswerEnd);
  if (Call.Current.Streams)
    Line["unfinished_bytes"] = Call.Events.unfinished();
  log::info("call ended", Line);
  std::string Labels = metricLabel("kind", nameOf(Call.Route.Kind)) + "," +
                       metricLabel("status", std::to_string(Status));
  Metrics.add("calls_total", Labels);
  Metrics.observe("call_ms", Labels, static_cast<double>(TookMs));
  releaseUpstream(Call, Call.Current);
  ByExchange.erase(Call.Exchange);
  Memory.release(Call.Memory);
  Calls.erase(Id);
}

} // namespace turmerichead::relay
