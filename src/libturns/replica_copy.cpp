// Copies records from other members to a replica that catches up.

#include "replica_pvt.h"

#include "turmerichead/log.h"
#include "turmerichead/turns_links.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace turmerichead::turns {

namespace {

// Copied records are not acknowledged to anyone, so they are synced in large
// groups: with a sync for each reply, the time to catch up was mostly spent
// waiting for the disk. The limit bounds the memory of the log's buffer.
constexpr std::uint64_t MaxUnsyncedCopyBytes = 4U << 20U;

// A member sends at most what the buffers of a connection hold between two
// syncs of its disk, so that a copy over one connection is slow.
constexpr std::size_t CopyLinkCount = 4;

// Whether the progress that was last logged at LoggedAt is to be logged again.
bool isDue(time_point &LoggedAt) {
  constexpr milliseconds ProgressInterval{1000};
  time_point Now = steadyNow();
  if (Now - LoggedAt < ProgressInterval)
    return false;
  LoggedAt = Now;
  return true;
}

// Divides the turns of a request among requests of the same size.
std::vector<copy_request> splitRequest(const copy_request &Request) {
  if (Request.Turns.empty())
    return {Request};
  std::size_t Count = std::min(CopyLinkCount, Request.Turns.size());
  std::vector<copy_request> Parts(Count, Request);
  for (copy_request &Part : Parts)
    Part.Turns.clear();
  for (std::size_t I = 0; I < Request.Turns.size(); ++I)
    Parts[I % Count].Turns.push_back(Request.Turns[I]);
  return Parts;
}

// Joins the replies to the parts of a request. If one has none of the turns,
// because the member has restarted or refuses the request, it stands for all.
copy_reply joinReplies(std::vector<copy_reply> Replies, std::uint64_t Log) {
  auto Refusal = std::find_if(Replies.begin(), Replies.end(),
                              [&](const copy_reply &Reply) {
                                return Reply.Status != 0 || Reply.Log != Log;
                              });
  if (Refusal != Replies.end())
    return std::move(*Refusal);
  copy_reply Joined = std::move(Replies.front());
  for (std::size_t I = 1; I < Replies.size(); ++I)
    std::move(Replies[I].Records.begin(), Replies[I].Records.end(),
              std::back_inserter(Joined.Records));
  return Joined;
}

} // namespace

void replica::impl::logCopyProgress() {
  if (!isDue(CopyLoggedAt))
    return;
  copy_plan::waiting_for Hosts = Core->waitingFor();
  log::info("copying records", {{"epoch", Core->set().Epoch},
                                {"unread_hosts", Hosts.Unread},
                                {"incomplete_hosts", Hosts.Incomplete},
                                {"records", Core->copiedRecords()},
                                {"bytes", Core->copiedBytes()},
                                {"replies", Core->copyReplies()},
                                {"syncs", Counters.Syncs},
                                {"sync_ms", Counters.SyncTime.count()}});
}

void replica::impl::logSentRecords() {
  if (!isDue(SentLoggedAt))
    return;
  log::info("sending records to a host that copies",
            {{"epoch", Core->set().Epoch},
             {"bytes", Core->sentBytes()},
             {"log_bytes", Core->logBytes()},
             {"opens", Counters.Opens},
             {"closes", Counters.Closes},
             {"syncs", Counters.Syncs},
             {"sync_ms", Counters.SyncTime.count()}});
}

bool replica::impl::openCopyLinks() {
  while (CopyLinks.size() < CopyLinkCount) {
    auto Opened = peer_links::create(linkSettings(Settings.Self.Address),
                                     Settings.SharedKey);
    if (!Opened)
      return false;
    CopyLinks.push_back(std::move(*Opened));
  }
  return true;
}

void replica::impl::sendCopyRequest(const std::string &Address,
                                    const copy_request &Request) {
  std::vector<copy_request> Parts = splitRequest(Request);
  PendingCopies[Address] = {
      Request.Set.Epoch, Request.Log, Parts.size(), Parts.size(), {}};
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    CopyLinks[I].setAddress(Address, Address);
    CopyLinks[I].send(
        Address, {std::string(CopyPath), {}, pack(Parts[I])},
        {[this, Address](std::string_view Bytes) {
           if (auto Reply = unpack<copy_reply>(Bytes))
             PendingCopies[Address].Replies.push_back(std::move(*Reply));
           else
             log::error("failed to decode copied records",
                        {{"address", Address}, {"reason", lastError().Text}});
         },
         [this, Address](const peer_result &) { onCopyPartEnded(Address); }});
  }
}

void replica::impl::onCopyPartEnded(const std::string &Address) {
  pending_copy &Copy = PendingCopies[Address];
  if (--Copy.PendingParts > 0)
    return;
  bool IsComplete = Copy.Replies.size() == Copy.Parts;
  bool IsSingle = Copy.Parts == 1;
  if (IsComplete) {
    copy_reply Reply = IsSingle
                           ? std::move(Copy.Replies.front())
                           : joinReplies(std::move(Copy.Replies), Copy.Log);
    if (!Core->onCopyReply(Address, Copy.Epoch, Reply, steadyNow()))
      log::error("failed to store copied records",
                 {{"address", Address}, {"reason", lastError().Text}});
    handleSetChange();
  }
  Core->onCopyEnded(Address);
  // A request that failed is repeated at the next tick: to a host that is down,
  // requests fail without any delay.
  if (Core->needsCopy())
    requestCopies(false);
}

void replica::impl::requestCopies(bool RetriesFailed) {
  if (!openCopyLinks()) {
    log::error("failed to open links", {{"reason", lastError().Text}});
    return;
  }
  for (const auto &[Address, Request] : Core->copyRequests(RetriesFailed))
    sendCopyRequest(Address, Request);
  if (Core->unsyncedBytes() > MaxUnsyncedCopyBytes && !syncNow())
    return;
  if (!Core->isCopyComplete() || !syncNow() || !Core->finishCopy())
    return;
  if (syncNow())
    log::info("replica caught up",
              {{"epoch", Core->set().Epoch},
               {"may_lack_records", Core->mayLackRecords()},
               {"turns", Core->index().turnCount()},
               {"records", Core->copiedRecords()},
               {"bytes", Core->copiedBytes()},
               {"replies", Core->copyReplies()}});
}

} // namespace turmerichead::turns
