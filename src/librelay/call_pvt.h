/// \file
/// One call on its way, and what its headers say.
#pragma once

#include "turmerichead/net_http.h"
#include "turmerichead/relay.h"
#include "turmerichead/table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// What a caller's headers say, decoded once.
struct call_params {
  std::string Id;
  std::optional<milliseconds> TimeLeft;
  std::string Program;
  std::optional<std::uint64_t> Budget; ///< Tokens
  std::uint64_t MaxTokens = 0;
  std::string PreviousTurn;
};

/// Reads the headers. On failure the text says which header is wrong.
std::optional<call_params> readCallParams(const header_names &Names,
                                          const http1::header_list &Headers);

enum class call_phase : std::uint8_t {
  Opening,   ///< The turn is being opened with the disk hosts.
  Sent,      ///< An upstream has it.
  Streaming, ///< The answer has begun.
  Keeping    ///< The turn is being kept; then the answer ends.
};
std::string_view nameOf(call_phase Phase);

struct relay_call {
  /// How often a stream goes on after a break.
  static constexpr std::uint32_t MaxResumes = 3;

  http1::exchange_id Exchange;
  http1::request Request;
  call_params Params;
  route Route; ///< As it was when the call came.
  std::string Service;
  call_phase Phase = call_phase::Opening;
  time_point Arrived;
  time_point Deadline; ///< Of its caller and its route, whichever is sooner.

  turns::operation_id Operation;  ///< At the disk hosts.
  bool Reserved = false;          ///< Tokens may be reserved for it.
  call_fingerprints Fingerprints; ///< See relay_crash_tracker.h.
  std::string Chain;
  std::string PreviousUpstream; ///< The upstream that ran the previous turn.

  http1::call_id Upstream;
  std::string UpstreamId;
  upstream SentTo; ///< The upstream as it was when the call was sent.
  std::vector<std::string> Tried;
  std::uint32_t Attempts = 0; ///< Upstreams that it was sent to.
  bool MayHaveRun = false;    ///< An upstream had it and broke off.
  /// The upstream that broke it off, if that is to go on with it.
  std::string ResumeAt;
  std::uint32_t ResumesLeft = MaxResumes;
  time_point SentAt;

  http1::response_head Head;
  std::string Body; ///< Of an answer that is not streamed.
  bool NotRun = false;
  bool Streams = false; ///< The upstream answers with a stream.
  sse_splitter Events;
  std::string PartialEvent; ///< Not passed on before the rest has come.
  std::uint64_t EventCount = 0;
  std::uint64_t PriorEvents = 0;    ///< Of upstreams before this one.
  std::uint64_t TokensPerEvent = 1; ///< Of its service, as the call came.
  std::string Output;               ///< The data of the events, one a line.
  std::size_t BytesSinceEvent = 0;
  time_point LastEvent;
  time_point FirstEvent;

  /// Tokens that its caller was handed.
  std::uint64_t tokens() const { return EventCount * TokensPerEvent; }
  bool hasResumed() const { return ResumesLeft < MaxResumes; }
  /// Events of the upstream that has it now.
  std::uint64_t eventsFromUpstream() const { return EventCount - PriorEvents; }
  /// More than one event beyond the most that its caller has asked for.
  bool exceedsTokenLimit() const {
    constexpr std::uint64_t Spare = 2;
    return Params.MaxTokens > 0 && EventCount >= Spare &&
           (EventCount - Spare) * TokensPerEvent >= Params.MaxTokens;
  }
  /// Whether its chain is read before it, and it is kept after its end.
  bool isKept() const { return Route.KeepsTurns; }
  /// Whether what it generates counts against its program's budget.
  bool hasBudget() const {
    return Route.Kind == call_kind::Stream && Params.Budget &&
           !Params.Program.empty();
  }
};

using call_table = table<relay_call>;

} // namespace turmerichead::relay
