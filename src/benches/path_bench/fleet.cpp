#include "fleet.h"

#include "turmerichead/error.h"

#include <chrono>
#include <glib.h>
#include <nlohmann/json.hpp>

namespace turmerichead::bench {

bool turnUntil(const std::function<bool()> &Reached, milliseconds Bound) {
  time_point End = steadyNow() + Bound;
  guint Tick = g_timeout_add(
      1, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
  bool Result = Reached();
  while (!Result && steadyNow() < End) {
    g_main_context_iteration(nullptr, TRUE);
    Result = Reached();
  }
  g_source_remove(Tick);
  return Result;
}

std::int64_t nowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

std::optional<std::string> fetch(http_client &Http, const std::string &Url) {
  constexpr milliseconds Timeout{10000};
  std::string Body;
  std::optional<http_result> Result;
  http_request Request;
  Request.Method = "GET";
  Request.Url = Url;
  Request.Timeout = Timeout;
  Http.send(Request,
            {.OnHeaders = {},
             .OnChunk = [&](std::string_view Bytes) { Body += Bytes; },
             .OnEnd = [&](const http_result &Given) { Result = Given; }});
  turnUntil([&] { return Result.has_value(); }, Timeout * 2);
  constexpr int Ok = 200;
  if (!Result || Result->Code != error_code::None || Result->Status != Ok)
    return fail(error_code::Unavailable, "no answer from " + Url);
  return Body;
}

std::optional<fleet> fleet::create(http_client &Http,
                                   const std::string &Platform,
                                   const std::string &Namespace) {
  auto Body = fetch(Http, "http://" + Platform +
                              "/apis/turmerichead.io/v1/namespaces/" +
                              Namespace + "/shardmaps/main");
  if (!Body)
    return std::nullopt;
  auto Object = nlohmann::json::parse(*Body, nullptr, false);
  if (!Object.is_object() || !Object.contains("spec"))
    return fail(error_code::Corrupt, "the shard map does not parse");
  findings Findings;
  auto Map = shardMapFromJson(Object["spec"], "shardmaps/main", Findings);
  if (!Map)
    return fail(error_code::Corrupt, Findings.toText());
  if (Map->Hosts.empty())
    return fail(error_code::NotFound, "the shard map has no hosts");
  return fleet(std::move(*Map));
}

const host_record &fleet::holderOf(std::string_view Program) const {
  auto Shard =
      cluster::shardOf(Program, static_cast<std::uint32_t>(Map.Shards.size()));
  const host_record *Holder = Map.find(Map.placement(Shard)->Holder);
  return Holder ? *Holder : Map.Hosts.front();
}

const host_record &fleet::entryBeside(const host_record &Host) const {
  for (std::size_t I = 0; I < Map.Hosts.size(); ++I)
    if (Map.Hosts[I].Id == Host.Id)
      return Map.Hosts[(I + 1) % Map.Hosts.size()];
  return Map.Hosts.front();
}

} // namespace turmerichead::bench
