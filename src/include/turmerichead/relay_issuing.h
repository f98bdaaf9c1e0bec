/// \file
/// What all limits that disk hosts enforce for the entry hosts have in common:
/// the pace at which requests are allowed, and which disk hosts are not asked
/// for a time. Used by permits for upstreams (relay_permits.h) and tokens of
/// organisations (relay_quota.h).
///
/// Decisions only; relay_member_requests.h sends the requests.
#pragma once

#include "turmerichead/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::relay {

/// Spaces requests evenly (generic cell rate algorithm). Equivalent to a token
/// bucket that holds 1 + Burst tokens; a new one is full.
class request_pacer {
public:
  /// Reserves the next request if it may be sent within \p MaxWait of \p Now.
  /// Returns its delay; nullopt if that would be longer, see wait().
  /// \p PerSecond must be above 0. At most 1 + \p Burst requests follow each
  /// other without a delay after a pause.
  std::optional<milliseconds> take(double PerSecond, double Burst,
                                   milliseconds MaxWait, time_point Now);
  /// Returns the delay that the next request would get.
  milliseconds wait(double PerSecond, double Burst, time_point Now) const;

  /// Returns how many requests could follow each other now without a delay, as
  /// the level of the bucket. Negative if requests have been reserved ahead.
  double available(double PerSecond, double Burst, time_point Now) const;
  /// Sets the level of the bucket, for another rate or burst than before.
  void setAvailable(double Tokens, double PerSecond, double Burst,
                    time_point Now);

private:
  double NextMs = 0; ///< When the next request is due at an even pace.
};

/// The disk hosts that did not reply lately. Each failure in a row doubles the
/// time for which a host is not asked.
class member_avoidance {
public:
  static constexpr milliseconds MaxTime{2000};

  /// \p FirstTime: for which a host is not asked after its first failure.
  explicit member_avoidance(milliseconds FirstTime = MaxTime)
      : FirstTime(FirstTime) {}

  bool isAvoided(std::string_view Address, time_point Now) const;
  /// Returns until when the disk host is not asked.
  time_point avoidedUntil(std::string_view Address) const;
  /// The disk host did not reply in time, or is of a version that does not know
  /// the request.
  void recordFailure(std::string_view Address, time_point Now);
  void recordReply(std::string_view Address);

private:
  struct avoidance {
    time_point Until;
    milliseconds Duration{0};
  };
  milliseconds FirstTime;
  std::map<std::string, avoidance, std::less<>> Avoidances; ///< By address.
};

} // namespace turmerichead::relay
