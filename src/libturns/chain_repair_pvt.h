/// \file
/// Which turns a disk host requests from other members to complete the chains
/// that it stores. No I/O and no clock.
///
/// A host that stores a turn stores all turns of its chain. Each host that has
/// the newest turn then knows how long the earlier ones are needed, and the
/// loss of one disk leaves the whole chain on another one. The entry host
/// chooses the members for each turn by its data centre and by which of them
/// respond, so a member may receive a turn without having the ones before it.
#pragma once

#include "turmerichead/turns_index.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::turns {

/// The repairs in progress. Each one requests a missing turn from all other
/// members at once, as any of them may be down. Their replies list the turns
/// before it, and the rest of the chain is requested from the first member that
/// has it.
class chain_repair {
public:
  /// A request to one member.
  struct request {
    std::string Address;
    std::string Turn; ///< The missing turn; pass it on with the reply.
    copy_request Message;
  };

  explicit chain_repair(std::string Self) : Self(std::move(Self)) {}

  /// Starts the repair of a missing turn. Returns the requests to send: none if
  /// it is in progress, was not found lately, or too many are in progress.
  std::vector<request> start(const std::string &Turn, const disk_set &Set,
                             time_point Now);

  /// Whether a reply of this member is expected. The records of other replies
  /// need not be stored.
  bool awaits(const std::string &Turn, std::string_view Address) const;

  /// Takes a reply whose records have been stored in \p Index. Returns the next
  /// requests to send.
  std::vector<request> onReply(const std::string &Turn,
                               const std::string &Address,
                               const copy_reply &Reply, const turn_index &Index,
                               const disk_set &Set, time_point Now);

  /// Ends a repair without a result: the set has changed.
  void cancel(const std::string &Turn) { Repairs.erase(Turn); }

  /// Whether the members had no such turn when they were asked last.
  bool wasNotFound(std::string_view Turn) const {
    return NotFoundAt.find(Turn) != NotFoundAt.end();
  }

  /// Ends repairs that take too long, and forgets which turns were not found
  /// after a while. Call it a few times a second.
  void expire(time_point Now);

  std::size_t inProgress() const { return Repairs.size(); }

private:
  struct repair {
    std::set<std::string, std::less<>> Awaited; ///< Addresses.
    bool AsksAllMembers = false;
    time_point StartedAt;
  };

  std::vector<request> requestRest(const std::string &Turn,
                                   const std::string &Address,
                                   const std::vector<listed_turn> &Listed,
                                   const turn_index &Index, const disk_set &Set,
                                   time_point Now);

  std::string Self;                                   ///< Address of this host.
  std::map<std::string, repair, std::less<>> Repairs; ///< By missing turn.
  std::map<std::string, time_point, std::less<>> NotFoundAt;
};

} // namespace turmerichead::turns
