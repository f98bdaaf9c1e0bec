/// \file
/// Quotas: how all hosts together enforce the rate limits of organisations.
///
/// The members of the disk set issue tokens, one for each request. Each of n
/// members issues 1/n of every organisation's limit and does not communicate
/// with the others, so that the sum holds under any partition. Nothing is
/// stored. An entry host asks one member after the other, in the order of
/// quota_requester::pick(), and uses a small local share if it reaches none.
///
/// Decisions only, without input and output; relay_quota_client.h sends and
/// serves the requests. docs/design/rate-limits.md has the arithmetic.
#pragma once

#include "turmerichead/log_limiter.h"
#include "turmerichead/relay_issuing.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::relay {

/// The limit of an organisation, as a version of the configuration has it.
struct quota_limit {
  std::uint64_t Version = 0; ///< Of the configuration.
  double PerSecond = 0;
  double Burst = 0;
};

/// What the deployment allows above the limits.
struct quota_settings {
  /// Requests of all hosts above the limit and its overage, in each window.
  double Slack = 0;
  milliseconds Window{5000};
};

// -- Messages between hosts --------------------------------------------------
// Fields may be added at the end; a host of another version ignores those that
// it does not know.

struct quota_request {
  std::string Organisation;
  std::uint64_t Version = 0;
  double PerSecond = 0;
  double Burst = 0;
  std::uint32_t Count = 1; ///< Tokens that the host can use.
  bool StartsProgram = false;
  MSGPACK_DEFINE(Organisation, Version, PerSecond, Burst, Count, StartsProgram)
};

struct quota_reply {
  std::uint32_t Granted = 0;
  /// Time until the member can grant another token for such a request.
  std::int64_t NextWaitMs = 0;
  std::uint64_t Version = 0; ///< The highest that the member knows.
  double PerSecond = 0;      ///< Limit of that version.
  double Burst = 0;
  /// Part of its limit that the organisation has used lately, at this member.
  double Utilisation = 0;
  /// The same of all organisations that were active, weighted by their limits.
  double MeanUtilisation = 0;
  double Fill = 1; ///< Level of the slice after the grant; 1: full.
  MSGPACK_DEFINE(Granted, NextWaitMs, Version, PerSecond, Burst, Utilisation,
                 MeanUtilisation, Fill)
};

// -- Decisions ---------------------------------------------------------------

/// Counts events of the last two seconds.
class recent_count {
public:
  static constexpr milliseconds Time{2000};
  void add(double Count, time_point Now);
  double total(time_point Now);

private:
  static constexpr std::size_t SlotCount = 4;
  void advance(time_point Now);
  std::array<double, SlotCount> Slots{};
  std::int64_t LastSlot = 0;
};

/// Issues the tokens of one member of the disk set. Expected load: several
/// hundred organisations, some of which ask for many times their limit at all
/// hosts at once.
class quota_issuer {
public:
  explicit quota_issuer(double Slack = 0) : Slack(Slack) {}

  /// Sets the number of members, of which this host is one; 0 if it is none.
  /// A host that has become a member starts with empty slices, since others may
  /// have issued the tokens of the recent past.
  void setMembers(std::size_t Count, time_point Now);
  bool isMember() const { return Members > 0; }

  /// Must only be called on a member.
  quota_reply issue(const quota_request &Request, time_point Now);

private:
  struct row {
    quota_limit Limit;
    /// The slice as it was when the pacer was used last.
    double PerSecond = 0;
    double Depth = 0;
    request_pacer Pacer;
    recent_count Used;
    time_point UsedAt;
  };
  row &rowFor(const quota_request &Request, time_point Now);
  /// Applies the limit of the row and the number of members to its slice.
  void updateSlice(row &Row, time_point Now);
  double meanUtilisation(time_point Now);
  void dropUnused(time_point Now);

  double Slack;
  std::size_t Members = 0;
  time_point MemberSince;
  std::map<std::string, row, std::less<>> Rows; ///< By organisation.
  double Mean = 0;
  time_point MeanAt;
  time_point Cleaned;
};

/// A member as an entry host sees it.
struct quota_member {
  std::string Address;
  bool IsNear = false; ///< In the data centre of the entry host.
};

enum class quota_outcome : std::uint8_t {
  Granted,
  LimitReached, ///< All members have issued their tokens.
  Unknown       ///< Members can't be reached, and the local share is used up.
};
std::string_view nameOf(quota_outcome Outcome);

struct quota_result {
  quota_outcome Outcome = quota_outcome::Unknown;
  milliseconds RetryAfter{0}; ///< If not granted.
};

/// The side of an entry host: which member to ask, and the tokens that are
/// left. Times must come from a clock that does not stop while the machine is
/// suspended. Expected load: an organisation's requests arrive at all hosts of
/// one data centre, faster than a member there can issue tokens.
class quota_requester {
public:
  explicit quota_requester(quota_settings Settings) : Settings(Settings) {}

  /// Applies a newer limit. What is known of empty members is then outdated.
  void setLimit(std::string_view Organisation, const quota_limit &Limit);
  /// Notes a request that needs a token.
  void recordDemand(std::string_view Organisation, time_point Now);
  /// Takes a token that an earlier request has left.
  bool takeHeld(std::string_view Organisation, time_point Now);

  /// Returns the member to ask next: neither asked before for the same request,
  /// nor known to be empty, nor failed lately. nullopt if there is none. A near
  /// member comes first while its slice is nearly full, then the fullest one.
  std::optional<std::string> pick(std::string_view Organisation,
                                  bool StartsProgram,
                                  std::span<const quota_member> Members,
                                  std::span<const std::string> Asked,
                                  time_point Now);
  /// Returns the request for the member at \p Address, which pick() has
  /// returned. It must be followed by recordReply() or recordFailure().
  quota_request requestFor(std::string_view Organisation,
                           const std::string &Address, bool StartsProgram,
                           time_point Now);
  /// Returns whether the reply brought a token for the request itself. Others
  /// are held until 250 ms after \p SentAt: they may have been issued then.
  bool recordReply(const std::string &Address, const quota_request &Request,
                   const quota_reply &Reply, time_point SentAt, time_point Now);
  void recordFailure(const std::string &Address, const quota_request &Request,
                     time_point Now);

  /// Decides a request for which pick() has found no member. \p Hosts is the
  /// number of entry hosts.
  quota_result decide(std::string_view Organisation, bool StartsProgram,
                      std::span<const quota_member> Members, std::size_t Hosts,
                      time_point Now);
  /// Returns the time until there are tokens, if all members are known to be
  /// empty at present and no token is held.
  std::optional<milliseconds> emptyFor(std::string_view Organisation,
                                       bool StartsProgram,
                                       std::span<const quota_member> Members,
                                       time_point Now) const;
  /// Whether setLimit() would discard what is known of the members.
  bool isOutdatedBy(std::string_view Organisation,
                    const quota_limit &Limit) const;

  /// Whether the organisation has lately used far more of its limit than all
  /// organisations on average.
  bool isOverShare(std::string_view Organisation, time_point Now) const;

  /// Counts a refusal. Returns whether it is to be logged, which is the case
  /// once a second.
  bool recordRefusal(std::string_view Organisation, time_point Now);
  /// Returns the organisations refused most often, at most ten.
  std::vector<std::pair<std::string, std::uint64_t>> mostRefused() const;
  /// Forgets organisations for which \p IsLimited(name) is false.
  template <typename Predicate> void retain(Predicate IsLimited) {
    std::erase_if(Rows, [&](const auto &Row) { return !IsLimited(Row.first); });
  }

private:
  struct held_tokens {
    time_point ExpiresAt;
    std::uint32_t Count = 0;
  };
  /// What is known of a member's slice.
  struct slice_state {
    /// Until when it has no tokens, for requests of running programs and for
    /// those that start one.
    std::array<time_point, 2> EmptyUntil;
    double Fill = 1; ///< At FillAt. It was full if nothing is known.
    time_point FillAt;
  };
  struct row {
    quota_limit Limit;
    std::deque<held_tokens> Held;
    std::map<std::string, slice_state, std::less<>> Slices; ///< By address.
    std::size_t Members = 1; ///< Of the disk set.
    recent_count Demand;
    std::uint32_t ExtraAsked = 0; ///< Tokens beyond the requests themselves.
    request_pacer LocalShare;
    double Utilisation = 0;
    double MeanUtilisation = 0;
    std::optional<time_point> ReportedAt;
    std::uint64_t Refused = 0;
    log_limiter LogLimiter;
  };
  row &rowOf(std::string_view Organisation);
  static time_point emptyUntil(const row &Row, std::string_view Address,
                               bool StartsProgram);
  /// Returns the tokens of all slices together if they are full.
  double depthOf(const row &Row) const;
  double fillOf(const row &Row, std::string_view Address, time_point Now) const;
  bool takeLocalShare(row &Row, std::size_t Hosts, time_point Now);

  quota_settings Settings;
  /// Short at first: a member that has just started fails only until it knows
  /// the disk set.
  member_avoidance Avoidance{milliseconds(250)};
  std::map<std::string, row, std::less<>> Rows; ///< By organisation.
};

} // namespace turmerichead::relay
