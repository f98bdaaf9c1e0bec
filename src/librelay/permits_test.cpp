// Pacing of requests to upstreams that have named a limit: decisions alone.

#include "test_limits_pvt.h"
#include "turmerichead/relay_permits.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace turmerichead;
using namespace turmerichead::pvt;
using namespace turmerichead::relay;

namespace {

permit_request requestOf(double PerSecond, std::int64_t MaxWaitMs,
                         std::uint32_t Position = 0) {
  return {{"u", 1}, {true, PerSecond, 0}, Position, MaxWaitMs};
}

} // namespace

TEST_CASE("permits are issued at the pace of the limit") {
  permit_issuer Issuer;
  std::vector<std::int64_t> Sent;
  for (std::int64_t Ms = 0; Ms < 20000; Ms += 7) {
    permit_reply Reply = Issuer.issue(requestOf(5, 100), {Ms});
    if (Reply.Granted)
      Sent.push_back(Ms + Reply.WaitMs);
  }
  CHECK(Sent.size() >= 100);
  CHECK(Sent.size() <= 103);
  CHECK(mostInWindow(Sent, 0) <= 23);
}

TEST_CASE("a denied request is told when there are permits again") {
  permit_issuer Issuer;
  while (Issuer.issue(requestOf(2, 0), {0}).Granted) {
  }
  permit_reply Denied = Issuer.issue(requestOf(2, 0), {0});
  CHECK(Denied.WaitMs == 500);
  CHECK(Issuer.issue(requestOf(2, 0), {Denied.WaitMs}).Granted);
}

TEST_CASE("limit_that_ends_is_known_to_hosts_that_ask_later") {
  // A host that sends nothing hears nothing of the end.
  permit_issuer Issuer;
  Issuer.issue(requestOf(2, 0), {0});
  Issuer.issue({{"u", 1}, {false, 0, 0}, 0, -1}, {1000});
  permit_request Old = requestOf(2, 0);
  Old.Limit.AgeMs = 5000;
  permit_reply Reply = Issuer.issue(Old, {4000});
  CHECK(Reply.Granted);
  CHECK(!Reply.Limit.IsLimited);
  CHECK(Reply.Limit.AgeMs == 3000);
  SUBCASE("and a later limit holds again") {
    CHECK(Issuer.issue(requestOf(1, 0), {4001}).Limit.IsLimited);
  }
  SUBCASE("another run of the upstream has a limit of its own") {
    Old.Upstream.StartedMs = 2;
    CHECK(Issuer.issue(Old, {4001}).Limit.IsLimited);
  }
}

TEST_CASE("an upstream that takes nothing still gets a request now and then") {
  permit_issuer Issuer;
  std::vector<std::int64_t> Sent;
  for (std::int64_t Ms = 0; Ms < 60000; Ms += 50)
    if (Issuer.issue(requestOf(0, 0), {Ms}).Granted)
      Sent.push_back(Ms);
  CHECK(Sent.size() >= 10);
  CHECK(mostInWindow(Sent, 0) <= 5);
}

TEST_CASE("hosts ask the same disk host, and the next one if it fails") {
  std::vector<std::string> Disks = {"a", "b", "c"};
  issuer_order One;
  issuer_order Two;
  upstream_run Run{"u", 1};
  auto First = One.pick(Run, Disks, {0});
  REQUIRE(First);
  std::reverse(Disks.begin(), Disks.end());
  CHECK(Two.pick(Run, Disks, {0})->Address == First->Address);
  CHECK(First->Position == 0);
  One.recordFailure(First->Address, {0});
  auto Next = One.pick(Run, Disks, {0});
  REQUIRE(Next);
  CHECK(Next->Address != First->Address);
  CHECK(Next->Position == 1);
  CHECK(One.pick(Run, Disks, {10000})->Position == 0);
}

TEST_CASE("who waits longer for a permit") {
  permit_wait Wait;
  Wait.Left = milliseconds(10000);
  milliseconds Urgent = Wait.longest();
  Wait.Rank = 1;
  milliseconds Other = Wait.longest();
  Wait.StartsProgram = true;
  milliseconds NewProgram = Wait.longest();
  CHECK(Urgent > Other);
  CHECK(Other > NewProgram);
  Wait.HasAlternative = true;
  CHECK(Wait.longest() < NewProgram);
  Wait.Left = milliseconds(-3);
  CHECK(Wait.longest().count() == 0);
}

TEST_CASE("limit_holds_for_the_sum_of_hosts_that_don't_hear_each_other") {
  // Any number of hosts, each of which reaches other disk hosts, with requests
  // and replies that are lost, late and in another order.
  CHECK(rc::check([] {
    double PerSecond = *rc::gen::inRange(3, 400) / 10.0;
    auto Hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 12));
    std::vector<std::string> Disks = {"d1", "d2", "d3", "d4", "d5"};
    std::vector<permit_issuer> Issuers(Disks.size());
    std::vector<issuer_order> Orders(Hosts);
    // Which disk hosts a host reaches.
    std::vector<std::vector<bool>> Reaches(Hosts);
    for (auto &Row : Reaches)
      Row = *rc::gen::container<std::vector<bool>>(Disks.size(),
                                                   rc::gen::arbitrary<bool>());
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Random = [&](std::uint32_t Bound) {
      Seed = Seed * 1664525U + 1013904223U;
      return (Seed >> 8U) % Bound;
    };
    struct message {
      std::int64_t At;
      std::size_t Disk;
      permit_request Request;
    };
    std::vector<message> Messages;
    std::vector<std::int64_t> Sent;
    for (std::int64_t Ms = 0; Ms < 15000; Ms += 5) {
      for (std::size_t Host = 0; Host < Hosts; ++Host) {
        auto Issuer = Orders[Host].pick({"u", 1}, Disks, {Ms});
        if (!Issuer)
          continue;
        auto Disk = static_cast<std::size_t>(
            std::find(Disks.begin(), Disks.end(), Issuer->Address) -
            Disks.begin());
        if (!Reaches[Host][Disk]) {
          Orders[Host].recordFailure(Issuer->Address, {Ms});
          continue;
        }
        std::int64_t Delay = Random(20) == 0 ? Random(150) : Random(4);
        Messages.push_back(
            {Ms + Delay, Disk,
             requestOf(PerSecond, Random(1000), Issuer->Position)});
      }
      std::erase_if(Messages, [&](const message &Row) {
        if (Row.At > Ms)
          return false;
        permit_reply Reply = Issuers[Row.Disk].issue(Row.Request, {Ms});
        bool IsLost = Random(20) == 0;
        if (Reply.Granted && !IsLost)
          Sent.push_back(Ms + Reply.WaitMs +
                         (Random(20) == 0 ? Random(150) : Random(4)));
        return true;
      });
    }
    RC_ASSERT(static_cast<double>(mostInWindow(Sent, 0)) <=
              allowedInWindow(PerSecond));
  }));
}
