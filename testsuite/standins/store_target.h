/// \file
/// Decodes the targets of requests to the store's stand-in as a strict server
/// does.
#pragma once

#include <glib.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::standin {

/// What a target such as "/objects/KIND/NAME/status?after=NAME" asks for.
struct store_target {
  std::string Kind;
  std::string Name; ///< Empty for all objects of the kind.
  bool IsStatus = false;
  std::map<std::string, std::string> Query;
};

namespace pvt {

/// Whether RFC 3986 permits \p Byte in a path segment, or in a query if \p
/// InQuery.
inline bool isTargetByte(char Byte, bool InQuery) {
  constexpr std::string_view Others = "-._~!$&'()*+,;=:@%";
  return g_ascii_isalnum(Byte) || Others.find(Byte) != std::string_view::npos ||
         (InQuery && (Byte == '/' || Byte == '?'));
}

/// Decodes %HH; nullopt if \p Text has other uses of the percent sign.
inline std::optional<std::string> percentDecoded(std::string_view Text) {
  GBytes *Bytes = g_uri_unescape_bytes(
      Text.data(), static_cast<gssize>(Text.size()), nullptr, nullptr);
  if (!Bytes)
    return std::nullopt;
  gsize Size = 0;
  const auto *Data = static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
  std::string Result(Data ? Data : "", Size);
  g_bytes_unref(Bytes);
  return Result;
}

inline std::vector<std::string_view> split(std::string_view Text,
                                           char Separator) {
  std::vector<std::string_view> Parts;
  for (;;) {
    std::size_t End = Text.find(Separator);
    Parts.push_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      return Parts;
    Text.remove_prefix(End + 1);
  }
}

/// Decodes "name=value&..." as forms are encoded: a plus sign is a blank.
inline std::optional<std::map<std::string, std::string>>
readQuery(std::string_view Text) {
  std::map<std::string, std::string> Query;
  for (std::string_view Part : split(Text, '&')) {
    std::size_t NameEnd = std::min(Part.find('='), Part.size());
    std::string Encoded(Part.substr(std::min(NameEnd + 1, Part.size())));
    std::replace(Encoded.begin(), Encoded.end(), '+', ' ');
    auto Value = percentDecoded(Encoded);
    if (!Value)
      return std::nullopt;
    Query[std::string(Part.substr(0, NameEnd))] = std::move(*Value);
  }
  return Query;
}

} // namespace pvt

/// Returns nullopt for a target to which the store answers 400.
inline std::optional<store_target> readStoreTarget(std::string_view Target) {
  std::string_view Path = Target.substr(0, Target.find('?'));
  std::string_view Query =
      Target.substr(std::min(Path.size() + 1, Target.size()));
  auto InPath = [](char Byte) {
    return Byte == '/' || pvt::isTargetByte(Byte, false);
  };
  auto InQuery = [](char Byte) { return pvt::isTargetByte(Byte, true); };
  if (!std::all_of(Path.begin(), Path.end(), InPath) ||
      !std::all_of(Query.begin(), Query.end(), InQuery))
    return std::nullopt;
  std::vector<std::string_view> Segments = pvt::split(Path, '/');
  constexpr std::size_t KindSegments = 3; // "", "objects", KIND
  constexpr std::size_t NameSegments = 4;
  constexpr std::size_t StatusSegments = 5;
  bool IsStatus =
      Segments.size() == StatusSegments && Segments.back() == "status";
  bool IsPath = Segments.size() == KindSegments ||
                Segments.size() == NameSegments || IsStatus;
  if (!IsPath || Segments[1] != "objects")
    return std::nullopt;
  auto Kind = pvt::percentDecoded(Segments[2]);
  auto Name = pvt::percentDecoded(
      Segments.size() > KindSegments ? Segments[KindSegments] : "");
  auto Parameters = pvt::readQuery(Query);
  if (!Kind || !Name || !Parameters)
    return std::nullopt;
  return store_target{std::move(*Kind), std::move(*Name), IsStatus,
                      std::move(*Parameters)};
}

} // namespace turmerichead::standin
