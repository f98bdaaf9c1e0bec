// Records that break a promise, each of which the oracle must tell.

#include "oracle.h"
#include "plan.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace turmerichead;
using namespace turmerichead::soak;
using fleet_harness::process_end;
using fleet_harness::role;

namespace {

process_end endOf(role Role, int Asked, std::optional<int> Status, int Signal) {
  process_end End;
  End.Name = "host";
  End.Role = Role;
  End.Asked = Asked;
  End.Status = Status;
  End.Signal = Signal;
  return End;
}

std::size_t violationsOf(const process_end &End) {
  fleet_harness::site_shape Shape;
  oracle Oracle(Shape);
  Oracle.judgeEnds({End});
  return Oracle.violations().size();
}

std::size_t recoveryViolations(const slice &Before, const slice &After) {
  fleet_harness::site_shape Shape;
  oracle Oracle(Shape);
  Oracle.judgeRecovery(Before, After);
  return Oracle.violations().size();
}

fleet_harness::run_line runOf(const char *Attempt, const char *Upstream) {
  fleet_harness::run_line Line;
  Line.What = "run";
  Line.Attempt = Attempt;
  Line.Upstream = Upstream;
  Line.LeftMs = 1000;
  return Line;
}

} // namespace

TEST_CASE("ends that the test did not cause are told") {
  for (role Role : {role::Entry, role::Disk}) {
    CHECK(violationsOf(endOf(Role, 0, 0, 0)) == 1);
    CHECK(violationsOf(endOf(Role, 0, std::nullopt, SIGSEGV)) == 1);
    CHECK(violationsOf(endOf(Role, SIGTERM, 1, 0)) == 1);
    CHECK(violationsOf(endOf(Role, SIGTERM, std::nullopt, SIGABRT)) == 1);
    CHECK(violationsOf(endOf(Role, SIGKILL, 1, 0)) == 1);
    CHECK(violationsOf(endOf(Role, SIGTERM, 0, 0)) == 0);
    CHECK(violationsOf(endOf(Role, SIGTERM, std::nullopt, SIGTERM)) == 0);
    CHECK(violationsOf(endOf(Role, SIGKILL, std::nullopt, SIGKILL)) == 0);
  }
  process_end Killed = endOf(role::Disk, SIGKILL, std::nullopt, SIGKILL);
  Killed.OverMemory = true;
  CHECK(violationsOf(Killed) == 1);
  CHECK(violationsOf(endOf(role::Runner, 0, 3, 0)) == 0);
}

TEST_CASE("service that does not come back after the final fault is told") {
  CHECK(recoveryViolations({25, 75, 0}, {24, 70, 6}) == 1);
  CHECK(recoveryViolations({100, 0, 0}, {0, 0, 0}) == 1);
  CHECK(recoveryViolations({100, 0, 0}, {25, 75, 0}) == 0);
  CHECK(recoveryViolations({24, 76, 0}, {0, 100, 0}) == 0);
  CHECK(recoveryViolations({0, 0, 0}, {0, 0, 0}) == 0);
}

TEST_CASE("the attempts of each route are judged by its own number") {
  using namespace fleet_harness;
  site_shape Shape;
  Shape.Routes = {{"a", route_kind::Safe, "h", "/look/a/", "/look/a/", "s"},
                  {"b", route_kind::Safe, "h", "/look/b/", "/look/b/", "s"}};
  Shape.Routes[1].Attempts = 1;
  for (const char *Path : {"/look/a/", "/look/b/"}) {
    oracle Oracle(Shape);
    std::vector<run_line> Runs;
    for (const char *Attempt : {"1", "2", "3", "4"}) {
      caller_request Request;
      Request.Path = Path;
      Request.Host = "h";
      caller_answer Answer;
      Answer.Attempt = Attempt;
      Answer.Status = 200;
      Oracle.note(milliseconds(0), Request, Answer, true);
      Runs.push_back(runOf(Attempt, "u1"));
      Runs.push_back(runOf(Attempt, "u2"));
    }
    Oracle.judge(Runs);
    bool OnlyOne = Path == Shape.Routes[1].Path;
    CHECK(Oracle.violations().size() == (OnlyOne ? 1 : 0));
  }
}

TEST_CASE("streams with a missing, repeated or foreign event are not whole") {
  using fleet_harness::isWhole;
  std::string First = "id: 1\ndata: 77-1\n\n";
  std::string Second = "id: 2\ndata: 77-2....\n\n";
  std::string Foreign = "id: 2\ndata: 78-2\n\n";
  CHECK(isWhole(First + Second, "77", 2));
  CHECK_FALSE(isWhole(First, "77", 2));
  CHECK_FALSE(isWhole(Second + First, "77", 2));
  CHECK_FALSE(isWhole(First + First + Second, "77", 2));
  CHECK_FALSE(isWhole(First + Second + Second, "77", 2));
  CHECK_FALSE(isWhole(First + Foreign, "77", 2));
  CHECK_FALSE(isWhole(First + "data: 77-20\n\n", "77", 2));
}

TEST_CASE("final faults lose disks for some seeds and are short") {
  int Losing = 0;
  constexpr std::uint64_t Seeds = 100;
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    final_fault Fault = makeFinalFault(Seed);
    Losing += Fault.LosesDisks ? 1 : 0;
    CHECK(Fault.DownMs >= 500);
    CHECK(Fault.DownMs <= 2000);
  }
  CHECK(Losing > 0);
  CHECK(Losing < 100);
}
