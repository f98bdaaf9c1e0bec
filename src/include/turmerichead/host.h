/// \file
/// The daemon of an entry host, which runs on one GLib main loop.
///
///     findings Findings;
///     auto Settings = host_settings::load(Path, Findings);
///     auto Host = Settings ? host::create(std::move(*Settings)) :
///     std::nullopt; if (!Host)
///       return 1;
///     return Host->run();
#pragma once

#include "turmerichead/settings.h"

#include <memory>
#include <optional>

namespace turmerichead {

class host {
public:
  /// Opens the listening sockets and reads the shared key. Fails with the error
  /// of either step.
  static std::optional<host> create(host_settings Settings);

  /// Serves until the host has drained after SIGTERM, SIGINT or a drain
  /// request. Returns the exit code of the process.
  int run();

  host(host &&Other) noexcept;
  host &operator=(host &&Other) noexcept;
  ~host();

private:
  struct state;
  explicit host(std::unique_ptr<state> State);
  std::unique_ptr<state> State;
};

} // namespace turmerichead
