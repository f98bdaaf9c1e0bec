#include "server_pvt.h"

#include <charconv>

namespace turmerichead::http1 {

using namespace pvt;

std::string pvt::serializeHead(int Status, const header_list &Headers,
                               std::string_view Framing, bool Close) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " ";
  Text += reasonOf(Status);
  Text += "\r\n";
  for (const header &Row : Headers.rows())
    Text.append(Row.Name).append(": ").append(Row.Value).append("\r\n");
  Text += Framing;
  if (Close)
    Text += "Connection: close\r\n";
  Text += "\r\n";
  return Text;
}

namespace {

std::string chunkHead(std::size_t Size) {
  constexpr int Hexadecimal = 16;
  std::array<char, Hexadecimal + 2> Digits{};
  auto End = std::to_chars(Digits.data(), Digits.data() + Hexadecimal, Size,
                           Hexadecimal)
                 .ptr;
  return std::string(Digits.data(), End) + "\r\n";
}

bool hasNoBody(int Status) {
  return Status == status::NoContent || Status == status::NotModified;
}

} // namespace

void server::state::endExchange(exchange_id Id, server_connection_id Connection,
                                bool Close) {
  Exchanges.erase(Id);
  server_connection *Row = Connections.find(Connection);
  if (!Row)
    return;
  Row->Exchange = {};
  Row->Since = steadyNow();
  Row->Phase = Close ? server_phase::Closing : server_phase::Receiving;
  if (flush(Connection, *Row) && !Close)
    resumeLater(Connection);
}

bool server::respond(exchange_id Id, int Status, const header_list &Headers,
                     std::string_view Body) {
  return respondWith(Id, Status, Headers, std::string(Body));
}

bool server::respondWith(exchange_id Id, int Status, const header_list &Headers,
                         std::string Body) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || Exchange->Begun)
    return false;
  server_connection_id Connection = Exchange->Connection;
  server_connection *Row = State->Connections.find(Connection);
  bool Close = !Row->KeepAlive || State->Draining;
  std::string Framing;
  if (!hasNoBody(Status))
    Framing = "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  Row->Socket.queue(serializeHead(Status, Headers, Framing, Close));
  if (!Exchange->HeadOnly && !hasNoBody(Status))
    Row->Socket.queue(std::move(Body));
  State->endExchange(Id, Connection, Close);
  return true;
}

bool server::begin(exchange_id Id, int Status, const header_list &Headers) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || Exchange->Begun)
    return false;
  Exchange->Begun = true;
  server_connection_id Connection = Exchange->Connection;
  server_connection *Row = State->Connections.find(Connection);
  bool Close = !Row->KeepAlive || State->Draining;
  std::string_view Framing =
      Exchange->Http10 ? "" : "Transfer-Encoding: chunked\r\n";
  Row->Socket.queue(serializeHead(Status, Headers, Framing, Close));
  Row->KeepAlive = !Close;
  return State->flush(Connection, *Row);
}

bool server::write(exchange_id Id, std::string_view Bytes) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || !Exchange->Begun)
    return false;
  if (Bytes.empty() || Exchange->HeadOnly)
    return true;
  server_connection_id Connection = Exchange->Connection;
  server_connection *Row = State->Connections.find(Connection);
  if (Exchange->Http10) {
    Row->Socket.queue(std::string(Bytes));
  } else {
    std::string Chunk = chunkHead(Bytes.size());
    Chunk.append(Bytes).append("\r\n");
    Row->Socket.queue(std::move(Chunk));
  }
  return State->flush(Connection, *Row);
}

bool server::finish(exchange_id Id) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange || !Exchange->Begun)
    return false;
  server_connection_id Connection = Exchange->Connection;
  server_connection *Row = State->Connections.find(Connection);
  if (!Exchange->Http10 && !Exchange->HeadOnly)
    Row->Socket.queue("0\r\n\r\n");
  State->endExchange(Id, Connection, !Row->KeepAlive || Exchange->Http10);
  return true;
}

void server::abort(exchange_id Id) {
  exchange_row *Exchange = State->Exchanges.find(Id);
  if (!Exchange)
    return;
  server_connection_id Connection = Exchange->Connection;
  if (server_connection *Row = State->Connections.find(Connection)) {
    Row->Exchange = {};
    if (Exchange->endsWithConnection())
      Row->Socket.resetOnClose();
  }
  State->Exchanges.erase(Id);
  State->close(Connection);
}

} // namespace turmerichead::http1
