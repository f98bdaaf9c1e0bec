#include "quorum_pvt.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace turmerichead;
using namespace turmerichead::turns;

namespace {

using decision = reservation_quorum::decision;

const disk_set Set{
    1, 2, {{"a", "a:1", "x"}, {"b", "b:1", "y"}, {"c", "c:1", "z"}}, {}};

open_reply ok(std::vector<spend_row> OtherAttempts = {}, bool CaughtUp = true) {
  open_reply Reply;
  Reply.CaughtUp = CaughtUp;
  Reply.OtherAttempts = std::move(OtherAttempts);
  return Reply;
}

open_reply overBudget(std::vector<spend_row> OtherAttempts) {
  open_reply Reply = ok(std::move(OtherAttempts));
  Reply.Status = static_cast<std::uint8_t>(reply_status::OverBudget);
  return Reply;
}

} // namespace

TEST_CASE("other attempts count, also those that generated nothing") {
  // A program that was rejected before is recognised by its settled attempts.
  reservation_quorum Quorum(Set, 10, 100);
  Quorum.onReply("a:1", ok({{"first", 0}}));
  Quorum.onReply("b:1", ok({{"first", 0}, {"second", 0}}));
  CHECK(Quorum.otherAttempts() == 2);
  CHECK(Quorum.spent() == 0);
}

TEST_CASE("a reservation on all members is granted in one round") {
  reservation_quorum Quorum(Set, 10, 100);
  Quorum.onReply("a:1", ok());
  CHECK(Quorum.decide(false) == decision::Pending);
  Quorum.onReply("b:1", ok());
  CHECK(Quorum.decide(false) == decision::AwaitStragglers);
  Quorum.onReply("c:1", ok());
  CHECK(Quorum.decide(false) == decision::Granted);
}

TEST_CASE("without a reply from one member, reservations are read again") {
  reservation_quorum Quorum(Set, 10, 100);
  Quorum.onReply("a:1", ok());
  Quorum.onReply("b:1", ok());
  CHECK(Quorum.decide(true) == decision::SecondRound);
  Quorum.onSecondReply("a:1", ok());
  CHECK(Quorum.decide(true) == decision::SecondRound);
  SUBCASE("no new reservations") {
    Quorum.onSecondReply("b:1", ok());
    CHECK(Quorum.decide(true) == decision::Granted);
  }
  SUBCASE("a concurrent reservation exhausts the budget") {
    Quorum.onSecondReply("b:1", ok({{"other", 95}}));
    CHECK(Quorum.decide(true) == decision::OverBudget);
  }
}

TEST_CASE("the reservations of all replies are added up") {
  reservation_quorum Quorum(Set, 10, 100);
  Quorum.onReply("a:1", ok({{"p", 50}}));
  Quorum.onReply("b:1", ok({{"q", 50}}));
  CHECK(Quorum.decide(true) == decision::OverBudget);
}

TEST_CASE("a settled value replaces an older reservation") {
  reservation_quorum Quorum(Set, 10, 100);
  Quorum.onReply("a:1", overBudget({{"p", 95}}));
  Quorum.onReply("b:1", ok({{"p", 20}}));
  CHECK(Quorum.decide(true) == decision::Pending);
  Quorum.onReply("c:1", ok({{"p", 20}}));
  CHECK(Quorum.decide(true) == decision::SecondRound);
}

TEST_CASE("a member that lost its disk counts for writes but not for reads") {
  reservation_quorum Quorum(Set, 10, 100);
  Quorum.onReply("a:1", ok({}, false));
  Quorum.onReply("b:1", ok());
  CHECK(Quorum.decide(true) == decision::Pending);
  Quorum.onReply("c:1", ok());
  CHECK(Quorum.decide(true) == decision::SecondRound);
}

TEST_CASE("concurrent attempts never exceed the budget") {
  // Each attempt writes to a random majority of three members, then reads from
  // a random majority. The steps of the attempts are interleaved at random.
  CHECK(rc::check([] {
    constexpr std::uint64_t Budget = 100;
    constexpr std::uint64_t Tokens = 40;
    struct attempt {
      std::vector<int> Writes;
      std::vector<int> Reads;
      std::size_t Step = 0;
      reservation_quorum Quorum{Set, Tokens, Budget};
      bool Refused = false;
    };
    const char *Names[] = {"a:1", "b:1", "c:1"};
    std::vector<std::vector<spend_row>> Members(3);
    std::vector<attempt> Attempts(*rc::gen::inRange(2, 6));
    auto Majority = [] {
      std::vector<int> Order = {0, 1, 2};
      int Skip = *rc::gen::inRange(0, 3);
      Order.erase(Order.begin() + Skip);
      if (*rc::gen::arbitrary<bool>())
        std::swap(Order[0], Order[1]);
      return Order;
    };
    for (attempt &Attempt : Attempts) {
      Attempt.Writes = Majority();
      Attempt.Reads = Majority();
    }
    std::size_t Steps = Attempts.size() * 4;
    for (std::size_t I = 0; I < Steps; ++I) {
      auto Index = *rc::gen::suchThat(
          rc::gen::inRange<std::size_t>(0, Attempts.size()),
          [&](std::size_t At) { return Attempts[At].Step < 4; });
      attempt &Attempt = Attempts[Index];
      std::size_t Step = Attempt.Step++;
      if (Attempt.Refused)
        continue;
      std::string Id = "t" + std::to_string(Index);
      std::vector<spend_row> Others;
      int At = Step < 2 ? Attempt.Writes[Step] : Attempt.Reads[Step - 2];
      std::uint64_t Sum = 0;
      for (const spend_row &Row : Members[At])
        if (Row.Attempt != Id) {
          Others.push_back(Row);
          Sum += Row.Tokens;
        }
      if (Step >= 2) {
        Attempt.Quorum.onSecondReply(Names[At], ok(Others));
        continue;
      }
      if (Sum + Tokens > Budget) {
        Attempt.Refused = true;
        continue;
      }
      Members[At].push_back({Id, Tokens});
      Attempt.Quorum.onReply(Names[At], ok(Others));
    }
    std::uint64_t Spent = 0;
    for (const attempt &Attempt : Attempts)
      if (!Attempt.Refused && Attempt.Quorum.decide(true) == decision::Granted)
        Spent += Tokens;
    RC_ASSERT(Spent <= Budget);
  }));
}

TEST_CASE("a chain is assembled from hosts that each have a part of it") {
  chain_search Search("t3");
  CHECK(!Search.isComplete());
  CHECK(!Search.onReply("a:1", "t3", true, {false, "t3", "", ""}));
  CHECK(!Search.isAbsent(Set));
  CHECK(Search.onReply("b:1", "t3", true, {true, "t1", "[2][3]", ""}));
  CHECK(Search.wanted() == "t1");
  CHECK(Search.onReply("a:1", "t1", true, {true, "", "[1]", ""}));
  CHECK(Search.isComplete());
  CHECK(Search.takeBytes() == "[1][2][3]");
}

TEST_CASE("a turn is absent only if a caught-up majority does not have it") {
  chain_search Search("t");
  Search.onReply("a:1", "t", true, {false, "t", "", ""});
  Search.onReply("b:1", "t", false, {false, "t", "", ""});
  CHECK(!Search.isAbsent(Set));
  Search.onReply("c:1", "t", true, {false, "t", "", ""});
  CHECK(Search.isAbsent(Set));
  CHECK(!Search.isBroken(Set));
}

TEST_CASE("a reply to an earlier request of the search is ignored") {
  chain_search Search("t2");
  Search.onReply("a:1", "t2", true, {true, "t1", "[2]", ""});
  CHECK(!Search.onReply("b:1", "t2", true, {true, "", "[1][2]", ""}));
  CHECK(Search.wanted() == "t1");
}

TEST_CASE("a_reservation_that_full_disks_refuse_is_decided_without_a_timeout") {
  // Callers waited for the timeout of the open.
  open_reply Full = ok();
  Full.Status = static_cast<std::uint8_t>(reply_status::Full);
  reservation_quorum Quorum(Set, 10, 100);
  Quorum.onReply("a:1", Full);
  CHECK(Quorum.decide(false) == decision::Pending);
  Quorum.onReply("b:1", Full);
  CHECK(Quorum.decide(false) == decision::DisksFull);
}
