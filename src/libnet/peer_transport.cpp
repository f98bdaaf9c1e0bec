#include "peer_transport_pvt.h"

#include "turmerichead/hash.h"

#include <array>
#include <cstring>
#include <sys/random.h>

namespace turmerichead::pvt {

namespace {

constexpr std::size_t ReadBytes = 256U << 10U;
constexpr std::size_t WriteBytes = 256U << 10U;
constexpr std::size_t KeptOutputBytes = 16U << 10U;

/// Read buffer shared by all links: there is one loop thread, and the session
/// consumes the bytes immediately.
std::string &inputBuffer() {
  static std::string Buffer(ReadBytes, '\0');
  return Buffer;
}

std::uint8_t *bytesOf(std::string_view Text) {
  return reinterpret_cast<std::uint8_t *>(const_cast<char *>(Text.data()));
}

} // namespace

callbacks_handle newCallbacks() {
  nghttp2_session_callbacks *Callbacks = nullptr;
  nghttp2_session_callbacks_new(&Callbacks);
  return callbacks_handle(Callbacks);
}

bool submitLinkSettings(nghttp2_session *Session,
                        const peer_settings &Settings) {
  std::array<nghttp2_settings_entry, 4> Entries = {{
      {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, Settings.MaxStreams},
      {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, Settings.StreamWindowBytes},
      {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, Settings.MaxHeaderBytes},
      {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
  }};
  if (nghttp2_submit_settings(Session, NGHTTP2_FLAG_NONE, Entries.data(),
                              Entries.size()) != 0)
    return false;
  return nghttp2_session_set_local_window_size(
             Session, NGHTTP2_FLAG_NONE, 0,
             static_cast<std::int32_t>(Settings.LinkWindowBytes)) == 0;
}

void header_list::add(std::string_view Name, std::string_view Value) {
  Rows.push_back({bytesOf(Name), bytesOf(Value), Name.size(), Value.size(),
                  NGHTTP2_NV_FLAG_NONE});
}

peer_transport::peer_transport(handle<GSocket> Socket, session_handle Session,
                               const peer_settings &Settings,
                               peer_counters &Counters, events Events)
    : Socket(std::move(Socket)), Session(std::move(Session)),
      PingInterval(Settings.PingInterval), PingTimeout(Settings.PingTimeout),
      Counters(Counters), Events(std::move(Events)), LastHeard(steadyNow()) {
  Readable = loop_source::onSocket(this->Socket.get(), G_IO_IN,
                                   [this] { return onReadable(); });
  Ping = loop_source::every(PingInterval, [this] { return checkAlive(); });
  ++Counters.OpenLinks;
}

peer_transport::~peer_transport() {
  --Counters.OpenLinks;
  g_socket_close(Socket.get(), nullptr);
}

void peer_transport::scheduleFlush() {
  if (Lost || Flush || Writable)
    return;
  Flush = loop_source::soon([this] {
    Flush.reset();
    flush();
    return false;
  });
}

void peer_transport::close(std::string Reason) {
  if (Lost)
    return;
  Lost = true;
  LostReason = std::move(Reason);
  Readable.reset();
  Writable.reset();
  Flush.reset();
  Ping.reset();
  LostSource = loop_source::soon([this] {
    // The owner may destroy this object in the callback; no member may be used
    // after it.
    auto OnLost = Events.OnLost;
    std::string Text = LostReason;
    OnLost(Text);
    return false;
  });
}

bool peer_transport::onReadable() {
  readSome();
  if (!Lost)
    flush();
  return !Lost;
}

/// Reads the available bytes. Returns false if there were none.
bool peer_transport::readSome() {
  std::string &Input = inputBuffer();
  GError *Error = nullptr;
  gssize Count = g_socket_receive(Socket.get(), Input.data(), Input.size(),
                                  nullptr, &Error);
  if (Count < 0) {
    bool WouldBlock =
        g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    std::string Text = takeText(Error);
    if (!WouldBlock)
      close(Text);
    return false;
  }
  if (Count == 0) {
    close("the other side closed the connection");
    return false;
  }
  LastHeard = steadyNow();
  Counters.BytesIn += static_cast<std::uint64_t>(Count);
  ssize_t Taken = nghttp2_session_mem_recv(Session.get(), bytesOf(Input),
                                           static_cast<std::size_t>(Count));
  if (Taken < 0)
    close(nghttp2_strerror(static_cast<int>(Taken)));
  return true;
}

bool peer_transport::fillOutput() {
  Output.clear();
  OutputSent = 0;
  if (Output.capacity() > KeptOutputBytes)
    Output.shrink_to_fit();
  while (Output.size() < WriteBytes) {
    const std::uint8_t *Bytes = nullptr;
    ssize_t Count = nghttp2_session_mem_send(Session.get(), &Bytes);
    if (Count < 0) {
      close(nghttp2_strerror(static_cast<int>(Count)));
      return false;
    }
    if (Count == 0)
      break;
    Output.append(reinterpret_cast<const char *>(Bytes),
                  static_cast<std::size_t>(Count));
  }
  return !Output.empty();
}

void peer_transport::flush() {
  while (!Lost && !Writable) {
    if (OutputSent == Output.size() && !fillOutput())
      break;
    GError *Error = nullptr;
    gssize Count = g_socket_send(Socket.get(), Output.data() + OutputSent,
                                 Output.size() - OutputSent, nullptr, &Error);
    if (Count >= 0) {
      OutputSent += static_cast<std::size_t>(Count);
      Counters.BytesOut += static_cast<std::uint64_t>(Count);
      continue;
    }
    bool WouldBlock =
        g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    std::string Text = takeText(Error);
    if (!WouldBlock) {
      close(Text);
      return;
    }
    Writable = loop_source::onSocket(Socket.get(), G_IO_OUT, [this] {
      Writable.reset();
      flush();
      return false;
    });
  }
  bool Finished = nghttp2_session_want_read(Session.get()) == 0 &&
                  nghttp2_session_want_write(Session.get()) == 0;
  if (Finished && OutputSent == Output.size())
    close("the session has ended");
}

/// Sends pings while streams are open. Idle links send none, so that they cost
/// nothing in a large deployment.
bool peer_transport::checkAlive() {
  bool IsBusy = Events.IsBusy();
  time_point Now = steadyNow();
  if (IsBusy && !WasBusy)
    BusySince = Now;
  WasBusy = IsBusy;
  if (!IsBusy)
    return true;
  milliseconds Silent = Now - std::max(LastHeard, BusySince);
  if (Silent >= PingTimeout) {
    // After this process was suspended, the response may still be unread in the
    // socket.
    if (!readSome() && !Lost)
      close("no answer to a ping");
    return !Lost;
  }
  if (Silent >= PingInterval) {
    nghttp2_submit_ping(Session.get(), NGHTTP2_FLAG_NONE, nullptr);
    scheduleFlush();
  }
  return true;
}

std::string newNonce() {
  std::array<std::uint64_t, 2> Words{};
  if (getrandom(Words.data(), sizeof(Words), 0) !=
      static_cast<ssize_t>(sizeof(Words)))
    std::abort(); // The handshake is not secure without random numbers.
  return toHex(Words[0]) + toHex(Words[1]);
}

namespace {

std::string proofOf(const handshake &Shake, std::string_view Side,
                    std::string_view Key) {
  std::string Message(Side);
  for (const std::string *Part : {&Shake.ClientHost, &Shake.ServerHost,
                                  &Shake.ClientNonce, &Shake.ServerNonce}) {
    Message += '\n';
    Message += *Part;
  }
  return hmacSha256(Key, Message);
}

} // namespace

std::string handshake::clientProof(std::string_view Key) const {
  return proofOf(*this, "client", Key);
}

std::string handshake::serverProof(std::string_view Key) const {
  return proofOf(*this, "server", Key);
}

} // namespace turmerichead::pvt
