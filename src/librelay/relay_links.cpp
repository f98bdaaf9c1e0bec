// Ways to upstreams: the host's own links, and tunnels by way of other hosts.

#include "relay_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>
#include <set>

namespace turmerichead::relay {

namespace {

// A call with so many sends without a connection is refused. Tunnels that were
// not opened have a limit of their own, as most are declined at once.
constexpr std::uint32_t MaxNotConnected = 6;
constexpr std::uint32_t MaxTunnelsNotOpened = 8;
// Time without an answer after which the link of a call is looked at, and
// between two looks.
constexpr milliseconds SuspectTime{250};

} // namespace

std::string relay::impl::viaFor(const std::string &Address, time_point Now) {
  if (!Links.isLost(Address))
    return {};
  if (Links.takeProbe(Address, Now))
    probeLink(Address);
  return wayTo(Address, Now);
}

std::string relay::impl::wayTo(const std::string &Address,
                               time_point Now) const {
  return Links.isLost(Address) ? TunnelHosts.pick(Now).value_or("") : "";
}

void relay::impl::onConnected(relay_call_id Id, attempt_role Role) {
  relay_call *Call = Calls.find(Id);
  if (!Call)
    return;
  const upstream_attempt &Attempt = Call->attempt(Role);
  if (Attempt.Via.empty())
    Links.recordConnected(Attempt.SentTo.Address, steadyNow());
  else
    recordWay(Attempt, steadyNow());
}

void relay::impl::recordWay(const upstream_attempt &Attempt, time_point Now) {
  if (Attempt.Via.empty()) {
    Links.recordAnswer(Now);
    return;
  }
  TunnelHosts.recordSuccess(Attempt.Via);
  Links.recordReachedByOther(Attempt.SentTo.Address);
}

void relay::impl::onNotConnected(relay_call_id Id, upstream_attempt &Attempt,
                                 http1::connect_failure Failure) {
  relay_call &Call = *Calls.find(Id);
  time_point Now = steadyNow();
  upstream Target = Attempt.SentTo;
  std::string Via = Attempt.Via;
  bool TunnelFailed = Failure == http1::connect_failure::Tunnel;
  bool Refused = Failure == http1::connect_failure::Refused;
  releaseUpstream(Call, Attempt);
  // The upstream has not received the call, so the send does not count.
  bool IsResume = Call.BrokenAt == Target.Id;
  Call.Attempts -= IsResume ? 0 : 1;
  if (Via.empty())
    Links.recordFailure(Target.Address, Now);
  else if (!Refused)
    TunnelHosts.recordFailure(Via, Now);
  bool OtherWay =
      (Via.empty() || TunnelFailed) && TunnelHosts.pick(Now).has_value();
  // Refused connections of a host that has lost its links are no evidence.
  bool HasExited =
      Refused && !OtherWay && (!Via.empty() || TunnelHosts.size() == 0);
  if (HasExited && IsResume)
    Call.discountBrokenRun();
  if (!OtherWay && !TunnelFailed) {
    Upstreams.recordFailure(Target.Id, Now);
    if (HasExited)
      recordExit(Target, exit_evidence::ConnectionRefused);
    if (!Via.empty())
      Links.recordUnreachedByOther(Target.Address);
  }
  if (continueWithOther(Id, Attempt))
    return;
  dropBody(Id);
  if (OtherWay || !Call.mayGoToAnother())
    Call.ResumeAt = Target.Id;
  ++(TunnelFailed ? Call.TunnelsNotOpened : Call.NotConnected);
  if (Call.NotConnected < MaxNotConnected &&
      Call.TunnelsNotOpened < MaxTunnelsNotOpened)
    send(Id);
  else
    refuse(Id, "no upstream could be reached");
}

void relay::impl::watchLinks() {
  if (!LinkCheck)
    LinkCheck =
        loop_source::every(SuspectTime, [this] { return checkLinks(); });
}

bool relay::impl::checkLinks() {
  time_point Now = steadyNow();
  bool Waits = false;
  std::set<std::string> Suspects;
  Calls.forEach([&](relay_call_id, relay_call &Call) {
    Call.forEachAttempt([&](const upstream_attempt &Attempt) {
      bool WaitsHere = Attempt.ClientCall && Attempt.Via.empty();
      Waits = Waits || WaitsHere;
      if (WaitsHere && Now - Attempt.SentAt >= SuspectTime)
        Suspects.insert(Attempt.SentTo.Address);
    });
  });
  if (Links.isSilent(Now))
    for (const std::string &Address : Suspects)
      if (!Links.isLost(Address) && Links.takeProbe(Address, Now))
        probeLink(Address);
  if (!Waits)
    LinkCheck.reset();
  return Waits;
}

void relay::impl::probeLink(const std::string &Address) {
  Client->probe(
      Address, {}, Settings.ConnectTimeout,
      [this, Address](http1::probe_result Result) {
        time_point Now = steadyNow();
        if (Result == http1::probe_result::Listening) {
          Links.recordConnected(Address, Now);
          return;
        }
        bool WasCutOff = Links.isCutOff();
        Links.recordFailure(Address, Now);
        if (!WasCutOff && Links.isCutOff())
          log::warn("links to upstreams lost", {{"upstream", Address}});
        if (Result == http1::probe_result::Unknown)
          leaveLostLink(Address);
      });
}

void relay::impl::leaveLostLink(const std::string &Address) {
  Client->forgetDirect(Address);
  std::vector<std::pair<relay_call_id, attempt_role>> Waiting;
  Calls.forEach([&](relay_call_id Id, relay_call &Call) {
    bool MayMove = Call.Route.Kind == call_kind::Safe &&
                   (Call.Hedge || Call.Attempts < Call.Route.Attempts);
    if (!MayMove)
      return;
    // The two attempts of a call have different addresses.
    Call.forEachAttempt([&](const upstream_attempt &Attempt) {
      bool Waits =
          Attempt.ClientCall && Attempt.Via.empty() && Attempt.Head.Status == 0;
      if (Waits && Attempt.SentTo.Address == Address)
        Waiting.emplace_back(Id, &Attempt == Call.Hedge.get()
                                     ? attempt_role::Hedge
                                     : attempt_role::Main);
    });
  });
  for (auto [Id, Role] : Waiting) {
    upstream_attempt &Attempt = Calls.find(Id)->attempt(Role);
    Client->cancel(Attempt.ClientCall);
    onUpstreamFailure(Id, Attempt,
                      {.Outcome = http1::call_outcome::Broken,
                       .Reason = "the link to the upstream was lost"});
  }
}

} // namespace turmerichead::relay
