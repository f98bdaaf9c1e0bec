// Calls of callers that belong to organisations.

#include "call_pvt.h"
#include "test_relay_pvt.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

/// A configuration with the organisations "acme" (key "ka") and "bolt" ("kb").
relay::routing organisationRouting(std::uint64_t Version) {
  relay::routing Routing = routingOf(Version);
  Routing.Routes.push_back(
      routeOf("/open/", relay::call_kind::Safe, "tools", 1));
  Routing.Routes.back().IsPublic = true;
  Routing.Routes.push_back(Routing.Routes[2]);
  Routing.Routes.back().PathPrefix = "/note/";
  Routing.Routes.back().IsPublic = true;
  Routing.Organisations.emplace();
  for (std::string Name : {"acme", "bolt"}) {
    Routing.Organisations->emplace(Name, relay::organisation{Name, {}, 0, 0});
    Routing.Keys.add(relay::digestOf("k" + Name.substr(0, 1)), Name);
  }
  Routing.Keys.seal();
  return Routing;
}

struct organisation_fixture : fixture {
  organisation_fixture() { Relay->setRouting(organisationRouting(2)); }

  /// Sends a request and returns the head of its answer, or an empty string
  /// once \p Server has received it.
  std::string answerHead(raw_server &Server, std::string_view Method,
                         std::string_view Path, const std::string &Id,
                         const std::string &Headers) {
    caller Caller(Address);
    Caller.send(request(Method, Path, Id, Headers, "[in]"));
    bool Sent = false;
    REQUIRE(turnUntil([&] {
      for (const auto &Row : Server.Connections)
        Sent = Sent || Row->Input.find("X-Call: " + Id) != std::string::npos;
      return Sent || Caller.has("\r\n\r\n");
    }));
    return Sent ? std::string() : Caller.Input;
  }
  bool wasSent(raw_server &Server, std::string_view Text) const {
    return std::any_of(Server.Connections.begin(), Server.Connections.end(),
                       [&](const auto &Row) {
                         return Row->Input.find(Text) != std::string::npos;
                       });
  }
};

} // namespace

TEST_CASE("requests_without_a_known_key_are_refused") {
  // Requests without a key, or with one that was never valid, were served.
  organisation_fixture F;
  int Number = 0;
  for (std::string Header :
       {"", "Authorization: Bearer other\r\n", "Authorization: Basic ka\r\n",
        "Authorization: Bearer \r\n",
        "Authorization: Bearer ka\r\nAuthorization: Bearer ka\r\n"}) {
    std::string Head = F.answerHead(F.Tools, "GET", "/safe/x",
                                    "r" + std::to_string(++Number), Header);
    CHECK(Head.starts_with("HTTP/1.1 401"));
    CHECK(Head.find("WWW-Authenticate: Bearer") != std::string::npos);
    CHECK(Head.find("other") == std::string::npos);
  }
  CHECK(F.Tools.Connections.empty());
  CHECK(F.answerHead(F.Tools, "GET", "/none/x", "r9", "")
            .starts_with("HTTP/1.1 404"));
}

TEST_CASE("the_upstream_gets_the_organisation_and_not_the_key") {
  // The key went on to the upstream, and so did whatever name the caller sent.
  organisation_fixture F;
  std::string Tenant = "X-Organisation: bolt\r\n";
  SUBCASE("with a key") {
    std::string Key = "Authorization: Bearer ka\r\n";
    CHECK(F.answerHead(F.Tools, "GET", "/safe/x", "r1", Key + Tenant).empty());
    CHECK(F.wasSent(F.Tools, "X-Organisation: acme"));
  }
  SUBCASE("on a public route without a key") {
    CHECK(F.answerHead(F.Tools, "GET", "/open/x", "r1", Tenant).empty());
    CHECK(!F.wasSent(F.Tools, "X-Organisation"));
  }
  SUBCASE("on a public route with an unknown key") {
    std::string Key = "Authorization: Bearer other\r\n";
    CHECK(F.answerHead(F.Tools, "GET", "/open/x", "r1", Key + Tenant).empty());
    CHECK(!F.wasSent(F.Tools, "X-Organisation"));
  }
  CHECK(!F.wasSent(F.Tools, "Authorization"));
  CHECK(!F.wasSent(F.Tools, "bolt"));
}

TEST_CASE("without_organisations_requests_are_passed_on_as_they_are") {
  fixture F;
  caller Caller(F.Address);
  Caller.send(F.request("GET", "/safe/x", "r1",
                        "Authorization: Bearer ka\r\nX-Organisation: b\r\n"));
  REQUIRE(F.received(F.Tools, "X-Call: r1"));
  CHECK(F.received(F.Tools, "Authorization: Bearer ka"));
  CHECK(F.received(F.Tools, "X-Organisation: b"));
}

TEST_CASE("a_turn_of_another_organisation_does_not_exist") {
  // A caller could continue a turn, and so read the prompt, of another one.
  organisation_fixture F;
  caller First(F.Address);
  First.send(F.request("POST", "/plan/1", "t1", "Authorization: Bearer ka\r\n",
                       "[in1]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0,
             streamHead("t1") + chunk("data: a\n\n") + std::string(StreamEnd));
  REQUIRE(First.waitsFor("0\r\n\r\n"));
  std::string Previous = "X-Previous: t1\r\n";
  CHECK(F.answerHead(F.Llm, "POST", "/plan/1", "t2",
                     Previous + "Authorization: Bearer kb\r\n")
            .starts_with("HTTP/1.1 404"));
  CHECK(F.answerHead(F.Llm, "POST", "/plan/1", "t3",
                     Previous + "Authorization: Bearer ka\r\n")
            .empty());
  CHECK(F.wasSent(F.Llm, "[in1]a\n[in]"));
}

TEST_CASE("a_caller_without_a_key_can_not_name_a_turn_of_an_organisation") {
  // The id under which a turn of an organisation is stored contains a control
  // character. If the parser let one through, a caller of a public route could
  // read the prompt of the turn.
  organisation_fixture F;
  caller First(F.Address);
  First.send(F.request("POST", "/note/1", "t1", "Authorization: Bearer ka\r\n",
                       "[secret]"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0,
             streamHead("t1") + chunk("data: a\n\n") + std::string(StreamEnd));
  REQUIRE(First.waitsFor("0\r\n\r\n"));
  CHECK(
      F.answerHead(F.Llm, "POST", "/note/1", "t2", "X-Previous: acme\x1ft1\r\n")
          .starts_with("HTTP/1.1 400"));
  CHECK(F.answerHead(F.Llm, "POST", "/note/1", "t3",
                     "X-Previous: acme\r\n \x1ft1\r\n")
            .starts_with("HTTP/1.1 400"));
  CHECK(!F.wasSent(F.Llm, "[secret]a\n[in]"));
}

TEST_CASE("a_public_route_names_no_organisation_whose_key_may_be_removed") {
  organisation_fixture F;
  F.Host.KeysAreCurrent = false;
  std::string Key = "Authorization: Bearer ka\r\n";
  CHECK(F.answerHead(F.Tools, "GET", "/open/x", "r1", Key).empty());
  CHECK(!F.wasSent(F.Tools, "X-Organisation"));
  // Without the organisation its turns would be answered 404.
  CHECK(F.answerHead(F.Llm, "POST", "/note/x", "r2", Key)
            .starts_with("HTTP/1.1 503"));
}

TEST_CASE("quarantine_of_a_program_spares_that_of_another_organisation") {
  // Programs of two organisations may have the same id.
  organisation_fixture F;
  std::string Program = relay::scopedId("acme", "p1");
  sched::poison_entry Entry;
  Entry.Fingerprint =
      relay::crash_tracker::fingerprintsOf(Program, "/safe/x", "[in]").Exact;
  for (std::uint64_t I = 1; I <= 3; ++I)
    Entry.Crashes.push_back({I, milliseconds(10), "u", "h"});
  F.Relay->crashTracker().merge(std::span(&Entry, 1), steadyNow());
  std::string Header = "X-Program: p1\r\nAuthorization: Bearer ";
  CHECK(F.answerHead(F.Tools, "GET", "/safe/x", "r1", Header + "ka\r\n")
            .starts_with("HTTP/1.1 503"));
  CHECK(
      F.answerHead(F.Tools, "GET", "/safe/x", "r2", Header + "kb\r\n").empty());
}

TEST_CASE("keys_that_are_not_known_to_be_current_authenticate_nobody") {
  // A host that the store had cut off served a removed key for as long as the
  // cut lasted.
  organisation_fixture F;
  F.Host.KeysAreCurrent = false;
  for (std::string Key : {"ka", "other"}) {
    std::string Head = F.answerHead(F.Tools, "GET", "/safe/x", "r-" + Key,
                                    "Authorization: Bearer " + Key + "\r\n");
    CHECK(Head.starts_with("HTTP/1.1 503"));
    CHECK(Head.find("Retry-After: ") != std::string::npos);
  }
  CHECK(F.answerHead(F.Tools, "GET", "/open/x", "r3", "").empty());
  F.Host.KeysAreCurrent = true;
  CHECK(F.answerHead(F.Tools, "GET", "/safe/x", "r4",
                     "Authorization: Bearer ka\r\n")
            .empty());
}
