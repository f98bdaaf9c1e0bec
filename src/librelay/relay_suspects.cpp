// What calls tell of the ends of upstreams, and what follows for calls.

#include "relay_pvt.h"

#include "turmerichead/hash.h"
#include "turmerichead/log.h"
#include "turmerichead/relay_news.h"

#include <array>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// From one look at an upstream that may have ended to the next.
constexpr std::array<milliseconds, 2> LookPauses = {milliseconds(150),
                                                    milliseconds(700)};

} // namespace

bool relay::impl::refuseCondemned(relay_call_id Id) {
  const relay_call &Call = *Calls.find(Id);
  auto Verdict = Suspects.verdict(Call.Prints, steadyNow());
  if (!Verdict)
    return false;
  log::warn("request ends its upstreams",
            {{"id", Call.Facts.Id},
             {"program", Call.Facts.Program},
             {"fingerprint", toHex(Call.Prints.Exact)},
             {"content", toHex(Call.Prints.Content)},
             {"lapses_in_ms", Verdict->LapsesIn.count()},
             {"ends", describeEnds(Verdict->Deaths)}});
  Metrics.add("requests_condemned_total");
  refuse(Id, CondemnedReason, Verdict->LapsesIn);
  return true;
}

void relay::impl::noteUnfinished(const relay_call &Call, unfinished How) {
  tellSuspects(Suspects.noteUnfinished(Call.SentTo, Call.Prints, How,
                                       Call.SentAt, steadyNow()));
  if (How == unfinished::Broken && Suspects.isUnclear(Call.SentTo))
    probe(Call.SentTo);
}

void relay::impl::noteEnded(const upstream &Upstream, end_evidence Evidence) {
  auto Changed = Suspects.noteEnded(Upstream, Evidence, steadyNow());
  if (Changed.empty())
    return;
  log::warn("upstream has ended under calls", {{"upstream", Upstream.Id},
                                               {"evidence", nameOf(Evidence)},
                                               {"requests", Changed.size()}});
  tellSuspects(Changed);
}

void relay::impl::noteSuccess(const relay_call &Call) {
  auto Cleared = Suspects.noteSuccess(Call.Prints, steadyNow());
  for (std::uint64_t Print : Cleared)
    log::info("request is cleared by a run",
              {{"id", Call.Facts.Id}, {"fingerprint", toHex(Print)}});
  tellSuspects(Cleared);
}

void relay::impl::tellSuspects(std::span<const std::uint64_t> Changed) {
  if (Changed.empty())
    return;
  time_point Now = steadyNow();
  for (std::uint64_t Print : Changed)
    log::info("suspect request",
              {{"fingerprint", toHex(Print)},
               {"ends", describeEnds(Suspects.endsOf(Print, Now))}});
  Metrics.set("suspect_requests", "", static_cast<double>(Suspects.size()));
  if (OnSuspects)
    OnSuspects(Changed);
}

void relay::impl::probe(const upstream &Upstream) {
  auto [Row, New] = Probes.try_emplace(Upstream.Address);
  Row->second.Upstream = Upstream;
  if (New)
    look(Upstream.Address);
}

void relay::impl::look(const std::string &Address) {
  ++Probes[Address].Looks;
  Client->probe(Address, Settings.ConnectTimeout,
                [this, Address](http1::probe_result Result) {
                  onProbed(Address, Result);
                });
}

void relay::impl::onProbed(const std::string &Address,
                           http1::probe_result Result) {
  probing &Row = Probes[Address];
  if (Result == http1::probe_result::Refused)
    noteEnded(Row.Upstream, end_evidence::Refused);
  if (Row.Looks > LookPauses.size() || !Suspects.isUnclear(Row.Upstream)) {
    Probes.erase(Address);
    return;
  }
  Row.Again = loop_source::every(LookPauses[Row.Looks - 1], [this, Address] {
    look(Address);
    return false;
  });
}

} // namespace turmerichead::relay
