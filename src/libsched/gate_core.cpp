#include "gate_core_pvt.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <cmath>

namespace turmerichead::sched::pvt {

namespace {

/// Weight of the latest sample in an exponential moving mean.
constexpr double MeanWeight = 0.1;
/// One new program of a rank per this number of slots may be queued without a
/// check of its expected wait.
constexpr std::size_t SlotsPerFreeEntry = 16;

void updateMean(double &Mean, double Sample) {
  Mean += MeanWeight * (Sample - Mean);
}

std::size_t stageOf(const gate_request &Request) {
  return Request.Started ? 1 : 0;
}

} // namespace

gate_core::gate_core(const gate_settings &Settings)
    : Poison(Settings.Poison), Settings(Settings),
      Floor(Settings.OrdinaryFloor) {}

void gate_core::configure(const gate_settings &Changed) {
  Settings = Changed;
  Floor.setFloor(Changed.OrdinaryFloor);
  Poison.configure(Changed.Poison);
}

// ---- Requests: admission and the queue ------------------------------------

std::size_t gate_core::liveRunnerCount() const {
  std::size_t Count = 0;
  Runners.forEach([&](runner_id, const runner_row &Row) {
    Count += !Row.Removed && Row.Info.Phase == runner_phase::Live;
  });
  return Count;
}

std::size_t gate_core::liveSlotCount() const {
  std::size_t Count = 0;
  Runners.forEach([&](runner_id, const runner_row &Row) {
    if (!Row.Removed && Row.Info.Phase == runner_phase::Live)
      Count += static_cast<std::size_t>(Row.Info.Slots);
  });
  return Count;
}

double gate_core::workOf(const gate_request &Request) const {
  engine_rates Rates;
  int Slots = 16;
  Runners.forEach([&](runner_id, const runner_row &Row) {
    Rates = Row.Info.Rates;
    Slots = std::max(1, Row.Info.Slots);
  });
  auto Prefill =
      static_cast<double>(Request.PromptTokens - Request.CachedTokens);
  double Output = OutputMean;
  if (Request.MaxOutputTokens > 0)
    Output = std::min(Output, static_cast<double>(Request.MaxOutputTokens));
  return std::max(0.0, Prefill) * Rates.PrefillMsPerToken +
         Output * Rates.DecodeMsPerToken / Slots;
}

milliseconds gate_core::expectedWait(rank Rank, time_point Now) const {
  std::size_t Waiting = QueuedNew[indexOf(Rank)];
  if (Waiting <= std::max<std::size_t>(2, liveSlotCount() / SlotsPerFreeEntry))
    return milliseconds(0);
  double Rate = Starts[indexOf(Rank)].perSecond(Now);
  constexpr double LongestMs = 3'600'000;
  double WaitMs = LongestMs;
  if (Rate > 0)
    WaitMs = std::min(LongestMs, static_cast<double>(Waiting) / Rate * 1000);
  return milliseconds(static_cast<std::int64_t>(WaitMs));
}

std::optional<refusal> gate_core::check(const gate_request &Request,
                                        time_point Now) const {
  auto Refuse = [&](refusal_reason Reason, milliseconds Base) {
    return refusal{{}, Reason, jitterRetry(Base, Request.Program)};
  };
  if (Poison.stateOf(Request.Fingerprint, Now) == poison_state::Quarantined)
    return Refuse(refusal_reason::PoisonRequest, milliseconds(0));
  if (Request.Deadline <= Now)
    return Refuse(refusal_reason::DeadlinePassed, milliseconds(0));
  if (liveRunnerCount() == 0)
    return Refuse(refusal_reason::NoRunner, Settings.RetryBase);
  std::size_t Waiting = Queued[0] + Queued[1];
  // Started programs may fill the queue further than new ones.
  std::size_t Bound = Settings.MaxQueued * (Request.Started ? 2 : 1);
  if (Waiting >= Bound)
    return Refuse(refusal_reason::QueueFull, Settings.RetryBase);
  if (!Settings.RefuseOverload || Request.Started)
    return std::nullopt;
  milliseconds Wait = expectedWait(Request.Rank, Now);
  milliseconds MaxWait = Settings.NewProgramMaxWait[indexOf(Request.Rank)];
  if (Wait > MaxWait || Wait > Request.Deadline - Now)
    return Refuse(refusal_reason::Overload, Settings.RetryBase);
  return std::nullopt;
}

order_context gate_core::contextOf(const gate_request &Request,
                                   time_point Now) const {
  order_context Context{Now, milliseconds(0)};
  auto Found = Owners.find(Request.Owner);
  if (Found == Owners.end())
    return Context;
  std::size_t Rank = indexOf(Request.Rank);
  std::size_t Stage = stageOf(Request);
  double OwnMs = Found->second.QueuedMs[Rank][Stage];
  // An owner that is alone is treated as if a second one were waiting, so that
  // the next owner to arrive is not behind the whole backlog.
  int Others = OwnersWaiting[Rank][Stage] - (OwnMs > 0 ? 1 : 0);
  Others = std::max(1, Others);
  double RunnerCount =
      static_cast<double>(std::max<std::size_t>(1, liveRunnerCount()));
  Context.OwnerBacklog =
      milliseconds(static_cast<std::int64_t>(OwnMs * Others / RunnerCount));
  return Context;
}

void gate_core::countQueued(const request_row &Row, int Sign) {
  std::size_t Rank = indexOf(Row.Request.Rank);
  std::size_t Stage = stageOf(Row.Request);
  Queued[Rank] += static_cast<std::size_t>(Sign);
  if (Stage == 0)
    QueuedNew[Rank] += static_cast<std::size_t>(Sign);
  double &OwnMs = Owners[Row.Request.Owner].QueuedMs[Rank][Stage];
  bool Waited = OwnMs > 0;
  OwnMs += Sign * Row.WorkMs;
  // Rounding errors can keep a sum of additions and subtractions from
  // returning to exactly zero.
  constexpr double Epsilon = 1e-3;
  if (OwnMs < Epsilon)
    OwnMs = 0;
  OwnersWaiting[Rank][Stage] += (OwnMs > 0 ? 1 : 0) - (Waited ? 1 : 0);
  const owner_row &Owner = Owners[Row.Request.Owner];
  if (Owner.QueuedMs == owner_row{}.QueuedMs)
    Owners.erase(Row.Request.Owner);
}

request_id gate_core::insert(const gate_request &Request,
                             std::int64_t ArrivalMs, std::size_t Queue,
                             time_point Now) {
  request_row Row;
  Row.Request = Request;
  Row.Program = Caches.intern(Request.Program);
  Row.Queue = Queue;
  Row.QueuedAt = Now;
  Row.WorkMs = std::max(1.0, workOf(Request));
  request_id Id = Requests.insert(std::move(Row));
  request_row &Stored = *Requests.find(Id);
  Stored.Key = {ArrivalMs, ++Sequence, Id};
  Queues[Queue].insert(Stored.Key);
  if (Request.Deadline.Ms != INT64_MAX)
    Deadlines.emplace(Request.Deadline, Id);
  ByProgram[Stored.Program].push_back(Id);
  Caches.setRank(Stored.Program, Request.Rank);
  ++Caches.row(Stored.Program)->Active;
  countQueued(Stored, 1);
  return Id;
}

void gate_core::removeFromQueue(const request_row &Row) {
  Queues[Row.Queue].erase(Row.Key);
  Deadlines.erase({Row.Request.Deadline, Row.Key.Request});
  countQueued(Row, -1);
}

void gate_core::eraseRequest(request_id Id) {
  const request_row &Row = *Requests.find(Id);
  program_id Program = Row.Program;
  program_queue &Outstanding = ByProgram[Program];
  std::erase(Outstanding, Id);
  if (Outstanding.empty())
    ByProgram.erase(Program);
  program_row *Cached = Caches.row(Program);
  --Cached->Active;
  if (Cached->Ended && Cached->Active == 0 && Settings.ReleaseEnded)
    releaseAll(Program);
  Caches.eraseIfIdle(Program);
  Requests.erase(Id);
}

void gate_core::refuseQueued(request_id Id, refusal_reason Reason,
                             milliseconds Retry) {
  const request_row &Row = *Requests.find(Id);
  ++Totals.Refused[indexOf(Row.Request.Rank)];
  Refusals.push_back({Id, Reason, Retry});
  removeFromQueue(Row);
  eraseRequest(Id);
}

bool gate_core::cancel(request_id Id, time_point Now) {
  const request_row *Row = Requests.find(Id);
  if (!Row)
    return false;
  if (Row->InFlight)
    return finished(Id, outcome::Cancelled, {}, Now);
  removeFromQueue(*Row);
  eraseRequest(Id);
  return true;
}

// ---- Requests: completion -------------------------------------------------

void gate_core::recordRunnerCrash(request_row &Row, runner_row &Runner,
                                  time_point Now) {
  std::string Incident = Runner.Info.Name + "#" + std::to_string(Row.Epoch);
  Poison.recordCrash(Row.Request.Fingerprint,
                     hash64(Incident, Settings.Incarnation), Now);
  if (Row.Epoch != Runner.Epoch)
    return; // Another request has already reported this crash.
  ++Runner.Epoch;
  Runner.Breaker.trip(Now);
  Caches.dropRunner(Row.Runner);
}

void gate_core::updateRunner(request_row &Row, outcome Outcome,
                             time_point Now) {
  runner_row *Runner = Runners.find(Row.Runner);
  --Runner->InFlight[indexOf(Row.Request.Rank)];
  Runner->SuspectsInFlight -= Row.Suspect ? 1 : 0;
  if (Runner->inFlight() == 0)
    Runner->PrefillUntilMs = 0; // No prefill is left without requests.
  auto TookMs = static_cast<double>((Now - Row.GrantedAt).count());
  switch (Outcome) {
  case outcome::Ok:
    Runner->Breaker.succeeded();
    updateMean(Runner->ServiceMs, TookMs);
    Poison.recordSuccess(Row.Request.Fingerprint, Now);
    break;
  case outcome::Error:
    Runner->Breaker.failed(Now);
    break;
  case outcome::RunnerCrashed:
    recordRunnerCrash(Row, *Runner, Now);
    break;
  case outcome::Cancelled:
    Runner->Breaker.cancelled();
    break;
  case outcome::Unreachable:
    // A refused connection proves that the runner is down, whereas an error
    // may be caused by the request. If the breaker did not open at once, each
    // retry of a call could be granted the same killed runner within
    // milliseconds, until the call has no attempts left.
    Runner->Breaker.trip(Now);
    break;
  }
  if (Runner->Removed && Runner->inFlight() == 0) {
    RunnerNames.erase(Runner->Info.Name);
    Caches.dropRunner(Row.Runner);
    Runners.erase(Row.Runner);
  }
}

void gate_core::updateCache(const request_row &Row, outcome Outcome,
                            const usage &Usage, time_point Now) {
  if (Outcome != outcome::Ok)
    return;
  program_row *Program = Caches.row(Row.Program);
  token_count Computed = Usage.PromptTokens - Usage.CachedTokens;
  token_count Before = std::min(Usage.PromptTokens, Program->LongestComputed);
  Totals.PrefillTokens += Computed;
  Totals.WastedPrefillTokens +=
      std::max<token_count>(0, Before - Usage.CachedTokens);
  token_count Length = Usage.PromptTokens + Usage.OutputTokens;
  Program->LongestComputed = std::max(Program->LongestComputed, Length);
  if (!Runners.find(Row.Runner))
    return;
  Caches.store(Row.Program, Row.Runner, Length, Now);
  if (!Settings.ReleaseEnded)
    return;
  // The copies at other runners are older than this one.
  std::vector<cached_copy> Copies = Program->Copies;
  for (const cached_copy &Copy : Copies)
    if (Copy.Runner != Row.Runner)
      release(Row.Program, Copy.Runner);
}

bool gate_core::finished(request_id Id, outcome Outcome, const usage &Usage,
                         time_point Now) {
  request_row *Row = Requests.find(Id);
  if (!Row || !Row->InFlight)
    return false;
  if (Row->Request.Fingerprint != 0) {
    auto &Copies = ByFingerprint[Row->Request.Fingerprint];
    std::erase(Copies, Id);
    if (Copies.empty())
      ByFingerprint.erase(Row->Request.Fingerprint);
  }
  if (Outcome == outcome::Ok && Row->Charged) {
    engine_rates Rates = Runners.find(Row->Runner)->Info.Rates;
    int Slots = std::max(1, Runners.find(Row->Runner)->Info.Slots);
    auto Prefill = static_cast<double>(Usage.PromptTokens - Usage.CachedTokens);
    auto Output = static_cast<double>(Usage.OutputTokens);
    double TrueMs = Prefill * Rates.PrefillMsPerToken +
                    Output * Rates.DecodeMsPerToken / Slots;
    Floor.correct(Row->Request.Rank, TrueMs - Row->WorkMs);
  }
  if (Outcome == outcome::Ok)
    updateMean(OutputMean, static_cast<double>(Usage.OutputTokens));
  updateRunner(*Row, Outcome, Now);
  updateCache(*Row, Outcome, Usage, Now);
  eraseRequest(Id);
  return true;
}

} // namespace turmerichead::sched::pvt
