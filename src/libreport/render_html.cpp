#include "turmerichead/report.h"

#include "wording_pvt.h"

#include <glib.h>

namespace turmerichead {
namespace {

// The page reloads itself. Where that fails silently, an animation replaces
// the verdict after OldAfter, so that a forgotten page does not stay green.
constexpr std::string_view Head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta name="color-scheme" content="light dark">
<meta http-equiv="refresh" content="15">
<title>turmerichead</title>
<style>
:root{--back:#fff;--text:#1a1a1a;--soft:#595959;--line:#ddd;--card:#f6f6f4}
@media(prefers-color-scheme:dark){:root{--back:#141414;--text:#eee;
--soft:#aaa;--line:#3a3a3a;--card:#202020}}
*{box-sizing:border-box}
body{margin:0;padding:12px;background:var(--back);color:var(--text);
font:16px/1.4 system-ui,sans-serif;overflow-wrap:anywhere}
main{max-width:640px;margin:auto}
.top{position:relative;border-radius:10px;padding:14px;color:#fff}
.top h1{margin:0 0 4px;font-size:28px}
.top p{margin:0}
.OK{background:#1b6e3a}.LATE{background:#8a5200}
.BROKEN{background:#a51717}.NOTKNOWN{background:#4f5461}
.old{position:absolute;inset:0;border-radius:10px;padding:14px;
background:#4f5461;visibility:hidden;animation:old 0s 60s forwards}
@keyframes old{to{visibility:visible}}
h2{font-size:17px;margin:18px 0 6px}
section{background:var(--card);border:1px solid var(--line);
border-radius:10px;padding:10px;margin:10px 0}
section h3{margin:0 0 6px;font-size:17px}
dl{display:grid;grid-template-columns:6em 1fr;gap:2px 8px;margin:0}
dt,.soft{color:var(--soft)}
dd{margin:0}
.bad{color:#fff;background:#a51717;border-radius:4px;padding:0 4px}
ul{margin:0;padding-left:18px}
</style></head><body><main>
)";

std::string escaped(std::string_view Text) {
  char *Escaped =
      g_markup_escape_text(Text.data(), static_cast<gssize>(Text.size()));
  std::string Result = Escaped;
  g_free(Escaped);
  return Result;
}

std::string tag(std::string_view Name, std::string_view Text) {
  std::string Element(Name);
  return '<' + Element + '>' + escaped(Text) + "</" + Element + ">\n";
}

std::string soft(std::string_view Text) {
  return "<p class=\"soft\">" + escaped(Text) + "</p>\n";
}

std::string renderTop(const fleet_report &Report) {
  std::string Class(nameOf(Report.Verdict));
  std::erase(Class, ' ');
  std::string Result = "<div class=\"top " + Class + "\">\n";
  Result += tag("h1", nameOf(Report.Verdict));
  Result += tag("p", Report.Reason);
  Result += "<div class=\"old\">" + tag("h1", "NOT KNOWN") +
            tag("p", "This page is more than a minute old. Reload it.") +
            "</div></div>\n";
  Result += soft(pvt::timeText(Report.TakenAtMs) + " by " + Report.TakenBy +
                 "; oldest part " + pvt::lengthText(Report.OldestMs) + " old");
  if (Report.PlatformOutageMs > 0)
    Result += soft("The platform has not answered for " +
                   pvt::lengthText(Report.PlatformOutageMs) + ".");
  return Result;
}

std::string renderHosts(const fleet_report &Report) {
  std::string Items;
  for (const host_line &Host : Report.Hosts)
    if (!Host.Known)
      Items += tag("li", Host.Host + " in " + Host.DataCentre + ": " +
                             pvt::unknownText(Host));
  if (Items.empty())
    return "";
  return tag("h2", "Hosts not known") + "<ul>\n" + Items + "</ul>\n";
}

std::string renderHeard(const fleet_report &Report) {
  if (Report.Hosts.size() > pvt::ShownHosts)
    return "";
  std::string Items;
  for (const host_line &Host : Report.Hosts)
    if (Host.Known)
      Items += tag("li", Host.Host + " in " + Host.DataCentre + ": " +
                             pvt::lengthText(Host.AgeMs) + " ago");
  if (Items.empty())
    return "";
  return tag("h2", "Hosts heard") + "<ul>\n" + Items + "</ul>\n";
}

std::string renderEntry(const entry_report &Row) {
  std::string Result = "<section>\n";
  Result += tag("h3", Row.Entry + " (" + std::string(nameOf(Row.Rank)) + ')');
  Result += "<dl>\n";
  for (const auto &[Label, Figures] : pvt::entryLines(Row)) {
    bool IsBad = Label == "broken" && Row.Total.broken();
    Result += tag("dt", Label);
    Result +=
        IsBad ? "<dd><span class=\"bad\">" + escaped(Figures) + "</span></dd>\n"
              : tag("dd", Figures);
  }
  return Result + "</dl></section>\n";
}

std::string renderEvents(const fleet_report &Report) {
  std::string Result;
  if (!Report.Changes.empty())
    Result += tag("h2", "Changes");
  for (const change_report &Row : Report.Changes)
    Result += "<section>\n" + tag("h3", Row.Entry) + tag("div", Row.What) +
              soft(pvt::changeText(Row)) + "</section>\n";
  if (!Report.InvalidEntries.empty())
    Result += tag("h2", "Do not check, old version in force") +
              tag("p", pvt::joined(Report.InvalidEntries, ", "));
  if (!Report.Repairs.empty())
    Result += tag("h2", "Mended by itself") + "<ul>\n";
  for (const repair_report &Row : Report.Repairs)
    Result += tag("li", Row.What + " (" + pvt::timeText(Row.AtMs) + ", took " +
                            pvt::lengthText(Row.TookMs) + ')');
  if (!Report.Repairs.empty())
    Result += "</ul>\n";
  return Result;
}

} // namespace

std::string renderHtml(const fleet_report &Report) {
  std::string Result(Head);
  Result += renderTop(Report);
  Result += renderHosts(Report);
  Result += tag("h2", "Entries");
  for (const entry_report &Row : Report.Entries)
    Result += renderEntry(Row);
  if (Report.Entries.empty())
    Result += soft("No entry has been used yet.");
  Result += renderEvents(Report);
  Result += renderHeard(Report);
  return Result + "</main></body></html>\n";
}

} // namespace turmerichead
