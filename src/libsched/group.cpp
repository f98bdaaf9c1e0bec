#include "turmerichead/sched_placement.h"

#include <algorithm>
#include <vector>

namespace turmerichead::sched {

double loadOf(const group_summary &Group) {
  if (Group.Slots <= 0)
    return 1e9;
  int Work = Group.InFlight + Group.Queued + Group.SentSince;
  return static_cast<double>(Work) / Group.Slots;
}

namespace {

/// Smallest difference of two loads that is significant in summaries that
/// are one or two seconds old.
constexpr double MinLoadDifference = 0.2;

bool takesWork(const group_summary &Group) {
  return Group.Usable && Group.Slots > 0;
}

std::size_t countUsable(std::span<const group_summary> Groups) {
  return static_cast<std::size_t>(std::ranges::count_if(Groups, takesWork));
}

/// Returns the index of the usable group number \p Nth, counted from 0.
std::size_t nthUsable(std::span<const group_summary> Groups, std::size_t Nth) {
  for (std::size_t I = 0; I < Groups.size(); ++I)
    if (takesWork(Groups[I]) && Nth-- == 0)
      return I;
  return 0;
}

} // namespace

std::optional<std::size_t> chooseGroup(std::span<const group_summary> Groups,
                                       std::optional<std::uint32_t> Current,
                                       double SpillLoad, std::uint64_t Random) {
  std::size_t Usable = countUsable(Groups);
  if (Usable == 0)
    return std::nullopt;
  std::size_t First = Random % Usable;
  // The second draw is uniform over the other groups.
  std::size_t Second = First;
  if (Usable > 1)
    Second = (First + 1 + (Random >> 32) % (Usable - 1)) % Usable;
  std::size_t FirstDraw = nthUsable(Groups, First);
  std::size_t SecondDraw = nthUsable(Groups, Second);
  // A small difference in old summaries is noise. If it decided, all hosts
  // would choose the same group at once (thundering herd).
  bool SecondIsLess = loadOf(Groups[SecondDraw]) + MinLoadDifference <
                      loadOf(Groups[FirstDraw]);
  std::size_t Drawn = SecondIsLess ? SecondDraw : FirstDraw;
  if (!Current)
    return Drawn;
  auto Found = std::ranges::find(Groups, *Current, &group_summary::Group);
  if (Found == Groups.end() || !takesWork(*Found))
    return Drawn;
  auto CurrentIndex = static_cast<std::size_t>(Found - Groups.begin());
  if (loadOf(*Found) <= SpillLoad || loadOf(*Found) <= loadOf(Groups[Drawn]))
    return CurrentIndex;
  return Drawn;
}

} // namespace turmerichead::sched
