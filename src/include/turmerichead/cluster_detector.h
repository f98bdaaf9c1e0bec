/// \file
/// Failure detection between hosts by heartbeats.
///
/// A false detection costs time but is safe: journals are fenced by their
/// names. The detector is therefore fast, but a partitioned minority must not
/// replace the other hosts.
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

/// When the sender of a heartbeat has last heard from another host.
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

/// Encoding of a heartbeat (msgpack). Decoding fails with Corrupt, also if a
/// limit is exceeded.
std::string encode(const heartbeat &Beat);
std::optional<heartbeat> decodeHeartbeat(std::string_view Bytes);

struct detector_options {
  milliseconds Heartbeat{500};
  milliseconds Suspect{2'000};
  /// Up to this many hosts, every host sends heartbeats to all others; above
  /// it, to Neighbours in its data centre and RemoteNeighbours in other ones.
  /// The receivers are the watchers of a host; only they may declare it dead.
  std::size_t FullMesh = 16;
  std::size_t Neighbours = 4;
  std::size_t RemoteNeighbours = 2;
  std::size_t MaxSightings = 16;
  /// A minority of watchers acts after this many Suspect times, because the
  /// others may all be dead.
  int MinorityFactor = 10;
};

enum class host_health : std::uint8_t {
  Unknown,   ///< Not a member.
  Alive,     ///< Heard from within Suspect, or not watched by this host.
  Suspected, ///< Silent, but too few watchers agree.
  Dead       ///< Silent, and a majority of its watchers and itself agrees.
};
std::string_view nameOf(host_health Health);

/// The failure detector of one host. Times are passed in.
class failure_detector {
public:
  static std::optional<failure_detector>
  create(std::string Self, std::uint64_t Incarnation,
         const detector_options &Options);

  /// Sets the members from a map. A new member counts as heard from now.
  void setMembers(const shard_map &Map, time_point Now);

  /// Handles a heartbeat. Old and duplicate ones are ignored.
  void receive(const heartbeat &Beat, time_point Now);

  /// Sets the list of hosts of the platform, which may be late or wrong. A
  /// silent host that is not in the list does not count for a majority.
  void hintGone(std::span<const std::string> Hosts);

  /// Must be called once per heartbeat interval. Detects that this process was
  /// suspended, so that no peer is suspected because of that.
  void tick(time_point Now);

  /// Returns the next heartbeat and its receivers: the watchers of this host
  /// and, while a host that it watches is silent, the other watchers of that
  /// host, so that they can agree.
  heartbeat compose(time_point Now, std::uint64_t MapVersion,
                    const config_summary &Config);
  std::vector<std::string> targets(time_point Now) const;

  host_health health(std::string_view Host, time_point Now) const;

  /// Returns members that are suspected or dead and should get no new work.
  std::vector<std::string> suspected(time_point Now) const;

  /// Returns dead hosts that this host should now remove from the map by a
  /// conditional update. The watchers of a dead host take turns in an order
  /// that is the same on all hosts; the next one follows if nothing happens.
  std::vector<std::string> proposals(time_point Now) const;

  /// Returns whether this host hears from more than half of the hosts that send
  /// heartbeats to it.
  bool hearsMajority(time_point Now) const;

private:
  /// The last report of a watcher about a member.
  struct opinion {
    time_point HeardAt;
    time_point SaidAt;
  };
  struct member {
    host_record Record;
    std::uint64_t Sequence = 0;
    time_point KnownSince;
    std::optional<time_point> HeardAt;  ///< By this host.
    std::optional<time_point> EchoedAt; ///< By any host, as reported.
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
  std::map<std::string, member, std::less<>> Members; ///< Without this host.
  std::vector<std::string> Targets;
  std::set<std::string, std::less<>> Gone;
  std::uint64_t Sequence = 0;
  std::optional<time_point> LastTick;
  time_point GraceFrom; ///< Silence before this time is ignored.
  std::size_t SightingCursor = 0;
};

} // namespace turmerichead
