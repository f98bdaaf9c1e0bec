/// \file
/// One TCP connection with an HTTP/2 session on it. Shared by both ends of a
/// link; the session's callbacks belong to the end.
#pragma once

#include "turmerichead/net_loop.h"
#include "turmerichead/net_peer.h"

#include <nghttp2/nghttp2.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::pvt {

struct session_deleter {
  void operator()(nghttp2_session *Session) const {
    nghttp2_session_del(Session);
  }
};
using session_handle = std::unique_ptr<nghttp2_session, session_deleter>;

struct callbacks_deleter {
  void operator()(nghttp2_session_callbacks *Callbacks) const {
    nghttp2_session_callbacks_del(Callbacks);
  }
};
using callbacks_handle =
    std::unique_ptr<nghttp2_session_callbacks, callbacks_deleter>;

callbacks_handle newCallbacks();

/// Submits the first settings of a session and widens its windows, so that
/// one slow stream does not hold up the others.
bool submitLinkSettings(nghttp2_session *Session,
                        const peer_settings &Settings);

/// Headers in the form that nghttp2 takes. It copies them when they are
/// submitted, so the strings only have to live until then.
class header_list {
public:
  void add(std::string_view Name, std::string_view Value);
  const nghttp2_nv *data() const { return Rows.data(); }
  std::size_t size() const { return Rows.size(); }

private:
  std::vector<nghttp2_nv> Rows;
};

/// Moves bytes between a socket and a session, and watches that the other
/// side is alive.
class peer_transport {
public:
  struct events {
    /// Called once, from the main loop, when the connection is of no more
    /// use. The owner may destroy the transport in it.
    std::function<void(const std::string &Reason)> OnLost;
    /// True while streams are open: only then silence means a loss.
    std::function<bool()> IsBusy;
  };

  peer_transport(handle<GSocket> Socket, session_handle Session,
                 const peer_settings &Settings, peer_counters &Counters,
                 events Events);
  ~peer_transport();
  peer_transport(const peer_transport &) = delete;
  peer_transport &operator=(const peer_transport &) = delete;

  nghttp2_session *session() { return Session.get(); }

  /// Sends what has been submitted, in the next turn of the loop, so that
  /// the writes of one turn share a packet.
  void scheduleFlush();

  /// Ends the connection; OnLost follows.
  void close(std::string Reason);

private:
  bool onReadable();
  bool readSome();
  void flush();
  bool fillOutput();
  bool checkAlive();

  handle<GSocket> Socket;
  session_handle Session;
  milliseconds PingInterval;
  milliseconds PingTimeout;
  peer_counters &Counters;
  events Events;

  std::string Output;
  std::size_t OutputSent = 0;
  time_point LastHeard;
  time_point BusySince;
  bool WasBusy = false;
  bool Lost = false;
  std::string LostReason;

  loop_source Readable;
  loop_source Writable;
  loop_source Flush;
  loop_source Ping;
  loop_source LostSource;
};

/// Sixteen random bytes in hexadecimal, from the operating system.
std::string newNonce();

/// What one side of a link sends to prove that it knows the shared key. The
/// proofs of both sides differ, so that none can be sent back.
struct handshake {
  std::string ClientHost;
  std::string ServerHost;
  std::string ClientNonce;
  std::string ServerNonce;

  std::string clientProof(std::string_view Key) const;
  std::string serverProof(std::string_view Key) const;
};

constexpr std::string_view HelloPath = "/link/hello";
constexpr std::string_view ProvePath = "/link/prove";
constexpr std::string_view HostHeader = "turmerichead-host";
constexpr std::string_view NonceHeader = "turmerichead-nonce";
constexpr std::string_view ProofHeader = "turmerichead-proof";

} // namespace turmerichead::pvt
