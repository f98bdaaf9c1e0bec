// Completes the chains of the turns that a replica stores, from other members.

#include "replica_pvt.h"

#include "turmerichead/log.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace turmerichead::turns {

namespace {

// The entry host sends the turn to the other members before this time is over,
// and again soon after it.
constexpr milliseconds MaxCloseDelay{250};
constexpr milliseconds DelayedCloseInterval{50};
// Bounds the memory of the delayed turns.
constexpr std::size_t MaxDelayedCloses = 256;
// Leaves room for the repairs that turns wait for.
constexpr std::size_t MaxBackgroundRepairs = 8;

} // namespace

void replica::impl::close(peer_reply_id Reply, const close_request &Request) {
  time_point DueAt = steadyNow() + MaxCloseDelay;
  if (DelayedCloses.size() >= MaxDelayedCloses ||
      !awaitsRepair(Request, DueAt)) {
    closeNow(Reply, Request);
    return;
  }
  DelayedCloses.push_back({Reply, Request, DueAt});
  if (DelayedCloseTimer)
    return;
  DelayedCloseTimer = loop_source::every(DelayedCloseInterval, [this] {
    storeDelayedTurns();
    return true;
  });
}

void replica::impl::storeDelayedTurns() {
  std::vector<delayed_close> Closes = std::exchange(DelayedCloses, {});
  for (delayed_close &Close : Closes) {
    if (awaitsRepair(Close.Request, Close.DueAt))
      DelayedCloses.push_back(std::move(Close));
    else
      closeNow(Close.Reply, Close.Request);
  }
  handleSetChange();
  if (DelayedCloses.empty())
    DelayedCloseTimer.reset();
}

bool replica::impl::awaitsRepair(const close_request &Request,
                                 time_point DueAt) {
  std::string Missing = Core->missingBefore(Request);
  if (Missing.empty())
    return false;
  time_point Now = steadyNow();
  sendRepairRequests(Repairs.start(Missing, Core->set(), Now));
  if (Now < DueAt && !Repairs.wasNotFound(Missing))
    return true;
  logIncompleteChain(Request.Turn, Missing);
  return false;
}

void replica::impl::logIncompleteChain(const turn_record &Turn,
                                       std::string_view Missing) {
  ++Counters.IncompleteChains;
  if (IncompleteChainLog.allows(steadyNow()))
    log::warn("turn stored without its chain",
              {{"turn", Turn.Id},
               {"missing", Missing},
               {"omitted", IncompleteChainLog.takeOmitted()}});
}

void replica::impl::repairStoredChains() {
  time_point Now = steadyNow();
  Repairs.expire(Now);
  if (Core->needsCopy() || !Core->isMember())
    return;
  for (const std::string &Turn : Core->index().missingTurns()) {
    if (Repairs.inProgress() >= MaxBackgroundRepairs)
      return;
    sendRepairRequests(Repairs.start(Turn, Core->set(), Now));
  }
}

void replica::impl::sendRepairRequests(
    std::span<const chain_repair::request> Requests) {
  for (const chain_repair::request &Request : Requests) {
    Links->setAddress(Request.Address, Request.Address);
    Links->send(
        Request.Address, {std::string(CopyPath), {}, pack(Request.Message)},
        {[this, Turn = Request.Turn,
          Address = Request.Address](std::string_view Bytes) {
           if (auto Reply = unpack<copy_reply>(Bytes))
             onRepairReply(Turn, Address, *Reply);
           else
             log::error("failed to decode turns of a chain",
                        {{"address", Address}, {"reason", lastError().Text}});
         },
         [](const peer_result &) {}});
  }
}

void replica::impl::onRepairReply(const std::string &Turn,
                                  const std::string &Address,
                                  const copy_reply &Reply) {
  if (!Repairs.awaits(Turn, Address))
    return;
  if (Reply.Status == static_cast<std::uint8_t>(reply_status::OldSet)) {
    Core->adoptSet(Reply.Set);
    Repairs.cancel(Turn);
    storeDelayedTurns();
    return;
  }
  if (!Core->addRecords(Reply.Records, steadyNow()))
    log::error("failed to store turns of a chain",
               {{"address", Address}, {"reason", lastError().Text}});
  if (!Reply.Records.empty())
    scheduleSync();
  Counters.RepairedTurns += Reply.Records.size();
  for (const std::string &Record : Reply.Records)
    Counters.RepairedBytes += Record.size();
  sendRepairRequests(Repairs.onReply(Turn, Address, Reply, Core->index(),
                                     Core->set(), steadyNow()));
  storeDelayedTurns();
  if (Repairs.inProgress() == 0)
    repairStoredChains();
}

} // namespace turmerichead::turns
