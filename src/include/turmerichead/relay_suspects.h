/// \file
/// Which calls were under way when an upstream died.
///
/// A connection that breaks may mean a lost answer or a dead upstream. It is
/// taken for a death once the upstream can't be connected to soon after. A
/// call that was under way at several deaths is refused: it would take down
/// every upstream that runs it. The load pattern that it answers: one request
/// that crashes its runner and is sent again and again, through any host.
#pragma once

#include "turmerichead/sched_poison.h"

#include <deque>
#include <string>
#include <string_view>

namespace turmerichead::relay {

class suspects {
public:
  suspects();

  /// A call is known by what its caller sends again: program, target, body.
  static std::uint64_t fingerprintOf(std::string_view Program,
                                     std::string_view Target,
                                     std::string_view Body);

  /// Whether a call has been under way at too many deaths.
  bool isCondemned(std::uint64_t Fingerprint, time_point Now) const;

  /// A call's connection to an upstream broke before its answer was whole.
  void noteBroken(std::string_view Upstream, std::uint64_t Fingerprint,
                  time_point Now);

  /// An upstream could not be connected to. Returns true if that makes a
  /// death known, which other hosts are to be told of.
  bool noteUnreachable(std::string_view Upstream, time_point Now);

  void noteSuccess(std::uint64_t Fingerprint, time_point Now);

  /// The records for other hosts, and theirs. Bytes that do not decode fail
  /// with Corrupt.
  std::string encode(time_point Now) const;
  bool merge(std::string_view Bytes, time_point Now);

private:
  struct broken_call {
    std::string Upstream;
    std::uint64_t Fingerprint = 0;
    time_point At;
  };
  sched::poison_table Table;
  std::deque<broken_call> Broken; ///< The newest last.
};

} // namespace turmerichead::relay
