#include "turmerichead/report.h"

#include "wording_pvt.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace turmerichead {

std::string_view nameOf(fleet_verdict Verdict) {
  switch (Verdict) {
  case fleet_verdict::Broken:
    return "BROKEN";
  case fleet_verdict::NotKnown:
    return "NOT KNOWN";
  case fleet_verdict::Late:
    return "LATE";
  case fleet_verdict::Ok:
    return "OK";
  }
  return "";
}

void report_board::receive(host_report Report, time_point Now) {
  auto Position = [](const host_report &Of) {
    return std::tuple(Of.Incarnation, Of.Sequence);
  };
  auto [Found, IsNew] = Rows.try_emplace(Report.Host);
  row &Row = Found->second;
  if (!IsNew && Position(Report) <= Position(Row.Report))
    return;
  if (!IsNew && Report.Incarnation != Row.Report.Incarnation)
    for (const entry_report &Old : Row.Report.Entries) {
      entry_report &Kept = Row.Earlier[Old.Entry];
      Kept.Rank = Old.Rank;
      Kept.Total.add(Old.Total);
    }
  Row.Report = std::move(Report);
  Row.ReceivedAt = Now;
}

/// Builds one fleet report from the rows of the board.
class report_board::merge {
public:
  merge(fleet_report &Out, std::int64_t MaxAgeMs)
      : Out(Out), MaxAgeMs(MaxAgeMs) {}

  void addExpected(const expected_host &Host, const row *Row, time_point Now) {
    host_line Line{Host.Host, Host.DataCentre, false, -1};
    if (Row) {
      Line.AgeMs = Row->ageMs(Now);
      Line.Known = Line.AgeMs <= MaxAgeMs;
    }
    Out.Hosts.push_back(Line);
    if (!Row)
      return;
    if (Line.Known) {
      Out.OldestMs = std::max(Out.OldestMs, Line.AgeMs);
      Out.PlatformOutageMs =
          std::max(Out.PlatformOutageMs, Row->Report.PlatformOutageMs);
      Invalid.insert(Row->Report.InvalidEntries.begin(),
                     Row->Report.InvalidEntries.end());
    }
    addCounters(*Row, Line.Known);
    addEvents(Row->Report);
  }

  /// A host that is expected no more still tells of broken promises.
  void addFormer(const row &Row) { addCounters(Row, false); }

  void finish() {
    for (auto &[Entry, Row] : Entries)
      Out.Entries.push_back(std::move(Row));
    std::stable_sort(Out.Entries.begin(), Out.Entries.end(),
                     [](const entry_report &Left, const entry_report &Right) {
                       return Left.Rank < Right.Rank;
                     });
    for (auto &[Key, Row] : Changes)
      Out.Changes.push_back(std::move(Row));
    keepNewest(Out.Changes, [](const change_report &Row) {
      return std::tuple(Row.AppliedAtMs, Row.Version);
    });
    keepNewest(Out.Repairs, [](const repair_report &Row) { return Row.AtMs; });
    Out.InvalidEntries = {Invalid.begin(), Invalid.end()};
  }

private:
  static constexpr std::size_t MaxEvents = 16;

  template <typename List, typename Order>
  static void keepNewest(List &Rows, Order &&OrderOf) {
    std::sort(Rows.begin(), Rows.end(),
              [&OrderOf](const auto &Left, const auto &Right) {
                return OrderOf(Left) > OrderOf(Right);
              });
    if (Rows.size() > MaxEvents)
      Rows.resize(MaxEvents);
  }

  entry_report &entryOf(const entry_report &Row) {
    entry_report &Result = Entries[Row.Entry];
    Result.Entry = Row.Entry;
    Result.Rank = Row.Rank;
    return Result;
  }

  void addCounters(const row &Row, bool Known) {
    for (const entry_report &Entry : Row.Report.Entries) {
      entry_report &Sum = entryOf(Entry);
      Sum.Total.add(Entry.Total);
      if (!Known)
        continue; // What an old report says of "now" is not known.
      Sum.Running += Entry.Running;
      Sum.Overdue += Entry.Overdue;
      Sum.Recent.add(Entry.Recent);
    }
    for (const auto &[Name, Earlier] : Row.Earlier) {
      entry_report Named = Earlier;
      Named.Entry = Name;
      entryOf(Named).Total.add(Earlier.Total);
    }
  }

  void addEvents(const host_report &Report) {
    for (const change_report &Row : Report.Changes) {
      auto [Found, IsNew] =
          Changes.emplace(std::tuple(Row.Entry, Row.Version), Row);
      change_report &Kept = Found->second;
      if (IsNew)
        continue;
      Kept.AppliedAtMs = std::min(Kept.AppliedAtMs, Row.AppliedAtMs);
      bool Sooner =
          Row.EverywhereAtMs != 0 && (Kept.EverywhereAtMs == 0 ||
                                      Row.EverywhereAtMs < Kept.EverywhereAtMs);
      if (Sooner)
        Kept.EverywhereAtMs = Row.EverywhereAtMs;
    }
    Out.Repairs.insert(Out.Repairs.end(), Report.Repairs.begin(),
                       Report.Repairs.end());
  }

  fleet_report &Out;
  std::int64_t MaxAgeMs;
  std::map<std::string, entry_report> Entries;
  std::map<std::tuple<std::string, std::uint64_t>, change_report> Changes;
  std::set<std::string> Invalid;
};

namespace {

std::string brokenReason(const fleet_report &Report) {
  entry_counters Sum;
  for (const entry_report &Row : Report.Entries)
    Sum.add(Row.Total);
  std::vector<std::string> Parts;
  const auto Add = [&Parts](std::uint64_t Count, std::string_view What) {
    if (Count > 0)
      Parts.push_back(std::to_string(Count) + ' ' + std::string(What));
  };
  Add(Sum.AnswersLost, "answers lost");
  Add(Sum.AnswersDoubled, "answers doubled");
  Add(Sum.AnswersMisdirected, "answers misdirected");
  Add(Sum.OutOfOrder, "calls out of order");
  return pvt::joined(Parts, ", ");
}

/// Hosts not known; whole data centres by their name.
std::string unknownReason(const fleet_report &Report) {
  if (Report.Hosts.empty())
    return "no host is known";
  std::map<std::string, std::vector<std::string>> Unknown;
  std::set<std::string> Heard;
  for (const host_line &Host : Report.Hosts)
    if (Host.Known)
      Heard.insert(Host.DataCentre);
    else
      Unknown[Host.DataCentre].push_back(Host.Host);
  std::vector<std::string> Parts;
  for (const auto &[Centre, Hosts] : Unknown) {
    if (!Heard.contains(Centre))
      Parts.push_back("data centre " + Centre);
    else
      Parts.push_back(pvt::joined(Hosts, ", "));
  }
  return Parts.empty() ? "" : "not heard from: " + pvt::joined(Parts, ", ");
}

std::string lateReason(const fleet_report &Report, std::int64_t InTimePercent) {
  constexpr std::int64_t InForceWithinMs = 30'000;
  std::vector<std::string> Parts;
  for (const entry_report &Row : Report.Entries) {
    const entry_counters &Recent = Row.Recent;
    auto Needed = static_cast<std::uint64_t>(InTimePercent);
    if (Row.Overdue > 0)
      Parts.push_back(Row.Entry + ": " + std::to_string(Row.Overdue) +
                      " overdue");
    else if (Recent.FinishedInTime * 100 < Needed * Recent.ProgramsFinished)
      Parts.push_back(Row.Entry + ": " + std::to_string(Recent.FinishedInTime) +
                      " of " + std::to_string(Recent.ProgramsFinished) +
                      " in time");
  }
  for (const change_report &Row : Report.Changes)
    if (Row.EverywhereAtMs == 0 &&
        Report.TakenAtMs - Row.AppliedAtMs > InForceWithinMs)
      Parts.push_back("change of " + Row.Entry + " not in force everywhere");
  return pvt::joined(Parts, ", ");
}

void judge(fleet_report &Report, std::int64_t InTimePercent) {
  std::string Broken = brokenReason(Report);
  std::string Unknown = unknownReason(Report);
  std::string Late = lateReason(Report, InTimePercent);
  Report.Verdict = !Broken.empty()    ? fleet_verdict::Broken
                   : !Unknown.empty() ? fleet_verdict::NotKnown
                   : !Late.empty()    ? fleet_verdict::Late
                                      : fleet_verdict::Ok;
  std::vector<std::string> Parts;
  for (std::string &Part :
       {std::ref(Broken), std::ref(Unknown), std::ref(Late)})
    if (!Part.empty())
      Parts.push_back(std::move(Part));
  if (Parts.empty())
    Parts.push_back("all " + std::to_string(Report.Hosts.size()) +
                    " hosts heard, none late, no answer lost");
  Report.Reason = pvt::joined(Parts, "; ");
}

} // namespace

fleet_report report_board::build(std::span<const expected_host> Expected,
                                 std::string_view TakenBy, time_point Now,
                                 std::int64_t WallNowMs, milliseconds MaxAge,
                                 std::int64_t InTimePercent) const {
  fleet_report Result;
  Result.TakenAtMs = WallNowMs;
  Result.TakenBy = TakenBy;
  merge Merge(Result, MaxAge.count());
  std::set<std::string_view> Names;
  for (const expected_host &Host : Expected) {
    Names.insert(Host.Host);
    auto Found = Rows.find(Host.Host);
    Merge.addExpected(Host, Found == Rows.end() ? nullptr : &Found->second,
                      Now);
  }
  for (const auto &[Host, Row] : Rows)
    if (!Names.contains(Host))
      Merge.addFormer(Row);
  Merge.finish();
  judge(Result, InTimePercent);
  return Result;
}

} // namespace turmerichead
