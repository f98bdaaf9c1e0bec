/// \file
/// Requests for permits (relay_permits.h) between entry hosts and disk hosts.
#pragma once

#include "turmerichead/net_loop.h"
#include "turmerichead/net_peer.h"
#include "turmerichead/relay_permits.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace turmerichead::relay {

/// Asks disk hosts for permits. Used in the loop thread.
class permit_client {
public:
  static constexpr std::string_view Path = "/relay/permit";

  /// \p Links must outlive the object.
  explicit permit_client(peer_links &Links) : Links(Links) {}
  /// Requests that are under way are cancelled.
  ~permit_client();
  permit_client(const permit_client &) = delete;
  permit_client &operator=(const permit_client &) = delete;

  /// Asks for a permit to send one request to \p Upstream. \p Hosts is the
  /// number of entry hosts, for the own share if no disk host replies. \p Done
  /// is called once, never inside this function.
  void ask(const upstream_run &Upstream, const request_limit &Limit,
           const permit_wait &Wait, std::span<const std::string> DiskHosts,
           std::size_t Hosts, std::function<void(const permit_result &)> Done);

  /// Tells the disk host that issues permits for \p Upstream that its limit has
  /// ended, for the hosts that ask later. Not repeated if it gets lost: each
  /// host learns it from the upstream as well.
  void tellEnd(const upstream_run &Upstream,
               std::span<const std::string> DiskHosts);

private:
  struct question;
  void askNext(const std::shared_ptr<question> &Question);
  permit_result takeOwnShare(const question &Question);
  /// \p Done gets nullopt if there was no valid reply in time.
  void
  send(const std::string &Address, const permit_request &Request,
       const std::function<void(const std::optional<permit_reply> &)> &Done);

  peer_links &Links;
  issuer_order Order;
  std::map<upstream_run, request_pacer> OwnShares;
  /// A request for a permit that waits for its reply.
  struct pending_request {
    peer_stream_id Stream;
    loop_source Timeout;
  };
  std::map<std::uint64_t, pending_request> Pending; ///< By its number.
  std::uint64_t NextNumber = 0;
};

/// Serves requests for permits on a disk host. Used in the loop thread.
class permit_server {
public:
  static bool handles(std::string_view Path) {
    return Path == permit_client::Path;
  }
  void serve(peer_server &Server, const peer_request_view &Request);

private:
  permit_issuer Issuer;
};

} // namespace turmerichead::relay
