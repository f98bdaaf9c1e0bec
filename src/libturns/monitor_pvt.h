/// \file
/// Which disk hosts have replied lately. No I/O and no clock.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/turns_set.h"

#include <algorithm>
#include <map>
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
    std::erase_if(HeardAt, [&](const auto &Row) {
      return !hasAddress(Hosts, Row.first);
    });
    for (const disk_host &Host : Hosts)
      HeardAt.try_emplace(Host.Address, Now);
  }

  /// Records a reply. Ignored if the host is not watched.
  void recordReply(std::string_view Address, time_point Now) {
    auto Row = HeardAt.find(Address);
    if (Row != HeardAt.end())
      Row->second = std::max(Row->second, Now);
  }

  /// Whether the host is responsive; false if it is not watched.
  bool responds(std::string_view Address, time_point Now) const {
    auto Row = HeardAt.find(Address);
    return Row != HeardAt.end() && Now - Row->second < UnresponsiveAfter;
  }

private:
  milliseconds UnresponsiveAfter;
  /// By address, when it last replied or was first pinged.
  std::map<std::string, time_point, std::less<>> HeardAt;
};

} // namespace turmerichead::turns
