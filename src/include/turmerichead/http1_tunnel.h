/// \file
/// Tunnels: connections to upstreams by way of another host.
///
/// A host that has lost its links to upstreams connects to the tunnel server of
/// a host that has not, names the address of the upstream, and then uses the
/// connection as if it led there (call_request::Via in http1_client.h). The
/// server copies bytes and knows nothing of calls.
///
/// The bytes from the upstream come in frames, so that the orderly end of the
/// connection of the upstream is told from the loss of the tunnel.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/memory_budget.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::http1 {

struct tunnel_settings {
  std::string Listen; ///< "ip:port"
  std::string SharedKey;
  milliseconds ConnectTimeout{300};
  /// Time after which a silent connection counts as failed.
  milliseconds SilenceTimeout{4000};
  std::size_t MaxTunnels = 512;
  /// Unsent bytes of one direction above which nothing more is read for it.
  std::size_t MaxUnsentBytes = 256U << 10U;
};

struct tunnel_events {
  /// Returns the address to connect to, or nullopt if \p Address is not that of
  /// an upstream or this host can't reach upstreams either.
  std::function<std::optional<std::string>(std::string_view Address)> Resolve;
  /// Returns the address of another upstream, or nullopt if there is none. A
  /// connection that was refused is reported as such only if the other one can
  /// be connected to: the link of this host may be the cause. May be unset.
  std::function<std::optional<std::string>(std::string_view Address)> Control;
  /// Tells whether a connection to an upstream was established. May be unset.
  std::function<void(std::string_view Address, bool Connected)> OnConnectEnd;
};

struct tunnel_counters {
  std::uint64_t Opened = 0;   ///< Tunnels whose upstream was reached.
  std::uint64_t Declined = 0; ///< Requests that Resolve or a limit declined.
  std::uint64_t EndedForMemory = 0;
  std::size_t Open = 0;
};

/// Accepts tunnels from other hosts. It runs on the event loop of its thread.
class tunnel_server {
public:
  /// What the tunnels buffer counts in \p Budget, unless that is nullptr; it
  /// must outlive the server. Fails with InvalidInput or Unavailable.
  static std::optional<tunnel_server> create(tunnel_settings Settings,
                                             tunnel_events Events,
                                             memory_budget *Budget = nullptr);

  std::uint16_t port() const;
  /// Declines new tunnels from now on; open ones go on.
  void drain();
  /// Closes the tunnels that neither wait for an answer nor have carried bytes
  /// of one lately.
  void closeIdle();
  /// Returns the number of the others.
  std::size_t activeTunnels() const;
  tunnel_counters counters() const;

  tunnel_server(tunnel_server &&Other) noexcept;
  tunnel_server &operator=(tunnel_server &&Other) noexcept;
  ~tunnel_server();

  /// Private to the implementation.
  struct state;

private:
  explicit tunnel_server(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace turmerichead::http1
