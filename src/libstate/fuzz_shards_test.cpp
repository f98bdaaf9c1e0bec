#include "fuzz_simulation_test.h"

#include <algorithm>
#include <utility>

namespace turmerichead::fuzz {

// -- Takeover and handover --

void cluster_simulation::replace(int A, int B) {
  host_incarnation FailedHolder = Holder[A % ShardCount];
  node *Successor = Nodes[B % HostCount].get();
  if (!Successor || Successor->Frozen ||
      Successor->Incarnation == FailedHolder || Successor->Journal.fenced())
    return;
  ++MapVersion;
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard) {
    if (Holder[Shard] != FailedHolder)
      continue;
    Holder[Shard] = Successor->Incarnation;
    // A pending snapshot of an earlier tenure has to report its result first.
    if (Successor->Builders.contains(Shard) &&
        Successor->Snapshots.contains(Shard))
      continue;
    startAcquisition(*Successor, Shard);
  }
  run(*Successor);
}

void cluster_simulation::handOver(int A, int B) {
  std::uint32_t Shard = A % ShardCount;
  node *Node = holderOf(Shard);
  if (!Node || Node->Frozen || !Node->Book.holdsShard(Shard) ||
      Node->Snapshots.contains(Shard))
    return;
  Node->Releasing[Shard] = B % HostCount;
  run(*Node);
}

void cluster_simulation::runReleases(node &Node) {
  for (auto Row = Node.Releasing.begin(); Row != Node.Releasing.end();) {
    std::uint32_t Shard = Row->first;
    bool Drained = Node.Book.holdsShard(Shard) &&
                   !Node.Snapshots.contains(Shard) &&
                   Node.Book.drainShard(Shard, now());
    runBook(Node);
    if (!Drained) {
      ++Row;
      continue;
    }
    ++Row;
    startSnapshot(Node, Shard, Node.Book.releaseShard(Shard), false, true);
  }
}

void cluster_simulation::startTakeover(
    node &Node, const host_incarnation &FailedHolder,
    std::map<std::uint32_t, std::uint64_t> Fences) {
  std::vector<std::uint32_t> Shards;
  for (auto [Shard, Version] : Fences) {
    Shards.push_back(Shard);
    Node.Fences[Shard] = std::max(Node.Fences[Shard], Version);
  }
  auto Row = std::make_shared<node::pending_takeover>(node::pending_takeover{
      takeover(Node.Incarnation, FailedHolder, Shards, shardOf),
      std::move(Fences)});
  Node.Takeovers.push_back(Row);
  Row->Takeover.start(Now);
}

void cluster_simulation::runTakeover(
    node &Node, const std::shared_ptr<node::pending_takeover> &Row) {
  std::vector<takeover_command> Commands = Row->Takeover.takeCommands();
  auto Listed = [this,
                 Row](bool Ok,
                      const std::vector<std::string> &Names) -> reply_handler {
    return [=, this](node &) { Row->Takeover.listed(Ok, Names, Now); };
  };
  auto List = [=, this, &Node](const std::string &Prefix) {
    post(
        Node, true,
        [=, this] {
          std::vector<std::string> Names;
          for (const auto &[Name, Bytes] : Objects)
            if (Name.starts_with(Prefix))
              Names.push_back(Name);
          return Listed(true, Names);
        },
        Listed(false, {}));
  };
  auto Done = [this, Row](read_result Result,
                          const std::string &Bytes) -> reply_handler {
    return [=, this](node &) { Row->Takeover.readObject(Result, Bytes, Now); };
  };
  auto Read = [=, this, &Node](const std::string &Name) {
    post(
        Node, true,
        [=, this] {
          auto Found = Objects.find(Name);
          return Found == Objects.end()
                     ? Done(read_result::Absent, "")
                     : Done(read_result::Found, Found->second);
        },
        Done(read_result::Failed, ""));
  };
  for (takeover_command &Command : Commands) {
    if (auto *Snapshots = std::get_if<list_snapshots>(&Command))
      List(snapshotPrefix(Snapshots->Shard));
    if (auto *Segments = std::get_if<list_segments>(&Command))
      List(segmentName(Segments->Journal, 0)
               .substr(0, segmentName(Segments->Journal, 0).size() - 1));
    if (auto *Snapshot = std::get_if<read_snapshot>(&Command))
      Read(Snapshot->Name);
    if (auto *Segment = std::get_if<read_segment>(&Command))
      Read(Segment->Name);
    if (auto *Create = std::get_if<create_segment>(&Command)) {
      auto Result = [this, Row](create_result Value) -> reply_handler {
        return [=, this](node &) { Row->Takeover.created(Value, Now); };
      };
      post(
          Node, true,
          [=, this, C = *Create] { return Result(create(C.Name, C.Bytes)); },
          Result(create_result::Failed));
    }
    if (auto *Close = std::get_if<close_standby>(&Command)) {
      auto Result =
          [this, Row](bool Valid,
                      const std::vector<journal_entry> &Tail) -> reply_handler {
        return [=, this](node &) { Row->Takeover.tail(Valid, Tail, Now); };
      };
      post(
          Node, false,
          [=, this, C = *Close] {
            node *Standby = find(C.Standby);
            return Standby ? Result(true, Standby->Standby.close(C.Journal))
                           : Result(false, {});
          },
          Result(false, {}));
    }
    if (auto *Drop = std::get_if<drop_standby_entries>(&Command))
      post(
          Node, false,
          [this, D = *Drop] {
            if (node *Standby = find(D.Standby))
              Standby->Standby.sealed(D.Journal);
            return reply_handler();
          },
          reply_handler());
    if (std::holds_alternative<takeover_done>(Command))
      finishTakeover(Node, *Row);
  }
  if (Row->Takeover.done())
    Node.Takeovers.remove(Row);
}

void cluster_simulation::finishTakeover(node &Node,
                                        node::pending_takeover &Row) {
  if (Row.Takeover.hasGap())
    reportViolation("the replayed journal has a gap");
  if (Row.Takeover.tailMissing())
    reportViolation("a takeover completed without the standby's tail");
  for (shard_takeover &Result : Row.Takeover.takeResult()) {
    std::uint64_t Version = Row.Fences[Result.Shard];
    // The shard was moved away and back since this takeover started.
    if (Version < Node.Fences[Result.Shard] ||
        Node.Book.holdsShard(Result.Shard))
      continue;
    if (Result.OtherJournal) {
      startTakeover(Node, *Result.OtherJournal, {{Result.Shard, Version}});
      continue;
    }
    if (Result.Rows.rejected() > 0)
      reportViolation("a replayed record does not fit the rows");
    Node.Releasing.erase(Result.Shard);
    Node.Builders.insert_or_assign(
        Result.Shard,
        snapshot_builder(Result.Shard, Version, std::move(Result.Manifest)));
    startSnapshot(Node, Result.Shard, std::move(Result.Rows), true, false);
  }
}

// -- Snapshots --

void cluster_simulation::snapshot(int A) {
  std::uint32_t Shard = A % ShardCount;
  for (auto &Node : Nodes)
    if (Node && !Node->Frozen && Node->Book.holdsShard(Shard) &&
        !Node->Snapshots.contains(Shard))
      startSnapshot(*Node, Shard, Node->Book.rows(), false, false);
}

void cluster_simulation::startSnapshot(node &Node, std::uint32_t Shard,
                                       state_rows Rows, bool Acquire,
                                       bool Release) {
  std::uint64_t Sequence =
      Acquire ? Node.Journal.lastSequence() : Node.Journal.committedRecordEnd();
  journal_position Position{Node.Incarnation,
                            Node.Journal.firstSegmentAfter(Sequence), Sequence};
  auto Row = std::make_shared<node::pending_snapshot>(node::pending_snapshot{
      snapshot_writer(Shard,
                      Node.Builders.at(Shard).build(Rows, Position, Release),
                      Acquire),
      Acquire, Release, std::move(Rows)});
  Node.Snapshots[Shard] = Row;
  Row->Writer.start();
  runSnapshot(Node, Shard);
}

void cluster_simulation::runSnapshot(node &Node, std::uint32_t Shard) {
  auto Found = Node.Snapshots.find(Shard);
  if (Found == Node.Snapshots.end())
    return;
  auto Row = Found->second;
  for (snapshot_command &Command : Row->Writer.takeCommands()) {
    if (auto *Create = std::get_if<create_snapshot>(&Command)) {
      auto Result = [this, Row](create_result Value) -> reply_handler {
        return [=, this](node &) { Row->Writer.created(Value, Now); };
      };
      post(
          Node, true,
          [=, this, C = *Create] { return Result(create(C.Name, C.Bytes)); },
          Result(create_result::Failed));
    }
    if (auto *Read = std::get_if<read_manifest>(&Command)) {
      auto Result = [this, Row](read_result Value,
                                const std::string &Bytes) -> reply_handler {
        return [=, this](node &) { Row->Writer.read(Value, Bytes, Now); };
      };
      post(
          Node, true,
          [=, this, Name = Read->Name] {
            auto Object = Objects.find(Name);
            return Object == Objects.end()
                       ? Result(read_result::Absent, "")
                       : Result(read_result::Found, Object->second);
          },
          Result(read_result::Failed, ""));
    }
    if (std::holds_alternative<list_manifests>(Command)) {
      auto Result =
          [this, Row](bool Ok,
                      const std::vector<std::string> &Names) -> reply_handler {
        return [=, this](node &) { Row->Writer.listed(Ok, Names, Now); };
      };
      post(
          Node, true,
          [=, this] {
            std::vector<std::string> Names;
            for (const auto &[Name, Bytes] : Objects)
              Names.push_back(Name);
            return Result(true, Names);
          },
          Result(false, {}));
    }
    if (std::holds_alternative<snapshot_committed>(Command))
      snapshotCommitted(Node, Shard);
    if (std::holds_alternative<snapshot_superseded>(Command))
      snapshotSuperseded(Node, Shard);
  }
}

// Another host holds the shard, unless the shard map assigns it to this host.
void cluster_simulation::snapshotSuperseded(node &Node, std::uint32_t Shard) {
  Node.Snapshots.erase(Shard);
  Node.Releasing.erase(Shard);
  Node.Book.loseShard(Shard, now());
  if (Holder[Shard] == Node.Incarnation)
    startAcquisition(Node, Shard);
}

std::optional<snapshot_manifest>
cluster_simulation::newest(std::uint32_t Shard) const {
  std::vector<std::string> Names;
  for (const auto &[Name, Bytes] : Objects)
    Names.push_back(Name);
  auto Name = newestManifest(Names, Shard);
  return Name ? decodeManifest(Objects.at(*Name)) : std::nullopt;
}

// Starts the takeover of a shard from the holder that its newest manifest
// names.
void cluster_simulation::startAcquisition(node &Node, std::uint32_t Shard) {
  auto Manifest = newest(Shard);
  if (!Manifest || Node.Journal.fenced() || Node.Book.holdsShard(Shard))
    return;
  startTakeover(Node, Manifest->Position.Journal, {{Shard, MapVersion}});
}

void cluster_simulation::snapshotCommitted(node &Node, std::uint32_t Shard) {
  auto Row = Node.Snapshots[Shard];
  Node.Snapshots.erase(Shard);
  snapshot_builder &Builder = Node.Builders.at(Shard);
  Builder.committed();
  std::vector<std::string> Garbage = Builder.takeGarbage();
  post(
      Node, true,
      [this, Garbage] {
        for (const std::string &Name : Garbage)
          Objects.erase(Name);
        return reply_handler();
      },
      reply_handler());
  if (Row->Acquire && !Node.Journal.fenced())
    Node.Book.acquireShard(Shard, std::move(Row->Rows));
  if (Row->Release) {
    node *Next = Nodes[Node.Releasing[Shard]].get();
    Node.Releasing.erase(Shard);
    if (Holder[Shard] == Node.Incarnation && Next && !Next->Frozen) {
      Holder[Shard] = Next->Incarnation;
      ++MapVersion;
      startAcquisition(*Next, Shard);
      if (Next != &Node)
        run(*Next);
    }
    return;
  }
  collectSegments(Node);
}

void cluster_simulation::collectSegments(node &Node) {
  std::vector<journal_position> Positions;
  for (std::uint32_t Shard = 0; Shard < ShardCount; ++Shard)
    if (Node.Book.holdsShard(Shard))
      Positions.push_back(Node.Builders.at(Shard).latest()->Position);
  // Shards that are being acquired also have a position in this journal.
  if (Positions.empty() || !Node.Snapshots.empty() || !Node.Takeovers.empty())
    return;
  std::vector<std::string> Names;
  for (const auto &[Name, Bytes] : Objects)
    Names.push_back(Name);
  std::vector<std::string> Covered =
      coveredSegments(Node.Incarnation, Names, Positions);
  post(
      Node, true,
      [this, Covered] {
        for (const std::string &Name : Covered)
          Objects.erase(Name);
        return reply_handler();
      },
      reply_handler());
}

} // namespace turmerichead::fuzz
