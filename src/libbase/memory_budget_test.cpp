#include "turmerichead/memory_budget.h"

#include <doctest/doctest.h>

#include <vector>

using namespace turmerichead;

namespace {

struct fixture {
  memory_budget Budget{100};
  std::vector<std::uint64_t> Ended;
  memory_owner_id Owner =
      Budget.addOwner([this](std::uint64_t Key) { Ended.push_back(Key); });
  memory_holder_id add(std::uint64_t Key, memory_rank Rank, std::size_t Bytes,
                       std::int64_t AtMs = 0) {
    auto Id = Budget.add(Owner, Key);
    Budget.set(Id, Rank, Bytes, {AtMs});
    return Id;
  }
};

} // namespace

// Guards against one endless answer that makes small calls end.
TEST_CASE("the call that holds the most ends first") {
  fixture F;
  auto Small = F.add(1, memory_rank::Call, 40);
  auto Large = F.add(2, memory_rank::Call, 60);
  F.Budget.enforce();
  CHECK(F.Ended.empty());
  CHECK(!F.Budget.excess());
  F.Budget.set(Small, memory_rank::Call, 45, {0});
  CHECK(F.Budget.excess() == Large);
  F.Budget.enforce();
  CHECK(F.Ended == std::vector<std::uint64_t>{2});
  CHECK(F.Budget.ended() == 1);
  F.Budget.release(Large);
  CHECK(!F.Budget.excess());
  CHECK(F.Budget.total() == 45);
  F.Budget.release(Large);
  CHECK(F.Budget.total() == 45);
}

// Calls that run were ended for requests that had not run.
TEST_CASE("requests that are not complete end before answers and calls") {
  fixture F;
  F.add(1, memory_rank::Call, 50);
  F.add(2, memory_rank::Answer, 40);
  F.add(3, memory_rank::Request, 30);
  F.Budget.enforce();
  CHECK(F.Ended == std::vector<std::uint64_t>{3});
  F.add(4, memory_rank::Request, 5);
  F.add(5, memory_rank::Answer, 20);
  F.Budget.enforce();
  // Ending the request of 5 bytes would free too little.
  CHECK(F.Ended == std::vector<std::uint64_t>{3, 2});
}

// A client that sends was ended although others had stopped half-way.
TEST_CASE("of holders of like size the one without progress ends first") {
  fixture F;
  F.add(1, memory_rank::Request, 60, 200);
  F.add(2, memory_rank::Request, 40, 100);
  F.add(3, memory_rank::Request, 1, 0);
  F.Budget.enforce();
  CHECK(F.Ended == std::vector<std::uint64_t>{2});
}

// A turn that was being stored was ended, which freed nothing.
TEST_CASE("pinned memory counts and is not ended") {
  fixture F;
  F.add(1, memory_rank::Pinned, 200);
  F.Budget.enforce();
  CHECK(F.Ended.empty());
  CHECK(!F.Budget.hasRoomFor(1));
  F.add(2, memory_rank::Answer, 1);
  F.Budget.enforce();
  CHECK(F.Ended == std::vector<std::uint64_t>{2});
}

// Guards against a callback into a server that was destroyed while the budget
// still counted its connections.
TEST_CASE("an owner that goes takes its holders along") {
  fixture F;
  F.add(1, memory_rank::Call, 500);
  F.Budget.removeOwner(F.Owner);
  CHECK(F.Budget.total() == 0);
  F.Budget.enforce();
  CHECK(F.Ended.empty());
}
