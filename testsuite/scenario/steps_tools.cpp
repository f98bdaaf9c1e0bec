#include "event_loop.h"
#include "interpreter.h"

#include "turmerichead/error.h"

#include <array>
#include <fstream>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {

handle<GSocketConnection> connectTo(const std::string &Ip, std::uint16_t Port) {
  auto Connector = handle<GSocketClient>::adopt(g_socket_client_new());
  auto Address = handle<GSocketAddress>::adopt(
      g_inet_socket_address_new_from_string(Ip.c_str(), Port));
  return handle<GSocketConnection>::adopt(g_socket_client_connect(
      Connector.get(), G_SOCKET_CONNECTABLE(Address.get()), nullptr, nullptr));
}

/// What has arrived on a socket by now, without waiting.
void readAvailable(GSocketConnection *Connection, std::string &Text,
                   bool &Ended) {
  constexpr std::size_t BufferBytes = 4096;
  std::array<char, BufferBytes> Buffer{};
  GSocket *Socket = g_socket_connection_get_socket(Connection);
  for (;;) {
    GError *Reason = nullptr;
    const gssize Count = g_socket_receive_with_blocking(
        Socket, Buffer.data(), BufferBytes, FALSE, nullptr, &Reason);
    const bool WouldBlock =
        Reason && g_error_matches(Reason, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&Reason);
    if (Count <= 0) {
      Ended = !WouldBlock;
      return;
    }
    Text.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
}

} // namespace

interpreter::outcome interpreter::idle(const step &Step) {
  const process *Process = Processes.find(Step.text("process"));
  if (!Process)
    return bad("there is no process \"" + Step.text("process") + "\"");
  const std::int64_t Count = Step.number("count", 1);
  for (std::int64_t I = 0; I < Count; ++I) {
    auto Connection = connectTo(Processes.address(), Process->Port);
    if (!Connection)
      return bad("connection " + std::to_string(I + 1) + " is refused");
    IdleConnections.push_back(std::move(Connection));
  }
  return good(std::to_string(Count) + " connections to " +
              Step.text("process"));
}

interpreter::outcome interpreter::send(const step &Step) {
  const process *Process = Processes.find(Step.text("process"));
  if (!Process)
    return bad("there is no process \"" + Step.text("process") + "\"");
  auto Connection = connectTo(Processes.address(), Process->Port);
  if (!Connection)
    return bad("the connection is refused");
  std::string Bytes = Step.text("bytes");
  const std::string Filler = Step.text("repeat");
  for (std::int64_t I = 0; I < Step.number("times", 0); ++I)
    Bytes += Filler;
  Bytes += Step.text("end");
  gsize Sent = 0;
  g_output_stream_write_all(
      g_io_stream_get_output_stream(G_IO_STREAM(Connection.get())),
      Bytes.data(), Bytes.size(), &Sent, nullptr, nullptr);
  std::string Text;
  bool Ended = false;
  std::optional<std::string> Finding = "no answer";
  const bool Held = waitUntil(
      [&] {
        readAvailable(Connection.get(), Text, Ended);
        Finding = judge(Step, json(Text));
        if (!Finding && Step.flag("closes") && !Ended)
          Finding = "the connection stays open";
        return !Finding || Ended;
      },
      bound(Step));
  if (!Held || Finding)
    return bad(Finding.value_or("no answer"));
  return good(describe(*Written));
}

interpreter::outcome interpreter::ctl(const step &Step) {
  if (Step.has("file"))
    std::ofstream(Processes.scratch() + "/" + Step.text("file"))
        << Step.text("content");
  std::vector<std::string> CommandLine = {Processes.binFolder() +
                                          "/turmericheadctl"};
  for (const std::string &Argument : Step.texts("args"))
    CommandLine.push_back(Argument);
  std::string Output;
  const auto Code = Processes.runToEnd(CommandLine, bound(Step), Output);
  if (!Code)
    return bad(lastError().Text);
  const std::string Verb =
      CommandLine.size() > 1 ? CommandLine[1] : std::string();
  print(Output);
  if (*Code != Step.number("exit", 0))
    return bad(Verb + " exits with " + std::to_string(*Code) + ": " + Output);
  if (const auto Finding = judge(Step, json(Output)))
    return bad(Verb + ": " + *Finding);
  return good(Verb + " exits with " + std::to_string(*Code));
}

interpreter::outcome interpreter::apply(const step &Step) {
  const process *Platform = Processes.find(Step.text("process", "platform"));
  if (!Platform)
    return bad("there is no platform");
  const std::string Plural = Step.text("plural");
  const std::string Name = Step.text("name");
  json Object = {{"metadata", {{"name", Name}}}};
  for (const char *Part : {"spec", "status"})
    if (Step.has(Part))
      Object[Part] = Step.Fields[Part];
  const std::string Collection = url(*Platform, substitute("${api}/") + Plural);
  http_request Request;
  Request.Method = "PUT";
  Request.Url = Collection + "/" + Name;
  // A status alone leaves the spec as it is.
  if (Step.has("status") && !Step.has("spec"))
    Request.Url += "/status";
  Request.Body = Object.dump();
  http_response Response = Client.fetch(Request, Settings.BoundMs);
  if (Response.Status == 404) {
    Request.Method = "POST";
    Request.Url = Collection;
    Response = Client.fetch(Request, Settings.BoundMs);
  }
  if (Response.Status != 200 && Response.Status != 201)
    return bad(Plural + "/" + Name + ": status " +
               std::to_string(Response.Status) + " " + Response.Body);
  return good(Plural + "/" + Name);
}

interpreter::outcome interpreter::remove(const step &Step) {
  const process *Platform = Processes.find(Step.text("process", "platform"));
  if (!Platform)
    return bad("there is no platform");
  const std::string Which = Step.text("plural") + "/" + Step.text("name");
  http_request Request;
  Request.Method = "DELETE";
  Request.Url = url(*Platform, substitute("${api}/") + Which);
  const http_response Response = Client.fetch(Request, Settings.BoundMs);
  if (Response.Status != 200)
    return bad(Which + ": status " + std::to_string(Response.Status));
  return good(Which);
}

} // namespace turmerichead::scenario
