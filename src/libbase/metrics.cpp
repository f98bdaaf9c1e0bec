#include "turmerichead/metrics.h"

#include <cmath>
#include <map>
#include <prometheus/histogram.h>
#include <sstream>
#include <utility>

namespace turmerichead {

namespace {

/// Upper bounds of a histogram's buckets, in milliseconds.
const prometheus::Histogram::BucketBoundaries BucketBoundsMs = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};

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

std::string boundText(double Bound) {
  if (std::isinf(Bound))
    return "+Inf";
  std::ostringstream Text;
  Text << Bound;
  return Text.str();
}

void writeHistogram(std::ostream &Output, const series_key &Key,
                    const prometheus::ClientMetric::Histogram &Histogram) {
  const std::string Name = "turmerichead_" + Key.Name;
  for (const auto &Bucket : Histogram.bucket) {
    std::string Bound = "le=\"" + boundText(Bucket.upper_bound) + "\"";
    Output << Name << "_bucket" << withLabels(Key, Bound) << ' '
           << Bucket.cumulative_count << '\n';
  }
  Output << Name << "_sum" << withLabels(Key, "") << ' ' << Histogram.sample_sum
         << '\n';
  Output << Name << "_count" << withLabels(Key, "") << ' '
         << Histogram.sample_count << '\n';
}

} // namespace

std::string metricLabel(std::string_view Name, std::string_view Value) {
  std::string Label(Name);
  Label += "=\"";
  for (char Byte : Value) {
    if (Byte == '"' || Byte == '\\')
      Label += '\\';
    if (Byte == '\n')
      Label += "\\n";
    else
      Label += Byte;
  }
  Label += '"';
  return Label;
}

struct metrics::state {
  std::map<series_key, simple_series> Simple;
  std::map<series_key, prometheus::Histogram> Histograms;
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

void metrics::clear(std::string_view Name) {
  std::erase_if(State->Simple,
                [&](const auto &Row) { return Row.first.Name == Name; });
}

void metrics::observe(std::string_view Name, std::string_view Labels,
                      double Value) {
  State->Histograms
      .try_emplace({std::string(Name), std::string(Labels)}, BucketBoundsMs)
      .first->second.Observe(Value);
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
  for (const auto &[Key, Histogram] : State->Histograms) {
    if (Key.Name != LastName)
      Output << "# TYPE turmerichead_" << Key.Name << " histogram\n";
    LastName = Key.Name;
    writeHistogram(Output, Key, Histogram.Collect().histogram);
  }
  return Output.str();
}

} // namespace turmerichead
