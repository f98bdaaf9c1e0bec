#include "checks.h"

#include <cstdlib>
#include <sstream>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {

std::string shortened(std::string Text) {
  constexpr std::size_t MaxShown = 600;
  if (Text.size() > MaxShown)
    Text = Text.substr(0, MaxShown) + "...";
  return Text;
}

std::string textOf(const json &Value) {
  if (Value.is_string())
    return Value.get<std::string>();
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<std::string> judgeTexts(const step &Step,
                                      const std::string &Text) {
  for (const std::string &Part : Step.texts("contains"))
    if (Text.find(Part) == std::string::npos)
      return "lacks \"" + Part + "\": " + shortened(Text);
  for (const std::string &Part : Step.texts("lacks"))
    if (Text.find(Part) != std::string::npos)
      return "contains \"" + Part + "\": " + shortened(Text);
  return std::nullopt;
}

std::optional<std::string> judgeBounds(const step &Step, const json &Value) {
  if (!Step.has("at_least") && !Step.has("at_most"))
    return std::nullopt;
  if (!Value.is_number())
    return "is not a number: " + shortened(textOf(Value));
  const auto Number = Value.get<double>();
  if (Step.has("at_least") && Number < Step.Fields["at_least"].get<double>())
    return "is " + textOf(Value) + ", below " + Step.text("at_least");
  if (Step.has("at_most") && Number > Step.Fields["at_most"].get<double>())
    return "is " + textOf(Value) + ", above " + Step.text("at_most");
  return std::nullopt;
}

bool isOneOf(const json &List, const json &Value) {
  for (const json &Item : List)
    if (Item == Value)
      return true;
  return false;
}

} // namespace

std::optional<json> memberAt(const json &Value, const std::string &Pointer) {
  if (Pointer.empty())
    return Value;
  if (Pointer[0] != '/')
    return std::nullopt;
  const json::json_pointer Place(Pointer);
  if (!Value.is_structured() || !Value.contains(Place))
    return std::nullopt;
  return Value[Place];
}

std::optional<double> metricValue(const std::string &Text,
                                  const std::string &Name) {
  std::istringstream Lines(Text);
  std::string Line;
  std::optional<double> Sum;
  while (std::getline(Lines, Line)) {
    const std::size_t Space = Line.rfind(' ');
    if (Line.empty() || Line[0] == '#' || Space == std::string::npos)
      continue;
    const std::string Series = Line.substr(0, Space);
    const bool Matches =
        Series == Name || Series.compare(0, Name.size() + 1, Name + "{") == 0;
    if (Matches)
      Sum = Sum.value_or(0) + std::strtod(Line.c_str() + Space, nullptr);
  }
  return Sum;
}

std::optional<std::string> judge(const step &Step,
                                 const std::optional<json> &Value) {
  if (Step.has("exists") && Value.has_value() != Step.flag("exists"))
    return Value ? "is there: " + shortened(textOf(*Value)) : "is not there";
  if (!Value)
    return Step.has("exists") ? std::nullopt
                              : std::optional<std::string>("is not there");
  if (Step.has("equals") && Step.Fields["equals"] != *Value)
    return "is " + shortened(textOf(*Value)) + ", not " + Step.text("equals");
  if (Step.has("one_of") && !isOneOf(Step.Fields["one_of"], *Value))
    return "is " + shortened(textOf(*Value)) + ", not one of " +
           Step.text("one_of");
  if (Step.has("count") &&
      static_cast<std::int64_t>(Value->size()) != Step.number("count", 0))
    return "has " + std::to_string(Value->size()) + " members, not " +
           Step.text("count") + ": " + shortened(textOf(*Value));
  if (auto Finding = judgeBounds(Step, *Value))
    return Finding;
  return judgeTexts(Step, textOf(*Value));
}

std::string describe(const step &Step) {
  std::string Text;
  for (const char *Key : {"status", "equals", "one_of", "contains", "lacks",
                          "at_least", "at_most", "exists", "count"})
    if (Step.has(Key))
      Text +=
          std::string(Text.empty() ? "" : ", ") + Key + " " + Step.text(Key);
  return Text;
}

} // namespace turmerichead::scenario
