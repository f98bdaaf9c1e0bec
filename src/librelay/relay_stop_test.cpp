// The end of a host that stops: what its callers and upstreams see.

#include "test_relay_pvt.h"

using namespace turmerichead;
using namespace turmerichead::pvt;

TEST_CASE("stop_call_that_arrives_after_the_last_check_is_not_sent") {
  // The process ends shortly after the last call has ended. A request of which
  // a part had arrived by then was sent to an upstream and cut off.
  fixture F;
  caller Caller(F.Address);
  std::string Request = F.request("POST", "/book/1", "c1", {}, "the body");
  Caller.send(Request.substr(0, Request.size() - 3));
  turnFor(milliseconds(50));
  F.Relay->drain(milliseconds(60000));
  F.Relay->stopAccepting();
  F.Relay->endDrain();
  Caller.send(Request.substr(Request.size() - 3));
  REQUIRE(turnUntil([&] {
    return Caller.has("\r\n\r\n") || F.Tools.Connections.size() > 0;
  }));
  CHECK(Caller.has("HTTP/1.1 503"));
  CHECK(Caller.has("Retry-After: "));
  turnFor(milliseconds(50));
  CHECK(F.Tools.Connections.empty());
}

TEST_CASE("stop_calls_under_way_at_the_end_get_their_final_answers") {
  // They were cut off without an answer when the process ended.
  fixture F;
  caller Booking(F.Address);
  Booking.send(F.request("POST", "/book/1", "c1", {}, "b"));
  REQUIRE(F.received(F.Tools, "X-Call: c1"));
  caller Stream(F.Address);
  Stream.send(F.request("POST", "/talk/1", "t1"));
  REQUIRE(F.received(F.Llm, "X-Call: t1"));
  F.Llm.send(0, streamHead("t1") + chunk("data: a\n\n"));
  REQUIRE(Stream.waitsFor("data: a"));
  F.Relay->drain(milliseconds(1000));
  F.Relay->stopAccepting();
  F.Relay->endDrain();
  turnFor(milliseconds(100));
  CHECK(F.Relay->callsUnderWay() == 0);
  CHECK(Booking.has("HTTP/1.1 504"));
  CHECK(Booking.has("Connection: close"));
  // Without the last chunk it does not look complete.
  CHECK(Stream.Closed);
  CHECK(!Stream.has("0\r\n\r\n"));
}
