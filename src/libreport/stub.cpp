#include "turmerichead/report.h"
#include <nlohmann/json.hpp>
namespace turmerichead {
report_recorder::report_recorder(std::string H, std::string D, std::uint64_t I,
                                 time_point S)
    : Host(H), DataCentre(D), Incarnation(I), Start(S) {}
report_recorder::row &report_recorder::rowOf(std::string_view E, work_rank R,
                                             time_point) {
  row &X = Rows[std::string(E)];
  X.Rank = R;
  return X;
}
void report_recorder::setRunning(std::string_view, work_rank, time_point,
                                 std::uint64_t, std::uint64_t) {}
void report_recorder::setChanges(std::vector<change_report>) {}
void report_recorder::setInvalid(std::vector<std::string>) {}
void report_recorder::setPlatformOutage(milliseconds) {}
void report_recorder::repaired(std::string, std::int64_t, milliseconds) {}
host_report report_recorder::take(time_point) { return {}; }
nlohmann::json toJson(const host_report &) { return {}; }
std::optional<host_report> hostReportFromJson(const nlohmann::json &) {
  return std::nullopt;
}
void report_board::receive(host_report, time_point) {}
fleet_report report_board::build(std::span<const expected_host>,
                                 std::string_view, time_point, std::int64_t,
                                 milliseconds, std::int64_t) const {
  return {};
}
std::string renderText(const fleet_report &) { return ""; }
nlohmann::json toJson(const fleet_report &) { return {}; }
std::string renderHtml(const fleet_report &) { return ""; }
} // namespace turmerichead
