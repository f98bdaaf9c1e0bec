// Targets of requests from texts of any bytes.

#include "turmerichead/request_target.h"

#include <doctest/doctest.h>

#include <cstdio>

using turmerichead::percentEncode;
using turmerichead::request_target;

namespace {

/// The encoding of one byte by the definition of RFC 3986.
std::string expectedOf(unsigned char Byte) {
  constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                          "abcdefghijklmnopqrstuvwxyz"
                                          "0123456789-._~";
  if (Unreserved.find(static_cast<char>(Byte)) != std::string_view::npos)
    return {static_cast<char>(Byte)};
  std::string Text(4, '\0');
  std::snprintf(Text.data(), Text.size(), "%%%02X", Byte);
  Text.resize(3);
  return Text;
}

} // namespace

TEST_CASE("percent_encoding_of_each_byte") {
  constexpr int Bytes = 256;
  std::string All;
  std::string Expected;
  for (int Byte = 0; Byte < Bytes; ++Byte) {
    All += static_cast<char>(Byte);
    Expected += expectedOf(static_cast<unsigned char>(Byte));
    std::string Between = "x" + std::string(1, static_cast<char>(Byte)) + "y";
    CHECK(percentEncode(Between) ==
          "x" + expectedOf(static_cast<unsigned char>(Byte)) + "y");
  }
  CHECK(percentEncode(All) == Expected);
}

TEST_CASE("percent_encoding_leaves_no_relative_path_segment") {
  CHECK(percentEncode(".") == "%2E");
  CHECK(percentEncode("..") == "%2E%2E");
  CHECK(percentEncode("...") == "...");
  CHECK(percentEncode("a.b") == "a.b");
  CHECK(percentEncode("").empty());
}

TEST_CASE("request_target_keeps_each_part_apart_from_the_others") {
  request_target Target;
  Target.segment("objects").segment("a/b?c#d").parameter("after", "e&f=g+h");
  Target.parameter("wait_ms", "5");
  CHECK(Target.text() ==
        "/objects/a%2Fb%3Fc%23d?after=e%26f%3Dg%2Bh&wait_ms=5");
  CHECK(request_target("http://10.0.0.1:80").segment("x").text() ==
        "http://10.0.0.1:80/x");
}
