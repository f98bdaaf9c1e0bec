/// \file
/// Poison requests: requests that crash the upstream that runs them.
///
/// A request is identified by the fingerprint of its content, regardless of
/// the caller. After its first crash it is a suspect: only one copy runs at a
/// time, and a runner never runs two suspects at once, so that the next crash
/// identifies the poison request and not the requests that ran beside it.
/// After poison_settings::MaxCrashes crashes it is quarantined: it is refused
/// and not run again. Hosts exchange and merge their entries. Entries hold
/// ages and not points in time, because the clocks of hosts differ.
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
  int MaxCrashes = 2; ///< Crashes after which a fingerprint is quarantined.
  milliseconds KeepFor{3'600'000}; ///< Age at which a crash expires.
  /// Rows beyond this are evicted, those with the fewest crashes first.
  std::size_t MaxEntries = 10'000;
  bool Enabled = true;
};

/// One crash of an upstream while a fingerprint was in flight there.
struct crash_record {
  std::uint64_t Incident = 0; ///< Same for all requests of one crash.
  milliseconds Age{0};
  std::string Upstream{}; ///< Name, for reports only; may be empty.
  std::string SeenBy{};   ///< Host that recorded it; may be empty.
  /// Time from the send of the request to the crash; 0 if it is not known.
  milliseconds Duration{0};
  std::uint64_t Caller = 0; ///< Hash of its caller; 0 if it is not known.
};

/// A crash and how long this host has known of it.
struct known_crash {
  crash_record Crash;
  milliseconds LearnedAge{0}; ///< Time since this host recorded it.
};

/// The crashes of one fingerprint, in the form that hosts exchange.
struct poison_entry {
  std::uint64_t Fingerprint = 0;
  std::vector<crash_record> Crashes{};
  /// Age of the last success of the fingerprint; crashes before it do not
  /// count. Empty if there was none.
  std::optional<milliseconds> ClearedAge{};
};

/// Encodes entries for other hosts.
std::string encodePoisonEntries(std::span<const poison_entry> Entries);

/// Decodes the output of encodePoisonEntries(). Returns std::nullopt and
/// leaves an error if \p Bytes do not decode; it is error_code::Corrupt if a
/// crash is out of range.
std::optional<std::vector<poison_entry>>
decodePoisonEntries(std::string_view Bytes);

enum class poison_state : std::uint8_t { Clean, Suspect, Quarantined };

/// The fingerprints that were in flight when an upstream crashed.
class poison_table {
public:
  explicit poison_table(const poison_settings &Settings = {});

  /// Changes the settings and keeps the recorded crashes.
  void configure(const poison_settings &Changed) { Settings = Changed; }

  /// Returns the state by the crashes that have not expired; Clean if the table
  /// is disabled or \p Fingerprint is 0.
  poison_state stateOf(std::uint64_t Fingerprint, time_point Now) const;

  /// Records that an upstream crashed while it ran \p Fingerprint. Idempotent
  /// for the same incident. Returns whether the table has changed.
  bool recordCrash(std::uint64_t Fingerprint, const crash_record &Crash,
                   time_point Now);
  bool recordCrash(std::uint64_t Fingerprint, std::uint64_t Incident,
                   time_point Now) {
    return recordCrash(Fingerprint, crash_record{Incident}, Now);
  }

  /// Records that a run of \p Fingerprint succeeded, which removes its
  /// crashes. Returns whether there were any.
  bool recordSuccess(std::uint64_t Fingerprint, time_point Now);

  /// Returns the crashes that have not expired, oldest first.
  std::vector<known_crash> crashes(std::uint64_t Fingerprint,
                                   time_point Now) const;

  /// Returns all entries that have not expired, by fingerprint, to send them
  /// to other hosts.
  std::vector<poison_entry> entries(time_point Now) const;
  /// Returns one entry; std::nullopt if there is none or it has expired.
  std::optional<poison_entry> entry(std::uint64_t Fingerprint,
                                    time_point Now) const;

  /// Merges another host's entries. Merging is commutative and idempotent.
  /// Returns the fingerprints whose crashes have changed.
  std::vector<std::uint64_t> merge(std::span<const poison_entry> Entries,
                                   time_point Now);

  /// Removes expired crashes, and rows that are empty then.
  void expire(time_point Now);

  std::size_t size() const { return Rows.size(); }

private:
  struct crash_row {
    time_point At;
    time_point LearnedAt;
    crash_record Record; ///< Its age is that when it was learned.

    std::uint64_t incident() const { return Record.Incident; }
    crash_record recordAt(time_point Now) const {
      crash_record Aged = Record;
      Aged.Age = Now - At;
      return Aged;
    }
  };
  struct row {
    std::vector<crash_row> Crashes;
    std::optional<time_point> ClearedAt;
  };
  bool addCrash(row &Row, const crash_record &Crash, time_point Now);
  std::optional<poison_entry> entryOf(std::uint64_t Fingerprint, const row &Row,
                                      time_point Now) const;
  void evictExcess();

  poison_settings Settings;
  std::unordered_map<std::uint64_t, row> Rows;
};

} // namespace turmerichead::sched
