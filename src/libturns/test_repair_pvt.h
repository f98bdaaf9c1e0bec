/// \file
/// Runs the repair of a chain without a network, for tests.
#pragma once

#include "chain_repair_pvt.h"
#include "turmerichead/turns_replica_core.h"

namespace turmerichead::turns::pvt {

/// Sends the requests of a repair, and those that follow from the replies.
/// \p Deliver(address, request) returns the reply; nullopt if none arrives.
template <typename Deliverer>
void exchangeRepairs(chain_repair &Repairs, replica_core &Core,
                     std::vector<chain_repair::request> Requests,
                     time_point Now, Deliverer Deliver) {
  while (!Requests.empty()) {
    chain_repair::request Request = std::move(Requests.back());
    Requests.pop_back();
    std::optional<copy_reply> Reply = Deliver(Request.Address, Request.Message);
    if (!Reply || !Repairs.awaits(Request.Turn, Request.Address))
      continue;
    Core.adoptSet(Reply->Set);
    Core.addRecords(Reply->Records, Now);
    for (chain_repair::request &Next :
         Repairs.onReply(Request.Turn, Request.Address, *Reply, Core.index(),
                         Core.set(), Now))
      Requests.push_back(std::move(Next));
  }
}

} // namespace turmerichead::turns::pvt
