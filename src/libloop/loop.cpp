#include "turmerichead/net_loop.h"

#include "turmerichead/error.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace turmerichead {

namespace {

constexpr int ListenBacklog = 1024;

gboolean runAction(gpointer Data) {
  auto &Action = *static_cast<loop_source::action *>(Data);
  return Action() ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

gboolean runSocketAction(GSocket * /*Socket*/, GIOCondition /*Condition*/,
                         gpointer Data) {
  return runAction(Data);
}

gboolean runDescriptorAction(gint /*Descriptor*/, GIOCondition /*Condition*/,
                             gpointer Data) {
  return runAction(Data);
}

void deleteAction(gpointer Data) {
  delete static_cast<loop_source::action *>(Data);
}

std::optional<handle<GSocket>> newSocket(GSocketAddress *Address) {
  GError *Error = nullptr;
  GSocket *Socket =
      g_socket_new(g_socket_address_get_family(Address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, &Error);
  if (!Socket)
    return fail(error_code::Unavailable, takeText(Error));
  g_socket_set_blocking(Socket, FALSE);
  return handle<GSocket>::adopt(Socket);
}

// Takes ownership of \p Error.
std::nullopt_t failToListen(GError *Error) {
  bool InUse =
      g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE) != FALSE;
  return fail(InUse ? error_code::Conflict : error_code::Unavailable,
              takeText(Error));
}

} // namespace

loop_source loop_source::adopt(GSource *Source, action Action,
                               source_kind Kind) {
  GSourceFunc Callback = runAction;
  if (Kind == source_kind::Socket)
    Callback = G_SOURCE_FUNC(runSocketAction);
  if (Kind == source_kind::Descriptor)
    Callback = G_SOURCE_FUNC(runDescriptorAction);
  g_source_set_callback(Source, Callback, new action(std::move(Action)),
                        deleteAction);
  g_source_attach(Source, g_main_context_get_thread_default());
  loop_source Result;
  Result.Source = Source;
  return Result;
}

loop_source loop_source::every(milliseconds Interval, action Action) {
  auto Ms = static_cast<guint>(Interval.count() > 0 ? Interval.count() : 0);
  return adopt(g_timeout_source_new(Ms), std::move(Action), source_kind::Plain);
}

loop_source loop_source::soon(action Action) {
  GSource *Source = g_idle_source_new();
  g_source_set_priority(Source, G_PRIORITY_DEFAULT);
  return adopt(Source, std::move(Action), source_kind::Plain);
}

loop_source loop_source::onSocket(GSocket *Socket, GIOCondition Condition,
                                  action Action) {
  return adopt(g_socket_create_source(Socket, Condition, nullptr),
               std::move(Action), source_kind::Socket);
}

void loop_source::reset() {
  GSource *Old = std::exchange(Source, nullptr);
  if (!Old)
    return;
  g_source_destroy(Old);
  g_source_unref(Old);
}

// -- deferred_actions --------------------------------------------------------

void deferred_actions::add(action Action) {
  Actions.push_back(std::move(Action));
  if (Source)
    return;
  Source = loop_source::soon([this] {
    Source.reset();
    // An action may add others, or destroy this object.
    auto Due = std::exchange(Actions, {});
    std::weak_ptr<int> Owner = Lifetime;
    for (action &Each : Due) {
      Each();
      if (Owner.expired())
        break;
    }
    return false;
  });
}

// -- poll_set ----------------------------------------------------------------

std::optional<poll_set>
poll_set::create(std::function<void(std::uint64_t Key)> OnReady) {
  int Epoll = epoll_create1(EPOLL_CLOEXEC);
  if (Epoll < 0)
    return fail(error_code::Unavailable, "no epoll descriptor");
  poll_set Set(Epoll);
  auto Dispatch = [Epoll, OnReady = std::move(OnReady)] {
    constexpr int MaxEvents = 256;
    std::array<epoll_event, MaxEvents> Events{};
    int Count = epoll_wait(Epoll, Events.data(), MaxEvents, 0);
    for (int I = 0; I < Count; ++I)
      OnReady(Events.at(static_cast<std::size_t>(I)).data.u64);
    return true;
  };
  Set.Source = loop_source::adopt(g_unix_fd_source_new(Epoll, G_IO_IN),
                                  std::move(Dispatch), source_kind::Descriptor);
  return Set;
}

poll_set::descriptor::~descriptor() {
  if (Value >= 0)
    close(Value);
}

namespace {

std::uint32_t eventsOf(poll_set::interest Interest) {
  switch (Interest) {
  case poll_set::interest::Readable:
    return EPOLLIN;
  case poll_set::interest::Writable:
    return EPOLLOUT;
  case poll_set::interest::ReadWrite:
    return EPOLLIN | EPOLLOUT;
  case poll_set::interest::ClosedByPeer:
    return EPOLLRDHUP | EPOLLONESHOT;
  case poll_set::interest::Errors:
    return 0;
  }
  return 0;
}

} // namespace

bool poll_set::add(int Descriptor, interest Interest, std::uint64_t Key) {
  epoll_event Event{};
  Event.data.u64 = Key;
  Event.events = eventsOf(Interest);
  if (epoll_ctl(Epoll.Value, EPOLL_CTL_ADD, Descriptor, &Event) == 0)
    return true;
  return errno == EEXIST &&
         epoll_ctl(Epoll.Value, EPOLL_CTL_MOD, Descriptor, &Event) == 0;
}

void poll_set::remove(int Descriptor) {
  if (Descriptor >= 0)
    epoll_ctl(Epoll.Value, EPOLL_CTL_DEL, Descriptor, nullptr);
}

// -- deadline_queue ----------------------------------------------------------

void deadline_queue::add(milliseconds Delay, std::uint64_t Key, int Kind) {
  Entries.push({steadyNow() + Delay, Key, Kind});
  arm();
}

void deadline_queue::arm() {
  if (Entries.empty())
    return;
  time_point Next = Entries.top().At;
  if (ArmedFor && *ArmedFor <= Next)
    return;
  ArmedFor = Next;
  milliseconds Wait = std::max(Next - steadyNow(), milliseconds(0));
  Timer = loop_source::every(Wait, [this] {
    fire();
    return false;
  });
}

void deadline_queue::fire() {
  ArmedFor.reset();
  time_point Now = steadyNow();
  while (!Entries.empty() && Entries.top().At <= Now) {
    entry Due = Entries.top();
    Entries.pop();
    OnDue(Due.Key, Due.Kind);
  }
  arm();
}

// -- Sockets -----------------------------------------------------------------

std::optional<handle<GSocketAddress>> parseAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return fail(error_code::InvalidInput, "an address is \"ip:port\"");
  std::string_view Ip = Text.substr(0, Colon);
  std::string_view PortText = Text.substr(Colon + 1);
  if (Ip.size() >= 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  std::uint16_t Port = 0;
  auto [End, Status] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  if (Status != std::errc() || End != PortText.data() + PortText.size())
    return fail(error_code::InvalidInput, "a port is a number up to 65535");
  GSocketAddress *Address =
      g_inet_socket_address_new_from_string(std::string(Ip).c_str(), Port);
  if (!Address)
    return fail(error_code::InvalidInput, "not an IP address");
  return handle<GSocketAddress>::adopt(Address);
}

std::optional<handle<GSocket>> beginConnect(GSocketAddress *Address,
                                            GSocketAddress *Source) {
  auto Socket = newSocket(Address);
  if (!Socket)
    return std::nullopt;
  setNoDelay(Socket->get());
  GError *Error = nullptr;
  if (Source && !g_socket_bind(Socket->get(), Source, FALSE, &Error))
    return fail(error_code::Unavailable, takeText(Error));
  if (g_socket_connect(Socket->get(), Address, nullptr, &Error))
    return Socket;
  if (!g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_PENDING))
    return fail(error_code::Unavailable, takeText(Error));
  g_error_free(Error);
  return Socket;
}

std::string peerIpOf(GSocket *Socket) {
  auto Address = handle<GSocketAddress>::adopt(
      g_socket_get_remote_address(Socket, nullptr));
  if (!Address || !G_IS_INET_SOCKET_ADDRESS(Address.get()))
    return {};
  GInetAddress *Ip =
      g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(Address.get()));
  char *Text = g_inet_address_to_string(Ip);
  std::string Result(Text);
  g_free(Text);
  return Result;
}

std::optional<handle<GSocket>> acceptFrom(GSocket *Listener) {
  GError *Error = nullptr;
  GSocket *Socket = g_socket_accept(Listener, nullptr, &Error);
  if (!Socket)
    return fail(error_code::Unavailable, takeText(Error));
  g_socket_set_blocking(Socket, FALSE);
  setNoDelay(Socket);
  return handle<GSocket>::adopt(Socket);
}

namespace {

std::optional<handle<GSocket>> bindSocket(std::string_view Address) {
  auto Parsed = parseAddress(Address);
  if (!Parsed)
    return std::nullopt;
  auto Socket = newSocket(Parsed->get());
  if (!Socket)
    return std::nullopt;
  GError *Error = nullptr;
  if (!g_socket_bind(Socket->get(), Parsed->get(), TRUE, &Error))
    return failToListen(Error);
  return Socket;
}

} // namespace

bool listener::isFree(std::string_view Address) {
  return bindSocket(Address).has_value();
}

std::optional<listener> listener::open(std::string_view Address) {
  auto Socket = bindSocket(Address);
  if (!Socket)
    return std::nullopt;
  GError *Error = nullptr;
  g_socket_set_listen_backlog(Socket->get(), ListenBacklog);
  if (!g_socket_listen(Socket->get(), &Error))
    return failToListen(Error);
  listener Result;
  Result.Port = localPort(Socket->get());
  Result.Socket = std::move(*Socket);
  return Result;
}

void setNoDelay(GSocket *Socket) {
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
}

void setSilenceTimeout(GSocket *Socket, milliseconds Silence) {
  constexpr int Probes = 2;
  constexpr int MsPerSecond = 1000;
  int Seconds = std::max<int>(1, static_cast<int>(Silence.count()) /
                                     (MsPerSecond * (Probes + 1)));
  g_socket_set_keepalive(Socket, TRUE);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPIDLE, Seconds, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPINTVL, Seconds, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_KEEPCNT, Probes, nullptr);
  g_socket_set_option(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<gint>(Silence.count()), nullptr);
}

std::uint16_t localPort(GSocket *Socket) {
  GSocketAddress *Address = g_socket_get_local_address(Socket, nullptr);
  if (!Address)
    return 0;
  std::uint16_t Port =
      g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(Address));
  g_object_unref(Address);
  return Port;
}

std::string takeText(GError *Error) {
  if (!Error)
    return "unknown reason";
  std::string Text = Error->message;
  g_error_free(Error);
  return Text;
}

} // namespace turmerichead
