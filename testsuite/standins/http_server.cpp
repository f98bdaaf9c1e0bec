#include "http_server.h"

#include "turmerichead/error.h"

#include <glib-unix.h>

#include <csignal>
#include <cstdio>
#include <memory>

namespace turmerichead::standin {

namespace {

constexpr const char *FinishedKey = "standin-finished";

void onFinished(SoupServerMessage *Message, gpointer /*Data*/) {
  g_object_set_data(G_OBJECT(Message), FinishedKey, Message);
}

std::map<std::string, std::string> readQuery(GHashTable *Table) {
  std::map<std::string, std::string> Result;
  if (!Table)
    return Result;
  GHashTableIter Position;
  gpointer Key = nullptr;
  gpointer Value = nullptr;
  g_hash_table_iter_init(&Position, Table);
  while (g_hash_table_iter_next(&Position, &Key, &Value))
    Result[static_cast<const char *>(Key)] = static_cast<const char *>(Value);
  return Result;
}

void onRequest(SoupServer * /*Server*/, SoupServerMessage *Message,
               const char *Path, GHashTable *Query, gpointer Data) {
  g_signal_connect(Message, "finished", G_CALLBACK(onFinished), nullptr);
  auto &OnCall = *static_cast<http_server::handler *>(Data);
  OnCall(exchange(Message, Path, readQuery(Query)));
}

void destroyHandler(gpointer Data) {
  std::unique_ptr<http_server::handler> Owned(
      static_cast<http_server::handler *>(Data));
}

using action = std::function<void()>;

gboolean runOnce(gpointer Data) {
  (*static_cast<action *>(Data))();
  return G_SOURCE_REMOVE;
}

gboolean runAgain(gpointer Data) {
  (*static_cast<action *>(Data))();
  return G_SOURCE_CONTINUE;
}

void destroyAction(gpointer Data) {
  std::unique_ptr<action> Owned(static_cast<action *>(Data));
}

void addTimer(std::int64_t Ms, action Action, GSourceFunc Run) {
  auto Owned = std::make_unique<action>(std::move(Action));
  g_timeout_add_full(G_PRIORITY_DEFAULT, static_cast<guint>(Ms), Run,
                     Owned.release(), destroyAction);
}

gboolean stopLoop(gpointer Data) {
  g_main_loop_quit(static_cast<GMainLoop *>(Data));
  return G_SOURCE_REMOVE;
}

/// The library's own listeners queue ten connections, too few for a load that
/// begins at once: the system resets those beyond.
handle<GSocket> listenOn(GSocketAddress *Address, GError **Reason) {
  constexpr int Backlog = 4096;
  auto Socket = handle<GSocket>::adopt(
      g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, Reason));
  if (!Socket)
    return {};
  g_socket_set_listen_backlog(Socket.get(), Backlog);
  if (!g_socket_bind(Socket.get(), Address, TRUE, Reason) ||
      !g_socket_listen(Socket.get(), Reason))
    return {};
  return Socket;
}

std::uint16_t portOf(SoupServer *Server) {
  GSList *Uris = soup_server_get_uris(Server);
  const int Port = g_uri_get_port(static_cast<GUri *>(Uris->data));
  g_slist_free_full(Uris, reinterpret_cast<GDestroyNotify>(g_uri_unref));
  return static_cast<std::uint16_t>(Port);
}

} // namespace

exchange::exchange(SoupServerMessage *Message, std::string Path,
                   std::map<std::string, std::string> Query)
    : Message(handle<SoupServerMessage>::share(Message)), Path(std::move(Path)),
      Query(std::move(Query)) {}

std::string exchange::method() const {
  return soup_server_message_get_method(Message.get());
}

std::string exchange::body() const {
  const SoupMessageBody *Body =
      soup_server_message_get_request_body(Message.get());
  if (!Body->data)
    return {};
  return {Body->data, static_cast<std::size_t>(Body->length)};
}

std::string exchange::header(const char *Name) const {
  const char *Value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(Message.get()), Name);
  return Value ? Value : "";
}

std::string exchange::query(const std::string &Name,
                            const std::string &Fallback) const {
  auto Found = Query.find(Name);
  return Found == Query.end() ? Fallback : Found->second;
}

nlohmann::json exchange::json() const {
  return nlohmann::json::parse(body(), nullptr, false);
}

void exchange::reply(unsigned Status, const nlohmann::json &Body) const {
  const std::string Text =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  soup_server_message_set_status(Message.get(), Status, nullptr);
  soup_server_message_set_response(Message.get(), "application/json",
                                   SOUP_MEMORY_COPY, Text.data(), Text.size());
  soup_server_message_unpause(Message.get());
}

void exchange::replyRetryLater(unsigned Status, const nlohmann::json &Body,
                               int Seconds) const {
  soup_message_headers_replace(
      soup_server_message_get_response_headers(Message.get()), "Retry-After",
      std::to_string(Seconds).c_str());
  reply(Status, Body);
}

void exchange::hold() const { soup_server_message_pause(Message.get()); }

void exchange::startStream(const char *ContentType) const {
  SoupMessageHeaders *Headers =
      soup_server_message_get_response_headers(Message.get());
  soup_server_message_set_status(Message.get(), SOUP_STATUS_OK, nullptr);
  soup_message_headers_set_encoding(Headers, SOUP_ENCODING_CHUNKED);
  soup_message_headers_set_content_type(Headers, ContentType, nullptr);
  soup_message_body_set_accumulate(
      soup_server_message_get_response_body(Message.get()), FALSE);
  soup_server_message_unpause(Message.get());
}

void exchange::send(std::string_view Chunk) const {
  if (!isOpen())
    return;
  soup_message_body_append(soup_server_message_get_response_body(Message.get()),
                           SOUP_MEMORY_COPY, Chunk.data(), Chunk.size());
  soup_server_message_unpause(Message.get());
}

void exchange::endStream() const {
  if (!isOpen())
    return;
  soup_message_body_complete(
      soup_server_message_get_response_body(Message.get()));
  soup_server_message_unpause(Message.get());
}

void exchange::drop() const {
  if (!isOpen())
    return;
  // The library notices the closed socket when it writes, so it is given
  // something to write.
  GSocket *Socket = soup_server_message_get_socket(Message.get());
  if (Socket)
    g_socket_shutdown(Socket, TRUE, TRUE, nullptr);
  soup_server_message_set_status(Message.get(), SOUP_STATUS_SERVICE_UNAVAILABLE,
                                 nullptr);
  soup_message_body_complete(
      soup_server_message_get_response_body(Message.get()));
  soup_server_message_unpause(Message.get());
}

bool exchange::isOpen() const {
  return g_object_get_data(G_OBJECT(Message.get()), FinishedKey) == nullptr;
}

std::optional<http_server> http_server::create(const std::string &Address,
                                               std::uint16_t Port,
                                               handler OnCall) {
  auto Server = handle<SoupServer>::adopt(soup_server_new(nullptr, nullptr));
  auto Owned = std::make_unique<handler>(std::move(OnCall));
  soup_server_add_handler(Server.get(), nullptr, onRequest, Owned.release(),
                          destroyHandler);
  auto Socket = handle<GSocketAddress>::adopt(
      g_inet_socket_address_new_from_string(Address.c_str(), Port));
  if (!Socket)
    return fail(error_code::InvalidInput, "not an IP number: " + Address);
  GError *Reason = nullptr;
  auto Listener = listenOn(Socket.get(), &Reason);
  if (!Listener || !soup_server_listen_socket(
                       Server.get(), Listener.get(),
                       static_cast<SoupServerListenOptions>(0), &Reason)) {
    auto Failure = fail(error_code::Unavailable, Reason->message);
    g_error_free(Reason);
    return Failure;
  }
  const std::uint16_t Actual = portOf(Server.get());
  return http_server(std::move(Server), Actual);
}

void after(std::int64_t DelayMs, std::function<void()> Action) {
  addTimer(DelayMs, std::move(Action), runOnce);
}

void every(std::int64_t PeriodMs, std::function<void()> Action) {
  addTimer(PeriodMs, std::move(Action), runAgain);
}

std::int64_t nowMs() { return g_get_monotonic_time() / 1000; }

int runUntilStopped(std::uint16_t Port) {
  std::signal(SIGPIPE, SIG_IGN);
  GMainLoop *Loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, stopLoop, Loop);
  g_unix_signal_add(SIGINT, stopLoop, Loop);
  std::printf("ready %u\n", static_cast<unsigned>(Port));
  std::fflush(stdout);
  g_main_loop_run(Loop);
  g_main_loop_unref(Loop);
  return 0;
}

} // namespace turmerichead::standin
