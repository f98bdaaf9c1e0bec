/// \file
/// Sources of the GLib main loop and non-blocking TCP sockets, as values.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/handle.h"
#include "turmerichead/id.h"

#include <gio/gio.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace turmerichead {

/// The callback type of a GSource: GSourceFunc, GSocketSourceFunc or
/// GUnixFDSourceFunc.
enum class source_kind { Plain, Socket, Descriptor };

/// An event source of the main loop, removed when the object is destroyed. The
/// action returns true to be called again, and may destroy its loop_source.
class loop_source {
public:
  using action = std::function<bool()>;

  loop_source() = default;
  static loop_source every(milliseconds Interval, action Action);
  /// Runs in the next loop iteration, with the priority of I/O.
  static loop_source soon(action Action);
  static loop_source onSocket(GSocket *Socket, GIOCondition Condition,
                              action Action);
  /// Takes ownership of \p Source; \p Kind is the type of its callback.
  static loop_source adopt(GSource *Source, action Action, source_kind Kind);

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

/// Runs actions in the next loop iteration, in the order in which they were
/// added, with one event source for all of them. Destroying the object discards
/// the pending actions. An action may destroy the object.
class deferred_actions {
public:
  using action = std::function<void()>;

  deferred_actions() = default;
  deferred_actions(const deferred_actions &) = delete;
  deferred_actions &operator=(const deferred_actions &) = delete;

  /// Inside an action, the iteration after this one is the next.
  void add(action Action);

private:
  std::vector<action> Actions;
  loop_source Source;
  std::shared_ptr<int> Lifetime = std::make_shared<int>();
};

/// Polls many sockets with one event source. A GLib loop iteration takes time
/// proportional to the number of sources, so with a source per call the total
/// cost would grow with the square of the number of calls.
class poll_set {
public:
  /// \p OnReady is called with the key of a socket that is ready.
  static std::optional<poll_set>
  create(std::function<void(std::uint64_t Key)> OnReady);

  enum class interest {
    Readable,     ///< While there is something to read.
    Writable,     ///< While there is space in the send buffer.
    ReadWrite,    ///< Either of the two.
    ClosedByPeer, ///< Once, when the peer has shut down its direction.
    Errors        ///< Only a failed connection.
  };
  bool add(int Descriptor, interest Interest, std::uint64_t Key);
  /// Call this before the descriptor is closed. If another library closes it,
  /// the kernel removes it by itself.
  void remove(int Descriptor);

  poll_set(poll_set &&Other) noexcept = default;
  poll_set &operator=(poll_set &&Other) noexcept = default;
  ~poll_set() = default;

private:
  struct descriptor {
    int Value = -1;
    explicit descriptor(int Value) : Value(Value) {}
    descriptor(descriptor &&Other) noexcept
        : Value(std::exchange(Other.Value, -1)) {}
    descriptor &operator=(descriptor &&Other) noexcept {
      std::swap(Value, Other.Value);
      return *this;
    }
    ~descriptor();
  };
  explicit poll_set(int Epoll) : Epoll(Epoll) {}

  descriptor Epoll;
  loop_source Source;
};

/// Calls a function at deadlines, with one event source for all of them.
/// Deadlines cannot be removed: the receiver ignores obsolete ones.
class deadline_queue {
public:
  using action = std::function<void(std::uint64_t Key, int Kind)>;

  explicit deadline_queue(action OnDue) : OnDue(std::move(OnDue)) {}
  void add(milliseconds Delay, std::uint64_t Key, int Kind);

private:
  struct entry {
    time_point At;
    std::uint64_t Key = 0;
    int Kind = 0;
    friend auto operator<=>(const entry &, const entry &) = default;
  };
  void arm();
  void fire();

  action OnDue;
  std::priority_queue<entry, std::vector<entry>, std::greater<>> Entries;
  std::optional<time_point> ArmedFor;
  loop_source Timer;
};

/// Converts an id to one number, and back.
template <typename Tag> std::uint64_t keyOf(typed_id<Tag> Id) {
  constexpr unsigned Shift = 32;
  return (static_cast<std::uint64_t>(Id.Generation) << Shift) | Id.Index;
}
template <typename Tag> typed_id<Tag> idOf(std::uint64_t Key) {
  constexpr unsigned Shift = 32;
  return {static_cast<std::uint32_t>(Key),
          static_cast<std::uint32_t>(Key >> Shift)};
}

/// Parses "ip:port" or "[ip6]:port". Fails with InvalidInput.
std::optional<handle<GSocketAddress>> parseAddress(std::string_view Text);

/// Starts to connect, from the local address \p Source unless it is null; the
/// socket becomes writable when it succeeds or fails. Fails with Unavailable.
std::optional<handle<GSocket>> beginConnect(GSocketAddress *Address,
                                            GSocketAddress *Source = nullptr);

/// Returns the IP address of the peer of a connected socket; empty if it is not
/// known.
std::string peerIpOf(GSocket *Socket);

/// Accepts a connection; nullopt if none is pending.
std::optional<handle<GSocket>> acceptFrom(GSocket *Listener);

/// Creates a listening socket, without an event source.
class listener {
public:
  /// Listens on \p Address ("ip:port", port 0 takes a free one). Fails with
  /// InvalidInput, Conflict (the address is in use) or Unavailable.
  static std::optional<listener> open(std::string_view Address);

  /// Whether open() would find the address free. Nothing is accepted there.
  /// If not, fails like open().
  static bool isFree(std::string_view Address);

  GSocket *socket() const { return Socket.get(); }
  std::uint16_t port() const { return Port; }
  bool isOpen() const { return static_cast<bool>(Socket); }

  /// Hands every connection that waits to \p Take.
  template <typename Taker> void acceptAll(Taker Take) {
    while (auto Connection = isOpen() ? acceptFrom(Socket.get()) : std::nullopt)
      Take(std::move(*Connection));
  }

  /// Closes the socket, once. Connections that wait would be reset by that,
  /// and are handed to \p Take before.
  template <typename Taker> void close(Taker Take) {
    if (!isOpen())
      return;
    acceptAll(std::move(Take));
    g_socket_close(Socket.get(), nullptr);
    Socket = {};
  }

private:
  handle<GSocket> Socket;
  std::uint16_t Port = 0;
};

/// Sends small writes at once.
void setNoDelay(GSocket *Socket);

/// Lets the kernel notice a silent connection: keep-alive probes while it is
/// idle, and a bound on how long written bytes stay unacknowledged. After
/// about \p Silence the socket fails with a timeout.
void setSilenceTimeout(GSocket *Socket, milliseconds Silence);

std::uint16_t localPort(GSocket *Socket);

/// Frees \p Error and returns its text.
std::string takeText(GError *Error);

} // namespace turmerichead
