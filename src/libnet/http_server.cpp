#include "turmerichead/net_http.h"

#include "turmerichead/log.h"
#include "turmerichead/log_limiter.h"
#include "turmerichead/memory_budget.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/table.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <gio/gunixsocketaddress.h>
#include <nlohmann/json.hpp>

namespace turmerichead {

namespace {

constexpr milliseconds SweepInterval{500};
constexpr int StatusHeadersTooLarge = 431; ///< Not defined by libsoup.
constexpr const char *ConnectionKey = "turmerichead-connection";

struct connection_row;
using connection_id = typed_id<connection_row>;

/// A connection from a caller.
struct connection_row {
  /// Owned by the SoupServer; nullptr until the first bytes have arrived.
  GSocketConnection *Stream = nullptr;
  handle<GSocket> Socket;
  http_exchange_id Exchange; ///< Stale between exchanges.
  time_point LastActive;
  std::optional<time_point> ReadingSince; ///< Set while a body is read.
  std::size_t BodyBytes = 0;
  memory_holder_id Memory;
  SoupServerMessage *Reading = nullptr; ///< While its body is read; not owned.
  bool Ending = false; ///< It was closed for the memory that it takes.
};

/// User data of a GLib callback: a row of the server. It may outlive the
/// server, because libsoup finishes a message after its connection was closed.
template <typename Id> struct row_context {
  std::weak_ptr<http_server::state *> Server;
  Id Row;

  /// Returns the server, or nullptr if it has been destroyed.
  http_server::state *owner() const {
    auto Locked = Server.lock();
    return Locked ? *Locked : nullptr;
  }
};
using connection_context = row_context<connection_id>;
/// User data of the callbacks of a message whose body is read. It is deleted
/// with the message.
struct reading_context : connection_context {
  SoupServerMessage *Message = nullptr;
};
using exchange_context = row_context<http_exchange_id>;

template <typename Context> void freeContext(gpointer Data, GClosure *) {
  delete static_cast<Context *>(Data);
}

} // namespace

/// A request that was passed to the handler. Its row exists until the response
/// has been sent.
struct http_exchange_row {
  handle<SoupServerMessage> Message;
  connection_id Connection;
  std::size_t Buffered = 0;
  time_point LastTaken;
  bool Streaming = false;
  bool Ended = false; ///< Whether the handler has completed the response.
};

struct http_server::state {
  http_server_settings Settings;
  http_server_events Events;
  handle<SoupServer> Server;
  listener Listener;
  std::optional<poll_set> Callers;
  loop_source Accepting;
  loop_source Sweep;
  table<connection_row> Connections;
  table<http_exchange_row> Exchanges;
  std::shared_ptr<state *> Self = std::make_shared<state *>(this);
  std::optional<memory_budget> Budget;
  memory_owner_id Owner;
  log_limiter LogLimiter;

  ~state();
  void account(connection_row &Connection);
  void endForMemory(connection_id Id);
  void setBuffered(http_exchange_id Id);
  void erase(connection_id Id);
  void take(handle<GSocket> Socket);
  void waitForRequest(handle<GSocket> Socket);
  void adopt(connection_id Id);
  connection_id connectionOf(SoupServerMessage *Message) const;
  void checkHeaders(SoupServerMessage *Message);
  void reject(SoupServerMessage *Message, int Status, std::string_view Text);
  void begin(SoupServerMessage *Message, const char *Path);
  void callerReady(connection_id Id);
  void finished(http_exchange_id Id);
  void cutOff(http_exchange_id Id);
  void sweep();
  http_exchange_row *open(http_exchange_id Id);

  static void onEarly(SoupServer *Server, SoupServerMessage *Message,
                      const char *Path, GHashTable *Query, gpointer Data);
  static void onRequest(SoupServer *Server, SoupServerMessage *Message,
                        const char *Path, GHashTable *Query, gpointer Data);
  static void onChunk(SoupServerMessage *Message, GBytes *Chunk,
                      reading_context *Context);
  static void onReadingGone(gpointer Data, GClosure *Closure);
  static void onFinished(SoupServerMessage *Message, exchange_context *Context);
  static void onWrote(SoupServerMessage *Message, guint Size,
                      exchange_context *Context);
  static void onConnectionGone(gpointer Data, GObject *Where);
};

// -- Connections -------------------------------------------------------------

void http_server::state::take(handle<GSocket> Socket) {
  if (Connections.size() < Settings.MaxConnections)
    waitForRequest(std::move(Socket));
}

/// libsoup has one event source per connection, and each loop iteration visits
/// all sources. A connection is therefore passed to libsoup only when its first
/// bytes have arrived.
void http_server::state::waitForRequest(handle<GSocket> Socket) {
  int Descriptor = g_socket_get_fd(Socket.get());
  connection_row Row;
  Row.Socket = std::move(Socket);
  Row.LastActive = steadyNow();
  connection_id Id = Connections.insert(std::move(Row));
  Connections.find(Id)->Memory = Budget->add(Owner, keyOf(Id));
  Callers->add(Descriptor, poll_set::interest::Readable, keyOf(Id));
}

void http_server::state::adopt(connection_id Id) {
  connection_row &Row = *Connections.find(Id);
  Callers->remove(g_socket_get_fd(Row.Socket.get()));
  auto Stream = handle<GSocketConnection>::adopt(
      g_socket_connection_factory_create_connection(Row.Socket.get()));
  auto Local = handle<GSocketAddress>::adopt(
      g_socket_connection_get_local_address(Stream.get(), nullptr));
  auto Remote = handle<GSocketAddress>::adopt(
      g_socket_connection_get_remote_address(Stream.get(), nullptr));
  if (!Local || !Remote) {
    erase(Id); // The caller has already closed it.
    return;
  }
  Row.Stream = Stream.get();
  Row.LastActive = steadyNow();
  // A SoupServerMessage does not expose its connection, but it returns the same
  // address object that the connection was accepted with.
  g_object_set_data_full(
      G_OBJECT(Remote.get()), ConnectionKey, new connection_context{Self, Id},
      [](gpointer Data) { delete static_cast<connection_context *>(Data); });
  g_object_weak_ref(G_OBJECT(Stream.get()), onConnectionGone,
                    new connection_context{Self, Id});
  soup_server_accept_iostream(Server.get(), G_IO_STREAM(Stream.get()),
                              Local.get(), Remote.get(), nullptr);
}

void http_server::state::onConnectionGone(gpointer Data, GObject *) {
  std::unique_ptr<connection_context> Context(
      static_cast<connection_context *>(Data));
  if (state *Owner = Context->owner())
    Owner->erase(Context->Row);
}

// -- Memory ------------------------------------------------------------------

void http_server::state::erase(connection_id Id) {
  if (connection_row *Row = Connections.find(Id))
    Budget->release(Row->Memory);
  Connections.erase(Id);
}

void http_server::state::account(connection_row &Connection) {
  const http_exchange_row *Exchange = Exchanges.find(Connection.Exchange);
  std::size_t Bytes =
      Connection.BodyBytes + (Exchange ? Exchange->Buffered : 0);
  memory_rank Rank =
      Connection.ReadingSince ? memory_rank::Request : memory_rank::Answer;
  Budget->set(Connection.Memory, Rank, Bytes, steadyNow());
  Budget->enforce();
}

// Counts the unsent bytes of an answer. No connection is closed here, as the
// owner of the exchange may be calling.
void http_server::state::setBuffered(http_exchange_id Id) {
  const http_exchange_row *Exchange = Exchanges.find(Id);
  connection_row *Row =
      Exchange ? Connections.find(Exchange->Connection) : nullptr;
  if (Row)
    Budget->set(Row->Memory, memory_rank::Answer,
                Row->BodyBytes + Exchange->Buffered, steadyNow());
}

void http_server::state::endForMemory(connection_id Id) {
  connection_row *Row = Connections.find(Id);
  if (!Row)
    return;
  if (LogLimiter.allows(steadyNow()))
    log::warn("client ended", {{"reason", "memory"},
                               {"port", Listener.port()},
                               {"ended", Budget->ended()},
                               {"connections", Connections.size()},
                               {"held_bytes", Budget->total()}});
  if (Exchanges.find(Row->Exchange))
    cutOff(Row->Exchange);
  else
    g_socket_shutdown(Row->Socket.get(), TRUE, TRUE, nullptr);
  Row->Ending = true;
  if (!Row->Reading || soup_server_message_get_status(Row->Reading) != 0)
    return;
  // What the kernel has received is still read, and then dropped. libsoup may
  // get to it much later, so the body is freed now.
  SoupServerMessage *Message = Row->Reading;
  reject(Message, SOUP_STATUS_SERVICE_UNAVAILABLE,
         "the host has no memory for the request");
  soup_message_body_truncate(soup_server_message_get_request_body(Message));
}

void http_server::state::onReadingGone(gpointer Data, GClosure *) {
  std::unique_ptr<reading_context> Context(
      static_cast<reading_context *>(Data));
  state *Owner = Context->owner();
  connection_row *Row = Owner ? Owner->Connections.find(Context->Row) : nullptr;
  if (Row && Row->Reading == Context->Message)
    Row->Reading = nullptr;
}

connection_id
http_server::state::connectionOf(SoupServerMessage *Message) const {
  GSocketAddress *Remote = soup_server_message_get_remote_address(Message);
  if (!Remote)
    return {};
  auto *Context = static_cast<connection_context *>(
      g_object_get_data(G_OBJECT(Remote), ConnectionKey));
  return Context ? Context->Row : connection_id{};
}

namespace {

/// libsoup keeps connections alive after a response only while its server has a
/// listening socket of its own. This one serves no other purpose: it has a
/// random name in the abstract namespace of Unix sockets, and is never used.
bool listenForKeepAlive(SoupServer *Server) {
  gchar *Name = g_uuid_string_random();
  auto Address =
      handle<GSocketAddress>::adopt(g_unix_socket_address_new_with_type(
          Name, -1, G_UNIX_SOCKET_ADDRESS_ABSTRACT));
  g_free(Name);
  auto Socket = handle<GSocket>::adopt(
      g_socket_new(G_SOCKET_FAMILY_UNIX, G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_DEFAULT, nullptr));
  return Socket && g_socket_bind(Socket.get(), Address.get(), FALSE, nullptr) &&
         g_socket_listen(Socket.get(), nullptr) &&
         soup_server_listen_socket(Server, Socket.get(),
                                   static_cast<SoupServerListenOptions>(0),
                                   nullptr);
}

} // namespace

// -- Reading a request -------------------------------------------------------

namespace {

std::size_t sizeOf(SoupMessageHeaders *Headers) {
  std::size_t Bytes = 0;
  SoupMessageHeadersIter Iter;
  soup_message_headers_iter_init(&Iter, Headers);
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Iter, &Name, &Value))
    Bytes += std::string_view(Name).size() + std::string_view(Value).size();
  return Bytes;
}

} // namespace

void http_server::state::onEarly(SoupServer * /*Server*/,
                                 SoupServerMessage *Message,
                                 const char * /*Path*/, GHashTable * /*Query*/,
                                 gpointer Data) {
  static_cast<state *>(Data)->checkHeaders(Message);
}

void http_server::state::checkHeaders(SoupServerMessage *Message) {
  connection_id Id = connectionOf(Message);
  if (connection_row *Connection = Connections.find(Id)) {
    Connection->ReadingSince = steadyNow();
    Connection->BodyBytes = 0;
  }
  SoupMessageHeaders *Headers =
      soup_server_message_get_request_headers(Message);
  if (sizeOf(Headers) > Settings.MaxHeaderBytes) {
    reject(Message, StatusHeadersTooLarge, "the headers are over the limit");
    return;
  }
  bool IsSized = soup_message_headers_get_encoding(Headers) ==
                 SOUP_ENCODING_CONTENT_LENGTH;
  auto Declared = soup_message_headers_get_content_length(Headers);
  if (IsSized && Declared > static_cast<goffset>(Settings.MaxBodyBytes)) {
    reject(Message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
           "the body is over the limit");
    return;
  }
  if (connection_row *Connection = Connections.find(Id))
    Connection->Reading = Message;
  g_signal_connect_data(Message, "got-chunk", G_CALLBACK(onChunk),
                        new reading_context{{Self, Id}, Message}, onReadingGone,
                        static_cast<GConnectFlags>(0));
}

void http_server::state::onChunk(SoupServerMessage *Message, GBytes *Chunk,
                                 reading_context *Context) {
  state *Owner = Context->owner();
  connection_row *Connection =
      Owner ? Owner->Connections.find(Context->Row) : nullptr;
  if (!Connection || soup_server_message_get_status(Message) != 0)
    return;
  Connection->BodyBytes += g_bytes_get_size(Chunk);
  if (Connection->BodyBytes > Owner->Settings.MaxBodyBytes)
    Owner->reject(Message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                  "the body is over the limit");
  else
    Owner->account(*Connection);
}

/// Responds without calling the handler. libsoup reads and discards the rest of
/// the body, for at most the request timeout.
void http_server::state::reject(SoupServerMessage *Message, int Status,
                                std::string_view Text) {
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(Message), FALSE);
  soup_message_headers_replace(
      soup_server_message_get_response_headers(Message), "Connection", "close");
  soup_server_message_set_status(Message, static_cast<guint>(Status), nullptr);
  std::string Body;
  if (Events.OnBadRequest)
    Body = Events.OnBadRequest(Status, Text);
  soup_server_message_set_response(Message, "application/json",
                                   SOUP_MEMORY_COPY, Body.data(), Body.size());
}

std::optional<std::string_view>
http_request_view::header(std::string_view Name) const {
  auto *Rows = static_cast<SoupMessageHeaders *>(const_cast<void *>(Headers));
  const char *Value =
      soup_message_headers_get_one(Rows, std::string(Name).c_str());
  if (!Value)
    return std::nullopt;
  return Value;
}

void http_server::state::onRequest(SoupServer * /*Server*/,
                                   SoupServerMessage *Message, const char *Path,
                                   GHashTable * /*Query*/, gpointer Data) {
  static_cast<state *>(Data)->begin(Message, Path);
}

void http_server::state::begin(SoupServerMessage *Message, const char *Path) {
  if (soup_server_message_get_status(Message) != 0)
    return; // Already rejected.
  connection_id Connection = connectionOf(Message);
  std::string Remote;
  if (connection_row *Row = Connections.find(Connection)) {
    Row->ReadingSince.reset();
    Row->Reading = nullptr;
    Row->LastActive = steadyNow();
  }
  http_exchange_row Exchange;
  Exchange.Message = handle<SoupServerMessage>::share(Message);
  Exchange.Connection = Connection;
  Exchange.LastTaken = steadyNow();
  http_exchange_id Id = Exchanges.insert(std::move(Exchange));
  g_signal_connect_data(Message, "finished", G_CALLBACK(onFinished),
                        new exchange_context{Self, Id},
                        freeContext<exchange_context>,
                        static_cast<GConnectFlags>(0));
  g_signal_connect_data(Message, "wrote-body-data", G_CALLBACK(onWrote),
                        new exchange_context{Self, Id},
                        freeContext<exchange_context>,
                        static_cast<GConnectFlags>(0));
  // libsoup does not read the connection until the response is sent, so it does
  // not detect that the caller closes it.
  if (connection_row *Row = Connections.find(Connection)) {
    Row->Exchange = Id;
    Callers->add(g_socket_get_fd(Row->Socket.get()),
                 poll_set::interest::ClosedByPeer, keyOf(Connection));
  }
  soup_server_message_pause(Message);
  SoupMessageBody *Body = soup_server_message_get_request_body(Message);
  auto Bytes = soup_message_body_flatten(Body);
  gsize Length = 0;
  const auto *Data =
      static_cast<const char *>(g_bytes_get_data(Bytes, &Length));
  const char *Query = g_uri_get_query(soup_server_message_get_uri(Message));
  const char *Host = soup_server_message_get_remote_host(Message);
  Events.OnRequest({Id, soup_server_message_get_method(Message), Path,
                    Query ? Query : "", std::string_view(Data, Length),
                    Host ? Host : "",
                    soup_server_message_get_request_headers(Message)});
  g_bytes_unref(Bytes);
}

// -- End of an exchange --------------------------------------------------

/// Called when the first bytes of a connection have arrived, or when the caller
/// has closed it.
void http_server::state::callerReady(connection_id Id) {
  connection_row *Connection = Connections.find(Id);
  if (Connection && !Connection->Stream)
    adopt(Id);
  else if (Connection && Exchanges.find(Connection->Exchange))
    cutOff(Connection->Exchange);
}

/// Shuts down the connection, so that the next write of libsoup fails and it
/// releases the connection.
void http_server::state::cutOff(http_exchange_id Id) {
  http_exchange_row *Exchange = Exchanges.find(Id);
  if (!Exchange)
    return;
  if (connection_row *Row = Connections.find(Exchange->Connection))
    g_socket_shutdown(Row->Socket.get(), TRUE, TRUE, nullptr);
  SoupServerMessage *Message = Exchange->Message.get();
  if (soup_server_message_get_status(Message) == 0)
    soup_server_message_set_status(Message, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                   nullptr);
  soup_message_body_append(soup_server_message_get_response_body(Message),
                           SOUP_MEMORY_STATIC, " ", 1);
  soup_server_message_unpause(Message);
  bool Ended = Exchange->Ended;
  Exchanges.erase(Id);
  if (!Ended && Events.OnClientGone)
    Events.OnClientGone(Id);
}

void http_server::state::onFinished(SoupServerMessage * /*Message*/,
                                    exchange_context *Context) {
  if (state *Owner = Context->owner())
    Owner->finished(Context->Row);
}

void http_server::state::finished(http_exchange_id Id) {
  http_exchange_row *Exchange = Exchanges.find(Id);
  if (!Exchange)
    return;
  bool Ended = Exchange->Ended;
  connection_row *Row = Connections.find(Exchange->Connection);
  Exchanges.erase(Id);
  if (Row) {
    Row->LastActive = steadyNow();
    Row->BodyBytes = 0;
    account(*Row);
  }
  if (!Ended && Events.OnClientGone)
    Events.OnClientGone(Id);
}

void http_server::state::onWrote(SoupServerMessage * /*Message*/, guint Size,
                                 exchange_context *Context) {
  state *Owner = Context->owner();
  http_exchange_row *Exchange =
      Owner ? Owner->Exchanges.find(Context->Row) : nullptr;
  if (!Exchange)
    return;
  Exchange->Buffered -= std::min<std::size_t>(Exchange->Buffered, Size);
  Exchange->LastTaken = steadyNow();
  Owner->setBuffered(Context->Row);
}

void http_server::state::sweep() {
  time_point Now = steadyNow();
  std::vector<http_exchange_id> Slow;
  std::vector<connection_id> Busy;
  Exchanges.forEach([&](http_exchange_id Id, http_exchange_row &Row) {
    Busy.push_back(Row.Connection);
    if (Row.Buffered > 0 && Now - Row.LastTaken >= Settings.WriteTimeout)
      Slow.push_back(Id);
  });
  for (connection_id Id : Busy)
    if (connection_row *Row = Connections.find(Id))
      Row->LastActive = Now;
  for (http_exchange_id Id : Slow)
    cutOff(Id);
  Budget->enforce(); // For unread answers.
  std::vector<connection_id> Unused;
  Connections.forEach([&](connection_id Id, connection_row &Row) {
    bool SlowRequest =
        Row.ReadingSince && Now - *Row.ReadingSince >= Settings.RequestTimeout;
    // A stopped server keeps connections open only for streams in progress.
    bool Idle = Now - Row.LastActive >=
                (Listener.isOpen() ? Settings.IdleTimeout : SweepInterval);
    if (Idle && !Row.Stream)
      Unused.push_back(Id);
    else if (SlowRequest || Idle)
      g_socket_shutdown(Row.Socket.get(), TRUE, TRUE, nullptr);
  });
  for (connection_id Id : Unused)
    erase(Id);
}

http_server::state::~state() {
  Self.reset(); // Callbacks do nothing from here on.
  Exchanges.forEach([](http_exchange_id, http_exchange_row &Row) {
    soup_server_message_unpause(Row.Message.get());
  });
  if (Server)
    soup_server_disconnect(Server.get());
}

// -- Interface ---------------------------------------------------------------

std::optional<http_server> http_server::create(std::string_view Address,
                                               http_server_settings Settings,
                                               http_server_events Events) {
  auto Listener = listener::open(Address);
  if (!Listener)
    return std::nullopt;
  auto State = std::make_unique<state>();
  state *Raw = State.get();
  Raw->Settings = Settings;
  Raw->Events = std::move(Events);
  Raw->Listener = std::move(*Listener);
  Raw->Budget.emplace(Settings.MaxHeldBytes);
  Raw->Owner = Raw->Budget->addOwner([Raw](std::uint64_t Key) {
    Raw->endForMemory(idOf<connection_row>(Key));
  });
  Raw->Callers = poll_set::create([Raw](std::uint64_t Key) {
    Raw->callerReady(idOf<connection_row>(Key));
  });
  if (!Raw->Callers)
    return std::nullopt;
  Raw->Server = handle<SoupServer>::adopt(
      soup_server_new("server-header", nullptr, nullptr));
  if (!listenForKeepAlive(Raw->Server.get()))
    return fail(error_code::Unavailable, "no socket for kept connections");
  soup_server_add_early_handler(Raw->Server.get(), nullptr, state::onEarly, Raw,
                                nullptr);
  soup_server_add_handler(Raw->Server.get(), nullptr, state::onRequest, Raw,
                          nullptr);
  Raw->Accepting =
      loop_source::onSocket(Raw->Listener.socket(), G_IO_IN, [Raw] {
        Raw->Listener.acceptAll(
            [Raw](handle<GSocket> Socket) { Raw->take(std::move(Socket)); });
        return true;
      });
  Raw->Sweep = loop_source::every(SweepInterval, [Raw] {
    Raw->sweep();
    return true;
  });
  return http_server(std::move(State));
}

http_server::http_server(std::unique_ptr<state> State)
    : State(std::move(State)) {}
http_server::http_server(http_server &&Other) noexcept = default;
http_server &http_server::operator=(http_server &&Other) noexcept = default;
http_server::~http_server() = default;

std::uint16_t http_server::port() const { return State->Listener.port(); }

http_exchange_row *http_server::state::open(http_exchange_id Id) {
  http_exchange_row *Exchange = Exchanges.find(Id);
  if (Exchange && !Exchange->Ended)
    return Exchange;
  fail(error_code::NotFound, "the exchange has ended");
  return nullptr;
}

namespace {

void setHead(SoupServerMessage *Message, int Status,
             const std::vector<http_header> &Headers, bool Last) {
  soup_server_message_set_status(Message, static_cast<guint>(Status), nullptr);
  SoupMessageHeaders *Rows = soup_server_message_get_response_headers(Message);
  if (Last)
    soup_message_headers_replace(Rows, "Connection", "close");
  for (const http_header &Header : Headers)
    soup_message_headers_replace(Rows, Header.Name.c_str(),
                                 Header.Value.c_str());
}

void append(http_exchange_row &Exchange, std::string_view Bytes) {
  if (Bytes.empty())
    return;
  soup_message_body_append(
      soup_server_message_get_response_body(Exchange.Message.get()),
      SOUP_MEMORY_COPY, Bytes.data(), Bytes.size());
  if (Exchange.Buffered == 0)
    Exchange.LastTaken = steadyNow();
  Exchange.Buffered += Bytes.size();
}

} // namespace

bool http_server::respond(http_exchange_id Exchange, int Status,
                          const std::vector<http_header> &Headers,
                          std::string_view Body) {
  http_exchange_row *Row = State->open(Exchange);
  if (!Row)
    return false;
  SoupServerMessage *Message = Row->Message.get();
  setHead(Message, Status, Headers, !State->Listener.isOpen());
  soup_message_headers_set_content_length(
      soup_server_message_get_response_headers(Message),
      static_cast<goffset>(Body.size()));
  append(*Row, Body);
  Row->Ended = true;
  soup_message_body_complete(soup_server_message_get_response_body(Message));
  soup_server_message_unpause(Message);
  State->setBuffered(Exchange);
  return true;
}

bool http_server::beginStream(http_exchange_id Exchange, int Status,
                              const std::vector<http_header> &Headers) {
  http_exchange_row *Row = State->open(Exchange);
  if (!Row)
    return false;
  SoupServerMessage *Message = Row->Message.get();
  setHead(Message, Status, Headers, !State->Listener.isOpen());
  soup_message_headers_set_encoding(
      soup_server_message_get_response_headers(Message), SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(Message), FALSE);
  Row->Streaming = true;
  soup_server_message_unpause(Message);
  return true;
}

bool http_server::writeChunk(http_exchange_id Exchange,
                             std::string_view Bytes) {
  http_exchange_row *Row = State->open(Exchange);
  if (!Row)
    return false;
  if (Row->Buffered + Bytes.size() > State->Settings.MaxBufferedBytes) {
    fail(error_code::Refused, "the caller reads too slowly");
    return false;
  }
  append(*Row, Bytes);
  soup_server_message_unpause(Row->Message.get());
  State->setBuffered(Exchange);
  return true;
}

bool http_server::endStream(http_exchange_id Exchange) {
  http_exchange_row *Row = State->open(Exchange);
  if (!Row)
    return false;
  Row->Ended = true;
  soup_message_body_complete(
      soup_server_message_get_response_body(Row->Message.get()));
  soup_server_message_unpause(Row->Message.get());
  return true;
}

bool http_server::abortStream(http_exchange_id Exchange) {
  http_exchange_row *Row = State->open(Exchange);
  if (!Row)
    return false;
  Row->Ended = true; // The owner aborts it, so OnGone is not called.
  State->cutOff(Exchange);
  return true;
}

std::size_t http_server::bufferedBytes(http_exchange_id Exchange) const {
  const http_exchange_row *Row = State->Exchanges.find(Exchange);
  return Row ? Row->Buffered : 0;
}

void http_server::stopAccepting() {
  State->Accepting.reset();
  State->Listener.close(
      [this](handle<GSocket> Socket) { State->take(std::move(Socket)); });
}

std::size_t http_server::openConnections() const {
  return State->Connections.size();
}

std::size_t http_server::openExchanges() const {
  return State->Exchanges.size();
}

std::size_t http_server::heldBytes() const { return State->Budget->total(); }

std::uint64_t http_server::endedForMemory() const {
  return State->Budget->ended();
}

} // namespace turmerichead
