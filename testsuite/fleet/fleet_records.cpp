// What a fleet has seen: ends of processes and what upstreams have told.

#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace turmerichead::fleet_harness {

using nlohmann::json;

std::int64_t wallMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool process_end::isOwn() const {
  if (OverMemory || Asked == 0)
    return true;
  if (Signal != 0)
    return Signal != Asked;
  return Asked != SIGTERM || Status != 0;
}

std::string process_end::toText() const {
  std::string How = Signal != 0
                        ? "by signal " + std::to_string(Signal)
                        : "with status " + std::to_string(Status.value_or(-1));
  return Name + ", start " + std::to_string(Start) + ", ended " + How +
         " after " + std::to_string(Age.count()) + " ms" +
         (OverMemory   ? ", over its memory"
          : Asked != 0 ? ", sent signal " + std::to_string(Asked)
                       : "");
}

void crash_record::add(const run_line &Line) {
  if (Line.What == "crash")
    Ends.push_back(Line.AtMs);
  if (Line.What == "run")
    Sends.push_back(Line.AtMs);
}

std::ptrdiff_t crash_record::lateSends() const {
  constexpr std::size_t MaxEnds = 3;
  constexpr std::int64_t ContactMs = 3000;
  if (Ends.size() < MaxEnds)
    return 0;
  std::int64_t Third = Ends[MaxEnds - 1];
  return std::count_if(Sends.begin(), Sends.end(),
                       [&](std::int64_t At) { return At > Third + ContactMs; });
}

std::vector<run_line> fleet::runs() const {
  std::vector<run_line> Lines;
  std::ifstream File(Settings.Scratch + "/runs.jsonl");
  for (std::string Text; std::getline(File, Text);) {
    json Line = json::parse(Text, nullptr, false);
    if (!Line.is_object())
      continue;
    Lines.push_back(
        {Line.value("at", std::int64_t(0)), Line.value("upstream", ""),
         Line.value("service", ""), Line.value("what", ""),
         Line.value("attempt", ""), Line.value("crash", ""),
         Line.value("input", ""), Line.value("left_ms", std::int64_t(-1)),
         Line.value("organisation", ""), Line.value("has_key", false)});
  }
  return Lines;
}

} // namespace turmerichead::fleet_harness
