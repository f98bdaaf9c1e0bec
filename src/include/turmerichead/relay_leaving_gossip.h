/// \file
/// Tells other entry hosts which upstreams have said that they leave.
///
/// A host that has lost its links reaches upstreams by way of another host
/// (http1_tunnel.h), which passes the answers on without reading them. That
/// host has to stop sending calls to an upstream that leaves as well. The
/// others are told too: each of them would find out by a call that the upstream
/// has to run while it wants no new ones.
///
/// One message to each other host for each upstream that leaves; it is sent
/// again until it is acknowledged. A host that is told does not tell others.
///
///     leaving_gossip Gossip(Links);
///     Relay->onUpstreamLeaves([&](auto &Run) { Gossip.propagate(Run); });
#pragma once

#include "turmerichead/net_loop.h"
#include "turmerichead/net_peer.h"
#include "turmerichead/relay_notices.h"

#include <functional>
#include <map>
#include <msgpack.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// The body of a request on leaving_gossip::Path.
struct leaving_message {
  std::vector<upstream_run> Runs;
  MSGPACK_DEFINE(Runs)
};

/// Sends and receives such messages. Used in the loop thread of its host.
class leaving_gossip {
public:
  static constexpr std::string_view Path = "/relay/leaving";

  /// \p Links must outlive the object. \p OnReceived is called for each run
  /// that another host has named.
  leaving_gossip(
      peer_links &Links,
      std::function<void(const upstream_run &Run, std::string_view From)>
          OnReceived)
      : Links(Links), OnReceived(std::move(OnReceived)) {}

  /// Sets the peer addresses of the other entry hosts.
  void setPeers(std::span<const std::string> Addresses);

  /// Tells all other hosts of a run that leaves.
  void propagate(const upstream_run &Run);

  static bool handles(std::string_view RequestPath) {
    return RequestPath == Path;
  }
  /// Serves a message. One that does not decode is answered with Corrupt.
  void serve(peer_server &Server, const peer_request_view &Request);

private:
  struct peer {
    /// Runs that the peer has not acknowledged, and since when.
    std::map<upstream_run, time_point> Pending;
    bool InFlight = false;
  };
  void flush();
  void send(const std::string &Address, peer &Peer);
  void scheduleRetry();

  peer_links &Links;
  std::function<void(const upstream_run &, std::string_view)> OnReceived;
  std::map<std::string, peer, std::less<>> Peers; ///< By address.
  loop_source RetryTimer;
};

} // namespace turmerichead::relay
