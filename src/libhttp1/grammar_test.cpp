// The strict reading of answers: a table over the grammar, and a comparison
// with http_parser as a second, independent reading.

#include "parser_pvt.h"

#include <doctest/doctest.h>
#include <http_parser.h>
#include <rapidcheck.h>

using namespace turmerichead::http1;
using namespace turmerichead::http1::pvt;

namespace {

/// How an answer was read.
struct reading {
  bool IsComplete = false;
  int Status = 0;
  std::string Body;
  std::size_t End = 0; ///< Bytes that belong to it.
  friend bool operator==(const reading &, const reading &) = default;
};

struct body_sink {
  std::string Body;
  void onHead() {}
  void onBody(std::string_view Bytes) { Body += Bytes; }
  void onMessage() {}
};

// Reads an answer in pieces that end at \p Cuts, and the end of its connection
// behind it.
reading readStrictly(std::string_view Bytes, std::vector<std::size_t> Cuts,
                     message_fault *Fault = nullptr) {
  constexpr std::size_t MaxHeadBytes = 4096;
  message_parser Parser(message_kind::Response, MaxHeadBytes);
  body_sink Sink;
  reading Reading;
  Cuts.push_back(Bytes.size());
  std::sort(Cuts.begin(), Cuts.end());
  feed_result Result = feed_result::Fine;
  for (std::size_t Cut : Cuts) {
    if (Cut <= Reading.End || Result != feed_result::Fine)
      continue;
    std::size_t Used = 0;
    Result =
        Parser.feed(Sink, Bytes.substr(Reading.End, Cut - Reading.End), Used);
    Reading.End += Used;
  }
  if (Result == feed_result::Fine)
    Result = Parser.feedEnd(Sink);
  Reading.IsComplete = Result == feed_result::Paused;
  Reading.Status = Parser.status();
  Reading.Body = Sink.Body;
  if (Fault)
    *Fault = Parser.fault();
  return Reading;
}

int keepBody(http_parser *Parser, const char *Data, std::size_t Size) {
  static_cast<reading *>(Parser->data)->Body.append(Data, Size);
  return 0;
}

int noteComplete(http_parser *Parser) {
  static_cast<reading *>(Parser->data)->IsComplete = true;
  http_parser_pause(Parser, 1);
  return 0;
}

// The library takes a length for that of a body where RFC 9112, 6.3 allows no
// body.
int skipBody(http_parser *Parser) {
  unsigned Status = Parser->status_code;
  return Status < 200 || Status == 204 || Status == 304 ? 1 : 0;
}

reading readWithLibrary(std::string_view Bytes) {
  http_parser Parser{};
  http_parser_settings Settings{};
  http_parser_init(&Parser, HTTP_RESPONSE);
  http_parser_settings_init(&Settings);
  Settings.on_headers_complete = skipBody;
  Settings.on_body = keepBody;
  Settings.on_message_complete = noteComplete;
  reading Reading;
  Parser.data = &Reading;
  Reading.End =
      http_parser_execute(&Parser, &Settings, Bytes.data(), Bytes.size());
  if (!Reading.IsComplete && HTTP_PARSER_ERRNO(&Parser) == HPE_OK)
    http_parser_execute(&Parser, &Settings, nullptr, 0);
  Reading.Status = static_cast<int>(Parser.status_code);
  return Reading;
}

struct form {
  std::string Bytes;
  message_fault Fault = message_fault::None;
  std::string Body = {};
};

using namespace std::string_literals;

std::string chunked(std::string_view Rest) {
  return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
         std::string(Rest);
}
std::string fields(std::string_view Lines, std::string_view Rest = "ab") {
  return "HTTP/1.1 200 OK\r\n" + std::string(Lines) + "\r\n" +
         std::string(Rest);
}
std::string first(std::string_view Line) {
  return std::string(Line) + "\r\nContent-Length: 2\r\n\r\nab";
}

std::vector<form> forms() {
  using fault = message_fault;
  return {
      {first("HTTP/1.1 200 OK"), fault::None, "ab"},
      {first("HTTP/1.0 599 "), fault::None, "ab"},
      {first("HTTP/1.1 200 \xe9 \t"), fault::None, "ab"},
      {first("HTTP/1.1 304 Not Modified"), fault::None, ""},
      {first("HTTP/1.1 100 Continue"), fault::None, ""},
      {fields(""), fault::None, "ab"},
      {fields("!#$%&'*+-.^_`|~09Az:\t x y \xe9\t\r\nX:\r\n"), fault::None,
       "ab"},
      {fields("CONTENT-LENGTH:2 \r\n"), fault::None, "ab"},
      {fields("Transfer-Encoding: CHUNKED\r\n", "1\r\na\r\n000\r\n\r\n"),
       fault::None, "a"},
      {chunked("2 \t;x\r\nab\r\n0\r\n\r\n"), fault::None, "ab"},
      {chunked("2;x;y=z ; w = \"q\\\"\t\"\r\nab\r\n0;e\r\nT: 1\r\n\r\n"),
       fault::None, "ab"},
      {first("HTTP/1.1 000 OK"), fault::StartLine},
      {first("HTTP/1.1 099 OK"), fault::StartLine},
      {first("HTTP/1.1 101 Switching"), fault::StartLine},
      {first("HTTP/1.1 600 OK"), fault::StartLine},
      {first("HTTP/1.1 20 OK"), fault::StartLine},
      {first("HTTP/1.1 2000 OK"), fault::StartLine},
      {first("HTTP/1.1 +20 OK"), fault::StartLine},
      {first("HTTP/1.1 200"), fault::StartLine},
      {first("HTTP/1.1  200 OK"), fault::StartLine},
      {first("HTTP/1.1\t200 OK"), fault::StartLine},
      {first("HTTP/1.2 200 OK"), fault::StartLine},
      {first("HTTP/2.0 200 OK"), fault::StartLine},
      {first("http/1.1 200 OK"), fault::StartLine},
      {first("HTTP/1.1 200 a\x01"), fault::StartLine},
      {first("HTTP/1.1 200 a\rb"), fault::StartLine},
      {first(""), fault::StartLine},
      {"HTTP/1.1 200 OK\n\r\n", fault::LineEnd},
      {fields("X: 1\n"), fault::LineEnd},
      {"HTTP/1.1 200 OK\r\nX: 1\r\n\nab", fault::LineEnd},
      {fields("X Y: 1\r\n"), fault::Field},
      {fields("X\tY: 1\r\n"), fault::Field},
      {fields("X\x01Y: 1\r\n"), fault::Field},
      {fields("X\0Y: 1\r\n"s), fault::Field},
      {fields("X\x7f: 1\r\n"), fault::Field},
      {fields("X(: 1\r\n"), fault::Field},
      {fields("X : 1\r\n"), fault::Field},
      {fields(": 1\r\n"), fault::Field},
      {fields("X\r\n"), fault::Field},
      {fields(" X: 1\r\n"), fault::Field},
      {fields("\tX: 1\r\n"), fault::Field},
      {fields("X: 1\r\n 2\r\n"), fault::Field},
      {fields("X: 1\r2\r\n"), fault::Field},
      {fields("X: 1\0\r\n"s), fault::Field},
      {fields("X: 1\x7f\r\n"), fault::Field},
      {fields("Content-Length: 2\r\nContent-Length: 3\r\n"), fault::Length},
      {fields("Content-Length: 2\r\nContent-Length: 2\r\n"), fault::Length},
      {fields("Content-Length: 2, 2\r\n"), fault::Length},
      {fields("Content-Length: +2\r\n"), fault::Length},
      {fields("Content-Length: -2\r\n"), fault::Length},
      {fields("Content-Length: 0x2\r\n"), fault::Length},
      {fields("Content-Length: 1 2\r\n"), fault::Length},
      {fields("Content-Length:\r\n"), fault::Length},
      {fields("Content-Length: 18446744073709551618\r\n"), fault::Length},
      {fields("Content-Length: 18446744073709551615\r\n"), fault::Length},
      {fields("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"),
       fault::Coding},
      {fields("Transfer-Encoding: gzip\r\n"), fault::Coding},
      {fields("Transfer-Encoding: xchunked\r\n"), fault::Coding},
      {fields("Transfer-Encoding: gzip, chunked\r\n"), fault::Coding},
      {fields("Transfer-Encoding: chunked, gzip\r\n"), fault::Coding},
      {fields("Transfer-Encoding: chunked, chunked\r\n"), fault::Coding},
      {fields("Transfer-Encoding: identity\r\n"), fault::Coding},
      {fields("Transfer-Encoding:\r\n"), fault::Coding},
      {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fault::Coding},
      {chunked("+1\r\na\r\n"), fault::ChunkLine},
      {chunked("-1\r\na\r\n"), fault::ChunkLine},
      {chunked(" 1\r\na\r\n"), fault::ChunkLine},
      {chunked("1 \r\na\r\n"), fault::ChunkLine},
      {chunked("0x1\r\na\r\n"), fault::ChunkLine},
      {chunked("g\r\na\r\n"), fault::ChunkLine},
      {chunked("\r\na\r\n"), fault::ChunkLine},
      {chunked("10000000000000001\r\na\r\n"), fault::ChunkLine},
      {chunked("1;\r\na\r\n"), fault::ChunkLine},
      {chunked("1;x=\r\na\r\n"), fault::ChunkLine},
      {chunked("1;x=\"a\r\na\r\n"), fault::ChunkLine},
      {chunked("1;x\x01\r\na\r\n"), fault::ChunkLine},
      {chunked("1;x\ry\r\na\r\n"), fault::ChunkLine},
      {chunked("1\na\r\n0\r\n\r\n"), fault::LineEnd},
      {chunked("1\r\na\n0\r\n\r\n"), fault::LineEnd},
      {chunked("1\r\nab\r\n0\r\n\r\n"), fault::ChunkEnd},
      {chunked("1\r\naxy0\r\n\r\n"), fault::ChunkEnd},
      {chunked("0\r\nX Y: 1\r\n\r\n"), fault::Trailer},
      {chunked("0\r\n X: 1\r\n\r\n"), fault::Trailer},
      {chunked("0\r\nX: 1\r\n 2\r\n\r\n"), fault::Trailer},
      {chunked("0\r\nX: \x01\r\n\r\n"), fault::Trailer},
      {chunked("0\r\nX: 1\n\r\n"), fault::LineEnd},
      {chunked("1\r\na\r\n"), fault::Cut},
      {chunked("0\r\n"), fault::Cut},
      {fields("Content-Length: 3\r\n"), fault::Cut},
      {"HTTP/1.1 200 OK\r\n", fault::Cut},
  };
}

} // namespace

TEST_CASE("an answer that breaks the grammar is refused, others are read") {
  for (const form &Form : forms()) {
    CAPTURE(Form.Bytes);
    std::vector<std::size_t> Everywhere;
    for (std::size_t I = 1; I < Form.Bytes.size(); ++I)
      Everywhere.push_back(I);
    for (const auto &Cuts : {std::vector<std::size_t>(), Everywhere}) {
      message_fault Fault = message_fault::None;
      reading Reading = readStrictly(Form.Bytes, Cuts, &Fault);
      CHECK(nameOf(Fault) == nameOf(Form.Fault));
      CHECK(Reading.IsComplete == (Form.Fault == message_fault::None));
      if (Reading.IsComplete)
        CHECK(Reading.Body == Form.Body);
    }
  }
}

TEST_CASE("an answer that is accepted is framed as by another parser") {
  CHECK(rc::check([] {
    static const std::vector<form> Forms = forms();
    static const std::vector<std::string> Pieces = {
        "\r\n",
        "\n",
        "\r",
        " ",
        "\t",
        ":",
        ";",
        "0",
        "1",
        "a",
        ",",
        "chunked",
        "Content-Length: 1\r\n",
        "Transfer-Encoding: chunked\r\n"};
    std::string Bytes = (*rc::gen::elementOf(Forms)).Bytes;
    int Changes = *rc::gen::inRange(0, 4);
    for (int I = 0; I < Changes && !Bytes.empty(); ++I) {
      auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Bytes[At] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        Bytes.insert(At, *rc::gen::elementOf(Pieces));
        break;
      case 2:
        Bytes.erase(At, *rc::gen::inRange<std::size_t>(1, 4));
        break;
      default:
        Bytes.resize(At);
        break;
      }
    }
    auto Cuts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, Bytes.size() + 1));
    reading Strict = readStrictly(Bytes, Cuts);
    reading Second = readWithLibrary(Bytes);
    RC_LOG() << "bytes: " << Bytes << "\nstrict: " << Strict.End << " "
             << Strict.Status << " " << Strict.Body
             << "\nsecond: " << Second.IsComplete << " " << Second.End << " "
             << Second.Status << " " << Second.Body << "\n";
    RC_ASSERT(Strict == readStrictly(Bytes, {}) || !Strict.IsComplete);
    if (Strict.IsComplete)
      RC_ASSERT(Strict == Second);
  }));
}
