/// \file
/// The shape of a deployment: hosts by data centre with their limits, services
/// with their upstreams, routes, programs of callers, and time bounds.
///
///     findings Findings;
///     auto Shape = site_shape::load("site.toml", Findings);
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/findings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::fleet_harness {

/// Limits of the process of a host; 0: none.
struct host_limits {
  double CpuShare = 0; ///< Of one core.
  std::uint64_t MemoryMb = 0;
  std::uint64_t FileDescriptors = 0;
  std::uint64_t DiskMb = 0;
};

/// Equal hosts in one data centre.
struct host_group {
  std::string DataCentre;
  int Count = 1;
  host_limits Limits;
};

/// Upstreams of one service in one data centre.
struct upstream_group {
  std::string DataCentre;
  int Count = 1;
};

struct service_shape {
  std::string Name;
  bool Streams = false; ///< A model runner; a plain service otherwise.
  std::vector<upstream_group> Upstreams;
  std::uint32_t Slots = 8;
  int Connections = 200;
  int Events = 1;              ///< Of a stream.
  milliseconds EventGap{20};   ///< Or the time of a plain request.
  std::size_t AnswerBytes = 0; ///< 0: short ones.
};

enum class route_kind : std::uint8_t { Safe, Unsafe, Stream };

struct route_shape {
  std::string Name;
  route_kind Kind = route_kind::Safe;
  std::string Host;
  std::string PathPrefix;
  std::string Path; ///< Of requests.
  std::string Service;
  milliseconds Timeout{4000};
  milliseconds Target{500};    ///< Target latency.
  milliseconds TimeLeft{3000}; ///< Time limit of callers.
  int Attempts = 2; ///< Upstreams that an attempt of a caller may run on.
  int Priority = 0;
  std::size_t BodyBytes = 0; ///< 0: short ones.
  std::int64_t RetentionS = 30;
  bool Resumable = false; ///< Turns of resumable streams are not stored.
};

/// A tool call that programs make after their turns.
struct tool_use {
  std::size_t Route = 0; ///< Index in site_shape::Routes.
  double PerTurn = 0;    ///< Mean number of calls.
};

/// A kind of program.
struct program_shape {
  std::size_t Route = 0; ///< Of the turns; index in site_shape::Routes.
  double MeanTurns = 4;
  int MaxTurns = 4;
  milliseconds Pause{40};         ///< Mean time between two requests.
  std::size_t LaterBodyBytes = 0; ///< Of the turns after the first.
  double PerSecond = 0;           ///< Programs that begin.
  std::vector<tool_use> Tools;
};

/// Time bounds that hosts are told.
struct site_bounds {
  double CatchUpS = 0;
  std::int64_t ContactMs = 0;
  std::int64_t AckTimeoutMs = 0;
  std::int64_t DrainMs = 0;
  std::int64_t ConfigApplyMs = 0;
  std::int64_t OuterMs = 0;
  std::int64_t PassMs = 0;
  double GraceS = 8;
  double RecoveryS = 12;
  double FinishS = 0;
  std::int64_t HeartbeatMs = 0;
};

struct site_shape {
  static constexpr const char *PlanHost = "plans.example";
  static constexpr const char *ToolHost = "tools.example";

  std::string Name;
  std::vector<std::string> DataCentres;
  std::vector<host_group> Entries;
  std::vector<host_group> Disks;
  std::vector<service_shape> Services;
  std::vector<route_shape> Routes;
  std::vector<program_shape> Programs;
  std::optional<site_bounds> Bounds; ///< Hosts use their own if empty.
  int DiskFaults = 1;                ///< Disk hosts that may be lost at once.

  /// Reads a site file. What is wrong with it is added to \p Findings.
  static std::optional<site_shape> load(const std::string &Path,
                                        findings &Findings);

  const service_shape *findService(std::string_view Name) const;
  /// The route of requests to \p Path; null if there is none.
  const route_shape *findRoute(std::string_view Path) const;
  /// The first route of a kind; null if there is none.
  const route_shape *findRoute(route_kind Kind) const;
  /// Programs that begin in a second.
  double programsPerSecond() const;
};

} // namespace turmerichead::fleet_harness
