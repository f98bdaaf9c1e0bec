#include "http_server_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead {

using namespace pvt;

void http_server::state::countHeldBytes(http_connection_row &Connection) {
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
void http_server::state::countUnsentBytes(http_exchange_id Id) {
  const http_exchange_row *Exchange = Exchanges.find(Id);
  http_connection_row *Row =
      Exchange ? Connections.find(Exchange->Connection) : nullptr;
  if (Row)
    Budget->set(Row->Memory, memory_rank::Answer,
                Row->BodyBytes + Exchange->Buffered, steadyNow());
}

void http_server::state::closeForMemory(http_connection_id Id) {
  http_connection_row *Row = Connections.find(Id);
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
  if (!Row->Reading || soup_server_message_get_status(Row->Reading) != 0)
    return;
  // What the kernel has received is still read, and then dropped. libsoup may
  // get to it much later, so the body is freed now.
  SoupServerMessage *Message = Row->Reading;
  reject(Message, SOUP_STATUS_SERVICE_UNAVAILABLE,
         "the host has no memory for the request");
  soup_message_body_truncate(soup_server_message_get_request_body(Message));
}

} // namespace turmerichead
