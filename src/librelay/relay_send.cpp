// Sends calls to upstreams and forwards their answers.

#include "relay_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"
#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// Limit for the bytes of a stream between the ends of two events: comments,
// fields without data, and the event itself.
constexpr std::size_t MaxBytesBetweenEvents = 1U << 20U;

// Turns that take up to this many bytes with their copies are stored although
// the host is short of memory. Ordinary turns take far less.
constexpr std::size_t SmallTurnBytes = 256U << 10U;

// Denied permits after which a call prefers upstreams without a limit.
constexpr std::size_t DeniedBeforeAvoided = 2;

bool isSuccess(int Status) {
  constexpr int FirstSuccess = 200;
  constexpr int FirstRedirect = 300;
  return Status >= FirstSuccess && Status < FirstRedirect;
}

bool saysNotRun(int Status) {
  return Status == http1::status::RequestTimeout ||
         Status == http1::status::TooManyRequests ||
         Status == http1::status::Unavailable;
}

} // namespace

void relay::impl::send(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  time_point Now = steadyNow();
  if (refuseQuarantined(Id))
    return;
  if (Call.Deadline - Now < MinTimeToSend) {
    refuse(Id, "the time is over before it was sent");
    return;
  }
  upstream_row *Upstream = chooseUpstream(Call, Now);
  if (!Upstream) {
    refuseWithoutUpstream(Id);
    return;
  }
  if (Upstream->State.Limit)
    askPermit(Id, *Upstream);
  else
    sendTo(Id, *Upstream);
}

void relay::impl::sendTo(relay_call_id Id, upstream_row &Upstream) {
  relay_call &Call = *Calls.find(Id);
  time_point Now = steadyNow();
  std::string Via = viaFor(Upstream.Upstream.Address, Now);
  if (Via.empty() && Links.reachesNothing()) {
    refuse(Id, UnreachableReason);
    return;
  }
  bool WasTried = Call.wasSentTo(Upstream.Upstream.Id);
  Call.Current.Via = std::move(Via);
  Call.Attempts += Call.BrokenAt == Upstream.Upstream.Id ? 0 : 1;
  assign(Call, Call.Current, Upstream);
  Call.Current.Kind =
      Call.Tried.size() == 1 ? attempt_kind::First : attempt_kind::Repeated;
  if (Call.Phase != call_phase::Streaming) {
    Call.Phase = call_phase::Sent;
    Call.Current.Head = {};
  }
  Call.Current.Streams = false;
  Call.Current.AnswerEnd.reset();
  Call.PriorEvents = Call.EventCount;
  if (Call.Route.Kind == call_kind::Stream) {
    Loads[Call.Service].Estimator.recordSend(Now);
    if (!Call.Params.Program.empty())
      Homes.record(Call.scoped(Call.Params.Program), Call.Current.UpstreamId);
  }
  Call.Current.NotRun = false;
  if (!Call.Denied.empty())
    Metrics.add("limit_calls_moved_total");
  log::info("call sent", {{"id", Call.Params.Id},
                          {"upstream", Call.Current.UpstreamId},
                          {"home", Call.PreviousUpstream},
                          {"in_flight", Upstream.InFlight},
                          {"via", Call.Current.Via},
                          {"avoided", Upstream.AvoidUntil > Now},
                          {"vanished", Upstream.ExpiresAt.has_value()},
                          {"attempt", Call.Attempts},
                          {"after_event", Call.Events.lastId()},
                          {"left_ms", (Call.Deadline - Now).count()},
                          {"held_ms", Call.HeldFor.count()},
                          {"moved", Call.Denied.size()},
                          {"chain_bytes", Call.Chain.size()}});
  startAttempt<attempt_role::Main>(Id, WasTried);
  scheduleHedge(Id);
}

void relay::impl::assign(relay_call &Call, upstream_attempt &Attempt,
                         upstream_row &Upstream) {
  Attempt.UpstreamId = Upstream.Upstream.Id;
  Attempt.SentTo = Upstream.Upstream;
  Attempt.SentAt = steadyNow();
  Upstreams.recordSent(Upstream, Attempt.SentAt);
  CrashTracker.recordSend(Call.Fingerprints, Attempt.SentAt);
  Call.Tried.push_back(Attempt.UpstreamId);
}

// The role is a template parameter so that the callbacks fit into the buffer of
// std::function without an allocation.
template <attempt_role Role>
void relay::impl::startAttempt(relay_call_id Id, bool FreshConnection) {
  relay_call &Call = *Calls.find(Id);
  upstream_attempt &Attempt = Call.attempt(Role);
  http1::call_request Request = requestFor(Call, Attempt);
  Request.FreshConnection = FreshConnection;
  Attempt.ClientCall = Client->call(
      std::move(Request),
      {[this, Id](const http1::response_head &Head) { onHead(Id, Role, Head); },
       [this, Id](std::string_view Bytes) { onBody(Id, Role, Bytes); },
       [this, Id](const http1::call_result &Result) {
         onUpstreamEnd(Id, Role, Result);
       },
       [this, Id] { onConnected(Id, Role); }});
  watchLinks();
}
template void
relay::impl::startAttempt<attempt_role::Hedge>(relay_call_id Id,
                                               bool FreshConnection);

service_capacity relay::impl::capacityOf(std::string_view Service,
                                         time_point Now) const {
  return {Upstreams.readySlots(Service, Now), EntryHosts};
}

upstream_row *relay::impl::chooseUpstream(relay_call &Call, time_point Now) {
  upstream_row *Previous = Upstreams.find(std::exchange(Call.ResumeAt, {}));
  if (Previous && Previous->takesCalls())
    return Previous;
  if (!Call.mayGoToAnother())
    return nullptr;
  findHome(Call);
  return Upstreams.pick(placementOf(Call, Now), Now);
}

void relay::impl::findHome(relay_call &Call) const {
  if (Call.Route.Kind == call_kind::Stream && Call.PreviousUpstream.empty())
    Call.PreviousUpstream = Homes.find(Call.scoped(Call.Params.Program));
}

placement relay::impl::placementOf(const relay_call &Call,
                                   time_point Now) const {
  placement Placement;
  Placement.Service = Call.Service;
  Placement.DataCentre = Settings.DataCentre;
  if (Call.Route.Kind == call_kind::Stream) {
    Placement.AffinityKey = Call.Params.Program;
    Placement.IsNewChain =
        Call.PreviousUpstream.empty() && Call.Params.PreviousTurn.empty();
    auto Load = Loads.find(Call.Service);
    double Events =
        Load == Loads.end() ? 0 : Load->second.Estimator.eventsPerTurn();
    if (Events > 0)
      Placement.Shape.Events = Events;
  } else {
    Placement.Shape.IsStream = false;
    Placement.IsRepeatable = Call.Route.Kind == call_kind::Safe &&
                             Call.Attempts + 1 < Call.Route.Attempts;
  }
  Placement.PreviousUpstream = Call.PreviousUpstream;
  Placement.PrefersNear = !Upstreams.hasLimits(Call.Service, Now);
  Placement.Denied = Call.Denied;
  Placement.AvoidsLimits = Call.Denied.size() >= DeniedBeforeAvoided;
  Placement.SpreadKey = Call.Params.Id;
  Placement.Tried = Call.Tried;
  return Placement;
}

http1::call_request
relay::impl::requestFor(const relay_call &Call,
                        const upstream_attempt &Attempt) const {
  http1::call_request Request;
  Request.Address = Attempt.SentTo.Address;
  Request.Method = Call.Request.Method;
  Request.Target = Call.Request.Target;
  Request.Headers = Call.Request.Headers;
  http1::removeHopByHop(Request.Headers);
  for (const std::string &Name : Names.SystemOnly)
    Request.Headers.remove(Name);
  milliseconds Left = Call.Deadline - steadyNow();
  Request.Headers.set(Names.TimeLeft, std::to_string(Left.count()));
  Request.Headers.set(Names.ExpectUpstream, Attempt.SentTo.Id);
  if (!Call.Events.lastId().empty())
    Request.Headers.set(Names.LastEvent, Call.Events.lastId());
  if (!Call.Chain.empty())
    Request.Body.push_back(Call.Chain);
  if (!Call.Request.Body.empty())
    Request.Body.push_back(Call.Request.Body);
  Request.EchoValue = Call.Params.Id;
  Request.Via = Attempt.Via;
  // A tunnel needs two connections, one after the other.
  milliseconds ConnectTimeout =
      Settings.ConnectTimeout * (Attempt.Via.empty() ? 1 : 2);
  Request.ConnectTimeout = std::min(ConnectTimeout, Left);
  // An upstream resets connections above its limit. Half of the limit is
  // divided between the idle connections of the entry hosts; the other half
  // remains for calls in flight.
  const service *Service = Routing.findService(Call.Service);
  if (Service && Service->ConnectionLimit > 0)
    Request.MaxIdle =
        std::max<std::size_t>(1, Service->ConnectionLimit / 2 / EntryHosts);
  return Request;
}

void relay::impl::releaseUpstream(const relay_call &Call,
                                  upstream_attempt &Attempt) {
  if (Attempt.UpstreamId.empty())
    return;
  Upstreams.recordEnd(Attempt.UpstreamId, steadyNow());
  if (Call.Route.Kind == call_kind::Stream)
    Loads[Call.Service].Estimator.recordEnd(Attempt.SentAt,
                                            Call.eventsFromUpstream());
  Attempt.UpstreamId.clear();
  Attempt.ClientCall = {};
}

void relay::impl::onHead(relay_call_id Id, attempt_role Role,
                         const http1::response_head &Head) {
  relay_call &Call = *Calls.find(Id);
  upstream_attempt &Attempt = Call.attempt(Role);
  CrashTracker.recordResponse(Attempt.SentTo, Attempt.SentAt);
  recordWay(Attempt, steadyNow());
  Upstreams.recordAnswer(Attempt.UpstreamId, steadyNow());
  readNotice(Call, Attempt, Head);
  Attempt.Head = Head;
  Attempt.NotRun = Head.Status == http1::status::Misdirected ||
                   Head.Headers.find(Names.NotRun) != nullptr;
  bool Streams = Call.Route.Kind == call_kind::Stream &&
                 Head.Status == http1::status::Ok && !Attempt.NotRun &&
                 !Head.Headers.find("Content-Encoding");
  Attempt.Streams = Streams;
  noteHead(Call, Attempt);
  // The caller of a resumed stream has already received a head.
  if (!Streams || Call.Phase == call_phase::Streaming)
    return;
  http1::header_list Headers = Head.Headers;
  http1::removeHopByHop(Headers);
  Call.Phase = call_phase::Streaming;
  Call.LastEvent = steadyNow();
  Server->begin(Call.Exchange, Head.Status, Headers);
}

void relay::impl::onBody(relay_call_id Id, attempt_role Role,
                         std::string_view Bytes) {
  relay_call &Call = *Calls.find(Id);
  upstream_attempt &Attempt = Call.attempt(Role);
  if (!Attempt.Streams) {
    if (Attempt.Body.size() + Bytes.size() <= Routing.Limits.BodyBytes) {
      Attempt.Body.append(Bytes);
      limitMemory(Id);
      return;
    }
    abortUpstreamCall(Id, Attempt, "the answer is too large");
    return;
  }
  if (Attempt.Via.empty())
    Links.recordAnswer(steadyNow());
  Call.BytesSinceEvent += Bytes.size();
  slowdown_estimator &Estimator = Loads[Call.Service].Estimator;
  bool IsValid = Call.Events.feed(Bytes, [&](std::string_view Data) {
    time_point Now = steadyNow();
    Call.BytesSinceEvent = 0;
    if (++Call.EventCount == 1)
      Call.FirstEvent = Now;
    if (Call.eventsFromUpstream() == 1) {
      Estimator.recordFirstEvent(Attempt.SentAt, Now);
      recordFirstEvent(Call, Now);
    } else {
      Upstreams.recordEventGap(Attempt.UpstreamId, Now - Call.LastEvent, Now);
      Estimator.recordEventGap(Now - Call.LastEvent);
    }
    Call.LastEvent = Now;
    if (Call.isKept())
      Call.Output.append(Data).append("\n");
  });
  // A faulty upstream may send endless bytes without events, or more events
  // than the call may generate.
  if (!IsValid || Call.BytesSinceEvent > MaxBytesBetweenEvents) {
    abortUpstreamCall(Id, Attempt, "the stream brings no events");
    return;
  }
  if (Call.exceedsTokenLimit()) {
    abortUpstreamCall(Id, Attempt,
                      "the stream is longer than the call may generate");
    return;
  }
  forwardBody(Call, Bytes);
  limitMemory(Id);
}

void relay::impl::recordFirstEvent(const relay_call &Call, time_point Now) {
  const upstream_attempt &Attempt = Call.Current;
  bool IsCached = Attempt.UpstreamId == Call.PreviousUpstream ||
                  Attempt.UpstreamId == Call.BrokenAt;
  Upstreams.recordTime(Attempt.UpstreamId,
                       IsCached ? time_kind::CachedFirstEvent
                                : time_kind::FirstEvent,
                       Now - Attempt.SentAt, Now);
}

void relay::impl::limitMemory(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  Memory.set(Call.Memory, memory_rank::Call, Call.heldBytes(), steadyNow());
  Memory.enforce();
}

void relay::impl::endForMemory(relay_call_id Id) {
  constexpr std::string_view Reason =
      "calls take more memory than the host has for them";
  relay_call *Call = Calls.find(Id);
  if (!Call)
    return;
  Metrics.add("calls_ended_for_memory_total");
  bool HasAnswer = Call->answerBytes() * 2 > Call->heldBytes();
  if (Call->Phase == call_phase::Opening)
    refuse(Id, Reason);
  else if (Call->Phase != call_phase::Keeping && HasAnswer)
    abortUpstreamCall(Id, Call->largestAttempt(), Reason);
  else if (Call->Phase != call_phase::Sent)
    abortResponse(Id, Reason);
  else
    failCall(Id, http1::status::BadGateway, Reason);
}

void relay::impl::dropBody(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  Call.Current.Body = {};
  Memory.set(Call.Memory, memory_rank::Call, Call.heldBytes(), steadyNow());
}

void relay::impl::forwardBody(relay_call &Call, std::string_view Bytes) {
  if (!Call.Route.Resumable) {
    Server->write(Call.Exchange, Bytes);
    return;
  }
  // After a resume, an event is sent again from its start, so the caller must
  // not have a part of it.
  Call.PartialEvent += Bytes;
  std::size_t CompleteSize =
      Call.PartialEvent.size() - Call.Events.unfinished();
  if (CompleteSize > 0)
    Server->write(Call.Exchange, Call.PartialEvent.substr(0, CompleteSize));
  Call.PartialEvent.erase(0, CompleteSize);
}

void relay::impl::abortUpstreamCall(relay_call_id Id, upstream_attempt &Attempt,
                                    std::string_view Reason) {
  Client->cancel(Attempt.ClientCall);
  Calls.find(Id)->ResumesLeft = 0;
  Metrics.add("upstream_answers_broken_off_total");
  onUpstreamFailure(Id, Attempt,
                    {http1::call_outcome::Broken, std::string(Reason)});
}

void relay::impl::onUpstreamEnd(relay_call_id Id, attempt_role Role,
                                const http1::call_result &Result) {
  relay_call &Call = *Calls.find(Id);
  upstream_attempt &Attempt = Call.attempt(Role);
  if (Result.Outcome != http1::call_outcome::Complete) {
    onUpstreamFailure(Id, Attempt, Result);
    return;
  }
  Attempt.AnswerEnd = Result.End;
  Metrics.add("upstream_answers_total", metricLabel("end", nameOf(Result.End)));
  if (Attempt.NotRun) {
    onNotRun(Id, Attempt);
    return;
  }
  if (Attempt.Streams && Call.isCutStream()) {
    onUpstreamFailure(
        Id, Attempt,
        {http1::call_outcome::Broken, "the stream ended inside an event"});
    return;
  }
  if (Attempt.Streams) {
    onStreamComplete(Id);
    return;
  }
  if (Call.Phase == call_phase::Streaming) {
    abortResponse(Id, "the stream does not go on");
    return;
  }
  if (Attempt.Head.Headers.find("Content-Encoding")) {
    onUpstreamFailure(Id, Attempt,
                      {http1::call_outcome::Broken, "the answer is encoded"});
    return;
  }
  if (endUnusable(Id, Attempt))
    return;
  keepWinner(Id, Attempt);
  onResponseComplete(Id);
}

void relay::impl::onResponseComplete(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  // The other attempt may have run, so the caller must not be told that none
  // did.
  if (Call.HedgedAt && Call.MayHaveRun &&
      saysNotRun(Call.Current.Head.Status)) {
    failCall(Id, http1::status::BadGateway, "an upstream may have run it");
    return;
  }
  http1::header_list Headers = Call.Current.Head.Headers;
  http1::removeHopByHop(Headers);
  settleBudget(Call);
  if (isSuccess(Call.Current.Head.Status)) {
    recordSuccess(Call);
    time_point Now = steadyNow();
    Upstreams.recordTime(Call.Current.UpstreamId, time_kind::Answer,
                         Now - Call.Current.SentAt, Now);
  }
  Server->respondWith(Call.Exchange, Call.Current.Head.Status, Headers,
                      Call.Current.Body.take());
  finish(Id, Call.Current.Head.Status, {});
}

void relay::impl::onStreamComplete(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  std::string Upstream = Call.Current.UpstreamId;
  releaseUpstream(Call, Call.Current);
  recordSuccess(Call);
  if (!Call.PartialEvent.empty())
    Server->write(Call.Exchange, Call.PartialEvent);
  if (!Call.isKept()) {
    settleBudget(Call);
    Server->finish(Call.Exchange);
    finish(Id, Call.Current.Head.Status, {});
    return;
  }
  std::size_t KeepingBytes = Call.keepingBytes();
  if (KeepingBytes > SmallTurnBytes &&
      !Memory.hasRoomFor(KeepingBytes - Call.answerBytes())) {
    Metrics.add("calls_ended_for_memory_total");
    abortResponse(Id, "the host has no memory to store the turn");
    return;
  }
  // The copies are held until the turn is stored, even if the caller leaves.
  memory_holder_id Pinned = Memory.add(MemoryOwner, keyOf(Id));
  Memory.set(Pinned, memory_rank::Pinned, KeepingBytes, steadyNow());
  Call.Phase = call_phase::Keeping;
  turns::close_call Close = closeOf(Call);
  Close.Turn.emplace();
  Close.Turn->Id = Call.scoped(Call.Params.Id);
  Close.Turn->Previous = Call.scoped(Call.Params.PreviousTurn);
  Close.Turn->Program = Call.scoped(Call.Params.Program);
  Close.Turn->RetentionMs = static_cast<std::uint64_t>(Close.Retention.count());
  Close.Turn->Input = std::move(Call.Request.Body);
  Close.Turn->Output = std::move(Call.Output);
  Close.Turn->Upstream = std::move(Upstream);
  Memory.set(Call.Memory, memory_rank::Call, Call.heldBytes(), steadyNow());
  Turns.close(std::move(Close), [this, Id, Pinned](bool Kept) {
    Memory.release(Pinned);
    relay_call *Closed = Calls.find(Id);
    if (!Closed)
      return;
    if (!Kept) {
      abortResponse(Id, "the turn could not be kept");
      return;
    }
    Server->finish(Closed->Exchange);
    finish(Id, Closed->Current.Head.Status, {});
  });
}

void relay::impl::onNotRun(relay_call_id Id, upstream_attempt &Attempt) {
  relay_call &Call = *Calls.find(Id);
  log::info("upstream did not run call", {{"id", Call.Params.Id},
                                          {"upstream", Attempt.UpstreamId},
                                          {"status", Attempt.Head.Status}});
  if (Attempt.Head.Status == http1::status::Misdirected) {
    Upstreams.recordFailure(Attempt.UpstreamId, steadyNow());
    // Another process has the address of the upstream that was to resume the
    // stream.
    if (Call.BrokenAt == Attempt.SentTo.Id)
      Call.discountBrokenRun();
  }
  releaseUpstream(Call, Attempt);
  Call.Permit.reset();
  if (continueWithOther(Id, Attempt))
    return;
  dropBody(Id);
  if (Call.Attempts < Call.Route.Attempts)
    send(Id);
  else
    refuse(Id, "the upstreams that were tried did not run it");
}

// Prefers the upstream that ran the call, which has the prompt in its cache.
// Another one gets the call if that upstream has exited.
bool relay::impl::resumeStream(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  if (!Call.Route.Resumable || Call.ResumesLeft == 0)
    return false;
  --Call.ResumesLeft;
  Call.Events.dropUnfinished();
  Call.PartialEvent.clear();
  Call.BytesSinceEvent = 0;
  Call.ResumeAt = Call.Current.SentTo.Id;
  Call.BrokenAt = Call.Current.SentTo.Id;
  Metrics.add("streams_resumed_total");
  send(Id);
  return true;
}

void relay::impl::onUpstreamFailure(relay_call_id Id, upstream_attempt &Attempt,
                                    const http1::call_result &Result) {
  relay_call &Call = *Calls.find(Id);
  time_point Now = steadyNow();
  log::info("call failed at upstream",
            {{"id", Call.Params.Id},
             {"upstream", Attempt.UpstreamId},
             {"via", Attempt.Via},
             {"fingerprint", toHex(Call.Fingerprints.Exact)},
             {"caller_fingerprint", toHex(Call.Fingerprints.Caller)},
             {"target_fingerprint", toHex(Call.Fingerprints.Target)},
             {"reason", Result.Reason},
             {"phase", nameOf(Call.Phase)},
             {"events", Call.EventCount},
             {"unfinished_bytes", Call.Events.unfinished()},
             {"after_ms", (Now - Attempt.SentAt).count()}});
  if (Result.Outcome == http1::call_outcome::NotSent) {
    onNotConnected(Id, Attempt, Result.Failure);
    return;
  }
  Upstreams.recordFailure(Attempt.UpstreamId, Now);
  if (Result.Fault != http1::message_fault::None)
    Metrics.add("upstream_answers_refused_total",
                metricLabel("reason", nameOf(Result.Fault)));
  Call.MayHaveRun = true;
  Call.Permit.reset();
  recordAbort(Call, Attempt, abort_kind::Broken);
  releaseUpstream(Call, Attempt);
  if (continueWithOther(Id, Attempt))
    return;
  dropBody(Id);
  if (resumeStream(Id))
    return;
  if (Call.Phase == call_phase::Streaming) {
    abortResponse(Id, Result.Reason);
    return;
  }
  if (Call.Route.Kind == call_kind::Safe &&
      Call.Attempts < Call.Route.Attempts) {
    send(Id);
    return;
  }
  failCall(Id, http1::status::BadGateway, Result.Reason);
}

} // namespace turmerichead::relay
