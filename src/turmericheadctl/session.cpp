#include "session.h"

#include "turmerichead/error.h"

#include <glib.h>

namespace turmerichead::ctl {
namespace {

constexpr std::string_view EntriesPlural = "entries";

/// Runs the loop until \p Result is set.
template <typename Value> Value waitFor(std::optional<Value> &Result) {
  while (!Result)
    g_main_context_iteration(nullptr, TRUE);
  return std::move(*Result);
}

} // namespace

response fetch(const http_request &Request) {
  auto Client = http_client::create({});
  std::string Body;
  std::optional<http_result> Result;
  http_call_events Events;
  Events.OnChunk = [&Body](std::string_view Bytes) { Body += Bytes; };
  Events.OnEnd = [&Result](const http_result &Ended) { Result = Ended; };
  Client->send(Request, std::move(Events));
  http_result Ended = waitFor(Result);
  return {Ended, std::move(Body)};
}

std::optional<platform_session>
platform_session::create(const options &Options) {
  if (Options.Platform.empty())
    return fail(error_code::InvalidInput,
                "the platform's address is needed: --platform "
                "http://ip:port, or --settings FILE of a host");
  platform_session Result;
  auto Http = http_client::create({});
  if (!Http)
    return std::nullopt;
  Result.Http = std::make_unique<http_client>(std::move(*Http));
  platform_settings Settings;
  Settings.BaseUrl = Options.Platform;
  Settings.Namespace = Options.Namespace;
  Settings.Host = "turmericheadctl";
  Result.Client = platform_client::create(Settings, *Result.Http);
  if (!Result.Client)
    return std::nullopt;
  return Result;
}

platform_reply platform_session::get(const std::string &Name) {
  std::optional<platform_reply> Result;
  Client->get(EntriesPlural, Name,
              [&Result](const platform_reply &Reply) { Result = Reply; });
  return waitFor(Result);
}

platform_list_reply platform_session::list() {
  std::optional<platform_list_reply> Result;
  Client->list(EntriesPlural,
               [&Result](const platform_list_reply &Reply) { Result = Reply; });
  return waitFor(Result);
}

platform_reply platform_session::create(const nlohmann::json &Object) {
  std::optional<platform_reply> Result;
  Client->create(EntriesPlural, Object,
                 [&Result](const platform_reply &Reply) { Result = Reply; });
  return waitFor(Result);
}

platform_reply platform_session::update(const nlohmann::json &Object) {
  std::optional<platform_reply> Result;
  Client->update(EntriesPlural, Object,
                 [&Result](const platform_reply &Reply) { Result = Reply; });
  return waitFor(Result);
}

} // namespace turmerichead::ctl
