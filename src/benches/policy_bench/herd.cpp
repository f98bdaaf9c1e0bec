#include "herd.h"

#include "figures.h"

#include "turmerichead/sched_placement.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <queue>
#include <random>

namespace bench {

namespace sched = turmerichead::sched;

namespace {

constexpr int GroupCount = 4;
constexpr int GroupSlots = 16 * 16;
constexpr int HolderCount = 9;
constexpr double SummaryMs = 1'000; ///< Between summaries, and their age.
constexpr double ServiceMs = 5'000; ///< Mean time of a call.
constexpr double Load = 0.85;
constexpr double WarmUpMs = 30'000;
constexpr double EndMs = 180'000;

using groups = std::vector<sched::group_summary>;
using chooser = std::function<std::size_t(const groups &, std::uint64_t)>;

/// The group that looks least loaded, which all holders see alike.
std::size_t chooseLeast(const groups &Groups, std::uint64_t) {
  auto Least = std::ranges::min_element(
      Groups, {}, [](const auto &Group) { return sched::loadOf(Group); });
  return static_cast<std::size_t>(Least - Groups.begin());
}

std::size_t chooseRandom(const groups &Groups, std::uint64_t Random) {
  return Random % Groups.size();
}

std::size_t chooseOfTwo(const groups &Groups, std::uint64_t Random) {
  return *sched::chooseGroup(Groups, std::nullopt, 1, Random);
}

groups summariesOf(const std::vector<int> &Work) {
  groups Groups;
  for (int I = 0; I < GroupCount; ++I) {
    sched::group_summary Group;
    Group.Group = static_cast<std::uint32_t>(I);
    Group.Slots = GroupSlots;
    Group.InFlight = Work[static_cast<std::size_t>(I)];
    Groups.push_back(Group);
  }
  return Groups;
}

herd_figures measure(const char *Way, const chooser &Choose,
                     std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  double GapMs = ServiceMs / (Load * GroupCount * GroupSlots);
  std::exponential_distribution<double> Gap(1 / GapMs);
  std::exponential_distribution<double> Service(1 / ServiceMs);
  std::vector<int> Work(GroupCount, 0);
  // What holders see was true one period before it was sent.
  groups Sent = summariesOf(Work);
  std::vector<groups> Views(HolderCount, Sent);
  using ending = std::pair<double, std::size_t>;
  std::priority_queue<ending, std::vector<ending>, std::greater<>> Endings;
  std::vector<double> Unevenness;
  double NextSummaryMs = SummaryMs;
  double Calls = 0;
  double QueuedCalls = 0;
  for (double NowMs = 0; NowMs < EndMs; NowMs += Gap(Random)) {
    for (; !Endings.empty() && Endings.top().first <= NowMs; Endings.pop())
      --Work[Endings.top().second];
    if (NowMs >= NextSummaryMs) {
      Views.assign(HolderCount, Sent);
      Sent = summariesOf(Work);
      NextSummaryMs += SummaryMs;
    }
    groups &View = Views[Random() % HolderCount];
    std::size_t Group = Choose(View, Random());
    ++View[Group].SentSince;
    ++Work[Group];
    Endings.emplace(NowMs + Service(Random), Group);
    if (NowMs < WarmUpMs)
      continue;
    ++Calls;
    QueuedCalls += Work[Group] > GroupSlots;
    double Mean = 0;
    for (int Part : Work)
      Mean += static_cast<double>(Part) / GroupCount;
    Unevenness.push_back(std::ranges::max(Work) / Mean);
  }
  return {Way, percentile(Unevenness, 0.95), QueuedCalls / Calls};
}

} // namespace

std::vector<herd_figures> measureHerd(std::uint64_t Seed) {
  return {measure("least loaded", chooseLeast, Seed),
          measure("random", chooseRandom, Seed),
          measure("better of two", chooseOfTwo, Seed)};
}

} // namespace bench
