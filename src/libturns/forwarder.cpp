#include "turmerichead/turns_forwarder.h"

#include "turmerichead/error.h"
#include "turmerichead/turns_links.h"

namespace turmerichead::turns {

struct forwarder::impl {
  peer_links &Links;
  std::function<void(const peer_request_view &)> OnUnhandledRequest;
  std::optional<peer_server> Server;

  void onRequest(const peer_request_view &Request);
};

void forwarder::impl::onRequest(const peer_request_view &Request) {
  if (Request.Path != ForwardPath) {
    OnUnhandledRequest(Request);
    return;
  }
  std::string To(Request.header(ForwardToHeader));
  std::string Path(Request.header(ForwardPathHeader));
  if (To.empty() || Path.empty()) {
    Server->end(Request.Reply,
                {error_code::InvalidInput,
                 "no destination address or path in the headers"});
    return;
  }
  peer_reply_id Reply = Request.Reply;
  Links.setAddress(To, To);
  Links.send(To, {std::move(Path), {}, std::string(Request.Body)},
             {[this, Reply](std::string_view Message) {
                Server->write(Reply, Message);
              },
              [this, Reply](const peer_result &Result) {
                Server->end(Reply, {Result.Code, Result.Text});
              }});
}

peer_request forwardedRequest(std::string_view Address, peer_request Request) {
  Request.Headers = {{std::string(ForwardToHeader), std::string(Address)},
                     {std::string(ForwardPathHeader), Request.Path}};
  Request.Path = ForwardPath;
  return Request;
}

std::optional<forwarder> forwarder::create(
    std::string_view Address, std::string SharedKey, peer_links &Links,
    std::function<void(const peer_request_view &Request)> OnUnhandledRequest,
    memory_budget *Budget) {
  auto Impl =
      std::make_unique<impl>(impl{Links, std::move(OnUnhandledRequest), {}});
  impl *Raw = Impl.get();
  Raw->Server = peer_server::create(
      Address, linkSettings(std::string(Address)), std::move(SharedKey),
      {[Raw](const peer_request_view &Request) { Raw->onRequest(Request); },
       [](peer_reply_id) {}},
      Budget);
  if (!Raw->Server)
    return std::nullopt;
  return forwarder(std::move(Impl));
}

peer_server &forwarder::server() { return *Impl->Server; }

forwarder::forwarder(std::unique_ptr<impl> Impl) : Impl(std::move(Impl)) {}
forwarder::forwarder(forwarder &&Other) noexcept = default;
forwarder &forwarder::operator=(forwarder &&Other) noexcept = default;
forwarder::~forwarder() = default;

} // namespace turmerichead::turns
