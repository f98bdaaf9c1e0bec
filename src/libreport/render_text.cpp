#include "turmerichead/report.h"

#include "wording_pvt.h"

namespace turmerichead {
namespace {

constexpr std::size_t Columns = 40;

/// Writes lines of at most Columns bytes. Longer ones are broken at a space,
/// or anywhere if there is none, and go on indented.
class line_writer {
public:
  void line(std::string Text, std::size_t Indent = 0) {
    std::string Margin(Indent, ' ');
    while (Margin.size() + Text.size() > Columns) {
      std::size_t Room = Columns - Margin.size();
      std::size_t Space = Text.rfind(' ', Room);
      bool HasSpace = Space != std::string::npos && Space > 0;
      std::size_t End = HasSpace ? Space : Room;
      Result.append(Margin).append(Text, 0, End).append("\n");
      Text.erase(0, HasSpace ? End + 1 : End);
      Margin.assign(Indent + 2, ' ');
    }
    Result.append(Margin).append(Text).append("\n");
  }

  void heading(const std::string &Text) { line('\n' + Text); }

  std::string Result;
};

void writeEntries(const fleet_report &Report, line_writer &Out) {
  for (const entry_report &Row : Report.Entries) {
    Out.heading(Row.Entry + " (" + std::string(nameOf(Row.Rank)) + ')');
    for (const auto &[Label, Figures] : pvt::entryLines(Row)) {
      std::string Line = Label;
      Out.line(Line.append(": ").append(Figures), 2);
    }
  }
  if (Report.Entries.empty())
    Out.heading("no entry has been used yet");
}

void writeEvents(const fleet_report &Report, line_writer &Out) {
  constexpr std::size_t ShownEvents = 5;
  if (!Report.Changes.empty())
    Out.heading("CHANGES");
  for (std::size_t I = 0; I < Report.Changes.size() && I < ShownEvents; ++I) {
    const change_report &Row = Report.Changes[I];
    Out.line(Row.Entry + ": " + Row.What);
    Out.line(pvt::changeText(Row), 2);
  }
  if (!Report.InvalidEntries.empty()) {
    Out.heading("DO NOT CHECK, OLD VERSION IN FORCE");
    Out.line(pvt::joined(Report.InvalidEntries, ", "), 2);
  }
  if (!Report.Repairs.empty())
    Out.heading("MENDED BY ITSELF");
  for (std::size_t I = 0; I < Report.Repairs.size() && I < ShownEvents; ++I) {
    const repair_report &Row = Report.Repairs[I];
    Out.line(Row.What);
    Out.line(pvt::timeText(Row.AtMs) + ", took " + pvt::lengthText(Row.TookMs),
             2);
  }
}

void writeHosts(const fleet_report &Report, line_writer &Out) {
  bool HasHeading = false;
  for (const host_line &Host : Report.Hosts) {
    if (Host.Known)
      continue;
    if (!HasHeading)
      Out.heading("HOSTS NOT KNOWN");
    HasHeading = true;
    Out.line(Host.Host + " in " + Host.DataCentre + ": " +
                 pvt::unknownText(Host),
             2);
  }
}

// A fleet of today fits a phone whole; of a large one only the hosts that are
// not known are named.
void writeHeard(const fleet_report &Report, line_writer &Out) {
  if (Report.Hosts.size() > pvt::ShownHosts)
    return;
  Out.heading("HOSTS HEARD");
  for (const host_line &Host : Report.Hosts)
    if (Host.Known)
      Out.line(Host.Host + " in " + Host.DataCentre + ": " +
                   pvt::lengthText(Host.AgeMs) + " ago",
               2);
}

} // namespace

std::string renderText(const fleet_report &Report) {
  line_writer Out;
  Out.line(std::string(nameOf(Report.Verdict)) + ": " + Report.Reason);
  Out.line(pvt::timeText(Report.TakenAtMs) + " by " + Report.TakenBy);
  Out.line("oldest part " + pvt::lengthText(Report.OldestMs) + " old");
  if (Report.PlatformOutageMs > 0)
    Out.line("the platform has not answered for " +
             pvt::lengthText(Report.PlatformOutageMs));
  writeHosts(Report, Out);
  writeEntries(Report, Out);
  writeEvents(Report, Out);
  writeHeard(Report, Out);
  return Out.Result;
}

} // namespace turmerichead
