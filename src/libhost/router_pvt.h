/// \file
/// Routing of calls from an entry host to the holder of their program.
#pragma once

#include "context_pvt.h"
#include "holder_pvt.h"
#include "loop_pvt.h"

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmerichead::host_pvt {

/// Routes calls to the holder, also after the program has moved. If the holder
/// fails, the call is sent again to its successor: every call has a number or a
/// key that makes it idempotent for holders.
class call_router {
public:
  using route_id = std::uint64_t;

  call_router(host_context &Context, holder &Holder)
      : Context(Context), Holder(Holder) {}

  /// Calls \p Sink.OnEnd once, unless cancel() is called before.
  route_id route(call_message Message, answer_sink Sink);
  void cancel(route_id Id);

  using program_callback = std::function<void(const program_reply &Reply)>;
  /// Requests a history from the holder, or the end of a program.
  void askHolder(std::string_view Path, const program_message &Message,
                 const program_callback &Done);

  std::size_t open() const { return Rows.size(); }

private:
  struct row {
    call_message Message;
    answer_sink Sink;
    time_point GiveUp;
    time_point Deadline;
    peer_stream_id Stream;
    waiter_id Waiter = 0;
    bool Streamed = false; ///< The caller has received part of the answer.
    bool MaySent = false;  ///< A holder may have received the call.
    timer Retry;
  };

  void attempt(route_id Id);
  void sendRemote(route_id Id, row &Row, std::string_view Host);
  void onFrame(route_id Id, std::string_view Bytes);
  void onEnd(route_id Id, const call_end &End);
  void onLost(route_id Id, bool Sent);
  void retryLater(route_id Id);
  void finish(route_id Id, const call_end &End);
  call_end gaveUp(const row &Row);
  void askOnce(const std::string &Path, const program_message &Message,
               const program_callback &Done, time_point GiveUp);

  host_context &Context;
  holder &Holder;
  std::unordered_map<route_id, row> Rows;
  route_id NextId = 1;
};

} // namespace turmerichead::host_pvt
