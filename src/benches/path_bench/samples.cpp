#include "samples.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace turmerichead::bench {

double samples::percentile(double Percent) const {
  if (Values.empty())
    return 0;
  if (!Sorted)
    std::sort(Values.begin(), Values.end());
  Sorted = true;
  auto Rank = static_cast<std::size_t>(
      std::ceil(Percent / 100 * static_cast<double>(Values.size())));
  return Values[std::max<std::size_t>(Rank, 1) - 1];
}

std::string toText(double Value, int Digits) {
  std::ostringstream Out;
  Out.setf(std::ios::fixed);
  Out.precision(Digits);
  Out << Value;
  return Out.str();
}

process_ids parseProcessIds(std::string_view Text) {
  process_ids Result;
  std::istringstream In{std::string(Text)};
  std::string Pair;
  while (std::getline(In, Pair, ',')) {
    std::size_t Equals = Pair.find('=');
    if (Equals != std::string::npos)
      Result[Pair.substr(0, Equals)] =
          std::atoi(Pair.substr(Equals + 1).c_str());
  }
  return Result;
}

double processorMs(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/stat");
  std::string Line;
  if (!std::getline(In, Line))
    return 0;
  // The name in parentheses may hold spaces; the 14th and 15th field of the
  // line are the ticks of user and system time.
  std::istringstream Fields(Line.substr(Line.rfind(')') + 2));
  std::string Field;
  constexpr int FieldsBefore = 11;
  for (int I = 0; I < FieldsBefore; ++I)
    Fields >> Field;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMb(int Pid) {
  std::ifstream In("/proc/" + std::to_string(Pid) + "/statm");
  double Total = 0;
  double Resident = 0;
  In >> Total >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

} // namespace turmerichead::bench
