#include "stand_in.h"

namespace turmerichead::bench {

namespace {

constexpr int Success = 200;
// About what one step of a model runner brings.
constexpr std::string_view Event = "data: {\"text\":\"eight tokens of output, "
                                   "more or less\"}\n\n";

} // namespace

stand_in::stand_in(stand_in_settings Settings)
    : Settings(std::move(Settings)),
      Due([this](std::uint64_t Key, int /*Kind*/) { sendEvent(Key); }) {}

bool stand_in::listen() {
  Server = http1::server::create(
      "127.0.0.1:0", {},
      {[this](http1::exchange_id Id, http1::request &&Request) {
         onRequest(Id, Request);
       },
       [](http1::exchange_id) {}});
  return Server.has_value();
}

std::string stand_in::address() const {
  return "127.0.0.1:" + std::to_string(Server->port());
}

void stand_in::onRequest(http1::exchange_id Id, const http1::request &Request) {
  http1::header_list Headers = {
      {Settings.CallHeader,
       std::string(Request.Headers.get(Settings.CallHeader))}};
  if (!Request.Target.starts_with("/plan/")) {
    Server->respond(Id, Success, Headers, "{\"done\":true}");
    return;
  }
  Headers.add("Content-Type", "text/event-stream");
  Server->begin(Id, Success, Headers);
  std::uint64_t Key = ++LastStream;
  Streams.emplace(Key, stream{Id, Settings.Events});
  Due.add(Settings.EventGap, Key, 0);
}

void stand_in::sendEvent(std::uint64_t Key) {
  auto Found = Streams.find(Key);
  if (Found == Streams.end())
    return;
  stream &Stream = Found->second;
  if (!Server->write(Stream.Exchange, Event)) {
    Streams.erase(Found);
    return;
  }
  if (--Stream.Left > 0) {
    Due.add(Settings.EventGap, Key, 0);
    return;
  }
  Server->finish(Stream.Exchange);
  Streams.erase(Found);
}

} // namespace turmerichead::bench
