/// \file
/// Which way a host takes to upstreams: its own links, or a tunnel by way of
/// another host. Decisions only, without input and output.
#pragma once

#include "turmerichead/clock.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// What a host knows of its links to upstreams, by address. Owned by the relay
/// and used in the loop thread. Expected load:
/// - A host loses its links to all upstreams for seconds: connections hang or
///   are refused, or kept ones live on while new ones fail.
/// - An upstream crashes, and no host can connect to it.
/// - Some links of a host fail and others don't.
class upstream_links {
public:
  /// A connection over the host's own link was not established.
  void recordFailure(std::string_view Address, time_point Now);
  /// A connection over the host's own link was established.
  void recordConnected(std::string_view Address, time_point Now);
  /// Bytes of an answer came over an own link, perhaps a kept connection.
  void recordAnswer(time_point Now) { LastAnswer = Now; }
  /// Another host has reached the address that this one could not reach.
  void recordReachedByOther(std::string_view Address);
  /// Another host could not connect to the address either, so the link of this
  /// host is not the cause.
  void recordUnreachedByOther(std::string_view Address);
  /// The address belongs to no upstream any more.
  void forget(std::string_view Address);

  /// Whether calls to the address are to go by way of another host.
  bool isLost(std::string_view Address) const;
  /// Whether the host has lost its links to all upstreams, as far as it knows:
  /// several are lost, and no connection was established since.
  bool isCutOff() const;
  /// Whether, in addition, nothing comes over kept connections.
  bool reachesNothing() const;

  /// Whether nothing has come over an own link for so long that a call which
  /// waits for its answer is reason to look at the link.
  bool isSilent(time_point Now) const;

  /// Whether to connect to the address now, to find out whether its link works.
  /// Counts as done if the result is true.
  bool takeProbe(std::string_view Address, time_point Now);

private:
  struct lost_link {
    time_point Since;
    bool ReachedByOther = false;
  };
  std::map<std::string, lost_link, std::less<>> Lost;
  std::map<std::string, time_point, std::less<>> Probed;
  time_point LastFailure;
  time_point LastConnected;
  time_point LastAnswer;
  time_point LastProbe;
};

/// The tunnel servers of other hosts, in order of preference. Owned by the
/// relay and used in the loop thread.
class tunnel_hosts {
public:
  /// Sets the addresses. What is known of those that stay is kept.
  void set(std::span<const std::string> Addresses);
  /// Returns the server to use, or nullopt if there is none that has not failed
  /// lately. Stays with one that works.
  std::optional<std::string> pick(time_point Now) const;
  void recordSuccess(std::string_view Address);
  /// The server did not respond or declined; it is left out for a time that
  /// doubles with each failure in a row.
  void recordFailure(std::string_view Address, time_point Now);
  std::size_t size() const { return Rows.size(); }

private:
  struct row {
    std::string Address;
    time_point AvoidUntil;
    milliseconds Pause{0}; ///< After its last failure.
  };
  row *find(std::string_view Address);

  std::vector<row> Rows;
  std::string Current; ///< The server that worked last.
};

} // namespace turmerichead::relay
