// Hedged requests: a repeatable call whose first attempt is slow gets a second
// one at another upstream.

#include "relay_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

hedging *relay::impl::hedgingOf(const relay_call &Call) {
  if (Settings.HedgePercent == 0 || Call.Route.Kind != call_kind::Safe ||
      Call.Route.Attempts < 2)
    return nullptr;
  return &Hedgings.try_emplace(Call.Service, Settings.HedgePercent)
              .first->second;
}

void relay::impl::scheduleHedge(relay_call_id Id) {
  const relay_call &Call = *Calls.find(Id);
  hedging *Hedging = hedgingOf(Call);
  if (!Hedging || Call.Current.Kind != attempt_kind::First)
    return;
  // With the attempt itself, a host whose share of the slots is below one would
  // always count as busy.
  std::size_t Others =
      std::max<std::size_t>(
          Upstreams.inFlightAtAnswering(Call.Service, steadyNow()), 1) -
      1;
  auto Delay = Hedging->recordFirst(Others);
  if (Delay && *Delay < Call.Deadline - Call.Current.SentAt)
    Deadlines->add(*Delay, keyOf(Id), static_cast<int>(due_kind::Hedge));
}

void relay::impl::onHedgeDue(relay_call_id Id) {
  relay_call *Call = Calls.find(Id);
  bool Waits = Call && Call->Phase == call_phase::Sent &&
               Call->Current.Kind == attempt_kind::First &&
               Call->Current.ClientCall && Call->Current.Head.Status == 0;
  time_point Now = steadyNow();
  if (!Waits || Call->Deadline - Now < MinTimeToSend)
    return;
  upstream_row *Upstream = chooseHedge(*Call, Now);
  std::string Via = Upstream ? viaFor(Upstream->Upstream.Address, Now) : "";
  bool IsReachable = Upstream && (!Via.empty() || !Links.reachesNothing());
  if (!IsReachable ||
      !hedgingOf(*Call)->takeHedge(capacityOf(Call->Service, Now), Now)) {
    Metrics.add("hedges_total", "result=\"denied\"");
    return;
  }
  sendHedge(Id, *Upstream, std::move(Via));
}

upstream_row *relay::impl::chooseHedge(relay_call &Call, time_point Now) {
  // A request that has crashed an upstream is not sent to two at a time.
  if (CrashTracker.isSuspect(Call.Fingerprints, Now) ||
      Upstreams.hasLimits(Call.Service, Now))
    return nullptr;
  upstream_row *Row = chooseUpstream(Call, Now);
  bool IsFree = Row && !Call.wasSentTo(Row->Upstream.Id) &&
                Row->Upstream.Address != Call.Current.SentTo.Address &&
                !Row->State.Limit && !Row->ExpiresAt &&
                Row->AvoidUntil <= Now && Row->InFlight < Row->Upstream.Slots;
  return IsFree ? Row : nullptr;
}

void relay::impl::sendHedge(relay_call_id Id, upstream_row &Upstream,
                            std::string Via) {
  relay_call &Call = *Calls.find(Id);
  Call.Hedge = std::make_unique<upstream_attempt>();
  Call.Hedge->Via = std::move(Via);
  assign(Call, *Call.Hedge, Upstream);
  Call.Hedge->Kind = attempt_kind::Hedge;
  Call.HedgedAt = Call.Hedge->SentAt;
  ++Call.Attempts;
  Metrics.add("hedges_total", "result=\"sent\"");
  log::info("hedge sent",
            {{"id", Call.Params.Id},
             {"upstream", Call.Hedge->UpstreamId},
             {"first", Call.Current.UpstreamId},
             {"via", Call.Hedge->Via},
             {"after_ms", (*Call.HedgedAt - Call.Current.SentAt).count()},
             {"left_ms", (Call.Deadline - *Call.HedgedAt).count()}});
  startAttempt<attempt_role::Hedge>(Id, false);
}

void relay::impl::noteHead(const relay_call &Call,
                           const upstream_attempt &Attempt) {
  if (Settings.HedgePercent == 0)
    return;
  int Status = Attempt.Head.Status;
  bool IsShort = Status == http1::status::TooManyRequests ||
                 Status == http1::status::Unavailable ||
                 (Attempt.NotRun && Status != http1::status::Misdirected);
  if (IsShort)
    noteShortage(Call.Service);
  hedging *Hedging = hedgingOf(Call);
  if (!Hedging || Attempt.Kind != attempt_kind::First || Attempt.NotRun ||
      !mayWin(Status))
    return;
  time_point Now = steadyNow();
  Hedging->recordAnswer(Now - Attempt.SentAt, Now);
}

void relay::impl::noteShortage(std::string_view Service) {
  auto Row = Hedgings.find(Service);
  if (Row != Hedgings.end())
    Row->second.recordShortage(steadyNow());
}

bool relay::impl::continueWithOther(relay_call_id Id,
                                    upstream_attempt &Attempt) {
  relay_call &Call = *Calls.find(Id);
  if (!Call.Hedge)
    return false;
  if (&Attempt == &Call.Current)
    Call.Current = std::move(*Call.Hedge);
  Call.Hedge.reset();
  Memory.set(Call.Memory, memory_rank::Call, Call.heldBytes(), steadyNow());
  return true;
}

bool relay::impl::endUnusable(relay_call_id Id, upstream_attempt &Attempt) {
  relay_call &Call = *Calls.find(Id);
  if (!Call.Hedge || mayWin(Attempt.Head.Status))
    return false;
  log::info("answer not used while another attempt is in flight",
            {{"id", Call.Params.Id},
             {"upstream", Attempt.UpstreamId},
             {"status", Attempt.Head.Status}});
  Call.MayHaveRun = true;
  releaseUpstream(Call, Attempt);
  return continueWithOther(Id, Attempt);
}

void relay::impl::keepWinner(relay_call_id Id, upstream_attempt &Attempt) {
  relay_call &Call = *Calls.find(Id);
  if (Attempt.Kind == attempt_kind::Hedge && mayWin(Attempt.Head.Status)) {
    Call.HedgeEnd = hedge_end::Won;
    Metrics.add("hedges_total", "result=\"won\"");
  }
  if (!Call.Hedge)
    return;
  bool HedgeWins = &Attempt == Call.Hedge.get();
  upstream_attempt &Other = HedgeWins ? Call.Current : *Call.Hedge;
  cancelAttempt(Call, Other);
  releaseUpstream(Call, Other);
  continueWithOther(Id, Other);
}

void relay::impl::cancelAttempt(relay_call &Call, upstream_attempt &Attempt) {
  if (!Attempt.ClientCall || !Client->cancel(Attempt.ClientCall))
    return;
  recordAbort(Call, Attempt, abort_kind::Cancelled);
  if (Attempt.Kind == attempt_kind::Hedge) {
    Call.HedgeEnd = hedge_end::Cancelled;
    Metrics.add("hedges_total", "result=\"cancelled\"");
    return;
  }
  hedging *Hedging = hedgingOf(Call);
  if (!Hedging || Attempt.Kind != attempt_kind::First ||
      Attempt.Head.Status != 0)
    return;
  time_point Now = steadyNow();
  Hedging->recordCancelled(Now - Attempt.SentAt, Now);
}

void relay::impl::cancelAttempts(relay_call &Call) {
  cancelAttempt(Call, Call.Current);
  if (!Call.Hedge)
    return;
  cancelAttempt(Call, *Call.Hedge);
  releaseUpstream(Call, *Call.Hedge);
  Call.Hedge.reset();
}

} // namespace turmerichead::relay
