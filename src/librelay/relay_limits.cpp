// Calls to upstreams that have named a limit wait for a permit, move to another
// upstream, or are refused.

#include "relay_pvt.h"

namespace turmerichead::relay {

namespace {

// A refused caller does not come back later than this.
constexpr milliseconds MaxRetryAfter{3000};

} // namespace

std::vector<std::string> relay::impl::permitIssuers() const {
  std::vector<std::string> Addresses;
  for (const turns::disk_host &Host : Turns.set().allMembers())
    Addresses.push_back(Host.Address);
  return Addresses;
}

permit_wait relay::impl::permitWaitOf(const relay_call &Call,
                                      const upstream_row &Upstream,
                                      time_point Now) const {
  permit_wait Wait;
  Wait.Rank = Call.Route.Rank;
  Wait.StartsProgram = Call.StartsProgram;
  Wait.HasAlternative =
      Upstreams.hasAlternative(Call.Service, Upstream.Upstream.Id, Now);
  Wait.IsHome = Upstream.Upstream.Id == Call.PreviousUpstream;
  Wait.Left = Call.Deadline - Now;
  return Wait;
}

bool relay::impl::hasNoPermitFor(const permit_wait &Wait,
                                 const upstream_row &Upstream, time_point Now) {
  return Upstream.State.Limit && Upstream.BusyUntil > Now + Wait.longest();
}

milliseconds relay::impl::retryAfterDenied(milliseconds NextWait) const {
  return std::clamp(NextWait, Settings.RetryAfter, MaxRetryAfter);
}

void relay::impl::askPermit(relay_call_id Id, upstream_row &Upstream) {
  relay_call &Call = *Calls.find(Id);
  time_point Now = steadyNow();
  upstream_run Run = runOf(Upstream.Upstream);
  if (Call.Permit == Run) {
    sendTo(Id, Upstream);
    return;
  }
  permit_wait Wait = permitWaitOf(Call, Upstream, Now);
  if (hasNoPermitFor(Wait, Upstream, Now)) {
    onPermitDenied(Id, Run, Upstream.BusyUntil - Now);
    return;
  }
  if (Call.Phase != call_phase::Streaming)
    Call.Phase = call_phase::Opening;
  Call.HeldSince = Now;
  Permits.ask(Run, *Upstream.State.Limit, Wait, permitIssuers(), EntryHosts,
              [this, Id, Run](const permit_result &Result) {
                onPermit(Id, Run, Result);
              });
}

void relay::impl::onPermit(relay_call_id Id, const upstream_run &Run,
                           const permit_result &Result) {
  time_point Now = steadyNow();
  if (Result.News)
    readNews(Run, *Result.News, Result.IssuedBy);
  upstream_row *Row = Upstreams.find(Run.Id);
  if (Row && runOf(Row->Upstream) == Run)
    Row->BusyUntil = Now + Result.NextWait;
  relay_call *Call = Calls.find(Id);
  if (!Call)
    return;
  if (!Result.Granted) {
    onPermitDenied(Id, Run, Result.NextWait);
    return;
  }
  Call->Permit = Run;
  if (Result.Wait.count() == 0) {
    onPermitDue(Id);
    return;
  }
  Metrics.add("limit_calls_held_total");
  Deadlines->add(Result.Wait, keyOf(Id), static_cast<int>(due_kind::Permit));
}

void relay::impl::onPermitDue(relay_call_id Id) {
  relay_call *Call = Calls.find(Id);
  if (!Call)
    return;
  Call->HeldFor += steadyNow() - Call->HeldSince;
  // send() uses the permit, unless the upstream was lost meanwhile.
  if (Call->Permit)
    Call->ResumeAt = Call->Permit->Id;
  send(Id);
}

void relay::impl::onPermitDenied(relay_call_id Id, const upstream_run &Run,
                                 milliseconds NextWait) {
  relay_call &Call = *Calls.find(Id);
  Call.Denied.push_back(Run.Id);
  if (Call.Denied.size() < MaxPermitsDenied) {
    send(Id);
    return;
  }
  Metrics.add("limit_calls_refused_total");
  noteShortage(Call.Service);
  refuse(Id, LimitsReachedReason, retryAfterDenied(NextWait));
}

} // namespace turmerichead::relay
