/// \file
/// Requests for permits (relay_permits.h) between entry hosts and disk hosts.
#pragma once

#include "turmerichead/relay_member_requests.h"
#include "turmerichead/relay_permits.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace turmerichead::relay {

/// Asks disk hosts for permits. Used in the loop thread.
class permit_client {
public:
  static constexpr std::string_view Path = "/relay/permit";

  /// \p Links must outlive the object.
  explicit permit_client(peer_links &Links) : Requests(Links) {}

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

  member_requests Requests;
  issuer_order Order;
  std::map<upstream_run, request_pacer> OwnShares;
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
