#include "fuzz_simulation_test.h"

#include "turmerichead/hash.h"

#include <algorithm>
#include <utility>

namespace turmerichead::fuzz {

std::uint32_t shardOf(std::string_view Root) { return Root == "b" ? 1 : 0; }

journal_settings node::journalSettings() {
  journal_settings Out;
  Out.OutageTimeout = milliseconds(300);
  Out.StandbyTimeout = milliseconds(200);
  Out.RetryInterval = milliseconds(50);
  return Out;
}

cluster_simulation::cluster_simulation()
    : Nodes(HostCount), Incarnations(HostCount), CutOff(HostCount),
      Holder(ShardCount) {
  for (const char *Path : {"a", "a/x", "b", "c"})
    Programs.push_back({Path, {}, false});
  for (int Host = 0; Host < HostCount; ++Host)
    startHost(Host);
  reassignStandbys();
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
    node &Node = *Nodes[Shard];
    Holder[Shard] = Node.Incarnation;
    Node.Builders.emplace(Shard, snapshot_builder(Shard, ++MapVersion, {}));
    startSnapshot(Node, Shard, {}, true, false);
  }
  while (!Events.empty())
    deliver(0, delivery_outcome::Delivered);
}

// -- Hosts --

void cluster_simulation::startHost(int Index) {
  host_incarnation Incarnation{"h" + std::to_string(Index),
                               ++Incarnations[Index]};
  book_settings Settings;
  Settings.MaxQueuedPerProgram = 3;
  Nodes[Index] = std::make_unique<node>(Incarnation, Settings);
}

node *cluster_simulation::find(const host_incarnation &Incarnation) {
  for (auto &Node : Nodes)
    if (Node && Node->Incarnation == Incarnation)
      return Node.get();
  return nullptr;
}

node *cluster_simulation::holderOf(std::uint32_t Shard) {
  return find(Holder[Shard]);
}

// Returns whether a host may fail: not if it is the last running host that may
// hold the tail of a journal. The design tolerates the loss of the holder and
// of one standby, but not of all three. Standbys that were set but are not
// named on the platform yet count too.
bool cluster_simulation::canLoseHost(const host_incarnation &Incarnation) {
  for (const auto &[Journal, Sets] : StandbySets) {
    std::uint64_t Number = 0;
    journal_segment Latest;
    for (const auto &[Name, Bytes] : Objects)
      if (auto Found = segmentNumber(Journal, Name); Found && *Found > Number) {
        Number = *Found;
        Latest = decodeSegment(Bytes).value();
      }
    if (Latest.Sealed)
      continue;
    auto First = std::find(Sets.rbegin(), Sets.rend(), Latest.Standbys);
    auto Set = First == Sets.rend() ? Sets.begin() : First.base() - 1;
    for (; Set != Sets.end(); ++Set) {
      auto IsRunning = [&](const host_incarnation &Name) {
        return find(Name) != nullptr;
      };
      auto RunsWithout = [&](const host_incarnation &Name) {
        return Name != Incarnation && find(Name);
      };
      if (std::any_of(Set->begin(), Set->end(), IsRunning) &&
          std::none_of(Set->begin(), Set->end(), RunsWithout))
        return false;
    }
  }
  return true;
}

void cluster_simulation::kill(int A) {
  int Host = A % HostCount;
  if (!Nodes[Host])
    startHost(Host);
  else if (A % 3 == 0 && canLoseHost(Nodes[Host]->Incarnation))
    Nodes[Host].reset();
}

void cluster_simulation::freeze(int A) {
  node *Node = Nodes[A % HostCount].get();
  if (!Node)
    return;
  Node->Frozen = A % 3 == 0;
  run(*Node);
}

void cluster_simulation::isolateFromPlatform(int A) {
  CutOff[A % HostCount] = A % 3 == 0;
}

void cluster_simulation::reassignStandbys() {
  for (int Host = 0; Host < HostCount; ++Host) {
    node *Node = Nodes[Host].get();
    if (!Node || Node->Frozen)
      continue;
    std::vector<host_incarnation> Names;
    for (int Step = 1; Step < HostCount && Names.size() < 2; ++Step)
      if (node *Other = Nodes[(Host + Step) % HostCount].get())
        Names.push_back(Other->Incarnation);
    StandbySets[Node->Incarnation].push_back(Names);
    Node->Journal.setStandbys(Names, Now);
    run(*Node);
  }
}

void cluster_simulation::advance(int Ms) {
  Now = Now + milliseconds(Ms);
  for (int Host = 0; Host < HostCount; ++Host) {
    node *Node = Nodes[Host].get();
    if (!Node || Node->Frozen)
      continue;
    if (Node->Journal.fenced() && canLoseHost(Node->Incarnation)) {
      startHost(Host);
      continue;
    }
    Node->Book.tick(now());
    Node->Journal.tick(Now);
    for (auto &Row : Node->Takeovers)
      Row->Takeover.tick(Now);
    for (auto &[Shard, Row] : Node->Snapshots)
      Row->Writer.tick(Now);
    run(*Node);
  }
}

// -- Messages --

void cluster_simulation::post(node &From, bool Platform,
                              std::function<reply_handler()> Effect,
                              reply_handler Failure) {
  Events.push_back(
      {From.Incarnation, Platform, std::move(Effect), std::move(Failure)});
}

void cluster_simulation::deliverReply(const host_incarnation &To,
                                      const reply_handler &Answer) {
  node *Node = find(To);
  if (!Node || !Answer)
    return;
  if (Node->Frozen) {
    Events.push_back({To, false, [Answer] { return Answer; }, Answer});
    return;
  }
  Answer(*Node);
  run(*Node);
}

void cluster_simulation::deliver(int A, delivery_outcome Outcome) {
  if (Events.empty())
    return;
  auto Index = static_cast<long>(static_cast<std::size_t>(A) % Events.size());
  event Event = std::move(Events[Index]);
  Events.erase(Events.begin() + Index);
  if (Event.Platform) {
    std::size_t Host = std::stoul(Event.Sender.Host.substr(1));
    if (PlatformDown || CutOff[Host])
      Outcome = delivery_outcome::RequestLost;
  }
  if (Outcome == delivery_outcome::RequestLost)
    return deliverReply(Event.Sender, Event.Failure);
  if (Outcome == delivery_outcome::DelayedPastTimeout) {
    auto Effect = Event.Effect;
    Events.push_back({Event.Sender, false,
                      [Effect] {
                        Effect();
                        return reply_handler();
                      },
                      reply_handler()});
    return deliverReply(Event.Sender, Event.Failure);
  }
  reply_handler Answer = Event.Effect();
  deliverReply(Event.Sender,
               Outcome == delivery_outcome::ReplyLost ? Event.Failure : Answer);
}

// -- The platform --

create_result cluster_simulation::create(const std::string &Name,
                                         const std::string &Bytes) {
  if (Bytes.size() > MaxObjectBytes + 20000)
    reportViolation("an object is too large: " + Name);
  return Objects.emplace(Name, Bytes).second ? create_result::Created
                                             : create_result::Exists;
}

// -- Execution of commands --

void cluster_simulation::run(node &Node) {
  Node.RunAgain = true;
  if (Node.Frozen || Node.Running)
    return;
  Node.Running = true;
  while (std::exchange(Node.RunAgain, false)) {
    runBook(Node);
    runJournal(Node);
    runReleases(Node);
    std::vector<std::shared_ptr<node::pending_takeover>> Takeovers(
        Node.Takeovers.begin(), Node.Takeovers.end());
    for (const auto &Row : Takeovers)
      runTakeover(Node, Row);
    for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard)
      runSnapshot(Node, Shard);
  }
  Node.Running = false;
}

void cluster_simulation::runBook(node &Node) {
  for (book_command &Command : Node.Book.takeCommands()) {
    if (auto *Commit = std::get_if<commit_record>(&Command))
      Node.Journal.append(Commit->Record, Commit->Ticket, Now);
    if (auto *Dispatch = std::get_if<dispatch_call>(&Command))
      dispatch(Node, *Dispatch);
    if (auto *Release = std::get_if<release_waiter>(&Command))
      checkReply(*Release);
    if (auto *Cancel = std::get_if<cancel_dispatch>(&Command)) {
      call_id Call = Cancel->Call;
      reply_handler Lost = [this, Call](node &To) {
        To.Book.failed(Call, "cancelled", false, now());
      };
      post(
          Node, false, [Lost] { return Lost; }, Lost);
    }
  }
}

void cluster_simulation::runJournal(node &Node) {
  std::vector<journal_command> Commands = Node.Journal.takeCommands();
  for (journal_command &Command : Commands) {
    if (auto *Create = std::get_if<create_segment>(&Command)) {
      auto Result = [this](create_result Value) -> reply_handler {
        return [this, Value](node &To) { To.Journal.created(Value, Now); };
      };
      post(
          Node, true,
          [=, this, C = *Create] { return Result(create(C.Name, C.Bytes)); },
          Result(create_result::Failed));
    }
    if (auto *Read = std::get_if<read_segment>(&Command)) {
      auto Result = [this](read_result Value,
                           const std::string &Bytes) -> reply_handler {
        return [=, this](node &To) { To.Journal.read(Value, Bytes, Now); };
      };
      post(
          Node, true,
          [=, this, Name = Read->Name] {
            auto Found = Objects.find(Name);
            return Found == Objects.end()
                       ? Result(read_result::Absent, "")
                       : Result(read_result::Found, Found->second);
          },
          Result(read_result::Failed, ""));
    }
    if (auto *Send = std::get_if<send_to_standby>(&Command)) {
      auto Result = [this, To = Send->Standby](
                        std::optional<std::uint64_t> UpTo) -> reply_handler {
        return [=, this](node &Node) {
          Node.Journal.standbyAnswered(To, UpTo, Now);
        };
      };
      post(
          Node, false,
          [=, this, S = *Send, Origin = Node.Incarnation] {
            node *Standby = find(S.Standby);
            if (!Standby || Standby->Frozen)
              return Result(std::nullopt);
            return Result(
                Standby->Standby.append(Origin, S.OnPlatform, S.Entries));
          },
          Result(std::nullopt));
    }
    if (auto *Trim = std::get_if<trim_standby>(&Command))
      post(
          Node, false,
          [this, T = *Trim, Origin = Node.Incarnation] {
            if (node *Standby = find(T.Standby))
              Standby->Standby.trim(Origin, T.UpTo);
            return reply_handler();
          },
          reply_handler());
    if (auto *Commit = std::get_if<journal_committed>(&Command))
      Node.Book.committedUpTo(Commit->Ticket, now());
    if (std::holds_alternative<journal_fenced>(Command))
      Node.Book.fenced(now());
    if (auto *Availability = std::get_if<journal_availability>(&Command))
      Node.Book.setJournalAvailable(Availability->Available, now());
  }
  if (!Commands.empty())
    run(Node);
}

} // namespace turmerichead::fuzz
