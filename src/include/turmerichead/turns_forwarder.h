/// \file
/// Forwards requests to disk hosts for entry hosts that can't reach them.
///
/// The network between two hosts may be partitioned while both reach a third
/// host. An entry host that receives no replies from a disk host sends its
/// requests through another entry host, which runs a forwarder.
#pragma once

#include "turmerichead/net_peer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// The path of a request to forward.
inline constexpr std::string_view ForwardPath = "/forward";
/// Headers of such a request: the address and path of its destination.
inline constexpr std::string_view ForwardToHeader = "forward-to";
inline constexpr std::string_view ForwardPathHeader = "forward-path";

/// Wraps a request for \p Address so that a forwarder sends it there.
peer_request forwardedRequest(std::string_view Address, peer_request Request);

/// A peer server that forwards requests. It runs on the event loop of its
/// thread.
class forwarder {
public:
  /// Listens on \p Address and forwards requests over \p Links, which must
  /// outlive the forwarder. \p OnUnhandledRequest receives the requests for
  /// other paths and has to reply to them. \p Budget: see peer_server. Fails
  /// with InvalidInput or Unavailable.
  static std::optional<forwarder> create(
      std::string_view Address, std::string SharedKey, peer_links &Links,
      std::function<void(const peer_request_view &Request)> OnUnhandledRequest,
      memory_budget *Budget = nullptr);

  /// The server, to reply to the requests that OnUnhandledRequest receives.
  peer_server &server();

  forwarder(forwarder &&Other) noexcept;
  forwarder &operator=(forwarder &&Other) noexcept;
  ~forwarder();

  /// Private to the implementation.
  struct impl;

private:
  explicit forwarder(std::unique_ptr<impl> Impl);
  std::unique_ptr<impl> Impl;
};

} // namespace turmerichead::turns
