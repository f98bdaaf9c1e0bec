#include "commands.h"
#include "log_lines.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace turmerichead::ctl {

namespace {

constexpr int Answered = 200;
constexpr int FirstClientError = 400;
constexpr int FirstServerError = 500;
constexpr int Refused = 503;

/// Durations of the parts of a call, in milliseconds.
struct legs {
  std::int64_t BeforeSend = 0; ///< Disk hosts, and upstreams tried before.
  std::int64_t FirstEvent = 0; ///< From the last send to the first event.
  std::int64_t Stream = 0;     ///< From the first event to the last.
  std::int64_t Rest = 0;       ///< Keeping the turn, or a plain answer.
};

/// Statistics of all calls of a route.
struct route_row {
  std::vector<std::int64_t> TookMs;
  std::size_t Good = 0;
  std::size_t Refused = 0; ///< Not run; the caller may retry.
  std::size_t ClientErrors = 0;
  std::size_t Failed = 0;
  std::size_t Cut = 0; ///< Aborted, by the system or by the caller.
  std::size_t Sent = 0;
  legs Legs; ///< Sums over the calls that were sent.
};

/// Statistics of all log lines.
struct summary {
  std::map<std::string, route_row> Routes;
  std::map<std::pair<int, std::string>, std::size_t> Reasons;
  std::map<std::string, bool> Programs; ///< Whether a call was answered.
  std::size_t Held = 0;                 ///< Calls that waited for a permit.
  std::int64_t HeldMs = 0;              ///< Sum of their times.
  std::size_t Denied = 0; ///< Calls that an upstream's limit sent elsewhere.
};

void countStatus(route_row &Row, int Status) {
  if (Status == 0)
    ++Row.Cut;
  else if (Status == Refused)
    ++Row.Refused;
  else if (Status >= FirstServerError)
    ++Row.Failed;
  else if (Status >= FirstClientError)
    ++Row.ClientErrors;
  else
    ++Row.Good;
}

void addLegs(route_row &Row, const nlohmann::ordered_json &Line) {
  if (!Line.contains("sent_ms"))
    return;
  std::int64_t SentMs = integerAt(Line, "sent_ms");
  std::int64_t FirstMs = integerAt(Line, "first_ms", SentMs);
  std::int64_t LastMs = integerAt(Line, "last_ms", FirstMs);
  ++Row.Sent;
  Row.Legs.BeforeSend += SentMs;
  Row.Legs.FirstEvent += FirstMs - SentMs;
  Row.Legs.Stream += LastMs - FirstMs;
  Row.Legs.Rest += integerAt(Line, "took_ms") - LastMs;
}

void addCall(summary &Summary, const nlohmann::ordered_json &Line) {
  auto Status = static_cast<int>(integerAt(Line, "status"));
  route_row &Row = Summary.Routes[textAt(Line, "route", "?")];
  Row.TookMs.push_back(integerAt(Line, "took_ms"));
  countStatus(Row, Status);
  addLegs(Row, Line);
  std::string Reason = textAt(Line, "reason");
  if (Status != Answered)
    ++Summary
          .Reasons[{Status, Reason.empty() ? "the upstream's answer" : Reason}];
  std::int64_t HeldMs = integerAt(Line, "held_ms");
  Summary.Held += HeldMs > 0 ? 1 : 0;
  Summary.HeldMs += HeldMs;
  Summary.Denied += Line.contains("denied") ? 1 : 0;
  std::string Program = textAt(Line, "program");
  if (!Program.empty())
    Summary.Programs[Program] |= Status == Answered;
}

std::int64_t percentile(const std::vector<std::int64_t> &Sorted, double Part) {
  auto Last = static_cast<double>(Sorted.size() - 1);
  return Sorted[static_cast<std::size_t>(std::llround(Part * Last))];
}

void printRoutes(std::map<std::string, route_row> &Routes) {
  constexpr double Median = 0.5;
  constexpr double Slowest = 0.99;
  constexpr int RouteWidth = 24;
  constexpr int Width = 8;
  auto Print = [](const auto &...Values) {
    ((std::cout << std::setw(Width) << Values), ...);
    std::cout << '\n';
  };
  std::cout << std::left << std::setw(RouteWidth) << "route" << std::right;
  Print("calls", "good", "refused", "4xx", "failed", "cut", "p50", "p99",
        "before", "first", "stream", "rest");
  for (auto &[Route, Row] : Routes) {
    std::sort(Row.TookMs.begin(), Row.TookMs.end());
    auto Sent = static_cast<std::int64_t>(std::max<std::size_t>(Row.Sent, 1));
    std::cout << std::left << std::setw(RouteWidth) << Route << std::right;
    Print(Row.TookMs.size(), Row.Good, Row.Refused, Row.ClientErrors,
          Row.Failed, Row.Cut, percentile(Row.TookMs, Median),
          percentile(Row.TookMs, Slowest), Row.Legs.BeforeSend / Sent,
          Row.Legs.FirstEvent / Sent, Row.Legs.Stream / Sent,
          Row.Legs.Rest / Sent);
  }
}

void printReasons(const summary &Summary) {
  constexpr int Width = 8;
  std::vector<std::pair<std::size_t, std::pair<int, std::string>>> Rows;
  for (const auto &[Reason, Count] : Summary.Reasons)
    Rows.emplace_back(Count, Reason);
  std::sort(Rows.rbegin(), Rows.rend());
  for (const auto &[Count, Reason] : Rows)
    std::cout << std::setw(Width) << Count << std::setw(Width) << Reason.first
              << "  " << Reason.second << '\n';
}

void printLimits(const summary &Summary) {
  if (Summary.Held == 0 && Summary.Denied == 0)
    return;
  auto Calls =
      static_cast<std::int64_t>(std::max<std::size_t>(Summary.Held, 1));
  std::cout << "limits of upstreams: " << Summary.Held << " calls waited "
            << Summary.HeldMs / Calls << " ms on average, " << Summary.Denied
            << " were denied a permit and sent elsewhere or refused\n";
}

} // namespace

int losses(const options &, arguments Rest) {
  summary Summary;
  constexpr std::array<std::string_view, 1> Words = {"call ended"};
  bool Read = readLogs(Rest, Words, [&](const auto &Line) {
    if (textAt(Line, "event") == "call ended")
      addCall(Summary, Line);
  });
  if (!Read)
    return BadInput;
  if (Summary.Routes.empty()) {
    std::cerr << "no call has ended in these lines\n";
    return Failed;
  }
  auto Without = std::count_if(Summary.Programs.begin(), Summary.Programs.end(),
                               [](const auto &Row) { return !Row.second; });
  std::cout << "calls by route; p50, p99 and mean times of each leg in ms\n";
  printRoutes(Summary.Routes);
  std::cout << "\nwhat did not end well, by status (0: broken off)\n";
  printReasons(Summary);
  printLimits(Summary);
  std::cout << '\n'
            << Summary.Programs.size() << " programs, " << Without
            << " without an answered call\n";
  return Good;
}

} // namespace turmerichead::ctl
