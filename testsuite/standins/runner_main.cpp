/// \file
/// Stand-in for a model runner with an OpenAI-compatible API.
/// docs/TESTING.md lists its routes and the orders of `POST /control`.

#include "http_server.h"
#include "runner_engine.h"

#include "turmerichead/error.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 0, "Port to listen on; 0 lets the system choose");
DEFINE_uint32(slots, 16, "Requests that run at once");
DEFINE_double(ms_per_token, 1, "Decode pace, in milliseconds a token");
DEFINE_double(prefill_us_per_token, 20,
              "Prefill pace, in microseconds a token that is not cached");
DEFINE_int64(answer_tokens, 24,
             "Length of an answer that asks for no min_tokens");
DEFINE_int64(cache_tokens, 200000, "Size of the prefix cache, in tokens");
DEFINE_int64(event_lag_ms, 200, "Delay of cache events, in milliseconds");
DEFINE_uint64(lose_every, 7, "One cache event in so many is lost; 0: none");
DEFINE_int64(load_lag_ms, 100, "Period of the load report, in milliseconds");
DEFINE_bool(checks_fencing, false,
            "Refuse orders that carry an old fencing token");

int main(int ArgumentCount, char **Arguments) {
  using namespace turmerichead;
  gflags::SetUsageMessage("stand-in for a model runner");
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  standin::engine_settings Settings;
  Settings.Slots = FLAGS_slots;
  Settings.MsPerToken = FLAGS_ms_per_token;
  Settings.PrefillUsPerToken = FLAGS_prefill_us_per_token;
  Settings.AnswerTokens = FLAGS_answer_tokens;
  Settings.CacheTokens = FLAGS_cache_tokens;
  Settings.EventLagMs = FLAGS_event_lag_ms;
  Settings.LoseEvery = FLAGS_lose_every;
  Settings.LoadLagMs = FLAGS_load_lag_ms;
  Settings.ChecksFencing = FLAGS_checks_fencing;
  standin::runner_engine Engine(Settings);
  auto Server = standin::http_server::create(
      FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
      [&Engine](const standin::exchange &Call) { Engine.onCall(Call); });
  if (!Server) {
    std::cerr << "standin_runner: " << lastError().Text << "\n";
    return 1;
  }
  standin::every(1, [&Engine] { Engine.tick(standin::nowMs()); });
  standin::every(Settings.LoadLagMs, [&Engine] { Engine.sampleLoad(); });
  return standin::runUntilStopped(Server->port());
}
