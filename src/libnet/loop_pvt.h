/// \file
/// Sources of the GLib main loop and non-blocking TCP sockets, as values.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/handle.h"

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace turmerichead::pvt {

/// A source of the main loop; destroyed with its owner. The action returns
/// true to be called again. It may destroy the loop_source that runs it.
class loop_source {
public:
  using action = std::function<bool()>;

  loop_source() = default;
  static loop_source every(milliseconds Interval, action Action);
  /// Runs in the next turn of the loop, at the priority of I/O.
  static loop_source soon(action Action);
  static loop_source onSocket(GSocket *Socket, GIOCondition Condition,
                              action Action);
  /// Takes over \p Source, whose callback has the type of GSourceFunc or of
  /// GSocketSourceFunc.
  static loop_source adopt(GSource *Source, action Action, bool IsSocket);

  loop_source(loop_source &&Other) noexcept
      : Source(std::exchange(Other.Source, nullptr)) {}
  loop_source &operator=(loop_source &&Other) noexcept {
    std::swap(Source, Other.Source);
    return *this;
  }
  ~loop_source() { reset(); }

  void reset();
  explicit operator bool() const { return Source != nullptr; }

private:
  GSource *Source = nullptr;
};

/// Parses "ip:port" or "[ip6]:port". Fails with InvalidInput.
std::optional<handle<GSocketAddress>> parseAddress(std::string_view Text);

/// A listening socket. Fails with Unavailable.
std::optional<handle<GSocket>> listenOn(GSocketAddress *Address);

/// Begins to connect; the socket becomes writable when that has ended. Fails
/// with Unavailable.
std::optional<handle<GSocket>> beginConnect(GSocketAddress *Address);

/// Accepts a connection; nullopt if none waits.
std::optional<handle<GSocket>> acceptFrom(GSocket *Listener);

/// Sends small writes at once.
void setNoDelay(GSocket *Socket);

std::uint16_t localPort(GSocket *Socket);

/// Frees \p Error and returns its text.
std::string takeText(GError *Error);

} // namespace turmerichead::pvt
