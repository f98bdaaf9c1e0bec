/// \file
/// Stand-in for an upstream of the platform, as a process. `POST /control`
/// takes shares of requests that go wrong: {"errors", "lost", "hang",
/// "endless", "slow_factor", "draining", "sick"}, and what answers say:
/// {"limit", "leaving"}.

#include "upstream_engine.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(id, "u", "Id of this start");
DEFINE_string(address, "127.0.0.1:0", "\"ip:port\" to listen on");
DEFINE_string(store, "", "\"ip:port\" of the object store");
DEFINE_string(service, "s", "Service that it belongs to");
DEFINE_string(data_centre, "dc", "Where it is");
DEFINE_string(runs, "/dev/null", "File that a line is added to for each run");
DEFINE_bool(streams, true, "A runner; a plain service otherwise");
DEFINE_uint32(slots, 8, "Requests that run at once");
DEFINE_int32(events, 6, "Events of an answer");
DEFINE_int64(gap_ms, 20, "Pause between events, or time of a plain request");
DEFINE_uint64(answer_bytes, 0, "Bytes of an answer at least");
DEFINE_string(long_answers_to, "",
              "Only attempts that begin with it get answer_bytes");
DEFINE_int64(heartbeat_ms, 400, "Pause between writes to the store");
DEFINE_uint64(seed, 1, "Of what goes wrong");

int main(int ArgumentCount, char **Arguments) {
  using namespace turmerichead;
  gflags::SetUsageMessage("stand-in for an upstream of the platform");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  standin::upstream_settings Settings;
  Settings.Id = FLAGS_id;
  Settings.Address = FLAGS_address;
  Settings.Store = FLAGS_store;
  Settings.Service = FLAGS_service;
  Settings.DataCentre = FLAGS_data_centre;
  Settings.RunFile = FLAGS_runs;
  Settings.Streams = FLAGS_streams;
  Settings.Slots = FLAGS_slots;
  Settings.Events = FLAGS_events;
  Settings.EventGap = milliseconds(FLAGS_gap_ms);
  Settings.Heartbeat = milliseconds(FLAGS_heartbeat_ms);
  Settings.Seed = FLAGS_seed;
  Settings.AnswerBytes = FLAGS_answer_bytes;
  Settings.LongAnswersTo = FLAGS_long_answers_to;
  standin::upstream_engine Engine(Settings);
  if (!Engine.start()) {
    std::cerr << "standin_upstream: " << lastError().Text << "\n";
    return 1;
  }
  g_main_loop_run(g_main_loop_new(nullptr, FALSE));
  return 0;
}
