/// \file
/// What the answers of an upstream say about the upstream itself. Nothing here
/// does I/O or reads a clock.
#pragma once

#include "turmerichead/clock.h"

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead::relay {

/// One run of an upstream process. Another process may get its address, or
/// start under its id.
struct upstream_run {
  std::string Id;
  std::int64_t StartedMs = 0;
  MSGPACK_DEFINE(Id, StartedMs)
  friend auto operator<=>(const upstream_run &, const upstream_run &) = default;
};

/// What the head of one answer says of its upstream. The platform adapter
/// decodes it.
struct upstream_notice {
  /// Requests a second that the upstream takes from all hosts together, 0 or
  /// more; unset if the answer names no limit.
  std::optional<double> RequestsPerSecond;
  /// A limit is named that cannot be read. What was known before stays valid.
  bool HasInvalidLimit = false;
  /// The upstream ends soon and wants no new calls. It does not come back; a
  /// process that starts later is another one.
  bool IsLeaving = false;
};

/// A limit that an upstream has named.
struct request_limit {
  double PerSecond = 0; ///< Requests of all hosts together.
  time_point NamedAt;   ///< Arrival of the latest answer that named it.
  friend bool operator==(const request_limit &,
                         const request_limit &) = default;
};

/// What a host believes of one run of an upstream, from its answers and from
/// other hosts that have received such answers. It outranks the entry of the
/// upstream in the store, which may be older.
struct upstream_state {
  /// Ends with the run only: an entry that still says ready does not undo it.
  bool IsLeaving = false;
  std::optional<request_limit> Limit;
  friend bool operator==(const upstream_state &,
                         const upstream_state &) = default;
};

/// How an answer has changed what a host knows of a limit.
enum class limit_change : std::uint8_t {
  None,
  Named,   ///< There was none before.
  Changed, ///< It has another value.
  Ended
};
std::string_view nameOf(limit_change Change);

/// Updates \p Limit by an answer that has arrived at \p Now for a request sent
/// at \p SentAt. Answers of different connections may arrive in another order
/// than they were sent in, so a limit ends only with the answer to a request
/// that was sent after the limit was last named.
limit_change updateLimit(std::optional<request_limit> &Limit,
                         const upstream_notice &Notice, time_point SentAt,
                         time_point Now);

} // namespace turmerichead::relay
