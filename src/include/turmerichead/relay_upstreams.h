/// \file
/// The upstreams that a host knows, and the choice of one for a call.
#pragma once

#include "turmerichead/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// An upstream as the platform lists it.
struct upstream {
  std::string Id; ///< Of one life of a process.
  std::string Service;
  std::string Address; ///< "ip:port"
  std::string DataCentre;
  std::uint32_t Slots = 1;
  bool Ready = false;         ///< False: leaving; it gets nothing new.
  std::int64_t StartedMs = 0; ///< Tells two lives under one id apart.
  friend bool operator==(const upstream &, const upstream &) = default;
};

/// An upstream with what this host has seen of it.
struct upstream_row {
  upstream Upstream;
  std::uint32_t InFlight = 0; ///< Calls of this host.
  time_point AvoidUntil;      ///< It failed a moment ago.
  /// When it is to be forgotten, unless it is listed again before.
  std::optional<time_point> ExpiresAt;
  double EventGapMs = 0; ///< Smoothed pause between events; 0: unknown.
};

/// How a call is placed.
struct placement {
  std::string_view Service;
  std::string_view DataCentre; ///< Of this host.
  /// The upstream that ran the turn before, whose cache has the chain; empty:
  /// none, or not known.
  std::string_view PreviousUpstream;
  /// Calls with the same key go to the same upstream while it is well, so
  /// that what it has cached of them is used. Empty: to the least busy.
  std::string_view AffinityKey;
  /// Nothing is cached anywhere of what the key stands for.
  bool IsNewChain = false;
  std::string_view SpreadKey; ///< Breaks ties, for example the call's id.
  std::span<const std::string> Tried; ///< Ids that had the call before.
};

class upstream_table {
public:
  /// Adds or changes an upstream.
  void put(const upstream &Upstream);
  void remove(std::string_view Id);
  /// Forgets an upstream at \p At unless it is put again before. The load
  /// pattern that it answers: after an outage of the platform all entries
  /// have lapsed at once and come back within seconds.
  void expireAt(std::string_view Id, time_point At);
  upstream_row *find(std::string_view Id);
  const std::map<std::string, upstream_row, std::less<>> &rows() const {
    return Rows;
  }

  /// The upstream for a call; nullptr if none is ready. The load patterns
  /// that it answers: chains of calls that share a growing prefix (the runner
  /// of the turn before, also from another data centre; a chain begins in
  /// this one, at the quicker of the two runners that come first by rendezvous
  /// hashing of its program), a runner that is slow or
  /// has failed (avoided while others are well), and bursts (the next in the
  /// hash order once its slots are taken).
  upstream_row *pick(const placement &Placement, time_point Now);

  /// Whether any upstream of the service is ready.
  bool hasReady(std::string_view Service, time_point Now) const;

  /// Calls that the service's ready upstreams serve at once.
  std::uint32_t readySlots(std::string_view Service, time_point Now) const;

  void recordFailure(std::string_view Id, time_point Now);
  void recordEventGap(std::string_view Id, milliseconds Gap);

private:
  /// Orders the candidates of a call; the least is the best.
  struct rank {
    int Penalty = 0;
    std::uint32_t Load = 0;
    int Distance = 0;
    std::uint64_t Hash = 0;
    friend auto operator<=>(const rank &, const rank &) = default;
  };
  rank rankOf(const upstream_row &Row, const placement &Placement,
              double SlowGapMs, time_point Now) const;
  /// The smoothed pause above which an upstream of the service counts as slow.
  double slowGapMs(std::string_view Service) const;

  std::map<std::string, upstream_row, std::less<>> Rows;
};

} // namespace turmerichead::relay
