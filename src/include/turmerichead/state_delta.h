/// \file
/// Delta encoding of chat messages. Each model call contains the whole
/// conversation; its record stores only the messages that were added since the
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

/// One message of a conversation: the hash and the size of its JSON text.
struct message_digest {
  std::uint64_t Hash = 0;
  std::uint32_t Bytes = 0;
  friend bool operator==(const message_digest &,
                         const message_digest &) = default;
  MSGPACK_DEFINE(Hash, Bytes)
};

/// The properties of a model call's body that the program book uses.
struct chat_digest {
  std::vector<message_digest> Messages;
  /// Hash of all fields except messages, output limits and stream.
  std::uint64_t RestHash = 0;
  std::uint32_t RestBytes = 0; ///< Size of those fields in bytes.
  /// As requested; 0 if the request sets no limit.
  std::uint32_t MaxOutputTokens = 0;
};

/// Parses a chat completion request. Returns std::nullopt with error
/// InvalidInput if \p Body is not an object with an array of messages.
std::optional<chat_digest> digestChat(std::string_view Body);

/// The digest of the assistant message in a chat completion answer. Returns
/// std::nullopt with error NotFound if there is none.
std::optional<message_digest> digestAnswer(std::string_view Body);

/// The number of leading messages that \p Earlier and \p Next have in common.
std::size_t commonPrefix(std::span<const message_digest> Earlier,
                         std::span<const message_digest> Next);

/// Returns \p Body without its first \p Omitted messages, or unchanged if it is
/// not a chat request.
std::string removeLeadingMessages(std::string_view Body, std::size_t Omitted);

/// Inserts \p Earlier, the JSON texts of messages, before the messages of \p
/// Shortened. Reverses removeLeadingMessages(). Returns std::nullopt with error
/// Corrupt if \p Shortened is not a chat request.
std::optional<std::string> prependMessages(std::span<const std::string> Earlier,
                                           std::string_view Shortened);

/// The JSON texts of the messages in a request body, without fields that are
/// null; empty if \p Body is not a chat request.
std::vector<std::string> messagesOf(std::string_view Body);

/// The JSON text of the assistant message in an answer, without fields that are
/// null; empty if there is none.
std::string answerMessageOf(std::string_view Body);

} // namespace turmerichead
