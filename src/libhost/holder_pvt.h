/// \file
/// The holder: connects the state machine of programs, the journal and the
/// dispatcher, for the shards that the map assigns to this host.
#pragma once

#include "context_pvt.h"
#include "dispatcher_pvt.h"
#include "gates_pvt.h"
#include "loop_pvt.h"
#include "shards_pvt.h"
#include "turmerichead/sched_admission.h"
#include "turmerichead/state_book.h"
#include "turmerichead/state_journal.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace turmerichead::host_pvt {

/// Receiver of the answer to a call: a caller of this host, or a stream to the
/// entry host. OnEnd is called once, unless callerGone() is called before.
struct answer_sink {
  std::function<void(std::string_view Events)> OnEvents;
  std::function<void(const call_end &End)> OnEnd;
};

class holder {
public:
  /// \p OnFenced is called, after all waiters were released, when this host was
  /// replaced and must join again with a new incarnation.
  holder(host_context &Context, gate_client &Gates,
         std::function<void()> OnFenced);

  /// Starts the incarnation in Context.Incarnation with an empty book and a new
  /// journal.
  void beginLife();
  /// Ends the incarnation. Its callers are redirected to the new holders.
  void endLife();

  // -- Calls
  // ----------------------------------------------------------------------

  waiter_id submit(const call_message &Message, answer_sink Sink);
  void callerGone(waiter_id Waiter);
  program_reply history(const program_message &Message);
  program_reply endProgram(const program_message &Message);

  /// Returns those of \p Programs that are live or not held by this host.
  living_message living(const living_message &Message) const;

  /// Applies a changed catalogue to the limits of live programs.
  void entryChanged(const catalogue_entry &Entry);

  // -- Shards and journal
  // ---------------------------------------------------------

  /// Acquires and releases shards according to the new map.
  void mapChanged();
  bool servesAll() const { return Shards && Shards->servesAll(); }
  /// Returns whether no shard and no call is left.
  bool empty() const;

  std::optional<keep_reply> keep(const keep_message &Message);
  void trim(const trim_message &Message);
  std::optional<close_reply> close(const close_message &Message);
  void sealed(const close_message &Message);

  /// Checks limits that depend on time, and updates metrics and the report.
  void tick();

private:
  struct waiter_row {
    answer_sink Sink;
    bool WantStream = false;
    std::string Program;
    std::string Entry;
    work_rank Rank = work_rank::Ordinary;
    std::uint32_t Number = 0;
    time_point Since;
    time_point Deadline;
    bool Streamed = false;
    bool Broken = false;
    std::optional<std::string> Partial; ///< Streamed before an upstream failed.
  };
  struct dispatch_row {
    waiter_id Waiter = 0;
    std::uint32_t Attempt = 1;
  };
  struct admitted_row {
    std::string Entry;
    std::string Owner;
    work_rank Rank = work_rank::Ordinary;
    std::int64_t WallStartMs = 0;
  };

  static moment now();
  bool wasPaused() const;
  void pump();
  void runBookCommands();
  void runJournalCommands();
  void scheduleJournal();
  void carryOut(commit_record &Command);
  void carryOut(dispatch_call &Command);
  void carryOut(release_waiter &Command);
  void carryOut(cancel_dispatch &Command);
  void carryOut(program_ended &Command);
  void carryOut(const create_segment &Command);
  void carryOut(const read_segment &Command);
  void carryOut(const send_to_standby &Command);
  void carryOut(const trim_standby &Command);
  void carryOut(const journal_committed &Command);
  void carryOut(const journal_fenced &Command);
  void carryOut(const journal_availability &Command);

  void refuse(waiter_id Waiter, std::uint16_t Status, std::string Code,
              std::string Text, std::int64_t RetryAfterMs);
  void finish(waiter_id Waiter, call_end End);
  void countEnd(const waiter_row &Row, const call_end &End);
  bool admit(const call_message &Message, const program_entry &Entry,
             waiter_id Waiter);
  program_facts factsOf(const dispatch_call &Command) const;
  dispatch_events dispatchEvents();
  void onEvents(call_id Call, std::string_view Events);
  void nameStandbys();
  void countRunning();
  void restoreAdmissions();

  host_context &Context;
  gate_client &Gates;
  std::function<void()> OnFenced;
  std::unique_ptr<program_book> Book;
  std::unique_ptr<journal_writer> Writer;
  std::unique_ptr<dispatcher> Dispatcher;
  std::unique_ptr<shard_keeper> Shards;
  standby_store Standbys;
  std::vector<host_incarnation> NamedStandbys;
  std::unordered_map<waiter_id, waiter_row> Waiters;
  std::unordered_map<call_id, dispatch_row> Dispatches;
  std::map<std::string, admitted_row, std::less<>> Admitted; ///< By root.
  sched::admission Admission;
  waiter_id NextWaiter = 1;
  std::uint64_t Life = 0; ///< Calls of beginLife(); identifies old replies.
  bool Pumping = false;
  time_point SlowDue;
  time_point LastTick;    ///< A long gap means that the process was suspended.
  time_point PausedUntil; ///< Until then it may not know that it was replaced.
  bool Fenced = false;
  timer JournalTimer;
};

} // namespace turmerichead::host_pvt
