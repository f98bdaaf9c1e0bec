/// \file
/// Calls to the platform and to hosts, one at a time: each runs the GLib loop
/// until its answer is there.
#pragma once

#include "commands.h"

#include "turmerichead/net_http.h"
#include "turmerichead/net_platform.h"

#include <memory>
#include <optional>
#include <string>

namespace turmerichead::ctl {

/// A whole response.
struct response {
  http_result Result;
  std::string Body;
};

/// Sends one request and waits for its end.
response fetch(const http_request &Request);

/// The platform, as the commands use it.
class platform_session {
public:
  /// Fails with InvalidInput where --platform is missing or wrong.
  static std::optional<platform_session> create(const options &Options);

  platform_reply get(const std::string &Name);
  platform_list_reply list();
  platform_reply create(const nlohmann::json &Object);
  platform_reply update(const nlohmann::json &Object);

private:
  platform_session() = default;
  std::unique_ptr<http_client> Http; ///< Outlives the client.
  std::optional<platform_client> Client;
};

} // namespace turmerichead::ctl
