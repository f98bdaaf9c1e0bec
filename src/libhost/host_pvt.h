/// \file
/// All parts of a host, and the handling of requests of other hosts.
#pragma once

#include "context_pvt.h"
#include "front_pvt.h"
#include "gates_pvt.h"
#include "holder_pvt.h"
#include "membership_pvt.h"
#include "reporter_pvt.h"
#include "router_pvt.h"
#include "turmerichead/host.h"
#include "watcher_pvt.h"

#include <glib.h>
#include <optional>
#include <unordered_map>

namespace turmerichead {

struct host::state {
  explicit state(host_settings Settings);
  ~state();

  bool open();
  void start();
  void beginDrain();

  // -- Requests of other hosts
  // ----------------------------------------------------

  void onPeer(const peer_request_view &Request);
  void onPeerGone(peer_reply_id Reply);

  host_pvt::host_context Context;
  std::optional<host_pvt::gate_service> Gates;
  std::optional<host_pvt::gate_client> GateClient;
  std::optional<host_pvt::holder> Holder;
  std::optional<host_pvt::call_router> Router;
  std::optional<host_pvt::membership> Membership;
  std::optional<host_pvt::watcher> Watcher;
  std::optional<host_pvt::reporter> Reporter;
  std::optional<host_pvt::http_front> Front;
  std::optional<peer_server> Peers;
  GMainLoop *Loop = nullptr;

private:
  void onCall(const peer_request_view &Request);
  void onAsk(const peer_request_view &Request);
  void onDone(const peer_request_view &Request);
  void onBeat(const peer_request_view &Request);
  void onSmall(const peer_request_view &Request);

  template <typename Message>
  void answer(peer_reply_id Reply, const Message &Value) {
    Peers->write(Reply, pack(Value));
    Peers->end(Reply, {});
  }
  template <typename Message>
  void answerOptional(peer_reply_id Reply, const std::optional<Message> &Value);

  void tickFast();
  void tickSlow();
  void drainTick();
  bool isIdle() const;
  bool readKey();
  bool openLinks();

  struct ask_row {
    std::string Group;
    sched::request_id Request;
  };
  std::unordered_map<peer_reply_id, waiter_id> CallsOfPeers;
  std::unordered_map<peer_reply_id, ask_row> AsksOfPeers;
  host_pvt::timer FastTimer;
  host_pvt::timer SlowTimer;
  host_pvt::timer DrainTimer;
  time_point DrainSince;
  bool Removing = false;
  bool Removed = false; ///< From the map; other hosts send no more work.
};

} // namespace turmerichead
