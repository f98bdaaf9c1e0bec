#include "call_builder.h"

namespace turmerichead::scenario {

using nlohmann::json;

std::string questionOf(const call_spec &Spec) {
  if (!Spec.Question.empty())
    return Spec.Question;
  return "question " + std::to_string(Spec.Number) + " of " + Spec.programId();
}

call_spec specOf(const step &Step) {
  call_spec Spec;
  Spec.Program = Step.text("program");
  Spec.Parent = Step.text("parent");
  Spec.Number = Step.number("number", 1);
  Spec.Entry = Step.text("entry");
  Spec.Token = Step.text("token");
  Spec.Question = Step.text("question");
  Spec.MaxTokens = Step.number("max_tokens", 0);
  Spec.MinTokens = Step.number("min_tokens", 0);
  Spec.Stream = Step.flag("stream");
  Spec.Service = Step.text("service");
  if (Step.has("body"))
    Spec.Body = Step.Fields["body"];
  Spec.Key = Step.text("key");
  Spec.NonIdempotent = Step.flag("non_idempotent");
  Spec.DeadlineMs = Step.number("deadline_ms", 0);
  return Spec;
}

json call_builder::messagesFor(const call_spec &Spec) const {
  json Messages = json::array();
  const auto Found = Conversations.find(Spec.programId());
  if (Found != Conversations.end()) {
    for (const auto &[Number, Turn] : Found->second) {
      if (Number >= Spec.Number)
        break;
      Messages.push_back({{"role", "user"}, {"content", Turn.Question}});
      Messages.push_back({{"role", "assistant"}, {"content", Turn.Answer}});
    }
  }
  Messages.push_back({{"role", "user"}, {"content", questionOf(Spec)}});
  return Messages;
}

const std::string &call_builder::bodyOf(const call_spec &Spec) {
  const std::string Name = Spec.programId() + "#" +
                           std::to_string(Spec.Number) + "#" + Spec.Service +
                           "#" + questionOf(Spec) + "#" + Spec.Body.dump();
  auto [Row, IsNew] = Bodies.try_emplace(Name);
  if (!IsNew)
    return Row->second;
  if (!Spec.Service.empty()) {
    Row->second =
        Spec.Body.is_null() ? json{{"call", Name}}.dump() : Spec.Body.dump();
    return Row->second;
  }
  json Body = {{"model", "agent"},
               {"stream", Spec.Stream},
               {"messages", messagesFor(Spec)}};
  if (Spec.MaxTokens > 0)
    Body["max_tokens"] = Spec.MaxTokens;
  if (Spec.MinTokens > 0)
    Body["min_tokens"] = Spec.MinTokens;
  Row->second = Body.dump();
  return Row->second;
}

call_order call_builder::build(const call_spec &Spec) {
  call_order Order;
  http_request &Request = Order.Request;
  Request.Method = "POST";
  Request.Url = Spec.Service.empty() ? "/v1/chat/completions"
                                     : "/v1/services/" + Spec.Service;
  Request.Body = bodyOf(Spec);
  auto &Headers = Request.Headers;
  Headers["X-Turmerichead-Program"] = Spec.Program;
  Headers["X-Turmerichead-Call"] = std::to_string(Spec.Number);
  if (!Spec.Parent.empty())
    Headers["X-Turmerichead-Parent"] = Spec.Parent;
  if (!Spec.Entry.empty())
    Headers["X-Turmerichead-Entry"] = Spec.Entry;
  if (!Spec.Token.empty())
    Headers["Authorization"] = "Bearer " + Spec.Token;
  Headers["Idempotency-Key"] =
      Spec.Key.empty() ? Spec.programId() + "-" + std::to_string(Spec.Number)
                       : Spec.Key;
  if (Spec.NonIdempotent)
    Headers["X-Turmerichead-Non-Idempotent"] = "true";
  if (Spec.DeadlineMs > 0)
    Headers["X-Turmerichead-Deadline-Ms"] = std::to_string(Spec.DeadlineMs);
  if (Spec.Service.empty())
    Order.ReplyMark = replyMark(questionOf(Spec));
  return Order;
}

void call_builder::noteAnswer(const call_spec &Spec,
                              const std::string &Content) {
  if (Spec.Service.empty())
    Conversations[Spec.programId()][Spec.Number] = {questionOf(Spec), Content};
}

} // namespace turmerichead::scenario
