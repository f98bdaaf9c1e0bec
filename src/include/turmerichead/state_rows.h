/// \file
/// The state of programs and calls, built from committed records. The holder,
/// its snapshots and its successor all use the same apply(), so a successor has
/// exactly the state that the holder had committed.
#pragma once

#include "turmerichead/state_delta.h"
#include "turmerichead/state_records.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// Progress of a recorded call. An Open row has no call yet, or its call ended
/// with the outcome NotRun.
enum class call_state : std::uint8_t { Accepted, Intent, Open, Ended };

} // namespace turmerichead

MSGPACK_ADD_ENUM(turmerichead::call_state)

namespace turmerichead {

/// The recorded state of one call.
struct call_row {
  call_body Call;
  call_state State = call_state::Open;
  call_outcome Outcome = call_outcome::NotRun; ///< Valid if State is Ended.
  std::uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body; ///< Body of the answer.
  std::string Code; ///< Set if the call ended without an answer.
  std::uint64_t Tokens = 0;
  /// Upstreams that crashed while they executed the call.
  std::uint32_t Crashes = 0;

  MSGPACK_DEFINE(Call, State, Outcome, HttpStatus, ContentType, Body, Code,
                 Tokens, Crashes)
};

/// The recorded state of a root program or a sub-agent. Call number N is
/// Calls[N - 1].
struct program_row {
  std::string Path;
  std::vector<call_row> Calls;
  /// Length of the prefix of Calls that consists of ended calls only.
  std::uint32_t EndedCalls = 0;
  /// Set by a takeover: the previous holder may have dispatched the call with
  /// this number without a committed record, so it must not be reported as "not
  /// run". 0 if there is no such call.
  std::uint32_t UncertainNumber = 0;
  /// The conversation after the latest answered model call, and the tokens that
  /// this call used. The prompt of the next call is at least as long.
  std::vector<message_digest> Messages;
  std::uint64_t MessagesTokens = 0;
  std::uint64_t MessagesRestHash = 0; ///< chat_digest::RestHash of that call.
  MSGPACK_DEFINE(Path, Calls, EndedCalls, UncertainNumber, Messages,
                 MessagesTokens, MessagesRestHash)
};

/// The state that a root program and its sub-agents share.
struct root_row {
  std::string Root;
  std::uint32_t Shard = 0;
  std::string Entry;
  std::string Owner;
  std::uint8_t Rank = 0;
  granted_limits Limits;
  std::int64_t WallStartMs = 0;
  std::uint64_t SpentTokens = 0;
  std::uint64_t ReservedUpTo = 0; ///< Total in tokens, including SpentTokens.
  std::uint32_t Turns = 0;
  std::uint32_t ToolCalls = 0;
  std::uint32_t RetriesUsed = 0;
  end_reason EndReason = end_reason::None;
  std::int64_t WallEndMs = 0;
  bool BodiesDropped = false; ///< Its bodies were deleted some time after its
                              ///< end (dropBodies()).
  std::map<std::string, program_row> Programs; ///< By path; includes the root.
  MSGPACK_DEFINE(Root, Shard, Entry, Owner, Rank, Limits, WallStartMs,
                 SpentTokens, ReservedUpTo, Turns, ToolCalls, RetriesUsed,
                 EndReason, WallEndMs, BodiesDropped, Programs)

  bool ended() const { return EndReason != end_reason::None; }
};

/// Maps a root program to its shard, with the hash of the shard map.
using shard_of_root = std::function<std::uint32_t(std::string_view Root)>;

/// The roots of one holder or of one shard. Not thread-safe.
class state_rows {
public:
  /// Applies one committed record. Records of unknown programs or calls are
  /// ignored and counted in rejected().
  void apply(const record &Record, const shard_of_root &ShardOf);

  root_row *findRoot(std::string_view Program);
  const root_row *findRoot(std::string_view Program) const;
  const program_row *findProgram(std::string_view Program) const;

  std::map<std::string, root_row, std::less<>> &roots() { return Roots; }
  const std::map<std::string, root_row, std::less<>> &roots() const {
    return Roots;
  }
  std::size_t rejected() const { return Rejected; }

  /// Removes and returns the roots of \p Shard.
  state_rows takeShard(std::uint32_t Shard);
  /// Adds the roots of \p Other; a root that exists in both is replaced.
  void merge(state_rows Other);
  /// Deletes the bodies of a root that has ended. Its call numbers, keys and
  /// outcomes stay, so that none of its calls is executed again.
  void dropBodies(std::string_view Root);
  /// Removes a root that has ended.
  void removeRoot(std::string_view Root);

  /// Applies what a successor must assume after a crash of the holder: reserved
  /// tokens are spent, intents without an outcome have the outcome Unknown, and
  /// the next call of each program may have run without a record.
  void assumeHolderCrashed();

private:
  std::map<std::string, root_row, std::less<>> Roots;
  std::size_t Rejected = 0;
};

} // namespace turmerichead
