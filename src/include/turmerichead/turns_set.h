/// \file
/// The set of disk hosts that keep turns and budgets, and its quorums.
///
/// A set has 2f+1 members, where f is how many may lose their disks at once.
/// Something is kept once f+1 members have synced it. While a member is being
/// replaced, the set is joint: it has the old members and the new ones, and a
/// write needs a majority of both. Sets are numbered; a member refuses
/// requests that were made under an older set than the one it knows, so no
/// write can miss a change.
///
/// There is no leader and nothing is elected: the platform holds the one
/// current set and changes it by conditional update.
#pragma once

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::turns {

/// A host with a disk. Its address tells it from a successor of its name.
struct disk_host {
  std::string Name;
  std::string Address; ///< "ip:port" of its peer server.
  std::string DataCentre;
  MSGPACK_DEFINE(Name, Address, DataCentre)
  friend bool operator==(const disk_host &, const disk_host &) = default;
};

struct disk_set {
  std::uint64_t Epoch = 0;      ///< 0: no set is known.
  std::uint32_t QuorumSize = 0; ///< f+1
  std::vector<disk_host> Members;
  std::vector<disk_host> Next; ///< Empty unless the set is joint.
  MSGPACK_DEFINE(Epoch, QuorumSize, Members, Next)
  friend bool operator==(const disk_set &, const disk_set &) = default;

  bool isJoint() const { return !Next.empty(); }
  /// Old and new members, each once.
  std::vector<disk_host> allMembers() const;
};

bool hasAddress(std::span<const disk_host> Hosts, std::string_view Address);

namespace pvt {
template <typename Predicate>
bool isMajority(std::span<const disk_host> Hosts, std::uint32_t QuorumSize,
                Predicate Has) {
  auto Count =
      std::count_if(Hosts.begin(), Hosts.end(), [&](const disk_host &Host) {
        return Has(std::string_view(Host.Address));
      });
  return QuorumSize > 0 && Count >= static_cast<std::ptrdiff_t>(QuorumSize);
}
} // namespace pvt

/// Whether a write is kept that the members have for which
/// \p Has(address) is true.
template <typename Predicate>
bool isWriteQuorum(const disk_set &Set, Predicate Has) {
  return pvt::isMajority(Set.Members, Set.QuorumSize, Has) &&
         (!Set.isJoint() || pvt::isMajority(Set.Next, Set.QuorumSize, Has));
}

/// Whether members that have caught up and for which \p Has(address) is true
/// together know every write that was kept.
template <typename Predicate>
bool isReadQuorum(const disk_set &Set, Predicate Has) {
  return pvt::isMajority(Set.Members, Set.QuorumSize, Has);
}

/// What a disk host knows when it decides on a change of the set.
struct set_view {
  disk_set Set;
  std::uint32_t Faults = 0; ///< f
  disk_host Self;
  bool SelfCaughtUp = false;
  std::vector<disk_host> Registered;     ///< All disk hosts, this one too.
  std::vector<std::string> Unresponsive; ///< Addresses, for long enough.
  std::vector<std::string> Retiring;     ///< Names.
};

/// The set that this host should propose now; nullopt if none. The rules:
/// the first set is made once 2f+1 hosts are registered; a host outside the
/// set takes the place of a member that is to retire or has gone silent; it
/// becomes a member once it has caught up; a joint set whose newcomer has
/// gone silent falls back to its old members. A set never shrinks.
std::optional<disk_set> proposeSet(const set_view &View);

} // namespace turmerichead::turns
