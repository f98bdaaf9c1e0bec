#include "http_server_pvt.h"

#include <gio/gunixsocketaddress.h>

namespace turmerichead {

using namespace pvt;

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

http_server::state::~state() {
  Self.reset(); // Callbacks do nothing from here on.
  Exchanges.forEach([](http_exchange_id, http_exchange_row &Row) {
    soup_server_message_unpause(Row.Message.get());
  });
  if (Server)
    soup_server_disconnect(Server.get());
}

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
    Raw->closeForMemory(idOf<http_connection_row>(Key));
  });
  Raw->Callers = poll_set::create([Raw](std::uint64_t Key) {
    Raw->callerReady(idOf<http_connection_row>(Key));
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
        Raw->Listener.acceptAll([Raw](handle<GSocket> Socket) {
          Raw->acceptConnection(std::move(Socket));
        });
        return true;
      });
  Raw->Sweep = loop_source::every(HttpSweepInterval, [Raw] {
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

void http_server::stopAccepting() {
  State->Accepting.reset();
  State->Listener.close([this](handle<GSocket> Socket) {
    State->acceptConnection(std::move(Socket));
  });
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
