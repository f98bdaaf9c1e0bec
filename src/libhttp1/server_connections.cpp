#include "server_pvt.h"

#include <utility>

namespace turmerichead::http1 {

using namespace pvt;

namespace {

// Time for which input is still read after the last answer. Closing a socket
// with unread input would reset it, and the answer could be lost.
constexpr milliseconds LingerTime{1000};
constexpr milliseconds SilenceTimeout{5000};

} // namespace

void server::state::onReady(std::uint64_t Key) {
  if (Key == ListenerKey) {
    Listener.acceptAll([this](handle<GSocket> Socket) {
      acceptConnection(std::move(Socket));
    });
    return;
  }
  auto Id = idOf<server_connection>(Key);
  server_connection *Row = Connections.find(Id);
  if (!Row)
    return;
  if (Row->Interest == poll_set::interest::Errors) {
    close(Id); // It was lost while nothing was read from it.
    return;
  }
  if (Row->Socket.unsent() > 0 && !flush(Id, *Row))
    return;
  if (isFull(*Row))
    return;
  auto Result = Row->Socket.read(Row->Input);
  if (Result == io_result::Blocked) {
    process(Id); // Input that was held back while answers were unsent.
    return;
  }
  if (Result != io_result::Done) {
    close(Id);
    return;
  }
  if (Row->Phase == server_phase::Closing) {
    Row->Input.clear();
    return;
  }
  process(Id);
  if (Budget)
    Budget->enforce();
}

void server::state::acceptConnection(handle<GSocket> Socket) {
  ++Counters.Accepted;
  if (Connections.size() >= Limits.MaxConnections && !makeRoom())
    return;
  setSilenceTimeout(Socket.get(), SilenceTimeout);
  server_connection Row;
  Row.PeerIp = peerIpOf(Socket.get());
  Row.Socket = buffered_socket(std::move(Socket));
  Row.Parser.setMaxHeadBytes(Limits.HeaderBytes);
  Row.Since = steadyNow();
  Row.TakenAt = Row.Since;
  auto Id = Connections.insert(std::move(Row));
  server_connection *Stored = Connections.find(Id);
  if (Budget)
    Stored->Memory = Budget->add(Owner, keyOf(Id));
  Sockets->add(Stored->Socket.descriptor(), Stored->Interest, keyOf(Id));
}

// Updates the polled events for the phase of the connection.
void server::state::updateInterest(server_connection_id Id,
                                   server_connection &Row) {
  bool Full = isFull(Row);
  bool Unsent = Row.Socket.unsent() > 0;
  auto Wanted = poll_set::interest::Readable;
  if (Unsent)
    Wanted =
        Full ? poll_set::interest::Writable : poll_set::interest::ReadWrite;
  else if (Full)
    Wanted = poll_set::interest::Errors;
  if (Wanted == Row.Interest)
    return;
  Row.Interest = Wanted;
  Sockets->add(Row.Socket.descriptor(), Wanted, keyOf(Id));
}

// Sends pending bytes. Returns false if the connection is lost; it is closed in
// the next loop iteration, so that no callback runs inside a call of the user.
bool server::state::flush(server_connection_id Id, server_connection &Row) {
  auto Result = Row.Socket.flush();
  if (Result == io_result::Failed ||
      Row.Socket.unsent() > Limits.MaxUnsentBytes) {
    Broken.push_back(Id);
    wakeLater();
    return false;
  }
  if (Result == io_result::Done && Row.Phase == server_phase::Closing &&
      !Row.FinishedWriting) {
    Row.Socket.shutdownWrite();
    Row.FinishedWriting = true;
  }
  updateInterest(Id, Row);
  countHeldBytes(Row);
  return true;
}

void server::state::close(server_connection_id Id) {
  server_connection *Row = Connections.find(Id);
  if (!Row)
    return;
  Sockets->remove(Row->Socket.descriptor());
  exchange_id Exchange = Row->Exchange;
  const exchange_row *Open = Exchanges.find(Exchange);
  if (Open && Open->endsWithConnection())
    Row->Socket.resetOnClose();
  if (Budget)
    Budget->release(Row->Memory);
  Connections.erase(Id);
  if (Exchanges.erase(Exchange))
    Events.OnGone(Exchange);
}

void server::state::sweep() {
  time_point Now = steadyNow();
  std::vector<server_connection_id> Late;
  std::vector<server_connection_id> Unread;
  Connections.forEach([&](server_connection_id Id, server_connection &Row) {
    milliseconds Age = Now - Row.Since;
    bool Reading = Row.isReading();
    if (Row.Socket.unsent() == 0 || Row.Socket.sent() != Row.SentBefore) {
      Row.SentBefore = Row.Socket.sent();
      Row.TakenAt = Now;
    }
    if (Now - Row.TakenAt >= Limits.UnreadTimeout) {
      Unread.push_back(Id);
      return;
    }
    if (Row.Phase == server_phase::Closing && Age > LingerTime)
      Late.push_back(Id);
    if (Row.Phase == server_phase::Receiving &&
        Age > (Reading ? Limits.HeaderTimeout : Limits.IdleTimeout))
      Late.push_back(Id);
  });
  for (server_connection_id Id : Late) {
    server_connection *Row = Connections.find(Id);
    if (Row && Row->Phase == server_phase::Receiving && Row->isReading())
      refuse(Id, *Row, status::RequestTimeout,
             "the request took too long to arrive");
    else
      close(Id);
  }
  for (server_connection_id Id : Unread) {
    report(client_end::Unread);
    close(Id);
  }
}

// Whether nothing is read from the connection at present.
bool server::state::isFull(const server_connection &Row) const {
  return Row.awaitsReader() || (Row.Phase == server_phase::Answering &&
                                Row.Input.size() >= Limits.ReadAheadBytes);
}

void server::state::resumeLater(server_connection_id Id) {
  server_connection *Row = Connections.find(Id);
  if (!Row || Row->Input.empty())
    return;
  Ready.push_back(Id);
  wakeLater();
}

void server::state::wakeLater() {
  if (Resume)
    return;
  Resume = loop_source::soon([this] {
    Resume.reset();
    for (server_connection_id Lost : std::exchange(Broken, {}))
      close(Lost);
    for (server_connection_id Next : std::exchange(Ready, {}))
      process(Next);
    return false;
  });
}

} // namespace turmerichead::http1
