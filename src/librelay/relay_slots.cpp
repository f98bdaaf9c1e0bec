// Asking upstreams for a free slot before a call is sent.

#include "relay_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

// An upstream that is slower than this has more to do than another.
constexpr milliseconds AnswerTime{60};
// From the answer to the call's arrival; then the slot is free again.
constexpr milliseconds KeepTime{500};
// Further upstreams have less and less of a program in memory.
constexpr std::size_t MaxAsked = 3;
constexpr std::size_t MaxAnswerBytes = 4096;

} // namespace

bool relay::impl::wantsSlot(const relay_call &Call, time_point Now) {
  const service *Service = Routing.findService(Call.Service);
  bool May = Call.Route.Kind == call_kind::Stream && !Call.SlotsAsked &&
             Call.Tried.empty() && Service && Service->SlotTime.count() > 0;
  return May &&
         asksForSlot(Loads[Call.Service].Gauge,
                     {Upstreams.readySlots(Call.Service, Now), EntryHosts});
}

void relay::impl::askForSlot(relay_call_id Id) {
  relay_call &Call = *Calls.find(Id);
  Call.SlotsAsked = true;
  placement Placement = placementOf(Call);
  Placement.Tried = Call.AskedForSlot;
  upstream_row *Upstream = Upstreams.pick(Placement, steadyNow());
  bool Repeats =
      Upstream && std::find(Call.AskedForSlot.begin(), Call.AskedForSlot.end(),
                            Upstream->Upstream.Id) != Call.AskedForSlot.end();
  if (!Upstream || Repeats) {
    send(Id);
    return;
  }
  const service *Service = Routing.findService(Call.Service);
  milliseconds Keep =
      Service ? std::min(KeepTime, Service->SlotTime) : KeepTime;
  Call.AskedForSlot.push_back(Upstream->Upstream.Id);
  Call.SlotAnswer.clear();
  http1::call_request Request;
  Request.Address = Upstream->Upstream.Address;
  Request.Method = "POST";
  Request.Target = Settings.Slots.Target;
  Request.Headers = {{"Host", Upstream->Upstream.Address},
                     {"Content-Type", "application/json"}};
  Request.Body = {Settings.Slots.Body(Call.Facts.MostTokens, Keep)};
  Request.ConnectTimeout = AnswerTime;
  Request.MaxBodyBytes = MaxAnswerBytes;
  Request.MaxIdle = maxIdle(Call.Service);
  auto Status = std::make_shared<int>(0);
  Call.SlotCall = Client->call(
      std::move(Request),
      {[Status](const http1::response_head &Head) { *Status = Head.Status; },
       [this, Id](std::string_view Bytes) {
         Calls.find(Id)->SlotAnswer += Bytes;
       },
       [this, Id, Status](const http1::call_result &Result) {
         onSlotAnswer(Id, *Status, Result);
       }});
  Deadlines->add(AnswerTime, keyOf(Id),
                 static_cast<int>(Call.AskedForSlot.size()));
}

void relay::impl::onSlotAnswer(relay_call_id Id, int Status,
                               const http1::call_result &Result) {
  relay_call &Call = *Calls.find(Id);
  Call.SlotCall = {};
  const std::string &AskedId = Call.AskedForSlot.back();
  upstream_row *Upstream = Upstreams.find(AskedId);
  bool Complete = Result.Outcome == http1::call_outcome::Complete;
  if (Upstream && !Complete) {
    Upstreams.noteFailure(Upstream->Upstream.Id, steadyNow());
    if (Result.Refused)
      noteEnded(Upstream->Upstream, end_evidence::Refused);
  }
  if (Complete && Status == http1::status::Ok)
    Call.Slot = Settings.Slots.ReadId(Call.SlotAnswer);
  if (Call.Slot.empty()) {
    tryNextSlot(Id);
    return;
  }
  Call.NextUpstream = AskedId;
  send(Id);
}

void relay::impl::onSlotLate(relay_call_id Id, std::size_t Ask) {
  relay_call *Call = Calls.find(Id);
  if (!Call || !Call->SlotCall || Call->AskedForSlot.size() != Ask)
    return;
  Client->cancel(std::exchange(Call->SlotCall, {}));
  tryNextSlot(Id);
}

// Where none is free the call waits at the upstream that suits it best.
void relay::impl::tryNextSlot(relay_call_id Id) {
  if (Calls.find(Id)->AskedForSlot.size() < MaxAsked)
    askForSlot(Id);
  else
    send(Id);
}

} // namespace turmerichead::relay
