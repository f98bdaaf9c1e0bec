/// \file
/// The encoding of messages between hosts, and of records on disk: msgpack.
#pragma once

#include "turmerichead/error.h"

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace turmerichead {

/// Encodes \p Value with msgpack.
template <typename Message> std::string pack(const Message &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return {Buffer.data(), Buffer.size()};
}

/// Decodes \p Bytes within \p Limit. Fails with Corrupt; the text of the error
/// starts with \p What. Exceptions of msgpack are caught here.
template <typename Message>
std::optional<Message> unpackWithin(std::string_view Bytes,
                                    const msgpack::unpack_limit &Limit,
                                    std::string_view What) {
  try {
    msgpack::object_handle Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limit);
    return Handle.get().as<Message>();
  } catch (const std::exception &Error) {
    return fail(error_code::Corrupt, std::string(What) + ": " + Error.what());
  }
}

/// Decodes a message; see unpackWithin().
template <typename Message>
std::optional<Message> unpack(std::string_view Bytes) {
  constexpr std::size_t MaxRows = 1U << 20U;
  constexpr std::size_t MaxFields = 1U << 16U;
  constexpr std::size_t MaxBytes = 64U << 20U;
  constexpr std::size_t MaxDepth = 32;
  return unpackWithin<Message>(
      Bytes, {MaxRows, MaxFields, MaxBytes, MaxBytes, MaxFields, MaxDepth},
      "message between hosts");
}

} // namespace turmerichead
