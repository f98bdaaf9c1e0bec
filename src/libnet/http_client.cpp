#include "http_call_slots_pvt.h"
#include "http_client_request_pvt.h"

#include "turmerichead/net_http.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/table.h"

#include <utility>

namespace turmerichead {

using namespace pvt;

namespace {

constexpr int WholeDeadline = 0;
constexpr int FirstByteDeadline = 1;

/// Returns whether the body has a content coding, which nobody here decodes.
bool isEncoded(const http1::response_head &Head) {
  constexpr std::string_view NoCoding = "identity";
  const std::string *Coding = Head.Headers.find("Content-Encoding");
  return Coding && !http1::equalNames(*Coding, NoCoding);
}

} // namespace

/// A call that has not ended.
struct http_call_row {
  std::string Address;
  http1::call_request Request; ///< Until it has been handed to Http1.
  http1::call_id Call;         ///< Empty while the call is queued.
  /// Shared, because a receiver may erase the row that it was called from.
  std::shared_ptr<const http_call_events> Events;
  bool Begun = false; ///< Whether the response headers have arrived.
  std::size_t BodyBytes = 0;
  std::size_t MaxBodyBytes = 0;
  int Status = 0;
};

struct http_client::state {
  http_client_settings Settings;
  call_slots Slots;
  table<http_call_row> Calls;
  deadline_queue Deadlines;
  deferred_actions Deferred;
  http1::client Http1;

  state(const http_client_settings &Settings, http1::client Http1);
  void enqueue(http_call_id Id, const http_request &Request,
               http1::call_request Call);
  void start(http_call_id Id);
  void due(http_call_id Id, int Kind);
  void onHead(http_call_id Id, const http1::response_head &Head);
  void onBody(http_call_id Id, std::string_view Bytes);
  void onEnd(http_call_id Id, const http1::call_result &Result);
  void abort(http_call_id Id, error_code Code, std::string Text);
  void erase(http_call_id Id);
  void end(http_call_id Id, const http_result &Result);
};

http_client::state::state(const http_client_settings &Settings,
                          http1::client Http1)
    : Settings(Settings), Slots(Settings.MaxPerHost, Settings.MaxTotal),
      Deadlines([this](std::uint64_t Key, int Kind) {
        due(idOf<http_call_row>(Key), Kind);
      }),
      Http1(std::move(Http1)) {}

// -- Start -------------------------------------------------------------------

/// Starts a call, at once or when there is a slot for it.
void http_client::state::enqueue(http_call_id Id, const http_request &Request,
                                 http1::call_request Call) {
  http_call_row &Row = *Calls.find(Id);
  Row.Address = Call.Address;
  Row.Request = std::move(Call);
  Row.Request.ConnectTimeout = Settings.ConnectTimeout;
  Row.Request.MaxIdle = Settings.MaxPerHost;
  if (Request.Timeout.count() > 0)
    Deadlines.add(Request.Timeout, keyOf(Id), WholeDeadline);
  if (Request.FirstByteTimeout.count() > 0)
    Deadlines.add(Request.FirstByteTimeout, keyOf(Id), FirstByteDeadline);
  if (Slots.take(Row.Address, Id))
    start(Id);
}

void http_client::state::start(http_call_id Id) {
  http_call_row &Row = *Calls.find(Id);
  Row.Call = Http1.call(
      std::move(Row.Request),
      {.OnHead = [this,
                  Id](const http1::response_head &Head) { onHead(Id, Head); },
       .OnBody = [this, Id](std::string_view Bytes) { onBody(Id, Bytes); },
       .OnEnd = [this,
                 Id](const http1::call_result &Result) { onEnd(Id, Result); }});
}

void http_client::state::due(http_call_id Id, int Kind) {
  http_call_row *Call = Calls.find(Id);
  if (!Call)
    return;
  if (Kind == WholeDeadline)
    abort(Id, error_code::Timeout, "the call took too long");
  else if (!Call->Begun)
    abort(Id, error_code::Timeout, "the response did not begin in time");
}

// -- Response ----------------------------------------------------------------

void http_client::state::onHead(http_call_id Id,
                                const http1::response_head &Head) {
  http_call_row &Call = *Calls.find(Id);
  Call.Begun = true;
  Call.Status = Head.Status;
  if (isEncoded(Head)) {
    abort(Id, error_code::Unavailable, "the response is encoded");
    return;
  }
  auto Events = Call.Events;
  if (!Events->OnHeaders)
    return;
  Events->OnHeaders(
      Head.Status,
      [&Head](std::string_view Name) -> std::optional<std::string_view> {
        const std::string *Value = Head.Headers.find(Name);
        if (!Value)
          return std::nullopt;
        return *Value;
      });
}

void http_client::state::onBody(http_call_id Id, std::string_view Bytes) {
  http_call_row &Call = *Calls.find(Id);
  Call.BodyBytes += Bytes.size();
  if (Call.BodyBytes > Call.MaxBodyBytes) {
    abort(Id, error_code::Refused, "the response is over the limit");
    return;
  }
  auto Events = Call.Events;
  if (Events->OnChunk)
    Events->OnChunk(Bytes);
}

void http_client::state::onEnd(http_call_id Id,
                               const http1::call_result &Result) {
  bool IsComplete = Result.Outcome == http1::call_outcome::Complete;
  end(Id, {.Code = IsComplete ? error_code::None : error_code::Unavailable,
           .Text = Result.Reason,
           .Status = Calls.find(Id)->Status,
           .Sent = Result.Outcome != http1::call_outcome::NotSent,
           .End = Result.End});
}

// -- End ---------------------------------------------------------------------

/// Ends a call before its response is complete, and closes its connection.
void http_client::state::abort(http_call_id Id, error_code Code,
                               std::string Text) {
  http1::call_id Call = Calls.find(Id)->Call;
  http_result Result;
  Result.Code = Code;
  Result.Text = std::move(Text);
  Result.Status = Calls.find(Id)->Status;
  Result.Sent = Http1.hasSent(Call);
  Http1.cancel(Call);
  end(Id, Result);
}

/// Removes a call, and starts those that have waited for its slot.
void http_client::state::erase(http_call_id Id) {
  std::string Address = std::move(Calls.find(Id)->Address);
  bool WasQueued = !Calls.find(Id)->Call;
  Calls.erase(Id);
  if (WasQueued) {
    Slots.drop(Address, Id);
    return;
  }
  for (http_call_id Next : Slots.release(Address))
    start(Next);
}

void http_client::state::end(http_call_id Id, const http_result &Result) {
  auto Events = Calls.find(Id)->Events;
  erase(Id);
  if (Events->OnEnd)
    Events->OnEnd(Result);
}

// -- Interface ---------------------------------------------------------------

std::optional<http_client> http_client::create(http_client_settings Settings) {
  http1::client_settings Http1Settings;
  Http1Settings.IdleTimeout = Settings.IdleTimeout;
  Http1Settings.SilenceTimeout = Settings.SilenceTimeout;
  auto Http1 = http1::client::create(std::move(Http1Settings));
  if (!Http1)
    return std::nullopt;
  return http_client(std::make_unique<state>(Settings, std::move(*Http1)));
}

http_client::http_client(std::unique_ptr<state> State)
    : State(std::move(State)) {}
http_client::http_client(http_client &&Other) noexcept = default;
http_client &http_client::operator=(http_client &&Other) noexcept = default;
http_client::~http_client() = default;

http_call_id http_client::send(const http_request &Request,
                               http_call_events Events) {
  http_call_row Row;
  Row.Events = std::make_shared<const http_call_events>(std::move(Events));
  Row.MaxBodyBytes = Request.MaxBodyBytes > 0 ? Request.MaxBodyBytes
                                              : State->Settings.MaxBodyBytes;
  http_call_id Id = State->Calls.insert(std::move(Row));
  if (auto Call = toCallRequest(Request)) {
    State->enqueue(Id, Request, std::move(*Call));
    return Id;
  }
  State->Deferred.add([Raw = State.get(), Id, Text = lastError().Text] {
    if (Raw->Calls.find(Id))
      Raw->abort(Id, error_code::InvalidInput, Text);
  });
  return Id;
}

bool http_client::cancel(http_call_id Id) {
  const http_call_row *Call = State->Calls.find(Id);
  if (!Call)
    return false;
  State->Http1.cancel(Call->Call);
  State->erase(Id);
  return true;
}

std::size_t http_client::openCalls() const { return State->Calls.size(); }

} // namespace turmerichead
