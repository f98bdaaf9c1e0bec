#include "turmerichead/state_journal.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>

using namespace turmerichead;

namespace {

const host_incarnation Self{"seoul-a", 7};
const host_incarnation Left{"seoul-b", 1};
const host_incarnation Right{"seoul-c", 2};

// A journal with its commands sorted by kind.
struct bench {
  journal_writer Journal{Self, journal_settings()};
  time_point Now{1000};
  std::uint64_t Ticket = 0;
  std::vector<create_segment> Creates;
  std::vector<read_segment> Reads;
  std::vector<send_to_standby> Sends;
  std::vector<trim_standby> Trims;
  std::uint64_t Committed = 0;
  int FencedTold = 0;

  void append(const std::string &Program = "p") {
    Journal.append(program_ended_record{Program, end_reason::Asked, 0},
                   ++Ticket, Now);
    drain();
  }
  void tick(int Ms) {
    Now = Now + milliseconds(Ms);
    Journal.tick(Now);
    drain();
  }
  void created(create_result Result) {
    Journal.created(Result, Now);
    drain();
  }
  void drain() {
    for (journal_command &Command : Journal.takeCommands()) {
      if (auto *Create = std::get_if<create_segment>(&Command))
        Creates.push_back(*Create);
      if (auto *Read = std::get_if<read_segment>(&Command))
        Reads.push_back(*Read);
      if (auto *Send = std::get_if<send_to_standby>(&Command))
        Sends.push_back(*Send);
      if (auto *Trim = std::get_if<trim_standby>(&Command))
        Trims.push_back(*Trim);
      if (auto *Commit = std::get_if<journal_committed>(&Command))
        Committed = Commit->Ticket;
      if (std::holds_alternative<journal_fenced>(Command))
        ++FencedTold;
    }
  }
  // With named standbys, and the platform down for longer than the timeout.
  void enterOutage() {
    Journal.setStandbys({Left, Right}, Now);
    tick(100);
    created(create_result::Created);
    append();
    tick(100);
    created(create_result::Failed);
    tick(2000);
  }
};

} // namespace

TEST_CASE("records of one interval share a segment") {
  bench Bench;
  Bench.append();
  Bench.append();
  Bench.tick(0);
  REQUIRE(Bench.Creates.size() == 1);
  CHECK(Bench.Creates[0].Name == "seoul-a.7.1");
  Bench.append();
  Bench.created(create_result::Created);
  CHECK(Bench.Committed == 2);
  Bench.tick(1);
  CHECK(Bench.Creates.size() == 1);
  Bench.tick(20);
  REQUIRE(Bench.Creates.size() == 2);
  CHECK(Bench.Creates[1].Name == "seoul-a.7.2");
}

TEST_CASE("an answer lost after the write took effect is read back") {
  bench Bench;
  Bench.append();
  Bench.tick(0);
  Bench.created(create_result::Failed);
  CHECK(Bench.Committed == 0);
  Bench.tick(250);
  REQUIRE(Bench.Creates.size() == 2);
  CHECK(Bench.Creates[1].Bytes == Bench.Creates[0].Bytes);
  Bench.created(create_result::Exists);
  REQUIRE(Bench.Reads.size() == 1);
  Bench.Journal.read(read_result::Found, Bench.Creates[0].Bytes, Bench.Now);
  Bench.drain();
  CHECK(Bench.Committed == 1);
}

TEST_CASE("a seal in the place of the next segment fences the writer") {
  bench Bench;
  Bench.append();
  Bench.tick(0);
  Bench.created(create_result::Exists);
  journal_segment Seal;
  Seal.Writer = Left;
  Seal.Sealed = true;
  Bench.Journal.read(read_result::Found, encodeSegment(Seal), Bench.Now);
  Bench.drain();
  CHECK(Bench.FencedTold == 1);
  CHECK(Bench.Journal.fenced());
  Bench.append();
  Bench.tick(1000);
  CHECK(Bench.Committed == 0);
  CHECK(Bench.Creates.size() == 1);
}

TEST_CASE("in an outage both standbys must keep a record") {
  bench Bench;
  Bench.enterOutage();
  REQUIRE(Bench.Sends.size() == 2);
  Bench.Journal.standbyAnswered(Left, 1, Bench.Now);
  Bench.drain();
  CHECK(Bench.Committed == 0);
  Bench.Journal.standbyAnswered(Right, 1, Bench.Now);
  Bench.drain();
  CHECK(Bench.Committed == 1);
  CHECK(Bench.Journal.available());
}

TEST_CASE("a standby that refuses stops the keeping until it is back") {
  bench Bench;
  Bench.enterOutage();
  Bench.Journal.standbyAnswered(Left, 1, Bench.Now);
  Bench.Journal.standbyAnswered(Right, std::nullopt, Bench.Now);
  CHECK_FALSE(Bench.Journal.available());
  std::size_t Before = Bench.Sends.size();
  Bench.tick(300);
  CHECK(Bench.Sends.size() == Before + 1);
  Bench.Journal.standbyAnswered(Right, 1, Bench.Now);
  Bench.drain();
  CHECK(Bench.Journal.available());
  CHECK(Bench.Committed == 1);
}

TEST_CASE("without standbys nothing is kept in an outage") {
  bench Bench;
  Bench.append();
  Bench.tick(0);
  Bench.created(create_result::Failed);
  Bench.tick(2000);
  CHECK_FALSE(Bench.Journal.available());
}

TEST_CASE("standbys that no segment on the platform names do not count") {
  bench Bench;
  Bench.Journal.setStandbys({Left, Right}, Bench.Now);
  Bench.append();
  Bench.tick(0);
  Bench.created(create_result::Failed);
  Bench.tick(2000);
  Bench.Journal.standbyAnswered(Left, 1, Bench.Now);
  Bench.Journal.standbyAnswered(Right, 1, Bench.Now);
  Bench.drain();
  CHECK(Bench.Committed == 0);
  CHECK_FALSE(Bench.Journal.available());
}

TEST_CASE("after an outage the buffer drains in order and is trimmed") {
  bench Bench;
  Bench.enterOutage();
  Bench.append();
  Bench.Journal.standbyAnswered(Left, 1, Bench.Now);
  Bench.Journal.standbyAnswered(Right, 1, Bench.Now);
  Bench.drain();
  Bench.Journal.standbyAnswered(Left, 2, Bench.Now);
  Bench.Journal.standbyAnswered(Right, 2, Bench.Now);
  Bench.drain();
  CHECK(Bench.Committed == 2);
  Bench.tick(250);
  Bench.created(create_result::Created);
  Bench.tick(100);
  Bench.created(create_result::Created);
  CHECK_FALSE(Bench.Journal.buffering());
  CHECK(Bench.Journal.unwrittenBytes() == 0);
  REQUIRE(Bench.Trims.size() >= 2);
  CHECK(Bench.Trims.back().UpTo == 2);
}

TEST_CASE("a long record is split into entries") {
  bench Bench;
  answer_record Long;
  Long.Program = "p";
  Long.Body.assign(MaxSegmentBytes * 2, 'x');
  Bench.Journal.append(Long, 1, Bench.Now);
  for (int I = 0; I < 4; ++I) {
    Bench.tick(20);
    if (Bench.Journal.unwrittenBytes() > 0)
      CHECK(Bench.Committed == 0);
    Bench.created(create_result::Created);
  }
  CHECK(Bench.Committed == 1);
  for (const create_segment &Create : Bench.Creates)
    CHECK(Create.Bytes.size() < 730000);
}

TEST_CASE("a standby keeps order, trims, and refuses a closed origin") {
  standby_store Store(1000);
  std::vector<journal_entry> Entries = {{3, false, "c"}, {4, false, "d"}};
  CHECK(Store.append(Self, 2, Entries) == 4);
  std::vector<journal_entry> Later = {{6, false, "f"}};
  CHECK_FALSE(Store.append(Self, 2, Later));
  CHECK(lastError().Code == error_code::Refused);
  Store.trim(Self, 3);
  CHECK(Store.bytes() == 1);
  CHECK(Store.close(Self).size() == 1);
  std::vector<journal_entry> Next = {{5, false, "e"}};
  CHECK_FALSE(Store.append(Self, 2, Next));
  CHECK(lastError().Code == error_code::Fenced);
  Store.sealed(Self);
  CHECK(Store.bytes() == 0);
}

TEST_CASE("a standby's buffer is bounded") {
  standby_store Store(10);
  std::vector<journal_entry> Entries = {{1, false, std::string(11, 'x')}};
  CHECK_FALSE(Store.append(Self, 0, Entries));
  CHECK(Store.bytes() == 0);
}
