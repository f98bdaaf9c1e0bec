#include "holder_pvt.h"

#include "turmerichead/hash.h"
#include "turmerichead/log.h"
#include "turmerichead/state_delta.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

constexpr std::uint16_t StatusNotFound = 404;
constexpr std::uint16_t StatusForbidden = 403;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusTooMany = 429;
constexpr std::int64_t MinRetries = 2;
/// Interval between checks of all programs and waiters.
constexpr milliseconds SlowInterval{1000};
/// Time for a host that was suspended to find out whether it was replaced.
constexpr milliseconds PauseGrace{1500};

granted_limits grantedOf(const program_limits &Limits) {
  granted_limits Granted;
  Granted.BudgetTokens = static_cast<std::uint64_t>(Limits.Tokens);
  Granted.Turns = static_cast<std::uint32_t>(Limits.Turns);
  Granted.ToolCalls = static_cast<std::uint32_t>(Limits.ToolCalls);
  Granted.SubAgents = static_cast<std::uint32_t>(Limits.SubAgents);
  Granted.WallTimeMs = Limits.Wall.count();
  std::int64_t Share = Limits.Turns * Limits.RetryBudgetPercent / 100;
  Granted.Retries =
      static_cast<std::uint32_t>(std::max<std::int64_t>(MinRetries, Share));
  Granted.MaxOutputTokens = static_cast<std::uint32_t>(Limits.MaxOutputTokens);
  return Granted;
}

json errorBody(std::string_view Code, std::string_view Text) {
  return {{"error", {{"code", Code}, {"message", Text}}}};
}

program_reply errorReply(std::uint16_t Status, std::string_view Code,
                         std::string_view Text) {
  return {Status, errorBody(Code, Text).dump(), false};
}

/// Returns the request of a record as JSON, or as text if it is not JSON.
json contentOf(const std::string &Text) {
  json Value = json::parse(Text, nullptr, false);
  return Value.is_discarded() ? json(Text) : Value;
}

json callToJson(std::uint32_t Number, const call_row &Call) {
  json Result = {{"number", Number},
                 {"kind", nameOf(Call.Call.Kind)},
                 {"target", Call.Call.Target},
                 {"non_idempotent", Call.Call.NonIdempotent},
                 {"kept_messages", Call.Call.OmittedMessages},
                 {"request", contentOf(Call.Call.Delta)}};
  if (Call.State != call_state::Ended) {
    Result["outcome"] = "open";
    return Result;
  }
  Result["outcome"] = nameOf(Call.Outcome);
  if (Call.Outcome == call_outcome::Answered) {
    Result["status"] = Call.HttpStatus;
    Result["tokens"] = Call.Tokens;
    Result["answer"] = contentOf(Call.Body);
  } else {
    Result["code"] = Call.Code;
  }
  return Result;
}

} // namespace

holder::holder(host_context &Context, gate_client &Gates,
               std::function<void()> OnFenced)
    : Context(Context), Gates(Gates), OnFenced(std::move(OnFenced)),
      Standbys(static_cast<std::size_t>(
          Context.Settings.Journal.StandbyBufferBytes)) {}

moment holder::now() { return {steadyNow(), wallNowMs()}; }

void holder::beginLife() {
  if (Book)
    endLife();
  ++Life;
  Fenced = false;
  JournalTimer.stop();
  Dispatches.clear();
  Admitted.clear();
  Admission = {};
  NamedStandbys.clear();
  Shards.reset();
  Dispatcher.reset();
  auto ShardOf = [this](std::string_view Root) {
    return Context.shardOf(Root);
  };
  Book = std::make_unique<program_book>(book_settings(), ShardOf);
  journal_settings Journal;
  Journal.CommitInterval = Context.Settings.Journal.CommitInterval;
  Journal.OutageTimeout = Context.Settings.Journal.OutageAfter;
  Journal.MaxBufferBytes =
      static_cast<std::size_t>(Context.Settings.Journal.StandbyBufferBytes);
  Writer = std::make_unique<journal_writer>(Context.life(), Journal);
  Dispatcher = std::make_unique<dispatcher>(Context, Gates, dispatchEvents());
  Shards = std::make_unique<shard_keeper>(Context, *Book, *Writer, [this] {
    restoreAdmissions();
    pump();
  });
  for (const catalogue_entry *Entry : Context.Config.entries())
    entryChanged(*Entry);
  mapChanged();
}

void holder::endLife() {
  // No open call of this incarnation will be committed. Its callers are
  // redirected to the new holders.
  Book->fenced(now());
  for (book_command &Command : Book->takeCommands())
    if (auto *Release = std::get_if<release_waiter>(&Command))
      carryOut(*Release);
}

// -- Calls ------------------------------------------------------------------

waiter_id holder::submit(const call_message &Message, answer_sink Sink) {
  waiter_id Waiter = NextWaiter++;
  time_point Now = steadyNow();
  waiter_row Row;
  Row.Sink = std::move(Sink);
  Row.WantStream = Message.WantStream;
  Row.Program = Message.Program;
  Row.Entry = Message.Entry;
  Row.Number = Message.Number;
  Row.Since = Now;
  Row.Deadline = Now + milliseconds(Message.DeadlineMs);
  const catalogue_entry *Found = Context.Config.find(Message.Entry);
  const program_entry *Entry = Found ? Found->program() : nullptr;
  if (Entry) {
    Row.Rank = Entry->Rank;
    if (Entry->Limits.Call.count() > 0)
      Row.Deadline = std::min(Row.Deadline, Now + Entry->Limits.Call);
  }
  time_point Deadline = Row.Deadline;
  Waiters.emplace(Waiter, std::move(Row));
  if (!Entry) {
    refuse(Waiter, StatusNotFound, "unknown_entry",
           "no catalogue entry of this name is in force", 0);
    return Waiter;
  }
  if (!admit(Message, *Entry, Waiter))
    return Waiter;
  call_request Request;
  Request.Program = Message.Program;
  Request.Number = Message.Number;
  Request.Kind = static_cast<call_kind>(Message.Kind);
  Request.NonIdempotent = Message.NonIdempotent;
  Request.IdempotencyKey = Message.IdempotencyKey;
  Request.Target = Message.Target;
  Request.Body = Message.Body;
  if (Request.Kind == call_kind::Model) {
    auto Digest = digestChat(Message.Body);
    if (!Digest) {
      refuse(Waiter, StatusBadRequest, "invalid_input", lastError().Text, 0);
      return Waiter;
    }
    Request.Digest = std::move(*Digest);
  }
  Request.Deadline = Deadline;
  Request.Entry = Message.Entry;
  Request.Owner = Message.Owner;
  Request.Rank = static_cast<std::uint8_t>(Entry->Rank);
  Request.Limits = grantedOf(Entry->Limits);
  Book->submit(Request, Waiter, now());
  pump();
  return Waiter;
}

bool holder::admit(const call_message &Message, const program_entry &Entry,
                   waiter_id Waiter) {
  std::string Root(rootOf(Message.Program));
  if (Admitted.contains(Root) || Book->rows().findRoot(Root) ||
      !Book->holdsShard(Context.shardOf(Root)))
    return true;
  auto Refusal = Admission.admitProgram(Message.Entry, Entry.Owner, Root);
  if (Refusal) {
    refuse(Waiter, StatusTooMany, std::string(sched::nameOf(Refusal->Reason)),
           "the entry or its owner has as many programs as it may",
           Refusal->RetryAfter.count());
    if (Context.Recorder)
      Context.Recorder->count(
          Message.Entry, Entry.Rank, steadyNow(),
          [](entry_counters &Counters) { ++Counters.ProgramsRefused; });
    return false;
  }
  Admitted[Root] = {Message.Entry, Entry.Owner, Entry.Rank, wallNowMs()};
  if (Context.Recorder)
    Context.Recorder->count(
        Message.Entry, Entry.Rank, steadyNow(),
        [](entry_counters &Counters) { ++Counters.ProgramsAccepted; });
  return true;
}

void holder::restoreAdmissions() {
  // Programs of an acquired shard count as admitted, those of a released shard
  // no longer do.
  for (auto Row = Admitted.begin(); Row != Admitted.end();) {
    if (Book->holdsShard(Context.shardOf(Row->first))) {
      ++Row;
      continue;
    }
    Admission.endProgram(Row->second.Entry, Row->second.Owner);
    Row = Admitted.erase(Row);
  }
  for (const auto &[Name, Root] : Book->rows().roots()) {
    if (Root.ended() || Admitted.contains(Name))
      continue;
    (void)Admission.admitProgram(Root.Entry, Root.Owner, Name);
    Admitted[Name] = {Root.Entry, Root.Owner, static_cast<work_rank>(Root.Rank),
                      Root.WallStartMs};
  }
}

void holder::callerGone(waiter_id Waiter) {
  if (Waiters.erase(Waiter) == 0)
    return;
  Book->callerDisconnected(Waiter, now());
  pump();
}

void holder::refuse(waiter_id Waiter, std::uint16_t Status, std::string Code,
                    std::string Text, std::int64_t RetryAfterMs) {
  call_end End;
  End.Outcome = static_cast<std::uint8_t>(call_outcome::NotRun);
  End.HttpStatus = Status;
  End.Code = std::move(Code);
  End.Text = std::move(Text);
  End.RetryAfterMs = RetryAfterMs;
  finish(Waiter, std::move(End));
}

void holder::finish(waiter_id Waiter, call_end End) {
  auto Found = Waiters.find(Waiter);
  if (Found == Waiters.end())
    return;
  waiter_row Row = std::move(Found->second);
  Waiters.erase(Found);
  countEnd(Row, End);
  // The result is reported from the loop, never inside submit().
  defer(
      [Sink = std::move(Row.Sink), End = std::move(End)] { Sink.OnEnd(End); });
}

void holder::countEnd(const waiter_row &Row, const call_end &End) {
  if (!Context.Recorder || End.Moved)
    return;
  auto Outcome = static_cast<call_outcome>(End.Outcome);
  Context.Metrics.add("calls_total", metricLabel("outcome", nameOf(Outcome)) +
                                         "," +
                                         metricLabel("rank", nameOf(Row.Rank)));
  Context.Metrics.observe(
      "call_ms", metricLabel("rank", nameOf(Row.Rank)),
      static_cast<double>((steadyNow() - Row.Since).count()));
  Context.Recorder->count(Row.Entry, Row.Rank, steadyNow(),
                          [&](entry_counters &Counters) {
                            switch (Outcome) {
                            case call_outcome::Answered:
                              if (!End.Replayed)
                                ++Counters.CallsAnswered;
                              break;
                            case call_outcome::NotRun:
                              ++Counters.RefusedBy[End.Code];
                              break;
                            case call_outcome::Failed:
                              ++Counters.CallsFailed;
                              break;
                            case call_outcome::Unknown:
                              ++Counters.OutcomeUnknown;
                              break;
                            }
                          });
}

// -- Programs ---------------------------------------------------------------

program_reply holder::history(const program_message &Message) {
  const root_row *Root = Book->rows().findRoot(Message.Program);
  const program_row *Program = Book->rows().findProgram(Message.Program);
  if (!Book->holdsShard(Context.shardOf(rootOf(Message.Program))))
    return {0, "", true};
  if (!Root || !Program)
    return errorReply(StatusNotFound, "not_found", "no such program");
  if (Root->Owner != Message.Owner)
    return errorReply(StatusForbidden, "wrong_owner",
                      "the program belongs to another owner");
  json Calls = json::array();
  for (std::size_t I = 0; I < Program->Calls.size(); ++I)
    Calls.push_back(
        callToJson(static_cast<std::uint32_t>(I + 1), Program->Calls[I]));
  json SubAgents = json::array();
  std::string Prefix = Message.Program + '/';
  for (const auto &[Path, Row] : Root->Programs)
    if (Path.starts_with(Prefix))
      SubAgents.push_back(Path);
  auto Reason = static_cast<end_reason>(Root->EndReason);
  json Result = {{"program", Message.Program},
                 {"entry", Root->Entry},
                 {"owner", Root->Owner},
                 {"started_ms", Root->WallStartMs},
                 {"spent_tokens", Root->SpentTokens},
                 {"budget_tokens", Root->Limits.BudgetTokens},
                 {"ended", Root->ended()},
                 {"end_reason", nameOf(Reason)},
                 {"sub_agents", std::move(SubAgents)},
                 {"calls", std::move(Calls)}};
  return {200, Result.dump(-1, ' ', false, json::error_handler_t::replace),
          false};
}

program_reply holder::endProgram(const program_message &Message) {
  if (!Book->holdsShard(Context.shardOf(rootOf(Message.Program))))
    return {0, "", true};
  const root_row *Root = Book->rows().findRoot(Message.Program);
  if (!Root)
    return errorReply(StatusNotFound, "not_found", "no such program");
  if (Root->Owner != Message.Owner)
    return errorReply(StatusForbidden, "wrong_owner",
                      "the program belongs to another owner");
  Book->endProgram(Message.Program, end_reason::Asked, now());
  pump();
  return {200, json{{"program", Message.Program}, {"ended", true}}.dump(),
          false};
}

living_message holder::living(const living_message &Message) const {
  living_message Reply;
  for (const std::string &Program : Message.Programs) {
    bool Held = Book->holdsShard(Context.shardOf(rootOf(Program)));
    const root_row *Root = Book->rows().findRoot(Program);
    bool Lives = Root ? !Root->ended() : Admitted.contains(rootOf(Program));
    if (!Held || Lives)
      Reply.Programs.push_back(Program);
  }
  return Reply;
}

void holder::entryChanged(const catalogue_entry &Entry) {
  const program_entry *Program = Entry.program();
  if (!Program)
    return;
  Book->entryChanged(Entry.Name, grantedOf(Program->Limits), now());
  // Programs of an entry are distributed evenly over the shards, so each host
  // admits its share of the limit.
  sched::entry_limits Limits;
  std::size_t Hosts = std::max<std::size_t>(Context.Map.Hosts.size(), 1);
  if (Program->Limits.Concurrency > 0)
    Limits.Programs = std::max<std::int64_t>(
        1, Program->Limits.Concurrency / static_cast<std::int64_t>(Hosts));
  Limits.RetryPercent = static_cast<double>(Program->Limits.RetryBudgetPercent);
  Admission.setEntry(Entry.Name, Limits);
  pump();
}

// -- Shards and standbys ----------------------------------------------------

void holder::mapChanged() {
  nameStandbys();
  for (const catalogue_entry *Entry : Context.Config.entries())
    entryChanged(*Entry);
  Shards->mapChanged();
  pump();
}

bool holder::empty() const {
  return Shards->empty() && Book->openCalls() == 0 && Dispatcher->open() == 0;
}

void holder::nameStandbys() {
  // Two other hosts, preferably in other data centres, by rendezvous hashing,
  // so that a change of the map changes few standbys.
  struct candidate {
    bool SameCentre = false;
    std::uint64_t Weight = 0;
    host_incarnation Life;
  };
  std::vector<candidate> Candidates;
  for (const host_record &Host : Context.Map.Hosts)
    if (Host.Id != Context.self() && Host.State == host_state::Live)
      Candidates.push_back({Host.DataCentre == Context.Settings.Host.DataCentre,
                            hash64(Host.Id, hash64(Context.self())),
                            {Host.Id, Host.Incarnation}});
  std::sort(Candidates.begin(), Candidates.end(),
            [](const candidate &Left, const candidate &Right) {
              return std::tie(Left.SameCentre, Left.Weight) <
                     std::tie(Right.SameCentre, Right.Weight);
            });
  constexpr std::size_t StandbyCount = 2;
  std::vector<host_incarnation> Chosen;
  for (const candidate &Candidate : Candidates)
    if (Chosen.size() < StandbyCount)
      Chosen.push_back(Candidate.Life);
  if (Chosen == NamedStandbys || Chosen.size() < StandbyCount)
    return;
  NamedStandbys = Chosen;
  Writer->setStandbys(Chosen, steadyNow());
}

std::optional<keep_reply> holder::keep(const keep_message &Message) {
  if (Message.Standby != Context.life())
    return fail(error_code::Fenced, "this host lives another life");
  auto UpTo =
      Standbys.append(Message.Origin, Message.OnPlatform, Message.Entries);
  if (!UpTo)
    return std::nullopt;
  return keep_reply{*UpTo};
}

void holder::trim(const trim_message &Message) {
  Standbys.trim(Message.Origin, Message.UpTo);
}

std::optional<close_reply> holder::close(const close_message &Message) {
  if (Message.Standby != Context.life())
    return fail(error_code::NotFound, "this host lives another life");
  return close_reply{Standbys.close(Message.Journal)};
}

void holder::sealed(const close_message &Message) {
  Standbys.sealed(Message.Journal);
}

bool holder::wasPaused() const {
  time_point Now = steadyNow();
  return Now < PausedUntil || Now - LastTick > Context.Settings.Cluster.Suspect;
}

void holder::tick() {
  time_point Begin = steadyNow();
  if (LastTick.Ms != 0 && wasPaused() && Begin >= PausedUntil)
    PausedUntil = Begin + PauseGrace;
  LastTick = Begin;
  Book->tick(now());
  Shards->tick();
  pump();
  time_point Now = steadyNow();
  if (Now < SlowDue)
    return;
  SlowDue = Now + SlowInterval;
  countRunning();
  constexpr milliseconds LostAfter{30000};
  for (auto &[Id, Row] : Waiters) {
    if (Now < Row.Deadline + LostAfter)
      continue;
    log::error("a waiter was not answered",
               {{"program", Row.Program}, {"number", Row.Number}});
    Row.Deadline = Now + milliseconds(std::numeric_limits<int>::max());
    if (Context.Recorder)
      Context.Recorder->count(
          Row.Entry, Row.Rank, Now,
          [](entry_counters &Counters) { ++Counters.AnswersLost; });
  }
}

void holder::countRunning() {
  struct counts {
    work_rank Rank = work_rank::Ordinary;
    std::uint64_t Running = 0;
    std::uint64_t Overdue = 0;
  };
  std::map<std::string, counts> ByEntry;
  std::int64_t Wall = wallNowMs();
  for (const catalogue_entry *Entry : Context.Config.entries())
    if (const program_entry *Program = Entry->program())
      ByEntry[Entry->Name].Rank = Program->Rank;
  for (const auto &[Root, Row] : Admitted) {
    counts &Counts = ByEntry[Row.Entry];
    Counts.Rank = Row.Rank;
    ++Counts.Running;
    const catalogue_entry *Entry = Context.Config.find(Row.Entry);
    const program_entry *Program = Entry ? Entry->program() : nullptr;
    if (Program && Program->Target.count() > 0 &&
        Wall - Row.WallStartMs > Program->Target.count())
      ++Counts.Overdue;
  }
  if (!Context.Recorder)
    return;
  for (const auto &[Entry, Counts] : ByEntry)
    Context.Recorder->setRunning(Entry, Counts.Rank, steadyNow(),
                                 Counts.Running, Counts.Overdue);
}

} // namespace turmerichead::host_pvt
