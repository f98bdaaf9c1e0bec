#include "turmerichead/error.h"
#include "turmerichead/findings.h"
#include "turmerichead/hash.h"
#include "turmerichead/metrics.h"
#include "turmerichead/table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
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
}
