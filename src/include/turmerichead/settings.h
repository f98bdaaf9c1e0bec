/// \file
/// The settings file of a host.
///
/// A settings file is TOML. Every key is checked against one table, which also
/// renders the page docs/SETTINGS.md and the text of --help:
///
///     findings Findings;
///     auto Settings = host_settings::load(Path, Findings);
///     if (!Settings) {
///       std::cerr << Findings.toText();
///       return 2;
///     }
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/endpoint.h"
#include "turmerichead/findings.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// Replaces the peer address of one host, as seen from this host. Used where
/// a peer is reached through a forwarder.
struct peer_route {
  std::string Host;
  ip_endpoint Address;
};

/// All settings of one host, checked. A member without a comment is described
/// by the row of its key in settingTable().
struct host_settings {
  struct host_section {
    std::string Id;
    std::string DataCentre;
    std::string Region;
    ip_endpoint Listen;     ///< HTTP, for callers and operators.
    ip_endpoint PeerListen; ///< nghttp2, for other hosts.
    std::string DataDir;    ///< Empty: the host keeps nothing on disk.
  };
  struct platform_section {
    std::string Url; ///< "http://ip:port", without a path.
    std::string Namespace;
    milliseconds Timeout{0};
    std::int64_t WritesPerS = 0; ///< This host's share, as are the reads.
    std::int64_t ReadsPerS = 0;
  };
  struct cluster_section {
    std::string SharedKeyFile;
    std::vector<std::string> SeedPeers; ///< "host=ip:port"
    std::int64_t Shards = 0;
    milliseconds Heartbeat{0};
    milliseconds Suspect{0};
  };
  struct journal_section {
    milliseconds CommitInterval{0};
    milliseconds OutageAfter{0};
    std::int64_t StandbyBufferBytes = 0;
    std::int64_t SnapshotEveryRecords = 0;
  };
  struct gate_section {
    std::int64_t GroupSize = 0; ///< Runners of one gate.
    std::int64_t MaxQueueUrgent = 0;
    std::int64_t MaxQueueOrdinary = 0;
    milliseconds MaxWaitUrgent{0};
    milliseconds MaxWaitOrdinary{0};
    std::int64_t OrdinaryFloorPercent = 0; ///< Until a fleet entry is known.
  };
  struct limits_section {
    std::int64_t MaxBodyBytes = 0;
    std::int64_t MaxHeaderBytes = 0;
    std::int64_t MaxConnections = 0;
    std::int64_t MaxHeldBytes = 0;
    milliseconds IdleTimeout{0};
    milliseconds RequestTimeout{0};
  };
  struct log_section {
    std::string Level;
    std::string AuditFile; ///< Empty: the audit trail goes to the log.
  };

  host_section Host;
  platform_section Platform;
  cluster_section Cluster;
  std::vector<peer_route> PeerRoutes;
  journal_section Journal;
  gate_section Gate;
  limits_section Limits;
  log_section Log;

  /// Reads and checks a file. Returns std::nullopt if there is any finding;
  /// all of them are in \p Findings. A file that cannot be read is one too.
  static std::optional<host_settings> load(const std::string &Path,
                                           findings &Findings);

  /// The same for text; \p File names it in the findings.
  static std::optional<host_settings>
  parse(std::string_view Text, std::string_view File, findings &Findings);
};

/// Whether \p Text is a settings file rather than catalogue entries: TOML
/// with a table [host] or [platform].
bool looksLikeSettings(std::string_view Text);

/// What a setting or a field of a catalogue entry holds.
enum class value_type {
  Text,
  Integer,
  Boolean,
  Duration, ///< An integer of milliseconds.
  Endpoint, ///< "ip:port"
  TextList
};

/// The name of \p Type for people, for example "integer".
std::string_view nameOf(value_type Type);

/// One row of the table that drives checks, help and documentation.
struct setting_info {
  std::string Key; ///< Dotted path, for example "host.id".
  value_type Type;
  std::string Unit;    ///< "ms", "bytes", "calls/s" or empty.
  std::string Range;   ///< For people: "1 to 4096", "debug, info".
  std::string Default; ///< Empty with Required set: there is none.
  bool Required = false;
  std::string Text; ///< What it does.
};

/// Every setting, in the order of the page.
std::vector<setting_info> settingTable();

/// The page docs/SETTINGS.md.
std::string renderSettingsPage();

/// The settings as text for --help, one line a key.
std::string renderSettingsHelp();

} // namespace turmerichead
