#include "turmerichead/cluster_config.h"

namespace turmerichead {

void force_tracker::applied(std::string_view Name, resource_version Version,
                            std::uint64_t RootAfter, std::int64_t NowMs) {
  row Row;
  Row.Progress.Name = Name;
  Row.Progress.Version = Version;
  Row.Progress.AppliedAtMs = NowMs;
  Row.RootAfter = RootAfter;
  Rows.push_front(std::move(Row));
  if (Rows.size() > MaxChanges)
    Rows.pop_back();
}

void force_tracker::applied(const config_change &Change,
                            std::uint64_t RootAfter) {
  applied(Change.Name, Change.Version, RootAfter, Change.AppliedAtMs);
  Rows.front().Progress.Who = Change.Who;
  Rows.front().Progress.What = summaryOf(Change);
}

void force_tracker::heard(std::string_view Host, std::uint64_t Root,
                          std::uint64_t OwnRoot) {
  // Versions in the store only increase, so a host whose hash matches a later
  // state also has the earlier changes.
  bool Has = Root == OwnRoot;
  for (row &Row : Rows) {
    Has = Has || Row.RootAfter == Root;
    if (Has && Row.Progress.EverywhereAtMs == 0)
      Row.Confirmed.emplace(Host);
  }
}

std::vector<force_tracker::progress>
force_tracker::settle(std::span<const std::string> Hosts, std::int64_t NowMs) {
  std::vector<progress> Result;
  for (row &Row : Rows) {
    progress &Progress = Row.Progress;
    if (Progress.EverywhereAtMs != 0)
      continue;
    Progress.Missing.clear();
    for (const std::string &Host : Hosts)
      if (!Row.Confirmed.contains(Host))
        Progress.Missing.push_back(Host);
    if (!Progress.Missing.empty())
      continue;
    Progress.EverywhereAtMs = NowMs;
    Row.Confirmed.clear();
    Result.push_back(Progress);
  }
  return Result;
}

std::vector<force_tracker::progress> force_tracker::latest() const {
  std::vector<progress> Result;
  Result.reserve(Rows.size());
  for (const row &Row : Rows)
    Result.push_back(Row.Progress);
  return Result;
}

} // namespace turmerichead
