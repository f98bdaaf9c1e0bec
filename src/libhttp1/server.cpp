#include "turmerichead/http1_server.h"

#include "parser_pvt.h"
#include "socket_pvt.h"
#include "turmerichead/error.h"
#include "turmerichead/log.h"
#include "turmerichead/log_limiter.h"
#include "turmerichead/table.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::http1 {

namespace {

// Time for which input is still read after the last answer. Closing a socket
// with unread input would reset it, and the answer could be lost.
constexpr milliseconds LingerTime{1000};
constexpr milliseconds SweepInterval{1000};
constexpr milliseconds SilenceTimeout{5000};
// The next request of a connection is read only while at most this many bytes
// of earlier answers are unsent, so that a client that does not read holds one.
constexpr std::size_t MaxUnsentBeforeNext = 64U << 10U;
// Buffers above this size are freed once they are empty.
constexpr std::size_t KeptInputBytes = 16U << 10U;
// Memory for a body is taken in steps, as its bytes arrive.
constexpr std::size_t FirstBodyBytes = 64U << 10U;
// A body up to this size is read before the request is refused, so that its
// connection can be kept.
constexpr std::size_t SmallBodyBytes = 16U << 10U;
constexpr std::uint64_t ListenerKey = 0;

enum class phase : std::uint8_t {
  Receiving, ///< Idle, or a request is being read.
  Answering, ///< An exchange is open.
  Closing    ///< The last answer is being sent; input is discarded.
};

struct connection {
  pvt::buffered_socket Socket;
  pvt::message_parser Parser{HTTP_REQUEST, 0};
  std::string Input;
  std::string Body;
  phase Phase = phase::Receiving;
  exchange_id Exchange;
  bool KeepAlive = true;
  bool BodyTooLarge = false;
  bool HeadSeen = false;
  bool FinishedWriting = false;
  poll_set::interest Interest = poll_set::interest::Readable;
  time_point Since;       ///< Start of the phase, or of the current request.
  bool HasServed = false; ///< A request on it was complete.
  memory_holder_id Memory;
  std::size_t CountedBytes = 0; ///< As the budget knows them.
  memory_rank CountedRank = memory_rank::Answer;
  std::uint64_t SentBefore = 0; ///< Bytes sent when it was last swept.
  time_point TakenAt; ///< When bytes were last taken, as seen by sweeps.

  bool isReading() const { return Parser.inMessage() || HeadSeen; }
  /// Whether the next request waits until earlier answers have been sent.
  bool awaitsReader() const {
    return Phase == phase::Receiving && Socket.unsent() > MaxUnsentBeforeNext;
  }
  /// Bytes that its client makes the host hold.
  std::size_t heldBytes() const {
    return Input.capacity() + Body.capacity() + Parser.heldBytes() +
           Socket.unsent();
  }
};

using connection_table = table<connection>;
using connection_id = connection_table::id;

std::string serializeHead(int Status, const header_list &Headers,
                          std::string_view Framing, bool Close) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += reasonOf(Status);
  Text += "\r\n";
  for (const header &Row : Headers.rows())
    Text.append(Row.Name).append(": ").append(Row.Value).append("\r\n");
  Text += Framing;
  if (Close)
    Text += "Connection: close\r\n";
  Text += "\r\n";
  return Text;
}

std::string chunkHead(std::size_t Size) {
  constexpr int Hexadecimal = 16;
  std::array<char, Hexadecimal + 2> Digits{};
  auto End = std::to_chars(Digits.data(), Digits.data() + Hexadecimal, Size,
                           Hexadecimal)
                 .ptr;
  return std::string(Digits.data(), End) + "\r\n";
}

bool hasNoBody(int Status) {
  return Status == status::NoContent || Status == status::NotModified;
}

} // namespace

struct exchange_row {
  connection_id Connection;
  bool Http10 = false;
  bool HeadOnly = false; ///< Whether the method of the request is HEAD.
  bool Begun = false;
};

struct server::state {
  state() = default;
  ~state();
  state(const state &) = delete;
  state &operator=(const state &) = delete;

  listener Listener;
  server_limits Limits;
  server_events Events;
  std::optional<poll_set> Sockets;
  loop_source Sweep;
  loop_source Resume;
  std::vector<connection_id> Ready;  ///< With buffered input after an answer.
  std::vector<connection_id> Broken; ///< To be closed after a failed write.
  connection_table Connections;
  table<exchange_row> Exchanges;
  server_counters Counters;
  bool Draining = false;
  memory_budget *Budget = nullptr;
  memory_owner_id Owner;
  std::array<log_limiter, ClientEnds> LogLimiters;

  bool isFull(const connection &Row) const;
  void account(connection &Row);
  void endForMemory(connection_id Id);
  bool makeRoom();
  void report(client_end Reason);
  void onReady(std::uint64_t Key);
  void take(handle<GSocket> Socket);
  void process(connection_id Id);
  bool feed(connection_id Id, connection &Row);
  void dispatch(connection_id Id, connection &Row);
  void refuse(connection_id Id, connection &Row, int Status,
              std::string_view Why);
  void watch(connection_id Id, connection &Row);
  bool flush(connection_id Id, connection &Row);
  void close(connection_id Id);
  void endExchange(exchange_id Id, connection_id Connection, bool Close);
  void sweep();
  void resumeLater(connection_id Id);
  void wakeLater();
};

namespace {

/// Receives the parser output of a request.
struct request_sink {
  connection &Row;
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

// -- Connections -------------------------------------------------------------

void server::state::onReady(std::uint64_t Key) {
  if (Key == ListenerKey) {
    Listener.acceptAll(
        [this](handle<GSocket> Socket) { take(std::move(Socket)); });
    return;
  }
  auto Id = idOf<connection>(Key);
  connection *Row = Connections.find(Id);
  if (!Row)
    return;
  if (Row->Interest == poll_set::interest::Errors) {
    close(Id); // It was lost while nothing was read from it.
    return;
  }
  if (Row->Socket.unsent() > 0 && !flush(Id, *Row))
    return;
  if (isFull(*Row))
    return;
  auto Result = Row->Socket.read(Row->Input);
  if (Result == pvt::io_result::Blocked) {
    process(Id); // Input that was held back while answers were unsent.
    return;
  }
  if (Result != pvt::io_result::Done) {
    close(Id);
    return;
  }
  if (Row->Phase == phase::Closing) {
    Row->Input.clear();
    return;
  }
  process(Id);
  if (Budget)
    Budget->enforce();
}

void server::state::take(handle<GSocket> Socket) {
  ++Counters.Accepted;
  if (Connections.size() >= Limits.MaxConnections && !makeRoom())
    return;
  setSilenceTimeout(Socket.get(), SilenceTimeout);
  connection Row;
  Row.Socket = pvt::buffered_socket(std::move(Socket));
  Row.Parser.setMaxHeadBytes(Limits.HeaderBytes);
  Row.Since = steadyNow();
  Row.TakenAt = Row.Since;
  auto Id = Connections.insert(std::move(Row));
  connection *Stored = Connections.find(Id);
  if (Budget)
    Stored->Memory = Budget->add(Owner, keyOf(Id));
  Sockets->add(Stored->Socket.descriptor(), Stored->Interest, keyOf(Id));
}

void server::state::process(connection_id Id) {
  connection *Row = Connections.find(Id);
  while (Row && Row->Phase == phase::Receiving && !Row->Input.empty() &&
         !Row->awaitsReader()) {
    if (!feed(Id, *Row))
      return;
    Row = Connections.find(Id);
  }
  if (!Row)
    return;
  if (Row->Input.empty() && Row->Input.capacity() > KeptInputBytes)
    Row->Input = {};
  watch(Id, *Row);
  account(*Row);
}

bool server::state::feed(connection_id Id, connection &Row) {
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
  case pvt::feed_result::HeaderTooLarge:
    refuse(Id, Row, status::HeadersTooLarge, "the headers are over the limit");
    return false;
  case pvt::feed_result::Bad:
    refuse(Id, Row, status::BadRequest, Row.Parser.errorText());
    return false;
  case pvt::feed_result::Paused:
    dispatch(Id, Row);
    return true;
  case pvt::feed_result::Fine:
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

void server::state::dispatch(connection_id Id, connection &Row) {
  request Request;
  Request.Method = Row.Parser.method();
  Request.Target = std::move(Row.Parser.head().Target);
  Request.Headers = std::move(Row.Parser.head().Headers);
  Request.Body = std::exchange(Row.Body, {});
  exchange_row Exchange;
  Exchange.Connection = Id;
  Exchange.Http10 = Row.Parser.isHttp10();
  Exchange.HeadOnly = Request.Method == "HEAD";
  if (Exchange.Http10)
    Row.KeepAlive = false;
  Row.Parser.restart();
  Row.HeadSeen = false;
  Row.HasServed = true;
  Row.Phase = phase::Answering;
  Row.Exchange = Exchanges.insert(Exchange);
  ++Counters.Requests;
  Events.OnRequest(Row.Exchange, std::move(Request));
}

void server::state::refuse(connection_id Id, connection &Row, int Status,
                           std::string_view Why) {
  ++Counters.Refused;
  std::string Body(Why);
  Body += "\n";
  Row.Socket.queue(serializeHead(
      Status, {{"Content-Type", "text/plain"}},
      "Content-Length: " + std::to_string(Body.size()) + "\r\n", true));
  Row.Socket.queue(std::move(Body));
  Row.Phase = phase::Closing;
  Row.Since = steadyNow();
  Row.Input = {};
  Row.Body = {};
  Row.Parser.restart();
  flush(Id, Row);
}

// Updates the polled events for the phase of the connection.
void server::state::watch(connection_id Id, connection &Row) {
  bool Full = isFull(Row);
  bool Unsent = Row.Socket.unsent() > 0;
  auto Wanted = poll_set::interest::Readable;
  if (Unsent)
    Wanted =
        Full ? poll_set::interest::Writable : poll_set::interest::ReadWrite;
  else if (Full)
    Wanted = poll_set::interest::Errors;
  if (Wanted == Row.Interest)
    return;
  Row.Interest = Wanted;
  Sockets->add(Row.Socket.descriptor(), Wanted, keyOf(Id));
}

// Sends pending bytes. Returns false if the connection is lost; it is closed in
// the next loop iteration, so that no callback runs inside a call of the user.
bool server::state::flush(connection_id Id, connection &Row) {
  auto Result = Row.Socket.flush();
  if (Result == pvt::io_result::Failed ||
      Row.Socket.unsent() > Limits.MaxUnsentBytes) {
    Broken.push_back(Id);
    wakeLater();
    return false;
  }
  if (Result == pvt::io_result::Done && Row.Phase == phase::Closing &&
      !Row.FinishedWriting) {
    Row.Socket.shutdownWrite();
    Row.FinishedWriting = true;
  }
  watch(Id, Row);
  account(Row);
  return true;
}

void server::state::close(connection_id Id) {
  connection *Row = Connections.find(Id);
  if (!Row)
    return;
  Sockets->remove(Row->Socket.descriptor());
  exchange_id Exchange = Row->Exchange;
  if (Budget)
    Budget->release(Row->Memory);
  Connections.erase(Id);
  if (Exchanges.erase(Exchange))
    Events.OnGone(Exchange);
}

void server::state::sweep() {
  time_point Now = steadyNow();
  std::vector<connection_id> Late;
  std::vector<connection_id> Unread;
  Connections.forEach([&](connection_id Id, connection &Row) {
    milliseconds Age = Now - Row.Since;
    bool Reading = Row.isReading();
    if (Row.Socket.unsent() == 0 || Row.Socket.sent() != Row.SentBefore) {
      Row.SentBefore = Row.Socket.sent();
      Row.TakenAt = Now;
    }
    if (Now - Row.TakenAt >= Limits.UnreadTimeout) {
      Unread.push_back(Id);
      return;
    }
    if (Row.Phase == phase::Closing && Age > LingerTime)
      Late.push_back(Id);
    if (Row.Phase == phase::Receiving &&
        Age > (Reading ? Limits.HeaderTimeout : Limits.IdleTimeout))
      Late.push_back(Id);
  });
  for (connection_id Id : Late) {
    connection *Row = Connections.find(Id);
    if (Row && Row->Phase == phase::Receiving && Row->isReading())
      refuse(Id, *Row, status::RequestTimeout,
             "the request took too long to arrive");
    else
      close(Id);
  }
  for (connection_id Id : Unread) {
    report(client_end::Unread);
    close(Id);
  }
}

// -- Limits for all clients --------------------------------------------------

server::state::~state() {
  if (Budget)
    Budget->removeOwner(Owner);
}

// Whether nothing is read from the connection at present.
bool server::state::isFull(const connection &Row) const {
  return Row.awaitsReader() || (Row.Phase == phase::Answering &&
                                Row.Input.size() >= Limits.ReadAheadBytes);
}

void server::state::account(connection &Row) {
  if (!Budget)
    return;
  bool IsRequest = Row.Phase == phase::Receiving && Row.isReading();
  auto Rank = IsRequest ? memory_rank::Request : memory_rank::Answer;
  std::size_t Bytes = Row.heldBytes();
  // Usually nothing has changed, as most requests arrive in one piece.
  if (Bytes == Row.CountedBytes && Rank == Row.CountedRank)
    return;
  Row.CountedBytes = Bytes;
  Row.CountedRank = Rank;
  Budget->set(Row.Memory, Rank, Bytes, steadyNow());
}

void server::state::endForMemory(connection_id Id) {
  connection *Row = Connections.find(Id);
  if (!Row)
    return;
  report(client_end::Memory);
  Row->CountedBytes = 0; // The budget has forgotten them.
  bool IsRequest = Row->Phase == phase::Receiving && Row->isReading();
  if (IsRequest && Row->Socket.unsent() == 0)
    refuse(Id, *Row, status::Unavailable,
           "the host has no memory for the request");
  else
    close(Id);
}

// Closes the oldest connection on which no request was complete. Returns
// whether there was one.
bool server::state::makeRoom() {
  std::optional<connection_id> Oldest;
  time_point Since;
  Connections.forEach([&](connection_id Id, const connection &Row) {
    bool IsAnswered = Row.Phase == phase::Closing && Row.Socket.unsent() == 0;
    bool IsUnused =
        IsAnswered || (Row.Phase == phase::Receiving && !Row.HasServed);
    if (!IsUnused || (Oldest && Row.Since >= Since))
      return;
    Oldest = Id;
    Since = Row.Since;
  });
  report(client_end::Connections);
  if (Oldest)
    close(*Oldest);
  return Oldest.has_value();
}

void server::state::report(client_end Reason) {
  auto Index = static_cast<std::size_t>(Reason);
  ++Counters.Ended.at(Index);
  if (!LogLimiters.at(Index).allows(steadyNow()))
    return;
  log::warn("client ended", {{"reason", nameOf(Reason)},
                             {"port", Listener.port()},
                             {"ended", Counters.Ended.at(Index)},
                             {"connections", Connections.size()},
                             {"held_bytes", Budget ? Budget->total() : 0}});
}

std::string_view nameOf(client_end Reason) {
  switch (Reason) {
  case client_end::Memory:
    return "memory";
  case client_end::Unread:
    return "unread";
  case client_end::Connections:
    return "connections";
  }
  return "unknown";
}

void server::state::resumeLater(connection_id Id) {
  connection *Row = Connections.find(Id);
  if (!Row || Row->Input.empty())
    return;
  Ready.push_back(Id);
  wakeLater();
}

void server::state::wakeLater() {
  if (Resume)
    return;
  Resume = loop_source::soon([this] {
    Resume.reset();
    for (connection_id Lost : std::exchange(Broken, {}))
      close(Lost);
    for (connection_id Next : std::exchange(Ready, {}))
      process(Next);
    return false;
  });
}

// -- Exchanges ---------------------------------------------------------------

void server::state::endExchange(exchange_id Id, connection_id Connection,
                                bool Close) {
  Exchanges.erase(Id);
  connection *Row = Connections.find(Connection);
  if (!Row)
    return;
  Row->Exchange = {};
  Row->Since = steadyNow();
  Row->Phase = Close ? phase::Closing : phase::Receiving;
  if (flush(Connection, *Row) && !Close)
    resumeLater(Connection);
}

std::optional<server> server::create(std::string_view Address,
                                     server_limits Limits, server_events Events,
                                     memory_budget *Budget) {
  auto Listener = listener::open(Address);
  if (!Listener)
    return std::nullopt;
  auto State = std::make_unique<state>();
  state *Raw = State.get();
  Raw->Listener = std::move(*Listener);
  Raw->Limits = Limits;
  Raw->Events = std::move(Events);
  Raw->Budget = Budget;
  if (Budget)
    Raw->Owner = Budget->addOwner(
        [Raw](std::uint64_t Key) { Raw->endForMemory(idOf<connection>(Key)); });
  Raw->Sockets =
      poll_set::create([Raw](std::uint64_t Key) { Raw->onReady(Key); });
  if (!Raw->Sockets)
    return std::nullopt;
  Raw->Sockets->add(g_socket_get_fd(Raw->Listener.socket()),
                    poll_set::interest::Readable, ListenerKey);
  Raw->Sweep = loop_source::every(SweepInterval, [Raw] {
    Raw->sweep();
    return true;
  });
  return server(std::move(State));
}

std::uint16_t server::port() const { return State->Listener.port(); }

void server::setLimits(const server_limits &Limits) {
  State->Limits = Limits;
  State->Connections.forEach([&](connection_id, connection &Row) {
    Row.Parser.setMaxHeadBytes(Limits.HeaderBytes);
  });
}

bool server::respond(exchange_id Id, int Status, const header_list &Headers,
                     std::string_view Body) {
  return respondWith(Id, Status, Headers, std::string(Body));
}

bool server::respondWith(exchange_id Id, int Status, const header_list &Headers,
                         std::string Body) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || Exchange->Begun)
    return false;
  connection_id Connection = Exchange->Connection;
  connection *Row = State->Connections.find(Connection);
  bool Close = !Row->KeepAlive || State->Draining;
  std::string Framing;
  if (!hasNoBody(Status))
    Framing = "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Row->Socket.queue(serializeHead(Status, Headers, Framing, Close));
  if (!Exchange->HeadOnly && !hasNoBody(Status))
    Row->Socket.queue(std::move(Body));
  State->endExchange(Id, Connection, Close);
  return true;
}

bool server::begin(exchange_id Id, int Status, const header_list &Headers) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || Exchange->Begun)
    return false;
  Exchange->Begun = true;
  connection_id Connection = Exchange->Connection;
  connection *Row = State->Connections.find(Connection);
  bool Close = !Row->KeepAlive || State->Draining;
  std::string_view Framing =
      Exchange->Http10 ? "" : "Transfer-Encoding: chunked\r\n";
  Row->Socket.queue(serializeHead(Status, Headers, Framing, Close));
  Row->KeepAlive = !Close;
  return State->flush(Connection, *Row);
}

bool server::write(exchange_id Id, std::string_view Bytes) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || !Exchange->Begun)
    return false;
  if (Bytes.empty() || Exchange->HeadOnly)
    return true;
  connection_id Connection = Exchange->Connection;
  connection *Row = State->Connections.find(Connection);
  if (Exchange->Http10) {
    Row->Socket.queue(std::string(Bytes));
  } else {
    std::string Chunk = chunkHead(Bytes.size());
    Chunk.append(Bytes).append("\r\n");
    Row->Socket.queue(std::move(Chunk));
  }
  return State->flush(Connection, *Row);
}

bool server::finish(exchange_id Id) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || !Exchange->Begun)
    return false;
  connection_id Connection = Exchange->Connection;
  connection *Row = State->Connections.find(Connection);
  if (!Exchange->Http10 && !Exchange->HeadOnly)
    Row->Socket.queue("0\r\n\r\n");
  State->endExchange(Id, Connection, !Row->KeepAlive || Exchange->Http10);
  return true;
}

void server::abort(exchange_id Id) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange)
    return;
  connection_id Connection = Exchange->Connection;
  State->Exchanges.erase(Id);
  if (connection *Row = State->Connections.find(Connection))
    Row->Exchange = {};
  State->close(Connection);
}

void server::drain() { State->Draining = true; }

void server::stopAccepting() {
  if (!State->Listener.isOpen())
    return;
  State->Sockets->remove(g_socket_get_fd(State->Listener.socket()));
  State->Listener.close(
      [this](handle<GSocket> Socket) { State->take(std::move(Socket)); });
}

void server::closeIdle() {
  std::vector<connection_id> Idle;
  State->Connections.forEach([&](connection_id Id, connection &Row) {
    if (Row.Phase == phase::Receiving && !Row.Parser.inMessage() &&
        Row.Input.empty())
      Idle.push_back(Id);
  });
  for (connection_id Id : Idle) {
    connection *Row = State->Connections.find(Id);
    Row->Phase = phase::Closing;
    Row->Since = steadyNow();
    State->flush(Id, *Row);
  }
}

server_counters server::counters() const {
  server_counters Counters = State->Counters;
  Counters.OpenConnections = State->Connections.size();
  Counters.OpenExchanges = State->Exchanges.size();
  return Counters;
}

server::server(std::unique_ptr<state> State) : State(std::move(State)) {}
server::server(server &&Other) noexcept = default;
server &server::operator=(server &&Other) noexcept = default;
server::~server() = default;

} // namespace turmerichead::http1
