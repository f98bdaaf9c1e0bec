#include "client_pvt.h"

#include <charconv>

namespace turmerichead::http1 {

using namespace pvt;

namespace {

/// Parser output of one read. It is reported after the parser has returned.
struct response_sink {
  client_connection &Row;
  bool HasHead = false;
  std::string Bytes;

  void onHead() {
    HasHead = true;
    Row.KeepAlive = Row.Parser.keepsAlive();
  }
  void onBody(std::string_view Data) { Bytes += Data; }
  void onMessage() {}
};

/// Returns the value of "timeout=N" in a Keep-Alive header.
std::optional<milliseconds> declaredIdleTime(const header_list &Headers) {
  constexpr std::string_view Key = "timeout=";
  std::string_view Value = Headers.get("Keep-Alive");
  std::size_t At = Value.find(Key);
  if (At == std::string_view::npos)
    return std::nullopt;
  int Seconds = 0;
  const char *Begin = Value.data() + At + Key.size();
  auto Result = std::from_chars(Begin, Value.data() + Value.size(), Seconds);
  if (Result.ec != std::errc() || Seconds < 0)
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

bool isInformational(int Status) {
  constexpr int FirstFinal = 200;
  return Status < FirstFinal;
}

} // namespace

// Appends available bytes of the answer to the input of the connection.
io_result client::state::receive(client_connection &Row) {
  if (!Row.Tunnel)
    return Row.Socket.read(Row.Input);
  std::string Bytes;
  io_result Result = Row.Socket.read(Bytes);
  // Only the tunnel itself tells of an orderly end of its upstream.
  if (Result == io_result::Ended || !Row.Tunnel->feed(Bytes, Row.Input))
    return io_result::Failed;
  return Result;
}

void client::state::onReadable(client_connection_id Id) {
  client_connection *Row = Connections.find(Id);
  auto Result = receive(*Row);
  if (Result == io_result::Blocked)
    return;
  if (Result == io_result::Failed) {
    fail(Id, "the connection was reset");
    return;
  }
  if (Result == io_result::Done) {
    call_id Call = Row->Call;
    bool Ended = Row->Tunnel && Row->Tunnel->ended();
    bool Open = parse(Id);
    Row = Connections.find(Id);
    if (!Ended || !Open || !Row || Row->Call != Call)
      return;
  }
  onConnectionEnd(Id);
}

// Decides whether an orderly end of the connection ends the answer. While the
// upstream has not received the whole request, it may follow or hide a reset:
// a failed write takes the error of the socket, and the next read sees an
// ordinary end.
void client::state::onConnectionEnd(client_connection_id Id) {
  client_connection &Row = *Connections.find(Id);
  if (!Row.Socket.isDelivered()) {
    fail(Id, std::string(textOf(message_fault::Undelivered)),
         message_fault::Undelivered);
    return;
  }
  response_sink Sink{Row, false, {}};
  if (Row.Skipping || !Row.Parser.inMessage() ||
      Row.Parser.feedEnd(Sink) != feed_result::Paused) {
    fail(Id, std::string(textOf(message_fault::Cut)), message_fault::Cut);
    return;
  }
  Row.KeepAlive = false;
  onMessageEnd(Id, answer_end::Connection);
}

// Reads the available bytes. Returns false if the connection was closed or has
// been returned to the pool.
bool client::state::parse(client_connection_id Id) {
  client_connection *Row = Connections.find(Id);
  while (Row && Row->Phase == client_phase::Busy && !Row->Input.empty()) {
    response_sink Sink{*Row, false, {}};
    std::size_t Used = 0;
    auto Result = Row->Parser.feed(Sink, Row->Input, Used);
    Row->Input.erase(0, Used);
    Row->MessageBytes += Used;
    Row->BodyBytes += Sink.Bytes.size();
    if (Result == feed_result::Bad || Result == feed_result::HeaderTooLarge) {
      message_fault Fault = Row->Parser.fault();
      fail(Id, "the answer cannot be read: " + std::string(textOf(Fault)),
           Fault);
      return false;
    }
    call_id CallId = Row->Call;
    if (Sink.HasHead && takeHead(*Row)) {
      reportHead(*Row);
      Row = Connections.find(Id);
      if (!Row || Row->Call != CallId)
        return false;
    }
    if (Row->Skipping) {
      Row->DroppedBytes += Used;
      Counters.DroppedBytes += Used;
    }
    if (std::string_view Excess = excessOf(*Row); !Excess.empty()) {
      ++Counters.Endless;
      fail(Id, std::string(Excess));
      return false;
    }
    if (!Row->Skipping && !Sink.Bytes.empty()) {
      auto OnBody = Calls.find(CallId)->Events.OnBody;
      OnBody(Sink.Bytes);
      Row = Connections.find(Id);
      if (!Row || Row->Call != CallId)
        return false;
    }
    answer_end End =
        Row->Parser.isChunked() ? answer_end::LastChunk : answer_end::Length;
    if (Result == feed_result::Paused && !onMessageEnd(Id, End))
      return false;
    Row = Connections.find(Id);
  }
  return Row != nullptr;
}

// Passes the head of the answer to the call, which may be cancelled in it.
void client::state::reportHead(client_connection &Row) {
  response_head Head{Row.Parser.status(), std::move(Row.Parser.head().Headers)};
  Row.IdleLimit = Settings.IdleTimeout;
  if (auto Declared = declaredIdleTime(Head.Headers))
    Row.IdleLimit = *Declared - Settings.IdleMargin;
  auto OnHead = Calls.find(Row.Call)->Events.OnHead;
  OnHead(Head);
}

// Returns why the connection has received too many bytes, or an empty string. A
// faulty upstream may send endless bytes in any part of a message.
std::string_view client::state::excessOf(const client_connection &Row) const {
  constexpr std::size_t FramingPerBodyByte = 16;
  std::size_t Framing = Row.MessageBytes - Row.BodyBytes;
  if (Framing > Settings.MaxHeadBytes + Row.BodyBytes * FramingPerBodyByte)
    return "the answer is more framing than content";
  if (Row.DroppedBytes > Settings.MaxDroppedBytes)
    return "too much came that is no answer to the call";
  const call_row *Call = Calls.find(Row.Call);
  if (Call && !Row.Skipping && Row.BodyBytes > Call->Request.MaxBodyBytes)
    return "the answer is too large";
  return {};
}

// Decides whether an answer belongs to the current call.
bool client::state::takeHead(client_connection &Row) {
  const header_list &Headers = Row.Parser.head().Headers;
  const call_request &Request = Calls.find(Row.Call)->Request;
  Row.Skipping = isInformational(Row.Parser.status());
  if (Row.Skipping)
    return false;
  if (Settings.EchoHeader.empty() || Request.EchoValue.empty())
    return true;
  const std::string *Echo = Headers.find(Settings.EchoHeader);
  bool Stray = Echo ? *Echo != Request.EchoValue : Row.Uses > 1;
  if (!Stray)
    return true;
  ++Counters.Stray;
  Row.Skipping = true;
  return false;
}

bool client::state::onMessageEnd(client_connection_id Id, answer_end End) {
  client_connection &Row = *Connections.find(Id);
  if (Row.Skipping) {
    if (!Row.KeepAlive) {
      fail(Id, "the connection ended after an answer to another request");
      return false;
    }
    Row.beginMessage();
    return true;
  }
  call_id Call = Row.Call;
  bool HasEnded = Row.Tunnel && Row.Tunnel->ended();
  bool Reusable = Row.KeepAlive && Row.Socket.unsent() == 0 &&
                  Row.Input.empty() && !HasEnded;
  if (Reusable)
    returnToPool(Id, Row);
  else
    close(Id);
  end(Call, {.Outcome = call_outcome::Complete, .Reason = {}, .End = End});
  return false;
}

} // namespace turmerichead::http1
