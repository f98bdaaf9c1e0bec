/// \file
/// Tables of fields: one row per key binds a key to a member, with its type,
/// range, default and description. Settings and catalogue entries are checked,
/// rendered and documented by the same rows.
#pragma once

#include "document_pvt.h"

#include "turmerichead/catalogue.h"
#include "turmerichead/endpoint.h"
#include "turmerichead/findings.h"
#include "turmerichead/settings.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>
#include <vector>

namespace turmerichead::pvt {

/// Sets \p Rank from its name, which has been checked.
void fromName(std::string_view Name, work_rank &Rank);

/// What a text must look like.
enum class text_format {
  Any,
  Name,   ///< Lower-case letters, digits, '-' and '.', 1 to 63 of them.
  Model,  ///< A name that may also have capitals, '_', ':' and '/'.
  Url,    ///< "http://ip:port"
  Sha256, ///< 64 hexadecimal digits.
  Pattern ///< "service", "service/path" or "service/prefix*".
};

/// What a field holds.
using value = std::variant<std::string, std::int64_t, bool, milliseconds,
                           ip_endpoint, std::vector<std::string>>;

struct field_spec {
  std::string_view Key;
  std::string_view Text;
  std::string_view Default = {};
  bool Required = false;
  std::int64_t Min = 0; ///< Of a number; of a list, its length.
  std::int64_t Max = std::numeric_limits<std::int32_t>::max();
  std::string_view Unit = {};
  text_format Format = text_format::Any;
  std::string_view Choices = {};      ///< "a|b"; empty: any text.
  value_type Type = value_type::Text; ///< Set by bind() from the member.
};

template <typename Object> struct field {
  field_spec Spec;
  void (*Set)(Object &, value);
  value (*Get)(const Object &);
};

template <typename Member> constexpr value_type typeOf() {
  if constexpr (std::is_same_v<Member, std::int64_t>)
    return value_type::Integer;
  else if constexpr (std::is_same_v<Member, bool>)
    return value_type::Boolean;
  else if constexpr (std::is_same_v<Member, milliseconds>)
    return value_type::Duration;
  else if constexpr (std::is_same_v<Member, ip_endpoint>)
    return value_type::Endpoint;
  else if constexpr (std::is_same_v<Member, std::vector<std::string>>)
    return value_type::TextList;
  else
    return value_type::Text;
}

/// Whether \p Member is kept as a text in files but as an enum in memory.
template <typename Member>
inline constexpr bool IsNamed = std::is_enum_v<Member>;

template <typename Object, auto... Members>
void setMember(Object &Target, value Value) {
  auto &Member = (Target.*....*Members);
  using member_type = std::remove_reference_t<decltype(Member)>;
  if constexpr (IsNamed<member_type>)
    fromName(std::get<std::string>(Value), Member);
  else
    Member = std::get<member_type>(std::move(Value));
}

template <typename Object, auto... Members>
value getMember(const Object &Source) {
  const auto &Member = (Source.*....*Members);
  if constexpr (IsNamed<std::remove_cvref_t<decltype(Member)>>)
    return std::string(nameOf(Member));
  else
    return Member;
}

/// Binds a row to the member that the chain \p Members leads to.
template <typename Object, auto... Members>
field<Object> bind(field_spec Spec) {
  using member_type = std::remove_reference_t<decltype((
      std::declval<Object &>().*....*Members))>;
  Spec.Type = typeOf<member_type>();
  return {Spec, &setMember<Object, Members...>, &getMember<Object, Members...>};
}

/// The value at a dotted path, or nullptr.
const nlohmann::json *findPath(const nlohmann::json &Root,
                               std::string_view Path);

/// Checks one value; adds a finding and returns std::nullopt if it is wrong.
std::optional<value> checkValue(const field_spec &Spec,
                                const nlohmann::json &Value,
                                const place_map &Places, findings &Findings);

/// The row's default as a value.
value defaultOf(const field_spec &Spec);

/// The value as it stands in a file.
nlohmann::json toJson(const value &Value);

/// Adds a finding for each key of \p Root that is not in \p Known.
void checkUnknown(const nlohmann::json &Root,
                  const std::vector<std::string_view> &Known,
                  const place_map &Places, findings &Findings);

/// Reads all fields of \p Target from \p Root.
template <typename Object>
void readFields(const std::vector<field<Object>> &Fields,
                const nlohmann::json &Root, const place_map &Places,
                findings &Findings, Object &Target) {
  for (const field<Object> &Field : Fields) {
    const nlohmann::json *Value = findPath(Root, Field.Spec.Key);
    if (!Value && Field.Spec.Required) {
      Findings.add(Places.at(std::string(Field.Spec.Key)), "is missing");
      continue;
    }
    std::optional<value> Checked =
        Value ? checkValue(Field.Spec, *Value, Places, Findings)
              : defaultOf(Field.Spec);
    if (Checked)
      Field.Set(Target, std::move(*Checked));
  }
}

template <typename Object>
std::vector<std::string_view> keysOf(const std::vector<field<Object>> &Fields) {
  std::vector<std::string_view> Result;
  Result.reserve(Fields.size());
  for (const field<Object> &Field : Fields)
    Result.push_back(Field.Spec.Key);
  return Result;
}

/// The row as the public table shows it, its key behind \p Prefix.
setting_info infoOf(const field_spec &Spec, std::string_view Prefix);

/// A table of Markdown with one line a row, and its heading.
std::string renderTable(const std::vector<setting_info> &Rows);

} // namespace turmerichead::pvt
