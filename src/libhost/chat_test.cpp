#include "chat_pvt.h"

#include "turmerichead/error.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::host_pvt;
using nlohmann::json;

namespace {
std::string deltaChunk(const json &Delta, const json &Finish = nullptr) {
  json Chunk = {
      {"id", "c1"},
      {"model", "m"},
      {"choices",
       {{{"index", 0}, {"delta", Delta}, {"finish_reason", Finish}}}}};
  return Chunk.dump();
}
} // namespace

TEST_CASE("chunks are put together and the ending is held back") {
  chat_assembler Assembler;
  CHECK(Assembler.take(deltaChunk({{"content", "Track "}})) ==
        chat_event::Forward);
  CHECK(Assembler.take(deltaChunk({{"content", "4"}})) == chat_event::Forward);
  CHECK(Assembler.take(deltaChunk(json::object(), "stop")) == chat_event::Hold);
  CHECK(
      Assembler.take(
          R"({"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":2}})") ==
      chat_event::Hold);
  CHECK_FALSE(Assembler.complete());
  CHECK(Assembler.take("[DONE]") == chat_event::Done);
  CHECK(Assembler.complete());
  json Whole = Assembler.completion();
  CHECK(Whole["choices"][0]["message"]["content"] == "Track 4");
  CHECK(Whole["usage"]["total_tokens"] == 9);
}

TEST_CASE("tool calls arrive in parts") {
  chat_assembler Assembler;
  Assembler.take(deltaChunk(
      {{"tool_calls",
        {{{"index", 0},
          {"id", "t1"},
          {"function", {{"name", "book"}, {"arguments", "{\"a\""}}}}}}}));
  Assembler.take(
      deltaChunk({{"tool_calls",
                   {{{"index", 0}, {"function", {{"arguments", ":1}"}}}}}}}));
  json Call = Assembler.completion()["choices"][0]["message"]["tool_calls"][0];
  CHECK(Call["id"] == "t1");
  CHECK(Call["function"]["arguments"] == "{\"a\":1}");
}

TEST_CASE("a replayed stream carries the same answer") {
  chat_assembler First;
  First.take(deltaChunk({{"content", "yes"}}));
  First.take(deltaChunk(json::object(), "stop"));
  First.take("[DONE]");
  std::string Events = completionAsEvents(First.completion());
  chat_assembler Second;
  std::size_t Begin = 0;
  while (Begin < Events.size()) {
    std::size_t End = Events.find("\n\n", Begin);
    Second.take(std::string_view(Events).substr(Begin + 6, End - Begin - 6));
    Begin = End + 2;
  }
  CHECK(Second.complete());
  CHECK(Second.completion()["choices"][0]["message"]["content"] == "yes");
}

TEST_CASE("bad requests are refused with their place") {
  CHECK_FALSE(parseChatRequest(R"({"messages": [)"));
  CHECK(lastError().Text.find("at byte") != std::string::npos);
  CHECK_FALSE(parseChatRequest(R"({"messages":[{"role":1}]})"));
  CHECK(lastError().Text == "messages[0].role: must be a string");
  CHECK_FALSE(
      parseChatRequest(R"({"messages":[{"role":"user"}],"max_tokens":0})"));
  CHECK_FALSE(parseChatRequest(R"({"messages":[{"role":"user"}],"model":7})"));
  CHECK(lastError().Text == "model: must be a string");
  CHECK(parseChatRequest(R"({"messages":[{"role":"user"}],"stream":true})")
            ->Stream);
}

TEST_CASE("a request that is nested too deeply to be copied is refused") {
  constexpr std::size_t Depth = 400'000;
  std::string Body = R"({"messages":[{"role":"user"}],"extra":)" +
                     std::string(Depth, '[') + std::string(Depth, ']') + "}";
  auto Request = parseChatRequest(Body);
  CHECK_FALSE(Request);
  CHECK(lastError().Text == "body: is nested too deeply");
  if (Request)
    engineBody(Request->Body, 1);
}

TEST_CASE("the engine is asked to stream with a bounded answer") {
  json Request = {{"messages", json::array()}, {"max_completion_tokens", 500}};
  json Body = json::parse(engineBody(Request, 64));
  CHECK(Body["max_tokens"] == 64);
  CHECK(Body["stream"] == true);
  CHECK_FALSE(Body.contains("max_completion_tokens"));
}
