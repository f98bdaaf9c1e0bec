/// \file
/// Requests that take down the upstream that runs them.
///
/// A request is known by the fingerprint of its content, whoever sends it.
/// After one death it is a suspect: one copy runs at a time, and no runner
/// gets a second suspect beside it, so that the next death names the culprit
/// and not its neighbours. After two deaths it gets its final answer.
/// Entries are merged between hosts; they carry ages, not times, because the
/// clocks of hosts differ.
#pragma once

#include "turmerichead/sched_types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace turmerichead::sched {

struct poison_settings {
  int MaxCrashes = 2; ///< Upstreams that one fingerprint may take down.
  milliseconds KeepFor{3'600'000}; ///< A death is forgotten after this.
  std::size_t MaxEntries = 10'000; ///< Those with the fewest deaths go first.
  bool Enabled = true;
};

/// One upstream death that a fingerprint was in flight at.
struct crash_record {
  std::uint64_t Incident = 0; ///< Same for all requests of one death.
  milliseconds Age{0};
  std::string Upstream{}; ///< Which died, for people; may be empty.
  std::string SeenBy{};   ///< The host that saw it; may be empty.
};

/// A death as a host knows it.
struct known_crash {
  crash_record Crash;
  milliseconds LearnedAge{0}; ///< Since this host has known of it.
};

/// A fingerprint's record, as hosts exchange it.
struct poison_entry {
  std::uint64_t Fingerprint = 0;
  std::vector<crash_record> Crashes{};
  /// Age of the last success of the fingerprint; deaths before it are void.
  std::optional<milliseconds> ClearedAge{};
};

/// The bytes in which hosts tell each other of records.
std::string encodePoisonEntries(std::span<const poison_entry> Entries);

/// Reads them back. Fails with Corrupt.
std::optional<std::vector<poison_entry>>
decodePoisonEntries(std::string_view Bytes);

enum class poison_state : std::uint8_t { Clean, Suspect, Quarantined };

/// The fingerprints that were in flight when an upstream died.
class poison_table {
public:
  explicit poison_table(const poison_settings &Settings = {});

  /// Changes the settings; records stay.
  void configure(const poison_settings &Changed) { Settings = Changed; }

  poison_state stateOf(std::uint64_t Fingerprint, time_point Now) const;

  /// Records that an upstream died under \p Fingerprint. Reporting the same
  /// incident again changes nothing. Returns whether it was news.
  bool recordCrash(std::uint64_t Fingerprint, const crash_record &Crash,
                   time_point Now);
  bool recordCrash(std::uint64_t Fingerprint, std::uint64_t Incident,
                   time_point Now) {
    return recordCrash(Fingerprint, crash_record{Incident}, Now);
  }

  /// Records that a run of \p Fingerprint went well, which clears suspicion.
  /// Returns whether there was one.
  bool recordSuccess(std::uint64_t Fingerprint, time_point Now);

  /// The deaths that have not expired, the oldest first.
  std::vector<known_crash> crashes(std::uint64_t Fingerprint,
                                   time_point Now) const;

  /// All records that have not expired, for other hosts.
  std::vector<poison_entry> entries(time_point Now) const;
  /// One record; nullopt if there is none, or it has expired.
  std::optional<poison_entry> entry(std::uint64_t Fingerprint,
                                    time_point Now) const;

  /// Takes in another host's records. Merging is commutative and may be
  /// repeated. Returns the fingerprints of which something was news.
  std::vector<std::uint64_t> merge(std::span<const poison_entry> Entries,
                                   time_point Now);

  /// Drops what has expired.
  void expire(time_point Now);

  std::size_t size() const { return Rows.size(); }

private:
  struct crash_row {
    std::uint64_t Incident;
    time_point At;
    time_point LearnedAt;
    std::string Upstream;
    std::string SeenBy;
  };
  struct row {
    std::vector<crash_row> Crashes;
    std::optional<time_point> ClearedAt;
  };
  bool addCrash(row &Row, const crash_record &Crash, time_point Now);
  std::optional<poison_entry> entryOf(std::uint64_t Fingerprint, const row &Row,
                                      time_point Now) const;
  void makeRoom();

  poison_settings Settings;
  std::unordered_map<std::uint64_t, row> Rows;
};

} // namespace turmerichead::sched
