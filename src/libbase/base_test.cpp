#include "turmerichead/error.h"
#include "turmerichead/findings.h"
#include "turmerichead/hash.h"
#include "turmerichead/log.h"
#include "turmerichead/metrics.h"
#include "turmerichead/table.h"
#include "turmerichead/wall_time.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <rapidcheck.h>

#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unistd.h>
#include <vector>

using namespace turmerichead;

TEST_CASE("a failed call leaves its reason") {
  auto Result = []() -> std::optional<int> {
    return fail(error_code::NotFound, "no such entry");
  }();
  CHECK_FALSE(Result);
  CHECK(lastError().Code == error_code::NotFound);
  CHECK(std::string(nameOf(lastError().Code)) == "not_found");
}

TEST_CASE("findings name their place") {
  findings Findings;
  Findings.add({"a.toml", 3, 7, "limits.turns"}, "must be at least 1");
  CHECK(Findings.toText() == "a.toml:3:7: limits.turns: must be at least 1\n");
}

TEST_CASE("a table finds live rows and detects stale ids") {
  bool Passed =
      rc::check("table agrees with a map", [](const std::vector<int> &Steps) {
        table<int> Table;
        std::map<table<int>::id, int> Oracle;
        std::vector<table<int>::id> Gone;
        for (int Step : Steps) {
          if (Step % 3 != 0 || Oracle.empty()) {
            Oracle[Table.insert(Step)] = Step;
            continue;
          }
          auto Victim = Oracle.begin()->first;
          Oracle.erase(Victim);
          RC_ASSERT(Table.erase(Victim));
          Gone.push_back(Victim);
        }
        RC_ASSERT(Table.size() == Oracle.size());
        for (const auto &[Id, Value] : Oracle)
          RC_ASSERT(*Table.find(Id) == Value);
        for (auto Id : Gone)
          RC_ASSERT(Table.find(Id) == nullptr);
      });
  CHECK(Passed);
}

// Guards against milliseconds read as seconds, and against a missing check of
// times outside of the calendar.
TEST_CASE("wall-clock times are shown in UTC") {
  CHECK(utcText(1'796'351'467'999) == "2026-12-04 02:31:07");
  CHECK_FALSE(utcText(std::numeric_limits<std::int64_t>::max()));
}

TEST_CASE("secrets are compared whole") {
  CHECK(equalConstantTime("abc", "abc"));
  CHECK_FALSE(equalConstantTime("abc", "abd"));
  CHECK_FALSE(equalConstantTime("abc", "abcd"));
}

TEST_CASE("HMAC matches the published vector") {
  // RFC 4231, test case 2.
  CHECK(hmacSha256("Jefe", "what do ya want for nothing?") ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("metrics are exposed in the Prometheus text format") {
  metrics Metrics;
  Metrics.add("calls_total", R"(rank="urgent")", 2);
  Metrics.set("hosts", "", 9);
  for (int I = 1; I <= 100; ++I)
    Metrics.observe("call_ms", "", I);
  std::string Text = Metrics.toPrometheus();
  CHECK(Text.find("turmerichead_calls_total{rank=\"urgent\"} 2\n") !=
        std::string::npos);
  CHECK(Text.find("# TYPE turmerichead_hosts gauge\n") != std::string::npos);
  CHECK(Text.find("turmerichead_call_ms_count 100\n") != std::string::npos);
  CHECK(Text.find("# TYPE turmerichead_call_ms histogram\n") !=
        std::string::npos);
  CHECK(Text.find("turmerichead_call_ms_bucket{le=\"20\"} 20\n") !=
        std::string::npos);
  CHECK(Text.find("turmerichead_call_ms_bucket{le=\"+Inf\"} 100\n") !=
        std::string::npos);
}

TEST_CASE("a log never waits for its reader, and counts what it left out") {
  int Ends[2] = {-1, -1};
  REQUIRE(pipe(Ends) == 0);
  REQUIRE(fcntl(Ends[0], F_SETFL, O_NONBLOCK) == 0);
  log::open("h", "info", "", Ends[1]);
  auto Read = [&] {
    std::string Text(1U << 20U, '\0');
    ssize_t Count = read(Ends[0], Text.data(), Text.size());
    Text.resize(Count > 0 ? static_cast<std::size_t>(Count) : 0);
    return Text;
  };
  // Nobody reads: the pipe takes some and the rest is left out.
  std::string Long(1000, 'x');
  for (int I = 0; I < 500; ++I)
    log::warn("flood", {{"text", Long}});
  std::string First = Read();
  CHECK(First.find("flood") != std::string::npos);
  CHECK(First.find("left out") == std::string::npos);
  log::warn("after", {{"n", 1}});
  std::string Second = Read();
  CHECK(Second.find("\"event\":\"log lines left out\",\"count\":") !=
        std::string::npos);
  CHECK(Second.find("\"event\":\"after\"") != std::string::npos);
  // Ordinary lines are bounded in their number, urgent ones are not.
  int Written = 0;
  for (int I = 0; I < 5000; ++I) {
    log::info("many", {{"n", I}});
    std::string Text = I % 100 == 99 ? Read() : std::string();
    for (std::size_t At = Text.find("many"); At != std::string::npos;
         At = Text.find("many", At + 1))
      ++Written;
  }
  CHECK(Written >= 1900);
  CHECK(Written < 4000);
  close(Ends[0]);
  close(Ends[1]);
}

TEST_CASE("metric_label_escapes_names_of_other_writers") {
  CHECK(metricLabel("service", "a\"b\\c\nd{e}") ==
        "service=\"a\\\"b\\\\c\\nd{e}\"");
  metrics Metrics;
  Metrics.set("streams", metricLabel("service", "x\"} 9\ny"), 1);
  CHECK(Metrics.toPrometheus() ==
        "# TYPE turmerichead_streams gauge\n"
        "turmerichead_streams{service=\"x\\\"} 9\\ny\"} 1\n");
}
