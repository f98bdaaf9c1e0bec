/// \file
/// Failure detection among hosts by heartbeats.
///
/// A wrong verdict costs time, never a promise: journals are fenced by their
/// own names. The detector is therefore tuned to be quick, but not to let a
/// cut-off minority replace the rest.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/cluster_config.h"
#include "turmerichead/cluster_map.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// What the sender of a heartbeat has heard itself of another host.
struct peer_sighting {
  std::string Host;
  std::uint64_t Incarnation = 0;
  std::uint32_t AgeMs = 0; ///< Since the sender last heard from it.
};

/// One heartbeat. Sightings are bounded by detector_options::MaxSightings.
struct heartbeat {
  std::string From;
  std::uint64_t Incarnation = 0;
  std::uint64_t Sequence = 0;
  std::uint64_t MapVersion = 0;
  config_summary Config;
  std::vector<peer_sighting> Sightings;
};

/// Bytes of a heartbeat (msgpack), and back. Bytes that do not decode, or
/// that exceed the bounds, fail with Corrupt.
std::string encode(const heartbeat &Beat);
std::optional<heartbeat> decodeHeartbeat(std::string_view Bytes);

struct detector_options {
  milliseconds Heartbeat{500};
  milliseconds Suspect{2'000};
  /// Up to this many hosts every host beats to every other; beyond it, to
  /// Neighbours in its data centre and RemoteNeighbours in others. Those that
  /// a host beats to are its watchers; they alone judge it.
  std::size_t FullMesh = 16;
  std::size_t Neighbours = 4;
  std::size_t RemoteNeighbours = 2;
  std::size_t MaxSightings = 16;
  /// Watchers that are no majority wait this many Suspect times before they
  /// act, because the others may all be dead.
  int MinorityFactor = 10;
};

enum class host_health : std::uint8_t {
  Unknown,   ///< Not a member.
  Alive,     ///< Heard within Suspect, or not watched by this host.
  Suspected, ///< Not heard; too few agree to act.
  Dead       ///< Not heard, and a majority of its watchers and itself agrees.
};
std::string_view nameOf(host_health Health);

/// Sees hosts come and go for one host. Time is passed in.
class failure_detector {
public:
  static std::optional<failure_detector>
  create(std::string Self, std::uint64_t Incarnation,
         const detector_options &Options);

  /// Takes the members from a map. New members count as just heard from.
  void setMembers(const shard_map &Map, time_point Now);

  /// A heartbeat came in. Old or repeated ones are ignored.
  void receive(const heartbeat &Beat, time_point Now);

  /// The platform's list of hosts, a hint that lags and may be wrong: a
  /// silent host that the list shows as gone does not count in a majority.
  void hintGone(std::span<const std::string> Hosts);

  /// Call once per heartbeat interval. A long pause of this process itself is
  /// noticed, and then no peer is suspected for it.
  void tick(time_point Now);

  /// The heartbeat to send now, and whom to send it to: the watchers of this
  /// host and, while one of those it watches is silent, the other watchers of
  /// that one, so that they can agree.
  heartbeat compose(time_point Now, std::uint64_t MapVersion,
                    const config_summary &Config);
  std::vector<std::string> targets(time_point Now) const;

  host_health health(std::string_view Host, time_point Now) const;

  /// Members that are suspected or dead; not to be given new work.
  std::vector<std::string> suspected(time_point Now) const;

  /// Dead hosts that this host should now take out of the map by a
  /// conditional update. One host is first in line for each, in an order that
  /// all compute alike; the next one follows if nothing happens.
  std::vector<std::string> proposals(time_point Now) const;

  /// Whether this host hears more than half of those that should beat to it.
  bool hearsMajority(time_point Now) const;

private:
  /// What a watcher last said of a member.
  struct opinion {
    time_point HeardAt;
    time_point SaidAt;
  };
  struct member {
    host_record Record;
    std::uint64_t Sequence = 0;
    time_point KnownSince;
    std::optional<time_point> HeardAt;  ///< By this host.
    std::optional<time_point> EchoedAt; ///< By any, as told.
    std::vector<std::string> Watchers;
    bool WatchedBySelf = false;
    std::map<std::string, opinion, std::less<>> Opinions;
  };
  failure_detector(std::string Self, std::uint64_t Incarnation,
                   const detector_options &Options);

  time_point lastSign(const member &Member) const;
  bool isSilent(const member &Member, time_point Now) const;
  bool majorityAgrees(const member &Member, time_point Now) const;
  std::vector<std::string> watchersOf(const host_record &Host,
                                      std::span<const host_record> Hosts) const;
  int turnOf(const member &Dead, time_point Now) const;

  std::string Self;
  std::uint64_t Incarnation;
  detector_options Options;
  std::map<std::string, member, std::less<>> Members; ///< Self left out.
  std::vector<std::string> Targets;
  std::set<std::string, std::less<>> Gone;
  std::uint64_t Sequence = 0;
  std::optional<time_point> LastTick;
  time_point GraceFrom; ///< Nobody is silent since before this moment.
  std::size_t SightingCursor = 0;
};

} // namespace turmerichead
