/// \file
/// Samples of one measurement, and the processor time of processes.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::bench {

/// Values of which percentiles are asked at the end.
class samples {
public:
  void add(double Value) { Values.push_back(Value); }
  std::size_t size() const { return Values.size(); }
  /// \p Percent from 0 to 100; 0 without any value.
  double percentile(double Percent) const;

private:
  mutable std::vector<double> Values;
  mutable bool Sorted = false;
};

/// "12.34" with \p Digits behind the point.
std::string toText(double Value, int Digits);

/// Processes by name, as given by --pids "a1=123,b1=456".
using process_ids = std::map<std::string, int>;
process_ids parseProcessIds(std::string_view Text);

/// Processor time that a process has used, in milliseconds; 0 if it has gone.
double processorMs(int Pid);

/// Resident memory of a process in megabytes; 0 if it has gone.
double residentMb(int Pid);

} // namespace turmerichead::bench
