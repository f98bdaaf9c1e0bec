#include "turmerichead/report.h"

#include <utility>

namespace turmerichead {

report_recorder::report_recorder(std::string Host, std::string DataCentre,
                                 std::uint64_t Incarnation, time_point Start)
    : Host(std::move(Host)), DataCentre(std::move(DataCentre)),
      Incarnation(Incarnation), Start(Start), WindowStart(Start) {}

void report_recorder::rotate(time_point Now) {
  milliseconds Age = Now - WindowStart;
  if (Age < RecentWindow)
    return;
  bool LongAgo = Age >= 2 * RecentWindow;
  for (auto &[Entry, Row] : Rows) {
    Row.Previous = LongAgo ? entry_counters() : std::move(Row.Current);
    Row.Current = entry_counters();
  }
  WindowStart = LongAgo ? Now : WindowStart + RecentWindow;
}

report_recorder::row &report_recorder::rowOf(std::string_view Entry,
                                             work_rank Rank, time_point Now) {
  rotate(Now);
  auto Found = Rows.find(Entry);
  if (Found == Rows.end())
    Found = Rows.emplace(Entry, row()).first;
  Found->second.Rank = Rank;
  return Found->second;
}

void report_recorder::setRunning(std::string_view Entry, work_rank Rank,
                                 time_point Now, std::uint64_t Running,
                                 std::uint64_t Overdue) {
  row &Row = rowOf(Entry, Rank, Now);
  Row.Running = Running;
  Row.Overdue = Overdue;
}

void report_recorder::setChanges(std::vector<change_report> Latest) {
  Changes = std::move(Latest);
}

void report_recorder::setInvalid(std::vector<std::string> Names) {
  Invalid = std::move(Names);
}

void report_recorder::setPlatformOutage(milliseconds Length) {
  PlatformOutageMs = Length.count();
}

void report_recorder::repaired(std::string What, std::int64_t AtMs,
                               milliseconds Took) {
  Repairs.push_front({std::move(What), AtMs, Took.count()});
  if (Repairs.size() > MaxRepairs)
    Repairs.pop_back();
}

host_report report_recorder::take(time_point Now) {
  rotate(Now);
  host_report Report;
  Report.Host = Host;
  Report.DataCentre = DataCentre;
  Report.Incarnation = Incarnation;
  Report.Sequence = ++Sequence;
  Report.UptimeMs = (Now - Start).count();
  Report.PlatformOutageMs = PlatformOutageMs;
  for (const auto &[Entry, Row] : Rows) {
    entry_report Out;
    Out.Entry = Entry;
    Out.Rank = Row.Rank;
    Out.Running = Row.Running;
    Out.Overdue = Row.Overdue;
    Out.Total = Row.Total;
    Out.Recent = Row.Current;
    Out.Recent.add(Row.Previous);
    Report.Entries.push_back(std::move(Out));
  }
  Report.Changes = Changes;
  Report.Repairs = {Repairs.begin(), Repairs.end()};
  Report.InvalidEntries = Invalid;
  return Report;
}

} // namespace turmerichead
