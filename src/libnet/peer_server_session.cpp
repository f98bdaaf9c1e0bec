// Callbacks of the HTTP/2 session of a connection.

#include "peer_server_pvt.h"

#include <algorithm>

namespace turmerichead {

using namespace pvt;

namespace {

server_context &contextOf(void *User) {
  return *static_cast<server_context *>(User);
}

accepted_row &connectionOf(void *User) {
  server_context &Context = contextOf(User);
  return *Context.Owner->find(Context.Connection);
}

std::string_view textOf(const std::uint8_t *Bytes, std::size_t Length) {
  return {reinterpret_cast<const char *>(Bytes), Length};
}

} // namespace

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
  server_context &Context = contextOf(User);
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

} // namespace turmerichead
