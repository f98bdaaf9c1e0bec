#include "peer_links_pvt.h"

#include "turmerichead/hash.h"

#include <algorithm>

namespace turmerichead {

using namespace pvt;

// -- Connections -------------------------------------------------------------

connection_id peer_links::state::connect(const std::string &Host,
                                         target_row &Target) {
  auto Address = parseAddress(Target.effective());
  if (!Address)
    return {};
  auto Socket = beginConnect(Address->get());
  if (!Socket)
    return {};
  connection_id Id = Connections.insert(std::make_unique<connection_row>());
  connection_row &Connection = *find(Id);
  Connection.Host = Host;
  Connection.Context = {this, Id};
  Connection.LastUsed = steadyNow();
  Connection.Socket = std::move(*Socket);
  Connection.Connected =
      loop_source::onSocket(Connection.Socket.get(), G_IO_OUT,
                            [this, Id] { return onConnected(Id); });
  Connection.Deadline =
      loop_source::every(Settings.HandshakeTimeout, [this, Id] {
        failConnection(Id, error_code::Unavailable,
                       "no connection within the handshake timeout");
        return false;
      });
  Target.Connection = Id;
  return Id;
}

bool peer_links::state::onConnected(connection_id Id) {
  connection_row &Connection = *find(Id);
  GError *Error = nullptr;
  if (!g_socket_check_connect_result(Connection.Socket.get(), &Error)) {
    failConnection(Id, error_code::Unavailable, takeText(Error));
    return false;
  }
  Connection.Connected.reset();
  Connection.Transport = std::make_unique<peer_transport>(
      Connection.Socket, newSession(Connection), Settings, Counters,
      peer_transport::events{.OnLost =
                                 [this, Id](const std::string &Reason) {
                                   failConnection(Id, error_code::Unavailable,
                                                  Reason);
                                 },
                             .IsBusy =
                                 [this, Id] {
                                   connection_row *Row = find(Id);
                                   return Row && !Row->Streams.empty();
                                 }});
  greet(Connection);
  return false;
}

void peer_links::state::greet(connection_row &Connection) {
  nghttp2_session *Session = Connection.Transport->session();
  Connection.Phase = link_phase::Greeting;
  Connection.Shake = {Settings.Host, Connection.Host, newNonce(), {}};
  header_list Headers;
  Headers.add(":method", "POST");
  Headers.add(":scheme", "http");
  Headers.add(":authority", Connection.Host);
  Headers.add(":path", HelloPath);
  Headers.add(HostHeader, Settings.Host);
  Headers.add(NonceHeader, Connection.Shake.ClientNonce);
  if (!submitLinkSettings(Session, Settings)) {
    Connection.Transport->close("the session takes no settings");
    return;
  }
  Connection.HandshakeStream = nghttp2_submit_request(
      Session, nullptr, Headers.data(), Headers.size(), nullptr, nullptr);
  Connection.Transport->scheduleFlush();
}

void peer_links::state::prove(connection_row &Connection) {
  nghttp2_session *Session = Connection.Transport->session();
  Connection.Phase = link_phase::Proving;
  std::string Proof = Connection.Shake.clientProof(SharedKey);
  header_list Headers;
  Headers.add(":method", "POST");
  Headers.add(":scheme", "http");
  Headers.add(":authority", Connection.Host);
  Headers.add(":path", ProvePath);
  Headers.add(ProofHeader, Proof);
  Connection.HandshakeStatus = 0;
  Connection.HandshakeStream = nghttp2_submit_request(
      Session, nullptr, Headers.data(), Headers.size(), nullptr, nullptr);
  Connection.Transport->scheduleFlush();
}

/// Both responses of the handshake consist of headers only, so they are checked
/// when their stream ends.
void peer_links::state::handshakeEnded(connection_id Id,
                                       connection_row &Connection) {
  bool Accepted = Connection.HandshakeStatus == 200;
  if (Accepted && Connection.Phase == link_phase::Greeting) {
    std::string Expected = Connection.Shake.serverProof(SharedKey);
    if (equalConstantTime(Expected, Connection.ServerProof)) {
      prove(Connection);
      return;
    }
    Accepted = false;
  }
  if (Accepted && Connection.Phase == link_phase::Proving) {
    becomeUp(Connection);
    return;
  }
  ++Counters.HandshakesRefused;
  // The session must not be destroyed inside one of its callbacks.
  Deferred.add([this, Id] {
    failConnection(Id, error_code::Unauthorized,
                   "the other side is another host or has another key");
  });
}

void peer_links::state::becomeUp(connection_row &Connection) {
  Connection.Phase = link_phase::Up;
  Connection.Deadline.reset();
  if (auto Target = Targets.find(Connection.Host); Target != Targets.end())
    Target->second.Pause = milliseconds(0);
  for (peer_stream_id Stream : std::exchange(Connection.Waiting, {}))
    submit(Connection, Stream);
  if (Connection.Retired)
    retire(Connection.Context.Connection);
}

void peer_links::state::failConnection(connection_id Id, error_code Code,
                                       const std::string &Reason) {
  connection_row *Row = find(Id);
  if (!Row)
    return;
  // Destroyed at the end of this function, after the last reference to it.
  std::unique_ptr<connection_row> Connection = std::move(*Connections.find(Id));
  Connections.erase(Id);
  if (Connection->Phase == link_phase::Up)
    ++Counters.LinksLost;
  auto Target = Targets.find(Connection->Host);
  if (Target != Targets.end() && Target->second.Connection == Id) {
    target_row &Row = Target->second;
    Row.Connection = {};
    if (Connection->Phase != link_phase::Up) {
      Row.Pause =
          std::clamp(Row.Pause * 2, Settings.RetryMin, Settings.RetryMax);
      Row.RetryAt = steadyNow() + Row.Pause;
    }
  }
  for (peer_stream_id Stream : Connection->Waiting)
    endStream(Stream, {Code, Reason});
  for (const auto &[Http2Id, Stream] : Connection->Streams)
    endStream(Stream, {Code, Reason});
}

void peer_links::state::retire(connection_id Id) {
  connection_row *Connection = find(Id);
  if (!Connection)
    return;
  Connection->Retired = true;
  Deferred.add([this, Id] { closeIfEmpty(Id); });
}

void peer_links::state::closeIfEmpty(connection_id Id) {
  connection_row *Connection = find(Id);
  if (!Connection || !Connection->Streams.empty() ||
      !Connection->Waiting.empty())
    return;
  failConnection(Id, error_code::Unavailable, "the link is not used");
}

void peer_links::state::closeIdle() {
  time_point Now = steadyNow();
  std::vector<connection_id> Idle;
  Connections.forEach([&](connection_id Id, const auto &Row) {
    if (Now - Row->LastUsed >= Settings.IdleTimeout)
      Idle.push_back(Id);
  });
  for (connection_id Id : Idle)
    closeIfEmpty(Id);
}

// -- Interface ---------------------------------------------------------------

std::optional<peer_links> peer_links::create(peer_settings Settings,
                                             std::string SharedKey) {
  if (SharedKey.empty())
    return fail(error_code::InvalidInput, "the shared key is empty");
  if (Settings.Host.empty())
    return fail(error_code::InvalidInput, "the host has no name");
  auto State = std::make_unique<state>();
  State->Settings = std::move(Settings);
  State->SharedKey = std::move(SharedKey);
  State->IdleSweep = loop_source::every(
      std::max(State->Settings.IdleTimeout / 4, milliseconds(1)),
      [Raw = State.get()] {
        Raw->closeIdle();
        return true;
      });
  return peer_links(std::move(State));
}

peer_links::peer_links(std::unique_ptr<state> State)
    : State(std::move(State)) {}
peer_links::peer_links(peer_links &&Other) noexcept = default;
peer_links &peer_links::operator=(peer_links &&Other) noexcept = default;
peer_links::~peer_links() = default;

bool peer_links::setAddress(std::string_view Host, std::string_view Address) {
  if (!parseAddress(Address))
    return false;
  target_row &Target = State->Targets[std::string(Host)];
  std::string Before = Target.effective();
  Target.Address = Address;
  if (Target.effective() == Before)
    return true;
  State->retire(std::exchange(Target.Connection, {}));
  Target.RetryAt = {};
  return true;
}

bool peer_links::setRoute(std::string_view Host, std::string_view Address) {
  if (!Address.empty() && !parseAddress(Address))
    return false;
  target_row &Target = State->Targets[std::string(Host)];
  std::string Before = Target.effective();
  Target.Route = Address;
  if (Target.effective() == Before)
    return true;
  State->retire(std::exchange(Target.Connection, {}));
  Target.RetryAt = {};
  return true;
}

void peer_links::forget(std::string_view Host) {
  auto Found = State->Targets.find(Host);
  if (Found == State->Targets.end())
    return;
  std::vector<connection_id> Gone;
  State->Connections.forEach([&](connection_id Id, const auto &Row) {
    if (Row->Host == Host)
      Gone.push_back(Id);
  });
  State->Targets.erase(Found);
  state *Raw = State.get();
  Raw->Deferred.add([Raw, Gone] {
    for (connection_id Id : Gone)
      Raw->failConnection(Id, error_code::Unavailable, "the host has left");
  });
}

peer_stream_id peer_links::send(std::string_view Host, peer_request Request,
                                peer_stream_events Events) {
  std::size_t BodyBytes = Request.Body.size();
  peer_stream_row Row;
  Row.Request = std::move(Request);
  Row.Events = std::make_shared<const peer_stream_events>(std::move(Events));
  peer_stream_id Id = State->Streams.insert(std::move(Row));
  if (BodyBytes > State->Settings.MaxMessageBytes) {
    State->endLater(Id, {error_code::Refused, "the body is over the limit"});
    return Id;
  }
  auto Found = State->Targets.find(Host);
  if (Found == State->Targets.end() || Found->second.effective().empty()) {
    State->endLater(Id, {error_code::Unavailable, "no address of the host"});
    return Id;
  }
  target_row &Target = Found->second;
  if (!State->find(Target.Connection)) {
    if (steadyNow() < Target.RetryAt) {
      State->endLater(Id, {error_code::Unavailable,
                           "the host was not reached a moment ago"});
      return Id;
    }
    if (!State->connect(Found->first, Target)) {
      State->endLater(Id, {error_code::Unavailable, lastError().Text});
      return Id;
    }
  }
  connection_row &Connection = *State->find(Target.Connection);
  Connection.LastUsed = steadyNow();
  State->Streams.find(Id)->Connection = Target.Connection;
  if (Connection.Phase == link_phase::Up)
    State->submit(Connection, Id);
  else
    Connection.Waiting.push_back(Id);
  return Id;
}

bool peer_links::cancel(peer_stream_id Id) {
  peer_stream_row *Stream = State->Streams.find(Id);
  if (!Stream)
    return false;
  connection_row *Connection = State->find(Stream->Connection);
  if (Connection && Stream->Http2Id != 0) {
    Connection->Streams.erase(Stream->Http2Id);
    nghttp2_submit_rst_stream(Connection->Transport->session(),
                              NGHTTP2_FLAG_NONE, Stream->Http2Id,
                              NGHTTP2_CANCEL);
    Connection->Transport->scheduleFlush();
  } else if (Connection) {
    std::erase(Connection->Waiting, Id);
  }
  State->Streams.erase(Id);
  if (Connection && Connection->Retired)
    State->retire(Connection->Context.Connection);
  return true;
}

bool peer_links::isUp(std::string_view Host) const {
  auto Found = State->Targets.find(Host);
  if (Found == State->Targets.end())
    return false;
  connection_row *Connection = State->find(Found->second.Connection);
  return Connection && Connection->Phase == link_phase::Up;
}

peer_counters peer_links::counters() const {
  peer_counters Counters = State->Counters;
  Counters.OpenStreams = State->Streams.size();
  return Counters;
}

} // namespace turmerichead
