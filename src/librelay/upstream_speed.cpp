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
// The same for a data centre and the mean of its service, as a multiple.
// Without it a full pool of equal runners sends programs to other data centres
// on old samples, which saves no time.
constexpr double DataCentrePriors = 2;
// Samples that a mean remembers, as a multiple of these.
constexpr double MaxPriors = 4;

// A data centre with fewer samples, as a share of the above, is measured again:
// some six minutes after the last turn there.
constexpr double MinShareMeasured = 0.1;
// The same for one whose times were this share of the own ones now, or less:
// after 30 s. Swings of the load make smaller differences.
constexpr double FasterShare = 0.6;
constexpr double MinShareFaster = 1;
// A host measures others while its own data centre has as many, which is three
// recent turns. A host with few calls would otherwise send many of them away.
constexpr double MinShareOwn = 3;

constexpr double priorOf(time_kind Kind) {
  return PriorSamples[static_cast<std::size_t>(Kind)];
}

/// Returns the mean of samples and of a prior mean, which counts as \p Weight
/// samples unless it is 0.
double combine(double TotalMs, double Samples, double PriorMs, double Weight) {
  if (PriorMs > 0)
    return (TotalMs + Weight * PriorMs) / (Samples + Weight);
  return Samples > 0 ? TotalMs / Samples : 0;
}

} // namespace

double recent_mean::ageFactor(time_point Now) const {
  constexpr double PerMs = 1.0 / static_cast<double>(HalfAge.count());
  auto AgeMs = static_cast<double>((Now - LatestAt).count());
  return 1.0 + std::max(AgeMs, 0.0) * PerMs;
}

void recent_mean::add(milliseconds Sample, double MaxSamples, time_point Now) {
  // Times are whole milliseconds, so that short ones may be rounded to 0.
  constexpr double MinMs = 0.5;
  double Ms = std::max(static_cast<double>(Sample.count()), MinMs);
  Count = std::min(samples(Now) + 1, MaxSamples);
  MeanMs += (Ms - MeanMs) / Count;
  LatestAt = std::max(LatestAt, Now);
}

double recent_mean::combined(double PriorMs, double PriorSamples,
                             time_point Now) const {
  return combine(Count * MeanMs, Count, PriorMs, PriorSamples * ageFactor(Now));
}

void upstream_speed::record(time_kind Kind, milliseconds Sample,
                            time_point Now) {
  Means[static_cast<std::size_t>(Kind)].add(Sample, MaxPriors * priorOf(Kind),
                                            Now);
}

std::optional<milliseconds> upstream_speed::age(time_point Now) const {
  std::optional<milliseconds> Age;
  for (const recent_mean &Mean : Means)
    if (auto Other = Mean.age(Now))
      Age = std::min(Age.value_or(*Other), *Other);
  return Age;
}

void service_speed::start(const turn_shape &NewShape, time_point NewNow) {
  Shape = NewShape;
  Now = NewNow;
  Service = {};
  DataCentres.clear();
}

time_kind service_speed::firstKind() const {
  if (!Shape.IsStream)
    return time_kind::Answer;
  return Shape.IsCached ? time_kind::CachedFirstEvent : time_kind::FirstEvent;
}

std::size_t service_speed::add(std::string_view Name,
                               const upstream_speed &Speed) {
  auto Row = std::find_if(
      DataCentres.begin(), DataCentres.end(),
      [&](const data_centre &DataCentre) { return DataCentre.Name == Name; });
  if (Row == DataCentres.end()) {
    Row = DataCentres.emplace(Row);
    Row->Name = Name;
  }
  auto Add = [&](time_kind Kind, double times::*Time) {
    double Samples = Speed.of(Kind).samples(Now);
    Row->Samples.*Time += Samples;
    Row->TotalMs.*Time += Samples * Speed.of(Kind).meanMs();
  };
  Add(firstKind(), &times::First);
  Add(time_kind::EventGap, &times::Gap);
  return static_cast<std::size_t>(Row - DataCentres.begin());
}

void service_speed::estimate(data_centre &Row, const times &Prior) const {
  Row.EstimateMs.First =
      combine(Row.TotalMs.First, Row.Samples.First, Prior.First,
              DataCentrePriors * priorOf(firstKind()));
  Row.EstimateMs.Gap = combine(Row.TotalMs.Gap, Row.Samples.Gap, Prior.Gap,
                               DataCentrePriors * priorOf(time_kind::EventGap));
  Row.TurnMs = turnMs(Row.EstimateMs);
}

void service_speed::finish() {
  for (const data_centre &Row : DataCentres) {
    Service.Samples.First += Row.Samples.First;
    Service.Samples.Gap += Row.Samples.Gap;
    Service.TotalMs.First += Row.TotalMs.First;
    Service.TotalMs.Gap += Row.TotalMs.Gap;
  }
  estimate(Service, {});
  for (data_centre &Row : DataCentres)
    estimate(Row, Service.EstimateMs);
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
  constexpr double Prior = priorOf(time_kind::EventGap);
  const data_centre &OwnRow = find(Own);
  if (OwnRow.Samples.Gap < MinShareOwn * Prior)
    return nullptr;
  const data_centre *Least = nullptr;
  for (const data_centre &Row : DataCentres) {
    bool WasFaster = Row.TotalMs.Gap <=
                     FasterShare * OwnRow.EstimateMs.Gap * Row.Samples.Gap;
    double Share = Row.Samples.Gap / Prior;
    bool IsOld = Share < (WasFaster ? MinShareFaster : MinShareMeasured);
    if (Row.Name != Own && IsOld &&
        (!Least || Row.Samples.Gap < Least->Samples.Gap))
      Least = &Row;
  }
  return Least;
}

double service_speed::gapMs(const data_centre &DataCentre,
                            const upstream_speed &Speed) const {
  return Speed.of(time_kind::EventGap)
      .combined(DataCentre.EstimateMs.Gap, priorOf(time_kind::EventGap), Now);
}

double service_speed::turnMs(const data_centre &DataCentre,
                             const upstream_speed &Speed) const {
  times Times;
  Times.First =
      Speed.of(firstKind())
          .combined(DataCentre.EstimateMs.First, priorOf(firstKind()), Now);
  if (Shape.IsStream)
    Times.Gap = gapMs(DataCentre, Speed);
  return turnMs(Times);
}

double service_speed::turnMs(const times &Times) const {
  double Gaps = Shape.IsStream ? std::max(0.0, Shape.Events - 1) : 0;
  return Times.First + Gaps * Times.Gap;
}

} // namespace turmerichead::relay
