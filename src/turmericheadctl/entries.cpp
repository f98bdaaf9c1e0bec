// Commands that read and write catalogue entries on the platform.

#include "commands.h"
#include "session.h"
#include "turmerichead/file.h"

#include "turmerichead/catalogue.h"
#include "turmerichead/error.h"
#include "turmerichead/json_fields.h"

#include <algorithm>
#include <iostream>

namespace turmerichead::ctl {
namespace {

using nlohmann::json;

constexpr std::string_view ChangedByKey = "turmerichead.io/changed-by";

std::string changedBy(const json &Object) {
  const json::json_pointer Path(
      "/metadata/annotations/turmerichead.io~1changed-by");
  if (!Object.contains(Path) || !Object[Path].is_string())
    return "not named";
  return Object[Path];
}

std::string versionText(const json &Object) {
  return "version " + std::to_string(versionOf(Object)) + " by " +
         changedBy(Object);
}

int unreachable(std::string_view What, const std::string &Reason) {
  std::cerr << What << ": " << Reason << '\n';
  return Failed;
}

/// Returns the entry of an object, if it is valid.
std::optional<catalogue_entry> entryOf(const json &Object) {
  findings Ignored;
  if (!Object.is_object() || !Object.contains("spec"))
    return std::nullopt;
  return entryFromJson(nameOfObject(Object), Object["spec"], "platform",
                       Ignored);
}

void printChanges(const std::optional<catalogue_entry> &Before,
                  const std::optional<catalogue_entry> &After) {
  for (const field_change &Change : diffEntries(Before, After))
    std::cout << "  " << Change.Key << ": "
              << (Change.Before.empty() ? "(none)" : Change.Before) << " -> "
              << (Change.After.empty() ? "(none)" : Change.After) << '\n';
}

json objectOf(const catalogue_entry &Entry, const options &Options,
              std::uint64_t Version) {
  json Metadata = {{"name", Entry.Name},
                   {"annotations", {{std::string(ChangedByKey), Options.Who}}}};
  if (Version != 0)
    Metadata["resourceVersion"] = std::to_string(Version);
  return {{"apiVersion", "turmerichead.io/v1"},
          {"kind", "Entry"},
          {"metadata", std::move(Metadata)},
          {"spec", toJson(Entry)}};
}

/// Reports who has changed the entry before, and its current content.
int showWinner(platform_session &Platform, const catalogue_entry &Entry) {
  platform_reply Now = Platform.get(Entry.Name);
  std::cerr << Entry.Name << ": not applied, another change was first: ";
  if (Now.Outcome != platform_outcome::Ok) {
    std::cerr << "the entry has been deleted, or cannot be read now\n";
    return Lost;
  }
  std::cerr << versionText(Now.Object)
            << ". What would still change against it:\n";
  printChanges(entryOf(Now.Object), Entry);
  return Lost;
}

/// Reads an entry again after the answer to a write was lost.
int readBack(platform_session &Platform, const catalogue_entry &Entry,
             const options &Options, std::uint64_t Before) {
  platform_reply Now = Platform.get(Entry.Name);
  bool IsThere = Now.Outcome == platform_outcome::Ok;
  bool IsOurs = IsThere && versionOf(Now.Object) > Before &&
                changedBy(Now.Object) == Options.Who &&
                entryOf(Now.Object) == Entry;
  if (IsOurs) {
    std::cout << Entry.Name << ": applied, " << versionText(Now.Object)
              << " (the answer was lost, read back)\n";
    return Good;
  }
  std::cerr << Entry.Name
            << ": outcome unknown, the platform's answer was lost; it may "
               "still take effect. Look with get before applying again.\n";
  return Unknown;
}

int applyEntry(platform_session &Platform, const catalogue_entry &Entry,
               const options &Options) {
  platform_reply Current = Platform.get(Entry.Name);
  bool Exists = Current.Outcome == platform_outcome::Ok;
  if (!Exists && Current.Outcome != platform_outcome::NotFound)
    return unreachable("platform", Current.Text);
  std::uint64_t Version = Exists ? versionOf(Current.Object) : 0;
  if (Options.Expect != 0 && Options.Expect != Version)
    return showWinner(Platform, Entry);
  auto Before = Exists ? entryOf(Current.Object) : std::nullopt;
  if (Before == Entry) {
    std::cout << Entry.Name << ": unchanged, " << versionText(Current.Object)
              << '\n';
    return Good;
  }

  json Object = objectOf(Entry, Options, Version);
  platform_reply Reply =
      Exists ? Platform.update(Object) : Platform.create(Object);
  if (Reply.Outcome == platform_outcome::Conflict)
    return showWinner(Platform, Entry);
  if (Reply.Outcome == platform_outcome::Unknown)
    return readBack(Platform, Entry, Options, Version);
  if (Reply.Outcome != platform_outcome::Ok)
    return unreachable("platform", Reply.Text);
  std::cout << Entry.Name << ": applied, " << versionText(Reply.Object) << '\n';
  printChanges(Before, Entry);
  return Good;
}

int getAll(platform_session &Platform) {
  platform_list_reply Reply = Platform.list();
  if (Reply.Outcome != platform_outcome::Ok)
    return unreachable("platform", Reply.Text);
  for (const json &Object : Reply.Items)
    std::cout << nameOfObject(Object) << "  " << versionText(Object)
              << (entryOf(Object) ? "" : "  DOES NOT CHECK") << '\n';
  return Good;
}

} // namespace

int get(const options &Options, arguments Names) {
  auto Platform = platform_session::create(Options);
  if (!Platform) {
    std::cerr << lastError().Text << '\n';
    return BadInput;
  }
  if (Names.empty())
    return getAll(*Platform);
  for (const std::string &Name : Names) {
    platform_reply Reply = Platform->get(Name);
    if (Reply.Outcome != platform_outcome::Ok)
      return unreachable(Name, Reply.Outcome == platform_outcome::NotFound
                                   ? "no such entry"
                                   : Reply.Text);
    json Shown = valueAt(Reply.Object, "spec");
    if (!Shown.is_object())
      Shown = {{"spec", Shown}};
    Shown["name"] = Name;
    std::cerr << Name << ": " << versionText(Reply.Object) << '\n';
    constexpr int Indent = 2;
    std::cout << Shown.dump(Indent) << '\n';
  }
  return Good;
}

int apply(const options &Options, arguments Files) {
  if (Files.size() != 1) {
    std::cerr << "usage: turmericheadctl apply FILE [--who NAME] "
                 "[--expect VERSION]\n";
    return BadInput;
  }
  findings Findings;
  auto Text = readWholeFile(Files[0]);
  if (!Text) {
    std::cerr << lastError().Text << '\n';
    return BadInput;
  }
  auto Entries = entriesFromText(*Text, Files[0], Findings);
  if (!Entries) {
    std::cerr << Findings.toText();
    return BadInput;
  }
  if (Options.Expect != 0 && Entries->size() != 1) {
    std::cerr << "--expect needs a file with one entry\n";
    return BadInput;
  }
  auto Platform = platform_session::create(Options);
  if (!Platform) {
    std::cerr << lastError().Text << '\n';
    return BadInput;
  }
  int Worst = Good;
  for (const catalogue_entry &Entry : *Entries)
    Worst = std::max(Worst, applyEntry(*Platform, Entry, Options));
  return Worst;
}

} // namespace turmerichead::ctl
