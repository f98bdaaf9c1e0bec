/// \file
/// The report on all hosts, the metrics page and the status of this host.
#pragma once

#include "context_pvt.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace turmerichead::host_pvt {

class reporter {
public:
  explicit reporter(host_context &Context) : Context(Context) {}

  /// Returns the report of this host, as JSON text.
  std::string own();

  /// Queries all hosts of the map. Calls back once, when all have answered or
  /// after a second.
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
