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

// A book whose records are committed when the test says so.
struct bench {
  program_book Book{book_settings(), [](std::string_view) { return 0U; }};
  moment Now;
  commit_ticket Written = 0;
  std::vector<dispatch_call> Dispatched;
  std::vector<release_waiter> Released;
  std::vector<call_id> Cancelled;
  std::vector<program_ended> Over;

  bench() { Book.acquireShard(0, {}); }

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
        Over.push_back(*End);
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

TEST_CASE("the first call waits for a commit, and its answer for another") {
  bench Bench;
  CHECK(Bench.submit(modelCall("p", 1), 1) == submit_decision::Waiting);
  CHECK(Bench.Dispatched.empty());
  Bench.commit();
  REQUIRE(Bench.Dispatched.size() == 1);
  Bench.answer(0);
  CHECK(Bench.Released.empty());
  Bench.commit();
  REQUIRE(Bench.Released.size() == 1);
  CHECK(Bench.Released[0].Body == AnswerBody);
  CHECK(Bench.Released[0].Outcome == call_outcome::Answered);
}

TEST_CASE("the next call runs within the reservation made by the answer") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.answer(0);
  Bench.commit();
  CHECK(Bench.submit(modelCall("p", 2), 2) == submit_decision::Running);
}

TEST_CASE("a call beyond the reservation waits for a larger one") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.answer(0);
  Bench.commit();
  std::string Large = R"({"model":"m","messages":[{"role":"user","content":")" +
                      std::string(9000, 'x') + R"("}]})";
  CHECK(Bench.submit(modelCall("p", 2, Large), 2) == submit_decision::Waiting);
  CHECK(Bench.Dispatched.size() == 1);
  Bench.commit();
  REQUIRE(Bench.Dispatched.size() == 2);
  std::uint64_t Reserved = Bench.Book.rows().findRoot("p")->ReservedUpTo;
  CHECK(Reserved >= 50 + Large.size() + 100);
}

TEST_CASE("calls that arrive crossed run in the program's order") {
  bench Bench;
  CHECK(Bench.submit(modelCall("p", 2), 2) == submit_decision::Waiting);
  Bench.commit();
  CHECK(Bench.Dispatched.empty());
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  REQUIRE(Bench.Dispatched.size() == 1);
  CHECK(Bench.Dispatched[0].Number == 1);
  Bench.answer(0);
  Bench.commit();
  REQUIRE(Bench.Dispatched.size() == 2);
  CHECK(Bench.Dispatched[1].Number == 2);
}

TEST_CASE("the same call twice runs once, and both callers get its answer") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  CHECK(Bench.submit(modelCall("p", 1), 2) == submit_decision::Joined);
  Bench.commit();
  Bench.answer(0);
  Bench.commit();
  CHECK(Bench.Dispatched.size() == 1);
  CHECK(Bench.Released.size() == 2);
  CHECK(Bench.submit(modelCall("p", 1), 3) == submit_decision::Replayed);
  CHECK(Bench.Released.back().Body == AnswerBody);
}

TEST_CASE("a key finds its call, and another body under it is a conflict") {
  bench Bench;
  call_request First = booking("p", 0);
  First.IdempotencyKey = "k";
  Bench.submit(First, 1);
  CHECK(Bench.submit(First, 2) == submit_decision::Joined);
  First.Body = R"({"other":1})";
  CHECK(Bench.submit(First, 3) == submit_decision::Conflict);
  Bench.commit();
  CHECK(Bench.Released.back().HttpStatus == 409);
}

TEST_CASE("another owner can't reach a program") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  call_request Foreign = modelCall("p", 1);
  Foreign.Owner = "garterline";
  CHECK(Bench.submit(Foreign, 2) == submit_decision::Conflict);
  Bench.commit();
  CHECK(Bench.Released.back().HttpStatus == 403);
}

TEST_CASE("a sub-agent runs beside its parent, on the same budget") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.submit(modelCall("p/q", 1), 2);
  Bench.commit();
  CHECK(Bench.Dispatched.size() == 2);
  CHECK(Bench.Book.rows().findRoot("p/q")->Programs.size() == 2);
  CHECK(Bench.submit(modelCall("x/q", 1), 3) == submit_decision::Refused);
  Bench.commit();
  CHECK(Bench.Released.back().Code == "parent_unknown");
}

TEST_CASE("a sub-agent does not start before its root") {
  bench Bench;
  Bench.submit(modelCall("p", 2), 1);
  CHECK(Bench.submit(modelCall("p/q", 1), 2) == submit_decision::Refused);
  Bench.commit();
  REQUIRE(Bench.Released.size() == 1);
  CHECK(Bench.Released[0].Code == "parent_unknown");
}

TEST_CASE("a booking is dispatched after its intent is committed") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.answer(0);
  Bench.commit();
  CHECK(Bench.submit(booking("p", 2), 2) == submit_decision::Waiting);
  CHECK(Bench.Dispatched.size() == 1);
  Bench.commit();
  CHECK(Bench.Dispatched.size() == 2);
  Bench.Book.upstreamCrashed(Bench.Dispatched[1].Call, "svc-1", Bench.Now);
  Bench.commit();
  CHECK(Bench.Dispatched.size() == 2);
  CHECK(Bench.Released.back().Outcome == call_outcome::Unknown);
}

TEST_CASE("a model call is repeated after an upstream's death, but not for "
          "ever") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.Book.upstreamCrashed(Bench.Dispatched[0].Call, "r1", Bench.Now);
  Bench.commit();
  REQUIRE(Bench.Dispatched.size() == 2);
  CHECK(Bench.Dispatched[1].Attempt == 2);
  Bench.Book.upstreamCrashed(Bench.Dispatched[1].Call, "r2", Bench.Now);
  Bench.commit();
  CHECK(Bench.Dispatched.size() == 2);
  REQUIRE(Bench.Released.size() == 1);
  CHECK(Bench.Released[0].Outcome == call_outcome::Failed);
  CHECK(Bench.Released[0].Code == "poison_request");
}

TEST_CASE("the last answer is cut to the budget, then the program ends") {
  bench Bench;
  call_request First = modelCall("p", 1);
  First.Limits.BudgetTokens = First.Body.size() + 40;
  Bench.submit(First, 1);
  Bench.commit();
  REQUIRE(Bench.Dispatched.size() == 1);
  CHECK(Bench.Dispatched[0].MaxOutputTokens == 40);
  Bench.answer(0, First.Limits.BudgetTokens);
  Bench.commit();
  First.Number = 2;
  CHECK(Bench.submit(First, 2) == submit_decision::Refused);
  Bench.commit();
  CHECK(Bench.Released.back().Code == "budget_spent");
  CHECK(Bench.Released.back().RetryAfterMs == 0);
  Bench.commit();
  REQUIRE(Bench.Over.size() == 1);
  CHECK(Bench.Over[0].Reason == end_reason::BudgetSpent);
}

TEST_CASE("a loop ends with a final answer") {
  bench Bench;
  for (std::uint32_t Turn = 1; Turn <= 3; ++Turn) {
    call_request Call = modelCall("p", Turn);
    Call.Limits.Turns = 3;
    Bench.submit(Call, Turn);
    Bench.commit();
    Bench.answer(Turn - 1);
    Bench.commit();
  }
  call_request Fourth = modelCall("p", 4);
  Fourth.Limits.Turns = 3;
  CHECK(Bench.submit(Fourth, 4) == submit_decision::Refused);
  CHECK(Bench.Released.size() == 3);
  Bench.commit();
  CHECK(Bench.Released.back().Code == "turn_limit");
  CHECK(Bench.Released.back().Outcome == call_outcome::NotRun);
}

TEST_CASE("wall time ends a program and cuts its model call") {
  bench Bench;
  call_request Call = modelCall("p", 1);
  Call.Limits.WallTimeMs = 1000;
  Bench.submit(Call, 1);
  Bench.commit();
  Bench.Now.WallMs = 1001;
  Bench.Book.tick(Bench.Now);
  Bench.commit();
  CHECK(Bench.Cancelled.size() == 1);
  CHECK(Bench.Over.size() == 1);
}

TEST_CASE("an operator's end cuts model calls and is final") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  CHECK(Bench.Book.endProgram("p/q", end_reason::Asked, Bench.Now));
  Bench.commit();
  CHECK(Bench.Cancelled.size() == 1);
  CHECK(Bench.Over.size() == 1);
  CHECK(Bench.submit(modelCall("p", 2), 2) == submit_decision::Refused);
  Bench.commit();
  CHECK(Bench.Released.back().Code == "program_ended");
  CHECK_FALSE(Bench.Book.endProgram("x", end_reason::Asked, Bench.Now));
  Bench.Book.drainShard(0, Bench.Now);
  CHECK_FALSE(Bench.Book.endProgram("p", end_reason::Asked, Bench.Now));
}

TEST_CASE("what can't be kept is refused at once and does not run") {
  bench Bench;
  Bench.submit(booking("p", 1), 1);
  Bench.Book.setJournalAvailable(false, Bench.Now);
  Bench.drain();
  REQUIRE(Bench.Released.size() == 1);
  CHECK(Bench.Released[0].Outcome == call_outcome::Unknown);
  CHECK(Bench.Released[0].RetryAfterMs > 0);
  Bench.Book.setJournalAvailable(true, Bench.Now);
  Bench.commit();
  CHECK(Bench.Dispatched.empty());
}

TEST_CASE("a caller that leaves before dispatch takes its call with it") {
  bench Bench;
  Bench.submit(booking("p", 1), 1);
  Bench.Book.callerDisconnected(1, Bench.Now);
  Bench.commit();
  CHECK(Bench.Dispatched.empty());
  Bench.submit(booking("p", 1), 2);
  Bench.commit();
  CHECK(Bench.Dispatched.size() == 1);
  Bench.Book.callerDisconnected(2, Bench.Now);
  CHECK(Bench.submit(booking("p", 1), 3) == submit_decision::Joined);
}

TEST_CASE("a fenced holder sends its callers on") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.Book.fenced(Bench.Now);
  Bench.drain();
  REQUIRE(Bench.Released.size() == 1);
  CHECK(Bench.Released[0].Moved);
  CHECK(Bench.Released[0].Outcome == call_outcome::Unknown);
  CHECK(Bench.submit(modelCall("r", 1), 2) == submit_decision::Refused);
  CHECK(Bench.Released.back().Moved);
}

TEST_CASE("a holder that may have been replaced does not say not run") {
  bench Bench;
  Bench.submit(modelCall("p", 40), 1);
  CHECK(Bench.Released.empty());
  Bench.Book.fenced(Bench.Now);
  Bench.drain();
  REQUIRE(Bench.Released.size() == 1);
  CHECK(Bench.Released[0].Moved);
}

TEST_CASE("a drained shard waits for what runs and sends the rest on") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.submit(modelCall("p", 2), 2);
  CHECK_FALSE(Bench.Book.drainShard(0, Bench.Now));
  Bench.drain();
  REQUIRE(Bench.Released.size() == 1);
  CHECK(Bench.Released[0].Moved);
  Bench.answer(0);
  Bench.commit();
  CHECK(Bench.Book.drainShard(0, Bench.Now));
  CHECK(Bench.Book.releaseShard(0).findProgram("p")->EndedCalls == 1);
}

TEST_CASE("records keep the new messages only") {
  bench Bench;
  Bench.submit(modelCall("p", 1), 1);
  Bench.commit();
  Bench.answer(0);
  Bench.commit();
  std::string Longer =
      R"({"model":"m","messages":[{"role":"user","content":"place wagon 7"},)"
      R"({"role":"assistant","content":"done","refusal":null},)"
      R"({"role":"user","content":"and wagon 8"}]})";
  Bench.submit(modelCall("p", 2, Longer), 2);
  Bench.commit();
  const call_row &Call = Bench.Book.rows().findProgram("p")->Calls[1];
  CHECK(Call.Call.OmittedMessages == 2);
  CHECK(messagesOf(Call.Call.Delta).size() == 1);
}
