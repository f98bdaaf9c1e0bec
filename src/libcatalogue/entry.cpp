#include "turmerichead/catalogue.h"

#include "document_pvt.h"
#include "field_pvt.h"

#include <algorithm>
#include <set>

namespace turmerichead {

std::string_view nameOf(work_rank Rank) {
  return Rank == work_rank::Urgent ? "urgent" : "ordinary";
}

namespace pvt {

void fromName(std::string_view Name, work_rank &Rank) {
  Rank = Name == "urgent" ? work_rank::Urgent : work_rank::Ordinary;
}

namespace {

std::vector<field<program_entry>> limitFields() {
  using entry = program_entry;
  using limits = program_limits;
  constexpr std::int64_t MaxWallMs = 30LL * 24 * 3600 * 1000;
  return {
      bind<entry, &entry::Limits, &limits::Tokens>(
          {.Key = "limits.tokens",
           .Text = "Tokens of prompts and outputs, whole tree.",
           .Required = true,
           .Min = 1,
           .Max = 1'000'000'000'000,
           .Unit = "tokens"}),
      bind<entry, &entry::Limits, &limits::Turns>(
          {.Key = "limits.turns",
           .Text = "Model calls, whole tree.",
           .Default = "63",
           .Min = 1,
           .Max = 1'000'000,
           .Unit = "calls"}),
      bind<entry, &entry::Limits, &limits::ToolCalls>(
          {.Key = "limits.tool_calls",
           .Text = "Service calls, whole tree.",
           .Default = "256",
           .Min = 0,
           .Max = 1'000'000,
           .Unit = "calls"}),
      bind<entry, &entry::Limits, &limits::SubAgents>(
          {.Key = "limits.sub_agents",
           .Text = "Sub-agents, whole tree; the root does not count.",
           .Default = "16",
           .Min = 0,
           .Max = 100'000,
           .Unit = "programs"}),
      bind<entry, &entry::Limits, &limits::Concurrency>(
          {.Key = "limits.concurrency",
           .Text = "Programs of this entry under way at once, in the fleet.",
           .Default = "1000",
           .Min = 1,
           .Max = 1'000'000,
           .Unit = "programs"}),
      bind<entry, &entry::Limits, &limits::Wall>(
          {.Key = "limits.wall_ms",
           .Text = "Longest time from the first call to the end.",
           .Default = "3600000",
           .Min = 1,
           .Max = MaxWallMs,
           .Unit = "ms"}),
      bind<entry, &entry::Limits, &limits::Call>(
          {.Key = "limits.call_ms",
           .Text = "Longest time of one call, waiting included.",
           .Default = "120000",
           .Min = 1,
           .Max = MaxWallMs,
           .Unit = "ms"}),
      bind<entry, &entry::Limits, &limits::MaxOutputTokens>(
          {.Key = "limits.max_output_tokens",
           .Text = "Output of one model call; what is reserved for it.",
           .Default = "4096",
           .Min = 1,
           .Max = 10'000'000,
           .Unit = "tokens"}),
      bind<entry, &entry::Limits, &limits::RetryBudgetPercent>(
          {.Key = "limits.retry_budget_percent",
           .Text = "Retries by the system, of first tries.",
           .Default = "10",
           .Min = 0,
           .Max = 100,
           .Unit = "%"}),
      bind<entry, &entry::Limits, &limits::OwnerSharePercent>(
          {.Key = "limits.owner_share_percent",
           .Text = "Share of the fleet's slots that the owner may hold. "
                   "Checked and kept; has no effect yet.",
           .Default = "100",
           .Min = 1,
           .Max = 100,
           .Unit = "%"}),
  };
}

} // namespace

std::vector<field<program_entry>> programFields() {
  using entry = program_entry;
  constexpr std::int64_t MaxListItems = 64;
  std::vector<field<program_entry>> Result = {
      bind<entry, &entry::Owner>({.Key = "owner",
                                  .Text = "Owner of the programs.",
                                  .Required = true,
                                  .Format = text_format::Name}),
      bind<entry, &entry::OwnerTokenSha256>(
          {.Key = "owner_token_sha256",
           .Text = "SHA-256 of the owner's token, 64 hexadecimal digits.",
           .Required = true,
           .Format = text_format::Sha256}),
      bind<entry, &entry::Rank>({.Key = "rank",
                                 .Text = "Urgent work goes first.",
                                 .Required = true,
                                 .Choices = "urgent|ordinary"}),
      bind<entry, &entry::Model>(
          {.Key = "model",
           .Text = "Model of its calls. Empty: it calls services only.",
           .Format = text_format::Model}),
      bind<entry, &entry::Services>(
          {.Key = "services",
           .Text = "Names of the services that it may call.",
           .Max = MaxListItems,
           .Format = text_format::Name}),
      bind<entry, &entry::Target>(
          {.Key = "target_ms",
           .Text = "Time in which a whole program should finish.",
           .Required = true,
           .Min = 1,
           .Max = 30LL * 24 * 3600 * 1000,
           .Unit = "ms"}),
      bind<entry, &entry::NonIdempotent>(
          {.Key = "non_idempotent",
           .Text = "Calls that run at most once: `service`, `service/path` "
                   "or `service/prefix*`.",
           .Max = MaxListItems,
           .Format = text_format::Pattern}),
      bind<entry, &entry::ExpectedPause>(
          {.Key = "expected_pause_ms",
           .Text = "Usual pause for a tool; the cache is held as long.",
           .Default = "2000",
           .Min = 0,
           .Max = 86'400'000,
           .Unit = "ms"}),
  };
  for (const auto &Field : limitFields())
    Result.push_back(Field);
  return Result;
}

std::vector<field<fleet_entry>> fleetFields() {
  using entry = fleet_entry;
  return {
      bind<entry, &entry::OrdinaryFloorPercent>(
          {.Key = "ordinary_floor_percent",
           .Text = "Work left to ordinary programs in a flood of urgent ones.",
           .Default = "15",
           .Min = 0,
           .Max = 100,
           .Unit = "%"}),
      bind<entry, &entry::MaxCacheHold>(
          {.Key = "max_cache_hold_ms",
           .Text = "Longest time that a paused program's cache is held.",
           .Default = "30000",
           .Min = 0,
           .Max = 86'400'000,
           .Unit = "ms"}),
      bind<entry, &entry::CacheHoldPercent>(
          {.Key = "cache_hold_percent",
           .Text = "Cache memory of a runner that paused programs may hold. "
                   "Checked and kept; has no effect yet.",
           .Default = "50",
           .Min = 0,
           .Max = 100,
           .Unit = "%"}),
      bind<entry, &entry::PoisonAfterCrashes>(
          {.Key = "poison_after_crashes",
           .Text = "Upstreams lost to one request before it is refused.",
           .Default = "2",
           .Min = 1,
           .Max = 16,
           .Unit = "crashes"}),
      bind<entry, &entry::PoisonKeep>(
          {.Key = "poison_keep_ms",
           .Text = "How long such a request stays refused.",
           .Default = "86400000",
           .Min = 1'000,
           .Max = 30LL * 24 * 3600 * 1000,
           .Unit = "ms"}),
      bind<entry, &entry::AgingStep>(
          {.Key = "aging_step_ms",
           .Text = "Waiting time that lifts a program by one level. Checked "
                   "and kept; has no effect yet.",
           .Default = "10000",
           .Min = 1,
           .Max = 86'400'000,
           .Unit = "ms"}),
      bind<entry, &entry::TargetInTimePercent>(
          {.Key = "target_in_time_percent",
           .Text = "Programs in time below which the report says LATE.",
           .Default = "95",
           .Min = 0,
           .Max = 100,
           .Unit = "%"}),
  };
}

namespace {

constexpr std::string_view TypeKey = "type";

template <typename Body>
Body readBody(const std::vector<field<Body>> &Fields,
              const nlohmann::json &Spec, const place_map &Places,
              findings &Findings) {
  Body Result;
  readFields(Fields, Spec, Places, Findings, Result);
  auto Known = keysOf(Fields);
  Known.push_back(TypeKey);
  checkUnknown(Spec, Known, Places, Findings);
  return Result;
}

/// Rules that concern two fields of a program entry.
void checkProgram(const program_entry &Entry, const place_map &Places,
                  findings &Findings) {
  if (Entry.Model.empty() && Entry.Services.empty())
    Findings.add(Places.at("model"), "a model or a service must be named");
  const program_limits &Limits = Entry.Limits;
  if (!Entry.Model.empty() && Limits.MaxOutputTokens > Limits.Tokens)
    Findings.add(Places.at("limits.max_output_tokens"),
                 "must not exceed limits.tokens");
  if (Entry.Target > Limits.Wall)
    Findings.add(Places.at("target_ms"), "must not exceed limits.wall_ms");
  std::set<std::string_view> Services(Entry.Services.begin(),
                                      Entry.Services.end());
  for (std::size_t I = 0; I < Entry.NonIdempotent.size(); ++I) {
    std::string_view Pattern = Entry.NonIdempotent[I];
    std::string_view Service = Pattern.substr(0, Pattern.find_first_of("/*"));
    if (!Services.contains(Service))
      Findings.add(Places.at("non_idempotent[" + std::to_string(I) + ']'),
                   "its service is not among services");
  }
}

/// Whether the name and the type of an entry agree.
bool checkKind(std::string_view Name, const nlohmann::json &Spec,
               const place_map &Places, findings &Findings) {
  field_spec NameSpec{
      .Key = "name", .Text = "", .Required = true, .Format = text_format::Name};
  bool NameFits =
      checkValue(NameSpec, std::string(Name), Places, Findings).has_value();
  const nlohmann::json *Type = findPath(Spec, TypeKey);
  if (Type && *Type != "program" && *Type != "fleet") {
    Findings.add(Places.at("type"), "must be one of: program fleet");
    return false;
  }
  bool IsFleet = Type && *Type == "fleet";
  if (IsFleet != (Name == FleetEntryName)) {
    Findings.add(Places.at("type"),
                 "the entry named \"fleet\", and no other, has type fleet");
    return false;
  }
  return NameFits;
}

} // namespace

std::optional<catalogue_entry> entryFromTree(std::string_view Name,
                                             const nlohmann::json &Spec,
                                             const place_map &Places,
                                             findings &Findings) {
  if (!Spec.is_object()) {
    Findings.add(Places.at(""), "must be an object");
    return std::nullopt;
  }
  findings Own;
  catalogue_entry Result;
  Result.Name = Name;
  bool KindFits = checkKind(Name, Spec, Places, Own);
  if (KindFits && Name == FleetEntryName) {
    Result.Body = readBody(fleetFields(), Spec, Places, Own);
  } else {
    auto Program = readBody(programFields(), Spec, Places, Own);
    if (Own.empty())
      checkProgram(Program, Places, Own);
    Result.Body = std::move(Program);
  }
  for (const finding &Row : Own.rows())
    Findings.add(Row.Place, Row.Text);
  if (!Own.empty())
    return std::nullopt;
  return Result;
}

} // namespace pvt

namespace {

using namespace pvt;

/// Reads one entry of an operator's file, which carries its own name.
std::optional<catalogue_entry>
namedEntry(nlohmann::json Tree, const place_map &Places, findings &Findings) {
  if (!Tree.is_object()) {
    Findings.add(Places.at(""), "must be a table");
    return std::nullopt;
  }
  auto Found = Tree.find("name");
  if (Found == Tree.end() || !Found->is_string()) {
    Findings.add(Places.at("name"), "is missing or not a text");
    return std::nullopt;
  }
  std::string Name = *Found;
  Tree.erase(Found);
  return entryFromTree(Name, Tree, Places, Findings);
}

bool looksLikeJson(std::string_view Text) {
  std::size_t First = Text.find_first_not_of(" \t\r\n");
  if (First == std::string_view::npos || Text[First] == '{')
    return First != std::string_view::npos;
  // A TOML file may begin with "[table]" or "[[entry]]"; a JSON list of
  // entries begins with "[" and then "{" or "]".
  if (Text[First] != '[')
    return false;
  std::size_t Second = Text.find_first_not_of(" \t\r\n", First + 1);
  return Second != std::string_view::npos &&
         (Text[Second] == '{' || Text[Second] == ']');
}

} // namespace

std::optional<catalogue_entry> entryFromJson(std::string_view Name,
                                             const nlohmann::json &Spec,
                                             std::string_view Source,
                                             findings &Findings) {
  return entryFromTree(Name, Spec, place_map(std::string(Source)), Findings);
}

std::optional<std::vector<catalogue_entry>>
entriesFromText(std::string_view Text, std::string_view File,
                findings &Findings) {
  auto Document = looksLikeJson(Text) ? parseJson(Text, File, Findings)
                                      : parseToml(Text, File, Findings);
  if (!Document)
    return std::nullopt;
  const nlohmann::json *List = &Document->Root;
  std::string Path;
  if (List->is_object() && List->contains("entry")) {
    List = &List->at("entry");
    Path = "entry";
    for (const auto &[Key, Value] : Document->Root.items())
      if (Key != "entry")
        Findings.add(Document->Places.at(Key), "stands outside [[entry]]");
  }
  std::vector<catalogue_entry> Result;
  std::set<std::string> Names;
  bool AllGood = Findings.empty();
  const auto Take = [&](const nlohmann::json &Tree, const place_map &Places) {
    auto Entry = namedEntry(Tree, Places, Findings);
    if (Entry && !Names.insert(Entry->Name).second) {
      Findings.add(Places.at("name"), "is named twice");
      Entry.reset();
    }
    AllGood = AllGood && Entry.has_value();
    if (Entry)
      Result.push_back(std::move(*Entry));
  };
  if (!List->is_array())
    Take(*List, Path.empty() ? Document->Places : Document->Places.below(Path));
  else
    for (std::size_t I = 0; I < List->size(); ++I)
      Take((*List)[I],
           Document->Places.below(Path + '[' + std::to_string(I) + ']'));
  if (!AllGood)
    return std::nullopt;
  return Result;
}

nlohmann::json toJson(const catalogue_entry &Entry) {
  nlohmann::json Result;
  const auto Write = [&Result](const auto &Fields, const auto &Body) {
    for (const auto &Field : Fields) {
      std::string Pointer = '/' + std::string(Field.Spec.Key);
      std::replace(Pointer.begin(), Pointer.end(), '.', '/');
      Result[nlohmann::json::json_pointer(Pointer)] =
          pvt::toJson(Field.Get(Body));
    }
  };
  if (const program_entry *Program = Entry.program()) {
    Result["type"] = "program";
    Write(programFields(), *Program);
  } else {
    Result["type"] = "fleet";
    Write(fleetFields(), *Entry.fleet());
  }
  return Result;
}

fleet_entry defaultFleetEntry() {
  fleet_entry Result;
  for (const auto &Field : fleetFields())
    Field.Set(Result, defaultOf(Field.Spec));
  return Result;
}

std::vector<setting_info> entryTable() {
  std::vector<setting_info> Result;
  for (const auto &Field : programFields())
    Result.push_back(infoOf(Field.Spec, "program."));
  for (const auto &Field : fleetFields())
    Result.push_back(infoOf(Field.Spec, "fleet."));
  return Result;
}

std::string renderEntryTable() { return renderTable(entryTable()); }

} // namespace turmerichead
