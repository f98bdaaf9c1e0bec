// Rate limits of organisations, with real disk hosts.

#include "test_relay_pvt.h"

#include <deque>
#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

/// "acme" (key "ka") has a limit, "bolt" ("kb") has none.
struct quota_fixture : fixture {
  std::deque<caller> Callers;
  int NextCall = 0;

  explicit quota_fixture(double PerSecond) {
    relay::routing Routing = routingOf(2);
    Routing.Organisations.emplace();
    Routing.Organisations->emplace(
        "acme", relay::organisation{"acme", {}, PerSecond, 3});
    Routing.Organisations->emplace("bolt",
                                   relay::organisation{"bolt", {}, 0, 0});
    Routing.Keys.add(relay::digestOf("ka"), "acme");
    Routing.Keys.add(relay::digestOf("kb"), "bolt");
    Routing.Keys.seal();
    Relay->setRouting(Routing);
  }
  caller &call(std::string_view Key, std::string_view Path = "/safe/x",
               std::string_view Headers = {}) {
    caller &Caller = Callers.emplace_back(Address);
    std::string All = "Authorization: Bearer " + std::string(Key) + "\r\n";
    Caller.send(request("POST", Path, "c" + std::to_string(++NextCall),
                        All.append(Headers), "[in]"));
    return Caller;
  }
  std::size_t sent() const {
    std::size_t Count = 0;
    for (const raw_server *Server : {&Tools, &OtherTools, &Llm})
      for (const auto &Row : Server->Connections)
        for (std::size_t At = Row->Input.find("X-Call: ");
             At != std::string::npos; At = Row->Input.find("X-Call: ", At + 1))
          ++Count;
    return Count;
  }
  std::size_t answered(std::string_view Text) const {
    return static_cast<std::size_t>(
        std::count_if(Callers.begin(), Callers.end(),
                      [&](const caller &Caller) { return Caller.has(Text); }));
  }
  /// Sends calls of "acme" and waits until each is sent or answered.
  void callAndWait(std::size_t Count, std::string_view Path = "/safe/x",
                   std::string_view Headers = {}) {
    for (std::size_t I = 0; I < Count; ++I)
      call("ka", Path, Headers);
    REQUIRE(turnUntil(
        [&] { return sent() + answered("HTTP/1.1 ") == Callers.size(); }));
  }
};

} // namespace

TEST_CASE("above_the_limit_calls_get_429_with_a_time_and_do_not_run") {
  // They were sent on, however many an organisation sent.
  quota_fixture F(3);
  turnFor(milliseconds(1100));
  SUBCASE("calls without a turn") { F.callAndWait(30); }
  SUBCASE("calls that open a turn") {
    std::string Budget = "X-Budget: 100\r\nX-Tokens: 1,100\r\n";
    for (int I = 0; I < 30; ++I)
      F.call("ka", "/talk/x",
             "X-Program: p" + std::to_string(I) + "\r\n" + Budget);
    F.callAndWait(0);
    CHECK(F.Turns->counters().Opens > F.sent());
    turnFor(milliseconds(1100));
    // The reservation of one that was refused is released: it would take the
    // whole budget.
    std::size_t First = 0;
    while (!F.Callers[First].has("HTTP/1.1 429"))
      ++First;
    F.call("ka", "/talk/x",
           "X-Program: p" + std::to_string(First) + "\r\n" + Budget);
    std::size_t Before = F.sent();
    CHECK(turnUntil([&] { return F.sent() == Before + 1; }));
  }
  std::size_t Refused = F.answered("HTTP/1.1 429");
  CHECK(Refused >= 15);
  CHECK(F.answered("Retry-After: ") == Refused);
  CHECK(F.sent() >= 3);
  CHECK(F.sent() + Refused == F.Callers.size());
  CHECK(F.Metrics.value("organisation_refused_total", "reason=\"limit\"") ==
        static_cast<double>(Refused));
  F.Relay->publish();
  CHECK(F.Metrics.value("organisation_refused", "organisation=\"acme\"") ==
        static_cast<double>(Refused));
  // An organisation without a limit is not affected.
  std::size_t Before = F.sent();
  F.call("kb");
  CHECK(turnUntil([&] { return F.sent() == Before + 1; }));
}

TEST_CASE("without_members_calls_above_the_local_share_get_503") {
  // The usage can't be known, so 429 would be wrong. Members of an earlier
  // version do not know the request.
  quota_fixture F(12);
  F.Disks.IssuesTokens = false;
  F.callAndWait(10);
  // A twentieth of 12 a second is three in 5 s, the first of them at once.
  CHECK(F.sent() == 1);
  CHECK(F.answered("HTTP/1.1 503") == 9);
  CHECK(F.answered("Retry-After: ") == 9);
  CHECK(F.Metrics.value("organisation_refused_total", "reason=\"unknown\"") ==
        9);
  turnFor(milliseconds(1700));
  F.call("ka");
  CHECK(turnUntil([&] { return F.sent() == 2; }));
}

TEST_CASE("a_call_that_is_retried_takes_one_token") {
  // Retries would use up the limit while upstreams fail.
  quota_fixture F(12);
  F.put("tool-2", "tools", F.OtherTools);
  F.Disks.IssuesTokens = false;
  // The local share has one token within this time.
  F.call("ka");
  REQUIRE(turnUntil([&] { return F.sent() == 1; }));
  (F.Tools.Connections.empty() ? F.OtherTools : F.Tools).close(0);
  CHECK(turnUntil([&] { return F.sent() == 2; }));
}

TEST_CASE("a report names the limit that refuses the request") {
  // Guards against a report that a request above the limit is sent.
  quota_fixture F(0.1);
  auto Question =
      relay::readWhereQuestion("host=h&path=/safe/x&organisation=acme");
  CHECK(F.Relay->where(*Question).Json.find("\"refused\":false") !=
        std::string::npos);
  F.callAndWait(8);
  CHECK(F.answered("HTTP/1.1 429") > 0);
  std::string Report = F.Relay->where(*Question).Json;
  CHECK(Report.find("\"status\":429") != std::string::npos);
  CHECK(Report.find("the rate limit of the organisation") != std::string::npos);
}
