/// \file
/// HTTP towards callers and operators.
#pragma once

#include "context_pvt.h"
#include "holder_pvt.h"
#include "loop_pvt.h"
#include "router_pvt.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmerichead::host_pvt {

/// What the front answers that is not a call.
struct front_events {
  std::function<bool()> IsReady;
  std::function<void()> Drain;
  std::function<std::string()> Metrics;
  /// Calls back with the fleet's report, once.
  std::function<void(std::function<void(const fleet_report &)>)> Report;
  std::function<nlohmann::json()> Status;
};

/// Checks requests of callers, hands them to the router, and writes answers.
class http_front {
public:
  http_front(host_context &Context, call_router &Router, front_events Events);

  /// Begins to listen; false with the reason in lastError().
  bool listen();
  /// Accepts no further connections.
  void stopAccepting();
  /// Calls that are not answered yet.
  std::size_t open() const { return Calls.size(); }

private:
  struct call_state {
    call_router::route_id Route = 0;
    bool Stream = false;
    bool Begun = false;
    std::uint32_t Number = 0;
    std::string Entry;
  };
  /// A caller's identity, checked.
  struct caller {
    std::string Entry;
    std::string Program;
    const program_entry *Rules = nullptr;
  };

  void onRequest(const http_request_view &Request);
  void onChat(const http_request_view &Request);
  void onService(const http_request_view &Request);
  void onProgram(const http_request_view &Request);
  void onReport(const http_request_view &Request);
  void onGone(http_exchange_id Exchange);

  std::optional<caller> checkCaller(const http_request_view &Request);
  std::optional<std::string> checkOwner(const http_request_view &Request);
  bool fillCall(const http_request_view &Request, const caller &Caller,
                call_message &Message);
  void start(http_exchange_id Exchange, call_message Message);

  void onEvents(http_exchange_id Exchange, std::string_view Events);
  void onEnd(http_exchange_id Exchange, const call_end &End);
  void endStream(http_exchange_id Exchange, const call_end &End);
  void endWhole(http_exchange_id Exchange, const call_end &End);
  void checkNumber(const call_state &State, const call_end &End);

  void fail(http_exchange_id Exchange, int Status, std::string_view Code,
            std::string_view Message, std::string_view Place = "");

  host_context &Context;
  call_router &Router;
  front_events Events;
  std::optional<http_server> Server;
  std::unordered_map<http_exchange_id, call_state> Calls;
};

} // namespace turmerichead::host_pvt
