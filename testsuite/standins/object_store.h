/// \file
/// A small store that speaks the platform's protocol, for tests.
#pragma once

#include "../src/libnet/test_loop_pvt.h"
#include "turmerichead/http1_server.h"

#include <charconv>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace turmerichead::platform {

/// Holds objects in memory and can be told to misbehave.
class store_stand_in {
public:
  enum class mood { Fine, Busy, Silent };

  store_stand_in() {
    Server = http1::server::create(
        "127.0.0.1:0", {},
        {[this](http1::exchange_id Id, http1::request &&Request) {
           Requests.push_back(Request.Method + " " + Request.Target);
           serve(Id, Request);
         },
         [](http1::exchange_id) {}});
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server->port());
  }

  /// Writes an object as the operator would.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec) {
    ++Revision;
    Objects[{Kind, Name}] = {
        {"metadata", {{"name", Name}, {"revision", Revision}}},
        {"specification", std::move(Spec)},
        {"status", nullptr}};
    note(Kind, Objects[{Kind, Name}], false);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    auto Row = Objects.find({Kind, Name});
    ++Revision;
    nlohmann::json Object = Row->second;
    Objects.erase(Row);
    note(Kind, Object, true);
  }
  /// Forgets which changes led here and cuts all watches.
  void forgetHistory() {
    History.clear();
    HistoryFrom = Revision;
    for (watcher &Row : std::exchange(Watchers, {}))
      Server->abort(Row.Id);
  }
  nlohmann::json specOf(const std::string &Kind, const std::string &Name) {
    auto Row = Objects.find({Kind, Name});
    return Row == Objects.end() ? nlohmann::json()
                                : Row->second["specification"];
  }

  mood Mood = mood::Fine;
  std::vector<std::string> Requests;
  std::optional<http1::server> Server;

private:
  struct watcher {
    http1::exchange_id Id;
    std::string Kind;
    std::uint64_t Since = 0;
  };
  struct change {
    std::string Kind;
    std::uint64_t Revision = 0;
    nlohmann::json Event;
  };

  static std::optional<std::uint64_t> parameter(const std::string &Target,
                                                const std::string &Name) {
    std::size_t At = Target.find(Name + "=");
    if (At == std::string::npos)
      return std::nullopt;
    return std::stoull(Target.substr(At + Name.size() + 1));
  }

  void note(const std::string &Kind, const nlohmann::json &Object,
            bool Deleted) {
    History.push_back(
        {Kind, Revision, {{"deleted", Deleted}, {"object", Object}}});
    for (watcher &Row : std::exchange(Watchers, {}))
      watch(Row, milliseconds(30000));
  }

  void watch(const watcher &Row, milliseconds Wait) {
    nlohmann::json Events = nlohmann::json::array();
    for (const change &Change : History)
      if (Change.Kind == Row.Kind && Change.Revision > Row.Since)
        Events.push_back(Change.Event);
    if (!Events.empty() || Wait.count() < 1000) {
      reply(Row.Id, 200, {{"events", Events}, {"current_rev", Revision}});
      return;
    }
    Watchers.push_back(Row);
  }

  void reply(http1::exchange_id Id, int Status, const nlohmann::json &Body) {
    Server->respond(Id, Status, {{"Content-Type", "application/json"}},
                    Body.dump());
  }

  void serve(http1::exchange_id Id, const http1::request &Request) {
    if (Mood == mood::Silent)
      return;
    if (Mood == mood::Busy) {
      reply(Id, 503, nullptr);
      return;
    }
    std::string Path = Request.Target.substr(0, Request.Target.find('?'));
    std::string Rest = Path.substr(std::string("/objects/").size());
    std::string Kind = Rest.substr(0, Rest.find('/'));
    std::string Name =
        Rest.size() > Kind.size() ? Rest.substr(Kind.size() + 1) : "";
    if (Request.Method == "GET" && parameter(Request.Target, "watch")) {
      std::uint64_t Since = *parameter(Request.Target, "watch");
      if (Since < HistoryFrom)
        reply(Id, 410, nullptr);
      else
        watch({Id, Kind, Since},
              milliseconds(*parameter(Request.Target, "wait_ms")));
      return;
    }
    if (Request.Method == "GET") {
      nlohmann::json Items = nlohmann::json::array();
      for (const auto &[Key, Object] : Objects)
        if (Key.first == Kind)
          Items.push_back(Object);
      reply(Id, 200,
            {{"items", Items}, {"has_more", false}, {"current_rev", Revision}});
      return;
    }
    write(Id, Request, Kind, Name);
  }

  void write(http1::exchange_id Id, const http1::request &Request,
             const std::string &Kind, std::string Name) {
    auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
    bool Creates = Request.Method == "POST";
    if (Creates)
      Name = Body["metadata"]["name"].get<std::string>();
    auto Row = Objects.find({Kind, Name});
    bool Conflict =
        Creates ? Row != Objects.end()
                : Row == Objects.end() || Row->second["metadata"]["revision"] !=
                                              Body["metadata"]["revision"];
    if (Conflict) {
      reply(Id, 409, Row == Objects.end() ? nlohmann::json() : Row->second);
      return;
    }
    put(Kind, Name, Body["specification"]);
    reply(Id, 200, Objects[{Kind, Name}]);
  }

  std::map<std::pair<std::string, std::string>, nlohmann::json> Objects;
  std::vector<change> History;
  std::vector<watcher> Watchers;
  std::uint64_t Revision = 100;
  std::uint64_t HistoryFrom = 0;
};

} // namespace turmerichead::platform
