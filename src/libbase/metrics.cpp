#include "turmerichead/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <map>
#include <sstream>
#include <utility>

namespace turmerichead {

namespace {

namespace acc = boost::accumulators;

using summary =
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square>>;

constexpr std::array<double, 3> Quantiles = {0.5, 0.95, 0.99};

struct series_key {
  std::string Name;
  std::string Labels;
  friend auto operator<=>(const series_key &, const series_key &) = default;
};

struct simple_series {
  const char *Type = "counter";
  double Value = 0;
};

std::string withLabels(const series_key &Key, const std::string &Extra) {
  std::string Labels = Key.Labels;
  if (!Labels.empty() && !Extra.empty())
    Labels += ',';
  Labels += Extra;
  if (Labels.empty())
    return "";
  return '{' + Labels + '}';
}

} // namespace

struct metrics::state {
  std::map<series_key, simple_series> Simple;
  std::map<series_key, summary> Summaries;
};

metrics::metrics() : State(std::make_unique<state>()) {}
metrics::~metrics() = default;

void metrics::add(std::string_view Name, std::string_view Labels,
                  double Amount) {
  State->Simple[{std::string(Name), std::string(Labels)}].Value += Amount;
}

void metrics::set(std::string_view Name, std::string_view Labels,
                  double Value) {
  simple_series &Series =
      State->Simple[{std::string(Name), std::string(Labels)}];
  Series.Type = "gauge";
  Series.Value = Value;
}

void metrics::observe(std::string_view Name, std::string_view Labels,
                      double Value) {
  series_key Key{std::string(Name), std::string(Labels)};
  auto Found = State->Summaries.find(Key);
  if (Found == State->Summaries.end())
    Found =
        State->Summaries
            .emplace(std::move(Key),
                     summary(acc::extended_p_square_probabilities = Quantiles))
            .first;
  Found->second(Value);
}

double metrics::value(std::string_view Name, std::string_view Labels) const {
  auto Found = State->Simple.find({std::string(Name), std::string(Labels)});
  return Found == State->Simple.end() ? 0 : Found->second.Value;
}

std::string metrics::toPrometheus() const {
  std::ostringstream Output;
  Output.precision(12);
  std::string LastName;
  for (const auto &[Key, Series] : State->Simple) {
    if (Key.Name != LastName)
      Output << "# TYPE turmerichead_" << Key.Name << ' ' << Series.Type
             << '\n';
    LastName = Key.Name;
    Output << "turmerichead_" << Key.Name << withLabels(Key, "") << ' '
           << Series.Value << '\n';
  }
  LastName.clear();
  for (const auto &[Key, Summary] : State->Summaries) {
    if (Key.Name != LastName)
      Output << "# TYPE turmerichead_" << Key.Name << " summary\n";
    LastName = Key.Name;
    for (std::size_t I = 0; I < Quantiles.size(); ++I) {
      std::ostringstream Label;
      Label << "quantile=\"" << Quantiles[I] << '"';
      Output << "turmerichead_" << Key.Name << withLabels(Key, Label.str())
             << ' ' << acc::extended_p_square(Summary)[I] << '\n';
    }
    Output << "turmerichead_" << Key.Name << "_sum" << withLabels(Key, "")
           << ' ' << acc::sum(Summary) << '\n';
    Output << "turmerichead_" << Key.Name << "_count" << withLabels(Key, "")
           << ' ' << acc::count(Summary) << '\n';
  }
  return Output.str();
}

} // namespace turmerichead
