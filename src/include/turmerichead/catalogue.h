/// \file
/// Catalogue entries and upstream objects: their content, checks and changes.
///
/// An entry names a kind of agent program, its owner, rank and limits; one
/// further kind of entry, the fleet entry, holds what concerns all of them.
/// Entries come from the platform as the `spec` of an object, or from an
/// operator's TOML file; both are checked by the same table of fields.
#pragma once

#include "turmerichead/clock.h"
#include "turmerichead/endpoint.h"
#include "turmerichead/findings.h"
#include "turmerichead/settings.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace turmerichead {

/// How urgent the programs of an entry are. Urgent work goes first.
enum class work_rank : std::uint8_t { Urgent, Ordinary };

/// "urgent" or "ordinary".
std::string_view nameOf(work_rank Rank);

/// What one program, with all its sub-agents, may use. A program that reaches
/// a limit is ended; its open calls are refused as not run.
struct program_limits {
  std::int64_t Tokens = 0;          ///< Prompt and output, whole tree.
  std::int64_t Turns = 0;           ///< Model calls, whole tree.
  std::int64_t ToolCalls = 0;       ///< Service calls, whole tree.
  std::int64_t SubAgents = 0;       ///< Whole tree, the root not counted.
  std::int64_t Concurrency = 0;     ///< Programs of the entry at once, fleet.
  milliseconds Wall{0};             ///< From the first call on.
  milliseconds Call{0};             ///< One call, waiting included.
  std::int64_t MaxOutputTokens = 0; ///< One model call.
  std::int64_t RetryBudgetPercent = 0; ///< Retries to first tries, at most.
  std::int64_t OwnerSharePercent = 0;  ///< Of the fleet's slots, at most.

  friend bool operator==(const program_limits &,
                         const program_limits &) = default;
};

/// An entry for a kind of agent program.
struct program_entry {
  std::string Owner;
  std::string OwnerTokenSha256; ///< 64 hexadecimal digits.
  work_rank Rank = work_rank::Ordinary;
  std::string Model;
  std::vector<std::string> Services; ///< Names it may call.
  milliseconds Target{0};            ///< For the whole program.
  program_limits Limits;
  std::vector<std::string> NonIdempotent; ///< Patterns "service/path*".
  milliseconds ExpectedPause{0};          ///< Of a tool call.

  friend bool operator==(const program_entry &,
                         const program_entry &) = default;
};

/// The entry for the whole fleet; there is at most one, named "fleet".
struct fleet_entry {
  std::int64_t OrdinaryFloorPercent = 0; ///< Of slots, during urgent floods.
  milliseconds MaxCacheHold{0};          ///< Of a paused program.
  std::int64_t CacheHoldPercent = 0;     ///< Of a runner's cache memory.
  std::int64_t PoisonAfterCrashes = 0;   ///< Then a request is refused.
  milliseconds PoisonKeep{0};            ///< How long it stays refused.
  milliseconds AgingStep{0};             ///< Wait that lifts a program a level.
  std::int64_t TargetInTimePercent = 0;  ///< Below it the report says LATE.

  friend bool operator==(const fleet_entry &, const fleet_entry &) = default;
};

/// One object of the catalogue.
struct catalogue_entry {
  std::string Name;
  std::variant<program_entry, fleet_entry> Body;

  const program_entry *program() const {
    return std::get_if<program_entry>(&Body);
  }
  const fleet_entry *fleet() const { return std::get_if<fleet_entry>(&Body); }

  friend bool operator==(const catalogue_entry &,
                         const catalogue_entry &) = default;
};

/// The name of the one fleet entry.
inline constexpr std::string_view FleetEntryName = "fleet";

/// What holds until the platform has a fleet entry.
fleet_entry defaultFleetEntry();

/// Checks an object's `spec`. \p Name is the object's name and \p Source what
/// findings name as their file, for example "platform:entries/yard". Returns
/// std::nullopt if there is any finding.
std::optional<catalogue_entry> entryFromJson(std::string_view Name,
                                             const nlohmann::json &Spec,
                                             std::string_view Source,
                                             findings &Findings);

/// Reads an operator's file: one entry at the top, or several under
/// [[entry]]. A text that begins with "{" or "[" is read as JSON, any other
/// as TOML. Each entry carries its `name`. Returns std::nullopt if there is
/// any finding; those of all entries are collected.
std::optional<std::vector<catalogue_entry>>
entriesFromText(std::string_view Text, std::string_view File,
                findings &Findings);

/// The `spec` of an entry. entryFromJson() reads it back to an equal entry.
nlohmann::json toJson(const catalogue_entry &Entry);

/// One field that differs between two versions.
struct field_change {
  std::string Key; ///< Dotted path.
  std::string Before;
  std::string After; ///< Empty where the field is absent.

  friend bool operator==(const field_change &, const field_change &) = default;
};

/// What changed from \p Before to \p After (std::nullopt: absent). Token
/// digests are shown by their first 8 digits only.
std::vector<field_change>
diffEntries(const std::optional<catalogue_entry> &Before,
            const std::optional<catalogue_entry> &After);

/// Whether \p Token is the owner's. Takes the same time wherever the tokens
/// differ.
bool tokenMatches(const program_entry &Entry, std::string_view Token);

/// The digest that a catalogue entry stores for \p Token.
std::string tokenDigest(std::string_view Token);

/// Whether a call to \p Path of \p Service is marked non-idempotent by the
/// entry. A pattern is "service", "service/path" or "service/prefix*".
bool isNonIdempotent(const program_entry &Entry, std::string_view Service,
                     std::string_view Path);

/// Every field of the catalogue; keys begin with "program." or "fleet.".
std::vector<setting_info> entryTable();

/// The table of fields of docs/CATALOGUE.md.
std::string renderEntryTable();

/// What an upstream is.
enum class upstream_kind : std::uint8_t { Runner, Service };
/// Whether an upstream takes new work.
enum class upstream_phase : std::uint8_t { Live, Leaving };

/// "runner" or "service".
std::string_view nameOf(upstream_kind Kind);
/// "live" or "leaving".
std::string_view nameOf(upstream_phase Phase);

/// One upstream as the platform describes it.
struct upstream_object {
  std::string Name;
  upstream_kind Kind = upstream_kind::Runner;
  ip_endpoint Address;
  std::vector<std::string> Models; ///< Of a runner.
  std::string Service;             ///< Of a service.
  std::string DataCentre;          ///< Empty: not known.
  std::int64_t Slots = 0;          ///< Requests at once.
  bool ChecksFencing = false;
  upstream_phase Phase = upstream_phase::Live;

  friend bool operator==(const upstream_object &,
                         const upstream_object &) = default;
};

/// Checks an object's `spec` and `status` (null: none yet).
std::optional<upstream_object> upstreamFromJson(std::string_view Name,
                                                const nlohmann::json &Spec,
                                                const nlohmann::json &Status,
                                                std::string_view Source,
                                                findings &Findings);

} // namespace turmerichead
