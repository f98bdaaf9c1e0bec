/// \file
/// The report over all hosts, the metrics page and the host's status.
#pragma once

#include "context_pvt.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace turmerichead::host_pvt {

class reporter {
public:
  explicit reporter(host_context &Context) : Context(Context) {}

  /// This host's own report, as JSON text.
  std::string own();

  /// Asks all hosts of the map, and calls back once with what is known after
  /// all have answered or a second has passed.
  void build(std::function<void(const fleet_report &)> Done);

  std::string metricsPage();
  nlohmann::json status() const;

private:
  void exportPlatform();
  void exportProcess();

  host_context &Context;
  report_board Board;
};

} // namespace turmerichead::host_pvt
