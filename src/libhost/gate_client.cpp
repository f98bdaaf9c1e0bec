#include "gates_pvt.h"

#include "turmerichead/hash.h"
#include "turmerichead/sched_placement.h"

#include <algorithm>
#include <set>
#include <utility>

namespace turmerichead::host_pvt {

namespace {
constexpr milliseconds AskRetryDelay{50};
constexpr int MaxAskTries = 100;
/// Load of a group above which its programs use other groups; 1 means that all
/// slots are busy.
constexpr double GroupSpillLoad = 1.5;
} // namespace

std::vector<runner_group> groupsOf(const host_context &Context,
                                   std::string_view Model) {
  std::vector<std::string> Runners;
  for (const auto &[Name, Upstream] : Context.Upstreams) {
    if (Upstream.Kind != upstream_kind::Runner)
      continue;
    bool Serves = std::find(Upstream.Models.begin(), Upstream.Models.end(),
                            Model) != Upstream.Models.end();
    if (Serves)
      Runners.push_back(Name);
  }
  auto Size = static_cast<std::size_t>(Context.Settings.Gate.GroupSize);
  return cluster::groupRunners(Model, Runners, Size);
}

std::string chooseGroupFor(host_context &Context, std::string_view Model,
                           std::string_view Root) {
  std::vector<runner_group> Groups = groupsOf(Context, Model);
  if (Groups.empty())
    return {};
  if (Groups.size() == 1)
    return Groups.front().Id;
  std::vector<sched::group_summary> Summaries;
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    sched::group_summary Summary;
    Summary.Group = static_cast<std::uint32_t>(I);
    auto Load = Context.GroupLoads.find(Groups[I].Id);
    if (Load != Context.GroupLoads.end()) {
      Summary.Slots = static_cast<int>(Load->second.Slots);
      Summary.InFlight = static_cast<int>(Load->second.InFlight);
      Summary.Queued = static_cast<int>(Load->second.Queued);
    }
    Summaries.push_back(Summary);
  }
  auto Home = static_cast<std::uint32_t>(hash64(Root) % Groups.size());
  auto Choice =
      sched::chooseGroup(Summaries, Home, GroupSpillLoad, Context.Random());
  return Groups[Choice.value_or(Home)].Id;
}

gate_client::ask_id gate_client::ask(ask_message Message,
                                     ask_callback Callback) {
  ask_id Id = NextId++;
  row Row;
  Row.Message = std::move(Message);
  Row.Callback = std::move(Callback);
  Row.AskedAt = steadyNow();
  Rows.emplace(Id, std::move(Row));
  send(Id);
  return Id;
}

void gate_client::send(ask_id Id) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  row &Row = Found->second;
  if (++Row.Tries > MaxAskTries) {
    ask_reply Reply;
    Reply.Reason = "no_gate";
    Reply.RetryAfterMs = 1000;
    answer(Id, Reply);
    return;
  }
  std::vector<std::string> Suspected;
  if (Context.Detector)
    Suspected = Context.Detector->suspected(steadyNow());
  Row.Gate = cluster::gateHost(Context.Map, Row.Message.Group, Suspected);
  if (Row.Gate.empty())
    Row.Gate = Context.self();
  sendTo(Id, Row);
}

void gate_client::sendTo(ask_id Id, row &Row) {
  if (Row.Gate == Context.self()) {
    // The callback may be called inside ask(), before the id is known.
    auto Request = Local.ask(
        Row.Message, [this, Id](const ask_reply &Reply) { answer(Id, Reply); });
    auto Found = Rows.find(Id);
    if (Found != Rows.end())
      Found->second.Request = Request;
    return;
  }
  Row.Stream = Context.Links->send(
      Row.Gate,
      {.Path = std::string(AskPath), .Headers = {}, .Body = pack(Row.Message)},
      {.OnMessage =
           [this, Id](std::string_view Bytes) {
             if (auto Parsed = unpack<ask_reply>(Bytes))
               answer(Id, *Parsed);
           },
       .OnEnd =
           [this, Id](const peer_result &) {
             auto Found = Rows.find(Id);
             if (Found == Rows.end())
               return;
             Found->second.Stream = {};
             if (!Found->second.Answered)
               retryLater(Id);
           }});
}

void gate_client::retryLater(ask_id Id) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  Found->second.Retry = timer::once(AskRetryDelay, [this, Id] { send(Id); });
}

void gate_client::answer(ask_id Id, const ask_reply &Reply) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end() || Found->second.Answered)
    return;
  row &Row = Found->second;
  Row.Answered = true;
  Row.Request = {Reply.AskIndex, Reply.AskGeneration};
  Context.Metrics.observe(
      "gate_wait_ms", "",
      static_cast<double>((steadyNow() - Row.AskedAt).count()));
  ask_callback Callback = std::move(Row.Callback);
  if (!Reply.Granted) {
    if (Row.Stream)
      Context.Links->cancel(Row.Stream);
    Rows.erase(Found);
  }
  Callback(Reply);
}

void gate_client::done(ask_id Id, sched::outcome Outcome,
                       const sched::usage &Usage, milliseconds ExpectedPause) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  row &Row = Found->second;
  done_message Message;
  Message.Group = Row.Message.Group;
  Message.AskIndex = Row.Request.Index;
  Message.AskGeneration = Row.Request.Generation;
  Message.Outcome = static_cast<std::uint8_t>(Outcome);
  Message.PromptTokens = Usage.PromptTokens;
  Message.CachedTokens = Usage.CachedTokens;
  Message.OutputTokens = Usage.OutputTokens;
  Message.Program = Row.Message.Program;
  Message.ExpectedPauseMs = ExpectedPause.count();
  if (Row.Gate == Context.self())
    Local.done(Message);
  else
    // The done message carries the outcome. The stream of the ask is not
    // cancelled, because the gate treats its loss as a cancellation.
    Context.Links->send(
        Row.Gate,
        {.Path = std::string(DonePath), .Headers = {}, .Body = pack(Message)},
        {});
  Rows.erase(Found);
}

void gate_client::cancel(ask_id Id) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  row &Row = Found->second;
  if (Row.Gate == Context.self())
    Local.cancel(Row.Message.Group, Row.Request);
  else if (Row.Stream)
    Context.Links->cancel(Row.Stream);
  Rows.erase(Found);
}

void gate_client::ended(const std::string &Program) {
  Local.ended(Program);
  ended_message Message{Program};
  std::set<std::string> Gates;
  std::set<std::string> Models;
  for (const auto &[Name, Upstream] : Context.Upstreams)
    Models.insert(Upstream.Models.begin(), Upstream.Models.end());
  for (const std::string &Model : Models)
    for (const runner_group &Group : groupsOf(Context, Model))
      Gates.insert(cluster::gateHost(Context.Map, Group.Id));
  for (const std::string &Gate : Gates)
    if (!Gate.empty() && Gate != Context.self())
      Context.Links->send(Gate,
                          {.Path = std::string(EndedPath),
                           .Headers = {},
                           .Body = pack(Message)},
                          {});
}

} // namespace turmerichead::host_pvt
