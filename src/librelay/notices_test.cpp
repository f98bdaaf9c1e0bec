// What hosts conclude from the answers of an upstream about itself.

#include "turmerichead/relay_notices.h"

#include <doctest/doctest.h>

using namespace turmerichead;
using namespace turmerichead::relay;

namespace {

struct answers {
  std::optional<request_limit> Limit;
  limit_change take(std::optional<double> PerSecond, std::int64_t SentMs,
                    std::int64_t AtMs) {
    return updateLimit(Limit, {PerSecond, false}, {SentMs}, {AtMs});
  }
};

} // namespace

TEST_CASE("a limit is named, changes and ends with the answers") {
  answers A;
  CHECK(A.take({}, 0, 1) == limit_change::None);
  CHECK(A.take(4.5, 2, 3) == limit_change::Named);
  CHECK(A.take(4.5, 4, 5) == limit_change::None);
  CHECK(A.Limit->NamedAt == time_point{5});
  CHECK(A.take(0, 6, 7) == limit_change::Changed);
  CHECK(A.take({}, 8, 9) == limit_change::Ended);
  CHECK(!A.Limit);
}

TEST_CASE("an answer to an earlier request does not end a limit") {
  answers A;
  A.take(4.5, 10, 20);
  CHECK(A.take({}, 19, 30) == limit_change::None);
  CHECK(A.Limit);
  CHECK(A.take({}, 20, 31) == limit_change::Ended);
}

TEST_CASE("a limit that can't be read changes nothing") {
  answers A;
  A.take(4.5, 10, 20);
  CHECK(updateLimit(A.Limit, {{}, true}, {30}, {40}) == limit_change::None);
  CHECK(A.Limit->PerSecond == 4.5);
}
