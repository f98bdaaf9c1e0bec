#include "chat_pvt.h"

#include "turmerichead/error.h"
#include "turmerichead/json_fields.h"
#include "turmerichead/json_text.h"

#include <algorithm>

namespace turmerichead::host_pvt {

using nlohmann::json;

namespace {

std::uint64_t countAt(const json &Object, const char *Key) {
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return 0;
  return Found->get<std::uint64_t>();
}

chat_usage parseUsage(const json &Object) {
  chat_usage Usage;
  Usage.PromptTokens = countAt(Object, "prompt_tokens");
  Usage.CompletionTokens = countAt(Object, "completion_tokens");
  auto Details = Object.find("prompt_tokens_details");
  if (Details != Object.end() && Details->is_object())
    Usage.CachedTokens = countAt(*Details, "cached_tokens");
  return Usage;
}

std::string asEvent(const json &Chunk) {
  return "data: " + Chunk.dump(-1, ' ', false, json::error_handler_t::replace) +
         "\n\n";
}

json chunkBase(const json &Completion) {
  return {{"id", textAt(Completion, "id")},
          {"object", "chat.completion.chunk"},
          {"created", countAt(Completion, "created")},
          {"model", textAt(Completion, "model")}};
}

} // namespace

chat_event chat_assembler::take(std::string_view Data) {
  if (Data == "[DONE]") {
    SawDone = true;
    return chat_event::Done;
  }
  json Chunk = json::parse(Data, nullptr, false);
  if (Chunk.is_discarded() || !Chunk.is_object() || Chunk.contains("error"))
    return chat_event::Broken;
  ++Chunks;
  if (Id.empty()) {
    Id = textAt(Chunk, "id");
    Model = textAt(Chunk, "model");
    Created = static_cast<std::int64_t>(countAt(Chunk, "created"));
  }
  chat_event Result = chat_event::Forward;
  auto Counted = Chunk.find("usage");
  if (Counted != Chunk.end() && Counted->is_object()) {
    Usage = parseUsage(*Counted);
    Result = chat_event::Hold;
  }
  auto Choices = Chunk.find("choices");
  if (Choices == Chunk.end() || !Choices->is_array() || Choices->empty())
    return Result;
  const json &Choice = Choices->front();
  if (!Choice.is_object())
    return chat_event::Broken;
  auto Delta = Choice.find("delta");
  if (Delta != Choice.end() && Delta->is_object())
    takeDelta(*Delta);
  std::string Reason = textAt(Choice, "finish_reason");
  if (!Reason.empty()) {
    FinishReason = std::move(Reason);
    Finished = true;
    Result = chat_event::Hold;
  }
  return Result;
}

void chat_assembler::takeDelta(const json &Delta) {
  Content += textAt(Delta, "content");
  auto Calls = Delta.find("tool_calls");
  if (Calls == Delta.end() || !Calls->is_array())
    return;
  for (const json &Part : *Calls)
    if (Part.is_object())
      takeToolCall(Part);
}

void chat_assembler::takeToolCall(const json &Part) {
  constexpr std::uint64_t MaxToolCalls = 256;
  std::uint64_t Index = std::min(countAt(Part, "index"), MaxToolCalls - 1);
  if (Index >= ToolCalls.size())
    ToolCalls.resize(Index + 1,
                     json{{"id", ""},
                          {"type", "function"},
                          {"function", {{"name", ""}, {"arguments", ""}}}});
  json &Call = ToolCalls[Index];
  if (std::string CallId = textAt(Part, "id"); !CallId.empty())
    Call["id"] = CallId;
  auto Function = Part.find("function");
  if (Function == Part.end() || !Function->is_object())
    return;
  for (const char *Key : {"name", "arguments"})
    Call["function"][Key] =
        textAt(Call["function"], Key) + textAt(*Function, Key);
}

json chat_assembler::completion() const {
  json Message = {{"role", "assistant"}, {"content", Content}};
  if (!ToolCalls.empty())
    Message["tool_calls"] = ToolCalls;
  return {
      {"id", Id},
      {"object", "chat.completion"},
      {"created", Created},
      {"model", Model},
      {"choices",
       {{{"index", 0},
         {"message", std::move(Message)},
         {"finish_reason", FinishReason}}}},
      {"usage",
       {{"prompt_tokens", Usage.PromptTokens},
        {"completion_tokens", Usage.CompletionTokens},
        {"total_tokens", Usage.PromptTokens + Usage.CompletionTokens},
        {"prompt_tokens_details", {{"cached_tokens", Usage.CachedTokens}}}}}};
}

namespace {

std::string contentChunk(const json &Completion, const json &Delta) {
  json Chunk = chunkBase(Completion);
  Chunk["choices"] = {
      {{"index", 0}, {"delta", Delta}, {"finish_reason", nullptr}}};
  return asEvent(Chunk);
}

std::string endingEvents(const json &Completion) {
  json Last = chunkBase(Completion);
  Last["choices"] = {
      {{"index", 0},
       {"delta", json::object()},
       {"finish_reason", Completion["choices"][0]["finish_reason"]}}};
  Last["usage"] = Completion["usage"];
  return asEvent(Last) + "data: [DONE]\n\n";
}

} // namespace

std::string completionAsEvents(const json &Completion) {
  json Delta = Completion["choices"][0]["message"];
  auto Calls = Delta.find("tool_calls");
  if (Calls != Delta.end()) {
    std::size_t Index = 0;
    for (json &Call : *Calls)
      Call["index"] = Index++;
  }
  return contentChunk(Completion, Delta) + endingEvents(Completion);
}

std::string completionTailEvents(const json &Completion,
                                 std::size_t SentBytes) {
  std::string Content = textAt(Completion["choices"][0]["message"], "content");
  std::string Rest;
  if (SentBytes < Content.size())
    Rest = contentChunk(Completion, {{"content", Content.substr(SentBytes)}});
  return Rest + endingEvents(Completion);
}

std::optional<chat_request> parseChatRequest(std::string_view Body) {
  if (isNestedTooDeeply(Body))
    return fail(error_code::InvalidInput, "body: is nested too deeply");
  chat_request Request;
  Request.Body = json::parse(Body, nullptr, false);
  if (Request.Body.is_discarded()) {
    // Parsed again to find the location of the error.
    try {
      Request.Body = json::parse(Body);
    } catch (const json::parse_error &Error) {
      return fail(error_code::InvalidInput,
                  "body: broken JSON at byte " + std::to_string(Error.byte));
    }
    return fail(error_code::InvalidInput, "body: broken JSON");
  }
  if (!Request.Body.is_object())
    return fail(error_code::InvalidInput, "body: must be a JSON object");
  auto Messages = Request.Body.find("messages");
  if (Messages == Request.Body.end() || !Messages->is_array() ||
      Messages->empty())
    return fail(error_code::InvalidInput,
                "messages: must be an array with at least one message");
  for (std::size_t I = 0; I < Messages->size(); ++I)
    if (!(*Messages)[I].is_object() || textAt((*Messages)[I], "role").empty())
      return fail(error_code::InvalidInput,
                  "messages[" + std::to_string(I) + "].role: must be a string");
  auto Model = Request.Body.find("model");
  if (Model != Request.Body.end()) {
    if (!Model->is_string())
      return fail(error_code::InvalidInput, "model: must be a string");
    Request.Model = Model->get<std::string>();
  }
  auto Stream = Request.Body.find("stream");
  if (Stream != Request.Body.end()) {
    if (!Stream->is_boolean())
      return fail(error_code::InvalidInput, "stream: must be true or false");
    Request.Stream = Stream->get<bool>();
  }
  for (const char *Key : {"max_tokens", "max_completion_tokens"}) {
    auto Max = Request.Body.find(Key);
    if (Max == Request.Body.end() || Max->is_null())
      continue;
    if (!Max->is_number_unsigned() || Max->get<std::uint64_t>() == 0)
      return fail(error_code::InvalidInput,
                  std::string(Key) + ": must be a positive integer");
    Request.MaxTokens = Max->get<std::uint64_t>();
  }
  if (countAt(Request.Body, "n") > 1)
    return fail(error_code::InvalidInput,
                "n: only one choice a call is supported");
  return Request;
}

std::string engineBody(const json &Request, std::uint64_t MaxTokens) {
  json Body = Request;
  Body.erase("max_completion_tokens");
  Body["max_tokens"] = MaxTokens;
  Body["stream"] = true;
  Body["stream_options"] = {{"include_usage", true}};
  return Body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace turmerichead::host_pvt
