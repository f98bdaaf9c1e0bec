/// \file
/// How fast upstreams are, as measured by this host. Nothing here does I/O or
/// reads a clock.
#pragma once

#include "turmerichead/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// The times that are measured at upstreams.
enum class time_kind : std::uint8_t {
  FirstEvent,       ///< Until the first event, with the prompt not cached.
  CachedFirstEvent, ///< Until the first event, with the prompt cached.
  EventGap,         ///< Between two events.
  Answer,           ///< Until the end of an answer that is not a stream.
};
inline constexpr std::size_t TimeKinds = 4;

/// A mean over recent samples. The older they are, the less they count.
class recent_mean {
public:
  /// Up to \p MaxSamples samples count; a new one then replaces an average one.
  void add(milliseconds Sample, double MaxSamples, time_point Now);
  double meanMs() const { return MeanMs; }
  /// Returns how many new samples the samples so far are worth.
  double samples(time_point Now) const { return Count / ageFactor(Now); }
  /// Returns the mean with a prior mean that counts as \p PriorSamples. A prior
  /// of 0 is not known. Returns 0 if nothing is known.
  double combined(double PriorMs, double PriorSamples, time_point Now) const;
  /// Returns the time since the latest sample; nullopt if there is none.
  std::optional<milliseconds> age(time_point Now) const {
    if (Count <= 0)
      return std::nullopt;
    return Now - LatestAt;
  }

private:
  double ageFactor(time_point Now) const;

  double MeanMs = 0;
  double Count = 0;
  time_point LatestAt;
};

/// The times measured at one run of an upstream.
class upstream_speed {
public:
  void record(time_kind Kind, milliseconds Sample, time_point Now);
  const recent_mean &of(time_kind Kind) const {
    return Means[static_cast<std::size_t>(Kind)];
  }
  /// Returns the time since the latest sample of any kind; nullopt if there is
  /// none.
  std::optional<milliseconds> age(time_point Now) const;

private:
  std::array<recent_mean, TimeKinds> Means;
};

/// What a time is predicted for.
struct turn_shape {
  bool IsStream = true;  ///< Otherwise only the time of the answer counts.
  bool IsCached = false; ///< Whether the upstream has the prompt in its cache.
  double Events = 20;    ///< Expected number of events of a stream.
};

/// Estimates for the upstreams of one service at one time. An upstream with few
/// or old samples has the mean of its data centre, and a data centre with few
/// samples that of the service: each mean is weighted by its samples.
///
///     Speeds.start(Shape, Now);
///     for (auto &Upstream : UpstreamsOfTheService)
///       Upstream.Index = Speeds.add(Upstream.DataCentre, Upstream.Speed);
///     Speeds.finish();
///     double Ms = Speeds.turnMs(Speeds.at(Index), Upstream.Speed);
///
/// An object keeps its memory for the next start(). It refers to the names of
/// data centres until then.
class service_speed {
public:
  /// A time until the first event or the end, and one between two events.
  struct times {
    double First = 0;
    double Gap = 0;
  };
  struct data_centre {
    std::string_view Name;
    times TotalMs;
    times Samples;
    times EstimateMs;  ///< 0: not known.
    double TurnMs = 0; ///< Predicted time of a turn; 0: not known.
  };

  void start(const turn_shape &Shape, time_point Now);
  /// Returns the index of the data centre for at().
  std::size_t add(std::string_view DataCentre, const upstream_speed &Speed);
  void finish();

  const data_centre &at(std::size_t Index) const { return DataCentres[Index]; }
  /// Returns the data centre, or one with the means of the service if it has no
  /// upstreams.
  const data_centre &find(std::string_view Name) const;
  /// Returns the data centre other than \p Own that was measured least among
  /// those with nearly no recent samples, or with old ones that promise far
  /// less time than \p Own takes now. Returns nullptr if there is none or \p
  /// Own has too few recent samples itself.
  const data_centre *toMeasure(std::string_view Own) const;

  /// Returns the estimated time between two events at an upstream, 0 if nothing
  /// is known.
  double gapMs(const data_centre &DataCentre,
               const upstream_speed &Speed) const;
  /// Returns the predicted time of a turn that does not wait for a slot, 0 if
  /// nothing is known.
  double turnMs(const data_centre &DataCentre,
                const upstream_speed &Speed) const;

private:
  time_kind firstKind() const;
  double turnMs(const times &Times) const;
  void estimate(data_centre &DataCentre, const times &Prior) const;

  turn_shape Shape;
  time_point Now;
  data_centre Service; ///< Sums of all data centres.
  std::vector<data_centre> DataCentres;
};

/// Returns whether a predicted time is shorter by enough to act on it. Smaller
/// differences are within the errors of the measurement.
inline bool isClearlyShorter(double Ms, double ThanMs) {
  constexpr double MaxShare = 0.75;
  return Ms > 0 && Ms <= MaxShare * ThanMs;
}

} // namespace turmerichead::relay
