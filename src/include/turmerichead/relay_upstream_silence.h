/// \file
/// Detects upstreams that take calls and answer none. Nothing here does I/O or
/// reads a clock.
#pragma once

#include "turmerichead/clock.h"

#include <algorithm>

namespace turmerichead::relay {

/// When a service answers this host, whichever of its upstreams. While none of
/// them does, the host's own links may be the cause, so that no upstream counts
/// as silent for that time.
class service_activity {
public:
  /// A pause of this length does not count as silence of single upstreams.
  static constexpr milliseconds MaxPause{400};

  void recordAnswer(time_point Now) {
    if (Now - LastAnswerAt > MaxPause)
      ActiveSince = Now;
    LastAnswerAt = Now;
  }
  /// Returns since when answers have come without a longer pause; \p Now while
  /// there is one.
  time_point activeSince(time_point Now) const {
    return Now - LastAnswerAt > MaxPause ? Now : ActiveSince;
  }

private:
  time_point LastAnswerAt;
  time_point ActiveSince;
};

/// How long the calls of this host at an upstream have waited while none of
/// them got a byte of an answer. The wait of calls that end without an answer
/// is kept: callers that give up, and hedged calls, end before it is long.
/// Expected load: an upstream that hangs while its health checks pass, and a
/// few calls a second, each of which waits there until its deadline.
class upstream_silence {
public:
  /// A call was sent, and \p Others were in flight already.
  void recordSent(std::size_t Others, time_point Now) {
    if (Others == 0)
      WaitingSince = Now;
    LastSentAt = Now;
  }
  /// A call has ended, and \p Others are still in flight. The service answers
  /// since \p ActiveSince.
  void recordEnd(std::size_t Others, time_point ActiveSince, time_point Now) {
    if (Others > 0)
      return;
    Waited = waited(1, ActiveSince, Now);
    WaitedUntil = Now;
  }
  /// The upstream is another process now.
  void restart() {
    Waited = milliseconds(0);
    LastSentAt = {};
  }
  /// A part of an answer has arrived.
  void recordAnswer(time_point Now) {
    WaitingSince = Now;
    Waited = milliseconds(0);
  }

  /// Returns how long calls have waited after \p ActiveSince, with \p InFlight
  /// of them in flight.
  milliseconds waited(std::size_t InFlight, time_point ActiveSince,
                      time_point Now) const {
    milliseconds Total = WaitedUntil > ActiveSince ? Waited : milliseconds(0);
    if (InFlight > 0)
      Total +=
          std::max(Now - std::max(WaitingSince, ActiveSince), milliseconds(0));
    return Total;
  }
  time_point lastSentAt() const { return LastSentAt; }

private:
  time_point WaitingSince;
  milliseconds Waited{0}; ///< By calls that have ended since the last answer.
  time_point WaitedUntil;
  time_point LastSentAt;
};

} // namespace turmerichead::relay
