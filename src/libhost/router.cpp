#include "router_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace turmerichead::host_pvt {

namespace {

constexpr milliseconds RouteRetryDelay{50};
/// Time for which a call waits for a holder; longer than a takeover.
constexpr milliseconds RouteGiveUp{20000};
constexpr std::int64_t RetryAfterBaseMs = 1000;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::uint16_t StatusGatewayTimeout = 504;

} // namespace

call_router::route_id call_router::route(call_message Message,
                                         answer_sink Sink) {
  route_id Id = NextId++;
  time_point Now = steadyNow();
  row Row;
  Row.Deadline = Now + milliseconds(Message.DeadlineMs);
  Row.GiveUp = std::min(Row.Deadline, Now + RouteGiveUp);
  Row.Message = std::move(Message);
  Row.Sink = std::move(Sink);
  Rows.emplace(Id, std::move(Row));
  attempt(Id);
  return Id;
}

void call_router::cancel(route_id Id) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  row Row = std::move(Found->second);
  Rows.erase(Found);
  if (Row.Waiter != 0)
    Holder.callerGone(Row.Waiter);
  if (Row.Stream)
    Context.Links->cancel(Row.Stream);
}

void call_router::attempt(route_id Id) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  row &Row = Found->second;
  time_point Now = steadyNow();
  if (Now >= Row.GiveUp) {
    finish(Id, gaveUp(Row));
    return;
  }
  std::string Host(Context.holderOf(Row.Message.Program));
  if (Host.empty()) {
    retryLater(Id);
    return;
  }
  Row.Message.DeadlineMs = (Row.Deadline - Now).count();
  if (Host != Context.self()) {
    sendRemote(Id, Row, Host);
    return;
  }
  Row.MaySent = true;
  answer_sink Sink;
  Sink.OnEvents = [this, Id](std::string_view Events) {
    auto Found = Rows.find(Id);
    if (Found == Rows.end())
      return;
    Found->second.Streamed = true;
    Found->second.Sink.OnEvents(Events);
  };
  Sink.OnEnd = [this, Id](const call_end &End) { onEnd(Id, End); };
  waiter_id Waiter = Holder.submit(Row.Message, std::move(Sink));
  Found = Rows.find(Id);
  if (Found != Rows.end())
    Found->second.Waiter = Waiter;
}

void call_router::sendRemote(route_id Id, row &Row, std::string_view Host) {
  Row.Stream = Context.Links->send(
      Host,
      {.Path = std::string(CallPath), .Headers = {}, .Body = pack(Row.Message)},
      {.OnMessage = [this, Id](std::string_view Bytes) { onFrame(Id, Bytes); },
       .OnEnd =
           [this, Id](const peer_result &Result) {
             auto Found = Rows.find(Id);
             if (Found == Rows.end())
               return;
             Found->second.Stream = {};
             onLost(Id, Result.Sent);
           }});
}

void call_router::onFrame(route_id Id, std::string_view Bytes) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  auto Frame = unpack<answer_frame>(Bytes);
  if (!Frame) {
    log::error("answer frame does not decode", {{"reason", lastError().Text}});
    return;
  }
  if (!Frame->IsEnd) {
    Found->second.Streamed = true;
    Found->second.Sink.OnEvents(Frame->Bytes);
    return;
  }
  auto End = unpack<call_end>(Frame->Bytes);
  if (!End) {
    log::error("answer does not decode", {{"reason", lastError().Text}});
    return;
  }
  onEnd(Id, *End);
}

void call_router::onEnd(route_id Id, const call_end &End) {
  auto Found = Rows.find(Id);
  if (Found == Rows.end())
    return;
  Found->second.Waiter = 0;
  if (!End.Moved) {
    finish(Id, End);
    return;
  }
  if (Found->second.Streamed) {
    onLost(Id, true);
    return;
  }
  // A holder that replies "moved" will not answer this call, so its stream is
  // not cancelled.
  Found->second.Stream = {};
  retryLater(Id);
}

void call_router::onLost(route_id Id, bool Sent) {
  row &Row = Rows.find(Id)->second;
  Row.MaySent |= Sent;
  if (!Row.Streamed) {
    retryLater(Id);
    return;
  }
  // The caller has received part of an answer, which the next holder may not be
  // able to continue. A retry of the call gets the complete answer.
  call_end End = gaveUp(Row);
  End.StreamBroken = true;
  End.Code = "interrupted";
  End.Text = "the holder was lost; send the same call again for its answer";
  finish(Id, End);
}

void call_router::retryLater(route_id Id) {
  row &Row = Rows.find(Id)->second;
  Row.Retry = timer::once(RouteRetryDelay, [this, Id] { attempt(Id); });
}

call_end call_router::gaveUp(const row &Row) {
  call_end End;
  bool Unknown = Row.MaySent;
  End.Outcome = static_cast<std::uint8_t>(Unknown ? call_outcome::Unknown
                                                  : call_outcome::NotRun);
  End.HttpStatus = Unknown ? StatusGatewayTimeout : StatusUnavailable;
  End.Code = Unknown ? "outcome_unknown" : "no_holder";
  End.Text = Unknown ? "the holder was lost; send the same call again"
                     : "no host holds the program at present";
  End.RetryAfterMs =
      RetryAfterBaseMs +
      static_cast<std::int64_t>(Context.Random() %
                                static_cast<std::uint64_t>(RetryAfterBaseMs));
  return End;
}

void call_router::finish(route_id Id, const call_end &End) {
  auto Found = Rows.find(Id);
  answer_sink Sink = std::move(Found->second.Sink);
  Rows.erase(Found);
  Sink.OnEnd(End);
}

// -- Histories --------------------------------------------------------------

void call_router::askHolder(std::string_view Path,
                            const program_message &Message,
                            const program_callback &Done) {
  askOnce(std::string(Path), Message, Done, steadyNow() + RouteGiveUp);
}

void call_router::askOnce(const std::string &Path,
                          const program_message &Message,
                          const program_callback &Done, time_point GiveUp) {
  if (steadyNow() >= GiveUp) {
    Done({StatusUnavailable,
          R"({"error":{"code":"no_holder","message":"no host holds the )"
          R"(program at present","outcome":"not_run","retry_after_ms":1000}})",
          false});
    return;
  }
  auto Again = [this, Path, Message, Done, GiveUp] {
    after(RouteRetryDelay, [this, Path, Message, Done, GiveUp] {
      askOnce(Path, Message, Done, GiveUp);
    });
  };
  std::string Host(Context.holderOf(Message.Program));
  if (Host == Context.self()) {
    program_reply Reply = Path == HistoryPath ? Holder.history(Message)
                                              : Holder.endProgram(Message);
    Reply.Moved ? Again() : Done(Reply);
    return;
  }
  if (Host.empty()) {
    Again();
    return;
  }
  auto Reply = std::make_shared<std::optional<program_reply>>();
  Context.Links->send(
      Host, {.Path = Path, .Headers = {}, .Body = pack(Message)},
      {.OnMessage =
           [Reply](std::string_view Bytes) {
             *Reply = unpack<program_reply>(Bytes);
           },
       .OnEnd =
           [Reply, Again, Done](const peer_result &) {
             bool Answered = Reply->has_value() && !(*Reply)->Moved;
             Answered ? Done(**Reply) : Again();
           }});
}

} // namespace turmerichead::host_pvt
