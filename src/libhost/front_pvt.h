/// \file
/// The HTTP interface for callers and operators.
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

/// Sources of the answers to requests that are not calls.
struct front_events {
  std::function<bool()> IsReady;
  std::function<void()> Drain;
  std::function<std::string()> Metrics;
  /// Calls back once with the report of the fleet.
  std::function<void(std::function<void(const fleet_report &)>)> Report;
  std::function<nlohmann::json()> Status;
};

/// Validates requests, passes calls to the router, and writes answers.
class http_front {
public:
  http_front(host_context &Context, call_router &Router, front_events Events);

  /// Starts to listen. On failure returns false with the error of the server.
  bool listen();
  /// Stops accepting connections.
  void stopAccepting();
  /// Returns the number of calls without an answer.
  std::size_t open() const { return Calls.size(); }

private:
  struct call_state {
    call_router::route_id Route = 0;
    bool Stream = false;
    bool Begun = false;
    std::uint32_t Number = 0;
    std::string Entry;
  };
  /// The authenticated identity of a caller.
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
