/// \file
/// When a host may write the disk set to the platform again, after another
/// writer has overwritten or deleted it there. No I/O and no clock.
///
/// The platform has to hold the only set of each epoch, and members may have
/// missed the last sets that it held. Three facts make a restored set safe:
/// - A set that follows another by a completed change was adopted by a read
///   quorum of the old members while the new one caught up. So if no member of
///   a read quorum knows a newer set, then the sets that they missed are joint
///   with the same old members, or were rolled back to them. Writes under any
///   of these need a majority of the old members, as in the restored set.
/// - The members are asked after the platform no longer held the set. No newer
///   set can have been stored there since: writes are conditional on the
///   revision of the object.
/// - The epoch of the restored set is far above the epochs that they can have
///   missed.
/// None of this holds for the members of a joint set: the change may have been
/// completed without them. A joint set is not restored.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/turns_set.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// Asks the members of a set whether they know a newer one. Every change of
/// what the platform holds, or of the set, starts over.
class set_restore {
public:
  /// \p Delay: for which the platform has to lack the set, since hosts hear of
  /// a new set from each other before they see it on the platform.
  explicit set_restore(milliseconds Delay) : Delay(Delay) {}

  /// Sets what the platform holds, nullopt if that is not known, and the set
  /// that this host knows.
  void update(const std::optional<platform_set> &Stored, const disk_set &Known,
              time_point Now) {
    bool Lacks = Stored && Stored->Epoch < Known.Epoch && !Known.isJoint();
    if (!Lacks) {
      Asked.reset();
      return;
    }
    if (Asked && Asked->Stored == *Stored && Asked->Set == Known)
      return;
    Asked = question{*Stored, Known, Now, ++Rounds, {}};
  }

  /// Whether the members are to be asked.
  bool isNeeded() const { return Asked.has_value(); }
  /// Identifies the question; take it before asking a member.
  std::uint64_t round() const { return Asked ? Asked->Round : 0; }
  /// The set that the members are asked about.
  const disk_set &set() const { return Asked->Set; }
  const platform_set &stored() const { return Asked->Stored; }

  /// A member replied to the question of \p Round. Only members that have
  /// caught up know what a quorum has adopted.
  void onReply(std::uint64_t Round, std::string_view Address,
               const disk_set &Set, bool CaughtUp) {
    if (Asked && Round == Asked->Round && Set == Asked->Set && CaughtUp)
      Asked->Confirmed.emplace(Address);
  }

  /// Whether the set may be written to the platform now.
  bool isConfirmed(time_point Now) const {
    return Asked && Now - Asked->Since >= Delay &&
           isReadQuorum(Asked->Set, [&](std::string_view Address) {
             return Asked->Confirmed.contains(Address);
           });
  }

private:
  struct question {
    platform_set Stored;
    disk_set Set;
    time_point Since;
    std::uint64_t Round = 0;
    std::set<std::string, std::less<>> Confirmed; ///< Addresses.
  };

  milliseconds Delay;
  std::optional<question> Asked;
  std::uint64_t Rounds = 0;
};

} // namespace turmerichead::turns
