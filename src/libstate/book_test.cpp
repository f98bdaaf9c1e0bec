#include "turmerichead/state_book.h"

#include <doctest/doctest.h>

using namespace turmerichead;

namespace {

constexpr const char *Question =
    R"({"model":"m","messages":[{"role":"user","content":"place wagon 7"}]})";
constexpr const char *AnswerBody =
    R"({"choices":[{"message":{"role":"assistant","content":"done"}}]})";

call_request modelCall(std::string Program, std::uint32_t Number,
                       std::string Body = Question) {
  call_request Out;
  Out.Program = std::move(Program);
  Out.Number = Number;
  Out.Digest = digestChat(Body).value();
  Out.Body = std::move(Body);
  Out.Entry = "yard";
  Out.Owner = "gleisfenster";
  Out.Limits.BudgetTokens = 100000;
  Out.Limits.MaxOutputTokens = 100;
  Out.Limits.Retries = 3;
  return Out;
}

call_request booking(std::string Program, std::uint32_t Number) {
  call_request Out = modelCall(std::move(Program), Number);
  Out.Kind = call_kind::Service;
  Out.NonIdempotent = true;
  Out.Target = "booking/places";
  Out.Body = "{}";
  Out.Digest = {};
  return Out;
}

// A book whose records are committed when the test calls commit().
struct fixture {
  program_book Book{book_settings(), [](std::string_view) { return 0U; }};
  moment Now;
  commit_ticket Written = 0;
  std::vector<dispatch_call> Dispatched;
  std::vector<release_waiter> Released;
  std::vector<call_id> Cancelled;
  std::vector<program_ended> Ended;

  fixture() { Book.acquireShard(0, {}); }

  void drain() {
    for (book_command &Command : Book.takeCommands()) {
      if (auto *Commit = std::get_if<commit_record>(&Command))
        Written = Commit->Ticket;
      if (auto *Dispatch = std::get_if<dispatch_call>(&Command))
        Dispatched.push_back(*Dispatch);
      if (auto *Release = std::get_if<release_waiter>(&Command))
        Released.push_back(*Release);
      if (auto *Cancel = std::get_if<cancel_dispatch>(&Command))
        Cancelled.push_back(Cancel->Call);
      if (auto *End = std::get_if<program_ended>(&Command))
        Ended.push_back(*End);
    }
  }
  void commit() {
    drain();
    Book.committedUpTo(Written, Now);
    drain();
  }
  submit_decision submit(const call_request &Request, waiter_id Waiter) {
    auto Decision = Book.submit(Request, Waiter, Now);
    drain();
    return Decision;
  }
  void answer(std::size_t Index, std::uint64_t Tokens = 50) {
    Book.answered(Dispatched.at(Index).Call,
                  {200, "application/json", AnswerBody, Tokens}, Now);
    drain();
  }
};

} // namespace

TEST_CASE("the first call is dispatched after a commit, and its answer is "
          "released after another") {
  fixture Fixture;
  CHECK(Fixture.submit(modelCall("p", 1), 1) == submit_decision::Waiting);
  CHECK(Fixture.Dispatched.empty());
  Fixture.commit();
  REQUIRE(Fixture.Dispatched.size() == 1);
  Fixture.answer(0);
  CHECK(Fixture.Released.empty());
  Fixture.commit();
  REQUIRE(Fixture.Released.size() == 1);
  CHECK(Fixture.Released[0].Body == AnswerBody);
  CHECK(Fixture.Released[0].Outcome == call_outcome::Answered);
}

TEST_CASE("a call within the reservation of the previous answer is dispatched "
          "at once") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.answer(0);
  Fixture.commit();
  CHECK(Fixture.submit(modelCall("p", 2), 2) == submit_decision::Running);
}

TEST_CASE("a call that exceeds the reservation waits for a larger one") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.answer(0);
  Fixture.commit();
  std::string Large = R"({"model":"m","messages":[{"role":"user","content":")" +
                      std::string(9000, 'x') + R"("}]})";
  CHECK(Fixture.submit(modelCall("p", 2, Large), 2) ==
        submit_decision::Waiting);
  CHECK(Fixture.Dispatched.size() == 1);
  Fixture.commit();
  REQUIRE(Fixture.Dispatched.size() == 2);
  std::uint64_t Reserved = Fixture.Book.rows().findRoot("p")->ReservedUpTo;
  CHECK(Reserved >= 50 + Large.size() + 100);
}

TEST_CASE(
    "calls that arrive out of order are dispatched in order of their numbers") {
  fixture Fixture;
  CHECK(Fixture.submit(modelCall("p", 2), 2) == submit_decision::Waiting);
  Fixture.commit();
  CHECK(Fixture.Dispatched.empty());
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  REQUIRE(Fixture.Dispatched.size() == 1);
  CHECK(Fixture.Dispatched[0].Number == 1);
  Fixture.answer(0);
  Fixture.commit();
  REQUIRE(Fixture.Dispatched.size() == 2);
  CHECK(Fixture.Dispatched[1].Number == 2);
}

TEST_CASE(
    "a duplicate call is executed once, and both callers get its answer") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  CHECK(Fixture.submit(modelCall("p", 1), 2) == submit_decision::Joined);
  Fixture.commit();
  Fixture.answer(0);
  Fixture.commit();
  CHECK(Fixture.Dispatched.size() == 1);
  CHECK(Fixture.Released.size() == 2);
  CHECK(Fixture.submit(modelCall("p", 1), 3) == submit_decision::Replayed);
  CHECK(Fixture.Released.back().Body == AnswerBody);
}

TEST_CASE("a call joins an open call with its key, and another body with that "
          "key is a conflict") {
  fixture Fixture;
  call_request First = booking("p", 0);
  First.IdempotencyKey = "k";
  Fixture.submit(First, 1);
  CHECK(Fixture.submit(First, 2) == submit_decision::Joined);
  First.Body = R"({"other":1})";
  CHECK(Fixture.submit(First, 3) == submit_decision::Conflict);
  Fixture.commit();
  CHECK(Fixture.Released.back().HttpStatus == 409);
}

TEST_CASE("a call of another owner is a conflict") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  call_request Foreign = modelCall("p", 1);
  Foreign.Owner = "garterline";
  CHECK(Fixture.submit(Foreign, 2) == submit_decision::Conflict);
  Fixture.commit();
  CHECK(Fixture.Released.back().HttpStatus == 403);
}

TEST_CASE("a sub-agent runs in parallel to its parent and shares its budget") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.submit(modelCall("p/q", 1), 2);
  Fixture.commit();
  CHECK(Fixture.Dispatched.size() == 2);
  CHECK(Fixture.Book.rows().findRoot("p/q")->Programs.size() == 2);
  CHECK(Fixture.submit(modelCall("x/q", 1), 3) == submit_decision::Refused);
  Fixture.commit();
  CHECK(Fixture.Released.back().Code == "parent_unknown");
}

TEST_CASE("a sub-agent is refused before its root has started") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 2), 1);
  CHECK(Fixture.submit(modelCall("p/q", 1), 2) == submit_decision::Refused);
  Fixture.commit();
  REQUIRE(Fixture.Released.size() == 1);
  CHECK(Fixture.Released[0].Code == "parent_unknown");
}

TEST_CASE("a non-idempotent call is dispatched after its intent is committed, "
          "and not repeated") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.answer(0);
  Fixture.commit();
  CHECK(Fixture.submit(booking("p", 2), 2) == submit_decision::Waiting);
  CHECK(Fixture.Dispatched.size() == 1);
  Fixture.commit();
  CHECK(Fixture.Dispatched.size() == 2);
  Fixture.Book.upstreamCrashed(Fixture.Dispatched[1].Call, "svc-1",
                               Fixture.Now);
  Fixture.commit();
  CHECK(Fixture.Dispatched.size() == 2);
  CHECK(Fixture.Released.back().Outcome == call_outcome::Unknown);
}

TEST_CASE("a model call is repeated after a crash of its upstream, but only up "
          "to the crash limit") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.Book.upstreamCrashed(Fixture.Dispatched[0].Call, "r1", Fixture.Now);
  Fixture.commit();
  REQUIRE(Fixture.Dispatched.size() == 2);
  CHECK(Fixture.Dispatched[1].Attempt == 2);
  Fixture.Book.upstreamCrashed(Fixture.Dispatched[1].Call, "r2", Fixture.Now);
  Fixture.commit();
  CHECK(Fixture.Dispatched.size() == 2);
  REQUIRE(Fixture.Released.size() == 1);
  CHECK(Fixture.Released[0].Outcome == call_outcome::Failed);
  CHECK(Fixture.Released[0].Code == "poison_request");
}

TEST_CASE("the last answer is limited to the rest of the budget, then the "
          "program ends") {
  fixture Fixture;
  call_request First = modelCall("p", 1);
  First.Limits.BudgetTokens = First.Body.size() + 40;
  Fixture.submit(First, 1);
  Fixture.commit();
  REQUIRE(Fixture.Dispatched.size() == 1);
  CHECK(Fixture.Dispatched[0].MaxOutputTokens == 40);
  Fixture.answer(0, First.Limits.BudgetTokens);
  Fixture.commit();
  First.Number = 2;
  CHECK(Fixture.submit(First, 2) == submit_decision::Refused);
  Fixture.commit();
  CHECK(Fixture.Released.back().Code == "budget_spent");
  CHECK(Fixture.Released.back().RetryAfterMs == 0);
  Fixture.commit();
  REQUIRE(Fixture.Ended.size() == 1);
  CHECK(Fixture.Ended[0].Reason == end_reason::BudgetSpent);
}

TEST_CASE("a program that reaches its turn limit gets a final refusal") {
  fixture Fixture;
  for (std::uint32_t Turn = 1; Turn <= 3; ++Turn) {
    call_request Call = modelCall("p", Turn);
    Call.Limits.Turns = 3;
    Fixture.submit(Call, Turn);
    Fixture.commit();
    Fixture.answer(Turn - 1);
    Fixture.commit();
  }
  call_request Fourth = modelCall("p", 4);
  Fourth.Limits.Turns = 3;
  CHECK(Fixture.submit(Fourth, 4) == submit_decision::Refused);
  CHECK(Fixture.Released.size() == 3);
  Fixture.commit();
  CHECK(Fixture.Released.back().Code == "turn_limit");
  CHECK(Fixture.Released.back().Outcome == call_outcome::NotRun);
}

TEST_CASE("the wall time limit ends a program and cancels its model call") {
  fixture Fixture;
  call_request Call = modelCall("p", 1);
  Call.Limits.WallTimeMs = 1000;
  Fixture.submit(Call, 1);
  Fixture.commit();
  Fixture.Now.WallMs = 1001;
  Fixture.Book.tick(Fixture.Now);
  Fixture.commit();
  CHECK(Fixture.Cancelled.size() == 1);
  CHECK(Fixture.Ended.size() == 1);
}

TEST_CASE("ending a program on request cancels its model calls and is final") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  CHECK(Fixture.Book.endProgram("p/q", end_reason::Asked, Fixture.Now));
  Fixture.commit();
  CHECK(Fixture.Cancelled.size() == 1);
  CHECK(Fixture.Ended.size() == 1);
  CHECK(Fixture.submit(modelCall("p", 2), 2) == submit_decision::Refused);
  Fixture.commit();
  CHECK(Fixture.Released.back().Code == "program_ended");
  CHECK_FALSE(Fixture.Book.endProgram("x", end_reason::Asked, Fixture.Now));
  Fixture.Book.drainShard(0, Fixture.Now);
  CHECK_FALSE(Fixture.Book.endProgram("p", end_reason::Asked, Fixture.Now));
}

TEST_CASE("calls are refused at once and not executed while the journal is "
          "unavailable") {
  fixture Fixture;
  Fixture.submit(booking("p", 1), 1);
  Fixture.Book.setJournalAvailable(false, Fixture.Now);
  Fixture.drain();
  REQUIRE(Fixture.Released.size() == 1);
  CHECK(Fixture.Released[0].Outcome == call_outcome::Unknown);
  CHECK(Fixture.Released[0].RetryAfterMs > 0);
  Fixture.Book.setJournalAvailable(true, Fixture.Now);
  Fixture.commit();
  CHECK(Fixture.Dispatched.empty());
}

TEST_CASE(
    "a call is dropped if its only caller disconnects before the dispatch") {
  fixture Fixture;
  Fixture.submit(booking("p", 1), 1);
  Fixture.Book.callerDisconnected(1, Fixture.Now);
  Fixture.commit();
  CHECK(Fixture.Dispatched.empty());
  Fixture.submit(booking("p", 1), 2);
  Fixture.commit();
  CHECK(Fixture.Dispatched.size() == 1);
  Fixture.Book.callerDisconnected(2, Fixture.Now);
  CHECK(Fixture.submit(booking("p", 1), 3) == submit_decision::Joined);
}

TEST_CASE("a fenced holder redirects its callers") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.Book.fenced(Fixture.Now);
  Fixture.drain();
  REQUIRE(Fixture.Released.size() == 1);
  CHECK(Fixture.Released[0].Moved);
  CHECK(Fixture.Released[0].Outcome == call_outcome::Unknown);
  CHECK(Fixture.submit(modelCall("r", 1), 2) == submit_decision::Refused);
  CHECK(Fixture.Released.back().Moved);
}

TEST_CASE("a refusal is held back until a commit, and redirected if the holder "
          "is fenced") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 40), 1);
  CHECK(Fixture.Released.empty());
  Fixture.Book.fenced(Fixture.Now);
  Fixture.drain();
  REQUIRE(Fixture.Released.size() == 1);
  CHECK(Fixture.Released[0].Moved);
}

TEST_CASE(
    "a draining shard finishes dispatched calls and redirects the others") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.submit(modelCall("p", 2), 2);
  CHECK_FALSE(Fixture.Book.drainShard(0, Fixture.Now));
  Fixture.drain();
  REQUIRE(Fixture.Released.size() == 1);
  CHECK(Fixture.Released[0].Moved);
  Fixture.answer(0);
  Fixture.commit();
  CHECK(Fixture.Book.drainShard(0, Fixture.Now));
  CHECK(Fixture.Book.releaseShard(0).findProgram("p")->EndedCalls == 1);
}

TEST_CASE("records contain only the new messages") {
  fixture Fixture;
  Fixture.submit(modelCall("p", 1), 1);
  Fixture.commit();
  Fixture.answer(0);
  Fixture.commit();
  std::string Longer =
      R"({"model":"m","messages":[{"role":"user","content":"place wagon 7"},)"
      R"({"role":"assistant","content":"done","refusal":null},)"
      R"({"role":"user","content":"and wagon 8"}]})";
  Fixture.submit(modelCall("p", 2, Longer), 2);
  Fixture.commit();
  const call_row &Call = Fixture.Book.rows().findProgram("p")->Calls[1];
  CHECK(Call.Call.OmittedMessages == 2);
  CHECK(messagesOf(Call.Call.Delta).size() == 1);
}
