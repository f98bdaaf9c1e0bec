/// \file
/// Sends calls of the holder to upstreams and reports their outcomes.
#pragma once

#include "chat_pvt.h"
#include "context_pvt.h"
#include "gates_pvt.h"
#include "turmerichead/sched_admission.h"
#include "turmerichead/sched_poison.h"
#include "turmerichead/state_book.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmerichead::host_pvt {

/// Properties of the program of a call, for the gate.
struct program_facts {
  std::string Owner;
  std::int64_t AttainedTokens = 0;
  std::int64_t LastCallTokens = 0; ///< May still be in the cache of a runner.
  bool Started = false;
  bool ParentWaiting = false;
  std::int64_t AgeMs = 0;
  milliseconds ExpectedPause{0};
  milliseconds CallTimeout{0};
};

/// Callbacks of the dispatcher. All but OnEvents end the call.
struct dispatch_events {
  /// Server-sent events that may be forwarded immediately.
  std::function<void(call_id Call, std::string_view Events)> OnEvents;
  std::function<void(call_id Call, upstream_answer Answer)> OnAnswered;
  /// Final; nothing was sent.
  std::function<void(call_id Call, std::string Code, std::int64_t RetryAfterMs)>
      OnNotSent;
  std::function<void(call_id Call, std::string Code, bool MayHaveRun)> OnLost;
  /// \p Partial is the content that was already streamed; nullopt if another
  /// attempt cannot continue it.
  std::function<void(call_id Call, std::string Upstream,
                     std::optional<std::string> Partial)>
      OnDied;
};

class dispatcher {
public:
  dispatcher(host_context &Context, gate_client &Gates, dispatch_events Events);
  /// Cancels all calls. No callback is called afterwards.
  ~dispatcher();
  dispatcher(const dispatcher &) = delete;
  dispatcher &operator=(const dispatcher &) = delete;

  void start(const dispatch_call &Command, const program_facts &Facts);
  void cancel(call_id Call);
  std::size_t open() const { return Rows.size(); }

private:
  struct row {
    dispatch_call Command;
    program_facts Facts;
    nlohmann::json Body; ///< Of a model call.
    std::uint64_t Fingerprint = 0;
    std::string Upstream;
    gate_client::ask_id Ask = 0;
    http_call_id Http;
    sse_splitter Splitter;
    chat_assembler Assembler;
    std::string Received; ///< Body of the answer of a service, or of an error.
    std::string ContentType;
    int Status = 0;
    int Connects = 0; ///< Upstreams that could not be reached.
    bool Broken = false;
  };
  /// Callbacks of calls in flight only have the id of a row, which may be
  /// stale.
  row *find(call_id Call);

  void startModel(call_id Call);
  void askGate(call_id Call);
  void onGrant(call_id Call, const ask_reply &Reply);
  void sendModel(call_id Call);
  void onModelChunk(call_id Call, std::string_view Bytes);
  void onModelEnd(call_id Call, const http_result &Result);
  void finishModel(call_id Call, sched::outcome Outcome);

  void startService(call_id Call);
  std::string pickService(std::string_view Service, std::string_view Avoid);
  void onServiceEnd(call_id Call, const http_result &Result);

  void notSent(call_id Call, std::string Code, std::int64_t RetryAfterMs);
  row take(call_id Call);

  host_context &Context;
  gate_client &Gates;
  dispatch_events Events;
  std::unordered_map<call_id, std::unique_ptr<row>> Rows;
  std::map<std::string, int, std::less<>> ServiceInFlight;
  std::map<std::string, sched::circuit_breaker, std::less<>> Breakers;
  sched::poison_table ServicePoison;
  /// Expires with this object; for callbacks that cannot be cancelled.
  std::shared_ptr<int> Token = std::make_shared<int>(0);
};

} // namespace turmerichead::host_pvt
