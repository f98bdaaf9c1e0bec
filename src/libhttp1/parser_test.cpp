#include "parser_pvt.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace turmerichead::http1;
using namespace turmerichead::http1::pvt;

namespace {

struct kept_sink {
  std::string Body;
  int Heads = 0;
  int Messages = 0;
  void onHead() { ++Heads; }
  void onBody(std::string_view Bytes) { Body += Bytes; }
  void onMessage() { ++Messages; }
};

/// What a parser made of some bytes.
struct outcome {
  feed_result Result = feed_result::Fine;
  std::string Target;
  std::string Body;
  std::size_t Headers = 0;
  int Messages = 0;
  friend bool operator==(const outcome &, const outcome &) = default;
};

// Feeds the bytes in pieces that end at the given places.
outcome parseIn(std::string_view Bytes, std::vector<std::size_t> Cuts) {
  constexpr std::size_t MaxHeadBytes = 4096;
  message_parser Parser(message_kind::Request, MaxHeadBytes);
  kept_sink Sink;
  outcome Outcome;
  Cuts.push_back(Bytes.size());
  std::sort(Cuts.begin(), Cuts.end());
  std::size_t At = 0;
  for (std::size_t Cut : Cuts) {
    while (At < Cut) {
      std::size_t Used = 0;
      Outcome.Result = Parser.feed(Sink, Bytes.substr(At, Cut - At), Used);
      At += Used;
      if (Outcome.Result != feed_result::Fine)
        break;
    }
    if (Outcome.Result != feed_result::Fine)
      break;
  }
  Outcome.Target = Parser.head().Target;
  Outcome.Body = Sink.Body;
  Outcome.Headers = Parser.head().Headers.rows().size();
  Outcome.Messages = Sink.Messages;
  return Outcome;
}

const std::string Samples[] = {
    "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: h\r\nX-Long: aaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n"};

} // namespace

TEST_CASE("a request means the same however it is cut into pieces") {
  CHECK(rc::check([] {
    std::string Bytes = *rc::gen::elementOf(
        std::vector<std::string>(std::begin(Samples), std::end(Samples)));
    auto Cuts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, Bytes.size()));
    outcome Whole = parseIn(Bytes, {});
    RC_ASSERT(Whole.Result == feed_result::Paused);
    RC_ASSERT(Whole.Messages == 1);
    RC_ASSERT(parseIn(Bytes, Cuts) == Whole);
  }));
}

TEST_CASE("bytes that were tampered with never break the parser") {
  CHECK(rc::check([] {
    std::string Bytes = *rc::gen::elementOf(
        std::vector<std::string>(std::begin(Samples), std::end(Samples)));
    int Changes = *rc::gen::inRange(1, 6);
    for (int I = 0; I < Changes; ++I) {
      auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        Bytes[At] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        Bytes.insert(At, 1, *rc::gen::arbitrary<char>());
        break;
      default:
        Bytes.erase(At, 1);
        break;
      }
    }
    auto Cuts = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, Bytes.size()));
    outcome Outcome = parseIn(Bytes, Cuts);
    RC_ASSERT(Outcome.Messages <= 1);
    RC_ASSERT(Outcome.Messages == 0 || Outcome.Result == feed_result::Paused);
  }));
}

TEST_CASE("hop-by-hop headers go, and those that Connection names") {
  header_list Headers = {{"Connection", "X-One, close"},
                         {"X-One", "1"},
                         {"Keep-Alive", "timeout=5"},
                         {"Transfer-Encoding", "chunked"},
                         {"X-Two", "2"}};
  removeHopByHop(Headers);
  REQUIRE(Headers.rows().size() == 1);
  CHECK(Headers.get("x-two") == "2");
}
