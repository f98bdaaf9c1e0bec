#include "turmerichead/json_text.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace turmerichead;
using nlohmann::json;

TEST_CASE("odd values leave the rest of a text readable") {
  CHECK(parseLenient(R"({"a": [1, "x"]})") == json{{"a", {1, "x"}}});
  CHECK(parseLenient(R"([1e999, -1e999, 2])") == json{nullptr, nullptr, 2});
  CHECK(parseLenient(R"([NaN, Infinity, true])") ==
        json{nullptr, nullptr, true});
  CHECK(parseLenient("[\"a\xff\", \"\\ud800\", \"b\"]") == json{"", "", "b"});
  CHECK(parseLenient(R"(["a\"]", 1e999])") == json{"a\"]", nullptr});
  CHECK(parseLenient("[1, ").is_discarded());
  CHECK(parseLenient("").is_discarded());
}

TEST_CASE("a value nested too deeply becomes null") {
  std::string Text = "[1, ";
  constexpr int Depth = 100'000;
  for (int I = 0; I < Depth; ++I)
    Text += R"({"]": ["]]]]", )";
  Text += "2";
  for (int I = 0; I < Depth; ++I)
    Text += "]}";
  json Value = parseLenient(Text + ", 3]");
  REQUIRE(Value.is_array());
  REQUIRE(Value.size() == 3);
  CHECK(Value[0] == 1);
  CHECK(Value[2] == 3);
}

TEST_CASE("any bytes are read without a crash") {
  CHECK(rc::check("bytes", [] {
    auto Text = *rc::gen::container<std::string>(
        rc::gen::element('[', ']', '{', '}', '"', '\\', ',', ':', '1', 'e', '-',
                         ' ', '\xff', 'n'));
    json Value = parseLenient(Text);
    if (!Value.is_discarded())
      RC_ASSERT(json::accept(
          Value.dump(-1, ' ', false, json::error_handler_t::replace)));
  }));
}
