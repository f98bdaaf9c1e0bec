#include "http_client.h"

#include "event_loop.h"

namespace turmerichead::scenario {

namespace {
constexpr gsize ReadBytes = 65536;
constexpr int MaxConnections = 4000;
} // namespace

struct http_client::exchange {
  handle<SoupMessage> Message;
  handle<GCancellable> Cancel;
  http_response Response;
};

/// Keeps an exchange alive while the library works on it.
struct http_client::reference {
  std::shared_ptr<exchange> Exchange;
};

http_client::http_client()
    : Session(handle<SoupSession>::adopt(soup_session_new_with_options(
          "max-conns", MaxConnections, "max-conns-per-host", MaxConnections,
          "timeout", 0, nullptr))) {}

request_id http_client::send(const http_request &Request) {
  const request_id Id = NextId++;
  auto Exchange = std::make_shared<exchange>();
  Exchanges[Id] = Exchange;
  Exchange->Cancel = handle<GCancellable>::adopt(g_cancellable_new());
  Exchange->Message = handle<SoupMessage>::adopt(
      soup_message_new(Request.Method.c_str(), Request.Url.c_str()));
  if (!Exchange->Message) {
    Exchange->Response = {0, "", "", true, true, "bad URL " + Request.Url};
    return Id;
  }
  soup_message_add_flags(Exchange->Message.get(), SOUP_MESSAGE_NEW_CONNECTION);
  SoupMessageHeaders *Headers =
      soup_message_get_request_headers(Exchange->Message.get());
  soup_message_headers_replace(Headers, "Connection", "close");
  for (const auto &[Name, Value] : Request.Headers)
    soup_message_headers_replace(Headers, Name.c_str(), Value.c_str());
  if (!Request.Body.empty()) {
    GBytes *Bytes = g_bytes_new(Request.Body.data(), Request.Body.size());
    const auto Type = Request.Headers.find("Content-Type");
    soup_message_set_request_body_from_bytes(Exchange->Message.get(),
                                             Type == Request.Headers.end()
                                                 ? "application/json"
                                                 : Type->second.c_str(),
                                             Bytes);
    g_bytes_unref(Bytes);
  }
  auto Reference = std::make_unique<reference>(reference{Exchange});
  soup_session_send_async(Session.get(), Exchange->Message.get(),
                          G_PRIORITY_DEFAULT, Exchange->Cancel.get(), onHead,
                          Reference.release());
  return Id;
}

void http_client::fail(exchange &Exchange, GError *Reason) {
  Exchange.Response.Failure = Reason ? Reason->message : "no reason";
  Exchange.Response.Done = true;
  Exchange.Response.Broken = true;
  g_clear_error(&Reason);
}

void http_client::onHead(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<reference> Reference(static_cast<reference *>(Data));
  exchange &Exchange = *Reference->Exchange;
  GError *Reason = nullptr;
  auto Stream = handle<GInputStream>::adopt(
      soup_session_send_finish(SOUP_SESSION(Source), Result, &Reason));
  if (!Stream)
    return fail(Exchange, Reason);
  Exchange.Response.Status = soup_message_get_status(Exchange.Message.get());
  const char *Type = soup_message_headers_get_content_type(
      soup_message_get_response_headers(Exchange.Message.get()), nullptr);
  Exchange.Response.ContentType = Type ? Type : "";
  readMore(std::move(Reference), Stream.get());
}

void http_client::readMore(std::unique_ptr<reference> Reference,
                           GInputStream *Stream) {
  GCancellable *Cancel = Reference->Exchange->Cancel.get();
  g_input_stream_read_bytes_async(Stream, ReadBytes, G_PRIORITY_DEFAULT, Cancel,
                                  onBody, Reference.release());
}

void http_client::onBody(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<reference> Reference(static_cast<reference *>(Data));
  exchange &Exchange = *Reference->Exchange;
  GError *Reason = nullptr;
  GBytes *Bytes =
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(Source), Result, &Reason);
  if (!Bytes)
    return fail(Exchange, Reason);
  gsize Size = 0;
  const auto *Start = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  if (Size > 0)
    Exchange.Response.Body.append(Start, Size);
  g_bytes_unref(Bytes);
  if (Size == 0) {
    Exchange.Response.Done = true;
    return;
  }
  readMore(std::move(Reference), G_INPUT_STREAM(Source));
}

const http_response &http_client::response(request_id Id) const {
  return Exchanges.at(Id)->Response;
}

void http_client::cancel(request_id Id) {
  g_cancellable_cancel(Exchanges.at(Id)->Cancel.get());
}

void http_client::forget(request_id Id) { Exchanges.erase(Id); }

http_response http_client::fetch(const http_request &Request,
                                 std::int64_t BoundMs) {
  const request_id Id = send(Request);
  if (!waitUntil([this, Id] { return response(Id).Done; }, BoundMs)) {
    cancel(Id);
    waitUntil([this, Id] { return response(Id).Done; }, BoundMs);
  }
  http_response Response = response(Id);
  forget(Id);
  return Response;
}

} // namespace turmerichead::scenario
