// Calls of organisations with a rate limit take a token before they are sent
// for the first time, or are refused.

#include "relay_pvt.h"

#include "turmerichead/hash.h"
#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// One of this many new programs of an organisation over its share is admitted
// like those of other organisations, so that its requests are served at least a
// quarter as often.
constexpr std::uint64_t AdmittedOneOf = 4;

// The longest time that a request of a running program waits for a token, and
// the part of its time left that this may take.
constexpr milliseconds MaxTokenWait{750};
constexpr int PartOfTimeLeft = 4;

/// Returns the organisation if it has a rate limit, or nullptr.
const organisation *findLimited(const routing &Routing, std::string_view Name) {
  if (!Routing.Organisations)
    return nullptr;
  auto Row = Routing.Organisations->find(Name);
  bool IsLimited =
      Row != Routing.Organisations->end() && Row->second.RatePerSecond > 0;
  return IsLimited ? &Row->second : nullptr;
}

quota_limit limitOf(const routing &Routing, const organisation &Organisation) {
  return {Routing.Version, Organisation.RatePerSecond, Organisation.Burst};
}

} // namespace

const organisation *
relay::impl::limitedOrganisation(const relay_call &Call) const {
  if (Call.Organisation.empty())
    return nullptr;
  return findLimited(Routing, Call.Organisation);
}

std::vector<quota_member> relay::impl::quotaMembers() const {
  std::vector<quota_member> Members;
  for (turns::disk_host &Host : Turns.set().allMembers())
    Members.push_back(
        {std::move(Host.Address), Host.DataCentre == Settings.DataCentre});
  return Members;
}

milliseconds relay::impl::tokenWait(const relay_call &Call) {
  if (Call.StartsProgram)
    return milliseconds(0);
  return std::min(MaxTokenWait, (Call.Deadline - steadyNow()) / PartOfTimeLeft);
}

bool relay::impl::refuseOverLimit(relay_call_id Id) {
  const relay_call &Call = *Calls.find(Id);
  const organisation *Organisation = limitedOrganisation(Call);
  if (!Organisation)
    return false;
  Quota.tokens().setLimit(Call.Organisation, limitOf(Routing, *Organisation));
  auto Wait = overLimitFor(Call);
  if (!Wait)
    return false;
  refuseForQuota(Id, *Organisation, {quota_outcome::LimitReached, *Wait});
  return true;
}

std::optional<milliseconds>
relay::impl::overLimitFor(const relay_call &Call) const {
  const organisation *Organisation = limitedOrganisation(Call);
  const quota_requester &Tokens = Quota.tokens();
  if (!Organisation ||
      Tokens.isOutdatedBy(Call.Organisation, limitOf(Routing, *Organisation)))
    return std::nullopt;
  auto Wait = Tokens.emptyFor(Call.Organisation, Call.StartsProgram,
                              quotaMembers(), bootNow());
  return Wait && *Wait > tokenWait(Call) ? Wait : std::nullopt;
}

void relay::impl::startSending(relay_call_id Id) {
  const relay_call &Call = *Calls.find(Id);
  const organisation *Organisation = limitedOrganisation(Call);
  if (!Organisation) {
    send(Id);
    return;
  }
  quota_question Question;
  Question.Organisation = Call.Organisation;
  Question.Limit = limitOf(Routing, *Organisation);
  Question.StartsProgram = Call.StartsProgram;
  Question.Members = quotaMembers();
  Question.Hosts = EntryHosts;
  Question.MaxWait = tokenWait(Call);
  Quota.ask(std::move(Question), [this, Id](const quota_result &Result) {
    const relay_call *Asking = Calls.find(Id);
    if (!Asking)
      return;
    const organisation *Limited = limitedOrganisation(*Asking);
    // The limit may have ended meanwhile.
    if (Result.Outcome == quota_outcome::Granted || !Limited)
      send(Id);
    else
      refuseForQuota(Id, *Limited, Result);
  });
}

void relay::impl::refuseForQuota(relay_call_id Id,
                                 const organisation &Organisation,
                                 const quota_result &Result) {
  bool IsReached = Result.Outcome == quota_outcome::LimitReached;
  Metrics.add("organisation_refused_total",
              metricLabel("reason", nameOf(Result.Outcome)));
  if (Quota.tokens().recordRefusal(Organisation.Name, bootNow()))
    log::info(IsReached ? "rate limit reached" : "usage is not known",
              {{"organisation", Organisation.Name},
               {"rate", Organisation.RatePerSecond},
               {"burst", Organisation.Burst},
               {"version", Routing.Version},
               {"retry_after_ms", Result.RetryAfter.count()}});
  if (IsReached)
    refuse(Id, RateLimitReason, Result.RetryAfter,
           http1::status::TooManyRequests);
  else
    refuse(Id, "the usage of the organisation is not known at present",
           Result.RetryAfter);
}

bool relay::impl::isOverShare(const relay_call &Call) const {
  return limitedOrganisation(Call) &&
         hash64(Call.Params.Id) % AdmittedOneOf != 0 &&
         Quota.tokens().isOverShare(Call.Organisation, bootNow());
}

void relay::impl::forgetUnlimited() {
  Quota.tokens().retain([this](std::string_view Name) {
    return findLimited(Routing, Name) != nullptr;
  });
}

void relay::impl::publishRefused() const {
  constexpr std::string_view Name = "organisation_refused";
  Metrics.clear(Name);
  for (const auto &[Organisation, Count] : Quota.tokens().mostRefused())
    Metrics.set(Name, metricLabel("organisation", Organisation),
                static_cast<double>(Count));
}

} // namespace turmerichead::relay
