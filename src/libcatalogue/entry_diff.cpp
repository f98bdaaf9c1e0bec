#include "turmerichead/catalogue.h"

#include "turmerichead/hash.h"

#include <glib.h>
#include <nlohmann/json.hpp>

#include <map>
#include <set>

namespace turmerichead {
namespace {

constexpr std::string_view TokenKey = "owner_token_sha256";

std::string shown(std::string_view Key, const nlohmann::json &Value) {
  if (Key != TokenKey)
    return Value.is_string() ? Value.get<std::string>() : Value.dump();
  constexpr std::size_t ShownDigits = 8;
  return Value.get<std::string>().substr(0, ShownDigits) + "...";
}

/// Leaves of an entry by dotted path; a list counts as one leaf.
std::map<std::string, std::string>
leavesOf(const std::optional<catalogue_entry> &Entry) {
  std::map<std::string, std::string> Result;
  if (!Entry)
    return Result;
  const nlohmann::json Tree = toJson(*Entry);
  for (const auto &[Key, Value] : Tree.items()) {
    if (!Value.is_object()) {
      Result[Key] = shown(Key, Value);
      continue;
    }
    for (const auto &[Inner, Leaf] : Value.items()) {
      std::string Path = Key;
      Path.append(".").append(Inner);
      Result[Path] = shown(Inner, Leaf);
    }
  }
  return Result;
}

} // namespace

std::vector<field_change>
diffEntries(const std::optional<catalogue_entry> &Before,
            const std::optional<catalogue_entry> &After) {
  auto Old = leavesOf(Before);
  auto New = leavesOf(After);
  std::set<std::string> Keys;
  for (const auto &[Key, Value] : Old)
    Keys.insert(Key);
  for (const auto &[Key, Value] : New)
    Keys.insert(Key);
  std::vector<field_change> Result;
  for (const std::string &Key : Keys) {
    bool Same = Old.contains(Key) && New.contains(Key) && Old[Key] == New[Key];
    if (!Same)
      Result.push_back({Key, Old[Key], New[Key]});
  }
  return Result;
}

std::string tokenDigest(std::string_view Token) {
  char *Digest = g_compute_checksum_for_data(
      G_CHECKSUM_SHA256, reinterpret_cast<const guchar *>(Token.data()),
      Token.size());
  std::string Result = Digest;
  g_free(Digest);
  return Result;
}

bool tokenMatches(const program_entry &Entry, std::string_view Token) {
  return equalConstantTime(tokenDigest(Token), Entry.OwnerTokenSha256);
}

bool isNonIdempotent(const program_entry &Entry, std::string_view Service,
                     std::string_view Path) {
  while (Path.starts_with('/'))
    Path.remove_prefix(1);
  Path = Path.substr(0, Path.find('?'));
  std::string Whole = std::string(Service) + '/' + std::string(Path);
  for (std::string_view Pattern : Entry.NonIdempotent) {
    if (Pattern.ends_with('*')) {
      if (Whole.starts_with(Pattern.substr(0, Pattern.size() - 1)))
        return true;
    } else if (Pattern == Service || Pattern == Whole) {
      return true;
    }
  }
  return false;
}

} // namespace turmerichead
