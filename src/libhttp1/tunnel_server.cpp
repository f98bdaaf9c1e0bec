#include "turmerichead/http1_tunnel.h"

#include "socket_pvt.h"
#include "tunnel_pvt.h"
#include "turmerichead/error.h"
#include "turmerichead/log.h"
#include "turmerichead/log_limiter.h"
#include "turmerichead/table.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace turmerichead::http1 {

namespace {

using pvt::io_result;
using pvt::tunnel_status;

constexpr std::uint64_t ListenerKey = 0;
constexpr std::size_t EndsPerTunnel = 2;
// Connections whose first line has not been read.
constexpr std::size_t MaxWithoutLine = 64;
// A tunnel counts as active for this time after bytes of an answer.
constexpr milliseconds ActiveTime{1000};

enum class side : std::uint8_t { Peer, Upstream };

enum class phase : std::uint8_t {
  Opening, ///< The peer's line is read, or the upstream is connected to.
  Open,
  Closing ///< The last bytes are sent to the peer.
};

/// One of the two connections of a tunnel.
struct tunnel_end {
  pvt::buffered_socket Socket;
  side Side = side::Peer;
  phase Phase = phase::Opening;
  typed_id<tunnel_end> Other; ///< The other connection, if there is one.
  std::string Input;          ///< Of a peer whose line is not complete.
  std::string Address;        ///< Of an upstream.
  bool IsControl = false;     ///< See tunnel_events::Control.
  std::optional<poll_set::interest> Interest;
  time_point LastBytes;
  time_point OpenedAt;
  memory_holder_id Memory;
  bool IsExcess = false; ///< Closed soon for its memory, and not counted.

  /// Whether the first line, which names the address, has not been read.
  bool hasNoLine() const {
    return Side == side::Peer && Phase == phase::Opening && !Other;
  }
};

using end_table = table<tunnel_end>;
using end_id = end_table::id;

/// Returns whether the end of an upstream's connection is orderly: it has
/// received all bytes of its peer. See client::state::onConnectionEnd().
bool endsInOrder(const tunnel_end &Upstream, const tunnel_end &Peer) {
  return Upstream.Socket.isDelivered() && !Peer.Socket.hasInput();
}

} // namespace

struct tunnel_server::state {
  state() = default;
  ~state();
  state(const state &) = delete;
  state &operator=(const state &) = delete;

  tunnel_settings Settings;
  tunnel_events Events;
  listener Listener;
  std::optional<poll_set> Sockets;
  std::optional<deadline_queue> Deadlines;
  end_table Ends;
  tunnel_counters Counters;
  bool Draining = false;
  memory_budget *Budget = nullptr;
  memory_owner_id Owner;
  std::vector<end_id> Excess; ///< To be closed for the memory that they hold.
  loop_source ClosingExcess;
  log_limiter LogLimiter;

  void onReady(std::uint64_t Key);
  void transfer(std::uint64_t Key);
  void accept();
  void limitWithoutLine();
  void readLine(end_id Id);
  void connect(end_id PeerId, const std::string &Address, bool IsControl);
  void onConnected(end_id Id);
  void onRefused(end_id PeerId, const std::string &Address);
  void reply(end_id PeerId, tunnel_status Status);
  void forward(end_id Id);
  void flush(end_id Id);
  void watch(end_id Id);
  end_id add(tunnel_end End);
  void account(end_id Id);
  void endForMemory(end_id Id);
  void close(end_id Id);
  void closeBoth(end_id Id);
  bool isActive(const tunnel_end &Upstream, time_point Now) const;
};

void tunnel_server::state::onReady(std::uint64_t Key) {
  if (Key == ListenerKey) {
    accept();
    return;
  }
  transfer(Key);
  if (Budget)
    Budget->enforce();
}

void tunnel_server::state::transfer(std::uint64_t Key) {
  auto Id = idOf<tunnel_end>(Key);
  tunnel_end *End = Ends.find(Id);
  if (!End)
    return;
  bool Reads = End->Interest != poll_set::interest::Errors;
  if (End->Phase == phase::Closing) {
    flush(Id);
  } else if (End->Phase == phase::Open && Reads) {
    forward(Id);
    if (Ends.find(Id))
      flush(Id);
  } else if (End->Phase == phase::Opening && End->Side == side::Upstream) {
    onConnected(Id);
  } else if (End->Phase == phase::Opening && !End->Other) {
    readLine(Id);
  } else {
    // Lost while the other side does not take more bytes, or bytes of a peer
    // whose upstream is still being connected to.
    closeBoth(Id);
  }
}

void tunnel_server::state::accept() {
  Listener.acceptAll([this](handle<GSocket> Socket) {
    if (Ends.size() >= Settings.MaxTunnels * EndsPerTunnel)
      return;
    limitWithoutLine();
    setNoDelay(Socket.get());
    setSilenceTimeout(Socket.get(), Settings.SilenceTimeout);
    tunnel_end End;
    End.Socket = pvt::buffered_socket(std::move(Socket));
    End.OpenedAt = steadyNow();
    end_id Id = add(std::move(End));
    watch(Id);
    Deadlines->add(Settings.ConnectTimeout, keyOf(Id), 0);
  });
}

// Closes the oldest connection without a first line if there are too many.
void tunnel_server::state::limitWithoutLine() {
  std::size_t Count = 0;
  std::optional<end_id> Oldest;
  time_point Since;
  Ends.forEach([&](end_id Id, const tunnel_end &End) {
    if (!End.hasNoLine())
      return;
    ++Count;
    if (Oldest && End.OpenedAt >= Since)
      return;
    Oldest = Id;
    Since = End.OpenedAt;
  });
  if (Count >= MaxWithoutLine)
    close(*Oldest);
}

void tunnel_server::state::readLine(end_id Id) {
  tunnel_end &End = *Ends.find(Id);
  io_result Result = End.Socket.read(End.Input);
  if (Result == io_result::Blocked)
    return;
  std::size_t LineEnd = End.Input.find('\n');
  bool IsPartial = LineEnd == std::string::npos;
  bool IsValid = IsPartial ? End.Input.size() < pvt::MaxTunnelLineBytes
                           : LineEnd + 1 == End.Input.size();
  if (Result != io_result::Done || !IsValid) {
    close(Id);
    return;
  }
  if (IsPartial)
    return;
  auto Address = pvt::readTunnelLine(
      std::string_view(End.Input).substr(0, LineEnd), Settings.SharedKey);
  auto Target = Address && !Draining ? Events.Resolve(*Address) : std::nullopt;
  if (Target) {
    connect(Id, *Target, false);
    return;
  }
  ++Counters.Declined;
  reply(Id, tunnel_status::Declined);
}

void tunnel_server::state::connect(end_id PeerId, const std::string &Address,
                                   bool IsControl) {
  auto Parsed = parseAddress(Address);
  auto Socket = Parsed ? beginConnect(Parsed->get()) : std::nullopt;
  if (!Socket) {
    reply(PeerId, tunnel_status::Unreachable);
    return;
  }
  setNoDelay(Socket->get());
  setSilenceTimeout(Socket->get(), Settings.SilenceTimeout);
  tunnel_end End;
  End.Socket = pvt::buffered_socket(std::move(*Socket));
  End.Side = side::Upstream;
  End.Other = PeerId;
  End.Address = Address;
  End.IsControl = IsControl;
  end_id Id = add(std::move(End));
  Ends.find(PeerId)->Other = Id;
  watch(Id);
  Deadlines->add(Settings.ConnectTimeout, keyOf(Id), 0);
}

void tunnel_server::state::onConnected(end_id Id) {
  using connect_result = pvt::buffered_socket::connect_result;
  tunnel_end &End = *Ends.find(Id);
  end_id PeerId = End.Other;
  std::string Address = End.Address;
  bool IsControl = End.IsControl;
  connect_result Result = End.Socket.connectResult();
  bool Connected = Result == connect_result::Connected;
  // A refusal says nothing of this host's link until the control connection.
  bool SaysNothing = Result == connect_result::Refused && !IsControl;
  if (Events.OnConnectEnd && !SaysNothing)
    Events.OnConnectEnd(Address, Connected);
  if (Connected && !IsControl) {
    ++Counters.Opened;
    End.Phase = phase::Open;
    Ends.find(PeerId)->Phase = phase::Open;
    watch(Id);
    reply(PeerId, tunnel_status::Connected);
    return;
  }
  close(Id);
  if (IsControl)
    reply(PeerId, Connected ? tunnel_status::Refused : tunnel_status::Declined);
  else if (Result == connect_result::Refused)
    onRefused(PeerId, Address);
  else
    reply(PeerId, tunnel_status::Unreachable);
}

void tunnel_server::state::onRefused(end_id PeerId,
                                     const std::string &Address) {
  auto Other = Events.Control ? Events.Control(Address) : std::nullopt;
  if (Other)
    connect(PeerId, *Other, true);
  else
    reply(PeerId, tunnel_status::Refused);
}

void tunnel_server::state::reply(end_id PeerId, tunnel_status Status) {
  tunnel_end &Peer = *Ends.find(PeerId);
  if (Status != tunnel_status::Connected)
    Peer.Phase = phase::Closing;
  Peer.Socket.queue(std::string(1, static_cast<char>(Status)));
  flush(PeerId);
}

// Copies the bytes that one side has received to the other.
void tunnel_server::state::forward(end_id Id) {
  tunnel_end &End = *Ends.find(Id);
  tunnel_end &Other = *Ends.find(End.Other);
  end_id OtherId = End.Other;
  if (Other.Socket.unsent() > Settings.MaxUnsentBytes)
    return;
  bool FromUpstream = End.Side == side::Upstream;
  std::string Bytes;
  switch (End.Socket.read(Bytes)) {
  case io_result::Blocked:
    return;
  case io_result::Done:
    End.LastBytes = steadyNow();
    Other.Socket.queue(FromUpstream ? pvt::tunnelFrame(Bytes)
                                    : std::move(Bytes));
    flush(OtherId);
    return;
  case io_result::Ended:
    if (!FromUpstream)
      break;
    // Without the frame, an answer that only the end of its connection ends
    // does not look complete; one with a length is delivered whole.
    if (endsInOrder(End, Other))
      Other.Socket.queue(pvt::tunnelFrame({}));
    Other.Phase = phase::Closing;
    Other.Other = {};
    close(Id);
    flush(OtherId);
    return;
  case io_result::Failed:
    break;
  }
  // The peer has given up, or its upstream was lost: without the frame of the
  // end, what the peer has received does not look complete.
  closeBoth(Id);
}

void tunnel_server::state::flush(end_id Id) {
  tunnel_end &End = *Ends.find(Id);
  io_result Result = End.Socket.flush();
  account(Id);
  bool IsSent = End.Socket.unsent() == 0;
  if (Result == io_result::Failed || (End.Phase == phase::Closing && IsSent)) {
    closeBoth(Id);
    return;
  }
  watch(Id);
  if (End.Phase == phase::Open)
    watch(End.Other);
}

void tunnel_server::state::watch(end_id Id) {
  using interest = poll_set::interest;
  tunnel_end &End = *Ends.find(Id);
  tunnel_end *Other = Ends.find(End.Other);
  bool IsConnecting = End.Phase == phase::Opening && End.Side == side::Upstream;
  bool Writes = IsConnecting || End.Socket.unsent() > 0;
  bool Reads = !IsConnecting && End.Phase != phase::Closing &&
               (!Other || Other->Socket.unsent() <= Settings.MaxUnsentBytes);
  interest Wanted = Writes && Reads ? interest::ReadWrite
                    : Writes        ? interest::Writable
                    : Reads         ? interest::Readable
                                    : interest::Errors;
  if (End.Interest == Wanted)
    return;
  End.Interest = Wanted;
  Sockets->add(End.Socket.descriptor(), Wanted, keyOf(Id));
}

void tunnel_server::state::close(end_id Id) {
  tunnel_end *End = Ends.find(Id);
  if (!End)
    return;
  Sockets->remove(End->Socket.descriptor());
  if (Budget)
    Budget->release(End->Memory);
  Ends.erase(Id);
}

void tunnel_server::state::closeBoth(end_id Id) {
  end_id OtherId = Ends.find(Id)->Other;
  close(Id);
  close(OtherId);
}

// -- Memory ------------------------------------------------------------------

tunnel_server::state::~state() {
  if (Budget)
    Budget->removeOwner(Owner);
}

end_id tunnel_server::state::add(tunnel_end End) {
  end_id Id = Ends.insert(std::move(End));
  if (Budget)
    Ends.find(Id)->Memory = Budget->add(Owner, keyOf(Id));
  return Id;
}

// Counts what the connection has not sent yet. The first line of a peer is not
// counted: its length and the number of connections without one are limited.
void tunnel_server::state::account(end_id Id) {
  if (!Budget)
    return;
  const tunnel_end &End = *Ends.find(Id);
  if (End.IsExcess)
    return;
  // Bytes to an upstream are those of a call that may be running.
  auto Rank = End.Side == side::Peer ? memory_rank::Answer : memory_rank::Call;
  Budget->set(End.Memory, Rank, End.Socket.unsent(), steadyNow());
}

// Closes the tunnel in the next loop iteration, as the budget may be enforced
// inside a callback of this server.
void tunnel_server::state::endForMemory(end_id Id) {
  ++Counters.EndedForMemory;
  if (LogLimiter.allows(steadyNow()))
    log::warn("tunnel ended", {{"reason", "memory"},
                               {"ended", Counters.EndedForMemory},
                               {"held_bytes", Budget->total()}});
  Ends.find(Id)->IsExcess = true;
  Excess.push_back(Id);
  if (ClosingExcess)
    return;
  ClosingExcess = loop_source::soon([this] {
    ClosingExcess.reset();
    for (end_id Next : std::exchange(Excess, {}))
      if (Ends.find(Next))
        closeBoth(Next);
    return false;
  });
}

bool tunnel_server::state::isActive(const tunnel_end &Upstream,
                                    time_point Now) const {
  const tunnel_end *Peer = Ends.find(Upstream.Other);
  bool AwaitsAnswer = Peer && Peer->LastBytes > Upstream.LastBytes;
  bool Answers =
      Upstream.LastBytes.Ms > 0 && Now - Upstream.LastBytes < ActiveTime;
  return AwaitsAnswer || Answers;
}

// -- Public interface --------------------------------------------------------

std::optional<tunnel_server> tunnel_server::create(tunnel_settings Settings,
                                                   tunnel_events Events,
                                                   memory_budget *Budget) {
  auto State = std::make_unique<state>();
  state *Raw = State.get();
  Raw->Settings = std::move(Settings);
  Raw->Events = std::move(Events);
  Raw->Budget = Budget;
  if (Budget)
    Raw->Owner = Budget->addOwner(
        [Raw](std::uint64_t Key) { Raw->endForMemory(idOf<tunnel_end>(Key)); });
  auto Listener = listener::open(Raw->Settings.Listen);
  Raw->Sockets =
      poll_set::create([Raw](std::uint64_t Key) { Raw->onReady(Key); });
  if (!Listener || !Raw->Sockets)
    return std::nullopt;
  Raw->Listener = std::move(*Listener);
  Raw->Sockets->add(g_socket_get_fd(Raw->Listener.socket()),
                    poll_set::interest::Readable, ListenerKey);
  Raw->Deadlines.emplace([Raw](std::uint64_t Key, int /*Kind*/) {
    auto Id = idOf<tunnel_end>(Key);
    tunnel_end *End = Raw->Ends.find(Id);
    if (!End || End->Phase != phase::Opening)
      return;
    end_id PeerId = End->Other;
    if (End->Side == side::Peer && End->Other)
      return; // The deadline of its upstream applies.
    if (End->Side == side::Upstream && Raw->Events.OnConnectEnd)
      Raw->Events.OnConnectEnd(End->Address, false);
    tunnel_status Status =
        End->IsControl ? tunnel_status::Declined : tunnel_status::Unreachable;
    Raw->close(Id);
    if (Raw->Ends.find(PeerId))
      Raw->reply(PeerId, Status);
  });
  return tunnel_server(std::move(State));
}

std::uint16_t tunnel_server::port() const { return State->Listener.port(); }

void tunnel_server::drain() { State->Draining = true; }

void tunnel_server::closeIdle() {
  time_point Now = steadyNow();
  std::vector<end_id> Idle;
  State->Ends.forEach([&](end_id Id, tunnel_end &End) {
    if (End.Side == side::Upstream && !State->isActive(End, Now))
      Idle.push_back(Id);
  });
  for (end_id Id : Idle)
    State->closeBoth(Id);
}

std::size_t tunnel_server::activeTunnels() const {
  std::size_t Count = 0;
  time_point Now = steadyNow();
  State->Ends.forEach([&](end_id, tunnel_end &End) {
    Count += End.Side == side::Upstream && State->isActive(End, Now) ? 1 : 0;
  });
  return Count;
}

tunnel_counters tunnel_server::counters() const {
  tunnel_counters Counters = State->Counters;
  Counters.Open = State->Ends.size() / EndsPerTunnel;
  return Counters;
}

tunnel_server::tunnel_server(std::unique_ptr<state> State)
    : State(std::move(State)) {}
tunnel_server::tunnel_server(tunnel_server &&Other) noexcept = default;
tunnel_server &
tunnel_server::operator=(tunnel_server &&Other) noexcept = default;
tunnel_server::~tunnel_server() = default;

} // namespace turmerichead::http1
