#include "turmerichead/cluster_map.h"

#include "assignment_pvt.h"

#include <algorithm>

namespace turmerichead::cluster {
namespace {

/// Returns the groups in descending order of their weight for \p Runner.
std::vector<std::size_t> groupsByWeight(std::span<const runner_group> Groups,
                                        std::string_view Runner) {
  std::vector<std::pair<std::uint64_t, std::size_t>> Weighted;
  for (std::size_t I = 0; I < Groups.size(); ++I)
    Weighted.emplace_back(pvt::rendezvousWeight(Groups[I].Id, Runner), I);
  std::sort(Weighted.rbegin(), Weighted.rend());
  std::vector<std::size_t> Result;
  Result.reserve(Weighted.size());
  for (const auto &[Weight, Group] : Weighted)
    Result.push_back(Group);
  return Result;
}

} // namespace

std::vector<runner_group> groupRunners(std::string_view Model,
                                       std::span<const std::string> Runners,
                                       std::size_t GroupSize) {
  std::vector<runner_group> Groups;
  if (Runners.empty() || GroupSize == 0)
    return Groups;
  std::size_t Count = (Runners.size() + GroupSize - 1) / GroupSize;
  std::size_t Room = (Runners.size() + Count - 1) / Count;
  for (std::size_t I = 0; I < Count; ++I)
    Groups.push_back({std::string(Model) + '#' + std::to_string(I), {}});

  std::vector<std::string> Sorted(Runners.begin(), Runners.end());
  std::sort(Sorted.begin(), Sorted.end());
  for (const std::string &Runner : Sorted)
    for (std::size_t Group : groupsByWeight(Groups, Runner))
      if (Groups[Group].Runners.size() < Room) {
        Groups[Group].Runners.push_back(Runner);
        break;
      }
  return Groups;
}

std::string gateHost(const shard_map &Map, std::string_view Group,
                     std::span<const std::string> Suspected) {
  std::string Result;
  std::uint64_t Best = 0;
  for (const host_record &Host : Map.Hosts) {
    bool Usable = Host.State == host_state::Live &&
                  std::find(Suspected.begin(), Suspected.end(), Host.Id) ==
                      Suspected.end();
    std::uint64_t Weight = pvt::rendezvousWeight(Group, Host.Id);
    if (Usable && (Result.empty() || Weight > Best)) {
      Best = Weight;
      Result = Host.Id;
    }
  }
  return Result;
}

} // namespace turmerichead::cluster
