/// \file
/// A push parser of HTTP/1.1 messages that refuses whatever the grammar does
/// not allow; see grammar_pvt.h.
#pragma once

#include "grammar_pvt.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace turmerichead::http1::pvt {

/// Callbacks of a parser, called inside feed().
template <typename Sink>
concept parser_sink = requires(Sink &S, std::string_view Bytes) {
  S.onHead();
  S.onBody(Bytes);
  S.onMessage();
};

enum class feed_result : std::uint8_t {
  Fine,
  Paused, ///< A message is complete; the remaining bytes were not read.
  HeaderTooLarge,
  Bad
};

enum class message_kind : std::uint8_t { Request, Response };

/// The head of a message that is being read.
struct message_head {
  std::string Target;
  header_list Headers;
  std::size_t Bytes = 0;
};

/// Parses one direction of a connection. It stops after each message, so that
/// the owner decides about the bytes after it. After a failure it reads nothing
/// until restart().
class message_parser {
public:
  message_parser(message_kind Kind, std::size_t MaxHeadBytes)
      : Kind(Kind), MaxHeadBytes(MaxHeadBytes) {}

  /// Prepares for the next message on the same connection.
  void restart();

  /// Parses bytes; \p Used is set to the number of bytes read.
  template <parser_sink Sink>
  feed_result feed(Sink &S, std::string_view Bytes, std::size_t &Used);

  /// Signals the end of the connection, which completes a message without a
  /// declared length. Returns Bad if a message was truncated.
  template <parser_sink Sink> feed_result feedEnd(Sink &S);

  message_head &head() { return Head; }
  int status() const { return Status; }
  const std::string &method() const { return Method; }
  bool isHttp10() const { return IsHttp10; }
  /// Returns whether the head allows the connection to be reused. Valid in
  /// onHead and onMessage.
  bool keepsAlive() const { return KeepsAlive; }
  /// Returns the declared length, or nullopt.
  std::optional<std::uint64_t> declaredLength() const { return Framing.Length; }
  /// Returns the bytes that the head takes: its text, and a row for each field,
  /// which is far larger than the text of a short one.
  std::size_t heldBytes() const {
    return Head.Bytes + Line.capacity() +
           Head.Headers.rows().capacity() * sizeof(header);
  }
  /// Returns the declared length, or the largest number.
  std::uint64_t bodyBytesBound() const {
    return Framing.Length.value_or(std::numeric_limits<std::uint64_t>::max());
  }
  bool isChunked() const { return Framing.Body == body_framing::Chunked; }
  /// Returns why the last feed() failed.
  message_fault fault() const { return Fault; }
  void setMaxHeadBytes(std::size_t Bytes) { MaxHeadBytes = Bytes; }
  /// Set for the response to a HEAD request, which has no body.
  void setNoBody(bool Value) { NoBody = Value; }
  /// Returns whether a message has been received in part.
  bool inMessage() const { return InMessage; }

private:
  enum class part : std::uint8_t {
    StartLine,
    Fields,
    Body,      ///< Of a length or up to the end of the connection.
    ChunkLine, ///< Size and extensions.
    ChunkBytes,
    ChunkEnd, ///< CR LF behind the bytes of a chunk.
    Trailers,
    End, ///< The message is complete.
    Failed
  };

  bool isInBytes() const {
    return Part == part::Body || Part == part::ChunkBytes;
  }
  std::size_t takeLinePart(std::string_view Bytes, bool &IsWhole);
  void takeLine(std::string_view Text);
  void takeStartLine(std::string_view Text);
  void takeField(std::string_view Text);
  void takeChunkLine(std::string_view Text);
  void takeTrailer(std::string_view Text);
  void endHead();
  void endBytes();
  void fail(message_fault Why);

  message_kind Kind;
  std::size_t MaxHeadBytes;
  bool NoBody = false;
  message_head Head;
  std::string Line; ///< Received of the current line.
  part Part = part::StartLine;
  message_fault Fault = message_fault::None;
  std::string Method;
  int Status = 0;
  bool IsHttp10 = false;
  bool KeepsAlive = false;
  bool InMessage = false;
  bool HeadDone = false; ///< Set by endHead() until onHead was called.
  framing Framing;
  std::uint64_t BytesLeft = 0; ///< Of the body or the chunk.
};

template <parser_sink Sink>
feed_result message_parser::feed(Sink &S, std::string_view Bytes,
                                 std::size_t &Used) {
  Used = 0;
  while (Part != part::End && Part != part::Failed && Used < Bytes.size()) {
    std::string_view Rest = Bytes.substr(Used);
    if (isInBytes()) {
      auto Count = static_cast<std::size_t>(
          std::min<std::uint64_t>(BytesLeft, Rest.size()));
      S.onBody(Rest.substr(0, Count));
      Used += Count;
      BytesLeft -= Count;
      endBytes();
      continue;
    }
    bool IsWhole = false;
    Used += takeLinePart(Rest, IsWhole);
    if (!IsWhole)
      continue;
    takeLine(Line);
    Line.clear();
    if (std::exchange(HeadDone, false))
      S.onHead();
  }
  if (Part == part::Failed)
    return Fault == message_fault::HeadTooLarge ? feed_result::HeaderTooLarge
                                                : feed_result::Bad;
  if (Part != part::End)
    return feed_result::Fine;
  InMessage = false;
  S.onMessage();
  return feed_result::Paused;
}

template <parser_sink Sink> feed_result message_parser::feedEnd(Sink &S) {
  if (Part != part::Body || Framing.Body != body_framing::UntilEnd) {
    fail(message_fault::Cut);
    return feed_result::Bad;
  }
  Part = part::End;
  InMessage = false;
  S.onMessage();
  return feed_result::Paused;
}

} // namespace turmerichead::http1::pvt
