// Tokens of organisations with a rate limit: decisions alone.

#include "test_limits_pvt.h"
#include "turmerichead/relay_quota.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace turmerichead;
using namespace turmerichead::pvt;
using namespace turmerichead::relay;

namespace {

constexpr quota_settings Settings{20, milliseconds(5000)};
constexpr std::int64_t WindowMs = 5000;
constexpr std::int64_t StepMs = 5;

double allowed(const quota_limit &Limit) {
  return (Limit.PerSecond * WindowMs / 1000 + Limit.Burst) * 1.1 + 20;
}

/// Members and entry hosts, with requests and replies that take time or are
/// lost.
struct simulation {
  struct call {
    std::string Organisation;
    bool StartsProgram = false;
    std::int64_t ArrivedMs = 0;
    std::vector<std::string> Asked;
  };
  struct message {
    std::size_t Host;
    std::size_t Member;
    call Call;
    quota_request Request;
    quota_reply Reply;
    std::int64_t SentMs;
    std::int64_t RequestMs; ///< Arrival at the member; -1: lost.
    std::int64_t ReplyMs = -1;
    bool IsLost = false;
  };
  struct host {
    quota_requester Tokens{Settings};
    std::vector<quota_member> Members;
    std::vector<bool> Reaches;
    quota_limit Limit;
    std::int64_t FrozenUntilMs = 0;
  };
  std::vector<quota_issuer> Issuers;
  std::vector<host> Hosts;
  std::vector<message> Messages;
  std::vector<call> Granted;
  std::vector<call> Refused;
  std::vector<milliseconds> Waits; ///< Of those refused.
  std::int64_t NowMs = 1'000'000;
  std::uint32_t Seed = 1;
  std::uint32_t LossOneOf = 0; ///< 0: no message is lost.
  std::uint32_t MaxDelayMs = 4;

  simulation(std::size_t MemberCount, std::size_t HostCount,
             quota_limit Limit) {
    Hosts.resize(HostCount);
    for (std::size_t I = 0; I < MemberCount; ++I) {
      Issuers.emplace_back(Settings.Slack);
      Issuers.back().setMembers(MemberCount, {NowMs - 100'000});
      for (std::size_t H = 0; H < HostCount; ++H)
        Hosts[H].Members.push_back({"m" + std::to_string(I), I == H % 3});
    }
    for (host &Host : Hosts) {
      Host.Reaches.assign(MemberCount, true);
      Host.Limit = Limit;
    }
  }
  std::uint32_t random(std::uint32_t Bound) {
    Seed = Seed * 1664525U + 1013904223U;
    return (Seed >> 8U) % Bound;
  }
  void arrive(std::size_t Host, bool StartsProgram,
              const std::string &Organisation = "a") {
    quota_requester &Tokens = Hosts[Host].Tokens;
    Tokens.setLimit(Organisation, Hosts[Host].Limit);
    Tokens.recordDemand(Organisation, {NowMs});
    ask(Host, {Organisation, StartsProgram, NowMs, {}});
  }
  void ask(std::size_t Index, call Call) {
    host &Host = Hosts[Index];
    time_point Now{NowMs};
    if (Host.Tokens.takeHeld(Call.Organisation, Now)) {
      Granted.push_back(std::move(Call));
      return;
    }
    auto Member = Host.Tokens.pick(Call.Organisation, Call.StartsProgram,
                                   Host.Members, Call.Asked, Now);
    if (!Member) {
      quota_result Result =
          Host.Tokens.decide(Call.Organisation, Call.StartsProgram,
                             Host.Members, Hosts.size(), Now);
      bool IsGranted = Result.Outcome == quota_outcome::Granted;
      (IsGranted ? Granted : Refused).push_back(std::move(Call));
      if (!IsGranted)
        Waits.push_back(Result.RetryAfter);
      return;
    }
    auto At = static_cast<std::size_t>((*Member)[1] - '0');
    Call.Asked.push_back(*Member);
    auto Request = Host.Tokens.requestFor(Call.Organisation, *Member,
                                          Call.StartsProgram, Now);
    bool IsLost = !Host.Reaches[At] || (LossOneOf && random(LossOneOf) == 0);
    Messages.push_back({Index,
                        At,
                        std::move(Call),
                        Request,
                        {},
                        NowMs,
                        NowMs + random(MaxDelayMs),
                        -1,
                        IsLost});
  }
  /// Delivers what is due, then advances the time.
  void step() {
    std::vector<message> Due;
    std::erase_if(Messages, [&](message &Row) {
      if (!Row.IsLost && Row.ReplyMs < 0 && Row.RequestMs <= NowMs) {
        Row.Reply = Issuers[Row.Member].issue(Row.Request, {NowMs});
        Row.ReplyMs = NowMs + random(MaxDelayMs);
        Row.IsLost = LossOneOf && random(LossOneOf) == 0;
      }
      bool HasReply = !Row.IsLost && Row.ReplyMs >= 0 && Row.ReplyMs <= NowMs;
      bool IsLate = NowMs - Row.SentMs >= 200;
      if (Hosts[Row.Host].FrozenUntilMs > NowMs || (!HasReply && !IsLate))
        return false;
      Row.IsLost = !HasReply;
      Due.push_back(Row);
      return true;
    });
    for (message &Row : Due) {
      quota_requester &Tokens = Hosts[Row.Host].Tokens;
      const std::string &Address = Row.Call.Asked.back();
      bool IsGranted =
          !Row.IsLost && Tokens.recordReply(Address, Row.Request, Row.Reply,
                                            {Row.SentMs}, {NowMs});
      if (Row.IsLost)
        Tokens.recordFailure(Address, Row.Request, {NowMs});
      if (IsGranted)
        Granted.push_back(std::move(Row.Call));
      else
        ask(Row.Host, std::move(Row.Call));
    }
    NowMs += StepMs;
  }
  void run(std::int64_t Ms) {
    for (std::int64_t End = NowMs + Ms; NowMs < End;)
      step();
  }
  static std::size_t count(const std::vector<call> &Calls, bool StartsProgram) {
    return static_cast<std::size_t>(
        std::count_if(Calls.begin(), Calls.end(), [&](const call &Call) {
          return Call.StartsProgram == StartsProgram;
        }));
  }
  std::size_t mostGranted(std::int64_t FromMs) const {
    std::vector<std::int64_t> Times;
    for (const call &Call : Granted)
      Times.push_back(Call.ArrivedMs);
    return mostInWindow(std::move(Times), FromMs, WindowMs);
  }
};

} // namespace

TEST_CASE("quota_holds_for_the_sum_of_hosts_in_every_window") {
  // Each host served what its callers sent. Messages are lost and late, members
  // restart, hosts are cut off or frozen, the limit is lowered.
  CHECK(rc::check([] {
    quota_limit Old{7, *rc::gen::inRange(1, 2000) / 10.0,
                    static_cast<double>(*rc::gen::inRange(0, 60))};
    quota_limit New{8, Old.PerSecond / *rc::gen::inRange(1, 30),
                    Old.Burst / *rc::gen::inRange(1, 5)};
    auto Members = static_cast<std::size_t>(*rc::gen::inRange(1, 8));
    auto Hosts = static_cast<std::size_t>(*rc::gen::inRange(1, 16));
    simulation S(Members, Hosts, Old);
    S.Seed = *rc::gen::arbitrary<std::uint32_t>();
    S.LossOneOf = static_cast<std::uint32_t>(*rc::gen::element(0, 3, 20, 200));
    S.MaxDelayMs = static_cast<std::uint32_t>(*rc::gen::element(2, 20, 120));
    // Requests in 5 ms at all hosts, in thousandths: up to 20 times the limit.
    auto Load = static_cast<std::uint32_t>(Old.PerSecond * StepMs *
                                           *rc::gen::inRange(1, 20)) +
                1;
    std::int64_t Start = S.NowMs;
    std::int64_t Lowered = Start + 12'000;
    for (; S.NowMs < Start + 30'000; S.step()) {
      std::uint32_t Now = Load * (S.random(400) == 0 ? 50 : 1);
      for (std::uint32_t I = 0; I < Now / 1000 + 1; ++I) {
        std::size_t Host = S.random(static_cast<std::uint32_t>(Hosts));
        bool Arrives = I < Now / 1000 || S.random(1000) < Now % 1000;
        if (Arrives && S.Hosts[Host].FrozenUntilMs <= S.NowMs)
          S.arrive(Host, S.random(2) == 0);
      }
      simulation::host &Host =
          S.Hosts[S.random(static_cast<std::uint32_t>(Hosts))];
      std::size_t Member = S.random(static_cast<std::uint32_t>(Members));
      if (S.random(100) == 0)
        Host.Reaches[Member] = !Host.Reaches[Member];
      if (S.random(500) == 0)
        Host.Reaches.assign(Members, false);
      if (S.random(1000) == 0)
        Host.FrozenUntilMs = S.NowMs + S.random(3000);
      if (S.random(600) == 0) {
        S.Issuers[Member] = quota_issuer(Settings.Slack);
        S.Issuers[Member].setMembers(Members, {S.NowMs});
      }
      if (S.NowMs >= Lowered && (S.random(20) == 0))
        Host.Limit = New;
      if (S.NowMs >= Lowered + 1000)
        for (simulation::host &Each : S.Hosts)
          Each.Limit = New;
    }
    RC_ASSERT(static_cast<double>(S.mostGranted(Start)) <= allowed(Old));
    RC_ASSERT(static_cast<double>(S.mostGranted(Lowered + 1000 + WindowMs)) <=
              allowed(New));
  }));
}

TEST_CASE("local_shares_of_many_hosts_that_reach_no_member_stay_small") {
  // One request for each host at once would be more than the slack.
  for (double PerSecond : {10.0, 400.0}) {
    simulation S(3, 76, {1, PerSecond, 0});
    for (simulation::host &Host : S.Hosts)
      Host.Reaches.assign(3, false);
    std::int64_t Start = S.NowMs;
    for (; S.NowMs < Start + 12'000; S.step())
      if (S.NowMs % 50 == 0)
        for (std::size_t Host = 0; Host < S.Hosts.size(); ++Host)
          S.arrive(Host, false);
    CHECK(static_cast<double>(S.mostGranted(Start)) <=
          0.05 * PerSecond * WindowMs / 1000);
    CHECK((PerSecond < 100 || S.Granted.size() >= 76));
  }
}

TEST_CASE("tokens_that_are_left_expire_250_ms_after_they_were_asked_for") {
  // Held for longer, those of many windows could be used in one.
  quota_requester Tokens(Settings);
  Tokens.setLimit("a", {1, 100, 100});
  quota_reply Reply{3, 0, 1, 100, 100, 0, 0, 1};
  CHECK(Tokens.recordReply("m", {"a", 1, 100, 100, 3, false}, Reply, {1000},
                           {1150}));
  CHECK(Tokens.takeHeld("a", {1249}));
  CHECK(!Tokens.takeHeld("a", {1250}));
  CHECK(Tokens.recordReply("m", {"a", 1, 100, 100, 3, false}, Reply, {2000},
                           {2250}));
  CHECK(!Tokens.takeHeld("a", {2250}));
}

TEST_CASE("nothing_is_refused_below_the_limit_if_one_data_centre_sends_all") {
  // The member there has a fraction of the limit only.
  simulation S(5, 3, {1, 40, 30});
  for (std::int64_t Ms = 0; Ms < 20'000; Ms += StepMs, S.step()) {
    // 38 a second, and a burst of 20 in between.
    if (Ms % 130 == 0)
      for (int I = 0; I < 5; ++I)
        S.arrive(0, I == 0);
    if (Ms == 10'000)
      for (int I = 0; I < 20; ++I)
        S.arrive(0, false);
  }
  S.run(1000);
  CHECK(S.Refused.empty());
  CHECK(S.Granted.size() == 154 * 5 + 20);
}

TEST_CASE("a_running_program_goes_before_a_new_one") {
  // Programs were begun with the tokens that others needed to end.
  simulation S(3, 6, {1, 30, 15});
  for (std::int64_t Ms = 0; Ms < 20'000; Ms += StepMs, S.step()) {
    if (Ms % 50 == 0)
      S.arrive(S.random(6), false);
    for (int I = 0; I < 2; ++I)
      S.arrive(S.random(6), true);
  }
  S.run(1000);
  CHECK(simulation::count(S.Refused, false) == 0);
  CHECK(simulation::count(S.Granted, true) >= 150);
  CHECK(simulation::count(S.Refused, true) > 7000);
}

TEST_CASE("an_organisation_at_ten_times_its_rate_leaves_others_unaffected") {
  simulation S(5, 8, {1, 20, 10});
  for (std::int64_t Ms = 0; Ms < 20'000; Ms += StepMs, S.step()) {
    S.arrive(S.random(8), S.random(5) == 0, "busy");
    // Seven others, at a third of their limits.
    if (Ms % 20 == 0)
      S.arrive(S.random(8), S.random(5) == 0,
               "quiet " + std::to_string(S.random(7)));
  }
  std::int64_t LastArrival = S.NowMs;
  S.run(1000);
  CHECK(std::all_of(S.Refused.begin(), S.Refused.end(),
                    [](const simulation::call &Call) {
                      return Call.Organisation == "busy";
                    }));
  CHECK(S.Refused.size() > 3000);
  // New programs of the busy one yield while capacity is short.
  std::ptrdiff_t OverShare = std::count_if(
      S.Hosts.begin(), S.Hosts.end(), [&](const simulation::host &Host) {
        return Host.Tokens.isOverShare("busy", {LastArrival});
      });
  CHECK(OverShare > 4);
}

TEST_CASE("members_that_fail_once_are_asked_again_soon") {
  // After a restart of all hosts, members that did not know the disk set yet
  // were not asked for two seconds, and running programs failed meanwhile.
  quota_requester Tokens(Settings);
  Tokens.setLimit("a", {1, 10, 10});
  std::vector<quota_member> Members = {{"m0", true}, {"m1", false}};
  std::int64_t Now = 1000;
  for (std::int64_t Expected : {250, 500, 1000, 2000, 2000}) {
    for (const quota_member &Member : Members)
      for (int I = 0; I < 3; ++I)
        Tokens.recordFailure(
            Member.Address,
            Tokens.requestFor("a", Member.Address, false, {Now}), {Now});
    CHECK(!Tokens.pick("a", false, Members, {}, {Now}));
    quota_result Result = Tokens.decide("a", false, Members, 100, {Now});
    CHECK(Result.Outcome == quota_outcome::Unknown);
    CHECK(Result.RetryAfter == milliseconds(Expected));
    Now += Expected;
    REQUIRE(Tokens.pick("a", false, Members, {}, {Now}));
  }
  Tokens.recordReply("m0", {"a", 1, 10, 10, 1, false},
                     {1, 0, 1, 10, 10, 0, 0, 1}, {Now}, {Now});
  Tokens.recordFailure("m0", Tokens.requestFor("a", "m0", false, {Now}), {Now});
  CHECK(!Tokens.pick("a", false, {Members.data(), 1}, {}, {Now + 249}));
  CHECK(Tokens.pick("a", false, {Members.data(), 1}, {}, {Now + 250}));
}

TEST_CASE("refusals_tell_when_there_are_tokens_again") {
  // A caller that comes back at that time was refused again.
  simulation S(3, 1, {1, 3, 0});
  while (S.Refused.empty()) {
    S.arrive(0, false);
    S.step();
  }
  REQUIRE(S.Waits.back() > milliseconds(100));
  auto Wait =
      S.Hosts[0].Tokens.emptyFor("a", false, S.Hosts[0].Members, {S.NowMs});
  CHECK(Wait);
  S.run(S.Waits.back().count() + 10);
  std::size_t Before = S.Granted.size();
  S.arrive(0, false);
  S.run(100);
  CHECK(S.Granted.size() == Before + 1);
}

TEST_CASE(
    "a_member_that_has_restarted_starts_empty_and_keeps_the_newest_limit") {
  quota_issuer Issuer(Settings.Slack);
  Issuer.setMembers(1, {50'000});
  quota_request Request{"a", 5, 10, 30, 1, false};
  CHECK(Issuer.issue(Request, {50'000}).Granted == 0);
  Request.Version = 6;
  Request.PerSecond = 1;
  CHECK(Issuer.issue(Request, {50'050}).Granted == 0);
  // An entry host that has an older configuration.
  Request.Version = 5;
  Request.PerSecond = 1000;
  quota_reply Reply = Issuer.issue(Request, {50'100});
  CHECK(Reply.Granted == 0);
  CHECK(Reply.Version == 6);
  CHECK(Reply.PerSecond == 1);
}
