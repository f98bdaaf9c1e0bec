#include "http_server_pvt.h"

#include <algorithm>

namespace turmerichead {

using namespace pvt;

namespace {

void setHead(SoupServerMessage *Message, int Status,
             const std::vector<http_header> &Headers, bool Last) {
  soup_server_message_set_status(Message, static_cast<guint>(Status), nullptr);
  SoupMessageHeaders *Rows = soup_server_message_get_response_headers(Message);
  if (Last)
    soup_message_headers_replace(Rows, "Connection", "close");
  for (const http_header &Header : Headers)
    soup_message_headers_replace(Rows, Header.Name.c_str(),
                                 Header.Value.c_str());
}

void append(http_exchange_row &Exchange, std::string_view Bytes) {
  if (Bytes.empty())
    return;
  soup_message_body_append(
      soup_server_message_get_response_body(Exchange.Message.get()),
      SOUP_MEMORY_COPY, Bytes.data(), Bytes.size());
  if (Exchange.Buffered == 0)
    Exchange.LastTaken = steadyNow();
  Exchange.Buffered += Bytes.size();
}

} // namespace

/// Returns the exchange, or nullptr with NotFound if its response is complete.
http_exchange_row *http_server::state::findOpen(http_exchange_id Id) {
  http_exchange_row *Exchange = Exchanges.find(Id);
  if (Exchange && !Exchange->Ended)
    return Exchange;
  fail(error_code::NotFound, "the exchange has ended");
  return nullptr;
}

bool http_server::respond(http_exchange_id Exchange, int Status,
                          const std::vector<http_header> &Headers,
                          std::string_view Body) {
  http_exchange_row *Row = State->findOpen(Exchange);
  if (!Row)
    return false;
  SoupServerMessage *Message = Row->Message.get();
  setHead(Message, Status, Headers, !State->Listener.isOpen());
  soup_message_headers_set_content_length(
      soup_server_message_get_response_headers(Message),
      static_cast<goffset>(Body.size()));
  append(*Row, Body);
  Row->Ended = true;
  soup_message_body_complete(soup_server_message_get_response_body(Message));
  soup_server_message_unpause(Message);
  State->countUnsentBytes(Exchange);
  return true;
}

bool http_server::beginStream(http_exchange_id Exchange, int Status,
                              const std::vector<http_header> &Headers) {
  http_exchange_row *Row = State->findOpen(Exchange);
  if (!Row)
    return false;
  SoupServerMessage *Message = Row->Message.get();
  setHead(Message, Status, Headers, !State->Listener.isOpen());
  soup_message_headers_set_encoding(
      soup_server_message_get_response_headers(Message), SOUP_ENCODING_CHUNKED);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(Message), FALSE);
  soup_server_message_unpause(Message);
  return true;
}

bool http_server::writeChunk(http_exchange_id Exchange,
                             std::string_view Bytes) {
  http_exchange_row *Row = State->findOpen(Exchange);
  if (!Row)
    return false;
  if (Row->Buffered + Bytes.size() > State->Settings.MaxBufferedBytes) {
    fail(error_code::Refused, "the caller reads too slowly");
    return false;
  }
  append(*Row, Bytes);
  soup_server_message_unpause(Row->Message.get());
  State->countUnsentBytes(Exchange);
  return true;
}

bool http_server::endStream(http_exchange_id Exchange) {
  http_exchange_row *Row = State->findOpen(Exchange);
  if (!Row)
    return false;
  Row->Ended = true;
  soup_message_body_complete(
      soup_server_message_get_response_body(Row->Message.get()));
  soup_server_message_unpause(Row->Message.get());
  return true;
}

bool http_server::abortStream(http_exchange_id Exchange) {
  http_exchange_row *Row = State->findOpen(Exchange);
  if (!Row)
    return false;
  Row->Ended = true; // The owner aborts it, so OnGone is not called.
  State->cutOff(Exchange);
  return true;
}

std::size_t http_server::bufferedBytes(http_exchange_id Exchange) const {
  const http_exchange_row *Row = State->Exchanges.find(Exchange);
  return Row ? Row->Buffered : 0;
}

// -- End of an exchange -------------------------------------------------------

/// Shuts down the connection, so that the next write of libsoup fails and it
/// releases the connection.
void http_server::state::cutOff(http_exchange_id Id) {
  http_exchange_row *Exchange = Exchanges.find(Id);
  if (!Exchange)
    return;
  if (http_connection_row *Row = Connections.find(Exchange->Connection))
    g_socket_shutdown(Row->Socket.get(), TRUE, TRUE, nullptr);
  SoupServerMessage *Message = Exchange->Message.get();
  if (soup_server_message_get_status(Message) == 0)
    soup_server_message_set_status(Message, SOUP_STATUS_INTERNAL_SERVER_ERROR,
                                   nullptr);
  soup_message_body_append(soup_server_message_get_response_body(Message),
                           SOUP_MEMORY_STATIC, " ", 1);
  soup_server_message_unpause(Message);
  bool Ended = Exchange->Ended;
  Exchanges.erase(Id);
  if (!Ended && Events.OnClientGone)
    Events.OnClientGone(Id);
}

void http_server::state::onFinished(SoupServerMessage * /*Message*/,
                                    http_exchange_context *Context) {
  if (state *Owner = Context->owner())
    Owner->finished(Context->Row);
}

void http_server::state::finished(http_exchange_id Id) {
  http_exchange_row *Exchange = Exchanges.find(Id);
  if (!Exchange)
    return;
  bool Ended = Exchange->Ended;
  http_connection_row *Row = Connections.find(Exchange->Connection);
  Exchanges.erase(Id);
  if (Row) {
    Row->LastActive = steadyNow();
    Row->BodyBytes = 0;
    countHeldBytes(*Row);
  }
  if (!Ended && Events.OnClientGone)
    Events.OnClientGone(Id);
}

void http_server::state::onWrote(SoupServerMessage * /*Message*/, guint Size,
                                 http_exchange_context *Context) {
  state *Owner = Context->owner();
  http_exchange_row *Exchange =
      Owner ? Owner->Exchanges.find(Context->Row) : nullptr;
  if (!Exchange)
    return;
  Exchange->Buffered -= std::min<std::size_t>(Exchange->Buffered, Size);
  Exchange->LastTaken = steadyNow();
  Owner->countUnsentBytes(Context->Row);
}

} // namespace turmerichead
