/// \file
/// Implementation of http_server.
#pragma once

#include "turmerichead/log_limiter.h"
#include "turmerichead/memory_budget.h"
#include "turmerichead/net_http.h"
#include "turmerichead/net_loop.h"
#include "turmerichead/table.h"

#include <libsoup/soup.h>

namespace turmerichead {

namespace pvt {

inline constexpr milliseconds HttpSweepInterval{500};

struct http_connection_row;
using http_connection_id = typed_id<http_connection_row>;

/// A connection from a caller.
struct http_connection_row {
  /// Owned by the SoupServer; nullptr until the first bytes have arrived.
  GSocketConnection *Stream = nullptr;
  handle<GSocket> Socket;
  http_exchange_id Exchange; ///< Stale between exchanges.
  time_point LastActive;
  std::optional<time_point> ReadingSince; ///< Set while a body is read.
  std::size_t BodyBytes = 0;
  memory_holder_id Memory;
  SoupServerMessage *Reading = nullptr; ///< While its body is read; not owned.
};

/// User data of a GLib callback: a row of the server. It may outlive the
/// server, because libsoup finishes a message after its connection was closed.
template <typename Id> struct http_row_context {
  std::weak_ptr<http_server::state *> Server;
  Id Row;

  /// Returns the server, or nullptr if it has been destroyed.
  http_server::state *owner() const {
    auto Locked = Server.lock();
    return Locked ? *Locked : nullptr;
  }
};
using http_connection_context = http_row_context<http_connection_id>;
/// User data of the callbacks of a message whose body is read. It is deleted
/// with the message.
struct http_reading_context : http_connection_context {
  SoupServerMessage *Message = nullptr;
};
using http_exchange_context = http_row_context<http_exchange_id>;

} // namespace pvt

/// A request that was passed to the handler. Its row exists until the response
/// has been sent.
struct http_exchange_row {
  handle<SoupServerMessage> Message;
  pvt::http_connection_id Connection;
  std::size_t Buffered = 0;
  time_point LastTaken;
  bool Ended = false; ///< Whether the handler has completed the response.
};

struct http_server::state {
  http_server_settings Settings;
  http_server_events Events;
  handle<SoupServer> Server;
  listener Listener;
  std::optional<poll_set> Callers;
  loop_source Accepting;
  loop_source Sweep;
  table<pvt::http_connection_row> Connections;
  table<http_exchange_row> Exchanges;
  std::shared_ptr<state *> Self = std::make_shared<state *>(this);
  std::optional<memory_budget> Budget;
  memory_owner_id Owner;
  log_limiter LogLimiter;

  ~state();
  void countHeldBytes(pvt::http_connection_row &Connection);
  void closeForMemory(pvt::http_connection_id Id);
  void countUnsentBytes(http_exchange_id Id);
  void erase(pvt::http_connection_id Id);
  void acceptConnection(handle<GSocket> Socket);
  void waitForRequest(handle<GSocket> Socket);
  void adopt(pvt::http_connection_id Id);
  pvt::http_connection_id connectionOf(SoupServerMessage *Message) const;
  void checkHeaders(SoupServerMessage *Message);
  void reject(SoupServerMessage *Message, int Status, std::string_view Text);
  void dispatch(SoupServerMessage *Message, const char *Path);
  void callerReady(pvt::http_connection_id Id);
  void finished(http_exchange_id Id);
  void cutOff(http_exchange_id Id);
  void sweep();
  http_exchange_row *findOpen(http_exchange_id Id);

  static void onEarly(SoupServer *Server, SoupServerMessage *Message,
                      const char *Path, GHashTable *Query, gpointer Data);
  static void onRequest(SoupServer *Server, SoupServerMessage *Message,
                        const char *Path, GHashTable *Query, gpointer Data);
  static void onChunk(SoupServerMessage *Message, GBytes *Chunk,
                      pvt::http_reading_context *Context);
  static void onReadingGone(gpointer Data, GClosure *Closure);
  static void onFinished(SoupServerMessage *Message,
                         pvt::http_exchange_context *Context);
  static void onWrote(SoupServerMessage *Message, guint Size,
                      pvt::http_exchange_context *Context);
  static void onConnectionGone(gpointer Data, GObject *Where);
};

} // namespace turmerichead
