#include "turmerichead/state_rows.h"

#include <algorithm>
#include <utility>

namespace turmerichead {

namespace {

// Records with a higher call number are rejected, because callAt() allocates a
// row for each lower number.
constexpr std::uint32_t MaxCallNumber = 1U << 20;

call_row *callAt(program_row &Program, std::uint32_t Number) {
  if (Number == 0 || Number > MaxCallNumber)
    return nullptr;
  if (Program.Calls.size() < Number)
    Program.Calls.resize(Number);
  return &Program.Calls[Number - 1];
}

void countEnded(root_row &Root, program_row &Program, const call_row &Call) {
  if (Call.Call.Kind == call_kind::Model)
    ++Root.Turns;
  else
    ++Root.ToolCalls;
  while (Program.EndedCalls < Program.Calls.size() &&
         Program.Calls[Program.EndedCalls].State == call_state::Ended)
    ++Program.EndedCalls;
}

// Stores the digests of the conversation after an answered model call.
void updateConversation(program_row &Program, const call_row &Call) {
  if (Call.Call.Kind != call_kind::Model)
    return;
  auto Delta = digestChat(Call.Call.Delta);
  auto Answer = digestAnswer(Call.Body);
  if (!Delta || !Answer || Call.Call.OmittedMessages > Program.Messages.size())
    return;
  Program.Messages.resize(Call.Call.OmittedMessages);
  Program.Messages.insert(Program.Messages.end(), Delta->Messages.begin(),
                          Delta->Messages.end());
  Program.Messages.push_back(*Answer);
  Program.MessagesTokens = Call.Tokens;
  Program.MessagesRestHash = Call.Call.RestHash;
}

// Applies one record to its root, which exists, and its program, which may be
// null. Returns false if the record does not fit the rows.
struct applier {
  root_row &Root;
  program_row *Program;

  bool operator()(const program_started_record &) { return true; }
  bool operator()(const shard_record &) { return true; }
  bool operator()(const barrier_record &) { return true; }

  bool operator()(const call_accepted_record &Record) {
    return begin(Record.Number, Record.Call, call_state::Accepted);
  }
  bool operator()(const intent_record &Record) {
    return begin(Record.Number, Record.Call, call_state::Intent);
  }
  bool begin(std::uint32_t Number, const call_body &Body, call_state State) {
    call_row *Call = Program ? callAt(*Program, Number) : nullptr;
    if (!Call || Call->State == call_state::Ended)
      return false;
    Call->Call = Body;
    Call->State = State;
    return true;
  }

  bool operator()(const budget_reserved_record &Record) {
    Root.ReservedUpTo = std::max(Root.ReservedUpTo, Record.UpTo);
    return true;
  }

  bool operator()(const answer_record &Record) {
    call_row *Call = started(Record.Number);
    if (!Call)
      return false;
    Call->HttpStatus = Record.HttpStatus;
    Call->ContentType = Record.ContentType;
    Call->Body = Record.Body;
    Root.ReservedUpTo = std::max(Root.ReservedUpTo, Record.ReserveUpTo);
    end(*Call, call_outcome::Answered, Record.Tokens);
    updateConversation(*Program, *Call);
    return true;
  }

  bool operator()(const call_closed_record &Record) {
    call_row *Call = started(Record.Number);
    if (!Call)
      return false;
    if (Record.Outcome == call_outcome::NotRun) {
      *Call = call_row();
      return true;
    }
    Call->Code = Record.Code;
    end(*Call, Record.Outcome, Record.Tokens);
    return true;
  }

  bool operator()(const upstream_crash_record &Record) {
    call_row *Call = started(Record.Number);
    if (!Call)
      return false;
    ++Call->Crashes;
    ++Root.RetriesUsed;
    Root.SpentTokens += Record.Tokens;
    return true;
  }

  bool operator()(const program_ended_record &Record) {
    if (Root.ended())
      return true;
    Root.EndReason = Record.Reason;
    Root.WallEndMs = Record.WallMs;
    return true;
  }

  call_row *started(std::uint32_t Number) {
    call_row *Call = Program ? callAt(*Program, Number) : nullptr;
    bool HasStarted = Call && (Call->State == call_state::Accepted ||
                               Call->State == call_state::Intent);
    return HasStarted ? Call : nullptr;
  }

  void end(call_row &Call, call_outcome Outcome, std::uint64_t Tokens) {
    Call.State = call_state::Ended;
    Call.Outcome = Outcome;
    Call.Tokens = Tokens;
    Root.SpentTokens += Tokens;
    countEnded(Root, *Program, Call);
  }
};

root_row rootFrom(const program_started_record &Record, std::uint32_t Shard) {
  root_row Root;
  Root.Root = Record.Program;
  Root.Shard = Shard;
  Root.Entry = Record.Entry;
  Root.Owner = Record.Owner;
  Root.Rank = Record.Rank;
  Root.Limits = Record.Limits;
  Root.WallStartMs = Record.WallStartMs;
  return Root;
}

} // namespace

void state_rows::apply(const record &Record, const shard_of_root &ShardOf) {
  std::string_view Path = programOf(Record);
  if (Path.empty())
    return;
  root_row *Root = findRoot(Path);
  if (const auto *Started = std::get_if<program_started_record>(&Record)) {
    bool IsRoot = rootOf(Path) == Path;
    // The name of a root that has ended can be used again; this may have
    // happened after the holder removed the old root.
    if (IsRoot && (!Root || Root->ended())) {
      root_row NewRoot = rootFrom(*Started, ShardOf(Path));
      Root = &(Roots[Started->Program] = std::move(NewRoot));
    }
    if (Root)
      Root->Programs[Started->Program].Path = Started->Program;
  }
  if (!Root) {
    ++Rejected;
    return;
  }
  auto Program = Root->Programs.find(std::string(Path));
  applier Applier{*Root,
                  Program == Root->Programs.end() ? nullptr : &Program->second};
  if (!std::visit(Applier, Record))
    ++Rejected;
}

root_row *state_rows::findRoot(std::string_view Program) {
  auto Found = Roots.find(rootOf(Program));
  return Found == Roots.end() ? nullptr : &Found->second;
}

const root_row *state_rows::findRoot(std::string_view Program) const {
  auto Found = Roots.find(rootOf(Program));
  return Found == Roots.end() ? nullptr : &Found->second;
}

const program_row *state_rows::findProgram(std::string_view Program) const {
  const root_row *Root = findRoot(Program);
  if (!Root)
    return nullptr;
  auto Found = Root->Programs.find(std::string(Program));
  return Found == Root->Programs.end() ? nullptr : &Found->second;
}

state_rows state_rows::takeShard(std::uint32_t Shard) {
  state_rows Out;
  for (auto Row = Roots.begin(); Row != Roots.end();) {
    if (Row->second.Shard != Shard) {
      ++Row;
      continue;
    }
    auto Next = std::next(Row);
    Out.Roots.insert(Roots.extract(Row));
    Row = Next;
  }
  return Out;
}

void state_rows::merge(state_rows Other) {
  for (auto &[Name, Root] : Other.Roots)
    Roots.erase(Name);
  Roots.merge(std::move(Other.Roots));
}

void state_rows::dropBodies(std::string_view Root) {
  root_row *Row = findRoot(Root);
  if (!Row)
    return;
  Row->BodiesDropped = true;
  for (auto &[Path, Program] : Row->Programs) {
    Program.Messages.clear();
    for (call_row &Call : Program.Calls) {
      Call.Body.clear();
      Call.Call.Delta.clear();
    }
  }
}

void state_rows::removeRoot(std::string_view Root) {
  auto Found = Roots.find(Root);
  if (Found != Roots.end())
    Roots.erase(Found);
}

void state_rows::assumeHolderCrashed() {
  for (auto &[Name, Root] : Roots) {
    Root.SpentTokens = std::max(Root.SpentTokens, Root.ReservedUpTo);
    for (auto &[Path, Program] : Root.Programs) {
      for (call_row &Call : Program.Calls) {
        if (Call.State != call_state::Intent)
          continue;
        Call.State = call_state::Ended;
        Call.Outcome = call_outcome::Unknown;
        Call.Code = "holder_died";
        countEnded(Root, Program, Call);
      }
      Program.UncertainNumber = Program.EndedCalls + 1;
    }
  }
}

} // namespace turmerichead
