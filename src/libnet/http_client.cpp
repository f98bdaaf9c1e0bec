#include "turmerichead/net_http.h"

#include "turmerichead/net_loop.h"
#include "turmerichead/table.h"

#include <libsoup/soup.h>

#include <algorithm>
#include <array>
#include <sys/socket.h>

namespace turmerichead {

namespace {

constexpr std::size_t ReadBytes = 32U << 10U;
constexpr int MaxReadsPerTurn = 8;
constexpr int WholeDeadline = 0;
constexpr int FirstByteDeadline = 1;

} // namespace

/// A call that has not ended.
struct http_call_row {
  handle<SoupMessage> Message;
  handle<GCancellable> Cancellable;
  handle<GInputStream> Body;
  handle<GSocket> Socket; ///< Set while the body is read.
  /// Shared, because a receiver may erase the row that it was called from.
  std::shared_ptr<const http_call_events> Events;
  loop_source Failure;
  loop_source Again;  ///< Pending when bytes remain after MaxReadsPerTurn.
  bool Begun = false; ///< Whether the response headers have arrived.
  std::size_t BodyBytes = 0;
  std::size_t MaxBodyBytes = 0;
  int Status = 0;
  bool Sent = false;
};

namespace {

/// User data of an asynchronous libsoup operation. It outlives the client,
/// because a cancelled operation still calls back.
struct call_context {
  std::weak_ptr<http_client::state *> Owner;
  http_call_id Id;
};

} // namespace

struct http_client::state {
  http_client_settings Settings;
  handle<SoupSession> Session;
  table<http_call_row> Calls;
  std::shared_ptr<state *> Self;
  std::array<char, ReadBytes> Buffer;
  std::optional<poll_set> Sockets;
  deadline_queue Deadlines;

  state();
  ~state();
  void due(std::uint64_t Key, int Kind);
  void start(http_call_id Id, const http_request &Request);
  void begin(http_call_id Id);
  bool read(http_call_id Id);
  void end(http_call_id Id, error_code Code, std::string Text);
  void drop(http_call_id Id);
  void stopReading(const http_call_row &Call);

  static void onStarting(SoupMessage *Message, call_context *Context);
  static void onRestarted(SoupMessage *Message, call_context *Context);
  static void onSent(GObject *Source, GAsyncResult *Result, gpointer Data);
};

namespace {

/// Returns the client of \p Context, or nullptr if it has been destroyed.
http_client::state *ownerOf(const call_context &Context) {
  auto Owner = Context.Owner.lock();
  return Owner ? *Owner : nullptr;
}

void freeContext(gpointer Data, GClosure * /*Closure*/) {
  delete static_cast<call_context *>(Data);
}

error_code codeOf(const GError *Error) {
  if (g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
    return error_code::Timeout;
  return error_code::Unavailable;
}

} // namespace

http_client::state::state()
    : Deadlines([this](std::uint64_t Key, int Kind) { due(Key, Kind); }) {}

void http_client::state::due(std::uint64_t Key, int Kind) {
  auto Id = idOf<http_call_row>(Key);
  http_call_row *Call = Calls.find(Id);
  if (Call && Kind == WholeDeadline)
    end(Id, error_code::Timeout, "the call took too long");
  else if (Call && !Call->Begun)
    end(Id, error_code::Timeout, "the response did not begin in time");
}

// -- Calls ------------------------------------------------------

void http_client::state::start(http_call_id Id, const http_request &Request) {
  http_call_row &Call = *Calls.find(Id);
  SoupMessage *Message = Call.Message.get();
  // libsoup opens a new connection for every request without the idempotent
  // flag. The flag is only set to reuse connections: onRestarted() prevents
  // libsoup from sending a request twice.
  unsigned Flags = SOUP_MESSAGE_NO_REDIRECT;
  Flags |= Request.FreshConnection ? SOUP_MESSAGE_NEW_CONNECTION
                                   : SOUP_MESSAGE_IDEMPOTENT;
  soup_message_set_flags(Message, static_cast<SoupMessageFlags>(Flags));
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  for (const http_header &Header : Request.Headers)
    soup_message_headers_replace(Headers, Header.Name.c_str(),
                                 Header.Value.c_str());
  if (!Request.Body.empty()) {
    GBytes *Body = g_bytes_new(Request.Body.data(), Request.Body.size());
    soup_message_set_request_body_from_bytes(Message,
                                             Request.ContentType.c_str(), Body);
    g_bytes_unref(Body);
  }
  for (auto [Signal, Handler] :
       {std::pair("starting", G_CALLBACK(onStarting)),
        std::pair("restarted", G_CALLBACK(onRestarted))})
    g_signal_connect_data(Message, Signal, Handler, new call_context{Self, Id},
                          freeContext, static_cast<GConnectFlags>(0));
  if (Request.Timeout.count() > 0)
    Deadlines.add(Request.Timeout, keyOf(Id), WholeDeadline);
  if (Request.FirstByteTimeout.count() > 0)
    Deadlines.add(Request.FirstByteTimeout, keyOf(Id), FirstByteDeadline);
  soup_session_send_async(Session.get(), Message, G_PRIORITY_DEFAULT,
                          Call.Cancellable.get(), onSent,
                          new call_context{Self, Id});
}

void http_client::state::onStarting(SoupMessage * /*Message*/,
                                    call_context *Context) {
  state *Owner = ownerOf(*Context);
  http_call_row *Call = Owner ? Owner->Calls.find(Context->Id) : nullptr;
  if (Call)
    Call->Sent = true;
}

/// Called when libsoup is about to retry an idempotent request because a reused
/// connection was lost. Cancels the retry: only the caller knows whether it is
/// safe.
void http_client::state::onRestarted(SoupMessage * /*Message*/,
                                     call_context *Context) {
  state *Owner = ownerOf(*Context);
  http_call_row *Call = Owner ? Owner->Calls.find(Context->Id) : nullptr;
  if (Call)
    g_cancellable_cancel(Call->Cancellable.get());
}

void http_client::state::onSent(GObject *Source, GAsyncResult *Result,
                                gpointer Data) {
  std::unique_ptr<call_context> Context(static_cast<call_context *>(Data));
  GError *Error = nullptr;
  auto Body = handle<GInputStream>::adopt(
      soup_session_send_finish(SOUP_SESSION(Source), Result, &Error));
  state *Owner = ownerOf(*Context);
  http_call_row *Call = Owner ? Owner->Calls.find(Context->Id) : nullptr;
  if (!Call) {
    g_clear_error(&Error);
    return;
  }
  if (!Body) {
    error_code Code = codeOf(Error);
    Owner->end(Context->Id, Code, takeText(Error));
    return;
  }
  Call->Body = std::move(Body);
  Owner->begin(Context->Id);
}

namespace {

/// Returns the socket that a response stream reads from, or an empty handle.
handle<GSocket> socketBelow(GInputStream *Stream) {
  while (G_IS_FILTER_INPUT_STREAM(Stream))
    Stream =
        g_filter_input_stream_get_base_stream(G_FILTER_INPUT_STREAM(Stream));
  if (!g_object_class_find_property(G_OBJECT_GET_CLASS(Stream), "socket"))
    return {};
  GSocket *Socket = nullptr;
  g_object_get(Stream, "socket", &Socket, nullptr);
  return handle<GSocket>::adopt(Socket);
}

bool isChunked(SoupMessage *Message) {
  return soup_message_headers_get_encoding(soup_message_get_response_headers(
             Message)) == SOUP_ENCODING_CHUNKED;
}

/// Returns whether the response has a status line only. libsoup reports a
/// connection that closes there as the end of the head.
bool lacksHeaders(SoupMessage *Message) {
  SoupMessageHeadersIter Iter;
  soup_message_headers_iter_init(&Iter,
                                 soup_message_get_response_headers(Message));
  const char *Name = nullptr;
  const char *Value = nullptr;
  return soup_message_headers_iter_next(&Iter, &Name, &Value) == FALSE;
}

/// Returns whether a chunked body was truncated. libsoup reports a connection
/// that closes between two chunks as the end of the body. After a complete body
/// the connection stays open, unless the response has "Connection: close".
bool isCutChunked(const http_call_row &Call) {
  bool MayClose = soup_message_is_keepalive(Call.Message.get()) == FALSE;
  if (MayClose || !isChunked(Call.Message.get()))
    return false;
  char Byte = 0;
  ssize_t Count = recv(g_socket_get_fd(Call.Socket.get()), &Byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR);
}

} // namespace

void http_client::state::begin(http_call_id Id) {
  http_call_row &Call = *Calls.find(Id);
  if (lacksHeaders(Call.Message.get())) {
    end(Id, error_code::Unavailable, "the head of the response was cut off");
    return;
  }
  Call.Begun = true;
  Call.Status = static_cast<int>(soup_message_get_status(Call.Message.get()));
  auto Message = Call.Message;
  auto Events = Call.Events;
  if (Events->OnHeaders)
    Events->OnHeaders(
        Call.Status,
        [&](std::string_view Name) -> std::optional<std::string_view> {
          const char *Value = soup_message_headers_get_one(
              soup_message_get_response_headers(Message.get()),
              std::string(Name).c_str());
          if (!Value)
            return std::nullopt;
          return Value;
        });
  http_call_row *Row = Calls.find(Id);
  if (!Row)
    return;
  Row->Socket = socketBelow(Row->Body.get());
  // libsoup may have buffered part of the body, which does not make the socket
  // readable.
  if (read(Id) && (Row = Calls.find(Id)))
    Sockets->add(g_socket_get_fd(Row->Socket.get()),
                 poll_set::interest::Readable, keyOf(Id));
}

/// Reads the available part of the body. Returns false if the call has ended.
bool http_client::state::read(http_call_id Id) {
  for (int Round = 0; Round < MaxReadsPerTurn; ++Round) {
    http_call_row *Call = Calls.find(Id);
    if (!Call)
      return false;
    GError *Error = nullptr;
    gssize Count = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(Call->Body.get()), Buffer.data(), Buffer.size(),
        nullptr, &Error);
    if (g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
      g_error_free(Error);
      return true;
    }
    if (Count < 0) {
      error_code Code = codeOf(Error);
      end(Id, Code, takeText(Error));
      return false;
    }
    if (Count == 0) {
      if (isCutChunked(*Call))
        end(Id, error_code::Unavailable, "the response was cut off");
      else
        end(Id, error_code::None, {});
      return false;
    }
    Call->BodyBytes += static_cast<std::size_t>(Count);
    if (Call->BodyBytes > Call->MaxBodyBytes) {
      end(Id, error_code::Refused, "the response is over the limit");
      return false;
    }
    auto Events = Call->Events;
    if (Events->OnChunk)
      Events->OnChunk({Buffer.data(), static_cast<std::size_t>(Count)});
  }
  if (http_call_row *Call = Calls.find(Id))
    Call->Again = loop_source::soon([this, Id] {
      read(Id);
      return false;
    });
  return true;
}

void http_client::state::end(http_call_id Id, error_code Code,
                             std::string Text) {
  http_call_row *Call = Calls.find(Id);
  if (!Call)
    return;
  auto Events = Call->Events;
  http_result Result{Code, std::move(Text), Call->Status, Call->Sent};
  stopReading(*Call);
  if (Code == error_code::None)
    Calls.erase(Id);
  else
    drop(Id);
  if (Events->OnEnd)
    Events->OnEnd(Result);
}

void http_client::state::stopReading(const http_call_row &Call) {
  if (Call.Socket && !g_socket_is_closed(Call.Socket.get()))
    Sockets->remove(g_socket_get_fd(Call.Socket.get()));
}

/// Removes a call whose response was not read completely, and closes its
/// connection.
void http_client::state::drop(http_call_id Id) {
  http_call_row *Call = Calls.find(Id);
  stopReading(*Call);
  auto Cancellable = Call->Cancellable;
  auto Body = Call->Body;
  Calls.erase(Id);
  g_cancellable_cancel(Cancellable.get());
  if (Body)
    g_input_stream_close(Body.get(), nullptr, nullptr);
}

http_client::state::~state() {
  Self.reset();
  Calls.forEach([](http_call_id, http_call_row &Call) {
    g_cancellable_cancel(Call.Cancellable.get());
  });
  if (Session)
    soup_session_abort(Session.get());
}

// -- Interface ---------------------------------------------------------------

std::optional<http_client> http_client::create(http_client_settings Settings) {
  auto State = std::make_unique<state>();
  State->Settings = Settings;
  State->Self = std::make_shared<state *>(State.get());
  State->Sockets = poll_set::create([Raw = State.get()](std::uint64_t Key) {
    Raw->read(idOf<http_call_row>(Key));
  });
  if (!State->Sockets)
    return std::nullopt;
  State->Session = handle<SoupSession>::adopt(soup_session_new_with_options(
      "max-conns", static_cast<int>(Settings.MaxTotal), "max-conns-per-host",
      static_cast<int>(Settings.MaxPerHost), "idle-timeout",
      static_cast<guint>(
          std::max<std::int64_t>(Settings.IdleTimeout.count() / 1000, 1)),
      "timeout", 0U, nullptr));
  soup_session_set_proxy_resolver(State->Session.get(), nullptr);
  soup_session_remove_feature_by_type(State->Session.get(),
                                      SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(State->Session.get(),
                                      SOUP_TYPE_AUTH_MANAGER);
  return http_client(std::move(State));
}

http_client::http_client(std::unique_ptr<state> State)
    : State(std::move(State)) {}
http_client::http_client(http_client &&Other) noexcept = default;
http_client &http_client::operator=(http_client &&Other) noexcept = default;
http_client::~http_client() = default;

http_call_id http_client::send(const http_request &Request,
                               http_call_events Events) {
  http_call_row Row;
  Row.Events = std::make_shared<const http_call_events>(std::move(Events));
  Row.MaxBodyBytes = Request.MaxBodyBytes > 0 ? Request.MaxBodyBytes
                                              : State->Settings.MaxBodyBytes;
  Row.Cancellable = handle<GCancellable>::adopt(g_cancellable_new());
  Row.Message = handle<SoupMessage>::adopt(
      soup_message_new(Request.Method.c_str(), Request.Url.c_str()));
  bool IsValid = static_cast<bool>(Row.Message);
  http_call_id Id = State->Calls.insert(std::move(Row));
  if (IsValid) {
    State->start(Id, Request);
    return Id;
  }
  state *Raw = State.get();
  Raw->Calls.find(Id)->Failure = loop_source::soon([Raw, Id] {
    Raw->end(Id, error_code::InvalidInput, "the URL does not parse");
    return false;
  });
  return Id;
}

bool http_client::cancel(http_call_id Id) {
  if (!State->Calls.find(Id))
    return false;
  State->drop(Id);
  return true;
}

std::size_t http_client::openCalls() const { return State->Calls.size(); }

} // namespace turmerichead
