#include "cache_move_pvt.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::host_pvt {

namespace {

constexpr milliseconds OrderTimeout{2000};
constexpr int HttpOk = 200;

std::string orderBody(const host_context &Context, const std::string &Program) {
  return nlohmann::json{{"program", Program},
                        {"fencing_token", Context.Map.Version}}
      .dump();
}

http_request orderTo(const upstream_object &Runner, std::string_view Path,
                     std::string Body) {
  http_request Request;
  Request.Method = "POST";
  Request.Url = urlOf(Runner, Path);
  Request.Body = std::move(Body);
  Request.Timeout = OrderTimeout;
  return Request;
}

bool wentWell(const http_result &Result) {
  return Result.Code == error_code::None && Result.Status == HttpOk;
}

/// A blob does not show its end. If it ends with its connection, the runner may
/// have ended while it was writing.
bool hasWholeBlob(const http_result &Result) {
  return wentWell(Result) && Result.End != http1::answer_end::Connection;
}

} // namespace

void releaseCacheAt(host_context &Context, const std::string &Program,
                    const std::string &Runner) {
  auto Upstream = Context.Upstreams.find(Runner);
  if (Upstream == Context.Upstreams.end())
    return;
  Context.Metrics.add("cache_releases_total");
  Context.Http->send(
      orderTo(Upstream->second, "/cache/release", orderBody(Context, Program)),
      {});
}

void moveCache(host_context &Context, const std::string &Program,
               const std::string &From, const std::string &To,
               const std::function<void()> &Done) {
  auto Source = Context.Upstreams.find(From);
  if (Source == Context.Upstreams.end() || !Context.Upstreams.contains(To)) {
    Done();
    return;
  }
  auto Blob = std::make_shared<std::string>();
  auto Import = [&Context, Program, From, To, Blob, Done] {
    auto Target = Context.Upstreams.find(To);
    if (Target == Context.Upstreams.end()) {
      Done();
      return;
    }
    Context.Metrics.add("cache_moves_total");
    Context.Http->send(
        orderTo(Target->second, "/cache/import", std::move(*Blob)),
        {.OnHeaders = {},
         .OnChunk = {},
         .OnEnd = [&Context, Program, From, Done](const http_result &Result) {
           if (wentWell(Result))
             releaseCacheAt(Context, Program, From);
           Done();
         }});
  };
  Context.Http->send(
      orderTo(Source->second, "/cache/export", orderBody(Context, Program)),
      {.OnHeaders = {},
       .OnChunk = [Blob](std::string_view Bytes) { *Blob += Bytes; },
       .OnEnd =
           [Import, Done](const http_result &Result) {
             hasWholeBlob(Result) ? Import() : Done();
           }});
}

} // namespace turmerichead::host_pvt
