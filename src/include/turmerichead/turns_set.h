/// \file
/// The set of disk hosts that store turns and budgets, and its quorums.
///
/// A set has 2f+1 members, where f is the number of members that may lose
/// their disks at the same time. A write is committed once f+1 members have
/// synced it. While a member is being replaced, the set is joint (joint
/// consensus): it has the old and the new members, and a write needs a majority
/// of both. Each set has an epoch. A member refuses requests that were made
/// under an older epoch than its own, so that no write misses a change of the
/// set.
///
/// There is no leader election: the platform stores the current set, and hosts
/// change it there by conditional update.
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

/// A host with a disk. Its identity is the address: a later host may reuse the
/// name.
struct disk_host {
  std::string Name;
  std::string Address; ///< "ip:port" of its peer server.
  std::string DataCentre;
  MSGPACK_DEFINE(Name, Address, DataCentre)
  friend bool operator==(const disk_host &, const disk_host &) = default;
};

/// The members of the set and the quorum that a write needs.
struct disk_set {
  std::uint64_t Epoch = 0; ///< Increases with each change; 0: no set is known.
  std::uint32_t QuorumSize = 0;   ///< f+1 members.
  std::vector<disk_host> Members; ///< The old members if the set is joint.
  std::vector<disk_host> Next;    ///< The new members; empty unless joint.
  MSGPACK_DEFINE(Epoch, QuorumSize, Members, Next)
  friend bool operator==(const disk_set &, const disk_set &) = default;

  bool isJoint() const { return !Next.empty(); }
  /// Returns the old and new members without duplicates.
  std::vector<disk_host> allMembers() const;
};

/// What the platform holds as the disk set.
struct platform_set {
  std::uint64_t Epoch = 0;    ///< 0: there is none, or it can't be decoded.
  std::uint64_t Revision = 0; ///< Of the object; 0: there is none.
  friend bool operator==(const platform_set &, const platform_set &) = default;
};

/// Whether one of \p Hosts has \p Address.
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

/// Whether a write is committed if it is on the disks of the members for which
/// \p Has(address) is true.
template <typename Predicate>
bool isWriteQuorum(const disk_set &Set, Predicate Has) {
  return pvt::isMajority(Set.Members, Set.QuorumSize, Has) &&
         (!Set.isJoint() || pvt::isMajority(Set.Next, Set.QuorumSize, Has));
}

/// Whether the members for which \p Has(address) is true together know every
/// committed write. All of them must have caught up.
template <typename Predicate>
bool isReadQuorum(const disk_set &Set, Predicate Has) {
  return pvt::isMajority(Set.Members, Set.QuorumSize, Has);
}

/// The input of proposeSet(): what a disk host knows about the set and the
/// other hosts.
struct set_view {
  disk_set Set;
  std::uint32_t Faults = 0; ///< f
  disk_host Self;
  bool SelfCaughtUp = false;
  std::vector<disk_host> Registered; ///< All disk hosts, including this one.
  /// Whether Registered has not changed for replica_settings::RegisterTime.
  bool IsRegisteredSettled = false;
  /// Addresses of the hosts that have not replied for
  /// replica_settings::UnresponsiveAfter.
  std::vector<std::string> Unresponsive;
  /// Addresses of the members that have not replied to this host yet, and may
  /// be lost although they do not count as unresponsive.
  std::vector<std::string> Unheard;
  std::vector<std::string> Retiring; ///< Names of the hosts that are to retire.
};

/// Returns the set that this host should propose now; nullopt if there is
/// nothing to change. The rules:
/// - The first set is created once 2f+1 hosts are registered, and no other one
///   has registered for a while: the first ones may all be in the data centre
///   that is nearest to the platform.
/// - A host outside the set replaces a member that is unresponsive, or else one
///   that is to retire, once it has heard of all others: a retirement waits for
///   a spare host, a lost member does not. The set is joint until the new host
///   has caught up.
/// - A joint set whose joining host has become unresponsive is rolled back to
///   its old members.
/// - A set never shrinks.
std::optional<disk_set> proposeSet(const set_view &View);

/// Returns the set to write to the platform after \p Set was lost there: the
/// same members, with an epoch that no set can have that was stored unknown to
/// a read quorum of them. \p Random makes the epoch differ from that of another
/// restored set that was lost again.
disk_set restoredSet(const disk_set &Set, std::uint32_t Random);

} // namespace turmerichead::turns
