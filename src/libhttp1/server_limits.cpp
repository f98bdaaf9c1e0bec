#include "server_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::http1 {

using namespace pvt;

void server::state::countHeldBytes(server_connection &Row) {
  if (!Budget)
    return;
  bool IsRequest = Row.Phase == server_phase::Receiving && Row.isReading();
  auto Rank = IsRequest ? memory_rank::Request : memory_rank::Answer;
  std::size_t Bytes = Row.heldBytes();
  // Usually nothing has changed, as most requests arrive in one piece.
  if (Bytes == Row.CountedBytes && Rank == Row.CountedRank)
    return;
  Row.CountedBytes = Bytes;
  Row.CountedRank = Rank;
  Budget->set(Row.Memory, Rank, Bytes, steadyNow());
}

void server::state::closeForMemory(server_connection_id Id) {
  server_connection *Row = Connections.find(Id);
  if (!Row)
    return;
  report(client_end::Memory);
  Row->CountedBytes = 0; // The budget has forgotten them.
  bool IsRequest = Row->Phase == server_phase::Receiving && Row->isReading();
  if (IsRequest && Row->Socket.unsent() == 0)
    refuse(Id, *Row, status::Unavailable,
           "the host has no memory for the request");
  else
    close(Id);
}

// Closes the oldest connection on which no request was complete. Returns
// whether there was one.
bool server::state::makeRoom() {
  std::optional<server_connection_id> Oldest;
  time_point Since;
  Connections.forEach([&](server_connection_id Id,
                          const server_connection &Row) {
    bool IsAnswered =
        Row.Phase == server_phase::Closing && Row.Socket.unsent() == 0;
    bool IsUnused =
        IsAnswered || (Row.Phase == server_phase::Receiving && !Row.HasServed);
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

} // namespace turmerichead::http1
