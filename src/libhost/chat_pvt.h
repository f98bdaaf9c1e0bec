/// \file
/// Chat completions as they stream: which events may go on at once, and the
/// whole answer put together for the history.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::host_pvt {

/// Tokens that the engine counted for one call.
struct chat_usage {
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  std::uint64_t CachedTokens = 0;
};

/// What the dispatcher does with one server-sent event of an engine.
enum class chat_event {
  Forward, ///< Goes to the caller at once.
  Hold,    ///< Ends the answer; waits until the answer is committed.
  Done,    ///< The "[DONE]" marker.
  Broken   ///< Does not parse; the stream is of no further use.
};

/// Puts the chunks of a streamed completion together.
class chat_assembler {
public:
  /// Takes the payload of one `data:` line.
  chat_event take(std::string_view Data);

  /// True once a finish reason and the "[DONE]" marker were seen.
  bool complete() const { return Finished && SawDone; }

  const chat_usage &usage() const { return Usage; }
  std::uint64_t chunks() const { return Chunks; }

  /// Text of the answer so far.
  const std::string &content() const { return Content; }
  bool hasToolCalls() const { return !ToolCalls.empty(); }

  /// The whole answer as a `chat.completion` object.
  nlohmann::json completion() const;

private:
  void takeDelta(const nlohmann::json &Delta);
  void takeToolCall(const nlohmann::json &Part);

  std::string Id;
  std::string Model;
  std::int64_t Created = 0;
  std::string Content;
  std::vector<nlohmann::json> ToolCalls;
  std::string FinishReason;
  chat_usage Usage;
  std::uint64_t Chunks = 0;
  bool Finished = false;
  bool SawDone = false;
};

/// Renders a kept `chat.completion` as the server-sent events of a stream:
/// one chunk with the whole message, one with the finish reason and usage,
/// and "[DONE]".
std::string completionAsEvents(const nlohmann::json &Completion);

/// Renders what is left of a stream whose first \p SentBytes bytes of content
/// the caller has: the rest of the content, the finish reason with usage, and
/// "[DONE]".
std::string completionTailEvents(const nlohmann::json &Completion,
                                 std::size_t SentBytes);

/// A request body checked for forwarding.
struct chat_request {
  nlohmann::json Body;
  bool Stream = false;
  std::optional<std::uint64_t> MaxTokens; ///< As the caller asked.
};

/// Parses a chat request. On failure lastError() says where and why.
std::optional<chat_request> parseChatRequest(std::string_view Body);

/// The body that is sent to an engine: always streamed with usage, and with
/// at most \p MaxTokens output tokens.
std::string engineBody(const nlohmann::json &Request, std::uint64_t MaxTokens);

} // namespace turmerichead::host_pvt
