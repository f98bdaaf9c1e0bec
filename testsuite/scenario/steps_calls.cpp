#include "event_loop.h"
#include "interpreter.h"

#include <algorithm>

namespace turmerichead::scenario {

using nlohmann::json;

namespace {

std::string nameOfCall(const call_spec &Spec) {
  const std::string Kind = Spec.Service.empty() ? "" : " to " + Spec.Service;
  return Spec.programId() + " #" + std::to_string(Spec.Number) + Kind;
}

std::string resultText(const call_result &Result) {
  std::string Text = "status " + std::to_string(Result.Status);
  if (!Result.Complete)
    Text += ", no end (" + Result.Failure + ")";
  return Text + ": " + Result.Body.substr(0, 700);
}

/// A step that names no status or code wants the call's own whole answer.
bool wantsAnswer(const step &Step) {
  return Step.flag("answered", !Step.has("status") && !Step.has("code") &&
                                   !Step.has("outcome"));
}

} // namespace

interpreter::outcome interpreter::call(const step &Step) {
  std::string Reason;
  const call_spec Spec = specOf(Step);
  call_order Order = Builder.build(Spec);
  Order.BaseUrls = baseUrls(Step, Reason);
  if (Order.BaseUrls.empty())
    return bad(Reason);
  Order.Retry = Step.flag("retry");
  if (Step.has("raw"))
    Order.Request.Body = Step.text("raw");
  Order.Request.Method = Step.text("method", Order.Request.Method);
  Order.Request.Url = Step.text("path", Order.Request.Url);
  if (Step.has("header"))
    for (const auto &[Key, Value] : Step.Fields["header"].items()) {
      if (Value.get<std::string>().empty())
        Order.Request.Headers.erase(Key);
      else
        Order.Request.Headers[Key] = Value.get<std::string>();
    }
  if (Step.has("raw") || Step.has("method"))
    Order.ReplyMark.clear();
  const std::string Text =
      Step.has("path") ? Order.Request.Method + " " + Written->text("path")
                       : nameOfCall(Spec);
  const named_call Call{Calls.begin(std::move(Order)), Spec};
  if (!Step.flag("background"))
    return finishCall(Step, Text, Call);
  NamedCalls[Step.text("name", Text)] = Call;
  return good(Text + " begins");
}

interpreter::outcome interpreter::finishCall(const step &Step,
                                             const std::string &Text,
                                             const named_call &Call) {
  const bool Done =
      waitUntil([this, &Call] { return Calls.done(Call.Id); }, bound(Step));
  if (!Done) {
    Calls.abandon(Call.Id);
    return bad(Text + " does not end; last " +
               resultText(Calls.result(Call.Id)));
  }
  const call_result Result = Calls.result(Call.Id);
  Calls.forget(Call.Id);
  const std::string Name = Step.text("name", Step.text("call", Text));
  NamedResults[Name] = Result;
  print("  " + std::to_string(Result.Status) + " " +
        (Result.Content.empty() ? Result.Body.substr(0, 400) : Result.Content));
  return judgeCall(Step, Text, Call.Spec, Result);
}

interpreter::outcome interpreter::judgeCall(const step &Step,
                                            const std::string &Text,
                                            const call_spec &Spec,
                                            const call_result &Result) {
  if (wantsAnswer(Step)) {
    if (Result.Status != 200 || !Result.Complete)
      return bad(Text + " is not answered; " + resultText(Result));
    if (!Result.OwnAnswer)
      return bad(Text + " gets another call's answer; " + resultText(Result));
    Builder.noteAnswer(Spec, Result.Content);
  }
  const auto Differs = [&Step](const char *Key, const std::string &Is) {
    const auto Wanted = Step.texts(Key);
    return !Wanted.empty() &&
           std::find(Wanted.begin(), Wanted.end(), Is) == Wanted.end();
  };
  if (Differs("status", std::to_string(Result.Status)) ||
      Differs("code", Result.Code) || Differs("outcome", Result.Outcome))
    return bad(Text + " wants " + describe(*Written) + " " + Step.text("code") +
               " " + Step.text("outcome") + "; " + resultText(Result));
  if (Step.has("same_as")) {
    const auto Other = NamedResults.find(Step.text("same_as"));
    if (Other == NamedResults.end())
      return bad("there is no result \"" + Step.text("same_as") + "\"");
    if (Other->second.Content != Result.Content ||
        (Result.Content.empty() && Other->second.Body != Result.Body))
      return bad(Text + " differs from " + Step.text("same_as") + "; " +
                 resultText(Result) + " against " + resultText(Other->second));
  }
  const json Body = json::parse(Result.Body, nullptr, false);
  const std::string Pointer = Step.text("pointer");
  const auto Value = Body.is_discarded() || Pointer.empty()
                         ? std::optional<json>(Result.Body)
                         : memberAt(Body, Pointer);
  if (const auto Finding = judge(Step, Value))
    return bad(Text + ": " + Pointer + " " + *Finding);
  std::string End = wantsAnswer(Step) ? "its own answer" : "";
  for (const char *Key : {"code", "outcome"})
    if (Step.has(Key))
      End += (End.empty() ? "" : ", ") + Step.text(Key);
  const std::string More = describe(*Written);
  if (!More.empty())
    End += (End.empty() ? "" : ", ") + More;
  return good(Text + " gets " + End);
}

interpreter::outcome interpreter::join(const step &Step) {
  std::string Names;
  for (const std::string &Name : Step.texts("call")) {
    const auto Found = NamedCalls.find(Name);
    if (Found == NamedCalls.end())
      return bad("there is no call \"" + Name + "\"");
    step One = Step;
    One.Fields["call"] = Name;
    outcome Outcome = finishCall(One, Name, Found->second);
    NamedCalls.erase(Name);
    if (!Outcome.Good)
      return Outcome;
    Names += (Names.empty() ? "" : "; ") + Outcome.Text;
  }
  return good(Names);
}

interpreter::outcome interpreter::awaitEvents(const step &Step) {
  const std::string Name = Step.text("call");
  const auto Found = NamedCalls.find(Name);
  if (Found == NamedCalls.end())
    return bad("there is no call \"" + Name + "\"");
  const call_id Id = Found->second.Id;
  const auto Wanted = static_cast<std::size_t>(Step.number("events", 1));
  const bool Held = waitUntil(
      [this, Id, Wanted] {
        return Calls.done(Id) || Calls.eventsSeen(Id) >= Wanted;
      },
      bound(Step));
  if (!Held || Calls.done(Id))
    return bad(Name + " does not reach its event " + std::to_string(Wanted));
  return good(Name + " has reached event " + std::to_string(Wanted));
}

interpreter::outcome interpreter::abandon(const step &Step) {
  const auto Found = NamedCalls.find(Step.text("call"));
  if (Found == NamedCalls.end())
    return bad("there is no call \"" + Step.text("call") + "\"");
  Calls.abandon(Found->second.Id);
  NamedCalls.erase(Found);
  return good(Step.text("call"));
}

interpreter::outcome interpreter::load(const step &Step) {
  std::string Reason;
  load_spec Spec;
  Spec.BaseUrls = baseUrls(Step, Reason);
  if (Spec.BaseUrls.empty())
    return bad(Reason);
  const std::string Name = Step.text("name", "load");
  Spec.Prefix = Step.text("prefix", Name);
  Spec.Programs = Step.number("programs", 1);
  Spec.Turns = Step.number("turns", 1);
  Spec.ThinkMs = Step.number("think_ms", 0);
  Spec.Call = specOf(Step);
  if (Loads.exists(Name))
    return bad("there is a load \"" + Name + "\"");
  CutOffBefore[Name] = Calls.cutOff();
  Loads.begin(Name, std::move(Spec));
  return good(Name + ": " + Step.text("programs", "1") + " programs of " +
              Step.text("turns", "1") + " turns begin");
}

interpreter::outcome interpreter::stopLoad(const step &Step) {
  const std::string Name = Step.text("name", "load");
  if (!Loads.exists(Name))
    return bad("there is no load \"" + Name + "\"");
  Loads.stop(Name);
  return good(Name);
}

interpreter::outcome interpreter::joinLoad(const step &Step) {
  const std::string Name = Step.text("name", "load");
  if (!Loads.exists(Name))
    return bad("there is no load \"" + Name + "\"");
  const bool Done =
      waitUntil([this, &Name] { return Loads.done(Name); }, bound(Step));
  const load_result &Result = Loads.result(Name);
  const std::string Sums = std::to_string(Result.Finished) + " finished, " +
                           std::to_string(Result.WrongAnswers) +
                           " wrong answers, " + std::to_string(Result.Failed) +
                           " failed";
  const std::size_t CutOff = Calls.cutOff() - CutOffBefore[Name];
  print("  " + Name + ": " + Sums +
        "; connections cut off: " + std::to_string(CutOff));
  if (!Done)
    return bad(Name + " does not end: " + Sums);
  const std::string Text = Name + ": " + Sums;
  if (Result.WrongAnswers != 0 || Result.Failed != 0)
    return bad(Text + "; " + Result.FirstFailure);
  if (Step.has("finished") && Result.Finished != Step.number("finished", 0))
    return bad(Text);
  if (!Step.has("cut_off"))
    return good(Text);
  const auto Allowed = static_cast<std::size_t>(Step.number("cut_off", 0));
  if (CutOff > Allowed)
    return bad(Text + ", " + std::to_string(CutOff) + " cut off");
  return good(Text + ", at most " + Step.text("cut_off") + " cut off");
}

} // namespace turmerichead::scenario
