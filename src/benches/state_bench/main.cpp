/// \file
/// Measures the durable state alone: bytes of journal per turn, replay of a
/// long program, processor time of book and journal, and the platform's
/// writes per second at given call rates and commit intervals. Output is one
/// JSON object a line.
///
///     state_bench --turns 63 --tokens 400000

#include "turmerichead/clock.h"
#include "turmerichead/state_book.h"
#include "turmerichead/state_journal.h"
#include "turmerichead/state_takeover.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <map>

DEFINE_uint32(turns, 63, "turns of the long program");
DEFINE_uint32(tokens, 400000, "tokens of its whole history");
DEFINE_uint32(bytes_per_token, 4, "bytes of text for one token");
DEFINE_uint32(programs, 400, "programs of the paced run");
DEFINE_uint32(seconds, 20, "virtual seconds of the paced run");

using namespace turmerichead;
using json = nlohmann::json;

namespace {

double elapsedMs(std::chrono::steady_clock::time_point Since) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - Since)
      .count();
}

std::uint32_t oneShard(std::string_view) { return 0; }

/// A program that talks with a model: each turn repeats the conversation.
struct conversation {
  std::string Program;
  json Messages = json::array();
  std::uint32_t Turn = 0;

  call_request next(std::size_t NewBytes) {
    Messages.push_back(
        {{"role", "user"}, {"content", std::string(NewBytes, 'q')}});
    call_request Out;
    Out.Program = Program;
    Out.Number = ++Turn;
    Out.Body = json{{"model", "m"}, {"messages", Messages}}.dump();
    Out.Digest = digestChat(Out.Body).value();
    Out.Entry = "bench";
    Out.Owner = "bench";
    Out.Limits.BudgetTokens = 1ULL << 40;
    return Out;
  }

  upstream_answer answer(std::size_t Bytes) {
    json Message = {{"role", "assistant"},
                    {"content", std::string(Bytes, 'a')}};
    Messages.push_back(Message);
    return {200, "application/json",
            json{{"choices", {{{"message", Message}}}}}.dump(), Bytes / 4};
  }
};

/// A book and its journal before a platform that takes a fixed time.
struct holder {
  program_book Book{book_settings(), oneShard};
  journal_writer Journal;
  moment Now{time_point{1000}, 1000};
  milliseconds WriteTime{5};
  std::optional<time_point> WriteEnds;
  std::vector<dispatch_call> Dispatched;
  std::map<std::string, std::string> Segments;
  std::uint64_t Writes = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Answers = 0;

  explicit holder(journal_settings Settings) : Journal({"h", 1}, Settings) {
    Book.acquireShard(0, {});
  }

  void run() {
    bool More = true;
    while (More) {
      More = false;
      for (book_command &Command : Book.takeCommands()) {
        More = true;
        if (auto *Commit = std::get_if<commit_record>(&Command))
          Journal.append(Commit->Record, Commit->Ticket, Now.Now);
        if (auto *Dispatch = std::get_if<dispatch_call>(&Command))
          Dispatched.push_back(std::move(*Dispatch));
        if (std::holds_alternative<release_waiter>(Command))
          ++Answers;
      }
      for (journal_command &Command : Journal.takeCommands()) {
        More = true;
        if (auto *Create = std::get_if<create_segment>(&Command)) {
          ++Writes;
          Bytes += Create->Bytes.size();
          Segments[Create->Name] = std::move(Create->Bytes);
          WriteEnds = Now.Now + WriteTime;
        }
        if (auto *Commit = std::get_if<journal_committed>(&Command))
          Book.committedUpTo(Commit->Ticket, Now);
      }
    }
  }

  void step(milliseconds Time) {
    Now.Now = Now.Now + Time;
    Now.WallMs += Time.count();
    if (WriteEnds && Now.Now >= *WriteEnds) {
      WriteEnds.reset();
      Journal.created(create_result::Created, Now.Now);
    }
    Journal.tick(Now.Now);
    run();
  }

  void settle() {
    while (Journal.unwrittenBytes() > 0)
      step(milliseconds(1));
  }
};

// One long program: what the journal holds, and how fast it is replayed.
void benchLongProgram() {
  std::size_t TurnBytes =
      std::size_t{FLAGS_tokens} / FLAGS_turns * FLAGS_bytes_per_token;
  holder Holder{journal_settings()};
  conversation Chat{"long"};
  std::uint64_t BodyBytes = 0;
  auto Start = std::chrono::steady_clock::now();
  for (std::uint32_t Turn = 0; Turn < FLAGS_turns; ++Turn) {
    call_request Request = Chat.next(TurnBytes / 2);
    BodyBytes += Request.Body.size();
    Holder.Book.submit(Request, Turn + 1, Holder.Now);
    Holder.run();
    Holder.settle();
    upstream_answer Answer = Chat.answer(TurnBytes / 2);
    BodyBytes += Answer.Body.size();
    Holder.Book.answered(Holder.Dispatched.back().Call, std::move(Answer),
                         Holder.Now);
    Holder.run();
    Holder.settle();
  }
  double WrittenMs = elapsedMs(Start);

  Start = std::chrono::steady_clock::now();
  state_rows Rows;
  std::string Record;
  for (std::uint64_t N = 1; N <= Holder.Segments.size(); ++N) {
    auto Segment =
        decodeSegment(Holder.Segments[segmentName({"h", 1}, N)]).value();
    for (const journal_entry &Entry : Segment.Entries) {
      Record += Entry.Bytes;
      if (Entry.Continues)
        continue;
      Rows.apply(decodeRecord(Record).value(), oneShard);
      Record.clear();
    }
  }
  double ReplayMs = elapsedMs(Start);

  Start = std::chrono::steady_clock::now();
  snapshot_builder Maker(0, 1, std::nullopt);
  auto Objects = Maker.build(Rows, {{"h", 1}, 1, 0}, false);
  double MakeMs = elapsedMs(Start);
  std::size_t Largest = 0;
  std::vector<std::string> Pieces;
  for (const snapshot_object &Object : Objects) {
    Largest = std::max(Largest, Object.Bytes.size());
    Pieces.push_back(Object.Bytes);
  }
  Start = std::chrono::steady_clock::now();
  auto Manifest = decodeManifest(Pieces.back()).value();
  Pieces.pop_back();
  bool Equal =
      loadSnapshot(Manifest, Pieces)->findProgram("long")->EndedCalls ==
      FLAGS_turns;
  std::cout << json{{"bench", "long_program"},
                    {"turns", FLAGS_turns},
                    {"tokens", FLAGS_tokens},
                    {"bodies_bytes", BodyBytes},
                    {"journal_bytes", Holder.Bytes},
                    {"journal_bytes_per_turn", Holder.Bytes / FLAGS_turns},
                    {"segments", Holder.Segments.size()},
                    {"book_and_journal_ms", WrittenMs},
                    {"replay_ms", ReplayMs},
                    {"snapshot_make_ms", MakeMs},
                    {"snapshot_load_ms", elapsedMs(Start)},
                    {"snapshot_objects", Objects.size()},
                    {"largest_object_bytes", Largest},
                    {"restored", Equal}}
                   .dump()
            << "\n";
}

// Many programs at a fixed rate of calls: writes per second, bytes, the wait
// for commits and the processor's time for one call.
void benchRate(std::uint32_t CallsPerSecond, milliseconds Interval) {
  constexpr std::size_t UserBytes = 800;
  constexpr std::size_t AnswerBytes = 1200;
  constexpr milliseconds ModelTime{200};
  journal_settings Settings;
  Settings.CommitInterval = Interval;
  holder Holder(Settings);
  std::vector<conversation> Chats(FLAGS_programs);
  std::multimap<time_point, std::size_t> Running; // Ends of dispatched calls.
  std::vector<bool> Busy(FLAGS_programs);
  std::size_t Seen = 0;
  std::size_t Next = 0;
  std::uint64_t Sent = 0;
  double Due = 0;
  auto Start = std::chrono::steady_clock::now();
  for (std::uint32_t Ms = 0; Ms < FLAGS_seconds * 1000; ++Ms) {
    Due += CallsPerSecond / 1000.0;
    for (; Due >= 1; Due -= 1) {
      std::size_t Index = Next++ % Chats.size();
      conversation &Chat = Chats[Index];
      if (Busy[Index])
        continue;
      // A long conversation begins anew as another program.
      if (Chat.Program.empty() || Chat.Turn >= 20)
        Chat = {"p" + std::to_string(Index) + "-" + std::to_string(Sent)};
      Busy[Index] = true;
      Holder.Book.submit(Chat.next(UserBytes), ++Sent, Holder.Now);
    }
    Holder.step(milliseconds(1));
    for (; Seen < Holder.Dispatched.size(); ++Seen)
      Running.emplace(Holder.Now.Now + ModelTime, Seen);
    while (!Running.empty() && Running.begin()->first <= Holder.Now.Now) {
      const dispatch_call &Call = Holder.Dispatched[Running.begin()->second];
      auto Index = std::stoul(Call.Program.substr(1));
      Holder.Book.answered(Call.Call, Chats[Index].answer(AnswerBytes),
                           Holder.Now);
      Busy[Index] = false;
      Running.erase(Running.begin());
    }
    Holder.run();
  }
  double Cpu = elapsedMs(Start);
  std::cout << json{{"bench", "rate"},
                    {"calls_per_second_asked", CallsPerSecond},
                    {"calls_per_second", Sent / FLAGS_seconds},
                    {"commit_interval_ms", Interval.count()},
                    {"platform_write_ms", Holder.WriteTime.count()},
                    {"answers", Holder.Answers},
                    {"writes_per_second",
                     static_cast<double>(Holder.Writes) / FLAGS_seconds},
                    {"bytes_per_call",
                     Holder.Bytes / std::max<std::uint64_t>(Sent, 1)},
                    {"bytes_per_write",
                     Holder.Bytes / std::max<std::uint64_t>(Holder.Writes, 1)},
                    {"cpu_us_per_call", Cpu * 1000 / static_cast<double>(Sent)}}
                   .dump()
            << "\n";
}

} // namespace

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("measures the durable state");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  benchLongProgram();
  for (std::uint32_t Rate : {5, 35, 300})
    for (int Interval : {20, 100, 500})
      benchRate(Rate, milliseconds(Interval));
  return 0;
}
