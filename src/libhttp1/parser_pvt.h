/// \file
/// A C++ wrapper of the push parser http_parser.
#pragma once

#include "turmerichead/http1_message.h"

#include <cstdint>
#include <http_parser.h>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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

/// The head of a message that is being read.
struct message_head {
  std::string Target;
  header_list Headers;
  std::size_t Bytes = 0;
};

/// Parses one direction of a connection. It stops after each message, so that
/// the owner decides about the bytes after it.
class message_parser {
public:
  message_parser(http_parser_type Type, std::size_t MaxHeadBytes);

  /// Prepares for the next message on the same connection.
  void restart();

  /// Parses bytes; \p Used is set to the number of bytes read.
  template <parser_sink Sink>
  feed_result feed(Sink &S, std::string_view Bytes, std::size_t &Used);

  /// Signals the end of the connection, which completes a message without a
  /// declared length. Returns Bad if a message was truncated.
  template <parser_sink Sink> feed_result feedEnd(Sink &S) {
    std::size_t Used = 0;
    return run(S, nullptr, 0, Used);
  }

  message_head &head() { return Head; }
  int status() const { return static_cast<int>(Parser->status_code); }
  std::string method() const {
    return http_method_str(static_cast<http_method>(Parser->method));
  }
  bool isHttp10() const {
    return Parser->http_major < 1 ||
           (Parser->http_major == 1 && Parser->http_minor == 0);
  }
  /// Returns whether the head allows the connection to be reused. Valid in
  /// onHead and onMessage.
  bool keepsAlive() const { return http_should_keep_alive(Parser.get()) != 0; }
  /// Returns the declared length, or nullopt.
  std::optional<std::uint64_t> declaredLength() const;
  /// Returns the bytes that the head takes: its text, and a row for each field,
  /// which is far larger than the text of a short one.
  std::size_t heldBytes() const {
    return Head.Bytes + Head.Headers.rows().capacity() * sizeof(header);
  }
  /// Returns the declared length, or the largest number.
  std::uint64_t bodyBytesBound() const {
    return TotalBytes.value_or(std::numeric_limits<std::uint64_t>::max());
  }
  bool isChunked() const { return (Parser->flags & F_CHUNKED) != 0; }
  /// Returns why the last feed() failed.
  std::string_view errorText() const;
  void setMaxHeadBytes(std::size_t Bytes) { MaxHeadBytes = Bytes; }
  /// Set for the response to a HEAD request, which has no body.
  void setNoBody(bool Value) { NoBody = Value; }
  /// Returns whether a message has been received in part.
  bool inMessage() const { return InMessage; }

private:
  template <parser_sink Sink>
  feed_result run(Sink &S, const char *Data, std::size_t Size,
                  std::size_t &Used);
  bool addHeadBytes(std::size_t Count);
  int onField(const char *Data, std::size_t Size);
  int onValue(const char *Data, std::size_t Size);
  int onUrl(const char *Data, std::size_t Size);

  std::unique_ptr<http_parser> Parser;
  http_parser_type Type;
  message_head Head;
  std::size_t MaxHeadBytes;
  bool LastWasValue = false;
  bool TooLarge = false;
  bool InMessage = false;
  bool Ended = false;
  bool NoBody = false;
  bool HeadDone = false;
  std::optional<std::uint64_t> TotalBytes; ///< Declared length of the body.

  template <typename Sink> friend struct callbacks;
};

/// User data of the C callbacks: the parser and its owner.
template <typename Sink> struct callbacks {
  message_parser *Parser;
  Sink *Owner;

  static callbacks &of(http_parser *Raw) {
    return *static_cast<callbacks *>(Raw->data);
  }
  static int begin(http_parser *Raw) {
    of(Raw).Parser->InMessage = true;
    return 0;
  }
  static int url(http_parser *Raw, const char *Data, std::size_t Size) {
    return of(Raw).Parser->onUrl(Data, Size);
  }
  static int field(http_parser *Raw, const char *Data, std::size_t Size) {
    return of(Raw).Parser->onField(Data, Size);
  }
  static int value(http_parser *Raw, const char *Data, std::size_t Size) {
    return of(Raw).Parser->onValue(Data, Size);
  }
  static int head(http_parser *Raw) {
    of(Raw).Parser->HeadDone = true;
    of(Raw).Parser->TotalBytes = of(Raw).Parser->declaredLength();
    of(Raw).Owner->onHead();
    return of(Raw).Parser->NoBody ? 1 : 0;
  }
  static int body(http_parser *Raw, const char *Data, std::size_t Size) {
    of(Raw).Owner->onBody({Data, Size});
    return 0;
  }
  static int message(http_parser *Raw) {
    of(Raw).Parser->InMessage = false;
    of(Raw).Parser->Ended = true;
    http_parser_pause(Raw, 1);
    return 0;
  }
  static const http_parser_settings &settings() {
    static const http_parser_settings Settings = [] {
      http_parser_settings Value{};
      http_parser_settings_init(&Value);
      Value.on_message_begin = begin;
      Value.on_url = url;
      Value.on_header_field = field;
      Value.on_header_value = value;
      Value.on_headers_complete = head;
      Value.on_body = body;
      Value.on_message_complete = message;
      return Value;
    }();
    return Settings;
  }
};

template <parser_sink Sink>
feed_result message_parser::feed(Sink &S, std::string_view Bytes,
                                 std::size_t &Used) {
  Used = 0;
  if (Bytes.empty())
    return feed_result::Fine;
  return run(S, Bytes.data(), Bytes.size(), Used);
}

template <parser_sink Sink>
feed_result message_parser::run(Sink &S, const char *Data, std::size_t Size,
                                std::size_t &Used) {
  callbacks<Sink> Context{this, &S};
  Parser->data = &Context;
  Used = http_parser_execute(Parser.get(), &callbacks<Sink>::settings(), Data,
                             Size);
  Parser->data = nullptr;
  if (TooLarge)
    return feed_result::HeaderTooLarge;
  if (Ended) {
    Ended = false;
    S.onMessage();
    return feed_result::Paused;
  }
  if (HTTP_PARSER_ERRNO(Parser.get()) != HPE_OK || Parser->upgrade)
    return feed_result::Bad;
  return feed_result::Fine;
}

} // namespace turmerichead::http1::pvt
