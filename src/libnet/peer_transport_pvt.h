/// \file
/// A TCP connection with an HTTP/2 session, used by client and server. Each of
/// them provides the session callbacks.
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

/// Submits the initial settings of a session and enlarges its flow-control
/// windows, so that one slow stream does not block the others.
bool submitLinkSettings(nghttp2_session *Session,
                        const peer_settings &Settings);

/// Headers for nghttp2, which copies them when they are submitted. The strings
/// must live until then.
class header_list {
public:
  void add(std::string_view Name, std::string_view Value);
  const nghttp2_nv *data() const { return Rows.data(); }
  std::size_t size() const { return Rows.size(); }

private:
  std::vector<nghttp2_nv> Rows;
};

/// Transfers bytes between a socket and a session, and detects a dead peer by
/// pings.
class peer_transport {
public:
  struct events {
    /// Called once, from the main loop, when the connection is lost. The owner
    /// may destroy the transport in this call.
    std::function<void(const std::string &Reason)> OnLost;
    /// Returns whether streams are open. Only then the connection is lost if
    /// the peer stays silent.
    std::function<bool()> IsBusy;
  };

  peer_transport(handle<GSocket> Socket, session_handle Session,
                 const peer_settings &Settings, peer_counters &Counters,
                 events Events);
  ~peer_transport();
  peer_transport(const peer_transport &) = delete;
  peer_transport &operator=(const peer_transport &) = delete;

  nghttp2_session *session() { return Session.get(); }

  /// Sends submitted frames in the next loop iteration, so that the frames of
  /// one iteration share a packet.
  void scheduleFlush();

  /// Closes the connection; OnLost is called afterwards.
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

/// Returns sixteen random bytes of the operating system, in hexadecimal.
std::string newNonce();

/// The values with which both sides prove that they know the shared key. The
/// proofs of client and server differ, which prevents reflection attacks.
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
