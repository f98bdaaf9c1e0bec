#include "peer_transport_pvt.h"

#include "turmerichead/hash.h"
#include "turmerichead/log.h"
#include "turmerichead/log_limiter.h"
#include "turmerichead/table.h"

#include <msgpack.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace turmerichead {

using namespace pvt;

namespace {

constexpr std::size_t MaxStatusTextBytes = 1024;
constexpr std::size_t CompactBytes = 64U << 10U;
// Connections that have not proved the key, and requests on each of them. A
// handshake takes two requests, one after the other, and less than a second.
constexpr std::size_t MaxUnproved = 64;
constexpr std::size_t MaxUnprovedStreams = 4;

struct accepted_row;
using accepted_id = typed_id<std::unique_ptr<accepted_row>>;

struct session_context {
  peer_server::state *Owner = nullptr;
  accepted_id Connection;
};

/// The place of a stream whose memory is counted.
struct counted_stream {
  accepted_id Connection;
  std::int32_t Http2Id = 0;
  memory_holder_id Memory;
};
using counted_id = typed_id<counted_stream>;

/// One request and its response.
struct server_stream {
  peer_reply_id Reply; ///< Stale once the handler has ended the response.
  std::string Path;
  std::vector<peer_header> Headers;
  std::string Body;
  std::size_t HeaderBytes = 0;
  std::string Output;
  std::size_t OutputSent = 0;
  bool Responding = false;
  bool Ended = false;
  bool Reset = false; ///< Refused or ended; the rest of it is ignored.
  counted_id Counted; ///< Unset without a budget.

  std::size_t heldBytes() const {
    return Headers.size() * sizeof(peer_header) +
           (Headers.empty() ? 0 : HeaderBytes) + Body.capacity() +
           Output.capacity();
  }
};

enum class proof_phase { Nothing, Greeted, Proved };

/// A connection from another host.
struct accepted_row {
  session_context Context;
  proof_phase Phase = proof_phase::Nothing;
  time_point AcceptedAt;
  handshake Shake;
  loop_source Deadline;
  std::unordered_map<std::int32_t, server_stream> Streams;
  std::unique_ptr<peer_transport> Transport;
};

/// Adapts a string to the buffer interface of msgpack.
struct string_sink {
  std::string &Text;
  void write(const char *Bytes, std::size_t Length) {
    Text.append(Bytes, Length);
  }
};

std::string_view textOf(const std::uint8_t *Bytes, std::size_t Length) {
  return {reinterpret_cast<const char *>(Bytes), Length};
}

std::string_view valueOf(const std::vector<peer_header> &Headers,
                         std::string_view Name) {
  for (const peer_header &Header : Headers)
    if (Header.Name == Name)
      return Header.Value;
  return {};
}

} // namespace

/// A response that has not been ended.
struct peer_reply_row {
  accepted_id Connection;
  std::int32_t Http2Id = 0;
};

struct peer_server::state {
  peer_settings Settings;
  std::string SharedKey;
  peer_server_events Events;
  peer_counters Counters;
  listener Listener;
  loop_source Accepting;
  table<std::unique_ptr<accepted_row>> Connections;
  table<peer_reply_row> Replies;
  memory_budget *Budget = nullptr;
  memory_owner_id Owner;
  table<counted_stream> CountedStreams;
  loop_source Enforcing;
  log_limiter LogLimiter;

  state() = default;
  ~state();
  state(const state &) = delete;
  state &operator=(const state &) = delete;

  accepted_row *find(accepted_id Id) {
    auto *Row = Connections.find(Id);
    return Row ? Row->get() : nullptr;
  }

  void take(handle<GSocket> Socket);
  void lose(accepted_id Id);
  void limitUnproved();
  session_handle newSession(accepted_row &Connection);
  void requestRead(accepted_row &Connection, std::int32_t Http2Id);
  void greet(accepted_row &Connection, std::int32_t Http2Id,
             const server_stream &Stream);
  void prove(accepted_row &Connection, std::int32_t Http2Id,
             const server_stream &Stream);
  void refuse(accepted_row &Connection, std::int32_t Http2Id);
  void dispatch(accepted_row &Connection, std::int32_t Http2Id);
  server_stream *streamOf(peer_reply_id Reply, accepted_row *&Connection);
  void account(accepted_row &Connection, std::int32_t Http2Id,
               server_stream &Stream);
  void release(const server_stream &Stream);
  void endForMemory(counted_id Id);
  static void resume(accepted_row &Connection, std::int32_t Http2Id,
                     server_stream &Stream);

  static int onBeginHeaders(nghttp2_session *Session,
                            const nghttp2_frame *Frame, void *User);
  static int onHeader(nghttp2_session *Session, const nghttp2_frame *Frame,
                      const std::uint8_t *Name, std::size_t NameLength,
                      const std::uint8_t *Value, std::size_t ValueLength,
                      std::uint8_t Flags, void *User);
  static int onData(nghttp2_session *Session, std::uint8_t Flags,
                    std::int32_t Http2Id, const std::uint8_t *Bytes,
                    std::size_t Length, void *User);
  static int onFrameReceived(nghttp2_session *Session,
                             const nghttp2_frame *Frame, void *User);
  static int onStreamClosed(nghttp2_session *Session, std::int32_t Http2Id,
                            std::uint32_t Reason, void *User);
  static ssize_t readOutput(nghttp2_session *Session, std::int32_t Http2Id,
                            std::uint8_t *Buffer, std::size_t Length,
                            std::uint32_t *Flags, nghttp2_data_source *Source,
                            void *User);
};

namespace {

session_context &contextOf(void *User) {
  return *static_cast<session_context *>(User);
}

accepted_row &connectionOf(void *User) {
  session_context &Context = contextOf(User);
  return *Context.Owner->find(Context.Connection);
}

void respondEmpty(accepted_row &Connection, std::int32_t Http2Id,
                  header_list &Headers) {
  nghttp2_submit_response(Connection.Transport->session(), Http2Id,
                          Headers.data(), Headers.size(), nullptr);
}

} // namespace

std::string_view peer_request_view::header(std::string_view Name) const {
  return valueOf(*Headers, Name);
}

// -- Connections -------------------------------------------------------------

void peer_server::state::take(handle<GSocket> Socket) {
  if (Connections.size() >= Settings.MaxConnections)
    return; // The handle closes the connection.
  limitUnproved();
  accepted_id Id = Connections.insert(std::make_unique<accepted_row>());
  accepted_row &Connection = *find(Id);
  Connection.AcceptedAt = steadyNow();
  Connection.Context = {this, Id};
  Connection.Transport = std::make_unique<peer_transport>(
      std::move(Socket), newSession(Connection), Settings, Counters,
      peer_transport::events{
          .OnLost = [this, Id](const std::string &) { lose(Id); },
          .IsBusy = [&Connection] { return !Connection.Streams.empty(); }});
  Connection.Deadline =
      loop_source::every(Settings.HandshakeTimeout, [this, Id] {
        ++Counters.HandshakesRefused;
        lose(Id);
        return false;
      });
  submitLinkSettings(Connection.Transport->session(), Settings);
  Connection.Transport->scheduleFlush();
}

// Closes the oldest connection without a proof if there are too many of them.
void peer_server::state::limitUnproved() {
  std::size_t Count = 0;
  std::optional<accepted_id> Oldest;
  time_point Since;
  Connections.forEach([&](accepted_id Id, auto &Row) {
    if (Row->Phase == proof_phase::Proved)
      return;
    ++Count;
    if (Oldest && Row->AcceptedAt >= Since)
      return;
    Oldest = Id;
    Since = Row->AcceptedAt;
  });
  if (Count < MaxUnproved)
    return;
  ++Counters.HandshakesRefused;
  lose(*Oldest);
}

void peer_server::state::lose(accepted_id Id) {
  if (!find(Id))
    return;
  std::unique_ptr<accepted_row> Connection = std::move(*Connections.find(Id));
  Connections.erase(Id);
  if (Connection->Phase == proof_phase::Proved)
    ++Counters.LinksLost;
  for (const auto &[Http2Id, Stream] : Connection->Streams)
    release(Stream);
  for (const auto &[Http2Id, Stream] : Connection->Streams)
    if (Replies.erase(Stream.Reply) && Events.OnGone)
      Events.OnGone(Stream.Reply);
}

// -- Handshake ---------------------------------------------------------------

void peer_server::state::greet(accepted_row &Connection, std::int32_t Http2Id,
                               const server_stream &Stream) {
  Connection.Phase = proof_phase::Greeted;
  Connection.Shake = {
      std::string(valueOf(Stream.Headers, HostHeader)), Settings.Host,
      std::string(valueOf(Stream.Headers, NonceHeader)), newNonce()};
  std::string Proof = Connection.Shake.serverProof(SharedKey);
  header_list Headers;
  Headers.add(":status", "200");
  Headers.add(NonceHeader, Connection.Shake.ServerNonce);
  Headers.add(ProofHeader, Proof);
  respondEmpty(Connection, Http2Id, Headers);
}

void peer_server::state::prove(accepted_row &Connection, std::int32_t Http2Id,
                               const server_stream &Stream) {
  std::string Expected = Connection.Shake.clientProof(SharedKey);
  if (!equalConstantTime(Expected, valueOf(Stream.Headers, ProofHeader))) {
    refuse(Connection, Http2Id);
    return;
  }
  Connection.Phase = proof_phase::Proved;
  Connection.Deadline.reset();
  header_list Headers;
  Headers.add(":status", "200");
  respondEmpty(Connection, Http2Id, Headers);
}

/// Responds and closes the connection, so that every guess of the key requires
/// a new connection.
void peer_server::state::refuse(accepted_row &Connection,
                                std::int32_t Http2Id) {
  ++Counters.HandshakesRefused;
  Connection.Phase = proof_phase::Nothing;
  header_list Headers;
  Headers.add(":status", "401");
  respondEmpty(Connection, Http2Id, Headers);
  nghttp2_session_terminate_session(Connection.Transport->session(),
                                    NGHTTP2_NO_ERROR);
}

// -- Requests ----------------------------------------------------------------

void peer_server::state::requestRead(accepted_row &Connection,
                                     std::int32_t Http2Id) {
  server_stream &Stream = Connection.Streams.at(Http2Id);
  if (Connection.Phase == proof_phase::Proved)
    dispatch(Connection, Http2Id);
  else if (Connection.Phase == proof_phase::Nothing && Stream.Path == HelloPath)
    greet(Connection, Http2Id, Stream);
  else if (Connection.Phase == proof_phase::Greeted && Stream.Path == ProvePath)
    prove(Connection, Http2Id, Stream);
  else
    refuse(Connection, Http2Id);
}

void peer_server::state::dispatch(accepted_row &Connection,
                                  std::int32_t Http2Id) {
  if (!Listener.isOpen()) {
    nghttp2_submit_rst_stream(Connection.Transport->session(),
                              NGHTTP2_FLAG_NONE, Http2Id,
                              NGHTTP2_REFUSED_STREAM);
    return;
  }
  ++Counters.Requests;
  server_stream &Stream = Connection.Streams.at(Http2Id);
  Stream.Reply = Replies.insert({Connection.Context.Connection, Http2Id});
  // Moved out of the row, because the handler may erase it while it uses views.
  std::string Path = std::move(Stream.Path);
  std::string Body = std::move(Stream.Body);
  auto Headers = std::move(Stream.Headers);
  account(Connection, Http2Id, Stream);
  std::string Host = Connection.Shake.ClientHost;
  Events.OnRequest({Stream.Reply, Host, Path, Body, &Headers});
}

server_stream *peer_server::state::streamOf(peer_reply_id Reply,
                                            accepted_row *&Connection) {
  peer_reply_row *Row = Replies.find(Reply);
  if (!Row) {
    fail(error_code::NotFound, "the asker has gone");
    return nullptr;
  }
  Connection = find(Row->Connection);
  return &Connection->Streams.at(Row->Http2Id);
}

void peer_server::state::resume(accepted_row &Connection, std::int32_t Http2Id,
                                server_stream &Stream) {
  nghttp2_session *Session = Connection.Transport->session();
  if (Stream.Responding) {
    nghttp2_session_resume_data(Session, Http2Id);
  } else {
    Stream.Responding = true;
    header_list Headers;
    Headers.add(":status", "200");
    nghttp2_data_provider Provider{};
    Provider.read_callback = readOutput;
    nghttp2_submit_response(Session, Http2Id, Headers.data(), Headers.size(),
                            &Provider);
  }
  Connection.Transport->scheduleFlush();
}

// -- Memory ------------------------------------------------------------------

peer_server::state::~state() {
  if (Budget)
    Budget->removeOwner(Owner);
}

// Counts what the stream holds. The budget is enforced in the next loop
// iteration, as this may be called inside a callback of the session.
void peer_server::state::account(accepted_row &Connection, std::int32_t Http2Id,
                                 server_stream &Stream) {
  if (!Budget)
    return;
  if (!Stream.Counted) {
    accepted_id Id = Connection.Context.Connection;
    Stream.Counted = CountedStreams.insert({Id, Http2Id, {}});
    CountedStreams.find(Stream.Counted)->Memory =
        Budget->add(Owner, keyOf(Stream.Counted));
  }
  bool IsRequest = !Stream.Reply && !Stream.Responding;
  Budget->set(CountedStreams.find(Stream.Counted)->Memory,
              IsRequest ? memory_rank::Request : memory_rank::Answer,
              Stream.heldBytes(), steadyNow());
  if (Enforcing || Budget->hasRoomFor(0))
    return;
  Enforcing = loop_source::soon([this] {
    Enforcing.reset();
    Budget->enforce();
    return false;
  });
}

void peer_server::state::release(const server_stream &Stream) {
  counted_stream *Row = CountedStreams.find(Stream.Counted);
  if (!Row)
    return;
  Budget->release(Row->Memory);
  CountedStreams.erase(Stream.Counted);
}

// A request that is not complete has not run and is refused as such. A response
// ends without its end record, so that it does not look complete.
void peer_server::state::endForMemory(counted_id Id) {
  const counted_stream &Row = *CountedStreams.find(Id);
  accepted_row &Connection = *find(Row.Connection);
  server_stream &Stream = Connection.Streams.at(Row.Http2Id);
  bool HasRun = static_cast<bool>(Stream.Reply);
  Stream.Reset = true;
  Stream.Headers = {};
  Stream.Body = {};
  Stream.Output = {};
  Stream.OutputSent = 0;
  nghttp2_submit_rst_stream(Connection.Transport->session(), NGHTTP2_FLAG_NONE,
                            Row.Http2Id,
                            HasRun ? NGHTTP2_CANCEL : NGHTTP2_REFUSED_STREAM);
  Connection.Transport->scheduleFlush();
  ++Counters.EndedForMemory;
  if (LogLimiter.allows(steadyNow()))
    log::warn("stream of a host ended", {{"reason", "memory"},
                                         {"host", Connection.Shake.ClientHost},
                                         {"ended", Counters.EndedForMemory},
                                         {"held_bytes", Budget->total()}});
}

// -- Callbacks of the session ------------------------------------------------

session_handle peer_server::state::newSession(accepted_row &Connection) {
  callbacks_handle Callbacks = newCallbacks();
  auto *Set = Callbacks.get();
  nghttp2_session_callbacks_set_on_begin_headers_callback(Set, onBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(Set, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Set, onData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Set, onFrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(Set, onStreamClosed);
  nghttp2_session *Session = nullptr;
  nghttp2_session_server_new(&Session, Set, &Connection.Context);
  return session_handle(Session);
}

int peer_server::state::onBeginHeaders(nghttp2_session * /*Session*/,
                                       const nghttp2_frame *Frame, void *User) {
  if (Frame->hd.type != NGHTTP2_HEADERS ||
      Frame->headers.cat != NGHTTP2_HCAT_REQUEST)
    return 0;
  accepted_row &Connection = connectionOf(User);
  bool IsProved = Connection.Phase == proof_phase::Proved;
  if (!IsProved && Connection.Streams.size() >= MaxUnprovedStreams)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Connection.Streams.try_emplace(Frame->hd.stream_id);
  return 0;
}

int peer_server::state::onHeader(
    nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
    const std::uint8_t *Name, std::size_t NameLength, const std::uint8_t *Value,
    std::size_t ValueLength, std::uint8_t /*Flags*/, void *User) {
  accepted_row &Connection = connectionOf(User);
  auto Found = Connection.Streams.find(Frame->hd.stream_id);
  if (Found == Connection.Streams.end())
    return 0;
  server_stream &Stream = Found->second;
  Stream.HeaderBytes += NameLength + ValueLength;
  if (Stream.HeaderBytes > contextOf(User).Owner->Settings.MaxHeaderBytes) {
    nghttp2_submit_rst_stream(Connection.Transport->session(),
                              NGHTTP2_FLAG_NONE, Frame->hd.stream_id,
                              NGHTTP2_REFUSED_STREAM);
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  std::string_view Key = textOf(Name, NameLength);
  std::string_view Text = textOf(Value, ValueLength);
  if (Key == ":path")
    Stream.Path = Text;
  else if (!Key.starts_with(':'))
    Stream.Headers.push_back({std::string(Key), std::string(Text)});
  return 0;
}

int peer_server::state::onData(nghttp2_session * /*Session*/,
                               std::uint8_t /*Flags*/, std::int32_t Http2Id,
                               const std::uint8_t *Bytes, std::size_t Length,
                               void *User) {
  accepted_row &Connection = connectionOf(User);
  auto Found = Connection.Streams.find(Http2Id);
  if (Found == Connection.Streams.end() || Found->second.Reset)
    return 0;
  std::size_t Limit = Connection.Phase == proof_phase::Proved
                          ? contextOf(User).Owner->Settings.MaxMessageBytes
                          : 0;
  std::string &Body = Found->second.Body;
  if (Body.size() + Length <= Limit) {
    Body.append(textOf(Bytes, Length));
    contextOf(User).Owner->account(Connection, Http2Id, Found->second);
    return 0;
  }
  Body = {};
  Found->second.Reset = true;
  nghttp2_submit_rst_stream(Connection.Transport->session(), NGHTTP2_FLAG_NONE,
                            Http2Id, NGHTTP2_REFUSED_STREAM);
  contextOf(User).Owner->account(Connection, Http2Id, Found->second);
  return 0;
}

int peer_server::state::onFrameReceived(nghttp2_session * /*Session*/,
                                        const nghttp2_frame *Frame,
                                        void *User) {
  std::int32_t Http2Id = Frame->hd.stream_id;
  if (Frame->hd.type != NGHTTP2_DATA && Frame->hd.type != NGHTTP2_HEADERS)
    return 0;
  accepted_row &Connection = connectionOf(User);
  auto Found = Connection.Streams.find(Http2Id);
  if (Found == Connection.Streams.end() || Found->second.Reset)
    return 0;
  state &Owner = *contextOf(User).Owner;
  if ((Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0)
    Owner.requestRead(Connection, Http2Id);
  else if (Frame->hd.type == NGHTTP2_HEADERS)
    Owner.account(Connection, Http2Id, Found->second);
  return 0;
}

int peer_server::state::onStreamClosed(nghttp2_session * /*Session*/,
                                       std::int32_t Http2Id,
                                       std::uint32_t /*Reason*/, void *User) {
  session_context &Context = contextOf(User);
  accepted_row *Connection = Context.Owner->find(Context.Connection);
  if (!Connection)
    return 0; // The session is being destroyed.
  auto Found = Connection->Streams.find(Http2Id);
  if (Found == Connection->Streams.end())
    return 0;
  peer_reply_id Reply = Found->second.Reply;
  state &Owner = *Context.Owner;
  Owner.release(Found->second);
  Connection->Streams.erase(Found);
  if (Owner.Replies.erase(Reply) && Owner.Events.OnGone)
    Owner.Events.OnGone(Reply);
  return 0;
}

ssize_t peer_server::state::readOutput(nghttp2_session * /*Session*/,
                                       std::int32_t Http2Id,
                                       std::uint8_t *Buffer, std::size_t Length,
                                       std::uint32_t *Flags,
                                       nghttp2_data_source * /*Source*/,
                                       void *User) {
  auto &Streams = connectionOf(User).Streams;
  auto Found = Streams.find(Http2Id);
  if (Found == Streams.end())
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  server_stream &Stream = Found->second;
  std::size_t Count =
      std::min(Length, Stream.Output.size() - Stream.OutputSent);
  std::copy_n(Stream.Output.data() + Stream.OutputSent, Count, Buffer);
  Stream.OutputSent += Count;
  if (Stream.OutputSent == Stream.Output.size()) {
    Stream.Output.clear();
    if (Stream.Output.capacity() > CompactBytes)
      Stream.Output.shrink_to_fit();
    Stream.OutputSent = 0;
    contextOf(User).Owner->account(connectionOf(User), Http2Id, Stream);
    if (Stream.Ended)
      *Flags |= NGHTTP2_DATA_FLAG_EOF;
    else if (Count == 0)
      return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(Count);
}

// -- Interface ---------------------------------------------------------------

std::optional<peer_server> peer_server::create(std::string_view Address,
                                               peer_settings Settings,
                                               std::string SharedKey,
                                               peer_server_events Events,
                                               memory_budget *Budget) {
  if (SharedKey.empty())
    return fail(error_code::InvalidInput, "the shared key is empty");
  if (Settings.Host.empty())
    return fail(error_code::InvalidInput, "the host has no name");
  auto Listener = listener::open(Address);
  if (!Listener)
    return std::nullopt;
  auto State = std::make_unique<state>();
  State->Settings = std::move(Settings);
  State->SharedKey = std::move(SharedKey);
  State->Events = std::move(Events);
  State->Budget = Budget;
  if (Budget)
    State->Owner = Budget->addOwner([Raw = State.get()](std::uint64_t Key) {
      Raw->endForMemory(idOf<counted_stream>(Key));
    });
  State->Listener = std::move(*Listener);
  State->Accepting = loop_source::onSocket(
      State->Listener.socket(), G_IO_IN, [Raw = State.get()] {
        Raw->Listener.acceptAll(
            [Raw](handle<GSocket> Socket) { Raw->take(std::move(Socket)); });
        return true;
      });
  return peer_server(std::move(State));
}

peer_server::peer_server(std::unique_ptr<state> State)
    : State(std::move(State)) {}
peer_server::peer_server(peer_server &&Other) noexcept = default;
peer_server &peer_server::operator=(peer_server &&Other) noexcept = default;
peer_server::~peer_server() = default;

std::uint16_t peer_server::port() const { return State->Listener.port(); }

bool peer_server::write(peer_reply_id Reply, std::string_view Message) {
  accepted_row *Connection = nullptr;
  server_stream *Stream = State->streamOf(Reply, Connection);
  if (!Stream)
    return false;
  std::size_t Waiting = Stream->Output.size() - Stream->OutputSent;
  if (Stream->Reset) {
    fail(error_code::Refused, "the response was ended for its memory");
    return false;
  }
  if (Waiting + Message.size() > State->Settings.MaxBufferedBytes) {
    fail(error_code::Refused, "the asker reads too slowly");
    return false;
  }
  if (Stream->OutputSent >= CompactBytes &&
      Stream->OutputSent * 2 >= Stream->Output.size()) {
    Stream->Output.erase(0, Stream->OutputSent);
    Stream->OutputSent = 0;
  }
  string_sink Sink{Stream->Output};
  msgpack::packer<string_sink> Packer(Sink);
  Packer.pack_bin(static_cast<std::uint32_t>(Message.size()));
  Packer.pack_bin_body(Message.data(),
                       static_cast<std::uint32_t>(Message.size()));
  State->account(*Connection, State->Replies.find(Reply)->Http2Id, *Stream);
  state::resume(*Connection, State->Replies.find(Reply)->Http2Id, *Stream);
  return true;
}

bool peer_server::end(peer_reply_id Reply, peer_status Status) {
  accepted_row *Connection = nullptr;
  server_stream *Stream = State->streamOf(Reply, Connection);
  if (!Stream)
    return false;
  if (Stream->Reset) {
    State->Replies.erase(Reply);
    return false;
  }
  Status.Text.resize(std::min(Status.Text.size(), MaxStatusTextBytes));
  string_sink Sink{Stream->Output};
  msgpack::packer<string_sink> Packer(Sink);
  Packer.pack_array(2);
  Packer.pack(static_cast<unsigned>(Status.Code));
  Packer.pack(Status.Text);
  Stream->Ended = true;
  state::resume(*Connection, State->Replies.find(Reply)->Http2Id, *Stream);
  State->Replies.erase(Reply);
  return true;
}

void peer_server::stopAccepting() {
  if (!State->Listener.isOpen())
    return;
  State->Accepting.reset();
  State->Listener.close(
      [this](handle<GSocket> Socket) { State->take(std::move(Socket)); });
  State->Connections.forEach([](accepted_id, auto &Connection) {
    nghttp2_session *Session = Connection->Transport->session();
    nghttp2_submit_goaway(Session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(Session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    Connection->Transport->scheduleFlush();
  });
}

peer_counters peer_server::counters() const {
  peer_counters Counters = State->Counters;
  Counters.OpenStreams = State->Replies.size();
  return Counters;
}

} // namespace turmerichead
