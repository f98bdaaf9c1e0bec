// Answers that are cut or that break the grammar of HTTP/1.1, over real
// processes: an entry host with callers before it and one upstream behind it.

#include "scripted_upstream.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::fleet_harness;

namespace {

constexpr std::string_view Signed =
    "Request-Attempt-Id: $ATTEMPT\r\nResponse-Signature: s\r\n";
constexpr std::string_view Body = "0123456789";

/// An answer of an upstream, and whether the grammar allows it.
struct answer_form {
  std::string Name;
  std::string Bytes;
  bool IsValid = false;
};

std::string withStatusLine(std::string_view Line) {
  return std::string(Line) + "\r\n" + std::string(Signed) +
         "Content-Length: 10\r\n\r\n" + std::string(Body);
}

/// An answer whose head has \p Lines behind the length of its body.
std::string withLines(std::string_view Lines) {
  return "HTTP/1.1 200 OK\r\n" + std::string(Signed) +
         "Content-Length: 10\r\n" + std::string(Lines) + "\r\n" +
         std::string(Body);
}

std::string withFraming(std::string_view Lines, std::string_view Rest) {
  return "HTTP/1.1 200 OK\r\n" + std::string(Signed) + std::string(Lines) +
         "\r\n" + std::string(Rest);
}

std::string withChunks(std::string_view Chunks) {
  return withFraming("Transfer-Encoding: chunked\r\n", Chunks);
}

using namespace std::string_literals;

std::vector<answer_form> answerForms() {
  return {
      {"length", withLines(""), true},
      {"chunks", withChunks("a\r\n0123456789\r\n0\r\n\r\n"), true},
      {"end of the connection", withFraming("", Body), true},
      {"status 000", withStatusLine("HTTP/1.1 000 OK")},
      {"status 099", withStatusLine("HTTP/1.1 099 OK")},
      {"status 600", withStatusLine("HTTP/1.1 600 OK")},
      {"status 999", withStatusLine("HTTP/1.1 999 OK")},
      {"status of 2 digits", withStatusLine("HTTP/1.1 20 OK")},
      {"status of 4 digits", withStatusLine("HTTP/1.1 2000 OK")},
      {"status without a space behind it", withStatusLine("HTTP/1.1 200")},
      {"two spaces before the status", withStatusLine("HTTP/1.1  200 OK")},
      {"HTTP/2.0", withStatusLine("HTTP/2.0 200 OK")},
      {"HTTP/1.2", withStatusLine("HTTP/1.2 200 OK")},
      {"HTTP/0.9", withStatusLine("HTTP/0.9 200 OK")},
      {"HTTP/1.10", withStatusLine("HTTP/1.10 200 OK")},
      {"empty line before the status line",
       "\r\n" + withStatusLine("HTTP/1.1 200 OK")},
      {"control byte in the reason", withStatusLine("HTTP/1.1 200 O\x01K")},
      {"bare CR in the reason", withStatusLine("HTTP/1.1 200 O\rX: 1")},
      {"blank in a name", withLines("X Y: 1\r\n")},
      {"tab in a name", withLines("X\tY: 1\r\n")},
      {"control byte in a name", withLines("X\x01Y: 1\r\n")},
      {"DEL in a name", withLines("X\x7fY: 1\r\n")},
      {"NUL in a name", withLines("X\0Y: 1\r\n"s)},
      {"byte above ASCII in a name", withLines("X\xe9Y: 1\r\n")},
      {"separator in a name", withLines("X(Y: 1\r\n")},
      {"quote in a name", withLines("X\"Y: 1\r\n")},
      {"blank before the colon", withLines("X : 1\r\n")},
      {"blank before the colon of the length",
       withFraming("Content-Length : 3\r\n", Body)},
      {"empty name", withLines(": 1\r\n")},
      {"no colon", withLines("XY\r\n")},
      {"blank before the first field",
       "HTTP/1.1 200 OK\r\n X: 1\r\n" + std::string(Signed) +
           "Content-Length: 10\r\n\r\n" + std::string(Body)},
      {"tab before the first field",
       "HTTP/1.1 200 OK\r\n\tX: 1\r\n" + std::string(Signed) +
           "Content-Length: 10\r\n\r\n" + std::string(Body)},
      {"folded line", withLines("X: 1\r\n 2\r\n")},
      {"folded length", withFraming("Content-Length: 1\r\n 0\r\n", Body)},
      {"bare CR in a value", withLines("X: 1\r2\r\n")},
      {"bare LF behind a value", withLines("X: 1\n")},
      {"bare LF behind the head", "HTTP/1.1 200 OK\r\n" + std::string(Signed) +
                                      "Content-Length: 10\r\n\n" +
                                      std::string(Body)},
      {"bare LF behind the status line",
       "HTTP/1.1 200 OK\n" + std::string(Signed) +
           "Content-Length: 10\r\n\r\n" + std::string(Body)},
      {"NUL in a value", withLines("X: 1\0002\r\n"s)},
      {"control byte in a value", withLines("X: 1\x01\r\n")},
      {"DEL in a value", withLines("X: 1\x7f\r\n")},
      {"two lengths", withLines("Content-Length: 3\r\n")},
      {"the same length twice", withLines("Content-Length: 10\r\n")},
      {"list of lengths", withFraming("Content-Length: 10, 10\r\n", Body)},
      {"list of different lengths",
       withFraming("Content-Length: 10, 3\r\n", Body)},
      {"signed length", withFraming("Content-Length: +10\r\n", Body)},
      {"negative length", withFraming("Content-Length: -1\r\n", Body)},
      {"empty length", withFraming("Content-Length:\r\n", Body)},
      {"hexadecimal length", withFraming("Content-Length: 0xa\r\n", Body)},
      {"length with a letter", withFraming("Content-Length: 10a\r\n", Body)},
      {"blank in the length", withFraming("Content-Length: 1 0\r\n", Body)},
      {"length above 64 bits",
       withFraming("Content-Length: 18446744073709551626\r\n", Body)},
      {"length and chunks",
       withFraming("Content-Length: 10\r\nTransfer-Encoding: chunked\r\n",
                   "a\r\n0123456789\r\n0\r\n\r\n")},
      {"other coding", withFraming("Transfer-Encoding: gzip\r\n", Body)},
      {"coding that ends like chunked",
       withFraming("Transfer-Encoding: xchunked\r\n", Body)},
      {"chunked before another coding",
       withFraming("Transfer-Encoding: chunked, gzip\r\n",
                   "a\r\n0123456789\r\n0\r\n\r\n")},
      {"another coding before chunked",
       withFraming("Transfer-Encoding: gzip, chunked\r\n",
                   "a\r\n0123456789\r\n0\r\n\r\n")},
      {"chunked twice", withFraming("Transfer-Encoding: chunked, chunked\r\n",
                                    "a\r\n0123456789\r\n0\r\n\r\n")},
      {"identity", withFraming("Transfer-Encoding: identity\r\n", Body)},
      {"empty coding", withFraming("Transfer-Encoding:\r\n", Body)},
      {"two lines of codings",
       withFraming("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                   "a\r\n0123456789\r\n0\r\n\r\n")},
      {"chunks of HTTP/1.0",
       "HTTP/1.0 200 OK\r\n" + std::string(Signed) +
           "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n0\r\n\r\n"},
      {"signed chunk size", withChunks("+a\r\n0123456789\r\n0\r\n\r\n")},
      {"negative chunk size", withChunks("-1\r\n0123456789\r\n0\r\n\r\n")},
      {"blank before a chunk size",
       withChunks(" a\r\n0123456789\r\n0\r\n\r\n")},
      {"blank behind a chunk size",
       withChunks("a \r\n0123456789\r\n0\r\n\r\n")},
      {"chunk size with 0x", withChunks("0xa\r\n0123456789\r\n0\r\n\r\n")},
      {"empty chunk size", withChunks("\r\n0123456789\r\n0\r\n\r\n")},
      {"chunk size above 64 bits",
       withChunks("1000000000000000a\r\n0123456789\r\n0\r\n\r\n")},
      {"bare LF behind a chunk size", withChunks("a\n0123456789\r\n0\r\n\r\n")},
      {"bare LF behind a chunk", withChunks("a\r\n0123456789\n0\r\n\r\n")},
      {"chunk longer than its size",
       withChunks("5\r\n0123456789\r\n0\r\n\r\n")},
      {"two bytes in place of CR LF", withChunks("a\r\n0123456789xy0\r\n\r\n")},
      {"control byte in a chunk extension",
       withChunks("a;x=\x01\r\n0123456789\r\n0\r\n\r\n")},
      {"bare CR in a chunk extension",
       withChunks("a;x\rb\r\n0123456789\r\n0\r\n\r\n")},
      {"bare LF in a chunk extension",
       withChunks("a;x\nb\r\n0123456789\r\n0\r\n\r\n")},
      {"blank in the name of a trailer",
       withChunks("a\r\n0123456789\r\n0\r\nX Y: 1\r\n\r\n")},
      {"folded trailer",
       withChunks("a\r\n0123456789\r\n0\r\nX: 1\r\n 2\r\n\r\n")},
      {"blank before the first trailer",
       withChunks("a\r\n0123456789\r\n0\r\n X: 1\r\n\r\n")},
      {"trailer without a colon",
       withChunks("a\r\n0123456789\r\n0\r\nXY\r\n\r\n")},
      {"control byte in a trailer",
       withChunks("a\r\n0123456789\r\n0\r\nX: \x01\r\n\r\n")},
      {"bare LF behind a trailer",
       withChunks("a\r\n0123456789\r\n0\r\nX: 1\n\r\n")},
  };
}

struct fixture {
  fleet Fleet;

  explicit fixture(const char *Name) : Fleet(settingsFor(Name)) {
    REQUIRE(Fleet.start());
  }

  static fleet_settings settingsFor(const char *Name) {
    fleet_settings Settings;
    Settings.Bin = FLEET_BIN;
    Settings.Scratch = std::string(FLEET_SCRATCH) + "/mixed-" + Name;
    Settings.Entries = 1;
    Settings.Runners = 1;
    Settings.Tools = 0;
    Settings.DataCentres = 1;
    Settings.BodyBytes = 4U << 20U;
    return Settings;
  }

  std::string request(std::string_view Method, std::string_view Path,
                      std::string_view Lines, std::string_view Text) const {
    static unsigned Next = 0;
    std::string Id = "m" + std::to_string(++Next);
    return std::string(Method) + " " + std::string(Path) + Id +
           " HTTP/1.1\r\nHost: " + fleet::ToolHost +
           "\r\nRequest-Attempt-Id: " + Id +
           "\r\nDeadline-Remaining: 3000\r\n" + std::string(Lines) +
           "Content-Length: " + std::to_string(Text.size()) + "\r\n\r\n" +
           std::string(Text);
  }

  /// Sends a request until \p Upstream has been asked; the entry host may not
  /// have read its entry yet.
  std::unique_ptr<raw_exchange> exchange(const scripted_upstream &Upstream,
                                         const std::string &Path,
                                         std::string_view Lines,
                                         std::string_view Text) {
    constexpr milliseconds Bound{6000};
    constexpr int Tries = 100;
    constexpr milliseconds Pause{50};
    std::unique_ptr<raw_exchange> Exchange;
    for (int I = 0; I < Tries && Upstream.requests() == 0; ++I) {
      Fleet.pause(Pause);
      Exchange = std::make_unique<raw_exchange>(
          Fleet.callerAddress("entry-0"), request("POST", Path, Lines, Text));
      REQUIRE(Fleet.wait(
          Bound, [&] { return Exchange->ended() || Exchange->isWhole(); }));
    }
    REQUIRE(Upstream.requests() > 0);
    return Exchange;
  }
};

} // namespace

TEST_CASE("mixed_answer_that_was_reset_during_the_upload") {
  // The upstream answers the head of a long upload and closes without reading
  // the rest, so that the kernel resets the connection.
  fixture F("upload");
  constexpr std::size_t UploadBytes = 3'000'000;
  const std::string Part(3000, 'p');
  answer_script Script;
  Script.Bytes = withFraming("", Part);
  Script.CloseAfter = milliseconds(150);
  Script.ReceiveBufferBytes = 4096;
  Script.ReadsBody = false;
  for (std::string Path : {"/book/", "/look/"})
    for (std::string Lines : {"", "Connection: close\r\n"})
      for (bool ShutsDownFirst : {false, true}) {
        CAPTURE(Path);
        CAPTURE(Lines);
        CAPTURE(ShutsDownFirst);
        Script.ShutsDownFirst = ShutsDownFirst;
        scripted_upstream Upstream(F.Fleet, "book", Script);
        auto Exchange =
            F.exchange(Upstream, Path, Lines, std::string(UploadBytes, 'u'));
        CHECK(Exchange->status() == 502);
      }
}

TEST_CASE("mixed_answers_that_break_the_grammar") {
  fixture F("grammar");
  for (std::string Path : {"/book/", "/look/"})
    for (const answer_form &Form : answerForms()) {
      CAPTURE(Path);
      CAPTURE(Form.Name);
      scripted_upstream Upstream(F.Fleet, "book", {Form.Bytes});
      auto Exchange = F.exchange(Upstream, Path, "", "text");
      bool IsPassedOn = Exchange->status() != 502;
      if (IsPassedOn && !Form.IsValid)
        MESSAGE(Path << " " << Form.Name << ": " << Exchange->status() << " "
                     << Exchange->body());
      CHECK(Exchange->status() == (Form.IsValid ? 200 : 502));
      if (Form.IsValid)
        CHECK(Exchange->body() == Body);
    }
}
