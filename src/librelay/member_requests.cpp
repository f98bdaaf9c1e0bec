#include "turmerichead/relay_member_requests.h"

#include "turmerichead/turns_forwarder.h"

#include <memory>

namespace turmerichead::relay {

void member_requests::sendBytes(const std::string &Address,
                                std::string_view Path, std::string Body,
                                bytes_action Done) {
  peer_request Request{std::string(Path), {}, std::move(Body)};
  if (!Route) {
    sendOnce(Address, std::move(Request), Done);
    return;
  }
  if (auto Forwarder = Route(Address, false)) {
    sendOnce(*Forwarder, turns::forwardedRequest(Address, std::move(Request)),
             Done);
    return;
  }
  sendOnce(Address, Request,
           [this, Address, Request,
            Done = std::move(Done)](const std::optional<std::string> &Reply) {
             auto Other = Reply ? std::nullopt : Route(Address, true);
             if (Other)
               sendOnce(*Other, turns::forwardedRequest(Address, Request),
                        Done);
             else
               Done(Reply);
           });
}

void member_requests::sendOnce(const std::string &Address, peer_request Request,
                               const bytes_action &Done) {
  std::uint64_t Number = ++NextNumber;
  auto Reply = std::make_shared<std::optional<std::string>>();
  Links.setAddress(Address, Address);
  peer_stream_id Stream =
      Links.send(Address, std::move(Request),
                 {[Reply](std::string_view Bytes) { *Reply = Bytes; },
                  [this, Number, Reply, Done](const peer_result &) {
                    if (Pending.erase(Number) > 0)
                      Done(*Reply);
                  }});
  Pending[Number] = {
      Stream, loop_source::every(ReplyTimeout, [this, Number, Stream, Done] {
        Links.cancel(Stream);
        Pending.erase(Number);
        Done(std::nullopt);
        return false;
      })};
}

void member_requests::soon(std::function<void()> Action) {
  std::uint64_t Number = ++NextNumber;
  Pending[Number].Timeout =
      loop_source::soon([this, Number, Action = std::move(Action)] {
        Pending.erase(Number);
        Action();
        return false;
      });
}

void member_requests::after(milliseconds Delay, std::function<void()> Action) {
  std::uint64_t Number = ++NextNumber;
  Pending[Number].Timeout =
      loop_source::every(Delay, [this, Number, Action = std::move(Action)] {
        Pending.erase(Number);
        Action();
        return false;
      });
}

member_requests::~member_requests() {
  for (const auto &[Number, Request] : Pending)
    Links.cancel(Request.Stream);
}

} // namespace turmerichead::relay
