#include "turmerichead/json_fields.h"

#include <cmath>

namespace turmerichead {

using nlohmann::json;

const json &valueAt(const json &Json, std::string_view Key) {
  static const json Absent;
  auto Value = Json.find(Key);
  return Value == Json.end() ? Absent : *Value;
}

std::string textAt(const json &Json, const char *Key) {
  auto Value = Json.find(Key);
  if (Value == Json.end() || !Value->is_string())
    return {};
  return Value->get<std::string>();
}

std::optional<double> numberAt(const json &Json, const char *Key) {
  auto Value = Json.find(Key);
  if (Value == Json.end() || !Value->is_number() || Value->get<double>() < 0)
    return std::nullopt;
  return Value->get<double>();
}

milliseconds timeOr(std::optional<double> Value, milliseconds Unit,
                    milliseconds Default) {
  // Sums of longer times could overflow.
  constexpr double LongestMs = 1e15;
  double Ms = Value.value_or(0) * static_cast<double>(Unit.count());
  if (!Value || Ms > LongestMs)
    return Default;
  return milliseconds(std::llround(Ms));
}

milliseconds millisecondsAt(const json &Json, const char *Key,
                            milliseconds Default) {
  return timeOr(numberAt(Json, Key), milliseconds(1), Default);
}

milliseconds secondsAt(const json &Json, const char *Key,
                       milliseconds Default) {
  return timeOr(numberAt(Json, Key), std::chrono::seconds(1), Default);
}

bool flagAt(const json &Json, const char *Key) {
  auto Value = Json.find(Key);
  return Value != Json.end() && Value->is_boolean() && Value->get<bool>();
}

} // namespace turmerichead
