/// \file
/// Names and contents of entries that another writer may have left in the
/// store, and that no host may be misled by.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace turmerichead::standin {

/// Names with what is syntax in a target, in a header, in a path or in JSON,
/// all of them text.
inline std::vector<std::string> oddNames() {
  return {"a&b",
          "a&after=z",
          "a+a",
          "a#a",
          "a%zz",
          "a%41",
          "a%",
          "a a",
          "a/a",
          "a/status",
          "../config/main",
          "a?a",
          "a=a",
          "a;a",
          "a\"\\",
          "a\r\nX: y",
          std::string("a\0b", 3),
          "a\x7f",
          "a\xC3\xA4",
          ".."};
}

/// Specifications and statuses whose fields are missing or of another type.
/// None is an upstream, a host or a configuration to use.
inline std::vector<nlohmann::json> oddValues() {
  using nlohmann::json;
  constexpr std::size_t LargeBytes = 200'000;
  return {nullptr,
          "text",
          -1e300,
          json::array({1, nullptr, json::array()}),
          {{"state", 7}, {"slots", "many"}, {"service", json::array()}},
          {{"state", json::object()}, {"duration_s", "long"}},
          {{"version", "new"}, {"routes", 7}, {"tenants", "all"}},
          {{"tenants", {7, {{"name", "a\r\nX: y"}, {"api_keys", 7}}}}},
          {{"name", 7}, {"address", {1, 2}}, {"keeps_data", "yes"}},
          {{"epoch", -1}, {"members", {7}}, {"next", "none"}},
          {{"address", std::string(LargeBytes, 'x')}}};
}

} // namespace turmerichead::standin
