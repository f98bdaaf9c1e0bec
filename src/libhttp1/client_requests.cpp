#include "client_pvt.h"
#include "grammar_pvt.h"

#include <algorithm>

namespace turmerichead::http1 {

using namespace pvt;

namespace {

std::string serialize(const call_request &Request) {
  std::string Text = Request.Method + " " + Request.Target + " HTTP/1.1\r\n";
  for (const header &Row : Request.Headers.rows())
    Text.append(Row.Name).append(": ").append(Row.Value).append("\r\n");
  std::size_t Length = 0;
  for (const std::string &Piece : Request.Body)
    Length += Piece.size();
  bool MayHaveBody = Request.Method != "GET" && Request.Method != "HEAD" &&
                     Request.Method != "DELETE";
  if (Length > 0 || MayHaveBody)
    Text += "Content-Length: " + std::to_string(Length) + "\r\n";
  Text += "\r\n";
  return Text;
}

} // namespace

bool isSendable(const call_request &Request) {
  return isTarget(Request.Target) &&
         std::all_of(
             Request.Headers.rows().begin(), Request.Headers.rows().end(),
             [](const header &Row) { return isField(Row.Name, Row.Value); });
}

// Sends the request at once if the connection is established.
void client::state::assignCall(client_connection_id Id, call_id CallId) {
  client_connection &Row = *Connections.find(Id);
  call_row &Call = *Calls.find(CallId);
  Call.Connection = Id;
  Row.Call = CallId;
  Row.MaxIdle = Call.Request.MaxIdle;
  Row.beginMessage();
  Row.Parser.setNoBody(Call.Request.Method == "HEAD");
  Row.DroppedBytes = 0;
  ++Row.Uses;
  if (Row.Phase == client_phase::Idle)
    sendRequest(Id);
}

void client::state::queueRequest(client_connection &Row) {
  call_request &Request = Calls.find(Row.Call)->Request;
  Row.SentBefore = Row.Socket.sent();
  Row.Socket.queue(serialize(Request));
  for (std::string &Piece : Request.Body)
    Row.Socket.queue(std::move(Piece));
  Request.Body.clear();
}

// Sends the request of the current call over an established connection.
void client::state::sendRequest(client_connection_id Id) {
  client_connection &Row = *Connections.find(Id);
  Row.Phase = client_phase::Busy;
  queueRequest(Row);
  flush(Id);
}

void client::state::flush(client_connection_id Id) {
  client_connection *Row = Connections.find(Id);
  if (Row->Socket.flush() != io_result::Failed) {
    updateInterest(Id, *Row);
    return;
  }
  // Callbacks of a call are never called inside call().
  Deferred.add([this, Id] { onWriteFailed(Id); });
}

void client::state::onWriteFailed(client_connection_id Id) {
  // An answer may have arrived before the server closed the connection.
  if (Connections.find(Id))
    onReadable(Id);
  if (Connections.find(Id))
    fail(Id, "the connection was lost while the request was written");
}

void client::state::updateInterest(client_connection_id Id,
                                   client_connection &Row) {
  auto Wanted = Row.Socket.unsent() > 0 ? poll_set::interest::ReadWrite
                                        : poll_set::interest::Readable;
  if (Row.Interest == Wanted)
    return;
  Row.Interest = Wanted;
  Sockets->add(Row.Socket.descriptor(), Wanted, keyOf(Id));
}

} // namespace turmerichead::http1
