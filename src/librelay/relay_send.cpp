// Sends calls to upstreams and forwards their answers.

#include "relay_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/hash.h"
#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// A call with less time left is not sent.
constexpr milliseconds MinTimeToSend{5};
// Limit for the bytes of a stream between the ends of two events: comments,
// fields without data, and the event itself.
constexpr std::size_t MaxBytesBetweenEvents = 1U << 20U;

// Turns up to this size are stored although the host is short of memory. With
// its copies an ordinary turn takes far less.
constexpr std::size_t SmallTurnBytes = 256U << 10U;

// Denied permits after which a call prefers upstreams without a limit.
constexpr std::size_t DeniedBeforeAvoided = 2;

bool isSuccess(int Status) {
  constexpr int FirstSuccess = 200;
  constexpr int FirstRedirect = 300;
  return Status >= FirstSuccess && Status < FirstRedirect;
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
    refuse(Id, "no upstream is ready");
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
    refuse(Id, "this host reaches no upstream");
    return;
  }
  bool WasTried = Call.wasSentTo(Upstream.Upstream.Id);
  Call.Via = std::move(Via);
  Call.Attempts += Call.BrokenAt == Upstream.Upstream.Id ? 0 : 1;
  ++Upstream.InFlight;
  Call.UpstreamId = Upstream.Upstream.Id;
  Call.SentTo = Upstream.Upstream;
  Call.Tried.push_back(Call.UpstreamId);
  if (Call.Phase != call_phase::Streaming) {
    Call.Phase = call_phase::Sent;
    Call.Head = {};
  }
  Call.Streams = false;
  Call.AnswerEnd.reset();
  Call.PriorEvents = Call.EventCount;
  Call.SentAt = Now;
  if (Call.Route.Kind == call_kind::Stream) {
    Loads[Call.Service].Estimator.recordSend(Now);
    if (!Call.Params.Program.empty())
      Homes.record(Call.Params.Program, Call.UpstreamId);
  }
  Call.NotRun = false;
  if (!Call.Denied.empty())
    Metrics.add("limit_calls_moved_total");
  log::info("call sent", {{"id", Call.Params.Id},
                          {"upstream", Call.UpstreamId},
                          {"home", Call.PreviousUpstream},
                          {"in_flight", Upstream.InFlight},
                          {"via", Call.Via},
                          {"avoided", Upstream.AvoidUntil > Now},
                          {"vanished", Upstream.ExpiresAt.has_value()},
                          {"attempt", Call.Attempts},
                          {"after_event", Call.Events.lastId()},
                          {"left_ms", (Call.Deadline - Now).count()},
                          {"held_ms", Call.HeldFor.count()},
                          {"moved", Call.Denied.size()},
                          {"chain_bytes", Call.Chain.size()}});
  http1::call_request Request = requestFor(Call, Upstream.Upstream);
  Request.FreshConnection = WasTried;
  Call.Upstream = Client->call(
      std::move(Request),
      {[this, Id](const http1::response_head &Head) { onHead(Id, Head); },
       [this, Id](std::string_view Bytes) { onBody(Id, Bytes); },
       [this, Id](const http1::call_result &Result) {
         onUpstreamEnd(Id, Result);
       },
       [this, Id] { onConnected(Id); }});
  watchLinks();
}

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
  placement Placement;
  Placement.Service = Call.Service;
  Placement.DataCentre = Settings.DataCentre;
  if (Call.Route.Kind == call_kind::Stream) {
    Placement.AffinityKey = Call.Params.Program;
    if (Call.PreviousUpstream.empty())
      Call.PreviousUpstream = Homes.find(Call.Params.Program);
    Placement.IsNewChain =
        Call.PreviousUpstream.empty() && Call.Params.PreviousTurn.empty();
  }
  Placement.PreviousUpstream = Call.PreviousUpstream;
  Placement.PrefersNear = !Upstreams.hasLimits(Call.Service, Now);
  Placement.Denied = Call.Denied;
  Placement.AvoidsLimits = Call.Denied.size() >= DeniedBeforeAvoided;
  Placement.SpreadKey = Call.Params.Id;
  Placement.Tried = Call.Tried;
  return Upstreams.pick(Placement, Now);
}

http1::call_request relay::impl::requestFor(const relay_call &Call,
                                            const upstream &Upstream) const {
  http1::call_request Request;
  Request.Address = Upstream.Address;
  Request.Method = Call.Request.Method;
  Request.Target = Call.Request.Target;
  Request.Headers = Call.Request.Headers;
  http1::removeHopByHop(Request.Headers);
  for (const std::string &Name : Names.SystemOnly)
    Request.Headers.remove(Name);
  milliseconds Left = Call.Deadline - steadyNow();
  Request.Headers.set(Names.TimeLeft, std::to_string(Left.count()));
  Request.Headers.set(Names.ExpectUpstream, Upstream.Id);
  if (!Call.Events.lastId().empty())
    Request.Headers.set(Names.LastEvent, Call.Events.lastId());
  if (!Call.Chain.empty())
    Request.Body.push_back(Call.Chain);
  if (!Call.Request.Body.empty())
    Request.Body.push_back(Call.Request.Body);
  Request.EchoValue = Call.Params.Id;
  Request.Via = Call.Via;
  // A tunnel needs two connections, one after the other.
  milliseconds ConnectTimeout =
      Settings.ConnectTimeout * (Call.Via.empty() ? 1 : 2);
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

void relay::impl::releaseUpstream(relay_call &Call) {
  if (Call.UpstreamId.empty())
    return;
  if (upstream_row *Row = Upstreams.find(Call.UpstreamId))
    Row->InFlight -= Row->InFlight > 0 ? 1 : 0;
  if (Call.Route.Kind == call_kind::Stream)
    Loads[Call.Service].Estimator.recordEnd(Call.SentAt,
                                            Call.eventsFromUpstream());
  Call.UpstreamId.clear();
  Call.Upstream = {};
}

void relay::impl::onHead(relay_call_id Id, const http1::response_head &Head) {
  relay_call &Call = *Calls.find(Id);
  CrashTracker.recordResponse(Call.SentTo, Call.SentAt);
  recordWay(Call, steadyNow());
  readNotice(Call, Head);
  Call.Head = Head;
  Call.NotRun = Head.Status == http1::status::Misdirected ||
                Head.Headers.find(Names.NotRun) != nullptr;
  bool Streams = Call.Route.Kind == call_kind::Stream &&
                 Head.Status == http1::status::Ok && !Call.NotRun &&
                 !Head.Headers.find("Content-Encoding");
  Call.Streams = Streams;
  // The caller of a resumed stream has already received a head.
  if (!Streams || Call.Phase == call_phase::Streaming)
    return;
  http1::header_list Headers = Head.Headers;
  http1::removeHopByHop(Headers);
  Call.Phase = call_phase::Streaming;
  Call.LastEvent = steadyNow();
  Server->begin(Call.Exchange, Head.Status, Headers);
}

void relay::impl::onBody(relay_call_id Id, std::string_view Bytes) {
  relay_call &Call = *Calls.find(Id);
  if (!Call.Streams) {
    if (Call.Body.size() + Bytes.size() <= Routing.Limits.BodyBytes) {
      Call.Body.append(Bytes);
      limitMemory(Id);
      return;
    }
    abortUpstreamCall(Id, "the answer is too large");
    return;
  }
  if (Call.Via.empty())
    Links.recordAnswer(steadyNow());
  Call.BytesSinceEvent += Bytes.size();
  slowdown_estimator &Estimator = Loads[Call.Service].Estimator;
  bool IsValid = Call.Events.feed(Bytes, [&](std::string_view Data) {
    time_point Now = steadyNow();
    Call.BytesSinceEvent = 0;
    if (++Call.EventCount == 1)
      Call.FirstEvent = Now;
    if (Call.eventsFromUpstream() == 1) {
      Estimator.recordFirstEvent(Call.SentAt, Now);
    } else {
      Upstreams.recordEventGap(Call.UpstreamId, Now - Call.LastEvent);
      Estimator.recordEventGap(Now - Call.LastEvent);
    }
    Call.LastEvent = Now;
    if (Call.isKept())
      Call.Output.append(Data).append("\n");
  });
  // A faulty upstream may send endless bytes without events, or more events
  // than the call may generate.
  if (!IsValid || Call.BytesSinceEvent > MaxBytesBetweenEvents) {
    abortUpstreamCall(Id, "the stream brings no events");
    return;
  }
  if (Call.exceedsTokenLimit()) {
    abortUpstreamCall(Id, "the stream is longer than the call may generate");
    return;
  }
  forwardBody(Call, Bytes);
  limitMemory(Id);
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
    abortUpstreamCall(Id, Reason); // The upstream sends too much.
  else if (Call->Phase != call_phase::Sent)
    abortResponse(Id, Reason);
  else
    failCall(Id, http1::status::BadGateway, Reason);
}

void relay::impl::dropBody(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  Call.Body = {};
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

void relay::impl::abortUpstreamCall(relay_call_id Id, std::string_view Reason) {
  relay_call &Call = *Calls.find(Id);
  Client->cancel(Call.Upstream);
  Call.ResumesLeft = 0;
  Metrics.add("upstream_answers_broken_off_total");
  onUpstreamFailure(Id, {http1::call_outcome::Broken, std::string(Reason)});
}

void relay::impl::onUpstreamEnd(relay_call_id Id,
                                const http1::call_result &Result) {
  relay_call &Call = *Calls.find(Id);
  if (Result.Outcome != http1::call_outcome::Complete) {
    onUpstreamFailure(Id, Result);
    return;
  }
  Call.AnswerEnd = Result.End;
  Metrics.add("upstream_answers_total",
              "end=\"" + std::string(nameOf(Result.End)) + "\"");
  if (Call.NotRun) {
    onNotRun(Id);
    return;
  }
  if (Call.Streams && Call.isCutStream()) {
    onUpstreamFailure(
        Id, {http1::call_outcome::Broken, "the stream ended inside an event"});
    return;
  }
  if (Call.Streams) {
    onStreamComplete(Id);
    return;
  }
  if (Call.Phase == call_phase::Streaming) {
    abortResponse(Id, "the stream does not go on");
    return;
  }
  if (Call.Head.Headers.find("Content-Encoding")) {
    onUpstreamFailure(Id,
                      {http1::call_outcome::Broken, "the answer is encoded"});
    return;
  }
  onResponseComplete(Id);
}

void relay::impl::onResponseComplete(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  http1::header_list Headers = Call.Head.Headers;
  http1::removeHopByHop(Headers);
  settleBudget(Call);
  if (isSuccess(Call.Head.Status))
    recordSuccess(Call);
  Server->respondWith(Call.Exchange, Call.Head.Status, Headers,
                      Call.Body.take());
  finish(Id, Call.Head.Status, {});
}

void relay::impl::onStreamComplete(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  std::string Upstream = Call.UpstreamId;
  releaseUpstream(Call);
  recordSuccess(Call);
  if (!Call.PartialEvent.empty())
    Server->write(Call.Exchange, Call.PartialEvent);
  if (!Call.isKept()) {
    settleBudget(Call);
    Server->finish(Call.Exchange);
    finish(Id, Call.Head.Status, {});
    return;
  }
  std::size_t KeepingBytes = Call.keepingBytes();
  if (KeepingBytes > SmallTurnBytes &&
      !Memory.hasRoomFor(KeepingBytes - Call.answerBytes())) {
    Metrics.add("calls_ended_for_memory_total");
    abortResponse(Id, "the host has no memory to store the turn");
    return;
  }
  // Until it is stored, also if the caller leaves meanwhile.
  memory_holder_id Pinned = Memory.add(MemoryOwner, keyOf(Id));
  Memory.set(Pinned, memory_rank::Pinned, KeepingBytes, steadyNow());
  Call.Phase = call_phase::Keeping;
  turns::close_call Close = closeOf(Call);
  Close.Turn.emplace();
  Close.Turn->Id = Call.Params.Id;
  Close.Turn->Previous = Call.Params.PreviousTurn;
  Close.Turn->Program = Call.Params.Program;
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
    finish(Id, Closed->Head.Status, {});
  });
}

void relay::impl::onNotRun(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  log::info("upstream did not run call", {{"id", Call.Params.Id},
                                          {"upstream", Call.UpstreamId},
                                          {"status", Call.Head.Status}});
  if (Call.Head.Status == http1::status::Misdirected) {
    Upstreams.recordFailure(Call.UpstreamId, steadyNow());
    // Another process has the address of the upstream that was to resume the
    // stream.
    if (Call.BrokenAt == Call.SentTo.Id)
      Call.discountBrokenRun();
  }
  releaseUpstream(Call);
  Call.Permit.reset();
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
  Call.ResumeAt = Call.SentTo.Id;
  Call.BrokenAt = Call.SentTo.Id;
  Metrics.add("streams_resumed_total");
  send(Id);
  return true;
}

void relay::impl::onUpstreamFailure(relay_call_id Id,
                                    const http1::call_result &Result) {
  relay_call &Call = *Calls.find(Id);
  time_point Now = steadyNow();
  log::info("call failed at upstream",
            {{"id", Call.Params.Id},
             {"upstream", Call.UpstreamId},
             {"via", Call.Via},
             {"fingerprint", toHex(Call.Fingerprints.Exact)},
             {"reason", Result.Reason},
             {"phase", nameOf(Call.Phase)},
             {"events", Call.EventCount},
             {"unfinished_bytes", Call.Events.unfinished()},
             {"after_ms", (Now - Call.SentAt).count()}});
  if (Result.Outcome == http1::call_outcome::NotSent) {
    onNotConnected(Id, Result.Failure);
    return;
  }
  Upstreams.recordFailure(Call.UpstreamId, Now);
  Call.MayHaveRun = true;
  Call.Permit.reset();
  recordAbort(Call, abort_kind::Broken);
  releaseUpstream(Call);
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
