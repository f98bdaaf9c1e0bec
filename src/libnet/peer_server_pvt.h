/// \file
/// Implementation of peer_server.
#pragma once

#include "peer_transport_pvt.h"

#include "turmerichead/log_limiter.h"
#include "turmerichead/table.h"

#include <unordered_map>

namespace turmerichead {

namespace pvt {

/// A buffer of unsent bytes above it is released once it is empty.
inline constexpr std::size_t CompactBytes = 64U << 10U;
// Connections that have not proved the key, and requests on each of them. A
// handshake takes two requests, one after the other, and less than a second.
inline constexpr std::size_t MaxUnproved = 64;
inline constexpr std::size_t MaxUnprovedStreams = 4;

struct accepted_row;
using accepted_id = typed_id<std::unique_ptr<accepted_row>>;

/// User data of a session of nghttp2.
struct server_context {
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
  server_context Context;
  proof_phase Phase = proof_phase::Nothing;
  time_point AcceptedAt;
  handshake Shake;
  loop_source Deadline;
  std::unordered_map<std::int32_t, server_stream> Streams;
  std::unique_ptr<peer_transport> Transport;
};

} // namespace pvt

/// A response that has not been ended.
struct peer_reply_row {
  pvt::accepted_id Connection;
  std::int32_t Http2Id = 0;
};

struct peer_server::state {
  peer_settings Settings;
  std::string SharedKey;
  peer_server_events Events;
  peer_counters Counters;
  listener Listener;
  loop_source Accepting;
  table<std::unique_ptr<pvt::accepted_row>> Connections;
  table<peer_reply_row> Replies;
  memory_budget *Budget = nullptr;
  memory_owner_id Owner;
  table<pvt::counted_stream> CountedStreams;
  loop_source Enforcing;
  log_limiter LogLimiter;

  state() = default;
  ~state();
  state(const state &) = delete;
  state &operator=(const state &) = delete;

  pvt::accepted_row *find(pvt::accepted_id Id) {
    auto *Row = Connections.find(Id);
    return Row ? Row->get() : nullptr;
  }

  void take(handle<GSocket> Socket);
  void lose(pvt::accepted_id Id);
  void limitUnproved();
  pvt::session_handle newSession(pvt::accepted_row &Connection);
  void requestRead(pvt::accepted_row &Connection, std::int32_t Http2Id);
  void greet(pvt::accepted_row &Connection, std::int32_t Http2Id,
             const pvt::server_stream &Stream);
  void prove(pvt::accepted_row &Connection, std::int32_t Http2Id,
             const pvt::server_stream &Stream);
  void refuse(pvt::accepted_row &Connection, std::int32_t Http2Id);
  void dispatch(pvt::accepted_row &Connection, std::int32_t Http2Id);
  pvt::server_stream *streamOf(peer_reply_id Reply,
                               pvt::accepted_row *&Connection);
  void account(pvt::accepted_row &Connection, std::int32_t Http2Id,
               pvt::server_stream &Stream);
  void release(const pvt::server_stream &Stream);
  void endForMemory(pvt::counted_id Id);
  static void resume(pvt::accepted_row &Connection, std::int32_t Http2Id,
                     pvt::server_stream &Stream);

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

} // namespace turmerichead
