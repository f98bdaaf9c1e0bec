/// \file
/// The gates of this host, and the client with which holders ask the gate of a
/// group on any host.
#pragma once

#include "context_pvt.h"
#include "loop_pvt.h"
#include "turmerichead/sched_gate.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace turmerichead::host_pvt {

/// Called once with the answer of the gate.
using ask_callback = std::function<void(const ask_reply &Reply)>;

/// Runs a decision core for each group whose gate is this host. All its state
/// is soft: it is rebuilt from asks and from the runners.
class gate_service {
public:
  explicit gate_service(host_context &Context);

  /// Queues an ask. \p Callback is called in this function or later, unless the
  /// ask is cancelled. Returns its id; an empty id means that it was refused.
  sched::request_id ask(const ask_message &Message, ask_callback Callback);

  /// Cancels an ask, whether it was granted or not.
  void cancel(std::string_view Group, sched::request_id Id);

  void done(const done_message &Message);
  void ended(std::string_view Program);

  /// Merges upstream crashes that other hosts have reported.
  void mergePoison(std::span<const sched::poison_entry> Entries);
  /// Returns the crashes known to all groups.
  std::vector<sched::poison_entry> poisonEntries();

  /// Applies a changed fleet entry to all gates.
  void fleetChanged();

  /// Rebuilds the groups after a change of runners, map or catalogue.
  void refresh();

  /// Grants, refuses and releases asks that are due. Must be called every few
  /// milliseconds while asks wait, and at least every 100 ms.
  void tick();

  /// Returns the loads for the next heartbeat.
  std::vector<group_load> loads() const;

  /// Sets the gate metrics.
  void exportMetrics();

private:
  struct group_row {
    std::string Model;
    sched::default_gate Gate;
    std::unordered_map<sched::request_id, ask_callback> Waiting;
    std::unordered_set<sched::request_id> Running;
  };

  group_row *rowOf(std::string_view Group);
  sched::gate_settings gateSettings() const;
  void refreshGroup(const runner_group &Group, const std::string &Model);
  void flush(group_row &Row);
  void grantAsk(group_row &Row, const sched::grant &Grant);
  void refuseAsk(group_row &Row, const sched::refusal &Refusal);
  void pollRunners();
  void pollLoad(const std::string &Group, const std::string &Runner);
  void pollEvents(const std::string &Group, const std::string &Runner);
  void sweepCaches();
  void noteCapacity(const std::string &Runner, std::int64_t Tokens);
  void sweepRunner(const std::string &Group, const std::string &Runner);
  void findDead(const std::string &Group, const std::string &Runner,
                const std::vector<std::string> &Listed);
  void broadcastPoison();

  host_context &Context;
  std::map<std::string, group_row, std::less<>> Rows;
  std::map<std::string, std::uint64_t, std::less<>> EventCursor;
  std::map<std::string, std::int64_t, std::less<>> CacheCapacity; ///< Tokens.
  sched::poison_table Poison; ///< Copied to new gates.
  timer LoadTimer;
  timer SweepTimer;
};

/// Asks the gate of a group on this or another host, and the next gate if that
/// host has failed.
class gate_client {
public:
  gate_client(host_context &Context, gate_service &Local)
      : Context(Context), Local(Local) {}

  /// Identifies an ask of this client.
  using ask_id = std::uint64_t;

  /// Asks gates until one answers. \p Callback is called once.
  ask_id ask(ask_message Message, ask_callback Callback);

  /// Reports the outcome of a granted call, and removes the ask.
  void done(ask_id Id, sched::outcome Outcome, const sched::usage &Usage,
            milliseconds ExpectedPause);

  /// Cancels an ask without an answer.
  void cancel(ask_id Id);

  /// Notifies all gates that a program has ended.
  void ended(const std::string &Program);

private:
  struct row {
    ask_message Message;
    ask_callback Callback;
    std::string Gate; ///< Host that was asked.
    peer_stream_id Stream;
    sched::request_id Request;
    bool Answered = false;
    bool Refused = false;
    int Tries = 0;
    timer Retry;
    time_point AskedAt;
  };
  void send(ask_id Id);
  void sendTo(ask_id Id, row &Row);
  void answer(ask_id Id, const ask_reply &Reply);
  void retryLater(ask_id Id);

  host_context &Context;
  gate_service &Local;
  std::unordered_map<ask_id, row> Rows;
  ask_id NextId = 1;
};

/// Returns the groups of the known runners of \p Model.
std::vector<runner_group> groupsOf(const host_context &Context,
                                   std::string_view Model);

/// Returns the group that a call of a root program should ask; empty if no
/// runner has the model.
std::string chooseGroupFor(host_context &Context, std::string_view Model,
                           std::string_view Root);

} // namespace turmerichead::host_pvt
