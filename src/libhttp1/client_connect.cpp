#include "client_pvt.h"

#include <utility>

namespace turmerichead::http1 {

using namespace pvt;

namespace {

std::string_view reasonOf(connect_failure Failure) {
  switch (Failure) {
  case connect_failure::None:
    break;
  case connect_failure::Unreachable:
    return "the connection was not established in time";
  case connect_failure::Refused:
    return "the connection was refused";
  case connect_failure::Tunnel:
    return "the tunnel was not opened";
  }
  return "the connection was not established";
}

} // namespace

std::optional<client_connection_id>
client::state::connect(const std::string &Target, const std::string &Via,
                       milliseconds Timeout) {
  auto Address = parseAddress(Via.empty() ? Target : Via);
  if (!Address)
    return std::nullopt;
  handle<GSocketAddress> Source;
  if (!Settings.SourceAddress.empty()) {
    auto Parsed = parseAddress(Settings.SourceAddress);
    if (!Parsed)
      return std::nullopt;
    Source = std::move(*Parsed);
  }
  auto Socket = beginConnect(Address->get(), Source.get());
  if (!Socket)
    return std::nullopt;
  ++Counters.Opened;
  setSilenceTimeout(Socket->get(), Settings.SilenceTimeout);
  client_connection Row;
  Row.Socket = buffered_socket(std::move(*Socket));
  Row.Parser.setMaxHeadBytes(Settings.MaxHeadBytes);
  Row.Address = poolKey(Target, Via);
  if (!Via.empty()) {
    Row.Tunnel.emplace();
    Row.TunnelLine = tunnelLine(Target, Settings.TunnelKey);
  }
  auto Id = Connections.insert(std::move(Row));
  client_connection *Stored = Connections.find(Id);
  Sockets->add(Stored->Socket.descriptor(), Stored->Interest, keyOf(Id));
  Deadlines->add(Timeout, keyOf(Id), 0);
  return Id;
}

void client::state::onConnected(client_connection_id Id) {
  using connect_result = buffered_socket::connect_result;
  client_connection &Row = *Connections.find(Id);
  connect_result Result = Row.Socket.connectResult();
  bool IsTunnel = Row.Tunnel.has_value();
  if (Result == connect_result::Refused) {
    failConnect(Id,
                IsTunnel ? connect_failure::Tunnel : connect_failure::Refused);
  } else if (Result == connect_result::Failed) {
    failConnect(Id, IsTunnel ? connect_failure::Tunnel
                             : connect_failure::Unreachable);
  } else if (IsTunnel) {
    Row.Phase = client_phase::Opening;
    Row.Socket.queue(std::move(Row.TunnelLine));
    flush(Id);
  } else {
    onEstablished(Id);
  }
}

void client::state::onEstablished(client_connection_id Id) {
  client_connection &Row = *Connections.find(Id);
  if (!Row.Probed) {
    auto OnConnect = Calls.find(Row.Call)->Events.OnConnect;
    sendRequest(Id);
    if (OnConnect)
      OnConnect();
    return;
  }
  auto Probed = std::exchange(Row.Probed, {});
  returnToPool(Id, Row);
  Probed(probe_result::Listening);
}

void client::state::onTunnelReply(client_connection_id Id) {
  client_connection &Row = *Connections.find(Id);
  io_result Result = receive(Row);
  if (Result == io_result::Blocked) {
    flush(Id);
    return;
  }
  auto Status = Row.Tunnel->status();
  if (Status == tunnel_status::Connected && Result == io_result::Done)
    onEstablished(Id);
  else if (Status == tunnel_status::Refused)
    failConnect(Id, connect_failure::Refused);
  else if (Status == tunnel_status::Unreachable)
    failConnect(Id, connect_failure::Unreachable);
  else
    failConnect(Id, connect_failure::Tunnel);
}

void client::state::failConnect(client_connection_id Id,
                                connect_failure Failure) {
  client_connection &Row = *Connections.find(Id);
  call_id Call = Row.Call;
  auto Probed = std::move(Row.Probed);
  close(Id);
  if (Probed)
    Probed(Failure == connect_failure::Refused ? probe_result::Refused
                                               : probe_result::Unknown);
  else
    end(Call, {.Outcome = call_outcome::NotSent,
               .Reason = std::string(reasonOf(Failure)),
               .Failure = Failure});
}

} // namespace turmerichead::http1
