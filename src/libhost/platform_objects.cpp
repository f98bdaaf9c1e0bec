#include "platform_objects_pvt.h"

namespace turmerichead::host_pvt {

nlohmann::json binaryObject(const std::string &Name, std::string_view Bytes) {
  return {{"metadata", {{"name", Name}}},
          {"spec", {{"data", encodeBase64(Bytes)}}}};
}

std::string bytesOf(const nlohmann::json &Object) {
  if (!Object.is_object() || !Object.contains("spec"))
    return {};
  const nlohmann::json &Spec = Object["spec"];
  if (!Spec.is_object() || !Spec.contains("data") || !Spec["data"].is_string())
    return {};
  return decodeBase64(Spec["data"].get_ref<const std::string &>())
      .value_or(std::string());
}

create_result createResultOf(platform_outcome Outcome) {
  if (Outcome == platform_outcome::Ok)
    return create_result::Created;
  if (Outcome == platform_outcome::Conflict)
    return create_result::Exists;
  return create_result::Failed;
}

read_result readResultOf(platform_outcome Outcome) {
  if (Outcome == platform_outcome::Ok)
    return read_result::Found;
  if (Outcome == platform_outcome::NotFound)
    return read_result::Absent;
  return read_result::Failed;
}

} // namespace turmerichead::host_pvt
