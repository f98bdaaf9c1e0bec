/// \file
/// Streamed chat completions: which events may be forwarded immediately, and
/// the complete answer for the history.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead::host_pvt {

/// Token counts of the engine for one call.
struct chat_usage {
  std::uint64_t PromptTokens = 0;
  std::uint64_t CompletionTokens = 0;
  std::uint64_t CachedTokens = 0;
};

/// What the dispatcher does with a server-sent event of an engine.
enum class chat_event {
  Forward, ///< Is forwarded immediately.
  Hold,    ///< Ends the answer; is held until the answer is committed.
  Done,    ///< The "[DONE]" marker.
  Broken   ///< Cannot be parsed; the stream has failed.
};

/// Assembles the chunks of a streamed completion.
class chat_assembler {
public:
  /// Handles the payload of one `data:` line.
  chat_event take(std::string_view Data);

  /// Returns whether a finish reason and the "[DONE]" marker were received.
  bool complete() const { return Finished && SawDone; }

  const chat_usage &usage() const { return Usage; }
  std::uint64_t chunks() const { return Chunks; }

  /// Returns the text received so far.
  const std::string &content() const { return Content; }
  bool hasToolCalls() const { return !ToolCalls.empty(); }

  /// Returns the complete answer as a `chat.completion` object.
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

/// Renders a stored `chat.completion` as server-sent events: one chunk with the
/// complete message, one with the finish reason and usage, and "[DONE]".
std::string completionAsEvents(const nlohmann::json &Completion);

/// Renders the rest of a stream after \p SentBytes bytes of content: the
/// remaining content, the finish reason with usage, and "[DONE]".
std::string completionTailEvents(const nlohmann::json &Completion,
                                 std::size_t SentBytes);

/// A validated request body.
struct chat_request {
  nlohmann::json Body;
  bool Stream = false;
  std::optional<std::string> Model;       ///< As requested by the caller.
  std::optional<std::uint64_t> MaxTokens; ///< As requested by the caller.
};

/// Parses a chat request. Fails with InvalidInput and the location.
std::optional<chat_request> parseChatRequest(std::string_view Body);

/// Returns the body for an engine: always streamed with usage, and with at most
/// \p MaxTokens output tokens.
std::string engineBody(const nlohmann::json &Request, std::uint64_t MaxTokens);

} // namespace turmerichead::host_pvt
