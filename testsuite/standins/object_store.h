/// \file
/// A small object store that speaks the platform's protocol, for tests: in
/// the same process, or as a process of its own (store_main.cpp).
#pragma once

#include "turmerichead/http1_server.h"
#include "turmerichead/net_loop.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace turmerichead::standin {

/// Holds objects in memory and can be told to misbehave.
class object_store {
public:
  /// Busy: 503. Silent: no answer. Reset: the connection ends. Lossy: every
  /// third write is done and not answered.
  enum class mood { Fine, Busy, Silent, Reset, Lossy };

  explicit object_store(const std::string &Address = "127.0.0.1:0") {
    Server = http1::server::create(
        Address, {},
        {[this](http1::exchange_id Id, http1::request &&Request) {
           if (OnRequest)
             OnRequest(Request);
           serve(Id, Request);
         },
         [](http1::exchange_id) {}});
    constexpr milliseconds Tick{20};
    Ticker = loop_source::every(Tick, [this] {
      answerWatches();
      return true;
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server->port());
  }

  /// Writes an object as the operator would. A write that changes nothing
  /// is no event.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec) {
    nlohmann::json &Object = Objects[{Kind, Name}];
    if (Object.is_object() && Object["specification"] == Spec)
      return;
    nlohmann::json Status =
        Object.is_object() ? Object["status"] : nlohmann::json();
    ++Revision;
    Object = {{"metadata", {{"name", Name}, {"revision", Revision}}},
              {"specification", std::move(Spec)},
              {"status", std::move(Status)}};
    note(Kind, Object, false);
  }
  void remove(const std::string &Kind, const std::string &Name) {
    auto Row = Objects.find({Kind, Name});
    if (Row == Objects.end())
      return;
    ++Revision;
    nlohmann::json Object = Row->second;
    Objects.erase(Row);
    WrittenAt.erase({Kind, Name});
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
  /// Removes the objects of a kind that nobody has written for \p Silence.
  void lapse(const std::string &Kind, milliseconds Silence) {
    time_point Now = steadyNow();
    std::vector<std::string> Names;
    for (const auto &[Key, At] : WrittenAt)
      if (Key.first == Kind && Now - At >= Silence)
        Names.push_back(Key.second);
    for (const std::string &Name : Names)
      remove(Kind, Name);
  }
  /// Cuts the watches that wait, as an outage does.
  void cutWatches() {
    for (watcher &Row : std::exchange(Watchers, {}))
      Server->abort(Row.Id);
  }

  /// Answers the watches that have something to tell or have waited enough.
  void answerWatches() {
    for (watcher &Row : std::exchange(Watchers, {}))
      watch(Row);
  }

  /// Returns the page that a list of \p Kind gets now.
  nlohmann::json listOf(const std::string &Kind) const {
    nlohmann::json Items = nlohmann::json::array();
    for (const auto &[Key, Object] : Objects)
      if (Key.first == Kind)
        Items.push_back(Object);
    return {{"items", Items}, {"has_more", false}, {"current_rev", Revision}};
  }
  /// Whether a list waits for answerLists(); see HoldsLists.
  bool hasHeldList() const { return !HeldLists.empty(); }
  /// Answers the lists that wait with \p Page.
  void answerLists(const nlohmann::json &Page) {
    for (http1::exchange_id Id : std::exchange(HeldLists, {}))
      reply(Id, 200, Page);
  }

  mood Mood = mood::Fine;
  bool HoldsLists = false; ///< Lists wait for answerLists().
  std::function<void(const http1::request &)> OnRequest;
  std::optional<http1::server> Server;

private:
  struct watcher {
    http1::exchange_id Id;
    std::string Kind;
    std::uint64_t Since = 0;
    time_point End; ///< When it is answered without a change.
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

  void putStatus(const std::string &Kind, const std::string &Name,
                 nlohmann::json Status) {
    nlohmann::json &Object = Objects[{Kind, Name}];
    if (Object["status"] == Status)
      return;
    Object["status"] = std::move(Status);
    Object["metadata"]["revision"] = ++Revision;
    note(Kind, Object, false);
  }

  void note(const std::string &Kind, const nlohmann::json &Object,
            bool Deleted) {
    History.push_back(
        {Kind, Revision, {{"deleted", Deleted}, {"object", Object}}});
    answerWatches();
  }

  void watch(const watcher &Row) {
    nlohmann::json Events = nlohmann::json::array();
    for (const change &Change : History)
      if (Change.Kind == Row.Kind && Change.Revision > Row.Since)
        Events.push_back(Change.Event);
    if (!Events.empty() || Row.End <= steadyNow()) {
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
    if (Mood == mood::Reset) {
      Server->abort(Id);
      return;
    }
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
        watch({Id, Kind, Since,
               steadyNow() +
                   milliseconds(*parameter(Request.Target, "wait_ms"))});
      return;
    }
    if (Request.Method == "GET") {
      if (HoldsLists)
        HeldLists.push_back(Id);
      else
        reply(Id, 200, listOf(Kind));
      return;
    }
    write(Id, Request, Kind, Name);
  }

  void write(http1::exchange_id Id, const http1::request &Request,
             const std::string &Kind, std::string Name) {
    constexpr std::string_view StatusEnd = "/status";
    bool StatusOnly = Name.ends_with(StatusEnd);
    if (StatusOnly)
      Name.resize(Name.size() - StatusEnd.size());
    auto Body = nlohmann::json::parse(Request.Body, nullptr, false);
    bool Creates = Request.Method == "POST";
    if (Creates)
      Name = Body["metadata"]["name"].get<std::string>();
    auto Row = Objects.find({Kind, Name});
    if (Request.Method == "DELETE") {
      remove(Kind, Name);
      reply(Id, 200, nlohmann::json::object());
      return;
    }
    if (!Creates && Row == Objects.end()) {
      reply(Id, 404, nullptr);
      return;
    }
    auto Metadata = Body.value("metadata", nlohmann::json::object());
    bool Named = Metadata.contains("revision");
    bool Conflict = Creates ? Row != Objects.end()
                            : Named && Row->second["metadata"]["revision"] !=
                                           Metadata["revision"];
    if (Conflict) {
      reply(Id, 409, Row == Objects.end() ? nlohmann::json() : Row->second);
      return;
    }
    WrittenAt[{Kind, Name}] = steadyNow();
    if (StatusOnly)
      putStatus(Kind, Name, Body["status"]);
    else
      put(Kind, Name, Body["specification"]);
    constexpr unsigned LostOneIn = 3;
    if (Mood == mood::Lossy && ++Writes % LostOneIn == 0)
      return;
    reply(Id, 200, Objects[{Kind, Name}]);
  }

  std::map<std::pair<std::string, std::string>, nlohmann::json> Objects;
  std::vector<change> History;
  std::vector<watcher> Watchers;
  std::vector<http1::exchange_id> HeldLists;
  std::uint64_t Revision = 100;
  std::uint64_t HistoryFrom = 0;
  loop_source Ticker;
  unsigned Writes = 0;
  std::map<std::pair<std::string, std::string>, time_point> WrittenAt;
};

} // namespace turmerichead::standin
