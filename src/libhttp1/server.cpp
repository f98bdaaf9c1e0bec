#include "server_pvt.h"

namespace turmerichead::http1 {

using namespace pvt;

server::state::~state() {
  if (Budget)
    Budget->removeOwner(Owner);
}

std::optional<server> server::create(std::string_view Address,
                                     server_limits Limits, server_events Events,
                                     memory_budget *Budget) {
  auto Listener = listener::open(Address);
  if (!Listener)
    return std::nullopt;
  auto State = std::make_unique<state>();
  state *Raw = State.get();
  Raw->Listener = std::move(*Listener);
  Raw->Limits = Limits;
  Raw->Events = std::move(Events);
  Raw->Budget = Budget;
  if (Budget)
    Raw->Owner = Budget->addOwner([Raw](std::uint64_t Key) {
      Raw->closeForMemory(idOf<server_connection>(Key));
    });
  Raw->Sockets =
      poll_set::create([Raw](std::uint64_t Key) { Raw->onReady(Key); });
  if (!Raw->Sockets)
    return std::nullopt;
  Raw->Sockets->add(g_socket_get_fd(Raw->Listener.socket()),
                    poll_set::interest::Readable, ListenerKey);
  Raw->Sweep = loop_source::every(ServerSweepInterval, [Raw] {
    Raw->sweep();
    return true;
  });
  return server(std::move(State));
}

std::uint16_t server::port() const { return State->Listener.port(); }

void server::setLimits(const server_limits &Limits) {
  State->Limits = Limits;
  State->Connections.forEach([&](server_connection_id, server_connection &Row) {
    Row.Parser.setMaxHeadBytes(Limits.HeaderBytes);
  });
}

void server::drain() { State->Draining = true; }

void server::stopAccepting() {
  if (!State->Listener.isOpen())
    return;
  State->Sockets->remove(g_socket_get_fd(State->Listener.socket()));
  State->Listener.close([this](handle<GSocket> Socket) {
    State->acceptConnection(std::move(Socket));
  });
}

void server::closeIdle() {
  std::vector<server_connection_id> Idle;
  State->Connections.forEach(
      [&](server_connection_id Id, server_connection &Row) {
        if (Row.Phase == server_phase::Receiving && !Row.Parser.inMessage() &&
            Row.Input.empty())
          Idle.push_back(Id);
      });
  for (server_connection_id Id : Idle) {
    server_connection *Row = State->Connections.find(Id);
    Row->Phase = server_phase::Closing;
    Row->Since = steadyNow();
    State->flush(Id, *Row);
  }
}

server_counters server::counters() const {
  server_counters Counters = State->Counters;
  Counters.OpenConnections = State->Connections.size();
  Counters.OpenExchanges = State->Exchanges.size();
  return Counters;
}

server::server(std::unique_ptr<state> State) : State(std::move(State)) {}
server::server(server &&Other) noexcept = default;
server &server::operator=(server &&Other) noexcept = default;
server::~server() = default;

} // namespace turmerichead::http1
