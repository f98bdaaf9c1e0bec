#include "scripted_upstream.h"

#include <sys/socket.h>

#include <charconv>
#include <utility>

namespace turmerichead::fleet_harness {

namespace {

constexpr std::size_t ReadBytes = 65536;
constexpr milliseconds WriteInterval{1};
constexpr std::string_view HeadEnd = "\r\n\r\n";

std::string newId() {
  static unsigned Next = 0;
  return "scripted-" + std::to_string(++Next);
}

/// Returns the value of a field in a well-formed head.
std::string_view fieldOf(std::string_view Head, std::string_view Name) {
  std::string Start = "\r\n" + std::string(Name) + ": ";
  std::size_t At = Head.find(Start);
  if (At == std::string_view::npos)
    return {};
  std::string_view Rest = Head.substr(At + Start.size());
  return Rest.substr(0, Rest.find("\r\n"));
}

std::string replaceAll(std::string Text, std::string_view Old,
                       std::string_view New) {
  for (std::size_t At = Text.find(Old); At != std::string::npos;
       At = Text.find(Old, At + New.size()))
    Text.replace(At, Old.size(), New);
  return Text;
}

std::size_t numberOf(std::string_view Text) {
  std::size_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

} // namespace

// -- The upstream ------------------------------------------------------------

scripted_upstream::scripted_upstream(fleet &Fleet, std::string Service,
                                     answer_script Script)
    : Fleet(Fleet), Id(newId()), Script(std::move(Script)),
      Listener(*listener::open("127.0.0.1:0")) {
  Accepting = loop_source::onSocket(Listener.socket(), G_IO_IN, [this] {
    Listener.acceptAll(
        [this](handle<GSocket> Socket) { adopt(std::move(Socket)); });
    return true;
  });
  nlohmann::json Spec = {
      {"service", std::move(Service)},
      {"address", "127.0.0.1:" + std::to_string(Listener.port())},
      {"zone", "dc-0"},
      {"version", "1"},
      {"slots", 16},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"sequence", 1},
      {"born", 1}};
  Fleet.order("store",
              {{"put", {{"kind", "servers"}, {"name", Id}, {"spec", Spec}}}});
}

scripted_upstream::~scripted_upstream() {
  Fleet.order("store", {{"remove", {{"kind", "servers"}, {"name", Id}}}});
}

void scripted_upstream::adopt(handle<GSocket> Socket) {
  auto Row = std::make_unique<connection>();
  connection *Raw = Row.get();
  Row->Socket = std::move(Socket);
  if (int Bytes = Script.ReceiveBufferBytes; Bytes > 0)
    setsockopt(g_socket_get_fd(Row->Socket.get()), SOL_SOCKET, SO_RCVBUF,
               &Bytes, sizeof(Bytes));
  Row->Readable = loop_source::onSocket(Row->Socket.get(), G_IO_IN,
                                        [this, Raw] { return read(*Raw); });
  Connections.push_back(std::move(Row));
}

bool scripted_upstream::read(connection &Row) {
  bool IsAnswered = Row.Input.find(HeadEnd) != std::string::npos;
  std::string Bytes(ReadBytes, '\0');
  gssize Count = g_socket_receive(Row.Socket.get(), Bytes.data(), Bytes.size(),
                                  nullptr, nullptr);
  if (Count <= 0)
    return false;
  Row.Input.append(Bytes, 0, static_cast<std::size_t>(Count));
  if (IsAnswered || Row.Input.find(HeadEnd) == std::string::npos)
    return true;
  answer(Row);
  return Script.ReadsBody;
}

void scripted_upstream::answer(connection &Row) {
  ++Requests;
  std::string Bytes = replaceAll(Script.Bytes, AttemptPlaceholder,
                                 fieldOf(Row.Input, "Request-Attempt-Id"));
  g_socket_send(Row.Socket.get(), Bytes.data(), Bytes.size(), nullptr, nullptr);
  Row.Close = loop_source::every(Script.CloseAfter,
                                 [this, Raw = &Row] { return end(*Raw); });
}

// Returns whether it is to be called again.
bool scripted_upstream::end(connection &Row) {
  Row.Readable.reset();
  if (Script.ShutsDownFirst && !std::exchange(Row.IsShutDown, true)) {
    g_socket_shutdown(Row.Socket.get(), FALSE, TRUE, nullptr);
    return true;
  }
  g_socket_close(Row.Socket.get(), nullptr);
  return false;
}

// -- The caller --------------------------------------------------------------

raw_exchange::raw_exchange(const std::string &Address, std::string Request)
    : Socket(*beginConnect(parseAddress(Address)->get())),
      Unsent(std::move(Request)) {
  g_socket_set_blocking(Socket.get(), FALSE);
  Ready = loop_source::every(WriteInterval, [this] { return onReady(); });
}

bool raw_exchange::onReady() {
  if (!Unsent.empty()) {
    gssize Count = g_socket_send(Socket.get(), Unsent.data(), Unsent.size(),
                                 nullptr, nullptr);
    if (Count > 0)
      Unsent.erase(0, static_cast<std::size_t>(Count));
  }
  std::string Bytes(ReadBytes, '\0');
  GError *Error = nullptr;
  gssize Count = g_socket_receive(Socket.get(), Bytes.data(), Bytes.size(),
                                  nullptr, &Error);
  bool IsBlocked = g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) ||
                   g_error_matches(Error, G_IO_ERROR, G_IO_ERROR_NOT_CONNECTED);
  g_clear_error(&Error);
  if (Count > 0)
    Answer.append(Bytes, 0, static_cast<std::size_t>(Count));
  Ended = Count <= 0 && !IsBlocked;
  return !Ended;
}

int raw_exchange::status() const {
  constexpr std::string_view Start = "HTTP/1.1 ";
  constexpr std::size_t StatusDigits = 3;
  if (!Answer.starts_with(Start))
    return 0;
  return static_cast<int>(
      numberOf(std::string_view(Answer).substr(Start.size(), StatusDigits)));
}

std::string_view raw_exchange::body() const {
  std::size_t At = Answer.find(HeadEnd);
  if (At == std::string::npos)
    return {};
  return std::string_view(Answer).substr(At + HeadEnd.size());
}

bool raw_exchange::isWhole() const {
  std::string_view Head =
      std::string_view(Answer).substr(0, Answer.size() - body().size());
  std::string_view Length = fieldOf(Head, "Content-Length");
  if (!Length.empty())
    return body().size() == numberOf(Length);
  return body().ends_with("0\r\n\r\n");
}

} // namespace turmerichead::fleet_harness
