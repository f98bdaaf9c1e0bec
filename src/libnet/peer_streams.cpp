#include "peer_links_pvt.h"

#include <algorithm>
#include <cstring>
#include <tuple>

namespace turmerichead {

using namespace pvt;

namespace {

/// Created when the first bytes of a stream arrive. The initial buffer is
/// small, because most streams carry short messages.
std::unique_ptr<msgpack::unpacker> newUnpacker(std::size_t MaxMessageBytes) {
  constexpr std::size_t InitialBytes = 1024;
  constexpr std::size_t MaxTextBytes = 4096;
  constexpr std::size_t MaxDepth = 3;
  msgpack::unpack_limit Limit(2, 0, MaxTextBytes, MaxMessageBytes, 0, MaxDepth);
  return std::make_unique<msgpack::unpacker>(
      [](msgpack::type::object_type, std::size_t, void *) { return true; },
      nullptr, InitialBytes, Limit);
}

} // namespace

void peer_links::state::endStream(peer_stream_id Id, peer_result Result) {
  peer_stream_row *Stream = Streams.find(Id);
  if (!Stream)
    return;
  Result.Sent = Result.Sent || Stream->Sent;
  auto Events = Stream->Events;
  Streams.erase(Id);
  if (Events->OnEnd)
    Events->OnEnd(Result);
}

void peer_links::state::endLater(peer_stream_id Id, peer_result Result) {
  Deferred.add(
      [this, Id, Result = std::move(Result)] { endStream(Id, Result); });
}

void peer_links::state::submit(connection_row &Connection, peer_stream_id Id) {
  peer_stream_row *Stream = Streams.find(Id);
  if (!Stream)
    return;
  const peer_request &Request = Stream->Request;
  header_list Headers;
  Headers.add(":method", "POST");
  Headers.add(":scheme", "http");
  Headers.add(":authority", Connection.Host);
  Headers.add(":path", Request.Path);
  for (const peer_header &Header : Request.Headers)
    Headers.add(Header.Name, Header.Value);
  nghttp2_data_provider Body{};
  Body.read_callback = readBody;
  std::int32_t Http2Id = nghttp2_submit_request(
      Connection.Transport->session(), nullptr, Headers.data(), Headers.size(),
      Request.Body.empty() ? nullptr : &Body, nullptr);
  if (Http2Id < 0) {
    endLater(Id, {error_code::Unavailable, nghttp2_strerror(Http2Id)});
    return;
  }
  ++Counters.Requests;
  Stream->Http2Id = Http2Id;
  Connection.Streams.emplace(Http2Id, Id);
  Connection.Transport->scheduleFlush();
}

void peer_links::state::feed(connection_row &Connection, peer_stream_id Id,
                             std::string_view Bytes) {
  peer_stream_row *Stream = Streams.find(Id);
  if (!Stream || Stream->Result)
    return;
  // The unpacker is moved out of the row, because the receiver of a message may
  // cancel the stream while it reads from the buffer of the unpacker.
  auto Unpacker = std::exchange(Stream->Unpacker, nullptr);
  if (!Unpacker)
    Unpacker = newUnpacker(Settings.MaxMessageBytes);
  std::int32_t Http2Id = Stream->Http2Id;
  bool Good = true;
  try {
    Unpacker->reserve_buffer(Bytes.size());
    std::memcpy(Unpacker->buffer(), Bytes.data(), Bytes.size());
    Unpacker->buffer_consumed(Bytes.size());
    msgpack::object_handle Object;
    while (Good && Streams.find(Id) && Unpacker->next(Object))
      Good = takeObject(Id, Object.get());
  } catch (const std::exception &) {
    Good = false;
  }
  Stream = Streams.find(Id);
  if (!Stream)
    return;
  Stream->Unpacker = std::move(Unpacker);
  if (Good)
    return;
  Connection.Streams.erase(Http2Id);
  nghttp2_submit_rst_stream(Connection.Transport->session(), NGHTTP2_FLAG_NONE,
                            Http2Id, NGHTTP2_PROTOCOL_ERROR);
  endStream(Id, {error_code::Corrupt, "a message does not decode"});
}

/// Handles a message (binary) or the end record (an array of code and text).
bool peer_links::state::takeObject(peer_stream_id Id,
                                   const msgpack::object &Object) {
  peer_stream_row *Stream = Streams.find(Id);
  if (Stream->Result)
    return false;
  if (Object.type == msgpack::type::BIN) {
    auto Events = Stream->Events;
    if (Events->OnMessage)
      Events->OnMessage({Object.via.bin.ptr, Object.via.bin.size});
    return true;
  }
  auto [Code, Text] = Object.as<std::tuple<unsigned, std::string>>();
  if (Code > static_cast<unsigned>(error_code::OutcomeUnknown))
    return false;
  Stream->Result =
      peer_result{static_cast<error_code>(Code), std::move(Text), true, true};
  return true;
}

void peer_links::state::streamClosed(connection_row &Connection,
                                     std::int32_t Http2Id,
                                     std::uint32_t Reason) {
  auto Found = Connection.Streams.find(Http2Id);
  if (Found == Connection.Streams.end())
    return;
  peer_stream_id Id = Found->second;
  Connection.Streams.erase(Found);
  Connection.LastUsed = steadyNow();
  if (Connection.Retired)
    retire(Connection.Context.Connection);
  peer_stream_row *Stream = Streams.find(Id);
  if (!Stream)
    return;
  if (Stream->Result) {
    endStream(Id, std::move(*Stream->Result));
    return;
  }
  if (Reason == NGHTTP2_REFUSED_STREAM) {
    Stream->Sent = false;
    endStream(Id, {error_code::Refused, "refused by the other side's limits"});
    return;
  }
  endStream(Id, {error_code::Unavailable, "the response has no end"});
}

// -- Callbacks of the session ------------------------------------------------

namespace {

session_context &contextOf(void *User) {
  return *static_cast<session_context *>(User);
}

std::string_view textOf(const std::uint8_t *Bytes, std::size_t Length) {
  return {reinterpret_cast<const char *>(Bytes), Length};
}

} // namespace

session_handle peer_links::state::newSession(connection_row &Connection) {
  callbacks_handle Callbacks = newCallbacks();
  auto *Set = Callbacks.get();
  nghttp2_session_callbacks_set_on_header_callback(Set, onHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Set, onData);
  nghttp2_session_callbacks_set_on_frame_send_callback(Set, onFrameSent);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Set, onFrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(Set, onStreamClosed);
  nghttp2_session *Session = nullptr;
  nghttp2_session_client_new(&Session, Set, &Connection.Context);
  return session_handle(Session);
}

peer_stream_row *peer_links::state::streamOf(connection_row &Connection,
                                             std::int32_t Http2Id) {
  auto Found = Connection.Streams.find(Http2Id);
  if (Found == Connection.Streams.end())
    return nullptr;
  return Streams.find(Found->second);
}

int peer_links::state::onHeader(
    nghttp2_session * /*Session*/, const nghttp2_frame *Frame,
    const std::uint8_t *Name, std::size_t NameLength, const std::uint8_t *Value,
    std::size_t ValueLength, std::uint8_t /*Flags*/, void *User) {
  session_context &Context = contextOf(User);
  connection_row &Connection = *Context.Owner->find(Context.Connection);
  if (Frame->hd.stream_id != Connection.HandshakeStream)
    return 0;
  std::string_view Key = textOf(Name, NameLength);
  std::string_view Text = textOf(Value, ValueLength);
  if (Key == ":status")
    Connection.HandshakeStatus = Text == "200" ? 200 : 0;
  if (Key == NonceHeader)
    Connection.Shake.ServerNonce = Text;
  if (Key == ProofHeader)
    Connection.ServerProof = Text;
  return 0;
}

int peer_links::state::onData(nghttp2_session * /*Session*/,
                              std::uint8_t /*Flags*/, std::int32_t Http2Id,
                              const std::uint8_t *Bytes, std::size_t Length,
                              void *User) {
  session_context &Context = contextOf(User);
  connection_row &Connection = *Context.Owner->find(Context.Connection);
  auto Found = Connection.Streams.find(Http2Id);
  if (Found != Connection.Streams.end())
    Context.Owner->feed(Connection, Found->second, textOf(Bytes, Length));
  return 0;
}

/// The peer handles a request only when it is complete, so a request counts as
/// sent when its last frame has been sent.
int peer_links::state::onFrameSent(nghttp2_session * /*Session*/,
                                   const nghttp2_frame *Frame, void *User) {
  bool CanEnd =
      Frame->hd.type == NGHTTP2_DATA || Frame->hd.type == NGHTTP2_HEADERS;
  if (!CanEnd || (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
    return 0;
  session_context &Context = contextOf(User);
  connection_row &Connection = *Context.Owner->find(Context.Connection);
  peer_stream_row *Stream =
      Context.Owner->streamOf(Connection, Frame->hd.stream_id);
  if (!Stream)
    return 0;
  Stream->Sent = true;
  Stream->Request = {};
  return 0;
}

int peer_links::state::onFrameReceived(nghttp2_session * /*Session*/,
                                       const nghttp2_frame *Frame, void *User) {
  if (Frame->hd.type != NGHTTP2_GOAWAY)
    return 0;
  session_context &Context = contextOf(User);
  connection_row &Connection = *Context.Owner->find(Context.Connection);
  auto Target = Context.Owner->Targets.find(Connection.Host);
  if (Target != Context.Owner->Targets.end() &&
      Target->second.Connection == Context.Connection)
    Target->second.Connection = {};
  Context.Owner->retire(Context.Connection);
  return 0;
}

int peer_links::state::onStreamClosed(nghttp2_session * /*Session*/,
                                      std::int32_t Http2Id,
                                      std::uint32_t Reason, void *User) {
  session_context &Context = contextOf(User);
  connection_row *Connection = Context.Owner->find(Context.Connection);
  if (!Connection)
    return 0; // The session is being destroyed.
  if (Http2Id == Connection->HandshakeStream)
    Context.Owner->handshakeEnded(Context.Connection, *Connection);
  else
    Context.Owner->streamClosed(*Connection, Http2Id, Reason);
  return 0;
}

ssize_t peer_links::state::readBody(nghttp2_session * /*Session*/,
                                    std::int32_t Http2Id, std::uint8_t *Buffer,
                                    std::size_t Length, std::uint32_t *Flags,
                                    nghttp2_data_source * /*Source*/,
                                    void *User) {
  session_context &Context = contextOf(User);
  connection_row &Connection = *Context.Owner->find(Context.Connection);
  peer_stream_row *Stream = Context.Owner->streamOf(Connection, Http2Id);
  if (!Stream)
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  const std::string &Body = Stream->Request.Body;
  std::size_t Count = std::min(Length, Body.size() - Stream->BodySent);
  std::copy_n(Body.data() + Stream->BodySent, Count, Buffer);
  Stream->BodySent += Count;
  if (Stream->BodySent == Body.size())
    *Flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(Count);
}

} // namespace turmerichead
