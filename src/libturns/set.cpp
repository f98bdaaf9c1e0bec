#include "turmerichead/turns_set.h"

namespace turmerichead::turns {

namespace {

/// Epochs that a restored set skips at least. A set that no quorum knows is
/// seldom followed by another one.
constexpr std::uint64_t SkippedEpochs = 1U << 20U;

bool contains(std::span<const std::string> Texts, std::string_view Text) {
  return std::find(Texts.begin(), Texts.end(), Text) != Texts.end();
}

// The set that follows \p Set, with the next epoch.
disk_set nextSet(const disk_set &Set, std::vector<disk_host> Members,
                 std::vector<disk_host> Next) {
  return {Set.Epoch + 1, Set.QuorumSize, std::move(Members), std::move(Next)};
}

// Chooses hosts in different data centres as far as possible, in order of name.
std::vector<disk_host> chooseMembers(std::vector<disk_host> Hosts,
                                     std::size_t Wanted) {
  std::sort(Hosts.begin(), Hosts.end(),
            [](const disk_host &Left, const disk_host &Right) {
              return Left.Name < Right.Name;
            });
  std::vector<disk_host> Chosen;
  auto AddHosts = [&](bool OnlyNewDataCentres) {
    for (const disk_host &Host : Hosts) {
      bool Used = std::any_of(Chosen.begin(), Chosen.end(),
                              [&](const disk_host &Other) {
                                return Other.DataCentre == Host.DataCentre;
                              });
      if (Chosen.size() < Wanted && !hasAddress(Chosen, Host.Address) &&
          !(OnlyNewDataCentres && Used))
        Chosen.push_back(Host);
    }
  };
  AddHosts(true);
  AddHosts(false);
  return Chosen;
}

std::optional<disk_set> initialSet(const set_view &View) {
  std::size_t Wanted = 2 * static_cast<std::size_t>(View.Faults) + 1;
  if (View.Registered.size() < Wanted || !View.IsRegisteredSettled)
    return std::nullopt;
  return disk_set{
      1, View.Faults + 1, chooseMembers(View.Registered, Wanted), {}};
}

// The new member of a joint set that is not an old member; nullptr if none.
const disk_host *joiningHostOf(const disk_set &Set) {
  for (const disk_host &Host : Set.Next)
    if (!hasAddress(Set.Members, Host.Address))
      return &Host;
  return nullptr;
}

std::optional<disk_set> changeJointSet(const set_view &View) {
  const disk_host *JoiningHost = joiningHostOf(View.Set);
  if (!JoiningHost)
    return nextSet(View.Set, View.Set.Next, {});
  if (JoiningHost->Address == View.Self.Address) {
    if (View.SelfCaughtUp)
      return nextSet(View.Set, View.Set.Next, {});
    return std::nullopt;
  }
  if (contains(View.Unresponsive, JoiningHost->Address))
    return nextSet(View.Set, View.Set.Members, {});
  return std::nullopt;
}

// The member that a host outside the set should replace; nullptr if none.
const disk_host *memberToReplace(const set_view &View) {
  auto Find = [&](auto Matches) -> const disk_host * {
    auto At =
        std::find_if(View.Set.Members.begin(), View.Set.Members.end(), Matches);
    return At == View.Set.Members.end() ? nullptr : &*At;
  };
  const disk_host *Unresponsive = Find([&](const disk_host &Host) {
    return contains(View.Unresponsive, Host.Address);
  });
  if (Unresponsive)
    return Unresponsive;
  auto IsRetiring = [&](const disk_host &Host) {
    return contains(View.Retiring, Host.Name);
  };
  bool MayBeLost = Find([&](const disk_host &Host) {
    return contains(View.Unheard, Host.Address) && !IsRetiring(Host);
  });
  return MayBeLost ? nullptr : Find(IsRetiring);
}

} // namespace

std::vector<disk_host> disk_set::allMembers() const {
  std::vector<disk_host> All = Members;
  for (const disk_host &Host : Next)
    if (!hasAddress(All, Host.Address))
      All.push_back(Host);
  return All;
}

bool hasAddress(std::span<const disk_host> Hosts, std::string_view Address) {
  return std::any_of(Hosts.begin(), Hosts.end(), [&](const disk_host &Host) {
    return Host.Address == Address;
  });
}

std::optional<disk_set> proposeSet(const set_view &View) {
  if (View.Set.Epoch == 0)
    return initialSet(View);
  if (View.Set.isJoint())
    return changeJointSet(View);
  if (hasAddress(View.Set.Members, View.Self.Address) ||
      contains(View.Retiring, View.Self.Name))
    return std::nullopt;
  const disk_host *Replaced = memberToReplace(View);
  if (!Replaced)
    return std::nullopt;
  std::vector<disk_host> Next = View.Set.Members;
  for (disk_host &Host : Next)
    if (Host.Address == Replaced->Address)
      Host = View.Self;
  return nextSet(View.Set, View.Set.Members, std::move(Next));
}

disk_set restoredSet(const disk_set &Set, std::uint32_t Random) {
  disk_set Restored = Set;
  Restored.Epoch += SkippedEpochs + Random % SkippedEpochs;
  return Restored;
}

} // namespace turmerichead::turns
