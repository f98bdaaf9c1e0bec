/// \file
/// Rows of programs and calls: the fold of committed records. The holder, its
/// snapshots and its successor all build them with the same apply(), so what
/// a successor knows is what the holder had committed.
#pragma once

#include "turmerichead/state_delta.h"
#include "turmerichead/state_records.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// How far a kept call got. Open numbers have no call, or one that did not
/// run.
enum class call_state : std::uint8_t { Accepted, Intent, Open, Ended };

} // namespace turmerichead

MSGPACK_ADD_ENUM(turmerichead::call_state)

namespace turmerichead {

/// A call of a program, as the journal knows it.
struct call_row {
  call_body Call;
  call_state State = call_state::Open;
  call_outcome Outcome = call_outcome::NotRun; ///< Of an Ended call.
  std::uint16_t HttpStatus = 0;
  std::string ContentType;
  std::string Body; ///< The answer.
  std::string Code; ///< Of a call that ended without an answer.
  std::uint64_t Tokens = 0;
  std::uint32_t Crashes = 0; ///< Upstreams that died under it.

  MSGPACK_DEFINE(Call, State, Outcome, HttpStatus, ContentType, Body, Code,
                 Tokens, Crashes)
};

/// A root program or a sub-agent. Call number N is Calls[N - 1].
struct program_row {
  std::string Path;
  std::vector<call_row> Calls;
  /// Calls answered or failed without a gap from the first one.
  std::uint32_t EndedCalls = 0;
  /// Taken over from a holder that may have dispatched the next call without
  /// a record of it: that call can't be said to be "not run".
  std::uint32_t UncertainNumber = 0;
  /// The conversation after the latest answered model call, and what that
  /// call used: the next call's prompt is at least as long.
  std::vector<message_digest> Messages;
  std::uint64_t MessagesTokens = 0;
  std::uint64_t MessagesRestHash = 0; ///< chat_digest::RestHash of that call.
  MSGPACK_DEFINE(Path, Calls, EndedCalls, UncertainNumber, Messages,
                 MessagesTokens, MessagesRestHash)
};

/// What a root program and its sub-agents share.
struct root_row {
  std::string Root;
  std::uint32_t Shard = 0;
  std::string Entry;
  std::string Owner;
  std::uint8_t Rank = 0;
  granted_limits Limits;
  std::int64_t WallStartMs = 0;
  std::uint64_t SpentTokens = 0;
  std::uint64_t ReservedUpTo = 0; ///< Tokens in all, spent ones included.
  std::uint32_t Turns = 0;
  std::uint32_t ToolCalls = 0;
  std::uint32_t RetriesUsed = 0;
  end_reason EndReason = end_reason::None;
  std::int64_t WallEndMs = 0;
  bool BodiesDropped =
      false; ///< Its bodies were dropped some time after its end.
  std::map<std::string, program_row> Programs; ///< By path, the root's too.
  MSGPACK_DEFINE(Root, Shard, Entry, Owner, Rank, Limits, WallStartMs,
                 SpentTokens, ReservedUpTo, Turns, ToolCalls, RetriesUsed,
                 EndReason, WallEndMs, BodiesDropped, Programs)

  bool ended() const { return EndReason != end_reason::None; }
};

/// The shard of a root program, given by the shard map's hash.
using shard_of_root = std::function<std::uint32_t(std::string_view Root)>;

/// All roots of one holder or of one shard.
class state_rows {
public:
  /// Folds one committed record in. Records about unknown programs or calls
  /// are counted in rejected() and otherwise ignored.
  void apply(const record &Record, const shard_of_root &ShardOf);

  root_row *findRoot(std::string_view Program);
  const root_row *findRoot(std::string_view Program) const;
  const program_row *findProgram(std::string_view Program) const;

  std::map<std::string, root_row, std::less<>> &roots() { return Roots; }
  const std::map<std::string, root_row, std::less<>> &roots() const {
    return Roots;
  }
  std::size_t rejected() const { return Rejected; }

  /// Moves the roots of \p Shard out.
  state_rows takeShard(std::uint32_t Shard);
  /// Takes in the roots of another set; a root present in both is replaced.
  void merge(state_rows Other);
  /// Drops the bodies of a root that has ended, and keeps its numbers, keys
  /// and outcomes, so that no call of it runs again.
  void dropBodies(std::string_view Root);
  /// Drops a root that has ended.
  void removeRoot(std::string_view Root);

  /// What a successor must assume: open reservations are spent, intents
  /// without outcome are unknown, and the next call of each program may have
  /// run without a record.
  void assumeHolderCrashed();

private:
  std::map<std::string, root_row, std::less<>> Roots;
  std::size_t Rejected = 0;
};

} // namespace turmerichead
