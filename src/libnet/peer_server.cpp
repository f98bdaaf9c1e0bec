#include "peer_server_pvt.h"

#include "turmerichead/hash.h"

#include <msgpack.hpp>

#include <algorithm>

namespace turmerichead {

using namespace pvt;

namespace {

constexpr std::size_t MaxStatusTextBytes = 1024;

/// Adapts a string to the buffer interface of msgpack.
struct string_sink {
  std::string &Text;
  void write(const char *Bytes, std::size_t Length) {
    Text.append(Bytes, Length);
  }
};

std::string_view valueOf(const std::vector<peer_header> &Headers,
                         std::string_view Name) {
  for (const peer_header &Header : Headers)
    if (Header.Name == Name)
      return Header.Value;
  return {};
}

void respondEmpty(accepted_row &Connection, std::int32_t Http2Id,
                  header_list &Headers) {
  nghttp2_submit_response(Connection.Transport->session(), Http2Id,
                          Headers.data(), Headers.size(), nullptr);
}

} // namespace

std::string_view peer_request_view::header(std::string_view Name) const {
  return valueOf(*Headers, Name);
}

// -- Connections -------------------------------------------------------------

void peer_server::state::take(handle<GSocket> Socket) {
  if (Connections.size() >= Settings.MaxConnections)
    return; // The handle closes the connection.
  limitUnproved();
  accepted_id Id = Connections.insert(std::make_unique<accepted_row>());
  accepted_row &Connection = *find(Id);
  Connection.AcceptedAt = steadyNow();
  Connection.Context = {this, Id};
  Connection.Transport = std::make_unique<peer_transport>(
      std::move(Socket), newSession(Connection), Settings, Counters,
      peer_transport::events{
          .OnLost = [this, Id](const std::string &) { lose(Id); },
          .IsBusy = [&Connection] { return !Connection.Streams.empty(); }});
  Connection.Deadline =
      loop_source::every(Settings.HandshakeTimeout, [this, Id] {
        ++Counters.HandshakesRefused;
        lose(Id);
        return false;
      });
  submitLinkSettings(Connection.Transport->session(), Settings);
  Connection.Transport->scheduleFlush();
}

// Closes the oldest connection without a proof if there are too many of them.
void peer_server::state::limitUnproved() {
  std::size_t Count = 0;
  std::optional<accepted_id> Oldest;
  time_point Since;
  Connections.forEach([&](accepted_id Id, auto &Row) {
    if (Row->Phase == proof_phase::Proved)
      return;
    ++Count;
    if (Oldest && Row->AcceptedAt >= Since)
      return;
    Oldest = Id;
    Since = Row->AcceptedAt;
  });
  if (Count < MaxUnproved)
    return;
  ++Counters.HandshakesRefused;
  lose(*Oldest);
}

void peer_server::state::lose(accepted_id Id) {
  if (!find(Id))
    return;
  std::unique_ptr<accepted_row> Connection = std::move(*Connections.find(Id));
  Connections.erase(Id);
  if (Connection->Phase == proof_phase::Proved)
    ++Counters.LinksLost;
  for (const auto &[Http2Id, Stream] : Connection->Streams)
    release(Stream);
  for (const auto &[Http2Id, Stream] : Connection->Streams)
    if (Replies.erase(Stream.Reply) && Events.OnGone)
      Events.OnGone(Stream.Reply);
}

// -- Handshake ---------------------------------------------------------------

void peer_server::state::greet(accepted_row &Connection, std::int32_t Http2Id,
                               const server_stream &Stream) {
  Connection.Phase = proof_phase::Greeted;
  Connection.Shake = {
      std::string(valueOf(Stream.Headers, HostHeader)), Settings.Host,
      std::string(valueOf(Stream.Headers, NonceHeader)), newNonce()};
  std::string Proof = Connection.Shake.serverProof(SharedKey);
  header_list Headers;
  Headers.add(":status", "200");
  Headers.add(NonceHeader, Connection.Shake.ServerNonce);
  Headers.add(ProofHeader, Proof);
  respondEmpty(Connection, Http2Id, Headers);
}

void peer_server::state::prove(accepted_row &Connection, std::int32_t Http2Id,
                               const server_stream &Stream) {
  std::string Expected = Connection.Shake.clientProof(SharedKey);
  if (!equalConstantTime(Expected, valueOf(Stream.Headers, ProofHeader))) {
    refuse(Connection, Http2Id);
    return;
  }
  Connection.Phase = proof_phase::Proved;
  Connection.Deadline.reset();
  header_list Headers;
  Headers.add(":status", "200");
  respondEmpty(Connection, Http2Id, Headers);
}

/// Responds and closes the connection, so that every guess of the key requires
/// a new connection.
void peer_server::state::refuse(accepted_row &Connection,
                                std::int32_t Http2Id) {
  ++Counters.HandshakesRefused;
  Connection.Phase = proof_phase::Nothing;
  header_list Headers;
  Headers.add(":status", "401");
  respondEmpty(Connection, Http2Id, Headers);
  nghttp2_session_terminate_session(Connection.Transport->session(),
                                    NGHTTP2_NO_ERROR);
}

// -- Requests ----------------------------------------------------------------

void peer_server::state::requestRead(accepted_row &Connection,
                                     std::int32_t Http2Id) {
  server_stream &Stream = Connection.Streams.at(Http2Id);
  if (Connection.Phase == proof_phase::Proved)
    dispatch(Connection, Http2Id);
  else if (Connection.Phase == proof_phase::Nothing && Stream.Path == HelloPath)
    greet(Connection, Http2Id, Stream);
  else if (Connection.Phase == proof_phase::Greeted && Stream.Path == ProvePath)
    prove(Connection, Http2Id, Stream);
  else
    refuse(Connection, Http2Id);
}

void peer_server::state::dispatch(accepted_row &Connection,
                                  std::int32_t Http2Id) {
  if (!Listener.isOpen()) {
    nghttp2_submit_rst_stream(Connection.Transport->session(),
                              NGHTTP2_FLAG_NONE, Http2Id,
                              NGHTTP2_REFUSED_STREAM);
    return;
  }
  ++Counters.Requests;
  server_stream &Stream = Connection.Streams.at(Http2Id);
  Stream.Reply = Replies.insert({Connection.Context.Connection, Http2Id});
  // Moved out of the row, because the handler may erase it while it uses views.
  std::string Path = std::move(Stream.Path);
  std::string Body = std::move(Stream.Body);
  auto Headers = std::move(Stream.Headers);
  account(Connection, Http2Id, Stream);
  std::string Host = Connection.Shake.ClientHost;
  Events.OnRequest({Stream.Reply, Host, Path, Body, &Headers});
}

server_stream *peer_server::state::streamOf(peer_reply_id Reply,
                                            accepted_row *&Connection) {
  peer_reply_row *Row = Replies.find(Reply);
  if (!Row) {
    fail(error_code::NotFound, "the asker has gone");
    return nullptr;
  }
  Connection = find(Row->Connection);
  return &Connection->Streams.at(Row->Http2Id);
}

void peer_server::state::resume(accepted_row &Connection, std::int32_t Http2Id,
                                server_stream &Stream) {
  nghttp2_session *Session = Connection.Transport->session();
  if (Stream.Responding) {
    nghttp2_session_resume_data(Session, Http2Id);
  } else {
    Stream.Responding = true;
    header_list Headers;
    Headers.add(":status", "200");
    nghttp2_data_provider Provider{};
    Provider.read_callback = readOutput;
    nghttp2_submit_response(Session, Http2Id, Headers.data(), Headers.size(),
                            &Provider);
  }
  Connection.Transport->scheduleFlush();
}

// -- Interface ---------------------------------------------------------------

std::optional<peer_server> peer_server::create(std::string_view Address,
                                               peer_settings Settings,
                                               std::string SharedKey,
                                               peer_server_events Events,
                                               memory_budget *Budget) {
  if (SharedKey.empty())
    return fail(error_code::InvalidInput, "the shared key is empty");
  if (Settings.Host.empty())
    return fail(error_code::InvalidInput, "the host has no name");
  auto Listener = listener::open(Address);
  if (!Listener)
    return std::nullopt;
  auto State = std::make_unique<state>();
  State->Settings = std::move(Settings);
  State->SharedKey = std::move(SharedKey);
  State->Events = std::move(Events);
  State->Budget = Budget;
  if (Budget)
    State->Owner = Budget->addOwner([Raw = State.get()](std::uint64_t Key) {
      Raw->endForMemory(idOf<counted_stream>(Key));
    });
  State->Listener = std::move(*Listener);
  State->Accepting = loop_source::onSocket(
      State->Listener.socket(), G_IO_IN, [Raw = State.get()] {
        Raw->Listener.acceptAll(
            [Raw](handle<GSocket> Socket) { Raw->take(std::move(Socket)); });
        return true;
      });
  return peer_server(std::move(State));
}

peer_server::peer_server(std::unique_ptr<state> State)
    : State(std::move(State)) {}
peer_server::peer_server(peer_server &&Other) noexcept = default;
peer_server &peer_server::operator=(peer_server &&Other) noexcept = default;
peer_server::~peer_server() = default;

std::uint16_t peer_server::port() const { return State->Listener.port(); }

bool peer_server::write(peer_reply_id Reply, std::string_view Message) {
  accepted_row *Connection = nullptr;
  server_stream *Stream = State->streamOf(Reply, Connection);
  if (!Stream)
    return false;
  std::size_t Waiting = Stream->Output.size() - Stream->OutputSent;
  if (Stream->Reset) {
    fail(error_code::Refused, "the response was ended for its memory");
    return false;
  }
  if (Waiting + Message.size() > State->Settings.MaxBufferedBytes) {
    fail(error_code::Refused, "the asker reads too slowly");
    return false;
  }
  if (Stream->OutputSent >= CompactBytes &&
      Stream->OutputSent * 2 >= Stream->Output.size()) {
    Stream->Output.erase(0, Stream->OutputSent);
    Stream->OutputSent = 0;
  }
  string_sink Sink{Stream->Output};
  msgpack::packer<string_sink> Packer(Sink);
  Packer.pack_bin(static_cast<std::uint32_t>(Message.size()));
  Packer.pack_bin_body(Message.data(),
                       static_cast<std::uint32_t>(Message.size()));
  State->account(*Connection, State->Replies.find(Reply)->Http2Id, *Stream);
  state::resume(*Connection, State->Replies.find(Reply)->Http2Id, *Stream);
  return true;
}

bool peer_server::end(peer_reply_id Reply, peer_status Status) {
  accepted_row *Connection = nullptr;
  server_stream *Stream = State->streamOf(Reply, Connection);
  if (!Stream)
    return false;
  if (Stream->Reset) {
    State->Replies.erase(Reply);
    return false;
  }
  Status.Text.resize(std::min(Status.Text.size(), MaxStatusTextBytes));
  string_sink Sink{Stream->Output};
  msgpack::packer<string_sink> Packer(Sink);
  Packer.pack_array(2);
  Packer.pack(static_cast<unsigned>(Status.Code));
  Packer.pack(Status.Text);
  Stream->Ended = true;
  state::resume(*Connection, State->Replies.find(Reply)->Http2Id, *Stream);
  State->Replies.erase(Reply);
  return true;
}

void peer_server::stopAccepting() {
  if (!State->Listener.isOpen())
    return;
  State->Accepting.reset();
  State->Listener.close(
      [this](handle<GSocket> Socket) { State->take(std::move(Socket)); });
  State->Connections.forEach([](accepted_id, auto &Connection) {
    nghttp2_session *Session = Connection->Transport->session();
    nghttp2_submit_goaway(Session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(Session),
                          NGHTTP2_NO_ERROR, nullptr, 0);
    Connection->Transport->scheduleFlush();
  });
}

peer_counters peer_server::counters() const {
  peer_counters Counters = State->Counters;
  Counters.OpenStreams = State->Replies.size();
  return Counters;
}

} // namespace turmerichead
