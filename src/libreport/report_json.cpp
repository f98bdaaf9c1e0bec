#include "turmerichead/report.h"

#include "turmerichead/error.h"

#include <nlohmann/json.hpp>

#include <array>

namespace turmerichead {
namespace {

using nlohmann::json;

struct counter_field {
  const char *Key;
  std::uint64_t entry_counters::*Member;
};

constexpr std::array CounterFields = {
    counter_field{"programs_accepted", &entry_counters::ProgramsAccepted},
    counter_field{"programs_refused", &entry_counters::ProgramsRefused},
    counter_field{"programs_finished", &entry_counters::ProgramsFinished},
    counter_field{"finished_in_time", &entry_counters::FinishedInTime},
    counter_field{"over_limit", &entry_counters::OverLimit},
    counter_field{"calls_answered", &entry_counters::CallsAnswered},
    counter_field{"calls_failed", &entry_counters::CallsFailed},
    counter_field{"outcome_unknown", &entry_counters::OutcomeUnknown},
    counter_field{"answers_lost", &entry_counters::AnswersLost},
    counter_field{"answers_doubled", &entry_counters::AnswersDoubled},
    counter_field{"answers_misdirected", &entry_counters::AnswersMisdirected},
    counter_field{"out_of_order", &entry_counters::OutOfOrder},
};

// Counters that are zero are left out, which keeps reports of many entries
// small.
json countersToJson(const entry_counters &Counters) {
  json Result = json::object();
  for (const counter_field &Field : CounterFields)
    if (Counters.*Field.Member != 0)
      Result[Field.Key] = Counters.*Field.Member;
  if (!Counters.RefusedBy.empty())
    Result["refused_by"] = Counters.RefusedBy;
  return Result;
}

/// The readers below throw the library's exception on a wrong type;
/// hostReportFromJson() catches it.
std::uint64_t countOf(const json &Value) {
  if (!Value.is_number_unsigned())
    throw json::type_error::create(302, "not a count", &Value);
  return Value;
}

entry_counters countersFromJson(const json &Value) {
  entry_counters Result;
  for (const counter_field &Field : CounterFields)
    if (auto Found = Value.find(Field.Key); Found != Value.end())
      Result.*Field.Member = countOf(*Found);
  if (auto Found = Value.find("refused_by"); Found != Value.end())
    for (const auto &[Reason, Count] : Found->items())
      Result.RefusedBy[Reason] = countOf(Count);
  return Result;
}

json entryToJson(const entry_report &Row) {
  return {{"entry", Row.Entry},
          {"rank", nameOf(Row.Rank)},
          {"running", Row.Running},
          {"overdue", Row.Overdue},
          {"recent", countersToJson(Row.Recent)},
          {"total", countersToJson(Row.Total)}};
}

entry_report entryFromJson(const json &Value) {
  entry_report Row;
  Value.at("entry").get_to(Row.Entry);
  Row.Rank =
      Value.at("rank") == "urgent" ? work_rank::Urgent : work_rank::Ordinary;
  Row.Running = countOf(Value.at("running"));
  Row.Overdue = countOf(Value.at("overdue"));
  Row.Recent = countersFromJson(Value.at("recent"));
  Row.Total = countersFromJson(Value.at("total"));
  return Row;
}

json changeToJson(const change_report &Row) {
  return {{"entry", Row.Entry},
          {"version", Row.Version},
          {"who", Row.Who},
          {"what", Row.What},
          {"applied_at_ms", Row.AppliedAtMs},
          {"everywhere_at_ms", Row.EverywhereAtMs}};
}

change_report changeFromJson(const json &Value) {
  change_report Row;
  Value.at("entry").get_to(Row.Entry);
  Row.Version = countOf(Value.at("version"));
  Value.at("who").get_to(Row.Who);
  Value.at("what").get_to(Row.What);
  Value.at("applied_at_ms").get_to(Row.AppliedAtMs);
  Value.at("everywhere_at_ms").get_to(Row.EverywhereAtMs);
  return Row;
}

json repairToJson(const repair_report &Row) {
  return {{"what", Row.What}, {"at_ms", Row.AtMs}, {"took_ms", Row.TookMs}};
}

repair_report repairFromJson(const json &Value) {
  repair_report Row;
  Value.at("what").get_to(Row.What);
  Value.at("at_ms").get_to(Row.AtMs);
  Value.at("took_ms").get_to(Row.TookMs);
  return Row;
}

template <typename Row, typename Writer>
json listToJson(const std::vector<Row> &Rows, Writer &&Write) {
  json Result = json::array();
  for (const Row &Value : Rows)
    Result.push_back(Write(Value));
  return Result;
}

template <typename Row, typename Reader>
std::vector<Row> listFromJson(const json &Values, Reader &&Read) {
  std::vector<Row> Result;
  for (const json &Value : Values)
    Result.push_back(Read(Value));
  return Result;
}

host_report readReport(const json &Value) {
  host_report Report;
  Value.at("host").get_to(Report.Host);
  Value.at("data_centre").get_to(Report.DataCentre);
  Report.Incarnation = countOf(Value.at("incarnation"));
  Report.Sequence = countOf(Value.at("sequence"));
  // An age below zero would make old data look new.
  Report.AgeMs = static_cast<std::int64_t>(countOf(Value.at("age_ms")));
  Value.at("uptime_ms").get_to(Report.UptimeMs);
  Value.at("platform_outage_ms").get_to(Report.PlatformOutageMs);
  Report.Entries =
      listFromJson<entry_report>(Value.at("entries"), entryFromJson);
  Report.Changes =
      listFromJson<change_report>(Value.at("changes"), changeFromJson);
  Report.Repairs =
      listFromJson<repair_report>(Value.at("repairs"), repairFromJson);
  Value.at("invalid_entries").get_to(Report.InvalidEntries);
  return Report;
}

} // namespace

json toJson(const host_report &Report) {
  return {{"host", Report.Host},
          {"data_centre", Report.DataCentre},
          {"incarnation", Report.Incarnation},
          {"sequence", Report.Sequence},
          {"age_ms", Report.AgeMs},
          {"uptime_ms", Report.UptimeMs},
          {"platform_outage_ms", Report.PlatformOutageMs},
          {"entries", listToJson(Report.Entries, entryToJson)},
          {"changes", listToJson(Report.Changes, changeToJson)},
          {"repairs", listToJson(Report.Repairs, repairToJson)},
          {"invalid_entries", Report.InvalidEntries}};
}

std::optional<host_report> hostReportFromJson(const json &Value) {
  try {
    return readReport(Value);
  } catch (const json::exception &) {
    return fail(error_code::Corrupt, "a host's report does not decode");
  }
}

json toJson(const fleet_report &Report) {
  const auto HostToJson = [](const host_line &Row) -> json {
    return {{"host", Row.Host},
            {"data_centre", Row.DataCentre},
            {"known", Row.Known},
            {"age_ms", Row.AgeMs}};
  };
  return {{"verdict", nameOf(Report.Verdict)},
          {"reason", Report.Reason},
          {"taken_at_ms", Report.TakenAtMs},
          {"taken_by", Report.TakenBy},
          {"oldest_ms", Report.OldestMs},
          {"platform_outage_ms", Report.PlatformOutageMs},
          {"hosts", listToJson(Report.Hosts, HostToJson)},
          {"entries", listToJson(Report.Entries, entryToJson)},
          {"changes", listToJson(Report.Changes, changeToJson)},
          {"repairs", listToJson(Report.Repairs, repairToJson)},
          {"invalid_entries", Report.InvalidEntries}};
}

} // namespace turmerichead
