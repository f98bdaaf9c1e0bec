// The report of a run: a picture of faults and throughput, and a table.

#include "soak.h"

#include <algorithm>
#include <map>

namespace turmerichead::soak {

namespace {

constexpr int Width = 1000;
constexpr int Left = 190;
constexpr int RowHeight = 12;
constexpr int CurveHeight = 120;

class picture {
public:
  picture(std::ofstream &Out, std::int64_t EndMs) : Out(Out), EndMs(EndMs) {}

  double x(std::int64_t Ms) const {
    return Left + static_cast<double>(Ms) * (Width - Left) /
                      static_cast<double>(EndMs);
  }
  void bar(const fault &Fault, int Row) {
    int Y = Row * RowHeight;
    Out << "<rect x='" << x(Fault.AtMs) << "' y='" << Y << "' width='"
        << std::max(2.0, x(Fault.AtMs + Fault.ForMs) - x(Fault.AtMs))
        << "' height='9' fill='#c55'/><text x='2' y='" << Y + 9 << "'>"
        << nameOf(Fault.Kind) << "</text>\n";
  }
  void curve(const std::map<std::int64_t, slice> &Slices, int Top, int Most,
             const char *Colour, int slice::*Part) {
    Out << "<polyline fill='none' stroke='" << Colour << "' points='";
    for (const auto &[Number, Slice] : Slices)
      Out << x(Number * oracle::SliceTime.count()) << ','
          << Top + CurveHeight - CurveHeight * Slice.*Part / Most << ' ';
    Out << "'/>\n";
  }

private:
  std::ofstream &Out;
  std::int64_t EndMs;
};

void writePicture(std::ofstream &Out, const soak_run &Run) {
  const auto &Slices = Run.seen().slices();
  if (Slices.empty())
    return;
  int Most = 1;
  for (const auto &[Number, Slice] : Slices)
    Most = std::max(Most, Slice.total());
  int Top = static_cast<int>(Run.plan().size() + 1) * RowHeight;
  Out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << Width
      << "' height='" << Top + CurveHeight + RowHeight
      << "' font-family='sans-serif' font-size='9'>\n";
  picture Picture(Out,
                  (Slices.rbegin()->first + 1) * oracle::SliceTime.count());
  for (std::size_t I = 0; I < Run.plan().size(); ++I)
    Picture.bar(Run.plan()[I], static_cast<int>(I));
  Picture.curve(Slices, Top, Most, "#292", &slice::Answered);
  Picture.curve(Slices, Top, Most, "#c90", &slice::Refused);
  Picture.curve(Slices, Top, Most, "#c22", &slice::Broken);
  Out << "<text x='2' y='" << Top + RowHeight
      << "'>answered, refused, broken; most in a slice: " << Most
      << "</text></svg>\n";
}

void writeTable(std::ofstream &Out, const soak_run &Run) {
  std::map<std::string, std::vector<recovery>> ByKind;
  for (const recovery &Row : Run.recoveries())
    ByKind[nameOf(Row.Fault.Kind)].push_back(Row);
  Out << "<table border='1'><tr><th>fault</th><th>times</th><th>slowest "
         "recovery, ms (faults overlap)</th></tr>\n";
  for (const auto &[Kind, Rows] : ByKind) {
    milliseconds Slowest{0};
    bool All = true;
    for (const recovery &Row : Rows) {
      All = All && Row.After;
      Slowest = std::max(Slowest, Row.After.value_or(milliseconds(0)));
    }
    Out << "<tr><td>" << Kind << "</td><td>" << Rows.size() << "</td><td>"
        << (All ? std::to_string(Slowest.count()) : "not within the run")
        << "</td></tr>\n";
  }
  Out << "</table>\n<ul>\n";
  for (const violation &Row : Run.seen().violations())
    Out << "<li>" << Row.Rule << ": " << Row.Text << "</li>\n";
  Out << "</ul>\n";
}

} // namespace

bool writeReport(const std::string &File, const soak_run &Run,
                 const soak_settings &Settings) {
  std::ofstream Out(File);
  Out << "<html><body><h1>Soak, seed " << Settings.Plan.Seed << "</h1>\n";
  writePicture(Out, Run);
  writeTable(Out, Run);
  Out << "</body></html>\n";
  return static_cast<bool>(Out.flush());
}

} // namespace turmerichead::soak
