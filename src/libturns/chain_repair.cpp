#include "chain_repair_pvt.h"

namespace turmerichead::turns {

namespace {

// Bounds the memory of the replies, together with MaxRequestedBytes.
constexpr std::size_t MaxRepairs = 16;
constexpr std::uint64_t MaxRequestedBytes = 256U << 10U;
// A member that has not replied by then is down, or the reply is lost.
constexpr milliseconds RepairTimeout{1000};
// A member that was down may have the turn once it is back.
constexpr milliseconds RetryInterval{2000};

copy_request requestFor(std::vector<std::string> Turns, const disk_set &Set) {
  copy_request Request;
  Request.Set = Set;
  Request.ListsTurns = true;
  Request.Turns = std::move(Turns);
  Request.FromIncomplete = true;
  return Request;
}

} // namespace

std::vector<chain_repair::request> chain_repair::start(const std::string &Turn,
                                                       const disk_set &Set,
                                                       time_point Now) {
  if (Repairs.size() >= MaxRepairs || Repairs.contains(Turn) ||
      wasNotFound(Turn))
    return {};
  repair Repair{{}, true, Now};
  std::vector<request> Requests;
  for (const disk_host &Host : Set.allMembers()) {
    if (Host.Address == Self)
      continue;
    Repair.Awaited.emplace(Host.Address);
    Requests.push_back({Host.Address, Turn, requestFor({Turn}, Set)});
  }
  if (!Requests.empty())
    Repairs.emplace(Turn, std::move(Repair));
  return Requests;
}

bool chain_repair::awaits(const std::string &Turn,
                          std::string_view Address) const {
  auto Row = Repairs.find(Turn);
  return Row != Repairs.end() && Row->second.Awaited.contains(Address);
}

std::vector<chain_repair::request>
chain_repair::onReply(const std::string &Turn, const std::string &Address,
                      const copy_reply &Reply, const turn_index &Index,
                      const disk_set &Set, time_point Now) {
  auto Row = Repairs.find(Turn);
  if (Row == Repairs.end() || Row->second.Awaited.erase(Address) == 0)
    return {};
  if (Index.hasTurn(Turn)) {
    Repairs.erase(Row);
    return requestRest(Turn, Address, Reply.Turns, Index, Set, Now);
  }
  if (!Row->second.Awaited.empty())
    return {};
  bool AskedAllMembers = Row->second.AsksAllMembers;
  Repairs.erase(Row);
  if (!AskedAllMembers)
    return start(Turn, Set, Now);
  NotFoundAt[Turn] = Now;
  return {};
}

// Requests the turns that are still missing before \p Turn from the member that
// has listed them. A member of an earlier version lists none: then all members
// are asked for the next one.
std::vector<chain_repair::request>
chain_repair::requestRest(const std::string &Turn, const std::string &Address,
                          const std::vector<listed_turn> &Listed,
                          const turn_index &Index, const disk_set &Set,
                          time_point Now) {
  std::string Next(Index.firstMissing(Turn));
  if (Next.empty())
    return {};
  std::vector<std::string> Turns;
  std::uint64_t Bytes = 0;
  for (const listed_turn &Row : Listed) {
    if (Index.hasTurn(Row.Id) || Bytes >= MaxRequestedBytes)
      continue;
    Bytes += Row.Bytes;
    Turns.push_back(Row.Id);
  }
  if (Turns.empty() || Turns.front() != Next)
    return start(Next, Set, Now);
  if (Repairs.contains(Next))
    return {};
  Repairs.emplace(Next, repair{{Address}, false, Now});
  return {{Address, Next, requestFor(std::move(Turns), Set)}};
}

void chain_repair::expire(time_point Now) {
  for (auto Row = Repairs.begin(); Row != Repairs.end();) {
    if (Now - Row->second.StartedAt < RepairTimeout) {
      ++Row;
      continue;
    }
    NotFoundAt[Row->first] = Now;
    Row = Repairs.erase(Row);
  }
  std::erase_if(NotFoundAt, [&](const auto &Row) {
    return Now - Row.second >= RetryInterval;
  });
}

} // namespace turmerichead::turns
