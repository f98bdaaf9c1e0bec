// Upstreams that name a limit for the requests of all hosts together.

#include "test_limits_pvt.h"
#include "test_relay_pvt.h"

#include <cstdlib>
#include <deque>

using namespace turmerichead;
using namespace turmerichead::pvt;

namespace {

/// Two entry hosts and an upstream that answers at once and names a limit.
struct limit_fixture : fixture {
  std::optional<entry_host> Other;
  std::string LimitHeader; ///< Of the answers; empty: no limit is named.
  std::vector<time_point> Arrivals;
  std::deque<caller> Callers;
  loop_source Answering;
  int NextCall = 0;

  limit_fixture() {
    Other.emplace("other", Disks);
    Other->Relay->putUpstream(
        {"tool-1", "tools", addressOf(Tools.port()), "dc", 64, true, 1});
    Relay->putUpstream(
        {"tool-1", "tools", addressOf(Tools.port()), "dc", 64, true, 1});
    Relay->setEntryHosts(2);
    Other->Relay->setEntryHosts(2);
    Answering = loop_source::every(milliseconds(2), [this] {
      answerAll(Tools);
      answerAll(OtherTools);
      return true;
    });
  }
  void answerAll(raw_server &Server) {
    for (std::size_t I = 0; I < Server.Connections.size(); ++I) {
      std::string &Input = Server.Connections[I]->Input;
      std::size_t IdAt = Input.find("X-Call: ");
      if (IdAt == std::string::npos ||
          Input.find("\r\n\r\n") == std::string::npos)
        continue;
      IdAt += std::string_view("X-Call: ").size();
      std::string Id = Input.substr(IdAt, Input.find('\r', IdAt) - IdAt);
      Input.clear();
      bool IsLimited = &Server == &Tools;
      if (IsLimited)
        Arrivals.push_back(steadyNow());
      Server.send(I, answerTo(Id, "done", "200 OK",
                              IsLimited ? LimitHeader : std::string()));
    }
  }
  /// Sends a call through a host; the connection stays open.
  caller &call(entry_host &To, std::string_view Path = "/safe/1") {
    caller &Caller = Callers.emplace_back(To.Address);
    Caller.send(request("GET", Path, "c" + std::to_string(++NextCall)));
    return Caller;
  }
  /// Sends calls through both hosts for \p Time, each every \p Interval.
  void callFor(milliseconds Time, milliseconds Interval) {
    for (time_point End = steadyNow() + Time; steadyNow() < End;) {
      call(Host);
      call(*Other);
      turnFor(Interval);
    }
  }
  /// Has the upstream name 2 requests a second, and callers of both hosts ask
  /// for 20 once both hosts know. Returns when they began.
  time_point askForMoreThanTheLimit() {
    LimitHeader = "X-Limit: 2\r\n";
    call(Host).waitsFor("done");
    call(*Other).waitsFor("done");
    turnFor(milliseconds(500));
    time_point Start = steadyNow();
    callFor(milliseconds(4500), milliseconds(100));
    return Start;
  }
  std::size_t mostArrivals(time_point From) const {
    std::vector<std::int64_t> Times;
    for (time_point Arrival : Arrivals)
      Times.push_back(Arrival.Ms);
    return mostInWindow(std::move(Times), From.Ms);
  }
  std::size_t answered(std::string_view Status) const {
    return static_cast<std::size_t>(std::count_if(
        Callers.begin(), Callers.end(),
        [&](const caller &Caller) { return Caller.has(Status); }));
  }
};

} // namespace

TEST_CASE("limit_of_all_hosts_is_kept_by_their_sum") {
  // Each host sent as much as its callers asked for, and none knew of the
  // others, so that upstreams got many times what they had named.
  limit_fixture F;
  time_point Start = F.askForMoreThanTheLimit();
  CHECK(F.mostArrivals(Start) <= allowedInWindow(2));
  // What the upstream takes is used.
  CHECK(F.mostArrivals(Start) >= 6);
  turnFor(milliseconds(1500));
  // The others were told at once that they were not run.
  CHECK(F.answered("HTTP/1.1 503") >= 60);
  CHECK(F.answered("HTTP/1.1 ") == F.Callers.size());
}

TEST_CASE("limit_is_kept_where_disk_hosts_issue_no_permits") {
  // Disk hosts of an earlier version know nothing of permits.
  limit_fixture F;
  F.Disks.IssuesPermits = false;
  time_point Start = F.askForMoreThanTheLimit();
  CHECK(F.mostArrivals(Start) <= allowedInWindow(2));
  CHECK(F.mostArrivals(Start) >= 6);
}

TEST_CASE("limit_that_has_ended_holds_no_call_back") {
  limit_fixture F;
  F.LimitHeader = "X-Limit: 1\r\n";
  F.call(F.Host).waitsFor("done");
  F.call(*F.Other).waitsFor("done");
  F.LimitHeader.clear();
  turnFor(milliseconds(1100));
  // One of the hosts learns it from the upstream, the other from a disk host.
  F.call(F.Host).waitsFor("HTTP/1.1");
  turnFor(milliseconds(50));
  F.call(*F.Other).waitsFor("HTTP/1.1");
  F.callFor(milliseconds(500), milliseconds(25));
  turnFor(milliseconds(100));
  CHECK(F.answered("HTTP/1.1 200") == F.Callers.size());
}

TEST_CASE("limit_moves_calls_to_an_upstream_with_room") {
  limit_fixture F;
  F.put("tool-2", "tools", F.OtherTools);
  F.Other->Relay->putUpstream(
      {"tool-2", "tools", addressOf(F.OtherTools.port()), "dc", 64, true, 1});
  F.LimitHeader = "X-Limit: 1\r\n";
  F.callFor(milliseconds(1500), milliseconds(30));
  turnFor(milliseconds(300));
  CHECK(F.answered("HTTP/1.1 200") == F.Callers.size());
}
