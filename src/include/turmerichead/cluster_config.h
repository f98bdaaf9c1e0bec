/// \file
/// Configuration that only goes forward.
///
/// Each host keeps the catalogue in a config_store. Items arrive from the
/// platform's list and watch, from peers and from the host's own disk, late,
/// twice or out of order; one rule holds for all: of one name, the valid item
/// with the highest version is in force. Invalid content is remembered and
/// reported, and leaves what is in force as it is.
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

/// A resourceVersion of the platform, compared as an integer. 0 is "none".
using resource_version = std::uint64_t;

/// One version of one entry, as the platform holds it.
struct config_item {
  std::string Name;
  resource_version Version = 0;
  bool Deleted = false;         ///< A tombstone; Spec is empty.
  std::string Spec;             ///< JSON text of the object's spec.
  std::string ChangedBy;        ///< Annotation "turmerichead.io/changed-by".
  std::int64_t ChangedAtMs = 0; ///< Wall clock of the change; 0: not known.

  friend bool operator==(const config_item &, const config_item &) = default;
};

/// The order in which items of one name replace each other: by version, and
/// of one version the tombstone last. A deletion that is noticed by a list
/// alone may have no version but that of the content it deleted.
inline std::uint64_t orderOf(const config_item &Item) {
  return 2 * Item.Version + (Item.Deleted ? 1 : 0);
}

/// Reads an object of the platform: name, version, spec and the annotation
/// "turmerichead.io/changed-by". An object without name or version gives one
/// with version 0, which is never applied.
config_item itemFromObject(const nlohmann::json &Object, bool Deleted);

/// Where an item came from; for the audit trail only.
enum class config_source : std::uint8_t { Platform, Peer, Disk };
std::string_view nameOf(config_source Source);

/// What became of an item.
enum class apply_result : std::uint8_t {
  InForce, ///< It took effect.
  Known,   ///< This version, or a newer one, was seen before.
  Invalid  ///< Newer, but it does not check; the last good one stays.
};

/// A change that took effect on this host: a record of the audit trail.
struct config_change {
  std::string Name;
  resource_version Version = 0;
  std::string Who;
  config_source Source = config_source::Platform;
  std::vector<field_change> Fields; ///< Before and after.
  std::int64_t ChangedAtMs = 0;     ///< Wall clock, by the platform.
  std::int64_t AppliedAtMs = 0;     ///< Wall clock, on this host.
  bool Deleted = false;
  bool Created = false; ///< Nothing of this name was in force before.
};

/// The fields of an audit record.
nlohmann::json toJson(const config_change &Change);

/// The change in one line, for the report: "limits.tokens 60000 -> 70000 and
/// 2 more", "new" or "deleted".
std::string summaryOf(const config_change &Change);

/// What a heartbeat says of a host's configuration.
struct config_summary {
  /// Every change up to this version has been seen, if no event was missed.
  resource_version Complete = 0;
  /// Hash over names and versions; equal on hosts that know the same.
  std::uint64_t Root = 0;

  friend bool operator==(const config_summary &,
                         const config_summary &) = default;
};

/// What a host knows of one name, as order numbers (see orderOf()).
struct config_digest_row {
  std::string Name;
  std::uint64_t Latest = 0;
  std::uint64_t Good = 0; ///< In force; 0: none.
};
using config_digest = std::vector<config_digest_row>;

/// The catalogue on one host.
///
///     config_store Store;
///     findings Findings;
///     if (Store.apply(Item, config_source::Platform, Now, Findings) ==
///         apply_result::InForce)
///       audit(Store.takeChanges());
class config_store {
public:
  /// Applies one item. \p NowMs is wall-clock time, kept for the audit trail.
  /// Findings of invalid content are added to \p Findings.
  apply_result apply(const config_item &Item, config_source Source,
                     std::int64_t NowMs, findings &Findings);

  /// Applies a complete list of the platform, whose first page had
  /// \p ListVersion. A known name that the list lacks was deleted, at
  /// ListVersion at the latest, unless a newer version of it is known.
  void applyList(std::span<const config_item> Items,
                 resource_version ListVersion, std::int64_t NowMs,
                 findings &Findings);

  /// Notes that a complete list of \p Version has been applied item by item,
  /// with a tombstone for each name it lacked; applyList() does so itself.
  /// Not for a watch: an event that it missed would be taken for a deletion.
  void noteListed(resource_version Version);

  /// Notes that the platform's watch has come to \p Version without a gap.
  void noteWatched(resource_version Version);

  /// The entry in force, or nullptr. Valid until the next change.
  const catalogue_entry *find(std::string_view Name) const;

  /// All entries in force, by name.
  std::vector<const catalogue_entry *> entries() const;

  /// The fleet entry in force, or the default.
  fleet_entry fleet() const;

  /// The version in force of \p Name, tombstones included; 0: none.
  resource_version versionInForce(std::string_view Name) const;

  /// Names whose newest version does not check, with the findings as text.
  std::vector<std::pair<std::string, std::string>> invalid() const;

  /// Changes that took effect since the last call, for the audit trail.
  std::vector<config_change> takeChanges();

  config_summary summary() const;
  config_digest digest() const;

  /// What a peer lacks that sent \p Peer in its heartbeat: nothing if the
  /// hashes agree, else every item newer than the peer's Complete. A peer
  /// whose watch missed an event is not mended by this; see deltaFor().
  std::vector<config_item> deltaSince(const config_summary &Peer) const;

  /// Exactly what the sender of \p Peer lacks. Ask for a digest when hashes
  /// still differ after deltaSince() has been applied both ways.
  std::vector<config_item> deltaFor(const config_digest &Peer) const;

  /// The whole store as JSON text for the host's disk, and back. Reading
  /// applies each item by the same rule, so an old file does no harm; a file
  /// that does not decode is a finding.
  std::string toText() const;
  bool applyText(std::string_view Text, std::int64_t NowMs, findings &Findings);

private:
  struct slot {
    config_item Latest;
    config_item Good;
    std::optional<catalogue_entry> Entry;
    std::string Invalid; ///< Findings of Latest, if it does not check.
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

/// Bytes for peers (msgpack), and back. Bytes that do not decode fail with
/// Corrupt.
std::string encode(std::span<const config_item> Items);
std::optional<std::vector<config_item>> decodeItems(std::string_view Bytes);
std::string encode(const config_digest &Digest);
std::optional<config_digest> decodeDigest(std::string_view Bytes);

/// Tells when a change is in force on every host. A host counts once it has
/// reported the same hash as this host had after the change; a host that is
/// not heard from never counts, so the answer is late rather than wrong.
class force_tracker {
public:
  /// A change that took effect here at \p NowMs; \p RootAfter is the hash of
  /// this host's summary() with the change applied.
  void applied(std::string_view Name, resource_version Version,
               std::uint64_t RootAfter, std::int64_t NowMs);

  /// The same for a change with its author and content.
  void applied(const config_change &Change, std::uint64_t RootAfter);

  /// A host has reported the hash \p Root; this host's own is \p OwnRoot.
  void heard(std::string_view Host, std::uint64_t Root, std::uint64_t OwnRoot);

  /// One change and how far it has come.
  struct progress {
    std::string Name;
    resource_version Version = 0;
    std::string Who;  ///< Empty if not given to applied().
    std::string What; ///< summaryOf() the change; empty likewise.
    std::int64_t AppliedAtMs = 0;
    std::int64_t EverywhereAtMs = 0; ///< 0: not yet.
    std::vector<std::string> Missing;
  };

  /// Updates the progress for the hosts that should have the change (this
  /// host left out); returns the changes that are newly in force everywhere.
  std::vector<progress> settle(std::span<const std::string> Hosts,
                               std::int64_t NowMs);

  /// The latest changes, newest first, at most MaxChanges.
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
