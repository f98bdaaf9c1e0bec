// What requests and responses of other hosts hold, within the memory budget.

#include "peer_server_pvt.h"

#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead {

using namespace pvt;

peer_server::state::~state() {
  if (Budget)
    Budget->removeOwner(Owner);
}

// Counts what the stream holds. The budget is enforced in the next loop
// iteration, as this may be called inside a callback of the session.
void peer_server::state::account(accepted_row &Connection, std::int32_t Http2Id,
                                 server_stream &Stream) {
  if (!Budget)
    return;
  if (!Stream.Counted) {
    accepted_id Id = Connection.Context.Connection;
    Stream.Counted = CountedStreams.insert({Id, Http2Id, {}});
    CountedStreams.find(Stream.Counted)->Memory =
        Budget->add(Owner, keyOf(Stream.Counted));
  }
  bool IsRequest = !Stream.Reply && !Stream.Responding;
  Budget->set(CountedStreams.find(Stream.Counted)->Memory,
              IsRequest ? memory_rank::Request : memory_rank::Answer,
              Stream.heldBytes(), steadyNow());
  if (Enforcing || Budget->hasRoomFor(0))
    return;
  Enforcing = loop_source::soon([this] {
    Enforcing.reset();
    Budget->enforce();
    return false;
  });
}

void peer_server::state::release(const server_stream &Stream) {
  counted_stream *Row = CountedStreams.find(Stream.Counted);
  if (!Row)
    return;
  Budget->release(Row->Memory);
  CountedStreams.erase(Stream.Counted);
}

// A request that is not complete has not run and is refused as such. A response
// ends without its end record, so that it does not look complete.
void peer_server::state::endForMemory(counted_id Id) {
  const counted_stream &Row = *CountedStreams.find(Id);
  accepted_row &Connection = *find(Row.Connection);
  server_stream &Stream = Connection.Streams.at(Row.Http2Id);
  bool HasRun = static_cast<bool>(Stream.Reply);
  Stream.Reset = true;
  Stream.Headers = {};
  Stream.Body = {};
  Stream.Output = {};
  Stream.OutputSent = 0;
  nghttp2_submit_rst_stream(Connection.Transport->session(), NGHTTP2_FLAG_NONE,
                            Row.Http2Id,
                            HasRun ? NGHTTP2_CANCEL : NGHTTP2_REFUSED_STREAM);
  Connection.Transport->scheduleFlush();
  ++Counters.EndedForMemory;
  if (LogLimiter.allows(steadyNow()))
    log::warn("stream of a host ended", {{"reason", "memory"},
                                         {"host", Connection.Shake.ClientHost},
                                         {"ended", Counters.EndedForMemory},
                                         {"held_bytes", Budget->total()}});
}

} // namespace turmerichead
