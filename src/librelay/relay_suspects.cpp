// Crash records: what calls contribute to them, and the refusal of quarantined
// requests.

#include "relay_pvt.h"

#include "turmerichead/hash.h"
#include "turmerichead/log.h"
#include "turmerichead/relay_crash_gossip.h"

#include <array>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// Times between the probes of an upstream that may have exited.
constexpr std::array<milliseconds, 2> ProbeDelays = {milliseconds(150),
                                                     milliseconds(700)};

} // namespace

call_fingerprints relay::impl::fingerprintsOf(const relay_call &Call) {
  std::string Program = Call.scoped(Call.Params.Program);
  const std::string &Caller =
      Call.Organisation.empty() ? Call.Request.PeerIp : Call.Organisation;
  return crash_tracker::fingerprintsOf({Program, Caller, Call.Request.Method,
                                        Call.Request.Target,
                                        Call.Request.Body});
}

bool relay::impl::refuseQuarantined(relay_call_id Id) {
  const relay_call &Call = *Calls.find(Id);
  auto Quarantine = CrashTracker.quarantineOf(Call.Fingerprints, steadyNow());
  if (!Quarantine)
    return false;
  log::warn("quarantined request refused",
            {{"id", Call.Params.Id},
             {"program", Call.Params.Program},
             {"fingerprint", toHex(Call.Fingerprints.Exact)},
             {"content", toHex(Call.Fingerprints.Content)},
             {"caller_fingerprint", toHex(Call.Fingerprints.Caller)},
             {"target_fingerprint", toHex(Call.Fingerprints.Target)},
             {"quarantined_by", nameOf(Quarantine->Kind)},
             {"lapses_in_ms", Quarantine->ExpiresIn.count()},
             {"ends", describeCrashes(Quarantine->Crashes)}});
  Metrics.add("requests_condemned_total");
  refuse(Id, QuarantineReason, Quarantine->ExpiresIn);
  return true;
}

void relay::impl::recordAbort(const relay_call &Call,
                              const upstream_attempt &Attempt,
                              abort_kind Kind) {
  reportCrashChanges(CrashTracker.recordAbort(
      Attempt.SentTo, Call.Fingerprints, Kind, Attempt.SentAt, steadyNow()));
  if (Kind == abort_kind::Broken &&
      CrashTracker.hasUnresolvedAborts(Attempt.SentTo))
    probe(Attempt.SentTo);
}

void relay::impl::recordExit(const upstream &Upstream, exit_evidence Evidence) {
  auto Changed = CrashTracker.recordExit(Upstream, Evidence, steadyNow());
  if (Changed.empty())
    return;
  log::warn("upstream exited during calls", {{"upstream", Upstream.Id},
                                             {"evidence", nameOf(Evidence)},
                                             {"requests", Changed.size()}});
  reportCrashChanges(Changed);
}

void relay::impl::recordSuccess(const relay_call &Call) {
  auto Cleared = CrashTracker.recordSuccess(Call.Fingerprints, steadyNow());
  for (std::uint64_t Fingerprint : Cleared)
    log::info("crash record cleared by a complete run",
              {{"id", Call.Params.Id}, {"fingerprint", toHex(Fingerprint)}});
  reportCrashChanges(Cleared);
}

void relay::impl::reportCrashChanges(std::span<const std::uint64_t> Changed) {
  if (Changed.empty())
    return;
  time_point Now = steadyNow();
  for (std::uint64_t Fingerprint : Changed)
    log::info(
        "crash record changed",
        {{"fingerprint", toHex(Fingerprint)},
         {"ends", describeCrashes(CrashTracker.crashesOf(Fingerprint, Now))}});
  Metrics.set("suspect_requests", "", static_cast<double>(CrashTracker.size()));
  if (OnCrashRecordsChanged)
    OnCrashRecordsChanged(Changed);
}

void relay::impl::probe(const upstream &Upstream) {
  auto [Row, New] = Probes.try_emplace(Upstream.Address);
  Row->second.Upstream = Upstream;
  if (New)
    sendProbe(Upstream.Address);
}

void relay::impl::sendProbe(const std::string &Address) {
  ++Probes[Address].ProbeCount;
  Client->probe(Address, {}, Settings.ConnectTimeout,
                [this, Address](http1::probe_result Result) {
                  onProbed(Address, Result);
                });
}

void relay::impl::confirmExit(const upstream &Upstream) {
  if (TunnelHosts.size() == 0) {
    recordExit(Upstream, exit_evidence::ConnectionRefused);
    return;
  }
  auto Via = TunnelHosts.pick(steadyNow());
  if (!Via)
    return;
  Client->probe(Upstream.Address, *Via, Settings.ConnectTimeout * 2,
                [this, Upstream](http1::probe_result Result) {
                  if (Result == http1::probe_result::Refused)
                    recordExit(Upstream, exit_evidence::ConnectionRefused);
                });
}

void relay::impl::onProbed(const std::string &Address,
                           http1::probe_result Result) {
  probe_state &Row = Probes[Address];
  if (Result == http1::probe_result::Refused)
    confirmExit(Row.Upstream);
  if (Row.ProbeCount > ProbeDelays.size() ||
      !CrashTracker.hasUnresolvedAborts(Row.Upstream)) {
    Probes.erase(Address);
    return;
  }
  Row.NextProbe =
      loop_source::every(ProbeDelays[Row.ProbeCount - 1], [this, Address] {
        sendProbe(Address);
        return false;
      });
}

} // namespace turmerichead::relay
