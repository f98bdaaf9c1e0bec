/// \file
/// The state of one call, and the parameters in its headers.
#pragma once

#include "turmerichead/memory_budget.h"
#include "turmerichead/net_http.h"
#include "turmerichead/relay.h"
#include "turmerichead/relay_permits.h"
#include "turmerichead/table.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// The parameters in the headers of a call, decoded once.
struct call_params {
  std::string Id;
  std::optional<milliseconds> TimeLeft;
  std::string Program;
  std::optional<std::uint64_t> Budget; ///< Tokens of the program.
  std::uint64_t MaxTokens = 0; ///< That the call may generate; 0: no limit.
  std::string PreviousTurn;
};

/// Returns the id under which disk hosts and this host keep a turn or program
/// of an organisation: one organisation can't name those of another. An empty
/// id stays empty.
std::string scopedId(std::string_view Organisation, std::string_view Id);

/// Decodes the headers. Fails with InvalidInput; the text names the header.
std::optional<call_params> readCallParams(const header_names &Names,
                                          const http1::header_list &Headers);

/// The body of an answer while it is received, in pieces of one size. A string
/// that grows is copied again and again and takes up to twice its size, and
/// what it leaves behind fragments the memory of the process.
class answer_body {
public:
  void append(std::string_view Bytes);
  std::size_t size() const { return Size; }
  /// Returns the text and drops the pieces.
  std::string take();

private:
  std::vector<std::string> Pieces; ///< All full but the last one.
  std::size_t Size = 0;
};

enum class call_phase : std::uint8_t {
  Opening,   ///< The turn is being opened at the disk hosts.
  Sent,      ///< It was sent to an upstream.
  Streaming, ///< The caller has received the head of a stream.
  Keeping    ///< The turn is being stored; then the answer ends.
};
std::string_view nameOf(call_phase Phase);

/// Why an attempt was sent.
enum class attempt_kind : std::uint8_t {
  First,
  Repeated, ///< The attempts before it have ended.
  Hedge     ///< The first attempt had no head yet.
};

/// One send of a call to an upstream, and the answer that it brings.
struct upstream_attempt {
  attempt_kind Kind = attempt_kind::First;
  http1::call_id ClientCall; ///< Unset unless it is in flight.
  std::string UpstreamId;    ///< Empty once it left the in-flight counts.
  std::string Via; ///< Tunnel server of the send; empty: over the own link.
  upstream SentTo; ///< The upstream as it was when the call was sent.
  time_point SentAt;

  http1::response_head Head;
  answer_body Body; ///< Of an answer that is not a stream.
  bool NotRun = false;
  bool Streams = false; ///< Whether the upstream answers with a stream.
  /// How the upstream marked the end of its answer; unset until it has ended.
  std::optional<http1::answer_end> AnswerEnd;
};

/// Tells the two attempts of a hedged call apart in callbacks.
enum class attempt_role : std::uint8_t { Main, Hedge };

/// How the hedge of a call ended.
enum class hedge_end : std::uint8_t {
  Failed,   ///< It brought no usable answer.
  Won,      ///< The caller gets its answer.
  Cancelled ///< It was not needed any more.
};
std::string_view nameOf(hedge_end End);

/// Whether the answer with this status may be the one of a call while another
/// attempt is in flight. Failures and answers that say that the call did not
/// run may not.
bool mayWin(int Status);

/// A call from its arrival to its end, owned by the call table of the relay.
struct relay_call {
  /// How often a broken stream is resumed.
  static constexpr std::uint32_t MaxResumes = 3;

  http1::exchange_id Exchange;
  http1::request Request;
  call_params Params;
  route Route;              ///< As it was when the call arrived.
  std::string Organisation; ///< Of the caller; empty: none.
  std::string Service;
  call_phase Phase = call_phase::Opening;
  time_point Arrived;
  time_point Deadline; ///< Of the caller or the route, the earlier one.

  turns::operation_id Operation;  ///< The pending operation at the disk hosts.
  bool Reserved = false;          ///< The disk hosts may hold tokens for it.
  call_fingerprints Fingerprints; ///< See relay_crash_tracker.h.
  std::string Chain; ///< Previous turns; sent before the body of the request.
  std::string PreviousUpstream; ///< Upstream that ran the previous turn.

  upstream_attempt Current; ///< The last send, and its answer.
  /// Set while a hedge and another attempt are in flight. If that other one
  /// ends without a usable answer, the hedge becomes the current attempt.
  std::unique_ptr<upstream_attempt> Hedge;
  std::optional<time_point> HedgedAt; ///< When its hedge was sent.
  hedge_end HedgeEnd = hedge_end::Failed;
  std::uint32_t NotConnected = 0;     ///< Sends that found no connection.
  std::uint32_t TunnelsNotOpened = 0; ///< Sends whose tunnel was not opened.
  std::vector<std::string> Tried; ///< Ids of the upstreams, in order of sends.
  std::uint32_t Attempts = 0;     ///< Sends that count against the limit.
  bool MayHaveRun = false;        ///< It was sent and the upstream failed.
  /// Id of the upstream for the next send, if the same one is to resume the
  /// stream or to be reached another way.
  std::string ResumeAt;
  std::uint32_t ResumesLeft = MaxResumes;
  /// Id of the upstream at which the stream broke and that may still run it;
  /// empty if there is none. Another send to it is not counted again.
  std::string BrokenAt;
  bool StartsProgram = false; ///< It was admitted as a new program.
  /// Run of an upstream for which it has a permit that is not used yet.
  std::optional<upstream_run> Permit;
  std::vector<std::string> Denied; ///< Ids of upstreams that denied a permit.
  time_point HeldSince;    ///< When it began to wait for the current permit.
  milliseconds HeldFor{0}; ///< Time spent waiting for permits.

  sse_splitter Events;
  std::string PartialEvent; ///< Buffered until the event is complete.
  std::uint64_t EventCount = 0;
  std::uint64_t PriorEvents = 0; ///< Events received before the current send.
  std::uint64_t TokensPerEvent = 1; ///< Of the service when the call arrived.
  std::string Output;               ///< Data of the events, one per line.
  std::size_t BytesSinceEvent = 0;
  time_point LastEvent;
  time_point FirstEvent;
  memory_holder_id Memory;
  std::size_t HeadBytes = 0; ///< That the head of the request takes.
  /// Copies of a turn while it is stored: one, and one for each disk host.
  static constexpr std::size_t KeepingCopies = 4;

  /// Bytes that are held for the call. The body and the chain are counted
  /// twice, as they are copied to be sent to an upstream.
  std::size_t heldBytes() const {
    constexpr std::size_t Copies = 2;
    return HeadBytes + Copies * (Request.Body.capacity() + Chain.size()) +
           answerBytes();
  }
  /// Bytes of the answer that are held: all of a plain one, and of a stream the
  /// unfinished event and what will be stored.
  std::size_t answerBytes() const {
    return Current.Body.size() + (Hedge ? Hedge->Body.size() : 0) +
           PartialEvent.size() + Events.unfinished() + Output.capacity();
  }
  /// Bytes that storing its turn takes.
  std::size_t keepingBytes() const {
    return KeepingCopies * (Request.Body.size() + Output.size());
  }
  /// Returns the attempt that was sent in this role and is in flight. \p Role
  /// matters only while there are two.
  upstream_attempt &attempt(attempt_role Role) {
    return Hedge && Role == attempt_role::Hedge ? *Hedge : Current;
  }
  /// Passes the current attempt, and the hedge if both are in flight.
  template <typename Visitor> void forEachAttempt(Visitor Visit) const {
    Visit(Current);
    if (Hedge)
      Visit(*Hedge);
  }
  /// Returns the attempt that holds most of its answer.
  upstream_attempt &largestAttempt() {
    bool IsHedge = Hedge && Hedge->Body.size() > Current.Body.size();
    return IsHedge ? *Hedge : Current;
  }
  /// Returns the id of its program, or of a turn, with its organisation.
  std::string scoped(std::string_view Id) const {
    return scopedId(Organisation, Id);
  }
  /// Number of tokens that were forwarded to the caller.
  std::uint64_t tokens() const { return EventCount * TokensPerEvent; }
  bool wasSentTo(std::string_view Id) const {
    return std::find(Tried.begin(), Tried.end(), Id) != Tried.end();
  }
  /// Whether another upstream may get the call.
  bool mayGoToAnother() const {
    return BrokenAt.empty() || Attempts < Route.Attempts;
  }
  /// Notes that the upstream at which the stream broke has exited: its run no
  /// longer counts against the attempts.
  void discountBrokenRun() {
    BrokenAt.clear();
    --Attempts;
  }
  /// Number of events received since the current send.
  std::uint64_t eventsFromUpstream() const { return EventCount - PriorEvents; }
  /// Whether it has more than one event above the maximum that the caller has
  /// asked for.
  bool exceedsTokenLimit() const {
    constexpr std::uint64_t Margin = 2;
    return Params.MaxTokens > 0 && EventCount >= Margin &&
           (EventCount - Margin) * TokensPerEvent >= Params.MaxTokens;
  }
  /// Whether a stream that has ended lacks its rest: it ends inside an event,
  /// or with its connection before the first event.
  bool isCutStream() const {
    bool HasEvents = EventCount > 0;
    return Events.isInsideEvent() ||
           (Current.AnswerEnd == http1::answer_end::Connection && !HasEvents);
  }
  /// Whether its chain is read before the call and the turn is stored after it.
  bool isKept() const { return Route.KeepsTurns; }
  /// Whether it may be the first turn of a program. With a budget, only the
  /// disk hosts know whether it is.
  bool mayStartProgram() const {
    return Route.Kind == call_kind::Stream &&
           (!isKept() || Params.PreviousTurn.empty());
  }
  /// Whether the tokens that it generates count against the budget of its
  /// program.
  bool hasBudget() const {
    return Route.Kind == call_kind::Stream && Params.Budget &&
           !Params.Program.empty();
  }
};

using call_table = table<relay_call>;

} // namespace turmerichead::relay
