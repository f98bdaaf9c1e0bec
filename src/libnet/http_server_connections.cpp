#include "http_server_pvt.h"

namespace turmerichead {

using namespace pvt;

namespace {

constexpr const char *ConnectionKey = "turmerichead-connection";

} // namespace

void http_server::state::acceptConnection(handle<GSocket> Socket) {
  if (Connections.size() < Settings.MaxConnections)
    waitForRequest(std::move(Socket));
}

/// libsoup has one event source per connection, and each loop iteration visits
/// all sources. A connection is therefore passed to libsoup only when its first
/// bytes have arrived.
void http_server::state::waitForRequest(handle<GSocket> Socket) {
  int Descriptor = g_socket_get_fd(Socket.get());
  http_connection_row Row;
  Row.Socket = std::move(Socket);
  Row.LastActive = steadyNow();
  http_connection_id Id = Connections.insert(std::move(Row));
  Connections.find(Id)->Memory = Budget->add(Owner, keyOf(Id));
  Callers->add(Descriptor, poll_set::interest::Readable, keyOf(Id));
}

void http_server::state::adopt(http_connection_id Id) {
  http_connection_row &Row = *Connections.find(Id);
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
  g_object_set_data_full(G_OBJECT(Remote.get()), ConnectionKey,
                         new http_connection_context{Self, Id},
                         [](gpointer Data) {
                           delete static_cast<http_connection_context *>(Data);
                         });
  g_object_weak_ref(G_OBJECT(Stream.get()), onConnectionGone,
                    new http_connection_context{Self, Id});
  soup_server_accept_iostream(Server.get(), G_IO_STREAM(Stream.get()),
                              Local.get(), Remote.get(), nullptr);
}

void http_server::state::onConnectionGone(gpointer Data, GObject *) {
  std::unique_ptr<http_connection_context> Context(
      static_cast<http_connection_context *>(Data));
  if (state *Owner = Context->owner())
    Owner->erase(Context->Row);
}

void http_server::state::erase(http_connection_id Id) {
  if (http_connection_row *Row = Connections.find(Id))
    Budget->release(Row->Memory);
  Connections.erase(Id);
}

http_connection_id
http_server::state::connectionOf(SoupServerMessage *Message) const {
  GSocketAddress *Remote = soup_server_message_get_remote_address(Message);
  if (!Remote)
    return {};
  auto *Context = static_cast<http_connection_context *>(
      g_object_get_data(G_OBJECT(Remote), ConnectionKey));
  return Context ? Context->Row : http_connection_id{};
}

/// Called when the first bytes of a connection have arrived, or when the caller
/// has closed it.
void http_server::state::callerReady(http_connection_id Id) {
  http_connection_row *Connection = Connections.find(Id);
  if (Connection && !Connection->Stream)
    adopt(Id);
  else if (Connection && Exchanges.find(Connection->Exchange))
    cutOff(Connection->Exchange);
}

void http_server::state::sweep() {
  time_point Now = steadyNow();
  std::vector<http_exchange_id> Slow;
  std::vector<http_connection_id> Busy;
  Exchanges.forEach([&](http_exchange_id Id, http_exchange_row &Row) {
    Busy.push_back(Row.Connection);
    if (Row.Buffered > 0 && Now - Row.LastTaken >= Settings.WriteTimeout)
      Slow.push_back(Id);
  });
  for (http_connection_id Id : Busy)
    if (http_connection_row *Row = Connections.find(Id))
      Row->LastActive = Now;
  for (http_exchange_id Id : Slow)
    cutOff(Id);
  Budget->enforce(); // For unread answers.
  std::vector<http_connection_id> Unused;
  Connections.forEach([&](http_connection_id Id, http_connection_row &Row) {
    bool SlowRequest =
        Row.ReadingSince && Now - *Row.ReadingSince >= Settings.RequestTimeout;
    // A stopped server keeps connections open only for streams in progress.
    bool Idle = Now - Row.LastActive >=
                (Listener.isOpen() ? Settings.IdleTimeout : HttpSweepInterval);
    if (Idle && !Row.Stream)
      Unused.push_back(Id);
    else if (SlowRequest || Idle)
      g_socket_shutdown(Row.Socket.get(), TRUE, TRUE, nullptr);
  });
  for (http_connection_id Id : Unused)
    erase(Id);
}

} // namespace turmerichead
