/// \file
/// Delta storage of chat messages. A model call repeats the whole
/// conversation; its record keeps only the messages that are new since the
/// program's previous call and its answer.
#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace turmerichead {

/// One message of a conversation, as hash and size of its JSON text.
struct message_digest {
  std::uint64_t Hash = 0;
  std::uint32_t Bytes = 0;
  friend bool operator==(const message_digest &,
                         const message_digest &) = default;
  MSGPACK_DEFINE(Hash, Bytes)
};

/// What the book needs to know of a model call's body.
struct chat_digest {
  std::vector<message_digest> Messages;
  std::uint64_t RestHash = 0;  ///< All fields but messages and output limits.
  std::uint32_t RestBytes = 0; ///< Size of those fields.
  std::uint32_t MaxOutputTokens = 0; ///< As asked; 0 if not given.
};

/// Reads a chat completion request. std::nullopt with error InvalidInput if
/// \p Body is not an object with an array of messages.
std::optional<chat_digest> digestChat(std::string_view Body);

/// The digest of the assistant message in a chat completion answer;
/// std::nullopt if there is none.
std::optional<message_digest> digestAnswer(std::string_view Body);

/// How many leading messages of \p Next equal \p Known.
std::size_t commonPrefix(std::span<const message_digest> Known,
                         std::span<const message_digest> Next);

/// \p Body without its first \p Kept messages. Returns \p Body unchanged if
/// it is no chat request.
std::string removeLeadingMessages(std::string_view Body, std::size_t Kept);

/// Joins the messages of a conversation, as JSON texts, before those of a cut
/// body. std::nullopt with error Corrupt if \p Cut is no chat request.
std::optional<std::string> prependMessages(std::span<const std::string> Known,
                                           std::string_view Cut);

/// The JSON texts of the messages in a request body.
std::vector<std::string> messagesOf(std::string_view Body);

/// The JSON text of the assistant message in an answer; empty if none.
std::string answerMessageOf(std::string_view Body);

} // namespace turmerichead
