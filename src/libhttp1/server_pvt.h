/// \file
/// Implementation of server.
#pragma once

#include "parser_pvt.h"
#include "socket_pvt.h"
#include "turmerichead/http1_server.h"
#include "turmerichead/log_limiter.h"
#include "turmerichead/table.h"

#include <array>

namespace turmerichead::http1 {

namespace pvt {

inline constexpr milliseconds ServerSweepInterval{1000};
/// The next request of a connection is read only while at most this many bytes
/// of earlier answers are unsent, so that a client that does not read holds
/// one.
inline constexpr std::size_t MaxUnsentBeforeNext = 64U << 10U;
/// Identifies the listening socket in the poll set.
inline constexpr std::uint64_t ListenerKey = 0;

enum class server_phase : std::uint8_t {
  Receiving, ///< Idle, or a request is being read.
  Answering, ///< An exchange is open.
  Closing    ///< The last answer is being sent; input is discarded.
};

/// A connection of a client. Owned by the server.
struct server_connection {
  buffered_socket Socket;
  message_parser Parser{message_kind::Request, 0};
  std::string PeerIp; ///< See request::PeerIp.
  std::string Input;
  std::string Body;
  server_phase Phase = server_phase::Receiving;
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
    return Phase == server_phase::Receiving &&
           Socket.unsent() > MaxUnsentBeforeNext;
  }
  /// Bytes that its client makes the host hold.
  std::size_t heldBytes() const {
    return Input.capacity() + Body.capacity() + Parser.heldBytes() +
           Socket.unsent();
  }
};

using server_connection_id = typed_id<server_connection>;

/// Returns the status line and the headers of a response. \p Framing holds the
/// headers that tell the length of the body.
std::string serializeHead(int Status, const header_list &Headers,
                          std::string_view Framing, bool Close);

} // namespace pvt

struct exchange_row {
  pvt::server_connection_id Connection;
  bool Http10 = false;
  bool HeadOnly = false; ///< Whether the method of the request is HEAD.
  bool Begun = false;

  /// Whether only the end of the connection marks the end of the answer, so
  /// that a cut answer needs a reset.
  bool endsWithConnection() const { return Begun && Http10; }
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
  /// Connections with buffered input after an answer.
  std::vector<pvt::server_connection_id> Ready;
  /// Connections to be closed after a failed write.
  std::vector<pvt::server_connection_id> Broken;
  table<pvt::server_connection> Connections;
  table<exchange_row> Exchanges;
  server_counters Counters;
  bool Draining = false;
  memory_budget *Budget = nullptr;
  memory_owner_id Owner;
  std::array<log_limiter, ClientEnds> LogLimiters;

  bool isFull(const pvt::server_connection &Row) const;
  void countHeldBytes(pvt::server_connection &Row);
  void closeForMemory(pvt::server_connection_id Id);
  bool makeRoom();
  void report(client_end Reason);
  void onReady(std::uint64_t Key);
  void acceptConnection(handle<GSocket> Socket);
  void process(pvt::server_connection_id Id);
  bool feed(pvt::server_connection_id Id, pvt::server_connection &Row);
  void dispatch(pvt::server_connection_id Id, pvt::server_connection &Row);
  void refuse(pvt::server_connection_id Id, pvt::server_connection &Row,
              int Status, std::string_view Why);
  void updateInterest(pvt::server_connection_id Id,
                      pvt::server_connection &Row);
  bool flush(pvt::server_connection_id Id, pvt::server_connection &Row);
  void close(pvt::server_connection_id Id);
  void endExchange(exchange_id Id, pvt::server_connection_id Connection,
                   bool Close);
  void sweep();
  void resumeLater(pvt::server_connection_id Id);
  void wakeLater();
};

} // namespace turmerichead::http1
