/// \file
/// Passes requests for disk hosts on, for hosts that can't reach them.
///
/// A link between two hosts may be cut while both reach a third. An entry
/// host that hears nothing from a disk host sends its requests by way of
/// another entry host, which runs a forwarder.
#pragma once

#include "turmerichead/net_peer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// The path of a request that is to be passed on.
inline constexpr std::string_view ForwardPath = "/forward";
/// Headers of such a request: the address and the path that it is for.
inline constexpr std::string_view ForwardToHeader = "forward-to";
inline constexpr std::string_view ForwardPathHeader = "forward-path";

/// Wraps a request for \p Address so that a forwarder passes it on.
peer_request forwardedRequest(std::string_view Address, peer_request Request);

class forwarder {
public:
  /// Listens on \p Address and passes requests on over \p Links, which must
  /// outlive it. What is not to be passed on goes to \p OnUnhandledRequest.
  /// Fails with InvalidInput or Unavailable.
  static std::optional<forwarder> create(
      std::string_view Address, std::string SharedKey, peer_links &Links,
      std::function<void(const peer_request_view &Request)> OnUnhandledRequest);

  /// To answer requests that OnUnhandledRequest was given.
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
