#include "field_pvt.h"

#include "turmerichead/settings.h"

namespace turmerichead {

std::string_view nameOf(value_type Type) {
  switch (Type) {
  case value_type::Text:
    return "text";
  case value_type::Integer:
    return "integer";
  case value_type::Boolean:
    return "boolean";
  case value_type::Duration:
    return "integer";
  case value_type::Endpoint:
    return "ip:port";
  case value_type::TextList:
    return "list of texts";
  }
  return "";
}

namespace pvt {

std::string renderTable(const std::vector<setting_info> &Rows) {
  std::string Result = "| key | type | unit | range | default | meaning |\n"
                       "|---|---|---|---|---|---|\n";
  for (const setting_info &Row : Rows) {
    std::string Default = Row.Required          ? "required"
                          : Row.Default.empty() ? "empty"
                                                : '`' + Row.Default + '`';
    Result += "| `" + Row.Key + "` | " + std::string(nameOf(Row.Type)) + " | " +
              Row.Unit + " | " + Row.Range + " | " + Default + " | " +
              Row.Text + " |\n";
  }
  return Result;
}

} // namespace pvt

std::string renderSettingsPage() {
  return "# Settings\n\n"
         "The settings file of a host is TOML; its path is given by\n"
         "`turmerichead --settings FILE`. `turmericheadctl check FILE` "
         "reports\n"
         "all findings with file, line, column and key, and ends with exit\n"
         "code 2 if there are any. The daemon makes the same check before it\n"
         "starts. A key that is not in this table is a finding.\n\n"
         "This page is written from the table in the code\n"
         "(`turmericheadctl settings --markdown`), and a test holds it "
         "against it.\n\n" +
         pvt::renderTable(settingTable()) +
         "\n`[[peer_route]]` may be given once for each host that is reached\n"
         "through a forwarder. All other keys stand in the table that the\n"
         "part before the dot names.\n\n"
         "Rules that concern two settings: `cluster.suspect_ms` is at least\n"
         "three times `cluster.heartbeat_ms`; `host.listen` and\n"
         "`host.peer_listen` differ.\n";
}

std::string renderSettingsHelp() {
  std::string Result;
  for (const setting_info &Row : settingTable()) {
    Result += "  " + Row.Key + " (" + std::string(nameOf(Row.Type));
    if (!Row.Unit.empty())
      Result += ", " + Row.Unit;
    if (!Row.Range.empty())
      Result += ", " + Row.Range;
    Result += Row.Required
                  ? std::string(", required")
                  : ", default " + (Row.Default.empty() ? std::string("empty")
                                                        : Row.Default);
    Result += ")\n      " + Row.Text + '\n';
  }
  return Result;
}

} // namespace turmerichead
