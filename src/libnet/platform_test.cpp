#include "turmerichead/net_platform.h"

#include "test_loop_pvt.h"

#include <map>

using namespace turmerichead;
using namespace turmerichead::pvt;
using nlohmann::json;

namespace {

json objectOf(const std::string &Name, int Version, int Value = 0) {
  return {{"metadata",
           {{"name", Name}, {"resourceVersion", std::to_string(Version)}}},
          {"spec", {{"value", Value}}}};
}

/// A platform whose answers the test gives, one function a call.
struct fake_platform {
  struct request {
    std::string Method;
    std::string Path;
    std::string Query;
    std::string Body;
    std::string Host;
    http_exchange_id Exchange;
  };
  std::optional<http_server> Server;
  std::vector<request> Requests;
  std::function<void(const request &)> OnRequest;
  std::optional<http_client> Http;
  std::optional<platform_client> Client;

  explicit fake_platform(platform_settings Settings = {}) {
    Server = http_server::create(
        "127.0.0.1:0", {},
        {.OnRequest =
             [this](const http_request_view &View) {
               Requests.push_back(
                   {std::string(View.Method), std::string(View.Path),
                    std::string(View.Query), std::string(View.Body),
                    std::string(
                        View.header("x-turmerichead-host").value_or("")),
                    View.Exchange});
               if (OnRequest)
                 OnRequest(request(Requests.back()));
             },
         .OnClientGone = {},
         .OnBadRequest = {}});
    REQUIRE(Server);
    Http = http_client::create({});
    Settings.BaseUrl = "http://" + addressOf(Server->port());
    Settings.Namespace = "test";
    Settings.Host = "a";
    Settings.RetryMin = milliseconds(1);
    Settings.RetryMax = milliseconds(20);
    Client = platform_client::create(Settings, *Http);
    REQUIRE(Client);
  }
  void answer(const request &Request, int Status, const json &Body) {
    Server->respond(Request.Exchange, Status, {}, Body.dump());
  }
  void answerList(const request &Request, int Version, json Items,
                  const std::string &Continue = "") {
    answer(Request, 200,
           {{"metadata",
             {{"resourceVersion", std::to_string(Version)},
              {"continue", Continue}}},
            {"items", std::move(Items)}});
  }
  static bool isWatch(const request &Request) {
    return Request.Query.find("watch=true") != std::string::npos;
  }
  void event(http_exchange_id Exchange, const std::string &Type,
             const json &Object) {
    Server->writeChunk(Exchange,
                       json{{"type", Type}, {"object", Object}}.dump() + "\n");
  }
};

platform_reply
waitFor(const std::function<void(platform_callback Done)> &Start) {
  std::optional<platform_reply> Reply;
  Start([&](const platform_reply &Given) { Reply = Given; });
  REQUIRE(turnUntil([&] { return Reply.has_value(); }));
  return *Reply;
}

/// What a watch told, in short.
struct watch_log {
  std::vector<std::string> Lines;
  int Lost = 0;

  platform_watch_events events() {
    return {.OnChange =
                [this](platform_change Change, const json &Object) {
                  const char *Signs[] = {"+", "~", "-"};
                  Lines.push_back(Signs[static_cast<int>(Change)] +
                                  nameOfObject(Object) + "@" +
                                  std::to_string(versionOf(Object)));
                },
            .OnSynced =
                [this](std::uint64_t Version) {
                  std::string Line = "=" + std::to_string(Version);
                  if (Lines.empty() || Lines.back() != Line)
                    Lines.push_back(Line);
                },
            .OnLost = [this](std::string_view) { ++Lost; }};
  }
  bool has(const std::string &Line) const {
    return std::find(Lines.begin(), Lines.end(), Line) != Lines.end();
  }
};

using lines = std::vector<std::string>;

} // namespace

TEST_CASE("calls name their object, and answers become outcomes") {
  fake_platform Platform;
  int Status = 200;
  Platform.OnRequest = [&](const auto &Request) {
    Platform.answer(Request, Status, objectOf("x", 7));
  };
  const std::string Base = "/apis/turmerichead.io/v1/namespaces/test/entries";

  auto Got =
      waitFor([&](auto Done) { Platform.Client->get("entries", "x", Done); });
  CHECK(Got.Outcome == platform_outcome::Ok);
  CHECK(versionOf(Got.Object) == 7);
  CHECK(Platform.Requests.back().Method == "GET");
  CHECK(Platform.Requests.back().Path == Base + "/x");
  CHECK(Platform.Requests.back().Host == "a");

  Status = 201;
  auto Created = waitFor([&](auto Done) {
    Platform.Client->create("entries", objectOf("y", 0), Done);
  });
  CHECK(Created.Outcome == platform_outcome::Ok);
  CHECK(Platform.Requests.back().Method == "POST");
  CHECK(Platform.Requests.back().Path == Base);

  Status = 409;
  auto Lost = waitFor([&](auto Done) {
    Platform.Client->update("entries", objectOf("y", 3), Done);
  });
  CHECK(Lost.Outcome == platform_outcome::Conflict);
  CHECK(Platform.Requests.back().Method == "PUT");
  CHECK(Platform.Requests.back().Path == Base + "/y");

  Status = 404;
  auto Gone = waitFor(
      [&](auto Done) { Platform.Client->remove("entries", "y", 3, Done); });
  CHECK(Gone.Outcome == platform_outcome::NotFound);
  CHECK(Platform.Requests.back().Method == "DELETE");
  CHECK(Platform.Requests.back().Body.find("\"3\"") != std::string::npos);

  const std::vector<std::pair<int, platform_outcome>> Writes = {
      {429, platform_outcome::Unavailable},
      {400, platform_outcome::Invalid},
      {500, platform_outcome::Unknown},
      {503, platform_outcome::Unknown}};
  for (auto [Code, Expected] : Writes) {
    Status = Code;
    auto Reply = waitFor([&](auto Done) {
      Platform.Client->create("entries", objectOf("y", 0), Done);
    });
    CHECK(Reply.Outcome == Expected);
  }
  Status = 503;
  auto Read =
      waitFor([&](auto Done) { Platform.Client->get("entries", "x", Done); });
  CHECK(Read.Outcome == platform_outcome::Unavailable);
  CHECK(Platform.Client->counters().of(platform_verb::Create).Calls == 5);
  CHECK(Platform.Client->counters().of(platform_verb::Create).Failed == 3);
}

TEST_CASE("a write without an answer has an unknown effect, one that was "
          "never sent has none") {
  platform_settings Settings;
  Settings.Timeout = milliseconds(100);
  fake_platform Platform(Settings);
  auto Silent = waitFor([&](auto Done) {
    Platform.Client->create("entries", objectOf("y", 0), Done);
  });
  CHECK(Silent.Outcome == platform_outcome::Unknown);
  Platform.OnRequest = [&](const auto &Request) {
    Platform.Server->abortStream(Request.Exchange);
  };
  auto Cut = waitFor([&](auto Done) {
    Platform.Client->create("entries", objectOf("y", 0), Done);
  });
  CHECK(Cut.Outcome == platform_outcome::Unknown);
  CHECK(Platform.Requests.size() == 2); // The write was not sent again.
  auto Read =
      waitFor([&](auto Done) { Platform.Client->get("entries", "y", Done); });
  CHECK(Read.Outcome == platform_outcome::Unavailable);
  Platform.Server.reset();
  auto Unsent = waitFor([&](auto Done) {
    Platform.Client->create("entries", objectOf("y", 0), Done);
  });
  CHECK(Unsent.Outcome == platform_outcome::Unavailable);
}

TEST_CASE("a list is read page by page, and again if it expires") {
  fake_platform Platform;
  int Expired = 0;
  Platform.OnRequest = [&](const auto &Request) {
    if (Request.Query.find("continue=next%2F1") == std::string::npos)
      Platform.answerList(Request, 5, {objectOf("a", 1)}, "next/1");
    else if (Expired++ == 0)
      Platform.answer(Request, 410, {{"message", "expired"}});
    else
      Platform.answerList(Request, 5, {objectOf("b", 2)});
  };
  std::optional<platform_list_reply> Reply;
  Platform.Client->list("entries", [&](const auto &Given) { Reply = Given; });
  REQUIRE(turnUntil([&] { return Reply.has_value(); }));
  CHECK(Reply->Outcome == platform_outcome::Ok);
  CHECK(Reply->Version == 5);
  REQUIRE(Reply->Items.size() == 2);
  CHECK(nameOfObject(Reply->Items[1]) == "b");
  CHECK(Platform.Client->counters().of(platform_verb::List).Calls == 4);
}

TEST_CASE("one odd object leaves the others of a list and watch readable") {
  constexpr std::size_t Depth = 400'000;
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  for (const std::string &Odd : {Nested, std::string("\"a\xFF\"")}) {
    fake_platform Platform;
    std::optional<http_exchange_id> Stream;
    std::string OddObject =
        R"({"metadata":{"name":"odd","resourceVersion":"4"},"spec":)" + Odd +
        "}";
    Platform.OnRequest = [&](const auto &Request) {
      if (fake_platform::isWatch(Request)) {
        Stream = Request.Exchange;
        Platform.Server->beginStream(*Stream, 200, {});
        return;
      }
      Platform.Server->respond(Request.Exchange, 200, {},
                               R"({"metadata":{"resourceVersion":"10"},)"
                               R"("items":[)" +
                                   OddObject + "," + objectOf("b", 5).dump() +
                                   "]}");
    };
    watch_log Log;
    Platform.Client->watch("entries", Log.events());
    REQUIRE(turnUntil([&] { return Stream.has_value(); }));
    Platform.Server->writeChunk(
        *Stream,
        R"({"type":"ADDED","object":)"
        R"({"metadata":{"name":"odder","resourceVersion":"11"},"spec":)" +
            Odd + "}}\n");
    Platform.event(*Stream, "ADDED", objectOf("c", 12));
    REQUIRE(turnUntil([&] { return Log.has("=12"); }));
    for (const char *Line : {"+odd@4", "+b@5", "+odder@11", "+c@12"})
      CHECK(Log.has(Line));
    CHECK(Log.Lost == 0);
  }
}

TEST_CASE("calls over the budget wait, and too many are refused") {
  platform_settings Settings;
  Settings.WritesPerSecond = 50;
  Settings.WriteBurst = 2;
  Settings.MaxWaiting = 3;
  fake_platform Platform(Settings);
  Platform.OnRequest = [&](const auto &Request) {
    Platform.answer(Request, 201, objectOf("x", 1));
  };
  std::map<platform_outcome, int> Outcomes;
  int Ended = 0;
  for (int I = 0; I < 7; ++I)
    Platform.Client->create("entries", objectOf("x", 0), [&](const auto &R) {
      ++Outcomes[R.Outcome];
      ++Ended;
    });
  CHECK(Platform.Client->counters().Waiting == 3);
  REQUIRE(turnUntil([&] { return Ended == 7; }));
  CHECK(Outcomes[platform_outcome::Ok] == 5);
  CHECK(Outcomes[platform_outcome::Unavailable] == 2);
  CHECK(Platform.Requests.size() == 5);
  CHECK(Platform.Client->counters().of(platform_verb::Create).Delayed == 3);
}

TEST_CASE("a watch tells the list, follows, and resumes where it was") {
  fake_platform Platform;
  std::optional<http_exchange_id> Stream;
  Platform.OnRequest = [&](const auto &Request) {
    if (!fake_platform::isWatch(Request)) {
      Platform.answerList(Request, 10, {objectOf("a", 3), objectOf("b", 4)});
      return;
    }
    Stream = Request.Exchange;
    Platform.Server->beginStream(*Stream, 200, {});
  };
  watch_log Log;
  auto Id = Platform.Client->watch("entries", Log.events());
  REQUIRE(turnUntil([&] { return Stream.has_value(); }));
  Platform.event(*Stream, "MODIFIED", objectOf("a", 11));
  Platform.event(*Stream, "DELETED", objectOf("b", 12));
  Platform.event(*Stream, "ADDED", objectOf("c", 13));
  Platform.event(*Stream, "BOOKMARK", objectOf("", 20));
  REQUIRE(turnUntil([&] { return Log.has("=20"); }));
  CHECK(Platform.Client->counters().OpenWatches == 1);

  http_exchange_id First = *Stream;
  Stream.reset();
  Platform.Server->abortStream(First);
  REQUIRE(turnUntil([&] { return Stream.has_value(); }));
  CHECK(Log.Lost == 1);
  CHECK(Platform.Requests.back().Query.find("resourceVersion=20") !=
        std::string::npos);
  // Events that come again change nothing and bring nothing back.
  Platform.event(*Stream, "ADDED", objectOf("b", 4));
  Platform.event(*Stream, "MODIFIED", objectOf("a", 11));
  Platform.event(*Stream, "MODIFIED", objectOf("c", 21));
  REQUIRE(turnUntil([&] { return Log.has("=21"); }));
  lines Changes;
  for (const std::string &Line : Log.Lines)
    if (Line[0] != '=')
      Changes.push_back(Line);
  CHECK(Changes == lines{"+a@3", "+b@4", "~a@11", "-b@12", "+c@13", "~c@21"});

  Platform.Client->stop(Id);
  CHECK(turnUntil([&] { return Platform.Server->openExchanges() == 0; }));
  CHECK(Platform.Client->counters().OpenWatches == 0);
}

TEST_CASE("after a gap the list is read again and tells what is gone") {
  // A gap shows as status 410, as an ERROR event, or as a broken line.
  for (int Kind = 0; Kind < 3; ++Kind) {
    CAPTURE(Kind);
    fake_platform Platform;
    int Lists = 0;
    int Streams = 0;
    Platform.OnRequest = [&](const auto &Request) {
      if (!fake_platform::isWatch(Request)) {
        if (Lists++ == 0)
          Platform.answerList(Request, 10,
                              {objectOf("a", 3), objectOf("b", 4)});
        else
          Platform.answerList(Request, 30,
                              {objectOf("b", 25), objectOf("c", 26)});
        return;
      }
      if (Streams++ == 0 && Kind == 0) {
        Platform.answer(Request, 410, {{"code", 410}});
        return;
      }
      Platform.Server->beginStream(Request.Exchange, 200, {});
      if (Streams == 1 && Kind == 1)
        Platform.event(Request.Exchange, "ERROR", {{"code", 410}});
      if (Streams == 1 && Kind == 2)
        Platform.Server->writeChunk(Request.Exchange, "{\"type\": \n");
    };
    watch_log Log;
    auto Id = Platform.Client->watch("entries", Log.events());
    REQUIRE(turnUntil([&] { return Log.has("=30"); }));
    lines Changes;
    for (const std::string &Line : Log.Lines)
      if (Line[0] != '=')
        Changes.push_back(Line);
    CHECK(Changes == lines{"+a@3", "+b@4", "-a@3", "~b@25", "+c@26"});
    Platform.Client->stop(Id);
  }
}

TEST_CASE("a list older than what is known is not believed") {
  fake_platform Platform;
  int Lists = 0;
  Platform.OnRequest = [&](const auto &Request) {
    if (fake_platform::isWatch(Request)) {
      Platform.answer(Request, 410, {{"code", 410}});
      return;
    }
    bool Stale = Lists == 1 || Lists == 2;
    ++Lists;
    Platform.answerList(Request, Stale ? 5 : 10,
                        Stale ? json::array()
                              : json::array({objectOf("a", 8)}));
  };
  watch_log Log;
  auto Id = Platform.Client->watch("entries", Log.events());
  REQUIRE(turnUntil([&] { return Lists >= 5; }));
  CHECK(Log.Lost >= 1);
  CHECK(Log.has("+a@8"));
  CHECK_FALSE(Log.has("-a@8"));
  CHECK_FALSE(Log.has("=5"));
  Platform.Client->stop(Id);
}

TEST_CASE("a platform that is away is tried again until it is back") {
  fake_platform Platform;
  int Tries = 0;
  Platform.OnRequest = [&](const auto &Request) {
    if (++Tries < 4)
      Platform.answer(Request, 503, {{"message", "away"}});
    else if (!fake_platform::isWatch(Request))
      Platform.answerList(Request, 10, {objectOf("a", 3)});
    else
      Platform.Server->beginStream(Request.Exchange, 200, {});
  };
  watch_log Log;
  auto Id = Platform.Client->watch("entries", Log.events());
  REQUIRE(turnUntil([&] { return Log.has("=10"); }));
  CHECK(Log.Lost == 1);
  Platform.Client->stop(Id);
}

TEST_CASE("a silent watch is renewed") {
  platform_settings Settings;
  Settings.WatchTimeout = milliseconds(80);
  fake_platform Platform(Settings);
  int Streams = 0;
  Platform.OnRequest = [&](const auto &Request) {
    if (!fake_platform::isWatch(Request)) {
      Platform.answerList(Request, 10, json::array());
      return;
    }
    ++Streams;
    Platform.Server->beginStream(Request.Exchange, 200, {});
  };
  watch_log Log;
  auto Id = Platform.Client->watch("entries", Log.events());
  CHECK(turnUntil([&] { return Streams >= 3; }));
  CHECK(Platform.Client->counters().of(platform_verb::List).Calls == 1);
  Platform.Client->stop(Id);
}

TEST_CASE("base64 keeps bytes and refuses what is none") {
  std::string Bytes;
  for (int I = 0; I < 300; ++I)
    Bytes += static_cast<char>(I);
  CHECK((decodeBase64(encodeBase64(Bytes)) == Bytes));
  CHECK(decodeBase64("") == std::optional<std::string>(""));
  for (const char *Bad : {"a", "ab=c", "####", "ab===", "abc=d==="})
    CHECK_FALSE(decodeBase64(Bad));
}
