/// \file
/// Which disk hosts have replied lately. No I/O and no clock.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/turns_set.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace turmerichead::turns {

/// Tracks the replies of the hosts that this host pings. A host counts as
/// responsive for a time after its last reply, and also after this host has
/// begun to ping it: a host that has just joined the set had no chance to reply
/// before.
class host_monitor {
public:
  explicit host_monitor(milliseconds UnresponsiveAfter)
      : UnresponsiveAfter(UnresponsiveAfter) {}

  /// Sets the hosts that are pinged from now on, and forgets all others.
  void watch(std::span<const disk_host> Hosts, time_point Now) {
    std::erase_if(Watched, [&](const auto &Row) {
      return !hasAddress(Hosts, Row.first);
    });
    for (const disk_host &Host : Hosts)
      Watched.try_emplace(Host.Address, watched_host{Now, false});
  }

  /// Records a reply. Ignored if the host is not watched.
  void recordReply(std::string_view Address, time_point Now) {
    auto Row = Watched.find(Address);
    if (Row != Watched.end())
      Row->second = {std::max(Row->second.HeardAt, Now), true};
  }

  /// Whether the host is responsive; false if it is not watched.
  bool responds(std::string_view Address, time_point Now) const {
    auto Row = Watched.find(Address);
    return Row != Watched.end() &&
           Now - Row->second.HeardAt < UnresponsiveAfter;
  }

  /// Whether the host has replied since it is watched.
  bool hasReplied(std::string_view Address) const {
    auto Row = Watched.find(Address);
    return Row != Watched.end() && Row->second.HasReplied;
  }

  /// Whether a read quorum of \p Set has replied and is responsive, for as long
  /// as a host may be silent. Members that start together after a common fault
  /// do not become responsive at the same time; the last ones are not lost.
  bool hasSteadyQuorum(const disk_set &Set, time_point Now) {
    bool HasQuorum = isReadQuorum(Set, [&](std::string_view Address) {
      return hasReplied(Address) && responds(Address, Now);
    });
    if (!HasQuorum)
      QuorumSince.reset();
    else if (!QuorumSince)
      QuorumSince = Now;
    return QuorumSince && Now - *QuorumSince >= UnresponsiveAfter;
  }

private:
  struct watched_host {
    time_point HeardAt; ///< When it last replied or was first pinged.
    bool HasReplied = false;
  };

  milliseconds UnresponsiveAfter;
  std::map<std::string, watched_host, std::less<>> Watched; ///< By address.
  std::optional<time_point> QuorumSince; ///< See hasSteadyQuorum().
};

} // namespace turmerichead::turns
