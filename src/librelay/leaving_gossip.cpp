#include "turmerichead/relay_leaving_gossip.h"

#include "turmerichead/codec.h"
#include "turmerichead/log.h"

#include <nlohmann/json.hpp>

namespace turmerichead::relay {

namespace {

constexpr milliseconds RetryInterval{500};
// An upstream that leaves has ended after this time.
constexpr milliseconds PendingTime{30'000};
constexpr std::size_t MaxRunsPerMessage = 1024;

} // namespace

void leaving_gossip::setPeers(std::span<const std::string> Addresses) {
  std::map<std::string, peer, std::less<>> Kept;
  for (const std::string &Address : Addresses)
    Kept.try_emplace(Address);
  for (auto &[Address, Peer] : Peers)
    if (Peer.InFlight || Kept.count(Address) > 0)
      Kept[Address] = std::move(Peer);
  Peers = std::move(Kept);
}

void leaving_gossip::propagate(const upstream_run &Run) {
  time_point Now = steadyNow();
  for (auto &[Address, Peer] : Peers)
    Peer.Pending.try_emplace(Run, Now);
  flush();
}

void leaving_gossip::flush() {
  time_point Now = steadyNow();
  for (auto &[Address, Peer] : Peers) {
    std::erase_if(Peer.Pending, [&](const auto &Row) {
      return Now - Row.second >= PendingTime;
    });
    if (!Peer.InFlight && !Peer.Pending.empty())
      send(Address, Peer);
  }
}

void leaving_gossip::send(const std::string &Address, peer &Peer) {
  leaving_message Message;
  for (const auto &[Run, Since] : Peer.Pending)
    Message.Runs.push_back(Run);
  Peer.InFlight = true;
  Links.setAddress(Address, Address);
  Links.send(Address, {std::string(Path), {}, pack(Message)},
             {[](std::string_view) {},
              [this, Address, Runs = Message.Runs](const peer_result &Result) {
                peer &Row = Peers[Address];
                Row.InFlight = false;
                // A host of an earlier version answers that it knows no such
                // path; asking again would not help.
                if (Result.Code == error_code::None || Result.Answered)
                  for (const upstream_run &Run : Runs)
                    Row.Pending.erase(Run);
                if (!Row.Pending.empty())
                  scheduleRetry();
              }});
}

void leaving_gossip::scheduleRetry() {
  if (RetryTimer)
    return;
  RetryTimer = loop_source::every(RetryInterval, [this] {
    RetryTimer.reset();
    flush();
    return false;
  });
}

void leaving_gossip::serve(peer_server &Server,
                           const peer_request_view &Request) {
  auto Message = unpack<leaving_message>(Request.Body);
  if (!Message || Message->Runs.size() > MaxRunsPerMessage) {
    log::warn("failed to decode which upstreams leave",
              {{"from", Request.Host}});
    Server.end(Request.Reply, {error_code::Corrupt, "not a list of upstreams"});
    return;
  }
  for (const upstream_run &Run : Message->Runs)
    OnReceived(Run, Request.Host);
  Server.end(Request.Reply, {});
}

} // namespace turmerichead::relay
