/// \file
/// Calls as a caller makes them: sent through one host, and, where a step says
/// so, sent again through the next until there is an answer.
#pragma once

#include "http_client.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace turmerichead::scenario {

/// One call to make.
struct call_order {
  std::vector<std::string> BaseUrls; ///< "http://ip:port", tried in turn.
  http_request Request;              ///< Its Url holds only the path.
  bool Retry = false;                ///< Send again until it is answered.
  std::string ReplyMark; ///< Every answer must contain it; empty: no check.
};

/// What a call came to. Outcome is the one of the error's body.
struct call_result {
  unsigned Status = 0;
  std::string Body;
  std::string Content; ///< Of the assistant's message, put together.
  std::string Code;
  std::string Outcome;
  bool Complete = false;  ///< The answer has its end.
  bool OwnAnswer = false; ///< It contains the mark.
  std::string Failure;
};

using call_id = std::uint64_t;

/// All calls, by id. The loop moves them on.
class call_table {
public:
  explicit call_table(http_client &Client);
  call_table(const call_table &) = delete;
  call_table &operator=(const call_table &) = delete;
  ~call_table();

  call_id begin(call_order Order);
  bool done(call_id Id) const;

  /// Of a call that is done.
  const call_result &result(call_id Id) const;

  /// How many stream events have come so far.
  std::size_t eventsSeen(call_id Id) const;

  /// Breaks the connection off; the call is done then.
  void abandon(call_id Id);
  void forget(call_id Id) { Rows.erase(Id); }

  /// Connections that ended within an answer, or were closed without one
  /// after the host had taken them, over all calls and tries.
  std::size_t cutOff() const { return CutOff; }

private:
  struct row {
    call_order Order;
    request_id Request = 0;
    std::size_t Tries = 0;
    std::int64_t ResumeAtMs = 0; ///< 0 while a request is under way.
    bool Done = false;
    call_result Result;
  };

  static int advanceAll(void *Data);
  void advance(row &Row);
  void sendNext(row &Row);

  http_client &Client;
  unsigned Timer = 0;
  call_id NextId = 1;
  std::map<call_id, row> Rows;
  std::size_t CutOff = 0;
};

/// Reads an answer of any of the routes.
call_result readAnswer(const http_response &Response,
                       const std::string &ReplyMark);

/// The hash that an answer to \p Question carries, as the runner stand-in
/// writes it.
std::string replyMark(const std::string &Question);

} // namespace turmerichead::scenario
