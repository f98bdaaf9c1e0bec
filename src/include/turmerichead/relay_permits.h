/// \file
/// Permits: how all hosts together keep the limit that an upstream has named.
///
/// A limit holds for the sum of all hosts, which each know only their own
/// requests. So a host asks for a permit before each request to such an
/// upstream. Disk hosts issue them: for each run of an upstream one of them, by
/// rendezvous hash, so that all hosts ask the same one without an election, and
/// shares follow demand. Nothing of it is stored. Where the first disk host
/// does not reply, the next one is asked, and in the end a host uses its own
/// share.
///
/// The sum stays below one and a half times the limit whoever hears whom: the
/// second disk host issues a third of what the first one does, the third one a
/// ninth, and so on.
///
/// Decisions only, without input and output; relay_permit_client.h sends and
/// serves the requests.
#pragma once

#include "turmerichead/relay_issuing.h"
#include "turmerichead/relay_notices.h"

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace turmerichead::relay {

// -- Messages between hosts --------------------------------------------------
// Fields may be added at the end; a host of another version ignores those that
// it does not know.

/// What a host knows of a limit.
struct limit_message {
  bool IsLimited = false; ///< If false, the upstream has ended its limit.
  double PerSecond = 0;
  std::int64_t AgeMs = 0; ///< Since the answer that said so.
  MSGPACK_DEFINE(IsLimited, PerSecond, AgeMs)
};

struct permit_request {
  upstream_run Upstream;
  limit_message Limit;
  /// How many disk hosts the requester asks before this one.
  std::uint32_t Position = 0;
  /// The longest time that the request may be delayed; negative: the host wants
  /// no permit and only tells what it knows.
  std::int64_t MaxWaitMs = 0;
  /// Only if another request could follow at once: for requests that have no
  /// reason to go to this upstream.
  bool OnlySpare = false;
  MSGPACK_DEFINE(Upstream, Limit, Position, MaxWaitMs, OnlySpare)
};

struct permit_reply {
  bool Granted = false;
  /// If granted, the delay after which to send the request; otherwise the time
  /// until there are permits again.
  std::int64_t WaitMs = 0;
  std::int64_t NextWaitMs = 0; ///< Delay that the next request will get.
  limit_message Limit;         ///< The latest that the disk host knows.
  MSGPACK_DEFINE(Granted, WaitMs, NextWaitMs, Limit)
};

// -- Decisions ---------------------------------------------------------------

/// Returns the requests a second that are sent at a limit of \p PerSecond.
/// Above 0: an upstream that named 0 still gets a request from time to time,
/// whose answer tells when its limit has ended.
double pacedRate(double PerSecond);

/// Issues permits on a disk host. Expected load: most upstreams of a service
/// name limits at once while callers want more than these allow; a host asks
/// for each call, and again at another upstream if it gets no permit.
class permit_issuer {
public:
  permit_reply issue(const permit_request &Request, time_point Now);

private:
  struct row {
    limit_message Limit; ///< The latest; AgeMs is unused.
    time_point SaidAt;   ///< When the upstream said it.
    request_pacer Pacer;
    time_point UsedAt;
  };
  void dropUnused(time_point Now);
  std::map<upstream_run, row> Rows;
  time_point Cleaned;
};

/// The disk hosts in the order in which a host asks them.
class issuer_order {
public:
  /// An address, and its place in the order of all disk hosts.
  struct candidate {
    std::string Address;
    std::uint32_t Position = 0;
  };
  /// Returns the first of \p Addresses, in the order for \p Upstream, that has
  /// not failed lately; nullopt if there is none.
  std::optional<candidate> pick(const upstream_run &Upstream,
                                std::span<const std::string> Addresses,
                                time_point Now);
  void recordFailure(std::string_view Address, time_point Now) {
    Avoided.recordFailure(Address, Now);
  }

private:
  member_avoidance Avoided;
};

/// Which call asks for a permit, and how long it waits at most.
struct permit_wait {
  std::uint32_t Rank = 0; ///< 0 is the most urgent.
  bool StartsProgram = false;
  bool HasAlternative = false; ///< Another upstream could run it at once.
  /// The upstream has the program's prompt in its cache, which would have to be
  /// computed again elsewhere.
  bool IsHome = false;
  milliseconds Left{0}; ///< Until the deadline of the call.

  /// Calls of programs under way wait longer than those that start a program,
  /// and urgent ones longer than others: when there are fewer permits than
  /// calls, the delay settles between the two, and the less important are
  /// refused at once.
  milliseconds longest() const;
  /// Whether the call takes only a permit that is to spare: permits are for the
  /// programs that have their prompts at the upstream.
  bool onlySpare() const { return HasAlternative && !IsHome; }
};

/// How a request for a permit ended.
struct permit_result {
  bool Granted = false;
  milliseconds Wait{0};     ///< See permit_reply::WaitMs.
  milliseconds NextWait{0}; ///< See permit_reply::NextWaitMs.
  /// What another host knows, if that is later than what this one knew.
  std::optional<limit_message> News;
  std::string IssuedBy; ///< Address; empty: the host's own share.
};

} // namespace turmerichead::relay
