#include "turmerichead/relay_upstream_speed.h"

#include <algorithm>

namespace turmerichead::relay {

namespace {

// Age at which samples count half. A host uses one of 44 runners about once in
// ten seconds.
constexpr milliseconds HalfAge{10'000};

// Samples of an upstream that count as much as the mean of its data centre, by
// kind. A turn gives one time to the first event and some twenty between
// events, which are alike if the runner is slow for a moment.
constexpr std::array<double, TimeKinds> PriorSamples = {4, 4, 20, 16};
// Samples that a mean remembers, as a multiple of these.
constexpr double MaxPriors = 4;

// A data centre with fewer samples of one kind, as a share of the above, is
// measured again: about 90 s after the last turn there.
constexpr double MinShareMeasured = 0.4;

constexpr std::size_t indexOf(time_kind Kind) {
  return static_cast<std::size_t>(Kind);
}

/// Returns the mean of samples and of a prior estimate, which may be unknown.
double combine(double TotalMs, double Samples, double PriorMs, double Weight) {
  if (PriorMs <= 0)
    return Samples > 0 ? TotalMs / Samples : 0;
  return (TotalMs + Weight * PriorMs) / (Samples + Weight);
}

} // namespace

double recent_mean::samples(time_point Now) const {
  if (Now <= LatestAt)
    return Count;
  return Count / (1.0 + static_cast<double>((Now - LatestAt).count()) /
                            static_cast<double>(HalfAge.count()));
}

void recent_mean::add(milliseconds Sample, double MaxSamples, time_point Now) {
  // Times are whole milliseconds, so that short ones may be rounded to 0.
  constexpr double MinMs = 0.5;
  double Ms = std::max(static_cast<double>(Sample.count()), MinMs);
  Count = std::min(samples(Now) + 1, MaxSamples);
  MeanMs += (Ms - MeanMs) / Count;
  LatestAt = std::max(LatestAt, Now);
}

void upstream_speed::record(time_kind Kind, milliseconds Sample,
                            time_point Now) {
  std::size_t Index = indexOf(Kind);
  Means[Index].add(Sample, MaxPriors * PriorSamples[Index], Now);
}

void service_speed::start(const turn_shape &NewShape, time_point NewNow) {
  Shape = NewShape;
  Now = NewNow;
  Service = {};
  DataCentres.clear();
}

void service_speed::add(std::string_view Name, const upstream_speed &Speed) {
  auto Row = std::find_if(
      DataCentres.begin(), DataCentres.end(),
      [&](const data_centre &DataCentre) { return DataCentre.Name == Name; });
  if (Row == DataCentres.end()) {
    Row = DataCentres.emplace(Row);
    Row->Name = Name;
  }
  for (std::size_t Kind = 0; Kind < TimeKinds; ++Kind) {
    const recent_mean &Mean = Speed.of(static_cast<time_kind>(Kind));
    double Samples = Mean.samples(Now);
    Row->Samples[Kind] += Samples;
    Row->TotalMs[Kind] += Samples * Mean.meanMs();
  }
}

void service_speed::finish() {
  for (std::size_t Kind = 0; Kind < TimeKinds; ++Kind) {
    for (const data_centre &Row : DataCentres) {
      Service.Samples[Kind] += Row.Samples[Kind];
      Service.TotalMs[Kind] += Row.TotalMs[Kind];
    }
    Service.EstimateMs[Kind] =
        combine(Service.TotalMs[Kind], Service.Samples[Kind], 0, 0);
    for (data_centre &Row : DataCentres)
      Row.EstimateMs[Kind] =
          combine(Row.TotalMs[Kind], Row.Samples[Kind],
                  Service.EstimateMs[Kind], PriorSamples[Kind]);
  }
  Service.TurnMs = turnMs(Service, {}, false);
  for (data_centre &Row : DataCentres)
    Row.TurnMs = turnMs(Row, {}, false);
}

const service_speed::data_centre &
service_speed::find(std::string_view Name) const {
  for (const data_centre &Row : DataCentres)
    if (Row.Name == Name)
      return Row;
  return Service;
}

const service_speed::data_centre *
service_speed::toMeasure(std::string_view Own) const {
  std::size_t Kind =
      indexOf(Shape.IsStream ? time_kind::EventGap : time_kind::Answer);
  double Enough = MinShareMeasured * PriorSamples[Kind];
  const data_centre *Least = nullptr;
  bool IsOwnMeasured = false;
  for (const data_centre &Row : DataCentres) {
    bool IsMeasured = Row.Samples[Kind] >= Enough;
    if (Row.Name == Own)
      IsOwnMeasured = IsMeasured;
    else if (!IsMeasured &&
             (!Least || Row.Samples[Kind] < Least->Samples[Kind]))
      Least = &Row;
  }
  return IsOwnMeasured ? Least : nullptr;
}

double service_speed::estimateMs(time_kind Kind, const data_centre &DataCentre,
                                 const upstream_speed &Speed) const {
  const recent_mean &Mean = Speed.of(Kind);
  double Samples = Mean.samples(Now);
  return combine(Samples * Mean.meanMs(), Samples,
                 DataCentre.EstimateMs[indexOf(Kind)],
                 PriorSamples[indexOf(Kind)]);
}

double service_speed::turnMs(const data_centre &DataCentre,
                             const upstream_speed &Speed, bool IsCached) const {
  if (!Shape.IsStream)
    return estimateMs(time_kind::Answer, DataCentre, Speed);
  time_kind First =
      IsCached ? time_kind::CachedFirstEvent : time_kind::FirstEvent;
  double Gaps = std::max(0.0, Shape.Events - 1);
  return estimateMs(First, DataCentre, Speed) +
         Gaps * estimateMs(time_kind::EventGap, DataCentre, Speed);
}

} // namespace turmerichead::relay
