#include "turmerichead/http1_client.h"

#include "parser_pvt.h"
#include "socket_pvt.h"
#include "tunnel_pvt.h"
#include "turmerichead/error.h"
#include "turmerichead/table.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sys/socket.h>
#include <utility>

namespace turmerichead::http1 {

namespace {

constexpr milliseconds SweepInterval{1000};

struct connection_row;
using connection_id = typed_id<connection_row>;

} // namespace

struct call_row {
  call_request Request;
  call_events Events;
  connection_id Connection;
};

namespace {

enum class phase : std::uint8_t {
  Connecting,
  Opening, ///< Waits for the reply of the tunnel server.
  Busy,
  Idle
};

struct connection_row {
  pvt::buffered_socket Socket;
  pvt::message_parser Parser{HTTP_RESPONSE, 0};
  std::string Address; ///< See poolKey().
  /// Set on a connection by way of a tunnel server.
  std::optional<pvt::tunnel_decoder> Tunnel;
  std::string TunnelLine; ///< Opens the tunnel.
  std::string Input;
  phase Phase = phase::Connecting;
  call_id Call;
  poll_set::interest Interest = poll_set::interest::Writable;
  time_point IdleSince;
  milliseconds IdleLimit{0};
  std::size_t MaxIdle = 0;      ///< Limit set by its last call.
  std::uint64_t SentBefore = 0; ///< Bytes of earlier requests.
  unsigned Uses = 0;
  bool KeepAlive = false;
  bool Skipping = false;        ///< The current answer is not for this call.
  std::size_t MessageBytes = 0; ///< Received of the current message.
  std::size_t BodyBytes = 0;    ///< Of these, the body without framing.
  std::size_t DroppedBytes = 0; ///< During the call; see MaxDroppedBytes.
  /// Set during a probe.
  std::function<void(probe_result)> Probed;
};

/// Parser output of one read. It is reported after the parser has returned.
struct response_sink {
  connection_row &Row;
  bool HasHead = false;
  std::string Bytes;

  void onHead() {
    HasHead = true;
    Row.KeepAlive = Row.Parser.keepsAlive();
  }
  void onBody(std::string_view Data) { Bytes += Data; }
  void onMessage() {}
};

// Separates the address of an upstream from that of a tunnel server.
constexpr std::string_view ViaSeparator = " via ";

/// Returns the name of the pool of connections that lead to \p Address.
std::string poolKey(const std::string &Address, const std::string &Via) {
  return Via.empty() ? Address : Address + std::string(ViaSeparator) + Via;
}

std::string serialize(const call_request &Request) {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  for (const header &Row : Request.Headers.rows())
    Text.append(Row.Name).append(": ").append(Row.Value).append("\r\n");
  std::size_t Length = 0;
  for (const std::string &Piece : Request.Body)
    Length += Piece.size();
  bool MayHaveBody = Request.Method != "GET" && Request.Method != "HEAD" &&
                     Request.Method != "DELETE";
  if (Length > 0 || MayHaveBody)
    Text += "Content-Length: " + std::to_string(Length) + "\r\n";
  Text += "\r\n";
  return Text;
}

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

void beginMessage(connection_row &Row) {
  Row.Parser.restart();
  Row.Skipping = false;
  Row.MessageBytes = 0;
  Row.BodyBytes = 0;
}

std::string_view reasonOf(connect_failure Failure) {
  switch (Failure) {
  case connect_failure::None:
    break;
  case connect_failure::Unreachable:
    return "the connection was not established in time";
  case connect_failure::Refused:
    return "the connection was refused";
  case connect_failure::Tunnel:
    return "the tunnel was not opened";
  }
  return "the connection was not established";
}

bool isInformational(int Status) {
  constexpr int FirstFinal = 200;
  return Status < FirstFinal;
}

} // namespace

std::string_view nameOf(answer_end End) {
  switch (End) {
  case answer_end::Length:
    return "length";
  case answer_end::LastChunk:
    return "last_chunk";
  case answer_end::Connection:
    return "connection";
  }
  return "unknown";
}

struct client::state {
  client_settings Settings;
  std::optional<poll_set> Sockets;
  std::optional<deadline_queue> Deadlines;
  loop_source Sweep;
  loop_source DeferredSource;
  /// Actions for the next loop iteration.
  std::vector<std::function<void()>> Deferred;
  table<connection_row> Connections;
  table<call_row> Calls;
  std::map<std::string, std::vector<connection_id>, std::less<>> Idle;
  client_counters Counters;

  std::optional<connection_id> takeIdle(std::string_view Address);
  std::optional<connection_id> connect(const std::string &Target,
                                       const std::string &Via,
                                       milliseconds Timeout);
  void queueRequest(connection_row &Row);
  void send(connection_id Id, call_id Call);
  void onReady(std::uint64_t Key);
  void onConnected(connection_id Id);
  void onEstablished(connection_id Id);
  void onTunnelReply(connection_id Id);
  void startUse(connection_id Id);
  pvt::io_result receive(connection_row &Row);
  void onReadable(connection_id Id);
  bool parse(connection_id Id);
  std::string_view excessOf(const connection_row &Row) const;
  bool onMessageEnd(connection_id Id, answer_end End);
  bool takeHead(connection_row &Row);
  void flush(connection_id Id);
  void onWriteFailed(connection_id Id);
  void watch(connection_id Id, connection_row &Row);
  void keep(connection_id Id, connection_row &Row);
  void close(connection_id Id);
  void fail(connection_id Id, std::string Reason);
  void failConnect(connection_id Id, connect_failure Failure);
  void end(call_id Id, const call_result &Result);
  void failLater(call_id Id, std::string Reason);
  void runDeferred();
  void sweep();
};

// -- Connections -------------------------------------------------------------

std::optional<connection_id> client::state::takeIdle(std::string_view Address) {
  // Closing the last connection of a pool removes the pool.
  for (auto Pool = Idle.find(Address);
       Pool != Idle.end() && !Pool->second.empty(); Pool = Idle.find(Address)) {
    connection_id Id = Pool->second.back();
    Pool->second.pop_back();
    connection_row *Row = Connections.find(Id);
    if (!Row)
      continue;
    char Byte = 0;
    ssize_t Count = recv(Row->Socket.descriptor(), &Byte, 1, MSG_PEEK);
    bool Quiet = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (Quiet && steadyNow() - Row->IdleSince < Row->IdleLimit)
      return Id;
    close(Id);
  }
  return std::nullopt;
}

std::optional<connection_id> client::state::connect(const std::string &Target,
                                                    const std::string &Via,
                                                    milliseconds Timeout) {
  auto Address = parseAddress(Via.empty() ? Target : Via);
  if (!Address)
    return std::nullopt;
  auto Socket = beginConnect(Address->get());
  if (!Socket)
    return std::nullopt;
  ++Counters.Opened;
  setSilenceTimeout(Socket->get(), Settings.SilenceTimeout);
  connection_row Row;
  Row.Socket = pvt::buffered_socket(std::move(*Socket));
  Row.Parser.setMaxHeadBytes(Settings.MaxHeadBytes);
  Row.Address = poolKey(Target, Via);
  if (!Via.empty()) {
    Row.Tunnel.emplace();
    Row.TunnelLine = pvt::tunnelLine(Target, Settings.TunnelKey);
  }
  auto Id = Connections.insert(std::move(Row));
  connection_row *Stored = Connections.find(Id);
  Sockets->add(Stored->Socket.descriptor(), Stored->Interest, keyOf(Id));
  Deadlines->add(Timeout, keyOf(Id), 0);
  return Id;
}

void client::state::send(connection_id Id, call_id CallId) {
  connection_row &Row = *Connections.find(Id);
  call_row &Call = *Calls.find(CallId);
  Call.Connection = Id;
  Row.Call = CallId;
  Row.MaxIdle = Call.Request.MaxIdle;
  beginMessage(Row);
  Row.Parser.setNoBody(Call.Request.Method == "HEAD");
  Row.DroppedBytes = 0;
  ++Row.Uses;
  if (Row.Phase == phase::Idle)
    startUse(Id);
}

void client::state::queueRequest(connection_row &Row) {
  call_request &Request = Calls.find(Row.Call)->Request;
  Row.SentBefore = Row.Socket.sent();
  Row.Socket.queue(serialize(Request));
  for (std::string &Piece : Request.Body)
    Row.Socket.queue(std::move(Piece));
  Request.Body.clear();
}

// Sends the request of the current call over an established connection.
void client::state::startUse(connection_id Id) {
  connection_row &Row = *Connections.find(Id);
  Row.Phase = phase::Busy;
  queueRequest(Row);
  flush(Id);
}

void client::state::onReady(std::uint64_t Key) {
  auto Id = idOf<connection_row>(Key);
  connection_row *Row = Connections.find(Id);
  if (!Row)
    return;
  if (Row->Phase == phase::Connecting) {
    onConnected(Id);
    return;
  }
  if (Row->Phase == phase::Opening) {
    onTunnelReply(Id);
    return;
  }
  if (Row->Phase == phase::Idle) {
    // The server has closed the connection or sent unrequested bytes.
    close(Id);
    return;
  }
  onReadable(Id);
  Row = Connections.find(Id);
  if (Row && Row->Phase == phase::Busy && Row->Socket.unsent() > 0)
    flush(Id);
}

void client::state::onConnected(connection_id Id) {
  using connect_result = pvt::buffered_socket::connect_result;
  connection_row &Row = *Connections.find(Id);
  connect_result Result = Row.Socket.connectResult();
  bool IsTunnel = Row.Tunnel.has_value();
  if (Result == connect_result::Refused) {
    failConnect(Id,
                IsTunnel ? connect_failure::Tunnel : connect_failure::Refused);
  } else if (Result == connect_result::Failed) {
    failConnect(Id, IsTunnel ? connect_failure::Tunnel
                             : connect_failure::Unreachable);
  } else if (IsTunnel) {
    Row.Phase = phase::Opening;
    Row.Socket.queue(std::move(Row.TunnelLine));
    flush(Id);
  } else {
    onEstablished(Id);
  }
}

void client::state::onEstablished(connection_id Id) {
  connection_row &Row = *Connections.find(Id);
  if (!Row.Probed) {
    auto OnConnect = Calls.find(Row.Call)->Events.OnConnect;
    startUse(Id);
    if (OnConnect)
      OnConnect();
    return;
  }
  auto Probed = std::exchange(Row.Probed, {});
  keep(Id, Row);
  Probed(probe_result::Listening);
}

void client::state::onTunnelReply(connection_id Id) {
  using pvt::tunnel_status;
  connection_row &Row = *Connections.find(Id);
  pvt::io_result Result = receive(Row);
  if (Result == pvt::io_result::Blocked) {
    flush(Id);
    return;
  }
  auto Status = Row.Tunnel->status();
  if (Status == tunnel_status::Connected && Result == pvt::io_result::Done)
    onEstablished(Id);
  else if (Status == tunnel_status::Refused)
    failConnect(Id, connect_failure::Refused);
  else if (Status == tunnel_status::Unreachable)
    failConnect(Id, connect_failure::Unreachable);
  else
    failConnect(Id, connect_failure::Tunnel);
}

void client::state::failConnect(connection_id Id, connect_failure Failure) {
  connection_row &Row = *Connections.find(Id);
  call_id Call = Row.Call;
  auto Probed = std::move(Row.Probed);
  close(Id);
  if (Probed)
    Probed(Failure == connect_failure::Refused ? probe_result::Refused
                                               : probe_result::Unknown);
  else
    end(Call, {.Outcome = call_outcome::NotSent,
               .Reason = std::string(reasonOf(Failure)),
               .Failure = Failure});
}

// Appends available bytes of the answer to the input of the connection.
pvt::io_result client::state::receive(connection_row &Row) {
  if (!Row.Tunnel)
    return Row.Socket.read(Row.Input);
  std::string Bytes;
  pvt::io_result Result = Row.Socket.read(Bytes);
  // Only the tunnel itself tells of an orderly end of its upstream.
  if (Result == pvt::io_result::Ended || !Row.Tunnel->feed(Bytes, Row.Input))
    return pvt::io_result::Failed;
  return Result;
}

void client::state::flush(connection_id Id) {
  connection_row *Row = Connections.find(Id);
  if (Row->Socket.flush() != pvt::io_result::Failed) {
    watch(Id, *Row);
    return;
  }
  // Callbacks of a call are never called inside call().
  Deferred.emplace_back([this, Id] { onWriteFailed(Id); });
  runDeferred();
}

void client::state::onWriteFailed(connection_id Id) {
  // An answer may have arrived before the server closed the connection.
  if (Connections.find(Id))
    onReadable(Id);
  if (Connections.find(Id))
    fail(Id, "the connection was lost while the request was written");
}

void client::state::watch(connection_id Id, connection_row &Row) {
  auto Wanted = Row.Socket.unsent() > 0 ? poll_set::interest::ReadWrite
                                        : poll_set::interest::Readable;
  if (Row.Interest == Wanted)
    return;
  Row.Interest = Wanted;
  Sockets->add(Row.Socket.descriptor(), Wanted, keyOf(Id));
}

void client::state::onReadable(connection_id Id) {
  connection_row *Row = Connections.find(Id);
  auto Result = receive(*Row);
  if (Result == pvt::io_result::Blocked)
    return;
  if (Result == pvt::io_result::Failed) {
    fail(Id, "the connection was reset");
    return;
  }
  if (Result == pvt::io_result::Done) {
    call_id Call = Row->Call;
    bool Ended = Row->Tunnel && Row->Tunnel->ended();
    bool Open = parse(Id);
    Row = Connections.find(Id);
    if (!Ended || !Open || !Row || Row->Call != Call)
      return;
  }
  response_sink Sink{*Row, false, {}};
  if (!Row->Skipping && Row->Parser.inMessage() &&
      Row->Parser.feedEnd(Sink) == pvt::feed_result::Paused) {
    Row->KeepAlive = false;
    onMessageEnd(Id, answer_end::Connection);
    return;
  }
  fail(Id, "the connection ended before the answer was complete");
}

// Reads the available bytes. Returns false if the connection was closed or has
// been returned to the pool.
bool client::state::parse(connection_id Id) {
  connection_row *Row = Connections.find(Id);
  while (Row && Row->Phase == phase::Busy && !Row->Input.empty()) {
    response_sink Sink{*Row, false, {}};
    std::size_t Used = 0;
    auto Result = Row->Parser.feed(Sink, Row->Input, Used);
    Row->Input.erase(0, Used);
    Row->MessageBytes += Used;
    Row->BodyBytes += Sink.Bytes.size();
    if (Result == pvt::feed_result::Bad ||
        Result == pvt::feed_result::HeaderTooLarge) {
      fail(Id, "the answer cannot be read: " +
                   std::string(Row->Parser.errorText()));
      return false;
    }
    call_id CallId = Row->Call;
    if (Sink.HasHead && takeHead(*Row)) {
      response_head Head{Row->Parser.status(),
                         std::move(Row->Parser.head().Headers)};
      Row->IdleLimit = Settings.IdleTimeout;
      if (auto Declared = declaredIdleTime(Head.Headers))
        Row->IdleLimit = *Declared - Settings.IdleMargin;
      auto OnHead = Calls.find(CallId)->Events.OnHead;
      OnHead(Head);
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
    if (Result == pvt::feed_result::Paused && !onMessageEnd(Id, End))
      return false;
    Row = Connections.find(Id);
  }
  return Row != nullptr;
}

// Returns why the connection has received too many bytes, or an empty string. A
// faulty upstream may send endless bytes in any part of a message.
std::string_view client::state::excessOf(const connection_row &Row) const {
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
bool client::state::takeHead(connection_row &Row) {
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

bool client::state::onMessageEnd(connection_id Id, answer_end End) {
  connection_row &Row = *Connections.find(Id);
  if (Row.Skipping) {
    if (!Row.KeepAlive) {
      fail(Id, "the connection ended after an answer to another request");
      return false;
    }
    beginMessage(Row);
    return true;
  }
  call_id Call = Row.Call;
  bool HasEnded = Row.Tunnel && Row.Tunnel->ended();
  bool Reusable = Row.KeepAlive && Row.Socket.unsent() == 0 &&
                  Row.Input.empty() && !HasEnded;
  if (Reusable)
    keep(Id, Row);
  else
    close(Id);
  end(Call, {.Outcome = call_outcome::Complete, .Reason = {}, .End = End});
  return false;
}

void client::state::keep(connection_id Id, connection_row &Row) {
  auto Pool = Idle.find(Row.Address);
  if ((Pool == Idle.end() ? 0 : Pool->second.size()) >= Row.MaxIdle) {
    close(Id);
    return;
  }
  Row.Phase = phase::Idle;
  Row.Call = {};
  Row.IdleSince = steadyNow();
  watch(Id, Row);
  Idle[Row.Address].push_back(Id);
}

void client::state::close(connection_id Id) {
  connection_row *Row = Connections.find(Id);
  Sockets->remove(Row->Socket.descriptor());
  if (Row->Phase == phase::Idle) {
    auto Pool = Idle.find(Row->Address);
    if (Pool != Idle.end()) {
      std::erase(Pool->second, Id);
      if (Pool->second.empty())
        Idle.erase(Pool);
    }
  }
  Connections.erase(Id);
}

void client::state::fail(connection_id Id, std::string Reason) {
  connection_row &Row = *Connections.find(Id);
  call_id Call = Row.Call;
  bool Sent = Row.Socket.sent() > Row.SentBefore;
  close(Id);
  end(Call, {.Outcome = Sent ? call_outcome::Broken : call_outcome::NotSent,
             .Reason = std::move(Reason)});
}

void client::state::end(call_id Id, const call_result &Result) {
  call_row *Call = Calls.find(Id);
  if (!Call)
    return;
  auto OnEnd = std::move(Call->Events.OnEnd);
  Calls.erase(Id);
  OnEnd(Result);
}

void client::state::failLater(call_id Id, std::string Reason) {
  Deferred.emplace_back([this, Id, Reason = std::move(Reason)] {
    end(Id, {.Outcome = call_outcome::NotSent, .Reason = Reason});
  });
  runDeferred();
}

void client::state::runDeferred() {
  if (DeferredSource)
    return;
  DeferredSource = loop_source::soon([this] {
    DeferredSource.reset();
    for (const auto &Action : std::exchange(Deferred, {}))
      Action();
    return false;
  });
}

void client::state::sweep() {
  time_point Now = steadyNow();
  std::vector<connection_id> Old;
  Connections.forEach([&](connection_id Id, connection_row &Row) {
    if (Row.Phase == phase::Idle && Now - Row.IdleSince >= Row.IdleLimit)
      Old.push_back(Id);
  });
  for (connection_id Id : Old)
    close(Id);
}

// -- Public interface
// --------------------------------------------------------------

std::optional<client> client::create(client_settings Settings) {
  auto State = std::make_unique<state>();
  state *Raw = State.get();
  Raw->Settings = std::move(Settings);
  Raw->Sockets =
      poll_set::create([Raw](std::uint64_t Key) { Raw->onReady(Key); });
  if (!Raw->Sockets)
    return std::nullopt;
  Raw->Deadlines.emplace([Raw](std::uint64_t Key, int /*Kind*/) {
    auto Id = idOf<connection_row>(Key);
    connection_row *Row = Raw->Connections.find(Id);
    if (!Row || Row->Phase == phase::Busy || Row->Phase == phase::Idle)
      return;
    Raw->failConnect(Id, Row->Tunnel ? connect_failure::Tunnel
                                     : connect_failure::Unreachable);
  });
  Raw->Sweep = loop_source::every(SweepInterval, [Raw] {
    Raw->sweep();
    return true;
  });
  return client(std::move(State));
}

call_id client::call(call_request Request, call_events Events) {
  ++State->Counters.Calls;
  call_id Id = State->Calls.insert({std::move(Request), std::move(Events), {}});
  const call_request &Stored = State->Calls.find(Id)->Request;
  std::optional<connection_id> Connection;
  if (!Stored.FreshConnection)
    Connection = State->takeIdle(poolKey(Stored.Address, Stored.Via));
  if (!Connection)
    Connection =
        State->connect(Stored.Address, Stored.Via, Stored.ConnectTimeout);
  if (!Connection) {
    State->failLater(Id, lastError().Text);
    return Id;
  }
  State->send(*Connection, Id);
  return Id;
}

void client::probe(const std::string &Address, const std::string &Via,
                   milliseconds Timeout,
                   std::function<void(probe_result)> Done) {
  auto Id = State->connect(Address, Via, Timeout);
  if (!Id) {
    State->Deferred.emplace_back(
        [Done = std::move(Done)] { Done(probe_result::Unknown); });
    State->runDeferred();
    return;
  }
  connection_row &Row = *State->Connections.find(*Id);
  Row.Probed = std::move(Done);
  Row.MaxIdle = 1;
  Row.IdleLimit = State->Settings.IdleTimeout;
}

bool client::cancel(call_id Id) {
  call_row *Call = State->Calls.find(Id);
  if (!Call)
    return false;
  connection_id Connection = Call->Connection;
  State->Calls.erase(Id);
  if (State->Connections.find(Connection))
    State->close(Connection);
  return true;
}

void client::forget(std::string_view Address) {
  forgetDirect(Address);
  std::string Start = std::string(Address) + std::string(ViaSeparator);
  std::vector<connection_id> Ids;
  for (auto Pool = State->Idle.lower_bound(Start);
       Pool != State->Idle.end() && Pool->first.starts_with(Start); ++Pool)
    Ids.insert(Ids.end(), Pool->second.begin(), Pool->second.end());
  for (connection_id Id : Ids)
    State->close(Id);
}

void client::forgetDirect(std::string_view Address) {
  auto Pool = State->Idle.find(Address);
  if (Pool == State->Idle.end())
    return;
  std::vector<connection_id> Ids = Pool->second;
  for (connection_id Id : Ids)
    State->close(Id);
}

client_counters client::counters() const {
  client_counters Counters = State->Counters;
  Counters.OpenConnections = State->Connections.size();
  Counters.OpenCalls = State->Calls.size();
  return Counters;
}

client::client(std::unique_ptr<state> State) : State(std::move(State)) {}
client::client(client &&Other) noexcept = default;
client &client::operator=(client &&Other) noexcept = default;
client::~client() = default;

} // namespace turmerichead::http1
