// Reports where a request would be sent now. Decisions are those of the calls:
// of the upstream table, admission, rate limits and links.

#include "relay_pvt.h"

#include "turmerichead/error.h"

#include <glib.h>

#include <algorithm>
#include <array>
#include <memory>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

using nlohmann::ordered_json;

struct parameter {
  std::string_view Name;
  std::string where_question::*Value;
};
constexpr std::array<parameter, 6> Parameters = {{
    {"host", &where_question::Host},
    {"path", &where_question::Path},
    {"method", &where_question::Method},
    {"organisation", &where_question::Organisation},
    {"program", &where_question::Program},
    {"previous_turn", &where_question::PreviousTurn},
}};

/// Returns null for a time that is not known.
ordered_json timeOrNull(std::optional<milliseconds> Time) {
  return Time ? ordered_json(Time->count()) : ordered_json();
}

ordered_json predictionOrNull(double Ms) {
  return Ms > 0 ? ordered_json(Ms) : ordered_json();
}

ordered_json textOrNull(std::string_view Text) {
  return Text.empty() ? ordered_json() : ordered_json(Text);
}

// Values may come from an operator's command line in any encoding.
std::string dump(const ordered_json &Json) {
  return Json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

ordered_json describe(const route &Route) {
  ordered_json Services = ordered_json::array();
  for (const traffic_share &Share : Route.Services)
    Services.push_back({{"service", Share.Service}, {"weight", Share.Weight}});
  return {{"name", Route.Name},
          {"path_prefix", Route.PathPrefix},
          {"kind", nameOf(Route.Kind)},
          {"attempts", Route.Attempts},
          {"timeout_ms", Route.Timeout.count()},
          {"public", Route.IsPublic},
          {"keeps_turns", Route.KeepsTurns},
          {"services", std::move(Services)}};
}

ordered_json describe(const ranked_upstream &Candidate) {
  const upstream_row &Row = *Candidate.Row;
  const std::optional<request_limit> &Limit = Row.State.Limit;
  return {
      {"upstream", Row.Upstream.Id},
      {"address", Row.Upstream.Address},
      {"data_centre", Row.Upstream.DataCentre},
      {"penalties", Candidate.Penalties},
      {"distance", Candidate.Distance},
      {"predicted_ms", predictionOrNull(Candidate.FinishMs)},
      {"turn_ms", predictionOrNull(Candidate.TurnMs)},
      {"in_flight", Row.InFlight},
      {"slots", Row.Upstream.Slots},
      {"samples_age_ms", timeOrNull(Candidate.SamplesAge)},
      {"limit_per_s", Limit ? ordered_json(Limit->PerSecond) : ordered_json()},
      {"limit_busy_ms", Candidate.BusyFor.count()}};
}

/// Returns what this host can't know of a request that is not sent.
ordered_json notesOn(const relay_call &Call, const upstream_row *Chosen,
                     bool HasRateLimit) {
  ordered_json Notes = ordered_json::array();
  bool IsStream = Call.Route.Kind == call_kind::Stream;
  bool HasHome = !Call.PreviousUpstream.empty();
  if (Call.isKept() && !Call.Params.PreviousTurn.empty() && !HasHome)
    Notes.push_back("the upstream of the previous turn is known to the disk "
                    "hosts only; if it is healthy, it gets the request");
  else if (IsStream && !Call.Params.Program.empty() && !HasHome)
    Notes.push_back("no turn of the program was sent by this host lately");
  if (Call.Params.Program.empty())
    Notes.push_back("without a program, the order of equal upstreams and the "
                    "service of a traffic split depend on the id of the call");
  if (HasRateLimit)
    Notes.push_back("a disk host grants or refuses a token of the "
                    "organisation's limit");
  if (Chosen && Chosen->State.Limit)
    Notes.push_back("a disk host grants or refuses a permit for the upstream; "
                    "without one the next upstream is chosen");
  return Notes;
}

} // namespace

std::optional<where_question> readWhereQuestion(std::string_view Query) {
  where_question Question;
  GUriParamsIter Params;
  g_uri_params_iter_init(&Params, Query.data(),
                         static_cast<gssize>(Query.size()), "&",
                         G_URI_PARAMS_NONE);
  char *RawName = nullptr;
  char *RawValue = nullptr;
  GError *Error = nullptr;
  while (g_uri_params_iter_next(&Params, &RawName, &RawValue, &Error) != 0) {
    std::unique_ptr<char, decltype(&g_free)> Name(RawName, &g_free);
    std::unique_ptr<char, decltype(&g_free)> Value(RawValue, &g_free);
    const auto *Row = std::find_if(
        Parameters.begin(), Parameters.end(),
        [&](const parameter &Known) { return Known.Name == Name.get(); });
    if (Row == Parameters.end())
      return fail(error_code::InvalidInput, "unknown parameter in the query");
    Question.*(Row->Value) = Value.get();
  }
  if (Error) {
    g_error_free(Error);
    return fail(error_code::InvalidInput, "the query is not valid");
  }
  if (Question.Host.empty())
    return fail(error_code::InvalidInput, "the parameter host is needed");
  if (!Question.Path.starts_with('/'))
    return fail(error_code::InvalidInput,
                "the parameter path is needed and starts with a slash");
  return Question;
}

where_answer whereError(int Status, std::string_view Reason) {
  return {Status, dump({{"error", Reason}})};
}

where_refusal relay::impl::refusalOf(const relay_call &Call,
                                     time_point Now) const {
  using namespace http1;
  if (ExitAt && *ExitAt < Call.Deadline)
    return {status::Unavailable, StoppingReason};
  auto Load = Loads.find(Call.Service);
  if (Call.StartsProgram && Load != Loads.end()) {
    bool IsOverShare = limitedOrganisation(Call) &&
                       Quota.tokens().isOverShare(Call.Organisation, bootNow());
    auto Rejection = Load->second.Admission.wouldRefuse(
        Load->second.Estimator, capacityOf(Call.Service, Now),
        {Call.Route.Rank, false, IsOverShare}, Now);
    if (Rejection)
      return {status::Unavailable, NoRoomReason, Rejection->RetryAfter};
  }
  if (auto Wait = overLimitFor(Call))
    return {status::TooManyRequests, RateLimitReason, *Wait};
  std::string_view CannotOpen = Call.isKept() ? cannotOpen(Call, Now) : "";
  return {CannotOpen.empty() ? 0 : status::Unavailable, CannotOpen};
}

placement_report relay::impl::choose(relay_call &Call, time_point Now) {
  while (true) {
    placement_report Placement = Upstreams.explain(placementOf(Call, Now), Now);
    const upstream_row *Chosen = Placement.Chosen;
    bool IsDenied = Chosen && hasNoPermitFor(permitWaitOf(Call, *Chosen, Now),
                                             *Chosen, Now);
    if (!IsDenied || Call.Denied.size() >= MaxPermitsDenied)
      return Placement;
    Call.Denied.push_back(Chosen->Upstream.Id);
  }
}

where_answer relay::impl::where(const where_question &Question) {
  if (Routing.Version == 0)
    return whereError(http1::status::Unavailable, NoConfigurationReason);
  const route *Route = routeFor(Question.Host, Question.Path);
  if (!Route)
    return whereError(http1::status::NotFound, NoRouteReason);
  bool HasKey = !Question.Organisation.empty();
  if (HasKey && (!Routing.Organisations ||
                 !Routing.Organisations->contains(Question.Organisation)))
    return whereError(http1::status::NotFound,
                      "the configuration has no such organisation");
  access Access =
      Routing.Organisations
          ? accessOf(*Route, HasKey, HasKey && !Question.KeysAreCurrent)
          : access::Anonymous;
  time_point Now = steadyNow();
  relay_call Call;
  Call.Params.Program = Question.Program;
  Call.Params.PreviousTurn = Question.PreviousTurn;
  setRoute(Call, *Route,
           Access == access::Anonymous ? "" : Question.Organisation);
  Call.Arrived = Now;
  Call.Deadline = Now + Route->Timeout;
  Call.StartsProgram = Call.mayStartProgram();
  findHome(Call);

  placement_report Placement = choose(Call, Now);
  const upstream_row *Chosen = Placement.Chosen;
  std::string Via = Chosen ? wayTo(Chosen->Upstream.Address, Now) : "";
  where_refusal Refusal = refusalOf(Call, Now);
  if (Access == access::Outdated)
    Refusal = {http1::status::Unavailable, KeysOutdatedReason};
  else if (Access == access::Denied)
    Refusal = {http1::status::Unauthorized, textOf(credential_error::Missing)};
  else if (Refusal.Status == 0 && !Chosen)
    Refusal = {http1::status::Unavailable, NoUpstreamReason};
  else if (Refusal.Status == 0 && Call.Denied.size() >= MaxPermitsDenied)
    Refusal = {http1::status::Unavailable, LimitsReachedReason,
               retryAfterDenied(Chosen->BusyUntil - Now)};
  else if (Refusal.Status == 0 && Via.empty() && Links.reachesNothing())
    Refusal = {http1::status::Unavailable, UnreachableReason};
  return {http1::status::Ok,
          dump(report(Question, Call, Placement, Refusal, Via, Now))};
}

ordered_json relay::impl::describeAdmission(const relay_call &Call,
                                            const where_refusal &Refusal,
                                            time_point Now) const {
  bool IsRefused = Refusal.Status != 0;
  std::optional<milliseconds> RetryAfter;
  if (Refusal.RetryAfter.count() > 0)
    RetryAfter = Refusal.RetryAfter;
  else if (Refusal.Status == http1::status::Unavailable)
    RetryAfter = Settings.RetryAfter;
  service_capacity Capacity = capacityOf(Call.Service, Now);
  auto Load = Loads.find(Call.Service);
  bool IsKnown = Load != Loads.end();
  return {{"refused", IsRefused},
          {"status", IsRefused ? ordered_json(Refusal.Status) : ordered_json()},
          {"rule", textOrNull(Refusal.Reason)},
          {"retry_after_ms", timeOrNull(RetryAfter)},
          {"starts_program", Call.StartsProgram},
          {"rank", Call.Route.Rank},
          {"slowdown", IsKnown ? Load->second.Estimator.slowdown(Now) : 1},
          {"in_flight", IsKnown ? Load->second.Estimator.inFlight() : 0},
          {"slots", Capacity.Slots},
          {"entry_hosts", Capacity.Hosts}};
}

ordered_json relay::impl::report(const where_question &Question,
                                 const relay_call &Call,
                                 const placement_report &Placement,
                                 const where_refusal &Refusal,
                                 std::string_view Via, time_point Now) const {
  ordered_json Request;
  for (const parameter &Parameter : Parameters)
    Request[std::string(Parameter.Name)] =
        textOrNull(Question.*(Parameter.Value));
  ordered_json Organisation;
  const organisation *Limited = limitedOrganisation(Call);
  if (!Call.Organisation.empty())
    Organisation = {
        {"name", Call.Organisation},
        {"rate_per_s",
         Limited ? ordered_json(Limited->RatePerSecond) : ordered_json()},
        {"burst", Limited ? ordered_json(Limited->Burst) : ordered_json()},
        {"over_share",
         Limited && Quota.tokens().isOverShare(Call.Organisation, bootNow())}};
  ordered_json Candidates = ordered_json::array();
  for (const ranked_upstream &Candidate : Placement.Candidates)
    Candidates.push_back(describe(Candidate));
  const upstream_row *Chosen = Placement.Chosen;
  return {{"entry_host", Settings.Host},
          {"data_centre", Settings.DataCentre},
          {"request", std::move(Request)},
          {"config",
           {{"version", Routing.Version},
            {"age_ms", timeOrNull(Question.ConfigAge)}}},
          {"route", describe(Call.Route)},
          {"service", Call.Service},
          {"organisation", std::move(Organisation)},
          {"admission", describeAdmission(Call, Refusal, Now)},
          {"home", textOrNull(Call.PreviousUpstream)},
          {"chosen", Chosen ? ordered_json(Chosen->Upstream.Id) : nullptr},
          {"rule", nameOf(Placement.Rule)},
          {"via", textOrNull(Via)},
          {"candidates", std::move(Candidates)},
          {"notes", notesOn(Call, Chosen, Limited != nullptr)}};
}

} // namespace turmerichead::relay
