/// \file
/// The catalogue of a host, whose versions only increase.
///
/// Each host stores the catalogue in a config_store. Items arrive from the list
/// and watch of the platform, from peers and from the disk of the host; they
/// may be late, duplicate or out of order. One rule applies to all: for each
/// name, the valid item with the highest version is in force. Invalid content
/// is stored and reported, and does not replace the item in force.
#pragma once

#include "turmerichead/catalogue.h"
#include "turmerichead/clock.h"
#include "turmerichead/findings.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// A resourceVersion of the platform, compared as an integer. 0: none.
using resource_version = std::uint64_t;

/// One version of an entry on the platform.
struct config_item {
  std::string Name;
  resource_version Version = 0;
  bool Deleted = false;         ///< A tombstone; Spec is empty.
  std::string Spec;             ///< JSON text of the object's spec.
  std::string ChangedBy;        ///< Annotation "turmerichead.io/changed-by".
  std::int64_t ChangedAtMs = 0; ///< Wall clock of the change; 0: unknown.

  friend bool operator==(const config_item &, const config_item &) = default;
};

/// The order in which items of one name replace each other: by version; for
/// equal versions the tombstone is the later one. A deletion that is only
/// detected by a list may have no version except that of the deleted content.
inline std::uint64_t orderOf(const config_item &Item) {
  return 2 * Item.Version + (Item.Deleted ? 1 : 0);
}

/// Decodes an object of the platform: name, version, spec and the annotation
/// "turmerichead.io/changed-by". An object without name or version returns an
/// item of version 0, which is never applied.
config_item itemFromObject(const nlohmann::json &Object, bool Deleted);

/// The source of an item; used for the audit trail only.
enum class config_source : std::uint8_t { Platform, Peer, Disk };
std::string_view nameOf(config_source Source);

/// Result of applying an item.
enum class apply_result : std::uint8_t {
  InForce, ///< It is in force now.
  Known,   ///< This version or a newer one was already known.
  Invalid  ///< Newer, but not valid; the last valid one remains in force.
};

/// A change that came into force on this host: a record of the audit trail.
struct config_change {
  std::string Name;
  resource_version Version = 0;
  std::string Who;
  config_source Source = config_source::Platform;
  std::vector<field_change> Fields; ///< Before and after.
  std::int64_t ChangedAtMs = 0;     ///< Wall clock, by the platform.
  std::int64_t AppliedAtMs = 0;     ///< Wall clock, on this host.
  bool Deleted = false;
  bool Created = false; ///< No entry of this name was in force before.
};

/// Returns the fields of an audit record.
nlohmann::json toJson(const config_change &Change);

/// Returns a one-line summary for the report: "limits.tokens 60000 -> 70000 and
/// 2 more", "new" or "deleted".
std::string summaryOf(const config_change &Change);

/// Summary of a host's configuration in a heartbeat.
struct config_summary {
  /// All changes up to this version are known, unless an event was missed.
  resource_version Complete = 0;
  /// Hash of all names and versions; equal on hosts with the same items.
  std::uint64_t Root = 0;

  friend bool operator==(const config_summary &,
                         const config_summary &) = default;
};

/// The versions that a host knows of one name, as returned by orderOf().
struct config_digest_row {
  std::string Name;
  std::uint64_t Latest = 0;
  std::uint64_t Good = 0; ///< In force; 0: none.
};
using config_digest = std::vector<config_digest_row>;

/// The catalogue of one host.
///
///     config_store Store;
///     findings Findings;
///     if (Store.apply(Item, config_source::Platform, Now, Findings) ==
///         apply_result::InForce)
///       audit(Store.takeChanges());
class config_store {
public:
  /// Applies one item. \p NowMs is the wall clock, for the audit trail. Adds
  /// findings of invalid content to \p Findings.
  apply_result apply(const config_item &Item, config_source Source,
                     std::int64_t NowMs, findings &Findings);

  /// Applies a complete list of the platform; \p ListVersion is the version of
  /// its first page. A known name that is not in the list was deleted, at
  /// ListVersion at the latest, unless a newer version of it is known.
  void applyList(std::span<const config_item> Items,
                 resource_version ListVersion, std::int64_t NowMs,
                 findings &Findings);

  /// Records that a complete list of \p Version was applied item by item, with
  /// a tombstone for each missing name. applyList() calls it. Must not be
  /// called for a watch: a missed event would be interpreted as a deletion.
  void noteListed(resource_version Version);

  /// Records that the watch has reached \p Version without missing events.
  void noteWatched(resource_version Version);

  /// Returns the entry in force, or nullptr. Valid until the next change.
  const catalogue_entry *find(std::string_view Name) const;

  /// Returns all entries in force, by name.
  std::vector<const catalogue_entry *> entries() const;

  /// Returns the fleet entry in force, or the default.
  fleet_entry fleet() const;

  /// Returns the version in force of \p Name, including tombstones; 0: none.
  resource_version versionInForce(std::string_view Name) const;

  /// Returns the names whose newest version is invalid, with the findings.
  std::vector<std::pair<std::string, std::string>> invalid() const;

  /// Returns and clears the changes since the last call, for the audit trail.
  std::vector<config_change> takeChanges();

  config_summary summary() const;
  config_digest digest() const;

  /// Returns the items that the sender of \p Peer may lack: none if the hashes
  /// are equal, otherwise all items newer than its Complete. If the watch of
  /// the peer has missed an event, this is not enough; see deltaFor().
  std::vector<config_item> deltaSince(const config_summary &Peer) const;

  /// Returns exactly the items that the sender of \p Peer lacks. Request a
  /// digest if the hashes still differ after deltaSince() was applied on both
  /// sides.
  std::vector<config_item> deltaFor(const config_digest &Peer) const;

  /// Encodes the store as JSON text for the disk of the host, and decodes it.
  /// Decoding applies each item by the same rule, so an old file is harmless; a
  /// file that cannot be decoded is a finding.
  std::string toText() const;
  bool applyText(std::string_view Text, std::int64_t NowMs, findings &Findings);

private:
  struct slot {
    config_item Latest;
    config_item Good;
    std::optional<catalogue_entry> Entry;
    std::string Invalid; ///< Findings of Latest, if it is not valid.
  };
  bool buryIfDeleted(const config_item &Item, std::int64_t NowMs);
  void putInForce(slot &Slot, const config_item &Item,
                  std::optional<catalogue_entry> Entry, config_source Source,
                  std::int64_t NowMs);

  std::map<std::string, slot, std::less<>> Slots;
  std::vector<config_change> Changes;
  resource_version Complete = 0;
  resource_version Listed = 0; ///< Of the newest complete list.
  std::uint64_t Root = 0;      ///< XOR of the hashes of all slots.
};

/// Encoding for peers (msgpack). Decoding fails with Corrupt.
std::string encode(std::span<const config_item> Items);
std::optional<std::vector<config_item>> decodeItems(std::string_view Bytes);
std::string encode(const config_digest &Digest);
std::optional<config_digest> decodeDigest(std::string_view Bytes);

/// Tracks when a change is in force on all hosts. A host has a change once it
/// has reported the hash that this host had after the change. A host that does
/// not report never has it, so the result may be late but not wrong.
class force_tracker {
public:
  /// Records a change that came into force on this host at \p NowMs;
  /// \p RootAfter is the hash in summary() with the change applied.
  void applied(std::string_view Name, resource_version Version,
               std::uint64_t RootAfter, std::int64_t NowMs);

  /// Same as above, with author and content of the change.
  void applied(const config_change &Change, std::uint64_t RootAfter);

  /// Records that a host has reported the hash \p Root; \p OwnRoot is the hash
  /// of this host.
  void heard(std::string_view Host, std::uint64_t Root, std::uint64_t OwnRoot);

  /// A change and its progress.
  struct progress {
    std::string Name;
    resource_version Version = 0;
    std::string Who;  ///< Empty if not given to applied().
    std::string What; ///< summaryOf() the change; empty if not given.
    std::int64_t AppliedAtMs = 0;
    std::int64_t EverywhereAtMs = 0; ///< 0: not yet.
    std::vector<std::string> Missing;
  };

  /// Updates the progress for the hosts that should have the change, without
  /// this host. Returns the changes that have come into force on all of them.
  std::vector<progress> settle(std::span<const std::string> Hosts,
                               std::int64_t NowMs);

  /// Returns the latest changes, newest first, at most MaxChanges.
  std::vector<progress> latest() const;

  static constexpr std::size_t MaxChanges = 64;

private:
  struct row {
    progress Progress;
    std::uint64_t RootAfter = 0;
    std::set<std::string, std::less<>> Confirmed;
  };
  std::deque<row> Rows; ///< Newest first.
};

} // namespace turmerichead
