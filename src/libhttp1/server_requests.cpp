#include "server_pvt.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace turmerichead::http1 {

using namespace pvt;

namespace {

// Buffers above this size are freed once they are empty.
constexpr std::size_t KeptInputBytes = 16U << 10U;
// Memory for a body is taken in steps, as its bytes arrive.
constexpr std::size_t FirstBodyBytes = 64U << 10U;
// A body up to this size is read before the request is refused, so that its
// connection can be kept.
constexpr std::size_t SmallBodyBytes = 16U << 10U;

// A longer wait is not trusted.
constexpr milliseconds MaxWait{10'000};

/// Returns the time since the last bytes of a TCP connection arrived; 0 if the
/// system doesn't tell.
milliseconds timeSinceArrival(int Descriptor) {
  tcp_info Info{};
  socklen_t Size = sizeof(Info);
  if (getsockopt(Descriptor, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
    return milliseconds(0);
  milliseconds Since{Info.tcpi_last_data_recv};
  return Since < MaxWait ? Since : milliseconds(0);
}

/// Receives the parser output of a request.
struct request_sink {
  server_connection &Row;
  std::size_t MaxBodyBytes;
  const server_events &Events;
  bool WantsContinue = false;
  std::optional<early_refusal> Refusal = std::nullopt;

  void onHead() {
    Row.HeadSeen = true;
    Row.KeepAlive = Row.Parser.keepsAlive();
    auto Length = Row.Parser.declaredLength();
    Row.BodyTooLarge = Length && *Length > MaxBodyBytes;
    WantsContinue =
        hasToken(Row.Parser.head().Headers.get("Expect"), "100-continue");
    bool IsSmall = Length ? *Length <= SmallBodyBytes : !Row.Parser.isChunked();
    if (!IsSmall && !Row.BodyTooLarge && Events.OnHead)
      Refusal =
          Events.OnHead(Row.Parser.head().Target, Row.Parser.head().Headers);
    if (Length && !Row.BodyTooLarge && !Refusal)
      Row.Body.reserve(std::min<std::size_t>(*Length, FirstBodyBytes));
  }
  void onBody(std::string_view Bytes) {
    Row.BodyTooLarge =
        Row.BodyTooLarge || Row.Body.size() + Bytes.size() > MaxBodyBytes;
    if (Row.BodyTooLarge || Refusal)
      return;
    std::size_t Needed = Row.Body.size() + Bytes.size();
    if (Needed > Row.Body.capacity())
      grow(Needed);
    Row.Body += Bytes;
  }
  void onMessage() {}

  // Grows the body by halves, at most up to the length that the request may
  // have. The string itself would double its capacity.
  void grow(std::size_t Needed) {
    auto Most = static_cast<std::size_t>(
        std::min<std::uint64_t>(Row.Parser.bodyBytesBound(), MaxBodyBytes));
    std::size_t Wanted = std::max(FirstBodyBytes, Needed + Needed / 2);
    std::string Larger;
    Larger.reserve(std::max(Needed, std::min(Wanted, Most)));
    Larger += Row.Body;
    Row.Body = std::move(Larger);
  }
};

} // namespace

void server::state::process(server_connection_id Id) {
  server_connection *Row = Connections.find(Id);
  while (Row && Row->Phase == server_phase::Receiving && !Row->Input.empty() &&
         !Row->awaitsReader()) {
    if (!feed(Id, *Row))
      return;
    Row = Connections.find(Id);
  }
  if (!Row)
    return;
  if (Row->Input.empty() && Row->Input.capacity() > KeptInputBytes)
    Row->Input = {};
  updateInterest(Id, *Row);
  countHeldBytes(*Row);
}

bool server::state::feed(server_connection_id Id, server_connection &Row) {
  if (!Row.Parser.inMessage() && !Row.HeadSeen)
    Row.Since = steadyNow();
  request_sink Sink{Row, Limits.BodyBytes, Events};
  std::size_t Used = 0;
  auto Result = Row.Parser.feed(Sink, Row.Input, Used);
  Row.Input.erase(0, Used);
  if (Row.BodyTooLarge) {
    refuse(Id, Row, status::ContentTooLarge, "the body is over the limit");
    return false;
  }
  switch (Result) {
  case feed_result::HeaderTooLarge:
    refuse(Id, Row, status::HeadersTooLarge, "the headers are over the limit");
    return false;
  case feed_result::Bad:
    refuse(Id, Row, status::BadRequest, textOf(Row.Parser.fault()));
    return false;
  case feed_result::Paused:
    dispatch(Id, Row);
    return true;
  case feed_result::Fine:
    break;
  }
  if (Sink.Refusal) {
    refuse(Id, Row, Sink.Refusal->Status, Sink.Refusal->Reason);
    return false;
  }
  if (Sink.WantsContinue && Row.Body.empty()) {
    Row.Socket.queue("HTTP/1.1 100 Continue\r\n\r\n");
    return flush(Id, Row);
  }
  return true;
}

void server::state::dispatch(server_connection_id Id, server_connection &Row) {
  request Request;
  Request.Method = Row.Parser.method();
  Request.Target = std::move(Row.Parser.head().Target);
  Request.Headers = std::move(Row.Parser.head().Headers);
  Request.Body = std::exchange(Row.Body, {});
  Request.PeerIp = Row.PeerIp;
  Request.Waited = timeSinceArrival(Row.Socket.descriptor());
  exchange_row Exchange;
  Exchange.Connection = Id;
  Exchange.Http10 = Row.Parser.isHttp10();
  Exchange.HeadOnly = Request.Method == "HEAD";
  if (Exchange.Http10)
    Row.KeepAlive = false;
  Row.Parser.restart();
  Row.HeadSeen = false;
  Row.HasServed = true;
  Row.Phase = server_phase::Answering;
  Row.Exchange = Exchanges.insert(Exchange);
  ++Counters.Requests;
  Events.OnRequest(Row.Exchange, std::move(Request));
}

void server::state::refuse(server_connection_id Id, server_connection &Row,
                           int Status, std::string_view Why) {
  ++Counters.Refused;
  std::string Body(Why);
  Body += "\n";
  Row.Socket.queue(serializeHead(
      Status, {{"Content-Type", "text/plain"}},
      "Content-Length: " + std::to_string(Body.size()) + "\r\n", true));
  Row.Socket.queue(std::move(Body));
  Row.Phase = server_phase::Closing;
  Row.Since = steadyNow();
  Row.Input = {};
  Row.Body = {};
  Row.Parser.restart();
  flush(Id, Row);
}

} // namespace turmerichead::http1
