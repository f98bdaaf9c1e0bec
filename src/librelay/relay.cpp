#include "relay_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// Stands for a missing time limit of the caller; the timeout of the route then
// applies.
constexpr milliseconds DefaultTimeLeft{3'600'000};

std::string_view withoutPort(std::string_view Host) {
  if (Host.starts_with('['))
    return Host.substr(0, Host.find(']') + 1);
  return Host.substr(0, Host.find(':'));
}

} // namespace

http1::server_limits relay::impl::serverLimits() const {
  const caller_limits &Limits = Routing.Limits;
  http1::server_limits Result;
  Result.HeaderBytes = Limits.HeaderBytes;
  Result.BodyBytes = Limits.BodyBytes;
  Result.HeaderTimeout = Limits.HeaderTimeout;
  Result.IdleTimeout = Limits.IdleTimeout;
  Result.MaxConnections = Settings.MaxConnections;
  return Result;
}

const route *relay::impl::routeFor(std::string_view Host,
                                   std::string_view Target) const {
  return Routing.match(withoutPort(Host), Target.substr(0, Target.find('?')));
}

// -- Arrival of calls --------------------------------------------------------

std::optional<http1::early_refusal>
relay::impl::onRequestHead(std::string_view Target,
                           const http1::header_list &Headers) {
  if (Routing.Version == 0 || routeFor(Headers.get("Host"), Target))
    return std::nullopt;
  Metrics.add("bodies_refused_total");
  return http1::early_refusal{http1::status::NotFound,
                              std::string(NoRouteReason)};
}

void relay::impl::onRequest(http1::exchange_id Exchange,
                            http1::request &&Request) {
  if (Routing.Version == 0) {
    respondUnavailable(Exchange, NoConfigurationReason, Settings.RetryAfter);
    return;
  }
  const route *Route = routeFor(Request.Headers.get("Host"), Request.Target);
  if (!Route) {
    logRefused(Request, "no route");
    respondWithText(Exchange, http1::status::NotFound, NoRouteReason);
    return;
  }
  auto Organisation = authenticate(Exchange, *Route, Request);
  if (!Organisation)
    return;
  auto Params = readCallParams(Names, Request.Headers);
  if (!Params) {
    respondWithText(Exchange, http1::status::BadRequest, lastError().Text);
    return;
  }
  relay_call Call;
  Call.Exchange = Exchange;
  Call.Request = std::move(Request);
  Call.Params = std::move(*Params);
  setRoute(Call, *Route, std::move(*Organisation));
  Call.Arrived = steadyNow();
  // What the client waits counts from when the host received the request.
  milliseconds Wait =
      std::min(Call.Params.TimeLeft.value_or(DefaultTimeLeft), Route->Timeout) -
      Call.Request.Waited;
  Wait = std::max(Wait, milliseconds(0));
  Call.Deadline = Call.Arrived + Wait;
  Call.Fingerprints = fingerprintsOf(Call);
  bool NeedsOpening = Call.isKept() || Call.hasBudget();
  Call.HeadBytes = Call.Request.Headers.heldBytes();
  relay_call_id Id = Calls.insert(std::move(Call));
  ByExchange[Exchange] = Id;
  Calls.find(Id)->Memory = Memory.add(MemoryOwner, keyOf(Id));
  Deadlines->add(Wait, keyOf(Id), static_cast<int>(due_kind::Deadline));
  limitMemory(Id);
  if (!Calls.find(Id))
    return;
  if (refuseQuarantined(Id))
    return;
  if (ExitAt && *ExitAt < Calls.find(Id)->Deadline) {
    refuse(Id, StoppingReason);
    return;
  }
  // With a budget, the disk hosts know whether it is the first turn of its
  // program and whether the program has been here before. Such a call is
  // checked after they have opened the turn.
  if (!Calls.find(Id)->hasBudget() && refuseNewProgram(Id, false))
    return;
  if (!NeedsOpening)
    startSending(Id);
  else if (!refuseOverLimit(Id))
    openTurn(Id);
}

void relay::impl::setRoute(relay_call &Call, const route &Route,
                           std::string Organisation) const {
  Call.Route = Route;
  setOrganisation(Call, std::move(Organisation));
  const std::string &Key =
      Call.Params.Program.empty() ? Call.Params.Id : Call.Params.Program;
  Call.Service = serviceFor(Route, Key);
  const service *Service = Routing.findService(Call.Service);
  if (Service)
    Call.TokensPerEvent = Service->TokensPerEvent;
}

access accessOf(const route &Route, bool IsKnown, bool MayBeOutdated) {
  // A call without its organisation would not find the turns of it.
  if (Route.IsPublic && (!MayBeOutdated || !Route.KeepsTurns))
    return IsKnown && !MayBeOutdated ? access::Identified : access::Anonymous;
  if (MayBeOutdated)
    return access::Outdated;
  return IsKnown ? access::Identified : access::Denied;
}

void relay::impl::logRefused(const http1::request &Request,
                             std::string_view Reason, std::string_view Error) {
  log_limiter &Limiter = RefusalLogs[Error.empty() ? Reason : Error];
  if (!Limiter.allows(steadyNow()))
    return;
  nlohmann::json Fields = {{"id", Request.Headers.get(Names.CallId)},
                           {"reason", Reason},
                           {"config", Routing.Version},
                           {"omitted", Limiter.takeOmitted()}};
  if (!Error.empty())
    Fields["error"] = Error;
  log::info("call refused", Fields);
}

std::optional<std::string>
relay::impl::authenticate(http1::exchange_id Exchange, const route &Route,
                          const http1::request &Request) {
  if (!Routing.Organisations)
    return std::string();
  credentials Credentials = readCredentials(Request.Headers);
  const std::string *Name =
      Credentials.Key ? Routing.Keys.find(*Credentials.Key) : nullptr;
  // A key that is not known here may have been added since, and a known one
  // may have been removed.
  bool MayBeOutdated =
      Credentials.Key && Settings.KeysAreCurrent && !Settings.KeysAreCurrent();
  access Access = accessOf(Route, Name != nullptr, MayBeOutdated);
  if (Access == access::Anonymous)
    return std::string();
  if (Access == access::Identified)
    return *Name;
  if (Access == access::Outdated) {
    Metrics.add("keys_unconfirmed_total");
    respondUnavailable(Exchange, KeysOutdatedReason, Settings.RetryAfter);
    return std::nullopt;
  }
  credential_error Error =
      Credentials.Key ? credential_error::Unknown : Credentials.Error;
  logRefused(Request, "not authenticated", nameOf(Error));
  Metrics.add("callers_unauthenticated_total",
              metricLabel("reason", nameOf(Error)));
  respondWithText(Exchange, http1::status::Unauthorized, textOf(Error),
                  {{"WWW-Authenticate", "Bearer"}});
  return std::nullopt;
}

void relay::impl::setOrganisation(relay_call &Call, std::string Name) const {
  if (!Routing.Organisations)
    return;
  Call.Request.Headers.remove("Authorization");
  Call.Request.Headers.remove(Names.Organisation);
  if (Name.empty())
    return;
  Call.Request.Headers.add(Names.Organisation, Name);
  auto Row = Routing.Organisations->find(Name);
  if (Row != Routing.Organisations->end() && Row->second.Rank)
    Call.Route.Rank = *Row->second.Rank;
  Call.Organisation = std::move(Name);
}

bool relay::impl::refuseNewProgram(relay_call_id Id, bool IsRetry) {
  relay_call &Call = *Calls.find(Id);
  if (!Call.mayStartProgram())
    return false;
  time_point Now = steadyNow();
  service_load &Load = Loads[Call.Service];
  service_capacity Capacity = capacityOf(Call.Service, Now);
  start_request Request{Call.Route.Rank, IsRetry, isOverShare(Call)};
  auto Rejection =
      Load.Admission.refusal(Load.Estimator, Capacity, Request, Now);
  Call.StartsProgram = true;
  if (!Rejection)
    return false;
  log::info("new program rejected",
            {{"id", Call.Params.Id},
             {"program", Call.Params.Program},
             {"service", Call.Service},
             {"retry", IsRetry},
             {"over_share", Request.IsOverShare},
             {"stretch", Rejection->Slowdown},
             {"in_flight", Load.Estimator.inFlight()},
             {"slots", Capacity.Slots},
             {"hosts", Capacity.Hosts},
             {"retry_after_ms", Rejection->RetryAfter.count()}});
  noteShortage(Call.Service);
  Metrics.add("programs_refused_total", metricLabel("service", Call.Service));
  refuse(Id, NoRoomReason, Rejection->RetryAfter);
  return true;
}

std::string_view relay::impl::cannotOpen(const relay_call &Call,
                                         time_point Now) const {
  if (Turns.set().Epoch == 0)
    return "no disk hosts are known yet";
  return Upstreams.hasReady(Call.Service, Now) ? "" : NoUpstreamReason;
}

void relay::impl::refuseWithoutUpstream(relay_call_id Id) {
  const relay_call &Call = *Calls.find(Id);
  noteShortage(Call.Service);
  if (Settings.OnNoUpstream && !Upstreams.hasReady(Call.Service, steadyNow()))
    Settings.OnNoUpstream();
  refuse(Id, NoUpstreamReason);
}

void relay::impl::openTurn(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  std::string_view Reason = cannotOpen(Call, steadyNow());
  if (Reason == NoUpstreamReason) {
    refuseWithoutUpstream(Id);
    return;
  }
  if (!Reason.empty()) {
    refuse(Id, Reason);
    return;
  }
  std::string Previous =
      Call.isKept() ? Call.scoped(Call.Params.PreviousTurn) : "";
  if (Previous.empty() && !Call.hasBudget()) {
    startSending(Id);
    return;
  }
  if (Call.Params.Budget == 0U) {
    failCall(Id, http1::status::PaymentRequired, "the budget is nothing");
    return;
  }
  turns::open_call Open;
  Open.Attempt = Call.scoped(Call.Params.Id);
  Open.Program = Call.scoped(Call.Params.Program);
  Open.Previous = std::move(Previous);
  Open.Tokens = Call.Params.MaxTokens;
  Open.Budget = Call.hasBudget() ? *Call.Params.Budget : 0;
  Open.Retention = Routing.recordRetention(Call.Route);
  Call.Reserved = Call.hasBudget();
  Call.Operation =
      Turns.open(std::move(Open), [this, Id](const turns::open_result &Result) {
        relay_call *Opened = Calls.find(Id);
        if (!Opened)
          return;
        Opened->Operation = {};
        Opened->Chain = Result.Chain;
        Opened->PreviousUpstream = Result.Upstream;
        limitMemory(Id);
        if (!Calls.find(Id))
          return;
        if (Result.Outcome != turns::open_outcome::Granted)
          log::info("turn not opened",
                    {{"id", Opened->Params.Id},
                     {"outcome", turns::nameOf(Result.Outcome)},
                     {"reason", Result.Reason},
                     {"previous", Opened->Params.PreviousTurn},
                     {"spent", Result.Spent},
                     {"most", Opened->Params.MaxTokens},
                     {"budget", Opened->Params.Budget.value_or(0)},
                     {"set_epoch", Turns.set().Epoch}});
        switch (Result.Outcome) {
        case turns::open_outcome::Granted:
          if (Result.Spent > 0 ||
              !refuseNewProgram(Id, Result.OtherAttempts > 0))
            startSending(Id);
          return;
        case turns::open_outcome::OverBudget:
          failCall(Id, http1::status::PaymentRequired, Result.Reason);
          return;
        case turns::open_outcome::NoSuchTurn:
          failCall(Id, http1::status::NotFound,
                   "no such turn: " + Result.Reason);
          return;
        case turns::open_outcome::Unknown:
          refuse(Id, Result.Reason);
          return;
        }
      });
}

void relay::impl::onCallerGone(http1::exchange_id Exchange) {
  auto Row = ByExchange.find(Exchange);
  if (Row == ByExchange.end())
    return;
  relay_call_id Id = Row->second;
  relay_call &Call = *Calls.find(Id);
  if (Call.Phase == call_phase::Keeping) {
    // The answer is complete; the turn is stored although the caller has left.
    return;
  }
  settleBudget(Call);
  finish(Id, 0, "the caller has left");
}

void relay::impl::onDeadline(relay_call_id Id) {
  relay_call *Call = Calls.find(Id);
  if (!Call)
    return;
  switch (Call->Phase) {
  case call_phase::Opening:
    refuse(Id, "the time is over before it was sent");
    return;
  case call_phase::Sent:
    failCall(Id, http1::status::GatewayTimeout, "no answer within the time");
    return;
  case call_phase::Streaming:
    abortResponse(Id, "the answer is not complete within the time");
    return;
  case call_phase::Keeping:
    abortResponse(Id, "the turn was not kept within the time");
    return;
  }
}

void relay::impl::endAtExit(relay_call_id Id) {
  constexpr std::string_view Reason = "the host has stopped";
  switch (Calls.find(Id)->Phase) {
  case call_phase::Opening:
    refuse(Id, Reason);
    return;
  case call_phase::Sent:
    failCall(Id, http1::status::GatewayTimeout, Reason);
    return;
  case call_phase::Streaming:
  case call_phase::Keeping:
    abortResponse(Id, Reason);
    return;
  }
}

// -- Public interface --------------------------------------------------------

std::optional<relay> relay::create(relay_settings Settings, header_names Names,
                                   turns::client &Turns, metrics &Metrics) {
  auto Impl = std::make_unique<impl>(std::move(Settings), std::move(Names),
                                     Turns, Metrics);
  impl *Raw = Impl.get();
  http1::client_settings ClientSettings;
  ClientSettings.EchoHeader = Raw->Names.CallId;
  ClientSettings.TunnelKey = Raw->Settings.TunnelKey;
  Raw->Client = http1::client::create(ClientSettings);
  Raw->Server = http1::server::create(
      Raw->Settings.Listen, Raw->serverLimits(),
      {[Raw](http1::exchange_id Id, http1::request &&Request) {
         Raw->onRequest(Id, std::move(Request));
       },
       [Raw](http1::exchange_id Id) { Raw->onCallerGone(Id); },
       [Raw](std::string_view Target, const http1::header_list &Headers) {
         return Raw->onRequestHead(Target, Headers);
       }},
      &Raw->Memory);
  Raw->MemoryOwner = Raw->Memory.addOwner(
      [Raw](std::uint64_t Key) { Raw->endForMemory(idOf<relay_call>(Key)); });
  if (!Raw->Client || !Raw->Server)
    return std::nullopt;
  Raw->Deadlines.emplace([Raw](std::uint64_t Key, int Kind) {
    auto Id = idOf<relay_call>(Key);
    switch (static_cast<due_kind>(Kind)) {
    case due_kind::Deadline:
      Raw->onDeadline(Id);
      return;
    case due_kind::Permit:
      Raw->onPermitDue(Id);
      return;
    case due_kind::Hedge:
      Raw->onHedgeDue(Id);
      return;
    }
  });
  return relay(std::move(Impl));
}

void relay::setRouting(routing Routing) {
  if (Routing.Version <= Impl->Routing.Version)
    return;
  Impl->Routing = std::move(Routing);
  Impl->forgetUnlimited();
  Impl->Server->setLimits(Impl->serverLimits());
  log::info(
      "configuration in force",
      {{"version", Impl->Routing.Version},
       {"routes", Impl->Routing.Routes.size()},
       {"services", Impl->Routing.Services.size()},
       {"organisations",
        Impl->Routing.Organisations ? Impl->Routing.Organisations->size() : 0},
       {"keys", Impl->Routing.Keys.size()}});
}

const routing &relay::routingInForce() const { return Impl->Routing; }

void relay::putUpstream(const upstream &Upstream) {
  const upstream_row *Old = Impl->Upstreams.find(Upstream.Id);
  if (Old && Old->Upstream == Upstream && !Old->ExpiresAt)
    return;
  log::info("upstream updated", {{"upstream", Upstream.Id},
                                 {"service", Upstream.Service},
                                 {"address", Upstream.Address},
                                 {"ready", Upstream.Ready}});
  Impl->Upstreams.put(Upstream);
  Impl->reportCrashChanges(
      Impl->CrashTracker.recordStart(Upstream, steadyNow()));
}

void relay::removeUpstream(std::string_view Id, milliseconds After) {
  const upstream_row *Row = Impl->Upstreams.find(Id);
  if (!Row)
    return;
  log::info("upstream removed",
            {{"upstream", Id}, {"after_ms", After.count()}});
  Impl->recordExit(Row->Upstream, exit_evidence::Deregistered);
  if (After.count() > 0) {
    Impl->Upstreams.expireAt(Id, steadyNow() + After);
    return;
  }
  Impl->Client->forget(Row->Upstream.Address);
  Impl->Links.forget(Row->Upstream.Address);
  Impl->Upstreams.remove(Id);
}

void relay::setTunnelHosts(std::span<const std::string> Addresses) {
  Impl->TunnelHosts.set(Addresses);
}

bool relay::mayReach(const std::string &Address) {
  const auto &Rows = Impl->Upstreams.rows();
  bool Known = std::any_of(Rows.begin(), Rows.end(), [&](const auto &Row) {
    return Row.second.Upstream.Address == Address &&
           !Row.second.State.IsLeaving;
  });
  if (!Known)
    return false;
  if (!Impl->Links.isCutOff())
    return true;
  // A host without calls of its own learns this way that its links are back.
  if (Impl->Links.takeProbe(Address, steadyNow()))
    Impl->probeLink(Address);
  return false;
}

std::optional<std::string> relay::otherAddress(std::string_view Address) const {
  std::optional<std::string> Other;
  for (const auto &[Id, Row] : Impl->Upstreams.rows()) {
    const upstream &Upstream = Row.Upstream;
    if (Upstream.Address == Address || !Row.takesCalls())
      continue;
    Other = Upstream.Address;
    if (!Impl->Links.isLost(Upstream.Address))
      break;
  }
  return Other;
}

void relay::recordLink(std::string_view Address, bool Connected) {
  if (Connected)
    Impl->Links.recordConnected(Address, steadyNow());
  else
    Impl->Links.recordFailure(Address, steadyNow());
}

void relay::setEntryHosts(std::size_t Count) { Impl->EntryHosts = Count; }

const upstream_table &relay::upstreams() const { return Impl->Upstreams; }

crash_tracker &relay::crashTracker() { return Impl->CrashTracker; }

void relay::onCrashRecordsChanged(
    std::function<void(std::span<const std::uint64_t>)> Action) {
  Impl->OnCrashRecordsChanged = std::move(Action);
}

void relay::onUpstreamLeaves(std::function<void(const upstream_run &)> Action) {
  Impl->OnUpstreamLeaves = std::move(Action);
}

void relay::recordLeaving(const upstream_run &Run, std::string_view From) {
  Impl->recordLeaving(Run, From);
}

void relay::drain(milliseconds Left) {
  Impl->ExitAt = steadyNow() + Left;
  Impl->Server->drain();
}

void relay::stopAccepting() { Impl->Server->stopAccepting(); }

void relay::endDrain() {
  Impl->ExitAt = steadyNow();
  Impl->Server->closeIdle();
  std::vector<relay_call_id> UnderWay;
  Impl->Calls.forEach(
      [&](relay_call_id Id, relay_call &) { UnderWay.push_back(Id); });
  for (relay_call_id Id : UnderWay)
    Impl->endAtExit(Id);
}

std::size_t relay::callsUnderWay() const { return Impl->Calls.size(); }

memory_budget &relay::memory() { return Impl->Memory; }

std::size_t relay::heldBytes() const { return Impl->Memory.total(); }

where_answer relay::where(const where_question &Question) const {
  return Impl->where(Question);
}

void relay::publish() const {
  http1::server_counters Server = Impl->Server->counters();
  http1::client_counters Client = Impl->Client->counters();
  Impl->Metrics.set("caller_connections", "",
                    static_cast<double>(Server.OpenConnections));
  Impl->Metrics.set("held_bytes", "", static_cast<double>(heldBytes()));
  Impl->Metrics.set("held_bytes_limit", "",
                    static_cast<double>(Impl->Memory.limit()));
  for (std::size_t I = 0; I < http1::ClientEnds; ++I)
    Impl->Metrics.set(
        "clients_ended",
        metricLabel("reason", nameOf(static_cast<http1::client_end>(I))),
        static_cast<double>(Server.Ended.at(I)));
  Impl->Metrics.set("upstream_connections", "",
                    static_cast<double>(Client.OpenConnections));
  Impl->Metrics.set("upstream_connections_opened", "",
                    static_cast<double>(Client.Opened));
  Impl->Metrics.set("upstream_stray_answers", "",
                    static_cast<double>(Client.Stray));
  Impl->Metrics.set("upstream_dropped_bytes", "",
                    static_cast<double>(Client.DroppedBytes));
  Impl->Metrics.set("upstream_connections_ended_for_excess", "",
                    static_cast<double>(Client.Endless));
  Impl->Metrics.set("calls_under_way", "",
                    static_cast<double>(Impl->Calls.size()));
  Impl->publishRefused();
  for (const auto &[Service, Load] : Impl->Loads) {
    std::string Labels = metricLabel("service", Service);
    Impl->Metrics.set("service_streams", Labels,
                      static_cast<double>(Load.Estimator.inFlight()));
    Impl->Metrics.set("service_stretch", Labels,
                      Load.Estimator.slowdown(steadyNow()));
  }
}

relay::relay(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
relay::relay(relay &&Other) noexcept = default;
relay &relay::operator=(relay &&Other) noexcept = default;
relay::~relay() = default;

} // namespace turmerichead::relay
