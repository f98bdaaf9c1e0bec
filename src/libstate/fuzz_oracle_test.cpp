#include "fuzz_simulation_test.h"

#include "turmerichead/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace turmerichead::fuzz {

namespace {

using json = nlohmann::json;

constexpr std::uint32_t MaxAnswerTokens = 60;

std::string identity(const std::string &Path, std::uint32_t Number) {
  return "id=" + Path + "=" + std::to_string(Number);
}

// Returns the program and the number in the last identity in a body. The last
// one belongs to the call itself; earlier ones belong to earlier messages.
std::pair<std::string, std::uint32_t> parseIdentity(const std::string &Body) {
  std::size_t At = Body.rfind("id=") + 3;
  std::size_t Equals = Body.find('=', At);
  return {Body.substr(At, Equals - At),
          static_cast<std::uint32_t>(std::stoul(Body.substr(Equals + 1)))};
}

// Token count of the simulated runner: one per letter for an answer, one per
// two bytes for everything else.
std::uint64_t tokensOf(const std::string &Body) {
  json Chat = json::parse(Body);
  std::uint64_t Sum = 3;
  for (const json &Message : Chat["messages"])
    Sum += Message["role"] == "assistant"
               ? Message["content"].get<std::string>().size()
               : Message.dump().size() / 2;
  return Sum;
}

bool endsProgram(const std::string &Code) {
  return Code == "budget_spent" || Code == "program_ended" ||
         Code == "turn_limit" || Code == "tool_limit";
}

} // namespace

// -- Callers --

call_request cluster_simulation::requestFor(const known_program &Program,
                                            std::uint32_t Number) {
  call_request Out;
  Out.Program = Program.Path;
  // Program c sends keys instead of numbers; its holder assigns the numbers.
  bool Unnumbered = Program.Path == "c";
  Out.Number = Unnumbered ? 0 : Number;
  Out.IdempotencyKey = Unnumbered ? "key-" + std::to_string(Number) : "";
  Out.Entry = "entry";
  Out.Owner = "owner";
  Out.Limits.BudgetTokens = Budget;
  Out.Limits.MaxOutputTokens = MaxAnswerTokens;
  Out.Limits.Retries = 3;
  std::uint64_t Kind = (hash64(Program.Path) + Number) % 3;
  std::string Id = identity(Program.Path, Number);
  if (Kind != 0) {
    Out.Kind = call_kind::Service;
    Out.NonIdempotent = Kind == 1;
    Out.Target = "booking/place";
    Out.Body = json{{"order", Id}}.dump();
    return Out;
  }
  json Messages = json::array();
  for (std::uint32_t I = 1; I < Number; ++I) {
    const known_call &Earlier = Program.Calls[I - 1];
    if (!Earlier.Answer || Earlier.Request.Kind != call_kind::Model)
      continue;
    json Chat = json::parse(Earlier.Request.Body);
    Messages.push_back(Chat["messages"].back());
    Messages.push_back(json::parse(*Earlier.Answer)["choices"][0]["message"]);
  }
  Messages.push_back({{"role", "user"}, {"content", Id}});
  Out.Body = json{{"messages", Messages}, {"a", 1}}.dump();
  Out.Digest = digestChat(Out.Body).value();
  return Out;
}

// Sends the next call of a program, or for some arguments the one after it, so
// that calls arrive out of order.
void cluster_simulation::call(int A, int B) {
  known_program &Program = Programs[A % Programs.size()];
  if (Program.Ended)
    return;
  std::uint32_t Number = 1;
  while (Number <= Program.Calls.size() && Program.Calls[Number - 1].Closed)
    ++Number;
  if (B % 4 == 0 && Program.Path != "c")
    ++Number;
  send(Program.Path, Number, B / 4);
}

// Sends an earlier call again.
void cluster_simulation::repeat(int A, int B) {
  known_program &Program = Programs[A % Programs.size()];
  if (!Program.Calls.empty())
    send(Program.Path, B % Program.Calls.size() + 1, B / 7);
}

void cluster_simulation::send(const std::string &Path, std::uint32_t Number,
                              int Host) {
  auto Program = std::find_if(Programs.begin(), Programs.end(),
                              [&](const auto &P) { return P.Path == Path; });
  if (Program->Calls.size() < Number)
    Program->Calls.resize(Number);
  known_call &Call = Program->Calls[Number - 1];
  if (!Call.Made)
    Call.Request = requestFor(*Program, Number);
  Call.Made = true;
  waiter_id Waiter = NextWaiter++;
  Waiting[Waiter] = {Path, Number};
  node *Holding = holderOf(shardOf(rootOf(Path)));
  // Sometimes the entry host uses an old shard map and sends the call to
  // another host than the holder.
  node *Target = Host % 3 == 0 ? Nodes[Host / 3 % HostCount].get() : Holding;
  if (!Target)
    return;
  reply_handler Submit = [this, Request = Call.Request, Waiter](node &To) {
    call_request Copy = Request;
    Copy.Deadline = Now + milliseconds(20000);
    To.Book.submit(Copy, Waiter, now());
  };
  post(
      *Target, false, [Submit] { return Submit; }, reply_handler());
}

void cluster_simulation::callerLeaves(int A) {
  if (Waiting.empty())
    return;
  waiter_id Leaving =
      std::next(Waiting.begin(), static_cast<long>(A % Waiting.size()))->first;
  for (auto &Node : Nodes)
    if (Node && !Node->Frozen) {
      Node->Book.callerDisconnected(Leaving, now());
      run(*Node);
    }
  Waiting.erase(Leaving);
}

// -- Upstreams --

void cluster_simulation::dispatch(node &Node, const dispatch_call &Command) {
  std::uint32_t Shard = shardOf(rootOf(Command.Program));
  auto Manifest = newest(Shard);
  if (Manifest && Manifest->Position.Journal == Node.Incarnation) {
    auto &Numbers = DispatchedNumbers[Command.Program];
    if (!Numbers.empty() && Command.Number < *Numbers.rbegin() &&
        !Numbers.contains(Command.Number))
      reportViolation("calls of " + Command.Program + " ran out of order");
    Numbers.insert(Command.Number);
  }
  call_id Call = Command.Call;
  std::uint64_t FirstWaiter = Command.FirstWaiter;
  // The result if the message is not delivered: a timeout or a crash of the
  // upstream.
  reply_handler Failure = [this, Call](node &To) {
    if (Now.Ms % 3 == 0)
      To.Book.failed(Call, "timeout", true, now());
    else
      To.Book.upstreamCrashed(Call, "upstream", now());
  };
  if (!Settling && NextWaiter % 11 == 0) {
    reply_handler Refuse = [this, Call](node &To) {
      To.Book.notSent(Call, "no_upstream", 100, now());
    };
    return post(
        Node, false, [Refuse] { return Refuse; }, Refuse);
  }
  post(
      Node, false,
      [this, Command, FirstWaiter] { return execute(Command, FirstWaiter); },
      Failure);
}

cluster_simulation::reply_handler
cluster_simulation::execute(const dispatch_call &Command,
                            std::uint64_t FirstWaiter) {
  auto Identity = parseIdentity(Command.Body);
  const std::string &Path = Identity.first;
  std::uint32_t Number = Identity.second;
  auto Program = std::find_if(Programs.begin(), Programs.end(),
                              [&](const auto &P) { return P.Path == Path; });
  known_call &Call = Program->Calls[Number - 1];
  ++Call.Executions;
  Call.FirstWaiters.insert(FirstWaiter);
  if (Command.NonIdempotent && Call.Executions > 1)
    reportViolation("a non-idempotent call ran twice: " +
                    identity(Path, Number));
  upstream_answer Answer;
  Answer.ContentType = "application/json";
  std::string Marker =
      identity(Path, Number) + "-run" + std::to_string(Call.Executions);
  if (Command.Kind == call_kind::Model) {
    std::uint64_t Length = Number % 2 == 0 ? Command.MaxOutputTokens
                                           : Command.MaxOutputTokens / 2 + 1;
    // The marker is a part of the answer, unless the answer is too short for
    // it.
    std::string Text = Marker.substr(0, Length);
    Text.resize(Length, 'x');
    Answer.Body =
        json{{"choices",
              {{{"message", {{"role", "assistant"}, {"content", Text}}}}}}}
            .dump();
    Answer.Tokens = tokensOf(Command.Body) + Length;
    std::string Root(rootOf(Path));
    Spent[Root] += *Answer.Tokens;
    if (Spent[Root] > Budget)
      reportViolation("the budget of " + Root + " was exceeded");
  } else {
    Answer.Body = json{{"done", Marker}}.dump();
  }
  Call.UpstreamBodies.insert(Answer.Body);
  return [this, Id = Command.Call, Answer](node &To) {
    To.Book.answered(Id, Answer, now());
  };
}

// -- Checks of replies --

void cluster_simulation::checkReply(const release_waiter &Release) {
  auto Row = Waiting.find(Release.Waiter);
  if (Row == Waiting.end())
    return;
  transmission Sent = Row->second;
  Waiting.erase(Row);
  if (Release.Moved)
    return;
  auto Program =
      std::find_if(Programs.begin(), Programs.end(),
                   [&](const auto &P) { return P.Path == Sent.Program; });
  known_call &Call = Program->Calls[Sent.Number - 1];
  std::string Id = identity(Sent.Program, Sent.Number);
  if (Release.Code == "call_reused" || Release.Code == "wrong_owner")
    reportViolation("a conflict was reported for an unchanged call: " + Id);
  switch (Release.Outcome) {
  case call_outcome::Answered:
    if (!Call.UpstreamBodies.contains(Release.Body))
      reportViolation("an answer does not belong to the call: " + Id);
    if (Call.Answer && *Call.Answer != Release.Body)
      reportViolation("two different answers to one call: " + Id);
    if (Call.Closed && !Call.Answer)
      reportViolation("answered after a final failure: " + Id);
    Call.Answer = Release.Body;
    Call.Closed = true;
    ++AnswersReceived;
    return;
  case call_outcome::NotRun:
    if (!Call.FirstWaiters.empty() &&
        *Call.FirstWaiters.begin() <= Release.Waiter)
      reportViolation("reported as not run, but it ran: " + Id + " " +
                      Release.Code);
    break;
  case call_outcome::Failed:
  case call_outcome::Unknown:
    if (Call.Answer && Release.RetryAfterMs == 0 && !Release.Moved)
      reportViolation("a committed answer was lost: " + Id + " " +
                      Release.Code);
    if (Release.RetryAfterMs == 0 && !endsProgram(Release.Code)) {
      Call.Closed = true;
      Call.ClosedAs = Release.Outcome;
    }
    break;
  }
  if (endsProgram(Release.Code))
    Program->Ended = true;
}

// -- Final checks --

bool cluster_simulation::isQuiescent() {
  if (!Events.empty())
    return false;
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
    node *Node = holderOf(Shard);
    if (!Node || !Node->Book.holdsShard(Shard) || Node->Journal.fenced() ||
        !Node->Takeovers.empty() || Node->Journal.unwrittenBytes() > 0)
      return false;
  }
  return true;
}

void cluster_simulation::settle() {
  Settling = true;
  PlatformDown = false;
  constexpr int MaxRounds = 600;
  auto RunUntilQuiescent = [&] {
    for (int Round = 0; Round < MaxRounds; ++Round) {
      for (std::size_t Remaining = Events.size(); Remaining > 0; --Remaining)
        deliver(0, delivery_outcome::Delivered);
      advance(50);
      if (isQuiescent())
        return true;
      for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
        node *Node = holderOf(Shard);
        bool Idle = Node && !Node->Book.holdsShard(Shard) &&
                    Node->Takeovers.empty() && Node->Snapshots.empty();
        if (!Node || Node->Journal.fenced())
          replace(static_cast<int>(Shard), Round);
        else if (Idle)
          startAcquisition(*Node, Shard);
      }
    }
    return false;
  };
  for (int Host = 0; Host < HostCount; ++Host) {
    CutOff[Host] = false;
    if (!Nodes[Host])
      startHost(Host);
    Nodes[Host]->Frozen = false;
    run(*Nodes[Host]);
  }
  reassignStandbys();
  if (!RunUntilQuiescent()) {
    reportViolation("the cluster does not become quiescent");
    return;
  }
  checkHistory();
  for (const known_program &Program : Programs)
    for (std::uint32_t I = 0; I < Program.Calls.size(); ++I)
      if (Program.Calls[I].Answer) {
        int Before = AnswersReceived;
        send(Program.Path, I + 1, 1);
        RunUntilQuiescent();
        if (AnswersReceived == Before)
          reportViolation("an answer is lost: " +
                          identity(Program.Path, I + 1));
      }
}

// Checks that the holder's rows contain each answer that a caller received.
void cluster_simulation::checkHistory() {
  for (const known_program &Program : Programs) {
    node *Node = holderOf(shardOf(rootOf(Program.Path)));
    const program_row *Row = Node->Book.rows().findProgram(Program.Path);
    std::size_t Answered = 0;
    for (const known_call &Call : Program.Calls) {
      if (!Call.Answer)
        continue;
      bool Found = Row && std::any_of(Row->Calls.begin(), Row->Calls.end(),
                                      [&](const call_row &R) {
                                        return R.State == call_state::Ended &&
                                               R.Body == *Call.Answer;
                                      });
      if (!Found)
        reportViolation("the history of " + Program.Path + " lacks an answer");
      ++Answered;
    }
    if (Row && Answered > Row->Calls.size())
      reportViolation("the history of " + Program.Path + " is too short");
    if (Node->Book.rows().rejected() > 0)
      reportViolation("a committed record does not fit the rows");
  }
}

} // namespace turmerichead::fuzz
