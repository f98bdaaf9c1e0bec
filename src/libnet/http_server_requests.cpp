#include "http_server_pvt.h"

namespace turmerichead {

using namespace pvt;

namespace {

constexpr int StatusHeadersTooLarge = 431; ///< Not defined by libsoup.

template <typename Context> void freeContext(gpointer Data, GClosure *) {
  delete static_cast<Context *>(Data);
}

std::size_t sizeOf(SoupMessageHeaders *Headers) {
  std::size_t Bytes = 0;
  SoupMessageHeadersIter Iter;
  soup_message_headers_iter_init(&Iter, Headers);
  const char *Name = nullptr;
  const char *Value = nullptr;
  while (soup_message_headers_iter_next(&Iter, &Name, &Value))
    Bytes += std::string_view(Name).size() + std::string_view(Value).size();
  return Bytes;
}
} // namespace

void http_server::state::onEarly(SoupServer * /*Server*/,
                                 SoupServerMessage *Message,
                                 const char * /*Path*/, GHashTable * /*Query*/,
                                 gpointer Data) {
  static_cast<state *>(Data)->checkHeaders(Message);
}

void http_server::state::checkHeaders(SoupServerMessage *Message) {
  http_connection_id Id = connectionOf(Message);
  if (http_connection_row *Connection = Connections.find(Id)) {
    Connection->ReadingSince = steadyNow();
    Connection->BodyBytes = 0;
  }
  SoupMessageHeaders *Headers =
      soup_server_message_get_request_headers(Message);
  if (sizeOf(Headers) > Settings.MaxHeaderBytes) {
    reject(Message, StatusHeadersTooLarge, "the headers are over the limit");
    return;
  }
  bool IsSized = soup_message_headers_get_encoding(Headers) ==
                 SOUP_ENCODING_CONTENT_LENGTH;
  auto Declared = soup_message_headers_get_content_length(Headers);
  if (IsSized && Declared > static_cast<goffset>(Settings.MaxBodyBytes)) {
    reject(Message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
           "the body is over the limit");
    return;
  }
  if (http_connection_row *Connection = Connections.find(Id))
    Connection->Reading = Message;
  g_signal_connect_data(Message, "got-chunk", G_CALLBACK(onChunk),
                        new http_reading_context{{Self, Id}, Message},
                        onReadingGone, static_cast<GConnectFlags>(0));
}

void http_server::state::onChunk(SoupServerMessage *Message, GBytes *Chunk,
                                 http_reading_context *Context) {
  state *Owner = Context->owner();
  http_connection_row *Connection =
      Owner ? Owner->Connections.find(Context->Row) : nullptr;
  if (!Connection || soup_server_message_get_status(Message) != 0)
    return;
  Connection->BodyBytes += g_bytes_get_size(Chunk);
  if (Connection->BodyBytes > Owner->Settings.MaxBodyBytes)
    Owner->reject(Message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                  "the body is over the limit");
  else
    Owner->countHeldBytes(*Connection);
}

void http_server::state::onReadingGone(gpointer Data, GClosure *) {
  std::unique_ptr<http_reading_context> Context(
      static_cast<http_reading_context *>(Data));
  state *Owner = Context->owner();
  http_connection_row *Row =
      Owner ? Owner->Connections.find(Context->Row) : nullptr;
  if (Row && Row->Reading == Context->Message)
    Row->Reading = nullptr;
}

/// Responds without calling the handler. libsoup reads and discards the rest of
/// the body, for at most the request timeout.
void http_server::state::reject(SoupServerMessage *Message, int Status,
                                std::string_view Text) {
  soup_message_body_set_accumulate(
      soup_server_message_get_request_body(Message), FALSE);
  soup_message_headers_replace(
      soup_server_message_get_response_headers(Message), "Connection", "close");
  soup_server_message_set_status(Message, static_cast<guint>(Status), nullptr);
  std::string Body;
  if (Events.OnBadRequest)
    Body = Events.OnBadRequest(Status, Text);
  soup_server_message_set_response(Message, "application/json",
                                   SOUP_MEMORY_COPY, Body.data(), Body.size());
}

std::optional<std::string_view>
http_request_view::header(std::string_view Name) const {
  auto *Rows = static_cast<SoupMessageHeaders *>(const_cast<void *>(Headers));
  const char *Value =
      soup_message_headers_get_one(Rows, std::string(Name).c_str());
  if (!Value)
    return std::nullopt;
  return Value;
}

void http_server::state::onRequest(SoupServer * /*Server*/,
                                   SoupServerMessage *Message, const char *Path,
                                   GHashTable * /*Query*/, gpointer Data) {
  static_cast<state *>(Data)->dispatch(Message, Path);
}

void http_server::state::dispatch(SoupServerMessage *Message,
                                  const char *Path) {
  if (soup_server_message_get_status(Message) != 0)
    return; // Already rejected.
  http_connection_id Connection = connectionOf(Message);
  if (http_connection_row *Row = Connections.find(Connection)) {
    Row->ReadingSince.reset();
    Row->Reading = nullptr;
    Row->LastActive = steadyNow();
  }
  http_exchange_row Exchange;
  Exchange.Message = handle<SoupServerMessage>::share(Message);
  Exchange.Connection = Connection;
  Exchange.LastTaken = steadyNow();
  http_exchange_id Id = Exchanges.insert(std::move(Exchange));
  g_signal_connect_data(Message, "finished", G_CALLBACK(onFinished),
                        new http_exchange_context{Self, Id},
                        freeContext<http_exchange_context>,
                        static_cast<GConnectFlags>(0));
  g_signal_connect_data(Message, "wrote-body-data", G_CALLBACK(onWrote),
                        new http_exchange_context{Self, Id},
                        freeContext<http_exchange_context>,
                        static_cast<GConnectFlags>(0));
  // libsoup does not read the connection until the response is sent, so it does
  // not detect that the caller closes it.
  if (http_connection_row *Row = Connections.find(Connection)) {
    Row->Exchange = Id;
    Callers->add(g_socket_get_fd(Row->Socket.get()),
                 poll_set::interest::ClosedByPeer, keyOf(Connection));
  }
  soup_server_message_pause(Message);
  SoupMessageBody *Body = soup_server_message_get_request_body(Message);
  auto Bytes = soup_message_body_flatten(Body);
  gsize Length = 0;
  const auto *Data =
      static_cast<const char *>(g_bytes_get_data(Bytes, &Length));
  const char *Query = g_uri_get_query(soup_server_message_get_uri(Message));
  const char *Host = soup_server_message_get_remote_host(Message);
  Events.OnRequest({Id, soup_server_message_get_method(Message), Path,
                    Query ? Query : "", std::string_view(Data, Length),
                    Host ? Host : "",
                    soup_server_message_get_request_headers(Message)});
  g_bytes_unref(Bytes);
}

} // namespace turmerichead
