#include "client_pvt.h"

#include "turmerichead/error.h"

#include <utility>

namespace turmerichead::http1 {

using namespace pvt;

std::string_view nameOf(answer_end End) {
  switch (End) {
  case answer_end::Length:
    return "length";
  case answer_end::LastChunk:
    return "last_chunk";
  case answer_end::Connection:
    return "connection";
  }
  return "unknown";
}

void client::state::onReady(std::uint64_t Key) {
  auto Id = idOf<client_connection>(Key);
  client_connection *Row = Connections.find(Id);
  if (!Row)
    return;
  if (Row->Phase == client_phase::Connecting) {
    onConnected(Id);
    return;
  }
  if (Row->Phase == client_phase::Opening) {
    onTunnelReply(Id);
    return;
  }
  if (Row->Phase == client_phase::Idle) {
    // The server has closed the connection or sent unrequested bytes.
    close(Id);
    return;
  }
  onReadable(Id);
  Row = Connections.find(Id);
  if (Row && Row->Phase == client_phase::Busy && Row->Socket.unsent() > 0)
    flush(Id);
}

void client::state::fail(client_connection_id Id, std::string Reason,
                         message_fault Fault) {
  client_connection &Row = *Connections.find(Id);
  call_id Call = Row.Call;
  bool Sent = Row.Socket.sent() > Row.SentBefore;
  close(Id);
  end(Call, {.Outcome = Sent ? call_outcome::Broken : call_outcome::NotSent,
             .Reason = std::move(Reason),
             .Fault = Fault});
}

void client::state::end(call_id Id, const call_result &Result) {
  call_row *Call = Calls.find(Id);
  if (!Call)
    return;
  auto OnEnd = std::move(Call->Events.OnEnd);
  Calls.erase(Id);
  OnEnd(Result);
}

void client::state::failLater(call_id Id, std::string Reason) {
  Deferred.add([this, Id, Reason = std::move(Reason)] {
    end(Id, {.Outcome = call_outcome::NotSent, .Reason = Reason});
  });
}

std::optional<client> client::create(client_settings Settings) {
  auto State = std::make_unique<state>();
  state *Raw = State.get();
  Raw->Settings = std::move(Settings);
  Raw->Sockets =
      poll_set::create([Raw](std::uint64_t Key) { Raw->onReady(Key); });
  if (!Raw->Sockets)
    return std::nullopt;
  Raw->Deadlines.emplace([Raw](std::uint64_t Key, int /*Kind*/) {
    auto Id = idOf<client_connection>(Key);
    client_connection *Row = Raw->Connections.find(Id);
    if (!Row || Row->Phase == client_phase::Busy ||
        Row->Phase == client_phase::Idle)
      return;
    Raw->failConnect(Id, Row->Tunnel ? connect_failure::Tunnel
                                     : connect_failure::Unreachable);
  });
  Raw->Sweep = loop_source::every(ClientSweepInterval, [Raw] {
    Raw->sweep();
    return true;
  });
  return client(std::move(State));
}

call_id client::call(call_request Request, call_events Events) {
  ++State->Counters.Calls;
  call_id Id = State->Calls.insert({std::move(Request), std::move(Events), {}});
  const call_request &Stored = State->Calls.find(Id)->Request;
  if (!isSendable(Stored)) {
    State->failLater(Id, "the target or a header is not valid");
    return Id;
  }
  std::optional<client_connection_id> Connection;
  if (!Stored.FreshConnection)
    Connection = State->takeIdle(poolKey(Stored.Address, Stored.Via));
  if (!Connection)
    Connection =
        State->connect(Stored.Address, Stored.Via, Stored.ConnectTimeout);
  if (!Connection) {
    State->failLater(Id, lastError().Text);
    return Id;
  }
  State->assignCall(*Connection, Id);
  return Id;
}

void client::probe(const std::string &Address, const std::string &Via,
                   milliseconds Timeout,
                   std::function<void(probe_result)> Done) {
  auto Id = State->connect(Address, Via, Timeout);
  if (!Id) {
    State->Deferred.add(
        [Done = std::move(Done)] { Done(probe_result::Unknown); });
    return;
  }
  client_connection &Row = *State->Connections.find(*Id);
  Row.Probed = std::move(Done);
  Row.MaxIdle = 1;
  Row.IdleLimit = State->Settings.IdleTimeout;
}

bool client::cancel(call_id Id) {
  call_row *Call = State->Calls.find(Id);
  if (!Call)
    return false;
  client_connection_id Connection = Call->Connection;
  State->Calls.erase(Id);
  if (State->Connections.find(Connection))
    State->close(Connection);
  return true;
}

bool client::hasSent(call_id Id) const {
  const call_row *Call = State->Calls.find(Id);
  if (!Call)
    return false;
  const client_connection *Row = State->Connections.find(Call->Connection);
  return Row && Row->Phase == client_phase::Busy &&
         Row->Socket.sent() > Row->SentBefore;
}

client_counters client::counters() const {
  client_counters Counters = State->Counters;
  Counters.OpenConnections = State->Connections.size();
  Counters.OpenCalls = State->Calls.size();
  return Counters;
}

client::client(std::unique_ptr<state> State) : State(std::move(State)) {}
client::client(client &&Other) noexcept = default;
client &client::operator=(client &&Other) noexcept = default;
client::~client() = default;

} // namespace turmerichead::http1
