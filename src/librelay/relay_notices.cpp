// What upstreams say of themselves in their answers, and what other hosts have
// heard.

#include "relay_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

void logLimit(const upstream_run &Run, limit_change Change, double PerSecond,
              std::string_view Evidence) {
  log::info("upstream limit", {{"upstream", Run.Id},
                               {"started_ms", Run.StartedMs},
                               {"change", nameOf(Change)},
                               {"per_second", PerSecond},
                               {"evidence", Evidence}});
}

} // namespace

void relay::impl::readNotice(const relay_call &Call,
                             const upstream_attempt &Attempt,
                             const http1::response_head &Head) {
  // Another process has answered a misdirected call.
  if (!Settings.ReadNotice || Head.Status == http1::status::Misdirected)
    return;
  upstream_run Run = runOf(Attempt.SentTo);
  upstream_state *State = Upstreams.stateOf(Run);
  if (!State)
    return;
  upstream_notice Notice = Settings.ReadNotice(Head.Headers);
  auto Evidence = [&] { return "answer to " + Call.Params.Id; };
  if (Notice.IsLeaving && recordLeaving(Run, Evidence()) && OnUpstreamLeaves)
    OnUpstreamLeaves(Run);
  if (Notice.HasInvalidLimit)
    Metrics.add("upstream_limits_invalid_total");
  limit_change Change =
      updateLimit(State->Limit, Notice, Attempt.SentAt, steadyNow());
  if (Change == limit_change::None)
    return;
  logLimit(Run, Change, Notice.RequestsPerSecond.value_or(0), Evidence());
  if (Change == limit_change::Ended)
    Permits.tellEnd(Run, permitIssuers());
}

bool relay::impl::recordLeaving(const upstream_run &Run,
                                std::string_view Evidence) {
  upstream_state *State = Upstreams.stateOf(Run);
  if (!State || State->IsLeaving)
    return false;
  State->IsLeaving = true;
  const upstream_row *Row = Upstreams.find(Run.Id);
  if (Row)
    Client->forget(Row->Upstream.Address);
  log::info("upstream leaves", {{"upstream", Run.Id},
                                {"started_ms", Run.StartedMs},
                                {"ready_in_store", Row && Row->Upstream.Ready},
                                {"evidence", Evidence}});
  Metrics.add("upstreams_leaving_total");
  return true;
}

void relay::impl::readNews(const upstream_run &Run, const limit_message &News,
                           std::string_view From) {
  upstream_row *Row = Upstreams.find(Run.Id);
  if (!Row || runOf(Row->Upstream) != Run)
    return;
  time_point SaidAt = steadyNow() - milliseconds(News.AgeMs);
  bool IsLater = !Row->State.Limit || SaidAt > Row->State.Limit->NamedAt;
  if (!IsLater || (!News.IsLimited && !Row->State.Limit))
    return;
  if (News.IsLimited) {
    Row->State.Limit = request_limit{News.PerSecond, SaidAt};
    logLimit(Run, limit_change::Changed, News.PerSecond, From);
  } else {
    Row->State.Limit.reset();
    logLimit(Run, limit_change::Ended, 0, From);
  }
}

} // namespace turmerichead::relay
