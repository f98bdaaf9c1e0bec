/// \file
/// A small object store that speaks the platform's protocol, for tests: in
/// the same process, or as a process of its own (store_main.cpp).
#pragma once

#include "odd_continuation.h"
#include "store_target.h"
#include "turmerichead/http1_server.h"
#include "turmerichead/net_loop.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
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
  /// Writes the status of an object that exists.
  void putStatus(const std::string &Kind, const std::string &Name,
                 nlohmann::json Status) {
    nlohmann::json &Object = Objects[{Kind, Name}];
    if (Object["status"] == Status)
      return;
    Object["status"] = std::move(Status);
    Object["metadata"]["revision"] = ++Revision;
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
  /// Returns an object, or null.
  nlohmann::json objectAt(const std::string &Kind,
                          const std::string &Name) const {
    auto Row = Objects.find({Kind, Name});
    return Row == Objects.end() ? nlohmann::json() : Row->second;
  }
  nlohmann::json specOf(const std::string &Kind,
                        const std::string &Name) const {
    return objectAt(Kind, Name).value("specification", nlohmann::json());
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

  /// Returns the page that a list of \p Kind gets now, with the names after
  /// \p After.
  nlohmann::json listOf(const std::string &Kind,
                        const std::string &After = {}) const {
    nlohmann::json Items = nlohmann::json::array();
    std::size_t Bytes = 0;
    bool HasMore = false;
    for (auto Row = Objects.upper_bound({Kind, After});
         Row != Objects.end() && Row->first.first == Kind; ++Row) {
      Bytes += Row->second.dump().size();
      HasMore = Items.size() == MaxPageRows ||
                (Bytes > MaxPageBytes && !Items.empty());
      if (HasMore)
        break;
      Items.push_back(Row->second);
    }
    return {{"items", Items}, {"has_more", HasMore}, {"current_rev", Revision}};
  }
  /// Whether a list waits for answerLists(); see HoldsLists.
  bool hasHeldList() const { return !HeldLists.empty(); }
  /// Answers the lists that wait with \p Page.
  void answerLists(const nlohmann::json &Page) {
    for (http1::exchange_id Id : std::exchange(HeldLists, {}))
      reply(Id, 200, Page);
  }

  /// Whether a request for the object HeldName waits for answerGets().
  bool hasHeldGet() const { return !HeldGets.empty(); }
  /// Answers the requests that wait with \p Object.
  void answerGets(const nlohmann::json &Object) {
    for (http1::exchange_id Id : std::exchange(HeldGets, {}))
      reply(Id, 200, Object);
  }

  mood Mood = mood::Fine;
  std::string HeldName;    ///< See hasHeldGet(); empty if none waits.
  bool HoldsLists = false; ///< Lists wait for answerLists().
  /// A list is split into pages of so many objects, or of this size unless a
  /// single object is larger.
  std::size_t MaxPageRows = 500;
  std::size_t MaxPageBytes = 1U << 20U;
  odd_continuation OddContinuation = odd_continuation::Decoded;
  /// A page with the object of this name gets 500, unless it is empty.
  std::string UnreadableName;
  /// Longer targets get 414.
  std::size_t MaxTargetBytes = 8000;
  /// Stands for the byte 0xFF, which no text in UTF-8 has, in names and
  /// values: what the store sends and decodes has the byte.
  static constexpr std::string_view NoTextMark = "\xF4\x8F\xBF\xBF";
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

  static std::string replaced(std::string Text, std::string_view From,
                              std::string_view To) {
    for (std::size_t At = Text.find(From); At != std::string::npos;
         At = Text.find(From, At + To.size()))
      Text.replace(At, From.size(), To);
    return Text;
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
                    replaced(Body.dump(), NoTextMark, NoTextByte));
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
    if (Request.Target.size() > MaxTargetBytes) {
      reply(Id, 414, nullptr);
      return;
    }
    auto Target = readStoreTarget(Request.Target);
    if (!Target) {
      reply(Id, 400, nullptr);
      return;
    }
    Target->Name = replaced(Target->Name, NoTextByte, NoTextMark);
    if (Request.Method != "GET")
      write(Id, Request, *Target);
    else if (Target->Query.contains("watch"))
      startWatch(Id, *Target);
    else if (Target->Name.empty())
      list(Id, *Target);
    else
      get(Id, *Target);
  }

  void startWatch(http1::exchange_id Id, store_target &Target) {
    std::uint64_t Since = std::stoull(Target.Query["watch"]);
    milliseconds Wait(std::stoll(Target.Query["wait_ms"]));
    if (Since < HistoryFrom)
      reply(Id, 410, nullptr);
    else
      watch({Id, Target.Kind, Since, steadyNow() + Wait});
  }

  void list(http1::exchange_id Id, store_target &Target) {
    std::string After = replaced(Target.Query["after"], NoTextByte, NoTextMark);
    if (HoldsLists)
      HeldLists.push_back(Id);
    else if (!isOddContinuation(After) || !failOddContinuation(Id))
      replyWithPage(Id, Target.Kind, continuationOf(OddContinuation, After));
  }

  /// Returns false if the store responds with a page.
  bool failOddContinuation(http1::exchange_id Id) {
    if (OddContinuation == odd_continuation::Reset)
      Server->abort(Id);
    int Status = statusOf(OddContinuation);
    if (Status != 0)
      reply(Id, Status, nullptr);
    return !servesPage(OddContinuation);
  }

  void replyWithPage(http1::exchange_id Id, const std::string &Kind,
                     const std::string &After) {
    nlohmann::json Page = listOf(Kind, After);
    for (const nlohmann::json &Item : Page["items"])
      if (Item["metadata"]["name"] == UnreadableName) {
        reply(Id, 500, nullptr);
        return;
      }
    reply(Id, 200, Page);
  }

  void get(http1::exchange_id Id, const store_target &Target) {
    auto Row = Objects.find({Target.Kind, Target.Name});
    if (Target.Name == HeldName)
      HeldGets.push_back(Id);
    else if (Row == Objects.end())
      reply(Id, 404, nullptr);
    else
      reply(Id, 200, Row->second);
  }

  void write(http1::exchange_id Id, const http1::request &Request,
             const store_target &Target) {
    const std::string &Kind = Target.Kind;
    std::string Name = Target.Name;
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
    if (Target.IsStatus)
      putStatus(Kind, Name, Body["status"]);
    else
      put(Kind, Name, Body["specification"]);
    constexpr unsigned LostOneIn = 3;
    if (Mood == mood::Lossy && ++Writes % LostOneIn == 0)
      return;
    reply(Id, 200, Objects[{Kind, Name}]);
  }

  static constexpr std::string_view NoTextByte = "\xFF";

  std::map<std::pair<std::string, std::string>, nlohmann::json> Objects;
  std::vector<change> History;
  std::vector<watcher> Watchers;
  std::vector<http1::exchange_id> HeldLists;
  std::vector<http1::exchange_id> HeldGets;
  std::uint64_t Revision = 100;
  std::uint64_t HistoryFrom = 0;
  loop_source Ticker;
  unsigned Writes = 0;
  std::map<std::pair<std::string, std::string>, time_point> WrittenAt;
};

} // namespace turmerichead::standin
