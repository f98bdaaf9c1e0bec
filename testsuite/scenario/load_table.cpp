#include "load_table.h"

#include "event_loop.h"

#include <glib.h>

#include <algorithm>

namespace turmerichead::scenario {

namespace {
constexpr unsigned AdvancePeriodMs = 3;
} // namespace

load_table::load_table(call_table &Calls, call_builder &Builder)
    : Calls(Calls), Builder(Builder) {
  Timer = g_timeout_add(AdvancePeriodMs, advanceAll, this);
}

load_table::~load_table() { g_source_remove(Timer); }

void load_table::begin(const std::string &Name, load_spec Spec) {
  row &Row = Rows[Name];
  Row.Spec = std::move(Spec);
  for (std::int64_t I = 1; I <= Row.Spec.Programs; ++I) {
    program Program;
    Program.Spec = Row.Spec.Call;
    Program.Spec.Program = Row.Spec.Prefix + "-" + std::to_string(I);
    Program.Spec.Number = 1;
    beginTurn(Row, Program);
    Row.Programs.push_back(Program);
  }
}

void load_table::stop(const std::string &Name) {
  Rows.at(Name).Stopping = true;
}

bool load_table::done(const std::string &Name) const {
  const row &Row = Rows.at(Name);
  return Row.Result.Ended == static_cast<std::int64_t>(Row.Programs.size());
}

const load_result &load_table::result(const std::string &Name) const {
  return Rows.at(Name).Result;
}

int load_table::advanceAll(void *Data) {
  auto &Table = *static_cast<load_table *>(Data);
  for (auto &[Name, Row] : Table.Rows)
    for (program &Program : Row.Programs)
      Table.advance(Row, Program);
  return G_SOURCE_CONTINUE;
}

void load_table::advance(row &Row, program &Program) {
  if (Program.Ended)
    return;
  if (Program.ResumeAtMs != 0) {
    if (nowMs() >= Program.ResumeAtMs)
      beginTurn(Row, Program);
    return;
  }
  if (Calls.done(Program.Call))
    finishTurn(Row, Program);
}

void load_table::beginTurn(const row &Row, program &Program) {
  call_order Order = Builder.build(Program.Spec);
  Order.Retry = true;
  // Each program begins at another host, as behind a balancer.
  Order.BaseUrls = Row.Spec.BaseUrls;
  const auto Shift = static_cast<std::ptrdiff_t>(
      (Row.Programs.size() + static_cast<std::size_t>(Program.Spec.Number)) %
      Order.BaseUrls.size());
  std::rotate(Order.BaseUrls.begin(), Order.BaseUrls.begin() + Shift,
              Order.BaseUrls.end());
  Program.ResumeAtMs = 0;
  Program.Call = Calls.begin(std::move(Order));
}

void load_table::finishTurn(row &Row, program &Program) {
  const call_result Result = Calls.result(Program.Call);
  Calls.forget(Program.Call);
  load_result &Sum = Row.Result;
  const bool Answered = Result.Complete && Result.Status == 200;
  if (!Answered) {
    ++Sum.Failed;
    if (Sum.FirstFailure.empty())
      Sum.FirstFailure = Program.Spec.Program + " call " +
                         std::to_string(Program.Spec.Number) + ": " +
                         std::to_string(Result.Status) + " " + Result.Body +
                         Result.Failure;
  }
  if (Answered && !Result.OwnAnswer)
    ++Sum.WrongAnswers;
  const bool Last = Program.Spec.Number >= Row.Spec.Turns;
  if (!Answered || Last || Row.Stopping) {
    Program.Ended = true;
    ++Sum.Ended;
    if (Answered)
      ++Sum.Finished;
    return;
  }
  Builder.noteAnswer(Program.Spec, Result.Content);
  ++Program.Spec.Number;
  Program.ResumeAtMs = nowMs() + Row.Spec.ThinkMs;
}

} // namespace turmerichead::scenario
