#include "turmerichead/state_journal.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>

using namespace turmerichead;

namespace {

const host_incarnation Self{"seoul-a", 7};
const host_incarnation StandbyA{"seoul-b", 1};
const host_incarnation StandbyB{"seoul-c", 2};

// A journal writer whose commands are collected by kind.
struct fixture {
  journal_writer Journal{Self, journal_settings()};
  time_point Now{1000};
  std::uint64_t Ticket = 0;
  std::vector<create_segment> Creates;
  std::vector<read_segment> Reads;
  std::vector<send_to_standby> Sends;
  std::vector<trim_standby> Trims;
  std::uint64_t Committed = 0;
  int FencedCount = 0;

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
        ++FencedCount;
    }
  }
  // Sets standbys and then fails the platform for longer than the outage
  // timeout.
  void enterOutage() {
    Journal.setStandbys({StandbyA, StandbyB}, Now);
    tick(100);
    created(create_result::Created);
    append();
    tick(100);
    created(create_result::Failed);
    tick(2000);
  }
};

} // namespace

TEST_CASE("records of one commit interval share a segment") {
  fixture Fixture;
  Fixture.append();
  Fixture.append();
  Fixture.tick(0);
  REQUIRE(Fixture.Creates.size() == 1);
  CHECK(Fixture.Creates[0].Name == "seoul-a.7.1");
  Fixture.append();
  Fixture.created(create_result::Created);
  CHECK(Fixture.Committed == 2);
  Fixture.tick(1);
  CHECK(Fixture.Creates.size() == 1);
  Fixture.tick(20);
  REQUIRE(Fixture.Creates.size() == 2);
  CHECK(Fixture.Creates[1].Name == "seoul-a.7.2");
}

TEST_CASE(
    "a write whose answer was lost is confirmed by reading the segment back") {
  fixture Fixture;
  Fixture.append();
  Fixture.tick(0);
  Fixture.created(create_result::Failed);
  CHECK(Fixture.Committed == 0);
  Fixture.tick(250);
  REQUIRE(Fixture.Creates.size() == 2);
  CHECK(Fixture.Creates[1].Bytes == Fixture.Creates[0].Bytes);
  Fixture.created(create_result::Exists);
  REQUIRE(Fixture.Reads.size() == 1);
  Fixture.Journal.read(read_result::Found, Fixture.Creates[0].Bytes,
                       Fixture.Now);
  Fixture.drain();
  CHECK(Fixture.Committed == 1);
}

TEST_CASE("a seal with the number of the next segment fences the writer") {
  fixture Fixture;
  Fixture.append();
  Fixture.tick(0);
  Fixture.created(create_result::Exists);
  journal_segment Seal;
  Seal.Writer = StandbyA;
  Seal.Sealed = true;
  Fixture.Journal.read(read_result::Found, encodeSegment(Seal), Fixture.Now);
  Fixture.drain();
  CHECK(Fixture.FencedCount == 1);
  CHECK(Fixture.Journal.fenced());
  Fixture.append();
  Fixture.tick(1000);
  CHECK(Fixture.Committed == 0);
  CHECK(Fixture.Creates.size() == 1);
}

TEST_CASE("during an outage a record is committed when both standbys hold it") {
  fixture Fixture;
  Fixture.enterOutage();
  REQUIRE(Fixture.Sends.size() == 2);
  Fixture.Journal.standbyAnswered(StandbyA, 1, Fixture.Now);
  Fixture.drain();
  CHECK(Fixture.Committed == 0);
  Fixture.Journal.standbyAnswered(StandbyB, 1, Fixture.Now);
  Fixture.drain();
  CHECK(Fixture.Committed == 1);
  CHECK(Fixture.Journal.available());
}

TEST_CASE("the journal is unavailable while a standby refuses") {
  fixture Fixture;
  Fixture.enterOutage();
  Fixture.Journal.standbyAnswered(StandbyA, 1, Fixture.Now);
  Fixture.Journal.standbyAnswered(StandbyB, std::nullopt, Fixture.Now);
  CHECK_FALSE(Fixture.Journal.available());
  std::size_t Before = Fixture.Sends.size();
  Fixture.tick(300);
  CHECK(Fixture.Sends.size() == Before + 1);
  Fixture.Journal.standbyAnswered(StandbyB, 1, Fixture.Now);
  Fixture.drain();
  CHECK(Fixture.Journal.available());
  CHECK(Fixture.Committed == 1);
}

TEST_CASE("without standbys the journal is unavailable during an outage") {
  fixture Fixture;
  Fixture.append();
  Fixture.tick(0);
  Fixture.created(create_result::Failed);
  Fixture.tick(2000);
  CHECK_FALSE(Fixture.Journal.available());
}

TEST_CASE(
    "standbys that no segment on the platform names can't commit records") {
  fixture Fixture;
  Fixture.Journal.setStandbys({StandbyA, StandbyB}, Fixture.Now);
  Fixture.append();
  Fixture.tick(0);
  Fixture.created(create_result::Failed);
  Fixture.tick(2000);
  Fixture.Journal.standbyAnswered(StandbyA, 1, Fixture.Now);
  Fixture.Journal.standbyAnswered(StandbyB, 1, Fixture.Now);
  Fixture.drain();
  CHECK(Fixture.Committed == 0);
  CHECK_FALSE(Fixture.Journal.available());
}

TEST_CASE(
    "after an outage the buffered records are written in order and trimmed") {
  fixture Fixture;
  Fixture.enterOutage();
  Fixture.append();
  Fixture.Journal.standbyAnswered(StandbyA, 1, Fixture.Now);
  Fixture.Journal.standbyAnswered(StandbyB, 1, Fixture.Now);
  Fixture.drain();
  Fixture.Journal.standbyAnswered(StandbyA, 2, Fixture.Now);
  Fixture.Journal.standbyAnswered(StandbyB, 2, Fixture.Now);
  Fixture.drain();
  CHECK(Fixture.Committed == 2);
  Fixture.tick(250);
  Fixture.created(create_result::Created);
  Fixture.tick(100);
  Fixture.created(create_result::Created);
  CHECK_FALSE(Fixture.Journal.buffering());
  CHECK(Fixture.Journal.unwrittenBytes() == 0);
  REQUIRE(Fixture.Trims.size() >= 2);
  CHECK(Fixture.Trims.back().UpTo == 2);
}

TEST_CASE("a long record is split into entries") {
  fixture Fixture;
  answer_record Long;
  Long.Program = "p";
  Long.Body.assign(MaxSegmentBytes * 2, 'x');
  Fixture.Journal.append(Long, 1, Fixture.Now);
  for (int I = 0; I < 4; ++I) {
    Fixture.tick(20);
    if (Fixture.Journal.unwrittenBytes() > 0)
      CHECK(Fixture.Committed == 0);
    Fixture.created(create_result::Created);
  }
  CHECK(Fixture.Committed == 1);
  for (const create_segment &Create : Fixture.Creates)
    CHECK(Create.Bytes.size() < 730000);
}

TEST_CASE("a standby refuses gaps and closed origins, and trims its entries") {
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

TEST_CASE("a standby's buffer has a size limit") {
  standby_store Store(10);
  std::vector<journal_entry> Entries = {{1, false, std::string(11, 'x')}};
  CHECK_FALSE(Store.append(Self, 0, Entries));
  CHECK(Store.bytes() == 0);
}
