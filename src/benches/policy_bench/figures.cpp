#include "figures.h"

#include <algorithm>
#include <cstdio>

namespace bench {

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  auto Rank =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  std::ranges::nth_element(Values,
                           Values.begin() + static_cast<std::ptrdiff_t>(Rank));
  return Values[Rank];
}

spread spreadOf(std::vector<double> Values) {
  if (Values.empty())
    return {};
  std::ranges::sort(Values);
  std::size_t Middle = Values.size() / 2;
  double Median = Values[Middle];
  if (Values.size() % 2 == 0)
    Median = (Values[Middle - 1] + Values[Middle]) / 2;
  return {Median, Values.front(), Values.back()};
}

spread spreadOf(const std::vector<run_figures> &Runs,
                double (*Field)(const run_figures &)) {
  std::vector<double> Values;
  Values.reserve(Runs.size());
  for (const run_figures &Run : Runs)
    Values.push_back(Field(Run));
  return spreadOf(std::move(Values));
}

std::string textOf(const spread &Spread, int Digits) {
  char Text[96];
  std::snprintf(Text, sizeof(Text), "%.*f (%.*f..%.*f)", Digits, Spread.Median,
                Digits, Spread.Least, Digits, Spread.Most);
  return Text;
}

} // namespace bench
