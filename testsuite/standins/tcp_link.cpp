#include "tcp_link.h"

#include "http_server.h"

#include "turmerichead/error.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <vector>

namespace turmerichead::standin {

namespace {

constexpr std::size_t BufferBytes = std::size_t{16} << 10U;
constexpr std::size_t MaxWaitingParcels = 1024;

handle<GSocketAddress> socketAddress(const std::string &Ip,
                                     std::uint16_t Port) {
  return handle<GSocketAddress>::adopt(
      g_inet_socket_address_new_from_string(Ip.c_str(), Port));
}

void sendAtOnce(GSocketConnection *Connection) {
  g_socket_set_option(g_socket_connection_get_socket(Connection), IPPROTO_TCP,
                      TCP_NODELAY, 1, nullptr);
}

} // namespace

/// What an asynchronous call needs to find its relay again, and its bytes.
struct tcp_link::operation {
  tcp_link *Link = nullptr;
  relay_id Id = 0;
  way Way = ForwardWay;
  handle<GSocketConnection> Connection;
  std::string Bytes;
};

std::unique_ptr<tcp_link> tcp_link::create(link_ends Ends) {
  auto Link = std::make_unique<tcp_link>();
  Link->Ends = std::move(Ends);
  Link->Service = handle<GSocketService>::adopt(g_socket_service_new());
  Link->Connector = handle<GSocketClient>::adopt(g_socket_client_new());
  auto Address = socketAddress(Link->Ends.Address, Link->Ends.Port);
  GSocketAddress *Effective = nullptr;
  GError *Reason = nullptr;
  if (!Address || !g_socket_listener_add_address(
                      G_SOCKET_LISTENER(Link->Service.get()), Address.get(),
                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr,
                      &Effective, &Reason)) {
    fail(error_code::Unavailable, Reason ? Reason->message : "bad address");
    g_clear_error(&Reason);
    return nullptr;
  }
  Link->Ends.Port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(Effective));
  g_object_unref(Effective);
  g_signal_connect(Link->Service.get(), "incoming", G_CALLBACK(onIncoming),
                   Link.get());
  g_socket_service_start(Link->Service.get());
  return Link;
}

void tcp_link::setCuts(bool Forward, bool Backward) {
  Cut = {Forward, Backward};
  std::vector<relay_id> Ids;
  for (const auto &[Id, Relay] : Relays)
    Ids.push_back(Id);
  for (const relay_id Id : Ids)
    resume(Id);
}

void tcp_link::closeAll() {
  while (!Relays.empty())
    close(Relays.begin()->first);
}

gboolean tcp_link::onIncoming(GSocketService * /*Service*/,
                              GSocketConnection *Connection,
                              GObject * /*Source*/, gpointer Data) {
  auto &Link = *static_cast<tcp_link *>(Data);
  const relay_id Id = Link.NextId++;
  Link.Relays[Id].Client = handle<GSocketConnection>::share(Connection);
  sendAtOnce(Connection);
  Link.resume(Id);
  return TRUE;
}

void tcp_link::resume(relay_id Id) {
  const auto Found = Relays.find(Id);
  if (Found == Relays.end())
    return;
  if (!Found->second.Target) {
    // A handshake needs both ways.
    if (!isCut(ForwardWay) && !isCut(BackwardWay))
      connectTarget(Id);
    return;
  }
  for (const way Way : {ForwardWay, BackwardWay}) {
    read(Id, Way);
    write(Id, Way);
  }
}

void tcp_link::connectTarget(relay_id Id) {
  relay &Relay = Relays[Id];
  if (Relay.Connecting)
    return;
  Relay.Connecting = true;
  auto Address = socketAddress(Ends.Target, Ends.TargetPort);
  auto Operation = std::make_unique<operation>();
  Operation->Link = this;
  Operation->Id = Id;
  g_socket_client_connect_async(Connector.get(),
                                G_SOCKET_CONNECTABLE(Address.get()), nullptr,
                                onConnected, Operation.release());
}

void tcp_link::onConnected(GObject *Source, GAsyncResult *Result,
                           gpointer Data) {
  const std::unique_ptr<operation> Operation(static_cast<operation *>(Data));
  tcp_link &Link = *Operation->Link;
  auto Connection = handle<GSocketConnection>::adopt(
      g_socket_client_connect_finish(G_SOCKET_CLIENT(Source), Result, nullptr));
  const auto Found = Link.Relays.find(Operation->Id);
  if (Found == Link.Relays.end())
    return;
  if (!Connection)
    return Link.close(Operation->Id);
  sendAtOnce(Connection.get());
  Found->second.Target = Connection;
  Link.resume(Operation->Id);
}

void tcp_link::read(relay_id Id, way Way) {
  const auto Found = Relays.find(Id);
  if (Found == Relays.end())
    return;
  lane &Lane = Found->second.Lanes.at(Way);
  if (isCut(Way) || Lane.Reading || Lane.Ended ||
      Lane.Parcels.size() >= MaxWaitingParcels)
    return;
  Lane.Reading = true;
  auto Operation = std::make_unique<operation>();
  Operation->Link = this;
  Operation->Id = Id;
  Operation->Way = Way;
  Operation->Connection =
      Way == ForwardWay ? Found->second.Client : Found->second.Target;
  Operation->Bytes.resize(BufferBytes);
  GInputStream *Stream =
      g_io_stream_get_input_stream(G_IO_STREAM(Operation->Connection.get()));
  char *Buffer = Operation->Bytes.data();
  g_input_stream_read_async(Stream, Buffer, BufferBytes, G_PRIORITY_DEFAULT,
                            nullptr, onRead, Operation.release());
}

void tcp_link::onRead(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<operation> Operation(static_cast<operation *>(Data));
  tcp_link &Link = *Operation->Link;
  const gssize Count =
      g_input_stream_read_finish(G_INPUT_STREAM(Source), Result, nullptr);
  const auto Found = Link.Relays.find(Operation->Id);
  if (Found == Link.Relays.end())
    return;
  lane &Lane = Found->second.Lanes.at(Operation->Way);
  Lane.Reading = false;
  if (Count <= 0) {
    Lane.Ended = true;
  } else {
    Operation->Bytes.resize(static_cast<std::size_t>(Count));
    Lane.Parcels.push_back({nowMs() + Link.DelayMs, Operation->Bytes});
  }
  Link.write(Operation->Id, Operation->Way);
  Link.read(Operation->Id, Operation->Way);
}

void tcp_link::write(relay_id Id, way Way) {
  const auto Found = Relays.find(Id);
  if (Found == Relays.end())
    return;
  lane &Lane = Found->second.Lanes.at(Way);
  if (isCut(Way) || Lane.Writing)
    return;
  if (Lane.Parcels.empty()) {
    // The end of one side is passed on once its last bytes are.
    if (Lane.Ended)
      close(Id);
    return;
  }
  const std::int64_t WaitMs = Lane.Parcels.front().DueMs - nowMs();
  if (WaitMs > 0)
    return after(WaitMs, [this, Id, Way] { write(Id, Way); });
  Lane.Writing = true;
  auto Operation = std::make_unique<operation>();
  Operation->Link = this;
  Operation->Id = Id;
  Operation->Way = Way;
  Operation->Connection =
      Way == ForwardWay ? Found->second.Target : Found->second.Client;
  Operation->Bytes = std::move(Lane.Parcels.front().Bytes);
  Lane.Parcels.pop_front();
  GOutputStream *Stream =
      g_io_stream_get_output_stream(G_IO_STREAM(Operation->Connection.get()));
  const std::string &Bytes = Operation->Bytes;
  const char *Start = Bytes.data();
  const std::size_t Size = Bytes.size();
  g_output_stream_write_all_async(Stream, Start, Size, G_PRIORITY_DEFAULT,
                                  nullptr, onWritten, Operation.release());
}

void tcp_link::onWritten(GObject *Source, GAsyncResult *Result, gpointer Data) {
  const std::unique_ptr<operation> Operation(static_cast<operation *>(Data));
  tcp_link &Link = *Operation->Link;
  const bool Done = g_output_stream_write_all_finish(
                        G_OUTPUT_STREAM(Source), Result, nullptr, nullptr) != 0;
  const auto Found = Link.Relays.find(Operation->Id);
  if (Found == Link.Relays.end())
    return;
  Found->second.Lanes.at(Operation->Way).Writing = false;
  if (!Done)
    return Link.close(Operation->Id);
  Link.write(Operation->Id, Operation->Way);
  Link.read(Operation->Id, Operation->Way);
}

void tcp_link::close(relay_id Id) {
  const auto Found = Relays.find(Id);
  if (Found == Relays.end())
    return;
  for (const auto &Side : {Found->second.Client, Found->second.Target})
    if (Side)
      g_socket_shutdown(g_socket_connection_get_socket(Side.get()), TRUE, TRUE,
                        nullptr);
  Relays.erase(Found);
}

} // namespace turmerichead::standin
