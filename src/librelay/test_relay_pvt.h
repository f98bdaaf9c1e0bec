/// \file
/// Fixture of the relay tests: a relay with upstreams that the test controls
/// and real disk hosts, all on one event loop.
#pragma once

#include "../libnet/test_loop_pvt.h"
#include "turmerichead/error.h"
#include "turmerichead/relay.h"
#include "turmerichead/relay_permit_client.h"
#include "turmerichead/relay_quota_client.h"
#include "turmerichead/turns_forwarder.h"
#include "turmerichead/turns_replica.h"

#include <filesystem>

namespace turmerichead::pvt {

inline constexpr const char *Key = "test-key";
/// Of the relays under test.
inline constexpr std::size_t MaxHeldBytes = 8U << 20U;

inline relay::header_names names() {
  relay::header_names Names;
  Names.CallId = "X-Call";
  Names.TimeLeft = "X-Left";
  Names.ExpectUpstream = "X-Expect";
  Names.NotRun = "X-Not-Run";
  Names.RetryAfter = "Retry-After";
  Names.Program = "X-Program";
  Names.Budget = "X-Budget";
  Names.Tokens = "X-Tokens";
  Names.PreviousTurn = "X-Previous";
  Names.LastEvent = "X-Last-Event";
  Names.Organisation = "X-Organisation";
  Names.SystemOnly = {"X-Expect", "X-Pin"};
  return Names;
}

inline relay::route routeOf(std::string Prefix, relay::call_kind Kind,
                            std::string Service, std::uint32_t Attempts) {
  relay::route Route;
  Route.Name = Prefix;
  Route.Host = "h";
  Route.PathPrefix = std::move(Prefix);
  Route.Kind = Kind;
  Route.Timeout = milliseconds(2000);
  Route.Attempts = Attempts;
  Route.Services = {{std::move(Service), 1}};
  return Route;
}

inline relay::routing routingOf(std::uint64_t Version) {
  relay::routing Routing;
  Routing.Version = Version;
  Routing.Routes = {routeOf("/safe/", relay::call_kind::Safe, "tools", 2),
                    routeOf("/book/", relay::call_kind::Unsafe, "tools", 2),
                    routeOf("/plan/", relay::call_kind::Stream, "llm", 2),
                    routeOf("/talk/", relay::call_kind::Stream, "llm", 2),
                    routeOf("/chat/", relay::call_kind::Stream, "llm", 1)};
  Routing.Routes[2].KeepsTurns = true;
  Routing.Routes[2].Retention = milliseconds(60000);
  Routing.Routes[3].Retention = milliseconds(60000);
  Routing.Routes[4].Resumable = true;
  Routing.Services["tools"].Name = "tools";
  relay::service &Llm = Routing.Services["llm"];
  Llm.Name = "llm";
  Llm.TokensPerEvent = 10;
  return Routing;
}

/// Reads X-Limit, the requests a second that an upstream takes, and X-Leaving.
inline relay::upstream_notice readNotice(const http1::header_list &Headers) {
  relay::upstream_notice Notice;
  if (const std::string *Limit = Headers.find("X-Limit"))
    Notice.RequestsPerSecond = std::strtod(Limit->c_str(), nullptr);
  Notice.IsLeaving = Headers.find("X-Leaving") != nullptr;
  return Notice;
}

/// Three disk hosts with data in a temporary folder.
struct disks {
  std::string Root;
  turns::disk_set Set{1, 2, {}, {}};
  std::vector<std::optional<turns::replica>> Replicas;
  std::vector<relay::permit_server> Permits{3};
  std::vector<relay::quota_server> Quotas{3};
  bool IssuesPermits = true; ///< If false, like a host of an earlier version.
  bool IssuesTokens = true;  ///< The same for tokens of organisations.

  disks() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "relayXXXXXX").string();
    Root = mkdtemp(Template.data());
    for (int I = 0; I < 3; ++I)
      Set.Members.push_back({"d" + std::to_string(I), freeAddress(), "dc"});
    Replicas.resize(Set.Members.size());
    for (std::size_t I = 0; I < Replicas.size(); ++I)
      start(I);
  }
  /// Starts a host, also again with the disk that it had.
  void start(std::size_t Index) {
    const turns::disk_host &Host = Set.Members[Index];
    turns::replica_settings Settings;
    Settings.Self = Host;
    Settings.Store.Log.Folder = Root + "/" + Host.Name;
    Settings.Store.FirstStart = true;
    Settings.SharedKey = Key;
    turns::replica_events Events;
    Events.OnPropose = [](const turns::disk_set &) {};
    Events.OnUnhandledRequest = [this,
                                 Index](const peer_request_view &Request) {
      serve(Index, Request);
    };
    Replicas[Index] = turns::replica::create(Settings, std::move(Events));
    REQUIRE_MESSAGE(Replicas[Index], lastError().Text);
    Replicas[Index]->updateSet(Set);
    Quotas[Index].updateSet(Set, Host.Address);
  }
  void serve(std::size_t Index, const peer_request_view &Request) {
    peer_server &Server = Replicas[Index]->server();
    if (IssuesPermits && relay::permit_server::handles(Request.Path))
      Permits[Index].serve(Server, Request);
    else if (IssuesTokens && relay::quota_server::handles(Request.Path))
      Quotas[Index].serve(Server, Request);
    else
      Server.end(Request.Reply, {error_code::NotFound, "no such path"});
  }
  ~disks() {
    Replicas.clear();
    std::filesystem::remove_all(Root);
  }
};

/// The connection of a caller.
struct caller {
  handle<GSocket> Socket;
  loop_source Readable;
  std::string Input;
  bool Closed = false;

  explicit caller(const std::string &Address) {
    Socket = *beginConnect(parseAddress(Address)->get());
    g_socket_condition_wait(Socket.get(), G_IO_OUT, nullptr, nullptr);
    Readable = loop_source::onSocket(Socket.get(), G_IO_IN, [this] {
      std::string Bytes(65536, '\0');
      gssize Count = g_socket_receive(Socket.get(), Bytes.data(), Bytes.size(),
                                      nullptr, nullptr);
      Closed = Count <= 0;
      if (!Closed)
        Input.append(Bytes, 0, static_cast<std::size_t>(Count));
      return !Closed;
    });
  }
  void send(std::string_view Bytes) {
    g_socket_send(Socket.get(), Bytes.data(), Bytes.size(), nullptr, nullptr);
  }
  /// Runs the loop until \p Text has arrived or the connection is closed.
  /// Returns false on a timeout.
  bool waitsFor(std::string_view Text) {
    return turnUntil(
        [&] { return Closed || Input.find(Text) != std::string::npos; });
  }
  bool has(std::string_view Text) const {
    return Input.find(Text) != std::string::npos;
  }
};

/// An entry host.
struct entry_host {
  metrics Metrics;
  std::optional<turns::client> Turns;
  std::optional<relay::relay> Relay;
  std::string Address = freeAddress();
  bool KeysAreCurrent = true; ///< See relay_settings.

  entry_host(std::string Name, const disks &Disks,
             std::uint32_t HedgePercent = 0) {
    turns::client_settings TurnSettings;
    TurnSettings.Host = Name;
    TurnSettings.DataCentre = "dc";
    TurnSettings.SharedKey = Key;
    Turns = turns::client::create(TurnSettings);
    relay::relay_settings Settings;
    Settings.Host = std::move(Name);
    Settings.Listen = Address;
    Settings.DataCentre = "dc";
    Settings.ReadNotice = readNotice;
    Settings.KeysAreCurrent = [this] { return KeysAreCurrent; };
    Settings.MaxHeldBytes = MaxHeldBytes;
    Settings.HedgePercent = HedgePercent;
    Relay = relay::relay::create(Settings, names(), *Turns, Metrics);
    REQUIRE(Relay);
    Turns->updateSet(Disks.Set);
    Relay->setRouting(routingOf(1));
  }
};

struct fixture {
  disks Disks;
  entry_host Host;
  metrics &Metrics = Host.Metrics;
  std::optional<turns::client> &Turns = Host.Turns;
  std::optional<relay::relay> &Relay = Host.Relay;
  raw_server Tools;
  raw_server OtherTools;
  raw_server Llm;
  std::string &Address = Host.Address;

  explicit fixture(std::uint32_t HedgePercent = 0)
      : Host("entry", Disks, HedgePercent) {
    put("tool-1", "tools", Tools);
    put("llm-1", "llm", Llm);
  }
  void put(std::string Id, std::string Service, const raw_server &Server) {
    Relay->putUpstream({std::move(Id), std::move(Service),
                        addressOf(Server.port()), "dc", 4, true, 1});
  }
  std::string request(std::string_view Method, std::string_view Path,
                      std::string_view Id, std::string_view ExtraHeaders = {},
                      std::string_view Body = {}) {
    std::string Text(Method);
    Text.append(" ").append(Path).append(" HTTP/1.1\r\nHost: h\r\nX-Call: ");
    Text.append(Id).append("\r\nX-Left: 1500\r\n").append(ExtraHeaders);
    Text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
    return Text.append(Body);
  }
  /// Returns the index of the first connection that has received \p Text.
  static std::size_t connectionOf(const raw_server &Server,
                                  std::string_view Text) {
    std::size_t Index = 0;
    while (Index + 1 < Server.Connections.size() &&
           Server.Connections[Index]->Input.find(Text) == std::string::npos)
      ++Index;
    return Index;
  }
  /// Runs the loop until a connection of \p Server has received \p Text.
  /// Returns false on a timeout.
  bool received(raw_server &Server, std::string_view Text) {
    return turnUntil([&] {
      for (auto &Row : Server.Connections)
        if (Row->Input.find(Text) != std::string::npos)
          return true;
      return false;
    });
  }
};

inline std::string answerTo(std::string_view Id, std::string_view Body,
                            std::string_view Status = "200 OK",
                            std::string_view ExtraHeaders = {}) {
  std::string Text = "HTTP/1.1 ";
  Text.append(Status).append("\r\nX-Call: ").append(Id).append("\r\n");
  Text.append(ExtraHeaders);
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         std::string(Body);
}

inline std::string streamHead(std::string_view Id) {
  return "HTTP/1.1 200 OK\r\nX-Call: " + std::string(Id) +
         "\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(std::string_view Text) {
  std::array<char, 32> Size{};
  std::snprintf(Size.data(), Size.size(), "%zx\r\n", Text.size());
  return std::string(Size.data()) + std::string(Text) + "\r\n";
}

inline constexpr std::string_view StreamEnd = "0\r\n\r\n";

} // namespace turmerichead::pvt
