#include "gates_pvt.h"

#include "cache_move_pvt.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr milliseconds LoadPollInterval{1000};
constexpr milliseconds SweepInterval{5000};

sched::gate_request requestOf(const ask_message &Message, time_point Now) {
  sched::gate_request Request;
  Request.RootProgram = Message.Root;
  Request.Program = Message.Program;
  Request.Owner = Message.Owner;
  Request.Entry = Message.Entry;
  Request.Rank = static_cast<sched::rank>(Message.Rank != 0);
  Request.PromptTokens = Message.PromptTokens;
  Request.CachedTokens = Message.CachedTokens;
  Request.MaxOutputTokens = Message.MaxOutputTokens;
  Request.AttainedService = Message.AttainedService;
  Request.Started = Message.Started;
  Request.ProgramStart = Now - milliseconds(Message.ProgramAgeMs);
  Request.Deadline = Now + milliseconds(Message.DeadlineMs);
  Request.Fingerprint = Message.Fingerprint;
  Request.ParentWaiting = Message.ParentWaiting;
  Request.MayRepeat = Message.MayRepeat;
  Request.AvoidRunner = Message.AvoidRunner;
  return Request;
}

ask_reply replyOf(const sched::refusal &Refusal) {
  ask_reply Reply;
  Reply.Reason = sched::nameOf(Refusal.Reason);
  Reply.RetryAfterMs = Refusal.RetryAfter.count();
  return Reply;
}

} // namespace

gate_service::gate_service(host_context &Context) : Context(Context) {
  LoadTimer = timer::every(LoadPollInterval, [this] { pollRunners(); });
  SweepTimer = timer::every(SweepInterval, [this] { sweepCaches(); });
}

sched::gate_settings gate_service::gateSettings() const {
  const auto &Gate = Context.Settings.Gate;
  fleet_entry Fleet = Context.Config.fleet();
  sched::gate_settings Settings;
  Settings.Incarnation = Context.Random();
  Settings.OrdinaryFloor =
      static_cast<double>(Fleet.OrdinaryFloorPercent) / 100.0;
  Settings.MaxQueued =
      static_cast<std::size_t>(Gate.MaxQueueUrgent + Gate.MaxQueueOrdinary);
  Settings.NewProgramMaxWait = {Gate.MaxWaitUrgent, Gate.MaxWaitOrdinary};
  Settings.Poison.MaxCrashes = static_cast<int>(Fleet.PoisonAfterCrashes);
  Settings.Poison.KeepFor = Fleet.PoisonKeep;
  return Settings;
}

gate_service::group_row *gate_service::rowOf(std::string_view Group) {
  auto Found = Rows.find(Group);
  if (Found != Rows.end())
    return &Found->second;
  // Another host should be the gate of this group; hosts may disagree for a
  // short time. Serving the ask costs latency at most.
  auto Mark = Group.rfind('#');
  std::string Model(Group.substr(0, Mark));
  for (const runner_group &Candidate : groupsOf(Context, Model))
    if (Candidate.Id == Group)
      refreshGroup(Candidate, Model);
  Found = Rows.find(Group);
  return Found == Rows.end() ? nullptr : &Found->second;
}

void gate_service::fleetChanged() {
  for (auto &[Id, Row] : Rows)
    if (!Row.Gate.configure(gateSettings()))
      log::error("gate settings refused", {{"reason", lastError().Text}});
}

void gate_service::refresh() {
  std::set<std::string> Models;
  for (const auto &[Name, Upstream] : Context.Upstreams)
    Models.insert(Upstream.Models.begin(), Upstream.Models.end());
  std::set<std::string> Known;
  for (const std::string &Model : Models)
    for (const runner_group &Group : groupsOf(Context, Model)) {
      Known.insert(Group.Id);
      bool Mine = cluster::gateHost(Context.Map, Group.Id) == Context.self();
      if (Mine || Rows.contains(Group.Id))
        refreshGroup(Group, Model);
    }
  for (auto Row = Rows.begin(); Row != Rows.end();) {
    bool Idle = Row->second.Waiting.empty() && Row->second.Running.empty();
    bool Mine = cluster::gateHost(Context.Map, Row->first) == Context.self();
    if (Idle && (!Mine || !Known.contains(Row->first)))
      Row = Rows.erase(Row);
    else
      ++Row;
  }
}

void gate_service::refreshGroup(const runner_group &Group,
                                const std::string &Model) {
  auto Found = Rows.find(Group.Id);
  if (Found == Rows.end()) {
    auto Gate = sched::default_gate::create(gateSettings());
    if (!Gate) {
      log::error("gate settings refused", {{"reason", lastError().Text}});
      return;
    }
    Found = Rows.emplace(Group.Id, group_row{Model, std::move(*Gate), {}, {}})
                .first;
    Found->second.Gate.poison().merge(Poison.entries(steadyNow()), steadyNow());
  }
  for (const std::string &Name : Group.Runners) {
    const upstream_object &Upstream = Context.Upstreams.find(Name)->second;
    sched::runner_info Info;
    Info.Name = Name;
    Info.Slots = static_cast<int>(Upstream.Slots);
    if (auto Known = CacheCapacity.find(Name); Known != CacheCapacity.end())
      Info.CacheTokens = Known->second;
    Info.Phase = Upstream.Phase == upstream_phase::Leaving
                     ? sched::runner_phase::Leaving
                     : sched::runner_phase::Live;
    Found->second.Gate.upsertRunner(Info);
  }
  // A runner that is no longer registered gets no more work.
  for (const auto &[Name, Cursor] : EventCursor)
    if (std::find(Group.Runners.begin(), Group.Runners.end(), Name) ==
        Group.Runners.end())
      Found->second.Gate.removeRunner(Name);
  for (const std::string &Name : Group.Runners)
    EventCursor.try_emplace(Name, 0);
  flush(Found->second);
}

sched::request_id gate_service::ask(const ask_message &Message,
                                    ask_callback Callback) {
  group_row *Row = rowOf(Message.Group);
  if (!Row) {
    ask_reply Reply;
    Reply.Reason = "no_runner";
    Reply.RetryAfterMs = 1000;
    Callback(Reply);
    return {};
  }
  time_point Now = steadyNow();
  auto Result = Row->Gate.enqueue(requestOf(Message, Now), Now);
  if (Result.Refusal) {
    Callback(replyOf(*Result.Refusal));
    return {};
  }
  Row->Waiting.emplace(Result.Id, std::move(Callback));
  flush(*Row);
  return Result.Id;
}

void gate_service::cancel(std::string_view Group, sched::request_id Id) {
  auto Found = Rows.find(Group);
  if (Found == Rows.end())
    return;
  Found->second.Waiting.erase(Id);
  Found->second.Running.erase(Id);
  Found->second.Gate.cancel(Id, steadyNow());
  flush(Found->second);
}

void gate_service::done(const done_message &Message) {
  auto Found = Rows.find(Message.Group);
  if (Found == Rows.end())
    return;
  group_row &Row = Found->second;
  time_point Now = steadyNow();
  sched::request_id Id{Message.AskIndex, Message.AskGeneration};
  auto Outcome = static_cast<sched::outcome>(Message.Outcome);
  sched::usage Usage{Message.PromptTokens, Message.CachedTokens,
                     Message.OutputTokens};
  Row.Running.erase(Id);
  Row.Gate.finished(Id, Outcome, Usage, Now);
  if (Message.ExpectedPauseMs > 0)
    Row.Gate.programPaused(Message.Program,
                           milliseconds(Message.ExpectedPauseMs), Now);
  if (Outcome == sched::outcome::RunnerCrashed)
    broadcastPoison();
  flush(Row);
}

void gate_service::ended(std::string_view Program) {
  for (auto &[Id, Row] : Rows) {
    Row.Gate.programEnded(Program);
    flush(Row);
  }
}

void gate_service::tick() {
  for (auto &[Id, Row] : Rows)
    flush(Row);
}

void gate_service::flush(group_row &Row) {
  sched::gate_output Output = Row.Gate.tick(steadyNow());
  // The spans are valid until the next call of the gate, which a callback may
  // make.
  std::vector<sched::grant> Grants(Output.Grants.begin(), Output.Grants.end());
  std::vector<sched::refusal> Refusals(Output.Refusals.begin(),
                                       Output.Refusals.end());
  std::vector<sched::release_command> Releases(Output.Releases.begin(),
                                               Output.Releases.end());
  std::vector<sched::move_command> Moves(Output.Moves.begin(),
                                         Output.Moves.end());
  for (const sched::release_command &Command : Releases)
    releaseCacheAt(Context, Command.Program, Command.Runner);
  for (const sched::move_command &Command : Moves)
    moveCache(Context, Command.Program, Command.From, Command.To, [] {});
  for (const sched::grant &Grant : Grants)
    grantAsk(Row, Grant);
  for (const sched::refusal &Refusal : Refusals)
    refuseAsk(Row, Refusal);
}

void gate_service::grantAsk(group_row &Row, const sched::grant &Grant) {
  auto Found = Row.Waiting.find(Grant.Request);
  if (Found == Row.Waiting.end())
    return;
  ask_callback Callback = std::move(Found->second);
  Row.Waiting.erase(Found);
  Row.Running.insert(Grant.Request);
  ask_reply Reply;
  Reply.Granted = true;
  Reply.Runner = Grant.Runner;
  Reply.MoveCacheFrom = Grant.MoveCacheFrom;
  Reply.AskIndex = Grant.Request.Index;
  Reply.AskGeneration = Grant.Request.Generation;
  defer([Callback = std::move(Callback), Reply] { Callback(Reply); });
}

void gate_service::refuseAsk(group_row &Row, const sched::refusal &Refusal) {
  auto Found = Row.Waiting.find(Refusal.Request);
  if (Found == Row.Waiting.end())
    return;
  ask_callback Callback = std::move(Found->second);
  Row.Waiting.erase(Found);
  ask_reply Reply = replyOf(Refusal);
  defer([Callback = std::move(Callback), Reply] { Callback(Reply); });
}

// -- Poison requests --------------------------------------------------------

std::vector<sched::poison_entry> gate_service::poisonEntries() {
  time_point Now = steadyNow();
  for (auto &[Id, Row] : Rows)
    Poison.merge(Row.Gate.poison().entries(Now), Now);
  return Poison.entries(Now);
}

void gate_service::mergePoison(std::span<const sched::poison_entry> Entries) {
  time_point Now = steadyNow();
  Poison.merge(Entries, Now);
  for (auto &[Id, Row] : Rows)
    Row.Gate.poison().merge(Entries, Now);
}

void gate_service::broadcastPoison() {
  std::string Body = sched::encodePoisonEntries(poisonEntries());
  for (const host_record &Host : Context.Map.Hosts)
    if (Host.Id != Context.self())
      Context.Links->send(
          Host.Id,
          {.Path = std::string(PoisonPath), .Headers = {}, .Body = Body}, {});
}

// -- Figures ----------------------------------------------------------------

std::vector<group_load> gate_service::loads() const {
  std::vector<group_load> Loads;
  for (const auto &[Id, Row] : Rows) {
    sched::gate_snapshot Snapshot = Row.Gate.snapshot(steadyNow());
    group_load Load;
    Load.Group = Id;
    Load.Slots = static_cast<std::int64_t>(Snapshot.Slots);
    for (std::size_t Rank = 0; Rank < sched::RankCount; ++Rank) {
      Load.InFlight += static_cast<std::int64_t>(Snapshot.InFlight[Rank]);
      Load.Queued += static_cast<std::int64_t>(Snapshot.Queued[Rank]);
    }
    Loads.push_back(std::move(Load));
  }
  return Loads;
}

void gate_service::exportMetrics() {
  for (const auto &[Id, Row] : Rows) {
    sched::gate_snapshot Snapshot = Row.Gate.snapshot(steadyNow());
    for (sched::rank Rank : {sched::rank::Urgent, sched::rank::Ordinary}) {
      std::string Labels = metricLabel("group", Id) + "," +
                           metricLabel("rank", sched::nameOf(Rank));
      std::size_t I = sched::indexOf(Rank);
      Context.Metrics.set("gate_queued", Labels,
                          static_cast<double>(Snapshot.Queued[I]));
      Context.Metrics.set("gate_in_flight", Labels,
                          static_cast<double>(Snapshot.InFlight[I]));
      Context.Metrics.set("gate_granted", Labels,
                          static_cast<double>(Snapshot.Granted[I]));
      Context.Metrics.set("gate_refused", Labels,
                          static_cast<double>(Snapshot.Refused[I]));
    }
    std::string Group = metricLabel("group", Id);
    Context.Metrics.set("gate_ordinary_share", Group,
                        Snapshot.OrdinaryShareUnderPressure);
    Context.Metrics.set("gate_prefill_tokens", Group,
                        static_cast<double>(Snapshot.PrefillTokens));
    Context.Metrics.set("gate_prefill_tokens_wasted", Group,
                        static_cast<double>(Snapshot.WastedPrefillTokens));
  }
}

} // namespace turmerichead::host_pvt
