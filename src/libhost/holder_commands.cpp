// Executes the commands of the book and the journal.

#include "holder_pvt.h"

#include "platform_objects_pvt.h"
#include "turmerichead/json_fields.h"
#include "turmerichead/log.h"

#include <algorithm>
#include <utility>

namespace turmerichead::host_pvt {

void holder::pump() {
  if (Pumping)
    return;
  Pumping = true;
  runBookCommands();
  Pumping = false;
  scheduleJournal();
  if (!Fenced)
    return;
  // The host starts a new incarnation, which replaces this book and journal.
  // That must not happen inside one of their calls.
  Fenced = false;
  defer([this, Now = Life] {
    if (Now == Life)
      OnFenced();
  });
}

void holder::runBookCommands() {
  while (true) {
    std::vector<book_command> Commands = Book->takeCommands();
    for (book_command &Command : Commands)
      std::visit([this](auto &Each) { carryOut(Each); }, Command);
    Writer->tick(steadyNow());
    std::vector<journal_command> Journal = Writer->takeCommands();
    for (const journal_command &Command : Journal)
      std::visit([this](const auto &Each) { carryOut(Each); }, Command);
    if (Commands.empty() && Journal.empty())
      return;
  }
}

void holder::scheduleJournal() {
  auto Due = Writer->nextDue();
  if (!Due) {
    JournalTimer.stop();
    return;
  }
  milliseconds Wait = std::max(*Due - steadyNow(), milliseconds(1));
  JournalTimer = timer::once(Wait, [this] { pump(); });
}

// -- The book's commands ----------------------------------------------------

void holder::carryOut(commit_record &Command) {
  Writer->append(Command.Record, Command.Ticket, steadyNow());
}

program_facts holder::factsOf(const dispatch_call &Command) const {
  program_facts Facts;
  const catalogue_entry *Entry = Context.Config.find(Command.Entry);
  if (const program_entry *Program = Entry ? Entry->program() : nullptr) {
    Facts.Owner = Program->Owner;
    // The fleet entry limits how long a cache is held.
    Facts.ExpectedPause =
        std::min(Program->ExpectedPause, Context.Config.fleet().MaxCacheHold);
    Facts.CallTimeout = Program->Limits.Call;
  }
  const root_row *Root = Book->rows().findRoot(Command.Program);
  if (!Root)
    return Facts;
  Facts.AttainedTokens = static_cast<std::int64_t>(Root->SpentTokens);
  Facts.Started = Root->Turns > 0;
  Facts.AgeMs = wallNowMs() - Root->WallStartMs;
  Facts.ParentWaiting = Command.Program.size() > Root->Root.size();
  const program_row *Program = Book->rows().findProgram(Command.Program);
  if (Program && !Program->Calls.empty())
    Facts.LastCallTokens =
        static_cast<std::int64_t>(Program->Calls.back().Tokens);
  return Facts;
}

void holder::carryOut(dispatch_call &Command) {
  Dispatches[Command.Call] = {Command.FirstWaiter, Command.Attempt};
  Dispatcher->start(Command, factsOf(Command));
}

void holder::carryOut(release_waiter &Command) {
  auto Found = Waiters.find(Command.Waiter);
  if (Found == Waiters.end())
    return;
  waiter_row &Row = Found->second;
  call_end End;
  End.Outcome = static_cast<std::uint8_t>(Command.Outcome);
  End.HttpStatus = Command.HttpStatus;
  End.ContentType = std::move(Command.ContentType);
  End.Body = std::move(Command.Body);
  End.Code = std::move(Command.Code);
  End.Text = std::move(Command.Text);
  End.Number = Command.Number;
  End.RetryAfterMs = Command.RetryAfterMs;
  End.Replayed = Command.Replayed;
  End.Moved = Command.Moved;
  if (Row.Broken) {
    End.StreamBroken = true;
  } else if (Row.Streamed) {
    nlohmann::json Answer = nlohmann::json::parse(End.Body, nullptr, false);
    std::string Content;
    const nlohmann::json &Choices = valueAt(Answer, "choices");
    if (Choices.is_array() && !Choices.empty())
      Content = textAt(valueAt(Choices.front(), "message"), "content");
    if (!Row.Partial)
      End.StreamedBytes = static_cast<std::int64_t>(Content.size());
    else if (Content.starts_with(*Row.Partial))
      End.StreamedBytes = static_cast<std::int64_t>(Row.Partial->size());
    else
      End.StreamBroken = true;
  }
  finish(Command.Waiter, std::move(End));
}

void holder::carryOut(cancel_dispatch &Command) {
  Dispatcher->cancel(Command.Call);
  Dispatches.erase(Command.Call);
}

void holder::carryOut(program_ended &Command) {
  auto Found = Admitted.find(Command.Root);
  if (Found != Admitted.end()) {
    admitted_row Row = Found->second;
    Admitted.erase(Found);
    Admission.endProgram(Row.Entry, Row.Owner);
    const catalogue_entry *Entry = Context.Config.find(Row.Entry);
    const program_entry *Program = Entry ? Entry->program() : nullptr;
    std::int64_t Took = wallNowMs() - Row.WallStartMs;
    bool InTime = !Program || Program->Target.count() == 0 ||
                  Took <= Program->Target.count();
    Context.Metrics.observe("program_ms", metricLabel("rank", nameOf(Row.Rank)),
                            static_cast<double>(Took));
    if (Context.Recorder)
      Context.Recorder->count(Row.Entry, Row.Rank, steadyNow(),
                              [&](entry_counters &Counters) {
                                if (Command.Reason != end_reason::Asked) {
                                  ++Counters.OverLimit;
                                  return;
                                }
                                ++Counters.ProgramsFinished;
                                if (InTime)
                                  ++Counters.FinishedInTime;
                              });
  }
  Gates.ended(Command.Root);
}

// -- The dispatcher's news --------------------------------------------------

dispatch_events holder::dispatchEvents() {
  dispatch_events Events;
  Events.OnEvents = [this](call_id Call, std::string_view Bytes) {
    onEvents(Call, Bytes);
  };
  Events.OnAnswered = [this](call_id Call, upstream_answer Answer) {
    Dispatches.erase(Call);
    Book->answered(Call, std::move(Answer), now());
    pump();
  };
  Events.OnNotSent = [this](call_id Call, std::string Code,
                            std::int64_t RetryAfterMs) {
    Dispatches.erase(Call);
    Book->notSent(Call, std::move(Code), RetryAfterMs, now());
    pump();
  };
  Events.OnLost = [this](call_id Call, std::string Code, bool MayHaveRun) {
    Dispatches.erase(Call);
    Book->failed(Call, std::move(Code), MayHaveRun, now());
    pump();
  };
  Events.OnDied = [this](call_id Call, std::string Upstream,
                         std::optional<std::string> Partial) {
    auto Dispatch = Dispatches.find(Call);
    if (Dispatch != Dispatches.end()) {
      auto Waiter = Waiters.find(Dispatch->second.Waiter);
      if (Waiter != Waiters.end() && Waiter->second.Streamed &&
          Dispatch->second.Attempt == 1) {
        Waiter->second.Broken = !Partial;
        Waiter->second.Partial = std::move(Partial);
      }
      Dispatches.erase(Dispatch);
    }
    Book->upstreamCrashed(Call, std::move(Upstream), now());
    pump();
  };
  return Events;
}

void holder::onEvents(call_id Call, std::string_view Events) {
  auto Dispatch = Dispatches.find(Call);
  // A later attempt may give another answer than the first, so it is forwarded
  // only when it is complete.
  if (Dispatch == Dispatches.end() || Dispatch->second.Attempt > 1)
    return;
  auto Waiter = Waiters.find(Dispatch->second.Waiter);
  if (Waiter == Waiters.end() || !Waiter->second.WantStream)
    return;
  Waiter->second.Streamed = true;
  Waiter->second.Sink.OnEvents(Events);
}

// -- The journal's commands -------------------------------------------------

void holder::carryOut(const create_segment &Command) {
  time_point Start = steadyNow();
  Context.Metrics.add("journal_writes_total");
  Context.Metrics.add("journal_bytes_total", "",
                      static_cast<double>(Command.Bytes.size()));
  Context.Platform->create(
      SegmentsPlural, binaryObject(Command.Name, Command.Bytes),
      [this, Start, Now = Life](const platform_reply &Reply) {
        if (Now != Life)
          return;
        Context.Metrics.observe(
            "journal_write_ms", "",
            static_cast<double>((steadyNow() - Start).count()));
        Writer->created(createResultOf(Reply.Outcome), steadyNow());
        pump();
      });
}

void holder::carryOut(const read_segment &Command) {
  Context.Platform->get(SegmentsPlural, Command.Name,
                        [this, Now = Life](const platform_reply &Reply) {
                          if (Now != Life)
                            return;
                          Writer->read(readResultOf(Reply.Outcome),
                                       bytesOf(Reply.Object), steadyNow());
                          pump();
                        });
}

void holder::carryOut(const send_to_standby &Command) {
  keep_message Message{Context.life(), Command.Standby, Command.OnPlatform,
                       Command.Entries};
  auto Reply = std::make_shared<std::optional<keep_reply>>();
  Context.Links->send(
      Command.Standby.Host,
      {.Path = std::string(KeepPath), .Headers = {}, .Body = pack(Message)},
      {.OnMessage =
           [Reply](std::string_view Bytes) {
             *Reply = unpack<keep_reply>(Bytes);
           },
       .OnEnd =
           [this, Reply, Standby = Command.Standby,
            Now = Life](const peer_result &) {
             if (Now != Life)
               return;
             std::optional<std::uint64_t> UpTo;
             if (*Reply)
               UpTo = (*Reply)->UpTo;
             Writer->standbyAnswered(Standby, UpTo, steadyNow());
             pump();
           }});
}

void holder::carryOut(const trim_standby &Command) {
  trim_message Message{Context.life(), Command.UpTo};
  Context.Links->send(
      Command.Standby.Host,
      {.Path = std::string(TrimPath), .Headers = {}, .Body = pack(Message)},
      {});
}

void holder::carryOut(const journal_committed &Command) {
  Book->committedUpTo(Command.Ticket, now());
}

void holder::carryOut(const journal_fenced &) {
  log::warn("journal was sealed by a successor",
            {{"incarnation", Context.Incarnation}});
  Context.Metrics.add("fenced_total");
  Book->fenced(now());
  Fenced = true;
}

void holder::carryOut(const journal_availability &Command) {
  // After this process was suspended, its writes appear late, and it may have
  // been replaced. It checks that first: otherwise its callers would get an
  // error although the new holder can store their calls.
  constexpr milliseconds LookAgain{1000};
  if (!Command.Available && wasPaused()) {
    after(LookAgain, [this, Now = Life] {
      if (Now != Life || Writer->available())
        return;
      Book->setJournalAvailable(false, now());
      pump();
    });
    return;
  }
  log::info("journal keeping changed", {{"can_keep", Command.Available}});
  Book->setJournalAvailable(Command.Available, now());
}

} // namespace turmerichead::host_pvt
