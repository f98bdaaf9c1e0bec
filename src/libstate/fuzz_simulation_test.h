/// \file
/// A simulated cluster for the stateful fuzz test: hosts that hold shards, a
/// platform, upstreams and callers. They exchange messages that are delivered
/// in any order, late, or never. The simulation contains the test oracle: what
/// was executed, how many tokens were spent and which replies each caller
/// received.
#pragma once

#include "turmerichead/state_book.h"
#include "turmerichead/state_takeover.h"

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace turmerichead::fuzz {

inline constexpr int HostCount = 4;
inline constexpr std::uint32_t ShardCount = 2;

std::uint32_t shardOf(std::string_view Root);

/// How the network delivers one message.
enum class delivery_outcome {
  Delivered,
  RequestLost,
  ReplyLost,
  DelayedPastTimeout
};

/// One host incarnation.
struct node {
  node(host_incarnation Incarnation, book_settings Settings)
      : Incarnation(std::move(Incarnation)), Book(Settings, shardOf),
        Journal(this->Incarnation, journalSettings()), Standby(1 << 20) {}
  static journal_settings journalSettings();

  struct pending_takeover {
    takeover Takeover;
    std::map<std::uint32_t, std::uint64_t> Fences;
  };
  struct pending_snapshot {
    snapshot_writer Writer;
    bool Acquire = false;
    bool Release = false;
    state_rows Rows;
  };

  host_incarnation Incarnation;
  program_book Book;
  journal_writer Journal;
  standby_store Standby;
  std::map<std::uint32_t, snapshot_builder> Builders;
  /// By shard.
  std::map<std::uint32_t, std::shared_ptr<pending_snapshot>> Snapshots;
  std::list<std::shared_ptr<pending_takeover>> Takeovers;
  /// Latest known version of the shard map, by shard.
  std::map<std::uint32_t, std::uint64_t> Fences;
  std::map<std::uint32_t, int> Releasing; ///< Shards being handed over, and the
                                          ///< index of the receiving host.
  bool Frozen = false;
  bool Running = false;
  bool RunAgain = false;
};

/// The oracle's record of one call.
struct known_call {
  call_request Request; ///< The same for each transmission.
  bool Made = false;
  int Executions = 0;
  std::set<std::uint64_t> FirstWaiters; ///< First waiter of each execution.
  std::set<std::string> UpstreamBodies;
  std::optional<std::string> Answer; ///< The answer that a caller received.
  bool Closed = false;               ///< A caller received a final outcome.
  call_outcome ClosedAs = call_outcome::Answered;
};

struct known_program {
  std::string Path;
  std::vector<known_call> Calls; ///< Call number N is at index N - 1.
  bool Ended = false; ///< A caller received a refusal that ends the program.
};

/// One transmission of a call; its caller waits for a reply.
struct transmission {
  std::string Program;
  std::uint32_t Number = 0;
};

class cluster_simulation {
public:
  cluster_simulation();

  // -- Steps, each with two random arguments --
  void call(int A, int B);
  void repeat(int A, int B);
  void deliver(int A, delivery_outcome Outcome);
  void advance(int Ms);
  void kill(int A);
  void freeze(int A);
  void isolateFromPlatform(int A);
  void platformDown(bool Down) { PlatformDown = Down; }
  void replace(int A, int B);
  void handOver(int A, int B);
  void snapshot(int A);
  void callerLeaves(int A);
  void reassignStandbys();

  /// Delivers all messages without faults until the cluster is quiescent, then
  /// checks the final state.
  void settle();
  const std::vector<std::string> &violations() const { return Violations; }
  int answersReceived() const { return AnswersReceived; }

private:
  using reply_handler = std::function<void(node &)>;
  struct event {
    host_incarnation Sender;
    bool Platform = false;
    std::function<reply_handler()> Effect;
    reply_handler Failure;
  };

  node *find(const host_incarnation &Incarnation);
  node *holderOf(std::uint32_t Shard);
  void post(node &From, bool Platform, std::function<reply_handler()> Effect,
            reply_handler Failure);
  void deliverReply(const host_incarnation &To, const reply_handler &Answer);
  void run(node &Node);
  void runBook(node &Node);
  void runJournal(node &Node);
  void runTakeover(node &Node,
                   const std::shared_ptr<node::pending_takeover> &Row);
  void runReleases(node &Node);
  void finishTakeover(node &Node, node::pending_takeover &Row);
  void startTakeover(node &Node, const host_incarnation &FailedHolder,
                     std::map<std::uint32_t, std::uint64_t> Fences);
  void startSnapshot(node &Node, std::uint32_t Shard, state_rows Rows,
                     bool Acquire, bool Release);
  void runSnapshot(node &Node, std::uint32_t Shard);
  void snapshotCommitted(node &Node, std::uint32_t Shard);
  void snapshotSuperseded(node &Node, std::uint32_t Shard);
  void startAcquisition(node &Node, std::uint32_t Shard);
  std::optional<snapshot_manifest> newest(std::uint32_t Shard) const;
  void collectSegments(node &Node);
  create_result create(const std::string &Name, const std::string &Bytes);
  void dispatch(node &Node, const dispatch_call &Command);
  reply_handler execute(const dispatch_call &Command,
                        std::uint64_t FirstWaiter);
  void checkReply(const release_waiter &Release);
  void send(const std::string &Program, std::uint32_t Number, int Host);
  call_request requestFor(const known_program &Program, std::uint32_t Number);
  void startHost(int Index);
  bool canLoseHost(const host_incarnation &Incarnation);
  bool isQuiescent();
  void reportViolation(std::string Text) {
    Violations.push_back(std::move(Text));
  }
  void checkHistory();
  moment now() const { return {Now, Now.Ms}; }

  time_point Now{1000};
  /// By host index; null while the host is down.
  std::vector<std::unique_ptr<node>> Nodes;
  std::vector<std::uint64_t> Incarnations;
  std::vector<bool> CutOff;
  bool PlatformDown = false;
  std::map<std::string, std::string> Objects; ///< Objects on the platform.
  std::vector<host_incarnation> Holder;       ///< By shard.
  std::uint64_t MapVersion = 1;
  std::vector<event> Events;
  /// All sets that each writer was given, in order.
  std::map<host_incarnation, std::vector<std::vector<host_incarnation>>>
      StandbySets;
  std::vector<known_program> Programs;
  std::map<waiter_id, transmission> Waiting;
  /// Tokens that the upstreams used, by root.
  std::map<std::string, std::uint64_t> Spent;
  std::map<std::string, std::set<std::uint32_t>> DispatchedNumbers;
  waiter_id NextWaiter = 1;
  int AnswersReceived = 0;
  bool Settling = false;
  std::vector<std::string> Violations;
};

inline constexpr std::uint64_t Budget = 700;

} // namespace turmerichead::fuzz
