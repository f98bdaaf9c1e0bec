/// \file
/// Counters, gauges and latency histograms, exposed in the Prometheus text
/// format.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace turmerichead {

/// Returns `NAME="VALUE"`, with \p Value of any bytes escaped, as one label of
/// a series. Labels are separated by commas.
std::string metricLabel(std::string_view Name, std::string_view Value);

/// All metrics of a process. A series is created by its first use. Labels have
/// the syntax of the exposition format: `rank="urgent",entry="yard"`.
///
///     Metrics.add("calls_total", metricLabel("rank", "urgent"));
///     Metrics.observe("call_ms", "", 12.5);
class metrics {
public:
  metrics();
  ~metrics();
  metrics(const metrics &) = delete;
  metrics &operator=(const metrics &) = delete;

  /// Adds \p Amount to a counter.
  void add(std::string_view Name, std::string_view Labels = "",
           double Amount = 1);

  /// Sets a gauge.
  void set(std::string_view Name, std::string_view Labels, double Value);

  /// Removes all series of a counter or gauge, for labels whose values change.
  void clear(std::string_view Name);

  /// Adds a sample, in milliseconds, to a histogram of latencies.
  void observe(std::string_view Name, std::string_view Labels, double Value);

  /// Returns the value of a counter or gauge; 0 if it was never used.
  double value(std::string_view Name, std::string_view Labels = "") const;

  /// Returns all series; their names start with "turmerichead_".
  std::string toPrometheus() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace turmerichead
