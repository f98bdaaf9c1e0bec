#include "field_pvt.h"

#include "turmerichead/error.h"

#include <algorithm>

namespace turmerichead::pvt {
namespace {

bool isLowerAlnum(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
}

bool isName(std::string_view Text) {
  constexpr std::size_t MaxNameBytes = 63;
  if (Text.empty() || Text.size() > MaxNameBytes || !isLowerAlnum(Text[0]))
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return isLowerAlnum(C) || C == '-' || C == '.';
  });
}

bool isModel(std::string_view Text) {
  constexpr std::size_t MaxModelBytes = 127;
  if (Text.size() > MaxModelBytes)
    return false;
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return isLowerAlnum(C) || (C >= 'A' && C <= 'Z') ||
           std::string_view("-._:/").find(C) != std::string_view::npos;
  });
}

bool isUrl(std::string_view Text) {
  constexpr std::string_view Scheme = "http://";
  return Text.starts_with(Scheme) &&
         ip_endpoint::parse(Text.substr(Scheme.size()));
}

bool isSha256(std::string_view Text) {
  constexpr std::size_t Digits = 64;
  return Text.size() == Digits &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
         });
}

bool isPattern(std::string_view Text) {
  constexpr std::size_t MaxPatternBytes = 255;
  std::size_t Star = Text.find('*');
  bool StarIsLast = Star == std::string_view::npos || Star + 1 == Text.size();
  std::string_view Service = Text.substr(0, Text.find('/'));
  return Text.size() <= MaxPatternBytes && StarIsLast && isName(Service);
}

/// What is wrong with a text; empty if nothing is.
std::string textFault(const field_spec &Spec, std::string_view Text) {
  constexpr std::size_t MaxTextBytes = 4'096;
  if (Text.size() > MaxTextBytes)
    return "is longer than 4096 bytes";
  if (!Spec.Choices.empty()) {
    std::string Listed = '|' + std::string(Spec.Choices) + '|';
    if (Text.find('|') == std::string_view::npos &&
        Listed.find('|' + std::string(Text) + '|') != std::string::npos)
      return "";
    std::string Shown(Spec.Choices);
    std::replace(Shown.begin(), Shown.end(), '|', ' ');
    return "must be one of: " + Shown;
  }
  if (Text.empty() && !Spec.Required)
    return "";
  switch (Spec.Format) {
  case text_format::Any:
    return Text.empty() ? "must not be empty" : "";
  case text_format::Name:
    return isName(Text) ? ""
                        : "must be a name: 1 to 63 lower-case letters, "
                          "digits, '-' and '.'";
  case text_format::Model:
    return isModel(Text) ? "" : "is not a model name";
  case text_format::Url:
    return isUrl(Text) ? "" : "must be a URL such as http://10.0.0.5:6443";
  case text_format::Sha256:
    return isSha256(Text) ? "" : "must be 64 lower-case hexadecimal digits";
  case text_format::Pattern:
    return isPattern(Text)
               ? ""
               : "must be 'service', 'service/path' or 'service/prefix*'";
  }
  return "";
}

std::string rangeText(const field_spec &Spec) {
  return std::to_string(Spec.Min) + " to " + std::to_string(Spec.Max);
}

std::string withUnit(std::string Text, const field_spec &Spec) {
  if (!Spec.Unit.empty())
    Text.append(" ").append(Spec.Unit);
  return Text;
}

std::optional<std::int64_t> checkNumber(const field_spec &Spec,
                                        const nlohmann::json &Value,
                                        const source_place &Place,
                                        findings &Findings) {
  if (!Value.is_number_integer()) {
    Findings.add(Place, withUnit("must be an integer", Spec));
    return std::nullopt;
  }
  bool TooLarge =
      Value.is_number_unsigned() &&
      Value.get<std::uint64_t>() > static_cast<std::uint64_t>(Spec.Max);
  auto Number = TooLarge ? 0 : Value.get<std::int64_t>();
  if (TooLarge || Number < Spec.Min || Number > Spec.Max) {
    Findings.add(Place, "is out of range: " + Value.dump() + ", must be " +
                            withUnit(rangeText(Spec), Spec));
    return std::nullopt;
  }
  return Number;
}

std::optional<value> checkText(const field_spec &Spec,
                               const nlohmann::json &Value,
                               const source_place &Place, findings &Findings) {
  if (!Value.is_string()) {
    Findings.add(Place, "must be a text");
    return std::nullopt;
  }
  const auto &Text = Value.get_ref<const std::string &>();
  if (std::string Fault = textFault(Spec, Text); !Fault.empty()) {
    Findings.add(Place, std::move(Fault));
    return std::nullopt;
  }
  return Text;
}

std::optional<value> checkEndpoint(const nlohmann::json &Value,
                                   const source_place &Place,
                                   findings &Findings) {
  if (!Value.is_string()) {
    Findings.add(Place, "must be a text \"ip:port\"");
    return std::nullopt;
  }
  auto Parsed = ip_endpoint::parse(Value.get_ref<const std::string &>());
  if (!Parsed) {
    Findings.add(Place, lastError().Text);
    return std::nullopt;
  }
  return *Parsed;
}

std::optional<value> checkList(const field_spec &Spec,
                               const nlohmann::json &Value,
                               const place_map &Places, findings &Findings) {
  std::string Key(Spec.Key);
  if (!Value.is_array()) {
    Findings.add(Places.at(Key), "must be a list of texts");
    return std::nullopt;
  }
  if (Value.size() > static_cast<std::size_t>(Spec.Max)) {
    Findings.add(Places.at(Key),
                 "has more than " + std::to_string(Spec.Max) + " items");
    return std::nullopt;
  }
  std::vector<std::string> Result;
  field_spec Item = Spec;
  Item.Required = true; // An empty text in a list is a mistake.
  for (std::size_t I = 0; I < Value.size(); ++I) {
    source_place Place = Places.at(Key + '[' + std::to_string(I) + ']');
    if (auto Text = checkText(Item, Value[I], Place, Findings))
      Result.push_back(std::get<std::string>(*Text));
  }
  if (Result.size() != Value.size())
    return std::nullopt;
  return Result;
}

void walkUnknown(const nlohmann::json &Node, const std::string &Path,
                 const std::vector<std::string_view> &Known,
                 const place_map &Places, findings &Findings) {
  for (const auto &[Key, Child] : Node.items()) {
    std::string ChildPath = joinKey(Path, Key);
    if (std::find(Known.begin(), Known.end(), ChildPath) != Known.end())
      continue;
    std::string Prefix = ChildPath + '.';
    bool IsTable =
        std::any_of(Known.begin(), Known.end(), [&](std::string_view Row) {
          return Row.starts_with(Prefix);
        });
    if (!IsTable)
      Findings.add(Places.at(ChildPath), "is not a known key");
    else if (!Child.is_object())
      Findings.add(Places.at(ChildPath), "must be a table");
    else
      walkUnknown(Child, ChildPath, Known, Places, Findings);
  }
}

} // namespace

const nlohmann::json *findPath(const nlohmann::json &Root,
                               std::string_view Path) {
  const nlohmann::json *Node = &Root;
  while (Node->is_object()) {
    std::size_t Dot = Path.find('.');
    auto Found = Node->find(std::string(Path.substr(0, Dot)));
    if (Found == Node->end())
      return nullptr;
    Node = &*Found;
    if (Dot == std::string_view::npos)
      return Node;
    Path.remove_prefix(Dot + 1);
  }
  return nullptr;
}

std::optional<value> checkValue(const field_spec &Spec,
                                const nlohmann::json &Value,
                                const place_map &Places, findings &Findings) {
  source_place Place = Places.at(std::string(Spec.Key));
  switch (Spec.Type) {
  case value_type::Text:
    return checkText(Spec, Value, Place, Findings);
  case value_type::Integer:
    if (auto Number = checkNumber(Spec, Value, Place, Findings))
      return *Number;
    return std::nullopt;
  case value_type::Duration:
    if (auto Number = checkNumber(Spec, Value, Place, Findings))
      return milliseconds(*Number);
    return std::nullopt;
  case value_type::Boolean:
    if (Value.is_boolean())
      return Value.get<bool>();
    Findings.add(Place, "must be true or false");
    return std::nullopt;
  case value_type::Endpoint:
    return checkEndpoint(Value, Place, Findings);
  case value_type::TextList:
    return checkList(Spec, Value, Places, Findings);
  }
  return std::nullopt;
}

value defaultOf(const field_spec &Spec) {
  std::string Text(Spec.Default);
  switch (Spec.Type) {
  case value_type::Integer:
    return Text.empty() ? std::int64_t{0} : std::int64_t{std::stoll(Text)};
  case value_type::Duration:
    return milliseconds(Text.empty() ? 0 : std::stoll(Text));
  case value_type::Boolean:
    return Text == "true";
  case value_type::Endpoint:
    return ip_endpoint::parse(Text).value_or(ip_endpoint{});
  case value_type::TextList:
    return std::vector<std::string>{};
  case value_type::Text:
    break;
  }
  return Text;
}

nlohmann::json toJson(const value &Value) {
  if (const auto *Text = std::get_if<std::string>(&Value))
    return *Text;
  if (const auto *Number = std::get_if<std::int64_t>(&Value))
    return *Number;
  if (const auto *Boolean = std::get_if<bool>(&Value))
    return *Boolean;
  if (const auto *Duration = std::get_if<milliseconds>(&Value))
    return Duration->count();
  if (const auto *Endpoint = std::get_if<ip_endpoint>(&Value))
    return Endpoint->toText();
  return std::get<std::vector<std::string>>(Value);
}

void checkUnknown(const nlohmann::json &Root,
                  const std::vector<std::string_view> &Known,
                  const place_map &Places, findings &Findings) {
  walkUnknown(Root, "", Known, Places, Findings);
}

setting_info infoOf(const field_spec &Spec, std::string_view Prefix) {
  setting_info Result;
  Result.Key = std::string(Prefix) + std::string(Spec.Key);
  Result.Type = Spec.Type;
  Result.Unit = Spec.Unit;
  Result.Default = Spec.Default;
  Result.Required = Spec.Required;
  Result.Text = Spec.Text;
  if (Spec.Type == value_type::Integer || Spec.Type == value_type::Duration)
    Result.Range = rangeText(Spec);
  else if (Spec.Type == value_type::TextList)
    Result.Range = "up to " + std::to_string(Spec.Max);
  else if (!Spec.Choices.empty()) {
    for (char C : Spec.Choices)
      Result.Range += C == '|' ? std::string(", ") : std::string(1, C);
  }
  return Result;
}

} // namespace turmerichead::pvt
