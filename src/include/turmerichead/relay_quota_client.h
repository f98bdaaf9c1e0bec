/// \file
/// Requests for tokens of organisations (relay_quota.h) between entry hosts and
/// disk hosts.
#pragma once

#include "turmerichead/relay_member_requests.h"
#include "turmerichead/relay_quota.h"
#include "turmerichead/turns_set.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// A request of an organisation that needs a token.
struct quota_question {
  std::string Organisation;
  quota_limit Limit; ///< As this host knows it.
  bool StartsProgram = false;
  std::vector<quota_member> Members;
  std::size_t Hosts = 1; ///< Entry hosts, for the local share.
  /// How long the request may wait for a token. A delay costs a running program
  /// less than a refusal, after which its caller returns later.
  milliseconds MaxWait{0};
};

/// Gets tokens for the requests of an entry host. Used in the loop thread.
class quota_client {
public:
  static constexpr std::string_view Path = "/relay/quota";

  /// \p Links must outlive the object. \p Route: see member_requests.
  quota_client(peer_links &Links, quota_settings Settings,
               member_requests::route_function Route = nullptr)
      : Tokens(Settings), Requests(Links, std::move(Route)) {}

  /// Gets one token. \p Done is called once: inside this function if a token is
  /// held or the answer is known.
  void ask(quota_question Question,
           std::function<void(const quota_result &)> Done);

  /// What is known of organisations and members.
  quota_requester &tokens() { return Tokens; }
  const quota_requester &tokens() const { return Tokens; }

private:
  struct pending;
  void askNext(const std::shared_ptr<pending> &Pending);
  /// Decides a request for which no member is left to ask: it waits for the
  /// next token, or ends.
  void decide(const std::shared_ptr<pending> &Pending, time_point Now);
  quota_requester Tokens;
  member_requests Requests;
};

/// Serves requests for tokens on a disk host. Used in the loop thread.
class quota_server {
public:
  explicit quota_server(quota_settings Settings = {})
      : Issuer(Settings.Slack) {}

  static bool handles(std::string_view Path) {
    return Path == quota_client::Path;
  }
  /// Sets the disk set in force; \p Self is the address of this host. To be
  /// called when the set may have changed: slices fill from then on.
  void updateSet(const turns::disk_set &Set, std::string_view Self);
  void serve(peer_server &Server, const peer_request_view &Request);

private:
  quota_issuer Issuer;
};

} // namespace turmerichead::relay
