/// \file
/// An HTTP/1.1 client on the GLib main loop that never repeats a request by
/// itself.
///
/// Connections are kept and used again. Each call is sent at most once, on
/// one connection, and its end tells whether any byte of it may have reached
/// the other side. An answer that carries another request's id, or none, on a
/// connection that was used before, is not taken for the call's answer.
///
///     auto Client = http1::client::create({.EchoHeader = "X-Request-Id"});
///     auto Id = Client->call({.Address = "10.0.0.1:80", .Method = "GET",
///                             .Target = "/", .EchoValue = "17"},
///         {.OnHead = ..., .OnBody = ..., .OnEnd = ...});
///
/// Callbacks run on the main loop, never inside a call to the client.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/http1_message.h"
#include "turmerichead/id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::http1 {

struct client_settings {
  /// Header in which the other side repeats the request's id; empty if it
  /// does not.
  std::string EchoHeader;
  std::size_t MaxHeadBytes = 64U << 10U;
  /// Bytes that are no part of the call's answer: answers to others, and
  /// interim ones. Above it the connection has failed.
  std::size_t MaxDroppedBytes = 1U << 20U;
  /// For a kept connection whose other side declares no idle time.
  milliseconds IdleTimeout{5000};
  /// Taken off the idle time that the other side declares.
  milliseconds IdleMargin{500};
  /// After which a silent connection has failed.
  milliseconds SilenceTimeout{4000};
};

struct call_request {
  std::string Address; ///< "ip:port"
  std::string Method;
  std::string Target;
  header_list Headers;           ///< Without those that frame the message.
  std::vector<std::string> Body; ///< Pieces, sent one after the other.
  std::string EchoValue;         ///< The id that the answer must repeat.
  milliseconds ConnectTimeout{1000};
  /// Connections to this address that may wait for further calls. Above it
  /// the call's own is closed after its answer.
  std::size_t MaxIdle = 1024;
  /// Above it the answer is broken off.
  std::size_t MaxBodyBytes = SIZE_MAX;
};

enum class call_outcome : std::uint8_t {
  Complete, ///< The whole answer has been told.
  NotSent,  ///< Certain: no byte of the request has left.
  Broken    ///< Sent at least in part; the answer is missing or was cut.
};

struct call_result {
  call_outcome Outcome = call_outcome::Broken;
  std::string Reason; ///< For people; empty if complete.
  /// Nobody listens at the address; goes with NotSent.
  bool Refused = false;
};

/// What an attempt to connect came to.
enum class probe_result : std::uint8_t {
  Listening,
  Refused, ///< Nobody listens at the address.
  Unknown  ///< Nothing came back in time.
};

struct call_events {
  std::function<void(const response_head &Head)> OnHead;
  std::function<void(std::string_view Bytes)> OnBody;
  /// Called once, unless the call was cancelled.
  std::function<void(const call_result &Result)> OnEnd;
};

struct call_row;
using call_id = typed_id<call_row>;

struct client_counters {
  std::uint64_t Opened = 0; ///< Connections.
  std::uint64_t Calls = 0;
  std::uint64_t Stray = 0;        ///< Answers that belonged to no request.
  std::uint64_t DroppedBytes = 0; ///< That were no part of a call's answer.
  std::uint64_t Endless = 0;      ///< Connections ended for what they brought.
  std::size_t OpenConnections = 0;
  std::size_t OpenCalls = 0;
};

class client {
public:
  static std::optional<client> create(client_settings Settings);

  call_id call(call_request Request, call_events Events);

  /// Closes the call's connection; none of its events is called any more.
  /// Returns false if the call has ended before.
  bool cancel(call_id Id);

  /// Connects to \p Address without a call; the connection is kept for later
  /// ones. \p Done is called once, never inside this call.
  void probe(const std::string &Address, milliseconds Timeout,
             std::function<void(probe_result)> Done);

  /// Closes the kept connections to an address that is not used any more.
  void forget(std::string_view Address);

  client_counters counters() const;

  client(client &&Other) noexcept;
  client &operator=(client &&Other) noexcept;
  ~client();

  /// Private to the implementation.
  struct state;

private:
  explicit client(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace turmerichead::http1
